//! The leader's state of a job: which of its tasks are done, placed and pending.

use super::ActiveJob;
use crate::fairness::Account;
use crate::jobs::crash_loop::JobHealth;
use crate::model::{Attempt, JobId, JobOutcome, JobSpec, MachineId, Ms, Revision, WallMs};
use crate::store::records::{TaskSet, TASKS_PER_SEGMENT};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The leader's state of one job. A task is done, placed or pending, and only one of them.
pub struct JobState {
    /// The job.
    pub id: JobId,
    /// What its user asked for.
    pub spec: Arc<JobSpec>,
    /// Its team, as an index into the settings.
    pub team: usize,
    /// The mod revision of its active record.
    pub mod_revision: Revision,
    /// Time of day of its acceptance.
    pub accepted_at: WallMs,
    /// Completed tasks.
    pub done: TaskSet,
    /// Completed tasks that the store holds.
    pub durable: TaskSet,
    /// Segments of `done` that the store does not hold as they are.
    pub dirty_segments: BTreeSet<u32>,
    /// Segments that the store holds, to be deleted when the job has ended.
    pub stored_segments: BTreeSet<u32>,
    /// Where each task may be. One place at a time.
    pub placed: BTreeMap<u32, (MachineId, Attempt)>,
    /// Tasks that were placed and are pending again.
    requeued: BTreeSet<u32>,
    /// The lowest task that was never placed.
    next_new_task: u32,
    /// What the fair-share ledger counts of it.
    pub account: Account,
    /// Whether any of its tasks was ever placed, or found on a machine.
    pub started: bool,
    /// Since when nothing of it is placed though some tasks are pending.
    pub unplaced_since: Option<Ms>,
    /// How it ended; its tasks may still be on machines.
    pub ended: Option<JobOutcome>,
    /// Whether its tasks fail wherever they run.
    pub health: JobHealth,
}

impl JobState {
    /// The state of a job of which nothing has been placed.
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
            started: false,
            unplaced_since: None,
            ended: None,
            health: JobHealth::default(),
        }
    }

    /// Whether all its tasks are done; a service never is.
    pub fn is_complete(&self) -> bool {
        !self.spec.is_service() && self.done.count() >= self.spec.tasks
    }

    /// Tasks that may be placed beside those that are, while it may be in a crash loop. A service
    /// that fails everywhere tries one replica at a time, whatever of it runs.
    pub fn allowed_starts(&self) -> u32 {
        match self.spec.is_service() {
            true => self.health.max_new_tasks(0),
            false => self.health.max_new_tasks(self.placed.len()),
        }
    }

    /// Tasks that are neither done nor placed.
    pub fn pending(&self) -> u32 {
        if self.ended.is_some() {
            return 0;
        }
        self.spec.tasks.saturating_sub(self.done.count() + self.placed.len() as u32)
    }

    /// Tasks that should be placed now if there is room, those that are included.
    pub fn desired_placements(&self) -> u32 {
        self.placed.len() as u32 + self.pending().min(self.allowed_starts())
    }

    /// Takes a pending task: one that was placed before, or else the next that never was. The
    /// caller places it, or requeues it.
    pub fn next_pending(&mut self) -> Option<u32> {
        loop {
            let task = match self.requeued.pop_first() {
                Some(task) => task,
                None if self.next_new_task < self.spec.tasks => {
                    self.next_new_task += 1;
                    self.next_new_task - 1
                }
                None => return None,
            };
            if !self.done.get(task) && !self.placed.contains_key(&task) {
                return Some(task);
            }
        }
    }

    /// Makes a task pending again, unless it is done.
    pub fn requeue(&mut self, task: u32) {
        if !self.done.get(task) && task < self.spec.tasks {
            self.requeued.insert(task);
        }
    }

    /// Ends the placement of a task, which is pending then unless it is done. False if it is not
    /// placed there by this attempt.
    pub fn end_placement(&mut self, task: u32, machine: &MachineId, attempt: Attempt) -> bool {
        let placed_there = |(at, by): &(MachineId, Attempt)| at == machine && *by == attempt;
        if !self.placed.get(&task).is_some_and(placed_there) {
            return false;
        }
        self.placed.remove(&task);
        self.requeue(task);
        true
    }

    /// Marks a task as done. True if it was not yet; tasks of a service never are.
    pub fn mark_done(&mut self, task: u32) -> bool {
        let can_complete = !self.spec.is_service() && task < self.spec.tasks;
        if can_complete && self.done.set(task) {
            self.dirty_segments.insert(task / TASKS_PER_SEGMENT);
            return true;
        }
        false
    }
}
