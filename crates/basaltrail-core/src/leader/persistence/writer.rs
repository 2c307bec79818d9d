//! What has to be written, and what is known of the keys that it is written under.

use crate::io::{KeyValue, StoreReply};
use crate::jobs::JobState;
use crate::leader::persistence::machine_registry::MachineRegistry;
use crate::model::{JobId, Ms, Revision};
use crate::store::pending_transaction::PendingTransaction;
use crate::store::records::completions_key;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound::{Excluded, Unbounded};

/// What has to be written, and the state of the transaction in flight.
pub struct Writer {
    /// Changes in one transaction, fewer once one was rejected.
    pub(super) max_changes: usize,
    /// Keys that were rejected alone, and until when they are not written.
    pub(super) back_off: BTreeMap<String, Ms>,
    /// Mod revisions of the leader's own keys, as last read or written.
    mod_revisions: HashMap<String, Revision>,
    /// Keys whose mod revision has to be read again, and whether that is on its way.
    pub(super) stale_keys: BTreeMap<String, bool>,
    /// Segments of completions that are to be deleted, since their job has ended.
    pub(in crate::leader) obsolete_completions: BTreeSet<(JobId, u32)>,
    /// Whether a transaction is on its way.
    pub(super) in_flight: bool,
    /// No transaction goes out before.
    pub(super) not_before: Ms,
    /// When completions of unfinished jobs are written next.
    pub(super) next_completions_at: Ms,
    /// Jobs whose tasks are all done and whose outcome is not written yet.
    pub(in crate::leader) complete_jobs: BTreeSet<JobId>,
    /// Jobs with completions that are not written yet.
    pub(in crate::leader) unwritten_jobs: BTreeSet<JobId>,
    /// The job after which the next transaction continues.
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
            not_before: 0,
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
    /// Whether a transaction may go out.
    pub(super) fn is_ready(&self, now: Ms) -> bool {
        !self.in_flight && now >= self.not_before
    }

    /// The mod revision that a key was last seen with; [`Revision::NONE`] if it is not stored.
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

    /// Whether a key must not be written now: its mod revision is not known, or it backs off.
    pub(super) fn is_blocked(&self, key: &str) -> bool {
        self.stale_keys.contains_key(key) || self.back_off.contains_key(key)
    }

    /// The mod revision of a key has to be read before it is written again.
    pub(super) fn mark_stale(&mut self, key: String) {
        self.stale_keys.insert(key, false);
    }

    /// Takes the reply to the read of a key whose mod revision was not known.
    pub(in crate::leader) fn refresh_reply(&mut self, key: String, reply: StoreReply) {
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

    /// Jobs with completions to write, in turn: were the lowest ids written first each time, the
    /// others' completions would wait for as long as more comes than can be written.
    pub(super) fn completion_order(&self) -> Vec<JobId> {
        let last = self.last_written_job;
        let after = self.unwritten_jobs.range((Excluded(last), Unbounded));
        after.chain(self.unwritten_jobs.range(..=last)).copied().collect()
    }

    /// A job has ended and none of its tasks is left: its completions are deleted.
    pub(in crate::leader) fn forget_job(&mut self, job: &JobState) {
        self.complete_jobs.remove(&job.id);
        self.unwritten_jobs.remove(&job.id);
        for segment in &job.stored_segments {
            self.obsolete_completions.insert((job.id, *segment));
            self.mod_revisions.remove(&completions_key(job.id, *segment));
        }
    }

    /// What a transaction did not change has to be written again, completions no later than
    /// `completions_by`.
    pub(super) fn restore(
        &mut self,
        jobs: &mut BTreeMap<JobId, JobState>,
        registry: &mut MachineRegistry,
        pending: PendingTransaction,
        completions_by: Ms,
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
        self.next_completions_at = self.next_completions_at.min(completions_by);
    }
}
