//! Types that all modules share: jobs, tasks and attempts, machines and machine types, heartbeats
//! and commands. Where PROTOCOL uses another word for a type, its doc comment gives that word.

use basaltrail_admission::JobDemand;
pub use basaltrail_admission::Revision;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A time on this controller's monotonic clock, or a duration, in milliseconds.
pub type Ms = u64;
/// A wall-clock time, in milliseconds.
pub type WallMs = i64;

/// The ID of a job: the number in its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:06}", self.0)
    }
}

/// The ID of a task (PROTOCOL: `leaf`).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The index of the task within the job, from 0.
    pub index: u32,
}

/// The ID of one start of a task (PROTOCOL: `printing`). The fencing token of the leader in the high
/// half makes it unique across leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt(pub u64);

/// The token that identifies a leader to the workers (PROTOCOL, "Tokens"). Workers obey the leader
/// with the highest token that they have seen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct FencingToken(pub u64);

/// The ID of a lease of the key-value store (PROTOCOL: `loan`). When the lease expires, the keys that
/// are attached to it are deleted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId(pub u64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The number of a run of a worker's agent (PROTOCOL: `tenure`). A later run has a larger number, and
/// none of the tasks of an earlier run still exist. Epochs start at 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AgentEpoch(pub u64);

impl AgentEpoch {
    /// Epoch 0, of a worker that has not sent a heartbeat yet.
    pub const NONE: AgentEpoch = AgentEpoch(0);

    /// Returns the epoch that follows this one.
    pub fn next(self) -> Self {
        AgentEpoch(self.0 + 1)
    }
}

/// The ID of a machine: the name that the cloud assigned to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MachineId(pub Arc<str>);

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The ID of a request that a client waits on; assigned by the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// The ID of a call to the store or the cloud; assigned by the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The priority of a job, ordered from the lowest to the highest (PROTOCOL: `precedence`,
/// "Preemption").
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// PROTOCOL: `best_effort`.
    #[serde(rename = "l")]
    Low,
    /// PROTOCOL: `standard`.
    #[serde(rename = "n")]
    Normal,
    /// PROTOCOL: `urgent`.
    #[serde(rename = "h")]
    High,
    /// PROTOCOL: `critical`.
    #[serde(rename = "p")]
    Production,
}

/// The kind of a job: whether its tasks run to completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    #[default]
    #[serde(rename = "a")]
    Array,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "s")]
    Service,
}

impl JobKind {
    fn is_array(&self) -> bool {
        *self == JobKind::Array
    }
}

/// The specification of a job as its user submitted it; stored while the job is active (PROTOCOL,
/// "POST /api/jobs").
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The kind of the job.
    #[serde(default, skip_serializing_if = "JobKind::is_array")]
    pub kind: JobKind,
    /// The class, for which objectives are set.
    pub class: String,
    /// The team whose guarantee and limit apply.
    pub team: String,
    /// The priority of the job.
    pub priority: Priority,
    /// Number of tasks, or of replicas of a service.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// GPUs of each task.
    #[serde(default)]
    pub gpus: f64,
    /// Memory of each task, in GB.
    pub memory_gb: f64,
    /// The machine types on which tasks may run; any type if `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone in which tasks may run; any zone if `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(default)]
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    #[serde(default)]
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// The image that a machine must hold before a task can start.
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Estimated run time of a task in seconds, excluding the image fetch. Estimates are often
    /// wrong by half.
    pub estimate_s: f64,
    /// Seconds of progress after which a task saves a checkpoint; 0 if it never saves.
    #[serde(default)]
    pub checkpoint_s: f64,
    /// Seconds that a task needs to save its progress when it is stopped.
    #[serde(default)]
    pub save_s: f64,
    /// Seconds from the submission to the deadline, if the job has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// Returns whether the job is a service.
    pub fn is_service(&self) -> bool {
        self.kind == JobKind::Service
    }

    /// Returns the amount that the job requests from an admission quota.
    pub fn demand(&self) -> JobDemand {
        JobDemand {
            team: self.team.clone(),
            class: self.class.clone(),
            cpus: f64::from(self.tasks) * self.cpus,
            run_s: (!self.is_service()).then_some(self.estimate_s),
        }
    }

    /// Returns whether tasks may be placed on machines of a type, zone and kind (PROTOCOL:
    /// `formats`, `room`, `remainders`). Resources, `one_zone` and `spread` are not considered.
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

/// The outcome of a job. Once durable, it never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All tasks are done.
    #[serde(rename = "d")]
    Done,
    /// The job was cancelled by its user.
    #[serde(rename = "c")]
    Cancelled,
}

/// The reason why a task is no longer on its machine (PROTOCOL: `colophon`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// The task completed.
    Done,
    /// The task was stopped by a command.
    Stopped,
    /// The task failed because of a fault of the job or of the machine.
    Error,
    /// The worker refused the start: the machine has too few free resources.
    NoRoom,
    /// The worker refused the start: another attempt of the task is on the machine.
    Busy,
    /// The worker refused the start: it does not know the job.
    Unknown,
}

/// The state of a task on a machine, as its worker reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// The machine fetches the image of the task.
    Fetching,
    /// The task runs.
    Running,
    /// The task was commanded to stop and saves its progress (PROTOCOL: `flushing`).
    Saving,
    /// The task has ended. The worker reports it until it gets [`TaskCommand::Forget`].
    Exited(ExitReason),
}

/// The entry of a task in a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// The attempt that was started.
    pub attempt: Attempt,
    /// The state of the attempt.
    pub state: TaskState,
}

/// A heartbeat of a worker (PROTOCOL, "POST /checkin").
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The machine.
    pub machine: MachineId,
    /// The address at which the agent accepts commands.
    pub endpoint: String,
    /// The machine type.
    pub machine_type: String,
    /// The zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The epoch of the agent.
    pub agent_epoch: AgentEpoch,
    /// The sequence number within the epoch. The heartbeat with the larger pair of epoch and
    /// sequence number is the newer one.
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine; `None` without a reclaim notice.
    pub reclaim_notice_s: Option<f64>,
    /// All tasks on the machine, exited ones included.
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker. All commands are idempotent (PROTOCOL, "POST /checkin").
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
        /// Seconds that the task may take to save its progress. A task that would need longer ends
        /// immediately without saving.
        grace_s: f64,
    },
    /// Removes an exited attempt from the worker's heartbeats.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
    },
}

/// A machine type that the cloud offers (PROTOCOL, "GET /machine_types").
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    /// The name of the type.
    pub name: String,
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
    /// Size of the image cache, in GB.
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine, per hour.
    pub price: f64,
    /// Price of a spot machine, per hour.
    pub spot_price: f64,
    /// Usual time from the provisioning request until a machine is up, in seconds.
    pub boot_s: f64,
    /// Zones in which the type is offered.
    pub zones: Vec<String>,
}

impl MachineType {
    /// Returns whether a job allows this type in at least one of the zones that offer it.
    pub fn is_allowed_by(&self, job: &JobSpec) -> bool {
        job.types.as_ref().is_none_or(|types| types.contains(&self.name))
            && job.zone.as_ref().is_none_or(|zone| self.zones.contains(zone))
    }
}

/// Rounding error that is tolerated when a demand is compared with the available amount.
const FIT_TOLERANCE: f64 = 1e-6;
/// Upper bound of [`fitting_tasks`] for a positive demand; no job has this many tasks.
const MAX_FITTING_TASKS: f64 = 1e9;

/// Returns how many tasks with this demand fit into `available`, with a tolerance for rounding
/// errors; `u32::MAX` if the demand is zero.
pub fn fitting_tasks(available: f64, demand: f64) -> u32 {
    if demand <= 0.0 {
        return u32::MAX;
    }
    let count = ((available + FIT_TOLERANCE) / demand).floor();
    if count.is_nan() || count <= 0.0 {
        return 0;
    }
    count.min(MAX_FITTING_TASKS) as u32
}

/// The state of a machine in the cloud's inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The machine is being provisioned (PROTOCOL: `starting`). It may be up already, since the
    /// inventory lags.
    Booting,
    /// The machine was up at the time that the inventory describes.
    Running,
    /// The machine has failed. It is listed until it is terminated.
    Failed,
}

/// A machine in the cloud's inventory (PROTOCOL, "GET /rentals").
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// The machine.
    pub machine: MachineId,
    /// The address at which the agent accepts commands.
    pub endpoint: String,
    /// The machine type.
    pub machine_type: String,
    /// The zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The state of the machine.
    pub state: ListedState,
    /// Seconds from the provisioning request to the time that the inventory describes.
    pub age_s: f64,
}

/// The status of a job as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// The job was accepted and no task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks are done. This status is final.
    Done,
    /// The job was cancelled by its user. This status is final.
    Cancelled,
}
