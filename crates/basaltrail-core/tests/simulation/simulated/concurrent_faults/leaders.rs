//! Meetings in which leaders change.

use super::*;

#[test]
fn short_jobs_end_far_apart_across_leaders() {
    days(&[], |world| {
        for u in &mut world.users {
            u.spec.tasks = u.spec.tasks.clamp(2, 3);
        }
        world.run_for(30_000);
        for i in 0..8 {
            world.fail_over([20, 100, 3_000][i % 3]);
            // What ran and is done is on machines that die before the record is written.
            world.run_for(2_000);
            let m = world.rng.random_range(0..world.workers.len());
            world.die(m);
            world.run_for(6_000);
        }
        assert!(world.changes_of_leader(30_000) >= 4, "{:?}", world.leaders);
    });
}

#[test]
fn leaders_change_ten_times_in_two_minutes() {
    days(&[CANCELLED_WHILE_RUNNING], |world| {
        world.long_tasks = true;
        world.run_for(40_000);
        let from = world.now;
        for i in 0..14 {
            if i == 6 {
                world.outage(LEASE_MS * 2 / 5);
            }
            world.cancel_now(1, 0);
            world.fail_over([20, 100, 400, 3_000][i % 4]);
            world.run_for(4_000);
        }
        let changes = world.changes_of_leader(from);
        assert!(changes >= 10, "only {changes} changes by {}", world.now);
    });
}

#[test]
fn failover_and_back_then_all_end_and_one_returns() {
    days(&[CANCELLED_WHILE_RUNNING], |world| {
        world.run_for(50_000);
        world.fail_over(50);
        world.fail_over(50);
        world.cancel_now(4, 0);
        world.run_for(100);
        (0..CONTROLLERS).for_each(|i| world.end(i, if i == 1 { 20 } else { 25_000 }));
        world.run_for(2_000);
        world.await_leader();
        world.cancel_now(3, 0);
        world.run_for(20_000);
        world.fail_over(20);
    });
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    days(&[], |world| {
        world.long_tasks = true;
        world.run_for(60_000);
        (0..CONTROLLERS).for_each(|i| world.end(i, LEASE_MS + 3_000 + 500 * i as u64));
        world.run_for(LEASE_MS + 1_000);
        assert!(world.controllers.iter().all(|c| c.process.is_none()));
        world.await_leader();
        world.cancel_now(5, 0);
    });
}

#[test]
fn jobs_cancelled_during_failover() {
    days(&[CANCELLED_WHILE_RUNNING], |world| {
        world.long_tasks = true;
        world.run_for(60_000);
        for back in [20, 400, 3_000] {
            let old = world.await_leader();
            // The successor's watches are lost as users cancel.
            let until = world.now + 8_000;
            world.controllers.iter_mut().for_each(|c| c.watches_lost_until = until);
            world.store.watches.retain(|watch| watch.prefix != records::JOBS_PREFIX);
            world.cancel_now(3, 0);
            world.run_for(50);
            world.end(old, back);
            // In every stretch of the change: nobody leads, elected, loading, first starts.
            for _ in 0..12 {
                world.run_for(400);
                world.cancel_now(1, 0);
            }
        }
    });
}

/// No leader lives for long after a burst of cancellations: each successor is a process that
/// has just begun and never held the jobs. What it answers must not keep their tasks. Earlier
/// versions do keep them, so none runs beside the present one here.
#[test]
fn leaders_end_every_few_seconds_after_cancellations() {
    // A worker gets an answer or two of each; or one of some, before it shows the token.
    for (back, lives) in [(20, 300..1_300), (3_000, 300..1_300), (20, 50..450)] {
        days(&[CANCELLED_WHILE_RUNNING], |world| {
            world.run_only(Version::Current);
            world.long_tasks = true;
            world.run_for(60_000);
            world.cancel_now(12, 0);
            world.run_for(200);
            let over = world.now + CANCEL_MS + 5_000;
            while world.now < over {
                let leader = world.await_leader();
                for i in 0..CONTROLLERS {
                    let others_too = world.rng.random_bool(0.3);
                    if i == leader || others_too {
                        world.end(i, back);
                    }
                }
                world.await_leader();
                let lives = world.rng.random_range(lives.clone());
                world.run_for(lives);
            }
        });
    }
}
