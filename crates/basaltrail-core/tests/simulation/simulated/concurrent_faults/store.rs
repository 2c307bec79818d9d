//! Meetings in which the store refuses, is slow or down, or carries out late.

use super::*;

/// The gap: the service refuses the leader, another controller confirms cancellations, and then it is
/// out for all, for longer than `cancel_s`.
fn gap(shut: impl Fn(&mut World, usize), before: u64, outage: u64, meanwhile: impl Fn(&mut World)) {
    days(&[CANCELLED_WHILE_RUNNING], |world| {
        world.long_tasks = true;
        world.run_for(60_000);
        let leader = world.await_leader();
        shut(world, leader);
        world.cancel_now(12, 0);
        world.run_for(before);
        world.outage(outage);
        meanwhile(world);
        world.run_until(world.store.down_until - 200);
        if outage > CANCEL_MS {
            assert!(!world.cancelled_runs(), "runs on in the gap");
        }
        // Who leads after it hears of what was cancelled late, by its watch alone.
        let until = world.now + 6_000;
        world.controllers.iter_mut().for_each(|c| c.watches_lost_until = until);
        world.extend_faults(6_200);
    });
}

#[test]
fn refused_leader_then_outage() {
    gap(|world, leader| world.refuse(leader, 14_000), 2_000, CANCEL_MS + 12_000, |_| {});
    gap(|world, leader| world.refuse(leader, 14_000), 1_000, CANCEL_MS + 500, |_| {});
    // At the very moment, and refused for longer than the outage.
    gap(|world, leader| world.refuse(leader, 60_000), 300, CANCEL_MS + 5_000, |_| {});
    gap(|world, leader| world.refuse(leader, 14_000), 2_000, LEASE_MS - 1_000, |_| {});
}

#[test]
fn cut_leader_then_outage() {
    gap(
        |world, leader| world.cut_from_store(leader, 14_000, true),
        2_000,
        CANCEL_MS + 12_000,
        |_| {},
    );
    gap(
        |world, leader| world.cut_from_store(leader, 14_000, false),
        2_000,
        CANCEL_MS + 12_000,
        |_| {},
    );
    gap(
        |world, leader| world.cut_from_store(leader, CANCEL_MS + 15_000, true),
        1_000,
        CANCEL_MS + 12_000,
        |_| {},
    );
    gap(|world, leader| world.cut_from_store(leader, 9_000, true), 1_000, LEASE_MS, |_| {});
}

#[test]
fn refused_leader_stands_still_or_is_restarted_in_the_outage() {
    let still = |world: &mut World| {
        let leader = world.leaders.last().unwrap().1;
        world.controllers[leader].freezes_until = world.now + CANCEL_MS + 11_900;
    };
    gap(|world, leader| world.refuse(leader, 14_000), 1_000, CANCEL_MS + 12_000, still);
    // It goes on while its workers still have their leases.
    gap(
        |world, leader| world.refuse(leader, 60_000),
        1_000,
        CANCEL_MS + 12_000,
        |world| {
            let leader = world.leaders.last().unwrap().1;
            world.controllers[leader].freezes_until = world.now + 3_500;
        },
    );
    gap(
        |world, leader| world.refuse(leader, 14_000),
        1_000,
        CANCEL_MS + 12_000,
        |world| {
            world.run_for(4_000);
            let leader = world.leaders.last().unwrap().1;
            world.end(leader, 20);
            world.run_for(CANCEL_MS);
            (0..CONTROLLERS).for_each(|i| world.end(i, 100));
        },
    );
}

#[test]
fn leader_refused_as_users_cancel() {
    days(&[CANCELLED_BESIDE_REFUSED_LEADER], |world| {
        world.long_tasks = true;
        world.run_for(60_000);
        let leader = world.await_leader();
        // So long that whoever kept its workers would keep what was cancelled, too.
        world.refuse(leader, CANCEL_MS + 15_000);
        for _ in 0..4 {
            world.cancel_now(4, 0);
            world.run_for(400);
        }
        world.run_for(CANCEL_MS + 15_000);
    });
}

#[test]
fn isolated_leader_keeps_its_workers_as_jobs_are_cancelled_elsewhere() {
    for held in [true, false] {
        days(&[CANCELLED_WHILE_RUNNING], |world| {
            world.long_tasks = true;
            world.run_for(60_000);
            let old = world.await_leader();
            world.cut_from_store(old, 30_000, held);
            world.run_for(500);
            world.cancel_now(4, 0);
            world.run_for(6_000);
            let new = world.await_leader();
            assert!(new != old, "no successor");
            world.cancel_now(6, 0);
            world.run_for(CANCEL_MS);
            world.end(new, 400);
        });
    }
}

#[test]
fn transactions_carried_out_late() {
    days(&["late write lost", CANCELLED_WHILE_RUNNING], |world| {
        world.late_writes = LateWrites { until: 110_000, share: 0.4, answer_lost: false };
        world.run_for(50_000);
        world.cancel_now(5, 0);
        world.run_for(3_000);
        world.fail_over(20);
        world.run_for(10_000);
        world.cancel_now(5, 0);
        world.fail_over(3_000);
        world.run_for(10_000);
        (0..CONTROLLERS).for_each(|i| world.end(i, 100));
        world.extend_faults(30_000);
    });
}

#[test]
fn answers_of_transactions_lost_while_others_read_them() {
    days(&["answer lost", "looked", "cancelled at its end"], |world| {
        world.read_back_until = 120_000;
        world.late_writes = LateWrites { until: 120_000, share: 0.4, answer_lost: true };
        world.cancel_at_end = CancelAtEnd { until: 120_000, share: 0.4 };
        world.run_for(60_000);
        world.cancel_now(6, 0);
        world.run_for(200);
        world.fail_over(400);
        world.run_for(50_000);
    });
}

#[test]
fn new_machines_get_work_at_once_while_writes_lag() {
    days(&["late write lost"], |world| {
        world.run_for(20_000);
        for back in [20, 3_000, 100] {
            // Machines go, and those rented for them are up within two seconds.
            for m in (0..world.workers.len()).step_by(2) {
                world.die(m);
            }
            world.fast_provisioning = true;
            world.late_writes =
                LateWrites { until: world.now + 15_000, share: 0.6, answer_lost: false };
            world.run_for(33_000);
            world.late_writes =
                LateWrites { until: world.now + 8_000, share: 0.6, answer_lost: false };
            world.run_for(3_000);
            world.fail_over(back);
        }
        world.extend_faults(12_000);
    });
}

#[test]
fn store_slow_then_refusing_then_down_while_users_cancel_and_poll() {
    days(&[CANCELLED_WHILE_RUNNING], |world| {
        world.long_tasks = true;
        world.poll_storm_until = 140_000;
        world.run_for(50_000);
        world.store_delay_ms = 400;
        world.cancel_now(3, 0);
        world.run_for(5_000);
        let leader = world.await_leader();
        world.refuse(leader, CANCEL_MS);
        world.cancel_now(3, 0);
        world.run_for(1_500);
        world.outage(CANCEL_MS + 3_000);
        world.cancel_now(3, 0);
        world.run_for(CANCEL_MS + 3_000);
        world.cancel_now(3, 0);
        world.run_for(15_000);
        world.store_delay_ms = 0;
    });
}
