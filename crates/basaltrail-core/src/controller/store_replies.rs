//! Answers of the state service and the cloud.

use super::*;
use crate::controller::request_queue::Confirming;
use basaltrail_admission::Outcome;

impl Controller {
    /// Takes a record that was read alone or from a list.
    pub(super) fn apply(&mut self, item: &KeyValue) {
        self.apply_from(item, false);
    }

    /// Takes a record; `in_order` says whether every change before it is known.
    fn apply_from(&mut self, item: &KeyValue, in_order: bool) {
        if let Some(job) = item.key.strip_prefix(ACTIVE_JOBS_PREFIX).and_then(parse_job) {
            match decode::<JobRecord>(&item.value) {
                Some(record) => self.job_cache.put_active(job, item.mod_revision, record),
                None => self.calls.log(StoreEvent::JobUnreadable { job }),
            }
        } else if let Some(job) = item.key.strip_prefix(OUTCOMES_PREFIX).and_then(parse_job) {
            if let Some(end) = decode(&item.value) {
                self.job_cache.put_final(job, end);
            }
        } else if item.key.starts_with(ADMISSION_PREFIX) {
            self.apply_admission(item, in_order);
        }
    }

    pub(super) fn state_reply(&mut self, op: CallId, reply: StoreReply) {
        let Some(purpose) = self.calls.take(op) else { return };
        match reply {
            StoreReply::Unknown => {}
            StoreReply::Refused => {}
            _ => self.state_ok = self.now,
        }
        match purpose {
            Purpose::Election(call) => {
                if let Some(lease_id) = self.election.answer(self.now, call, reply) {
                    let call = crate::election::Call::Revoke { lease_id };
                    self.calls.state(
                        Purpose::Election(call),
                        StoreRequest::RevokeLease { lease_id },
                        1000,
                    );
                }
                if let Some((call, op, timeout)) = self.election.take() {
                    self.calls.writes.take(self.now, 2.0, CallPriority::Lease);
                    self.calls.state(Purpose::Election(call), op, timeout);
                }
            }
            Purpose::ListJobs { part, after, sent } => self.jobs_listed(part, after, sent, reply),
            Purpose::WatchJobs { sent, kind } => self.jobs_watched(kind, sent, reply),
            Purpose::Submit(batch) => self.submitted(batch, reply),
            Purpose::Check(jobs) => {
                self.requests.checks_in_flight -= 1;
                match reply {
                    StoreReply::Committed { .. } => {
                        for c in jobs {
                            // What was confirmed is an entry that went since: it has an end.
                            if c.known && self.requests.view(&self.job_cache, c.job).is_none() {
                                self.requests.reads.push((c.job, c.asks));
                            } else {
                                self.confirmed(c.job, c.asks);
                            }
                        }
                    }
                    StoreReply::Conflict { failed } => {
                        for Confirming { job, asks, .. } in jobs {
                            if failed.contains(&active_key(job)) || failed.contains(&final_key(job))
                            {
                                self.requests.reads.push((job, asks));
                            } else {
                                self.requests.check_again(job, asks);
                            }
                        }
                        self.requests.checks_since = self.now;
                    }
                    _ => {
                        for c in jobs {
                            self.busy(c.asks, 1, "no check possible");
                        }
                    }
                }
            }
            Purpose::ReadActive { job, asks } => match reply {
                StoreReply::KeyValue(item) => {
                    self.apply(&item);
                    // A record that cannot be read is not none.
                    match self.requests.view(&self.job_cache, job) {
                        Some(_) => self.confirmed(job, asks),
                        None => self.busy(asks, 1, "record unreadable"),
                    }
                }
                // The end is read after the entry was found missing: a job only ever
                // goes from one to the other, so missing both means it never was.
                StoreReply::NotFound => {
                    let patience = self.cfg.leader_lease_ms() / 5;
                    let call = StoreRequest::Get(final_key(job));
                    self.calls.pay(self.now, CallPriority::Lease);
                    self.calls.state(Purpose::ReadFinal { job, asks }, call, patience);
                }
                _ => self.unread(job, asks),
            },
            Purpose::ReadFinal { job, asks } => match reply {
                StoreReply::KeyValue(item) => {
                    self.apply(&item);
                    // A record that cannot be read is not none.
                    match self.requests.view(&self.job_cache, job) {
                        Some(_) => self.confirmed(job, asks),
                        None => self.busy(asks, 1, "record unreadable"),
                    }
                }
                StoreReply::NotFound => self.confirmed(job, asks),
                _ => self.unread(job, asks),
            },
            Purpose::Cancel { job, asks } => match reply {
                StoreReply::Committed { .. } => {
                    self.job_cache.put_final(job, JobOutcome::Cancelled);
                    self.calls.log(JobEvent::Cancelled { job });
                    self.confirmed(job, asks);
                }
                StoreReply::Conflict { .. } => self.requests.reads.push((job, asks)),
                _ => self.busy(asks, 1, "not decided"),
            },
            Purpose::TypesKept => {
                self.types.read(reply, self.now + self.cfg.heartbeat_interval_ms / 4)
            }
            Purpose::TypesPut => self.types.written(&reply),
            Purpose::Load { token } => {
                self.with_leader(|leader, ctx, calls, _| {
                    if leader.token == token {
                        leader.load_answer(ctx, calls, reply);
                    }
                });
            }
            Purpose::PendingWrite { token, flush } => {
                let out = self.with_leader(|leader, ctx, _, _| {
                    (leader.token == token).then(|| leader.flush_answer(ctx, *flush, reply))
                });
                if let Some(Some(out)) = out {
                    for job in out.ends {
                        self.calls.log(JobEvent::Completed { job });
                        self.job_cache.put_final(job, JobOutcome::Done);
                    }
                    if let Some(keys) = out.rejected {
                        self.calls.log(StoreEvent::WriteRejected { keys });
                    }
                    self.requests.reads.extend(out.read.into_iter().map(|j| (j, Vec::new())));
                    if out.deposed {
                        self.election.step_down(self.now);
                    }
                }
            }
            Purpose::Announce => self.admission.announced(self.now, &self.cfg),
            Purpose::Allot { token, grants } => {
                let deposed = self.with_leader(|leader, _, _, _| {
                    leader.token == token && leader.allotting.answer(&grants, &reply)
                });
                if deposed == Some(true) {
                    self.election.step_down(self.now);
                }
            }
            Purpose::Refresh { token, key } => {
                self.with_leader(|leader, _, _, _| {
                    if leader.token == token {
                        leader.refresh_answer(key, reply);
                    }
                });
            }
            _ => {}
        }
    }

    pub(super) fn unread(&mut self, job: JobId, asks: Vec<ClientRequest>) {
        if asks.is_empty() {
            if let Some(r) = self.leader.as_mut() {
                // Read again while it is not known; see `read_unknown`.
                r.failover.unknown.insert(job);
            }
        }
        self.busy(asks, 1, "no check possible");
    }

    /// A watch of the jobs was answered, or is given up.
    fn jobs_watched(&mut self, kind: WatchKind, sent: Ms, reply: StoreReply) {
        // Changes come in crowds; one watch for each would cost too much.
        let soon = self.now + self.cfg.heartbeat_interval_ms / 10;
        let later = self.now + self.cfg.heartbeat_interval_ms / 4;
        match reply {
            StoreReply::Events { revision, events } => {
                self.job_watch.answered(kind, soon);
                for event in &events {
                    self.apply_event(event);
                }
                self.job_watch.news(revision, sent);
                if self.verbose && (kind == WatchKind::CatchUp || !events.is_empty()) {
                    self.calls.log(JobEvent::WatchAnswered {
                        revision,
                        events: events.len(),
                        kind,
                        took_ms: self.now - sent,
                    });
                }
            }
            StoreReply::Compacted => {
                self.job_watch.answered(kind, soon);
                self.job_watch.compacted();
            }
            _ => self.job_watch.answered(kind, later),
        }
    }

    fn apply_event(&mut self, event: &WatchEvent) {
        match event {
            WatchEvent::Put(item) => self.apply_from(item, true),
            WatchEvent::Delete { key, mod_revision } => {
                if let Some(job) = key.strip_prefix(ACTIVE_JOBS_PREFIX).and_then(parse_job) {
                    self.job_cache.remove_active(job, *mod_revision);
                }
            }
        }
    }

    pub(super) fn jobs_listed(
        &mut self,
        part: ListPart,
        after: Option<String>,
        sent: Ms,
        reply: StoreReply,
    ) {
        let StoreReply::Page { items, more, revision } = reply else {
            self.job_watch.list_failed(self.now + self.cfg.heartbeat_interval_ms / 4);
            return;
        };
        for i in &items {
            self.apply(i);
        }
        if part == ListPart::Jobs {
            self.forget_unlisted(&items, after.as_deref(), more, revision);
        }
        // The watch starts where the first page was read.
        let first = self.job_watch.page(revision);
        if more {
            return self.list_jobs(part, items.last().map(|i| i.key.clone()), sent);
        }
        if part == ListPart::Jobs && self.admission.binds() {
            return self.list_jobs(ListPart::Admission, None, sent);
        }
        self.job_watch.listed(sent);
        self.calls.log(JobEvent::Listed {
            revision: first,
            active: self.job_cache.active.len(),
            took_ms: self.now - sent,
        });
    }

    /// Entries that we hold in the stretch of keys of one page and that are not listed any more.
    fn forget_unlisted(
        &mut self,
        items: &[KeyValue],
        after: Option<&str>,
        more: bool,
        revision: Revision,
    ) {
        let from = after.unwrap_or(ACTIVE_JOBS_PREFIX);
        let to = items.last().filter(|_| more).map(|i| i.key.as_str());
        let listed: std::collections::BTreeSet<&str> =
            items.iter().map(|i| i.key.as_str()).collect();
        let gone: Vec<JobId> = self
            .job_cache
            .active
            .keys()
            .filter(|j| {
                let key = active_key(**j);
                key.as_str() > from
                    && to.is_none_or(|t| key.as_str() <= t)
                    && !listed.contains(key.as_str())
            })
            .copied()
            .collect();
        for job in gone {
            self.job_cache.remove_active(job, Revision(revision.0 + 1));
        }
    }

    pub(super) fn submitted(&mut self, batch: Vec<NewJob>, reply: StoreReply) {
        self.requests.submits_in_flight -= 1;
        match reply {
            StoreReply::Committed { revision } => {
                for new in batch {
                    self.admission.settle(&new, Outcome::Used);
                    let record = self.record_of(&new);
                    self.job_cache.put_active(new.job, revision, record);
                    for ask in new.asks {
                        self.requests.waiting = self.requests.waiting.saturating_sub(1);
                        self.calls.answer(ask.req, Answer::Created { job: new.job });
                    }
                }
            }
            StoreReply::Conflict { failed } => {
                let mut rest = Vec::new();
                for new in batch {
                    let keys = [active_key(new.job), final_key(new.job)];
                    if keys.iter().any(|k| failed.contains(k)) {
                        self.admission.settle(&new, Outcome::NotUsed);
                        self.requests.reads.push((new.job, new.asks));
                    } else if self.admission.conflicts(&new, &failed) {
                        let waits_until = self.now + self.cfg.heartbeat_interval_ms;
                        self.requests.moved.push(NewJob { waits_until, ..new });
                    } else {
                        rest.push(new);
                    }
                }
                // One duplicate must not cost the others their place.
                rest.append(&mut self.requests.submits);
                self.requests.submits = rest;
            }
            StoreReply::Rejected if batch.len() > 1 => {
                // One that cannot be kept must not cost the others their place.
                let mut rest: Vec<NewJob> =
                    batch.into_iter().map(|new| NewJob { alone: true, ..new }).collect();
                rest.append(&mut self.requests.submits);
                self.requests.submits = rest;
            }
            StoreReply::Refused | StoreReply::Rejected => {
                for new in batch {
                    if reply == StoreReply::Rejected {
                        self.calls.log(StoreEvent::WriteRejected { keys: active_key(new.job) });
                    }
                    self.admission.settle(&new, Outcome::NotUsed);
                    self.busy(new.asks, 1, "state service refused");
                }
            }
            _ => {
                for new in batch {
                    // It may yet be carried out.
                    self.admission.settle(&new, Outcome::Used);
                    self.busy(new.asks, 1, "not decided");
                }
            }
        }
    }

    pub(super) fn cloud_reply(&mut self, op: CallId, reply: CloudReply) {
        let Some(purpose) = self.calls.take(op) else { return };
        match purpose {
            Purpose::Types => {
                let (retry, next) = (self.cfg.lease_ms / 8, self.cfg.lease_ms * 6);
                self.types.told(reply, self.now + retry, self.now + next);
            }
            Purpose::Rent { token, requisition } => {
                self.with_leader(|leader, ctx, calls, _| {
                    if leader.token == token {
                        leader.provisioning_answer(ctx, calls, &requisition, reply);
                    }
                });
            }
            Purpose::Release { token, machines } => {
                self.with_leader(|leader, ctx, calls, _| {
                    if leader.token == token {
                        leader.termination_answer(ctx, calls, machines, reply);
                    }
                });
            }
            Purpose::List { token } => {
                self.with_leader(|leader, ctx, calls, _| {
                    if leader.token == token {
                        leader.inventory_answer(ctx, calls, reply);
                    }
                });
            }
            _ => {}
        }
    }
}
