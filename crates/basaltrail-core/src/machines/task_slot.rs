//! Task slots: attempts of tasks that occupy, or may occupy, part of a machine.

use crate::model::{Attempt, ExitReason, Ms, Priority, TaskId, TaskState};
use crate::resources::Resources;

/// Progress of the start of a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskPhase {
    /// The scheduler has assigned the task; its start has not been sent yet.
    Assigned,
    /// The start was sent in the answer to the machine's last heartbeat.
    Sent,
    /// A heartbeat of the machine's agent listed the task in this state.
    Confirmed(TaskState),
}

/// The resources that a task takes on its machine, and the properties that matter for preempting
/// it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskDemand {
    /// Index of its team in the settings.
    pub team: usize,
    /// Resources that it takes on its machine.
    pub resources: Resources,
    /// Priority of its job.
    pub priority: Priority,
    /// Seconds that it needs to save its progress; `None` if it cannot save it.
    pub save_s: Option<f64>,
}

/// One attempt of a task on a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskSlot {
    /// Progress of its start.
    pub phase: TaskPhase,
    /// Its demand; `None` while its job is unknown.
    pub demand: Option<TaskDemand>,
    /// Grace period in seconds if the task was ordered to stop.
    pub stop_grace_s: Option<f64>,
    /// Time at which the stop was last sent to the machine.
    pub stop_sent_at: Option<Ms>,
    /// Time at which this leader assigned the task or first received a heartbeat that lists it.
    pub known_since: Ms,
    /// Time at which a heartbeat first listed it as running.
    pub running_since: Option<Ms>,
    /// Whether its outcome has been recorded in its job.
    pub outcome_recorded: bool,
    /// Whether no task of its job had ever started when it was assigned.
    pub is_first_of_job: bool,
}

impl TaskSlot {
    /// Creates the slot of a task that a heartbeat lists and this leader did not assign.
    pub fn reported(state: TaskState, now: Ms) -> Self {
        TaskSlot {
            phase: TaskPhase::Confirmed(state),
            demand: None,
            stop_grace_s: None,
            stop_sent_at: None,
            known_since: now,
            running_since: None,
            outcome_recorded: false,
            is_first_of_job: false,
        }
    }

    /// Returns whether the task may hold resources of its machine.
    pub fn holds_resources(&self) -> bool {
        !matches!(self.phase, TaskPhase::Confirmed(TaskState::Exited(_)))
    }

    /// Returns whether the machine's agent listed the task as running.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, TaskPhase::Confirmed(TaskState::Running))
    }

    /// Returns whether the task is assigned and its start has not been sent.
    pub fn is_unsent(&self) -> bool {
        self.phase == TaskPhase::Assigned
    }

    /// Orders the task to stop without a grace period. The next answer contains the order.
    pub fn stop_at_once(&mut self) {
        self.stop_grace_s = Some(0.0);
        self.stop_sent_at = None;
    }
}

/// A change to the tasks of a machine, made by a heartbeat or by the end of a lease, with which the
/// jobs have to be reconciled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskChange {
    /// The attempt is certainly not, or no longer, on the machine.
    Gone {
        /// The task.
        task: TaskId,
        /// Its attempt.
        attempt: Attempt,
    },
    /// The attempt is on the machine, possibly unknown to the leader so far.
    Present {
        /// The task.
        task: TaskId,
        /// Its attempt.
        attempt: Attempt,
    },
    /// The attempt has exited.
    Exited(TaskExit),
}

/// The exit of an attempt, as reported by the agent of its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskExit {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub reason: ExitReason,
    /// Milliseconds for which heartbeats listed it as running; `None` if none did.
    pub ran_ms: Option<Ms>,
}

impl TaskChange {
    /// Returns the change for an attempt in this phase that was reported before its job was known.
    pub fn reported(task: TaskId, attempt: Attempt, phase: TaskPhase) -> Self {
        match phase {
            TaskPhase::Confirmed(TaskState::Exited(reason)) => {
                TaskChange::Exited(TaskExit { task, attempt, reason, ran_ms: None })
            }
            _ => TaskChange::Present { task, attempt },
        }
    }
}
