//! Construction of a simulation, its event loop and the delivery of messages.

use super::*;

impl User {
    pub(super) fn new(job: u64, spec: JobSpec, submit_at: u64, cancel_at: Option<u64>) -> Self {
        User {
            job: JobId(job),
            spec,
            submit_at,
            cancel_at,
            faulty: false,
            observed: Observed::Unknown,
            cancel_requested: false,
            tasks_done: BTreeSet::new(),
            requests_sent: 0,
            request_deadline: 0,
            last_answered_at: 0,
            first_task_started_at: None,
            unscheduled_since: None,
            run_state: RunState::default(),
        }
    }
}

/// Returns an array job without placement constraints.
pub(super) fn array_job(team: usize, tasks: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Array,
        class: "c".into(),
        team: format!("t{team}"),
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
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

/// Number of jobs in a run with faults. The last `SERVICE_COUNT` of them are services.
const JOB_COUNT: u64 = 40;
const SERVICE_COUNT: u64 = 6;

/// Returns a user with a random job. The order of the random draws determines each seeded run.
fn random_user(rng: &mut SmallRng, i: u64) -> User {
    let submit_at = rng.random_range(2_000..FAULTS_END_MS + 20_000);
    let team = rng.random_range(0..MAX_CPUS.len());
    let spec = JobSpec {
        priority: if rng.random_bool(0.5) { Priority::Normal } else { Priority::Low },
        tasks: rng.random_range(1..14),
        cpus: [1.0, 2.0, 4.0][rng.random_range(0..3)],
        zone: rng.random_bool(0.1).then(|| "a".into()),
        one_zone: rng.random_bool(0.15),
        spread: rng.random_bool(0.15),
        spot: rng.random_bool(0.7),
        image: format!("i{}", i % 3),
        checkpoint_s: if rng.random_bool(0.5) { 5.0 } else { 0.0 },
        save_s: 2.0,
        ..array_job(team, 1)
    };
    let cancel_at = rng.random_bool(0.2).then(|| submit_at + rng.random_range(1_000..40_000));
    let mut user = User::new(1000 + i, spec, submit_at, cancel_at);
    if i >= JOB_COUNT - SERVICE_COUNT {
        user.make_service(i);
        user.cancel_at = Some(submit_at + rng.random_range(60_000..180_000));
    }
    user.faulty = rng.random_bool(0.08);
    if user.faulty && !user.spec.is_service() {
        user.cancel_at = Some(submit_at + rng.random_range(20_000..120_000));
    }
    user
}

impl User {
    /// Turns the job into a service, which runs until it is cancelled.
    fn make_service(&mut self, i: u64) {
        self.spec.kind = JobKind::Service;
        self.spec.estimate_s = 0.0;
        self.spec.checkpoint_s = 0.0;
        self.spec.tasks = self.spec.tasks.min(6);
        self.spec.cpus = self.spec.cpus.min(2.0);
        self.spec.priority = [Priority::Production, Priority::Normal][i as usize % 2];
    }
}

/// Clock drift of each controller relative to the simulation.
const CLOCK_DRIFTS: [f64; CONTROLLERS] = [0.0005, -0.0005, 0.0];

impl SimulatedController {
    fn new(clock_drift: f64) -> Self {
        SimulatedController {
            process: None,
            version: Version::default(),
            next_version: Version::default(),
            epoch: 0,
            process_started_at: 0,
            clock_rate: 1.0 + clock_drift,
            store_partition: None,
            store_refuses_until: 0,
            watches_lost_until: 0,
            pending_freeze_until: 0,
            frozen_until: 0,
            isolated_until: 0,
            worker_partition: None,
            configuration: Configuration::default(),
            next_configuration: Configuration::default(),
            earlier_configurations: Vec::new(),
        }
    }
}

impl Simulation {
    /// Creates a run with random jobs.
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let users = (0..JOB_COUNT).map(|i| random_user(&mut rng, i)).collect();
        let mixed = Version::MIXED[seed as usize % Version::MIXED.len()];
        Simulation::of_versions(rng, users, mixed)
    }

    pub(super) fn with_users(rng: SmallRng, users: Vec<User>) -> Self {
        Simulation::of_versions(rng, users, &[Version::Current])
    }

    /// Creates a simulation in which each process runs a random one of `versions`.
    fn of_versions(rng: SmallRng, users: Vec<User>, versions: &[Version]) -> Self {
        let mut sim = Simulation {
            now: 0,
            messages_sent: 0,
            rng,
            queue: BTreeMap::new(),
            controllers: CLOCK_DRIFTS.into_iter().map(SimulatedController::new).collect(),
            store: Store { limits: STORE_LIMITS, ..Store::default() },
            workers: Vec::new(),
            provisioned: BTreeMap::new(),
            users,
            requesters: BTreeMap::new(),
            last_request_id: 0,
            zone_partition: None,
            slow_provisioning: (0, 0),
            peers_refuse_until: 0,
            checks_status: false,
            poll_storm_until: 0,
            next_leader_freeze: u64::MAX,
            unanswered_writes: UnansweredWrites::default(),
            duplicate_heartbeats: DuplicateHeartbeats::default(),
            held_heartbeats: Vec::new(),
            cancel_on_completion: CancelOnCompletion::default(),
            read_back_until: 0,
            invalid_requests_until: 0,
            versions: versions.to_vec(),
            stale_renewal_at: None,
            violations_of_earlier_versions: Vec::new(),
            fast_provisioning: false,
            store_delay_ms: 0,
            long_tasks: false,
            leader_changes: Vec::new(),
            situations: BTreeMap::new(),
            next_fault: u64::MAX,
            concurrent_faults: 0,
            answers_checked: false,
            violations: Vec::new(),
            starts_sent: BTreeSet::new(),
            tasks_started: 0,
            tasks_stopped: 0,
            faults_over_at: FAULTS_END_MS,
        };
        for i in 0..CONTROLLERS {
            sim.start_controller(i);
        }
        for i in 0..sim.users.len() {
            sim.send(sim.users[i].submit_at, usize::MAX, 0, Message::User(i));
        }
        sim
    }

    /// Replaces services by arrays if some version does not support services.
    pub(super) fn replace_unsupported_services(&mut self) {
        if self.versions.iter().all(|version| version.supports_services()) {
            return;
        }
        for user in self.users.iter_mut().filter(|user| user.spec.is_service()) {
            (user.spec.kind, user.spec.estimate_s) = (JobKind::Array, 10.0);
        }
    }

    /// Restarts controllers of other versions, so that all run `version` until an upgrade.
    pub(super) fn run_version(&mut self, version: Version) {
        self.versions = vec![version];
        for i in 0..CONTROLLERS {
            if self.controllers[i].version != version {
                self.controllers[i].next_version = version;
                self.start_controller(i);
            }
        }
    }

    pub(super) fn send(&mut self, at: u64, controller: usize, epoch: u64, message: Message) {
        self.messages_sent += 1;
        self.queue.insert((at, self.messages_sent), (controller, epoch, message));
    }

    pub(super) fn network_delay(&mut self) -> u64 {
        if self.rng.random_bool(0.02) {
            self.rng.random_range(50..400)
        } else {
            self.rng.random_range(1..8)
        }
    }

    /// Returns whether a message is duplicated. Messages are duplicated only until the faults end.
    pub(super) fn is_duplicated(&mut self) -> bool {
        self.now < FAULTS_END_MS && self.rng.random_bool(0.03)
    }

    pub(super) fn start_controller(&mut self, i: usize) {
        let incarnation = self.rng.random();
        if self.versions.len() > 1 {
            let version = self.rng.random_range(0..self.versions.len());
            self.controllers[i].next_version = self.versions[version];
        }
        let controller = &mut self.controllers[i];
        controller.epoch += 1;
        controller.process_started_at = self.now;
        let replaced =
            std::mem::replace(&mut controller.configuration, controller.next_configuration.clone());
        controller.earlier_configurations.push((self.now, replaced));
        controller.version = controller.next_version;
        let settings = settings(i, incarnation, &controller.configuration);
        controller.process = Some(Process::start(controller.version, settings, incarnation));
        let epoch = controller.epoch;
        self.send(self.now, i, epoch, Message::Tick);
    }

    pub(super) fn record_violation(&mut self, violation: String) {
        self.violations.push(format!("{} ms: {violation}", self.now));
    }

    pub(super) fn run_with_faults(&mut self, concurrent_faults: u32, until: u64) {
        self.concurrent_faults = concurrent_faults;
        self.next_fault = 15_000;
        self.run_until(until);
    }

    /// Records that a task exists or starts although the user of its job got the status cancelled
    /// at `observed_at`. An earlier version may renew tasks on stale job data when it leads again
    /// after an outage, so the violation counts for that version if one has answered a worker
    /// since.
    pub(super) fn record_violation_after_cancellation(
        &mut self,
        observed_at: u64,
        violation: String,
    ) {
        if self.stale_renewal_at.is_some_and(|at| at >= observed_at) {
            self.violations_of_earlier_versions.push(format!("{} ms: {violation}", self.now));
        } else {
            self.record_violation(violation);
        }
    }

    /// Counts an occurrence of a situation.
    pub(super) fn record_situation(&mut self, situation: &'static str) {
        *self.situations.entry(situation).or_default() += 1;
    }

    pub(super) fn run_until(&mut self, until: u64) {
        while self.now < until {
            let next = self.now + 20;
            while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 < next) {
                let at = entry.key().0;
                let (controller, epoch, message) = entry.remove();
                self.now = self.now.max(at);
                self.deliver(controller, epoch, message);
            }
            self.now = next;
            self.heal_partitions();
            if self.now >= self.store.down_until {
                self.store.expire_leases(self.now);
            }
            self.answer_watches();
            self.step_workers();
            self.update_run_states();
            self.check_cancelled_jobs_stopped();
            self.record_leader_change();
            if self.now.is_multiple_of(1_000) {
                self.check_unscheduled();
            }
            if self.now >= self.next_leader_freeze {
                self.next_leader_freeze = u64::MAX;
                let until = self.now + self.rng.random_range(2_000..15_000);
                if let Some(i) = self.leader() {
                    self.controllers[i].pending_freeze_until = until;
                    self.faults_over_at = self.faults_over_at.max(until);
                }
            }
            if self.now >= self.next_fault && self.now < FAULTS_END_MS {
                for _ in 0..self.concurrent_faults {
                    self.inject_fault();
                }
                self.next_fault = self.now + self.rng.random_range(3_000..20_000);
            }
            if !self.answers_checked
                && self.now >= FAULTS_END_MS
                && self.now >= self.faults_over_at + ANSWERED_WITHIN_MS
            {
                self.answers_checked = true;
                self.check_all_jobs_answered();
            }
        }
    }

    pub(super) fn deliver(&mut self, controller: usize, epoch: u64, message: Message) {
        let for_process =
            matches!(message, Message::Tick | Message::Input(_) | Message::Heartbeat(..));
        if for_process && self.now < self.controllers[controller].frozen_until {
            return self.send(
                self.controllers[controller].frozen_until,
                controller,
                epoch,
                message,
            );
        }
        match message {
            Message::Tick => {
                if self.controllers[controller].epoch != epoch {
                    return;
                }
                if self.controllers[controller].process.is_none() {
                    return self.start_controller(controller);
                }
                self.step(controller, Input::Tick);
                self.send(self.now + 50, controller, epoch, Message::Tick);
            }
            Message::Input(input) => {
                if epoch == 0 || self.controllers[controller].epoch == epoch {
                    self.step(controller, input);
                }
            }
            // A request is processed even if its process has ended since.
            Message::Store(call_id, request) => {
                self.handle_store_request(controller, epoch, call_id, request)
            }
            Message::Cloud(call_id, request) => {
                self.handle_cloud_request(controller, epoch, call_id, request)
            }
            Message::Heartbeat(machine, request_id, heartbeat) => {
                if self.controllers[controller].process.is_some() {
                    self.requesters
                        .insert(request_id, Requester::Worker(machine, heartbeat.sequence));
                    self.step(
                        controller,
                        Input::Heartbeat { request_id, heartbeat: Box::new(heartbeat) },
                    );
                }
            }
            Message::Commands(machine, agent_epoch, sequence, answer) => {
                self.handle_commands(machine, agent_epoch, sequence, answer)
            }
            Message::User(i) => self.step_user(i),
            Message::Answer(requester, answer) => self.handle_answer(requester, answer),
        }
    }
}
