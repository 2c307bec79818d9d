//! Handling of the replies to the leader's transactions.

use crate::io::StoreReply;
use crate::leader::{Context, Leader};
use crate::model::{JobId, Ms, Revision};
use crate::store::pending_transaction::PendingTransaction;
use crate::store::records::{active_job_key, LEADER_KEY};

/// Back-off of a key whose write the state service rejected, in worker lease durations.
const REJECTED_BACK_OFF_LEASES: Ms = 6;

/// Updates that the reply to a transaction requires in the controller.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WriteOutcome {
    /// Whether another controller leads.
    pub deposed: bool,
    /// Jobs whose outcome has become durable.
    pub completed_jobs: Vec<JobId>,
    /// Jobs whose record has to be read.
    pub jobs_to_read: Vec<JobId>,
    /// Keys of a write that the state service rejected on its own, separated by commas.
    pub rejected_keys: Option<String>,
}

impl Leader {
    /// Handles the reply to a transaction.
    pub fn handle_transaction_reply(
        &mut self,
        ctx: &Context,
        pending: PendingTransaction,
        reply: StoreReply,
    ) -> WriteOutcome {
        self.writer.in_flight = false;
        match reply {
            StoreReply::Committed { revision } => self.handle_committed(pending, revision),
            StoreReply::Conflict { failed } => self.handle_conflict(ctx, pending, failed),
            StoreReply::Invalid => self.handle_invalid(ctx, pending),
            StoreReply::Unavailable => {
                self.requeue(ctx, pending);
                self.delay_next_transaction(ctx);
                WriteOutcome::default()
            }
            _ => self.handle_unknown_result(ctx, pending),
        }
    }

    fn handle_committed(
        &mut self,
        pending: PendingTransaction,
        revision: Revision,
    ) -> WriteOutcome {
        self.writer.max_changes = self.writer.max_changes.saturating_mul(2);
        self.writer.record_written(pending.keys, revision);
        for written in pending.completions {
            if let Some(job) = self.cluster.jobs.get_mut(&written.job) {
                job.durable.add_segment(written.segment, &written.text);
            }
        }
        for written in &pending.registry_segments {
            let machines = &mut self.cluster.machines;
            self.scheduler.cycle_due |= self.registry.record_committed_segment(written, machines);
        }
        WriteOutcome { completed_jobs: pending.completed_jobs, ..WriteOutcome::default() }
    }

    /// Queues the changes again. The job records and the mod revisions of the keys whose
    /// precondition failed are read first.
    fn handle_conflict(
        &mut self,
        ctx: &Context,
        pending: PendingTransaction,
        failed: Vec<String>,
    ) -> WriteOutcome {
        let deposed = failed.iter().any(|key| key == LEADER_KEY);
        let jobs = pending.completed_jobs.iter().copied();
        let jobs_to_read = jobs.filter(|job| failed.contains(&active_job_key(*job))).collect();
        for key in failed.into_iter().filter(|key| pending.keys.contains(key)) {
            self.writer.mark_stale(key);
        }
        self.requeue(ctx, pending);
        WriteOutcome { deposed, jobs_to_read, ..WriteOutcome::default() }
    }

    /// Limits the next transaction to half as many changes, and backs off keys that were rejected
    /// on their own. An unchanged transaction would be rejected on each retry and block all later
    /// writes.
    fn handle_invalid(&mut self, ctx: &Context, mut pending: PendingTransaction) -> WriteOutcome {
        let mut outcome = WriteOutcome::default();
        self.writer.max_changes = (pending.changes / 2).max(1);
        let is_single_outcome = pending.completed_jobs.len() == 1 && pending.keys.is_empty();
        if pending.changes <= 1 || is_single_outcome {
            let back_off_until = ctx.now + ctx.cfg.worker_lease_ms * REJECTED_BACK_OFF_LEASES;
            let outcome_keys = pending.completed_jobs.iter().map(|job| active_job_key(*job));
            let keys: Vec<String> = pending.keys.iter().cloned().chain(outcome_keys).collect();
            outcome.rejected_keys = Some(keys.join(","));
            self.writer.back_off.extend(keys.into_iter().map(|key| (key, back_off_until)));
            pending.deleted_completions.clear();
        }
        self.requeue(ctx, pending);
        self.delay_next_transaction(ctx);
        outcome
    }

    /// Queues the changes of a transaction that may still commit later. All of its keys are read
    /// before they are written again, so the delayed transaction and its retry cannot both succeed.
    fn handle_unknown_result(
        &mut self,
        ctx: &Context,
        mut pending: PendingTransaction,
    ) -> WriteOutcome {
        for key in std::mem::take(&mut pending.keys) {
            self.writer.mark_stale(key);
        }
        self.requeue(ctx, pending);
        self.delay_next_transaction(ctx);
        WriteOutcome::default()
    }

    fn requeue(&mut self, ctx: &Context, pending: PendingTransaction) {
        let completions_due_at = ctx.now + ctx.cfg.heartbeat_interval_ms / 4;
        let jobs = &mut self.cluster.jobs;
        self.writer.requeue(jobs, &mut self.registry, pending, completions_due_at);
    }

    fn delay_next_transaction(&mut self, ctx: &Context) {
        self.writer.next_transaction_at = ctx.now + ctx.cfg.heartbeat_interval_ms / 4;
    }

    /// Handles the reply to the read of a key whose mod revision was not known.
    pub fn handle_refresh_reply(&mut self, key: String, reply: StoreReply) {
        self.writer.handle_refresh_reply(key, reply);
    }
}
