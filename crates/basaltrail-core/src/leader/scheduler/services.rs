//! Services: jobs whose replicas run until the job is cancelled.

use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::machines::Machine;
use crate::model::{JobSpec, MachineId, Ms, Priority, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Half heartbeat intervals after which a silent machine with replicas is given up.
const SILENT_HALF_INTERVALS: Ms = 7;
/// Heartbeat intervals after which a machine counts as silent when its zone is judged.
const SILENT_INTERVALS: Ms = 2;
/// One in so many machines of a zone is few: that many may be silent while the zone counts as
/// reachable.
pub(in crate::leader) const FEW_OF_ZONE: usize = 8;
/// Other replicas that are looked at to tell whether a service runs.
const REPLICAS_LOOKED_AT: usize = 16;

/// Whether the replicas of this job go before the order of jobs.
pub(in crate::leader) fn is_high_priority_service(spec: &JobSpec) -> bool {
    spec.is_service() && spec.priority >= Priority::High
}

/// Whether another replica of this service has run for a while: a failure of this one is then
/// not the service's.
pub(in crate::leader) fn another_replica_runs(
    ctx: &Context,
    cluster: &Cluster,
    task: TaskId,
) -> bool {
    let Some(job) = cluster.jobs.get(&task.job).filter(|job| job.spec.is_service()) else {
        return false;
    };
    let others = job.placed.iter().filter(|(index, _)| **index != task.index);
    others.take(REPLICAS_LOOKED_AT).any(|(index, (machine, attempt))| {
        let key = (TaskId { job: task.job, index: *index }, *attempt);
        let slot = cluster.machines.get(machine).and_then(|machine| machine.entries.get(&key));
        slot.and_then(|slot| slot.running_since)
            .is_some_and(|since| ctx.now >= since + ctx.cfg.lease_ms / 2)
    })
}

/// Machines that may run a replica.
pub(in crate::leader) fn machines_with_replicas(cluster: &Cluster) -> BTreeSet<MachineId> {
    if !any_service(cluster) {
        return BTreeSet::new();
    }
    let with_replicas = cluster.machines.values().filter(|machine| has_replicas(cluster, machine));
    with_replicas.map(|machine| machine.id.clone()).collect()
}

/// Machines with replicas that have missed some heartbeats, of zones where nearly all others are
/// heard: more is a network partition, of theirs or of ours. The answer to their release proves
/// that they are gone, long before their lease would. `reachable_since` is when this process was
/// last able to answer workers again.
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
    // Machines and silent ones among them, by zone.
    let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
    let up = cluster.machines.values().filter(|m| m.last_heartbeat.is_some() && !m.lease_expired);
    for machine in up {
        let zone = zones.entry(&machine.zone).or_default();
        zone.0 += 1;
        zone.1 += silent(machine, ctx.cfg.heartbeat_interval_ms * SILENT_INTERVALS) as usize;
    }
    let few_silent = |zone: &str| {
        zones.get(zone).is_some_and(|(all, silent)| {
            silent < all && silent * FEW_OF_ZONE <= *all.max(&FEW_OF_ZONE)
        })
    };
    let given_up_after = ctx.cfg.heartbeat_interval_ms * SILENT_HALF_INTERVALS / 2;
    let given_up = |machine: &&Machine| {
        !machine.lease_expired
            && silent(machine, given_up_after)
            && few_silent(&machine.zone)
            && has_replicas(cluster, machine)
    };
    cluster.machines.values().filter(given_up).map(|machine| machine.id.clone()).collect()
}

fn any_service(cluster: &Cluster) -> bool {
    cluster.jobs.values().any(|job| job.spec.is_service())
}

fn has_replicas(cluster: &Cluster, machine: &Machine) -> bool {
    let of_service =
        |task: &TaskId| cluster.jobs.get(&task.job).is_some_and(|job| job.spec.is_service());
    machine.entries.iter().any(|((task, _), slot)| slot.holds() && of_service(task))
}

#[cfg(test)]
#[path = "services_tests.rs"]
mod tests;
