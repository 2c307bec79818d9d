//! What a new leader recovers from its predecessor, and how heartbeats are reconciled with it.

pub mod heartbeats;
pub mod reconciliation;
pub mod recovery;

use crate::model::{JobId, MachineId, Ms};
use recovery::EarlyAnswers;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What is being read of the previous leader's records, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Loading {
    /// The machine registry.
    #[default]
    Registry,
    /// Completions of tasks.
    Completions,
    /// The fairness ledger.
    Ledger,
    /// Nothing is left to read.
    Complete,
}

/// What is recovered from the previous leader.
#[derive(Default)]
pub struct Failover {
    /// What is being read.
    pub(in crate::leader) loading: Loading,
    /// Whether a request for it is on its way.
    pub(in crate::leader) load_in_flight: bool,
    /// The key after which the next page begins.
    pub(in crate::leader) load_after: Option<String>,
    /// No request goes out before.
    pub(in crate::leader) load_not_before: Ms,
    /// Until the machine registry is read: what was answered to which machine.
    pub(in crate::leader) early_answers: HashMap<MachineId, EarlyAnswers>,
    /// Completions that were read of jobs that are not known yet.
    pub(in crate::leader) loaded_done: BTreeMap<JobId, Vec<(u32, String)>>,
    /// Jobs that an earlier leader found to fail everywhere.
    pub(in crate::leader) inherited: BTreeSet<JobId>,
    /// Jobs that a worker or a record told of and the job cache does not hold.
    pub unknown: BTreeSet<JobId>,
}
