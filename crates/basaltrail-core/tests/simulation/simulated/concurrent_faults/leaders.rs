//! Scenarios with changes of leader.

use super::*;

#[test]
fn short_jobs_survive_leader_changes_and_machine_failures() {
    check_scenario(&[], |sim| {
        for user in &mut sim.users {
            user.spec.tasks = user.spec.tasks.clamp(2, 3);
        }
        sim.run_for(30_000);
        for i in 0..8 {
            sim.fail_over([20, 100, 3_000][i % 3]);
            // Tasks complete on machines that fail before the completion record is written.
            sim.run_for(2_000);
            let machine = sim.rng.random_range(0..sim.workers.len());
            sim.fail_machine(machine);
            sim.run_for(6_000);
        }
        assert!(sim.leader_changes_since(30_000) >= 4, "{:?}", sim.leader_changes);
    });
}

#[test]
fn rules_hold_over_ten_leader_changes() {
    check_scenario(&[CANCELLED_WHILE_RUNNING], |sim| {
        sim.long_tasks = true;
        sim.run_for(40_000);
        let since = sim.now;
        for i in 0..14 {
            if i == 6 {
                sim.start_store_outage(LEASE_MS * 2 / 5);
            }
            sim.cancel_running_jobs(1, 0);
            sim.fail_over([20, 100, 400, 3_000][i % 4]);
            sim.run_for(4_000);
        }
        let changes = sim.leader_changes_since(since);
        assert!(changes >= 10, "only {changes} changes by {}", sim.now);
    });
}

#[test]
fn two_failovers_then_a_restart_of_all_controllers() {
    check_scenario(&[CANCELLED_WHILE_RUNNING], |sim| {
        sim.run_for(50_000);
        sim.fail_over(50);
        sim.fail_over(50);
        sim.cancel_running_jobs(4, 0);
        sim.run_for(100);
        (0..CONTROLLERS).for_each(|i| sim.stop_controller(i, if i == 1 { 20 } else { 25_000 }));
        sim.run_for(2_000);
        sim.await_leader();
        sim.cancel_running_jobs(3, 0);
        sim.run_for(20_000);
        sim.fail_over(20);
    });
}

#[test]
fn outage_of_all_controllers_outlasts_the_worker_leases() {
    check_scenario(&[], |sim| {
        sim.long_tasks = true;
        sim.run_for(60_000);
        (0..CONTROLLERS).for_each(|i| sim.stop_controller(i, LEASE_MS + 3_000 + 500 * i as u64));
        sim.run_for(LEASE_MS + 1_000);
        assert!(sim.controllers.iter().all(|c| c.process.is_none()));
        sim.await_leader();
        sim.cancel_running_jobs(5, 0);
    });
}

#[test]
fn jobs_are_cancelled_during_failover() {
    check_scenario(&[CANCELLED_WHILE_RUNNING], |sim| {
        sim.long_tasks = true;
        sim.run_for(60_000);
        for restart_after_ms in [20, 400, 3_000] {
            let old = sim.await_leader();
            // The successor's watches are lost while users cancel.
            let until = sim.now + 8_000;
            sim.controllers.iter_mut().for_each(|c| c.watches_lost_until = until);
            sim.store.open_watches.retain(|watch| watch.prefix != records::JOBS_PREFIX);
            sim.cancel_running_jobs(3, 0);
            sim.run_for(50);
            sim.stop_controller(old, restart_after_ms);
            // Cancels in every phase of the failover: no leader, elected, loading, first starts.
            for _ in 0..12 {
                sim.run_for(400);
                sim.cancel_running_jobs(1, 0);
            }
        }
    });
}

/// Guards against lease renewals by a leader that has not loaded the jobs yet. After a burst of
/// cancellations each leader leads for a short time only, and its successor is a new process that
/// has never loaded the jobs. The successor's answers must not keep cancelled tasks running. Those
/// of earlier versions do, so only the current version runs here.
#[test]
fn cancelled_tasks_stop_under_short_lived_leaders() {
    // A worker gets one or two answers from each leader before it reports the new token. With the
    // shortest lifetimes it gets one answer, and only from some leaders.
    for (restart_after_ms, lifetime_ms) in [(20, 300..1_300), (3_000, 300..1_300), (20, 50..450)] {
        check_scenario(&[CANCELLED_WHILE_RUNNING], |sim| {
            sim.run_version(Version::Current);
            sim.long_tasks = true;
            sim.run_for(60_000);
            sim.cancel_running_jobs(12, 0);
            sim.run_for(200);
            let end_at = sim.now + CANCEL_MS + 5_000;
            while sim.now < end_at {
                let leader = sim.await_leader();
                for i in 0..CONTROLLERS {
                    let stop_follower = sim.rng.random_bool(0.3);
                    if i == leader || stop_follower {
                        sim.stop_controller(i, restart_after_ms);
                    }
                }
                sim.await_leader();
                let lifetime_ms = sim.rng.random_range(lifetime_ms.clone());
                sim.run_for(lifetime_ms);
            }
        });
    }
}
