//! Records what became of a transaction.

use crate::io::StoreReply;
use crate::leader::{Context, Leader};
use crate::model::{JobId, Ms, Revision};
use crate::store::pending_transaction::PendingTransaction;
use crate::store::records::{active_job_key, LEADER_KEY};

/// Worker leases for which a key backs off that the state service rejected.
const REJECTED_BACK_OFF_LEASES: Ms = 6;

/// What the reply to a transaction asks of the controller.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct WriteOutcome {
    /// Another controller leads.
    pub deposed: bool,
    /// Jobs whose outcome is durable now.
    pub completed_jobs: Vec<JobId>,
    /// Jobs whose record has to be read.
    pub jobs_to_read: Vec<JobId>,
    /// Keys of a write that the state service will never take, separated by commas.
    pub rejected_keys: Option<String>,
}

impl Leader {
    /// Takes the reply to a transaction.
    pub fn transaction_reply(
        &mut self,
        ctx: &Context,
        pending: PendingTransaction,
        reply: StoreReply,
    ) -> WriteOutcome {
        self.writer.in_flight = false;
        match reply {
            StoreReply::Committed { revision } => self.transaction_committed(pending, revision),
            StoreReply::Conflict { failed } => self.transaction_conflicted(ctx, pending, failed),
            StoreReply::Rejected => self.transaction_rejected(ctx, pending),
            StoreReply::Refused => {
                self.write_again(ctx, pending);
                self.delay_next_transaction(ctx);
                WriteOutcome::default()
            }
            _ => self.transaction_undecided(ctx, pending),
        }
    }

    fn transaction_committed(
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
            self.scheduler.changed |= self.registry.segment_committed(written, machines);
        }
        WriteOutcome { completed_jobs: pending.complete_jobs, ..WriteOutcome::default() }
    }

    /// A precondition failed: the records of such jobs and the mod revisions of such keys have to
    /// be read.
    fn transaction_conflicted(
        &mut self,
        ctx: &Context,
        pending: PendingTransaction,
        failed: Vec<String>,
    ) -> WriteOutcome {
        let deposed = failed.iter().any(|key| key == LEADER_KEY);
        let jobs = pending.complete_jobs.iter().copied();
        let jobs_to_read = jobs.filter(|job| failed.contains(&active_job_key(*job))).collect();
        for key in failed.into_iter().filter(|key| pending.keys.contains(key)) {
            self.writer.mark_stale(key);
        }
        self.write_again(ctx, pending);
        WriteOutcome { deposed, jobs_to_read, ..WriteOutcome::default() }
    }

    /// Written again as it is, the transaction would be rejected for ever, and nothing after it
    /// would be written: fewer changes are made at once, and what is rejected alone backs off.
    fn transaction_rejected(
        &mut self,
        ctx: &Context,
        mut pending: PendingTransaction,
    ) -> WriteOutcome {
        let mut outcome = WriteOutcome::default();
        self.writer.max_changes = (pending.changes / 2).max(1);
        let one_outcome = pending.complete_jobs.len() == 1 && pending.keys.is_empty();
        if pending.changes <= 1 || one_outcome {
            let until = ctx.now + ctx.cfg.lease_ms * REJECTED_BACK_OFF_LEASES;
            let outcome_keys = pending.complete_jobs.iter().map(|job| active_job_key(*job));
            let keys: Vec<String> = pending.keys.iter().cloned().chain(outcome_keys).collect();
            outcome.rejected_keys = Some(keys.join(","));
            self.writer.back_off.extend(keys.into_iter().map(|key| (key, until)));
            pending.deleted_completions.clear();
        }
        self.write_again(ctx, pending);
        self.delay_next_transaction(ctx);
        outcome
    }

    /// The transaction may yet be carried out. Every key is written again only with the mod
    /// revision that it has by then, so the late transaction and ours cannot both succeed.
    fn transaction_undecided(
        &mut self,
        ctx: &Context,
        mut pending: PendingTransaction,
    ) -> WriteOutcome {
        for key in std::mem::take(&mut pending.keys) {
            self.writer.mark_stale(key);
        }
        self.write_again(ctx, pending);
        self.delay_next_transaction(ctx);
        WriteOutcome::default()
    }

    fn write_again(&mut self, ctx: &Context, pending: PendingTransaction) {
        let completions_by = ctx.now + ctx.cfg.heartbeat_interval_ms / 4;
        let jobs = &mut self.cluster.jobs;
        self.writer.restore(jobs, &mut self.registry, pending, completions_by);
    }

    fn delay_next_transaction(&mut self, ctx: &Context) {
        self.writer.not_before = ctx.now + ctx.cfg.heartbeat_interval_ms / 4;
    }

    /// Takes the reply to the read of a key whose mod revision was not known.
    pub fn refresh_reply(&mut self, key: String, reply: StoreReply) {
        self.writer.refresh_reply(key, reply);
    }
}
