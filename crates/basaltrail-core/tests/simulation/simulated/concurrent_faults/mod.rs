//! Scenarios in which two faults coincide. Each scenario is written so that the combination
//! certainly occurs, and the test fails if it does not.

mod leaders;
mod store;
mod users;
mod workers;

use super::*;

/// Returns a simulation with enough jobs to fill the machines, of all teams and with all placement
/// constraints.
fn loaded_simulation(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    for (i, user) in sim.users.iter_mut().enumerate() {
        // Array jobs are cancelled only by the scenarios. Most jobs are submitted early.
        user.faulty = false;
        user.cancel_at = user.spec.is_service().then_some(210_000);
        user.submit_at = 2_000 + i as u64 * 1_500;
        user.spec.tasks = user.spec.tasks.min(6);
    }
    sim.reschedule_users();
    sim.replace_unsupported_services();
    sim
}

/// Runs a scenario for several seeds. Checks that no rule is violated, that all jobs end, and that
/// each of `situations` occurs.
fn check_scenario(situations: &[&'static str], scenario: impl Fn(&mut Simulation)) {
    for seed in 0..4 {
        let mut sim = loaded_simulation(seed);
        scenario(&mut sim);
        // Tasks that start from now on are short, so that all of them can end.
        sim.long_tasks = false;
        sim.run_until(sim.faults_over_at.max(sim.now) + 230_000);
        sim.check_all_jobs_ended();
        sim.violations.truncate(5);
        assert!(sim.violations.is_empty(), "seed {seed}: {:#?}", sim.violations);
        for situation in situations {
            assert!(
                sim.situations.contains_key(situation),
                "seed {seed}: situation did not occur: {situation}; {:?}",
                sim.situations
            );
        }
    }
}

impl Simulation {
    pub(super) fn reschedule_users(&mut self) {
        self.queue.retain(|_, (_, _, message)| !matches!(message, Message::User(_)));
        for i in 0..self.users.len() {
            self.send(self.users[i].submit_at, usize::MAX, 0, Message::User(i));
        }
    }

    pub(super) fn run_for(&mut self, ms: u64) {
        self.run_until(self.now + ms);
    }

    /// Runs until a controller leads, and returns it.
    pub(super) fn await_leader(&mut self) -> usize {
        for _ in 0..3_000 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run_for(20);
        }
        panic!("no leader at {}", self.now);
    }

    pub(super) fn refuse_store_requests(&mut self, controller: usize, duration_ms: u64) {
        self.controllers[controller].store_refuses_until = self.now + duration_ms;
        self.extend_faults(duration_ms);
    }

    /// Cuts a controller off from the store. Its requests arrive after the partition if `delayed`
    /// is set, and are lost otherwise.
    pub(super) fn partition_from_store(
        &mut self,
        controller: usize,
        duration_ms: u64,
        delayed: bool,
    ) {
        self.controllers[controller].store_partition = Some((self.now + duration_ms, delayed));
        self.extend_faults(duration_ms);
    }

    pub(super) fn leader_changes_since(&self, since: u64) -> usize {
        self.leader_changes.iter().filter(|(changed_at, ..)| *changed_at > since).count()
    }

    /// Stops the leader and runs until a controller leads again.
    pub(super) fn fail_over(&mut self, restart_after_ms: u64) -> usize {
        let old = self.await_leader();
        self.stop_controller(old, restart_after_ms);
        self.run_for(20);
        self.await_leader()
    }

    /// Returns whether a task is running although its user has received the status cancelled.
    pub(super) fn runs_cancelled_job(&self) -> bool {
        self.users.iter().any(|user| {
            matches!(user.observed, Observed::Cancelled(_))
                && self.workers.iter().any(|worker| worker.runs_job(user.job))
        })
    }
}

const CANCELLED_WHILE_LEADER_REFUSED: &str = "cancelled while the store refused the leader";
const CANCELLED_WHILE_RUNNING: &str = "cancelled while running";
const CANCELLED_WHILE_UNREACHABLE: &str = "cancelled while a machine was unreachable";
