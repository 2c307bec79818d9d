//! Selection of the jobs that can still meet an objective under overload.
//!
//! If jobs were ordered by deadline alone, an overload would make nearly every job late. This
//! module adapts the algorithm of Moore and Hodgson, which minimizes the number of late jobs: it
//! adds jobs in the order of their slack and, whenever the added jobs cannot all start in time,
//! removes the one with the most pending CPUs. Unlike in the original, a removed job is added again
//! with its next objective. The selection corresponds to the urgent jobs of ASTRAEA (section
//! 5.2.1).

use crate::fairness::Ledger;
use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::model::{JobId, Priority};
use crate::resources::Resources;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap, HashMap};

/// Expected lateness up to which a completion objective still counts as feasible, as a fraction of
/// the job's estimate, since estimates are often wrong.
const MAX_LATENESS_FRACTION: f64 = 0.3;

/// A job that is checked for objectives that it can still meet.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The job.
    pub job: JobId,
    /// CPUs of its pending tasks.
    pub pending_cpus: f64,
    /// Slack for each objective that it may still meet: the seconds until its last task must have
    /// started. In descending order, so that the least slack is popped first.
    pub slacks_s: Vec<f64>,
}

/// A candidate with the slack of its current objective. The candidate with the least slack is the
/// greatest, so that a heap returns it first.
struct QueuedCandidate {
    slack_s: f64,
    candidate: Candidate,
}

impl QueuedCandidate {
    /// Returns the candidate with its next objective, or `None` if there is no further one.
    fn with_next_objective(mut candidate: Candidate) -> Option<Self> {
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

/// Returns the jobs that can meet an objective, each with its slack in seconds. Tasks with a total
/// of `available_cpus` CPUs, which may be negative, can start now, and tasks with a total of
/// `cpus_per_s` CPUs in each second after that.
pub fn select_feasible_jobs(
    candidates: Vec<Candidate>,
    available_cpus: f64,
    cpus_per_s: f64,
) -> Vec<(JobId, f64)> {
    let mut queue: BinaryHeap<QueuedCandidate> =
        candidates.into_iter().filter_map(QueuedCandidate::with_next_objective).collect();
    let mut selected: Vec<QueuedCandidate> = Vec::new();
    let mut started_cpus = 0.0;
    while let Some(queued) = queue.pop() {
        let slack_s = queued.slack_s;
        started_cpus += queued.candidate.pending_cpus;
        selected.push(queued);
        while started_cpus > available_cpus + cpus_per_s * slack_s.max(0.0) + 1e-9 {
            let Some(largest) = index_of_largest(&selected) else { break };
            let removed = selected.swap_remove(largest).candidate;
            started_cpus -= removed.pending_cpus;
            queue.extend(QueuedCandidate::with_next_objective(removed));
        }
    }
    selected.into_iter().map(|queued| (queued.candidate.job, queued.slack_s)).collect()
}

/// Returns the index of the job with the most pending CPUs, or `None` if no job has any.
fn index_of_largest(selected: &[QueuedCandidate]) -> Option<usize> {
    (0..selected.len())
        .max_by(|a, b| {
            let (a, b) = (&selected[*a].candidate, &selected[*b].candidate);
            a.pending_cpus.total_cmp(&b.pending_cpus).then(b.job.cmp(&a.job))
        })
        .filter(|index| selected[*index].candidate.pending_cpus > 0.0)
}

/// Returns a job's slack in seconds for each objective that it may still meet, in descending order.
fn slacks_s(ctx: &Context, job: &JobState) -> Vec<f64> {
    let age_s = (ctx.wall_clock_ms - job.accepted_at) as f64 / 1000.0;
    let estimate_s = job.spec.estimate_s;
    let by_completion = ctx
        .cfg
        .completion_objectives_s(&job.spec)
        .map(|due_s| due_s - age_s - estimate_s)
        .filter(|slack_s| *slack_s > -MAX_LATENESS_FRACTION * estimate_s);
    let by_start = ctx
        .cfg
        .start_objectives_s(&job.spec)
        .map(|due_s| due_s - age_s)
        .filter(|slack_s| *slack_s > 0.0);
    let mut slacks_s: Vec<f64> = by_completion.chain(by_start).collect();
    slacks_s.sort_by(|a, b| b.total_cmp(a));
    slacks_s
}

/// Unfinished tasks of one team, from which the feasibility of its jobs is computed.
#[derive(Default)]
struct UnfinishedWork {
    /// Candidates by priority, the highest first.
    candidates: BTreeMap<Reverse<Priority>, Vec<Candidate>>,
    /// CPUs of unfinished tasks of arrays.
    array_cpus: f64,
    /// CPU-seconds of unfinished tasks of arrays, by their estimates.
    array_cpu_s: f64,
    /// CPUs of placed replicas.
    placed_replica_cpus: f64,
    /// CPUs of pending replicas.
    pending_replica_cpus: f64,
    /// Services with pending replicas.
    services_with_pending_replicas: Vec<JobId>,
}

impl UnfinishedWork {
    fn add_job(&mut self, ctx: &Context, job: &JobState) {
        if job.spec.is_service() {
            self.add_service(job);
        } else {
            self.add_array(ctx, job);
        }
    }

    /// Adds a service, which has neither an end nor a deadline. Its pending replicas are due now,
    /// and its placed replicas never release their capacity.
    fn add_service(&mut self, job: &JobState) {
        self.placed_replica_cpus += job.placed.len() as f64 * job.spec.cpus;
        if job.pending_tasks() > 0 {
            self.pending_replica_cpus += job.pending_tasks() as f64 * job.spec.cpus;
            self.services_with_pending_replicas.push(job.id);
        }
    }

    fn add_array(&mut self, ctx: &Context, job: &JobState) {
        let pending_cpus = job.pending_tasks() as f64 * job.spec.cpus;
        let unfinished_cpus = pending_cpus + job.placed.len() as f64 * job.spec.cpus;
        self.array_cpus += unfinished_cpus;
        self.array_cpu_s += unfinished_cpus * job.spec.estimate_s;
        let candidate = Candidate { job: job.id, pending_cpus, slacks_s: slacks_s(ctx, job) };
        self.candidates.entry(Reverse(job.spec.priority)).or_default().push(candidate);
    }
}

/// Returns the slack in seconds of each array that can meet an objective, and zero for each service
/// with pending replicas. Jobs in a crash loop are excluded. Each team is considered separately,
/// with higher priorities first. It can start tasks at once up to its share or its present use, and
/// further tasks at the estimated rate at which its array tasks end.
pub(in crate::leader) fn find_feasible_slacks(
    ctx: &Context,
    cluster: &Cluster,
    fleet_cpus: f64,
    used: &[Resources],
) -> HashMap<JobId, f64> {
    let mut feasible = HashMap::new();
    for (team, used) in used.iter().enumerate() {
        let mut work = UnfinishedWork::default();
        let is_unfinished = |job: &&JobState| job.team == team && job.outcome.is_none();
        for job in
            cluster.jobs.values().filter(is_unfinished).filter(|job| !job.health.is_crash_looping())
        {
            work.add_job(ctx, job);
        }
        feasible.extend(work.services_with_pending_replicas.iter().map(|job| (*job, 0.0)));
        let share_cpus = match ctx.cfg.teams[team].has_no_guarantee() {
            // The capacity that other teams will leave to this team is unknown. With its fair share
            // instead, none of its jobs would be feasible, and infeasible jobs are ordered by
            // descending estimate.
            true => fleet_cpus,
            false => Ledger::fair_share_cpus(ctx.cfg, team, fleet_cpus),
        };
        let share_cpus = share_cpus.max(used.cpus);
        let cpus_per_s = (share_cpus - work.placed_replica_cpus).max(0.0) * work.array_cpus
            / work.array_cpu_s.max(1.0);
        let mut available_cpus = share_cpus - used.cpus - work.pending_replica_cpus;
        for (_, candidates) in work.candidates {
            let pending_cpus: f64 = candidates.iter().map(|c| c.pending_cpus).sum();
            feasible.extend(select_feasible_jobs(candidates, available_cpus, cpus_per_s));
            available_cpus -= pending_cpus;
        }
    }
    feasible
}

#[cfg(test)]
#[path = "deadline_feasibility_tests.rs"]
mod tests;
