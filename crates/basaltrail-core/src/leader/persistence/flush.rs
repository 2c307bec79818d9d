//! What is written: the machine registry, completions, ends, the ledger.

use crate::leader::*;
use std::collections::HashSet;
use std::ops::Bound::{Excluded, Unbounded};

/// A transaction that is filled up to the limits of the state service. One that passes
/// them is refused for ever, since the same would be written again.
struct Txn {
    preconditions: Vec<Precondition>,
    puts: Vec<PutRequest>,
    deletes: Vec<String>,
    most: usize,
    bytes: usize,
}

impl Txn {
    /// What a key and its mod revision, or a change, take at the most beside the value.
    const FRAME: usize = 128;

    fn new(condition: Precondition, most: usize) -> Self {
        Txn {
            preconditions: vec![condition],
            puts: Vec::new(),
            deletes: Vec::new(),
            most,
            bytes: Self::FRAME,
        }
    }

    /// Whether so many changes with so much in them still fit. The first always do.
    fn room(&self, changes: usize, bytes: usize) -> bool {
        let have = self.puts.len() + self.deletes.len();
        have == 0
            || (have + changes <= self.most
                && self.bytes + changes * 2 * Self::FRAME + bytes <= TXN_BYTES)
    }

    fn put(&mut self, mod_revision: Revision, key: String, value: String) {
        self.bytes += 2 * Self::FRAME + value.len();
        self.preconditions.push(Precondition::new(key.clone(), mod_revision));
        self.puts.push(PutRequest { key, value, lease_id: None });
    }

    fn put_end(&mut self, job: JobId, mod_revision: Revision) {
        self.bytes += 3 * Self::FRAME;
        self.preconditions.push(Precondition::new(active_job_key(job), mod_revision));
        self.deletes.push(active_job_key(job));
        self.puts.push(PutRequest {
            key: outcome_key(job),
            value: encode(&JobOutcome::Done),
            lease_id: None,
        });
    }

    fn remove(&mut self, key: String) {
        self.bytes += Self::FRAME;
        self.deletes.push(key);
    }
}

impl Leader {
    pub fn flush(&mut self, ctx: &Context, calls: &mut Calls) {
        if self.writer.in_flight
            || !self.loaded()
            || !ctx.holds_valid_lease
            || ctx.now < self.writer.not_before
        {
            return;
        }
        for (key, asked) in self.writer.refresh.iter_mut().filter(|(_, asked)| !**asked) {
            if calls.try_acquire(ctx.now, CallPriority::Completion) {
                *asked = true;
                let purpose = StorePurpose::RefreshRevision { token: self.token, key: key.clone() };
                calls.send_to_store(
                    purpose,
                    StoreRequest::Get(key.clone()),
                    ctx.cfg.leader_lease_ms() / 4,
                );
            }
        }
        let now = ctx.now;
        let mut f = PendingWrite::default();
        self.writer.parked.retain(|_, until| *until > now);
        let most = ctx.cfg.transaction_ops.max(2).min(self.writer.changes_most);
        let mut t = Txn::new(Precondition::new(LEADER_KEY, self.mod_revision), most);
        let mut paid = |n: f64, class| calls.write_rate.try_acquire(now, n, class);
        for id in &self.writer.complete {
            let Some(j) = self.cluster.jobs.get(id).filter(|j| j.ended.is_none()) else { continue };
            if !ctx.job_cache.active.contains_key(id)
                || self.failover.unknown.contains(id)
                || self.writer.parked.contains_key(&active_job_key(*id))
            {
                continue;
            }
            if !t.room(2, 128) || !paid(2.0, CallPriority::Completion) {
                break;
            }
            // The end has no mod revision of its own to compare: a job that is still active has
            // no end yet.
            f.ends.push(*id);
            t.put_end(*id, j.mod_revision);
        }
        let mod_revision =
            |key: &str| self.writer.mod_revisions.get(key).copied().unwrap_or(Revision::NONE);
        let shut = |key: &str| {
            self.writer.refresh.contains_key(key) || self.writer.parked.contains_key(key)
        };
        // In turn: few fit into one transaction, and each has machines that wait for it.
        let after = self.registry.dirty.range((Excluded(self.registry.last_written), Unbounded));
        let order: Vec<usize> = after
            .chain(self.registry.dirty.range(..=self.registry.last_written))
            .copied()
            .collect();
        for part in order {
            let key = machine_registry_key(part);
            if shut(&key)
                || self.registry.waits.get(&part).is_some_and(|w| !w.is_empty())
                || !t.room(1, self.registry.bytes[part])
                || !paid(1.0, CallPriority::Request)
            {
                continue;
            }
            self.registry.dirty.remove(&part);
            self.registry.last_written = part;
            let may_hold = self.registry.parts[part].iter().filter(|e| !e.free);
            f.registry.push((part, may_hold.map(|e| e.id.clone()).collect()));
            f.keys.push(key.clone());
            t.put(mod_revision(&key), key, encode(&self.registry.parts[part]));
        }
        if self.writer.ledger_due
            && !shut(LEDGER_KEY)
            && t.room(1, 4096)
            && paid(1.0, CallPriority::Completion)
        {
            self.writer.ledger_due = false;
            f.ledger = true;
            let leases_end = ctx.wall + (ctx.cfg.policy.lease_term_s * 1000.0) as WallMs;
            f.keys.push(LEDGER_KEY.into());
            let sick = self
                .cluster
                .jobs
                .values()
                .filter(|j| j.ended.is_none() && j.health.is_crash_looping());
            let suspects = sick.map(|j| j.id).take(SUSPECTS_TOLD).collect();
            let record = self.ledger.record(ctx.cfg, leases_end, suspects);
            t.put(mod_revision(LEDGER_KEY), LEDGER_KEY.into(), encode(&record));
        }
        if self.writer.preferred_zone_due
            && !shut(PRIMARY_ZONE_KEY)
            && t.room(1, 256)
            && paid(1.0, CallPriority::Background)
        {
            self.writer.preferred_zone_due = false;
            f.primary_zone = true;
            f.keys.push(PRIMARY_ZONE_KEY.into());
            t.put(
                mod_revision(PRIMARY_ZONE_KEY),
                PRIMARY_ZONE_KEY.into(),
                encode(&self.autoscaler.primary_zone),
            );
        }
        if now >= self.writer.next_parts && !self.writer.unwritten.is_empty() {
            // Were the lowest ids written first each time, the others' completions would
            // wait for as long as more comes than can be written.
            let last = self.writer.written_last;
            let after = self.writer.unwritten.range((Excluded(last), Unbounded));
            let order: Vec<JobId> =
                after.chain(self.writer.unwritten.range(..=last)).copied().collect();
            let mut left = false;
            'jobs: for id in order {
                let Some(j) = self.cluster.jobs.get_mut(&id) else {
                    self.writer.unwritten.remove(&id);
                    continue;
                };
                if j.ended.is_some() || j.is_complete() {
                    self.writer.unwritten.remove(&id);
                    continue;
                }
                for part in j.dirty_segments.clone() {
                    let key = completions_key(id, part);
                    if self.writer.refresh.contains_key(&key)
                        || self.writer.parked.contains_key(&key)
                    {
                        continue;
                    }
                    let text = j.done.segment(part);
                    if !t.room(1, text.len()) || !paid(1.0, CallPriority::Background) {
                        left = true;
                        break 'jobs;
                    }
                    j.dirty_segments.remove(&part);
                    j.stored_segments.insert(part);
                    f.keys.push(key.clone());
                    t.put(mod_revision(&key), key, encode(&text));
                    f.parts.push((id, part, text));
                }
                self.writer.written_last = id;
                if j.dirty_segments.is_empty() {
                    self.writer.unwritten.remove(&id);
                }
            }
            if !left {
                self.writer.next_parts = now + ctx.cfg.heartbeat_interval_ms;
            }
        }
        while let Some((job, part)) = self.writer.cleanup.first().copied() {
            if !t.room(1, 0) || !paid(1.0, CallPriority::Background) {
                break;
            }
            self.writer.cleanup.pop_first();
            t.remove(completions_key(job, part));
            f.cleaned.push((job, part));
        }
        let Txn { preconditions, puts, deletes, .. } = t;
        f.changes = puts.len() + deletes.len();
        if f.changes == 0 {
            return;
        }
        if !calls.try_acquire(now, CallPriority::Completion) {
            self.undo(ctx, f);
            self.writer.not_before = now + 20;
            return;
        }
        self.writer.in_flight = true;
        let purpose = StorePurpose::LeaderTransaction { token: self.token, pending: Box::new(f) };
        let op = StoreRequest::Transaction { preconditions, puts, deletes };
        calls.send_to_store(purpose, op, ctx.cfg.leader_lease_ms() / 4);
    }

    fn undo(&mut self, ctx: &Context, f: PendingWrite) {
        for (job, part, _) in f.parts {
            if let Some(j) = self.cluster.jobs.get_mut(&job) {
                j.dirty_segments.insert(part);
                self.writer.unwritten.insert(job);
            }
        }
        self.registry.dirty.extend(f.registry.into_iter().map(|(p, _)| p));
        self.writer.cleanup.extend(f.cleaned);
        self.writer.ledger_due |= f.ledger;
        self.writer.preferred_zone_due |= f.primary_zone;
        self.writer.next_parts =
            self.writer.next_parts.min(ctx.now + ctx.cfg.heartbeat_interval_ms / 4);
    }

    pub fn flush_answer(
        &mut self,
        ctx: &Context,
        mut f: PendingWrite,
        reply: StoreReply,
    ) -> WriteOutcome {
        self.writer.in_flight = false;
        let mut out = WriteOutcome::default();
        match reply {
            StoreReply::Committed { revision } => {
                self.writer.changes_most = self.writer.changes_most.saturating_mul(2);
                for key in f.keys {
                    self.writer.mod_revisions.insert(key, revision);
                }
                for (job, part, text) in f.parts {
                    if let Some(j) = self.cluster.jobs.get_mut(&job) {
                        j.durable.add_segment(part, &text);
                    }
                }
                for (part, ids) in f.registry {
                    self.registry_written(part);
                    let still: HashSet<&MachineId> = self.registry.parts[part]
                        .iter()
                        .filter(|e| !e.free)
                        .map(|e| &e.id)
                        .collect();
                    for id in ids.iter().filter(|id| still.contains(id)) {
                        if let Some(m) = self
                            .cluster
                            .machines
                            .get_mut(id)
                            .filter(|m| m.free_in_segments.is_empty())
                        {
                            self.scheduler.changed |= !m.registered_in_use;
                            m.registered_in_use = true;
                        }
                    }
                }
                out.ends = f.ends;
            }
            StoreReply::Conflict { failed } => {
                out.deposed = failed.iter().any(|k| k == LEADER_KEY);
                let ends = std::mem::take(&mut f.ends);
                out.read =
                    ends.into_iter().filter(|j| failed.contains(&active_job_key(*j))).collect();
                for key in failed.into_iter().filter(|k| f.keys.contains(k)) {
                    self.writer.refresh.insert(key, false);
                }
                self.undo(ctx, f);
            }
            StoreReply::Rejected => {
                // Written again as it is, it would be rejected for ever, and nothing after it
                // would be written: fewer changes at once, and what is rejected alone rests.
                self.writer.changes_most = (f.changes / 2).max(1);
                if f.changes <= 1 || (f.ends.len() == 1 && f.keys.is_empty()) {
                    let until = ctx.now + ctx.cfg.lease_ms * PARKED_LEASES;
                    let ends = f.ends.iter().map(|j| active_job_key(*j));
                    let keys: Vec<String> = f.keys.iter().cloned().chain(ends).collect();
                    out.rejected = Some(keys.join(","));
                    self.writer.parked.extend(keys.into_iter().map(|k| (k, until)));
                    f.cleaned.clear();
                }
                self.undo(ctx, f);
                self.writer.not_before = ctx.now + ctx.cfg.heartbeat_interval_ms / 4;
            }
            StoreReply::Refused => {
                self.undo(ctx, f);
                self.writer.not_before = ctx.now + ctx.cfg.heartbeat_interval_ms / 4;
            }
            _ => {
                // It may yet be carried out. Every key is written again only with the
                // mod revision it has by then, so the late one and ours cannot both win.
                for key in std::mem::take(&mut f.keys) {
                    self.writer.refresh.insert(key, false);
                }
                self.undo(ctx, f);
                self.writer.not_before = ctx.now + ctx.cfg.heartbeat_interval_ms / 4;
            }
        }
        out
    }

    pub fn refresh_answer(&mut self, key: String, reply: StoreReply) {
        match reply {
            StoreReply::KeyValue(i) => {
                self.writer.mod_revisions.insert(key.clone(), i.mod_revision);
                self.writer.refresh.remove(&key);
            }
            StoreReply::NotFound => {
                self.writer.mod_revisions.remove(&key);
                self.writer.refresh.remove(&key);
            }
            _ => {
                self.writer.refresh.insert(key, false);
            }
        }
    }
}

#[cfg(test)]
#[path = "flush_tests.rs"]
mod tests;
