//! Upgrades while serving. Where only this version is at hand, the one in production differs by
//! what it writes: to the limits of its day, with no thought of the next ones.

use super::*;

impl World {
    /// Ends controllers, so many at a time, that come back with the new version.
    fn roll(&mut self, at_once: usize, every: u64, between: impl Fn(&mut World, usize)) {
        for first in (0..CONTROLLERS).step_by(at_once) {
            for i in first..(first + at_once).min(CONTROLLERS) {
                self.controllers[i].next_configuration.limits = NEXT_LIMITS;
                self.controllers[i].next_version = Version::default();
                self.end(i, 400 + 100 * i as u64);
            }
            between(self, first);
            self.run_until(self.now + every);
        }
    }
}

fn days(seeds: std::ops::Range<u64>, day: impl Fn(&mut World)) {
    let mut largest = 0;
    let earlier = Version::PRODUCTION.iter();
    for (seed, version) in earlier.flat_map(|v| seeds.clone().map(move |seed| (seed, *v))) {
        let mut w = World::new(seed);
        w.run_only(version);
        for u in &mut w.users {
            u.faulty_job = false;
            // Nothing new is asked for before all have the new version.
            if u.spec.is_service() {
                (u.at, u.cancel_at) = (FAULTS_END_MS, Some(FAULTS_END_MS + 90_000));
            }
        }
        w.reschedule_users();
        w.run_until(40_000);
        largest = largest.max(w.largest_registry_part());
        day(&mut w);
        w.run_until(w.faults_over_at.max(w.now) + 200_000);
        w.check_end();
        w.violations.truncate(5);
        assert!(w.violations.is_empty(), "seed {seed}, {version:?}: {:#?}", w.violations);
        assert!(
            w.largest_registry_part() <= NEXT_LIMITS.0,
            "seed {seed}: {}",
            w.largest_registry_part()
        );
    }
    assert!(largest > NEXT_LIMITS.0, "the old version left nothing to be cut: {largest}");
}

impl World {
    fn largest_registry_part(&self) -> usize {
        let parts = self.store.keys.iter().filter(|(k, _)| k.starts_with("r/"));
        parts.map(|(_, k)| k.value.len()).max().unwrap_or(0)
    }
}

#[test]
fn upgrade_one_at_a_time_and_the_limits_fall() {
    days(0..6, |w| {
        w.roll(1, 8_000, |_, _| {});
        w.wait_and_lower(5_000);
    });
}

#[test]
fn upgrade_of_several_at_a_time_with_crashes_back_to_the_old() {
    days(0..6, |w| {
        w.roll(2, 6_000, |w, first| {
            w.run_until(w.now + 2_000);
            w.cancel_now(2, 1_000);
            // One whose turn has not come ends, and comes back old.
            if first == 0 {
                w.end(CONTROLLERS - 1, 20);
            }
        });
        w.wait_and_lower(100);
    });
}

#[test]
fn limits_fall_in_an_outage_after_an_upgrade_among_troubles() {
    days(0..6, |w| {
        w.late_writes = LateWrites { until: w.now + 30_000, share: 0.3, answer_lost: false };
        w.late_heartbeats =
            LateHeartbeats { until: w.now + 30_000, share: 0.5, for_next_leader: true };
        w.roll(1, 4_000, |w, first| {
            let until = w.now + LEASE_MS;
            match first {
                0 => w.for_share_of_workers(0.3, |m| m.downlink_lost_until = until),
                1 => w.zone_cut = Some((until, true)),
                _ => w.cancel_now(4, 2_000),
            }
            w.extend_faults(LEASE_MS);
        });
        w.outage(9_000);
        w.wait_and_lower(2_000);
        for back in [20, 3_000] {
            w.run_until(w.now + 12_000);
            let l = w.leader();
            l.into_iter().for_each(|l| w.end(l, back));
        }
        w.extend_faults(30_000);
    });
}

impl World {
    fn wait_and_lower(&mut self, ms: u64) {
        self.run_until(self.now + ms);
        self.store.limits = NEXT_LIMITS;
    }
}
