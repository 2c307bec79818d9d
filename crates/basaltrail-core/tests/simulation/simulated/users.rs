//! Users: what they ask, and what they may be told.

use super::*;

impl World {
    pub(super) fn user(&mut self, i: usize) {
        let t = self.now;
        let controller = self.rng.random_range(0..CONTROLLERS);
        let u = &mut self.users[i];
        if t < u.request_deadline {
            let until = u.request_deadline;
            return self.send(until, usize::MAX, 0, Message::User(i));
        }
        u.requests_sent += 1;
        let pause = if t < self.poll_storm_until { 600 } else { 5_000 };
        let again = t + if u.observed == Observed::Unknown { 1_000 } else { pause };
        let over = matches!(u.observed, Observed::Done | Observed::Cancelled(_));
        let cancels = u.cancel_at.is_some_and(|c| t >= c) && !over;
        let what = if u.observed == Observed::Unknown || u.requests_sent.is_multiple_of(7) {
            RequestKind::Submit
        } else if cancels {
            RequestKind::Cancel
        } else {
            RequestKind::Poll
        };
        u.request_deadline = t + what.patience();
        self.send(again, usize::MAX, 0, Message::User(i));
        self.ask(i, controller, what, 0, true);
        // Somebody asks for a job that nobody submitted.
        if self.rng.random_bool(0.05) {
            let req = self.request(Requester::OfUnknownJob);
            self.send(t + 1, controller, 0, Message::Input(Input::Poll { req, job: JobId(77) }));
        }
        if t < self.invalid_requests_until {
            self.send_invalid_requests(i, controller);
        }
    }

    fn request(&mut self, asker: Requester) -> RequestId {
        self.next_request += 1;
        self.requesters.insert(RequestId(self.next_request), asker);
        RequestId(self.next_request)
    }

    /// A user asks a controller, `delay_ms` from now.
    fn ask(&mut self, i: usize, controller: usize, what: RequestKind, delay_ms: u64, alone: bool) {
        let t = self.now;
        if self.controllers[controller].process.is_none()
            || t < self.controllers[controller].isolated_until
        {
            return;
        }
        let (before, until) = (self.users[i].observed, t + delay_ms + what.patience());
        let req = self.request(Requester::User(i, PendingRequest { until, before, alone }));
        let u = &mut self.users[i];
        u.cancel_requested |= what == RequestKind::Cancel;
        let input = what.input(req, u);
        if self.copied() && what != RequestKind::Poll {
            let at = t + self.rng.random_range(50..30_000);
            let copy = what.input(RequestId(0), &self.users[i]);
            self.send(at, controller, 0, Message::Input(copy));
        }
        let at = t + delay_ms + self.delay();
        self.send(at, controller, 0, Message::Input(input));
    }

    /// Its user calls a job off, now.
    pub(super) fn cancel(&mut self, i: usize) {
        self.users[i].cancel_at.get_or_insert(self.now);
        let controller = self.rng.random_range(0..CONTROLLERS);
        self.ask(i, controller, RequestKind::Cancel, 0, false);
    }

    /// Right after a user was told something: at all controllers, again and again.
    fn read_back(&mut self, i: usize) {
        for controller in 0..CONTROLLERS {
            for what in [RequestKind::Poll, RequestKind::Submit, RequestKind::Poll] {
                let delay_ms = self.rng.random_range(0..12);
                self.ask(i, controller, what, delay_ms, false);
            }
        }
        if self.users[i].observed == Observed::Accepted && self.rng.random_bool(0.1) {
            self.record_moment("cancelled at once");
            self.cancel(i);
        }
    }

    /// Requests that a careful user would not send.
    fn send_invalid_requests(&mut self, i: usize, controller: usize) {
        match self.users[i].observed {
            Observed::Unknown => {}
            Observed::Accepted => self.ask(i, controller, RequestKind::Submit, 0, false),
            Observed::Done => self.ask(i, controller, RequestKind::Cancel, 0, false),
            Observed::Cancelled(_) => self.ask(i, controller, RequestKind::Submit, 0, false),
        }
        let mut spec = self.users[i].spec.clone();
        match self.rng.random_range(0..5) {
            0 => spec.cpus = MACHINE_CPUS * 2.0,
            1 => spec.types = Some(vec!["y".into()]),
            2 => spec.zone = Some("q".into()),
            3 => spec.team = "nobody".into(),
            _ => (spec.team, spec.cpus) = ("t0".into(), CPUS_MAX[0] + 1.0),
        }
        let req = self.request(Requester::OfInvalidJob);
        let job = JobId(500_000 + req.0);
        let input = Input::Submit { req, job, spec: Box::new(spec) };
        self.send(self.now + 1, controller, 0, Message::Input(input));
    }

    /// An answer arrives.
    pub(super) fn answer(&mut self, requester: Requester, answer: Answer) {
        let known = matches!(answer, Answer::Job { .. } | Answer::Created { .. });
        let (i, request) = match requester {
            Requester::User(i, request) => (i, request),
            Requester::OfUnknownJob if known => return self.violation("invented".into()),
            Requester::OfInvalidJob if known => {
                return self.violation("accepted what can never run".into());
            }
            Requester::OfInvalidJob if matches!(answer, Answer::Unschedulable(_)) => {
                return self.record_moment("422");
            }
            _ => return,
        };
        let now = self.now;
        let user = &mut self.users[i];
        if request.alone {
            user.request_deadline = now;
        }
        if known {
            user.last_answered = now;
        }
        let before = user.observed;
        let judged = user.judge(request, &answer, now);
        let observed = user.observed;
        if let Err(broken) = judged {
            let job = user.job;
            self.violation(format!("{broken}: {job}"));
        }
        if !request.alone && known && request.before != Observed::Unknown {
            self.record_moment("looked");
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

    /// In which moment a cancellation was confirmed.
    fn record_cancellation(&mut self, i: usize) {
        let job = self.users[i].job;
        let on = |w: &&Worker| w.tasks.iter().any(|(k, r)| k.0.job == job && Self::on_machine(r));
        let t = self.now;
        let mut runs = false;
        let mut far = false;
        for w in self.workers.iter().filter(on) {
            runs = true;
            far |= t < w.hung_until || t < w.downlink_lost_until || t < w.uplink_lost_until;
            far |= self.zone_cut.is_some();
        }
        if runs {
            self.record_moment("cancelled as it ran");
        }
        if far {
            self.record_moment("cancelled out of reach");
        }
        let apart = |c: &SimulatedController| t < c.refused_until || c.store_cut.is_some();
        if runs
            && self
                .controllers
                .iter()
                .any(|c| apart(c) && c.process.as_ref().is_some_and(Process::leading))
        {
            self.record_moment("cancelled beside a leader that is refused");
        }
        if runs && self.leader().is_none() {
            self.record_moment("cancelled without a leader");
        }
    }
}

impl User {
    /// Takes what an answer says; an error names the rule that the answer breaks.
    fn judge(
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
                match request.before {
                    Observed::Unknown => Ok(()),
                    _ => Err("went_back: a known job was accepted anew"),
                }
            }
            Answer::Job { status, .. } => self.judge_status(request, *status, now),
            Answer::NotFound if request.before != Observed::Unknown => Err("forgotten: 404"),
            Answer::Invalid(_) | Answer::Unschedulable(_) => Err("forgotten: refused"),
            _ => Ok(()),
        }
    }

    fn judge_status(
        &mut self,
        request: PendingRequest,
        status: JobStatus,
        now: u64,
    ) -> Result<(), &'static str> {
        match (status, self.observed) {
            (JobStatus::Done, Observed::Cancelled(_)) => Err("went_back: cancelled, then done"),
            (JobStatus::Done, _) => {
                self.observed = Observed::Done;
                let all_done = self.done.len() >= self.spec.tasks as usize;
                all_done.then_some(()).ok_or("not_done")
            }
            (JobStatus::Cancelled, Observed::Done) => Err("went_back: done, then cancelled"),
            (JobStatus::Cancelled, Observed::Cancelled(_)) => Ok(()),
            (JobStatus::Cancelled, _) => {
                self.observed = Observed::Cancelled(now);
                self.cancel_requested.then_some(()).ok_or("went_back: cancelled by nobody")
            }
            _ if matches!(request.before, Observed::Done | Observed::Cancelled(_)) => {
                Err("went_back: ended, then alive")
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
enum RequestKind {
    Submit,
    Poll,
    Cancel,
}

impl RequestKind {
    /// How long a user waits for the answer.
    fn patience(self) -> u64 {
        match self {
            RequestKind::Poll => 2_000,
            _ => 5_000,
        }
    }

    fn input(self, req: RequestId, u: &User) -> Input {
        match self {
            RequestKind::Submit => {
                Input::Submit { req, job: u.job, spec: Box::new(u.spec.clone()) }
            }
            RequestKind::Poll => Input::Poll { req, job: u.job },
            RequestKind::Cancel => Input::Cancel { req, job: u.job },
        }
    }
}
