//! What a controller keeps while it leads, and the wiring of its parts.
//!
//! Each part owns its state: [`Cluster`] the machines and jobs, [`Failover`] what is recovered from
//! the previous leader, [`MachineRegistry`] and [`Writer`] what is durable, [`Scheduler`] and
//! [`Autoscaler`] the decisions, [`WorkerLiveness`] whether workers are reached. [`Leader`] calls
//! them in order and hands the results of one to the others.

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
use scheduler::Scheduler;

pub mod autoscaler;
mod cluster;
mod failover;
mod liveness;
mod persistence;
mod quota_allocation;
pub mod scheduler;

pub use persistence::replies::WriteOutcome;

/// What a step of the leader may look at beside its own state.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The controller's settings.
    pub cfg: &'a Settings,
    /// Machine types that the cloud offers.
    pub types: &'a [MachineType],
    /// What the store says of jobs.
    pub job_cache: &'a JobCache,
    /// The present moment on the steady clock, in milliseconds.
    pub now: Ms,
    /// The time of day, in milliseconds.
    pub wall: WallMs,
    /// Whether this controller holds a valid leader lease.
    pub holds_valid_lease: bool,
    /// Every outcome from before the lease became valid is known: tasks may be started.
    pub job_cache_is_fresh: bool,
}

/// Heartbeat intervals after which a machine counts as silent.
const SILENCE_INTERVALS: Ms = 3;

/// What a controller keeps while it leads. Each part owns its state; this type wires them.
pub struct Leader {
    /// The fencing token that it leads with.
    pub token: FencingToken,
    /// The mod revision of its record under the leader key.
    pub mod_revision: Revision,
    /// When it was elected.
    pub elected_at: Ms,
    /// Machines and jobs.
    pub cluster: Cluster,
    /// What is recovered from the previous leader.
    pub failover: Failover,
    /// The durable list of machines that may hold tasks.
    registry: MachineRegistry,
    /// What has to be written, and the transaction in flight.
    writer: Writer,
    /// Which task starts where.
    pub scheduler: Scheduler,
    /// How many machines there are.
    autoscaler: Autoscaler,
    /// Whether this leader reaches the workers.
    pub liveness: WorkerLiveness,
    /// The fairness ledger.
    ledger: Ledger,
    /// When the round of the fairness ledger ends.
    round_ends: Ms,
    /// Admission quotas of controllers.
    pub quota_allocator: quota_allocation::QuotaAllocator,
    /// When progress is sent to peers next.
    pub next_progress: Ms,
}

impl Leader {
    /// A leader that knows the jobs and loads the rest.
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
            round_ends: ctx.now,
            quota_allocator: quota_allocation::QuotaAllocator::new(ctx.now),
            next_progress: 0,
        };
        for job in ctx.job_cache.active.keys() {
            leader.sync_job(ctx, *job);
        }
        leader
    }

    /// Has the record of a job read that a worker reported.
    pub fn read_job(&mut self, ctx: &Context, job: JobId) {
        self.failover.read_job(ctx.cfg, job);
    }

    /// Whether everything that the previous leader left is read.
    pub fn loaded(&self) -> bool {
        self.failover.is_complete()
    }

    /// Does what is due: follows machines and jobs, schedules, writes, and asks the cloud.
    pub fn tick(&mut self, ctx: &Context, calls: &mut Calls, rng: &mut SmallRng) {
        self.load(ctx, calls);
        if !self.loaded() {
            return;
        }
        let heartbeat_interval_ms = ctx.cfg.heartbeat_interval_ms;
        self.liveness.record_tick(ctx.now, heartbeat_interval_ms, ctx.holds_valid_lease);
        if self.liveness.check_due(ctx.now, heartbeat_interval_ms) {
            self.scheduler.visited += self.cluster.machines.len() as u64;
            self.check_machines(ctx, calls);
            let reachable_since = self.liveness.reachable_since;
            self.liveness.lost_workers = workers_unreachable(ctx, &self.cluster, reachable_since);
            for job in self.cluster.remove_finished_jobs() {
                self.writer.forget_job(&job);
            }
            self.scale_in(ctx, calls);
        }
        if ctx.now >= self.round_ends {
            self.end_round(ctx, calls);
        }
        if (self.scheduler.changed || ctx.now >= self.scheduler.wake_at)
            && ctx.holds_valid_lease
            && ctx.job_cache_is_fresh
        {
            self.schedule(ctx, calls, rng);
        }
        self.flush(ctx, calls);
        if ctx.holds_valid_lease {
            self.quota_allocator.send(ctx, self.token, self.mod_revision, calls);
        }
        self.call_cloud(ctx, calls);
    }

    /// Ends a round of the fairness ledger.
    fn end_round(&mut self, ctx: &Context, calls: &mut Calls) {
        self.round_ends = ctx.now + ctx.cfg.round_ms();
        self.ledger.end_round();
        for job in self.cluster.jobs.values_mut() {
            job.account.granted = 0.0;
        }
        self.writer.ledger_due = true;
        self.note_primary_zone();
        calls.log(LeadershipEvent::Round(self.cluster.round_summary(ctx.cfg)));
        self.plan_quotas(ctx, calls);
        self.scheduler.changed = true;
    }

    /// Expires leases that have certainly ended, and withdraws what was not sent to machines
    /// that went silent.
    fn check_machines(&mut self, ctx: &Context, calls: &mut Calls) {
        let lease_ms = ctx.cfg.plus_drift_margin(ctx.cfg.lease_ms);
        let silence_ms = ctx.cfg.heartbeat_interval_ms * SILENCE_INTERVALS;
        let reachable_since = self.liveness.reachable_since;
        let expires = |m: &Machine| !m.lease_expired && ctx.now > m.lease_renewed_at + lease_ms;
        let is_silent = |m: &Machine| {
            m.last_heartbeat.is_some_and(|at| ctx.now > at.max(reachable_since) + silence_ms)
        };
        let due: Vec<MachineId> = self
            .cluster
            .machines
            .values()
            .filter(|m| expires(m) || (is_silent(m) && !m.slots.is_empty()))
            .map(|m| m.id.clone())
            .collect();
        for id in &due {
            match self.cluster.machines.get(id).is_some_and(expires) {
                true => self.expire_machine_lease(ctx, calls, id),
                false => self.scheduler.changed |= self.cluster.withdraw_unsent(id),
            }
        }
    }

    /// The lease of a machine has certainly expired: the tasks on it are over.
    fn expire_machine_lease(&mut self, ctx: &Context, calls: &mut Calls, id: &MachineId) {
        let Some(machine) = self.cluster.machines.get_mut(id) else { return };
        let tasks = machine.slots.len();
        let was_up = machine.last_heartbeat.is_some();
        let changes = machine.expire_lease();
        if was_up || tasks > 0 {
            let (machine, zone) = (id.clone(), machine.zone.clone());
            calls.log(MachineEvent::LeaseExpired { machine, zone, tasks });
        }
        self.scheduler.changed = true;
        self.reconcile_all(ctx, calls, id, changes);
        self.set_registered_free(id, true);
    }

    /// How far each active job is, for display.
    pub fn progress(&self) -> Vec<Progress> {
        self.cluster.progress()
    }
}
