//! Messages between workers and controllers (PROTOCOL, Workers -> controller nodes). Serde
//! attributes map the fields to their names on the wire.

use serde::{Deserialize, Serialize};

/// A heartbeat, with the status of all task attempts on the machine.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Heartbeat {
    #[serde(rename = "stack")]
    pub(super) machine: String,
    pub(super) endpoint: &'static str,
    #[serde(rename = "format")]
    pub(super) machine_type: &'static str,
    #[serde(rename = "room")]
    pub(super) zone: &'static str,
    #[serde(rename = "remainders")]
    pub(super) spot: bool,
    /// Epoch of the agent; a new epoch starts when the worker lease expires.
    #[serde(rename = "tenure")]
    pub(super) epoch: u64,
    /// Number of the heartbeat.
    #[serde(rename = "folio")]
    pub(super) sequence: u64,
    /// Highest fencing token that the worker has accepted.
    #[serde(rename = "warrant")]
    pub(super) token: u64,
    /// Seconds until the cloud reclaims the machine; always `None`, since the stand-in for the cloud
    /// sends no reclaim notices.
    #[serde(rename = "recallS")]
    pub(super) reclaim_s: Option<f64>,
    #[serde(rename = "leaves")]
    pub(super) tasks: Vec<TaskStatus>,
}

/// Status of a task attempt.
#[derive(Clone, Debug, Serialize)]
pub(super) struct TaskStatus {
    /// Name of the task, `JOB/INDEX`.
    #[serde(rename = "leaf")]
    pub(super) task: String,
    #[serde(rename = "printing")]
    pub(super) attempt: u64,
    #[serde(rename = "condition")]
    pub(super) phase: TaskPhase,
    #[serde(rename = "colophon", skip_serializing_if = "Option::is_none")]
    pub(super) end: Option<EndStatus>,
}

/// Phase of a task attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum TaskPhase {
    /// The worker is fetching the image.
    Fetching,
    Running,
    Ended,
}

/// Outcome of a task attempt that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EndStatus {
    Done,
    Error,
    Stopped,
    /// The worker does not know the job or the task.
    Unknown,
    /// Another attempt of the task is active on the machine.
    #[serde(rename = "in_use")]
    OtherAttemptActive,
    /// The machine has too few free CPUs.
    #[serde(rename = "no_room")]
    InsufficientCpus,
}

/// The leader's answer to a heartbeat (status 200).
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct HeartbeatAnswer {
    #[serde(rename = "warrant", default)]
    pub(super) token: u64,
    #[serde(rename = "orders", default)]
    pub(super) commands: Vec<Command>,
}

/// A command to a worker, for one task attempt.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Command {
    /// `start`, `kill` or `forget`.
    #[serde(rename = "order", default)]
    pub(super) name: String,
    /// Name of the task, `JOB/INDEX`.
    #[serde(rename = "leaf", default)]
    pub(super) task: String,
    #[serde(rename = "printing", default)]
    pub(super) attempt: u64,
}

/// The answer of a controller that is not the leader to a heartbeat (status 421).
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct NotLeaderAnswer {
    /// Name of the leader; `None` if the controller does not know it.
    #[serde(rename = "steward", default)]
    pub(super) leader: Option<String>,
}
