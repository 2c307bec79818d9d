//! The order in which jobs get capacity: by degree of fairness between teams, and by priority,
//! slack and degree within a team (ASTRAEA, algorithm 1 and section 5.2.1).

use super::capacity::CPU_TOLERANCE;
use crate::fairness::Ledger;
use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::model::{JobId, Priority, WallMs};
use crate::resources::Resources;
use std::cmp::{Ordering, Reverse};
use std::collections::HashMap;

/// Weight with which a job's pending work, in seconds of its team's whole fair share, is added to
/// its slack. Of two jobs with the same slack, the one with less work comes first.
const WORK_WEIGHT: f64 = 3.0;

/// The first waiting job of a team.
#[derive(Clone, Copy, Debug)]
pub(in crate::leader) struct TeamHead {
    /// Index of the team.
    pub(in crate::leader) team: usize,
    /// The job.
    pub(in crate::leader) job: JobId,
}

/// The order of jobs, and the state on which it depends.
#[derive(Clone, Copy)]
pub(in crate::leader) struct JobOrder<'a> {
    /// Settings, machine types and time.
    pub(in crate::leader) ctx: &'a Context<'a>,
    /// Machines and jobs.
    pub(in crate::leader) cluster: &'a Cluster,
    /// Received and fair time of teams.
    pub(in crate::leader) ledger: &'a Ledger,
    /// Slack in seconds of each feasible job; see `find_feasible_slacks`.
    pub(in crate::leader) slack_s: &'a HashMap<JobId, f64>,
    /// CPUs of all machines with a valid worker lease.
    pub(in crate::leader) fleet_cpus: f64,
}

/// Rank of a job within its team. The job with the smallest rank comes first.
struct JobRank {
    priority: Reverse<Priority>,
    is_infeasible: bool,
    effective_slack_s: f64,
    has_started: bool,
    degree: f64,
    accepted_at: WallMs,
}

impl JobRank {
    fn compare(&self, other: &Self) -> Ordering {
        (self.priority, self.is_infeasible)
            .cmp(&(other.priority, other.is_infeasible))
            .then(self.effective_slack_s.total_cmp(&other.effective_slack_s))
            .then(self.has_started.cmp(&other.has_started))
            .then(self.degree.total_cmp(&other.degree))
            .then(self.accepted_at.cmp(&other.accepted_at))
    }
}

impl JobOrder<'_> {
    /// Sorts the jobs of a team. Within a priority, jobs that can still meet an objective come
    /// first, in order of their slack. Each cycle sorts once: assignments within the cycle do not
    /// move a job.
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
        let work_cpu_s = job.pending_tasks() as f64 * job.spec.cpus * job.spec.estimate_s;
        let fair_share_cpus =
            Ledger::fair_share_cpus(self.ctx.cfg, job.team, self.fleet_cpus).max(1.0);
        JobRank {
            priority: Reverse(job.spec.priority),
            is_infeasible: slack_s.is_none(),
            // An infeasible job is late in any case and only has to complete: longest first.
            effective_slack_s: slack_s.map_or(-job.spec.estimate_s, |slack_s| {
                slack_s + WORK_WEIGHT * work_cpu_s / fair_share_cpus
            }),
            has_started: job.has_started,
            degree: job.account.degree(),
            accepted_at: job.accepted_at,
        }
    }

    /// Returns the first job of the team with the lowest degree (ASTRAEA, algorithm 1, line 5).
    /// Jobs that may preempt tasks rank by priority first: by degree alone, tasks of other jobs
    /// could be assigned and would be preempted at once.
    pub(in crate::leader) fn select_next(
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
        let borrows = |team: usize| used[team].cpus > teams[team].guaranteed_cpus + CPU_TOLERANCE;
        let within_guarantee =
            used[team].cpus + job.spec.cpus <= teams[team].guaranteed_cpus + CPU_TOLERANCE;
        let others_borrow = (0..used.len()).any(|other| other != team && borrows(other));
        let may_preempt = (within_guarantee || others_borrow) && self.slack_s.contains_key(&job.id);
        let priority = if may_preempt { job.spec.priority } else { Priority::Low };
        (Reverse(priority), self.ledger.teams[team].degree())
    }
}
