//! The jobs whose tasks wait and may be started now.

use super::assignment::SchedulerInputs;
use super::capacity::unreconciled_kinds;
use super::fair_share_order::TeamHead;
use crate::jobs::JobState;
use crate::machines::MachineKind;
use crate::model::{JobId, Revision};
use std::collections::BTreeSet;

/// Jobs that may get tasks assigned now.
pub(in crate::leader) struct Waiting {
    /// By team, in the order in which they are to get capacity once sorted.
    pub(in crate::leader) by_team: Vec<Vec<JobId>>,
    /// Those in a crash loop, which try one task at a time.
    pub(in crate::leader) crash_looping: Vec<JobId>,
}

impl Waiting {
    /// The jobs with waiting tasks that are in no back-off and may not run unseen.
    pub(in crate::leader) fn collect(inputs: &SchedulerInputs) -> Self {
        let SchedulerInputs { ctx, cluster, unknown_jobs, .. } = inputs;
        let unreconciled = unreconciled_kinds(cluster);
        let mut waiting =
            Waiting { by_team: vec![Vec::new(); ctx.cfg.teams.len()], crash_looping: Vec::new() };
        for job in cluster.jobs.values() {
            let startable = job.pending() > 0
                && job.health.back_off_until() <= ctx.now
                && !unknown_jobs.contains(&job.id)
                && !may_run_unseen(job, inputs.elected_revision, &unreconciled);
            if !startable {
                continue;
            }
            match job.health.is_crash_looping() {
                true => waiting.crash_looping.push(job.id),
                false => waiting.by_team[job.team].push(job.id),
            }
        }
        waiting
    }

    /// Removes a job of a team.
    pub(in crate::leader) fn remove(&mut self, team: usize, id: JobId) {
        self.by_team[team].retain(|job| *job != id);
    }

    /// The first job of each team that has one.
    pub(in crate::leader) fn heads(&self) -> impl Iterator<Item = TeamHead> + '_ {
        let first = |(team, jobs): (usize, &Vec<JobId>)| {
            jobs.first().map(|job| TeamHead { team, job: *job })
        };
        self.by_team.iter().enumerate().filter_map(first)
    }
}

/// Whether an earlier leader may have started tasks of this job on a machine that has not
/// reported to this leader. A job accepted since the failover cannot have been started, and no
/// leader of any version starts a task on a kind of machine that its job does not permit.
fn may_run_unseen(
    job: &JobState,
    elected_revision: Revision,
    unreconciled: &BTreeSet<MachineKind>,
) -> bool {
    job.mod_revision <= elected_revision
        && unreconciled.iter().any(|kind| kind.permitted_by(&job.spec))
}
