//! Submissions, polls and cancels: what is sent for them and answered.

use super::*;
use basaltrail_admission::Outcome;

impl Controller {
    pub(super) fn flush_requests(&mut self) {
        let patience = self.cfg.leader_lease_ms() / 5;
        self.renew_moved();
        // New jobs go out at once; those that come meanwhile go together next.
        if !self.requests.submits.is_empty() && self.requests.submits_in_flight < 2 {
            let n = self.requests.submits.len().min(self.cfg.transaction_ops.max(1));
            if self.calls.writes.take(self.now, n as f64, CallPriority::Request)
                && self.calls.pay(self.now, CallPriority::Request)
            {
                self.send_submissions(n);
            } else if self.requests.submits.len() > self.cfg.transaction_ops.max(1) * 2 {
                // More than can be written soon: say so now.
                for new in std::mem::take(&mut self.requests.submits) {
                    self.admission.settle(&new, Outcome::NotUsed);
                    self.busy(new.asks, 2, "too many submissions");
                }
            }
        }
        // Polls are gathered for a moment and checked together.
        let gather = (self.cfg.heartbeat_interval_ms / 10).min(150);
        let conditions = self.cfg.transaction_ops * 4;
        let full = self.requests.jobs_to_check() * 2 >= conditions;
        if self.requests.jobs_to_check() > 0
            && self.requests.checks_in_flight < 4
            && (full || self.now >= self.requests.checks_since + gather)
        {
            if self.calls.pay(self.now, CallPriority::Request) {
                let (jobs, preconditions) =
                    self.requests.take_checks(&self.job_cache, conditions.max(2));
                self.requests.checks_in_flight += 1;
                self.requests.checks_since = self.now;
                let op = StoreRequest::Transaction {
                    preconditions,
                    puts: Vec::new(),
                    deletes: Vec::new(),
                };
                self.calls.state(Purpose::Check(jobs), op, patience);
            } else if self.now > self.requests.checks_since + 1000 {
                let asks = self.requests.give_up_checks();
                self.busy(asks, 1, "no check possible");
            }
        }
        while !self.requests.reads.is_empty() && self.calls.pay(self.now, CallPriority::Request) {
            let (job, asks) = self.requests.reads.remove(0);
            self.calls.state(
                Purpose::ReadActive { job, asks },
                StoreRequest::Get(active_key(job)),
                patience,
            );
        }
    }

    /// Sends up to `most` submissions in one transaction, each on the condition of its allotment.
    fn send_submissions(&mut self, most: usize) {
        let mut batch: Vec<NewJob> = Vec::new();
        let mut bytes = 0;
        let mut puts = Vec::new();
        let mut preconditions = Vec::new();
        while batch.len() < most && !self.requests.submits.is_empty() {
            let new = self.requests.submits.remove(0);
            if !self.admission.is_current(&self.job_cache, &new) {
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
            preconditions.push(Precondition::absent(active_key(new.job)));
            preconditions.push(Precondition::absent(final_key(new.job)));
            if let Some(condition) = self.admission.condition(&new) {
                if !preconditions.contains(&condition) {
                    preconditions.push(condition);
                }
            }
            puts.push(PutRequest { key: active_key(new.job), value, lease_id: None });
            batch.push(new);
        }
        if batch.is_empty() {
            return;
        }
        self.requests.submits_in_flight += 1;
        let op = StoreRequest::Transaction { preconditions, puts, deletes: Vec::new() };
        let patience = self.cfg.leader_lease_ms() / 5;
        self.calls.state(Purpose::Submit(batch), op, patience);
    }

    /// The record of a job that this controller accepts now.
    pub(super) fn record_of(&self, new: &NewJob) -> JobRecord {
        let by = self.admission.condition(new).map(|_| self.cfg.controller.clone());
        JobRecord { at: self.wall, spec: (*new.spec).clone(), by }
    }

    pub(super) fn busy(&mut self, asks: Vec<ClientRequest>, retry_after_s: u32, why: &'static str) {
        for a in asks {
            self.requests.waiting = self.requests.waiting.saturating_sub(1);
            self.calls.answer(a.req, Answer::Unavailable { retry_after_s, why });
        }
    }

    pub(super) fn too_many(&mut self, req: RequestId) -> bool {
        let most = (self.cfg.memory_mb * WAITING_PER_MB).max(64.0) as usize;
        if self.requests.waiting < most && self.job_watch.is_loaded() {
            return false;
        }
        let why = if self.job_watch.is_loaded() { "too many requests" } else { "starting" };
        self.calls.answer(req, Answer::Unavailable { retry_after_s: 1, why });
        true
    }

    pub(super) fn submit(&mut self, req: RequestId, job: JobId, spec: Box<JobSpec>) {
        if self.job_cache.ended(job).is_some() {
            if let Some(answer) = self.requests.view(&self.job_cache, job) {
                return self.calls.answer(req, answer);
            }
        }
        if self.too_many(req) {
            return;
        }
        let ask = ClientRequest::new(req, RequestKind::Submit);
        if self.job_cache.active.contains_key(&job) {
            return self.requests.check(self.now, job, ask);
        }
        if self.types.known().is_empty() {
            return self
                .calls
                .answer(req, Answer::Unavailable { retry_after_s: 1, why: "types unknown" });
        }
        if let Some(why) = unschedulable_reason(&self.cfg, self.types.known(), &spec) {
            let refused = Some(Rejection::Unschedulable(why));
            return self.requests.check(self.now, job, ClientRequest { refused, ..ask });
        }
        let by = Some(self.cfg.controller.clone());
        let record = JobRecord { at: self.wall, spec: (*spec).clone(), by };
        if encode(&record).len() > self.cfg.value_bytes {
            let refused = Some(Rejection::Invalid("the description is too long to keep"));
            return self.requests.check(self.now, job, ClientRequest { refused, ..ask });
        }
        if self.job_cache.active.len() >= self.cfg.max_active_jobs() {
            return self
                .calls
                .answer(req, Answer::Unavailable { retry_after_s: 10, why: "too many jobs" });
        }
        let waiting = self.requests.submits.iter_mut().chain(&mut self.requests.moved);
        if let Some(new) = waiting.into_iter().find(|new| new.job == job) {
            self.requests.waiting += 1;
            return new.asks.push(ask);
        }
        match self.admission.admit(&self.job_cache, &spec) {
            Ok(ticket) => {
                self.requests.waiting += 1;
                let (asks, waits_until) = (vec![ask], self.now);
                let new = NewJob { job, spec, asks, alone: false, ticket, waits_until };
                self.requests.submits.push(new);
            }
            // It may be known all the same: then its user is told so.
            Err(refusal) => {
                self.count_refusal(&spec.team);
                let refused = Some(Rejection::Later(refusal));
                self.requests.check(self.now, job, ClientRequest { refused, ..ask });
            }
        }
    }

    /// What the user of a submission is told that is neither taken nor known.
    fn not_taken(&mut self, refused: Option<Rejection>) -> Answer {
        match refused {
            Some(Rejection::Later(refusal)) => self.admission.refuse(&mut self.rng, refusal),
            Some(Rejection::Unschedulable(why)) => Answer::Unschedulable(why),
            Some(Rejection::Invalid(why)) => Answer::Invalid(why),
            None => Answer::Unavailable { retry_after_s: 1, why: "not decided" },
        }
    }

    pub(super) fn ask(&mut self, req: RequestId, job: JobId, kind: RequestKind) {
        if self.job_cache.ended(job).is_some() {
            if let Some(answer) = self.requests.view(&self.job_cache, job) {
                return self.calls.answer(req, answer);
            }
        }
        if self.too_many(req) {
            return;
        }
        let ask = ClientRequest::new(req, kind);
        if kind == RequestKind::Cancel {
            self.requests.waiting += 1;
            self.cancel(job, vec![ask]);
        } else {
            self.requests.check(self.now, job, ask);
        }
    }

    pub(super) fn cancel(&mut self, job: JobId, asks: Vec<ClientRequest>) {
        let Some(a) = self.job_cache.active.get(&job) else {
            self.requests.reads.push((job, asks));
            return;
        };
        let mod_revision = a.mod_revision;
        if !self.calls.writes.take(self.now, 2.0, CallPriority::Request)
            || !self.calls.pay(self.now, CallPriority::Request)
        {
            return self.busy(asks, 1, "too many changes");
        }
        let op = StoreRequest::Transaction {
            preconditions: vec![Precondition::new(active_key(job), mod_revision)],
            puts: vec![PutRequest {
                key: final_key(job),
                value: encode(&JobOutcome::Cancelled),
                lease_id: None,
            }],
            deletes: vec![active_key(job)],
        };
        let patience = self.cfg.leader_lease_ms() / 5;
        self.calls.state(Purpose::Cancel { job, asks }, op, patience);
    }

    /// Answers those who waited for a job whose entry was confirmed just now.
    pub(super) fn confirmed(&mut self, job: JobId, asks: Vec<ClientRequest>) {
        for ask in asks {
            let view = self.requests.view(&self.job_cache, job);
            if ask.kind == RequestKind::Cancel && self.job_cache.active.contains_key(&job) {
                self.cancel(job, vec![ask]);
                continue;
            }
            self.requests.waiting = self.requests.waiting.saturating_sub(1);
            let answer = match (view, ask.kind) {
                (Some(v), _) => v,
                (None, RequestKind::Submit) => self.not_taken(ask.refused),
                (None, _) => Answer::NotFound,
            };
            self.calls.answer(ask.req, answer);
        }
    }
}
