//! Machines and their workers.

use super::*;

impl Worker {
    pub(super) fn end(&mut self, t: u64) {
        self.alive = false;
        self.tasks.clear();
        self.gone.get_or_insert(t);
    }
}

impl World {
    pub(super) fn on_machine(r: &SimulatedTask) -> bool {
        matches!(r.state, TaskState::Running | TaskState::Saving)
    }

    pub(super) fn workers(&mut self) {
        for m in 0..self.workers.len() {
            let t = self.now;
            let w = &mut self.workers[m];
            if w.reclaimed_at.is_some_and(|at| t >= at) {
                w.end(t);
            }
            if !w.alive || t < w.up_at {
                continue;
            }
            if t > w.renewed + LEASE_MS {
                // The lease binds a hanging machine too: what it ran is over.
                w.tasks.clear();
                w.agent_epoch += 1;
                w.renewed = t;
                w.awaiting_reply = None;
                w.next_heartbeat = t;
            }
            if t < w.hung_until {
                continue;
            }
            if w.awaiting_reply.is_some_and(|(_, sent)| t > sent + REPLY_TIMEOUT_MS) {
                w.awaiting_reply = None;
                w.to = (w.to + 1) % CONTROLLERS;
                w.next_heartbeat = t + 1_000;
            }
            let due: Vec<(TaskId, Attempt)> =
                w.tasks.iter().filter(|(_, r)| r.until <= t).map(|(k, _)| *k).collect();
            for key in due {
                self.advance(m, key);
            }
            let w = &mut self.workers[m];
            if w.awaiting_reply.is_none() && t >= w.next_heartbeat {
                w.sequence += 1;
                w.awaiting_reply = Some((w.sequence, t));
                w.next_heartbeat = t + HEARTBEAT_INTERVAL_MS * 3 / 4 + (m as u64 * 37) % 500;
                let heartbeat = Heartbeat {
                    machine: machine(m),
                    endpoint: format!("e{m}"),
                    machine_type: "x".into(),
                    zone: ZONES[w.zone].into(),
                    spot: w.spot,
                    agent_epoch: w.agent_epoch,
                    sequence: w.sequence,
                    token: w.token,
                    reclaim_notice_s: w
                        .reclaimed_at
                        .filter(|_| w.reclaim_announced)
                        .map(|at| at.saturating_sub(t) as f64 / 1000.0),
                    tasks: w
                        .tasks
                        .iter()
                        .map(|((task, attempt), r)| TaskStatus {
                            task: *task,
                            attempt: *attempt,
                            state: r.state,
                        })
                        .collect(),
                };
                let to = w.to;
                let mute = t < w.uplink_lost_until;
                self.next_request += 1;
                let req = RequestId(self.next_request);
                let at = t + self.delay();
                let at = self.between(to, m, at);
                if self.copied() {
                    // From seconds to well over a lease late, and answered to nobody.
                    let at = t + self.rng.random_range(50..3 * LEASE_MS);
                    let input = Input::Heartbeat {
                        req: RequestId(0),
                        heartbeat: Box::new(heartbeat.clone()),
                    };
                    self.send(at, to, 0, Message::Input(input));
                }
                let late = self.late_heartbeats;
                if t < late.until && self.rng.random_bool(late.share) {
                    if !late.other {
                        let at = t + self.rng.random_range(2_000..3 * LEASE_MS);
                        let input = Input::Heartbeat {
                            req: RequestId(0),
                            heartbeat: Box::new(heartbeat.clone()),
                        };
                        self.send(at, to, 0, Message::Input(input));
                    } else if self.held_heartbeats.len() < 4_000 {
                        self.held_heartbeats.push(heartbeat.clone());
                    }
                }
                if !mute {
                    self.send(at, to, 0, Message::Heartbeat(m, req, heartbeat));
                }
            }
        }
    }

    pub(super) fn advance(&mut self, m: usize, key: (TaskId, Attempt)) {
        let t = self.now;
        let Some(r) = self.workers[m].tasks.get_mut(&key) else { return };
        r.until = u64::MAX;
        let task = key.0;
        let user = self.users.iter().position(|u| u.job == task.job).unwrap();
        match r.state {
            TaskState::Fetching => {
                r.state = TaskState::Running;
                r.until = r.run_ends_at.max(t + 1);
                if self.users[user].done.contains(&task.index) {
                    r.until = t;
                }
                self.check_start(m, user, key);
            }
            TaskState::Running => {
                let service = self.users[user].spec.is_service();
                let bad = self.users[user].faulty_job || self.workers[m].faulty;
                let fails = (bad || self.rng.random_bool(0.02))
                    && !self.users[user].done.contains(&task.index);
                let why = if fails { ExitReason::Error } else { ExitReason::Done };
                if !fails && !service {
                    self.users[user].done.insert(task.index);
                    let u = &self.users[user];
                    let last = u.done.len() == u.spec.tasks as usize;
                    let late = self.cancel_at_end;
                    if last && t < late.until && self.rng.random_bool(late.share) {
                        self.record_moment("cancelled at its end");
                        self.cancel(user);
                    }
                }
                self.workers[m].tasks.get_mut(&key).unwrap().state = TaskState::Exited(why);
                self.workers[m].next_heartbeat = t;
            }
            TaskState::Saving => {
                r.state = TaskState::Exited(ExitReason::Stopped);
                self.workers[m].next_heartbeat = t;
            }
            TaskState::Exited(_) => {}
        }
    }

    pub(super) fn commands(&mut self, m: usize, agent_epoch: u64, sequence: u64, answer: Answer) {
        let t = self.now;
        let w = &mut self.workers[m];
        if !w.alive {
            return;
        }
        let Some((awaiting_reply, sent)) = w.awaiting_reply else { return };
        // Late responses and those of an earlier agent epoch are dropped.
        let lost = t > sent + REPLY_TIMEOUT_MS || t < w.hung_until || t < w.downlink_lost_until;
        if awaiting_reply != sequence || agent_epoch != w.agent_epoch || lost {
            return;
        }
        w.awaiting_reply = None;
        let (token, commands) = match answer {
            Answer::Commands { token, commands } => (token, commands),
            Answer::NotLeader { leader } => {
                let named = leader.and_then(|l| l[1..].parse().ok()).filter(|n| *n != w.to);
                w.next_heartbeat = t + if named.is_some() { 100 } else { 1_000 };
                w.to = named.unwrap_or((w.to + 1) % CONTROLLERS);
                return;
            }
            _ => {
                w.to = (w.to + 1) % CONTROLLERS;
                w.next_heartbeat = t + 1_000;
                return;
            }
        };
        if token < w.token {
            return;
        }
        if token > w.token {
            w.next_heartbeat = w.next_heartbeat.min(t + 500);
        }
        w.token = token;
        w.renewed = w.renewed.max(sent);
        for o in commands {
            let w = &mut self.workers[m];
            match o {
                TaskCommand::Start { task, attempt } => {
                    if w.tasks.contains_key(&(task, attempt)) {
                        continue;
                    }
                    let user = self.users.iter().position(|u| u.job == task.job);
                    let Some(user) = user else {
                        self.violation(format!("started a task of no job: {task:?}"));
                        continue;
                    };
                    if let Observed::Cancelled(at) = self.users[user].observed {
                        self.moments
                            .entry("start after a cancellation")
                            .and_modify(|n| *n += 1)
                            .or_default();
                        if t > at + CANCELLATION_KNOWN_WITHIN_MS {
                            self.violation_after_cancellation(
                                at,
                                format!("started {task:?}, cancelled at {at}"),
                            );
                        }
                    }
                    let w = &mut self.workers[m];
                    let spec = &self.users[user].spec;
                    let used: f64 = w
                        .tasks
                        .iter()
                        .filter(|(_, r)| !matches!(r.state, TaskState::Exited(_)))
                        .filter_map(|(k, _)| self.users.iter().find(|u| u.job == k.0.job))
                        .map(|u| u.spec.cpus)
                        .sum();
                    let here = w
                        .tasks
                        .iter()
                        .any(|(k, r)| k.0 == task && !matches!(r.state, TaskState::Exited(_)));
                    let state = if here {
                        TaskState::Exited(ExitReason::Busy)
                    } else if used + spec.cpus > MACHINE_CPUS + 1e-9 {
                        TaskState::Exited(ExitReason::NoRoom)
                    } else {
                        TaskState::Fetching
                    };
                    let until = t + self.rng.random_range(200..2_500);
                    let run = if self.long_tasks { 60_000..110_000 } else { 2_000..25_000 };
                    let run_ends_at = until + self.rng.random_range(run);
                    // Few replicas end by themselves.
                    let lasts = self.users[user].spec.is_service()
                        && !self.users[user].faulty_job
                        && !self.workers[m].faulty
                        && self.rng.random_bool(0.9);
                    let run_ends_at = if lasts { u64::MAX } else { run_ends_at };
                    let w = &mut self.workers[m];
                    w.tasks.insert((task, attempt), SimulatedTask { state, until, run_ends_at });
                }
                TaskCommand::Stop { task, attempt, grace_s } => {
                    let user = self.users.iter().find(|u| u.job == task.job);
                    let goes_on =
                        |u: &&User| u.cancel_at.is_none() && u.observed == Observed::Accepted;
                    self.tasks_stopped += u64::from(user.is_some_and(|u| goes_on(&u)));
                    if let (Some(r), Some(u)) = (w.tasks.get_mut(&(task, attempt)), user) {
                        let saves = u.spec.checkpoint_s > 0.0 && grace_s >= u.spec.save_s;
                        match r.state {
                            TaskState::Running if saves => {
                                r.state = TaskState::Saving;
                                r.until = t + 2_000;
                            }
                            TaskState::Saving if grace_s > 0.0 => {}
                            TaskState::Exited(_) => {}
                            _ => r.state = TaskState::Exited(ExitReason::Stopped),
                        }
                    }
                }
                TaskCommand::Forget { task, attempt } => {
                    let exited = |r: &SimulatedTask| matches!(r.state, TaskState::Exited(_));
                    if w.tasks.get(&(task, attempt)).is_some_and(exited) {
                        w.tasks.remove(&(task, attempt));
                    }
                }
            }
        }
    }
}
