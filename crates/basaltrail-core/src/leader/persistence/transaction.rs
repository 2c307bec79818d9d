//! A transaction under construction.

use crate::io::{Precondition, PutRequest, StoreRequest};
use crate::model::{JobId, JobOutcome, Ms, Revision};
use crate::store::pending_transaction::PendingTransaction;
use crate::store::rate_limiter::{CallPriority, TokenBucket};
use crate::store::records::{active_job_key, encode, outcome_key};

/// Bytes of one transaction: the state service takes 64 KiB in total (PROTOCOL, `POST /txn`), and
/// the rest is for framing that is not counted here.
const MAX_BYTES: usize = 56 * 1024;
/// Bytes that a key with its mod revision, or a change, takes at the most beside the value.
const FRAME_BYTES: usize = 128;
/// Changes that a job's outcome takes: its record goes, its outcome comes.
const OUTCOME_CHANGES: usize = 2;
/// Bytes of a job's outcome at the most.
const OUTCOME_BYTES: usize = 128;

/// A transaction that is filled up to the limits of the state service. One that passes them is
/// rejected for ever, since the same would be written again.
pub(in crate::leader) struct TransactionBuilder {
    preconditions: Vec<Precondition>,
    puts: Vec<PutRequest>,
    deletes: Vec<String>,
    max_changes: usize,
    bytes: usize,
    /// What is written, for the reply.
    pub(in crate::leader) pending: PendingTransaction,
}

impl TransactionBuilder {
    /// An empty transaction that is carried out only under this precondition.
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

    /// Whether so many changes with so many bytes in them still fit. The first always do.
    pub(in crate::leader) fn has_room(&self, changes: usize, bytes: usize) -> bool {
        self.changes() == 0
            || (self.changes() + changes <= self.max_changes
                && self.bytes + changes * 2 * FRAME_BYTES + bytes <= MAX_BYTES)
    }

    /// Whether the outcome of another job still fits.
    pub(in crate::leader) fn has_room_for_outcome(&self) -> bool {
        self.has_room(OUTCOME_CHANGES, OUTCOME_BYTES)
    }

    /// Writes one of the leader's own keys, provided that it has this mod revision.
    pub(in crate::leader) fn put(&mut self, mod_revision: Revision, key: String, value: String) {
        self.bytes += 2 * FRAME_BYTES + value.len();
        self.pending.keys.push(key.clone());
        self.preconditions.push(Precondition::new(key.clone(), mod_revision));
        self.puts.push(PutRequest { key, value, lease_id: None });
    }

    /// Writes that a job is done, provided that its record has this mod revision. The outcome has
    /// no mod revision of its own to compare: a job that is still active has no outcome yet.
    pub(in crate::leader) fn put_outcome(&mut self, job: JobId, mod_revision: Revision) {
        self.bytes += 3 * FRAME_BYTES;
        self.pending.complete_jobs.push(job);
        self.preconditions.push(Precondition::new(active_job_key(job), mod_revision));
        self.deletes.push(active_job_key(job));
        self.puts.push(PutRequest {
            key: outcome_key(job),
            value: encode(&JobOutcome::Done),
            lease_id: None,
        });
    }

    /// Deletes a key, whatever it holds.
    pub(in crate::leader) fn delete(&mut self, key: String) {
        self.bytes += FRAME_BYTES;
        self.deletes.push(key);
    }

    /// The request, and what is kept for its reply; `None` if nothing is changed.
    pub(in crate::leader) fn finish(mut self) -> Option<(StoreRequest, PendingTransaction)> {
        self.pending.changes = self.changes();
        if self.pending.changes == 0 {
            return None;
        }
        let TransactionBuilder { preconditions, puts, deletes, pending, .. } = self;
        Some((StoreRequest::Transaction { preconditions, puts, deletes }, pending))
    }
}

/// The rate limit that the changes of a transaction are paid from.
pub(in crate::leader) struct WriteBudget<'a> {
    /// The present moment.
    pub(in crate::leader) now: Ms,
    /// The limit of writes.
    pub(in crate::leader) writes: &'a mut TokenBucket,
}

impl WriteBudget<'_> {
    /// Takes so many changes from the budget, if it has them.
    pub(in crate::leader) fn acquire(&mut self, changes: usize, priority: CallPriority) -> bool {
        self.writes.try_acquire(self.now, changes as f64, priority)
    }

    /// Takes the changes of a job's outcome from the budget, if it has them.
    pub(in crate::leader) fn acquire_outcome(&mut self) -> bool {
        self.acquire(OUTCOME_CHANGES, CallPriority::Completion)
    }
}

#[cfg(test)]
#[path = "transaction_tests.rs"]
mod tests;
