//! What a leader of 1,600 and of 4,000 machines does, counted and not timed: machines and tasks looked
//! at, allocations, calls of each service, bytes of each transaction. It begins with no
//! machine, rents all of them, and is started anew with all of them up.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use basaltrail_core::events::HeartbeatEvent;
use basaltrail_core::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::collections::BTreeMap;
use std::sync::Arc;

#[global_allocator]
static COUNTED: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// A fleet, and the settings that its operators would give it.
#[derive(Clone, Copy)]
struct Scale {
    machines: usize,
    heartbeat_interval_ms: u64,
    lease_ms: u64,
    cancel_ms: u64,
    store_rps: f64,
    write_rps: f64,
    cloud_rps: f64,
    memory_mb: f64,
    /// Milliseconds between two submissions.
    submission_interval_ms: u64,
}

const SCALES: [Scale; 2] = [
    Scale {
        machines: 1_600,
        heartbeat_interval_ms: 4_000,
        lease_ms: 22_000,
        cancel_ms: 42_000,
        store_rps: 500.0,
        write_rps: 80.0,
        cloud_rps: 8.0,
        memory_mb: 188.0,
        submission_interval_ms: 700,
    },
    Scale {
        machines: 4_000,
        heartbeat_interval_ms: 8_000,
        lease_ms: 40_000,
        cancel_ms: 60_000,
        store_rps: 2_000.0,
        write_rps: 320.0,
        cloud_rps: 32.0,
        memory_mb: 700.0,
        submission_interval_ms: 300,
    },
];
const PROVISIONING_MS: u64 = 20_000;
const DAY_MS: u64 = 150_000;
const RESTART_AT_MS: u64 = 100_000;

fn settings(scale: &Scale, incarnation: u64) -> Settings {
    let team = |i: usize| Team {
        name: format!("t{i}"),
        cpus: scale.machines as f64 * 1.875,
        cpus_max: scale.machines as f64 * 5.625,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    Settings {
        controller: "n0".into(),
        zone: "a".into(),
        controller_count: 5,
        zones: vec!["a".into(), "b".into()],
        peer_zones: vec!["a".into(); 4],
        teams: (0..4).map(team).collect(),
        objectives: vec![Objective::Finished { class: "c".into(), within_s: 120.0 }],
        heartbeat_interval_ms: scale.heartbeat_interval_ms,
        lease_ms: scale.lease_ms,
        cancel_ms: scale.cancel_ms,
        store_rps: scale.store_rps,
        write_rps: scale.write_rps,
        value_bytes: 4_096,
        transaction_ops: 12,
        cloud_rps: scale.cloud_rps,
        list_lag_ms: 5_000,
        memory_mb: scale.memory_mb,
        max_machines: 5_000,
        incarnation,
        policy: Policy::default(),
    }
}

#[derive(Default)]
struct Worker {
    up_at: u64,
    sequence: u64,
    token: FencingToken,
    tasks: BTreeMap<(TaskId, Attempt), (TaskState, u64)>,
    reported: u64,
    next: u64,
}

#[derive(Default, Debug)]
struct WorkCount {
    inputs: u64,
    heartbeats: u64,
    starts: u64,
    done: u64,
    store_requests: u64,
    writes: u64,
    cloud_requests: u64,
    largest_transaction: usize,
}

struct SimulatedCluster {
    scale: Scale,
    now: u64,
    controller: Controller,
    rng: SmallRng,
    workers: Vec<Worker>,
    keys: BTreeMap<String, (String, u64)>,
    revision: u64,
    log: Vec<(String, u64)>,
    lease_id: u64,
    /// Answers on their way, and when they arrive.
    replies_due: BTreeMap<(u64, u64), Input>,
    watches: Vec<(CallId, String, u64, u64)>,
    req: u64,
    awaiting_answer: BTreeMap<RequestId, usize>,
    count: WorkCount,
}

impl SimulatedCluster {
    fn answer(&mut self, after: u64, input: Input) {
        self.req += 1;
        self.replies_due.insert((self.now + after, self.req), input);
    }

    fn feed(&mut self, input: Input) {
        self.count.inputs += 1;
        for e in self.controller.step(self.now, self.now as i64, input) {
            match e {
                Effect::Answer { req, answer } => self.commands(req, answer),
                Effect::Store { op, call, .. } => self.store_request(op, call),
                Effect::Cloud { op, call, .. } => self.cloud_request(op, call),
                Effect::Log(LogEvent::Heartbeat(
                    violation @ HeartbeatEvent::RenewalViolation { .. },
                )) => {
                    panic!("{violation:?}")
                }
                _ => {}
            }
        }
    }

    fn commands(&mut self, req: RequestId, answer: Answer) {
        let Some(m) = self.awaiting_answer.remove(&req) else { return };
        let t = self.now;
        let heartbeat = self.scale.heartbeat_interval_ms;
        let w = &mut self.workers[m];
        let Answer::Commands { token, commands } = answer else {
            w.next = t + 1_000;
            return;
        };
        w.next = t + self.rng.random_range(heartbeat * 3 / 4..heartbeat * 5 / 4);
        if token > w.token || !commands.is_empty() {
            w.next = t + 500;
        }
        w.token = token;
        for o in commands {
            match o {
                TaskCommand::Start { task, attempt } => {
                    self.count.starts += 1;
                    let until = t + self.rng.random_range(20_000..60_000);
                    w.tasks.insert((task, attempt), (TaskState::Running, until));
                }
                TaskCommand::Forget { task, attempt } => {
                    w.tasks.remove(&(task, attempt));
                }
                TaskCommand::Stop { task, attempt, .. } => {
                    if let Some(x) = w.tasks.get_mut(&(task, attempt)) {
                        *x = (TaskState::Exited(ExitReason::Stopped), u64::MAX);
                    }
                }
            }
        }
    }

    fn item(&self, key: &str) -> Option<KeyValue> {
        let (value, mod_revision) = self.keys.get(key)?;
        let lease_id = (key == records::LEADER_KEY).then_some(LeaseId(self.lease_id));
        Some(KeyValue {
            key: key.into(),
            value: value.clone(),
            mod_revision: Revision(*mod_revision),
            lease_id,
        })
    }

    fn events_after(&self, prefix: &str, after: u64) -> Vec<WatchEvent> {
        let new = self.log.iter().rev().take_while(|(_, r)| *r > after);
        let mut events: Vec<WatchEvent> = new
            .filter(|(k, _)| k.starts_with(prefix))
            .map(|(k, r)| match self.item(k) {
                Some(i) => WatchEvent::Put(i),
                None => WatchEvent::Delete { key: k.clone(), mod_revision: Revision(*r) },
            })
            .collect();
        events.reverse();
        events
    }

    fn store_request(&mut self, op: CallId, call: StoreRequest) {
        self.count.store_requests += 1;
        let reply = match call {
            StoreRequest::Get(key) => {
                self.item(&key).map_or(StoreReply::NotFound, StoreReply::KeyValue)
            }
            StoreRequest::List { prefix, after, limit } => {
                let from = after.unwrap_or_default();
                let keys = self.keys.keys().filter(|k| k.starts_with(&prefix) && **k > from);
                let some: Vec<String> = keys.take(limit as usize + 1).cloned().collect();
                let more = some.len() > limit as usize;
                let items = some.iter().take(limit as usize).filter_map(|k| self.item(k)).collect();
                StoreReply::Page { items, more, revision: Revision(self.revision) }
            }
            StoreRequest::Transaction { preconditions, puts, deletes } => {
                assert!(puts.len() + deletes.len() <= 12 && preconditions.len() <= 48);
                assert!(puts.iter().all(|p| p.value.len() <= 4_096), "a value is too long");
                let keys = preconditions.iter().map(|p| p.key.len() + 40).sum::<usize>();
                let values = puts.iter().map(|p| p.key.len() + p.value.len() + 40).sum::<usize>();
                self.count.largest_transaction =
                    self.count.largest_transaction.max(keys + values + 60 * deletes.len());
                self.count.writes += (puts.len() + deletes.len()) as u64;
                let mod_revision = |k: &String| self.keys.get(k).map_or(0, |(_, s)| *s);
                let bad = preconditions
                    .iter()
                    .filter(|p| Revision(mod_revision(&p.key)) != p.mod_revision);
                let failed: Vec<String> = bad.map(|p| p.key.clone()).collect();
                if failed.is_empty() {
                    self.revision += 1;
                    for p in puts {
                        self.log.push((p.key.clone(), self.revision));
                        self.keys.insert(p.key, (p.value, self.revision));
                    }
                    for key in deletes {
                        self.keys.remove(&key);
                        self.log.push((key, self.revision));
                    }
                    StoreReply::Committed { revision: Revision(self.revision) }
                } else {
                    StoreReply::Conflict { failed }
                }
            }
            StoreRequest::GrantLease { .. } => {
                self.lease_id += 1;
                StoreReply::LeaseGranted { lease_id: LeaseId(self.lease_id) }
            }
            StoreRequest::RevokeLease { lease_id } => {
                if lease_id == LeaseId(self.lease_id) {
                    self.revision += 1;
                    self.keys.remove(records::LEADER_KEY);
                    self.log.push((records::LEADER_KEY.into(), self.revision));
                }
                StoreReply::Ok
            }
            StoreRequest::KeepAlive { .. } => StoreReply::Ok,
            StoreRequest::Watch { prefix, after, wait_ms } => {
                return self.watches.push((op, prefix, after.0, self.now + wait_ms));
            }
        };
        self.answer(10, Input::Store { op, reply });
    }

    fn watch(&mut self) {
        for (op, prefix, after, until) in std::mem::take(&mut self.watches) {
            let events = self.events_after(&prefix, after);
            if events.is_empty() && self.now < until {
                self.watches.push((op, prefix, after, until));
            } else {
                let reply = StoreReply::Events { revision: Revision(self.revision), events };
                self.answer(5, Input::Store { op, reply });
            }
        }
    }

    fn cloud_request(&mut self, op: CallId, call: CloudRequest) {
        self.count.cloud_requests += 1;
        let name = |m: usize| MachineId(format!("m-{m:06}").into());
        let reply = match call {
            CloudRequest::Types => CloudReply::Types(vec![MachineType {
                name: "x".into(),
                cpus: 8.0,
                gpus: 0.0,
                memory_gb: 16.0,
                cache_gb: 30.0,
                fetch_gb_per_s: 1.0,
                price: 0.5,
                spot_price: 0.5,
                boot_s: 20.0,
                zones: vec!["a".into(), "b".into()],
            }]),
            CloudRequest::Provision { count, .. } => {
                let from = self.workers.len();
                for _ in 0..(count as usize).min(self.scale.machines - from) {
                    let up_at = self.now + PROVISIONING_MS * self.rng.random_range(6..15) / 10;
                    self.workers.push(Worker { up_at, next: up_at, ..Worker::default() });
                }
                match self.workers.len() - from {
                    0 => CloudReply::NoCapacity,
                    n => CloudReply::Provisioned((from..from + n).map(name).collect()),
                }
            }
            CloudRequest::Terminate(_) => CloudReply::Terminated,
            CloudRequest::List { after } => {
                let from = after.map_or(0, |a| a[2..].parse::<usize>().unwrap() + 1);
                let to = self.workers.len().min(from + 500);
                let machines = (from..to).map(|m| ListedMachine {
                    machine: name(m),
                    endpoint: "e".into(),
                    machine_type: "x".into(),
                    zone: ["a", "b"][m % 2].into(),
                    spot: false,
                    state: ListedState::Running,
                    age_s: 1.0,
                });
                CloudReply::Listed { machines: machines.collect(), more: to < self.workers.len() }
            }
        };
        self.answer(150, Input::Cloud { op, reply });
    }

    fn heartbeat(&mut self, m: usize) {
        let t = self.now;
        let w = &mut self.workers[m];
        w.sequence += 1;
        w.next = u64::MAX;
        w.reported = t;
        let tasks = w.tasks.iter().map(|((task, attempt), (s, _))| TaskStatus {
            task: *task,
            attempt: *attempt,
            state: *s,
        });
        let heartbeat = Heartbeat {
            machine: MachineId(format!("m-{m:06}").into()),
            endpoint: "e".into(),
            machine_type: "x".into(),
            zone: ["a", "b"][m % 2].into(),
            spot: false,
            agent_epoch: AgentEpoch(1),
            sequence: w.sequence,
            token: w.token,
            reclaim_notice_s: None,
            tasks: tasks.collect(),
        };
        self.req += 1;
        let req = RequestId(self.req);
        self.awaiting_answer.insert(req, m);
        self.count.heartbeats += 1;
        self.feed(Input::Heartbeat { req, heartbeat: Box::new(heartbeat) });
    }

    fn submit(&mut self, job: u64) {
        let tasks = [40, 60, 100, 250, 1_000][self.rng.random_range(0..5)];
        let spec = JobSpec {
            kind: JobKind::Array,
            class: "c".into(),
            team: format!("t{}", job % 4),
            priority: if job.is_multiple_of(3) { Priority::Normal } else { Priority::Low },
            tasks,
            cpus: 2.0,
            gpus: 0.0,
            memory_gb: 2.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            image: format!("i{}", job % 8),
            image_gb: 1.0,
            estimate_s: 40.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        };
        self.req += 1;
        let req = RequestId(self.req);
        self.feed(Input::Submit { req, job: JobId(job), spec: Box::new(spec) });
    }

    fn run(&mut self, until: u64) {
        let mut job = self.now;
        while self.now < until {
            self.now += 10;
            while let Some(e) = self.replies_due.first_entry().filter(|e| e.key().0 <= self.now) {
                let input = e.remove();
                self.feed(input);
            }
            if self.now.is_multiple_of(50) {
                self.watch();
                self.feed(Input::Tick);
            }
            if self.now.is_multiple_of(self.scale.submission_interval_ms) {
                job += 1;
                self.submit(job);
            }
            for m in 0..self.workers.len() {
                let t = self.now;
                let w = &mut self.workers[m];
                if t < w.up_at {
                    continue;
                }
                for (s, _) in w.tasks.values_mut().filter(|(_, until)| *until <= t) {
                    if *s == TaskState::Running {
                        *s = TaskState::Exited(ExitReason::Done);
                        self.count.done += 1;
                        if w.next != u64::MAX {
                            w.next = w.next.min((w.reported + 500).max(t));
                        }
                    }
                }
                if w.next <= t {
                    self.heartbeat(m);
                }
            }
        }
    }
}

#[test]
fn work_grows_with_the_cluster_and_not_with_its_heartbeats() {
    for scale in SCALES {
        count_work(scale);
    }
}

fn count_work(scale: Scale) {
    let mut cluster = SimulatedCluster {
        scale,
        now: 0,
        controller: Controller::new(Arc::new(settings(&scale, 1)), 1),
        rng: SmallRng::seed_from_u64(1),
        workers: Vec::new(),
        keys: BTreeMap::new(),
        revision: 0,
        log: Vec::new(),
        lease_id: 0,
        replies_due: BTreeMap::new(),
        watches: Vec::new(),
        req: 0,
        awaiting_answer: BTreeMap::new(),
        count: WorkCount::default(),
    };
    cluster.run(RESTART_AT_MS - 20_000);
    assert_eq!(cluster.workers.len(), scale.machines, "not all were rented");
    cluster.count = WorkCount::default();
    let before = cluster.controller.visited();
    let region = Region::new(COUNTED);
    cluster.run(RESTART_AT_MS);
    let made = region.change().allocations as u64;
    let visited = cluster.controller.visited() - before;
    let count = std::mem::take(&mut cluster.count);
    println!("20 s: {count:?}, {visited} visited, {made} allocations, the stand-in's included");
    assert!(count.heartbeats > 5_000 && count.starts > 1_500, "too little to do: {count:?}");
    // A cycle over all machines and tasks at set times, and one machine a heartbeat.
    let all: u64 = cluster.workers.iter().map(|worker| 2 + worker.tasks.len() as u64).sum();
    let cycles = 20_000 / (scale.heartbeat_interval_ms / 20) + 2;
    assert!(visited <= all * cycles * 3 / 2 + count.heartbeats, "{visited} of {all} in {cycles}");
    assert!(made / count.heartbeats < 150, "{} allocations a heartbeat", made / count.heartbeats);
    assert!(count.store_requests as f64 <= 20.0 * scale.store_rps, "{count:?}");
    assert!(count.writes as f64 <= 20.0 * scale.write_rps, "{count:?}");
    assert!(count.cloud_requests as f64 <= 20.0 * scale.cloud_rps, "{count:?}");
    assert!(count.largest_transaction <= 64 * 1024, "{count:?}");

    // The process ends; the next one finds all machines up, and they all come at once.
    cluster.controller = Controller::new(Arc::new(settings(&scale, 2)), 2);
    cluster.replies_due.clear();
    cluster.watches.clear();
    cluster.awaiting_answer.clear();
    let now = cluster.now;
    for x in &mut cluster.workers {
        x.next = now + 500;
    }
    cluster.run(RESTART_AT_MS + 12_000);
    let starts = cluster.count.starts;
    println!("12 s after a restart: {:?}", cluster.count);
    assert!(cluster.controller.is_leading() && starts > 500, "{starts} starts after a restart");
    assert!(cluster.count.largest_transaction <= 64 * 1024);
    cluster.run(DAY_MS);
    assert!(cluster.count.done > 4_000, "{:?}", cluster.count);
}
