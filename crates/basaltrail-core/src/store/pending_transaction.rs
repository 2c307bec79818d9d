//! A transaction of the leader that is in flight.

use crate::model::{JobId, MachineId};

/// A segment of a job's completed tasks in a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenCompletions {
    /// The job.
    pub job: JobId,
    /// The index of the segment.
    pub segment: u32,
    /// The completed tasks of the segment in their stored form.
    pub text: String,
}

/// A segment of the machine registry in a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenSegment {
    /// The index of the segment.
    pub segment: usize,
    /// Machines of the segment that may hold tasks.
    pub in_use: Vec<MachineId>,
    /// Machines of the segment that are listed as terminating.
    pub terminating: Vec<MachineId>,
}

/// The changes of a transaction in flight: the reply is applied to them, or they are written again.
#[derive(Debug, Default)]
pub struct PendingTransaction {
    /// Keys of the leader that the transaction puts.
    pub keys: Vec<String>,
    /// Jobs whose outcome the transaction writes.
    pub completed_jobs: Vec<JobId>,
    /// Segments of completed tasks of unfinished jobs.
    pub completions: Vec<WrittenCompletions>,
    /// Segments of the machine registry.
    pub registry_segments: Vec<WrittenSegment>,
    /// Segments of completed tasks that are deleted because the job has ended.
    pub deleted_completions: Vec<(JobId, u32)>,
    /// True if the transaction writes the fairness ledger.
    pub writes_ledger: bool,
    /// True if the transaction writes the primary zone.
    pub writes_primary_zone: bool,
    /// Number of puts and deletes.
    pub changes: usize,
}
