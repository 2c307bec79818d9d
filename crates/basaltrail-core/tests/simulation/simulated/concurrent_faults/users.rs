//! Scenarios in which requests of users coincide with the end of jobs or processes.

use super::*;

#[test]
fn all_controllers_agree_on_statuses_read_back() {
    check_scenario(
        &["status read back", "cancelled right after acceptance", CANCELLED_WHILE_RUNNING],
        |sim| {
            sim.read_back_until = 130_000;
            for _ in 0..4 {
                sim.run_for(25_000);
                sim.cancel_running_jobs(4, 0);
                sim.run_for(50);
                sim.fail_over(100);
            }
        },
    );
}

#[test]
fn requests_race_with_the_last_task_of_a_job() {
    check_scenario(&["cancelled as the last task finished", "status read back"], |sim| {
        sim.read_back_until = 150_000;
        sim.invalid_requests_until = 150_000;
        sim.cancel_on_completion = CancelOnCompletion { until: 150_000, share: 0.7 };
        sim.run_for(100_000);
    });
}

#[test]
fn restarted_controllers_refuse_invalid_jobs() {
    check_scenario(&["invalid job refused"], |sim| {
        sim.invalid_requests_until = 150_000;
        sim.poll_storm_until = 150_000;
        for _ in 0..6 {
            sim.run_for(12_000);
            (0..CONTROLLERS).for_each(|i| sim.stop_controller(i, 20 + 50 * i as u64));
        }
    });
}

#[test]
fn rules_hold_for_single_task_jobs_at_four_per_second() {
    for seed in 0..2 {
        let mut sim = loaded_simulation(seed);
        let spec = sim.users[0].spec.clone();
        sim.users = (0..480)
            .map(|i| {
                let mut spec = JobSpec { tasks: 1, cpus: 1.0, spot: true, ..spec.clone() };
                (spec.zone, spec.one_zone, spec.spread) = (None, false, false);
                spec.team = format!("t{}", i % 3);
                let at = 5_000 + i * 250;
                let cancel_at = (i % 4 == 0).then(|| at + 200 + (i * 977) % 9_000);
                User::new(2_000 + i, spec, at, cancel_at)
            })
            .collect();
        sim.reschedule_users();
        sim.run_for(40_000);
        sim.fail_over(20);
        sim.run_for(30_000);
        sim.fail_over(3_000);
        sim.run_until(sim.faults_over_at + 150_000);
        sim.check_all_jobs_ended();
        sim.violations.truncate(5);
        assert!(sim.violations.is_empty(), "seed {seed}: {:#?}", sim.violations);
        let count = |matches: fn(&Observed) -> bool| {
            sim.users.iter().filter(|user| matches(&user.observed)).count()
        };
        assert!(count(|observed| matches!(observed, Observed::Done)) > 300);
        assert!(count(|observed| matches!(observed, Observed::Cancelled(_))) > 60);
    }
}
