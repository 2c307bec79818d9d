//! The history of a run: the observations of users and workers, ordered by time.
//!
//! The history is the only input of the [checker](crate::checker) and the
//! [metrics](crate::metrics). It is written as JSON lines, with one event per line.

use crate::clock::Ms;
use crate::lock;
use serde::Serialize;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// The kind of a user's request for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UserRequest {
    /// A submission: the first one, or an idempotent retry.
    Submit,
    /// A query for the job's phase.
    Poll,
    /// A cancellation.
    Cancel,
}

/// The phase of a job, as reported by the controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobPhase {
    /// No task is running.
    Queued,
    /// At least one task is running.
    Running,
    /// All tasks completed.
    Done,
    /// The job was cancelled; `aborted` on the wire.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the phase is final.
    pub fn is_terminal(self) -> bool {
        matches!(self, JobPhase::Done | JobPhase::Cancelled)
    }
}

/// The reason that a task ended on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskEndReason {
    /// The task completed.
    Completed,
    /// The task failed.
    Failed,
    /// The worker stopped the task on a controller's command.
    Stopped,
    /// The worker's lease expired.
    LeaseExpired,
    /// The machine crashed or was terminated.
    MachineGone,
}

/// One attempt to run a task, on one machine.
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

/// The requirements of a job that workers and the checker evaluate.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobRequirements {
    /// Team whose quota the job counts against.
    pub team: String,
    /// Workload class.
    pub class: String,
    /// Number of tasks.
    pub tasks: u32,
    /// CPUs of each task.
    pub cpus: f64,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// The required zone; `None` allows every zone.
    pub zone: Option<String>,
    /// Whether the job is a service, whose tasks run until it is cancelled.
    pub service: bool,
}

impl JobRequirements {
    /// Returns the requirements of an array job of class `array` that allows spot machines and
    /// every zone.
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

/// An observation by a user or a worker, or an action of the testbed.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventKind {
    /// A user is about to submit a job for the first time.
    SubmissionStarted {
        /// Number of the job.
        job: u64,
        /// Requirements of the job.
        requirements: JobRequirements,
    },
    /// A user is about to send the first cancellation of a job.
    CancellationStarted {
        /// Number of the job.
        job: u64,
    },
    /// A user's request was answered, or failed without an answer.
    ResponseReceived {
        /// Number of the job.
        job: u64,
        /// Kind of the request.
        request: UserRequest,
        /// Time at which the request was sent, in milliseconds since the run started.
        sent_ms: Ms,
        /// Index of the controller that received the request.
        controller: usize,
        /// HTTP status; `None` if no answer was received.
        status: Option<u16>,
        /// Phase of the job, if the answer contained it.
        phase: Option<JobPhase>,
        /// `Retry-After` of the answer, in seconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_s: Option<u64>,
    },
    /// A query for a job that was never submitted was answered.
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
        /// The task attempt to which the command applies.
        #[serde(flatten)]
        attempt: TaskAttempt,
        /// The command's name on the wire: `start`, `kill` or `forget`.
        command: String,
        /// Fencing token of the answer.
        token: u64,
        /// Index of the controller that answered.
        controller: usize,
    },
    /// A worker renewed its lease after an answer to a heartbeat.
    LeaseRenewed {
        /// Name of the machine.
        machine: String,
        /// Index of the controller that answered.
        controller: usize,
        /// Fencing token of the answer.
        token: u64,
    },
    /// A task started on its machine, after its image was fetched.
    TaskStarted(TaskAttempt),
    /// A task ended on its machine.
    TaskEnded {
        /// The task attempt.
        #[serde(flatten)]
        attempt: TaskAttempt,
        /// Reason for the end.
        reason: TaskEndReason,
    },
    /// The testbed injected a fault.
    FaultInjected {
        /// Description of the fault, with its target and duration.
        description: String,
    },
    /// A controller logged a rule violation of its own, or a panic.
    ControllerFaultLogged {
        /// Index of the controller.
        controller: usize,
        /// The log line.
        line: String,
    },
}

impl EventKind {
    /// Returns the number of the event's job, if the event concerns a job.
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

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// Milliseconds since the run started.
    pub at_ms: Ms,
    /// Kind of the event, with its details.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// The recorded events of a run; clones share one list.
#[derive(Clone, Default)]
pub struct History(Arc<Mutex<Vec<Event>>>);

impl History {
    /// Records an event; events need not be recorded in the order of their times.
    pub fn record(&self, at_ms: Ms, kind: EventKind) {
        lock(&self.0).push(Event { at_ms, kind });
    }

    /// Returns the recorded events ordered by time; events of the same millisecond keep the order
    /// in which they were recorded.
    pub fn events(&self) -> Vec<Event> {
        let mut events = lock(&self.0).clone();
        events.sort_by_key(|event| event.at_ms);
        events
    }
}

/// Writes events to a file as JSON lines.
///
/// # Errors
///
/// Fails if the file cannot be created or written.
pub fn write_json_lines(path: &Path, events: &[Event]) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    for event in events {
        serde_json::to_writer(&mut file, event)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}
