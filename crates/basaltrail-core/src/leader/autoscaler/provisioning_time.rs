//! How long new machines take to come, and which are not counted on any more.
//!
//! A machine on its way stands for room while work waits. One that is late by what has
//! been seen of late may never come, so that room is rented elsewhere; where most are
//! late, only a few are tried until machines come.

use crate::model::*;
use std::collections::{BTreeMap, VecDeque};

/// Nominal boot times after which a machine is late, where nothing else was seen.
const LATE: f64 = 2.5;
/// The same, over what all but a few took of late.
const LATE_SEEN: f64 = 1.5;
/// Nominal boot times after which one is given back, where nothing else was seen.
pub const NEVER: f64 = 4.0;
/// Nominal boot times after which none is counted on, whatever was seen.
const MOST: f64 = 6.0;
/// One in so many boots is few.
const FEW: usize = 8;
/// Boot times kept by zone.
const KEPT: usize = 16;
/// Nominal boot times for which what was seen counts.
const LASTING: f64 = 20.0;
/// Machines on their way at once in a zone where most are late.
const TRIAL: usize = 2;

#[derive(Debug, Default)]
struct Zone {
    /// When machines came, and after how many nominal boot times.
    came: VecDeque<(Ms, f64)>,
    /// When machines were given back that never came.
    missed: VecDeque<Ms>,
    /// Machines on their way: in time, and late.
    coming: usize,
    late: usize,
}

/// What is known of a type's boots in each zone.
#[derive(Debug, Default)]
pub struct ProvisioningTimes {
    zones: BTreeMap<(String, String), Zone>,
}

impl ProvisioningTimes {
    fn zone(&mut self, t: &MachineType, zone: &str) -> &mut Zone {
        self.zones.entry((t.name.clone(), zone.to_string())).or_default()
    }

    /// A machine has come, so long after it was asked for.
    pub fn came(&mut self, t: &MachineType, zone: &str, now: Ms, took: Ms) {
        let z = self.zone(t, zone);
        if z.came.len() >= KEPT {
            z.came.pop_front();
        }
        z.came.push_back((now, took as f64 / nominal_ms(t)));
    }

    /// A machine is given back that never came. Were that forgotten, a zone in trouble
    /// would be trusted as soon as the last one has gone back.
    pub fn missed(&mut self, t: &MachineType, zone: &str, now: Ms) {
        let z = self.zone(t, zone);
        if z.missed.len() >= KEPT {
            z.missed.pop_front();
        }
        z.missed.push_back(now);
    }

    /// How long all but a few boots of late took, in nominal ones. A single machine that
    /// takes several times as long is no reason to wait so long for all.
    fn usual(&self, t: &MachineType, zone: &str, now: Ms) -> f64 {
        let Some(z) = self.zones.get(&(t.name.clone(), zone.to_string())) else { return 0.0 };
        let recent = |at: Ms| now.saturating_sub(at) as f64 <= LASTING * nominal_ms(t);
        let mut took: Vec<f64> =
            z.came.iter().filter(|(at, _)| recent(*at)).map(|(_, took)| *took).collect();
        took.sort_by(f64::total_cmp);
        let few = took.len() / FEW;
        took.iter().rev().nth(few).copied().unwrap_or(0.0)
    }

    /// The age from which a machine on its way is not counted on.
    pub fn late_after(&self, t: &MachineType, zone: &str, now: Ms) -> Ms {
        let usual = self.usual(t, zone, now);
        ((LATE_SEEN * usual).clamp(LATE, MOST) * nominal_ms(t)) as Ms
    }

    /// The age at which it is given back. Where machines are seen to come late, later:
    /// else each would go just before it came, and another be paid for in its place.
    pub fn never_after(&self, t: &MachineType, zone: &str, now: Ms) -> Ms {
        let usual = self.usual(t, zone, now);
        ((LATE_SEEN * usual + 1.0).clamp(NEVER, MOST + 1.0) * nominal_ms(t)) as Ms
    }

    /// Counts the machines on their way anew, by type, zone and whether they are late.
    pub fn count<'a>(&mut self, on_way: impl Iterator<Item = (&'a MachineType, &'a str, bool)>) {
        for z in self.zones.values_mut() {
            (z.coming, z.late) = (0, 0);
        }
        for (t, zone, late) in on_way {
            let z = self.zone(t, zone);
            z.coming += !late as usize;
            z.late += late as usize;
        }
    }

    /// How many more machines may be asked for in a zone beside those asked for already.
    pub fn room(&self, t: &MachineType, zone: &str, asked: usize, now: Ms) -> usize {
        let Some(z) = self.zones.get(&(t.name.clone(), zone.to_string())) else {
            return usize::MAX;
        };
        // What came since the late ones were asked for shows that machines come.
        let since = NEVER * nominal_ms(t);
        let recent = |at: &Ms| now.saturating_sub(*at) as f64 <= since;
        let came = z.came.iter().filter(|(at, _)| recent(at)).count();
        let missed = z.late + z.missed.iter().filter(|at| recent(at)).count();
        match missed >= TRIAL && missed > came {
            true => TRIAL.saturating_sub(z.coming + asked),
            false => usize::MAX,
        }
    }
}

/// Boot times of 0 are taken for a second, and senseless ones for some days.
fn nominal_ms(t: &MachineType) -> f64 {
    t.boot_s.clamp(1.0, 1e6) * 1000.0
}

#[cfg(test)]
#[path = "provisioning_time_tests.rs"]
mod tests;
