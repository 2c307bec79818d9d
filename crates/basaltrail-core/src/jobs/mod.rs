//! Jobs: the table every controller keeps of them, and the leader's account of their tasks.

pub mod watch;

use crate::fairness::Account;
use crate::health::JobHealth;
use crate::model::*;
use crate::store::records::*;
use basaltrail_admission::{Acceptance, Allotment, View};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// An active job as the state service holds it.
#[derive(Clone, Debug)]
pub struct ActiveJob {
    pub mod_revision: Revision,
    pub at: WallMs,
    pub spec: Arc<JobSpec>,
    /// The controller that accepted it out of its allotment.
    pub by: Option<String>,
}

impl ActiveJob {
    fn acceptance(&self) -> Option<Acceptance> {
        let controller = self.by.clone()?;
        Some(Acceptance { controller, demand: self.spec.demand(), mod_revision: self.mod_revision })
    }
}

/// What this controller knows of jobs. Ends never change, so they may be told from here;
/// anything else must be checked first.
pub struct JobCache {
    pub active: BTreeMap<JobId, ActiveJob>,
    finals: HashMap<JobId, JobOutcome>,
    order: VecDeque<JobId>,
    keep: usize,
    /// Allotments, and what was accepted under them.
    pub admission: View,
    /// Jobs whose entry changed since the leader last looked.
    pub changed: BTreeSet<JobId>,
}

impl JobCache {
    pub fn new(keep: usize) -> Self {
        JobCache {
            active: BTreeMap::new(),
            finals: HashMap::new(),
            order: VecDeque::new(),
            keep,
            admission: View::default(),
            changed: BTreeSet::new(),
        }
    }

    pub fn ended(&self, job: JobId) -> Option<JobOutcome> {
        self.finals.get(&job).copied()
    }

    pub fn put_active(&mut self, job: JobId, mod_revision: Revision, record: JobRecord) {
        if self.finals.contains_key(&job) {
            return;
        }
        if self.active.get(&job).is_some_and(|a| a.mod_revision >= mod_revision) {
            return;
        }
        let JobRecord { at, spec, by } = record;
        let active = ActiveJob { mod_revision, at, spec: Arc::new(spec), by };
        if let Some(acceptance) = active.acceptance() {
            self.admission.learn_acceptance(&acceptance);
        }
        self.active.insert(job, active);
        self.changed.insert(job);
    }

    /// An allotment was read, by a watch or from a list: a list does not tell of the jobs that
    /// were accepted under it and have ended.
    pub fn put_allotment(&mut self, allotment: Allotment, mod_revision: Revision, complete: bool) {
        let Allotment { team, controller, .. } = &allotment;
        let own = |job: &&ActiveJob| job.by.as_ref() == Some(controller) && job.spec.team == *team;
        let since: Vec<Acceptance> = self
            .active
            .values()
            .filter(|job| job.mod_revision > mod_revision)
            .filter(own)
            .filter_map(ActiveJob::acceptance)
            .collect();
        self.admission.learn_allotment(allotment, mod_revision, since.into_iter(), complete);
    }

    pub fn put_final(&mut self, job: JobId, end: JobOutcome) {
        self.active.remove(&job);
        self.changed.insert(job);
        if self.finals.insert(job, end).is_none() {
            self.order.push_back(job);
            // Older ends are read again when somebody asks.
            if self.order.len() > self.keep {
                if let Some(old) = self.order.pop_front() {
                    self.finals.remove(&old);
                }
            }
        }
    }

    /// The active entry is gone as of `mod revision`; how the job ended is told elsewhere.
    pub fn remove_active(&mut self, job: JobId, mod_revision: Revision) {
        if self.active.get(&job).is_some_and(|a| a.mod_revision < mod_revision) {
            self.active.remove(&job);
            self.changed.insert(job);
        }
    }
}

/// The leader's account of one job.
pub struct RunJob {
    pub id: JobId,
    pub spec: Arc<JobSpec>,
    pub team: usize,
    pub mod_revision: Revision,
    pub at: WallMs,
    pub done: TaskSet,
    /// Completions known to be in the state service.
    pub durable: TaskSet,
    pub dirty: BTreeSet<u32>,
    pub parts: BTreeSet<u32>,
    /// Where each task may be. One place at a time.
    pub placed: BTreeMap<u32, (MachineId, Attempt)>,
    retry: BTreeSet<u32>,
    cursor: u32,
    pub account: Account,
    pub started: bool,
    /// Since when nothing of it is placed though some waits.
    pub bare_since: Option<Ms>,
    pub ended: Option<JobOutcome>,
    pub health: JobHealth,
}

impl RunJob {
    pub fn new(id: JobId, team: usize, a: &ActiveJob) -> Self {
        RunJob {
            id,
            spec: a.spec.clone(),
            team,
            mod_revision: a.mod_revision,
            at: a.at,
            done: TaskSet::default(),
            durable: TaskSet::default(),
            dirty: BTreeSet::new(),
            parts: BTreeSet::new(),
            placed: BTreeMap::new(),
            retry: BTreeSet::new(),
            cursor: 0,
            account: Account::default(),
            started: false,
            bare_since: None,
            ended: None,
            health: JobHealth::default(),
        }
    }

    pub fn complete(&self) -> bool {
        !self.spec.is_service() && self.done.count() >= self.spec.tasks
    }

    /// Tasks that may be placed beside those that are. A service that fails everywhere tries
    /// one replica at a time, whatever of it runs.
    pub fn room(&self) -> u32 {
        match self.spec.is_service() {
            true => self.health.room(0),
            false => self.health.room(self.placed.len()),
        }
    }

    /// Tasks neither done nor anywhere.
    pub fn pending(&self) -> u32 {
        if self.ended.is_some() {
            return 0;
        }
        // A task is only ever done, placed, or pending; done ones hold no place.
        self.spec.tasks.saturating_sub(self.done.count() + self.placed.len() as u32)
    }

    /// Tasks for which it may have room now, those that have it included.
    pub fn wanted(&self) -> u32 {
        self.placed.len() as u32 + self.pending().min(self.room())
    }

    pub fn next_pending(&mut self) -> Option<u32> {
        loop {
            let task = match self.retry.pop_first() {
                Some(t) => t,
                None if self.cursor < self.spec.tasks => {
                    self.cursor += 1;
                    self.cursor - 1
                }
                None => return None,
            };
            if !self.done.get(task) && !self.placed.contains_key(&task) {
                return Some(task);
            }
        }
    }

    pub fn put_back(&mut self, task: u32) {
        if !self.done.get(task) && task < self.spec.tasks {
            self.retry.insert(task);
        }
    }

    /// Its place is settled: it is there no more.
    pub fn free(&mut self, task: u32, machine: &MachineId, attempt: Attempt) -> bool {
        if self.placed.get(&task).is_some_and(|(m, a)| m == machine && *a == attempt) {
            self.placed.remove(&task);
            self.put_back(task);
            return true;
        }
        false
    }

    pub fn mark_done(&mut self, task: u32) -> bool {
        let ends = !self.spec.is_service() && task < self.spec.tasks;
        if ends && self.done.set(task) {
            self.dirty.insert(task / TASKS_PER_SEGMENT);
            return true;
        }
        false
    }

    /// Seconds until its deadline, if it has one.
    pub fn slack_s(&self, wall: WallMs) -> Option<f64> {
        let due = self.spec.deadline_s?;
        Some(due - (wall - self.at) as f64 / 1000.0)
    }
}
