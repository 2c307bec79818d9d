//! Limits and guarantees of teams, over changes of leader and with settings that differ between
//! controllers.

use super::simulation::array_job;
use super::*;

/// Returns a job whose tasks run for a minute or two.
fn long_job(team: usize, tasks: u32) -> JobSpec {
    JobSpec {
        cpus: 2.0,
        estimate_s: 80.0,
        checkpoint_s: 5.0,
        save_s: 2.0,
        ..array_job(team, tasks)
    }
}

fn simulation_with_long_tasks(seed: u64, users: Vec<User>) -> Simulation {
    let mut sim = Simulation::with_users(SmallRng::seed_from_u64(seed), users);
    sim.long_tasks = true;
    sim
}

/// Returns the CPUs of the running tasks of a team.
fn used_cpus(sim: &Simulation, team: &str) -> f64 {
    let of_team =
        |job: JobId| sim.users.iter().find(|user| user.job == job && user.spec.team == team);
    let running = sim
        .workers
        .iter()
        .flat_map(|worker| &worker.tasks)
        .filter(|(_, task)| Simulation::is_running(task));
    running.filter_map(|((task, _), _)| of_team(task.job)).map(|user| user.spec.cpus).sum()
}

/// A limit is lowered below the use of its team, on one controller after the other. No task is
/// stopped for it, and no task of the team starts until its use is below the limit.
#[test]
fn limit_lowered_below_use_stops_and_starts_no_tasks() {
    for seed in 0..6 {
        let users = vec![User::new(1000, long_job(1, 60), 2_000, None)];
        let mut sim = simulation_with_long_tasks(seed, users);
        sim.run_until(60_000);
        let before = used_cpus(&sim, "t1");
        assert!(before > 30.0, "seed {seed}: {before} CPUs in use");
        let lowered = 12.0;
        for controller in 0..CONTROLLERS {
            sim.controllers[controller].next_configuration.max_cpus[1] = lowered;
            sim.stop_controller(controller, 400);
            sim.run_until(sim.now + 6_000);
        }
        sim.tasks_stopped = 0;
        let settled_at = sim.now + 12_000;
        sim.run_until(settled_at);
        let tasks_started = sim.tasks_started;
        while used_cpus(&sim, "t1") > lowered {
            sim.run_until(sim.now + 20);
            assert!(sim.now < 300_000, "seed {seed}: the use never fell below the limit");
        }
        assert_eq!(sim.tasks_started, tasks_started, "seed {seed}: started above the limit");
        assert_eq!(sim.tasks_stopped, 0, "seed {seed}: stopped for the limit");
        sim.run_until(sim.now + 150_000);
        assert!(sim.tasks_started > tasks_started, "seed {seed}: nothing starts below the limit");
        assert!(sim.violations.is_empty(), "seed {seed}: {:#?}", sim.violations);
    }
}

/// Limits of the first two teams in each round of the changes of settings. The lowest is the one of
/// the first team in the last round.
const LOWERED_LIMITS: [[f64; 2]; 3] = [[12.0, 30.0], [24.0, 16.0], [8.0, 40.0]];

impl Simulation {
    /// Reduces the services to as many replicas as fit into `max_cpus`. A controller rightly refuses
    /// a service with more (PROTOCOL: 422, the job needs more than the team's limit).
    fn fit_services_into(&mut self, max_cpus: f64) {
        for user in self.users.iter_mut().filter(|user| user.spec.is_service()) {
            user.spec.tasks = user.spec.tasks.min((max_cpus / user.spec.cpus) as u32);
        }
    }
}

/// During a rolling change of settings, controllers differ in a limit, and leadership moves
/// between them under faults. The use stays within the highest configured limit.
#[test]
fn highest_configured_limit_holds_over_leader_changes() {
    for seed in 0..8 {
        let mut sim = Simulation::new(seed);
        sim.replace_unsupported_services();
        sim.fit_services_into(LOWERED_LIMITS[2][0]);
        sim.run_until(20_000);
        for (round, limits) in LOWERED_LIMITS.into_iter().enumerate() {
            for controller in 0..CONTROLLERS {
                let next = &mut sim.controllers[controller].next_configuration;
                (next.max_cpus[0], next.max_cpus[1]) = (limits[0], limits[1]);
                sim.stop_controller(controller, [20, 400, 3_000][(controller + round) % 3]);
                sim.inject_fault();
                sim.run_until(sim.now + 9_000);
                let leader = sim.leader();
                leader.into_iter().for_each(|leader| sim.stop_controller(leader, 100));
                sim.run_until(sim.now + 4_000);
            }
        }
        sim.violations.truncate(5);
        assert!(sim.violations.is_empty(), "seed {seed}: {:#?}", sim.violations);
        assert!(sim.tasks_started > 20, "seed {seed}: {} started", sim.tasks_started);
    }
}

/// Time that a team within its guarantee waits before it preempts, in lease durations.
const GUARANTEE_LEASES: f64 = 2.0;
/// Maximum time until all tasks of a job within its team's guarantee have started, in lease
/// durations, while other teams use all machines with long tasks that cannot save their progress:
/// `GUARANTEE_LEASES`, and one for the stop, its report, the start and the image.
const MAX_START_LEASES: u64 = 3;
/// Time at which the job is submitted, in milliseconds. No task of the other teams ends before the
/// bound.
const SUBMITTED_AT_MS: u64 = 35_000;

#[test]
fn team_within_its_guarantee_starts_within_three_leases() {
    let unsaved = |team, tasks| JobSpec { checkpoint_s: 0.0, ..long_job(team, tasks) };
    for seed in 0..6 {
        let others = (0..4).map(|i| User::new(1000 + i, unsaved(2, 40), 2_000, None));
        let guaranteed = User::new(2000, unsaved(0, 6), SUBMITTED_AT_MS, None);
        let mut sim = simulation_with_long_tasks(seed, others.chain([guaranteed]).collect());
        for controller in 0..CONTROLLERS {
            sim.controllers[controller].next_configuration.policy.guarantee_wait_leases =
                Some(GUARANTEE_LEASES);
            sim.start_controller(controller);
        }
        sim.run_until(SUBMITTED_AT_MS);
        let used_by_others = used_cpus(&sim, "t2");
        assert!(used_by_others >= 80.0, "seed {seed}: the other teams use {used_by_others} CPUs");
        sim.run_until(SUBMITTED_AT_MS + MAX_START_LEASES * LEASE_MS);
        let used = used_cpus(&sim, "t0");
        assert_eq!(used, 12.0, "seed {seed}: CPUs of the team within its guarantee");
        assert!(used_cpus(&sim, "t2") <= 96.0 - 12.0);
        assert!(sim.violations.is_empty(), "seed {seed}: {:#?}", sim.violations);
    }
}
