//! Statuses of jobs in the answers of all controllers, while connections between controllers are
//! refused.

use super::simulation::array_job;
use super::users::RequestKind;
use super::*;

/// Time by which the status in an answer may lag (PROTOCOL, "GET /api/jobs/{id}").
const MAX_STATUS_LAG_MS: u64 = 3_000;
/// Interval at which every controller is asked about every job.
const POLL_INTERVAL_MS: u64 = 500;
const PEERS_REFUSE_MS: u64 = 150_000;

impl Simulation {
    /// Updates the state of each job if statuses are checked.
    pub(super) fn update_run_states(&mut self) {
        if !self.checks_status {
            return;
        }
        let is_running = |(_, task): &(&(TaskId, Attempt), &SimulatedTask)| {
            matches!(task.state, TaskState::Running)
        };
        let running: BTreeSet<JobId> = self
            .workers
            .iter()
            .flat_map(|worker| worker.tasks.iter().filter(is_running))
            .map(|(key, _)| key.0.job)
            .collect();
        for user in &mut self.users {
            let is_running = running.contains(&user.job);
            if user.run_state.is_running != is_running {
                user.run_state = RunState { is_running, since: self.now };
            }
        }
    }

    /// Creates a simulation in which statuses are checked and connections between controllers are
    /// refused.
    fn without_peer_connections(seed: u64, users: Vec<User>) -> Self {
        let mut sim = Simulation::with_users(SmallRng::seed_from_u64(seed), users);
        sim.checks_status = true;
        sim.peers_refuse_until = PEERS_REFUSE_MS;
        sim
    }

    /// Asks every controller about every accepted job until a time. Returns the number of answers
    /// 200 to these questions.
    fn poll_until(&mut self, until: u64) -> u64 {
        let answers_before = self.status_answers();
        while self.now < until {
            for user in 0..self.users.len() {
                if self.users[user].observed == Observed::Accepted {
                    for controller in 0..CONTROLLERS {
                        self.send_request(user, controller, RequestKind::Poll, 0, false);
                    }
                }
            }
            self.run_until(self.now + POLL_INTERVAL_MS);
        }
        self.status_answers() - answers_before
    }

    fn status_answers(&self) -> u64 {
        self.situations.get("status read back").copied().unwrap_or(0)
    }
}

impl User {
    /// Returns the violation if the status in an answer is older than the permitted lag.
    pub(super) fn check_status_age(
        &self,
        request: PendingRequest,
        answer: &Answer,
    ) -> Option<&'static str> {
        let Answer::Job { status, .. } = answer else { return None };
        let unchanged = request.sent_at > self.run_state.since + MAX_STATUS_LAG_MS;
        match (status, self.run_state.is_running) {
            (JobStatus::Queued, true) if unchanged => Some("status: queued while tasks run"),
            (JobStatus::Running, false) if unchanged => Some("status: running without tasks"),
            _ => None,
        }
    }
}

/// Returns users with jobs whose tasks run for a minute or longer.
fn users_with_long_jobs() -> Vec<User> {
    (0..4).map(|i| User::new(1000 + i, array_job(2, 6), 20_000, None)).collect()
}

/// Returns a simulation of long jobs, at a time at which tasks of all jobs run.
fn running_long_jobs(seed: u64) -> Simulation {
    let mut sim = Simulation::without_peer_connections(seed, users_with_long_jobs());
    sim.long_tasks = true;
    sim.poll_until(45_000);
    assert!(sim.users.iter().all(|user| user.run_state.is_running), "seed {seed}: not all run");
    sim
}

/// Guards against controllers that call a running job queued because no progress of the leader
/// reaches them.
#[test]
fn all_controllers_know_which_jobs_run_without_connections_to_each_other() {
    for seed in 0..4 {
        // Short jobs in sequence, and jobs that wait for them under the limit of the team.
        let users = (0..16).map(|i| User::new(1000 + i, array_job(0, 12), 5_000 + i * 2_000, None));
        let mut sim = Simulation::without_peer_connections(seed, users.collect());
        let answers = sim.poll_until(120_000);
        assert!(answers > 1_000, "seed {seed}: {answers} answers");
        sim.assert_no_violations(seed);
    }
}

/// Guards against a controller that has just started and calls running jobs queued.
#[test]
fn restarted_controllers_know_which_jobs_run() {
    for seed in 0..4 {
        let mut sim = running_long_jobs(seed);
        for (round, restart_after_ms) in [20, 400, 3_000].into_iter().enumerate() {
            let leader = sim.leader().expect("a controller leads");
            sim.stop_controller((leader + 1 + round % 2) % CONTROLLERS, restart_after_ms);
            let answers = sim.poll_until(sim.now + 6_000);
            assert!(answers > 60, "seed {seed}: {answers} answers");
        }
        sim.assert_no_violations(seed);
    }
}

/// Guards against controllers that call running jobs queued from the end of a leader until the
/// next one has heard from all machines.
#[test]
fn running_jobs_stay_running_over_changes_of_leader() {
    for seed in 0..4 {
        let mut sim = running_long_jobs(seed);
        for restart_after_ms in [20, 400, 3_000] {
            let leader = sim.leader().expect("a controller leads");
            sim.stop_controller(leader, restart_after_ms);
            let answers = sim.poll_until(sim.now + 9_000);
            assert!(answers > 60, "seed {seed}: {answers} answers");
        }
        sim.assert_no_violations(seed);
    }
}

/// Guards against a leader that still loads its predecessor's records, or has heard from a part of
/// the machines only, and calls running jobs queued. All controllers end at once.
#[test]
fn running_jobs_stay_running_after_all_controllers_restart() {
    for seed in 0..4 {
        let mut sim = running_long_jobs(seed);
        // Machines whose heartbeats are lost for a while: the new leader does not hear from them.
        let until = sim.now + 5_000;
        sim.for_share_of_workers(0.5, |worker| worker.uplink_lost_until = until);
        (0..CONTROLLERS).for_each(|controller| sim.stop_controller(controller, 400));
        let answers = sim.poll_until(sim.now + 20_000);
        assert!(answers > 200, "seed {seed}: {answers} answers");
        sim.assert_no_violations(seed);
    }
}

/// Guards against a stored run state that outlives the tasks: the machines of a job fail, and no
/// other machine has room for it.
#[test]
fn jobs_without_tasks_are_queued_again() {
    for seed in 0..4 {
        let whole_machines =
            |zone: &str| JobSpec { cpus: MACHINE_CPUS, zone: Some(zone.into()), ..array_job(2, 3) };
        let users = ["a", "b", "b"]
            .iter()
            .zip(1000..)
            .map(|(zone, job)| User::new(job, whole_machines(zone), 20_000, None));
        let mut sim = Simulation::without_peer_connections(seed, users.collect());
        sim.long_tasks = true;
        sim.poll_until(45_000);
        assert!(sim.users.iter().all(|user| user.run_state.is_running), "seed {seed}: not all run");
        sim.slow_provisioning = (0, RUN_MS);
        let machines: BTreeSet<usize> = (0..sim.workers.len())
            .filter(|machine| sim.workers[*machine].tasks.keys().any(|key| key.0.job.0 == 1000))
            .collect();
        machines.into_iter().for_each(|machine| sim.fail_machine(machine));
        // Nobody can know of the failure before the worker leases end.
        sim.checks_status = false;
        sim.poll_until(sim.now + LEASE_MS + MAX_STATUS_LAG_MS);
        sim.checks_status = true;
        sim.update_run_states();
        assert!(!sim.users[0].run_state.is_running, "seed {seed}: the job runs elsewhere");
        let answers = sim.poll_until(sim.now + 6_000);
        assert!(answers > 60, "seed {seed}: {answers} answers");
        sim.assert_no_violations(seed);
    }
}
