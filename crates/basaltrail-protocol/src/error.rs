//! What is wrong with a body. The messages go to users and workers (status 400) and into the log.

use crate::submissions::MAX_TASKS;

/// Why a body is refused. `field` is the wire name of the field at fault.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// The body is not JSON, lacks a field, or has one of another type.
    #[error("not a JSON object of the expected form: {0}")]
    Json(#[from] serde_json::Error),
    /// The name of a job has another spelling.
    #[error("nameId is not of the form job-NNNNNN")]
    JobName,
    /// The kind of a job is unknown.
    #[error("binding must be array or daemon")]
    JobKind,
    /// A job has no tasks or too many.
    #[error("leaves must be 1 to {MAX_TASKS}")]
    TaskCount,
    /// An amount is 0, negative, or too large to be one.
    #[error("{field} must be above 0")]
    NotPositive {
        /// The field.
        field: &'static str,
    },
    /// An amount is negative, or too large to be one.
    #[error("{field} must be 0 or more")]
    Negative {
        /// The field.
        field: &'static str,
    },
    /// The class, the team or the image of a job is empty or too long.
    #[error("a name is empty or too long")]
    JobText,
    /// The zone of a job is empty or too long.
    #[error("room is empty or too long")]
    Zone,
    /// A machine type of a job is empty or too long, or there are too many.
    #[error("formats is not a list of types")]
    MachineTypes,
    /// The name of a machine has another spelling.
    #[error("{field} is not a name")]
    MachineName {
        /// The field.
        field: &'static str,
    },
    /// The address, type or zone of a worker is too long.
    #[error("a name is too long")]
    WorkerText,
    /// The name of a task has another spelling.
    #[error("leaf is not a task")]
    TaskName,
    /// The state of a task is unknown.
    #[error("condition is not known")]
    TaskState,
    /// A change in a watch has neither a key that was put nor one that was deleted.
    #[error("a change that is neither put nor remove")]
    WatchEvent,
}
