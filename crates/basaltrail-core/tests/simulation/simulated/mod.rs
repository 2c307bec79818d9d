//! The core against stand-ins of the state service, the cloud, workers and users,
//! with crashes, cuts, late messages, outages and hangs. Each rule is checked here,
//! by the world and not by the core. Seeds are fixed: the verdict is always the same.

mod checks;
mod cloud;
mod concurrent_faults;
mod controllers;
mod faults;
mod limits;
mod quotas;
mod seeded_runs;
mod simulation;
mod store;
mod store_requests;
mod upgrades;
mod users;
mod workers;

use crate::versions::{Process, Version};
use basaltrail_core::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const LEASE_MS: u64 = 10_000;
const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
const CANCEL_MS: u64 = 30_000;
const LIST_LAG_MS: u64 = 3_000;
/// What a worker waits for a response.
const REPLY_TIMEOUT_MS: u64 = 4_000;
const MACHINE_CPUS: f64 = 8.0;
const CONTROLLERS: usize = 3;
const ZONES: [&str; 2] = ["a", "b"];
/// The last team is a guest: no guarantee and no limit.
const CPUS_MAX: [f64; 3] = [24.0, 40.0, f64::INFINITY];
/// Once the troubles are over, a job is spoken of within this.
const ANSWERED_WITHIN_MS: u64 = 75_000;
/// How long a job may wait while a machine has room for it.
const SCHEDULED_WITHIN_MS: u64 = 90_000;
/// A cancellation that was told is known to whoever starts tasks after so long: a watch, its
/// patience, and what a worker takes of an answer that was held up.
const CANCELLATION_KNOWN_WITHIN_MS: u64 = 13_000;
const FAULTS_END_MS: u64 = 160_000;
const RUN_MS: u64 = 420_000;

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
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        lease_ms: LEASE_MS,
        cancel_ms: CANCEL_MS,
        store_rps: 120.0,
        write_rps: 40.0,
        value_bytes: limits.0,
        transaction_ops: limits.1,
        cloud_rps: 5.0,
        list_lag_ms: LIST_LAG_MS,
        memory_mb: 56.0,
        max_machines: 5_000,
        incarnation,
        policy: configuration.policy.clone(),
    }
}

#[derive(Clone)]
struct StoredValue {
    value: String,
    mod_revision: Revision,
    lease_id: Option<LeaseId>,
}

/// The state service.
#[derive(Default)]
struct Store {
    keys: BTreeMap<String, StoredValue>,
    revision: Revision,
    events: Vec<(Revision, WatchEvent)>,
    leases: BTreeMap<LeaseId, (u64, u64)>, // life, end
    last_lease_id: u64,
    down_until: u64,
    open_watches: Vec<OpenWatch>,
    limits: (usize, usize),
}

#[derive(Clone, Debug)]
struct SimulatedTask {
    state: TaskState,
    /// When the present state is over.
    until: u64,
    run_ends_at: u64,
}

/// One machine and its worker.
struct Worker {
    zone: usize,
    spot: bool,
    boots_at: u64,
    alive: bool,
    agent_epoch: AgentEpoch,
    sequence: u64,
    token: FencingToken,
    lease_renewed_at: u64,
    tasks: BTreeMap<(TaskId, Attempt), SimulatedTask>,
    controller: usize,
    awaiting_reply: Option<(u64, u64)>,
    next_heartbeat: u64,
    hung_until: u64,
    /// Its reports reach no controller.
    uplink_lost_until: u64,
    /// Its reports arrive, answers to them do not.
    downlink_lost_until: u64,
    provisioned_at: u64,
    /// When it stopped by itself: it stays listed.
    failed_at: Option<u64>,
    /// When it was returned or taken: it is listed no more.
    terminated_at: Option<u64>,
    /// Every task fails there.
    faulty: bool,
    /// When the cloud takes it back, and whether it says so before.
    reclaimed_at: Option<u64>,
    reclaim_announced: bool,
}

#[derive(Clone, Copy, PartialEq)]
enum Observed {
    Unknown,
    Accepted,
    Done,
    Cancelled(u64),
}

struct User {
    job: JobId,
    spec: JobSpec,
    submit_at: u64,
    cancel_at: Option<u64>,
    /// Submitted with a mistake: its tasks fail everywhere.
    faulty: bool,
    observed: Observed,
    cancel_requested: bool,
    tasks_done: BTreeSet<u32>,
    requests_sent: u64,
    /// Until when it waits for the answer to its request; what comes later nobody hears.
    request_deadline: u64,
    /// When a question about the job was last answered, and its first task began.
    last_answered_at: u64,
    first_task_started_at: Option<u64>,
    /// Since when nothing of it is on a machine though one has room for it.
    unscheduled_since: Option<u64>,
}

enum Message {
    Tick,
    Input(Input),
    Store(CallId, StoreRequest),
    Cloud(CallId, CloudRequest),
    Heartbeat(MachineIndex, RequestId, Heartbeat),
    Commands(MachineIndex, AgentEpoch, u64, Answer),
    User(usize),
    Answer(Requester, Answer),
}

/// Who waits for an answer.
#[derive(Clone, Copy)]
enum Requester {
    /// A worker, with the number of its report.
    Worker(MachineIndex, u64),
    User(usize, PendingRequest),
    /// Somebody who asks for a job that nobody submitted.
    UnknownJob,
    /// Somebody whose job can never run.
    InvalidJob,
}

#[derive(Clone, Copy)]
struct PendingRequest {
    /// How long its user waits; what comes later nobody hears.
    deadline: u64,
    /// What the user had been told when it asked.
    observed_before: Observed,
    /// The user asks nothing else meanwhile.
    exclusive: bool,
}

/// A share of the transactions gets no answer.
#[derive(Clone, Copy, Default)]
struct UnansweredWrites {
    until: u64,
    share: f64,
    /// Only the answer is lost; the others are carried out late.
    only_reply_lost: bool,
}

/// Of a share of the heartbeats a copy comes late.
#[derive(Clone, Copy, Default)]
struct DuplicateHeartbeats {
    until: u64,
    share: f64,
    /// The copies are kept for the next leader.
    held_for_next_leader: bool,
}

/// A share of the jobs is cancelled as the last task ends.
#[derive(Clone, Copy, Default)]
struct CancelOnCompletion {
    until: u64,
    share: f64,
}

/// A watch that the store has not answered yet.
struct OpenWatch {
    controller: usize,
    epoch: u64,
    op: CallId,
    prefix: String,
    after: Revision,
    /// When it is answered though nothing has changed.
    until: u64,
}

type MachineIndex = usize;

struct SimulatedController {
    process: Option<Process>,
    /// What its process runs, if any, and what it will when it starts again.
    version: Version,
    next_version: Version,
    epoch: u64,
    process_started_at: u64,
    clock_rate: f64,
    /// Cut off from the state service, and whether what is sent is held or lost.
    store_partition: Option<(u64, bool)>,
    store_refuses_until: u64,
    /// Watches of the jobs are lost: neither they nor their answers arrive.
    watches_lost_until: u64,
    /// It stands still from its next step to then, with what it has built and not sent;
    /// its clocks run on.
    pending_freeze_until: u64,
    frozen_until: u64,
    /// Cut off from the cloud and the users too.
    isolated_until: u64,
    /// Cut off from the workers, and whether what is sent is held or lost.
    worker_partition: Option<(u64, bool)>,
    /// What its process goes by, and what it will when it starts again.
    configuration: Configuration,
    next_configuration: Configuration,
    /// What its earlier processes went by, and until when.
    earlier_configurations: Vec<(u64, Configuration)>,
}

struct Simulation {
    now: u64,
    messages_sent: u64,
    rng: SmallRng,
    queue: BTreeMap<(u64, u64), (usize, u64, Message)>,
    controllers: Vec<SimulatedController>,
    store: Store,
    workers: Vec<Worker>,
    provisioned: BTreeMap<String, Vec<MachineId>>,
    users: Vec<User>,
    requesters: BTreeMap<RequestId, Requester>,
    last_request_id: u64,
    zone_partition: Option<(u64, bool)>,
    /// Machines rented in a zone come late or never until then.
    slow_provisioning: (usize, u64),
    /// Users ask many times as often until then.
    poll_storm_until: u64,
    /// When whoever leads then comes to stand: the successor of one that did.
    next_leader_freeze: u64,
    /// Transactions get no answer, and are carried out later, or at once.
    unanswered_writes: UnansweredWrites,
    /// Copies of reports come late, or when the next leader begins.
    duplicate_heartbeats: DuplicateHeartbeats,
    held_heartbeats: Vec<Heartbeat>,
    /// Jobs are cancelled as their last task ends.
    cancel_on_completion: CancelOnCompletion,
    /// Users ask at all controllers, within milliseconds, what they have just been told.
    read_back_until: u64,
    invalid_requests_until: u64,
    /// What a process that starts may run.
    versions: Vec<Version>,
    /// When a process that may act on old word of jobs last answered a worker, and what came of it.
    stale_renewal_at: Option<u64>,
    violations_of_earlier_versions: Vec<String>,
    /// Machines are up within two seconds.
    fast_provisioning: bool,
    /// The state service answers so much later.
    store_delay_ms: u64,
    /// Tasks run for a minute and more.
    long_tasks: bool,
    /// When each change of leader was seen: the controller that leads since, and its process.
    leader_changes: Vec<(u64, usize, u64)>,
    /// How often a moment came that a day is to bring about.
    situations: BTreeMap<&'static str, u64>,
    next_fault: u64,
    concurrent_faults: u32,
    answers_checked: bool,
    violations: Vec<String>,
    tasks_started: u64,
    /// Orders to stop a task whose job goes on.
    tasks_stopped: u64,
    /// When the last trouble is over.
    faults_over_at: u64,
}

fn machine_id(i: usize) -> MachineId {
    MachineId(format!("m-{i:06}").into())
}
