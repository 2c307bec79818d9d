//! Answers of the state service and the cloud.

use super::*;
use crate::requests::Confirming;
use basaltrail_admission::Outcome;

impl Node {
    /// Takes a record that was read alone or from a list.
    pub(super) fn apply(&mut self, item: &Item) {
        self.apply_from(item, false);
    }

    /// Takes a record; `in_order` says whether every change before it is known.
    fn apply_from(&mut self, item: &Item, in_order: bool) {
        if let Some(job) = item.key.strip_prefix(ACTIVE).and_then(parse_job) {
            match decode::<JobRecord>(&item.value) {
                Some(record) => self.table.put_active(job, item.stamp, record),
                None => self.calls.log(Level::Error, "job_unreadable", format!("job={job}")),
            }
        } else if let Some(job) = item.key.strip_prefix(FINAL).and_then(parse_job) {
            if let Some(end) = decode(&item.value) {
                self.table.put_final(job, end);
            }
        } else if item.key.starts_with(ADMISSION) {
            self.apply_admission(item, in_order);
        }
    }

    pub(super) fn state_reply(&mut self, op: OpId, reply: StateReply) {
        let Some(purpose) = self.calls.take(op) else { return };
        match reply {
            StateReply::Unknown => {}
            StateReply::Refused => {}
            _ => self.state_ok = self.now,
        }
        match purpose {
            Purpose::Election(call) => {
                if let Some(loan) = self.election.answer(self.now, call, reply) {
                    let call = crate::election::Call::Revoke { loan };
                    self.calls.state(Purpose::Election(call), StateOp::Revoke { loan }, 1000);
                }
                if let Some((call, op, timeout)) = self.election.take() {
                    self.calls.writes.take(self.now, 2.0, Class::Lease);
                    self.calls.state(Purpose::Election(call), op, timeout);
                }
            }
            Purpose::JobsList { part, after, sent } => self.jobs_listed(part, after, sent, reply),
            Purpose::JobsWatch { sent, kind } => self.jobs_watched(kind, sent, reply),
            Purpose::Submit(batch) => self.submitted(batch, reply),
            Purpose::Check(jobs) => {
                self.requests.checks_in_flight -= 1;
                match reply {
                    StateReply::Committed { .. } => {
                        for c in jobs {
                            // What was confirmed is an entry that went since: it has an end.
                            if c.known && self.requests.view(&self.table, c.job).is_none() {
                                self.requests.reads.push((c.job, c.asks));
                            } else {
                                self.confirmed(c.job, c.asks);
                            }
                        }
                    }
                    StateReply::Conflict { failed } => {
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
                StateReply::Found(item) => {
                    self.apply(&item);
                    // A record that cannot be read is not none.
                    match self.requests.view(&self.table, job) {
                        Some(_) => self.confirmed(job, asks),
                        None => self.busy(asks, 1, "record unreadable"),
                    }
                }
                // The end is read after the entry was found missing: a job only ever
                // goes from one to the other, so missing both means it never was.
                StateReply::Missing => {
                    let patience = self.cfg.leader_lease_ms() / 5;
                    let call = StateOp::Get(final_key(job));
                    self.calls.pay(self.now, Class::Lease);
                    self.calls.state(Purpose::ReadFinal { job, asks }, call, patience);
                }
                _ => self.unread(job, asks),
            },
            Purpose::ReadFinal { job, asks } => match reply {
                StateReply::Found(item) => {
                    self.apply(&item);
                    // A record that cannot be read is not none.
                    match self.requests.view(&self.table, job) {
                        Some(_) => self.confirmed(job, asks),
                        None => self.busy(asks, 1, "record unreadable"),
                    }
                }
                StateReply::Missing => self.confirmed(job, asks),
                _ => self.unread(job, asks),
            },
            Purpose::Cancel { job, asks } => match reply {
                StateReply::Committed { .. } => {
                    self.table.put_final(job, Final::Cancelled);
                    self.calls.log(Level::Info, "job_cancelled", format!("job={job}"));
                    self.confirmed(job, asks);
                }
                StateReply::Conflict { .. } => self.requests.reads.push((job, asks)),
                _ => self.busy(asks, 1, "not decided"),
            },
            Purpose::TypesKept => self.types.read(reply, self.now + self.cfg.report_ms / 4),
            Purpose::TypesPut => self.types.written(&reply),
            Purpose::Load { token } => {
                self.with_leadership(|leadership, ctx, calls, _| {
                    if leadership.token == token {
                        leadership.load_answer(ctx, calls, reply);
                    }
                });
            }
            Purpose::PendingWrite { token, flush } => {
                let out = self.with_leadership(|leadership, ctx, _, _| {
                    (leadership.token == token).then(|| leadership.flush_answer(ctx, *flush, reply))
                });
                if let Some(Some(out)) = out {
                    for job in out.ends {
                        self.calls.log(Level::Info, "job_done", format!("job={job}"));
                        self.table.put_final(job, Final::Done);
                    }
                    if let Some(keys) = out.rejected {
                        self.calls.log(Level::Error, "write_rejected", format!("key={keys}"));
                    }
                    self.requests.reads.extend(out.read.into_iter().map(|j| (j, Vec::new())));
                    if out.deposed {
                        self.election.step_down(self.now);
                    }
                }
            }
            Purpose::Announce => self.admission.announced(self.now, &self.cfg),
            Purpose::Allot { token, grants } => {
                let deposed = self.with_leadership(|leadership, _, _, _| {
                    leadership.token == token && leadership.allotting.answer(&grants, &reply)
                });
                if deposed == Some(true) {
                    self.election.step_down(self.now);
                }
            }
            Purpose::Refresh { token, key } => {
                self.with_leadership(|leadership, _, _, _| {
                    if leadership.token == token {
                        leadership.refresh_answer(key, reply);
                    }
                });
            }
            _ => {}
        }
    }

    pub(super) fn unread(&mut self, job: JobId, asks: Vec<Ask>) {
        if asks.is_empty() {
            if let Some(r) = self.leadership.as_mut() {
                // Read again while it is not known; see `read_unknown`.
                r.unknown.insert(job);
            }
        }
        self.busy(asks, 1, "no check possible");
    }

    /// A watch of the jobs was answered, or is given up.
    fn jobs_watched(&mut self, kind: WatchKind, sent: Ms, reply: StateReply) {
        // Changes come in crowds; one watch for each would cost too much.
        let soon = self.now + self.cfg.report_ms / 10;
        let later = self.now + self.cfg.report_ms / 4;
        match reply {
            StateReply::Events { revision, events } => {
                self.jobs_view.answered(kind, soon);
                for event in &events {
                    self.apply_event(event);
                }
                self.jobs_view.news(revision, sent);
                if self.verbose && (kind == WatchKind::CatchUp || !events.is_empty()) {
                    let (news, took) = (events.len(), self.now - sent);
                    let detail = format!("revision={revision} news={news} {kind:?} took_ms={took}");
                    self.calls.log(Level::Debug, "jobs_read", detail);
                }
            }
            StateReply::Compacted => {
                self.jobs_view.answered(kind, soon);
                self.jobs_view.compacted();
            }
            _ => self.jobs_view.answered(kind, later),
        }
    }

    fn apply_event(&mut self, event: &Event) {
        match event {
            Event::Put(item) => self.apply_from(item, true),
            Event::Remove { key, stamp } => {
                if let Some(job) = key.strip_prefix(ACTIVE).and_then(parse_job) {
                    self.table.remove_active(job, *stamp);
                }
            }
        }
    }

    pub(super) fn jobs_listed(
        &mut self,
        part: ListPart,
        after: Option<String>,
        sent: Ms,
        reply: StateReply,
    ) {
        let StateReply::Rows { items, more, revision } = reply else {
            self.jobs_view.list_failed(self.now + self.cfg.report_ms / 4);
            return;
        };
        for i in &items {
            self.apply(i);
        }
        if part == ListPart::Jobs {
            self.forget_unlisted(&items, after.as_deref(), more, revision);
        }
        // The watch starts where the first page was read.
        let first = self.jobs_view.page(revision);
        if more {
            return self.list_jobs(part, items.last().map(|i| i.key.clone()), sent);
        }
        if part == ListPart::Jobs && self.admission.binds() {
            return self.list_jobs(ListPart::Admission, None, sent);
        }
        self.jobs_view.listed(sent);
        let (active, took) = (self.table.active.len(), self.now - sent);
        let detail = format!("revision={first} active={active} took_ms={took}");
        self.calls.log(Level::Info, "jobs_listed", detail);
    }

    /// Entries that we hold in the stretch of keys of one page and that are not listed any more.
    fn forget_unlisted(&mut self, items: &[Item], after: Option<&str>, more: bool, revision: u64) {
        let from = after.unwrap_or(ACTIVE);
        let to = items.last().filter(|_| more).map(|i| i.key.as_str());
        let listed: std::collections::BTreeSet<&str> =
            items.iter().map(|i| i.key.as_str()).collect();
        let gone: Vec<JobId> = self
            .table
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
            self.table.remove_active(job, revision + 1);
        }
    }

    pub(super) fn submitted(&mut self, batch: Vec<NewJob>, reply: StateReply) {
        self.requests.submits_in_flight -= 1;
        match reply {
            StateReply::Committed { revision } => {
                for new in batch {
                    self.admission.settle(&new, Outcome::Used);
                    let record = self.record_of(&new);
                    self.table.put_active(new.job, revision, record);
                    for ask in new.asks {
                        self.requests.waiting = self.requests.waiting.saturating_sub(1);
                        self.calls.answer(ask.req, Answer::Created { job: new.job });
                    }
                }
            }
            StateReply::Conflict { failed } => {
                let mut rest = Vec::new();
                for new in batch {
                    let keys = [active_key(new.job), final_key(new.job)];
                    if keys.iter().any(|k| failed.contains(k)) {
                        self.admission.settle(&new, Outcome::NotUsed);
                        self.requests.reads.push((new.job, new.asks));
                    } else if self.admission.conflicts(&new, &failed) {
                        let waits_until = self.now + self.cfg.report_ms;
                        self.requests.moved.push(NewJob { waits_until, ..new });
                    } else {
                        rest.push(new);
                    }
                }
                // One duplicate must not cost the others their place.
                rest.append(&mut self.requests.submits);
                self.requests.submits = rest;
            }
            StateReply::Rejected if batch.len() > 1 => {
                // One that cannot be kept must not cost the others their place.
                let mut rest: Vec<NewJob> =
                    batch.into_iter().map(|new| NewJob { alone: true, ..new }).collect();
                rest.append(&mut self.requests.submits);
                self.requests.submits = rest;
            }
            StateReply::Refused | StateReply::Rejected => {
                for new in batch {
                    if reply == StateReply::Rejected {
                        let detail = format!("key={}", active_key(new.job));
                        self.calls.log(Level::Error, "write_rejected", detail);
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

    pub(super) fn cloud_reply(&mut self, op: OpId, reply: CloudReply) {
        let Some(purpose) = self.calls.take(op) else { return };
        match purpose {
            Purpose::Types => {
                let (retry, next) = (self.cfg.lease_ms / 8, self.cfg.lease_ms * 6);
                self.types.told(reply, self.now + retry, self.now + next);
            }
            Purpose::Rent { token, requisition } => {
                self.with_leadership(|leadership, ctx, calls, _| {
                    if leadership.token == token {
                        leadership.rent_answer(ctx, calls, &requisition, reply);
                    }
                });
            }
            Purpose::Release { token, machines } => {
                self.with_leadership(|leadership, ctx, calls, _| {
                    if leadership.token == token {
                        leadership.release_answer(ctx, calls, machines, reply);
                    }
                });
            }
            Purpose::List { token } => {
                self.with_leadership(|leadership, ctx, calls, _| {
                    if leadership.token == token {
                        leadership.list_answer(ctx, calls, reply);
                    }
                });
            }
            _ => {}
        }
    }
}
