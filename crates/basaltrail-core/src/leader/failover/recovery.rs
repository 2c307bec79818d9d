//! Loads the records of the previous leader and applies changes of the job cache to the cluster.

use crate::events::{LeadershipEvent, StoreEvent};
use crate::fairness::Ledger;
use crate::io::{KeyValue, StoreReply};
use crate::jobs::{ActiveJob, JobState};
use crate::leader::failover::LoadStage;
use crate::leader::{Context, Leader};
use crate::machines::{Decommission, Machine};
use crate::model::{JobId, JobOutcome, Ms};
use crate::store::calls::{Calls, StorePurpose};
use crate::store::rate_limiter::CallPriority;
use crate::store::records::{decode, parse_completions_key, LedgerRecord, MachineRecord};

impl Leader {
    /// Requests the next page of the previous leader's records, if a request is due and within the
    /// rate limit.
    pub(in crate::leader) fn request_next_record(&mut self, ctx: &Context, calls: &mut Calls) {
        if !self.failover.is_request_due(ctx.now)
            || !calls.try_acquire(ctx.now, CallPriority::Lease)
        {
            return;
        }
        let request = self.failover.start_next_request();
        calls.send_to_store(
            StorePurpose::LoadLeaderState { token: self.token },
            request,
            ctx.cfg.leader_lease_ms() / 4,
        );
    }

    /// Handles the reply to a request for the previous leader's records.
    pub fn handle_load_reply(&mut self, ctx: &Context, calls: &mut Calls, reply: StoreReply) {
        self.failover.record_request_answered();
        match (self.failover.load_stage, reply) {
            (LoadStage::Registry, StoreReply::Page { items, more, .. }) => {
                self.failover.next_page_after = next_page_after(&items, more);
                for item in items {
                    self.recover_registry_segment(ctx, calls, &item);
                }
                if !more {
                    self.registry.repair(&mut self.cluster.machines, ctx.cfg.max_value_bytes);
                    self.failover.load_stage = LoadStage::Completions;
                }
            }
            (LoadStage::Completions, StoreReply::Page { items, more, .. }) => {
                self.failover.next_page_after = next_page_after(&items, more);
                for item in items {
                    self.recover_completions(&item);
                }
                if !more {
                    self.failover.load_stage = LoadStage::Ledger;
                }
            }
            (LoadStage::Ledger, StoreReply::KeyValue(item)) => {
                self.recover_ledger(ctx, &item);
                self.complete_loading(ctx, calls);
            }
            (LoadStage::Ledger, StoreReply::NotFound) => self.complete_loading(ctx, calls),
            _ => self.failover.record_request_failed(ctx.now + ctx.cfg.leader_lease_ms() / 20),
        }
    }

    /// Adds the machines of one registry segment to the cluster.
    fn recover_registry_segment(&mut self, ctx: &Context, calls: &mut Calls, item: &KeyValue) {
        self.writer.record_revision(item);
        let Some(segment) = self.registry.load_segment(item) else {
            calls.log(StoreEvent::RegistryUnreadable { key: item.key.clone() });
            return;
        };
        for record in self.registry.records(segment) {
            let machine = recovered_machine(ctx, record, segment, self.elected_at);
            self.cluster.machines.insert(record.id.clone(), machine);
        }
    }

    /// Recovers one segment of a job's completions.
    fn recover_completions(&mut self, item: &KeyValue) {
        self.writer.record_revision(item);
        let text: Option<String> = decode(&item.value);
        if let (Some((job, segment)), Some(text)) = (parse_completions_key(&item.key), text) {
            self.failover.add_completions(job, (segment, text));
        }
    }

    /// Recovers the fairness ledger and the jobs in a crash loop.
    fn recover_ledger(&mut self, ctx: &Context, item: &KeyValue) {
        self.writer.record_revision(item);
        let record: Option<LedgerRecord> = decode(&item.value);
        self.ledger = Ledger::new(ctx.cfg, record.as_ref(), ctx.now);
        if let Some(record) = record {
            self.failover.recover_crash_loops(record);
        }
    }

    /// Completes loading and applies the recovered state to the jobs. Scheduling may begin
    /// afterwards.
    fn complete_loading(&mut self, ctx: &Context, calls: &mut Calls) {
        self.failover.load_stage = LoadStage::Complete;
        let loading_answers = std::mem::take(&mut self.failover.loading_answers);
        let answered_machines = loading_answers.machine_count();
        loading_answers.move_into(&mut self.cluster.machines);
        for job in self.cluster.jobs.values_mut() {
            if self.failover.recover_job(job) {
                self.writer.complete_jobs.insert(job.id);
            }
        }
        self.failover.request_jobs_of_completions();
        calls.log(LeadershipEvent::Leading {
            token: self.token,
            machines: self.cluster.machines.len(),
            jobs: self.cluster.jobs.len(),
            took_ms: ctx.now - self.elected_at,
            answered_machines,
        });
    }

    /// Applies the state of a job in the job cache to the cluster. The record of an unfinished job
    /// that the cache no longer contains is queued for a lookup.
    pub fn sync_job(&mut self, ctx: &Context, job: JobId) {
        self.failover.unknown_jobs.remove(&job);
        if let Some(active) = ctx.job_cache.active.get(&job) {
            self.sync_active_job(ctx, job, active);
        } else if let Some(outcome) = ctx.job_cache.outcome(job) {
            self.sync_ended_job(job, outcome);
        } else if self.cluster.jobs.get(&job).is_some_and(|job| job.outcome.is_none()) {
            self.failover.unknown_jobs.insert(job);
        }
    }

    fn sync_active_job(&mut self, ctx: &Context, id: JobId, active: &ActiveJob) {
        let Some(team) = ctx.cfg.team(&active.spec.team) else { return };
        self.scheduler.cycle_due = true;
        if let Some(job) = self.cluster.jobs.get_mut(&id) {
            job.mod_revision = active.mod_revision;
            return;
        }
        let mut job = JobState::new(id, team, active);
        if self.is_loaded() && self.failover.recover_job(&mut job) {
            self.writer.complete_jobs.insert(id);
        }
        self.cluster.jobs.insert(id, job);
        self.scheduler.recent_services.record(ctx, &active.spec);
        for (machine, change) in self.cluster.changes_reported_before_job_known(id) {
            self.reconcile(ctx, &machine, change);
        }
    }

    fn sync_ended_job(&mut self, id: JobId, outcome: JobOutcome) {
        if let Some(job) = self.cluster.jobs.get_mut(&id) {
            job.outcome = Some(outcome);
            self.scheduler.cycle_due = true;
        }
        for (segment, _) in self.failover.remove_completions(id) {
            self.writer.obsolete_completions.insert((id, segment));
        }
        self.cluster.stop_job(id);
    }
}

/// Returns the key after which the next page begins; `None` after the last page.
fn next_page_after(items: &[KeyValue], more: bool) -> Option<String> {
    items.last().filter(|_| more).map(|item| item.key.clone())
}

/// Returns the state of a machine of the registry for a leader elected at `elected_at`.
///
/// A machine that its record does not list as free may run tasks unknown to this leader until it
/// sends a heartbeat with this leader's token or its lease has expired.
fn recovered_machine(
    ctx: &Context,
    record: &MachineRecord,
    segment: usize,
    elected_at: Ms,
) -> Machine {
    let mut machine =
        Machine::new(record.id.clone(), &record.machine_type, &record.zone, record.spot, ctx.now);
    machine.reconciled = record.holds_no_tasks;
    machine.registered_in_use = !record.holds_no_tasks;
    machine.in_use_before_failover = !record.holds_no_tasks;
    machine.registry_segment = Some(segment);
    machine.lease_renewed_at = elected_at;
    if record.terminating {
        machine.decommission = Decommission::Terminating;
        machine.termination_recorded = true;
    }
    machine
}

#[cfg(test)]
#[path = "recovery_tests.rs"]
mod tests;
