//! Which machine a job's tasks go to: as few machines as possible, those that
//! have the image first, and cheap ones before dear ones.

use crate::model::*;
use rand::seq::IndexedRandom;
use rand::Rng;

/// A machine with room, as one pass of placement sees it.
#[derive(Clone, Debug)]
pub struct Room {
    pub machine: MachineId,
    pub type_index: usize,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Room {
    pub fn holds(&self, job: &JobSpec) -> u32 {
        fits(self.cpus, job.cpus)
            .min(fits(self.memory_gb, job.memory_gb))
            .min(fits(self.gpus, job.gpus))
    }

    pub fn take(&mut self, job: &JobSpec, n: u32) {
        self.cpus -= job.cpus * n as f64;
        self.gpus -= job.gpus * n as f64;
        self.memory_gb -= job.memory_gb * n as f64;
    }
}

/// What of a job's own rules depends on where its other tasks are.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    /// Tasks per zone that may be on machines now.
    pub zones: Vec<(String, u32)>,
}

impl Spread {
    /// How many more tasks may start in this zone.
    pub fn room(&self, job: &JobSpec, zone: &str) -> u32 {
        if job.zone.as_deref().is_some_and(|z| z != zone) {
            return 0;
        }
        let here = self.zones.iter().find(|(z, _)| z == zone).map_or(0, |(_, n)| *n);
        if job.one_zone && self.zones.iter().any(|(z, n)| z != zone && *n > 0) {
            return 0;
        }
        if job.spread {
            return job.tasks.div_ceil(2).saturating_sub(here);
        }
        u32::MAX
    }

    pub fn add(&mut self, zone: &str, n: u32) {
        match self.zones.iter_mut().find(|(z, _)| z == zone) {
            Some((_, m)) => *m += n,
            None => self.zones.push((zone.into(), n)),
        }
    }
}

/// One job's wish in a pass of placement.
pub struct Wish<'a> {
    pub job: &'a JobSpec,
    pub spread: &'a Spread,
    /// Tasks to be placed at the most.
    pub want: u32,
    /// Machines where it failed.
    pub avoid: &'a dyn Fn(&MachineId) -> bool,
}

/// Picks a machine for a wish; gives its place in `rooms` and how many tasks fit.
/// With more than `sample` machines, that many are looked at before all are.
pub fn choose<R: Rng>(
    rooms: &[Room],
    types: &[MachineType],
    wish: &Wish,
    sample: usize,
    has_image: impl Fn(&MachineId) -> bool,
    rng: &mut R,
) -> Option<(usize, u32)> {
    let Wish { job, spread, want, avoid } = *wish;
    let consider = |i: usize| -> Option<(f64, usize, u32)> {
        let r = &rooms[i];
        if r.spot && !job.spot || !types[r.type_index].allowed(job) {
            return None;
        }
        let n = r.holds(job).min(want).min(spread.room(job, &r.zone));
        if n == 0 || avoid(&r.machine) {
            return None;
        }
        let left = r.cpus - job.cpus * n as f64;
        let mut score = n as f64;
        if has_image(&r.machine) {
            score += 0.5 * n as f64;
        }
        let t = &types[r.type_index];
        // The cheaper machine first: the dearer one comes idle and goes back.
        let price = if r.spot { t.spot_price } else { t.price };
        if job.is_service() && r.spot {
            score -= 4.0 * n as f64;
        } else if job.checkpoint_s > 0.0 {
            score *= t.spot_price.min(t.price).max(1e-9) / price.max(1e-9);
        } else if r.spot {
            score -= 0.2 * n as f64;
        }
        Some((score - left / types[r.type_index].cpus.max(1e-9), i, n))
    };
    let best = |it: &mut dyn Iterator<Item = usize>| {
        it.filter_map(consider).max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, i, n)| (i, n))
    };
    if rooms.len() > sample {
        // More machines than are worth a full search: look at a sample first.
        let all: Vec<usize> = (0..rooms.len()).collect();
        let mut some = all.choose_multiple(rng, sample).copied();
        if let Some(found) = best(&mut some) {
            return Some(found);
        }
    }
    best(&mut (0..rooms.len()))
}
