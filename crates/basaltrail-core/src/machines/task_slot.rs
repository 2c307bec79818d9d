//! Task slots: one attempt of a task that occupies, or may occupy, a part of a machine.

use crate::model::{Attempt, ExitReason, Ms, Priority, TaskId, TaskState};
use crate::resources::Resources;

/// How far the start of a task has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskPhase {
    /// Chosen by the scheduler; no answer has carried the start yet.
    Assigned,
    /// The start went out in the answer to the machine's last heartbeat.
    Sent,
    /// A heartbeat of the machine's agent listed the task in this state.
    Confirmed(TaskState),
}

/// What a task takes of its machine, and what stopping it costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskDemand {
    /// Index of its team in the settings.
    pub team: usize,
    /// Resources of the machine that it takes.
    pub resources: Resources,
    /// Priority of its job.
    pub priority: Priority,
    /// Seconds that it needs to save its progress; `None` if it cannot.
    pub save_s: Option<f64>,
}

/// One attempt of a task on a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskSlot {
    /// How far its start has come.
    pub phase: TaskPhase,
    /// What it takes; `None` while its job is not known.
    pub demand: Option<TaskDemand>,
    /// Ordered to stop, with so many seconds of grace.
    pub stop_grace_s: Option<f64>,
    /// When the stop was last sent to the machine.
    pub stop_sent_at: Option<Ms>,
    /// When this leader assigned the task or first heard of it.
    pub since: Ms,
    /// When a heartbeat first listed it as running.
    pub running_since: Option<Ms>,
    /// Whether its outcome was recorded in its job.
    pub outcome_recorded: bool,
    /// Assigned when no task of its job had ever started.
    pub first_of_job: bool,
}

impl TaskSlot {
    /// A slot that a heartbeat showed and this leader did not assign.
    pub fn reported(state: TaskState, now: Ms) -> Self {
        TaskSlot {
            phase: TaskPhase::Confirmed(state),
            demand: None,
            stop_grace_s: None,
            stop_sent_at: None,
            since: now,
            running_since: None,
            outcome_recorded: false,
            first_of_job: false,
        }
    }

    /// Whether it may hold resources of its machine.
    pub fn holds_resources(&self) -> bool {
        !matches!(self.phase, TaskPhase::Confirmed(TaskState::Exited(_)))
    }

    /// Whether the machine's agent listed it as running.
    pub fn is_running(&self) -> bool {
        matches!(self.phase, TaskPhase::Confirmed(TaskState::Running))
    }

    /// Whether it was assigned and no start was sent.
    pub fn is_unsent(&self) -> bool {
        self.phase == TaskPhase::Assigned
    }

    /// Orders it to stop without grace, in the next answer.
    pub fn stop_at_once(&mut self) {
        self.stop_grace_s = Some(0.0);
        self.stop_sent_at = None;
    }
}

/// A change that a heartbeat, or the end of a lease, made to the tasks on a machine; the jobs
/// have to be reconciled with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskChange {
    /// The attempt is certainly not on the machine, or not any more.
    Gone {
        /// The task.
        task: TaskId,
        /// Its attempt.
        attempt: Attempt,
    },
    /// The attempt is on the machine, and the leader may not have known.
    Present {
        /// The task.
        task: TaskId,
        /// Its attempt.
        attempt: Attempt,
    },
    /// The attempt has exited.
    Exited(TaskExit),
}

/// The end of an attempt, as its machine's agent reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskExit {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// How it ended.
    pub reason: ExitReason,
    /// Milliseconds that it was seen running, if it was.
    pub ran_ms: Option<Ms>,
}

impl TaskChange {
    /// The change by which an attempt became known that was reported before its job was known.
    pub fn reported(task: TaskId, attempt: Attempt, phase: TaskPhase) -> Self {
        match phase {
            TaskPhase::Confirmed(TaskState::Exited(reason)) => {
                TaskChange::Exited(TaskExit { task, attempt, reason, ran_ms: None })
            }
            _ => TaskChange::Present { task, attempt },
        }
    }
}
