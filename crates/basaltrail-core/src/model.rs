//! The terms of the field: jobs, tasks, attempts, machines, reports, orders.

use basaltrail_admission::Demand;
pub use basaltrail_admission::Revision;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Milliseconds of this controller's steady clock.
pub type Ms = u64;
/// Milliseconds of the time of day.
pub type WallMs = i64;

/// A job, by the number in its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:06}", self.0)
    }
}

/// One task of an array job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

/// Unique for each start of a task, across leaders: the leader's token is in the high half.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u64);

/// Shows which leader is entitled to command the workers; a larger one wins.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

/// A lease of the key-value store (PROTOCOL: `loan`); keys put under it go when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One life of a worker's agent (PROTOCOL: `tenure`): a larger one began later, and what ran in an
/// earlier one is gone. Agents count from 1; 0 stands for none heard of yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AgentEpoch(pub u64);

impl AgentEpoch {
    /// No agent has been heard of.
    pub const NONE: AgentEpoch = AgentEpoch(0);

    /// The one that follows.
    pub fn next(self) -> Self {
        AgentEpoch(self.0 + 1)
    }
}

/// A machine's name as the cloud gave it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MachineId(pub Arc<str>);

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A request somebody waits on; chosen by the shell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// An outgoing call; chosen by the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "l")]
    Low,
    #[serde(rename = "n")]
    Normal,
    #[serde(rename = "h")]
    High,
    #[serde(rename = "p")]
    Production,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[default]
    #[serde(rename = "a")]
    Array,
    /// Its tasks are replicas that run until the job is cancelled.
    #[serde(rename = "s")]
    Service,
}

impl JobKind {
    fn is_array(&self) -> bool {
        *self == JobKind::Array
    }
}

/// What a user asked for; kept durably while the job is active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    #[serde(default, skip_serializing_if = "JobKind::is_array")]
    pub kind: JobKind,
    pub class: String,
    pub team: String,
    pub priority: Priority,
    pub tasks: u32,
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default)]
    pub one_zone: bool,
    #[serde(default)]
    pub spread: bool,
    #[serde(default)]
    pub spot: bool,
    pub image: String,
    pub image_gb: f64,
    pub estimate_s: f64,
    #[serde(default)]
    pub checkpoint_s: f64,
    #[serde(default)]
    pub save_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    pub fn is_service(&self) -> bool {
        self.kind == JobKind::Service
    }

    /// What its submission asks of an allotment.
    pub fn demand(&self) -> Demand {
        Demand {
            team: self.team.clone(),
            class: self.class.clone(),
            cpus: f64::from(self.tasks) * self.cpus,
            run_s: (!self.is_service()).then_some(self.estimate_s),
        }
    }

    /// Whether its tasks may be placed on machines of this type, zone and kind (PROTOCOL:
    /// `formats`, `room`, `remainders`). Resources and the spread over zones are not considered.
    pub fn permits(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        let type_allowed =
            self.types.as_ref().is_none_or(|types| types.iter().any(|t| t == machine_type));
        let zone_allowed = self.zone.as_deref().is_none_or(|allowed| allowed == zone);
        let kind_allowed = self.spot || !spot;
        type_allowed && zone_allowed && kind_allowed
    }
}

/// How a job ended; never changes once durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "c")]
    Cancelled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    Done,
    Stopped,
    Error,
    NoRoom,
    Busy,
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    Fetching,
    Running,
    Saving,
    Exited(ExitReason),
}

#[derive(Clone, Debug, PartialEq)]
pub struct TaskStatus {
    pub task: TaskId,
    pub attempt: Attempt,
    pub state: TaskState,
}

/// A worker's report, whichever way it came.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    pub machine: MachineId,
    pub endpoint: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub agent_epoch: AgentEpoch,
    pub sequence: u64,
    pub token: FencingToken,
    pub reclaim_notice_s: Option<f64>,
    pub tasks: Vec<TaskStatus>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskCommand {
    Start { task: TaskId, attempt: Attempt },
    Stop { task: TaskId, attempt: Attempt, grace_s: f64 },
    Forget { task: TaskId, attempt: Attempt },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub zones: Vec<String>,
}

impl MachineType {
    /// How many tasks of this job an empty machine of this type holds.
    pub fn holds(&self, job: &JobSpec) -> u32 {
        fits(self.cpus, job.cpus)
            .min(fits(self.memory_gb, job.memory_gb))
            .min(fits(self.gpus, job.gpus))
    }

    pub fn allowed(&self, job: &JobSpec) -> bool {
        job.types.as_ref().is_none_or(|t| t.contains(&self.name))
            && job.zone.as_ref().is_none_or(|z| self.zones.contains(z))
    }
}

/// How often `need` goes into `have`, with room for rounding.
pub fn fits(have: f64, need: f64) -> u32 {
    if need <= 0.0 {
        return u32::MAX;
    }
    let n = ((have + 1e-6) / need).floor();
    if n.is_nan() || n <= 0.0 {
        0
    } else {
        n.min(1e9) as u32
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    Booting,
    Running,
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    pub machine: MachineId,
    pub endpoint: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub state: ListedState,
    pub age_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    Queued,
    Running,
    Done,
    Cancelled,
}
