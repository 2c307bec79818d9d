//! What an earlier leader left, and what the table of jobs says.

use crate::answer::Answer;
use crate::leader::*;
use crate::lease_renewal::{Permit, Refusal};

/// Answers to a machine that were given before the machine registry was read.
#[derive(Default)]
pub(in crate::leader) struct EarlyAnswers {
    /// The last one; it may have renewed the machine's lease.
    renewed: Ms,
    /// Those to reports that did not show this leader's token.
    without_token: u32,
}

impl Leader {
    /// Answers a report while the state that earlier leaders left is still being read. The
    /// answer renews the worker's lease: were it refused, all leases would run out where the
    /// state service is slow, or fails, just after the election. Nothing is started, and what
    /// the answer may have renewed is counted once the machine registry is read.
    ///
    /// # Errors
    ///
    /// Why the lease is not renewed.
    pub(in crate::leader) fn answer_while_loading(
        &mut self,
        ctx: &Context,
        heartbeat: &Heartbeat,
        permit: Permit,
    ) -> Result<Answer, Refusal> {
        let known = self.failover.early_answers.contains_key(&heartbeat.machine);
        if !known && self.failover.early_answers.len() >= ctx.cfg.max_machines {
            return Err(Refusal::Loading);
        }
        let answers = self.failover.early_answers.entry(heartbeat.machine.clone()).or_default();
        if heartbeat.token < self.token {
            if answers.without_token >= crate::machines::machine::MAX_ANSWERS_WITHOUT_TOKEN {
                return Err(Refusal::NoReportWithToken);
            }
            answers.without_token += 1;
        }
        answers.renewed = ctx.now;
        Ok(permit.answer(self.token, Vec::new()))
    }

    /// Counts what was answered to a machine of the machine registry before the machine registry was read.
    fn count_early_answers(&self, machine: &mut Machine) {
        if let Some(answers) = self.failover.early_answers.get(&machine.id) {
            machine.lease_renewed_at = machine.lease_renewed_at.max(answers.renewed);
            machine.answers_without_token = answers.without_token;
        }
    }

    pub fn load(&mut self, ctx: &Context, calls: &mut Calls) {
        if self.failover.load_in_flight || self.loaded() || ctx.now < self.failover.load_not_before
        {
            return;
        }
        if !calls.try_acquire(ctx.now, CallPriority::Lease) {
            return;
        }
        self.failover.load_in_flight = true;
        let list =
            |prefix: &str, after| StoreRequest::List { prefix: prefix.into(), after, limit: 500 };
        let call = match self.failover.loading {
            Loading::Registry => list(MACHINE_REGISTRY_PREFIX, self.failover.load_after.clone()),
            Loading::Completions => list(COMPLETIONS_PREFIX, self.failover.load_after.clone()),
            _ => StoreRequest::Get(LEDGER_KEY.into()),
        };
        calls.send_to_store(
            StorePurpose::LoadLeaderState { token: self.token },
            call,
            ctx.cfg.leader_lease_ms() / 4,
        );
    }

    pub fn load_answer(&mut self, ctx: &Context, calls: &mut Calls, reply: StoreReply) {
        self.failover.load_in_flight = false;
        match (self.failover.loading, reply) {
            (Loading::Registry, StoreReply::Page { items, more, .. }) => {
                self.failover.load_after = items.last().filter(|_| more).map(|i| i.key.clone());
                for i in items {
                    self.writer.mod_revisions.insert(i.key.clone(), i.mod_revision);
                    let part = i
                        .key
                        .strip_prefix(MACHINE_REGISTRY_PREFIX)
                        .and_then(|p| p.parse::<usize>().ok());
                    let entries: Option<Vec<MachineRecord>> = decode(&i.value);
                    let (Some(part), Some(entries)) = (part.filter(|p| *p < 1000), entries) else {
                        calls.log(StoreEvent::RegistryUnreadable { key: i.key.clone() });
                        continue;
                    };
                    if self.registry.parts.len() <= part {
                        self.registry.parts.resize(part + 1, Vec::new());
                        self.registry.bytes.resize(part + 1, 0);
                    }
                    for e in &entries {
                        let mut m =
                            Machine::new(e.id.clone(), &e.machine_type, &e.zone, e.spot, ctx.now);
                        // Until it reports with our token, an earlier leader's tasks may
                        // be on it, unless the machine registry says that nothing is.
                        m.reconciled = e.free;
                        m.registered_in_use = !e.free;
                        m.in_use_before_failover = !e.free;
                        m.registry_segment = Some(part);
                        m.lease_renewed_at = self.since;
                        self.count_early_answers(&mut m);
                        self.cluster.machines.insert(e.id.clone(), m);
                    }
                    self.registry.bytes[part] = i.value.len();
                    self.registry.parts[part] = entries;
                }
                if !more {
                    self.repair_registry(ctx);
                    self.failover.loading = Loading::Completions;
                }
            }
            (Loading::Completions, StoreReply::Page { items, more, .. }) => {
                self.failover.load_after = items.last().filter(|_| more).map(|i| i.key.clone());
                for i in items {
                    self.writer.mod_revisions.insert(i.key.clone(), i.mod_revision);
                    let text: Option<String> = decode(&i.value);
                    if let (Some((job, part)), Some(text)) = (parse_completions_key(&i.key), text) {
                        self.failover.loaded_done.entry(job).or_default().push((part, text));
                    }
                }
                if !more {
                    self.failover.loading = Loading::Ledger;
                }
            }
            (Loading::Ledger, reply @ (StoreReply::KeyValue(_) | StoreReply::NotFound)) => {
                if let StoreReply::KeyValue(i) = reply {
                    self.writer.mod_revisions.insert(i.key.clone(), i.mod_revision);
                    let record: Option<LedgerRecord> = decode(&i.value);
                    self.ledger = Ledger::new(ctx.cfg, record.as_ref(), ctx.now);
                    let told = record.map(|r| r.suspects).unwrap_or_default();
                    self.failover.inherited.extend(told.into_iter().take(SUSPECTS_TOLD));
                }
                self.failover.loading = Loading::Complete;
                self.failover.early_answers.clear();
                let ids: Vec<JobId> = self.cluster.jobs.keys().copied().collect();
                for job in ids {
                    self.apply_loaded(job);
                }
                for (job, parts) in std::mem::take(&mut self.failover.loaded_done) {
                    // Left by a job that has ended.
                    self.failover.unknown.insert(job);
                    self.failover.loaded_done.insert(job, parts);
                }
                calls.log(LeadershipEvent::Leading {
                    token: self.token,
                    machines: self.cluster.machines.len(),
                    jobs: self.cluster.jobs.len(),
                });
            }
            _ => self.failover.load_not_before = ctx.now + ctx.cfg.leader_lease_ms() / 20,
        }
    }

    fn apply_loaded(&mut self, job: JobId) {
        let suspect = self.failover.inherited.contains(&job);
        let Some(j) = self.cluster.jobs.get_mut(&job) else { return };
        for (part, text) in self.failover.loaded_done.remove(&job).unwrap_or_default() {
            if j.spec.is_service() {
                break; // it is never done, whatever stands there
            }
            j.done.add_segment(part, &text);
            j.durable.add_segment(part, &text);
            j.stored_segments.insert(part);
        }
        j.health.recover(suspect, j.done.count() > 0);
        if j.is_complete() {
            self.writer.complete.insert(job);
        }
    }

    /// Takes over what the table now says of a job.
    pub fn sync_job(&mut self, ctx: &Context, job: JobId) {
        self.failover.unknown.remove(&job);
        if let Some(a) = ctx.job_cache.active.get(&job) {
            let Some(team) = ctx.cfg.team(&a.spec.team) else { return };
            if let Some(j) = self.cluster.jobs.get_mut(&job) {
                j.mod_revision = a.mod_revision;
            } else {
                self.cluster.jobs.insert(job, JobState::new(job, team, a));
                self.scheduler.replica_sizes.note(ctx, &a.spec);
                if self.loaded() {
                    self.apply_loaded(job);
                }
                self.adopt(ctx, job);
            }
            self.scheduler.changed = true;
        } else if let Some(end) = ctx.job_cache.outcome(job) {
            if let Some(j) = self.cluster.jobs.get_mut(&job) {
                j.ended = Some(end);
                self.scheduler.changed = true;
            }
            if let Some(parts) = self.failover.loaded_done.remove(&job) {
                self.writer.cleanup.extend(parts.into_iter().map(|(p, _)| (job, p)));
            }
            self.stop_job(job);
        } else if self.cluster.jobs.get(&job).is_some_and(|j| j.ended.is_none()) {
            self.failover.unknown.insert(job);
        }
    }

    /// Tasks that machines told of before the job was known.
    fn adopt(&mut self, ctx: &Context, job: JobId) {
        let mut found = Vec::new();
        for m in self.cluster.machines.values() {
            for ((task, attempt), e) in &m.slots {
                if task.job == job && e.demand.is_none() {
                    let change = match e.phase {
                        TaskPhase::Confirmed(TaskState::Exited(why)) => TaskChange::Exited {
                            task: *task,
                            attempt: *attempt,
                            reason: why,
                            ran_ms: None,
                        },
                        _ => TaskChange::Present { task: *task, attempt: *attempt },
                    };
                    found.push((m.id.clone(), change));
                }
            }
        }
        for (machine, change) in found {
            self.change(ctx, &machine, change);
        }
    }

    fn stop_job(&mut self, job: JobId) {
        for m in self.cluster.machines.values_mut() {
            // What was never sent is simply not sent.
            m.slots.retain(|(t, _), e| t.job != job || !matches!(e.phase, TaskPhase::Assigned));
            for (_, e) in m.slots.iter_mut().filter(|((t, _), _)| t.job == job) {
                e.stop_grace_s = Some(0.0);
                e.stop_sent_at = None;
            }
        }
    }
}

#[cfg(test)]
#[path = "recovery_tests.rs"]
mod tests;
