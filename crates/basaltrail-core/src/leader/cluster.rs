//! The machines and jobs that a leader keeps account of.

use crate::jobs::JobState;
use crate::machines::Machine;
use crate::model::{JobId, MachineId};
use std::collections::BTreeMap;

/// Machines, with what may run on them, and jobs, with where their tasks may be.
#[derive(Default)]
pub struct Cluster {
    /// Machines that may hold tasks, or are on their way.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Active jobs, and ended ones of which a task may still be somewhere.
    pub jobs: BTreeMap<JobId, JobState>,
}
