//! The state of one worker: its epoch, lease and tasks. It is a function of time and of the
//! answers to its heartbeats; it does no input or output besides the history.

use super::fleet::Fleet;
use super::messages::{Command, EndStatus, Heartbeat, HeartbeatAnswer, TaskPhase, TaskStatus};
use crate::clock::Ms;
use crate::cloud::Machine;
use crate::deployment::{MACHINE_CPUS, MACHINE_TYPE, WORKER_ENDPOINT};
use crate::history::{EventKind, TaskAttempt, TaskEndReason};
use crate::job_catalog::JobDescription;
use crate::team_usage::CPU_ROUNDING;
use basaltrail_protocol::names;
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long an image is fetched.
const FETCH_MS: std::ops::Range<Ms> = 50..600;
/// The share of task attempts that fail.
const FAILURE_SHARE: f64 = 0.02;
/// How long tasks of services run: longer than any run lasts.
const SERVICE_RUN_MS: Ms = Ms::MAX / 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskState {
    FetchingImage,
    Running,
    Ended(EndStatus),
}

#[derive(Clone, Debug)]
struct Task {
    state: TaskState,
    /// When the present state ends.
    until_ms: Ms,
    run_ms: Ms,
    cpus: f64,
    fails: bool,
}

impl Task {
    fn has_ended(&self) -> bool {
        matches!(self.state, TaskState::Ended(_))
    }

    fn status(&self, key: TaskKey) -> TaskStatus {
        let (phase, end) = match self.state {
            TaskState::FetchingImage => (TaskPhase::Fetching, None),
            TaskState::Running => (TaskPhase::Running, None),
            TaskState::Ended(status) => (TaskPhase::Ended, Some(status)),
        };
        let task = format!("job-{:06}/{}", key.job, key.task);
        TaskStatus { task, attempt: key.attempt, phase, end }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TaskKey {
    job: u64,
    task: u32,
    attempt: u64,
}

/// A heartbeat's answer, and how it came.
pub(super) struct ReceivedAnswer {
    /// When the heartbeat was sent; the lease is renewed from then on.
    pub(super) sent_ms: Ms,
    pub(super) received_ms: Ms,
    /// Epoch of the heartbeat.
    pub(super) epoch: u64,
    /// Index of the controller that answered.
    pub(super) controller: usize,
    pub(super) answer: HeartbeatAnswer,
}

pub(super) struct Agent {
    pub(super) machine: Machine,
    fleet: Arc<Fleet>,
    pub(super) rng: SmallRng,
    epoch: u64,
    sequence: u64,
    token: u64,
    /// Start of the present lease.
    renewed_ms: Ms,
    tasks: BTreeMap<TaskKey, Task>,
    /// Whether something changed since the last heartbeat.
    pub(super) changed: bool,
    /// When a higher token last counted as a change, which it does at most once in half a lease.
    token_changed_ms: Option<Ms>,
}

impl Agent {
    /// A worker without tasks, with a lease from now on.
    pub(super) fn new(machine: Machine, fleet: Arc<Fleet>, rng: SmallRng, now: Ms) -> Self {
        Agent {
            machine,
            fleet,
            rng,
            epoch: 1,
            sequence: 0,
            token: 0,
            renewed_ms: now,
            tasks: BTreeMap::new(),
            changed: false,
            token_changed_ms: None,
        }
    }

    fn lease_ms(&self) -> Ms {
        self.fleet.context.deployment.lease_ms
    }

    fn record(&self, at_ms: Ms, kind: EventKind) {
        self.fleet.context.history.record(at_ms, kind);
    }

    fn attempt(&self, key: TaskKey) -> TaskAttempt {
        let TaskKey { job, task, attempt } = key;
        TaskAttempt { job, task, attempt, machine: self.machine.name.clone() }
    }

    /// Lets everything happen that happens before an instant, each at its own time: state changes
    /// of tasks, and the expiry of the lease.
    pub(super) fn advance(&mut self, now: Ms) {
        let lease_ms = self.lease_ms();
        while now > self.renewed_ms + lease_ms {
            let expired_ms = self.renewed_ms + lease_ms;
            self.advance_tasks(expired_ms);
            self.end_all_tasks(expired_ms, TaskEndReason::LeaseExpired);
            self.epoch += 1;
            self.renewed_ms = expired_ms;
            self.changed = true;
        }
        self.advance_tasks(now);
    }

    fn advance_tasks(&mut self, now: Ms) {
        loop {
            let due = self.tasks.iter().filter(|(_, task)| task.until_ms <= now);
            let next = due.min_by_key(|(_, task)| task.until_ms).map(|(key, _)| *key);
            let Some(key) = next else { return };
            self.leave_state(key);
        }
    }

    /// Moves a task on whose present state is over.
    fn leave_state(&mut self, key: TaskKey) {
        let attempt = self.attempt(key);
        let is_completed = self.fleet.context.jobs.is_completed(key.job, key.task);
        let Some(task) = self.tasks.get_mut(&key) else { return };
        let at = std::mem::replace(&mut task.until_ms, Ms::MAX);
        self.changed = true;
        match task.state {
            TaskState::FetchingImage => {
                task.state = TaskState::Running;
                // A task that completed before ends at once.
                task.until_ms = if is_completed { at } else { at.saturating_add(task.run_ms) };
                self.record(at, EventKind::TaskStarted(attempt));
            }
            TaskState::Running if task.fails && !is_completed => {
                task.state = TaskState::Ended(EndStatus::Error);
                let reason = TaskEndReason::Failed;
                self.record(at, EventKind::TaskEnded { attempt, reason });
            }
            TaskState::Running => {
                task.state = TaskState::Ended(EndStatus::Done);
                self.fleet.context.jobs.record_completion(key.job, key.task);
                let reason = TaskEndReason::Completed;
                self.record(at, EventKind::TaskEnded { attempt, reason });
            }
            TaskState::Ended(_) => {}
        }
    }

    /// Drops all tasks.
    pub(super) fn end_all_tasks(&mut self, at: Ms, reason: TaskEndReason) {
        for (key, task) in std::mem::take(&mut self.tasks) {
            if task.state == TaskState::Running {
                let attempt = self.attempt(key);
                self.record(at, EventKind::TaskEnded { attempt, reason });
            }
        }
    }

    /// The next heartbeat, with everything that changed.
    pub(super) fn next_heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        self.changed = false;
        Heartbeat {
            machine: self.machine.name.clone(),
            endpoint: WORKER_ENDPOINT,
            machine_type: MACHINE_TYPE,
            zone: self.machine.zone,
            spot: self.machine.spot,
            epoch: self.epoch,
            sequence: self.sequence,
            token: self.token,
            reclaim_s: None,
            tasks: self.tasks.iter().map(|(key, task)| task.status(*key)).collect(),
        }
    }

    /// Renews the lease and carries out the commands of an answer, unless its token is outdated
    /// or its heartbeat was of an earlier epoch.
    pub(super) fn accept(&mut self, received: &ReceivedAnswer) {
        let ReceivedAnswer { sent_ms, received_ms, epoch, controller, answer } = received;
        let token = answer.token;
        if token < self.token || *epoch != self.epoch {
            return;
        }
        self.accept_token(*received_ms, token);
        self.renewed_ms = self.renewed_ms.max(*sent_ms);
        self.fleet.observe_leader(*controller, token);
        let machine = self.machine.name.clone();
        let renewal = EventKind::LeaseRenewed { machine, controller: *controller, token };
        self.record(*received_ms, renewal);
        for command in &answer.commands {
            self.execute(received, command);
        }
    }

    fn accept_token(&mut self, now: Ms, token: u64) {
        let half_lease_ms = self.lease_ms() / 2;
        let may_count = self.token_changed_ms.is_none_or(|at| now >= at + half_lease_ms);
        if token > self.token && may_count {
            self.token_changed_ms = Some(now);
            self.changed = true;
        }
        self.token = token;
    }

    fn execute(&mut self, received: &ReceivedAnswer, command: &Command) {
        let Some(task) = names::parse_task(&command.task) else { return };
        let key = TaskKey { job: task.job.0, task: task.index, attempt: command.attempt };
        let now = received.received_ms;
        let event = EventKind::CommandReceived {
            attempt: self.attempt(key),
            command: command.name.clone(),
            token: received.answer.token,
            controller: received.controller,
        };
        self.record(now, event);
        match command.name.as_str() {
            "start" => self.start(now, key),
            "kill" => self.kill(now, key),
            "forget" => self.forget(key),
            _ => {}
        }
    }

    fn start(&mut self, now: Ms, key: TaskKey) {
        if self.tasks.contains_key(&key) {
            return;
        }
        self.changed = true;
        let description = self.fleet.context.jobs.find(key.job);
        let refusal = self.refusal(key, description.as_ref());
        let fetched_ms = now + self.rng.random_range(FETCH_MS);
        let (state, until_ms) = match refusal {
            Some(status) => (TaskState::Ended(status), Ms::MAX),
            None => (TaskState::FetchingImage, fetched_ms),
        };
        let cpus = description.as_ref().map_or(0.0, |job| job.requirements.cpus);
        let run_ms = description.map_or(0, |job| match job.requirements.service {
            true => SERVICE_RUN_MS,
            false => job.run_ms,
        });
        let fails = self.rng.random_bool(FAILURE_SHARE);
        self.tasks.insert(key, Task { state, until_ms, run_ms, cpus, fails });
    }

    /// Why a task cannot be started here, if it cannot.
    fn refusal(&self, key: TaskKey, description: Option<&JobDescription>) -> Option<EndStatus> {
        let Some(description) = description else { return Some(EndStatus::Unknown) };
        let requirements = &description.requirements;
        if key.task >= requirements.tasks {
            return Some(EndStatus::Unknown);
        }
        let live = || self.tasks.iter().filter(|(_, task)| !task.has_ended());
        if live().any(|(other, _)| (other.job, other.task) == (key.job, key.task)) {
            return Some(EndStatus::InUse);
        }
        let used_cpus: f64 = live().map(|(_, task)| task.cpus).sum();
        if used_cpus + requirements.cpus > MACHINE_CPUS + CPU_ROUNDING {
            return Some(EndStatus::NoRoom);
        }
        None
    }

    /// Stops a task at once: the stand-in has no checkpoints to save.
    fn kill(&mut self, now: Ms, key: TaskKey) {
        let attempt = self.attempt(key);
        let Some(task) = self.tasks.get_mut(&key).filter(|task| !task.has_ended()) else { return };
        let was_running = task.state == TaskState::Running;
        task.state = TaskState::Ended(EndStatus::Stopped);
        task.until_ms = Ms::MAX;
        self.changed = true;
        if was_running {
            let reason = TaskEndReason::Stopped;
            self.record(now, EventKind::TaskEnded { attempt, reason });
        }
    }

    /// Drops a task that ended: the controller has recorded its end.
    fn forget(&mut self, key: TaskKey) {
        if self.tasks.get(&key).is_some_and(Task::has_ended) {
            self.tasks.remove(&key);
        }
    }
}
