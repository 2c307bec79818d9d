//! The history of a run: what users and workers observed, ordered by time.
//!
//! The [checker](crate::checker) and the [metrics](crate::metrics) are computed from it alone. It
//! is written as JSON lines, one event a line.

use crate::clock::Ms;
use crate::lock;
use serde::Serialize;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// The kind of a user's request about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UserRequest {
    /// A submission, the first one or an idempotent repeat.
    Submit,
    /// A query for the job's phase.
    Poll,
    /// A cancellation.
    Cancel,
}

/// The phase of a job, as controllers report it to its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// No task runs.
    Queued,
    /// At least one task runs.
    Running,
    /// All tasks completed.
    Done,
    /// The job was cancelled; `aborted` on the wire.
    Cancelled,
}

impl JobPhase {
    /// Whether the phase is final: a job never leaves it.
    pub fn is_terminal(self) -> bool {
        matches!(self, JobPhase::Done | JobPhase::Cancelled)
    }
}

/// Why a task no longer runs on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEndReason {
    /// The task completed.
    Completed,
    /// The task failed.
    Failed,
    /// A controller commanded the worker to stop the task.
    Stopped,
    /// The worker's lease expired.
    LeaseExpired,
    /// The machine crashed or was released.
    MachineGone,
}

/// One attempt at one task of a job, on one machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct TaskAttempt {
    /// Number of the job.
    pub job: u64,
    /// Index of the task within the job.
    pub task: u32,
    /// Number of the attempt, unique within the task.
    pub attempt: u64,
    /// Name of the machine.
    pub machine: String,
}

/// What a job requires, as far as the checker and the workers need it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobRequirements {
    /// Team that the job is accounted to.
    pub team: String,
    /// Workload class.
    pub class: String,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// Whether the tasks may run on spot machines.
    pub spot: bool,
    /// The only zone in which the tasks may run; any zone if it is `None`.
    pub zone: Option<String>,
    /// Whether the tasks run until the job is cancelled.
    pub service: bool,
}

impl JobRequirements {
    /// Requirements of an array job that may run on spot machines of any zone, of class `array`.
    pub fn array(team: &str, tasks: u32, cpus: f64) -> Self {
        JobRequirements {
            team: team.into(),
            class: "array".into(),
            tasks,
            cpus,
            spot: true,
            zone: None,
            service: false,
        }
    }
}

/// An observation of a user or a worker, or an action of the testbed itself.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventKind {
    /// A user is about to submit a job for the first time.
    SubmissionStarted {
        /// Number of the job.
        job: u64,
        /// What the job requires.
        requirements: JobRequirements,
    },
    /// A user is about to send the first cancellation of a job.
    CancellationStarted {
        /// Number of the job.
        job: u64,
    },
    /// A user's request was answered or timed out.
    ResponseReceived {
        /// Number of the job.
        job: u64,
        /// Kind of the request.
        request: UserRequest,
        /// When the request was sent.
        sent_ms: Ms,
        /// Index of the controller that received the request.
        controller: usize,
        /// HTTP status; `None` without an answer.
        status: Option<u16>,
        /// Phase of the job, if the answer carried it.
        phase: Option<JobPhase>,
        /// `Retry-After` of the answer, in seconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_s: Option<u64>,
    },
    /// The query for a job that nobody submitted was answered.
    UnknownJobQueried {
        /// Number of the job.
        job: u64,
        /// HTTP status.
        status: u16,
    },
    /// The worker of a machine started.
    MachineStarted {
        /// Name of the machine.
        machine: String,
        /// Zone of the machine.
        zone: String,
        /// Whether it is a spot machine.
        spot: bool,
    },
    /// A worker received a command in the answer to a heartbeat.
    CommandReceived {
        /// The task attempt that the command is about.
        #[serde(flatten)]
        attempt: TaskAttempt,
        /// Command as it is on the wire: `start`, `kill` or `forget`.
        command: String,
        /// Fencing token of the answer.
        token: u64,
        /// Index of the controller that answered.
        controller: usize,
    },
    /// An answer to a heartbeat renewed a worker's lease.
    LeaseRenewed {
        /// Name of the machine.
        machine: String,
        /// Index of the controller that answered.
        controller: usize,
        /// Fencing token of the answer.
        token: u64,
    },
    /// A task has its image and runs on its machine.
    TaskStarted(TaskAttempt),
    /// A task no longer runs on its machine.
    TaskEnded {
        /// The task attempt.
        #[serde(flatten)]
        attempt: TaskAttempt,
        /// Why it ended.
        reason: TaskEndReason,
    },
    /// The testbed injected a fault.
    FaultInjected {
        /// The fault, its target and its duration.
        description: String,
    },
    /// A controller logged that it violated a rule, or panicked.
    ControllerFaultLogged {
        /// Index of the controller.
        controller: usize,
        /// The log line.
        line: String,
    },
}

impl EventKind {
    /// The number of the job that the event is about, if it is about one.
    pub fn job(&self) -> Option<u64> {
        match self {
            EventKind::SubmissionStarted { job, .. }
            | EventKind::CancellationStarted { job }
            | EventKind::ResponseReceived { job, .. }
            | EventKind::UnknownJobQueried { job, .. } => Some(*job),
            EventKind::CommandReceived { attempt, .. }
            | EventKind::TaskStarted(attempt)
            | EventKind::TaskEnded { attempt, .. } => Some(attempt.job),
            EventKind::MachineStarted { .. }
            | EventKind::LeaseRenewed { .. }
            | EventKind::FaultInjected { .. }
            | EventKind::ControllerFaultLogged { .. } => None,
        }
    }
}

/// Something that happened, and when.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// Milliseconds since the run started.
    pub at_ms: Ms,
    /// What happened.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// The history of a run; clones share one list of events.
#[derive(Clone, Default)]
pub struct History(Arc<Mutex<Vec<Event>>>);

impl History {
    /// Records an event. Events may be recorded out of order.
    pub fn record(&self, at_ms: Ms, kind: EventKind) {
        lock(&self.0).push(Event { at_ms, kind });
    }

    /// All events so far, ordered by time; events of one millisecond in the order of recording.
    pub fn events(&self) -> Vec<Event> {
        let mut events = lock(&self.0).clone();
        events.sort_by_key(|event| event.at_ms);
        events
    }
}

/// Writes events as JSON lines.
///
/// # Errors
///
/// If the file cannot be created or written.
pub fn write(path: &Path, events: &[Event]) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    for event in events {
        serde_json::to_writer(&mut file, event)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}
