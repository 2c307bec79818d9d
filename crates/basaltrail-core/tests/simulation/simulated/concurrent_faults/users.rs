//! Meetings of what users send with the ends of jobs and of processes.

use super::*;

#[test]
fn users_read_back_at_all_controllers() {
    days(&["looked", "cancelled at once", CANCELLED_WHILE_RUNNING], |world| {
        world.read_back_until = 130_000;
        for _ in 0..4 {
            world.run_for(25_000);
            world.cancel_now(4, 0);
            world.run_for(50);
            world.fail_over(100);
        }
    });
}

#[test]
fn cancellations_questions_and_submissions_meet_the_last_task() {
    days(&["cancelled at its end", "looked"], |world| {
        world.read_back_until = 150_000;
        world.invalid_requests_until = 150_000;
        world.cancel_at_end = CancelAtEnd { until: 150_000, share: 0.7 };
        world.run_for(100_000);
    });
}

#[test]
fn invalid_requests_at_controllers_that_have_just_started() {
    days(&["422"], |world| {
        world.invalid_requests_until = 150_000;
        world.poll_storm_until = 150_000;
        for _ in 0..6 {
            world.run_for(12_000);
            (0..CONTROLLERS).for_each(|i| world.end(i, 20 + 50 * i as u64));
        }
    });
}

#[test]
fn one_task_jobs_come_four_a_second() {
    for seed in 0..2 {
        let mut world = busy(seed);
        let spec = world.users[0].spec.clone();
        world.users = (0..480)
            .map(|i| {
                let mut s = JobSpec { tasks: 1, cpus: 1.0, spot: true, ..spec.clone() };
                (s.zone, s.one_zone, s.spread) = (None, false, false);
                s.team = format!("t{}", i % 3);
                let at = 5_000 + i * 250;
                let cancel = (i % 4 == 0).then(|| at + 200 + (i * 977) % 9_000);
                User::new(2_000 + i, s, at, cancel)
            })
            .collect();
        world.reschedule_users();
        world.run_for(40_000);
        world.fail_over(20);
        world.run_for(30_000);
        world.fail_over(3_000);
        world.run_until(world.faults_over_at + 150_000);
        world.check_end();
        world.violations.truncate(5);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        let observed =
            |t: fn(&Observed) -> bool| world.users.iter().filter(|u| t(&u.observed)).count();
        assert!(observed(|t| matches!(t, Observed::Done)) > 300);
        assert!(observed(|t| matches!(t, Observed::Cancelled(_))) > 60);
    }
}
