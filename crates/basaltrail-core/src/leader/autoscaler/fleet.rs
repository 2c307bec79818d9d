//! The machines that count as capacity in a plan, and the number that each kind needs.

use super::demand::missing_for_constrained_jobs;
use super::provisioning::kinds_by_price;
use crate::leader::cluster::Cluster;
use crate::leader::scheduler::reserved_capacity::{machines_for_services, RecentServices};
use crate::leader::Context;
use crate::machines::{Decommission, Machine, MachineKind};
use std::collections::BTreeMap;

/// Numbers of machines that count as capacity, including those that have not come up yet.
pub(in crate::leader) struct Fleet {
    by_type: BTreeMap<String, usize>,
    by_kind: BTreeMap<MachineKind, usize>,
}

impl Fleet {
    /// Counts the machines by type and by kind.
    pub(in crate::leader) fn count(live: &[&Machine]) -> Self {
        let mut fleet = Fleet { by_type: BTreeMap::new(), by_kind: BTreeMap::new() };
        for machine in live {
            *fleet.by_type.entry(machine.machine_type.clone()).or_default() += 1;
            *fleet.by_kind.entry(machine.kind()).or_default() += 1;
        }
        fleet
    }

    /// Returns the number of machines of a type.
    pub(in crate::leader) fn of_type(&self, name: &str) -> usize {
        self.by_type.get(name).copied().unwrap_or(0)
    }

    /// Returns the number of machines of a kind.
    pub(in crate::leader) fn of_kind(&self, kind: &MachineKind) -> usize {
        self.by_kind.get(kind).copied().unwrap_or(0)
    }

    /// Returns a mutable reference to the number of machines of a kind.
    pub(in crate::leader) fn of_kind_mut(&mut self, kind: MachineKind) -> &mut usize {
        self.by_kind.entry(kind).or_default()
    }
}

/// Returns the machines that count as capacity: neither draining, terminating, overdue, quarantined
/// nor under a reclaim notice.
pub(in crate::leader) fn live_machines<'a>(
    ctx: &Context,
    cluster: &'a Cluster,
) -> Vec<&'a Machine> {
    cluster
        .machines
        .values()
        .filter(|m| {
            m.decommission == Decommission::None && !m.overdue && !m.has_reclaim_notice(ctx.now)
        })
        .filter(|m| !m.is_quarantined(ctx.now, ctx.cfg.worker_lease_ms))
        .collect()
}

/// Numbers of machines that each kind needs regardless of price.
pub(in crate::leader) struct KindNeeds {
    for_services: BTreeMap<MachineKind, usize>,
    missing: BTreeMap<MachineKind, usize>,
}

impl KindNeeds {
    /// Determines the machines that services need, and those that services and constrained jobs
    /// lack given the live ones.
    pub(in crate::leader) fn determine(
        ctx: &Context,
        cluster: &Cluster,
        services: &RecentServices,
        live: &[&Machine],
        fleet: &Fleet,
    ) -> Self {
        let mut needs = KindNeeds { for_services: BTreeMap::new(), missing: BTreeMap::new() };
        for kind in kinds_by_price(ctx.machine_types, |_| 0) {
            let for_services = machines_for_services(ctx, cluster, services, &kind);
            let missing = missing_for_constrained_jobs(ctx, cluster, live, &kind)
                .max(for_services.saturating_sub(fleet.of_kind(&kind)));
            needs.for_services.insert(kind.clone(), for_services);
            needs.missing.insert(kind, missing);
        }
        needs
    }

    /// Returns the total number of machines of a kind that services need.
    pub(in crate::leader) fn for_services(&self, kind: &MachineKind) -> usize {
        self.for_services.get(kind).copied().unwrap_or(0)
    }

    /// Returns the number of machines of a kind that services or constrained jobs lack.
    pub(in crate::leader) fn missing(&self, kind: &MachineKind) -> usize {
        self.missing.get(kind).copied().unwrap_or(0)
    }
}
