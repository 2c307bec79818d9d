//! Network partitions, as silence of many machines shows them.

use crate::leader::cluster::Cluster;
use crate::leader::scheduler::services::{any_service, has_replicas};
use crate::leader::Context;
use crate::machines::{Decommission, Machine};
use crate::model::{MachineId, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// Machines in a zone, or anywhere, below which their silence tells nothing of the network.
const MIN_MACHINES: usize = 3;
/// One in so many machines of a zone is few: that many may be silent in a zone that is reachable.
const FEW_OF_ZONE: usize = 8;
/// Half heartbeat intervals of silence after which a machine with replicas is terminated: three
/// missed heartbeats and a half.
const SILENT_HALF_INTERVALS: Ms = 7;
/// Heartbeat intervals after which a machine counts as silent when its zone is judged.
const SILENT_INTERVALS: Ms = 2;

/// The machines of a zone, and how many of them are silent.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneSilence {
    machines: usize,
    silent: usize,
}

impl ZoneSilence {
    fn count(&mut self, silent: bool) {
        self.machines += 1;
        self.silent += silent as usize;
    }

    fn few_silent(&self) -> bool {
        self.silent * FEW_OF_ZONE <= self.machines
    }

    fn most_silent(&self) -> bool {
        self.machines >= MIN_MACHINES && self.silent * 2 > self.machines
    }
}

/// Counts machines, and the silent ones among them, by zone.
fn silence_by_zone<'a>(
    machines: impl Iterator<Item = &'a Machine>,
    silent: impl Fn(&Machine) -> bool,
) -> BTreeMap<&'a str, ZoneSilence> {
    let mut zones: BTreeMap<&str, ZoneSilence> = BTreeMap::new();
    for machine in machines {
        zones.entry(&machine.zone).or_default().count(silent(machine));
    }
    zones
}

/// Zones beyond a network partition, and until when they count as such.
#[derive(Default)]
pub(in crate::leader) struct ZonePartitions {
    until: BTreeMap<String, Ms>,
}

impl ZonePartitions {
    /// Whether a zone counts as partitioned.
    pub(in crate::leader) fn contains(&self, zone: &str) -> bool {
        self.until.contains_key(zone)
    }

    /// Notes zones most of whose machines lost their lease: partitioned rather than broken. They
    /// count as such for a lease after, since their machines come back one by one.
    pub(in crate::leader) fn note(&mut self, ctx: &Context, cluster: &Cluster) {
        let heard = cluster.machines.values().filter(|m| m.last_heartbeat.is_some());
        for (zone, silence) in silence_by_zone(heard, |machine| machine.lease_expired) {
            if silence.most_silent() {
                self.until.insert(zone.to_string(), ctx.now + ctx.cfg.lease_ms);
            }
        }
        self.until.retain(|_, until| *until > ctx.now);
    }
}

/// Whether most machines of a zone that were in use under an earlier leader have sent no
/// heartbeat yet: that leader may have ended within a network partition.
pub(in crate::leader) fn unheard_since_failover(cluster: &Cluster, zone: &str) -> bool {
    let mut silence = ZoneSilence::default();
    for machine in cluster.machines.values().filter(|m| m.in_use_before_failover && m.zone == zone)
    {
        silence.count(machine.last_heartbeat.is_none());
    }
    silence.most_silent()
}

/// Zones in which few machines have not been heard since the failover. Until they are heard,
/// work of earlier leaders waits for them; when the others have been heard these are most likely
/// dead, and the answer to their termination proves it sooner than their lease does. Many of a
/// zone are partitioned, and come back.
pub(in crate::leader) fn zones_with_few_unheard(cluster: &Cluster) -> BTreeSet<&str> {
    silence_by_zone(cluster.machines.values(), is_unheard)
        .into_iter()
        .filter(|(_, silence)| silence.few_silent())
        .map(|(zone, _)| zone)
        .collect()
}

/// Whether a machine of an earlier leader has not been heard since the failover.
pub(in crate::leader) fn is_unheard(machine: &Machine) -> bool {
    !machine.reconciled && machine.answers_without_token == 0 && machine.last_heartbeat.is_none()
}

/// Machines with replicas that have missed some heartbeats, of zones where nearly all others are
/// heard: more is a network partition, of theirs or of ours. The answer to their termination
/// proves that they are gone, long before their lease would. `reachable_since` is when this
/// process was last able to answer workers again.
pub(in crate::leader) fn silent_machines_with_replicas(
    ctx: &Context,
    cluster: &Cluster,
    reachable_since: Ms,
) -> BTreeSet<MachineId> {
    if !any_service(cluster) {
        return BTreeSet::new();
    }
    let silent = |machine: &Machine, after: Ms| {
        machine.last_heartbeat.is_some_and(|at| ctx.now > at.max(reachable_since) + after)
    };
    let up = cluster.machines.values().filter(|m| m.last_heartbeat.is_some() && !m.lease_expired);
    let silent_after = ctx.cfg.heartbeat_interval_ms * SILENT_INTERVALS;
    let zones = silence_by_zone(up, |machine| silent(machine, silent_after));
    // In a zone of fewer than eight machines one of several may be silent.
    let reachable = |zone: &str| {
        zones.get(zone).is_some_and(|zone| {
            let machines = zone.machines.max(FEW_OF_ZONE);
            zone.silent < zone.machines && ZoneSilence { machines, ..*zone }.few_silent()
        })
    };
    let lost_after = ctx.cfg.heartbeat_interval_ms * SILENT_HALF_INTERVALS / 2;
    let lost = |machine: &&Machine| {
        !machine.lease_expired
            && silent(machine, lost_after)
            && reachable(&machine.zone)
            && has_replicas(cluster, machine)
    };
    cluster.machines.values().filter(lost).map(|machine| machine.id.clone()).collect()
}

/// Whether this controller seems to be partitioned from the workers: two thirds of those that
/// reported to it are silent, in its own zone too, well before their leases expire.
/// `reachable_since` is when it was last able to answer workers again.
pub(in crate::leader) fn workers_unreachable(
    ctx: &Context,
    cluster: &Cluster,
    reachable_since: Ms,
) -> bool {
    let silent_after = ctx.cfg.lease_ms * 2 / 5;
    let (mut all, mut silent, mut near, mut near_silent) = (0, 0, 0, 0);
    for machine in cluster.machines.values().filter(|m| m.decommission == Decommission::No) {
        let Some(at) = machine.last_heartbeat else { continue };
        let is_silent = (ctx.now > at.max(reachable_since) + silent_after) as usize;
        all += 1;
        silent += is_silent;
        if machine.zone == ctx.cfg.zone {
            near += 1;
            near_silent += is_silent;
        }
    }
    all >= MIN_MACHINES && silent * 3 > all * 2 && near_silent * 3 >= near * 2
}

#[cfg(test)]
#[path = "partitions_tests.rs"]
mod tests;
