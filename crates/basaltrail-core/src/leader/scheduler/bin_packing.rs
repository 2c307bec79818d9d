//! Bin packing of a job's tasks: prefers few machines (ASTRAEA, section 5.1.2), machines that have
//! the image, and cheap machines.

use super::capacity::FreeCapacity;
use crate::model::{JobSpec, MachineId, MachineType};
use rand::seq::IndexedRandom;
use rand::Rng;

/// Score bonus per task on a machine that has the job's image, where each task scores 1.
const IMAGE_BONUS: f64 = 0.5;
/// Score penalty per replica on a spot machine, which loses the replica when it is reclaimed.
const SPOT_REPLICA_PENALTY: f64 = 4.0;
/// Score penalty per task that cannot save on a spot machine, which loses all progress of the task
/// when it is reclaimed.
const SPOT_UNSAVABLE_PENALTY: f64 = 0.2;

/// The number of tasks of a job in each zone, for the constraints on their spread.
#[derive(Clone, Debug, Default)]
pub struct ZoneSpread {
    /// Zones with the number of tasks that may be on machines there.
    pub zones: Vec<(String, u32)>,
}

impl ZoneSpread {
    /// Returns how many more tasks of the job may start in a zone (PROTOCOL, `POST /api/jobs`).
    pub fn tasks_allowed_in(&self, job: &JobSpec, zone: &str) -> u32 {
        if job.zone.as_deref().is_some_and(|allowed| allowed != zone) {
            return 0;
        }
        let has_tasks_elsewhere =
            self.zones.iter().any(|(other, tasks)| other != zone && *tasks > 0);
        if job.one_zone && has_tasks_elsewhere {
            return 0;
        }
        if !job.spread {
            return u32::MAX;
        }
        let tasks_here =
            self.zones.iter().find(|(other, _)| other == zone).map_or(0, |(_, tasks)| *tasks);
        job.tasks.div_ceil(2).saturating_sub(tasks_here)
    }

    /// Adds tasks in a zone.
    pub fn add(&mut self, zone: &str, tasks: u32) {
        match self.zones.iter_mut().find(|(other, _)| other == zone) {
            Some((_, counted)) => *counted += tasks,
            None => self.zones.push((zone.into(), tasks)),
        }
    }
}

/// A request for a machine for tasks of one job.
pub struct PlacementRequest<'a> {
    /// The job.
    pub job: &'a JobSpec,
    /// Number of its tasks in each zone.
    pub spread: &'a ZoneSpread,
    /// Maximum number of tasks to place.
    pub tasks: u32,
    /// Predicate for machines that the job must not use now.
    pub avoid: &'a dyn Fn(&MachineId) -> bool,
    /// Predicate for machines that have the job's image.
    pub has_image: &'a dyn Fn(&MachineId) -> bool,
}

/// The machine chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the machine among the free capacities.
    pub index: usize,
    /// Number of tasks to place there.
    pub tasks: u32,
}

/// Returns the placement with the highest score for a request. Of more than `sample_size` machines,
/// only a random sample of that size is evaluated, unless no machine of the sample fits.
pub fn choose_placement<R: Rng>(
    free: &[FreeCapacity],
    types: &[MachineType],
    request: &PlacementRequest,
    sample_size: usize,
    rng: &mut R,
) -> Option<Placement> {
    let best = |candidates: &mut dyn Iterator<Item = usize>| {
        candidates
            .filter_map(|index| evaluate(&free[index], index, types, request))
            .max_by(|(score, _), (other, _)| score.total_cmp(other))
            .map(|(_, placement)| placement)
    };
    if free.len() > sample_size {
        let all: Vec<usize> = (0..free.len()).collect();
        let mut sampled = all.choose_multiple(rng, sample_size).copied();
        if let Some(placement) = best(&mut sampled) {
            return Some(placement);
        }
    }
    best(&mut (0..free.len()))
}

/// Returns the score of a machine and the placement there, or `None` if no task can be placed.
fn evaluate(
    capacity: &FreeCapacity,
    index: usize,
    types: &[MachineType],
    request: &PlacementRequest,
) -> Option<(f64, Placement)> {
    let machine_type = &types[capacity.type_index];
    if capacity.spot && !request.job.spot || !machine_type.is_allowed_by(request.job) {
        return None;
    }
    let tasks = capacity
        .fitting_tasks(request.job)
        .min(request.tasks)
        .min(request.spread.tasks_allowed_in(request.job, &capacity.zone));
    if tasks == 0 || (request.avoid)(&capacity.machine) {
        return None;
    }
    let score = score(capacity, machine_type, request, tasks);
    Some((score, Placement { index, tasks }))
}

/// Returns the score of placing `tasks` tasks on a machine. It rises with the number of tasks, and
/// falls with the part of the machine that remains free.
fn score(
    capacity: &FreeCapacity,
    machine_type: &MachineType,
    request: &PlacementRequest,
    tasks: u32,
) -> f64 {
    let job = request.job;
    let remaining_cpus = capacity.free.cpus - job.cpus * tasks as f64;
    let mut score = tasks as f64;
    if (request.has_image)(&capacity.machine) {
        score += IMAGE_BONUS * tasks as f64;
    }
    if job.is_service() && capacity.spot {
        score -= SPOT_REPLICA_PENALTY * tasks as f64;
    } else if job.checkpoint_s > 0.0 {
        // Prefers cheap machines, so that expensive ones become idle and are scaled in.
        let price = if capacity.spot { machine_type.spot_price } else { machine_type.price };
        let lowest = machine_type.spot_price.min(machine_type.price);
        score *= lowest.max(1e-9) / price.max(1e-9);
    } else if capacity.spot {
        score -= SPOT_UNSAVABLE_PENALTY * tasks as f64;
    }
    score - remaining_cpus / machine_type.cpus.max(1e-9)
}
