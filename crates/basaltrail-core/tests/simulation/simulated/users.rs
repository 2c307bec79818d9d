//! Users: what they ask, and what they may be told.

use super::*;

impl World {
    pub(super) fn user(&mut self, i: usize) {
        let t = self.t;
        let controller = self.rng.random_range(0..CONTROLLERS);
        let u = &mut self.users[i];
        if t < u.waits_until {
            let until = u.waits_until;
            return self.send(until, usize::MAX, 0, Msg::User(i));
        }
        u.asks += 1;
        let pause = if t < self.storm_until { 600 } else { 5_000 };
        let again = t + if u.told == Told::Nothing { 1_000 } else { pause };
        let over = matches!(u.told, Told::Done | Told::Cancelled(_));
        let cancels = u.cancel_at.is_some_and(|c| t >= c) && !over;
        let what = if u.told == Told::Nothing || u.asks.is_multiple_of(7) {
            What::Submit
        } else if cancels {
            What::Cancel
        } else {
            What::Poll
        };
        u.waits_until = t + what.patience();
        self.send(again, usize::MAX, 0, Msg::User(i));
        self.ask(i, controller, what, 0, true);
        // Somebody asks for a job that nobody submitted.
        if self.rng.random_bool(0.05) {
            let req = self.request(Asker::Stranger);
            self.send(t + 1, controller, 0, Msg::Input(Input::Poll { req, job: JobId(77) }));
        }
        if t < self.odd_until {
            self.odd(i, controller);
        }
    }

    fn request(&mut self, asker: Asker) -> RequestId {
        self.next_req += 1;
        self.reqs.insert(RequestId(self.next_req), asker);
        RequestId(self.next_req)
    }

    /// A user asks a controller, `wait` from now.
    fn ask(&mut self, i: usize, controller: usize, what: What, wait: u64, alone: bool) {
        let t = self.t;
        if self.controllers[controller].process.is_none()
            || t < self.controllers[controller].island_until
        {
            return;
        }
        let (before, until) = (self.users[i].told, t + wait + what.patience());
        let req = self.request(Asker::User(i, Question { until, before, alone }));
        let u = &mut self.users[i];
        u.asked_to_cancel |= what == What::Cancel;
        let input = what.input(req, u);
        if self.copied() && what != What::Poll {
            let at = t + self.rng.random_range(50..30_000);
            let copy = what.input(RequestId(0), &self.users[i]);
            self.send(at, controller, 0, Msg::Input(copy));
        }
        let at = t + wait + self.delay();
        self.send(at, controller, 0, Msg::Input(input));
    }

    /// Its user calls a job off, now.
    pub(super) fn cancel(&mut self, i: usize) {
        self.users[i].cancel_at.get_or_insert(self.t);
        let controller = self.rng.random_range(0..CONTROLLERS);
        self.ask(i, controller, What::Cancel, 0, false);
    }

    /// Right after a user was told something: at all controllers, again and again.
    fn look(&mut self, i: usize) {
        for controller in 0..CONTROLLERS {
            for what in [What::Poll, What::Submit, What::Poll] {
                let wait = self.rng.random_range(0..12);
                self.ask(i, controller, what, wait, false);
            }
        }
        if self.users[i].told == Told::Accepted && self.rng.random_bool(0.1) {
            self.meet("cancelled at once");
            self.cancel(i);
        }
    }

    /// Requests that a careful user would not send.
    fn odd(&mut self, i: usize, controller: usize) {
        match self.users[i].told {
            Told::Nothing => {}
            Told::Accepted => self.ask(i, controller, What::Submit, 0, false),
            Told::Done => self.ask(i, controller, What::Cancel, 0, false),
            Told::Cancelled(_) => self.ask(i, controller, What::Submit, 0, false),
        }
        let mut spec = self.users[i].spec.clone();
        match self.rng.random_range(0..5) {
            0 => spec.cpus = CPUS * 2.0,
            1 => spec.types = Some(vec!["y".into()]),
            2 => spec.zone = Some("q".into()),
            3 => spec.team = "nobody".into(),
            _ => (spec.team, spec.cpus) = ("t0".into(), CPUS_MAX[0] + 1.0),
        }
        let req = self.request(Asker::Odd);
        let job = JobId(500_000 + req.0);
        let input = Input::Submit { req, job, spec: Box::new(spec) };
        self.send(self.t + 1, controller, 0, Msg::Input(input));
    }

    pub(super) fn answer(&mut self, asker: Asker, answer: Answer) {
        let known = matches!(answer, Answer::Job { .. } | Answer::Created { .. });
        let (i, q) = match asker {
            Asker::User(i, q) => (i, q),
            Asker::Stranger if known => return self.rule("invented".into()),
            Asker::Odd if known => return self.rule("accepted what can never run".into()),
            Asker::Odd if matches!(answer, Answer::Unschedulable(_)) => return self.meet("422"),
            _ => return,
        };
        let t = self.t;
        let u = &mut self.users[i];
        if q.alone {
            u.waits_until = t;
        }
        let now = u.told;
        if known {
            u.answered = t;
        }
        let mut bad = None;
        match answer {
            Answer::Created { .. } => {
                if q.before != Told::Nothing {
                    bad = Some("went_back: a known job was accepted anew");
                }
                u.told = if now == Told::Nothing { Told::Accepted } else { now };
            }
            Answer::Job { view, .. } => match (view, now) {
                (JobStatus::Done, Told::Cancelled(_)) => {
                    bad = Some("went_back: cancelled, then done")
                }
                (JobStatus::Done, _) => {
                    if u.done.len() < u.spec.tasks as usize {
                        bad = Some("not_done");
                    }
                    u.told = Told::Done;
                }
                (JobStatus::Cancelled, Told::Done) => bad = Some("went_back: done, then cancelled"),
                (JobStatus::Cancelled, Told::Cancelled(_)) => {}
                (JobStatus::Cancelled, _) => {
                    if !u.asked_to_cancel {
                        bad = Some("went_back: cancelled by nobody");
                    }
                    u.told = Told::Cancelled(t);
                }
                _ if matches!(q.before, Told::Done | Told::Cancelled(_)) => {
                    bad = Some("went_back: ended, then alive")
                }
                (_, Told::Nothing) => u.told = Told::Accepted,
                _ => {}
            },
            Answer::NotFound if q.before != Told::Nothing => bad = Some("forgotten: 404"),
            Answer::Invalid(_) | Answer::Unschedulable(_) => bad = Some("forgotten: refused"),
            _ => {}
        }
        let told = u.told;
        if let Some(b) = bad {
            let job = self.users[i].job;
            self.rule(format!("{b}: {job}"));
        }
        if !q.alone && known && q.before != Told::Nothing {
            self.meet("looked");
        }
        if told != now {
            if matches!(told, Told::Cancelled(_)) {
                self.note_cancelled(i);
            }
            if t < self.looks_until {
                self.look(i);
            }
        }
    }

    /// In which moment a cancellation was confirmed.
    fn note_cancelled(&mut self, i: usize) {
        let job = self.users[i].job;
        let on = |w: &&Worker| w.tasks.iter().any(|(k, r)| k.0.job == job && Self::on_machine(r));
        let t = self.t;
        let mut runs = false;
        let mut far = false;
        for w in self.workers.iter().filter(on) {
            runs = true;
            far |= t < w.hangs_until || t < w.deaf_until || t < w.mute_until;
            far |= self.zone_cut.is_some();
        }
        if runs {
            self.meet("cancelled as it ran");
        }
        if far {
            self.meet("cancelled out of reach");
        }
        let apart = |c: &SimulatedController| t < c.refused_until || c.state_cut.is_some();
        if runs
            && self
                .controllers
                .iter()
                .any(|c| apart(c) && c.process.as_ref().is_some_and(Process::leading))
        {
            self.meet("cancelled beside a leader that is refused");
        }
        if runs && self.leader().is_none() {
            self.meet("cancelled without a leader");
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum What {
    Submit,
    Poll,
    Cancel,
}

impl What {
    /// How long a user waits for the answer.
    fn patience(self) -> u64 {
        match self {
            What::Poll => 2_000,
            _ => 5_000,
        }
    }

    fn input(self, req: RequestId, u: &User) -> Input {
        match self {
            What::Submit => Input::Submit { req, job: u.job, spec: Box::new(u.spec.clone()) },
            What::Poll => Input::Poll { req, job: u.job },
            What::Cancel => Input::Cancel { req, job: u.job },
        }
    }
}
