//! Which jobs can still meet an objective, when more is asked than can be run.
//!
//! Ordered by deadline alone, an overload makes every job a little late. By the algorithm of
//! Moore and Hodgson, which minimises the number of late jobs, jobs are taken in the order of
//! their deadlines; where those so far cannot all be started in time, the largest of them is
//! given up, and then tries its next objective (paper, section 5.2.1: urgent jobs).

use crate::fairness::Ledger;
use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::model::{JobId, Priority};
use crate::resources::Resources;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// The part of its estimate by which a job may be late and still count as feasible: estimates
/// are often wrong.
const TOLERATED_LATENESS: f64 = 0.3;

/// A job that may meet an objective.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The job.
    pub job: JobId,
    /// CPUs of its tasks that wait to be started.
    pub pending_cpus: f64,
    /// Slack by objective, the nearest last: seconds until its last task must have started.
    pub slacks_s: Vec<f64>,
}

/// A candidate with the objective that it tries; the one with the least slack is the greatest,
/// so that a heap gives it first.
struct QueuedCandidate {
    slack_s: f64,
    candidate: Candidate,
}

impl QueuedCandidate {
    /// The candidate with its next objective, if it has one left.
    fn next(mut candidate: Candidate) -> Option<Self> {
        let slack_s = candidate.slacks_s.pop()?;
        Some(QueuedCandidate { slack_s, candidate })
    }
}

impl Ord for QueuedCandidate {
    fn cmp(&self, other: &Self) -> Ordering {
        other.slack_s.total_cmp(&self.slack_s).then(other.candidate.job.cmp(&self.candidate.job))
    }
}

impl PartialOrd for QueuedCandidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for QueuedCandidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for QueuedCandidate {}

/// The jobs that can meet an objective, with their slack in seconds, if `available_cpus` can be
/// started now and `cpus_per_s` more in every second.
pub fn feasible_jobs(
    candidates: Vec<Candidate>,
    available_cpus: f64,
    cpus_per_s: f64,
) -> Vec<(JobId, f64)> {
    let mut open: BinaryHeap<QueuedCandidate> =
        candidates.into_iter().filter_map(QueuedCandidate::next).collect();
    let mut kept: Vec<QueuedCandidate> = Vec::new();
    let mut started_cpus = 0.0;
    while let Some(queued) = open.pop() {
        let slack_s = queued.slack_s;
        started_cpus += queued.candidate.pending_cpus;
        kept.push(queued);
        while started_cpus > available_cpus + cpus_per_s * slack_s.max(0.0) + 1e-9 {
            let Some(largest) = largest(&kept) else { break };
            let given_up = kept.swap_remove(largest).candidate;
            started_cpus -= given_up.pending_cpus;
            open.extend(QueuedCandidate::next(given_up));
        }
    }
    kept.into_iter().map(|queued| (queued.candidate.job, queued.slack_s)).collect()
}

/// The position of the job with the most CPUs to start; none if nothing is left to give up.
fn largest(kept: &[QueuedCandidate]) -> Option<usize> {
    (0..kept.len())
        .max_by(|a, b| {
            let (a, b) = (&kept[*a].candidate, &kept[*b].candidate);
            a.pending_cpus.total_cmp(&b.pending_cpus).then(b.job.cmp(&a.job))
        })
        .filter(|index| kept[*index].candidate.pending_cpus > 0.0)
}

/// Slack in seconds of a job for each objective that it may still meet, the nearest last.
fn slacks_s(ctx: &Context, job: &JobState) -> Vec<f64> {
    let age_s = (ctx.wall - job.accepted_at) as f64 / 1000.0;
    let estimate_s = job.spec.estimate_s;
    let by_completion = ctx
        .cfg
        .completion_objectives_s(&job.spec)
        .map(|due_s| due_s - age_s - estimate_s)
        .filter(|slack_s| *slack_s > -TOLERATED_LATENESS * estimate_s);
    let by_start = ctx
        .cfg
        .start_objectives_s(&job.spec)
        .map(|due_s| due_s - age_s)
        .filter(|slack_s| *slack_s > 0.0);
    let mut slacks_s: Vec<f64> = by_completion.chain(by_start).collect();
    slacks_s.sort_by(|a, b| b.total_cmp(a));
    slacks_s
}

/// What a team has to run, as far as deadlines are concerned.
#[derive(Default)]
struct TeamLoad {
    /// Candidates by priority, the highest first.
    candidates: BTreeMap<Reverse<Priority>, Vec<Candidate>>,
    /// CPUs of unfinished tasks of arrays.
    array_cpus: f64,
    /// CPU-seconds of the same by their estimates.
    array_cpu_s: f64,
    /// CPUs of replicas that are placed.
    placed_replica_cpus: f64,
    /// CPUs of replicas that wait.
    pending_replica_cpus: f64,
    /// Services that lack a replica.
    incomplete_services: Vec<JobId>,
}

impl TeamLoad {
    fn add(&mut self, ctx: &Context, job: &JobState) {
        if job.spec.is_service() {
            self.add_service(job);
        } else {
            self.add_array(ctx, job);
        }
    }

    /// A service has neither an end nor a deadline: what of it is missing is late already, and
    /// what runs is no work that ends and frees its capacity.
    fn add_service(&mut self, job: &JobState) {
        self.placed_replica_cpus += job.placed.len() as f64 * job.spec.cpus;
        if job.pending() > 0 {
            self.pending_replica_cpus += job.pending() as f64 * job.spec.cpus;
            self.incomplete_services.push(job.id);
        }
    }

    fn add_array(&mut self, ctx: &Context, job: &JobState) {
        let pending_cpus = job.pending() as f64 * job.spec.cpus;
        let unfinished_cpus = pending_cpus + job.placed.len() as f64 * job.spec.cpus;
        self.array_cpus += unfinished_cpus;
        self.array_cpu_s += unfinished_cpus * job.spec.estimate_s;
        let candidate = Candidate { job: job.id, pending_cpus, slacks_s: slacks_s(ctx, job) };
        self.candidates.entry(Reverse(job.spec.priority)).or_default().push(candidate);
    }
}

/// The slack in seconds of each job that can meet an objective, team by team and the higher
/// priorities first: a team may start at once what it lacks of its share, and as much more as
/// its tasks end.
pub(in crate::leader) fn find_feasible(
    ctx: &Context,
    cluster: &Cluster,
    fleet_cpus: f64,
    used: &[Resources],
) -> HashMap<JobId, f64> {
    let mut feasible = HashMap::new();
    for (team, used) in used.iter().enumerate() {
        let mut load = TeamLoad::default();
        let open = |job: &&JobState| job.team == team && job.ended.is_none();
        for job in cluster.jobs.values().filter(open).filter(|job| !job.health.is_crash_looping()) {
            load.add(ctx, job);
        }
        feasible.extend(load.incomplete_services.iter().map(|job| (*job, 0.0)));
        let share_cpus = match ctx.cfg.teams[team].without_guarantee() {
            // Nobody knows what the others will leave it. By its quota nothing of it could be
            // in time, and its longest tasks would go first.
            true => fleet_cpus,
            false => Ledger::quota(ctx.cfg, team, fleet_cpus),
        };
        let share_cpus = share_cpus.max(used.cpus);
        let cpus_per_s = (share_cpus - load.placed_replica_cpus).max(0.0) * load.array_cpus
            / load.array_cpu_s.max(1.0);
        let mut available_cpus = share_cpus - used.cpus - load.pending_replica_cpus;
        for (_, candidates) in load.candidates {
            let pending_cpus: f64 = candidates.iter().map(|c| c.pending_cpus).sum();
            feasible.extend(feasible_jobs(candidates, available_cpus, cpus_per_s));
            available_cpus -= pending_cpus;
        }
    }
    feasible
}

#[cfg(test)]
#[path = "deadline_feasibility_tests.rs"]
mod tests;
