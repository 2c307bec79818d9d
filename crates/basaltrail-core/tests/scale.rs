//! Checks that the work of a leader of 1,600 and of 4,000 machines stays within bounds. The test
//! counts work instead of measuring time: visited machines and tasks, allocations, requests to each
//! service, and bytes of each transaction. The leader starts without machines, provisions all of
//! them, and is restarted while all of them are up.

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
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The size of a cluster, and the settings that its operators would use.
#[derive(Clone, Copy)]
struct Scale {
    machines: usize,
    heartbeat_interval_ms: u64,
    worker_lease_ms: u64,
    max_cancellation_ms: u64,
    store_rps: f64,
    write_rps: f64,
    cloud_rps: f64,
    memory_mb: f64,
    /// Time between two submissions, in milliseconds.
    submission_interval_ms: u64,
}

const SCALES: [Scale; 2] = [
    Scale {
        machines: 1_600,
        heartbeat_interval_ms: 4_000,
        worker_lease_ms: 22_000,
        max_cancellation_ms: 42_000,
        store_rps: 500.0,
        write_rps: 80.0,
        cloud_rps: 8.0,
        memory_mb: 188.0,
        submission_interval_ms: 700,
    },
    Scale {
        machines: 4_000,
        heartbeat_interval_ms: 8_000,
        worker_lease_ms: 40_000,
        max_cancellation_ms: 60_000,
        store_rps: 2_000.0,
        write_rps: 320.0,
        cloud_rps: 32.0,
        memory_mb: 700.0,
        submission_interval_ms: 300,
    },
];
/// Nominal time from a provision request to the first heartbeat of the machine, in milliseconds.
const PROVISIONING_MS: u64 = 20_000;
/// Time at which a run ends, in milliseconds.
const END_MS: u64 = 150_000;
/// Time at which the controller is restarted, in milliseconds.
const RESTART_AT_MS: u64 = 100_000;

fn settings(scale: &Scale, incarnation: u64) -> Settings {
    let team = |index: usize| Team {
        name: format!("t{index}"),
        guaranteed_cpus: scale.machines as f64 * 1.875,
        max_cpus: scale.machines as f64 * 5.625,
        guaranteed_gpus: 0.0,
        max_gpus: 0.0,
    };
    Settings {
        controller: "n0".into(),
        zone: "a".into(),
        controller_count: 5,
        zones: vec!["a".into(), "b".into()],
        peer_zones: vec!["a".into(); 4],
        teams: (0..4).map(team).collect(),
        objectives: vec![Objective::Completed { class: "c".into(), within_s: 120.0 }],
        heartbeat_interval_ms: scale.heartbeat_interval_ms,
        worker_lease_ms: scale.worker_lease_ms,
        max_cancellation_ms: scale.max_cancellation_ms,
        store_rps: scale.store_rps,
        write_rps: scale.write_rps,
        max_value_bytes: 4_096,
        max_transaction_ops: 12,
        cloud_rps: scale.cloud_rps,
        inventory_lag_ms: 5_000,
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
    /// The state of each attempt, and the time at which it ends.
    tasks: BTreeMap<(TaskId, Attempt), (TaskState, u64)>,
    last_heartbeat_at: u64,
    next_heartbeat_at: u64,
}

#[derive(Default, Debug)]
struct WorkCounts {
    inputs: u64,
    heartbeats: u64,
    started_tasks: u64,
    completed_tasks: u64,
    store_requests: u64,
    writes: u64,
    cloud_requests: u64,
    /// Size of the largest transaction, in bytes.
    largest_transaction: usize,
}

struct SimulatedCluster {
    scale: Scale,
    now: u64,
    controller: Controller,
    rng: SmallRng,
    workers: Vec<Worker>,
    /// The value and the modification revision of each key in the store.
    keys: BTreeMap<String, (String, u64)>,
    revision: u64,
    /// The changed keys, and the revisions of the changes.
    change_log: Vec<(String, u64)>,
    lease_id: u64,
    /// Replies in transit, by the time at which they arrive.
    replies_in_transit: BTreeMap<(u64, u64), Input>,
    /// Open watches: call ID, prefix, revision, and the time at which the wait ends.
    watches: Vec<(CallId, String, u64, u64)>,
    last_id: u64,
    /// The machines that wait for the answer to a heartbeat, by request.
    unanswered_heartbeats: BTreeMap<RequestId, usize>,
    counts: WorkCounts,
}

impl SimulatedCluster {
    /// Sends a reply to the controller, which arrives after `delay_ms`.
    fn send_reply(&mut self, delay_ms: u64, input: Input) {
        self.last_id += 1;
        self.replies_in_transit.insert((self.now + delay_ms, self.last_id), input);
    }

    fn feed(&mut self, input: Input) {
        self.counts.inputs += 1;
        for effect in self.controller.step(self.now, self.now as i64, input) {
            match effect {
                Effect::Answer { request_id, answer } => self.handle_answer(request_id, answer),
                Effect::Store { call_id, request, .. } => {
                    self.execute_store_request(call_id, request)
                }
                Effect::Cloud { call_id, request, .. } => {
                    self.execute_cloud_request(call_id, request)
                }
                Effect::Log(LogEvent::Heartbeat(
                    violation @ HeartbeatEvent::RenewalViolation { .. },
                )) => {
                    panic!("{violation:?}")
                }
                _ => {}
            }
        }
    }

    /// Executes the commands in an answer and sets the time of the worker's next heartbeat.
    fn handle_answer(&mut self, request_id: RequestId, answer: Answer) {
        let Some(machine) = self.unanswered_heartbeats.remove(&request_id) else { return };
        let now = self.now;
        let interval_ms = self.scale.heartbeat_interval_ms;
        let worker = &mut self.workers[machine];
        let Answer::Commands { token, commands } = answer else {
            worker.next_heartbeat_at = now + 1_000;
            return;
        };
        worker.next_heartbeat_at =
            now + self.rng.random_range(interval_ms * 3 / 4..interval_ms * 5 / 4);
        if token > worker.token || !commands.is_empty() {
            worker.next_heartbeat_at = now + 500;
        }
        worker.token = token;
        for command in commands {
            match command {
                TaskCommand::Start { task, attempt } => {
                    self.counts.started_tasks += 1;
                    let ends_at = now + self.rng.random_range(20_000..60_000);
                    worker.tasks.insert((task, attempt), (TaskState::Running, ends_at));
                }
                TaskCommand::Forget { task, attempt } => {
                    worker.tasks.remove(&(task, attempt));
                }
                TaskCommand::Stop { task, attempt, .. } => {
                    if let Some(state) = worker.tasks.get_mut(&(task, attempt)) {
                        *state = (TaskState::Exited(ExitReason::Stopped), u64::MAX);
                    }
                }
            }
        }
    }

    fn read(&self, key: &str) -> Option<KeyValue> {
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
        let changes = self.change_log.iter().rev().take_while(|(_, revision)| *revision > after);
        let mut events: Vec<WatchEvent> = changes
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, revision)| match self.read(key) {
                Some(key_value) => WatchEvent::Put(key_value),
                None => WatchEvent::Delete { key: key.clone(), mod_revision: Revision(*revision) },
            })
            .collect();
        events.reverse();
        events
    }

    /// Executes a store request and sends the reply, except for watches, which stay open.
    fn execute_store_request(&mut self, call_id: CallId, request: StoreRequest) {
        self.counts.store_requests += 1;
        let reply = match request {
            StoreRequest::Get(key) => {
                self.read(&key).map_or(StoreReply::NotFound, StoreReply::KeyValue)
            }
            StoreRequest::List { prefix, after, limit } => {
                let after = after.unwrap_or_default();
                let matching = self.keys.keys().filter(|k| k.starts_with(&prefix) && **k > after);
                let keys: Vec<String> = matching.take(limit as usize + 1).cloned().collect();
                let more = keys.len() > limit as usize;
                let items = keys.iter().take(limit as usize).filter_map(|k| self.read(k)).collect();
                StoreReply::Page { items, more, revision: Revision(self.revision) }
            }
            StoreRequest::Transaction { preconditions, puts, deletes } => {
                assert!(puts.len() + deletes.len() <= 12 && preconditions.len() <= 48);
                assert!(puts.iter().all(|put| put.value.len() <= 4_096), "a value is too long");
                let key_bytes = preconditions.iter().map(|p| p.key.len() + 40).sum::<usize>();
                let put_bytes =
                    puts.iter().map(|p| p.key.len() + p.value.len() + 40).sum::<usize>();
                self.counts.largest_transaction =
                    self.counts.largest_transaction.max(key_bytes + put_bytes + 60 * deletes.len());
                self.counts.writes += (puts.len() + deletes.len()) as u64;
                let mod_revision = |key: &String| self.keys.get(key).map_or(0, |(_, r)| *r);
                let mismatches = preconditions
                    .iter()
                    .filter(|p| Revision(mod_revision(&p.key)) != p.mod_revision);
                let failed: Vec<String> = mismatches.map(|p| p.key.clone()).collect();
                if failed.is_empty() {
                    self.revision += 1;
                    for put in puts {
                        self.change_log.push((put.key.clone(), self.revision));
                        self.keys.insert(put.key, (put.value, self.revision));
                    }
                    for key in deletes {
                        self.keys.remove(&key);
                        self.change_log.push((key, self.revision));
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
                    self.change_log.push((records::LEADER_KEY.into(), self.revision));
                }
                StoreReply::LeaseUpdated
            }
            StoreRequest::KeepAlive { .. } => StoreReply::LeaseUpdated,
            StoreRequest::Watch { prefix, after, wait_ms } => {
                return self.watches.push((call_id, prefix, after.0, self.now + wait_ms));
            }
        };
        self.send_reply(10, Input::Store { call_id, reply });
    }

    /// Replies to the open watches that have events or whose wait ends.
    fn reply_to_watches(&mut self) {
        for (call_id, prefix, after, wait_ends_at) in std::mem::take(&mut self.watches) {
            let events = self.events_after(&prefix, after);
            if events.is_empty() && self.now < wait_ends_at {
                self.watches.push((call_id, prefix, after, wait_ends_at));
            } else {
                let reply = StoreReply::Events { revision: Revision(self.revision), events };
                self.send_reply(5, Input::Store { call_id, reply });
            }
        }
    }

    fn execute_cloud_request(&mut self, call_id: CallId, request: CloudRequest) {
        self.counts.cloud_requests += 1;
        let machine_id = |machine: usize| MachineId(format!("m-{machine:06}").into());
        let reply = match request {
            CloudRequest::MachineTypes => CloudReply::MachineTypes(vec![MachineType {
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
                let first = self.workers.len();
                for _ in 0..(count as usize).min(self.scale.machines - first) {
                    let up_at = self.now + PROVISIONING_MS * self.rng.random_range(6..15) / 10;
                    self.workers.push(Worker {
                        up_at,
                        next_heartbeat_at: up_at,
                        ..Worker::default()
                    });
                }
                match self.workers.len() - first {
                    0 => CloudReply::NoCapacity,
                    new => CloudReply::Provisioned((first..first + new).map(machine_id).collect()),
                }
            }
            CloudRequest::Terminate(_) => CloudReply::Terminated,
            CloudRequest::List { after } => {
                let first = after.map_or(0, |last| last[2..].parse::<usize>().unwrap() + 1);
                let end = self.workers.len().min(first + 500);
                let machines = (first..end).map(|machine| ListedMachine {
                    machine: machine_id(machine),
                    endpoint: "e".into(),
                    machine_type: "x".into(),
                    zone: ["a", "b"][machine % 2].into(),
                    spot: false,
                    state: ListedState::Running,
                    age_s: 1.0,
                });
                CloudReply::Listed { machines: machines.collect(), more: end < self.workers.len() }
            }
        };
        self.send_reply(150, Input::Cloud { call_id, reply });
    }

    /// Sends the heartbeat of a worker.
    fn send_heartbeat(&mut self, machine: usize) {
        let now = self.now;
        let worker = &mut self.workers[machine];
        worker.sequence += 1;
        worker.next_heartbeat_at = u64::MAX;
        worker.last_heartbeat_at = now;
        let tasks = worker.tasks.iter().map(|((task, attempt), (state, _))| TaskStatus {
            task: *task,
            attempt: *attempt,
            state: *state,
        });
        let heartbeat = Heartbeat {
            machine: MachineId(format!("m-{machine:06}").into()),
            endpoint: "e".into(),
            machine_type: "x".into(),
            zone: ["a", "b"][machine % 2].into(),
            spot: false,
            agent_epoch: AgentEpoch(1),
            sequence: worker.sequence,
            token: worker.token,
            reclaim_notice_s: None,
            tasks: tasks.collect(),
        };
        self.last_id += 1;
        let request_id = RequestId(self.last_id);
        self.unanswered_heartbeats.insert(request_id, machine);
        self.counts.heartbeats += 1;
        self.feed(Input::Heartbeat { request_id, heartbeat: Box::new(heartbeat) });
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
        self.last_id += 1;
        let request_id = RequestId(self.last_id);
        self.feed(Input::Submit { request_id, job: JobId(job), spec: Box::new(spec) });
    }

    /// Advances the time in steps of 10 ms.
    fn run_until(&mut self, end: u64) {
        let mut job = self.now;
        while self.now < end {
            self.now += 10;
            while let Some(reply) =
                self.replies_in_transit.first_entry().filter(|reply| reply.key().0 <= self.now)
            {
                let input = reply.remove();
                self.feed(input);
            }
            if self.now.is_multiple_of(50) {
                self.reply_to_watches();
                self.feed(Input::Tick);
            }
            if self.now.is_multiple_of(self.scale.submission_interval_ms) {
                job += 1;
                self.submit(job);
            }
            for machine in 0..self.workers.len() {
                let now = self.now;
                let worker = &mut self.workers[machine];
                if now < worker.up_at {
                    continue;
                }
                for (state, _) in worker.tasks.values_mut().filter(|(_, ends_at)| *ends_at <= now) {
                    if *state == TaskState::Running {
                        *state = TaskState::Exited(ExitReason::Done);
                        self.counts.completed_tasks += 1;
                        if worker.next_heartbeat_at != u64::MAX {
                            worker.next_heartbeat_at = worker
                                .next_heartbeat_at
                                .min((worker.last_heartbeat_at + 500).max(now));
                        }
                    }
                }
                if worker.next_heartbeat_at <= now {
                    self.send_heartbeat(machine);
                }
            }
        }
    }
}

#[test]
fn work_per_heartbeat_does_not_grow_with_the_cluster() {
    for scale in SCALES {
        check_work(scale);
    }
}

fn check_work(scale: Scale) {
    let mut cluster = SimulatedCluster {
        scale,
        now: 0,
        controller: Controller::new(Arc::new(settings(&scale, 1)), 1),
        rng: SmallRng::seed_from_u64(1),
        workers: Vec::new(),
        keys: BTreeMap::new(),
        revision: 0,
        change_log: Vec::new(),
        lease_id: 0,
        replies_in_transit: BTreeMap::new(),
        watches: Vec::new(),
        last_id: 0,
        unanswered_heartbeats: BTreeMap::new(),
        counts: WorkCounts::default(),
    };
    cluster.run_until(RESTART_AT_MS - 20_000);
    assert_eq!(cluster.workers.len(), scale.machines, "not all machines were provisioned");
    cluster.counts = WorkCounts::default();
    let visits_before = cluster.controller.visit_count();
    let region = Region::new(ALLOCATOR);
    cluster.run_until(RESTART_AT_MS);
    let allocations = region.change().allocations as u64;
    let visits = cluster.controller.visit_count() - visits_before;
    let counts = std::mem::take(&mut cluster.counts);
    println!("20 s: {counts:?}, {visits} visited, {allocations} allocations with the simulation's");
    assert!(
        counts.heartbeats > 5_000 && counts.started_tasks > 1_500,
        "too little load: {counts:?}"
    );
    // The leader visits all machines and tasks at a fixed interval, and one machine per heartbeat.
    let per_cycle: u64 = cluster.workers.iter().map(|worker| 2 + worker.tasks.len() as u64).sum();
    let cycles = 20_000 / (scale.heartbeat_interval_ms / 20) + 2;
    assert!(
        visits <= per_cycle * cycles * 3 / 2 + counts.heartbeats,
        "{visits} visits in {cycles} cycles of {per_cycle}"
    );
    assert!(
        allocations / counts.heartbeats < 150,
        "{} allocations per heartbeat",
        allocations / counts.heartbeats
    );
    assert!(counts.store_requests as f64 <= 20.0 * scale.store_rps, "{counts:?}");
    assert!(counts.writes as f64 <= 20.0 * scale.write_rps, "{counts:?}");
    assert!(counts.cloud_requests as f64 <= 20.0 * scale.cloud_rps, "{counts:?}");
    assert!(counts.largest_transaction <= 64 * 1024, "{counts:?}");

    // The controller restarts while all machines are up, and all of them send a heartbeat at once.
    cluster.controller = Controller::new(Arc::new(settings(&scale, 2)), 2);
    cluster.replies_in_transit.clear();
    cluster.watches.clear();
    cluster.unanswered_heartbeats.clear();
    let now = cluster.now;
    for worker in &mut cluster.workers {
        worker.next_heartbeat_at = now + 500;
    }
    cluster.run_until(RESTART_AT_MS + 12_000);
    let starts = cluster.counts.started_tasks;
    println!("12 s after the restart: {:?}", cluster.counts);
    assert!(cluster.controller.is_leading() && starts > 500, "{starts} starts after the restart");
    assert!(cluster.counts.largest_transaction <= 64 * 1024);
    cluster.run_until(END_MS);
    assert!(cluster.counts.completed_tasks > 4_000, "{:?}", cluster.counts);
}
