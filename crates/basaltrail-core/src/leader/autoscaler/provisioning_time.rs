//! How long new machines take to come up, and which are not counted on any more.
//!
//! A provisioned machine counts as capacity while work waits. One that is overdue by what was
//! observed recently may never come, so other machines are requested instead; in a zone where
//! most are overdue, only a few are tried until machines come up.
//!
//! Times are measured in nominal ones: those that the cloud states of the type.

use crate::model::{MachineType, Ms};
use std::collections::{BTreeMap, VecDeque};

/// Nominal times after which a machine is overdue, where nothing longer was observed.
const OVERDUE: f64 = 2.5;
/// The same, as a multiple of what all but a few took recently.
const OVERDUE_OBSERVED: f64 = 1.5;
/// Nominal times after which a machine is abandoned, where nothing longer was observed.
pub const ABANDONED: f64 = 4.0;
/// Nominal times after which no machine is counted on, whatever was observed.
const MAX_OVERDUE: f64 = 6.0;
/// One in so many machines is few.
const FEW: usize = 8;
/// Observations kept by type and zone.
const MAX_OBSERVATIONS: usize = 16;
/// Nominal times for which an observation counts.
const OBSERVATION_LIFETIME: f64 = 20.0;
/// Machines that may be on their way at once in a zone where most are overdue.
const TRIAL_MACHINES: usize = 2;

/// Observations of a type in a zone.
#[derive(Debug, Default)]
struct ZoneObservations {
    /// When machines came up, and after how many nominal times.
    arrivals: VecDeque<(Ms, f64)>,
    /// When machines were abandoned.
    abandoned: VecDeque<Ms>,
    /// Machines on their way that are in time.
    in_time: usize,
    /// Machines on their way that are overdue.
    overdue: usize,
}

/// A machine on its way.
#[derive(Clone, Copy, Debug)]
pub struct MachineOnItsWay<'a> {
    /// Its type.
    pub machine_type: &'a MachineType,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it is overdue.
    pub overdue: bool,
}

/// What was observed of the time that machines take to come up, by type and zone.
#[derive(Debug, Default)]
pub struct ProvisioningTimes {
    zones: BTreeMap<(String, String), ZoneObservations>,
}

impl ProvisioningTimes {
    fn get(&self, machine_type: &MachineType, zone: &str) -> Option<&ZoneObservations> {
        self.zones.get(&(machine_type.name.clone(), zone.to_string()))
    }

    fn entry(&mut self, machine_type: &MachineType, zone: &str) -> &mut ZoneObservations {
        self.zones.entry((machine_type.name.clone(), zone.to_string())).or_default()
    }

    /// Notes that a machine came up `took` milliseconds after it was requested.
    pub fn note_arrival(&mut self, machine_type: &MachineType, zone: &str, now: Ms, took: Ms) {
        let observations = self.entry(machine_type, zone);
        if observations.arrivals.len() >= MAX_OBSERVATIONS {
            observations.arrivals.pop_front();
        }
        observations.arrivals.push_back((now, took as f64 / nominal_ms(machine_type)));
    }

    /// Notes that a machine was abandoned. Were that forgotten, a zone in trouble would be
    /// trusted as soon as the last of its machines is terminated.
    pub fn note_abandoned(&mut self, machine_type: &MachineType, zone: &str, now: Ms) {
        let observations = self.entry(machine_type, zone);
        if observations.abandoned.len() >= MAX_OBSERVATIONS {
            observations.abandoned.pop_front();
        }
        observations.abandoned.push_back(now);
    }

    /// How long all but a few machines took recently, in nominal times. A single one that takes
    /// several times as long is no reason to wait so long for all.
    fn observed(&self, machine_type: &MachineType, zone: &str, now: Ms) -> f64 {
        let Some(observations) = self.get(machine_type, zone) else { return 0.0 };
        let lifetime_ms = OBSERVATION_LIFETIME * nominal_ms(machine_type);
        let mut times: Vec<f64> = observations
            .arrivals
            .iter()
            .filter(|(at, _)| now.saturating_sub(*at) as f64 <= lifetime_ms)
            .map(|(_, took)| *took)
            .collect();
        times.sort_by(f64::total_cmp);
        let few = times.len() / FEW;
        times.iter().rev().nth(few).copied().unwrap_or(0.0)
    }

    /// The age in milliseconds from which a machine on its way is overdue: not counted on.
    pub fn overdue_after(&self, machine_type: &MachineType, zone: &str, now: Ms) -> Ms {
        let observed = self.observed(machine_type, zone, now);
        let nominal_times = (OVERDUE_OBSERVED * observed).clamp(OVERDUE, MAX_OVERDUE);
        (nominal_times * nominal_ms(machine_type)) as Ms
    }

    /// The age in milliseconds at which it is abandoned: terminated. Where machines are seen to
    /// be overdue, later: else each would be terminated just before it comes up, and another
    /// paid for in its place.
    pub fn abandoned_after(&self, machine_type: &MachineType, zone: &str, now: Ms) -> Ms {
        let observed = self.observed(machine_type, zone, now);
        let nominal_times = (OVERDUE_OBSERVED * observed + 1.0).clamp(ABANDONED, MAX_OVERDUE + 1.0);
        (nominal_times * nominal_ms(machine_type)) as Ms
    }

    /// Counts the machines on their way anew.
    pub fn count<'a>(&mut self, on_their_way: impl Iterator<Item = MachineOnItsWay<'a>>) {
        for observations in self.zones.values_mut() {
            (observations.in_time, observations.overdue) = (0, 0);
        }
        for machine in on_their_way {
            let observations = self.entry(machine.machine_type, machine.zone);
            observations.in_time += !machine.overdue as usize;
            observations.overdue += machine.overdue as usize;
        }
    }

    /// How many more machines may be requested in a zone, beside those that were requested and
    /// not answered yet.
    pub fn allowance(
        &self,
        machine_type: &MachineType,
        zone: &str,
        requested: usize,
        now: Ms,
    ) -> usize {
        let Some(observations) = self.get(machine_type, zone) else { return usize::MAX };
        // What came up since the overdue ones were requested shows that machines come up.
        let window_ms = ABANDONED * nominal_ms(machine_type);
        let recent = |at: &Ms| now.saturating_sub(*at) as f64 <= window_ms;
        let arrived = observations.arrivals.iter().filter(|(at, _)| recent(at)).count();
        let abandoned = observations.abandoned.iter().filter(|at| recent(at)).count();
        let missing = observations.overdue + abandoned;
        match missing >= TRIAL_MACHINES && missing > arrived {
            true => TRIAL_MACHINES.saturating_sub(observations.in_time + requested),
            false => usize::MAX,
        }
    }
}

/// The nominal time of a type. One of 0 is taken for a second, and a senseless one for some
/// days.
fn nominal_ms(machine_type: &MachineType) -> f64 {
    machine_type.boot_s.clamp(1.0, 1e6) * 1000.0
}

#[cfg(test)]
#[path = "provisioning_time_tests.rs"]
mod tests;
