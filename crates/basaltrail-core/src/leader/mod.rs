//! What a leader keeps while it leads: machines, tasks, the ledger, and what of
//! it must be written.

use crate::events::{
    JobEvent, LeadershipEvent, MachineEvent, RoundSummary, StoreEvent, TeamSummary,
};
use crate::fairness::Ledger;
use crate::io::*;
use crate::jobs::{JobCache, JobState};
use crate::leader::autoscaler::partitions::workers_unreachable;
use crate::machines::*;
use crate::model::*;
use crate::settings::Settings;
use crate::store::calls::{Calls, StorePurpose};
use crate::store::rate_limiter::CallPriority;
use crate::store::records::*;
use autoscaler::Autoscaler;
use cluster::Cluster;
use failover::{Failover, Loading};
use liveness::WorkerLiveness;
use persistence::machine_registry::MachineRegistry;
use persistence::Writer;
use rand::rngs::SmallRng;
use scheduler::Scheduler;
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub mod autoscaler;
mod cluster;
mod failover;
mod liveness;
mod persistence;
mod quota_allocation;
pub mod scheduler;

/// What one pass of the core may look at.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    pub cfg: &'a Settings,
    pub types: &'a [MachineType],
    pub job_cache: &'a JobCache,
    pub now: Ms,
    pub wall: WallMs,
    pub holds_valid_lease: bool,
    /// Everything that ended before the right began is known: tasks may be started.
    pub job_cache_is_fresh: bool,
}

/// A leader's transaction on its way.
#[derive(Default)]
pub struct PendingWrite {
    keys: Vec<String>,
    ends: Vec<JobId>,
    parts: Vec<(JobId, u32, String)>,
    registry: Vec<(usize, Vec<MachineId>)>,
    cleaned: Vec<(JobId, u32)>,
    ledger: bool,
    primary_zone: bool,
    changes: usize,
}

/// What the reply to a flush asks of the controller.
#[derive(Default)]
pub struct WriteOutcome {
    pub deposed: bool,
    pub ends: Vec<JobId>,
    pub read: Vec<JobId>,
    /// Keys of a write that the service will never take.
    pub rejected: Option<String>,
}

/// The part of its estimate that a task nearly always runs.
const SURELY_RUNS: f64 = 0.7;
/// Jobs that fail everywhere, of which a successor is told.
const SUSPECTS_TOLD: usize = 64;
/// Jobs that wait to be read, per megabyte; what a report names beyond that is read later.
const UNREAD_PER_MB: f64 = 40.0;
/// Bytes of one transaction, of the 64 KiB that the state service takes.
const TXN_BYTES: usize = 56 * 1024;
/// Workers' leases for which a write rests that the state service rejected.
const PARKED_LEASES: Ms = 6;

/// What a controller keeps while it leads. Each part owns its state; this type wires them.
pub struct Leader {
    /// The fencing token that it leads with.
    pub token: FencingToken,
    /// The mod revision of its record under the leader key.
    pub mod_revision: Revision,
    /// When it was elected.
    pub since: Ms,
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
    /// The fairness ledger, and when its round ends.
    ledger: Ledger,
    round_ends: Ms,
    /// What controllers may accept.
    pub quota_allocator: quota_allocation::QuotaAllocator,
    /// When peers are told of progress next.
    pub next_progress: Ms,
}

impl Leader {
    /// A leader that knows the jobs and loads the rest.
    pub fn new(ctx: &Context, token: FencingToken, mod_revision: Revision) -> Self {
        let mut leader = Leader {
            token,
            mod_revision,
            since: ctx.now,
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

    /// Has the record of a job read of which a worker or a record told.
    pub fn read_job(&mut self, ctx: &Context, job: JobId) {
        if self.failover.unknown.len() < (ctx.cfg.memory_mb * UNREAD_PER_MB).max(64.0) as usize {
            self.failover.unknown.insert(job);
        }
    }

    pub fn loaded(&self) -> bool {
        self.failover.loading == Loading::Complete
    }

    pub fn tick(&mut self, ctx: &Context, calls: &mut Calls, rng: &mut SmallRng) {
        self.load(ctx, calls);
        if !self.loaded() {
            return;
        }
        let stood = ctx.now > self.liveness.last_tick + ctx.cfg.heartbeat_interval_ms;
        if stood || (ctx.holds_valid_lease && !self.liveness.held_valid_lease) {
            // Nobody was answered for a while: who was silent then tells nothing.
            self.liveness.silence_counts_from = ctx.now;
            self.liveness.lost_workers = false;
        }
        self.liveness.last_tick = ctx.now;
        self.liveness.held_valid_lease = ctx.holds_valid_lease;
        if ctx.now >= self.liveness.next_watch {
            self.scheduler.visited += self.cluster.machines.len() as u64;
            self.liveness.next_watch = ctx.now + ctx.cfg.heartbeat_interval_ms / 20;
            self.watch_machines(ctx, calls);
            self.liveness.lost_workers =
                workers_unreachable(ctx, &self.cluster, self.liveness.silence_counts_from);
            self.finish_jobs();
            self.scale_in(ctx, calls);
        }
        if ctx.now >= self.round_ends {
            self.round_ends = ctx.now + (ctx.cfg.policy.round_s * 1000.0) as Ms;
            self.ledger.end_round();
            for j in self.cluster.jobs.values_mut() {
                j.account.granted = 0.0;
            }
            self.writer.ledger_due = true;
            self.note_primary_zone();
            self.log_round(ctx, calls);
            self.plan_quotas(ctx, calls);
            self.scheduler.changed = true;
        }
        if (self.scheduler.changed || ctx.now >= self.scheduler.wake_at)
            && ctx.holds_valid_lease
            && ctx.job_cache_is_fresh
        {
            self.schedule(ctx, calls, rng);
        }
        self.flush(ctx, calls);
        if ctx.holds_valid_lease {
            self.quota_allocator.send(ctx.cfg, ctx.now, (self.token, self.mod_revision), calls);
        }
        self.call_cloud(ctx, calls);
    }

    /// Leases that have surely ended, and machines that went silent. Not at every input:
    /// their number times that of the machines would be all that a leader gets done.
    fn watch_machines(&mut self, ctx: &Context, calls: &mut Calls) {
        let expires_after = ctx.cfg.with_drift_margin(ctx.cfg.lease_ms);
        let silent_after = ctx.cfg.heartbeat_interval_ms * 3;
        let expires =
            |m: &Machine| !m.lease_expired && ctx.now > m.lease_renewed_at + expires_after;
        let woke = self.liveness.silence_counts_from;
        let silent =
            |m: &Machine| m.last_heartbeat.is_some_and(|t| ctx.now > t.max(woke) + silent_after);
        let due: Vec<MachineId> = self
            .cluster
            .machines
            .values()
            .filter(|m| expires(m) || (silent(m) && !m.slots.is_empty()))
            .map(|m| m.id.clone())
            .collect();
        for id in &due {
            let Some(m) = self.cluster.machines.get_mut(id) else { continue };
            if !expires(m) {
                self.withdraw(id);
                continue;
            }
            let had = m.slots.len();
            let was_up = m.last_heartbeat.is_some();
            let changes = m.expire_lease();
            if was_up || had > 0 {
                calls.log(MachineEvent::LeaseExpired {
                    machine: id.clone(),
                    zone: m.zone.clone(),
                    tasks: had,
                });
            }
            self.scheduler.changed = true;
            self.apply(ctx, calls, id, changes);
            self.note_free(id, true);
        }
    }

    /// One line a round: how the machines are used.
    fn log_round(&self, ctx: &Context, calls: &mut Calls) {
        let mut count = [0usize; 3];
        for m in self.cluster.machines.values() {
            let up = m.last_heartbeat.is_some() && !m.lease_expired;
            count[if up { m.spot as usize } else { 2 }] += 1;
        }
        let mut cpus = [0.0f64; 4];
        let mut teams = vec![(0.0f64, 0.0f64); ctx.cfg.teams.len()];
        for e in self.cluster.machines.values().flat_map(|m| m.slots.values()) {
            let n = e.demand.map_or(0.0, |n| n.resources.cpus);
            let i = match e.phase {
                TaskPhase::Assigned | TaskPhase::Sent => 0,
                TaskPhase::Confirmed(TaskState::Fetching) => 1,
                TaskPhase::Confirmed(TaskState::Running) => 2,
                TaskPhase::Confirmed(TaskState::Saving) => 3,
                TaskPhase::Confirmed(TaskState::Exited(_)) => continue,
            };
            cpus[i] += n;
            if let Some(n) = e.demand {
                teams[n.team].0 += n.resources.cpus;
            }
        }
        for j in self.cluster.jobs.values() {
            teams[j.team].1 += j.pending() as f64 * j.spec.cpus;
        }
        let waiting: f64 = teams.iter().map(|(_, w)| w).sum();
        let by_team = teams.iter().zip(&ctx.cfg.teams).map(|((used, waiting), team)| TeamSummary {
            team: team.name.clone(),
            used_cpus: *used,
            waiting_cpus: *waiting,
        });
        calls.log(LeadershipEvent::Round(RoundSummary {
            on_demand: count[0],
            spot: count[1],
            down: count[2],
            assigned_cpus: cpus[0],
            fetching_cpus: cpus[1],
            running_cpus: cpus[2],
            saving_cpus: cpus[3],
            waiting_cpus: waiting,
            teams: by_team.collect(),
        }));
    }

    /// Ended jobs whose tasks are all gone need no account any more.
    fn finish_jobs(&mut self) {
        let mut over: Vec<JobId> =
            self.cluster.jobs.values().filter(|j| j.ended.is_some()).map(|j| j.id).collect();
        if over.is_empty() {
            return;
        }
        let mut present: BTreeSet<JobId> = BTreeSet::new();
        for (t, _) in self.cluster.machines.values().flat_map(|m| m.slots.keys()) {
            if over.binary_search(&t.job).is_ok() {
                present.insert(t.job);
            }
        }
        over.retain(|j| !present.contains(j));
        for job in over {
            if let Some(j) = self.cluster.jobs.remove(&job) {
                self.writer.cleanup.extend(j.stored_segments.iter().map(|p| (job, *p)));
                self.writer.complete.remove(&job);
                self.writer.unwritten.remove(&job);
                for p in &j.stored_segments {
                    self.writer.mod_revisions.remove(&completions_key(job, *p));
                }
            }
        }
    }

    pub fn progress(&self) -> Vec<Progress> {
        let mut running: HashMap<JobId, u32> = HashMap::new();
        for m in self.cluster.machines.values() {
            for ((t, _), _) in m.slots.iter().filter(|(_, e)| e.is_running()) {
                *running.entry(t.job).or_default() += 1;
            }
        }
        self.cluster
            .jobs
            .values()
            .filter(|j| j.ended.is_none())
            .map(|j| Progress {
                job: j.id,
                done: j.done.count(),
                running: running.get(&j.id).copied().unwrap_or(0),
            })
            .collect()
    }
}
