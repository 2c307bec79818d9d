//! Bodies of workers' heartbeats (PROTOCOL, Workers -> controller nodes). Wire names are mapped
//! to the field's terms here.

use serde::{Deserialize, Serialize};

/// A heartbeat with the status of all tasks on the machine.
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
    /// Epoch of the agent: a new one starts when the lease expires.
    #[serde(rename = "tenure")]
    pub(super) epoch: u64,
    #[serde(rename = "folio")]
    pub(super) sequence: u64,
    /// The highest fencing token that the worker accepted.
    #[serde(rename = "warrant")]
    pub(super) token: u64,
    /// Seconds until the cloud reclaims the machine; here it never announces that.
    #[serde(rename = "recallS")]
    pub(super) reclaim_s: Option<f64>,
    #[serde(rename = "leaves")]
    pub(super) tasks: Vec<TaskStatus>,
}

/// The status of one task attempt.
#[derive(Clone, Debug, Serialize)]
pub(super) struct TaskStatus {
    /// `JOB/INDEX`.
    #[serde(rename = "leaf")]
    pub(super) task: String,
    #[serde(rename = "printing")]
    pub(super) attempt: u64,
    #[serde(rename = "condition")]
    pub(super) phase: TaskPhase,
    #[serde(rename = "colophon", skip_serializing_if = "Option::is_none")]
    pub(super) end: Option<EndStatus>,
}

/// The phase of a task attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum TaskPhase {
    /// The image is being fetched.
    Fetching,
    Running,
    Ended,
}

/// How a task attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EndStatus {
    Done,
    Error,
    Stopped,
    /// No such job or task is known.
    Unknown,
    /// Another attempt at the task is on the machine.
    InUse,
    /// The machine has too few free CPUs.
    NoRoom,
}

/// The answer of the leader to a heartbeat (status 200).
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct HeartbeatAnswer {
    #[serde(rename = "warrant", default)]
    pub(super) token: u64,
    #[serde(rename = "orders", default)]
    pub(super) commands: Vec<Command>,
}

/// A command to a worker about one task attempt.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Command {
    /// `start`, `kill` or `forget`.
    #[serde(rename = "order", default)]
    pub(super) name: String,
    /// `JOB/INDEX`.
    #[serde(rename = "leaf", default)]
    pub(super) task: String,
    #[serde(rename = "printing", default)]
    pub(super) attempt: u64,
}

/// The answer of a controller that is not the leader (status 421).
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct NotLeaderAnswer {
    /// Name of the leader, if the controller knows it.
    #[serde(rename = "steward", default)]
    pub(super) leader: Option<String>,
}
