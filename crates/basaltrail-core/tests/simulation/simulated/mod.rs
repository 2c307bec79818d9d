//! Simulates controllers with a store, a cloud, workers and users, under crashes, partitions, late
//! and duplicate messages, outages and hangs. The simulation checks each rule independently of the
//! core. Seeds are fixed, so each run is deterministic.

mod checks;
mod cloud;
mod concurrent_faults;
mod controllers;
mod faults;
mod job_status;
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
/// Time for which a worker waits for a response.
const REPLY_TIMEOUT_MS: u64 = 4_000;
const MACHINE_CPUS: f64 = 8.0;
const CONTROLLERS: usize = 3;
const ZONES: [&str; 2] = ["a", "b"];
/// Limit of each team. The last team has neither a guarantee nor a limit.
const MAX_CPUS: [f64; 3] = [24.0, 40.0, f64::INFINITY];
/// After the faults have ended, a user gets an answer about each unfinished job within this time.
const ANSWERED_WITHIN_MS: u64 = 75_000;
/// Longest time for which a job may wait while a machine has room for it.
const SCHEDULED_WITHIN_MS: u64 = 90_000;
/// A controller that starts tasks knows of a confirmed cancellation within this time. It covers a
/// watch, its timeout, and a delayed answer that a worker still accepts.
const CANCELLATION_KNOWN_WITHIN_MS: u64 = 13_000;
const FAULTS_END_MS: u64 = 160_000;
/// Length of a simulated run.
const RUN_MS: u64 = 420_000;

/// Limits of the store: bytes of a value, and operations of a transaction. The first pair is the
/// one that the version in production assumes; the store changes to the second one during
/// upgrades.
const STORE_LIMITS: (usize, usize) = (1_024, 12);
const NEXT_STORE_LIMITS: (usize, usize) = (512, 4);

/// The settings of a controller that tests vary.
#[derive(Clone)]
struct Configuration {
    store_limits: (usize, usize),
    max_cpus: [f64; MAX_CPUS.len()],
    policy: Policy,
}

impl Default for Configuration {
    fn default() -> Self {
        Configuration { store_limits: STORE_LIMITS, max_cpus: MAX_CPUS, policy: Policy::default() }
    }
}

fn settings(controller: usize, incarnation: u64, configuration: &Configuration) -> Settings {
    let store_limits = configuration.store_limits;
    let team = |i: usize| Team {
        name: format!("t{i}"),
        guaranteed_cpus: if MAX_CPUS[i].is_finite() { MAX_CPUS[i] / 2.0 } else { 0.0 },
        max_cpus: configuration.max_cpus[i],
        guaranteed_gpus: 0.0,
        max_gpus: 0.0,
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
        teams: (0..MAX_CPUS.len()).map(team).collect(),
        objectives: vec![Objective::Completed { class: "c".into(), within_s: 60.0 }],
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        worker_lease_ms: LEASE_MS,
        max_cancellation_ms: CANCEL_MS,
        store_rps: 120.0,
        write_rps: 40.0,
        max_value_bytes: store_limits.0,
        max_transaction_ops: store_limits.1,
        cloud_rps: 5.0,
        inventory_lag_ms: LIST_LAG_MS,
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

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, StoredValue>,
    revision: Revision,
    /// All changes, for watches.
    events: Vec<(Revision, WatchEvent)>,
    /// TTL and expiry of each lease.
    leases: BTreeMap<LeaseId, (u64, u64)>,
    last_lease_id: u64,
    down_until: u64,
    open_watches: Vec<OpenWatch>,
    /// Bytes of a value, and operations of a transaction.
    limits: (usize, usize),
}

#[derive(Clone, Debug)]
struct SimulatedTask {
    state: TaskState,
    /// End of the present state.
    state_ends_at: u64,
    run_ends_at: u64,
}

/// A machine and its worker.
struct Worker {
    zone: usize,
    spot: bool,
    /// Time at which the machine is up.
    boots_at: u64,
    alive: bool,
    agent_epoch: AgentEpoch,
    sequence: u64,
    token: FencingToken,
    lease_renewed_at: u64,
    tasks: BTreeMap<(TaskId, Attempt), SimulatedTask>,
    /// Controller to which the worker sends heartbeats.
    controller: usize,
    /// Sequence number and time of the heartbeat that has no response yet.
    awaiting_reply: Option<(u64, u64)>,
    next_heartbeat: u64,
    hung_until: u64,
    /// End of the fault that loses its heartbeats.
    uplink_lost_until: u64,
    /// End of the fault that loses the responses to its heartbeats.
    downlink_lost_until: u64,
    provisioned_at: u64,
    /// Time at which the machine failed; the cloud still lists it.
    failed_at: Option<u64>,
    /// Time at which the machine was terminated or reclaimed; the cloud no longer lists it.
    terminated_at: Option<u64>,
    /// Every task fails on a faulty machine.
    faulty: bool,
    /// Time at which the cloud reclaims the machine.
    reclaimed_at: Option<u64>,
    /// Whether the cloud sends a reclaim notice.
    reclaim_announced: bool,
}

/// The last job status that a user got.
#[derive(Clone, Copy, PartialEq)]
enum Observed {
    Unknown,
    Accepted,
    Done,
    /// Cancelled, with the time at which the user got this answer.
    Cancelled(u64),
}

/// A user with one job.
struct User {
    job: JobId,
    spec: JobSpec,
    submit_at: u64,
    cancel_at: Option<u64>,
    /// Every task of a faulty job fails on any machine.
    faulty: bool,
    observed: Observed,
    cancel_requested: bool,
    /// Indices of the tasks that are done.
    tasks_done: BTreeSet<u32>,
    requests_sent: u64,
    /// Time until which the user waits for the answer to its request; a later answer is dropped.
    request_deadline: u64,
    /// Time at which the user last got the status of the job.
    last_answered_at: u64,
    first_task_started_at: Option<u64>,
    /// Time since which a task of the job waits although it could run.
    unscheduled_since: Option<u64>,
    /// Whether a task of the job runs, and since when; kept only if statuses are checked.
    run_state: RunState,
}

/// Whether any task of a job runs, and the time of the last change.
#[derive(Clone, Copy, Default)]
struct RunState {
    is_running: bool,
    since: u64,
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

/// The sender of a request, to which the answer is delivered.
#[derive(Clone, Copy)]
enum Requester {
    /// A worker, with the sequence number of its heartbeat.
    Worker(MachineIndex, u64),
    User(usize, PendingRequest),
    /// Polls a job that was never submitted.
    UnknownJob,
    /// Submits a job that can never run.
    InvalidJob,
}

#[derive(Clone, Copy)]
struct PendingRequest {
    /// Time at which the request was sent.
    sent_at: u64,
    /// An answer that arrives later is dropped.
    deadline: u64,
    /// The job status that the user knew when it sent the request.
    observed_before: Observed,
    /// Whether the user sends no other request until the answer or the deadline.
    exclusive: bool,
}

/// A fault: a share of the writing transactions gets no reply.
#[derive(Clone, Copy, Default)]
struct UnansweredWrites {
    until: u64,
    share: f64,
    /// True if the transactions are applied at once and only the replies are lost; false if they
    /// are applied late.
    only_reply_lost: bool,
}

/// A fault: a share of the heartbeats is duplicated, and the duplicate arrives late.
#[derive(Clone, Copy, Default)]
struct DuplicateHeartbeats {
    until: u64,
    share: f64,
    /// Whether the duplicates are held until the next change of leader.
    held_for_next_leader: bool,
}

/// A fault: a share of the jobs is cancelled when the last task is done.
#[derive(Clone, Copy, Default)]
struct CancelOnCompletion {
    until: u64,
    share: f64,
}

/// A watch that the store has not answered yet.
struct OpenWatch {
    controller: usize,
    epoch: u64,
    call_id: CallId,
    prefix: String,
    after: Revision,
    /// Time at which the store answers even if nothing has changed.
    until: u64,
}

type MachineIndex = usize;

struct SimulatedController {
    process: Option<Process>,
    /// Version of the present process.
    version: Version,
    /// Version after the next start.
    next_version: Version,
    /// Number of the process; it increases with each start and each stop.
    epoch: u64,
    process_started_at: u64,
    /// Rate of its clock relative to the simulation's clock; 1 without drift.
    clock_rate: f64,
    /// Partition from the store: its end, and whether requests are delayed (true) or lost.
    store_partition: Option<(u64, bool)>,
    store_refuses_until: u64,
    /// End of the fault that loses watches on the jobs.
    watches_lost_until: u64,
    /// If later than now, the process freezes at its next step until this time. Its clocks advance
    /// meanwhile, and it keeps the effects that it has not sent yet.
    pending_freeze_until: u64,
    frozen_until: u64,
    /// End of its partition from the cloud, the users and its peers.
    isolated_until: u64,
    /// Partition from the workers: its end, and whether messages are delayed (true) or lost.
    worker_partition: Option<(u64, bool)>,
    /// Configuration of the present process.
    configuration: Configuration,
    /// Configuration after the next start.
    next_configuration: Configuration,
    /// Configurations of earlier processes, each with the time at which it was replaced.
    earlier_configurations: Vec<(u64, Configuration)>,
}

/// A simulated deployment. All times are in simulated milliseconds.
struct Simulation {
    now: u64,
    messages_sent: u64,
    rng: SmallRng,
    /// Messages in transit by arrival time and number, each with its controller and the epoch of
    /// the process that it is for or from.
    queue: BTreeMap<(u64, u64), (usize, u64, Message)>,
    controllers: Vec<SimulatedController>,
    store: Store,
    workers: Vec<Worker>,
    /// Machines provisioned for each request name.
    provisioned: BTreeMap<String, Vec<MachineId>>,
    users: Vec<User>,
    requesters: BTreeMap<RequestId, Requester>,
    last_request_id: u64,
    /// Partition between the zones: its end, and whether messages are delayed (true) or lost.
    zone_partition: Option<(u64, bool)>,
    /// Zone in which new machines boot late or never, and the end of this fault.
    slow_provisioning: (usize, u64),
    /// Time until which controllers refuse each other's connections.
    peers_refuse_until: u64,
    /// Whether the statuses queued and running in answers are checked.
    checks_status: bool,
    /// Time until which users poll many times as often.
    poll_storm_until: u64,
    /// Time at which the current leader freezes; used to freeze the successor of a frozen leader.
    next_leader_freeze: u64,
    unanswered_writes: UnansweredWrites,
    duplicate_heartbeats: DuplicateHeartbeats,
    /// Duplicates that are held until the next change of leader.
    held_heartbeats: Vec<Heartbeat>,
    cancel_on_completion: CancelOnCompletion,
    /// Time until which a user that gets a new status polls all controllers within milliseconds.
    read_back_until: u64,
    invalid_requests_until: u64,
    /// Versions that a process may run when it starts.
    versions: Vec<Version>,
    /// Time of the last answer to a worker by a version that may renew tasks on stale job data.
    stale_renewal_at: Option<u64>,
    violations_of_earlier_versions: Vec<String>,
    /// Whether new machines boot within two seconds.
    fast_provisioning: bool,
    /// Additional latency of the store.
    store_delay_ms: u64,
    /// Whether tasks run for a minute or longer.
    long_tasks: bool,
    /// Each observed change of leader: its time, the controller and the epoch of its process.
    leader_changes: Vec<(u64, usize, u64)>,
    /// Occurrences of the situations that a scenario has to reach.
    situations: BTreeMap<&'static str, u64>,
    next_fault: u64,
    concurrent_faults: u32,
    /// Whether `check_all_jobs_answered` has run.
    answers_checked: bool,
    violations: Vec<String>,
    /// Attempts whose start a controller of the current version has sent.
    starts_sent: BTreeSet<(TaskId, Attempt)>,
    tasks_started: u64,
    /// Commands to stop a task of a job that is still active.
    tasks_stopped: u64,
    /// Time at which the last fault is over.
    faults_over_at: u64,
}

fn machine_id(i: usize) -> MachineId {
    MachineId(format!("m-{i:06}").into())
}
