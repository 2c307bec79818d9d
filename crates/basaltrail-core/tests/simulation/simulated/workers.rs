//! Machines and their workers: heartbeats, tasks and commands.

use super::*;

/// Time that a task takes to save its progress.
const SAVING_MS: u64 = 2_000;
/// Delay before a worker sends a heartbeat to the next controller.
const SWITCH_CONTROLLER_MS: u64 = 1_000;
/// Delay before a worker follows a hint to the leader.
const FOLLOW_HINT_MS: u64 = 100;
/// Maximum delay of the next heartbeat after a worker has received a new fencing token.
const NEW_TOKEN_MS: u64 = 500;
/// Maximum number of duplicate heartbeats that are held for the next leader.
const MAX_HELD_HEARTBEATS: usize = 4_000;

impl Worker {
    /// Returns whether a task of the job runs on the machine.
    pub(super) fn runs_job(&self, job: JobId) -> bool {
        self.tasks.iter().any(|(key, task)| key.0.job == job && Simulation::is_running(task))
    }

    pub(super) fn terminate(&mut self, now: u64) {
        self.alive = false;
        self.tasks.clear();
        self.terminated_at.get_or_insert(now);
    }

    /// Ends all tasks and the agent epoch when the worker lease expires. The lease of a hung
    /// worker expires too.
    fn expire_lease(&mut self, now: u64) {
        self.tasks.clear();
        self.agent_epoch.0 += 1;
        self.lease_renewed_at = now;
        self.awaiting_reply = None;
        self.next_heartbeat = now;
    }

    /// Selects the next controller for the heartbeat after `SWITCH_CONTROLLER_MS`.
    fn switch_controller(&mut self, now: u64) {
        self.controller = (self.controller + 1) % CONTROLLERS;
        self.next_heartbeat = now + SWITCH_CONTROLLER_MS;
    }

    /// Returns the heartbeat for the present state.
    fn heartbeat(&self, index: usize, now: u64) -> Heartbeat {
        let seconds_left = |at: u64| at.saturating_sub(now) as f64 / 1000.0;
        let status = |((task, attempt), simulated): (&(TaskId, Attempt), &SimulatedTask)| {
            TaskStatus { task: *task, attempt: *attempt, state: simulated.state }
        };
        Heartbeat {
            machine: machine_id(index),
            endpoint: format!("e{index}"),
            machine_type: "x".into(),
            zone: ZONES[self.zone].into(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            reclaim_notice_s: self
                .reclaimed_at
                .filter(|_| self.reclaim_announced)
                .map(seconds_left),
            tasks: self.tasks.iter().map(status).collect(),
        }
    }

    /// Returns the state of a task after a start command. The task exits at once if it already
    /// runs here or does not fit.
    fn initial_state(&self, task: TaskId, used_cpus: f64, cpus: f64) -> TaskState {
        let is_live = |simulated: &SimulatedTask| !matches!(simulated.state, TaskState::Exited(_));
        if self.tasks.iter().any(|(key, simulated)| key.0 == task && is_live(simulated)) {
            TaskState::Exited(ExitReason::Busy)
        } else if used_cpus + cpus > MACHINE_CPUS + 1e-9 {
            TaskState::Exited(ExitReason::NoRoom)
        } else {
            TaskState::Fetching
        }
    }
}

impl Simulation {
    pub(super) fn is_running(simulated: &SimulatedTask) -> bool {
        matches!(simulated.state, TaskState::Running | TaskState::Saving)
    }

    /// Advances all machines to the present time.
    pub(super) fn step_workers(&mut self) {
        for index in 0..self.workers.len() {
            let now = self.now;
            let worker = &mut self.workers[index];
            if worker.reclaimed_at.is_some_and(|at| now >= at) {
                worker.terminate(now);
            }
            if !worker.alive || now < worker.boots_at {
                continue;
            }
            if now > worker.lease_renewed_at + LEASE_MS {
                worker.expire_lease(now);
            }
            if now < worker.hung_until {
                continue;
            }
            if worker.awaiting_reply.is_some_and(|(_, sent_at)| now > sent_at + REPLY_TIMEOUT_MS) {
                worker.awaiting_reply = None;
                worker.switch_controller(now);
            }
            let is_due = |(_, simulated): &(&(TaskId, Attempt), &SimulatedTask)| {
                simulated.state_ends_at <= now
            };
            let due: Vec<(TaskId, Attempt)> =
                worker.tasks.iter().filter(is_due).map(|(key, _)| *key).collect();
            for key in due {
                self.advance_task(index, key);
            }
            let worker = &self.workers[index];
            if worker.awaiting_reply.is_none() && now >= worker.next_heartbeat {
                self.send_heartbeat(index);
            }
        }
    }

    fn send_heartbeat(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        worker.sequence += 1;
        worker.awaiting_reply = Some((worker.sequence, now));
        worker.next_heartbeat = now + HEARTBEAT_INTERVAL_MS * 3 / 4 + (index as u64 * 37) % 500;
        let heartbeat = worker.heartbeat(index, now);
        let to = worker.controller;
        let uplink_lost = now < worker.uplink_lost_until;
        self.last_request_id += 1;
        let request_id = RequestId(self.last_request_id);
        let at = now + self.network_delay();
        let at = self.arrival_at_worker(to, index, at);
        if self.is_duplicated() {
            // The duplicate arrives up to three lease durations late and gets no answer.
            let delay_ms = self.rng.random_range(50..3 * LEASE_MS);
            self.send_duplicate_heartbeat(to, delay_ms, &heartbeat);
        }
        let duplicates = self.duplicate_heartbeats;
        if now < duplicates.until && self.rng.random_bool(duplicates.share) {
            if !duplicates.held_for_next_leader {
                let delay_ms = self.rng.random_range(2_000..3 * LEASE_MS);
                self.send_duplicate_heartbeat(to, delay_ms, &heartbeat);
            } else if self.held_heartbeats.len() < MAX_HELD_HEARTBEATS {
                self.held_heartbeats.push(heartbeat.clone());
            }
        }
        if !uplink_lost {
            self.send(at, to, 0, Message::Heartbeat(index, request_id, heartbeat));
        }
    }

    fn send_duplicate_heartbeat(&mut self, to: usize, delay_ms: u64, heartbeat: &Heartbeat) {
        let heartbeat = Box::new(heartbeat.clone());
        let input = Input::Heartbeat { request_id: RequestId(0), heartbeat };
        self.send(self.now + delay_ms, to, 0, Message::Input(input));
    }

    /// Moves a task whose present state has ended to its next state.
    pub(super) fn advance_task(&mut self, index: usize, key: (TaskId, Attempt)) {
        let now = self.now;
        let Some(simulated) = self.workers[index].tasks.get_mut(&key) else { return };
        simulated.state_ends_at = u64::MAX;
        let task = key.0;
        let user_index = self
            .users
            .iter()
            .position(|user| user.job == task.job)
            .expect("each task belongs to a job of a user");
        match simulated.state {
            TaskState::Fetching => {
                simulated.state = TaskState::Running;
                simulated.state_ends_at = simulated.run_ends_at.max(now + 1);
                if self.users[user_index].tasks_done.contains(&task.index) {
                    simulated.state_ends_at = now;
                }
                self.check_start(index, user_index, key);
            }
            TaskState::Running => self.end_run(index, user_index, key),
            TaskState::Saving => {
                simulated.state = TaskState::Exited(ExitReason::Stopped);
                self.workers[index].next_heartbeat = now;
            }
            TaskState::Exited(_) => {}
        }
    }

    /// Ends the run of a task, which either fails or completes.
    fn end_run(&mut self, index: usize, user_index: usize, key: (TaskId, Attempt)) {
        let task = key.0;
        let service = self.users[user_index].spec.is_service();
        let faulty = self.users[user_index].faulty || self.workers[index].faulty;
        let fails = (faulty || self.rng.random_bool(0.02))
            && !self.users[user_index].tasks_done.contains(&task.index);
        let reason = if fails { ExitReason::Error } else { ExitReason::Done };
        if !fails && !service {
            self.users[user_index].tasks_done.insert(task.index);
            let all_done = self.users[user_index].tasks_done.len()
                == self.users[user_index].spec.tasks as usize;
            let cancellations = self.cancel_on_completion;
            if all_done
                && self.now < cancellations.until
                && self.rng.random_bool(cancellations.share)
            {
                self.record_situation("cancelled as the last task finished");
                self.cancel_job(user_index);
            }
        }
        let simulated =
            self.workers[index].tasks.get_mut(&key).expect("the task is on this machine");
        simulated.state = TaskState::Exited(reason);
        self.workers[index].next_heartbeat = self.now;
    }

    /// Handles the answer to a heartbeat.
    pub(super) fn handle_commands(
        &mut self,
        index: usize,
        epoch: AgentEpoch,
        sequence: u64,
        answer: Answer,
    ) {
        let now = self.now;
        let worker = &mut self.workers[index];
        let Some((awaited, sent_at)) = worker.awaiting_reply.filter(|_| worker.alive) else {
            return;
        };
        // A worker drops late answers, and answers to heartbeats of an earlier agent epoch.
        let is_lost = now > sent_at + REPLY_TIMEOUT_MS
            || now < worker.hung_until
            || now < worker.downlink_lost_until;
        if awaited != sequence || epoch != worker.agent_epoch || is_lost {
            return;
        }
        worker.awaiting_reply = None;
        let (token, commands) = match answer {
            Answer::Commands { token, commands } => (token, commands),
            Answer::NotLeader { leader } => {
                let leader = leader.and_then(|name| name[1..].parse().ok());
                let Some(leader) = leader.filter(|leader| *leader != worker.controller) else {
                    return worker.switch_controller(now);
                };
                worker.next_heartbeat = now + FOLLOW_HINT_MS;
                worker.controller = leader;
                return;
            }
            _ => return worker.switch_controller(now),
        };
        if token < worker.token {
            return;
        }
        if token > worker.token {
            worker.next_heartbeat = worker.next_heartbeat.min(now + NEW_TOKEN_MS);
        }
        worker.token = token;
        worker.lease_renewed_at = worker.lease_renewed_at.max(sent_at);
        for command in commands {
            self.apply_command(index, command);
        }
    }

    fn apply_command(&mut self, index: usize, command: TaskCommand) {
        match command {
            TaskCommand::Start { task, attempt } => self.start_task(index, task, attempt),
            TaskCommand::Stop { task, attempt, grace_s } => {
                self.stop_task(index, task, attempt, grace_s);
            }
            TaskCommand::Forget { task, attempt } => {
                let tasks = &mut self.workers[index].tasks;
                let exited = |task: &SimulatedTask| matches!(task.state, TaskState::Exited(_));
                if tasks.get(&(task, attempt)).is_some_and(exited) {
                    tasks.remove(&(task, attempt));
                }
            }
        }
    }

    fn start_task(&mut self, index: usize, task: TaskId, attempt: Attempt) {
        let now = self.now;
        if self.workers[index].tasks.contains_key(&(task, attempt)) {
            return;
        }
        let Some(user_index) = self.users.iter().position(|user| user.job == task.job) else {
            return self.record_violation(format!("started a task of an unknown job: {task:?}"));
        };
        if let Observed::Cancelled(at) = self.users[user_index].observed {
            self.situations
                .entry("started after a cancellation")
                .and_modify(|n| *n += 1)
                .or_default();
            if now > at + CANCELLATION_KNOWN_WITHIN_MS {
                let violation = format!("started {task:?}, cancelled at {at}");
                self.record_violation_after_cancellation(at, violation);
            }
        }
        let state = self.workers[index].initial_state(
            task,
            self.used_cpus(index),
            self.users[user_index].spec.cpus,
        );
        let state_ends_at = now + self.rng.random_range(200..2_500);
        let run_ms = if self.long_tasks { 60_000..110_000 } else { 2_000..25_000 };
        let run_ends_at = state_ends_at + self.rng.random_range(run_ms);
        // One replica in ten ends by itself.
        let never_ends = self.users[user_index].spec.is_service()
            && !self.users[user_index].faulty
            && !self.workers[index].faulty
            && self.rng.random_bool(0.9);
        let run_ends_at = if never_ends { u64::MAX } else { run_ends_at };
        let simulated = SimulatedTask { state, state_ends_at, run_ends_at };
        self.workers[index].tasks.insert((task, attempt), simulated);
    }

    /// Returns the CPUs of all tasks on a machine that have not exited.
    fn used_cpus(&self, index: usize) -> f64 {
        self.workers[index]
            .tasks
            .iter()
            .filter(|(_, simulated)| !matches!(simulated.state, TaskState::Exited(_)))
            .filter_map(|(key, _)| self.users.iter().find(|user| user.job == key.0.job))
            .map(|user| user.spec.cpus)
            .sum()
    }

    fn stop_task(&mut self, index: usize, task: TaskId, attempt: Attempt, grace_s: f64) {
        let user = self.users.iter().find(|user| user.job == task.job);
        let is_active =
            |user: &User| user.cancel_at.is_none() && user.observed == Observed::Accepted;
        self.tasks_stopped += u64::from(user.is_some_and(is_active));
        let simulated = self.workers[index].tasks.get_mut(&(task, attempt));
        let (Some(simulated), Some(user)) = (simulated, user) else { return };
        let saves = user.spec.checkpoint_s > 0.0 && grace_s >= user.spec.save_s;
        match simulated.state {
            TaskState::Running if saves => {
                simulated.state = TaskState::Saving;
                simulated.state_ends_at = self.now + SAVING_MS;
            }
            TaskState::Saving if grace_s > 0.0 => {}
            TaskState::Exited(_) => {}
            _ => simulated.state = TaskState::Exited(ExitReason::Stopped),
        }
    }
}
