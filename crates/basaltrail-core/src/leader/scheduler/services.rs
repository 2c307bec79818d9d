//! Queries about services, the jobs whose replicas run until the job is cancelled.

use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::machines::Machine;
use crate::model::{JobSpec, MachineId, Priority, TaskId};
use crate::resources::Resources;
use std::collections::BTreeSet;

/// Maximum number of other replicas that are examined to find a running one.
const MAX_REPLICAS_EXAMINED: usize = 16;

/// Returns whether a job is a service that gets capacity ahead of the fair-share order.
pub(in crate::leader) fn is_high_priority_service(spec: &JobSpec) -> bool {
    spec.is_service() && spec.priority >= Priority::High
}

/// Returns whether another replica of the task's service has run for at least half a worker lease,
/// so that a failure of this replica is not evidence against the service.
pub(in crate::leader) fn another_replica_runs(
    ctx: &Context,
    cluster: &Cluster,
    task: TaskId,
) -> bool {
    let Some(job) = cluster.jobs.get(&task.job).filter(|job| job.spec.is_service()) else {
        return false;
    };
    let others = job.placed.iter().filter(|(index, _)| **index != task.index);
    others.take(MAX_REPLICAS_EXAMINED).any(|(index, placement)| {
        let key = (TaskId { job: task.job, index: *index }, placement.attempt);
        let slot =
            cluster.machines.get(&placement.machine).and_then(|machine| machine.slots.get(&key));
        slot.and_then(|slot| slot.running_since)
            .is_some_and(|since| ctx.now >= since + ctx.cfg.worker_lease_ms / 2)
    })
}

/// Returns the machines that may run a replica.
pub(in crate::leader) fn machines_with_replicas(cluster: &Cluster) -> BTreeSet<MachineId> {
    if !any_service(cluster) {
        return BTreeSet::new();
    }
    let with_replicas =
        cluster.machines.values().filter(|machine| may_run_replicas(cluster, machine));
    with_replicas.map(|machine| machine.id.clone()).collect()
}

/// Returns the resources that the services of each team hold, by team index.
pub(in crate::leader) fn service_usage(ctx: &Context, cluster: &Cluster) -> Vec<Resources> {
    let mut used = vec![Resources::default(); ctx.cfg.teams.len()];
    for job in cluster.jobs.values().filter(|job| job.spec.is_service()) {
        used[job.team] += Resources::of_task(&job.spec) * job.placed.len() as f64;
    }
    used
}

/// Returns whether there is any service.
pub(in crate::leader) fn any_service(cluster: &Cluster) -> bool {
    cluster.jobs.values().any(|job| job.spec.is_service())
}

/// Returns whether a machine may run a replica.
pub(in crate::leader) fn may_run_replicas(cluster: &Cluster, machine: &Machine) -> bool {
    let is_of_service =
        |task: &TaskId| cluster.jobs.get(&task.job).is_some_and(|job| job.spec.is_service());
    machine.slots.iter().any(|((task, _), slot)| slot.holds_resources() && is_of_service(task))
}

#[cfg(test)]
#[path = "services_tests.rs"]
mod tests;
