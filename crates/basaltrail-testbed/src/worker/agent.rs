//! State machine of one worker, with its epoch, lease and tasks.
//!
//! Its inputs are the time and the answers to its heartbeats. It performs no network I/O; it records
//! events in the history and completed tasks in the job catalog.

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

/// Time to fetch an image, in milliseconds.
const FETCH_MS: std::ops::Range<Ms> = 50..600;
/// Share of the task attempts that fail.
const FAILURE_SHARE: f64 = 0.02;
/// Run time of tasks of services, in milliseconds; longer than any run of the testbed.
const SERVICE_RUN_MS: Ms = Ms::MAX / 4;

/// State of a task attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskState {
    FetchingImage,
    Running,
    Ended(EndStatus),
}

/// A task attempt on the machine.
#[derive(Clone, Debug)]
struct Task {
    state: TaskState,
    /// Time at which the current state ends; `Ms::MAX` if it does not end by itself.
    state_end_ms: Ms,
    /// Run time of the task, in milliseconds.
    run_ms: Ms,
    cpus: f64,
    /// Whether the attempt fails at the end of its run time.
    will_fail: bool,
}

impl Task {
    fn has_ended(&self) -> bool {
        matches!(self.state, TaskState::Ended(_))
    }

    /// Returns the attempt's status in a heartbeat.
    fn status(&self, key: AttemptKey) -> TaskStatus {
        let (phase, end) = match self.state {
            TaskState::FetchingImage => (TaskPhase::Fetching, None),
            TaskState::Running => (TaskPhase::Running, None),
            TaskState::Ended(status) => (TaskPhase::Ended, Some(status)),
        };
        let task = format!("job-{:06}/{}", key.job, key.task);
        TaskStatus { task, attempt: key.attempt, phase, end }
    }
}

/// Identifies a task attempt on the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    job: u64,
    task: u32,
    attempt: u64,
}

/// An answer to a heartbeat, with its times and sender.
pub(super) struct ReceivedAnswer {
    /// Time at which the heartbeat was sent; the renewed lease starts at this time.
    pub(super) sent_ms: Ms,
    /// Time at which the answer was received.
    pub(super) received_ms: Ms,
    /// Agent epoch of the heartbeat.
    pub(super) epoch: u64,
    /// Index of the controller that answered.
    pub(super) controller: usize,
    pub(super) answer: HeartbeatAnswer,
}

/// State of one worker.
pub(super) struct Agent {
    pub(super) machine: Machine,
    fleet: Arc<Fleet>,
    pub(super) rng: SmallRng,
    epoch: u64,
    /// Number of the last heartbeat.
    sequence: u64,
    /// Highest fencing token that the worker has accepted.
    token: u64,
    /// Start of the current lease.
    lease_start_ms: Ms,
    tasks: BTreeMap<AttemptKey, Task>,
    /// Whether the state changed after the last heartbeat, so that the next one is sent earlier.
    pub(super) has_unreported_changes: bool,
    /// Time at which a higher token last counted as a change; it counts at most once per half lease
    /// duration.
    token_change_ms: Option<Ms>,
}

impl Agent {
    /// Creates the state of a worker without tasks whose lease starts now.
    pub(super) fn new(machine: Machine, fleet: Arc<Fleet>, rng: SmallRng, now: Ms) -> Self {
        Agent {
            machine,
            fleet,
            rng,
            epoch: 1,
            sequence: 0,
            token: 0,
            lease_start_ms: now,
            tasks: BTreeMap::new(),
            has_unreported_changes: false,
            token_change_ms: None,
        }
    }

    /// Returns the lease duration, in milliseconds.
    fn lease_ms(&self) -> Ms {
        self.fleet.context.deployment.worker_lease_ms
    }

    fn record(&self, at_ms: Ms, kind: EventKind) {
        self.fleet.context.history.record(at_ms, kind);
    }

    /// Returns the attempt for events of the history.
    fn task_attempt(&self, key: AttemptKey) -> TaskAttempt {
        let AttemptKey { job, task, attempt } = key;
        TaskAttempt { job, task, attempt, machine: self.machine.name.clone() }
    }

    /// Applies the state changes of tasks and the expiries of the lease up to the given time, each
    /// with the time at which it is due.
    pub(super) fn advance(&mut self, now: Ms) {
        let lease_ms = self.lease_ms();
        while now > self.lease_start_ms + lease_ms {
            let expiry_ms = self.lease_start_ms + lease_ms;
            self.advance_tasks(expiry_ms);
            self.end_all_tasks(expiry_ms, TaskEndReason::LeaseExpired);
            self.epoch += 1;
            self.lease_start_ms = expiry_ms;
            self.has_unreported_changes = true;
        }
        self.advance_tasks(now);
    }

    /// Applies the state changes of tasks up to the given time, in the order in which they are due.
    fn advance_tasks(&mut self, now: Ms) {
        loop {
            let due_tasks = self.tasks.iter().filter(|(_, task)| task.state_end_ms <= now);
            let next_key = due_tasks.min_by_key(|(_, task)| task.state_end_ms).map(|(key, _)| *key);
            let Some(key) = next_key else { return };
            self.enter_next_state(key);
        }
    }

    /// Moves a task to the next state at the end of its current one.
    fn enter_next_state(&mut self, key: AttemptKey) {
        let attempt = self.task_attempt(key);
        let is_completed = self.fleet.context.jobs.is_completed(key.job, key.task);
        let Some(task) = self.tasks.get_mut(&key) else { return };
        let at_ms = std::mem::replace(&mut task.state_end_ms, Ms::MAX);
        self.has_unreported_changes = true;
        match task.state {
            TaskState::FetchingImage => {
                task.state = TaskState::Running;
                // A task that another attempt completed ends immediately.
                task.state_end_ms =
                    if is_completed { at_ms } else { at_ms.saturating_add(task.run_ms) };
                self.record(at_ms, EventKind::TaskStarted(attempt));
            }
            TaskState::Running if task.will_fail && !is_completed => {
                task.state = TaskState::Ended(EndStatus::Error);
                let reason = TaskEndReason::Failed;
                self.record(at_ms, EventKind::TaskEnded { attempt, reason });
            }
            TaskState::Running => {
                task.state = TaskState::Ended(EndStatus::Done);
                self.fleet.context.jobs.record_completion(key.job, key.task);
                let reason = TaskEndReason::Completed;
                self.record(at_ms, EventKind::TaskEnded { attempt, reason });
            }
            TaskState::Ended(_) => {}
        }
    }

    /// Removes all tasks, and records the end of those that are running.
    pub(super) fn end_all_tasks(&mut self, at_ms: Ms, reason: TaskEndReason) {
        for (key, task) in std::mem::take(&mut self.tasks) {
            if task.state == TaskState::Running {
                let attempt = self.task_attempt(key);
                self.record(at_ms, EventKind::TaskEnded { attempt, reason });
            }
        }
    }

    /// Returns the next heartbeat, with the status of all task attempts.
    pub(super) fn next_heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        self.has_unreported_changes = false;
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

    /// Renews the lease and executes the commands of an answer. Ignores the answer if its token is
    /// outdated or its heartbeat belongs to an earlier epoch.
    pub(super) fn apply_answer(&mut self, received: &ReceivedAnswer) {
        let ReceivedAnswer { sent_ms, received_ms, epoch, controller, answer } = received;
        let token = answer.token;
        if token < self.token || *epoch != self.epoch {
            return;
        }
        self.accept_token(*received_ms, token);
        self.lease_start_ms = self.lease_start_ms.max(*sent_ms);
        self.fleet.observe_leader(*controller, token);
        let machine = self.machine.name.clone();
        let renewal = EventKind::LeaseRenewed { machine, controller: *controller, token };
        self.record(*received_ms, renewal);
        for command in &answer.commands {
            self.execute(received, command);
        }
    }

    /// Stores an accepted token. A higher token counts as a change at most once per half lease
    /// duration.
    fn accept_token(&mut self, now: Ms, token: u64) {
        let half_lease_ms = self.lease_ms() / 2;
        let counts_as_change =
            self.token_change_ms.is_none_or(|at_ms| now >= at_ms + half_lease_ms);
        if token > self.token && counts_as_change {
            self.token_change_ms = Some(now);
            self.has_unreported_changes = true;
        }
        self.token = token;
    }

    /// Records and executes a command. Ignores a command with a malformed task name.
    fn execute(&mut self, received: &ReceivedAnswer, command: &Command) {
        let Some(task) = names::parse_task(&command.task) else { return };
        let key = AttemptKey { job: task.job.0, task: task.index, attempt: command.attempt };
        let now = received.received_ms;
        let event = EventKind::CommandReceived {
            attempt: self.task_attempt(key),
            command: command.name.clone(),
            token: received.answer.token,
            controller: received.controller,
        };
        self.record(now, event);
        match command.name.as_str() {
            "start" => self.start_task(now, key),
            "kill" => self.kill_task(now, key),
            "forget" => self.forget_task(key),
            _ => {}
        }
    }

    /// Starts a task attempt, or reports why it cannot start. Does nothing if it is already known.
    fn start_task(&mut self, now: Ms, key: AttemptKey) {
        if self.tasks.contains_key(&key) {
            return;
        }
        self.has_unreported_changes = true;
        let description = self.fleet.context.jobs.find(key.job);
        let refusal = self.start_refusal(key, description.as_ref());
        let fetch_end_ms = now + self.rng.random_range(FETCH_MS);
        let (state, state_end_ms) = match refusal {
            Some(status) => (TaskState::Ended(status), Ms::MAX),
            None => (TaskState::FetchingImage, fetch_end_ms),
        };
        let cpus = description.as_ref().map_or(0.0, |job| job.requirements.cpus);
        let run_ms = description.map_or(0, |job| match job.requirements.service {
            true => SERVICE_RUN_MS,
            false => job.run_ms,
        });
        let will_fail = self.rng.random_bool(FAILURE_SHARE);
        self.tasks.insert(key, Task { state, state_end_ms, run_ms, cpus, will_fail });
    }

    /// Returns the reason that a task cannot start on this machine, or `None` if it can start.
    fn start_refusal(
        &self,
        key: AttemptKey,
        description: Option<&JobDescription>,
    ) -> Option<EndStatus> {
        let Some(description) = description else { return Some(EndStatus::Unknown) };
        let requirements = &description.requirements;
        if key.task >= requirements.tasks {
            return Some(EndStatus::Unknown);
        }
        let active_tasks = || self.tasks.iter().filter(|(_, task)| !task.has_ended());
        if active_tasks().any(|(other, _)| (other.job, other.task) == (key.job, key.task)) {
            return Some(EndStatus::OtherAttemptActive);
        }
        let used_cpus: f64 = active_tasks().map(|(_, task)| task.cpus).sum();
        if used_cpus + requirements.cpus > MACHINE_CPUS + CPU_ROUNDING {
            return Some(EndStatus::InsufficientCpus);
        }
        None
    }

    /// Stops a task immediately, since the stand-in saves no checkpoints.
    fn kill_task(&mut self, now: Ms, key: AttemptKey) {
        let attempt = self.task_attempt(key);
        let Some(task) = self.tasks.get_mut(&key).filter(|task| !task.has_ended()) else { return };
        let was_running = task.state == TaskState::Running;
        task.state = TaskState::Ended(EndStatus::Stopped);
        task.state_end_ms = Ms::MAX;
        self.has_unreported_changes = true;
        if was_running {
            let reason = TaskEndReason::Stopped;
            self.record(now, EventKind::TaskEnded { attempt, reason });
        }
    }

    /// Removes a task that has ended. Controllers send this command after they recorded the end.
    fn forget_task(&mut self, key: AttemptKey) {
        if self.tasks.get(&key).is_some_and(Task::has_ended) {
            self.tasks.remove(&key);
        }
    }
}
