//! What a leader keeps while it leads: machines, tasks, the ledger, and what of
//! it must be written.

use crate::budget::Class;
use crate::calls::{Calls, Purpose};
use crate::fairness::Ledger;
use crate::fleet::*;
use crate::io::*;
use crate::jobs::{RunJob, Table};
use crate::model::*;
use crate::placement::{choose, Room, Spread, Wish};
use crate::records::*;
use crate::rental::{Kind, Rental, Request};
use crate::settings::Settings;
use rand::rngs::SmallRng;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// What one pass of the core may look at.
pub struct Ctx<'a> {
    pub cfg: &'a Settings,
    pub types: &'a [MachineType],
    pub table: &'a Table,
    pub now: Ms,
    pub wall: WallMs,
    pub entitled: bool,
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
pub struct Flush {
    keys: Vec<String>,
    ends: Vec<JobId>,
    parts: Vec<(JobId, u32, String)>,
    roster: Vec<(usize, Vec<MachineId>)>,
    cleaned: Vec<(JobId, u32)>,
    ledger: bool,
    home: bool,
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

/// Seconds a job can still lose and be in time for the nearest objective in reach;
/// None if none is. Estimates are often wrong, so a little overdue still counts.
fn spare_s(ctx: &Ctx, j: &RunJob) -> Option<f64> {
    let age = (ctx.wall - j.at) as f64 / 1000.0;
    ctx.cfg
        .wanted_s(&j.spec)
        .map(|due| due - age - j.spec.estimate_s)
        .filter(|spare| *spare > -0.3 * j.spec.estimate_s)
        .min_by(f64::total_cmp)
}

/// What the reply to a flush asks of the node.
#[derive(Default)]
pub struct Flushed {
    pub deposed: bool,
    pub ends: Vec<JobId>,
    pub read: Vec<JobId>,
}

/// A kind of machine this many times as dear as the cheapest is not kept ready.
const DEAR: f64 = 1.5;
/// Failures in a row after which a machine gets no more work.
const FAULTY: u32 = 4;
/// The cloud takes no larger rental.
const RENT_MOST: usize = 50;
/// Machines returned lately; their late reports are not taken for new machines.
const RETURNED_KEPT: usize = 512;
/// Orders in one response, to stay under the line limit.
const ORDERS_MOST: usize = 200;

/// A task that may be stopped for others: by priority, then those with the most time
/// to lose or none to win, youngest first.
type Victim = (Priority, i64, Ms, MachineId, (TaskId, Attempt), Need);

pub struct Reign {
    pub token: Token,
    pub stamp: u64,
    pub since: Ms,
    loading: Loading,
    load_in_flight: bool,
    load_after: Option<String>,
    load_not_before: Ms,
    pub machines: BTreeMap<MachineId, Machine>,
    pub jobs: BTreeMap<JobId, RunJob>,
    loaded_done: BTreeMap<JobId, Vec<(u32, String)>>,
    ledger: Ledger,
    round_ends: Ms,
    fleet_cpus: f64,
    ledger_due: bool,
    home: Option<String>,
    home_due: bool,
    /// Zones that were cut off of late, and until when they count as such.
    cut_until: BTreeMap<String, Ms>,
    surplus_since: Option<Ms>,
    /// Machines that work of late could use, fading; nothing is known at first.
    peak: f64,
    peak_at: Ms,
    roster: Vec<Vec<RosterEntry>>,
    roster_dirty: BTreeSet<usize>,
    stamps: HashMap<String, u64>,
    refresh: BTreeMap<String, bool>,
    cleanup: BTreeSet<(JobId, u32)>,
    flush_in_flight: bool,
    flush_not_before: Ms,
    next_parts: Ms,
    attempts: u32,
    changed: bool,
    next_place: Ms,
    /// The last pass left work that found no room.
    short_of_room: bool,
    /// When a job's or a machine's back-off ends.
    wake_at: Ms,
    /// Jobs for which others were stopped: the room that comes free is theirs first.
    reserved: BTreeMap<JobId, Ms>,
    rental: Rental,
    returned: VecDeque<MachineId>,
    /// Jobs that workers told of and the table does not hold.
    pub unknown: BTreeSet<JobId>,
    pub next_progress: Ms,
}

impl Reign {
    pub fn new(ctx: &Ctx, token: Token, stamp: u64) -> Self {
        let mut reign = Reign {
            token,
            stamp,
            since: ctx.now,
            loading: Loading::Roster,
            load_in_flight: false,
            load_after: None,
            load_not_before: 0,
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
            loaded_done: BTreeMap::new(),
            ledger: Ledger::new(ctx.cfg, None, ctx.now),
            round_ends: ctx.now,
            fleet_cpus: 0.0,
            ledger_due: false,
            home: None,
            home_due: false,
            cut_until: BTreeMap::new(),
            surplus_since: None,
            peak: f64::MAX,
            peak_at: ctx.now,
            roster: Vec::new(),
            roster_dirty: BTreeSet::new(),
            stamps: HashMap::new(),
            refresh: BTreeMap::new(),
            cleanup: BTreeSet::new(),
            flush_in_flight: false,
            flush_not_before: 0,
            next_parts: 0,
            attempts: 0,
            changed: true,
            next_place: 0,
            short_of_room: false,
            wake_at: Ms::MAX,
            reserved: BTreeMap::new(),
            rental: Rental::default(),
            returned: VecDeque::new(),
            unknown: BTreeSet::new(),
            next_progress: 0,
        };
        for job in ctx.table.active.keys() {
            reign.sync_job(ctx, *job);
        }
        reign
    }

    pub fn loaded(&self) -> bool {
        self.loading == Loading::Complete
    }

    // ---- what an earlier leader left ----

    pub fn load(&mut self, ctx: &Ctx, calls: &mut Calls) {
        if self.load_in_flight || self.loaded() || ctx.now < self.load_not_before {
            return;
        }
        if !calls.pay(ctx.now, Class::Lease) {
            return;
        }
        self.load_in_flight = true;
        let list = |prefix: &str, after| StateOp::List { prefix: prefix.into(), after, limit: 500 };
        let call = match self.loading {
            Loading::Roster => list(ROSTER, self.load_after.clone()),
            Loading::Done => list(DONE, self.load_after.clone()),
            _ => StateOp::Get(LEDGER.into()),
        };
        calls.state(Purpose::Load { token: self.token }, call, ctx.cfg.leader_lease_ms() / 4);
    }

    pub fn load_answer(&mut self, ctx: &Ctx, calls: &mut Calls, reply: StateReply) {
        self.load_in_flight = false;
        match (self.loading, reply) {
            (Loading::Roster, StateReply::Rows { items, more, .. }) => {
                self.load_after = items.last().filter(|_| more).map(|i| i.key.clone());
                for i in items {
                    self.stamps.insert(i.key.clone(), i.stamp);
                    let part = i.key.strip_prefix(ROSTER).and_then(|p| p.parse::<usize>().ok());
                    let entries: Option<Vec<RosterEntry>> = decode(&i.value);
                    let (Some(part), Some(entries)) = (part.filter(|p| *p < 1000), entries) else {
                        calls.log(Level::Error, "roster_unreadable", format!("key={}", i.key));
                        continue;
                    };
                    if self.roster.len() <= part {
                        self.roster.resize(part + 1, Vec::new());
                    }
                    for e in &entries {
                        let mut m =
                            Machine::new(e.id.clone(), &e.machine_type, &e.zone, e.spot, ctx.now);
                        // Until it reports with our token, an earlier leader's tasks may
                        // be on it.
                        m.accounted = false;
                        m.durable = true;
                        m.part = Some(part);
                        m.renewed = self.since;
                        self.machines.insert(e.id.clone(), m);
                    }
                    self.roster[part] = entries;
                }
                if !more {
                    self.loading = Loading::Done;
                }
            }
            (Loading::Done, StateReply::Rows { items, more, .. }) => {
                self.load_after = items.last().filter(|_| more).map(|i| i.key.clone());
                for i in items {
                    self.stamps.insert(i.key.clone(), i.stamp);
                    let text: Option<String> = decode(&i.value);
                    if let (Some((job, part)), Some(text)) = (parse_done_key(&i.key), text) {
                        self.loaded_done.entry(job).or_default().push((part, text));
                    }
                }
                if !more {
                    self.loading = Loading::Ledger;
                }
            }
            (Loading::Ledger, reply @ (StateReply::Found(_) | StateReply::Missing)) => {
                if let StateReply::Found(i) = reply {
                    self.stamps.insert(i.key.clone(), i.stamp);
                    let record: Option<LedgerRecord> = decode(&i.value);
                    self.ledger = Ledger::new(ctx.cfg, record.as_ref(), ctx.now);
                }
                self.loading = Loading::Complete;
                let ids: Vec<JobId> = self.jobs.keys().copied().collect();
                for job in ids {
                    self.apply_loaded(job);
                }
                for (job, parts) in std::mem::take(&mut self.loaded_done) {
                    // Left by a job that has ended.
                    self.unknown.insert(job);
                    self.loaded_done.insert(job, parts);
                }
                calls.log(
                    Level::Info,
                    "leading",
                    format!(
                        "token={} machines={} jobs={}",
                        self.token.0,
                        self.machines.len(),
                        self.jobs.len()
                    ),
                );
            }
            _ => self.load_not_before = ctx.now + ctx.cfg.leader_lease_ms() / 20,
        }
    }

    fn apply_loaded(&mut self, job: JobId) {
        if let (Some(j), Some(parts)) = (self.jobs.get_mut(&job), self.loaded_done.remove(&job)) {
            for (part, text) in parts {
                j.done.add_part(part, &text);
                j.durable.add_part(part, &text);
                j.parts.insert(part);
            }
        }
    }

    /// Takes over what the table now says of a job.
    pub fn sync_job(&mut self, ctx: &Ctx, job: JobId) {
        self.unknown.remove(&job);
        if let Some(a) = ctx.table.active.get(&job) {
            let Some(team) = ctx.cfg.team(&a.spec.team) else { return };
            if let Some(j) = self.jobs.get_mut(&job) {
                j.stamp = a.stamp;
            } else {
                self.jobs.insert(job, RunJob::new(job, team, a));
                if self.loaded() {
                    self.apply_loaded(job);
                }
                self.adopt(job);
            }
            self.changed = true;
        } else if let Some(end) = ctx.table.ended(job) {
            if let Some(j) = self.jobs.get_mut(&job) {
                j.ended = Some(end);
                self.changed = true;
            }
            if let Some(parts) = self.loaded_done.remove(&job) {
                self.cleanup.extend(parts.into_iter().map(|(p, _)| (job, p)));
            }
            self.stop_job(job);
        } else if self.jobs.get(&job).is_some_and(|j| j.ended.is_none()) {
            self.unknown.insert(job);
        }
    }

    /// Tasks that machines told of before the job was known.
    fn adopt(&mut self, job: JobId) {
        let mut found = Vec::new();
        for m in self.machines.values() {
            for ((task, attempt), e) in &m.entries {
                if task.job == job && e.need.is_none() {
                    let change = match e.place {
                        Place::Told(TaskState::Exited(why)) => {
                            Change::Exited { task: *task, attempt: *attempt, why, ran_ms: None }
                        }
                        _ => Change::Here { task: *task, attempt: *attempt },
                    };
                    found.push((m.id.clone(), change));
                }
            }
        }
        for (machine, change) in found {
            self.change(&machine, change, 0);
        }
    }

    fn stop_job(&mut self, job: JobId) {
        for m in self.machines.values_mut() {
            // What was never sent is simply not sent.
            m.entries
                .retain(|(t, _), e| t.job != job || !matches!(e.place, Place::Assigned { .. }));
            for (_, e) in m.entries.iter_mut().filter(|((t, _), _)| t.job == job) {
                e.stop = Some(0.0);
                e.stop_sent = None;
            }
        }
    }

    // ---- reports ----

    fn need(&self, job: JobId) -> Option<Need> {
        let j = self.jobs.get(&job)?;
        Some(Need {
            team: j.team,
            cpus: j.spec.cpus,
            gpus: j.spec.gpus,
            memory_gb: j.spec.memory_gb,
            priority: j.spec.priority,
            save_s: (j.spec.checkpoint_s > 0.0).then_some(j.spec.save_s),
        })
    }

    fn change(&mut self, machine: &MachineId, change: Change, now: Ms) -> Option<String> {
        match change {
            Change::Gone { task, attempt } => {
                if let Some(j) = self.jobs.get_mut(&task.job) {
                    if j.free(task.index, machine, attempt) {
                        self.changed = true;
                    }
                }
                None
            }
            Change::Here { task, attempt } => {
                let need = self.need(task.job);
                let m = self.machines.get_mut(machine)?;
                let e = m.entries.get_mut(&(task, attempt))?;
                e.need = need;
                let Some(j) = self.jobs.get_mut(&task.job) else {
                    self.unknown.insert(task.job);
                    return None;
                };
                j.started = true;
                let place = (machine.clone(), attempt);
                let elsewhere = j.placed.get(&task.index).is_some_and(|p| *p != place);
                if j.ended.is_some() || j.done.get(task.index) || elsewhere {
                    // Not wanted here. An attempt elsewhere is left alone.
                    e.stop = Some(0.0);
                    e.stop_sent = None;
                } else {
                    j.placed.insert(task.index, place);
                }
                None
            }
            Change::Exited { task, attempt, why, ran_ms } => {
                self.changed = true;
                let need = self.need(task.job);
                let m = self.machines.get_mut(machine)?;
                if let Some(e) = m.entries.get_mut(&(task, attempt)) {
                    e.need = need;
                }
                let Some(j) = self.jobs.get_mut(&task.job) else {
                    self.unknown.insert(task.job);
                    return None;
                };
                if why == Why::Done {
                    j.mark_done(task.index);
                    j.errors = 0;
                    m.faults = 0;
                }
                let ours = j.free(task.index, machine, attempt);
                if !ours || j.ended.is_some() {
                    return None;
                }
                match why {
                    Why::Error => {
                        // A job that fails at once costs its team nearly nothing and
                        // would win every round: it waits longer after each failure.
                        j.errors += 1;
                        j.failed_on.insert(machine.clone());
                        let wait = 500u64 << j.errors.min(7);
                        j.not_before = now + wait;
                        // One bad job must not condemn machines: only failures of jobs
                        // that did not fail on several machines count against one.
                        if j.failed_on.len() <= 2 {
                            m.faults += 1;
                        }
                        return Some(format!(
                            "job={} task={} machine={} errors={} ran_ms={}",
                            task.job,
                            task.index,
                            machine,
                            j.errors,
                            ran_ms.unwrap_or(0)
                        ));
                    }
                    Why::NoRoom => m.no_room_until = now + 2000,
                    Why::Unknown => j.not_before = now + 2000,
                    _ => {}
                }
                None
            }
        }
    }

    fn apply(&mut self, ctx: &Ctx, calls: &mut Calls, machine: &MachineId, changes: Vec<Change>) {
        for c in changes {
            if let Some(detail) = self.change(machine, c, ctx.now) {
                calls.log(Level::Info, "task_failed", detail);
            }
        }
    }

    /// Answers a worker that reported to us while we are entitled.
    pub fn checkin(
        &mut self,
        ctx: &Ctx,
        calls: &mut Calls,
        r: &Report,
        rng: &mut SmallRng,
    ) -> Answer {
        let busy = |why| Answer::Busy { retry_s: 1, why };
        if !self.loaded() {
            return busy("loading");
        }
        if self.returned.contains(&r.machine) {
            return busy("machine returned");
        }
        if !self.machines.contains_key(&r.machine) {
            // Nobody expected it: a rental that was carried out late, or one an earlier
            // leader asked for. Nothing starts there before it is on the roster.
            let mut m = Machine::new(r.machine.clone(), &r.machine_type, &r.zone, r.spot, ctx.now);
            m.accounted = false;
            self.machines.insert(r.machine.clone(), m);
            calls.log(Level::Info, "machine_adopted", format!("machine={}", r.machine));
        }
        self.enroll(ctx, &r.machine);
        let Some(m) = self.machines.get_mut(&r.machine) else { return busy("unknown machine") };
        if !m.is_newer(r) {
            return busy("late report");
        }
        let first = m.last_checkin.is_none();
        let usable = m.accounted && !m.lapsed;
        let changes = m.report(ctx.now, r, self.token);
        if first {
            self.changed = true;
            let age = ctx.now - m.known_since;
            let detail = format!("machine={} zone={} spot={} age_ms={age}", m.id, m.zone, m.spot);
            calls.log(Level::Info, "machine_up", detail);
        }
        if m.notice(ctx.now) && m.returning == Returning::No {
            m.returning = Returning::Draining;
            calls.log(Level::Info, "machine_notice", format!("machine={}", m.id));
            self.drain(&r.machine);
        }
        self.apply(ctx, calls, &r.machine, changes);
        self.note_images(ctx, &r.machine);
        // A machine that was not accounted for, or late, has become one to place on, and
        // its room may be what a waiting job lacks.
        let m = &self.machines[&r.machine];
        let room = Self::type_index(ctx.types, &m.machine_type)
            .is_some_and(|i| m.used().0 < ctx.types[i].cpus);
        self.changed |= !usable || (room && self.short_of_room);
        if self.changed {
            self.place(ctx, calls, rng);
        }
        Answer::Orders { token: self.token, orders: self.orders(ctx, &r.machine) }
    }

    fn note_images(&mut self, ctx: &Ctx, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        let cache = ctx.types.iter().find(|t| t.name == m.machine_type).map_or(0.0, |t| t.cache_gb);
        let running: BTreeSet<JobId> =
            m.entries.iter().filter(|(_, e)| e.holds()).map(|((t, _), _)| t.job).collect();
        for job in running {
            if let Some(j) = self.jobs.get(&job) {
                m.used_image(&j.spec.image, j.spec.image_gb, cache);
            }
        }
    }

    /// Tasks that can save leave a machine that is about to go.
    fn drain(&mut self, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        for e in m.entries.values_mut() {
            if let (Some(Need { save_s: Some(save), .. }), None) = (e.need, e.stop) {
                e.stop = Some(save + 1.0);
            }
        }
        self.withdraw(machine);
    }

    /// Takes back what was assigned and never sent.
    fn withdraw(&mut self, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        let unsent: Vec<(TaskId, Attempt)> = m
            .entries
            .iter()
            .filter(|(_, e)| matches!(e.place, Place::Assigned { .. }))
            .map(|(k, _)| *k)
            .collect();
        for (task, attempt) in unsent {
            m.entries.remove(&(task, attempt));
            if let Some(j) = self.jobs.get_mut(&task.job) {
                j.free(task.index, machine, attempt);
            }
            self.changed = true;
        }
    }

    fn orders(&mut self, ctx: &Ctx, machine: &MachineId) -> Vec<Order> {
        let mut orders = Vec::new();
        let Some(m) = self.machines.get_mut(machine) else { return orders };
        let repeat = ctx.cfg.report_ms * 3;
        for ((task, attempt), e) in m.entries.iter_mut() {
            if orders.len() >= ORDERS_MOST {
                break;
            }
            let (task, attempt) = (*task, *attempt);
            match e.place {
                Place::Told(TaskState::Exited(why)) => {
                    let durable = match self.jobs.get(&task.job) {
                        Some(j) => {
                            j.ended.is_some() || why != Why::Done || j.durable.get(task.index)
                        }
                        None => ctx.table.ended(task.job).is_some(),
                    };
                    if durable {
                        orders.push(Order::Forget { task, attempt });
                    }
                }
                Place::Assigned { .. } => {
                    e.place = Place::Sent;
                    orders.push(Order::Start { task, attempt });
                }
                _ => {
                    let Some(grace_s) = e.stop else { continue };
                    if e.stop_sent.is_none_or(|t| ctx.now >= t + repeat) {
                        // A second stop with some grace left does not cut a save short.
                        e.stop_sent = Some(ctx.now);
                        orders.push(Order::Stop { task, attempt, grace_s });
                    }
                }
            }
        }
        orders
    }

    // ---- the roster ----

    fn enroll(&mut self, ctx: &Ctx, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine).filter(|m| m.part.is_none()) else { return };
        let entry = RosterEntry {
            id: m.id.clone(),
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
        };
        let most = ctx.cfg.value_bytes * 9 / 10;
        let size = encode(&entry).len() + 1;
        let part = self
            .roster
            .iter()
            .position(|p| encode(p).len() + size <= most)
            .unwrap_or(self.roster.len());
        if part == self.roster.len() {
            self.roster.push(Vec::new());
        }
        self.roster[part].push(entry);
        self.roster_dirty.insert(part);
        m.part = Some(part);
    }

    /// The machine is gone for certain: its release was answered.
    fn strike(&mut self, ctx: &Ctx, calls: &mut Calls, machine: &MachineId) {
        let Some(mut m) = self.machines.remove(machine) else { return };
        let changes = m.lapse();
        self.apply(ctx, calls, machine, changes);
        if let Some(part) = m.part {
            self.roster[part].retain(|e| e.id != *machine);
            self.roster_dirty.insert(part);
        }
        self.returned.push_back(machine.clone());
        if self.returned.len() > RETURNED_KEPT {
            self.returned.pop_front();
        }
        self.changed = true;
    }

    // ---- writing ----

    pub fn flush(&mut self, ctx: &Ctx, calls: &mut Calls) {
        if self.flush_in_flight
            || !self.loaded()
            || !ctx.entitled
            || ctx.now < self.flush_not_before
        {
            return;
        }
        for (key, asked) in self.refresh.iter_mut().filter(|(_, asked)| !**asked) {
            if calls.pay(ctx.now, Class::Completion) {
                *asked = true;
                let purpose = Purpose::Refresh { token: self.token, key: key.clone() };
                calls.state(purpose, StateOp::Get(key.clone()), ctx.cfg.leader_lease_ms() / 4);
            }
        }
        let now = ctx.now;
        let mut f = Flush::default();
        let mut conds = vec![(LEADER.to_string(), self.stamp)];
        let mut puts = Vec::new();
        let mut removes = Vec::new();
        let mut bytes = 0;
        let most = ctx.cfg.txn_ops.max(2);
        let byte_limit = 48 * 1024;
        let mut paid = |n: f64, class| calls.writes.take(now, n, class);
        let mut put = |key: String, value: String, f: &mut Flush, conds: &mut Vec<_>| {
            conds.push((key.clone(), self.stamps.get(&key).copied().unwrap_or(0)));
            f.keys.push(key.clone());
            puts.push(Put { key, value, loan: None });
        };
        let mut ops = 0;
        for (id, j) in self.jobs.iter_mut() {
            if ops + 2 > most || !j.complete() || j.ended.is_some() {
                continue;
            }
            if !ctx.table.active.contains_key(id) || self.unknown.contains(id) {
                continue;
            }
            if !paid(2.0, Class::Completion) {
                break;
            }
            ops += 2;
            conds.push((active_key(*id), j.stamp));
            f.ends.push(*id);
            removes.push(active_key(*id));
        }
        // The ends' values go in below, without a stamp of their own to compare: a job
        // that is still active has no end yet.
        for part in self.roster_dirty.clone() {
            let key = roster_key(part);
            if ops < most && !self.refresh.contains_key(&key) && paid(1.0, Class::Door) {
                ops += 1;
                self.roster_dirty.remove(&part);
                let value = encode(&self.roster[part]);
                bytes += value.len();
                f.roster.push((part, self.roster[part].iter().map(|e| e.id.clone()).collect()));
                put(key, value, &mut f, &mut conds);
            }
        }
        if self.ledger_due
            && ops < most
            && !self.refresh.contains_key(LEDGER)
            && paid(1.0, Class::Completion)
        {
            {
                ops += 1;
                self.ledger_due = false;
                f.ledger = true;
                let leases_end = ctx.wall + (ctx.cfg.policy.lease_term_s * 1000.0) as WallMs;
                let value = encode(&self.ledger.record(ctx.cfg, leases_end));
                bytes += value.len();
                put(LEDGER.into(), value, &mut f, &mut conds);
            }
        }
        if self.home_due && ops < most && !self.refresh.contains_key(HOME) && paid(1.0, Class::Rest)
        {
            ops += 1;
            self.home_due = false;
            f.home = true;
            put(HOME.into(), encode(&self.home), &mut f, &mut conds);
        }
        if now >= self.next_parts {
            let mut left = false;
            for (id, j) in self.jobs.iter_mut() {
                if j.ended.is_some() || j.complete() {
                    continue;
                }
                for part in j.dirty.clone() {
                    let key = done_key(*id, part);
                    if self.refresh.contains_key(&key) {
                        continue;
                    }
                    if ops >= most || bytes > byte_limit || !paid(1.0, Class::Rest) {
                        left = true;
                        break;
                    }
                    ops += 1;
                    j.dirty.remove(&part);
                    j.parts.insert(part);
                    let text = j.done.part(part);
                    let value = encode(&text);
                    bytes += value.len();
                    f.parts.push((*id, part, text));
                    put(key, value, &mut f, &mut conds);
                }
            }
            if !left {
                self.next_parts = now + ctx.cfg.report_ms;
            }
        }
        let mut cleaned = Vec::new();
        for (job, part) in &self.cleanup {
            if ops >= most || !paid(1.0, Class::Rest) {
                break;
            }
            ops += 1;
            removes.push(done_key(*job, *part));
            cleaned.push((*job, *part));
        }
        for c in &cleaned {
            self.cleanup.remove(c);
        }
        f.cleaned = cleaned;
        for id in &f.ends {
            puts.push(Put { key: final_key(*id), value: encode(&Final::Done), loan: None });
        }
        if puts.is_empty() && removes.is_empty() {
            return;
        }
        if !calls.pay(now, Class::Completion) {
            self.undo(ctx, f);
            self.flush_not_before = now + 20;
            return;
        }
        self.flush_in_flight = true;
        let purpose = Purpose::Flush { token: self.token, flush: Box::new(f) };
        let op = StateOp::Txn { conds, puts, removes };
        calls.state(purpose, op, ctx.cfg.leader_lease_ms() / 4);
    }

    fn undo(&mut self, ctx: &Ctx, f: Flush) {
        for (job, part, _) in f.parts {
            if let Some(j) = self.jobs.get_mut(&job) {
                j.dirty.insert(part);
            }
        }
        self.roster_dirty.extend(f.roster.into_iter().map(|(p, _)| p));
        self.cleanup.extend(f.cleaned);
        self.ledger_due |= f.ledger;
        self.home_due |= f.home;
        self.next_parts = self.next_parts.min(ctx.now + ctx.cfg.report_ms / 4);
    }

    pub fn flush_answer(&mut self, ctx: &Ctx, mut f: Flush, reply: StateReply) -> Flushed {
        self.flush_in_flight = false;
        let mut out = Flushed::default();
        match reply {
            StateReply::Committed { revision } => {
                for key in f.keys {
                    self.stamps.insert(key, revision);
                }
                for (job, part, text) in f.parts {
                    if let Some(j) = self.jobs.get_mut(&job) {
                        j.durable.add_part(part, &text);
                    }
                }
                for (_, ids) in f.roster {
                    for id in ids {
                        if let Some(m) = self.machines.get_mut(&id) {
                            self.changed |= !m.durable;
                            m.durable = true;
                        }
                    }
                }
                out.ends = f.ends;
            }
            StateReply::Conflict { failed } => {
                out.deposed = failed.iter().any(|k| k == LEADER);
                let ends = std::mem::take(&mut f.ends);
                out.read = ends.into_iter().filter(|j| failed.contains(&active_key(*j))).collect();
                for key in failed.into_iter().filter(|k| f.keys.contains(k)) {
                    self.refresh.insert(key, false);
                }
                self.undo(ctx, f);
            }
            StateReply::Refused => {
                self.undo(ctx, f);
                self.flush_not_before = ctx.now + ctx.cfg.report_ms / 4;
            }
            _ => {
                // It may yet be carried out. Every key is written again only with the
                // stamp it has by then, so the late one and ours cannot both win.
                for key in std::mem::take(&mut f.keys) {
                    self.refresh.insert(key, false);
                }
                self.undo(ctx, f);
                self.flush_not_before = ctx.now + ctx.cfg.report_ms / 4;
            }
        }
        out
    }

    pub fn refresh_answer(&mut self, key: String, reply: StateReply) {
        match reply {
            StateReply::Found(i) => {
                self.stamps.insert(key.clone(), i.stamp);
                self.refresh.remove(&key);
            }
            StateReply::Missing => {
                self.stamps.remove(&key);
                self.refresh.remove(&key);
            }
            _ => {
                self.refresh.insert(key, false);
            }
        }
    }

    // ---- time ----

    pub fn tick(&mut self, ctx: &Ctx, calls: &mut Calls, rng: &mut SmallRng) {
        self.load(ctx, calls);
        if !self.loaded() {
            return;
        }
        let lapse_after = ctx.cfg.surely(ctx.cfg.lease_ms);
        let silent_after = ctx.cfg.report_ms * 3;
        let ids: Vec<MachineId> = self.machines.keys().cloned().collect();
        for id in &ids {
            let Some(m) = self.machines.get_mut(id) else { continue };
            if !m.lapsed && ctx.now > m.renewed + lapse_after {
                let had = m.entries.len();
                let was_up = m.last_checkin.is_some();
                let changes = m.lapse();
                if was_up || had > 0 {
                    let detail = format!("machine={id} zone={} tasks={had}", m.zone);
                    calls.log(Level::Info, "machine_lapsed", detail);
                }
                self.changed = true;
                self.apply(ctx, calls, id, changes);
            } else if m.last_checkin.is_some_and(|t| ctx.now > t + silent_after) {
                self.withdraw(id);
            }
        }
        self.finish_jobs();
        if ctx.now >= self.round_ends {
            self.round_ends = ctx.now + (ctx.cfg.policy.round_s * 1000.0) as Ms;
            self.ledger.end_round();
            for j in self.jobs.values_mut() {
                j.account.granted = 0.0;
            }
            self.ledger_due = true;
            self.note_home();
            self.log_round(calls);
            self.changed = true;
        }
        if (self.changed || ctx.now >= self.wake_at) && ctx.entitled {
            self.place(ctx, calls, rng);
        }
        self.flush(ctx, calls);
        self.cloud(ctx, calls);
    }

    /// One line a round: how the machines are used.
    fn log_round(&self, calls: &mut Calls) {
        let mut count = [0usize; 3];
        for m in self.machines.values() {
            let up = m.last_checkin.is_some() && !m.lapsed;
            count[if up { m.spot as usize } else { 2 }] += 1;
        }
        let mut cpus = [0.0f64; 4];
        for e in self.machines.values().flat_map(|m| m.entries.values()) {
            let n = e.need.map_or(0.0, |n| n.cpus);
            let i = match e.place {
                Place::Assigned { .. } | Place::Sent => 0,
                Place::Told(TaskState::Fetching) => 1,
                Place::Told(TaskState::Running) => 2,
                Place::Told(TaskState::Saving) => 3,
                Place::Told(TaskState::Exited(_)) => continue,
            };
            cpus[i] += n;
        }
        let waiting: f64 = self.jobs.values().map(|j| j.pending() as f64 * j.spec.cpus).sum();
        calls.log(
            Level::Debug,
            "round",
            format!(
                "ordinary={} spot={} down={} sent={} fetching={} running={} saving={} waiting={waiting}",
                count[0], count[1], count[2], cpus[0], cpus[1], cpus[2], cpus[3]
            ),
        );
    }

    /// Ended jobs whose tasks are all gone need no account any more.
    fn finish_jobs(&mut self) {
        let mut over: Vec<JobId> =
            self.jobs.values().filter(|j| j.ended.is_some()).map(|j| j.id).collect();
        if over.is_empty() {
            return;
        }
        let present: BTreeSet<JobId> =
            self.machines.values().flat_map(|m| m.entries.keys().map(|(t, _)| t.job)).collect();
        over.retain(|j| !present.contains(j));
        for job in over {
            if let Some(j) = self.jobs.remove(&job) {
                self.cleanup.extend(j.parts.iter().map(|p| (job, *p)));
                for p in &j.parts {
                    self.stamps.remove(&done_key(job, *p));
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

    // ---- placing ----

    fn type_index(types: &[MachineType], name: &str) -> Option<usize> {
        types.iter().position(|t| t.name == name)
    }

    fn usable(&self, ctx: &Ctx, m: &Machine) -> bool {
        m.accounted
            && m.durable
            && !m.lapsed
            && m.returning == Returning::No
            && !m.notice(ctx.now)
            && m.faults < FAULTY
            && ctx.now >= m.no_room_until
            && m.last_checkin.is_some_and(|t| ctx.now <= t + ctx.cfg.report_ms * 2)
    }

    /// (cpus, gpus) per team that may be in use anywhere.
    fn usage(&self, ctx: &Ctx) -> Vec<(f64, f64)> {
        let mut used = vec![(0.0, 0.0); ctx.cfg.teams.len()];
        for m in self.machines.values() {
            let unsure = !m.accounted || m.entries.values().any(|e| e.holds() && e.need.is_none());
            if unsure {
                // An earlier leader's tasks of any team may fill it.
                let (c, g) = Self::type_index(ctx.types, &m.machine_type)
                    .map_or((f64::INFINITY, f64::INFINITY), |i| {
                        (ctx.types[i].cpus, ctx.types[i].gpus)
                    });
                for u in used.iter_mut() {
                    u.0 += c;
                    u.1 += g;
                }
                continue;
            }
            for n in m.entries.values().filter(|e| e.holds()).filter_map(|e| e.need) {
                used[n.team].0 += n.cpus;
                used[n.team].1 += n.gpus;
            }
        }
        used
    }

    fn accrue(&mut self, ctx: &Ctx) -> f64 {
        let teams = ctx.cfg.teams.len();
        let mut running = vec![0.0; teams];
        let mut by_job: HashMap<JobId, f64> = HashMap::new();
        let mut fleet = 0.0;
        for m in self.machines.values().filter(|m| m.last_checkin.is_some() && !m.lapsed) {
            if let Some(i) = Self::type_index(ctx.types, &m.machine_type) {
                fleet += ctx.types[i].cpus;
            }
            for ((t, _), e) in m.entries.iter().filter(|(_, e)| e.runs()) {
                if let Some(n) = e.need {
                    running[n.team] += n.cpus;
                    *by_job.entry(t.job).or_default() += n.cpus;
                }
            }
        }
        let dt = self.ledger.accrue(ctx.cfg, ctx.now, fleet, &running);
        let mut active = vec![0u32; teams];
        for j in self.jobs.values().filter(|j| j.ended.is_none()) {
            active[j.team] += 1;
        }
        for j in self.jobs.values_mut().filter(|j| j.ended.is_none()) {
            let size = (j.spec.tasks - j.done.count().min(j.spec.tasks)) as f64 * j.spec.cpus;
            let share = Ledger::quota(ctx.cfg, j.team, fleet) / active[j.team].max(1) as f64;
            j.account.fair += share.min(size) * dt;
            j.account.received += by_job.get(&j.id).copied().unwrap_or(0.0) * dt;
        }
        fleet
    }

    fn place(&mut self, ctx: &Ctx, calls: &mut Calls, rng: &mut SmallRng) {
        if ctx.now < self.next_place || ctx.types.is_empty() {
            return;
        }
        self.changed = false;
        self.next_place = ctx.now + ctx.cfg.report_ms / 20;
        self.fleet_cpus = self.accrue(ctx);
        let all_accounted = self.machines.values().all(|m| m.accounted);
        let mut used = self.usage(ctx);
        let mut rooms: Vec<Room> = Vec::new();
        for m in self.machines.values().filter(|m| self.usable(ctx, m)) {
            let Some(i) = Self::type_index(ctx.types, &m.machine_type) else { continue };
            let (c, g, r) = m.used();
            let t = &ctx.types[i];
            if t.cpus - c > 1e-9 {
                rooms.push(Room {
                    machine: m.id.clone(),
                    type_index: i,
                    zone: m.zone.clone(),
                    spot: m.spot,
                    cpus: t.cpus - c,
                    gpus: t.gpus - g,
                    memory_gb: t.memory_gb - r,
                });
            }
        }
        // Jobs that may get tasks placed now, per team.
        let mut waiting: Vec<Vec<JobId>> = vec![Vec::new(); ctx.cfg.teams.len()];
        for j in self.jobs.values() {
            // What an earlier leader may have started waits until every machine of the
            // roster is accounted for; a job accepted since cannot have been started.
            if j.pending() > 0
                && j.not_before <= ctx.now
                && !self.unknown.contains(&j.id)
                && (all_accounted || j.stamp > self.stamp)
            {
                waiting[j.team].push(j.id);
            }
        }
        let mut blocked: Vec<JobId> = Vec::new();
        // Were the room cleared for a job given by degree, those who were stopped would
        // take it back, and be stopped again.
        self.reserved.retain(|_, until| *until > ctx.now);
        let reserved: Vec<JobId> = self.reserved.keys().copied().collect();
        for id in reserved {
            let Some(team) = self.jobs.get(&id).map(|j| j.team) else { continue };
            while waiting[team].contains(&id) {
                if !self.grant_one(ctx, id, &mut rooms, &mut used, rng) {
                    break;
                }
                if self.jobs.get(&id).is_none_or(|j| j.pending() == 0) {
                    waiting[team].retain(|j| *j != id);
                    self.reserved.remove(&id);
                }
            }
        }
        while let Some(team) =
            (0..waiting.len()).filter(|t| !waiting[*t].is_empty()).min_by(|a, b| {
                self.ledger.teams[*a].degree().total_cmp(&self.ledger.teams[*b].degree())
            })
        {
            let Some(id) = self.select(ctx, &waiting[team]) else { break };
            if !self.grant_one(ctx, id, &mut rooms, &mut used, rng) {
                waiting[team].retain(|j| *j != id);
                blocked.push(id);
            } else if self.jobs.get(&id).is_none_or(|j| j.pending() == 0) {
                waiting[team].retain(|j| *j != id);
            }
        }
        self.short_of_room = !blocked.is_empty();
        let jobs = self.jobs.values().filter(|j| j.pending() > 0).map(|j| j.not_before);
        let machines = self.machines.values().map(|m| m.no_room_until);
        self.wake_at = jobs.chain(machines).filter(|t| *t > ctx.now).min().unwrap_or(Ms::MAX);
        self.preempt(ctx, calls, &blocked, &used, &rooms);
    }

    /// Grants on one machine and notes it in the ledger; false if nothing fits.
    fn grant_one(
        &mut self,
        ctx: &Ctx,
        id: JobId,
        rooms: &mut Vec<Room>,
        used: &mut [(f64, f64)],
        rng: &mut SmallRng,
    ) -> bool {
        let granted = self.grant(ctx, id, rooms, used, rng);
        let Some(j) = self.jobs.get_mut(&id).filter(|_| granted > 0) else { return false };
        let cost = granted as f64 * j.spec.cpus * ctx.cfg.policy.lease_term_s;
        j.account.granted += cost;
        j.started = true;
        self.ledger.teams[j.team].granted += cost;
        true
    }

    /// Within a team: jobs that can still be in time for an objective, the one with the
    /// least time to lose first; then the others, by degree.
    fn select(&self, ctx: &Ctx, ids: &[JobId]) -> Option<JobId> {
        let rank = |j: &RunJob| {
            let spare = spare_s(ctx, j);
            let work = j.pending() as f64 * j.spec.cpus * j.spec.estimate_s;
            let quota = Ledger::quota(ctx.cfg, j.team, self.fleet_cpus).max(1.0);
            (spare.is_none(), spare.unwrap_or(0.0) + 3.0 * work / quota)
        };
        ids.iter()
            .filter_map(|id| self.jobs.get(id))
            .map(|j| (rank(j), j))
            .min_by(|(ra, a), (rb, b)| {
                b.spec
                    .priority
                    .cmp(&a.spec.priority)
                    .then(ra.0.cmp(&rb.0))
                    .then(ra.1.total_cmp(&rb.1))
                    .then(a.started.cmp(&b.started))
                    .then(a.account.degree().total_cmp(&b.account.degree()))
                    .then(a.at.cmp(&b.at))
            })
            .map(|(_, j)| j.id)
    }

    /// Places tasks of one job on one machine; gives how many.
    fn grant(
        &mut self,
        ctx: &Ctx,
        id: JobId,
        rooms: &mut Vec<Room>,
        used: &mut [(f64, f64)],
        rng: &mut SmallRng,
    ) -> u32 {
        let Some(j) = self.jobs.get_mut(&id) else { return 0 };
        let team = &ctx.cfg.teams[j.team];
        let (cpus, gpus) = used[j.team];
        let want = j
            .pending()
            .min(fits(team.cpus_max - cpus, j.spec.cpus))
            .min(fits(team.gpus_max - gpus, j.spec.gpus));
        if want == 0 {
            return 0;
        }
        let mut spread = Spread::default();
        if j.spec.one_zone || j.spec.spread {
            for m in self.machines.values() {
                let n = m.entries.iter().filter(|((t, _), e)| t.job == id && e.holds()).count();
                if n > 0 {
                    spread.add(&m.zone, n as u32);
                }
            }
        }
        let machines = &self.machines;
        let image = |m: &MachineId| machines.get(m).is_some_and(|m| m.has_image(&j.spec.image));
        let sample = ctx.cfg.policy.sample;
        let wish = Wish { job: &j.spec, spread: &spread, want };
        let Some((at, n)) = choose(rooms, ctx.types, &wish, sample, image, rng) else {
            return 0;
        };
        let machine = rooms[at].machine.clone();
        let Some(m) = self.machines.get_mut(&machine) else { return 0 };
        let need = Need {
            team: j.team,
            cpus: j.spec.cpus,
            gpus: j.spec.gpus,
            memory_gb: j.spec.memory_gb,
            priority: j.spec.priority,
            save_s: (j.spec.checkpoint_s > 0.0).then_some(j.spec.save_s),
        };
        let mut placed = 0;
        while placed < n {
            let Some(index) = j.next_pending() else { break };
            let Some(count) = self.attempts.checked_add(1) else { break };
            self.attempts = count;
            let attempt = Attempt((self.token.0 << 32) | u64::from(count));
            let task = TaskId { job: id, index };
            j.placed.insert(index, (machine.clone(), attempt));
            m.entries.insert(
                (task, attempt),
                Entry {
                    place: Place::Assigned { at: ctx.now },
                    need: Some(need),
                    stop: None,
                    stop_sent: None,
                    since: ctx.now,
                    running_since: None,
                    settled: false,
                },
            );
            placed += 1;
        }
        m.idle_since = None;
        used[j.team].0 += j.spec.cpus * placed as f64;
        used[j.team].1 += j.spec.gpus * placed as f64;
        rooms[at].take(&j.spec, placed);
        if rooms[at].cpus <= 1e-9 {
            rooms.swap_remove(at);
        }
        placed
    }

    /// Makes room for work that must not wait, at the cost of work that can save.
    fn preempt(
        &mut self,
        ctx: &Ctx,
        calls: &mut Calls,
        blocked: &[JobId],
        used: &[(f64, f64)],
        rooms: &[Room],
    ) {
        let free: f64 = rooms.iter().map(|r| r.cpus).sum();
        let leaving: f64 = self
            .machines
            .values()
            .flat_map(|m| m.entries.values())
            .filter(|e| e.holds() && e.stop.is_some())
            .filter_map(|e| e.need)
            .map(|n| n.cpus)
            .sum();
        let mut coming = free + leaving;
        let mut freed: BTreeMap<usize, f64> = BTreeMap::new();
        let mut stopped = 0;
        for id in blocked {
            let Some(j) = self.jobs.get(id) else { continue };
            let team = &ctx.cfg.teams[j.team];
            let limit = fits(team.cpus_max - used[j.team].0, j.spec.cpus);
            let mut want = j.spec.cpus * j.pending().min(limit) as f64;
            let from_coming = coming.min(want);
            coming -= from_coming;
            want -= from_coming;
            let mut guarantee = (team.cpus - used[j.team].0).max(0.0);
            // Checkpointing work only: what cannot save would lose all it has done.
            let mut victims: Vec<Victim> = Vec::new();
            if want > 1e-9 {
                for m in self.machines.values().filter(|m| self.usable(ctx, m)) {
                    for (key, e) in &m.entries {
                        let Some(n) = e.need.filter(|n| n.save_s.is_some()) else { continue };
                        // Stopping what has just begun costs more than it ran.
                        let ran = e.running_since.map_or(0, |t| ctx.now - t) as f64 / 1000.0;
                        let young = n.save_s.is_some_and(|save| ran < 4.0 * save);
                        if !e.runs() || e.stop.is_some() || young {
                            continue;
                        }
                        let spare = self.jobs.get(&key.0.job).and_then(|j| spare_s(ctx, j));
                        let rank = spare.map_or(i64::MIN, |s| -s as i64 / 30);
                        victims.push((n.priority, rank, Ms::MAX - e.since, m.id.clone(), *key, n));
                    }
                }
                victims.sort_by(|a, b| (a.0, a.1, a.2, &a.3, a.4).cmp(&(b.0, b.1, b.2, &b.3, b.4)));
            }
            let mut cleared = false;
            for (priority, _, _, machine, key, n) in victims {
                if want <= 1e-9 {
                    break;
                }
                let borrowed = used[n.team].0
                    - freed.get(&n.team).copied().unwrap_or(0.0)
                    - ctx.cfg.teams[n.team].cpus;
                let lower = priority < j.spec.priority
                    && (guarantee >= j.spec.cpus - 1e-9 || borrowed >= n.cpus - 1e-9)
                    && spare_s(ctx, j).is_some();
                let reclaim = n.team != j.team
                    && guarantee >= j.spec.cpus - 1e-9
                    && borrowed >= n.cpus - 1e-9;
                if !lower && !reclaim {
                    continue;
                }
                let Some(e) = self.machines.get_mut(&machine).and_then(|m| m.entries.get_mut(&key))
                else {
                    continue;
                };
                e.stop = n.save_s.map(|s| s + 1.0);
                e.stop_sent = None;
                want -= n.cpus;
                guarantee -= n.cpus;
                *freed.entry(n.team).or_default() += n.cpus;
                stopped += 1;
                cleared = true;
            }
            if cleared {
                self.reserved.insert(*id, ctx.now + ctx.cfg.lease_ms);
            }
        }
        if stopped > 0 {
            calls.log(Level::Debug, "preempted", format!("tasks={stopped}"));
        }
    }

    // ---- the cloud ----

    /// What the work at hand asks of each type: machines that it could use now, and
    /// CPU-seconds left by the owners' estimates. A job counts for the type that runs
    /// its tasks at the least price.
    fn demand(&self, ctx: &Ctx) -> Vec<Demand> {
        let mut out = vec![Demand::default(); ctx.types.len()];
        let mut left: Vec<f64> = ctx.cfg.teams.iter().map(|t| t.cpus_max).collect();
        for j in self.jobs.values().filter(|j| j.ended.is_none()) {
            let price = |t: &MachineType| t.price / t.holds(&j.spec) as f64;
            let fit = ctx.types.iter().enumerate();
            let fit = fit.filter(|(_, t)| t.allowed(&j.spec) && t.holds(&j.spec) > 0);
            let Some((i, t)) = fit.min_by(|a, b| price(a.1).total_cmp(&price(b.1))) else {
                continue;
            };
            let open = j.spec.tasks.saturating_sub(j.done.count());
            let n = open.min(fits(left[j.team], j.spec.cpus));
            left[j.team] -= n as f64 * j.spec.cpus;
            out[i].machines += n as f64 / t.holds(&j.spec) as f64;
            // Running tasks are half done on the average.
            let tasks = j.pending() as f64 + j.placed.len() as f64 / 2.0;
            let cpus = (tasks * j.spec.cpus).min(ctx.cfg.teams[j.team].cpus_max);
            out[i].work += cpus * j.spec.estimate_s.max(1.0);
        }
        out
    }

    /// Machines of this kind that jobs with wishes of their own still lack: few
    /// machines may be of a type, zone and kind that such a job allows.
    fn lacking(&self, ctx: &Ctx, live: &[&Machine], kind: &Kind) -> usize {
        let Some(i) = Self::type_index(ctx.types, &kind.machine_type) else { return 0 };
        let t = &ctx.types[i];
        let wishes = |s: &JobSpec| !s.spot || s.zone.is_some() || s.types.is_some();
        let fits_kind = |s: &JobSpec, ty: &MachineType, zone: &str, spot: bool| {
            (s.spot || !spot)
                && s.zone.as_deref().is_none_or(|z| z == zone)
                && ty.allowed(s)
                && ty.holds(s) > 0
        };
        let mut most = 0;
        for j in self.jobs.values().filter(|j| j.pending() > 0 && wishes(&j.spec)) {
            if !fits_kind(&j.spec, t, &kind.zone, kind.spot) {
                continue;
            }
            let open = j.spec.tasks.saturating_sub(j.done.count());
            let need = open.div_ceil(t.holds(&j.spec)) as usize;
            let ok = |m: &&&Machine| {
                Self::type_index(ctx.types, &m.machine_type)
                    .is_some_and(|i| fits_kind(&j.spec, &ctx.types[i], &m.zone, m.spot))
            };
            most = most.max(need.saturating_sub(live.iter().filter(ok).count()));
        }
        most
    }

    fn cloud(&mut self, ctx: &Ctx, calls: &mut Calls) {
        if !ctx.entitled || ctx.types.is_empty() {
            return;
        }
        let timeout = ctx.cfg.lease_ms / 2;
        if !self.rental.list_in_flight
            && ctx.now >= self.rental.next_list
            && calls.cloud.take(ctx.now, 1.0, Class::Rest)
        {
            let after =
                self.rental.listing.as_ref().and_then(|l| l.last()).map(|m| m.machine.to_string());
            self.rental.list_in_flight = true;
            calls.cloud(Purpose::List { token: self.token }, CloudOp::List { after }, timeout);
        }
        self.returns(ctx, calls, timeout);
        if ctx.now >= self.rental.next_plan {
            self.rental.next_plan = ctx.now + ctx.cfg.report_ms / 2;
            self.plan(ctx, calls);
        }
        if self.rental.in_flight || ctx.now < self.rental.not_before {
            return;
        }
        if let Some(r) = &self.rental.pending {
            if calls.cloud.take(ctx.now, 1.0, Class::Door) {
                self.rental.in_flight = true;
                let call = CloudOp::Rent {
                    requisition: r.requisition.clone(),
                    machine_type: r.kind.machine_type.clone(),
                    zone: r.kind.zone.clone(),
                    spot: r.kind.spot,
                    count: r.count,
                };
                calls.cloud(Purpose::Rent { token: self.token }, call, timeout);
            }
        }
    }

    /// Decides on renting more or giving back. The settings do not say whether money
    /// is an aim, so it always counts: the summed guarantees are held ready on the
    /// cheapest machines, and a dearer one must find work for its boot time, as many
    /// times as it is dearer.
    fn plan(&mut self, ctx: &Ctx, calls: &mut Calls) {
        let per_cpu = |t: &MachineType, spot: bool| {
            let price = if spot { t.spot_price.min(t.price) } else { t.price };
            price / t.cpus.max(1e-9)
        };
        let all = ctx.types.iter().enumerate();
        let Some((cheap, _)) = all.min_by(|a, b| per_cpu(a.1, true).total_cmp(&per_cpu(b.1, true)))
        else {
            return;
        };
        let cheapest = per_cpu(&ctx.types[cheap], true).max(1e-9);
        let guaranteed: f64 = ctx.cfg.teams.iter().map(|t| t.cpus).sum();
        let limits: f64 = ctx.cfg.teams.iter().map(|t| t.cpus_max).sum();
        let mut wants: Vec<Want> = Vec::new();
        // What is held ready follows the work of late, so that nothing idles at the end.
        let demand = self.demand(ctx);
        let fade = (ctx.now - self.peak_at) as f64 / (ctx.cfg.policy.idle_s * 3000.0).max(1.0);
        self.peak_at = ctx.now;
        self.peak = (self.peak.min(limits) * (-fade).exp()).max(demand[cheap].machines);
        for (i, (d, t)) in demand.iter().zip(ctx.types).enumerate() {
            let cpus = t.cpus.max(1e-9);
            let ready = if i == cheap { guaranteed * ctx.cfg.policy.headroom / cpus } else { 0.0 };
            let ready = ready.min(self.peak);
            let target = d.machines.max(ready).min(limits / cpus).ceil() as usize;
            for spot in [false, true] {
                let ratio = (per_cpu(t, spot) / cheapest).max(1.0);
                let pays = d.work / (t.boot_s.max(1.0) * ratio * cpus);
                let kept = if ratio < DEAR { ready } else { 0.0 };
                let most = target.min(pays.max(kept).ceil() as usize);
                let name = t.name.clone();
                let ready = ready.ceil() as usize;
                wants.push(Want { name, spot, ratio, ready, target, most });
            }
        }
        let live: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.returning == Returning::No && !m.notice(ctx.now) && m.faults < FAULTY)
            .collect();
        let mut have: BTreeMap<String, usize> = BTreeMap::new();
        let mut fleet: BTreeMap<Kind, usize> = BTreeMap::new();
        for m in &live {
            *have.entry(m.machine_type.clone()).or_default() += 1;
            let (machine_type, zone) = (m.machine_type.clone(), m.zone.clone());
            *fleet.entry(Kind { machine_type, zone, spot: m.spot }).or_default() += 1;
        }
        let count = |name: &str| have.get(name).copied().unwrap_or(0);
        if self.rental.pending.is_none() {
            let kinds = self.rental.kinds(ctx.types, |k| fleet.get(k).copied().unwrap_or(0));
            let short = |k: &Kind| {
                let want = wants.iter().find(|w| w.name == k.machine_type && w.spot == k.spot);
                let most = want.map_or(0, |w| w.most);
                most.saturating_sub(count(&k.machine_type)).max(self.lacking(ctx, &live, k))
            };
            // What is rented beyond a cut cannot be reached.
            let open = kinds
                .into_iter()
                .filter(|k| self.rental.open(k, ctx.now) && !self.cut_until.contains_key(&k.zone));
            if let Some((kind, n)) =
                open.map(|k| (short(&k), k)).find(|(n, _)| *n > 0).map(|(n, k)| (k, n))
            {
                self.rental.counter += 1;
                self.rental.pending = Some(Request {
                    // Never used again: the token is this reign's alone.
                    requisition: format!("r-{}-{}", self.token.0, self.rental.counter),
                    kind,
                    count: n.min(RENT_MOST) as u32,
                    tries: 0,
                });
            }
        }
        let dear = |w: &Want| {
            let spare = count(&w.name).saturating_sub((w.most * 2).max(w.ready));
            if w.ratio >= DEAR {
                spare
            } else {
                0
            }
        };
        // Work comes in waves: only what was too much for longer than a machine takes
        // to find work for its boot goes back.
        let since = match wants.iter().any(|w| dear(w) > 0) {
            true => *self.surplus_since.get_or_insert(ctx.now),
            false => {
                self.surplus_since = None;
                ctx.now
            }
        };
        for w in &wants {
            // Dearer machines take no more work once renting half of them would not pay.
            let boot_ms =
                ctx.types.iter().find(|t| t.name == w.name).map_or(0.0, |t| t.boot_s) * 1000.0;
            let lasting = (ctx.now - since) as f64 >= boot_ms;
            let mut surplus = if lasting { dear(w) } else { 0 };
            // Idle machines go back, the dearer ones first and sooner.
            let mut spare = count(&w.name).saturating_sub(w.target);
            let idle_ms = (ctx.cfg.policy.idle_s * 1000.0 / w.ratio) as Ms;
            let ours = |m: &&mut Machine| m.machine_type == w.name && m.spot == w.spot;
            for m in self.machines.values_mut().filter(ours) {
                if !m.empty() || m.last_checkin.is_none() {
                    m.idle_since = None;
                }
                let up = m.last_checkin.is_some() && m.returning == Returning::No;
                let idle =
                    up && m.empty() && ctx.now >= *m.idle_since.get_or_insert(ctx.now) + idle_ms;
                let why = if idle && spare > 0 {
                    "idle"
                } else if up && surplus > 0 {
                    "dear"
                } else {
                    continue;
                };
                spare = spare.saturating_sub(1);
                surplus = surplus.saturating_sub(1);
                m.returning = Returning::Draining;
                calls.log(Level::Info, "machine_drain", format!("machine={} why={why}", m.id));
            }
        }
    }

    /// Gives back what is drained, failed or lost.
    fn returns(&mut self, ctx: &Ctx, calls: &mut Calls, timeout: Ms) {
        if self.rental.release_in_flight || ctx.now < self.rental.release_not_before {
            return;
        }
        let boot_ms = ctx.types.iter().map(|t| t.boot_s).fold(1.0, f64::max) * 1000.0;
        let lag = ctx.cfg.list_lag_ms;
        self.note_cuts(ctx);
        let mut go = Vec::new();
        for m in self.machines.values_mut() {
            let age = ctx.now - m.known_since;
            let seen = m.listed.is_some_and(|(_, at)| ctx.now <= at + lag * 4 + 4000);
            let failed = matches!(m.listed, Some((ListedState::Failed, _)));
            let up = m.last_checkin.is_some() && !m.lapsed;
            let silence = ctx.now - m.last_checkin.unwrap_or(m.known_since);
            let cut = self.cut_until.contains_key(&m.zone);
            let why = if up && m.returning != Returning::No && m.empty() && !m.notice(ctx.now) {
                "drained"
            } else if up && m.faults >= FAULTY && m.empty() {
                "faulty"
            } else if up || !m.accounted {
                continue;
            } else if failed {
                "failed"
            } else if !seen && silence > ctx.cfg.lease_ms + lag * 4 + 4000 && age > lag * 4 + 4000 {
                "gone"
            } else if m.last_checkin.is_some() && !cut && silence > ctx.cfg.lease_ms * 3 {
                "silent"
            } else if m.last_checkin.is_none()
                && !cut
                && age as f64 > boot_ms * 4.0 + 2.0 * ctx.cfg.lease_ms as f64
            {
                "never up"
            } else if silence > ctx.cfg.lease_ms * 12 {
                "silent for long"
            } else {
                continue;
            };
            m.returning = Returning::Releasing;
            go.push(m.id.clone());
            calls.log(Level::Info, "machine_return", format!("machine={} why={why:?}", m.id));
            if go.len() >= 100 {
                break;
            }
        }
        if go.is_empty() {
            return;
        }
        if !calls.cloud.take(ctx.now, 1.0, Class::Completion) {
            return;
        }
        self.rental.release_in_flight = true;
        let purpose = Purpose::Release { token: self.token, machines: go.clone() };
        calls.cloud(purpose, CloudOp::Release(go), timeout);
    }

    /// Zones most of whose machines went silent: cut off rather than broken. They
    /// count as such for a while after, since their machines come back one by one.
    fn note_cuts(&mut self, ctx: &Ctx) {
        let mut count: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.last_checkin.is_some()) {
            let c = count.entry(&m.zone).or_default();
            c.0 += 1;
            c.1 += m.lapsed as usize;
        }
        for (zone, (n, lapsed)) in count {
            if n > 2 && lapsed * 2 > n {
                self.cut_until.insert(zone.to_string(), ctx.now + ctx.cfg.lease_ms);
            }
        }
        self.cut_until.retain(|_, until| *until > ctx.now);
    }

    /// Whether this node seems to have lost the workers: most of those that reported to
    /// it went silent, in its own zone too, well before their leases end.
    pub fn lost_workers(&self, ctx: &Ctx) -> bool {
        let silent_after = ctx.cfg.lease_ms * 2 / 5;
        let (mut all, mut silent, mut near, mut near_silent) = (0, 0, 0, 0);
        for m in self.machines.values().filter(|m| m.returning == Returning::No) {
            let Some(at) = m.last_checkin else { continue };
            let is_silent = (ctx.now > at + silent_after) as usize;
            all += 1;
            silent += is_silent;
            if m.zone == ctx.cfg.zone {
                near += 1;
                near_silent += is_silent;
            }
        }
        all > 2 && silent * 3 > all * 2 && near_silent * 3 >= near * 2
    }

    /// Leaves word of the zone with the most machines.
    fn note_home(&mut self) {
        let mut count: BTreeMap<&str, usize> = BTreeMap::new();
        for m in self.machines.values() {
            *count.entry(&m.zone).or_default() += 1;
        }
        let home = count.into_iter().max_by_key(|(_, n)| *n).map(|(z, _)| z.to_string());
        if home.is_some() && home != self.home {
            self.home = home;
            self.home_due = true;
        }
    }

    pub fn rent_answer(&mut self, ctx: &Ctx, calls: &mut Calls, reply: CloudReply) {
        self.rental.in_flight = false;
        let Some(mut r) = self.rental.pending.take() else { return };
        match reply {
            CloudReply::Rented(ids) => {
                let detail = format!(
                    "zone={} spot={} asked={} got={}",
                    r.kind.zone,
                    r.kind.spot,
                    r.count,
                    ids.len()
                );
                calls.log(Level::Info, "rented", detail);
                if ids.len() < r.count as usize {
                    self.rental.refuse(r.kind.clone(), ctx.now + self.refusal_ms(ctx));
                }
                for id in ids {
                    if self.machines.contains_key(&id) || self.returned.contains(&id) {
                        continue;
                    }
                    let k = &r.kind;
                    let m = Machine::new(id.clone(), &k.machine_type, &k.zone, k.spot, ctx.now);
                    self.machines.insert(id.clone(), m);
                    self.enroll(ctx, &id);
                }
            }
            CloudReply::NoCapacity => {
                let until = ctx.now + self.refusal_ms(ctx);
                self.rental.refuse(r.kind, until);
            }
            _ => {
                // The outcome is unknown: the same name is asked again, so that what
                // was rented is learnt and nothing is rented twice.
                r.tries += 1;
                self.rental.not_before = ctx.now + ctx.cfg.lease_ms / 10;
                if r.tries < 30 {
                    self.rental.pending = Some(r);
                }
            }
        }
    }

    fn refusal_ms(&self, ctx: &Ctx) -> Ms {
        ctx.cfg.lease_ms
    }

    pub fn release_answer(
        &mut self,
        ctx: &Ctx,
        calls: &mut Calls,
        machines: Vec<MachineId>,
        reply: CloudReply,
    ) {
        self.rental.release_in_flight = false;
        if reply == CloudReply::Released {
            for id in machines {
                self.strike(ctx, calls, &id);
            }
        } else {
            // They stay marked: a release that was given up may still be carried out.
            self.rental.release_not_before = ctx.now + ctx.cfg.lease_ms / 10;
        }
    }

    pub fn list_answer(&mut self, ctx: &Ctx, calls: &mut Calls, reply: CloudReply) {
        self.rental.list_in_flight = false;
        let CloudReply::Listed { machines, more } = reply else {
            self.rental.next_list = ctx.now + ctx.cfg.lease_ms / 10;
            self.rental.listing = None;
            return;
        };
        let mut all = self.rental.listing.take().unwrap_or_default();
        all.extend(machines);
        if more && all.len() < 20_000 {
            self.rental.listing = Some(all);
            self.rental.next_list = ctx.now;
            return;
        }
        self.rental.next_list = ctx.now + (ctx.cfg.list_lag_ms / 2).max(1000);
        for l in all {
            if self.returned.contains(&l.machine) {
                continue;
            }
            if let Some(m) = self.machines.get_mut(&l.machine) {
                m.listed = Some((l.state, ctx.now));
                if m.endpoint.is_empty() {
                    m.endpoint = l.endpoint;
                }
                continue;
            }
            // Rented by an earlier leader, or carried out late.
            let mut m = Machine::new(l.machine.clone(), &l.machine_type, &l.zone, l.spot, ctx.now);
            m.endpoint = l.endpoint;
            m.listed = Some((l.state, ctx.now));
            m.known_since = ctx.now.saturating_sub((l.age_s.clamp(0.0, 1e6) * 1000.0) as Ms);
            calls.log(Level::Info, "machine_found", format!("machine={}", l.machine));
            self.machines.insert(l.machine.clone(), m);
            self.enroll(ctx, &l.machine);
        }
    }
}
