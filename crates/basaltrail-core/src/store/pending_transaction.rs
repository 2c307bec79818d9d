//! A leader's transaction that is on its way.

use crate::model::{JobId, MachineId};

/// Completions of a job in a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenCompletions {
    /// The job.
    pub job: JobId,
    /// The segment of its tasks.
    pub segment: u32,
    /// The completed tasks of the segment, as they are stored.
    pub text: String,
}

/// A segment of the machine registry in a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenSegment {
    /// Its number.
    pub segment: usize,
    /// Its machines that may hold tasks.
    pub in_use: Vec<MachineId>,
}

/// What a transaction on its way changes, so that its reply can be recorded, or its changes be
/// written again.
#[derive(Debug, Default)]
pub struct PendingTransaction {
    /// The leader's own keys in it.
    pub keys: Vec<String>,
    /// Jobs whose outcome it writes.
    pub complete_jobs: Vec<JobId>,
    /// Completions of unfinished jobs.
    pub completions: Vec<WrittenCompletions>,
    /// Segments of the machine registry.
    pub registry_segments: Vec<WrittenSegment>,
    /// Segments of completions that it deletes, since their job has ended.
    pub deleted_completions: Vec<(JobId, u32)>,
    /// Whether it writes the fairness ledger.
    pub ledger: bool,
    /// Whether it writes the primary zone.
    pub primary_zone: bool,
    /// Puts and deletes in it.
    pub changes: usize,
}
