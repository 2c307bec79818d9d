//! The minimum share of each job class in the CPUs that its team uses.
//!
//! A team's jobs are ordered by priority first, so a class of low priority could wait for as long
//! as more jobs of other classes are submitted than the team can run. The policy file may set a
//! minimum share (`class-least`).

use super::capacity::CPU_TOLERANCE;
use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::model::JobId;
use std::collections::{BTreeMap, HashMap};

/// CPUs in use, by team and class.
struct ClassUsage<'a> {
    by_class: HashMap<(usize, &'a str), f64>,
    by_team: Vec<f64>,
}

impl<'a> ClassUsage<'a> {
    fn collect(ctx: &Context, cluster: &'a Cluster) -> Self {
        let mut usage =
            ClassUsage { by_class: HashMap::new(), by_team: vec![0.0; ctx.cfg.teams.len()] };
        for machine in cluster.machines.values() {
            for ((task, _), slot) in machine.slots.iter().filter(|(_, slot)| slot.holds_resources())
            {
                let job = cluster.jobs.get(&task.job).filter(|job| job.outcome.is_none());
                let Some((job, demand)) = job.zip(slot.demand) else { continue };
                *usage.by_class.entry((job.team, &job.spec.class)).or_default() +=
                    demand.resources.cpus;
                usage.by_team[job.team] += demand.resources.cpus;
            }
        }
        usage
    }

    /// Returns the number of CPUs by which a class is below its minimum share of its team's usage;
    /// negative if it is above.
    fn deficit_cpus(&self, team: usize, class: &str, min_share: f64) -> f64 {
        let used = self.by_class.get(&(team, class)).copied().unwrap_or(0.0);
        self.by_team[team] * min_share - used
    }
}

/// Returns the oldest waiting job of each class that is below its minimum share, and the number of
/// its tasks that make up the deficit. `waiting` holds the waiting jobs by team index.
pub(in crate::leader) fn jobs_of_underserved_classes(
    ctx: &Context,
    cluster: &Cluster,
    waiting: &[Vec<JobId>],
) -> Vec<(JobId, u32)> {
    let Some(policy) = &ctx.cfg.policy.admission else { return Vec::new() };
    let usage = ClassUsage::collect(ctx, cluster);
    let mut underserved = Vec::new();
    for (team, jobs) in waiting.iter().enumerate() {
        for (class, job) in oldest_by_class(cluster, jobs) {
            let deficit_cpus = usage.deficit_cpus(team, class, policy.min_class_share);
            if deficit_cpus > CPU_TOLERANCE {
                let tasks = (deficit_cpus / job.spec.cpus.max(1e-9)).ceil().max(1.0) as u32;
                underserved.push((job.id, tasks));
            }
        }
    }
    underserved
}

/// Returns the job that was accepted first, by class.
fn oldest_by_class<'a>(cluster: &'a Cluster, jobs: &[JobId]) -> BTreeMap<&'a str, &'a JobState> {
    let mut by_class: BTreeMap<&str, &JobState> = BTreeMap::new();
    for job in jobs.iter().filter_map(|id| cluster.jobs.get(id)) {
        let oldest = by_class.entry(&job.spec.class).or_insert(job);
        if (job.accepted_at, job.id) < (oldest.accepted_at, oldest.id) {
            *oldest = job;
        }
    }
    by_class
}
