//! The jobs with pending tasks that may be started now.

use super::assignment::SchedulerInputs;
use super::capacity::unreconciled_kinds;
use super::fair_share_order::TeamHead;
use crate::jobs::JobState;
use crate::machines::MachineKind;
use crate::model::{JobId, Revision};
use std::collections::BTreeSet;

/// Jobs with pending tasks that may be assigned now.
pub(in crate::leader) struct WaitingJobs {
    /// Jobs that are not in a crash loop, by team. Once sorted, they are in the order in which they
    /// get capacity.
    pub(in crate::leader) by_team: Vec<Vec<JobId>>,
    /// Jobs in a crash loop, which run one task at a time.
    pub(in crate::leader) crash_looping: Vec<JobId>,
}

impl WaitingJobs {
    /// Collects the jobs with pending tasks that are not in a back-off, whose record is known, and
    /// that cannot have tasks running on machines that have not reported to this leader.
    pub(in crate::leader) fn collect(inputs: &SchedulerInputs) -> Self {
        let SchedulerInputs { ctx, cluster, unknown_jobs, .. } = inputs;
        let unreconciled = unreconciled_kinds(cluster);
        let mut waiting = WaitingJobs {
            by_team: vec![Vec::new(); ctx.cfg.teams.len()],
            crash_looping: Vec::new(),
        };
        for job in cluster.jobs.values() {
            let is_startable = job.pending_tasks() > 0
                && job.health.back_off_until() <= ctx.now
                && !unknown_jobs.contains(&job.id)
                && !may_have_unreported_tasks(job, inputs.elected_revision, &unreconciled);
            if !is_startable {
                continue;
            }
            match job.health.is_crash_looping() {
                true => waiting.crash_looping.push(job.id),
                false => waiting.by_team[job.team].push(job.id),
            }
        }
        waiting
    }

    pub(in crate::leader) fn remove(&mut self, team: usize, id: JobId) {
        self.by_team[team].retain(|job| *job != id);
    }

    /// Returns the first job of each team that has one.
    pub(in crate::leader) fn team_heads(&self) -> impl Iterator<Item = TeamHead> + '_ {
        let head = |(team, jobs): (usize, &Vec<JobId>)| {
            jobs.first().map(|job| TeamHead { team, job: *job })
        };
        self.by_team.iter().enumerate().filter_map(head)
    }
}

/// Returns whether an earlier leader may have started tasks of this job on a machine that has not
/// reported to this leader. That is impossible for a job accepted since the failover, and on a
/// kind of machine that the job does not permit, since no version of the leader starts tasks there.
fn may_have_unreported_tasks(
    job: &JobState,
    elected_revision: Revision,
    unreconciled: &BTreeSet<MachineKind>,
) -> bool {
    job.mod_revision <= elected_revision
        && unreconciled.iter().any(|kind| kind.permitted_by(&job.spec))
}
