//! What users and workers saw, in the order in which it happened, kept as JSON lines.

use crate::clock::Ms;
use crate::lock;
use serde::{Deserialize, Serialize};
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// What a user asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Question {
    /// A submission, the first or a repeated one.
    Submit,
    /// A question for the state of the job.
    Poll,
    /// A cancellation.
    Cancel,
}

/// What a user was told about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// It was cancelled.
    Aborted,
}

/// Why a task is no longer on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Off {
    /// It completed.
    Done,
    /// It failed.
    Failed,
    /// It was told to stop.
    Stopped,
    /// The worker's lease ended.
    LeaseEnded,
    /// The machine stopped by itself or was returned.
    MachineGone,
}

/// One task of a job, in one attempt, on one machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Attempt {
    /// The job's number.
    pub job: u64,
    /// The task's number within the job.
    pub task: u32,
    /// The attempt.
    pub attempt: u64,
    /// The machine.
    pub machine: String,
}

/// What the checker has to know of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobShape {
    /// Its team.
    pub team: String,
    /// Its class.
    #[serde(default)]
    pub class: String,
    /// How many tasks it has.
    pub tasks: u32,
    /// CPUs of each.
    pub cpus: f64,
    /// Whether it may use spot machines.
    pub spot: bool,
    /// The only zone that it may use.
    pub zone: Option<String>,
    /// Whether its tasks run until it is cancelled.
    pub service: bool,
}

/// Something that a user, a worker or the test itself saw or did.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum What {
    /// A job is about to be submitted for the first time.
    Submitting {
        /// The job's number.
        job: u64,
        /// What it asks for.
        shape: JobShape,
    },
    /// Its user is about to ask for its cancellation.
    Cancelling {
        /// The job's number.
        job: u64,
    },
    /// A user was answered; without an answer there is no status.
    Told {
        /// The job's number.
        job: u64,
        /// What was asked.
        question: Question,
        /// When it was asked.
        asked_ms: Ms,
        /// The controller that was asked.
        node: usize,
        /// The status, if there was an answer.
        status: Option<u16>,
        /// The job's condition, if the answer told it.
        condition: Option<Condition>,
        /// When to come back, in seconds, if the answer told it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        retry_after_s: Option<u64>,
    },
    /// A job that nobody submitted was asked for.
    StrangerTold {
        /// The job's number.
        job: u64,
        /// The status.
        status: u16,
    },
    /// A machine's worker begins.
    MachineUp {
        /// The machine.
        machine: String,
        /// Its zone.
        zone: String,
        /// Whether it is a spot machine.
        spot: bool,
    },
    /// A worker took an order.
    Ordered {
        /// The task, attempt and machine.
        #[serde(flatten)]
        attempt: Attempt,
        /// `start`, `kill` or `forget`.
        order: String,
        /// The token of the answer.
        token: u64,
        /// The controller that answered.
        node: usize,
    },
    /// A worker's lease goes on with this answer.
    Renewed {
        /// The machine.
        machine: String,
        /// The controller that answered.
        node: usize,
        /// The token of the answer.
        token: u64,
    },
    /// A task has its image and is on its machine.
    TaskOn(Attempt),
    /// It is not any more.
    TaskOff {
        /// The task, attempt and machine.
        #[serde(flatten)]
        attempt: Attempt,
        /// Why.
        why: Off,
    },
    /// A fault begins or ends.
    Fault {
        /// What is done.
        text: String,
    },
    /// A controller wrote that it broke a rule of its own, or panicked.
    ControllerFault {
        /// The controller.
        node: usize,
        /// The line.
        line: String,
    },
}

impl What {
    /// The job that it is about, if it is about one.
    pub fn job(&self) -> Option<u64> {
        match self {
            What::Submitting { job, .. }
            | What::Cancelling { job }
            | What::Told { job, .. }
            | What::StrangerTold { job, .. } => Some(*job),
            What::Ordered { attempt, .. }
            | What::TaskOn(attempt)
            | What::TaskOff { attempt, .. } => Some(attempt.job),
            What::MachineUp { .. }
            | What::Renewed { .. }
            | What::Fault { .. }
            | What::ControllerFault { .. } => None,
        }
    }
}

/// An event and its moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Milliseconds since the run began.
    pub at_ms: Ms,
    /// What happened.
    #[serde(flatten)]
    pub what: What,
}

/// The history of a run, shared by all that take part in it.
#[derive(Clone, Default)]
pub struct History(Arc<Mutex<Vec<Event>>>);

impl History {
    /// Adds an event. Events may be added out of order.
    pub fn add(&self, at_ms: Ms, what: What) {
        lock(&self.0).push(Event { at_ms, what });
    }

    /// Everything so far, by time.
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
/// If the file cannot be written.
pub fn write(path: &Path, events: &[Event]) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    for event in events {
        serde_json::to_writer(&mut file, event)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}
