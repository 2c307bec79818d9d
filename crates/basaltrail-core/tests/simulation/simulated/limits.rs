//! Teams' limits and guarantees: what a leader counts holds whoever leads, whatever the settings
//! of the controllers say meanwhile.

use super::simulation::array_job;
use super::*;

/// A job of many tasks that run for a minute or two.
fn long_job(team: usize, tasks: u32) -> JobSpec {
    JobSpec {
        cpus: 2.0,
        estimate_s: 80.0,
        checkpoint_s: 5.0,
        save_s: 2.0,
        ..array_job(team, tasks)
    }
}

fn world(seed: u64, users: Vec<User>) -> World {
    let mut w = World::with(SmallRng::seed_from_u64(seed), users);
    w.long_tasks = true;
    w
}

fn used_by(w: &World, team: &str) -> f64 {
    let of_team = |job: JobId| w.users.iter().find(|u| u.job == job && u.spec.team == team);
    let running = w.workers.iter().flat_map(|m| &m.tasks).filter(|(_, r)| World::on_machine(r));
    running.filter_map(|((task, _), _)| of_team(task.job)).map(|u| u.spec.cpus).sum()
}

/// A limit falls below what its team uses, at one controller after the other. Nothing is stopped
/// for it, and nothing new of the team begins until its use is below.
#[test]
fn a_limit_lowered_below_use_stops_nothing_and_starts_nothing() {
    for seed in 0..6 {
        let users = vec![User::new(1000, long_job(1, 60), 2_000, None)];
        let mut w = world(seed, users);
        w.run_until(60_000);
        let before = used_by(&w, "t1");
        assert!(before > 30.0, "seed {seed}: {before} CPUs in use");
        let lowered = 12.0;
        for controller in 0..CONTROLLERS {
            w.controllers[controller].next_configuration.cpus_max[1] = lowered;
            w.end(controller, 400);
            w.run_until(w.now + 6_000);
        }
        w.tasks_stopped = 0;
        let all_lowered = w.now + 12_000;
        w.run_until(all_lowered);
        let tasks_started = w.tasks_started;
        while used_by(&w, "t1") > lowered {
            w.run_until(w.now + 20);
            assert!(w.now < 300_000, "seed {seed}: it never fell");
        }
        assert_eq!(w.tasks_started, tasks_started, "seed {seed}: started above the limit");
        assert_eq!(w.tasks_stopped, 0, "seed {seed}: stopped for the limit");
        w.run_until(w.now + 150_000);
        assert!(w.tasks_started > tasks_started, "seed {seed}: nothing starts below the limit");
        assert!(w.violations.is_empty(), "seed {seed}: {:#?}", w.violations);
    }
}

/// While a roll is on, controllers differ in a limit, and the lead goes back and forth between
/// them among troubles: use stays within the highest limit that one of them goes by.
#[test]
fn limits_that_differ_between_controllers_hold_as_the_lead_changes() {
    for seed in 0..8 {
        let mut w = World::new(seed);
        w.services_only_where_known();
        w.run_until(20_000);
        for (round, limits) in [[12.0, 30.0], [24.0, 16.0], [8.0, 40.0]].into_iter().enumerate() {
            for controller in 0..CONTROLLERS {
                let next = &mut w.controllers[controller].next_configuration;
                (next.cpus_max[0], next.cpus_max[1]) = (limits[0], limits[1]);
                w.end(controller, [20, 400, 3_000][(controller + round) % 3]);
                w.fault();
                w.run_until(w.now + 9_000);
                let leader = w.leader();
                leader.into_iter().for_each(|leader| w.end(leader, 100));
                w.run_until(w.now + 4_000);
            }
        }
        w.violations.truncate(5);
        assert!(w.violations.is_empty(), "seed {seed}: {:#?}", w.violations);
        assert!(w.tasks_started > 20, "seed {seed}: {} started", w.tasks_started);
    }
}

/// Leases after which all tasks of a job within its team's guarantee have begun, where other
/// teams hold all machines with long work that cannot save: the wait that the operators allow,
/// and one for the stop, the report of it, the start and the image.
const GUARANTEE_LEASES: f64 = 2.0;
const BEGUN_LEASES: u64 = 3;
/// When the job is submitted: no task of the others ends within the bound.
const SUBMITTED_AT_MS: u64 = 35_000;

#[test]
fn a_team_within_its_guarantee_does_not_wait_for_long_work_of_others() {
    let unsaved = |team, tasks| JobSpec { checkpoint_s: 0.0, ..long_job(team, tasks) };
    for seed in 0..6 {
        let guests = (0..4).map(|i| User::new(1000 + i, unsaved(2, 40), 2_000, None));
        let guaranteed = User::new(2000, unsaved(0, 6), SUBMITTED_AT_MS, None);
        let mut w = world(seed, guests.chain([guaranteed]).collect());
        for controller in 0..CONTROLLERS {
            w.controllers[controller].next_configuration.policy.guarantee_leases =
                Some(GUARANTEE_LEASES);
            w.start_controller(controller);
        }
        w.run_until(SUBMITTED_AT_MS);
        let taken = used_by(&w, "t2");
        assert!(taken >= 80.0, "seed {seed}: the others hold {taken} CPUs");
        w.run_until(SUBMITTED_AT_MS + BEGUN_LEASES * LEASE_MS);
        let first_started = used_by(&w, "t0");
        assert_eq!(first_started, 12.0, "seed {seed}: CPUs of the team within its guarantee");
        assert!(used_by(&w, "t2") <= 96.0 - 12.0);
        assert!(w.violations.is_empty(), "seed {seed}: {:#?}", w.violations);
    }
}
