//! The leader's state of a job: its done, placed and pending tasks.

use super::ActiveJob;
use crate::fairness::Account;
use crate::jobs::crash_loop::JobHealth;
use crate::model::{Attempt, JobId, JobOutcome, JobSpec, MachineId, Ms, Revision, WallMs};
use crate::store::records::{TaskSet, TASKS_PER_SEGMENT};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The machine and the attempt of a placed task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskPlacement {
    /// The machine.
    pub machine: MachineId,
    /// The attempt.
    pub attempt: Attempt,
}

/// The leader's state of one job. Each task is in exactly one of the states done, placed and
/// pending.
pub struct JobState {
    /// The job's id.
    pub id: JobId,
    /// The submitted specification.
    pub spec: Arc<JobSpec>,
    /// The job's team, as an index into the settings.
    pub team: usize,
    /// The mod revision of the active record.
    pub mod_revision: Revision,
    /// The wall-clock time at which the job was accepted.
    pub accepted_at: WallMs,
    /// Completed tasks.
    pub done: TaskSet,
    /// Tasks whose completion is stored.
    pub durable: TaskSet,
    /// Segments of `done` that differ from the stored ones.
    pub dirty_segments: BTreeSet<u32>,
    /// Segments that are stored, to be deleted after the job has ended.
    pub stored_segments: BTreeSet<u32>,
    /// The placement of each placed task; the task may be running there.
    pub placed: BTreeMap<u32, TaskPlacement>,
    /// Tasks that are pending again after a placement ended.
    requeued: BTreeSet<u32>,
    /// The lowest task that [`JobState::pop_pending`] has not considered yet.
    next_new_task: u32,
    /// The job's received and fair time.
    pub account: Account,
    /// True if any task was ever placed or found on a machine.
    pub has_started: bool,
    /// The time since which tasks are pending and none is placed; `None` otherwise.
    pub unplaced_since: Option<Ms>,
    /// The outcome, once the job has ended. Its tasks may still be on machines.
    pub outcome: Option<JobOutcome>,
    /// Crash-loop detection and back-off.
    pub health: JobHealth,
}

impl JobState {
    /// Creates the state of a job that has no placed or completed tasks.
    pub fn new(id: JobId, team: usize, active: &ActiveJob) -> Self {
        JobState {
            id,
            spec: active.spec.clone(),
            team,
            mod_revision: active.mod_revision,
            accepted_at: active.accepted_at,
            done: TaskSet::default(),
            durable: TaskSet::default(),
            dirty_segments: BTreeSet::new(),
            stored_segments: BTreeSet::new(),
            placed: BTreeMap::new(),
            requeued: BTreeSet::new(),
            next_new_task: 0,
            account: Account::default(),
            has_started: false,
            unplaced_since: None,
            outcome: None,
            health: JobHealth::default(),
        }
    }

    /// Returns whether all tasks are done; always false for a service.
    pub fn is_complete(&self) -> bool {
        !self.spec.is_service() && self.done.len() >= self.spec.tasks
    }

    /// Returns the number of additional tasks that crash-loop detection allows to be placed. A
    /// service in a crash loop may always place one replica, however many are placed.
    pub fn allowed_starts(&self) -> u32 {
        match self.spec.is_service() {
            true => self.health.max_new_tasks(0),
            false => self.health.max_new_tasks(self.placed.len()),
        }
    }

    /// Returns the number of tasks that are neither done nor placed; 0 if the job has ended.
    pub fn pending_tasks(&self) -> u32 {
        if self.outcome.is_some() {
            return 0;
        }
        self.spec.tasks.saturating_sub(self.done.len() + self.placed.len() as u32)
    }

    /// Returns the number of tasks, placed ones included, that should be placed if capacity allows.
    pub fn desired_placements(&self) -> u32 {
        self.placed.len() as u32 + self.pending_tasks().min(self.allowed_starts())
    }

    /// Removes and returns the next pending task: first requeued tasks, then tasks that were never
    /// placed. The caller must place or requeue it.
    pub fn pop_pending(&mut self) -> Option<u32> {
        loop {
            let task = match self.requeued.pop_first() {
                Some(task) => task,
                None if self.next_new_task < self.spec.tasks => {
                    self.next_new_task += 1;
                    self.next_new_task - 1
                }
                None => return None,
            };
            if !self.done.contains(task) && !self.placed.contains_key(&task) {
                return Some(task);
            }
        }
    }

    /// Makes a task pending again, unless it is done.
    pub fn requeue(&mut self, task: u32) {
        if !self.done.contains(task) && task < self.spec.tasks {
            self.requeued.insert(task);
        }
    }

    /// Ends the placement of a task and makes it pending unless it is done. Returns false if the
    /// task is not placed on this machine by this attempt.
    pub fn end_placement(&mut self, task: u32, machine: &MachineId, attempt: Attempt) -> bool {
        let is_this_placement = |placement: &TaskPlacement| {
            placement.machine == *machine && placement.attempt == attempt
        };
        if !self.placed.get(&task).is_some_and(is_this_placement) {
            return false;
        }
        self.placed.remove(&task);
        self.requeue(task);
        true
    }

    /// Marks a task as done. Returns true if it was not done before; always false for a service,
    /// whose tasks never complete.
    pub fn mark_done(&mut self, task: u32) -> bool {
        let can_complete = !self.spec.is_service() && task < self.spec.tasks;
        if can_complete && self.done.insert(task) {
            self.dirty_segments.insert(task / TASKS_PER_SEGMENT);
            return true;
        }
        false
    }
}
