//! Scenarios in which the store refuses requests, is slow or down, or applies transactions late.

use super::*;

/// Blocks the leader's access to the store, cancels jobs, and then takes the store down for all
/// controllers. `outage_ms` may exceed the time within which cancelled tasks must stop.
fn check_outage_after_cancellations(
    block_leader: impl Fn(&mut Simulation, usize),
    before_outage_ms: u64,
    outage_ms: u64,
    during_outage: impl Fn(&mut Simulation),
) {
    check_scenario(&[CANCELLED_WHILE_RUNNING], |sim| {
        sim.long_tasks = true;
        sim.run_for(60_000);
        let leader = sim.await_leader();
        block_leader(sim, leader);
        sim.cancel_running_jobs(12, 0);
        sim.run_for(before_outage_ms);
        sim.start_store_outage(outage_ms);
        during_outage(sim);
        sim.run_until(sim.store.down_until - 200);
        if outage_ms > CANCEL_MS {
            assert!(!sim.runs_cancelled_job(), "a cancelled task still runs during the outage");
        }
        // The next leader loses its watch on jobs at first.
        let until = sim.now + 6_000;
        sim.controllers.iter_mut().for_each(|c| c.watches_lost_until = until);
        sim.extend_faults(6_200);
    });
}

#[test]
fn store_refuses_the_leader_before_an_outage() {
    check_outage_after_cancellations(
        |sim, leader| sim.refuse_store_requests(leader, 14_000),
        2_000,
        CANCEL_MS + 12_000,
        |_| {},
    );
    check_outage_after_cancellations(
        |sim, leader| sim.refuse_store_requests(leader, 14_000),
        1_000,
        CANCEL_MS + 500,
        |_| {},
    );
    // The outage begins after 300 ms, and the store refuses the leader beyond its end.
    check_outage_after_cancellations(
        |sim, leader| sim.refuse_store_requests(leader, 60_000),
        300,
        CANCEL_MS + 5_000,
        |_| {},
    );
    check_outage_after_cancellations(
        |sim, leader| sim.refuse_store_requests(leader, 14_000),
        2_000,
        LEASE_MS - 1_000,
        |_| {},
    );
}

#[test]
fn leader_is_partitioned_from_the_store_before_an_outage() {
    check_outage_after_cancellations(
        |sim, leader| sim.partition_from_store(leader, 14_000, true),
        2_000,
        CANCEL_MS + 12_000,
        |_| {},
    );
    check_outage_after_cancellations(
        |sim, leader| sim.partition_from_store(leader, 14_000, false),
        2_000,
        CANCEL_MS + 12_000,
        |_| {},
    );
    check_outage_after_cancellations(
        |sim, leader| sim.partition_from_store(leader, CANCEL_MS + 15_000, true),
        1_000,
        CANCEL_MS + 12_000,
        |_| {},
    );
    check_outage_after_cancellations(
        |sim, leader| sim.partition_from_store(leader, 9_000, true),
        1_000,
        LEASE_MS,
        |_| {},
    );
}

#[test]
fn refused_leader_freezes_or_restarts_during_an_outage() {
    let freeze = |sim: &mut Simulation| {
        let leader = sim.leader_changes.last().unwrap().1;
        sim.controllers[leader].pending_freeze_until = sim.now + CANCEL_MS + 11_900;
    };
    check_outage_after_cancellations(
        |sim, leader| sim.refuse_store_requests(leader, 14_000),
        1_000,
        CANCEL_MS + 12_000,
        freeze,
    );
    // The freeze ends while the workers still hold their leases.
    check_outage_after_cancellations(
        |sim, leader| sim.refuse_store_requests(leader, 60_000),
        1_000,
        CANCEL_MS + 12_000,
        |sim| {
            let leader = sim.leader_changes.last().unwrap().1;
            sim.controllers[leader].pending_freeze_until = sim.now + 3_500;
        },
    );
    check_outage_after_cancellations(
        |sim, leader| sim.refuse_store_requests(leader, 14_000),
        1_000,
        CANCEL_MS + 12_000,
        |sim| {
            sim.run_for(4_000);
            let leader = sim.leader_changes.last().unwrap().1;
            sim.stop_controller(leader, 20);
            sim.run_for(CANCEL_MS);
            (0..CONTROLLERS).for_each(|i| sim.stop_controller(i, 100));
        },
    );
}

#[test]
fn store_refuses_the_leader_while_users_cancel() {
    check_scenario(&[CANCELLED_WHILE_LEADER_REFUSED], |sim| {
        sim.long_tasks = true;
        sim.run_for(60_000);
        let leader = sim.await_leader();
        // Long enough that a leader that kept renewing its workers would keep cancelled tasks
        // beyond the deadline.
        sim.refuse_store_requests(leader, CANCEL_MS + 15_000);
        for _ in 0..4 {
            sim.cancel_running_jobs(4, 0);
            sim.run_for(400);
        }
        sim.run_for(CANCEL_MS + 15_000);
    });
}

#[test]
fn jobs_are_cancelled_at_the_successor_of_a_partitioned_leader() {
    for delayed in [true, false] {
        check_scenario(&[CANCELLED_WHILE_RUNNING], |sim| {
            sim.long_tasks = true;
            sim.run_for(60_000);
            let old = sim.await_leader();
            sim.partition_from_store(old, 30_000, delayed);
            sim.run_for(500);
            sim.cancel_running_jobs(4, 0);
            sim.run_for(6_000);
            let new = sim.await_leader();
            assert!(new != old, "no successor");
            sim.cancel_running_jobs(6, 0);
            sim.run_for(CANCEL_MS);
            sim.stop_controller(new, 400);
        });
    }
}

#[test]
fn transactions_are_applied_late() {
    check_scenario(&["late write conflicted", CANCELLED_WHILE_RUNNING], |sim| {
        sim.unanswered_writes =
            UnansweredWrites { until: 110_000, share: 0.4, only_reply_lost: false };
        sim.run_for(50_000);
        sim.cancel_running_jobs(5, 0);
        sim.run_for(3_000);
        sim.fail_over(20);
        sim.run_for(10_000);
        sim.cancel_running_jobs(5, 0);
        sim.fail_over(3_000);
        sim.run_for(10_000);
        (0..CONTROLLERS).for_each(|i| sim.stop_controller(i, 100));
        sim.extend_faults(30_000);
    });
}

#[test]
fn committed_writes_without_reply_are_read_back() {
    check_scenario(
        &[
            "reply of a committed write lost",
            "status read back",
            "cancelled as the last task finished",
        ],
        |sim| {
            sim.read_back_until = 120_000;
            sim.unanswered_writes =
                UnansweredWrites { until: 120_000, share: 0.4, only_reply_lost: true };
            sim.cancel_on_completion = CancelOnCompletion { until: 120_000, share: 0.4 };
            sim.run_for(60_000);
            sim.cancel_running_jobs(6, 0);
            sim.run_for(200);
            sim.fail_over(400);
            sim.run_for(50_000);
        },
    );
}

#[test]
fn new_machines_start_tasks_while_writes_are_late() {
    check_scenario(&["late write conflicted"], |sim| {
        sim.run_for(20_000);
        for restart_after_ms in [20, 3_000, 100] {
            // Half of the machines fail, and their replacements boot within two seconds.
            for machine in (0..sim.workers.len()).step_by(2) {
                sim.fail_machine(machine);
            }
            sim.fast_provisioning = true;
            sim.unanswered_writes =
                UnansweredWrites { until: sim.now + 15_000, share: 0.6, only_reply_lost: false };
            sim.run_for(33_000);
            sim.unanswered_writes =
                UnansweredWrites { until: sim.now + 8_000, share: 0.6, only_reply_lost: false };
            sim.run_for(3_000);
            sim.fail_over(restart_after_ms);
        }
        sim.extend_faults(12_000);
    });
}

#[test]
fn users_cancel_while_the_store_is_slow_then_refuses_then_fails() {
    check_scenario(&[CANCELLED_WHILE_RUNNING], |sim| {
        sim.long_tasks = true;
        sim.poll_storm_until = 140_000;
        sim.run_for(50_000);
        sim.store_delay_ms = 400;
        sim.cancel_running_jobs(3, 0);
        sim.run_for(5_000);
        let leader = sim.await_leader();
        sim.refuse_store_requests(leader, CANCEL_MS);
        sim.cancel_running_jobs(3, 0);
        sim.run_for(1_500);
        sim.start_store_outage(CANCEL_MS + 3_000);
        sim.cancel_running_jobs(3, 0);
        sim.run_for(CANCEL_MS + 3_000);
        sim.cancel_running_jobs(3, 0);
        sim.run_for(15_000);
        sim.store_delay_ms = 0;
    });
}
