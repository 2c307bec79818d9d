//! The run states of the jobs in the store, from which every controller answers users.
//!
//! The counts of running tasks reach the other controllers only while these can be reached, and a
//! controller that has just started, or a new leader, has none. Whether a job runs is therefore
//! stored too. A transaction has the mod revisions of the leader's record and of each record that
//! it changes among its preconditions, so a delayed one cannot undo a newer one.

use super::{Context, Leader};
use crate::io::{Precondition, Progress, PutRequest, StoreReply, StoreRequest};
use crate::model::{JobId, Revision};
use crate::store::calls::{Calls, StorePurpose};
use crate::store::rate_limiter::CallPriority;
use crate::store::records::{encode, run_state_key, RunStateRecord, LEADER_KEY};

/// Maximum number of changes in one transaction, whatever the store allows. It bounds the size of a
/// transaction.
const MAX_CHANGES: usize = 100;

/// A change of a run state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunStateChange {
    /// The job.
    pub job: JobId,
    /// The new record; `None` to delete it, since the job has ended.
    pub record: Option<RunStateRecord>,
    /// The mod revision of the present record.
    expected_mod_revision: Revision,
}

/// The result of a transaction with run states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunStateWriteOutcome {
    /// The changes were made at this revision.
    Committed(Revision),
    /// Another controller leads.
    Deposed,
    /// The records of these keys are not the cached ones and must be read.
    Conflict(Vec<String>),
    /// The changes were not made, or it is not known whether they were.
    Failed,
}

/// The state of the transactions that write run states, one at a time.
#[derive(Debug)]
pub struct RunStateWriter {
    in_flight: bool,
    /// Limit of changes in one transaction, which falls when the store rejects one.
    max_changes: usize,
}

impl Default for RunStateWriter {
    fn default() -> Self {
        RunStateWriter { in_flight: false, max_changes: MAX_CHANGES }
    }
}

impl RunStateWriter {
    /// Handles the reply to a transaction with `changes` changes. Failed changes are determined
    /// again from the records that the watch of the jobs returns, or that are read after a conflict.
    pub fn handle_reply(&mut self, changes: usize, reply: &StoreReply) -> RunStateWriteOutcome {
        self.in_flight = false;
        match reply {
            StoreReply::Committed { revision } => {
                self.max_changes = (self.max_changes * 2).min(MAX_CHANGES);
                RunStateWriteOutcome::Committed(*revision)
            }
            StoreReply::Conflict { failed } if failed.iter().any(|key| key == LEADER_KEY) => {
                RunStateWriteOutcome::Deposed
            }
            StoreReply::Conflict { failed } => RunStateWriteOutcome::Conflict(failed.clone()),
            StoreReply::Invalid => {
                self.max_changes = (changes / 2).max(1);
                RunStateWriteOutcome::Failed
            }
            _ => RunStateWriteOutcome::Failed,
        }
    }
}

impl Leader {
    /// Writes the run states that differ from the stored ones, as far as the limits of the store
    /// allow. `progress` is the present progress of all active jobs.
    pub fn write_run_states(&mut self, ctx: &Context, calls: &mut Calls, progress: &[Progress]) {
        // An older job cache may not hold the last write of the previous leader.
        if self.run_state_writer.in_flight || !ctx.holds_valid_lease || !ctx.job_cache_is_fresh {
            return;
        }
        let mut changes = self.changed_run_states(ctx, progress);
        changes.extend(obsolete_run_states(ctx));
        let limit = ctx.cfg.max_transaction_ops.clamp(1, self.run_state_writer.max_changes);
        changes.truncate(limit);
        let mut is_affordable = |change: &RunStateChange| {
            let priority = match change.record {
                Some(_) => CallPriority::Completion,
                None => CallPriority::Background,
            };
            calls.write_limiter.try_acquire(ctx.now, 1.0, priority)
        };
        let affordable = changes.iter().take_while(|change| is_affordable(change)).count();
        changes.truncate(affordable);
        if changes.is_empty() || !calls.try_acquire(ctx.now, CallPriority::Completion) {
            return;
        }
        self.run_state_writer.in_flight = true;
        let request = transaction(self.mod_revision, &changes);
        let purpose = StorePurpose::WriteRunStates { token: self.token, changes };
        calls.send_to_store(purpose, request, ctx.cfg.leader_lease_ms() / 4);
    }

    /// Returns the changes for active jobs, those that now run first.
    fn changed_run_states(&self, ctx: &Context, progress: &[Progress]) -> Vec<RunStateChange> {
        let all_reconciled = self.cluster.machines.values().all(|machine| machine.reconciled);
        let (mut started, mut stopped) = (Vec::new(), Vec::new());
        for progress in progress {
            let stored = ctx.job_cache.run_states.get(&progress.job);
            let is_running = progress.running > 0;
            if is_running == stored.is_some_and(|stored| stored.is_running) {
                continue;
            }
            if is_running {
                started.push(change(ctx, progress.job, Some(RunStateRecord { is_running })));
            } else if !self.may_still_run(progress.job, all_reconciled) {
                stopped.push(change(ctx, progress.job, Some(RunStateRecord { is_running })));
            }
        }
        started.append(&mut stopped);
        started
    }

    /// Returns whether a job without known running tasks stays marked as running: a task may run on
    /// a machine that an earlier leader used and this leader has not heard from, or all tasks are
    /// done and the outcome is about to be stored.
    fn may_still_run(&self, job: JobId, all_reconciled: bool) -> bool {
        let Some(job) = self.cluster.jobs.get(&job) else { return false };
        job.is_complete() || (!all_reconciled && job.pending_tasks() > 0)
    }
}

/// Returns the deletions of the run states of ended jobs.
fn obsolete_run_states<'a>(ctx: &Context<'a>) -> impl Iterator<Item = RunStateChange> + use<'a> {
    let ctx = *ctx;
    let jobs = ctx.job_cache.run_states.keys();
    let ended = jobs.filter(move |job| !ctx.job_cache.active.contains_key(job));
    ended.map(move |job| change(&ctx, *job, None))
}

fn change(ctx: &Context, job: JobId, record: Option<RunStateRecord>) -> RunStateChange {
    let stored = ctx.job_cache.run_states.get(&job);
    let expected_mod_revision = stored.map_or(Revision::NONE, |stored| stored.mod_revision);
    RunStateChange { job, record, expected_mod_revision }
}

fn transaction(leader_revision: Revision, changes: &[RunStateChange]) -> StoreRequest {
    let mut preconditions = vec![Precondition::new(LEADER_KEY, leader_revision)];
    let (mut puts, mut deletes) = (Vec::new(), Vec::new());
    for change in changes {
        let key = run_state_key(change.job);
        preconditions.push(Precondition::new(key.clone(), change.expected_mod_revision));
        match change.record {
            Some(record) => puts.push(PutRequest::new(key, encode(&record))),
            None => deletes.push(key),
        }
    }
    StoreRequest::Transaction { preconditions, puts, deletes }
}

#[cfg(test)]
#[path = "run_states_tests.rs"]
mod tests;
