//! Network partitions, as silence of many machines shows them.

use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::machines::Decommission;
use crate::model::Ms;
use std::collections::BTreeMap;

/// Machines in a zone, or anywhere, below which their silence tells nothing of the network.
const MIN_MACHINES: usize = 3;

/// Zones that were cut off of late, and until when they count as such.
#[derive(Default)]
pub(in crate::leader) struct ZonePartitions {
    until: BTreeMap<String, Ms>,
}

impl ZonePartitions {
    /// Whether a zone counts as cut off.
    pub(in crate::leader) fn contains(&self, zone: &str) -> bool {
        self.until.contains_key(zone)
    }

    /// Notes zones most of whose machines lost their lease: cut off rather than broken. They
    /// count as such for a lease after, since their machines come back one by one.
    pub(in crate::leader) fn note(&mut self, ctx: &Context, cluster: &Cluster) {
        // Machines that were heard, and those of them whose lease expired, by zone.
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for machine in cluster.machines.values().filter(|m| m.last_heartbeat.is_some()) {
            let zone = zones.entry(&machine.zone).or_default();
            zone.0 += 1;
            zone.1 += machine.lease_expired as usize;
        }
        for (zone, (all, expired)) in zones {
            if all >= MIN_MACHINES && expired * 2 > all {
                self.until.insert(zone.to_string(), ctx.now + ctx.cfg.lease_ms);
            }
        }
        self.until.retain(|_, until| *until > ctx.now);
    }
}

/// Whether most machines of a zone that were in use under an earlier leader have sent no
/// heartbeat yet: that leader may have ended within a network partition.
pub(in crate::leader) fn unheard_since_failover(cluster: &Cluster, zone: &str) -> bool {
    let (mut all, mut unheard) = (0, 0);
    for machine in cluster.machines.values().filter(|m| m.expected && m.zone == zone) {
        all += 1;
        unheard += machine.last_heartbeat.is_none() as usize;
    }
    all >= MIN_MACHINES && unheard * 2 > all
}

/// Whether this controller seems to be cut off from the workers: two thirds of those that
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
