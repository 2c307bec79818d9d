//! Meetings in which workers, their links or their zone fail.

use super::*;

#[test]
fn old_heartbeats_after_newer_ones() {
    days(&["cancelled as it ran"], |world| {
        world.late_heartbeats =
            LateHeartbeats { until: 100_000, share: 0.8, for_next_leader: false };
        world.run_for(50_000);
        world.fail_over(20);
        // A agent epoch ends and the next begins, with copies of the last on their way.
        world.hang(0.6, LEASE_MS..LEASE_MS + 4_000);
        world.run_for(20_000);
        world.cancel_now(5, 0);
        world.fail_over(3_000);
        world.extend_faults(3 * LEASE_MS);
    });
}

#[test]
fn old_heartbeats_reach_every_controller_as_a_new_leader_begins() {
    days(&["old report at a new leader", CANCELLED_WHILE_UNREACHABLE], |world| {
        world.long_tasks = true;
        world.late_heartbeats =
            LateHeartbeats { until: 150_000, share: 0.9, for_next_leader: true };
        world.run_for(60_000);
        let (old, cut) = (world.await_leader(), world.now + LEASE_MS * 3 / 2);
        // Some whose reports are kept are not heard of by the successor itself.
        world.for_share_of_workers(0.4, |m| m.uplink_lost_until = cut);
        world.cancel_now(6, 0);
        world.run_for(300);
        world.end(old, 3_000);
        world.await_leader();
        world.run_for(15_000);
        world.fail_over(100);
        world.run_for(5_000);
        world.fail_over(20);
        world.extend_faults(LEASE_MS);
    });
}

#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    days(&[CANCELLED_WHILE_RUNNING], |world| {
        for (i, u) in world.users.iter_mut().enumerate() {
            u.spec.one_zone = i % 3 == 0;
            u.spec.spread = i % 3 == 1;
            u.spec.zone = (i % 3 == 2).then(|| ZONES[i % 2].into());
        }
        world.run_for(40_000);
        for _ in 0..3 {
            let zone = world.rng.random_range(0..2);
            world.cut_zone(zone, LEASE_MS * 3 / 2, true);
            world.run_for(3_000);
            let lost: Vec<usize> =
                (0..world.workers.len()).filter(|m| world.workers[*m].alive).collect();
            lost.iter().step_by(4).for_each(|m| world.die(*m));
            world.cancel_now(3, 0);
            world.run_for(2 * LEASE_MS);
            world.fail_over(3_000);
        }
    });
}

#[test]
fn machines_that_lose_uplink_or_downlink() {
    for mute in [true, false] {
        days(&[CANCELLED_WHILE_UNREACHABLE], |world| {
            world.long_tasks = true;
            world.run_for(60_000);
            let until = world.now + LEASE_MS * 3 / 2;
            world.for_share_of_workers(0.5, |m| {
                if mute {
                    m.uplink_lost_until = until
                } else {
                    m.downlink_lost_until = until
                }
            });
            world.extend_faults(LEASE_MS * 3 / 2);
            world.run_for(1_500);
            world.cancel_now(12, 0);
            world.run_for(500);
            // The leader ends while machines with long tasks do not hear its successor.
            world.fail_over(3_000);
        });
    }
}

#[test]
fn cut_zone_with_a_controller_outlasts_the_lease() {
    for held in [true, false] {
        days(&[CANCELLED_WHILE_UNREACHABLE], |world| {
            world.long_tasks = true;
            world.run_for(60_000);
            let zone = world.await_leader() % 2;
            world.cut_zone(zone, LEASE_MS * 2, held);
            world.run_for(3_000);
            world.cancel_now(6, 0);
            world.run_for(LEASE_MS);
            world.fail_over(20);
        });
    }
}

#[test]
fn teams_at_their_limits_as_cancelled_jobs_hang_and_the_leader_changes() {
    days(&[CANCELLED_WHILE_UNREACHABLE], |world| {
        world.long_tasks = true;
        for (i, u) in world.users.iter_mut().enumerate() {
            u.spec.team = format!("t{}", i % 2);
            u.spec.cpus = [1.0, 2.0, 4.0][i % 3];
            // Jobs that come after the change of leader need not wait for older ones' machines.
            if i >= 20 {
                u.at = 70_000 + (i as u64 - 20) * 1_200;
            }
        }
        world.reschedule_users();
        world.run_for(70_000);
        let used = |world: &World, team: &str| -> f64 {
            let tasks = world.workers.iter().flat_map(|m| &m.tasks);
            let on = tasks.filter(|(_, r)| !matches!(r.state, TaskState::Exited(_)));
            let spec = |k: &TaskId| &world.users.iter().find(|u| u.job == k.job).unwrap().spec;
            on.map(|(k, _)| spec(&k.0)).filter(|s| s.team == team).map(|s| s.cpus).sum()
        };
        for (team, max) in ["t0", "t1"].into_iter().zip(CPUS_MAX) {
            assert!(
                used(world, team) > max - 4.0,
                "{team} is not at its limit: {}",
                used(world, team)
            );
        }
        world.cut_zone(0, LEASE_MS * 3 / 2, true);
        world.cancel_now(8, LEASE_MS - 2_000);
        world.run_for(1_500);
        world.fail_over(20);
        world.run_for(LEASE_MS);
        world.cancel_now(4, LEASE_MS + 4_000);
        world.fail_over(3_000);
    });
}

#[test]
fn commands_held_up_for_seconds() {
    days(&[CANCELLED_WHILE_RUNNING], |world| {
        world.run_for(40_000);
        for _ in 0..5 {
            // Shorter and longer than a worker waits for its answer.
            world.hang(0.5, 1_000..REPLY_TIMEOUT_MS + 2_000);
            let leader = world.await_leader();
            let spell = world.rng.random_range(1_000..3_800);
            world.controllers[leader].freezes_until = world.now + spell;
            world.run_for(spell / 2);
            world.cancel_now(2, 0);
            world.run_for(9_000);
        }
    });
}

#[test]
fn more_work_than_room_while_links_and_zones_fail() {
    days(&[CANCELLED_WHILE_RUNNING], |world| {
        world.long_tasks = true;
        for (i, u) in world.users.iter_mut().enumerate() {
            u.spec.priority = [Priority::Production, Priority::Low][i % 2];
            u.spec.tasks = 4;
        }
        world.run_for(50_000);
        world.cut_zone(1, LEASE_MS / 2, true);
        world.cancel_now(4, 2_000);
        world.run_for(LEASE_MS);
        let until = world.now + LEASE_MS;
        world.for_share_of_workers(0.3, |m| m.downlink_lost_until = until);
        world.fail_over(3_000);
        world.extend_faults(LEASE_MS);
    });
}
