//! Stand-in of a worker (PROTOCOL, Workers -> controller nodes): reports, leases, sessions,
//! tokens, orders, and late copies of reports. Direct commands are left out, since controllers
//! send none.
//!
//! Leases and tasks end at the moment at which they must, and are recorded with that moment,
//! however late this process comes to it: a busy machine changes no verdict.

use crate::clock::{Clock, Ms};
use crate::cloud::{Cloud, Machine};
use crate::deployment::{Deployment, MACHINE_CPUS, MACHINE_TYPE};
use crate::history::{EventKind, History, JobRequirements, TaskAttempt, TaskEndReason};
use crate::http::{Answer, Client};
use crate::lock;
use crate::state::StateService;
use basaltrail_core::records::{active_key, JobRecord};
use basaltrail_core::JobId;
use basaltrail_protocol::names;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a worker waits for an answer.
const PATIENCE: Duration = Duration::from_millis(4_000);
/// After a refusal the next node is asked so much later.
const NEXT_NODE_MS: Ms = 1_000;
/// Changes are reported no more often than this.
const CHANGE_MS: Ms = 500;
/// Late copies come so much after the report.
const COPY_LATE_MS: std::ops::Range<Ms> = 500..9_000;

/// EventKind workers know of a job: its users upload it.
#[derive(Clone, Debug)]
pub struct JobWork {
    /// EventKind it asks for.
    pub shape: JobRequirements,
    /// How long each task runs.
    pub run_ms: Ms,
}

/// All jobs that were submitted, and the tasks of each that are done. EventKind nobody uploaded, since
/// it was submitted by hand, is read from the controllers' record of the job.
#[derive(Clone)]
pub struct JobDescriptions {
    jobs: Arc<Mutex<DescribedJobs>>,
    state: StateService,
}

#[derive(Default)]
struct DescribedJobs {
    work: HashMap<u64, JobWork>,
    done: HashMap<u64, BTreeSet<u32>>,
}

impl JobDescriptions {
    /// No jobs yet; records are looked up in a state service.
    pub fn new(state: StateService) -> Self {
        JobDescriptions { jobs: Arc::default(), state }
    }

    /// A user uploads a job.
    pub fn upload(&self, job: u64, work: JobWork) {
        self.lock().work.insert(job, work);
    }

    /// EventKind a job asks for.
    pub fn find(&self, job: u64) -> Option<JobWork> {
        let uploaded = self.lock().work.get(&job).cloned();
        uploaded.or_else(|| {
            let work = self.recorded(job)?;
            self.upload(job, work.clone());
            Some(work)
        })
    }

    fn recorded(&self, job: u64) -> Option<JobWork> {
        let record = self.state.value(&active_key(JobId(job)))?;
        let JobRecord { spec, .. } = serde_json::from_value(record).ok()?;
        let shape = JobRequirements {
            team: spec.team.clone(),
            class: spec.class.clone(),
            tasks: spec.tasks,
            cpus: spec.cpus,
            spot: spec.spot,
            zone: spec.zone.clone(),
            service: spec.is_service(),
        };
        Some(JobWork { shape, run_ms: (spec.estimate_s * 1000.0) as Ms })
    }

    fn is_done(&self, job: u64, task: u32) -> bool {
        self.lock().done.get(&job).is_some_and(|tasks| tasks.contains(&task))
    }

    fn set_done(&self, job: u64, task: u32) {
        self.lock().done.entry(job).or_default().insert(task);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, DescribedJobs> {
        lock(&self.jobs)
    }
}

/// Troubles of single machines, by name, and until when each lasts.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineTrouble {
    /// Nothing is executed; within its lease it goes on.
    pub hangs_until: Ms,
    /// Its reports reach nobody.
    pub mute_until: Ms,
    /// Answers do not reach it.
    pub deaf_until: Ms,
}

/// EventKind all workers of a run share.
pub struct Fleet {
    /// The run's clock.
    pub clock: Clock,
    /// The run's history.
    pub history: History,
    /// DurationSummary and limits.
    pub deployment: Deployment,
    /// The cloud, which knows what became of a machine.
    pub cloud: Cloud,
    /// The jobs.
    pub jobs: JobDescriptions,
    /// Where the workers of each zone reach each controller.
    pub nodes: HashMap<&'static str, Vec<SocketAddr>>,
    /// Troubles of single machines.
    pub troubles: Mutex<HashMap<String, MachineTrouble>>,
    /// Thousandths of the reports of which a copy comes late.
    pub copies: AtomicU64,
    /// The highest token that a worker took, and the node it came from.
    pub token: AtomicU64,
    /// The node that answered with the highest token.
    pub leader: AtomicUsize,
    /// The run is over.
    pub over: std::sync::atomic::AtomicBool,
}

impl Fleet {
    fn trouble(&self, machine: &str) -> MachineTrouble {
        let troubles = lock(&self.troubles);
        troubles.get(machine).copied().unwrap_or_default()
    }

    /// Changes the troubles of a machine.
    pub fn set_trouble(&self, machine: &str, change: impl FnOnce(&mut MachineTrouble)) {
        let mut troubles = lock(&self.troubles);
        change(troubles.entry(machine.into()).or_default());
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Fetching,
    Running,
    /// Ended, with the reason that reports give.
    Ended(&'static str),
}

#[derive(Clone, Debug)]
struct Task {
    state: State,
    /// When the present state is over.
    until: Ms,
    run_ms: Ms,
    cpus: f64,
    fails: bool,
}

type TaskKey = (u64, u32, u64);

/// EventKind one worker holds; all of it is a function of time, reports and answers.
struct Worker {
    machine: Machine,
    fleet: Arc<Fleet>,
    rng: SmallRng,
    session: u64,
    sequence: u64,
    token: u64,
    /// From when the lease counts.
    renewed: Ms,
    tasks: BTreeMap<TaskKey, Task>,
    changed: bool,
    /// When a higher token last counted as a change: at most once in half a lease.
    token_changed: Option<Ms>,
}

/// Runs a machine's worker until the machine is gone or the run is over.
pub async fn run(machine: Machine, fleet: Arc<Fleet>, seed: u64) {
    let clock = fleet.clock;
    clock.sleep_until(machine.up_at).await;
    if fleet.cloud.gone(&machine.name).is_some() {
        return;
    }
    let up = clock.now();
    let (name, zone, spot) = (machine.name.clone(), machine.zone, machine.spot);
    let machine_up = EventKind::MachineStarted { machine: name.clone(), zone: zone.into(), spot };
    fleet.history.record(up, machine_up);
    let addresses = fleet.nodes[zone].clone();
    let mut client = Client::default();
    let mut worker = Worker {
        machine,
        fleet: fleet.clone(),
        rng: SmallRng::seed_from_u64(seed),
        session: 1,
        sequence: 0,
        token: 0,
        renewed: up,
        tasks: BTreeMap::new(),
        changed: false,
        token_changed: None,
    };
    let mut node = worker.rng.random_range(0..addresses.len());
    let mut next = up;
    // Machines by the thousand would keep this process busy with waking up alone.
    let look_ms = fleet.deployment.report_ms / 20;
    let mut last = 0;
    while !fleet.over.load(Ordering::Relaxed) {
        let now = clock.now();
        if let Some(gone) = fleet.cloud.gone(&name) {
            worker.advance(gone.min(now));
            worker.end_all(gone.min(now), TaskEndReason::MachineGone);
            return;
        }
        worker.advance(now);
        let trouble = fleet.trouble(&name);
        let due = if worker.changed { next.min(last + CHANGE_MS) } else { next };
        if now < trouble.hangs_until || now < due {
            let wake = due.max(trouble.hangs_until).min(now + look_ms).max(now + 5);
            clock.sleep_until(wake).await;
            continue;
        }
        let report = worker.report();
        last = now;
        worker.changed = false;
        let body = report.to_string();
        let copied = fleet.copies.load(Ordering::Relaxed);
        if worker.rng.random_bool(copied as f64 / 1000.0) {
            worker.send_copy(addresses[node], body.clone());
        }
        let answer = match now < trouble.mute_until {
            true => {
                tokio::time::sleep(PATIENCE).await;
                None
            }
            false => client.call(addresses[node], "POST", "/checkin", body, PATIENCE).await,
        };
        let here = clock.now();
        worker.advance(here);
        let trouble = fleet.trouble(&name);
        let heard = here >= trouble.hangs_until
            && here >= trouble.deaf_until
            && here <= now + PATIENCE.as_millis() as Ms;
        let spread = fleet.deployment.report_ms;
        next = now + worker.rng.random_range(spread * 3 / 4..=spread * 5 / 4);
        let asked = node;
        match answer.filter(|_| heard) {
            Some(answer) if answer.status == 200 => worker.take(here, now, &report, node, &answer),
            Some(answer) if answer.status == 421 => {
                let named = answer.body["steward"].as_str().and_then(|name| {
                    (0..addresses.len()).find(|node| Deployment::controller_name(*node) == name)
                });
                let other = named.filter(|named| *named != node);
                next = here + if other.is_some() { 50 } else { NEXT_NODE_MS };
                node = other.unwrap_or((node + 1) % addresses.len());
            }
            _ => {
                next = here + NEXT_NODE_MS;
                node = (node + 1) % addresses.len();
            }
        }
        if node != asked {
            // It closes the connection to a node that it leaves.
            client = Client::default();
        }
    }
}

impl Worker {
    fn attempt(&self, key: TaskKey) -> TaskAttempt {
        let (job, task, attempt) = key;
        TaskAttempt { job, task, attempt, machine: self.machine.name.clone() }
    }

    /// Lets everything happen that happens up to a moment, each at its own time.
    fn advance(&mut self, now: Ms) {
        let lease = self.fleet.deployment.lease_ms;
        while now > self.renewed + lease {
            let end = self.renewed + lease;
            self.advance_tasks(end);
            self.end_all(end, TaskEndReason::LeaseExpired);
            self.session += 1;
            self.renewed = end;
            self.changed = true;
        }
        self.advance_tasks(now);
    }

    fn advance_tasks(&mut self, now: Ms) {
        loop {
            let due = self.tasks.iter().filter(|(_, task)| task.until <= now);
            let Some(key) = due.min_by_key(|(_, task)| task.until).map(|(key, _)| *key) else {
                return;
            };
            self.step(key);
        }
    }

    /// The present state of a task is over.
    fn step(&mut self, key: TaskKey) {
        let (job, index, _) = key;
        let attempt = self.attempt(key);
        let known_done = self.fleet.jobs.is_done(job, index);
        let Some(task) = self.tasks.get_mut(&key) else { return };
        let at = std::mem::replace(&mut task.until, Ms::MAX);
        self.changed = true;
        match task.state {
            State::Fetching => {
                task.state = State::Running;
                // EventKind is done once ends at once.
                task.until = if known_done { at } else { at.saturating_add(task.run_ms) };
                self.fleet.history.record(at, EventKind::TaskStarted(attempt));
            }
            State::Running => {
                let failed = task.fails && !known_done;
                task.state = State::Ended(if failed { "error" } else { "done" });
                let why = if failed { TaskEndReason::Failed } else { TaskEndReason::Completed };
                if !failed {
                    self.fleet.jobs.set_done(job, index);
                }
                self.fleet.history.record(at, EventKind::TaskEnded { attempt, reason: why });
            }
            State::Ended(_) => {}
        }
    }

    fn end_all(&mut self, at: Ms, why: TaskEndReason) {
        for (key, task) in std::mem::take(&mut self.tasks) {
            if task.state == State::Running {
                let attempt = self.attempt(key);
                self.fleet.history.record(at, EventKind::TaskEnded { attempt, reason: why });
            }
        }
    }

    fn report(&mut self) -> Value {
        self.sequence += 1;
        let leaves: Vec<Value> = self
            .tasks
            .iter()
            .map(|((job, index, attempt), task)| {
                let leaf = format!("job-{job:06}/{index}");
                match task.state {
                    State::Ended(why) => json!({"leaf": leaf, "printing": attempt,
                        "condition": "ended", "colophon": why}),
                    State::Running => json!({"leaf": leaf, "printing": attempt,
                        "condition": "running"}),
                    State::Fetching => json!({"leaf": leaf, "printing": attempt,
                        "condition": "fetching"}),
                }
            })
            .collect();
        json!({"stack": self.machine.name, "endpoint": "127.0.0.1:1", "format": MACHINE_TYPE,
            "room": self.machine.zone, "remainders": self.machine.spot, "tenure": self.session,
            "folio": self.sequence, "warrant": self.token, "recallS": null, "leaves": leaves})
    }

    /// A copy of a report arrives again, late, at whoever listens there then.
    fn send_copy(&mut self, to: SocketAddr, body: String) {
        let late = Duration::from_millis(self.rng.random_range(COPY_LATE_MS));
        tokio::spawn(async move {
            tokio::time::sleep(late).await;
            Client::default().call(to, "POST", "/checkin", body, PATIENCE).await;
        });
    }

    /// Takes an answer at `now` to a report that was sent at `sent`.
    fn take(&mut self, now: Ms, sent: Ms, report: &Value, node: usize, answer: &Answer) {
        let token = answer.body["warrant"].as_u64().unwrap_or(0);
        if token < self.token || report["tenure"].as_u64() != Some(self.session) {
            return;
        }
        let half = self.fleet.deployment.lease_ms / 2;
        if token > self.token && self.token_changed.is_none_or(|at| now >= at + half) {
            self.token_changed = Some(now);
            self.changed = true;
        }
        self.token = token;
        self.renewed = self.renewed.max(sent);
        if self.fleet.token.fetch_max(token, Ordering::Relaxed) <= token {
            self.fleet.leader.store(node, Ordering::Relaxed);
        }
        let machine = self.machine.name.clone();
        self.fleet
            .history
            .record(now, EventKind::LeaseRenewed { machine, controller: node, token });
        let none = Vec::new();
        for order in answer.body["orders"].as_array().unwrap_or(&none) {
            self.carry_out(now, token, node, order);
        }
    }

    fn carry_out(&mut self, now: Ms, token: u64, node: usize, order: &Value) {
        let Some(task) = order["leaf"].as_str().and_then(names::task) else { return };
        let key = (task.job.0, task.index, order["printing"].as_u64().unwrap_or(0));
        let name = order["order"].as_str().unwrap_or("").to_string();
        let ordered = EventKind::CommandReceived {
            attempt: self.attempt(key),
            command: name.clone(),
            token,
            controller: node,
        };
        self.fleet.history.record(now, ordered);
        match name.as_str() {
            "start" => self.start(now, key),
            "kill" => self.stop(now, key),
            "forget" => {
                let ended = |task: &Task| matches!(task.state, State::Ended(_));
                if self.tasks.get(&key).is_some_and(ended) {
                    self.tasks.remove(&key);
                }
            }
            _ => {}
        }
    }

    fn start(&mut self, now: Ms, key: TaskKey) {
        if self.tasks.contains_key(&key) {
            return;
        }
        self.changed = true;
        let work = self.fleet.jobs.find(key.0);
        let live = |task: &&Task| !matches!(task.state, State::Ended(_));
        let used: f64 = self.tasks.values().filter(live).map(|task| task.cpus).sum();
        let here = self
            .tasks
            .iter()
            .any(|(other, task)| (other.0, other.1) == (key.0, key.1) && live(&task));
        let cpus = work.as_ref().map_or(0.0, |work| work.shape.cpus);
        let state = match &work {
            None => State::Ended("unknown"),
            Some(work) if key.1 >= work.shape.tasks => State::Ended("unknown"),
            Some(_) if here => State::Ended("in_use"),
            Some(_) if used + cpus > MACHINE_CPUS + 1e-9 => State::Ended("no_room"),
            Some(_) => State::Fetching,
        };
        let fetched = now + self.rng.random_range(50..600);
        let until = if state == State::Fetching { fetched } else { Ms::MAX };
        let run_ms = work.map_or(0, |work| match work.shape.service {
            true => Ms::MAX / 4,
            false => work.run_ms,
        });
        let fails = self.rng.random_bool(0.02);
        self.tasks.insert(key, Task { state, until, run_ms, cpus, fails });
    }

    /// Nothing here saves: a task that is stopped exits at once.
    fn stop(&mut self, now: Ms, key: TaskKey) {
        let attempt = self.attempt(key);
        let Some(task) = self.tasks.get_mut(&key) else { return };
        if matches!(task.state, State::Ended(_)) {
            return;
        }
        self.changed = true;
        let ran = task.state == State::Running;
        (task.state, task.until) = (State::Ended("stopped"), Ms::MAX);
        if ran {
            self.fleet
                .history
                .record(now, EventKind::TaskEnded { attempt, reason: TaskEndReason::Stopped });
        }
    }
}
