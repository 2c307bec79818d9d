//! The state of a leading controller and the wiring of its components.
//!
//! Each component owns its state: `Cluster` holds the machines and jobs, `Failover` recovers
//! the state of the previous leader, `MachineRegistry` and `Writer` persist state in the store,
//! `Scheduler` and `Autoscaler` make the decisions, and `WorkerLiveness` tracks whether the
//! workers are reachable. [`Leader`] calls the components in order and passes results between them.

use crate::events::{LeadershipEvent, MachineEvent};
use crate::fairness::Ledger;
use crate::io::Progress;
use crate::jobs::JobCache;
use crate::leader::autoscaler::partitions::workers_unreachable;
use crate::machines::Machine;
use crate::model::{FencingToken, JobId, MachineId, MachineType, Ms, Revision, WallMs};
use crate::settings::Settings;
use crate::store::calls::Calls;
use autoscaler::Autoscaler;
use cluster::Cluster;
use failover::Failover;
use liveness::WorkerLiveness;
use persistence::machine_registry::MachineRegistry;
use persistence::writer::Writer;
use rand::rngs::SmallRng;
use run_states::RunStateWriter;
use scheduler::Scheduler;

pub mod autoscaler;
mod cluster;
mod failover;
mod liveness;
mod persistence;
mod quota_allocation;
mod run_states;
pub mod scheduler;

pub use persistence::replies::WriteOutcome;
pub use run_states::{RunStateChange, RunStateWriteOutcome};

/// Inputs to a step of the leader in addition to its own state.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The controller's settings.
    pub cfg: &'a Settings,
    /// Machine types offered by the cloud.
    pub machine_types: &'a [MachineType],
    /// Cache of the job records in the store.
    pub job_cache: &'a JobCache,
    /// Current time of the monotonic clock, in milliseconds.
    pub now: Ms,
    /// Current wall-clock time, in milliseconds.
    pub wall_clock_ms: WallMs,
    /// Whether this controller holds a valid leader lease.
    pub holds_valid_lease: bool,
    /// Whether the job cache contains every outcome from before the leader lease became valid.
    /// Tasks are started only if it does.
    pub job_cache_is_fresh: bool,
}

/// Time since the last heartbeat after which unsent assignments to a machine are withdrawn, in
/// heartbeat intervals.
const WITHDRAWAL_INTERVALS: Ms = 3;

/// The state of a leading controller.
pub struct Leader {
    /// Fencing token of its term.
    pub token: FencingToken,
    /// Mod revision of its record under the leader key.
    pub mod_revision: Revision,
    /// Time of its election.
    pub elected_at: Ms,
    /// Known machines and jobs.
    pub cluster: Cluster,
    /// State recovered from the previous leader.
    pub failover: Failover,
    /// Durable list of the machines, each marked as free or in use.
    registry: MachineRegistry,
    /// Pending writes and the transaction in flight.
    writer: Writer,
    /// Assignment of tasks to machines.
    pub scheduler: Scheduler,
    /// Provisioning and termination of machines.
    autoscaler: Autoscaler,
    /// Reachability of the workers from this leader.
    pub liveness: WorkerLiveness,
    /// Fairness ledger.
    ledger: Ledger,
    /// End of the current round of the fairness ledger.
    round_ends_at: Ms,
    /// Planning and writing of the controllers' admission quotas.
    pub quota_allocator: quota_allocation::QuotaAllocator,
    /// Writing of the jobs' run states.
    pub run_state_writer: RunStateWriter,
    /// Next time at which progress is published.
    pub next_progress_at: Ms,
}

impl Leader {
    /// Returns a leader that has the jobs of the job cache and still has to load the records of the
    /// previous leader.
    pub fn new(ctx: &Context, token: FencingToken, mod_revision: Revision) -> Self {
        let mut leader = Leader {
            token,
            mod_revision,
            elected_at: ctx.now,
            cluster: Cluster::default(),
            failover: Failover::default(),
            registry: MachineRegistry::default(),
            writer: Writer::default(),
            scheduler: Scheduler::default(),
            autoscaler: Autoscaler::new(ctx.cfg, ctx.now),
            liveness: WorkerLiveness::new(ctx.now),
            ledger: Ledger::new(ctx.cfg, None, ctx.now),
            round_ends_at: ctx.now,
            quota_allocator: quota_allocation::QuotaAllocator::new(ctx.now),
            run_state_writer: RunStateWriter::default(),
            next_progress_at: 0,
        };
        for job in ctx.job_cache.active.keys() {
            leader.sync_job(ctx, *job);
        }
        leader
    }

    /// Requests that the record of a job reported by a worker is read from the store.
    pub fn request_job_record(&mut self, ctx: &Context, job: JobId) {
        self.failover.request_job_record(ctx.cfg, job);
    }

    /// Returns whether all records of the previous leader are loaded.
    pub fn is_loaded(&self) -> bool {
        self.failover.is_complete()
    }

    /// Runs all work that is due: loads records, checks machines, schedules, writes to the store,
    /// and calls the cloud.
    pub fn tick(&mut self, ctx: &Context, calls: &mut Calls, rng: &mut SmallRng) {
        self.request_next_record(ctx, calls);
        if !self.is_loaded() {
            return;
        }
        let heartbeat_interval_ms = ctx.cfg.heartbeat_interval_ms;
        self.liveness.record_tick(ctx.now, heartbeat_interval_ms, ctx.holds_valid_lease);
        if self.liveness.start_check_if_due(ctx.now, heartbeat_interval_ms) {
            self.scheduler.visit_count += self.cluster.machines.len() as u64;
            self.check_machines(ctx, calls);
            let reachable_since = self.liveness.reachable_since;
            self.liveness.workers_unreachable =
                workers_unreachable(ctx, &self.cluster, reachable_since);
            for job in self.cluster.remove_finished_jobs() {
                self.writer.remove_job(&job);
            }
            self.scale_in(ctx, calls);
        }
        if ctx.now >= self.round_ends_at {
            self.end_round(ctx, calls);
        }
        if (self.scheduler.cycle_due || ctx.now >= self.scheduler.wake_at)
            && ctx.holds_valid_lease
            && ctx.job_cache_is_fresh
        {
            self.schedule(ctx, calls, rng);
        }
        self.flush(ctx, calls);
        if ctx.holds_valid_lease {
            self.quota_allocator.write_next(ctx, self.token, self.mod_revision, calls);
        }
        self.call_cloud(ctx, calls);
    }

    /// Ends a round of the fairness ledger and starts the next.
    fn end_round(&mut self, ctx: &Context, calls: &mut Calls) {
        self.round_ends_at = ctx.now + ctx.cfg.round_ms();
        self.ledger.end_round();
        for job in self.cluster.jobs.values_mut() {
            job.account.granted = 0.0;
        }
        self.writer.ledger_due = true;
        self.update_primary_zone();
        calls.log(LeadershipEvent::FleetUsage(self.cluster.fleet_usage(ctx.cfg)));
        self.plan_quotas(ctx, calls);
        self.scheduler.cycle_due = true;
    }

    /// Expires worker leases that have certainly ended, and withdraws unsent assignments from
    /// silent machines.
    fn check_machines(&mut self, ctx: &Context, calls: &mut Calls) {
        let lease_ms = ctx.cfg.plus_drift_margin(ctx.cfg.worker_lease_ms);
        let silence_ms = ctx.cfg.heartbeat_interval_ms * WITHDRAWAL_INTERVALS;
        let reachable_since = self.liveness.reachable_since;
        let lease_has_ended =
            |m: &Machine| !m.lease_expired && ctx.now > m.lease_renewed_at + lease_ms;
        let is_silent = |m: &Machine| {
            m.last_heartbeat_at.is_some_and(|at| ctx.now > at.max(reachable_since) + silence_ms)
        };
        let affected: Vec<MachineId> = self
            .cluster
            .machines
            .values()
            .filter(|m| lease_has_ended(m) || (is_silent(m) && !m.slots.is_empty()))
            .map(|m| m.id.clone())
            .collect();
        for id in &affected {
            match self.cluster.machines.get(id).is_some_and(lease_has_ended) {
                true => self.expire_machine_lease(ctx, calls, id),
                false => self.scheduler.cycle_due |= self.cluster.withdraw_unsent(id),
            }
        }
    }

    /// Marks the lease of a machine as expired. It must have ended for certain, so that no task
    /// runs there any more.
    fn expire_machine_lease(&mut self, ctx: &Context, calls: &mut Calls, id: &MachineId) {
        let Some(machine) = self.cluster.machines.get_mut(id) else { return };
        let tasks = machine.slots.len();
        let unrenewed_ms = ctx.now - machine.lease_renewed_at;
        let may_have_run_tasks =
            machine.last_heartbeat_at.is_some() || !machine.reconciled || tasks > 0;
        let changes = machine.expire_lease();
        if may_have_run_tasks {
            let (machine, zone) = (id.clone(), machine.zone.clone());
            calls.log(MachineEvent::LeaseExpired { machine, zone, tasks, unrenewed_ms });
        }
        self.scheduler.cycle_due = true;
        self.reconcile_all(ctx, calls, id, changes);
        self.set_registered_free(id, true);
    }

    /// Returns the progress of each active job, for display.
    pub fn progress(&self) -> Vec<Progress> {
        self.cluster.progress()
    }
}
