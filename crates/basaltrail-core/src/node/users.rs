//! Submissions, polls and cancels: what is sent for them and answered.

use super::*;
use basaltrail_admission::Outcome;

impl Node {
    pub(super) fn flush_requests(&mut self) {
        let patience = self.cfg.leader_lease_ms() / 5;
        self.renew_moved();
        // New jobs go out at once; those that come meanwhile go together next.
        if !self.requests.submits.is_empty() && self.requests.submits_in_flight < 2 {
            let n = self.requests.submits.len().min(self.cfg.txn_ops.max(1));
            if self.calls.writes.take(self.now, n as f64, Class::Request)
                && self.calls.pay(self.now, Class::Request)
            {
                self.send_submissions(n);
            } else if self.requests.submits.len() > self.cfg.txn_ops.max(1) * 2 {
                // More than can be written soon: say so now.
                for new in std::mem::take(&mut self.requests.submits) {
                    self.admission.settle(&new, Outcome::NotUsed);
                    self.busy(new.asks, 2, "too many submissions");
                }
            }
        }
        // Polls are gathered for a moment and checked together.
        let gather = (self.cfg.report_ms / 10).min(150);
        let conditions = self.cfg.txn_ops * 4;
        let full = self.requests.jobs_to_check() * 2 >= conditions;
        if self.requests.jobs_to_check() > 0
            && self.requests.checks_in_flight < 4
            && (full || self.now >= self.requests.checks_since + gather)
        {
            if self.calls.pay(self.now, Class::Request) {
                let (jobs, conds) = self.requests.take_checks(&self.table, conditions.max(2));
                self.requests.checks_in_flight += 1;
                self.requests.checks_since = self.now;
                let op = StateOp::Txn { conds, puts: Vec::new(), removes: Vec::new() };
                self.calls.state(Purpose::Check(jobs), op, patience);
            } else if self.now > self.requests.checks_since + 1000 {
                let asks = self.requests.give_up_checks();
                self.busy(asks, 1, "no check possible");
            }
        }
        while !self.requests.reads.is_empty() && self.calls.pay(self.now, Class::Request) {
            let (job, asks) = self.requests.reads.remove(0);
            self.calls.state(
                Purpose::ReadActive { job, asks },
                StateOp::Get(active_key(job)),
                patience,
            );
        }
    }

    /// Sends up to `most` submissions in one transaction, each on the condition of its allotment.
    fn send_submissions(&mut self, most: usize) {
        let mut batch: Vec<NewJob> = Vec::new();
        let mut bytes = 0;
        let mut puts = Vec::new();
        let mut conds = Vec::new();
        while batch.len() < most && !self.requests.submits.is_empty() {
            let new = self.requests.submits.remove(0);
            if !self.admission.is_current(&self.table, &new) {
                self.requests.moved.push(NewJob { waits_until: self.now, ..new });
                continue;
            }
            let value = encode(&self.record_of(&new));
            bytes += value.len();
            let alone = new.alone || batch.first().is_some_and(|b| b.alone);
            if (alone || bytes > 48 * 1024) && !batch.is_empty() {
                self.requests.submits.insert(0, new);
                break;
            }
            conds.push((active_key(new.job), 0));
            conds.push((final_key(new.job), 0));
            if let Some(condition) = self.admission.condition(&new) {
                if !conds.contains(&condition) {
                    conds.push(condition);
                }
            }
            puts.push(Put { key: active_key(new.job), value, loan: None });
            batch.push(new);
        }
        if batch.is_empty() {
            return;
        }
        self.requests.submits_in_flight += 1;
        let op = StateOp::Txn { conds, puts, removes: Vec::new() };
        let patience = self.cfg.leader_lease_ms() / 5;
        self.calls.state(Purpose::Submit(batch), op, patience);
    }

    /// The record of a job that this node accepts now.
    pub(super) fn record_of(&self, new: &NewJob) -> JobRecord {
        let by = self.admission.condition(new).map(|_| self.cfg.node.clone());
        JobRecord { at: self.wall, spec: (*new.spec).clone(), by }
    }

    pub(super) fn busy(&mut self, asks: Vec<Ask>, retry_s: u32, why: &'static str) {
        for a in asks {
            self.requests.waiting = self.requests.waiting.saturating_sub(1);
            self.calls.answer(a.req, Answer::Busy { retry_s, why });
        }
    }

    pub(super) fn too_many(&mut self, req: ReqId) -> bool {
        let most = (self.cfg.memory_mb * WAITING_PER_MB).max(64.0) as usize;
        if self.requests.waiting < most && self.jobs_view.is_loaded() {
            return false;
        }
        let why = if self.jobs_view.is_loaded() { "too many requests" } else { "starting" };
        self.calls.answer(req, Answer::Busy { retry_s: 1, why });
        true
    }

    pub(super) fn submit(&mut self, req: ReqId, job: JobId, spec: Box<JobSpec>) {
        if self.table.ended(job).is_some() {
            if let Some(answer) = self.requests.view(&self.table, job) {
                return self.calls.answer(req, answer);
            }
        }
        if self.too_many(req) {
            return;
        }
        let ask = Ask::new(req, Kind::Submit);
        if self.table.active.contains_key(&job) {
            return self.requests.check(self.now, job, ask);
        }
        if self.types.known().is_empty() {
            return self.calls.answer(req, Answer::Busy { retry_s: 1, why: "types unknown" });
        }
        if let Some(why) = impossible(&self.cfg, self.types.known(), &spec) {
            let refused = Some(NotTaken::Impossible(why));
            return self.requests.check(self.now, job, Ask { refused, ..ask });
        }
        let by = Some(self.cfg.node.clone());
        let record = JobRecord { at: self.wall, spec: (*spec).clone(), by };
        if encode(&record).len() > self.cfg.value_bytes {
            let refused = Some(NotTaken::Invalid("the description is too long to keep"));
            return self.requests.check(self.now, job, Ask { refused, ..ask });
        }
        if self.table.active.len() >= self.cfg.most_active_jobs() {
            return self.calls.answer(req, Answer::Busy { retry_s: 10, why: "too many jobs" });
        }
        let waiting = self.requests.submits.iter_mut().chain(&mut self.requests.moved);
        if let Some(new) = waiting.into_iter().find(|new| new.job == job) {
            self.requests.waiting += 1;
            return new.asks.push(ask);
        }
        match self.admission.admit(&self.table, &spec) {
            Ok(ticket) => {
                self.requests.waiting += 1;
                let (asks, waits_until) = (vec![ask], self.now);
                let new = NewJob { job, spec, asks, alone: false, ticket, waits_until };
                self.requests.submits.push(new);
            }
            // It may be known all the same: then its user is told so.
            Err(refusal) => {
                self.count_refusal(&spec.team);
                let refused = Some(NotTaken::Later(refusal));
                self.requests.check(self.now, job, Ask { refused, ..ask });
            }
        }
    }

    /// What the user of a submission is told that is neither taken nor known.
    fn not_taken(&mut self, refused: Option<NotTaken>) -> Answer {
        match refused {
            Some(NotTaken::Later(refusal)) => self.admission.refuse(&mut self.rng, refusal),
            Some(NotTaken::Impossible(why)) => Answer::Impossible(why),
            Some(NotTaken::Invalid(why)) => Answer::Invalid(why),
            None => Answer::Busy { retry_s: 1, why: "not decided" },
        }
    }

    pub(super) fn ask(&mut self, req: ReqId, job: JobId, kind: Kind) {
        if self.table.ended(job).is_some() {
            if let Some(answer) = self.requests.view(&self.table, job) {
                return self.calls.answer(req, answer);
            }
        }
        if self.too_many(req) {
            return;
        }
        let ask = Ask::new(req, kind);
        if kind == Kind::Cancel {
            self.requests.waiting += 1;
            self.cancel(job, vec![ask]);
        } else {
            self.requests.check(self.now, job, ask);
        }
    }

    pub(super) fn cancel(&mut self, job: JobId, asks: Vec<Ask>) {
        let Some(a) = self.table.active.get(&job) else {
            self.requests.reads.push((job, asks));
            return;
        };
        let stamp = a.stamp;
        if !self.calls.writes.take(self.now, 2.0, Class::Request)
            || !self.calls.pay(self.now, Class::Request)
        {
            return self.busy(asks, 1, "too many changes");
        }
        let op = StateOp::Txn {
            conds: vec![(active_key(job), stamp)],
            puts: vec![Put { key: final_key(job), value: encode(&Final::Cancelled), loan: None }],
            removes: vec![active_key(job)],
        };
        let patience = self.cfg.leader_lease_ms() / 5;
        self.calls.state(Purpose::Cancel { job, asks }, op, patience);
    }

    /// Answers those who waited for a job whose entry was confirmed just now.
    pub(super) fn confirmed(&mut self, job: JobId, asks: Vec<Ask>) {
        for ask in asks {
            let view = self.requests.view(&self.table, job);
            if ask.kind == Kind::Cancel && self.table.active.contains_key(&job) {
                self.cancel(job, vec![ask]);
                continue;
            }
            self.requests.waiting = self.requests.waiting.saturating_sub(1);
            let answer = match (view, ask.kind) {
                (Some(v), _) => v,
                (None, Kind::Submit) => self.not_taken(ask.refused),
                (None, _) => Answer::NotFound,
            };
            self.calls.answer(ask.req, answer);
        }
    }
}
