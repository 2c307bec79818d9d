//! Classes of a team that get less than their least share, and the tasks that make up for it.
//!
//! Within a team the order goes by priority first: a class of low priority would wait for as
//! long as more of the others is submitted than the team can run. The policy file may set a
//! least share (`class-least`).

use super::capacity::CPU_TOLERANCE;
use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::model::JobId;
use std::collections::{BTreeMap, HashMap};

/// CPUs in use by team and class.
struct ClassUsage<'a> {
    by_class: HashMap<(usize, &'a str), f64>,
    by_team: Vec<f64>,
}

impl<'a> ClassUsage<'a> {
    fn of(ctx: &Context, cluster: &'a Cluster) -> Self {
        let mut usage =
            ClassUsage { by_class: HashMap::new(), by_team: vec![0.0; ctx.cfg.teams.len()] };
        for machine in cluster.machines.values() {
            for ((task, _), slot) in machine.slots.iter().filter(|(_, slot)| slot.holds_resources())
            {
                let job = cluster.jobs.get(&task.job).filter(|job| job.ended.is_none());
                let Some((job, demand)) = job.zip(slot.demand) else { continue };
                *usage.by_class.entry((job.team, &job.spec.class)).or_default() +=
                    demand.resources.cpus;
                usage.by_team[job.team] += demand.resources.cpus;
            }
        }
        usage
    }

    /// CPUs that a class lacks of its least share of what its team uses.
    fn deficit(&self, team: usize, class: &str, least_share: f64) -> f64 {
        let used = self.by_class.get(&(team, class)).copied().unwrap_or(0.0);
        self.by_team[team] * least_share - used
    }
}

/// Of each class of these waiting jobs that lacks some of its least share: the job that was
/// submitted first, and how many of its tasks make up for it.
pub(in crate::leader) fn underserved_classes(
    ctx: &Context,
    cluster: &Cluster,
    waiting: &[Vec<JobId>],
) -> Vec<(JobId, u32)> {
    let Some(policy) = &ctx.cfg.policy.admission else { return Vec::new() };
    let usage = ClassUsage::of(ctx, cluster);
    let mut underserved = Vec::new();
    for (team, jobs) in waiting.iter().enumerate() {
        for (class, job) in oldest_by_class(cluster, jobs) {
            let deficit = usage.deficit(team, class, policy.class_least);
            if deficit > CPU_TOLERANCE {
                let tasks = (deficit / job.spec.cpus.max(1e-9)).ceil().max(1.0) as u32;
                underserved.push((job.id, tasks));
            }
        }
    }
    underserved
}

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
