//! The terms that every part shares: jobs, tasks and attempts, machines and their types,
//! heartbeats and commands. PROTOCOL's own words for them are given where they differ.

use basaltrail_admission::JobDemand;
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

/// One task of a job (PROTOCOL: `leaf`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// Its number in the job, from 0.
    pub index: u32,
}

/// Unique for each start of a task, across leaders: the leader's token is in the high half
/// (PROTOCOL: `printing`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u64);

/// Shows which leader may command the workers; a larger one wins (PROTOCOL, "Tokens").
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

/// A request that somebody waits on; chosen by the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// An outgoing call; chosen by the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The priority of a job, the lowest first (PROTOCOL: `precedence`, "Preemption").
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// `best_effort`.
    #[serde(rename = "l")]
    Low,
    /// `standard`.
    #[serde(rename = "n")]
    Normal,
    /// `urgent`.
    #[serde(rename = "h")]
    High,
    /// `critical`.
    #[serde(rename = "p")]
    Production,
}

/// Whether the tasks of a job end by themselves.
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

/// What a user asked for; stored while the job is active (PROTOCOL, "POST /api/jobs").
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Whether its tasks end by themselves.
    #[serde(default, skip_serializing_if = "JobKind::is_array")]
    pub kind: JobKind,
    /// The class, for which objectives are set.
    pub class: String,
    /// The team whose guarantee and limit apply.
    pub team: String,
    /// Its priority.
    pub priority: Priority,
    /// Number of its tasks, or of its replicas.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of each task, in GB.
    pub memory_gb: f64,
    /// Machine types that it allows; none for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone that it allows; none for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All its tasks must be in the same zone.
    #[serde(default)]
    pub one_zone: bool,
    /// At most half of its tasks, rounded up, may be in one zone.
    #[serde(default)]
    pub spread: bool,
    /// It may use spot machines.
    #[serde(default)]
    pub spot: bool,
    /// The image that a machine must hold before a task can start.
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Seconds that a task is estimated to run, without the fetch of the image. Often wrong by
    /// half.
    pub estimate_s: f64,
    /// Seconds of progress after which a task saves a checkpoint; 0 if it never saves.
    #[serde(default)]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save when it is stopped.
    #[serde(default)]
    pub save_s: f64,
    /// Seconds from its submission to its deadline; none without one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Whether its tasks are replicas that run until it is cancelled.
    pub fn is_service(&self) -> bool {
        self.kind == JobKind::Service
    }

    /// What its submission asks of an admission quota.
    pub fn demand(&self) -> JobDemand {
        JobDemand {
            team: self.team.clone(),
            class: self.class.clone(),
            cpus: f64::from(self.tasks) * self.cpus,
            run_s: (!self.is_service()).then_some(self.estimate_s),
        }
    }

    /// Whether its tasks may be placed on machines of this type, zone and kind (PROTOCOL:
    /// `formats`, `room`, `remainders`). Resources and the spread over zones are not considered.
    pub fn permits(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        let type_allowed = self
            .types
            .as_ref()
            .is_none_or(|types| types.iter().any(|allowed| allowed == machine_type));
        let zone_allowed = self.zone.as_deref().is_none_or(|allowed| allowed == zone);
        let kind_allowed = self.spot || !spot;
        type_allowed && zone_allowed && kind_allowed
    }
}

/// How a job ended; never changes once durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All its tasks are done.
    #[serde(rename = "d")]
    Done,
    /// Its user cancelled it.
    #[serde(rename = "c")]
    Cancelled,
}

/// Why a task is not on its machine any more (PROTOCOL: `colophon`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// It completed.
    Done,
    /// It was stopped by a command.
    Stopped,
    /// It failed: the machine is faulty, or the job is.
    Error,
    /// Its start was refused: not enough free resources on the machine.
    NoRoom,
    /// Its start was refused: the task is there by another attempt.
    Busy,
    /// Its start was refused: the worker knows no such job.
    Unknown,
}

/// What a worker tells of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It waits for its image.
    Fetching,
    /// It runs.
    Running,
    /// It was told to stop and saves (PROTOCOL: `flushing`).
    Saving,
    /// It is over; the worker tells so until it is told to forget it.
    Exited(ExitReason),
}

/// A task on a machine, as a heartbeat tells of it.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// The attempt that was started.
    pub attempt: Attempt,
    /// Its state.
    pub state: TaskState,
}

/// A worker's report, whichever way it came (PROTOCOL, "POST /checkin").
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The machine.
    pub machine: MachineId,
    /// Where its agent takes commands.
    pub endpoint: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The life of the agent.
    pub agent_epoch: AgentEpoch,
    /// Grows with every report; of two, the one with the larger epoch and number is the newer.
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    pub token: FencingToken,
    /// Seconds until the cloud takes the machine back, if it has said so.
    pub reclaim_notice_s: Option<f64>,
    /// All tasks on the machine, exited ones included.
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker; all can be repeated (PROTOCOL, "POST /checkin").
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskCommand {
    /// Starts an attempt.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
    /// Stops an attempt.
    Stop {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Seconds that it may take to save; less than it needs ends it at once.
        grace_s: f64,
    },
    /// Drops an exited attempt from the heartbeats.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
}

/// A type of machine that the cloud rents (PROTOCOL, "GET /machine_types").
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
    /// Space for images, in GB.
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB a second.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine, per hour.
    pub price: f64,
    /// Price of a spot machine, per hour.
    pub spot_price: f64,
    /// Seconds from the request until a machine usually is up.
    pub boot_s: f64,
    /// Zones where it is rented.
    pub zones: Vec<String>,
}

impl MachineType {
    /// Whether the job allows this type, in one of its zones at least.
    pub fn allowed(&self, job: &JobSpec) -> bool {
        job.types.as_ref().is_none_or(|types| types.contains(&self.name))
            && job.zone.as_ref().is_none_or(|zone| self.zones.contains(zone))
    }
}

/// Rounding allowed when a demand is compared with what is there.
const FIT_TOLERANCE: f64 = 1e-6;
/// More than any job has tasks.
const MAX_FITS: f64 = 1e9;

/// How often `need` goes into `have`, with a tolerance for rounding; without a need, without end.
pub fn fits(have: f64, need: f64) -> u32 {
    if need <= 0.0 {
        return u32::MAX;
    }
    let times = ((have + FIT_TOLERANCE) / need).floor();
    if times.is_nan() || times <= 0.0 {
        return 0;
    }
    times.min(MAX_FITS) as u32
}

/// The state of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// It is being provisioned (PROTOCOL: `starting`); it may be up already, since the list lags.
    Booting,
    /// It is up, or was when the list was made.
    Running,
    /// It stopped by itself, and is listed until it is returned.
    Failed,
}

/// A rented machine in the cloud's list (PROTOCOL, "GET /rentals").
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// The machine.
    pub machine: MachineId,
    /// Where its agent takes commands.
    pub endpoint: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its state.
    pub state: ListedState,
    /// Seconds since it was asked for, at the time that the list describes.
    pub age_s: f64,
}

/// What a user is told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// All tasks are done; it stays so.
    Done,
    /// Cancelled by its user; it stays so.
    Cancelled,
}
