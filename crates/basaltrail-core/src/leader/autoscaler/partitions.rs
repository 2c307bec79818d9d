//! Detection of network partitions from the silence of many machines.

use crate::leader::cluster::Cluster;
use crate::leader::scheduler::services::{any_service, may_run_replicas};
use crate::leader::Context;
use crate::machines::{Decommission, Machine};
use crate::model::{MachineId, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of machines, in one zone or in total, from which a network partition is inferred.
const MIN_MACHINES_FOR_PARTITION: usize = 3;
/// A zone has few silent machines if at most one in this many is silent.
const FEW_SILENT_DIVISOR: usize = 8;
/// Time since the last heartbeat after which a machine with replicas is terminated, in half
/// heartbeat intervals: three and a half intervals.
const REPLICA_LOSS_HALF_INTERVALS: Ms = 7;
/// Time since the last heartbeat after which a machine counts as silent in the check of its zone,
/// in heartbeat intervals.
const ZONE_CHECK_INTERVALS: Ms = 2;

/// Numbers of machines and of silent machines in a zone. The caller defines which ones are silent.
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

    fn has_few_silent_machines(&self) -> bool {
        self.silent * FEW_SILENT_DIVISOR <= self.machines
    }

    fn is_mostly_silent(&self) -> bool {
        self.machines >= MIN_MACHINES_FOR_PARTITION && self.silent * 2 > self.machines
    }
}

/// Counts the machines, and the silent ones among them, by zone.
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

/// Zones that are considered partitioned.
#[derive(Default)]
pub(in crate::leader) struct ZonePartitions {
    /// Time until which each zone counts as partitioned.
    partitioned_until: BTreeMap<String, Ms>,
}

impl ZonePartitions {
    /// Returns whether the zone counts as partitioned.
    pub(in crate::leader) fn contains(&self, zone: &str) -> bool {
        self.partitioned_until.contains_key(zone)
    }

    /// Adds the zones in which the worker leases of most machines have expired, which indicates a
    /// network partition rather than failed machines. A zone is removed one worker lease after this
    /// was last the case, since its machines do not reconnect all at once.
    pub(in crate::leader) fn update(&mut self, ctx: &Context, cluster: &Cluster) {
        let machines_with_heartbeat =
            cluster.machines.values().filter(|m| m.last_heartbeat_at.is_some());
        for (zone, silence) in
            silence_by_zone(machines_with_heartbeat, |machine| machine.lease_expired)
        {
            if silence.is_mostly_silent() {
                self.partitioned_until.insert(zone.to_string(), ctx.now + ctx.cfg.worker_lease_ms);
            }
        }
        self.partitioned_until.retain(|_, until| *until > ctx.now);
    }
}

/// Returns whether most of the machines in a zone that were in use before the failover have sent no
/// heartbeat with the fencing token of this leader yet. A network partition of the zone may have
/// caused the failover.
pub(in crate::leader) fn is_zone_silent_since_failover(cluster: &Cluster, zone: &str) -> bool {
    let mut silence = ZoneSilence::default();
    for machine in cluster.machines.values().filter(|m| m.in_use_before_failover && m.zone == zone)
    {
        silence.record(machine.last_heartbeat_at.is_none());
    }
    silence.is_mostly_silent()
}

/// Returns the zones in which few machines are silent since the failover.
///
/// A task that an earlier leader started on a silent machine is not started again until it has
/// certainly ended. If nearly all other machines of the zone are in contact, the silent ones have
/// probably failed, and the cloud's reply to their termination proves that their tasks have ended
/// before their worker leases expire. If many machines are silent, the zone is probably partitioned
/// and they may reconnect.
pub(in crate::leader) fn zones_with_few_silent_since_failover(cluster: &Cluster) -> BTreeSet<&str> {
    silence_by_zone(cluster.machines.values(), is_silent_since_failover)
        .into_iter()
        .filter(|(_, silence)| silence.has_few_silent_machines())
        .map(|(zone, _)| zone)
        .collect()
}

/// Returns whether a machine that may run tasks of an earlier leader is silent since the failover:
/// this leader has neither applied nor answered a heartbeat of it.
pub(in crate::leader) fn is_silent_since_failover(machine: &Machine) -> bool {
    !machine.reconciled && machine.answers_without_token == 0 && machine.last_heartbeat_at.is_none()
}

/// Returns the machines with replicas that have been silent for three and a half heartbeat
/// intervals, in zones in which nearly all other machines send heartbeats.
///
/// The cloud's reply to the termination of such a machine proves that its replicas have ended, long
/// before its worker lease would expire. If more machines are silent, their zone or this controller
/// is probably partitioned. `reachable_since` is the time since which this process has been able to
/// answer workers; silence counts from then at the earliest.
pub(in crate::leader) fn silent_machines_with_replicas(
    ctx: &Context,
    cluster: &Cluster,
    reachable_since: Ms,
) -> BTreeSet<MachineId> {
    if !any_service(cluster) {
        return BTreeSet::new();
    }
    let is_silent = |machine: &Machine, silence_ms: Ms| {
        machine.last_heartbeat_at.is_some_and(|at| ctx.now > at.max(reachable_since) + silence_ms)
    };
    let machines_up =
        cluster.machines.values().filter(|m| m.last_heartbeat_at.is_some() && !m.lease_expired);
    let zone_check_ms = ctx.cfg.heartbeat_interval_ms * ZONE_CHECK_INTERVALS;
    let zones = silence_by_zone(machines_up, |machine| is_silent(machine, zone_check_ms));
    // In a zone of fewer than `FEW_SILENT_DIVISOR` machines, one machine may be silent if another
    // one is not.
    let is_reachable = |zone: &str| {
        zones.get(zone).is_some_and(|zone| {
            let machines = zone.machines.max(FEW_SILENT_DIVISOR);
            zone.silent < zone.machines
                && ZoneSilence { machines, ..*zone }.has_few_silent_machines()
        })
    };
    let replica_loss_ms = ctx.cfg.heartbeat_interval_ms * REPLICA_LOSS_HALF_INTERVALS / 2;
    let is_lost = |machine: &&Machine| {
        !machine.lease_expired
            && is_silent(machine, replica_loss_ms)
            && is_reachable(&machine.zone)
            && may_run_replicas(cluster, machine)
    };
    cluster.machines.values().filter(is_lost).map(|machine| machine.id.clone()).collect()
}

/// Returns whether this controller is probably partitioned from the workers: more than two thirds
/// of the machines that have sent it heartbeats are silent, and at least two thirds of those in its
/// own zone. Machines that are draining or terminating are ignored.
///
/// A machine is silent after two fifths of a worker lease, so that the partition is detected well
/// before the leases expire. `reachable_since` is the time since which this process has been able
/// to answer workers; silence counts from then at the earliest.
pub(in crate::leader) fn workers_unreachable(
    ctx: &Context,
    cluster: &Cluster,
    reachable_since: Ms,
) -> bool {
    let silence_ms = ctx.cfg.worker_lease_ms * 2 / 5;
    let (mut all, mut silent, mut in_zone, mut silent_in_zone) = (0, 0, 0, 0);
    for machine in cluster.machines.values().filter(|m| m.decommission == Decommission::None) {
        let Some(at) = machine.last_heartbeat_at else { continue };
        let is_silent = (ctx.now > at.max(reachable_since) + silence_ms) as usize;
        all += 1;
        silent += is_silent;
        if machine.zone == ctx.cfg.zone {
            in_zone += 1;
            silent_in_zone += is_silent;
        }
    }
    all >= MIN_MACHINES_FOR_PARTITION && silent * 3 > all * 2 && silent_in_zone * 3 >= in_zone * 2
}

#[cfg(test)]
#[path = "partitions_tests.rs"]
mod tests;
