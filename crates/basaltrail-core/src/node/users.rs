//! Submissions, polls and cancels: what is sent for them and answered.

use super::*;

impl Node {
    pub(super) fn flush_requests(&mut self) {
        let patience = self.cfg.leader_lease_ms() / 5;
        // New jobs go out at once; those that come meanwhile go together next.
        if !self.requests.submits.is_empty() && self.requests.submits_in_flight < 2 {
            let n = self.requests.submits.len().min(self.cfg.txn_ops.max(1));
            if self.calls.writes.take(self.now, n as f64, Class::Request)
                && self.calls.pay(self.now, Class::Request)
            {
                let mut batch: Vec<NewJob> = Vec::new();
                let mut bytes = 0;
                let mut puts = Vec::new();
                let mut conds = Vec::new();
                while batch.len() < n && !self.requests.submits.is_empty() {
                    let new = self.requests.submits.remove(0);
                    let record = JobRecord { at: self.wall, spec: (*new.spec).clone() };
                    let value = encode(&record);
                    bytes += value.len();
                    let alone = new.alone || batch.first().is_some_and(|b| b.alone);
                    if (alone || bytes > 48 * 1024) && !batch.is_empty() {
                        self.requests.submits.insert(0, new);
                        break;
                    }
                    conds.push((active_key(new.job), 0));
                    conds.push((final_key(new.job), 0));
                    puts.push(Put { key: active_key(new.job), value, loan: None });
                    batch.push(new);
                }
                self.requests.submits_in_flight += 1;
                let op = StateOp::Txn { conds, puts, removes: Vec::new() };
                self.calls.state(Purpose::Submit(batch), op, patience);
            } else if self.requests.submits.len() > self.cfg.txn_ops.max(1) * 2 {
                // More than can be written soon: say so now.
                for new in std::mem::take(&mut self.requests.submits) {
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
        let ask = Ask { req, kind: Kind::Submit };
        if self.table.active.contains_key(&job) {
            return self.requests.check(self.now, job, ask);
        }
        if self.types.is_empty() {
            return self.calls.answer(req, Answer::Busy { retry_s: 1, why: "types unknown" });
        }
        if let Some(why) = impossible(&self.cfg, &self.types, &spec) {
            return self.calls.answer(req, Answer::Impossible(why));
        }
        let record = JobRecord { at: self.wall, spec: (*spec).clone() };
        if encode(&record).len() > self.cfg.value_bytes {
            return self.calls.answer(req, Answer::Invalid("the description is too long to keep"));
        }
        let most = (self.cfg.memory_mb * ACTIVE_PER_MB).max(100.0) as usize;
        if self.table.active.len() >= most {
            return self.calls.answer(req, Answer::Busy { retry_s: 10, why: "too many jobs" });
        }
        self.requests.waiting += 1;
        match self.requests.submits.iter_mut().find(|n| n.job == job) {
            Some(n) => n.asks.push(ask),
            None => self.requests.submits.push(NewJob { job, spec, asks: vec![ask], alone: false }),
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
        let ask = Ask { req, kind };
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
                (None, Kind::Submit) => Answer::Busy { retry_s: 1, why: "not decided" },
                (None, _) => Answer::NotFound,
            };
            self.calls.answer(ask.req, answer);
        }
    }
}
