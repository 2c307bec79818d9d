//! The core against stand-ins of the state service, the cloud, workers and users,
//! with crashes, cuts, late messages, outages and hangs. Each rule is checked here,
//! by the world and not by the core. Seeds are fixed: the verdict is always the same.

mod allotments;
mod checks;
mod controllers;
mod days;
mod limits;
mod meetings;
mod rolls;
mod store;
mod troubles;
mod users;
mod workers;
mod world;

use crate::versions::{Process, Version};
use basaltrail_core::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const LEASE: u64 = 10_000;
const REPORT: u64 = 1_000;
const CANCEL: u64 = 30_000;
const LIST_LAG: u64 = 3_000;
/// What a worker waits for a response.
const PATIENCE: u64 = 4_000;
const CPUS: f64 = 8.0;
const CONTROLLERS: usize = 3;
const ZONES: [&str; 2] = ["a", "b"];
/// The last team is a guest: no guarantee and no limit.
const CPUS_MAX: [f64; 3] = [24.0, 40.0, f64::INFINITY];
/// Once the troubles are over, a job is spoken of within this.
const KNOWN: u64 = 75_000;
/// How long a job may wait while a machine has room for it.
const LEFT: u64 = 90_000;
/// A cancellation that was told is known to whoever starts tasks after so long: a watch, its
/// patience, and what a worker takes of an answer that was held up.
const HEARD: u64 = 13_000;
const FAULTS_END: u64 = 160_000;
const DAY: u64 = 420_000;

/// What a value and a transaction may hold: as the version in production has it, and as the
/// state service will have it from some moment on.
const LIMITS: (usize, usize) = (1_024, 12);
const NEXT_LIMITS: (usize, usize) = (512, 4);

/// What a controller's files say, beside what is the same everywhere.
#[derive(Clone)]
struct Configuration {
    limits: (usize, usize),
    cpus_max: [f64; CPUS_MAX.len()],
    policy: Policy,
}

impl Default for Configuration {
    fn default() -> Self {
        Configuration { limits: LIMITS, cpus_max: CPUS_MAX, policy: Policy::default() }
    }
}

fn settings(controller: usize, incarnation: u64, configuration: &Configuration) -> Settings {
    let limits = configuration.limits;
    let team = |i: usize| Team {
        name: format!("t{i}"),
        cpus: if CPUS_MAX[i].is_finite() { CPUS_MAX[i] / 2.0 } else { 0.0 },
        cpus_max: configuration.cpus_max[i],
        gpus: 0.0,
        gpus_max: 0.0,
    };
    Settings {
        controller: format!("n{controller}"),
        zone: ZONES[controller % 2].into(),
        controller_count: CONTROLLERS,
        zones: ZONES.map(String::from).to_vec(),
        peer_zones: (0..CONTROLLERS)
            .filter(|n| *n != controller)
            .map(|n| ZONES[n % 2].into())
            .collect(),
        teams: (0..CPUS_MAX.len()).map(team).collect(),
        objectives: vec![Objective::Finished { class: "c".into(), within_s: 60.0 }],
        heartbeat_interval_ms: REPORT,
        lease_ms: LEASE,
        cancel_ms: CANCEL,
        store_rps: 120.0,
        write_rps: 40.0,
        value_bytes: limits.0,
        transaction_ops: limits.1,
        cloud_rps: 5.0,
        list_lag_ms: LIST_LAG,
        memory_mb: 56.0,
        max_machines: 5_000,
        incarnation,
        policy: configuration.policy.clone(),
    }
}

#[derive(Clone)]
struct Kept {
    value: String,
    mod_revision: u64,
    lease_id: Option<u64>,
}

/// The state service.
#[derive(Default)]
struct Store {
    keys: BTreeMap<String, Kept>,
    revision: u64,
    log: Vec<(u64, WatchEvent)>,
    leases: BTreeMap<u64, (u64, u64)>, // life, end
    next_lease_id: u64,
    down_until: u64,
    watches: Vec<(usize, u64, CallId, String, u64, u64)>,
    limits: (usize, usize),
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
    agent_epoch: u64,
    sequence: u64,
    token: FencingToken,
    renewed: u64,
    tasks: BTreeMap<(TaskId, Attempt), Running>,
    to: usize,
    waiting: Option<(u64, u64)>,
    next_report: u64,
    hangs_until: u64,
    /// Its reports reach no controller.
    mute_until: u64,
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
    /// Since when nothing of it is on a machine though one has room for it.
    left_since: Option<u64>,
}

enum Msg {
    Tick,
    Input(Input),
    State(CallId, StoreRequest),
    Cloud(CallId, CloudRequest),
    Heartbeat(MachineIdx, RequestId, Heartbeat),
    Orders(MachineIdx, u64, u64, Answer),
    User(usize),
    Answer(Asker, Answer),
}

/// Who waits for an answer.
#[derive(Clone, Copy)]
enum Asker {
    /// A worker, with the number of its report.
    Worker(MachineIdx, u64),
    User(usize, Question),
    /// Somebody who asks for a job that nobody submitted.
    Stranger,
    /// Somebody whose job can never run.
    Odd,
}

#[derive(Clone, Copy)]
struct Question {
    /// How long its user waits; what comes later nobody hears.
    until: u64,
    /// What the user had been told when it asked.
    before: Told,
    /// The user asks nothing else meanwhile.
    alone: bool,
}

/// A trouble for a share of something.
#[derive(Clone, Copy, Default)]
struct Partly {
    until: u64,
    share: f64,
    /// Of transactions: only the answer is lost. Of reports: kept for the next leader.
    other: bool,
}

type MachineIdx = usize;

struct SimulatedController {
    process: Option<Process>,
    /// What its process runs, if any, and what it will when it starts again.
    version: Version,
    next_version: Version,
    epoch: u64,
    born: u64,
    drift: f64,
    /// Cut off from the state service, and whether what is sent is held or lost.
    state_cut: Option<(u64, bool)>,
    refused_until: u64,
    /// Watches of the jobs are lost: neither they nor their answers arrive.
    watch_lost_until: u64,
    /// It stands still from its next step to then, with what it has built and not sent;
    /// its clocks run on.
    freezes_until: u64,
    frozen_until: u64,
    /// Cut off from the cloud and the users too.
    island_until: u64,
    /// Cut off from the workers, and whether what is sent is held or lost.
    workers_cut: Option<(u64, bool)>,
    /// What its process goes by, and what it will when it starts again.
    configuration: Configuration,
    next_configuration: Configuration,
    /// What its earlier processes went by, and until when.
    earlier: Vec<(u64, Configuration)>,
}

struct World {
    t: u64,
    n: u64,
    rng: SmallRng,
    queue: BTreeMap<(u64, u64), (usize, u64, Msg)>,
    controllers: Vec<SimulatedController>,
    store: Store,
    workers: Vec<Worker>,
    requisitions: BTreeMap<String, Vec<MachineId>>,
    users: Vec<User>,
    reqs: BTreeMap<RequestId, Asker>,
    next_req: u64,
    zone_cut: Option<(u64, bool)>,
    /// Machines rented in a zone come late or never until then.
    boot_trouble: (usize, u64),
    /// Users ask many times as often until then.
    storm_until: u64,
    /// When whoever leads then comes to stand: the successor of one that did.
    next_freeze: u64,
    /// Transactions get no answer, and are carried out later, or at once.
    late_writes: Partly,
    /// Copies of reports come late, or when the next leader begins.
    late_reports: Partly,
    kept_reports: Vec<Heartbeat>,
    /// Jobs are cancelled as their last task ends.
    cancel_at_end: Partly,
    /// Users ask at all controllers, within milliseconds, what they have just been told.
    looks_until: u64,
    odd_until: u64,
    /// What a process that starts may run.
    versions: Vec<Version>,
    /// When a process that may act on old word of jobs last answered a worker, and what came of it.
    old_word_at: Option<u64>,
    faults_of_production: Vec<String>,
    /// Machines are up within two seconds.
    quick_boots: bool,
    /// The state service answers so much later.
    slow_state: u64,
    /// Tasks run for a minute and more.
    long: bool,
    /// When each change of leader was seen: the controller that leads since, and its process.
    leaders: Vec<(u64, usize, u64)>,
    /// How often a moment came that a day is to bring about.
    met: BTreeMap<&'static str, u64>,
    next_fault: u64,
    faults_at_once: u32,
    known: bool,
    broken: Vec<String>,
    started: u64,
    /// Orders to stop a task whose job goes on.
    stopped: u64,
    /// When the last trouble is over.
    quiet_at: u64,
}

fn machine(i: usize) -> MachineId {
    MachineId(format!("m-{i:06}").into())
}
