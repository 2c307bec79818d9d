//! Fills transactions with pending writes in the order of their urgency.

use crate::fairness::Ledger;
use crate::io::{Precondition, StoreRequest};
use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::failover::MAX_RECORDED_CRASH_LOOPS;
use crate::leader::persistence::machine_registry::MachineRegistry;
use crate::leader::persistence::transaction::{TransactionBuilder, WriteBudget};
use crate::leader::persistence::writer::Writer;
use crate::leader::{Context, Leader};
use crate::model::{FencingToken, JobId, Ms, Revision, WallMs};
use crate::store::calls::{Calls, StorePurpose};
use crate::store::pending_transaction::{WrittenCompletions, WrittenSegment};
use crate::store::rate_limiter::CallPriority;
use crate::store::records::{
    active_job_key, completions_key, encode, machine_registry_key, LEADER_KEY, LEDGER_KEY,
    PRIMARY_ZONE_KEY,
};
use std::collections::{BTreeMap, BTreeSet};

/// Lower bound of the configured limit of changes in one transaction, since a job's outcome takes
/// two.
const MIN_TRANSACTION_OPS: usize = 2;
/// Upper bound of the size of the ledger record, in bytes.
const MAX_LEDGER_BYTES: usize = 4096;
/// Upper bound of the size of a zone name, in bytes.
const MAX_ZONE_BYTES: usize = 256;
/// Delay before a rate-limited transaction is retried, in milliseconds.
const RATE_LIMITED_RETRY_MS: Ms = 20;

/// The parts of the leader's state that transactions are filled from.
struct WriteSources<'a> {
    cluster: &'a mut Cluster,
    registry: &'a mut MachineRegistry,
    ledger: &'a Ledger,
    primary_zone: Option<&'a str>,
    unknown_jobs: &'a BTreeSet<JobId>,
    token: FencingToken,
    /// Mod revision of the leader's record; transactions commit only while it is unchanged.
    leader_revision: Revision,
}

impl Leader {
    /// Sends a transaction with pending writes, if one may be sent.
    pub(in crate::leader) fn flush(&mut self, ctx: &Context, calls: &mut Calls) {
        if !self.writer.is_ready(ctx.now) || !self.is_loaded() || !ctx.holds_valid_lease {
            return;
        }
        let sources = WriteSources {
            cluster: &mut self.cluster,
            registry: &mut self.registry,
            ledger: &self.ledger,
            primary_zone: self.autoscaler.primary_zone.as_deref(),
            unknown_jobs: &self.failover.unknown_jobs,
            token: self.token,
            leader_revision: self.mod_revision,
        };
        self.writer.flush(ctx, calls, sources);
    }
}

impl Writer {
    fn flush(&mut self, ctx: &Context, calls: &mut Calls, sources: WriteSources) {
        self.refresh_stale_keys(ctx, calls, sources.token);
        self.back_off.retain(|_, until| *until > ctx.now);
        let max_changes =
            ctx.cfg.max_transaction_ops.max(MIN_TRANSACTION_OPS).min(self.max_changes);
        let precondition = Precondition::new(LEADER_KEY, sources.leader_revision);
        let mut transaction = TransactionBuilder::new(precondition, max_changes);
        let mut budget = WriteBudget { now: ctx.now, writes: &mut calls.write_limiter };
        self.add_outcomes(ctx, &sources, &mut transaction, &mut budget);
        self.add_registry_segments(sources.registry, &mut transaction, &mut budget);
        self.add_ledger(ctx, &sources, &mut transaction, &mut budget);
        self.add_primary_zone(sources.primary_zone, &mut transaction, &mut budget);
        self.add_completions(ctx, &mut sources.cluster.jobs, &mut transaction, &mut budget);
        self.add_deletions(&mut transaction, &mut budget);
        let Some((request, pending)) = transaction.finish() else { return };
        if !calls.try_acquire(ctx.now, CallPriority::Completion) {
            let completions_due_at = ctx.now + ctx.cfg.heartbeat_interval_ms / 4;
            self.requeue(&mut sources.cluster.jobs, sources.registry, pending, completions_due_at);
            self.next_transaction_at = ctx.now + RATE_LIMITED_RETRY_MS;
            return;
        }
        self.in_flight = true;
        let purpose =
            StorePurpose::LeaderTransaction { token: sources.token, pending: Box::new(pending) };
        calls.send_to_store(purpose, request, ctx.cfg.leader_lease_ms() / 4);
    }

    /// Reads the keys whose mod revision is not known.
    fn refresh_stale_keys(&mut self, ctx: &Context, calls: &mut Calls, token: FencingToken) {
        for (key, in_flight) in self.stale_keys.iter_mut().filter(|(_, in_flight)| !**in_flight) {
            if calls.try_acquire(ctx.now, CallPriority::Completion) {
                *in_flight = true;
                let purpose = StorePurpose::RefreshRevision { token, key: key.clone() };
                let timeout_ms = ctx.cfg.leader_lease_ms() / 4;
                calls.send_to_store(purpose, StoreRequest::Get(key.clone()), timeout_ms);
            }
        }
    }

    /// Adds the outcomes of the jobs whose tasks are all done.
    fn add_outcomes(
        &self,
        ctx: &Context,
        sources: &WriteSources,
        transaction: &mut TransactionBuilder,
        budget: &mut WriteBudget,
    ) {
        for id in &self.complete_jobs {
            let job = sources.cluster.jobs.get(id).filter(|job| job.outcome.is_none());
            let Some(job) = job else { continue };
            if !ctx.job_cache.active.contains_key(id)
                || sources.unknown_jobs.contains(id)
                || self.back_off.contains_key(&active_job_key(*id))
            {
                continue;
            }
            if !transaction.has_room_for_outcome() || !budget.acquire_outcome() {
                return;
            }
            transaction.put_outcome(*id, job.mod_revision);
        }
    }

    /// Adds the dirty segments of the machine registry.
    fn add_registry_segments(
        &self,
        registry: &mut MachineRegistry,
        transaction: &mut TransactionBuilder,
        budget: &mut WriteBudget,
    ) {
        for segment in registry.write_order() {
            let key = machine_registry_key(segment);
            if self.is_blocked(&key)
                || registry.is_write_deferred(segment)
                || !transaction.has_room(1, registry.segment_bytes(segment))
                || !budget.acquire(1, CallPriority::Request)
            {
                continue;
            }
            registry.dirty.remove(&segment);
            registry.last_written = segment;
            let in_use = registry.in_use(segment).cloned().collect();
            let terminating = registry.terminating(segment).cloned().collect();
            let written = WrittenSegment { segment, in_use, terminating };
            transaction.pending.registry_segments.push(written);
            let value = encode(&registry.records(segment));
            transaction.put(self.mod_revision(&key), key, value);
        }
    }

    /// Adds the fairness ledger with the jobs in a crash loop, if it is due.
    fn add_ledger(
        &mut self,
        ctx: &Context,
        sources: &WriteSources,
        transaction: &mut TransactionBuilder,
        budget: &mut WriteBudget,
    ) {
        if !self.ledger_due
            || self.is_blocked(LEDGER_KEY)
            || !transaction.has_room(1, MAX_LEDGER_BYTES)
            || !budget.acquire(1, CallPriority::Completion)
        {
            return;
        }
        self.ledger_due = false;
        transaction.pending.writes_ledger = true;
        let leases_end = ctx.wall_clock_ms + (ctx.cfg.policy.lease_term_s * 1000.0) as WallMs;
        let jobs = sources.cluster.jobs.values();
        let crash_loops = jobs
            .filter(|job| job.outcome.is_none() && job.health.is_crash_looping())
            .map(|job| job.id)
            .take(MAX_RECORDED_CRASH_LOOPS)
            .collect();
        let record = sources.ledger.record(ctx.cfg, leases_end, crash_loops);
        transaction.put(self.mod_revision(LEDGER_KEY), LEDGER_KEY.into(), encode(&record));
    }

    /// Adds the primary zone, if it is due.
    fn add_primary_zone(
        &mut self,
        primary_zone: Option<&str>,
        transaction: &mut TransactionBuilder,
        budget: &mut WriteBudget,
    ) {
        if !self.primary_zone_due
            || self.is_blocked(PRIMARY_ZONE_KEY)
            || !transaction.has_room(1, MAX_ZONE_BYTES)
            || !budget.acquire(1, CallPriority::Background)
        {
            return;
        }
        self.primary_zone_due = false;
        transaction.pending.writes_primary_zone = true;
        let mod_revision = self.mod_revision(PRIMARY_ZONE_KEY);
        transaction.put(mod_revision, PRIMARY_ZONE_KEY.into(), encode(&primary_zone));
    }

    /// Adds the completions of unfinished jobs. Once all pending ones are added, the next are due a
    /// heartbeat interval later.
    fn add_completions(
        &mut self,
        ctx: &Context,
        jobs: &mut BTreeMap<JobId, JobState>,
        transaction: &mut TransactionBuilder,
        budget: &mut WriteBudget,
    ) {
        if ctx.now < self.next_completions_at || self.unwritten_jobs.is_empty() {
            return;
        }
        for id in self.completion_order() {
            let job = jobs.get_mut(&id).filter(|job| job.outcome.is_none() && !job.is_complete());
            let Some(job) = job else {
                self.unwritten_jobs.remove(&id);
                continue;
            };
            if !self.add_job_completions(job, transaction, budget) {
                return;
            }
            self.last_written_job = id;
            if job.dirty_segments.is_empty() {
                self.unwritten_jobs.remove(&id);
            }
        }
        self.next_completions_at = ctx.now + ctx.cfg.heartbeat_interval_ms;
    }

    /// Adds the completions of one job. Returns false if the transaction or the write budget is
    /// exhausted.
    fn add_job_completions(
        &self,
        job: &mut JobState,
        transaction: &mut TransactionBuilder,
        budget: &mut WriteBudget,
    ) -> bool {
        for segment in job.dirty_segments.clone() {
            let key = completions_key(job.id, segment);
            if self.is_blocked(&key) {
                continue;
            }
            let text = job.done.encode_segment(segment);
            if !transaction.has_room(1, text.len()) || !budget.acquire(1, CallPriority::Background)
            {
                return false;
            }
            job.dirty_segments.remove(&segment);
            job.stored_segments.insert(segment);
            transaction.put(self.mod_revision(&key), key, encode(&text));
            let written = WrittenCompletions { job: job.id, segment, text };
            transaction.pending.completions.push(written);
        }
        true
    }

    /// Adds deletions of the completions of ended jobs.
    fn add_deletions(&mut self, transaction: &mut TransactionBuilder, budget: &mut WriteBudget) {
        while let Some(&(job, segment)) = self.obsolete_completions.first() {
            if !transaction.has_room(1, 0) || !budget.acquire(1, CallPriority::Background) {
                return;
            }
            self.obsolete_completions.pop_first();
            transaction.delete(completions_key(job, segment));
            transaction.pending.deleted_completions.push((job, segment));
        }
    }
}
