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
            self.play(self.t + every);
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
            u.broken = false;
            // Nothing new is asked for before all have the new version.
            if u.spec.is_service() {
                (u.at, u.cancel_at) = (FAULTS_END, Some(FAULTS_END + 90_000));
            }
        }
        w.restart_users();
        w.play(40_000);
        largest = largest.max(w.largest_part());
        day(&mut w);
        w.play(w.quiet_at.max(w.t) + 200_000);
        w.check_end();
        w.broken.truncate(5);
        assert!(w.broken.is_empty(), "seed {seed}, {version:?}: {:#?}", w.broken);
        assert!(w.largest_part() <= NEXT_LIMITS.0, "seed {seed}: {}", w.largest_part());
    }
    assert!(largest > NEXT_LIMITS.0, "the old version left nothing to be cut: {largest}");
}

impl World {
    fn largest_part(&self) -> usize {
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
            w.play(w.t + 2_000);
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
        w.late_writes = Partly { until: w.t + 30_000, share: 0.3, other: false };
        w.late_reports = Partly { until: w.t + 30_000, share: 0.5, other: true };
        w.roll(1, 4_000, |w, first| {
            let until = w.t + LEASE;
            match first {
                0 => w.some(0.3, |m| m.deaf_until = until),
                1 => w.zone_cut = Some((until, true)),
                _ => w.cancel_now(4, 2_000),
            }
            w.quiet(LEASE);
        });
        w.outage(9_000);
        w.wait_and_lower(2_000);
        for back in [20, 3_000] {
            w.play(w.t + 12_000);
            let l = w.leader();
            l.into_iter().for_each(|l| w.end(l, back));
        }
        w.quiet(30_000);
    });
}

impl World {
    fn wait_and_lower(&mut self, ms: u64) {
        self.play(self.t + ms);
        self.store.limits = NEXT_LIMITS;
    }
}
