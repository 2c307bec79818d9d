//! Detection of network partitions from the silence of many machines.

use crate::leader::cluster::Cluster;
use crate::leader::scheduler::services::{any_service, may_run_replicas};
use crate::leader::Context;
use crate::machines::{Decommission, Machine};
use crate::model::{MachineId, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of machines, in a zone or in all zones, whose silence says anything about the
/// network.
const MIN_MACHINES: usize = 3;
/// At most one in this many machines of a zone may be silent if the zone is reachable.
const FEW_SILENT_DIVISOR: usize = 8;
/// Silence, in half heartbeat intervals, after which a machine with replicas is terminated: three
/// and a half missed heartbeats.
const SILENT_HALF_INTERVALS: Ms = 7;
/// Heartbeat intervals after which a machine counts as silent when its zone is judged.
const SILENT_INTERVALS: Ms = 2;

/// Number of machines in a zone, and of the silent ones among them.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneSilence {
    machines: usize,
    silent: usize,
}

impl ZoneSilence {
    fn record(&mut self, is_silent: bool) {
        self.machines += 1;
        self.silent += is_silent as usize;
    }

    fn has_few_silent(&self) -> bool {
        self.silent * FEW_SILENT_DIVISOR <= self.machines
    }

    fn has_mostly_silent(&self) -> bool {
        self.machines >= MIN_MACHINES && self.silent * 2 > self.machines
    }
}

/// Counts the machines and the silent ones among them by zone.
fn silence_by_zone<'a>(
    machines: impl Iterator<Item = &'a Machine>,
    is_silent: impl Fn(&Machine) -> bool,
) -> BTreeMap<&'a str, ZoneSilence> {
    let mut zones: BTreeMap<&str, ZoneSilence> = BTreeMap::new();
    for machine in machines {
        zones.entry(&machine.zone).or_default().record(is_silent(machine));
    }
    zones
}

/// Zones behind a network partition, with the time until which each counts as partitioned.
#[derive(Default)]
pub(in crate::leader) struct ZonePartitions {
    until: BTreeMap<String, Ms>,
}

impl ZonePartitions {
    /// Returns whether the zone counts as partitioned.
    pub(in crate::leader) fn contains(&self, zone: &str) -> bool {
        self.until.contains_key(zone)
    }

    /// Adds zones in which most machines lost their lease, which suggests a partition rather than
    /// broken machines. A zone counts as partitioned for one more lease after that, since its
    /// machines come back one by one.
    pub(in crate::leader) fn update(&mut self, ctx: &Context, cluster: &Cluster) {
        let reporting = cluster.machines.values().filter(|m| m.last_heartbeat_at.is_some());
        for (zone, silence) in silence_by_zone(reporting, |machine| machine.lease_expired) {
            if silence.has_mostly_silent() {
                self.until.insert(zone.to_string(), ctx.now + ctx.cfg.worker_lease_ms);
            }
        }
        self.until.retain(|_, until| *until > ctx.now);
    }
}

/// Returns whether most machines of a zone that were in use under an earlier leader have sent no
/// heartbeat yet. That leader may have ended because of a network partition.
pub(in crate::leader) fn is_zone_unheard_since_failover(cluster: &Cluster, zone: &str) -> bool {
    let mut silence = ZoneSilence::default();
    for machine in cluster.machines.values().filter(|m| m.in_use_before_failover && m.zone == zone)
    {
        silence.record(machine.last_heartbeat_at.is_none());
    }
    silence.has_mostly_silent()
}

/// Returns the zones in which few machines are unheard since the failover.
///
/// Work of earlier leaders waits until these machines are heard. Once the others have been heard,
/// they are most likely dead, and the answer to their termination proves it sooner than the expiry
/// of their lease. If many machines of a zone are unheard, the zone is partitioned and they will
/// come back.
pub(in crate::leader) fn zones_with_few_unheard(cluster: &Cluster) -> BTreeSet<&str> {
    silence_by_zone(cluster.machines.values(), is_unheard)
        .into_iter()
        .filter(|(_, silence)| silence.has_few_silent())
        .map(|(zone, _)| zone)
        .collect()
}

/// Returns whether a machine of an earlier leader is unheard since the failover.
pub(in crate::leader) fn is_unheard(machine: &Machine) -> bool {
    !machine.reconciled && machine.answers_without_token == 0 && machine.last_heartbeat_at.is_none()
}

/// Returns the machines with replicas that have missed several heartbeats, in zones from which
/// nearly all other machines are heard.
///
/// If more machines are silent, either their zone or this controller is partitioned. The answer to
/// their termination proves that the machines are gone, long before their lease would expire.
/// `reachable_since` is when this process last became able to answer workers.
pub(in crate::leader) fn silent_machines_with_replicas(
    ctx: &Context,
    cluster: &Cluster,
    reachable_since: Ms,
) -> BTreeSet<MachineId> {
    if !any_service(cluster) {
        return BTreeSet::new();
    }
    let is_silent = |machine: &Machine, after: Ms| {
        machine.last_heartbeat_at.is_some_and(|at| ctx.now > at.max(reachable_since) + after)
    };
    let machines_up =
        cluster.machines.values().filter(|m| m.last_heartbeat_at.is_some() && !m.lease_expired);
    let silent_after = ctx.cfg.heartbeat_interval_ms * SILENT_INTERVALS;
    let zones = silence_by_zone(machines_up, |machine| is_silent(machine, silent_after));
    // In a zone of fewer than `FEW_SILENT_DIVISOR` machines, one machine may be silent if there are
    // others.
    let is_reachable = |zone: &str| {
        zones.get(zone).is_some_and(|zone| {
            let machines = zone.machines.max(FEW_SILENT_DIVISOR);
            zone.silent < zone.machines && ZoneSilence { machines, ..*zone }.has_few_silent()
        })
    };
    let lost_after = ctx.cfg.heartbeat_interval_ms * SILENT_HALF_INTERVALS / 2;
    let is_lost = |machine: &&Machine| {
        !machine.lease_expired
            && is_silent(machine, lost_after)
            && is_reachable(&machine.zone)
            && may_run_replicas(cluster, machine)
    };
    cluster.machines.values().filter(is_lost).map(|machine| machine.id.clone()).collect()
}

/// Returns whether this controller seems to be partitioned from the workers: more than two thirds
/// of those that reported to it are silent, and at least two thirds of those in its own zone, well
/// before their leases expire. `reachable_since` is when this process last became able to answer
/// workers.
pub(in crate::leader) fn workers_unreachable(
    ctx: &Context,
    cluster: &Cluster,
    reachable_since: Ms,
) -> bool {
    let silent_after = ctx.cfg.worker_lease_ms * 2 / 5;
    let (mut all, mut silent, mut in_zone, mut silent_in_zone) = (0, 0, 0, 0);
    for machine in cluster.machines.values().filter(|m| m.decommission == Decommission::No) {
        let Some(at) = machine.last_heartbeat_at else { continue };
        let is_silent = (ctx.now > at.max(reachable_since) + silent_after) as usize;
        all += 1;
        silent += is_silent;
        if machine.zone == ctx.cfg.zone {
            in_zone += 1;
            silent_in_zone += is_silent;
        }
    }
    all >= MIN_MACHINES && silent * 3 > all * 2 && silent_in_zone * 3 >= in_zone * 2
}

#[cfg(test)]
#[path = "partitions_tests.rs"]
mod tests;
