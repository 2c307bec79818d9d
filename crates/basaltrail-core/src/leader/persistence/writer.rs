//! The leader's pending writes and the mod revisions of its keys.

use crate::io::{KeyValue, StoreReply};
use crate::jobs::JobState;
use crate::leader::persistence::machine_registry::MachineRegistry;
use crate::model::{JobId, Ms, Revision};
use crate::store::pending_transaction::PendingTransaction;
use crate::store::records::completions_key;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound::{Excluded, Unbounded};

/// Pending writes, the mod revisions of the leader's keys, and the state of the transaction in
/// flight.
pub struct Writer {
    /// Limit of changes in one transaction. It is lowered after a rejected transaction and doubled
    /// after a committed one.
    pub(super) max_changes: usize,
    /// Keys whose write was rejected on its own, with the end of their back-off.
    pub(super) back_off: BTreeMap<String, Ms>,
    /// Mod revisions of the leader's keys, as last read or written.
    mod_revisions: HashMap<String, Revision>,
    /// Keys whose mod revision has to be read again, and whether the read is in flight.
    pub(super) stale_keys: BTreeMap<String, bool>,
    /// Segments of completions to delete, since their job has ended.
    pub(in crate::leader) obsolete_completions: BTreeSet<(JobId, u32)>,
    /// Whether a transaction is in flight.
    pub(super) in_flight: bool,
    /// Earliest time of the next transaction.
    pub(super) next_transaction_at: Ms,
    /// Earliest time at which completions of unfinished jobs are written next.
    pub(super) next_completions_at: Ms,
    /// Jobs whose tasks are all done. Their outcome has to be written unless they have ended.
    pub(in crate::leader) complete_jobs: BTreeSet<JobId>,
    /// Jobs with completions that are neither stored nor in the transaction in flight.
    pub(in crate::leader) unwritten_jobs: BTreeSet<JobId>,
    /// Job whose completions were last added to a transaction; the next transaction continues after
    /// it.
    pub(super) last_written_job: JobId,
    /// Whether the fairness ledger has to be written.
    pub(in crate::leader) ledger_due: bool,
    /// Whether the primary zone has to be written.
    pub(in crate::leader) primary_zone_due: bool,
}

impl Default for Writer {
    fn default() -> Self {
        Writer {
            max_changes: usize::MAX,
            back_off: BTreeMap::new(),
            mod_revisions: HashMap::new(),
            stale_keys: BTreeMap::new(),
            obsolete_completions: BTreeSet::new(),
            in_flight: false,
            next_transaction_at: 0,
            next_completions_at: 0,
            complete_jobs: BTreeSet::new(),
            unwritten_jobs: BTreeSet::new(),
            last_written_job: JobId(0),
            ledger_due: false,
            primary_zone_due: false,
        }
    }
}

impl Writer {
    /// Returns whether a transaction may be sent.
    pub(super) fn is_ready(&self, now: Ms) -> bool {
        !self.in_flight && now >= self.next_transaction_at
    }

    /// Returns the last known mod revision of a key; [`Revision::NONE`] if the key is not stored.
    pub(super) fn mod_revision(&self, key: &str) -> Revision {
        self.mod_revisions.get(key).copied().unwrap_or(Revision::NONE)
    }

    /// Records the mod revision of a key that was read.
    pub(in crate::leader) fn record_revision(&mut self, item: &KeyValue) {
        self.mod_revisions.insert(item.key.clone(), item.mod_revision);
    }

    /// Records the mod revision of keys that were written.
    pub(super) fn record_written(&mut self, keys: Vec<String>, revision: Revision) {
        for key in keys {
            self.mod_revisions.insert(key, revision);
        }
    }

    /// Returns whether a key must not be written now, since its mod revision is not known or its
    /// back-off has not ended.
    pub(super) fn is_blocked(&self, key: &str) -> bool {
        self.stale_keys.contains_key(key) || self.back_off.contains_key(key)
    }

    /// Marks a key as one whose mod revision has to be read before the key is written again.
    pub(super) fn mark_stale(&mut self, key: String) {
        self.stale_keys.insert(key, false);
    }

    /// Handles the reply to the read of a key whose mod revision was not known.
    pub(in crate::leader) fn handle_refresh_reply(&mut self, key: String, reply: StoreReply) {
        match reply {
            StoreReply::KeyValue(item) => {
                self.mod_revisions.insert(key.clone(), item.mod_revision);
                self.stale_keys.remove(&key);
            }
            StoreReply::NotFound => {
                self.mod_revisions.remove(&key);
                self.stale_keys.remove(&key);
            }
            _ => self.mark_stale(key),
        }
    }

    /// Returns the jobs with unwritten completions, in round-robin order. With a fixed order,
    /// completions of jobs with high IDs would not be written as long as more completions arrive
    /// than can be written.
    pub(super) fn completion_order(&self) -> Vec<JobId> {
        let last = self.last_written_job;
        let after = self.unwritten_jobs.range((Excluded(last), Unbounded));
        after.chain(self.unwritten_jobs.range(..=last)).copied().collect()
    }

    /// Removes the pending writes of an ended job that has no tasks on machines, and schedules the
    /// deletion of its completions.
    pub(in crate::leader) fn remove_job(&mut self, job: &JobState) {
        self.complete_jobs.remove(&job.id);
        self.unwritten_jobs.remove(&job.id);
        for segment in &job.stored_segments {
            self.obsolete_completions.insert((job.id, *segment));
            self.mod_revisions.remove(&completions_key(job.id, *segment));
        }
    }

    /// Queues the changes of a failed transaction again; completions are due no later than
    /// `completions_due_at`.
    pub(super) fn requeue(
        &mut self,
        jobs: &mut BTreeMap<JobId, JobState>,
        registry: &mut MachineRegistry,
        pending: PendingTransaction,
        completions_due_at: Ms,
    ) {
        for written in pending.completions {
            if let Some(job) = jobs.get_mut(&written.job) {
                job.dirty_segments.insert(written.segment);
                self.unwritten_jobs.insert(written.job);
            }
        }
        registry.dirty.extend(pending.registry_segments.iter().map(|written| written.segment));
        self.obsolete_completions.extend(pending.deleted_completions);
        self.ledger_due |= pending.writes_ledger;
        self.primary_zone_due |= pending.writes_primary_zone;
        self.next_completions_at = self.next_completions_at.min(completions_due_at);
    }
}
