//! The core against stand-ins of the state service, the cloud, workers and users,
//! with crashes, cuts, late messages, outages and hangs. Each rule is checked here,
//! by the world and not by the core. Seeds are fixed: the verdict is always the same.

use basaltrail_core::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const LEASE: u64 = 10_000;
const REPORT: u64 = 1_000;
const CANCEL: u64 = 30_000;
const LIST_LAG: u64 = 3_000;
/// What a worker waits for a response.
const PATIENCE: u64 = 4_000;
const CPUS: f64 = 8.0;
const NODES: usize = 3;
const ZONES: [&str; 2] = ["a", "b"];
/// The last team is a guest: no guarantee and no limit.
const CPUS_MAX: [f64; 3] = [24.0, 40.0, f64::INFINITY];
/// Once the troubles are over, a job is spoken of within this.
const KNOWN: u64 = 75_000;
const FAULTS_END: u64 = 160_000;
const DAY: u64 = 420_000;

fn settings(node: usize, incarnation: u64) -> Settings {
    let team = |i: usize| Team {
        name: format!("t{i}"),
        cpus: if CPUS_MAX[i].is_finite() { CPUS_MAX[i] / 2.0 } else { 0.0 },
        cpus_max: CPUS_MAX[i],
        gpus: 0.0,
        gpus_max: 0.0,
    };
    Settings {
        node: format!("n{node}"),
        zone: ZONES[node % 2].into(),
        nodes: NODES,
        zones: ZONES.map(String::from).to_vec(),
        peer_zones: (0..NODES).filter(|n| *n != node).map(|n| ZONES[n % 2].into()).collect(),
        teams: (0..CPUS_MAX.len()).map(team).collect(),
        objectives: vec![Objective::Finished { class: "c".into(), within_s: 60.0 }],
        report_ms: REPORT,
        lease_ms: LEASE,
        cancel_ms: CANCEL,
        state_rps: 120.0,
        write_rps: 40.0,
        value_bytes: 1024,
        txn_ops: 12,
        cloud_rps: 5.0,
        list_lag_ms: LIST_LAG,
        memory_mb: 56.0,
        machines_most: 5_000,
        incarnation,
        policy: Policy::default(),
    }
}

#[derive(Clone)]
struct Kept {
    value: String,
    stamp: u64,
    loan: Option<u64>,
}

/// The state service.
#[derive(Default)]
struct Store {
    keys: BTreeMap<String, Kept>,
    revision: u64,
    log: Vec<(u64, Event)>,
    loans: BTreeMap<u64, (u64, u64)>, // life, end
    next_loan: u64,
    down_until: u64,
    watches: Vec<(usize, u64, OpId, String, u64, u64)>,
}

impl Store {
    fn remove(&mut self, key: &str, revision: u64) {
        if self.keys.remove(key).is_some() {
            self.log.push((revision, Event::Remove { key: key.into(), stamp: revision }));
        }
    }

    fn expire(&mut self, t: u64) {
        let over: Vec<u64> =
            self.loans.iter().filter(|(_, (_, e))| *e <= t).map(|(l, _)| *l).collect();
        for loan in over {
            self.end(loan);
        }
    }

    fn end(&mut self, loan: u64) {
        self.loans.remove(&loan);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, k)| k.loan == Some(loan))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key, self.revision);
        }
    }

    fn item(&self, key: &str) -> Option<Item> {
        let k = self.keys.get(key)?;
        Some(Item { key: key.into(), value: k.value.clone(), stamp: k.stamp, loan: k.loan })
    }

    fn news(&self, prefix: &str, after: u64) -> Vec<Event> {
        let key = |e: &Event| match e {
            Event::Put(i) => i.key.clone(),
            Event::Remove { key, .. } => key.clone(),
        };
        let new = self.log.iter().filter(|(r, e)| *r > after && key(e).starts_with(prefix));
        new.map(|(_, e)| e.clone()).collect()
    }

    fn carry_out(&mut self, t: u64, op: &StateOp) -> StateReply {
        self.expire(t);
        match op {
            StateOp::Get(key) => self.item(key).map_or(StateReply::Missing, StateReply::Found),
            StateOp::List { prefix, after, limit } => {
                let from = after.as_deref().unwrap_or("");
                let mut keys =
                    self.keys.keys().filter(|k| k.starts_with(prefix) && k.as_str() > from);
                let some: Vec<&String> = keys.by_ref().take((*limit).min(20) as usize).collect();
                let more = keys.next().is_some();
                let items = some.iter().filter_map(|k| self.item(k)).collect();
                StateReply::Rows { items, more, revision: self.revision }
            }
            StateOp::Txn { conds, puts, removes } => {
                assert!(
                    puts.len() + removes.len() <= 12 && conds.len() <= 48,
                    "a transaction is too large"
                );
                if puts.iter().any(|p| p.loan.is_some_and(|l| !self.loans.contains_key(&l))) {
                    return StateReply::Refused;
                }
                let stamp = |k: &String| self.keys.get(k).map_or(0, |k| k.stamp);
                let failed: Vec<String> =
                    conds.iter().filter(|(k, s)| stamp(k) != *s).map(|(k, _)| k.clone()).collect();
                if !failed.is_empty() {
                    return StateReply::Conflict { failed };
                }
                if !puts.is_empty() || !removes.is_empty() {
                    self.revision += 1;
                }
                for p in puts {
                    assert!(p.value.len() <= 1024, "a value is too long: {}", p.key);
                    let k = Kept { value: p.value.clone(), stamp: self.revision, loan: p.loan };
                    self.keys.insert(p.key.clone(), k);
                    let item = self.item(&p.key).unwrap();
                    self.log.push((self.revision, Event::Put(item)));
                }
                for key in removes {
                    self.remove(key, self.revision);
                }
                StateReply::Committed { revision: self.revision }
            }
            StateOp::Grant { ttl_ms } => {
                self.next_loan += 1;
                self.loans.insert(self.next_loan, (*ttl_ms, t + ttl_ms));
                StateReply::Granted { loan: self.next_loan }
            }
            StateOp::Extend { loan } => match self.loans.get_mut(loan) {
                Some((life, end)) => {
                    *end = t + *life;
                    StateReply::Ok
                }
                None => StateReply::Missing,
            },
            StateOp::Revoke { loan } => {
                let known = self.loans.contains_key(loan);
                self.end(*loan);
                if known {
                    StateReply::Ok
                } else {
                    StateReply::Missing
                }
            }
            StateOp::Watch { .. } => unreachable!(),
        }
    }
}

#[derive(Clone, Debug)]
struct Running {
    state: TaskState,
    /// When the present state is over.
    until: u64,
    progress_until: u64,
}

/// One machine and its worker.
struct Worker {
    zone: usize,
    spot: bool,
    up_at: u64,
    alive: bool,
    session: u64,
    seq: u64,
    token: Token,
    renewed: u64,
    tasks: BTreeMap<(TaskId, Attempt), Running>,
    to: usize,
    waiting: Option<(u64, u64)>,
    next_report: u64,
    hangs_until: u64,
    /// Its reports arrive, answers to them do not.
    deaf_until: u64,
    rented: u64,
    /// When it stopped by itself: it stays listed.
    died: Option<u64>,
    /// When it was returned or taken: it is listed no more.
    gone: Option<u64>,
    /// Every task fails there.
    faulty: bool,
    /// When the cloud takes it back, and whether it says so before.
    taken_at: Option<u64>,
    noticed: bool,
}

impl Worker {
    fn end(&mut self, t: u64) {
        self.alive = false;
        self.tasks.clear();
        self.gone.get_or_insert(t);
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Told {
    Nothing,
    Accepted,
    Done,
    Cancelled(u64),
}

struct User {
    job: JobId,
    spec: JobSpec,
    at: u64,
    cancel_at: Option<u64>,
    /// Submitted with a mistake: its tasks fail everywhere.
    broken: bool,
    told: Told,
    asked_to_cancel: bool,
    done: BTreeSet<u32>,
    asks: u64,
    /// Until when it waits for the answer to its request; what comes later nobody hears.
    waits_until: u64,
    /// When a question about the job was last answered, and its first task began.
    answered: u64,
    begun: Option<u64>,
}

enum Msg {
    Tick,
    Input(Input),
    State(OpId, StateOp),
    Cloud(OpId, CloudOp),
    Report(MachineIdx, ReqId, Report),
    Orders(MachineIdx, u64, u64, Answer),
    User(usize),
    Answer(usize, Answer),
}

type MachineIdx = usize;

struct Controller {
    node: Option<Node>,
    epoch: u64,
    born: u64,
    drift: f64,
    /// Cut off from the state service, and whether what is sent is held or lost.
    state_cut: Option<(u64, bool)>,
    refused_until: u64,
    /// It stands still from its next step to then, with what it has built and not sent;
    /// its clocks run on.
    freezes_until: u64,
    frozen_until: u64,
    /// Cut off from the cloud and the users too.
    island_until: u64,
    /// Cut off from the workers, and whether what is sent is held or lost.
    workers_cut: Option<(u64, bool)>,
}

struct World {
    t: u64,
    n: u64,
    rng: SmallRng,
    queue: BTreeMap<(u64, u64), (usize, u64, Msg)>,
    nodes: Vec<Controller>,
    store: Store,
    workers: Vec<Worker>,
    requisitions: BTreeMap<String, Vec<MachineId>>,
    users: Vec<User>,
    /// Who asked: a worker and the number of its report, or a user and how long it waits.
    reqs: BTreeMap<ReqId, (bool, usize, u64)>,
    next_req: u64,
    zone_cut: Option<(u64, bool)>,
    /// Machines rented in a zone come late or never until then.
    boot_trouble: (usize, u64),
    /// Users ask many times as often until then.
    storm_until: u64,
    /// When whoever leads then comes to stand: the successor of one that did.
    next_freeze: u64,
    broken: Vec<String>,
    started: u64,
    /// When the last trouble is over.
    quiet_at: u64,
}

fn machine(i: usize) -> MachineId {
    MachineId(format!("m-{i:06}").into())
}

impl User {
    fn new(job: u64, spec: JobSpec, at: u64, cancel_at: Option<u64>) -> Self {
        User {
            job: JobId(job),
            spec,
            at,
            cancel_at,
            broken: false,
            told: Told::Nothing,
            asked_to_cancel: false,
            done: BTreeSet::new(),
            asks: 0,
            waits_until: 0,
            answered: 0,
            begun: None,
        }
    }
}

impl World {
    /// Jobs of all sorts, for days of faults.
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let users = (0..40)
            .map(|i| {
                let at = rng.random_range(2_000..FAULTS_END + 20_000);
                let team = rng.random_range(0..CPUS_MAX.len());
                let spec = JobSpec {
                    class: "c".into(),
                    team: format!("t{team}"),
                    priority: if rng.random_bool(0.5) { Priority::Normal } else { Priority::Low },
                    tasks: rng.random_range(1..14),
                    cpus: [1.0, 2.0, 4.0][rng.random_range(0..3)],
                    gpus: 0.0,
                    memory_gb: 1.0,
                    types: None,
                    zone: rng.random_bool(0.1).then(|| "a".into()),
                    one_zone: rng.random_bool(0.15),
                    spread: rng.random_bool(0.15),
                    spot: rng.random_bool(0.7),
                    image: format!("i{}", i % 3),
                    image_gb: 1.0,
                    estimate_s: 10.0,
                    checkpoint_s: if rng.random_bool(0.5) { 5.0 } else { 0.0 },
                    save_s: 2.0,
                    deadline_s: None,
                };
                let cancel = rng.random_bool(0.2).then(|| at + rng.random_range(1_000..40_000));
                let mut user = User::new(1000 + i, spec, at, cancel);
                if rng.random_bool(0.08) {
                    user.broken = true;
                    user.cancel_at = Some(at + rng.random_range(20_000..120_000));
                }
                user
            })
            .collect();
        World::with(rng, users)
    }

    fn with(rng: SmallRng, users: Vec<User>) -> Self {
        let mut w = World {
            t: 0,
            n: 0,
            rng,
            queue: BTreeMap::new(),
            nodes: (0..NODES)
                .map(|i| Controller {
                    node: None,
                    epoch: 0,
                    born: 0,
                    drift: 1.0 + [0.0005, -0.0005, 0.0][i],
                    state_cut: None,
                    refused_until: 0,
                    freezes_until: 0,
                    frozen_until: 0,
                    island_until: 0,
                    workers_cut: None,
                })
                .collect(),
            store: Store::default(),
            workers: Vec::new(),
            requisitions: BTreeMap::new(),
            users,
            reqs: BTreeMap::new(),
            next_req: 0,
            zone_cut: None,
            boot_trouble: (0, 0),
            storm_until: 0,
            next_freeze: u64::MAX,
            broken: Vec::new(),
            started: 0,
            quiet_at: FAULTS_END,
        };
        for i in 0..NODES {
            w.boot(i);
        }
        for i in 0..w.users.len() {
            w.send(w.users[i].at, usize::MAX, 0, Msg::User(i));
        }
        w
    }

    fn send(&mut self, at: u64, node: usize, epoch: u64, msg: Msg) {
        self.n += 1;
        self.queue.insert((at, self.n), (node, epoch, msg));
    }

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(0.02) {
            self.rng.random_range(50..400)
        } else {
            self.rng.random_range(1..8)
        }
    }

    /// Whether a message comes once more, later: while there are troubles.
    fn copied(&mut self) -> bool {
        self.t < FAULTS_END && self.rng.random_bool(0.03)
    }

    fn boot(&mut self, i: usize) {
        let incarnation = self.rng.random();
        let c = &mut self.nodes[i];
        c.epoch += 1;
        c.born = self.t;
        c.node = Some(Node::new(Arc::new(settings(i, incarnation)), incarnation));
        let epoch = c.epoch;
        self.send(self.t, i, epoch, Msg::Tick);
    }

    fn rule(&mut self, what: String) {
        self.broken.push(format!("{} ms: {what}", self.t));
    }

    // ---- nodes ----

    fn step(&mut self, i: usize, input: Input) {
        let c = &mut self.nodes[i];
        let now = ((self.t - c.born) as f64 * c.drift) as u64;
        let Some(node) = c.node.as_mut() else { return };
        let effects = node.step(now, self.t as i64, input);
        let epoch = c.epoch;
        if c.freezes_until > self.t {
            c.frozen_until = std::mem::take(&mut c.freezes_until);
        }
        // What is built in the step in which it comes to stand goes out when it goes on.
        let goes = self.t.max(c.frozen_until);
        let island = c.island_until;
        for e in effects {
            match e {
                Effect::Answer { req, answer } => {
                    let Some((worker, who, n)) = self.reqs.remove(&req) else { continue };
                    let at = goes + self.delay();
                    if worker {
                        let at = self.between(i, who, at);
                        let sent = self.workers[who].session;
                        self.send(at, usize::MAX, 0, Msg::Orders(who, sent, n, answer));
                    } else if goes >= island && at <= n {
                        self.send(at, usize::MAX, 0, Msg::Answer(who, answer));
                    }
                }
                Effect::State { op, call, timeout_ms } => {
                    let unknown = Input::State { op, reply: StateReply::Unknown };
                    self.send(self.t + timeout_ms, i, epoch, Msg::Input(unknown));
                    let mut at = goes + self.delay();
                    // A transaction is carried out twice; nobody hears of the second.
                    if matches!(call, StateOp::Txn { .. }) && self.copied() {
                        let at = self.t + self.rng.random_range(5..30_000);
                        self.send(at, i, epoch, Msg::State(OpId(u64::MAX), call.clone()));
                    }
                    if let Some((until, held)) = self.nodes[i].state_cut {
                        if !held {
                            continue;
                        }
                        at = at.max(until + self.delay()); // carried out late
                    }
                    self.send(at, i, epoch, Msg::State(op, call));
                }
                Effect::Cloud { op, call, timeout_ms } => {
                    self.send(
                        self.t + timeout_ms,
                        i,
                        epoch,
                        Msg::Input(Input::Cloud { op, reply: CloudReply::Failed }),
                    );
                    // Now and then a rental or release is carried out much later.
                    let late =
                        if self.t < FAULTS_END && self.rng.random_bool(0.05) { 30_000 } else { 0 };
                    if self.copied() {
                        let at = self.t + self.rng.random_range(5..30_000);
                        self.send(at, i, epoch, Msg::Cloud(OpId(u64::MAX), call.clone()));
                    }
                    let at = goes.max(island) + 20 + self.delay() + late;
                    self.send(at, i, epoch, Msg::Cloud(op, call));
                }
                _ => {}
            }
        }
    }

    /// When a message between a node and a worker arrives.
    fn between(&mut self, node: usize, worker: usize, at: u64) -> u64 {
        let zones = self.zone_cut.filter(|_| node % 2 != self.workers[worker].zone);
        match zones.or(self.nodes[node].workers_cut) {
            Some((until, true)) => until + self.delay(),
            Some((_, false)) => u64::MAX,
            None => at,
        }
    }

    fn state(&mut self, i: usize, epoch: u64, op: OpId, call: StateOp) {
        let down = self.t < self.store.down_until || self.t < self.nodes[i].refused_until;
        if let StateOp::Watch { prefix, after, wait_ms } = call {
            self.store.watches.push((i, epoch, op, prefix, after, self.t + wait_ms));
            return self.watch();
        }
        let reply = if down { StateReply::Refused } else { self.store.carry_out(self.t, &call) };
        let at = self.t + self.delay();
        let lost = self.t < FAULTS_END && self.rng.random_bool(0.01);
        if !lost && self.nodes[i].state_cut.is_none() {
            self.send(at, i, epoch, Msg::Input(Input::State { op, reply }));
        }
        self.watch();
    }

    fn watch(&mut self) {
        let t = self.t;
        if t < self.store.down_until {
            return;
        }
        let watches = std::mem::take(&mut self.store.watches);
        for (i, epoch, op, prefix, after, until) in watches {
            let events = self.store.news(&prefix, after);
            let shut = self.nodes[i].state_cut.is_some() || t < self.nodes[i].refused_until;
            if shut || (events.is_empty() && t < until) {
                if t < until + 60_000 {
                    self.store.watches.push((i, epoch, op, prefix, after, until));
                }
                continue;
            }
            let reply = StateReply::Events { revision: self.store.revision, events };
            let at = t + self.delay();
            self.send(at, i, epoch, Msg::Input(Input::State { op, reply }));
        }
    }

    fn cloud(&mut self, i: usize, epoch: u64, op: OpId, call: CloudOp) {
        let reply = match call {
            CloudOp::Types => CloudReply::Types(vec![MachineType {
                name: "x".into(),
                cpus: CPUS,
                gpus: 0.0,
                memory_gb: 64.0,
                cache_gb: 50.0,
                fetch_gb_per_s: 1.0,
                price: 1.0,
                spot_price: 0.4,
                boot_s: 8.0,
                zones: ZONES.map(String::from).to_vec(),
            }]),
            CloudOp::Rent { requisition, zone, spot, count, .. } => {
                if let Some(done) = self.requisitions.get(&requisition) {
                    CloudReply::Rented(done.clone())
                } else {
                    let z = ZONES.iter().position(|x| *x == zone).unwrap();
                    let have = self
                        .workers
                        .iter()
                        .filter(|w| w.alive && w.zone == z && w.spot == spot)
                        .count();
                    let n = (count as usize).min(3usize.saturating_sub(have));
                    let mut ids = Vec::new();
                    for _ in 0..n {
                        let trouble = z == self.boot_trouble.0 && self.t < self.boot_trouble.1;
                        let boot = if self.rng.random_bool(if trouble { 0.4 } else { 0.02 }) {
                            DAY // never
                        } else if trouble {
                            self.rng.random_range(20_000..50_000)
                        } else if self.rng.random_bool(0.2) {
                            1_000
                        } else {
                            self.rng.random_range(5_000..12_000)
                        };
                        let up_at = self.t + boot;
                        ids.push(machine(self.workers.len()));
                        self.workers.push(Worker {
                            zone: z,
                            spot,
                            up_at,
                            alive: true,
                            session: 1,
                            seq: 0,
                            token: Token(0),
                            renewed: up_at,
                            tasks: BTreeMap::new(),
                            to: self.rng.random_range(0..NODES),
                            waiting: None,
                            next_report: up_at,
                            hangs_until: 0,
                            deaf_until: 0,
                            rented: self.t,
                            died: None,
                            gone: None,
                            faulty: self.rng.random_bool(0.04),
                            taken_at: None,
                            noticed: false,
                        });
                    }
                    if n == 0 {
                        CloudReply::NoCapacity
                    } else {
                        self.requisitions.insert(requisition, ids.clone());
                        CloudReply::Rented(ids)
                    }
                }
            }
            CloudOp::Release(ids) => {
                for (m, w) in self.workers.iter_mut().enumerate() {
                    if ids.contains(&machine(m)) {
                        w.end(self.t);
                    }
                }
                CloudReply::Released
            }
            CloudOp::List { .. } => {
                // It tells of any time within two lags, so it may be older than the last one.
                let t = self.t.saturating_sub(self.rng.random_range(0..=2 * LIST_LAG));
                let there = |w: &Worker| w.rented <= t && w.gone.is_none_or(|g| g > t);
                let seen = self.workers.iter().enumerate().filter(|(_, w)| there(w));
                let machines = seen
                    .map(|(m, w)| ListedMachine {
                        machine: machine(m),
                        endpoint: format!("e{m}"),
                        machine_type: "x".into(),
                        zone: ZONES[w.zone].into(),
                        spot: w.spot,
                        state: if w.died.is_some_and(|d| t > d + 30_000) {
                            ListedState::Failed
                        } else if t > w.up_at {
                            ListedState::Running
                        } else {
                            ListedState::Booting
                        },
                        age_s: (t - w.rented) as f64 / 1000.0,
                    })
                    .collect();
                CloudReply::Listed { machines, more: false }
            }
        };
        let at = self.t + 20 + self.delay();
        self.send(at, i, epoch, Msg::Input(Input::Cloud { op, reply }));
    }

    // ---- workers ----

    fn on_machine(r: &Running) -> bool {
        matches!(r.state, TaskState::Running | TaskState::Saving)
    }

    fn workers(&mut self) {
        for m in 0..self.workers.len() {
            let t = self.t;
            let w = &mut self.workers[m];
            if w.taken_at.is_some_and(|at| t >= at) {
                w.end(t);
            }
            if !w.alive || t < w.up_at {
                continue;
            }
            if t > w.renewed + LEASE {
                // The lease binds a hanging machine too: what it ran is over.
                w.tasks.clear();
                w.session += 1;
                w.renewed = t;
                w.waiting = None;
                w.next_report = t;
            }
            if t < w.hangs_until {
                continue;
            }
            if w.waiting.is_some_and(|(_, sent)| t > sent + PATIENCE) {
                w.waiting = None;
                w.to = (w.to + 1) % NODES;
                w.next_report = t + 1_000;
            }
            let due: Vec<(TaskId, Attempt)> =
                w.tasks.iter().filter(|(_, r)| r.until <= t).map(|(k, _)| *k).collect();
            for key in due {
                self.advance(m, key);
            }
            let w = &mut self.workers[m];
            if w.waiting.is_none() && t >= w.next_report {
                w.seq += 1;
                w.waiting = Some((w.seq, t));
                w.next_report = t + REPORT * 3 / 4 + (m as u64 * 37) % 500;
                let report = Report {
                    machine: machine(m),
                    endpoint: format!("e{m}"),
                    machine_type: "x".into(),
                    zone: ZONES[w.zone].into(),
                    spot: w.spot,
                    session: w.session,
                    seq: w.seq,
                    token: w.token,
                    notice_s: w
                        .taken_at
                        .filter(|_| w.noticed)
                        .map(|at| at.saturating_sub(t) as f64 / 1000.0),
                    tasks: w
                        .tasks
                        .iter()
                        .map(|((task, attempt), r)| TaskReport {
                            task: *task,
                            attempt: *attempt,
                            state: r.state,
                        })
                        .collect(),
                };
                let to = w.to;
                self.next_req += 1;
                let req = ReqId(self.next_req);
                let at = t + self.delay();
                let at = self.between(to, m, at);
                if self.copied() {
                    // From seconds to well over a lease late, and answered to nobody.
                    let at = t + self.rng.random_range(50..3 * LEASE);
                    let input = Input::Checkin { req: ReqId(0), report: Box::new(report.clone()) };
                    self.send(at, to, 0, Msg::Input(input));
                }
                self.send(at, to, 0, Msg::Report(m, req, report));
            }
        }
    }

    fn advance(&mut self, m: usize, key: (TaskId, Attempt)) {
        let t = self.t;
        let Some(r) = self.workers[m].tasks.get_mut(&key) else { return };
        r.until = u64::MAX;
        let task = key.0;
        let user = self.users.iter().position(|u| u.job == task.job).unwrap();
        match r.state {
            TaskState::Fetching => {
                r.state = TaskState::Running;
                r.until = r.progress_until.max(t + 1);
                if self.users[user].done.contains(&task.index) {
                    r.until = t;
                }
                self.check_start(m, user, key);
            }
            TaskState::Running => {
                let bad = self.users[user].broken || self.workers[m].faulty;
                let fails = (bad || self.rng.random_bool(0.02))
                    && !self.users[user].done.contains(&task.index);
                let why = if fails { Why::Error } else { Why::Done };
                if !fails {
                    self.users[user].done.insert(task.index);
                }
                self.workers[m].tasks.get_mut(&key).unwrap().state = TaskState::Exited(why);
                self.workers[m].next_report = t;
            }
            TaskState::Saving => {
                r.state = TaskState::Exited(Why::Stopped);
                self.workers[m].next_report = t;
            }
            TaskState::Exited(_) => {}
        }
    }

    /// The rules that a task can break by starting.
    fn check_start(&mut self, m: usize, user: usize, key: (TaskId, Attempt)) {
        self.started += 1;
        self.users[user].begun.get_or_insert(self.t);
        let task = key.0;
        let u = &self.users[user];
        let w = &self.workers[m];
        let mut bad = Vec::new();
        let mut zones = [0u32; 2];
        for (other, x) in self.workers.iter().enumerate() {
            for (k, _) in x.tasks.iter().filter(|(_, r)| Self::on_machine(r)) {
                if k.0 == task && (other, *k) != (m, key) {
                    bad.push(format!("ran_twice: {task:?} on {m} and {other}"));
                }
                if k.0.job == task.job {
                    zones[x.zone] += 1;
                }
            }
        }
        let spec = &u.spec;
        let spread = spec.spread && zones[w.zone] > spec.tasks.div_ceil(2);
        let apart = spec.one_zone && zones[1 - w.zone] > 0;
        let zone = spec.zone.as_deref().is_some_and(|z| z != ZONES[w.zone]);
        if spread || apart || zone || (w.spot && !spec.spot) {
            bad.push(format!("wrong_place: {task:?} on {m}"));
        }
        for (team, max) in CPUS_MAX.iter().enumerate() {
            let used: f64 = self
                .workers
                .iter()
                .flat_map(|w| w.tasks.iter().filter(|(_, r)| Self::on_machine(r)))
                .filter_map(|(k, _)| self.users.iter().find(|u| u.job == k.0.job))
                .filter(|u| u.spec.team == format!("t{team}"))
                .map(|u| u.spec.cpus)
                .sum();
            if used > max + 1e-9 {
                bad.push(format!("quota: team {team} uses {used}"));
            }
        }
        for b in bad {
            self.rule(b);
        }
    }

    fn orders(&mut self, m: usize, session: u64, seq: u64, answer: Answer) {
        let t = self.t;
        let w = &mut self.workers[m];
        if !w.alive {
            return;
        }
        let Some((waiting, sent)) = w.waiting else { return };
        // Late responses and those of an earlier session are dropped.
        let lost = t > sent + PATIENCE || t < w.hangs_until || t < w.deaf_until;
        if waiting != seq || session != w.session || lost {
            return;
        }
        w.waiting = None;
        let (token, orders) = match answer {
            Answer::Orders { token, orders } => (token, orders),
            Answer::Elsewhere { leader } => {
                let named = leader.and_then(|l| l[1..].parse().ok()).filter(|n| *n != w.to);
                w.next_report = t + if named.is_some() { 100 } else { 1_000 };
                w.to = named.unwrap_or((w.to + 1) % NODES);
                return;
            }
            _ => {
                w.to = (w.to + 1) % NODES;
                w.next_report = t + 1_000;
                return;
            }
        };
        if token < w.token {
            return;
        }
        if token > w.token {
            w.next_report = w.next_report.min(t + 500);
        }
        w.token = token;
        w.renewed = w.renewed.max(sent);
        for o in orders {
            let w = &mut self.workers[m];
            match o {
                Order::Start { task, attempt } => {
                    if w.tasks.contains_key(&(task, attempt)) {
                        continue;
                    }
                    let user = self.users.iter().position(|u| u.job == task.job);
                    let Some(user) = user else {
                        self.rule(format!("started a task of no job: {task:?}"));
                        continue;
                    };
                    let spec = &self.users[user].spec;
                    let used: f64 = w
                        .tasks
                        .iter()
                        .filter(|(_, r)| !matches!(r.state, TaskState::Exited(_)))
                        .filter_map(|(k, _)| self.users.iter().find(|u| u.job == k.0.job))
                        .map(|u| u.spec.cpus)
                        .sum();
                    let here = w
                        .tasks
                        .iter()
                        .any(|(k, r)| k.0 == task && !matches!(r.state, TaskState::Exited(_)));
                    let state = if here {
                        TaskState::Exited(Why::Busy)
                    } else if used + spec.cpus > CPUS + 1e-9 {
                        TaskState::Exited(Why::NoRoom)
                    } else {
                        TaskState::Fetching
                    };
                    let until = t + self.rng.random_range(200..2_500);
                    let progress_until = until + self.rng.random_range(2_000..25_000);
                    w.tasks.insert((task, attempt), Running { state, until, progress_until });
                }
                Order::Stop { task, attempt, grace_s } => {
                    let user = self.users.iter().find(|u| u.job == task.job);
                    if let (Some(r), Some(u)) = (w.tasks.get_mut(&(task, attempt)), user) {
                        let saves = u.spec.checkpoint_s > 0.0 && grace_s >= u.spec.save_s;
                        match r.state {
                            TaskState::Running if saves => {
                                r.state = TaskState::Saving;
                                r.until = t + 2_000;
                            }
                            TaskState::Saving if grace_s > 0.0 => {}
                            TaskState::Exited(_) => {}
                            _ => r.state = TaskState::Exited(Why::Stopped),
                        }
                    }
                }
                Order::Forget { task, attempt } => {
                    let exited = |r: &Running| matches!(r.state, TaskState::Exited(_));
                    if w.tasks.get(&(task, attempt)).is_some_and(exited) {
                        w.tasks.remove(&(task, attempt));
                    }
                }
            }
        }
    }

    // ---- users ----

    fn user(&mut self, i: usize) {
        let t = self.t;
        let node = self.rng.random_range(0..NODES);
        let u = &mut self.users[i];
        if t < u.waits_until {
            let until = u.waits_until;
            return self.send(until, usize::MAX, 0, Msg::User(i));
        }
        u.asks += 1;
        let pause = if t < self.storm_until { 600 } else { 5_000 };
        let again = t + if u.told == Told::Nothing { 1_000 } else { pause };
        let over = matches!(u.told, Told::Done | Told::Cancelled(_));
        self.next_req += 1;
        let req = ReqId(self.next_req);
        let cancels = u.cancel_at.is_some_and(|c| t >= c) && !over;
        let input = if u.told == Told::Nothing || u.asks.is_multiple_of(7) {
            Input::Submit { req, job: u.job, spec: Box::new(u.spec.clone()) }
        } else if cancels {
            u.asked_to_cancel = true;
            Input::Cancel { req, job: u.job }
        } else {
            Input::Poll { req, job: u.job }
        };
        u.waits_until = t + if matches!(input, Input::Poll { .. }) { 2_000 } else { 5_000 };
        let until = u.waits_until;
        self.send(again, usize::MAX, 0, Msg::User(i));
        if self.nodes[node].node.is_some() && t >= self.nodes[node].island_until {
            self.reqs.insert(req, (false, i, until));
            if self.copied() {
                let at = t + self.rng.random_range(50..30_000);
                let copy = match &input {
                    Input::Submit { job, spec, .. } => {
                        Input::Submit { req: ReqId(0), job: *job, spec: spec.clone() }
                    }
                    Input::Cancel { job, .. } => Input::Cancel { req: ReqId(0), job: *job },
                    _ => Input::Tick,
                };
                self.send(at, node, 0, Msg::Input(copy));
            }
            let at = t + self.delay();
            self.send(at, node, 0, Msg::Input(input));
        }
        // Somebody asks for a job that nobody submitted.
        if self.rng.random_bool(0.05) {
            self.next_req += 1;
            let req = ReqId(self.next_req);
            self.reqs.insert(req, (false, usize::MAX, t + 2_000));
            self.send(t + 1, node, 0, Msg::Input(Input::Poll { req, job: JobId(77) }));
        }
    }

    fn answer(&mut self, i: usize, answer: Answer) {
        if i == usize::MAX {
            if matches!(answer, Answer::State { .. } | Answer::Created { .. }) {
                self.rule("invented".into());
            }
            return;
        }
        let t = self.t;
        let u = &mut self.users[i];
        u.waits_until = t;
        let old = u.told;
        if matches!(answer, Answer::Created { .. } | Answer::State { .. }) {
            u.answered = t;
        }
        let mut bad = None;
        match answer {
            Answer::Created { .. } => {
                if old != Told::Nothing && old != Told::Accepted {
                    bad = Some("went_back: an ended job was accepted anew");
                }
                u.told = if old == Told::Nothing { Told::Accepted } else { old };
            }
            Answer::State { view, .. } => match (view, old) {
                (JobView::Done, Told::Cancelled(_)) => {
                    bad = Some("went_back: cancelled, then done")
                }
                (JobView::Done, _) => {
                    if u.done.len() < u.spec.tasks as usize {
                        bad = Some("not_done");
                    }
                    u.told = Told::Done;
                }
                (JobView::Cancelled, Told::Done) => bad = Some("went_back: done, then cancelled"),
                (JobView::Cancelled, Told::Cancelled(_)) => {}
                (JobView::Cancelled, _) => {
                    if !u.asked_to_cancel {
                        bad = Some("went_back: cancelled by nobody");
                    }
                    u.told = Told::Cancelled(t);
                }
                (_, Told::Done | Told::Cancelled(_)) => bad = Some("went_back: ended, then alive"),
                (_, Told::Nothing) => u.told = Told::Accepted,
                _ => {}
            },
            Answer::NotFound if old != Told::Nothing => bad = Some("forgotten: 404"),
            Answer::Invalid(_) | Answer::Impossible(_) => bad = Some("forgotten: refused"),
            _ => {}
        }
        if let Some(b) = bad {
            let job = self.users[i].job;
            self.rule(format!("{b}: {job}"));
        }
    }

    fn check_cancelled(&mut self) {
        let mut bad = Vec::new();
        for u in &self.users {
            if let Told::Cancelled(at) = u.told {
                for (m, w) in self.workers.iter().enumerate() {
                    let here = w.tasks.iter().any(|(k, r)| k.0.job == u.job && Self::on_machine(r));
                    if here && self.t > at + CANCEL {
                        bad.push(format!("ran_cancelled: {} on {m}", u.job));
                    }
                }
            }
        }
        for b in bad {
            self.rule(b);
        }
    }

    // ---- faults ----

    fn fault(&mut self) {
        let t = self.t;
        // Half of what hits a controller hits the one that leads.
        let leader = self.leader().filter(|_| self.rng.random_bool(0.5));
        let node = leader.unwrap_or_else(|| self.rng.random_range(0..NODES));
        let held = self.rng.random_bool(0.6);
        let long = t + self.rng.random_range(2_000..25_000);
        match self.rng.random_range(0..18) {
            0 | 1 => self.crash(node),
            2 => (0..NODES).for_each(|i| self.crash(i)),
            3 => {
                self.store.down_until = t + self.rng.random_range(1_000..16_000);
                // All leases have their full time again.
                let up = self.store.down_until;
                for (life, end) in self.store.loans.values_mut() {
                    *end = up + *life;
                }
            }
            4 => self.nodes[node].state_cut = Some((long, held)),
            5 => self.nodes[node].refused_until = long,
            6 => self.zone_cut = Some((long, held)),
            7 => {
                // Many at once: hangs shorter and longer than a lease.
                for w in &mut self.workers {
                    if self.rng.random_bool(0.4) {
                        w.hangs_until = t + self.rng.random_range(1_000..14_000);
                    }
                }
            }
            8 => {
                for w in &mut self.workers {
                    if self.rng.random_bool(0.3) {
                        w.deaf_until = long;
                    }
                }
            }
            9 if !self.workers.is_empty() => {
                let m = self.rng.random_range(0..self.workers.len());
                let w = &mut self.workers[m];
                w.alive = false;
                w.tasks.clear();
                w.died.get_or_insert(t);
            }
            10 => {
                // Spot machines are taken back in a wave, some without a word before.
                for w in self.workers.iter_mut().filter(|w| w.spot && w.taken_at.is_none()) {
                    if self.rng.random_bool(0.5) {
                        w.taken_at = Some(t + self.rng.random_range(2_000..9_000));
                        w.noticed = self.rng.random_bool(0.7);
                        w.next_report = w.next_report.min(t + 500);
                    }
                }
            }
            11 => self.nodes[node].freezes_until = long,
            12 => {
                // A zone is cut off from everything; inside, it goes on.
                let zone = self.rng.random_range(0..2);
                self.zone_cut = Some((long, held));
                for (_, c) in self.nodes.iter_mut().enumerate().filter(|(i, _)| i % 2 == zone) {
                    c.state_cut = Some((long, held));
                    c.island_until = long;
                }
            }
            13 => self.nodes[node].workers_cut = Some((long, held)),
            14 => {
                // Silent for a minute or more, and back.
                let wait = self.rng.random_range(60_000..90_000);
                self.end(node, wait);
            }
            15 => self.boot_trouble = (self.rng.random_range(0..2), long + 30_000),
            16 => self.storm_until = long + 10_000,
            17 => {
                // The leader stands still, and so does its successor.
                self.nodes[node].freezes_until = long;
                self.next_freeze = t + self.rng.random_range(4_000..9_000);
            }
            _ => {}
        }
        self.quiet_at = self.quiet_at.max(long).max(self.store.down_until);
    }

    fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|c| c.node.as_ref().is_some_and(Node::leading))
    }

    fn crash(&mut self, i: usize) {
        let wait = [20, 100, 400, 3_000, 3_000][self.rng.random_range(0..5)];
        self.end(i, wait);
    }

    /// Ends a process; it is started again after `wait`.
    fn end(&mut self, i: usize, wait: u64) {
        self.nodes[i].node = None;
        self.nodes[i].epoch += 1;
        self.nodes[i].freezes_until = 0;
        self.nodes[i].frozen_until = 0;
        self.quiet_at = self.quiet_at.max(self.t + wait);
        let epoch = self.nodes[i].epoch;
        self.send(self.t + wait, i, epoch, Msg::Tick);
    }

    fn heal(&mut self) {
        let t = self.t;
        for c in &mut self.nodes {
            c.state_cut = c.state_cut.filter(|(until, _)| t < *until);
            c.workers_cut = c.workers_cut.filter(|(until, _)| t < *until);
        }
        self.zone_cut = self.zone_cut.filter(|(until, _)| t < *until);
    }

    /// With every trouble over for so long, each job that is not over was spoken of.
    fn check_known(&mut self) {
        let quiet = self.quiet_at;
        let silent = |u: &&User| u.told == Told::Accepted && u.at < quiet && u.answered < quiet;
        let bad: Vec<JobId> = self.users.iter().filter(silent).map(|u| u.job).collect();
        for job in bad {
            self.rule(format!("forgotten: no answer about {job} since {quiet} ms"));
        }
    }

    fn run(&mut self, faults_at_once: u32, until: u64) {
        let mut next_fault = 15_000;
        let mut known = false;
        while self.t < until {
            let world = self.t + 20;
            while let Some(e) = self.queue.first_entry().filter(|e| e.key().0 < world) {
                let at = e.key().0;
                let (node, epoch, msg) = e.remove();
                self.t = self.t.max(at);
                self.deliver(node, epoch, msg);
            }
            self.t = world;
            self.heal();
            if self.t >= self.store.down_until {
                self.store.expire(self.t);
            }
            self.watch();
            self.workers();
            self.check_cancelled();
            if self.t >= self.next_freeze {
                self.next_freeze = u64::MAX;
                let until = self.t + self.rng.random_range(2_000..15_000);
                if let Some(i) = self.leader() {
                    self.nodes[i].freezes_until = until;
                    self.quiet_at = self.quiet_at.max(until);
                }
            }
            if self.t >= next_fault && self.t < FAULTS_END {
                for _ in 0..faults_at_once {
                    self.fault();
                }
                next_fault = self.t + self.rng.random_range(3_000..20_000);
            }
            if !known && self.t >= FAULTS_END && self.t >= self.quiet_at + KNOWN {
                known = true;
                self.check_known();
            }
        }
    }

    fn check_end(&mut self) {
        for u in &self.users {
            if let (None, Told::Done | Told::Accepted) = (u.begun, u.told) {
                self.broken.push(format!("job {} never began", u.job));
            }
            if u.told == Told::Nothing || u.told == Told::Accepted {
                self.broken.push(format!(
                    "job {} never ended: {} of {}",
                    u.job,
                    u.done.len(),
                    u.spec.tasks
                ));
            }
        }
    }

    fn deliver(&mut self, node: usize, epoch: u64, msg: Msg) {
        let to_node = matches!(msg, Msg::Tick | Msg::Input(_) | Msg::Report(..));
        if to_node && self.t < self.nodes[node].frozen_until {
            return self.send(self.nodes[node].frozen_until, node, epoch, msg);
        }
        match msg {
            Msg::Tick => {
                if self.nodes[node].epoch != epoch {
                    return;
                }
                if self.nodes[node].node.is_none() {
                    return self.boot(node);
                }
                self.step(node, Input::Tick);
                self.send(self.t + 50, node, epoch, Msg::Tick);
            }
            Msg::Input(input) => {
                if epoch == 0 || self.nodes[node].epoch == epoch {
                    self.step(node, input);
                }
            }
            // What a process sent is carried out even when it has ended since.
            Msg::State(op, call) => self.state(node, epoch, op, call),
            Msg::Cloud(op, call) => self.cloud(node, epoch, op, call),
            Msg::Report(m, req, report) => {
                if self.nodes[node].node.is_some() {
                    self.reqs.insert(req, (true, m, report.seq));
                    self.step(node, Input::Checkin { req, report: Box::new(report) });
                }
            }
            Msg::Orders(m, session, seq, answer) => self.orders(m, session, seq, answer),
            Msg::User(i) => self.user(i),
            Msg::Answer(i, answer) => self.answer(i, answer),
        }
    }
}

#[test]
fn the_rules_hold_over_seeded_days_of_faults() {
    let mut started = 0;
    for seed in 0..48 {
        let mut w = World::new(seed);
        // One trouble at a time, then two: pairs are what a design forgets.
        w.run(1 + (seed % 3).min(1) as u32, DAY);
        w.check_end();
        w.broken.truncate(5);
        assert!(w.broken.is_empty(), "seed {seed}: {:#?}", w.broken);
        assert!(w.started > 50, "seed {seed}: nothing_ran ({})", w.started);
        started += w.started;
    }
    println!("tasks started: {started}");
}

fn overload_spec(tasks: u32, cpus: f64, priority: Priority) -> JobSpec {
    JobSpec {
        class: "c".into(),
        team: "t1".into(),
        priority,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "i0".into(),
        image_gb: 1.0,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// Plays an overload of a team by the `many` and asks that the `few` begin in time.
fn begin_in_overload(few: impl Iterator<Item = User>, many: impl Iterator<Item = User>) {
    let users: Vec<User> = few.chain(many).collect();
    let few = users.iter().filter(|u| u.job.0 >= 9000).count();
    let mut w = World::with(SmallRng::seed_from_u64(1), users);
    w.run(0, 300_000);
    assert!(w.broken.is_empty(), "{:#?}", w.broken);
    let waiting = w.users.iter().filter(|u| u.at < 240_000 && u.told == Told::Accepted).count();
    assert!(waiting > 20, "no overload: {waiting} jobs wait");
    for u in &w.users[..few] {
        let begun = u.begun.map(|b| b - u.at);
        assert!(begun.is_some_and(|b| b <= 240_000), "{} began after {begun:?} ms", u.job);
    }
}

/// Large arrays that rank behind small jobs without end must begin within four minutes.
#[test]
fn large_arrays_begin_in_overload() {
    let spec = |tasks| overload_spec(tasks, 2.0, Priority::Normal);
    let large = (0..2).map(|i| User::new(9000 + i, spec(60), 30_000 + i * 5_000, None));
    let small = (0..260).map(|i| User::new(1000 + i, spec(4), 5_000 + i * 1_200, None));
    begin_in_overload(large, small);
}

/// So must wide tasks, while narrow ones of lesser jobs take a team's limit bit by bit.
#[test]
fn wide_tasks_begin_beside_narrow_ones() {
    let wide = overload_spec(3, 8.0, Priority::Normal);
    let narrow = overload_spec(12, 1.0, Priority::Low);
    let wide = (0..2).map(|i| User::new(9000 + i, wide.clone(), 30_000 + i * 5_000, None));
    let narrow = (0..200).map(|i| User::new(1000 + i, narrow.clone(), 5_000 + i * 1_400, None));
    begin_in_overload(wide, narrow);
}
