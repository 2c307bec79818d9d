//! Which machine a job's tasks go to: as few machines as possible (paper, section 5.1.2), those
//! that have the image first, and cheap ones before expensive ones.

use super::capacity::FreeCapacity;
use crate::model::{JobSpec, MachineId, MachineType};
use rand::seq::IndexedRandom;
use rand::Rng;

/// What a task scores more on a machine that has its image, in tasks.
const IMAGE_BONUS: f64 = 0.5;
/// What a replica scores less on a spot machine, in tasks: a reclaimed machine takes a replica.
const SPOT_REPLICA_PENALTY: f64 = 4.0;
/// What a task that cannot save scores less on a spot machine, in tasks: a reclaimed machine
/// loses the whole run.
const SPOT_UNSAVED_PENALTY: f64 = 0.2;

/// Where the tasks of a job are, for the constraints that depend on it.
#[derive(Clone, Debug, Default)]
pub struct ZoneSpread {
    /// Tasks by zone that may be on machines now.
    pub zones: Vec<(String, u32)>,
}

impl ZoneSpread {
    /// How many more tasks of the job may start in a zone (PROTOCOL, `POST /api/jobs`).
    pub fn allowed_in(&self, job: &JobSpec, zone: &str) -> u32 {
        if job.zone.as_deref().is_some_and(|allowed| allowed != zone) {
            return 0;
        }
        let elsewhere = self.zones.iter().any(|(other, tasks)| other != zone && *tasks > 0);
        if job.one_zone && elsewhere {
            return 0;
        }
        if !job.spread {
            return u32::MAX;
        }
        let here = self.zones.iter().find(|(other, _)| other == zone).map_or(0, |(_, n)| *n);
        job.tasks.div_ceil(2).saturating_sub(here)
    }

    /// Counts tasks in a zone.
    pub fn add(&mut self, zone: &str, tasks: u32) {
        match self.zones.iter_mut().find(|(other, _)| other == zone) {
            Some((_, counted)) => *counted += tasks,
            None => self.zones.push((zone.into(), tasks)),
        }
    }
}

/// What is asked of the bin packing: a machine for some tasks of one job.
pub struct PlacementRequest<'a> {
    /// The job.
    pub job: &'a JobSpec,
    /// Where its tasks are.
    pub spread: &'a ZoneSpread,
    /// Tasks to be placed at the most.
    pub tasks: u32,
    /// Machines that it may not use now.
    pub avoid: &'a dyn Fn(&MachineId) -> bool,
    /// Machines that have its image.
    pub has_image: &'a dyn Fn(&MachineId) -> bool,
}

/// A machine that was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The machine's position among the free capacities.
    pub index: usize,
    /// How many tasks it takes.
    pub tasks: u32,
}

/// The machine with the best score for a request. With more than `sample` machines, a sample of
/// that size is searched first, and all only if none of it fits.
pub fn choose<R: Rng>(
    free: &[FreeCapacity],
    types: &[MachineType],
    request: &PlacementRequest,
    sample: usize,
    rng: &mut R,
) -> Option<Placement> {
    let best = |candidates: &mut dyn Iterator<Item = usize>| {
        candidates
            .filter_map(|index| evaluate(&free[index], index, types, request))
            .max_by(|(score, _), (other, _)| score.total_cmp(other))
            .map(|(_, placement)| placement)
    };
    if free.len() > sample {
        let all: Vec<usize> = (0..free.len()).collect();
        let mut some = all.choose_multiple(rng, sample).copied();
        if let Some(placement) = best(&mut some) {
            return Some(placement);
        }
    }
    best(&mut (0..free.len()))
}

/// The score of a machine and what it takes; nothing if it may or can take no task.
fn evaluate(
    capacity: &FreeCapacity,
    index: usize,
    types: &[MachineType],
    request: &PlacementRequest,
) -> Option<(f64, Placement)> {
    let machine_type = &types[capacity.type_index];
    if capacity.spot && !request.job.spot || !machine_type.allowed(request.job) {
        return None;
    }
    let tasks = capacity
        .fits(request.job)
        .min(request.tasks)
        .min(request.spread.allowed_in(request.job, &capacity.zone));
    if tasks == 0 || (request.avoid)(&capacity.machine) {
        return None;
    }
    let score = score(capacity, machine_type, request, tasks);
    Some((score, Placement { index, tasks }))
}

/// How well so many tasks go to a machine: the more of them and the less is left free, the
/// better.
fn score(
    capacity: &FreeCapacity,
    machine_type: &MachineType,
    request: &PlacementRequest,
    tasks: u32,
) -> f64 {
    let job = request.job;
    let left_cpus = capacity.free.cpus - job.cpus * tasks as f64;
    let mut score = tasks as f64;
    if (request.has_image)(&capacity.machine) {
        score += IMAGE_BONUS * tasks as f64;
    }
    if job.is_service() && capacity.spot {
        score -= SPOT_REPLICA_PENALTY * tasks as f64;
    } else if job.checkpoint_s > 0.0 {
        // The cheaper machine first: the expensive one becomes idle and is scaled in.
        let price = if capacity.spot { machine_type.spot_price } else { machine_type.price };
        let lowest = machine_type.spot_price.min(machine_type.price);
        score *= lowest.max(1e-9) / price.max(1e-9);
    } else if capacity.spot {
        score -= SPOT_UNSAVED_PENALTY * tasks as f64;
    }
    score - left_cpus / machine_type.cpus.max(1e-9)
}
