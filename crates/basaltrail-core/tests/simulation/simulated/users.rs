//! Users: their requests, and the checks of the answers.

use super::*;

impl Simulation {
    pub(super) fn step_user(&mut self, i: usize) {
        let now = self.now;
        let controller = self.rng.random_range(0..CONTROLLERS);
        let user = &mut self.users[i];
        if now < user.request_deadline {
            let until = user.request_deadline;
            return self.send(until, usize::MAX, 0, Message::User(i));
        }
        user.requests_sent += 1;
        let poll_interval_ms = if now < self.poll_storm_until { 600 } else { 5_000 };
        let next_at =
            now + if user.observed == Observed::Unknown { 1_000 } else { poll_interval_ms };
        let ended = matches!(user.observed, Observed::Done | Observed::Cancelled(_));
        let wants_cancel = user.cancel_at.is_some_and(|cancel_at| now >= cancel_at) && !ended;
        let kind = if user.observed == Observed::Unknown || user.requests_sent.is_multiple_of(7) {
            RequestKind::Submit
        } else if wants_cancel {
            RequestKind::Cancel
        } else {
            RequestKind::Poll
        };
        user.request_deadline = now + kind.timeout_ms();
        self.send(next_at, usize::MAX, 0, Message::User(i));
        self.send_request(i, controller, kind, 0, true);
        // Polls a job that was never submitted.
        if self.rng.random_bool(0.05) {
            let request_id = self.register_request(Requester::UnknownJob);
            self.send(
                now + 1,
                controller,
                0,
                Message::Input(Input::Poll { request_id, job: JobId(77) }),
            );
        }
        if now < self.invalid_requests_until {
            self.send_invalid_requests(i, controller);
        }
    }

    fn register_request(&mut self, requester: Requester) -> RequestId {
        self.last_request_id += 1;
        self.requesters.insert(RequestId(self.last_request_id), requester);
        RequestId(self.last_request_id)
    }

    /// Sends a user's request to a controller after `delay_ms`.
    pub(super) fn send_request(
        &mut self,
        i: usize,
        controller: usize,
        kind: RequestKind,
        delay_ms: u64,
        exclusive: bool,
    ) {
        let now = self.now;
        if self.controllers[controller].process.is_none()
            || now < self.controllers[controller].isolated_until
        {
            return;
        }
        let (observed_before, deadline) =
            (self.users[i].observed, now + delay_ms + kind.timeout_ms());
        let request_id = self.register_request(Requester::User(
            i,
            PendingRequest { sent_at: now + delay_ms, deadline, observed_before, exclusive },
        ));
        let user = &mut self.users[i];
        user.cancel_requested |= kind == RequestKind::Cancel;
        let input = kind.input(request_id, user);
        if self.is_duplicated() && kind != RequestKind::Poll {
            let at = now + self.rng.random_range(50..30_000);
            let duplicate = kind.input(RequestId(0), &self.users[i]);
            self.send(at, controller, 0, Message::Input(duplicate));
        }
        let at = now + delay_ms + self.network_delay();
        self.send(at, controller, 0, Message::Input(input));
    }

    /// Cancels the job of a user now.
    pub(super) fn cancel_job(&mut self, i: usize) {
        self.users[i].cancel_at.get_or_insert(self.now);
        let controller = self.rng.random_range(0..CONTROLLERS);
        self.send_request(i, controller, RequestKind::Cancel, 0, false);
    }

    /// Sends several requests to all controllers right after a user got a new status.
    fn read_back(&mut self, i: usize) {
        for controller in 0..CONTROLLERS {
            for kind in [RequestKind::Poll, RequestKind::Submit, RequestKind::Poll] {
                let delay_ms = self.rng.random_range(0..12);
                self.send_request(i, controller, kind, delay_ms, false);
            }
        }
        // The first accepted job is cancelled in any case, so that the situation certainly occurs.
        const SITUATION: &str = "cancelled right after acceptance";
        let cancels = self.rng.random_bool(0.1) || !self.situations.contains_key(SITUATION);
        if self.users[i].observed == Observed::Accepted && cancels {
            self.record_situation(SITUATION);
            self.cancel_job(i);
        }
    }

    /// Sends a request that is redundant or too late for the known status, and an invalid
    /// submission.
    fn send_invalid_requests(&mut self, i: usize, controller: usize) {
        match self.users[i].observed {
            Observed::Unknown => {}
            Observed::Accepted => self.send_request(i, controller, RequestKind::Submit, 0, false),
            Observed::Done => self.send_request(i, controller, RequestKind::Cancel, 0, false),
            Observed::Cancelled(_) => {
                self.send_request(i, controller, RequestKind::Submit, 0, false)
            }
        }
        let mut spec = self.users[i].spec.clone();
        match self.rng.random_range(0..5) {
            0 => spec.cpus = MACHINE_CPUS * 2.0,
            1 => spec.types = Some(vec!["y".into()]),
            2 => spec.zone = Some("q".into()),
            3 => spec.team = "nobody".into(),
            _ => (spec.team, spec.cpus) = ("t0".into(), MAX_CPUS[0] + 1.0),
        }
        let request_id = self.register_request(Requester::InvalidJob);
        let job = JobId(500_000 + request_id.0);
        let input = Input::Submit { request_id, job, spec: Box::new(spec) };
        self.send(self.now + 1, controller, 0, Message::Input(input));
    }

    /// Handles an answer to a user.
    pub(super) fn handle_answer(&mut self, requester: Requester, answer: Answer) {
        let known = matches!(answer, Answer::Job { .. } | Answer::Created { .. });
        let (i, request) = match requester {
            Requester::User(i, request) => (i, request),
            Requester::UnknownJob if known => return self.record_violation("invented".into()),
            Requester::InvalidJob if known => {
                return self.record_violation("accepted an invalid job".into());
            }
            Requester::InvalidJob if matches!(answer, Answer::Unschedulable(_)) => {
                return self.record_situation("invalid job refused");
            }
            _ => return,
        };
        let now = self.now;
        let user = &mut self.users[i];
        if request.exclusive {
            user.request_deadline = now;
        }
        if known {
            user.last_answered_at = now;
        }
        let before = user.observed;
        let stale_status = user.check_status_age(request, &answer).filter(|_| self.checks_status);
        let checked = user.check_answer(request, &answer, now);
        let observed = user.observed;
        let job = user.job;
        if let Some(violation) = stale_status {
            self.record_violation(format!("{violation}: {job}"));
        }
        if let Err(rule) = checked {
            self.record_violation(format!("{rule}: {job}"));
        }
        if !request.exclusive && known && request.observed_before != Observed::Unknown {
            self.record_situation("status read back");
        }
        if observed == before {
            return;
        }
        if matches!(observed, Observed::Cancelled(_)) {
            self.record_cancellation(i);
        }
        if now < self.read_back_until {
            self.read_back(i);
        }
    }

    /// Records the situations in which a cancellation was confirmed.
    fn record_cancellation(&mut self, i: usize) {
        let job = self.users[i].job;
        let now = self.now;
        let mut is_running = false;
        let mut unreachable = false;
        for worker in self.workers.iter().filter(|worker| worker.runs_job(job)) {
            is_running = true;
            unreachable |= now < worker.hung_until
                || now < worker.downlink_lost_until
                || now < worker.uplink_lost_until;
            unreachable |= self.zone_partition.is_some();
        }
        if is_running {
            self.record_situation("cancelled while running");
        }
        if unreachable {
            self.record_situation("cancelled while a machine was unreachable");
        }
        let cannot_reach_store = |controller: &SimulatedController| {
            now < controller.store_refuses_until || controller.store_partition.is_some()
        };
        if is_running
            && self.controllers.iter().any(|controller| {
                cannot_reach_store(controller)
                    && controller.process.as_ref().is_some_and(Process::is_leading)
            })
        {
            self.record_situation("cancelled while the store refused the leader");
        }
        if is_running && self.leader().is_none() {
            self.record_situation("cancelled without a leader");
        }
    }
}

impl User {
    /// Updates the known status from an answer. The error names the rule that the answer breaks.
    fn check_answer(
        &mut self,
        request: PendingRequest,
        answer: &Answer,
        now: u64,
    ) -> Result<(), &'static str> {
        match answer {
            Answer::Created { .. } => {
                if self.observed == Observed::Unknown {
                    self.observed = Observed::Accepted;
                }
                match request.observed_before {
                    Observed::Unknown => Ok(()),
                    _ => Err("went_back: a known job was created again"),
                }
            }
            Answer::Job { status, .. } => self.check_status(request, *status, now),
            Answer::NotFound if request.observed_before != Observed::Unknown => {
                Err("forgotten: 404")
            }
            Answer::Invalid(_) | Answer::Unschedulable(_) => Err("forgotten: refused"),
            _ => Ok(()),
        }
    }

    fn check_status(
        &mut self,
        request: PendingRequest,
        status: JobStatus,
        now: u64,
    ) -> Result<(), &'static str> {
        match (status, self.observed) {
            (JobStatus::Done, Observed::Cancelled(_)) => Err("went_back: cancelled, then done"),
            (JobStatus::Done, _) => {
                self.observed = Observed::Done;
                let all_done = self.tasks_done.len() >= self.spec.tasks as usize;
                all_done.then_some(()).ok_or("not_done")
            }
            (JobStatus::Cancelled, Observed::Done) => Err("went_back: done, then cancelled"),
            (JobStatus::Cancelled, Observed::Cancelled(_)) => Ok(()),
            (JobStatus::Cancelled, _) => {
                self.observed = Observed::Cancelled(now);
                self.cancel_requested.then_some(()).ok_or("went_back: cancelled without a request")
            }
            _ if matches!(request.observed_before, Observed::Done | Observed::Cancelled(_)) => {
                Err("went_back: ended, then active")
            }
            (_, Observed::Unknown) => {
                self.observed = Observed::Accepted;
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
pub(super) enum RequestKind {
    Submit,
    Poll,
    Cancel,
}

impl RequestKind {
    /// Returns the time for which a user waits for the answer.
    fn timeout_ms(self) -> u64 {
        match self {
            RequestKind::Poll => 2_000,
            _ => 5_000,
        }
    }

    fn input(self, request_id: RequestId, user: &User) -> Input {
        match self {
            RequestKind::Submit => {
                Input::Submit { request_id, job: user.job, spec: Box::new(user.spec.clone()) }
            }
            RequestKind::Poll => Input::Poll { request_id, job: user.job },
            RequestKind::Cancel => Input::Cancel { request_id, job: user.job },
        }
    }
}
