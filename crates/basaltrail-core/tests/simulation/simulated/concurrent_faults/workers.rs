//! Scenarios in which workers, their links or their zone fail.

use super::*;

#[test]
fn old_heartbeats_arrive_after_newer_ones() {
    check_scenario(&["cancelled while running"], |sim| {
        sim.duplicate_heartbeats =
            DuplicateHeartbeats { until: 100_000, share: 0.8, held_for_next_leader: false };
        sim.run_for(50_000);
        sim.fail_over(20);
        // Agent epochs end while duplicates of their heartbeats are in transit.
        sim.hang_workers(0.6, LEASE_MS..LEASE_MS + 4_000);
        sim.run_for(20_000);
        sim.cancel_running_jobs(5, 0);
        sim.fail_over(3_000);
        sim.extend_faults(3 * LEASE_MS);
    });
}

#[test]
fn old_heartbeats_reach_a_new_leader() {
    check_scenario(&["old heartbeat reached a new leader", CANCELLED_WHILE_UNREACHABLE], |sim| {
        sim.long_tasks = true;
        sim.duplicate_heartbeats =
            DuplicateHeartbeats { until: 150_000, share: 0.9, held_for_next_leader: true };
        sim.run_for(60_000);
        let (old_leader, uplink_lost_until) = (sim.await_leader(), sim.now + LEASE_MS * 3 / 2);
        // The successor gets only held heartbeats of some workers, since their uplinks are lost.
        // The machines of a job that is cancelled are among them in any case.
        sim.for_share_of_workers(0.4, |worker| worker.uplink_lost_until = uplink_lost_until);
        let cancelled = sim.cancellable_job().expect("a job runs");
        sim.workers
            .iter_mut()
            .filter(|worker| worker.runs_job(cancelled))
            .for_each(|worker| worker.uplink_lost_until = uplink_lost_until);
        sim.cancel_running_jobs(6, 0);
        sim.run_for(300);
        sim.stop_controller(old_leader, 3_000);
        sim.await_leader();
        sim.run_for(15_000);
        sim.fail_over(100);
        sim.run_for(5_000);
        sim.fail_over(20);
        sim.extend_faults(LEASE_MS);
    });
}

#[test]
fn zone_bound_jobs_lose_machines_and_links() {
    check_scenario(&[CANCELLED_WHILE_RUNNING], |sim| {
        for (i, user) in sim.users.iter_mut().enumerate() {
            user.spec.one_zone = i % 3 == 0;
            user.spec.spread = i % 3 == 1;
            user.spec.zone = (i % 3 == 2).then(|| ZONES[i % 2].into());
        }
        sim.run_for(40_000);
        for _ in 0..3 {
            let zone = sim.rng.random_range(0..2);
            sim.partition_zone(zone, LEASE_MS * 3 / 2, true);
            sim.run_for(3_000);
            let alive: Vec<usize> =
                (0..sim.workers.len()).filter(|machine| sim.workers[*machine].alive).collect();
            alive.iter().step_by(4).for_each(|machine| sim.fail_machine(*machine));
            sim.cancel_running_jobs(3, 0);
            sim.run_for(2 * LEASE_MS);
            sim.fail_over(3_000);
        }
    });
}

#[test]
fn workers_lose_uplink_or_downlink_during_failover() {
    for lose_uplink in [true, false] {
        check_scenario(&[CANCELLED_WHILE_UNREACHABLE], |sim| {
            sim.long_tasks = true;
            sim.run_for(60_000);
            let until = sim.now + LEASE_MS * 3 / 2;
            sim.for_share_of_workers(0.5, |worker| {
                if lose_uplink {
                    worker.uplink_lost_until = until
                } else {
                    worker.downlink_lost_until = until
                }
            });
            sim.extend_faults(LEASE_MS * 3 / 2);
            sim.run_for(1_500);
            sim.cancel_running_jobs(12, 0);
            sim.run_for(500);
            // The leader stops while workers with long tasks cannot exchange heartbeats with its
            // successor.
            sim.fail_over(3_000);
        });
    }
}

#[test]
fn partition_of_the_leader_zone_outlasts_the_leases() {
    for delayed in [true, false] {
        check_scenario(&[CANCELLED_WHILE_UNREACHABLE], |sim| {
            sim.long_tasks = true;
            sim.run_for(60_000);
            let zone = sim.await_leader() % 2;
            sim.partition_zone(zone, LEASE_MS * 2, delayed);
            sim.run_for(3_000);
            sim.cancel_running_jobs(6, 0);
            sim.run_for(LEASE_MS);
            sim.fail_over(20);
        });
    }
}

#[test]
fn limits_hold_while_cancelled_jobs_hang_during_failover() {
    check_scenario(&[CANCELLED_WHILE_UNREACHABLE], |sim| {
        sim.long_tasks = true;
        for (i, user) in sim.users.iter_mut().enumerate() {
            user.spec.team = format!("t{}", i % 2);
            user.spec.cpus = [1.0, 2.0, 4.0][i % 3];
            // No earlier leader can have started tasks of jobs that are submitted after the
            // failover, so these jobs need not wait for its machines.
            if i >= 20 {
                user.submit_at = 70_000 + (i as u64 - 20) * 1_200;
            }
        }
        sim.reschedule_users();
        sim.run_for(70_000);
        let used = |sim: &Simulation, team: &str| -> f64 {
            let tasks = sim.workers.iter().flat_map(|worker| &worker.tasks);
            let live = tasks.filter(|(_, task)| !matches!(task.state, TaskState::Exited(_)));
            let spec =
                |key: &TaskId| &sim.users.iter().find(|user| user.job == key.job).unwrap().spec;
            live.map(|(key, _)| spec(&key.0)).filter(|s| s.team == team).map(|s| s.cpus).sum()
        };
        for (team, max) in ["t0", "t1"].into_iter().zip(MAX_CPUS) {
            assert!(used(sim, team) > max - 4.0, "{team} is not at its limit: {}", used(sim, team));
        }
        sim.partition_zone(0, LEASE_MS * 3 / 2, true);
        sim.cancel_running_jobs(8, LEASE_MS - 2_000);
        sim.run_for(1_500);
        sim.fail_over(20);
        sim.run_for(LEASE_MS);
        sim.cancel_running_jobs(4, LEASE_MS + 4_000);
        sim.fail_over(3_000);
    });
}

#[test]
fn commands_are_delayed_by_seconds() {
    check_scenario(&[CANCELLED_WHILE_RUNNING], |sim| {
        sim.run_for(40_000);
        for _ in 0..5 {
            // Some hangs are shorter and some longer than the reply timeout of a worker.
            sim.hang_workers(0.5, 1_000..REPLY_TIMEOUT_MS + 2_000);
            let leader = sim.await_leader();
            let duration_ms = sim.rng.random_range(1_000..3_800);
            sim.controllers[leader].pending_freeze_until = sim.now + duration_ms;
            sim.run_for(duration_ms / 2);
            sim.cancel_running_jobs(2, 0);
            sim.run_for(9_000);
        }
    });
}

#[test]
fn rules_hold_with_a_backlog_while_links_and_zones_fail() {
    check_scenario(&[CANCELLED_WHILE_RUNNING], |sim| {
        sim.long_tasks = true;
        for (i, user) in sim.users.iter_mut().enumerate() {
            user.spec.priority = [Priority::Production, Priority::Low][i % 2];
            user.spec.tasks = 4;
        }
        sim.run_for(50_000);
        sim.partition_zone(1, LEASE_MS / 2, true);
        sim.cancel_running_jobs(4, 2_000);
        sim.run_for(LEASE_MS);
        let until = sim.now + LEASE_MS;
        sim.for_share_of_workers(0.3, |worker| worker.downlink_lost_until = until);
        sim.fail_over(3_000);
        sim.extend_faults(LEASE_MS);
    });
}
