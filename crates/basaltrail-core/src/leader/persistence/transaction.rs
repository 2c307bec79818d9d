//! Construction of transactions within the limits of the state service.

use crate::io::{Precondition, PutRequest, StoreRequest};
use crate::model::{JobId, JobOutcome, Ms, Revision};
use crate::store::pending_transaction::PendingTransaction;
use crate::store::rate_limiter::{CallPriority, TokenBucket};
use crate::store::records::{active_job_key, encode, outcome_key};

/// Limit of the size of a transaction, in bytes. The state service accepts 64 KiB in total
/// (PROTOCOL, `POST /txn`); the rest is reserved for framing that is not counted here.
const MAX_BYTES: usize = 56 * 1024;
/// Upper bound of the encoded size of a precondition, or of a change without its value, in bytes.
const FRAME_BYTES: usize = 128;
/// Changes for a job's outcome: a delete of the job's record and a put of the outcome.
const OUTCOME_CHANGES: usize = 2;
/// Upper bound of the size of a job's outcome, in bytes.
const MAX_OUTCOME_BYTES: usize = 128;

/// Builds a transaction within the limits of the state service. A transaction that exceeds them
/// would be rejected on each retry, since the same changes would be written again.
pub(in crate::leader) struct TransactionBuilder {
    preconditions: Vec<Precondition>,
    puts: Vec<PutRequest>,
    deletes: Vec<String>,
    max_changes: usize,
    bytes: usize,
    /// Contents of the transaction, kept to handle its reply.
    pub(in crate::leader) pending: PendingTransaction,
}

impl TransactionBuilder {
    /// Returns an empty transaction with a precondition.
    pub(in crate::leader) fn new(precondition: Precondition, max_changes: usize) -> Self {
        TransactionBuilder {
            preconditions: vec![precondition],
            puts: Vec::new(),
            deletes: Vec::new(),
            max_changes,
            bytes: FRAME_BYTES,
            pending: PendingTransaction::default(),
        }
    }

    fn changes(&self) -> usize {
        self.puts.len() + self.deletes.len()
    }

    /// Returns whether `changes` more changes with `bytes` bytes of values in total fit. The first
    /// changes always fit.
    pub(in crate::leader) fn has_room(&self, changes: usize, bytes: usize) -> bool {
        self.changes() == 0
            || (self.changes() + changes <= self.max_changes
                && self.bytes + changes * 2 * FRAME_BYTES + bytes <= MAX_BYTES)
    }

    /// Returns whether the outcome of another job fits.
    pub(in crate::leader) fn has_room_for_outcome(&self) -> bool {
        self.has_room(OUTCOME_CHANGES, MAX_OUTCOME_BYTES)
    }

    /// Adds a put of one of the leader's keys, with its mod revision as a precondition.
    pub(in crate::leader) fn put(&mut self, mod_revision: Revision, key: String, value: String) {
        self.bytes += 2 * FRAME_BYTES + value.len();
        self.pending.keys.push(key.clone());
        self.preconditions.push(Precondition::new(key.clone(), mod_revision));
        self.puts.push(PutRequest { key, value, lease_id: None });
    }

    /// Adds the outcome of a job whose tasks are all done, with the mod revision of its record as a
    /// precondition. The key of the outcome needs no precondition, since an active job has no
    /// outcome yet.
    pub(in crate::leader) fn put_outcome(&mut self, job: JobId, mod_revision: Revision) {
        self.bytes += 3 * FRAME_BYTES;
        self.pending.completed_jobs.push(job);
        self.preconditions.push(Precondition::new(active_job_key(job), mod_revision));
        self.deletes.push(active_job_key(job));
        self.puts.push(PutRequest {
            key: outcome_key(job),
            value: encode(&JobOutcome::Done),
            lease_id: None,
        });
    }

    /// Adds an unconditional delete of a key.
    pub(in crate::leader) fn delete(&mut self, key: String) {
        self.bytes += FRAME_BYTES;
        self.deletes.push(key);
    }

    /// Returns the request and the contents kept for its reply; `None` if there are no changes.
    pub(in crate::leader) fn finish(mut self) -> Option<(StoreRequest, PendingTransaction)> {
        self.pending.changes = self.changes();
        if self.pending.changes == 0 {
            return None;
        }
        let TransactionBuilder { preconditions, puts, deletes, pending, .. } = self;
        Some((StoreRequest::Transaction { preconditions, puts, deletes }, pending))
    }
}

/// The rate limit of writes that the changes of a transaction count against.
pub(in crate::leader) struct WriteBudget<'a> {
    /// Current time.
    pub(in crate::leader) now: Ms,
    /// Rate limiter of writes.
    pub(in crate::leader) writes: &'a mut TokenBucket,
}

impl WriteBudget<'_> {
    /// Acquires a number of changes from the budget. Returns false if it does not allow them at
    /// this priority.
    pub(in crate::leader) fn acquire(&mut self, changes: usize, priority: CallPriority) -> bool {
        self.writes.try_acquire(self.now, changes as f64, priority)
    }

    /// Acquires the changes for a job's outcome. Returns false if the budget does not allow them.
    pub(in crate::leader) fn acquire_outcome(&mut self) -> bool {
        self.acquire(OUTCOME_CHANGES, CallPriority::Completion)
    }
}

#[cfg(test)]
#[path = "transaction_tests.rs"]
mod tests;
