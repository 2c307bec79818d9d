//! The time that new machines take to come up, and the age from which they no longer count as
//! capacity.
//!
//! A provisioned machine counts as capacity for pending tasks. A machine that takes much longer
//! than recently observed is overdue and may never come up, so other machines are requested in its
//! place. In a zone where most machines are overdue, only a few are tried until machines come up
//! again.
//!
//! Times are multiples of the nominal boot time, which the cloud states for the machine type.

use crate::model::{MachineType, Ms};
use std::collections::{BTreeMap, VecDeque};

/// Nominal boot times after which a machine is overdue, unless longer times were observed.
const OVERDUE_BOOT_TIMES: f64 = 2.5;
/// Multiple of the recently observed time, stragglers excluded, after which a machine is overdue.
const OVERDUE_OBSERVED_FACTOR: f64 = 1.5;
/// Nominal boot times after which a machine is abandoned, unless longer times were observed.
pub const ABANDONED_BOOT_TIMES: f64 = 4.0;
/// Nominal boot times after which a machine is overdue regardless of the observed times.
const MAX_OVERDUE_BOOT_TIMES: f64 = 6.0;
/// One in this many observations may be a straggler.
const STRAGGLER_DIVISOR: usize = 8;
/// Maximum number of observations kept per type and zone.
const MAX_OBSERVATIONS: usize = 16;
/// Nominal boot times for which an observation is used.
const OBSERVATION_LIFETIME_BOOT_TIMES: f64 = 20.0;
/// Maximum number of booting machines in a zone where most are overdue.
const MAX_TRIAL_MACHINES: usize = 2;

/// Observations for a type in a zone.
#[derive(Debug, Default)]
struct ZoneObservations {
    /// Times at which machines came up, with the nominal boot times that they took.
    arrivals: VecDeque<(Ms, f64)>,
    /// Times at which machines were abandoned.
    abandoned: VecDeque<Ms>,
    /// Number of booting machines that are not overdue.
    on_time: usize,
    /// Number of booting machines that are overdue.
    overdue: usize,
}

/// A machine that was requested and has not come up yet.
#[derive(Clone, Copy, Debug)]
pub struct BootingMachine<'a> {
    /// Its machine type.
    pub machine_type: &'a MachineType,
    /// Its zone.
    pub zone: &'a str,
    /// Whether it is overdue.
    pub overdue: bool,
}

/// Observed times that machines take to come up, by type and zone.
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

    /// Records that a machine came up `took_ms` after it was requested.
    pub fn record_arrival(&mut self, machine_type: &MachineType, zone: &str, now: Ms, took_ms: Ms) {
        let observations = self.entry(machine_type, zone);
        if observations.arrivals.len() >= MAX_OBSERVATIONS {
            observations.arrivals.pop_front();
        }
        observations.arrivals.push_back((now, took_ms as f64 / nominal_boot_ms(machine_type)));
    }

    /// Records that a machine was abandoned. Without this record, a zone with a fault would be
    /// trusted again as soon as the last of its overdue machines is terminated.
    pub fn record_abandonment(&mut self, machine_type: &MachineType, zone: &str, now: Ms) {
        let observations = self.entry(machine_type, zone);
        if observations.abandoned.len() >= MAX_OBSERVATIONS {
            observations.abandoned.pop_front();
        }
        observations.abandoned.push_back(now);
    }

    /// Returns the time in nominal boot times within which machines came up recently, stragglers
    /// excluded. A single machine that takes several times as long does not delay the replacement
    /// of others.
    fn observed_boot_times(&self, machine_type: &MachineType, zone: &str, now: Ms) -> f64 {
        let Some(observations) = self.get(machine_type, zone) else { return 0.0 };
        let lifetime_ms = OBSERVATION_LIFETIME_BOOT_TIMES * nominal_boot_ms(machine_type);
        let mut times: Vec<f64> = observations
            .arrivals
            .iter()
            .filter(|(at, _)| now.saturating_sub(*at) as f64 <= lifetime_ms)
            .map(|(_, took)| *took)
            .collect();
        times.sort_by(f64::total_cmp);
        let stragglers = times.len() / STRAGGLER_DIVISOR;
        times.iter().rev().nth(stragglers).copied().unwrap_or(0.0)
    }

    /// Returns the age in milliseconds from which a booting machine is overdue and no longer counts
    /// as capacity.
    pub fn overdue_after(&self, machine_type: &MachineType, zone: &str, now: Ms) -> Ms {
        let observed_boot_times = self.observed_boot_times(machine_type, zone, now);
        let boot_times = (OVERDUE_OBSERVED_FACTOR * observed_boot_times)
            .clamp(OVERDUE_BOOT_TIMES, MAX_OVERDUE_BOOT_TIMES);
        (boot_times * nominal_boot_ms(machine_type)) as Ms
    }

    /// Returns the age in milliseconds at which a booting machine is abandoned, that is,
    /// terminated. The age is higher where machines were observed to be late: otherwise each of
    /// them would be terminated just before it comes up, and another one paid for in its place.
    pub fn abandoned_after(&self, machine_type: &MachineType, zone: &str, now: Ms) -> Ms {
        let observed_boot_times = self.observed_boot_times(machine_type, zone, now);
        let boot_times = (OVERDUE_OBSERVED_FACTOR * observed_boot_times + 1.0)
            .clamp(ABANDONED_BOOT_TIMES, MAX_OVERDUE_BOOT_TIMES + 1.0);
        (boot_times * nominal_boot_ms(machine_type)) as Ms
    }

    /// Replaces the numbers of booting machines.
    pub fn count_booting<'a>(&mut self, booting: impl Iterator<Item = BootingMachine<'a>>) {
        for observations in self.zones.values_mut() {
            (observations.on_time, observations.overdue) = (0, 0);
        }
        for machine in booting {
            let observations = self.entry(machine.machine_type, machine.zone);
            observations.on_time += !machine.overdue as usize;
            observations.overdue += machine.overdue as usize;
        }
    }

    /// Returns how many more machines may be requested in a zone. `requested` is the number in
    /// requests that are not answered yet.
    pub fn request_allowance(
        &self,
        machine_type: &MachineType,
        zone: &str,
        requested: usize,
        now: Ms,
    ) -> usize {
        let Some(observations) = self.get(machine_type, zone) else { return usize::MAX };
        // Machines that came up after the overdue ones were requested show that the zone works.
        let window_ms = ABANDONED_BOOT_TIMES * nominal_boot_ms(machine_type);
        let is_recent = |at: &Ms| now.saturating_sub(*at) as f64 <= window_ms;
        let arrived = observations.arrivals.iter().filter(|(at, _)| is_recent(at)).count();
        let abandoned = observations.abandoned.iter().filter(|at| is_recent(at)).count();
        let missing = observations.overdue + abandoned;
        match missing >= MAX_TRIAL_MACHINES && missing > arrived {
            true => MAX_TRIAL_MACHINES.saturating_sub(observations.on_time + requested),
            false => usize::MAX,
        }
    }
}

/// Returns the nominal boot time of a type. A time of 0 is raised to 1 s, and a time above 1e6 s is
/// lowered to it.
fn nominal_boot_ms(machine_type: &MachineType) -> f64 {
    machine_type.boot_s.clamp(1.0, 1e6) * 1000.0
}

#[cfg(test)]
#[path = "provisioning_time_tests.rs"]
mod tests;
