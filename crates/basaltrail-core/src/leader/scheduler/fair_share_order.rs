//! The order in which jobs get capacity: between teams by their degree of fairness, within a
//! team by priority, slack and degree (paper, algorithm 1 and section 5.2.1).

use super::capacity::CPU_TOLERANCE;
use crate::fairness::Ledger;
use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::model::{JobId, Priority, WallMs};
use crate::resources::Resources;
use std::cmp::{Ordering, Reverse};
use std::collections::HashMap;

/// How much the work of a job counts beside its slack: a large job starts earlier than a small
/// one with the same slack.
const WORK_WEIGHT: f64 = 3.0;

/// The first job of a team's order.
#[derive(Clone, Copy, Debug)]
pub(in crate::leader) struct TeamHead {
    /// The team's index.
    pub(in crate::leader) team: usize,
    /// The job.
    pub(in crate::leader) job: JobId,
}

/// What the order of jobs depends on.
#[derive(Clone, Copy)]
pub(in crate::leader) struct JobOrder<'a> {
    /// Settings and time.
    pub(in crate::leader) ctx: &'a Context<'a>,
    /// The jobs.
    pub(in crate::leader) cluster: &'a Cluster,
    /// Received and fair time of teams.
    pub(in crate::leader) ledger: &'a Ledger,
    /// Slack in seconds of jobs that can meet an objective.
    pub(in crate::leader) slack_s: &'a HashMap<JobId, f64>,
    /// CPUs of all machines whose lease is valid.
    pub(in crate::leader) fleet_cpus: f64,
}

/// The rank of a job within its team; the smaller goes first.
struct JobRank {
    priority: Reverse<Priority>,
    infeasible: bool,
    urgency_s: f64,
    started: bool,
    degree: f64,
    submitted: WallMs,
}

impl JobRank {
    fn compare(&self, other: &Self) -> Ordering {
        (self.priority, self.infeasible)
            .cmp(&(other.priority, other.infeasible))
            .then(self.urgency_s.total_cmp(&other.urgency_s))
            .then(self.started.cmp(&other.started))
            .then(self.degree.total_cmp(&other.degree))
            .then(self.submitted.cmp(&other.submitted))
    }
}

impl JobOrder<'_> {
    /// Sorts the jobs of a team: those that can still meet an objective, the one with the least
    /// slack first; then the others. Once a cycle: what an assignment changes keeps a job where
    /// it is.
    pub(in crate::leader) fn sort_team(&self, jobs: &mut Vec<JobId>) {
        let mut ranked: Vec<(JobRank, JobId)> = jobs
            .iter()
            .filter_map(|id| self.cluster.jobs.get(id))
            .map(|job| (self.rank_in_team(job), job.id))
            .collect();
        ranked.sort_by(|(rank, _), (other, _)| rank.compare(other));
        jobs.clear();
        jobs.extend(ranked.into_iter().map(|(_, id)| id));
    }

    fn rank_in_team(&self, job: &JobState) -> JobRank {
        let slack_s = self.slack_s.get(&job.id).copied();
        let work_cpu_s = job.pending() as f64 * job.spec.cpus * job.spec.estimate_s;
        let quota = Ledger::quota(self.ctx.cfg, job.team, self.fleet_cpus).max(1.0);
        JobRank {
            priority: Reverse(job.spec.priority),
            infeasible: slack_s.is_none(),
            // An infeasible job can only gain by being done at all: the longest first.
            urgency_s: slack_s
                .map_or(-job.spec.estimate_s, |slack_s| slack_s + WORK_WEIGHT * work_cpu_s / quota),
            started: job.started,
            degree: job.account.degree(),
            submitted: job.accepted_at,
        }
    }

    /// The job of the team with the lowest degree (paper, algorithm 1, line 5). Before it goes a
    /// job that could preempt the others: by degree alone its capacity would be taken by tasks
    /// that are preempted at once.
    pub(in crate::leader) fn next(
        &self,
        heads: impl Iterator<Item = TeamHead>,
        used: &[Resources],
    ) -> Option<TeamHead> {
        heads
            .map(|head| (self.rank_between_teams(head, used), head))
            .min_by(|((priority, degree), _), ((other, other_degree), _)| {
                priority.cmp(other).then(degree.total_cmp(other_degree))
            })
            .map(|(_, head)| head)
    }

    fn rank_between_teams(&self, head: TeamHead, used: &[Resources]) -> (Reverse<Priority>, f64) {
        let TeamHead { team, job } = head;
        let job = &self.cluster.jobs[&job];
        let teams = &self.ctx.cfg.teams;
        let borrows = |team: usize| used[team].cpus > teams[team].cpus + CPU_TOLERANCE;
        let within_guarantee = used[team].cpus + job.spec.cpus <= teams[team].cpus + CPU_TOLERANCE;
        let others_borrow = (0..used.len()).any(|other| other != team && borrows(other));
        let may_preempt = (within_guarantee || others_borrow) && self.slack_s.contains_key(&job.id);
        let priority = if may_preempt { job.spec.priority } else { Priority::Low };
        (Reverse(priority), self.ledger.teams[team].degree())
    }
}
