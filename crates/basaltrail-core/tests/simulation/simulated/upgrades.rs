//! Rolling upgrades under load. If only the current version is available, it runs with the store
//! limits of the version in production and writes values that exceed the next limits.

use super::*;

impl Simulation {
    /// Stops controllers in batches; each restarts with the current version and the next store
    /// limits.
    fn upgrade_controllers(
        &mut self,
        batch_size: usize,
        interval_ms: u64,
        after_stop: impl Fn(&mut Simulation, usize),
    ) {
        for first in (0..CONTROLLERS).step_by(batch_size) {
            for i in first..(first + batch_size).min(CONTROLLERS) {
                self.controllers[i].next_configuration.store_limits = NEXT_STORE_LIMITS;
                self.controllers[i].next_version = Version::default();
                self.stop_controller(i, 400 + 100 * i as u64);
            }
            after_stop(self, first);
            self.run_until(self.now + interval_ms);
        }
    }
}

fn check_upgrades(seeds: std::ops::Range<u64>, scenario: impl Fn(&mut Simulation)) {
    let mut largest_before_upgrade = 0;
    let earlier = Version::PRODUCTION.iter();
    for (seed, version) in
        earlier.flat_map(|version| seeds.clone().map(move |seed| (seed, *version)))
    {
        let mut sim = Simulation::new(seed);
        sim.run_version(version);
        for user in &mut sim.users {
            user.faulty = false;
            // No service is submitted before all controllers run the current version.
            if user.spec.is_service() {
                (user.submit_at, user.cancel_at) = (FAULTS_END_MS, Some(FAULTS_END_MS + 90_000));
            }
        }
        sim.reschedule_users();
        sim.run_until(40_000);
        largest_before_upgrade = largest_before_upgrade.max(sim.largest_registry_segment());
        scenario(&mut sim);
        sim.run_until(sim.faults_over_at.max(sim.now) + 200_000);
        sim.check_all_jobs_ended();
        sim.violations.truncate(5);
        assert!(sim.violations.is_empty(), "seed {seed}, {version:?}: {:#?}", sim.violations);
        assert!(
            sim.largest_registry_segment() <= NEXT_STORE_LIMITS.0,
            "seed {seed}: {}",
            sim.largest_registry_segment()
        );
    }
    assert!(
        largest_before_upgrade > NEXT_STORE_LIMITS.0,
        "no value of the old version exceeded the next limits: {largest_before_upgrade}"
    );
}

impl Simulation {
    /// Returns the size of the largest segment of the machine registry, in bytes.
    fn largest_registry_segment(&self) -> usize {
        let segments = self.store.keys.iter().filter(|(key, _)| key.starts_with("r/"));
        segments.map(|(_, stored)| stored.value.len()).max().unwrap_or(0)
    }
}

#[test]
fn rolling_upgrade_one_controller_at_a_time() {
    check_upgrades(0..6, |sim| {
        sim.upgrade_controllers(1, 8_000, |_, _| {});
        sim.lower_store_limits_after(5_000);
    });
}

#[test]
fn rolling_upgrade_two_at_a_time_with_a_restart_of_the_old_version() {
    check_upgrades(0..6, |sim| {
        sim.upgrade_controllers(2, 6_000, |sim, first| {
            sim.run_until(sim.now + 2_000);
            sim.cancel_running_jobs(2, 1_000);
            // A controller that is not upgraded yet restarts with the old version.
            if first == 0 {
                sim.stop_controller(CONTROLLERS - 1, 20);
            }
        });
        sim.lower_store_limits_after(100);
    });
}

#[test]
fn store_limits_fall_during_an_outage_after_an_upgrade_with_faults() {
    check_upgrades(0..6, |sim| {
        sim.unanswered_writes =
            UnansweredWrites { until: sim.now + 30_000, share: 0.3, only_reply_lost: false };
        sim.duplicate_heartbeats =
            DuplicateHeartbeats { until: sim.now + 30_000, share: 0.5, held_for_next_leader: true };
        sim.upgrade_controllers(1, 4_000, |sim, first| {
            let until = sim.now + LEASE_MS;
            match first {
                0 => sim.for_share_of_workers(0.3, |worker| worker.downlink_lost_until = until),
                1 => sim.zone_partition = Some((until, true)),
                _ => sim.cancel_running_jobs(4, 2_000),
            }
            sim.extend_faults(LEASE_MS);
        });
        sim.start_store_outage(9_000);
        sim.lower_store_limits_after(2_000);
        for restart_after_ms in [20, 3_000] {
            sim.run_until(sim.now + 12_000);
            let leader = sim.leader();
            leader.into_iter().for_each(|leader| sim.stop_controller(leader, restart_after_ms));
        }
        sim.extend_faults(30_000);
    });
}

impl Simulation {
    fn lower_store_limits_after(&mut self, ms: u64) {
        self.run_until(self.now + ms);
        self.store.limits = NEXT_STORE_LIMITS;
    }
}
