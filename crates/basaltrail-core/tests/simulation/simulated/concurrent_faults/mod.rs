//! Two troubles at once. Each day is written so that its meeting comes about for certain, and
//! says so: a day in which it did not would prove nothing.

mod leaders;
mod store;
mod users;
mod workers;

use super::*;

/// Jobs enough to fill the machines: arrays of every placement wish, of all teams.
fn loaded_simulation(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed);
    for (i, user) in sim.users.iter_mut().enumerate() {
        // Cancellations come from the days; most jobs are there early.
        user.faulty = false;
        user.cancel_at = user.spec.is_service().then_some(210_000);
        user.submit_at = 2_000 + i as u64 * 1_500;
        user.spec.tasks = user.spec.tasks.min(6);
    }
    sim.reschedule_users();
    sim.replace_unsupported_services();
    sim
}

/// Plays a day for several seeds; every moment named has to come about on each.
fn check_scenario(situations: &[&'static str], scenario: impl Fn(&mut Simulation)) {
    for seed in 0..4 {
        let mut sim = loaded_simulation(seed);
        scenario(&mut sim);
        // What is started from here on is short, so that all of it can end.
        sim.long_tasks = false;
        sim.run_until(sim.faults_over_at.max(sim.now) + 230_000);
        sim.check_all_jobs_ended();
        sim.violations.truncate(5);
        assert!(sim.violations.is_empty(), "seed {seed}: {:#?}", sim.violations);
        for situation in situations {
            assert!(
                sim.situations.contains_key(situation),
                "seed {seed}: not met: {situation}; {:?}",
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

    /// Plays until somebody leads.
    pub(super) fn await_leader(&mut self) -> usize {
        for _ in 0..3_000 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run_for(20);
        }
        panic!("nobody leads at {}", self.now);
    }

    pub(super) fn refuse_store_requests(&mut self, controller: usize, duration_ms: u64) {
        self.controllers[controller].store_refuses_until = self.now + duration_ms;
        self.extend_faults(duration_ms);
    }

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

    /// Ends whoever leads, until another one does.
    pub(super) fn fail_over(&mut self, restart_after_ms: u64) -> usize {
        let old = self.await_leader();
        self.stop_controller(old, restart_after_ms);
        self.run_for(20);
        self.await_leader()
    }

    /// Whether a task runs of a job whose user has been told that it is cancelled.
    pub(super) fn runs_cancelled_job(&self) -> bool {
        self.users.iter().any(|user| {
            let runs = |worker: &Worker| {
                worker
                    .tasks
                    .iter()
                    .any(|(key, task)| key.0.job == user.job && Self::is_running(task))
            };
            matches!(user.observed, Observed::Cancelled(_)) && self.workers.iter().any(runs)
        })
    }
}

const CANCELLED_WHILE_LEADER_REFUSED: &str = "cancelled beside a leader that is refused";
const CANCELLED_WHILE_RUNNING: &str = "cancelled as it ran";
const CANCELLED_WHILE_UNREACHABLE: &str = "cancelled out of reach";
