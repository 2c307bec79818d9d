//! What a leader keeps while it leads: machines, tasks, the ledger, and what of
//! it must be written.

use crate::events::{
    DrainReason, JobEvent, LeadershipEvent, MachineEvent, ReleaseReason, RoundSummary, StoreEvent,
    TeamSummary,
};
use crate::fairness::Ledger;
use crate::io::*;
use crate::jobs::{JobCache, RunJob};
use crate::leader::autoscaler::provisioning::{MachineKind, Provisioning, ProvisioningRequest};
use crate::leader::scheduler::bin_packing::{choose, Room, Spread, Wish};
use crate::leader::scheduler::deadline_feasibility::{in_reach, Candidate};
use crate::machines::*;
use crate::model::*;
use crate::settings::Settings;
use crate::store::calls::{Calls, Purpose};
use crate::store::rate_limiter::CallPriority;
use crate::store::records::*;
use rand::rngs::SmallRng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

pub mod autoscaler;
mod failover;
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loading {
    Roster,
    Done,
    Ledger,
    Complete,
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

#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    machines: f64,
    work: f64,
}

/// What is wanted of one type, as ordinary or as spot machines.
struct Want {
    name: String,
    spot: bool,
    /// Its price per CPU over the cheapest.
    ratio: f64,
    /// Machines of the type to be held for the guarantees, in all.
    ready: usize,
    /// Machines of the type that could be used now, or are held ready, in all.
    target: usize,
    /// Machines of the type up to which this kind pays.
    most: usize,
}

/// Seconds a job can still lose, by objective that it may meet, the nearest last.
/// Estimates are often wrong, so a little overdue still counts.
fn spares_s(ctx: &Context, j: &RunJob) -> Vec<f64> {
    let age = (ctx.wall - j.at) as f64 / 1000.0;
    let mut spares: Vec<f64> = ctx
        .cfg
        .completion_objectives_s(&j.spec)
        .map(|due| due - age - j.spec.estimate_s)
        .filter(|spare| *spare > -0.3 * j.spec.estimate_s)
        .chain(
            ctx.cfg.start_objectives_s(&j.spec).map(|due| due - age).filter(|spare| *spare > 0.0),
        )
        .collect();
    spares.sort_by(|a, b| b.total_cmp(a));
    spares
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

/// A kind of machine this many times as dear as the cheapest is not kept ready.
const DEAR: f64 = 1.5;
/// The part of its boot time for which a dear machine must find work.
const DEAR_PAYS: f64 = 0.7;
/// Workers' leases that a job waits for its first task before it goes first.
const UNBEGUN_LEASES: WallMs = 9;
/// Workers' leases that a job must have to lose to wait for room rather than stop others.
const SOON_LEASES: f64 = 2.0;
/// Workers' leases that the first tasks of a job run before they may be stopped for others.
const FIRST_LEASES: f64 = 3.5;
/// The part of its estimate that a task nearly always runs.
const SURELY_RUNS: f64 = 0.7;
/// Jobs that fail everywhere, of which a successor is told.
const SUSPECTS_TOLD: usize = 64;
/// The cloud takes no larger rental.
const RENT_MOST: usize = 50;
/// Rentals on their way at once: one after the other, a fleet that begins with no machine
/// would come up by the time of an answer for each.
const RENTALS_MOST: usize = 8;
/// One in so many machines of a zone that are silent after a takeover is few.
const UNHEARD_FEW: usize = 8;
/// Jobs that wait to be read, per megabyte; what a report names beyond that is read later.
const UNREAD_PER_MB: f64 = 40.0;
/// Nor more names in one release.
const RELEASE_MOST: usize = 100;
/// Machines returned lately, per megabyte; their late reports are not taken for new machines.
const RETURNED_PER_MB: f64 = 40.0;
/// Bytes of one transaction, of the 64 KiB that the state service takes.
const TXN_BYTES: usize = 56 * 1024;
/// Workers' leases for which a write rests that the state service rejected.
const PARKED_LEASES: Ms = 6;

/// Names of returned machines that are kept: a whole fleet may go back and late copies of its
/// reports follow.
fn most_returned(settings: &Settings) -> usize {
    settings.max_machines.max((settings.memory_mb * RETURNED_PER_MB) as usize)
}

/// The names seen last, up to a bound.
struct Recent {
    order: VecDeque<MachineId>,
    names: HashSet<MachineId>,
    most: usize,
}

impl Recent {
    fn new(most: usize) -> Self {
        Recent { order: VecDeque::new(), names: HashSet::new(), most: most.max(64) }
    }

    fn contains(&self, id: &MachineId) -> bool {
        self.names.contains(id)
    }

    fn add(&mut self, id: &MachineId) {
        if self.names.insert(id.clone()) {
            self.order.push_back(id.clone());
        }
        if self.order.len() > self.most {
            if let Some(old) = self.order.pop_front() {
                self.names.remove(&old);
            }
        }
    }
}

pub struct Leader {
    pub token: FencingToken,
    pub mod_revision: u64,
    pub since: Ms,
    loading: Loading,
    load_in_flight: bool,
    load_after: Option<String>,
    load_not_before: Ms,
    /// Until the machine registry is read: what was answered to which machine.
    early_answers: HashMap<MachineId, failover::recovery::EarlyAnswers>,
    pub machines: BTreeMap<MachineId, Machine>,
    pub jobs: BTreeMap<JobId, RunJob>,
    loaded_done: BTreeMap<JobId, Vec<(u32, String)>>,
    /// Jobs that an earlier leader found to fail everywhere.
    inherited: BTreeSet<JobId>,
    ledger: Ledger,
    round_ends: Ms,
    fleet_cpus: f64,
    ledger_due: bool,
    primary_zone: Option<String>,
    preferred_zone_due: bool,
    /// Zones that were cut off of late, and until when they count as such.
    cut_until: BTreeMap<String, Ms>,
    surplus_since: Option<Ms>,
    /// Machines that work of late could use, fading; nothing is known at first.
    peak: f64,
    peak_at: Ms,
    registry: Vec<Vec<MachineRecord>>,
    /// Encoded size of each part.
    registry_bytes: Vec<usize>,
    registry_dirty: BTreeSet<usize>,
    /// The part after which the next flush goes on.
    registry_last: usize,
    /// Parts that are written only after these others were.
    registry_waits: BTreeMap<usize, BTreeSet<usize>>,
    /// Changes in one transaction, fewer once one was rejected.
    changes_most: usize,
    /// Keys that were rejected alone, and until when they rest.
    parked: BTreeMap<String, Ms>,
    mod_revisions: HashMap<String, u64>,
    refresh: BTreeMap<String, bool>,
    cleanup: BTreeSet<(JobId, u32)>,
    flush_in_flight: bool,
    flush_not_before: Ms,
    next_parts: Ms,
    attempts: u32,
    changed: bool,
    next_place: Ms,
    /// The last pass; gone when more may be in use than it counted.
    pass: Option<scheduler::cycle::Pass>,
    next_watch: Ms,
    last_tick: Ms,
    /// Machines and tasks looked at in passes: what the size of the fleet costs.
    pub visited: u64,
    held_valid_lease: bool,
    /// When this process last went on after it stood still or had no right: silence counts
    /// from there.
    woke: Ms,
    /// Most workers went silent though this process could have answered them.
    pub lost_workers: bool,
    /// Jobs whose tasks are all done and whose end is not written yet.
    complete: BTreeSet<JobId>,
    /// Jobs with completions that are not written yet.
    unwritten: BTreeSet<JobId>,
    /// The job after which the next flush goes on.
    written_last: JobId,
    /// The last pass left work that found no room.
    short_of_room: bool,
    /// When a job's or a machine's back-off ends.
    wake_at: Ms,
    /// Jobs for which others were stopped: the room that comes free is theirs first.
    reserved: BTreeMap<JobId, Ms>,
    /// Jobs that can still be in time, with the seconds that each can lose.
    reach: HashMap<JobId, f64>,
    /// The largest service of each class of late.
    shapes: BTreeMap<String, scheduler::services::Shape>,
    /// What controllers may accept.
    pub allotting: quota_allocation::Allotting,
    guarantee_waits: scheduler::guarantees::GuaranteeWaits,
    rental: Provisioning,
    returned: Recent,
    /// Jobs that workers told of and the table does not hold.
    pub unknown: BTreeSet<JobId>,
    pub next_progress: Ms,
}

impl Leader {
    pub fn new(ctx: &Context, token: FencingToken, mod_revision: u64) -> Self {
        let mut leader = Leader {
            token,
            mod_revision,
            since: ctx.now,
            loading: Loading::Roster,
            load_in_flight: false,
            load_after: None,
            load_not_before: 0,
            early_answers: HashMap::new(),
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            loaded_done: BTreeMap::new(),
            inherited: BTreeSet::new(),
            ledger: Ledger::new(ctx.cfg, None, ctx.now),
            round_ends: ctx.now,
            fleet_cpus: 0.0,
            ledger_due: false,
            primary_zone: None,
            preferred_zone_due: false,
            cut_until: BTreeMap::new(),
            surplus_since: None,
            peak: f64::MAX,
            peak_at: ctx.now,
            registry: Vec::new(),
            registry_bytes: Vec::new(),
            registry_dirty: BTreeSet::new(),
            registry_last: 0,
            registry_waits: BTreeMap::new(),
            changes_most: usize::MAX,
            parked: BTreeMap::new(),
            mod_revisions: HashMap::new(),
            refresh: BTreeMap::new(),
            cleanup: BTreeSet::new(),
            flush_in_flight: false,
            flush_not_before: 0,
            next_parts: 0,
            attempts: 0,
            changed: true,
            next_place: 0,
            pass: None,
            next_watch: 0,
            last_tick: ctx.now,
            visited: 0,
            held_valid_lease: true,
            woke: 0,
            lost_workers: false,
            complete: BTreeSet::new(),
            unwritten: BTreeSet::new(),
            written_last: JobId(0),
            short_of_room: false,
            wake_at: Ms::MAX,
            reserved: BTreeMap::new(),
            reach: HashMap::new(),
            shapes: BTreeMap::new(),
            allotting: quota_allocation::Allotting::new(ctx.now),
            guarantee_waits: scheduler::guarantees::GuaranteeWaits::default(),
            rental: Provisioning::default(),
            returned: Recent::new(most_returned(ctx.cfg)),
            unknown: BTreeSet::new(),
            next_progress: 0,
        };
        for job in ctx.job_cache.active.keys() {
            leader.sync_job(ctx, *job);
        }
        leader
    }

    /// Has the record of a job read of which a worker or a record told.
    pub fn read_job(&mut self, ctx: &Context, job: JobId) {
        if self.unknown.len() < (ctx.cfg.memory_mb * UNREAD_PER_MB).max(64.0) as usize {
            self.unknown.insert(job);
        }
    }

    pub fn loaded(&self) -> bool {
        self.loading == Loading::Complete
    }

    pub fn tick(&mut self, ctx: &Context, calls: &mut Calls, rng: &mut SmallRng) {
        self.load(ctx, calls);
        if !self.loaded() {
            return;
        }
        let stood = ctx.now > self.last_tick + ctx.cfg.heartbeat_interval_ms;
        if stood || (ctx.holds_valid_lease && !self.held_valid_lease) {
            // Nobody was answered for a while: who was silent then tells nothing.
            self.woke = ctx.now;
            self.lost_workers = false;
        }
        self.last_tick = ctx.now;
        self.held_valid_lease = ctx.holds_valid_lease;
        if ctx.now >= self.next_watch {
            self.visited += self.machines.len() as u64;
            self.next_watch = ctx.now + ctx.cfg.heartbeat_interval_ms / 20;
            self.watch_machines(ctx, calls);
            self.lost_workers = self.find_lost(ctx);
            self.finish_jobs();
            self.returns(ctx, calls);
        }
        if ctx.now >= self.round_ends {
            self.round_ends = ctx.now + (ctx.cfg.policy.round_s * 1000.0) as Ms;
            self.ledger.end_round();
            for j in self.jobs.values_mut() {
                j.account.granted = 0.0;
            }
            self.ledger_due = true;
            self.note_preferred_zone();
            self.log_round(ctx, calls);
            self.plan_allotments(ctx, calls);
            self.changed = true;
        }
        if (self.changed || ctx.now >= self.wake_at)
            && ctx.holds_valid_lease
            && ctx.job_cache_is_fresh
        {
            self.place(ctx, calls, rng);
        }
        self.flush(ctx, calls);
        if ctx.holds_valid_lease {
            self.allotting.send(ctx.cfg, ctx.now, (self.token, self.mod_revision), calls);
        }
        self.cloud(ctx, calls);
    }

    /// Leases that have surely ended, and machines that went silent. Not at every input:
    /// their number times that of the machines would be all that a leader gets done.
    fn watch_machines(&mut self, ctx: &Context, calls: &mut Calls) {
        let expires_after = ctx.cfg.with_drift_margin(ctx.cfg.lease_ms);
        let silent_after = ctx.cfg.heartbeat_interval_ms * 3;
        let expires = |m: &Machine| !m.lease_expired && ctx.now > m.renewed + expires_after;
        let woke = self.woke;
        let silent =
            |m: &Machine| m.last_heartbeat.is_some_and(|t| ctx.now > t.max(woke) + silent_after);
        let due: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| expires(m) || (silent(m) && !m.entries.is_empty()))
            .map(|m| m.id.clone())
            .collect();
        for id in &due {
            let Some(m) = self.machines.get_mut(id) else { continue };
            if !expires(m) {
                self.withdraw(id);
                continue;
            }
            let had = m.entries.len();
            let was_up = m.last_heartbeat.is_some();
            let changes = m.expire_lease();
            if was_up || had > 0 {
                calls.log(MachineEvent::LeaseExpired {
                    machine: id.clone(),
                    zone: m.zone.clone(),
                    tasks: had,
                });
            }
            self.changed = true;
            self.apply(ctx, calls, id, changes);
            self.note_free(id, true);
        }
    }

    /// One line a round: how the machines are used.
    fn log_round(&self, ctx: &Context, calls: &mut Calls) {
        let mut count = [0usize; 3];
        for m in self.machines.values() {
            let up = m.last_heartbeat.is_some() && !m.lease_expired;
            count[if up { m.spot as usize } else { 2 }] += 1;
        }
        let mut cpus = [0.0f64; 4];
        let mut teams = vec![(0.0f64, 0.0f64); ctx.cfg.teams.len()];
        for e in self.machines.values().flat_map(|m| m.entries.values()) {
            let n = e.need.map_or(0.0, |n| n.cpus);
            let i = match e.place {
                TaskPhase::Assigned { .. } | TaskPhase::Sent => 0,
                TaskPhase::Told(TaskState::Fetching) => 1,
                TaskPhase::Told(TaskState::Running) => 2,
                TaskPhase::Told(TaskState::Saving) => 3,
                TaskPhase::Told(TaskState::Exited(_)) => continue,
            };
            cpus[i] += n;
            if let Some(n) = e.need {
                teams[n.team].0 += n.cpus;
            }
        }
        for j in self.jobs.values() {
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
            self.jobs.values().filter(|j| j.ended.is_some()).map(|j| j.id).collect();
        if over.is_empty() {
            return;
        }
        let mut present: BTreeSet<JobId> = BTreeSet::new();
        for (t, _) in self.machines.values().flat_map(|m| m.entries.keys()) {
            if over.binary_search(&t.job).is_ok() {
                present.insert(t.job);
            }
        }
        over.retain(|j| !present.contains(j));
        for job in over {
            if let Some(j) = self.jobs.remove(&job) {
                self.cleanup.extend(j.parts.iter().map(|p| (job, *p)));
                self.complete.remove(&job);
                self.unwritten.remove(&job);
                for p in &j.parts {
                    self.mod_revisions.remove(&done_key(job, *p));
                }
            }
        }
    }

    pub fn progress(&self) -> Vec<Progress> {
        let mut running: HashMap<JobId, u32> = HashMap::new();
        for m in self.machines.values() {
            for ((t, _), _) in m.entries.iter().filter(|(_, e)| e.runs()) {
                *running.entry(t.job).or_default() += 1;
            }
        }
        self.jobs
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
