//! Users: what they ask, and what they may be told.

use super::*;

impl World {
    pub(super) fn user(&mut self, i: usize) {
        let t = self.t;
        let node = self.rng.random_range(0..NODES);
        let u = &mut self.users[i];
        if t < u.waits_until {
            let until = u.waits_until;
            return self.send(until, usize::MAX, 0, Msg::User(i));
        }
        u.asks += 1;
        let pause = if t < self.storm_until { 600 } else { 5_000 };
        let again = t + if u.told == Told::Nothing { 1_000 } else { pause };
        let over = matches!(u.told, Told::Done | Told::Cancelled(_));
        self.next_req += 1;
        let req = ReqId(self.next_req);
        let cancels = u.cancel_at.is_some_and(|c| t >= c) && !over;
        let input = if u.told == Told::Nothing || u.asks.is_multiple_of(7) {
            Input::Submit { req, job: u.job, spec: Box::new(u.spec.clone()) }
        } else if cancels {
            u.asked_to_cancel = true;
            Input::Cancel { req, job: u.job }
        } else {
            Input::Poll { req, job: u.job }
        };
        u.waits_until = t + if matches!(input, Input::Poll { .. }) { 2_000 } else { 5_000 };
        let until = u.waits_until;
        self.send(again, usize::MAX, 0, Msg::User(i));
        if self.nodes[node].node.is_some() && t >= self.nodes[node].island_until {
            self.reqs.insert(req, (false, i, until));
            if self.copied() {
                let at = t + self.rng.random_range(50..30_000);
                let copy = match &input {
                    Input::Submit { job, spec, .. } => {
                        Input::Submit { req: ReqId(0), job: *job, spec: spec.clone() }
                    }
                    Input::Cancel { job, .. } => Input::Cancel { req: ReqId(0), job: *job },
                    _ => Input::Tick,
                };
                self.send(at, node, 0, Msg::Input(copy));
            }
            let at = t + self.delay();
            self.send(at, node, 0, Msg::Input(input));
        }
        // Somebody asks for a job that nobody submitted.
        if self.rng.random_bool(0.05) {
            self.next_req += 1;
            let req = ReqId(self.next_req);
            self.reqs.insert(req, (false, usize::MAX, t + 2_000));
            self.send(t + 1, node, 0, Msg::Input(Input::Poll { req, job: JobId(77) }));
        }
    }

    pub(super) fn answer(&mut self, i: usize, answer: Answer) {
        if i == usize::MAX {
            if matches!(answer, Answer::State { .. } | Answer::Created { .. }) {
                self.rule("invented".into());
            }
            return;
        }
        let t = self.t;
        let u = &mut self.users[i];
        u.waits_until = t;
        let old = u.told;
        if matches!(answer, Answer::Created { .. } | Answer::State { .. }) {
            u.answered = t;
        }
        let mut bad = None;
        match answer {
            Answer::Created { .. } => {
                if old != Told::Nothing && old != Told::Accepted {
                    bad = Some("went_back: an ended job was accepted anew");
                }
                u.told = if old == Told::Nothing { Told::Accepted } else { old };
            }
            Answer::State { view, .. } => match (view, old) {
                (JobView::Done, Told::Cancelled(_)) => {
                    bad = Some("went_back: cancelled, then done")
                }
                (JobView::Done, _) => {
                    if u.done.len() < u.spec.tasks as usize {
                        bad = Some("not_done");
                    }
                    u.told = Told::Done;
                }
                (JobView::Cancelled, Told::Done) => bad = Some("went_back: done, then cancelled"),
                (JobView::Cancelled, Told::Cancelled(_)) => {}
                (JobView::Cancelled, _) => {
                    if !u.asked_to_cancel {
                        bad = Some("went_back: cancelled by nobody");
                    }
                    u.told = Told::Cancelled(t);
                }
                (_, Told::Done | Told::Cancelled(_)) => bad = Some("went_back: ended, then alive"),
                (_, Told::Nothing) => u.told = Told::Accepted,
                _ => {}
            },
            Answer::NotFound if old != Told::Nothing => bad = Some("forgotten: 404"),
            Answer::Invalid(_) | Answer::Impossible(_) => bad = Some("forgotten: refused"),
            _ => {}
        }
        if let Some(b) = bad {
            let job = self.users[i].job;
            self.rule(format!("{b}: {job}"));
        }
    }
}
