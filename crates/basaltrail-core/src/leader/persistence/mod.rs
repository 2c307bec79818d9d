//! What a leader keeps durable: the machine registry, completions and the fairness ledger.

pub mod flush;
pub mod machine_registry;

use crate::model::{JobId, Ms, Revision};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What has to be written, and the transaction in flight. One is on its way at a time.
pub struct Writer {
    /// Changes in one transaction, fewer once one was rejected.
    pub(in crate::leader) changes_most: usize,
    /// Keys that were rejected alone, and until when they rest.
    pub(in crate::leader) parked: BTreeMap<String, Ms>,
    /// Mod revisions of the leader's own keys, as last read or written.
    pub(in crate::leader) mod_revisions: HashMap<String, Revision>,
    /// Keys whose mod revision has to be read again, and whether that is on its way.
    pub(in crate::leader) refresh: BTreeMap<String, bool>,
    /// Completions of ended jobs that are to be deleted.
    pub(in crate::leader) cleanup: BTreeSet<(JobId, u32)>,
    /// Whether a transaction is on its way.
    pub(in crate::leader) in_flight: bool,
    /// No transaction goes out before.
    pub(in crate::leader) not_before: Ms,
    /// When completions of unfinished jobs are written next.
    pub(in crate::leader) next_parts: Ms,
    /// Jobs whose tasks are all done and whose end is not written yet.
    pub(in crate::leader) complete: BTreeSet<JobId>,
    /// Jobs with completions that are not written yet.
    pub(in crate::leader) unwritten: BTreeSet<JobId>,
    /// The job after which the next transaction goes on.
    pub(in crate::leader) written_last: JobId,
    /// Whether the fairness ledger has to be written.
    pub(in crate::leader) ledger_due: bool,
    /// Whether the preferred zone has to be written.
    pub(in crate::leader) preferred_zone_due: bool,
}

impl Default for Writer {
    fn default() -> Self {
        Writer {
            changes_most: usize::MAX,
            parked: BTreeMap::new(),
            mod_revisions: HashMap::new(),
            refresh: BTreeMap::new(),
            cleanup: BTreeSet::new(),
            in_flight: false,
            not_before: 0,
            next_parts: 0,
            complete: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            written_last: JobId(0),
            ledger_due: false,
            preferred_zone_due: false,
        }
    }
}
