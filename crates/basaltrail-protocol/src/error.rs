//! Defines the error for malformed bodies. Its messages are sent to users and workers with status
//! 400 and written to the log.

use crate::submissions::MAX_TASKS;

/// The reason why a body is rejected. `field` is the wire name of the invalid field.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// The body is not JSON, or a field is missing or has the wrong type.
    #[error("not a JSON object of the expected form: {0}")]
    Json(#[from] serde_json::Error),
    /// The name of a job is not of the form `job-NNNNNN`.
    #[error("nameId is not of the form job-NNNNNN")]
    JobName,
    /// The kind of a job is unknown.
    #[error("binding must be array or daemon")]
    JobKind,
    /// The number of tasks of a job is 0 or above [`MAX_TASKS`].
    #[error("leaves must be 1 to {MAX_TASKS}")]
    TaskCount,
    /// An amount is 0, negative, not a number, or too large.
    #[error("{field} must be above 0")]
    NotPositive {
        /// The wire name of the field.
        field: &'static str,
    },
    /// An amount is negative, not a number, or too large.
    #[error("{field} must be 0 or more")]
    Negative {
        /// The wire name of the field.
        field: &'static str,
    },
    /// The class, team or image of a job is empty or too long.
    #[error("a name is empty or too long")]
    JobText,
    /// The zone of a job is empty or too long.
    #[error("room is empty or too long")]
    Zone,
    /// A machine type of a job is empty or too long, or the job lists too many of them.
    #[error("formats is not a list of types")]
    MachineTypes,
    /// The name of a machine does not start with `m-`, is too long, or has characters other than
    /// printable ASCII.
    #[error("{field} is not a name")]
    MachineName {
        /// The wire name of the field.
        field: &'static str,
    },
    /// The endpoint, machine type or zone of a worker is too long.
    #[error("a name is too long")]
    WorkerText,
    /// The name of a task is not of the form `job-NNNNNN/INDEX`.
    #[error("leaf is not a task")]
    TaskName,
    /// The state of a task is unknown.
    #[error("condition is not known")]
    TaskState,
    /// A watch event is neither a put with a key and a value nor a delete with a key.
    #[error("a change that is neither put nor remove")]
    WatchEvent,
}
