//! Free capacity of machines, and resource usage of teams.

use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::machines::{Decommission, Machine, MachineKind};
use crate::model::{JobSpec, MachineId, MachineType};
use crate::resources::{Resources, MAX_TASKS_PER_MACHINE};
use std::collections::BTreeSet;

/// CPUs up to which an amount counts as zero, since sums of floating-point numbers leave small
/// remainders.
pub(in crate::leader) const CPU_TOLERANCE: f64 = 1e-9;

/// Maximum age of the last heartbeat of a machine that gets new tasks, in heartbeat intervals.
const MAX_HEARTBEAT_AGE_INTERVALS: u64 = 2;

/// The free capacity of a machine.
#[derive(Clone, Debug)]
pub struct FreeCapacity {
    /// The machine.
    pub machine: MachineId,
    /// Index of its type among the known machine types.
    pub type_index: usize,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Resources that no task takes.
    pub free: Resources,
    /// Number of further tasks that its heartbeats can list.
    pub task_slots: u32,
}

impl FreeCapacity {
    /// Returns the free capacity of a machine, or `None` if it accepts no tasks or is full.
    pub(in crate::leader) fn of_machine(ctx: &Context, machine: &Machine) -> Option<Self> {
        let type_index = type_index(ctx.machine_types, &machine.machine_type)
            .filter(|_| accepts_tasks(ctx, machine))?;
        let free = Resources::of_machine_type(&ctx.machine_types[type_index]) - machine.used();
        let capacity = FreeCapacity {
            machine: machine.id.clone(),
            type_index,
            zone: machine.zone.clone(),
            spot: machine.spot,
            free,
            task_slots: MAX_TASKS_PER_MACHINE.saturating_sub(machine.slots.len() as u32),
        };
        capacity.has_room().then_some(capacity)
    }

    /// Returns whether any task may fit.
    pub(in crate::leader) fn has_room(&self) -> bool {
        self.free.cpus > CPU_TOLERANCE && self.task_slots > 0
    }

    /// Returns how many tasks of a job fit.
    pub fn fitting_tasks(&self, job: &JobSpec) -> u32 {
        self.free.fitting_tasks(&Resources::of_task(job)).min(self.task_slots)
    }

    /// Deducts `tasks` tasks of a job.
    pub fn deduct_tasks(&mut self, job: &JobSpec, tasks: u32) {
        self.free -= Resources::of_task(job) * tasks as f64;
        self.task_slots = self.task_slots.saturating_sub(tasks);
    }

    /// Returns whether the job's own constraints permit its tasks on this machine (PROTOCOL,
    /// `POST /api/jobs`).
    pub(in crate::leader) fn permitted_by(&self, job: &JobSpec, types: &[MachineType]) -> bool {
        (job.spot || !self.spot)
            && job.zone.as_deref().is_none_or(|zone| zone == self.zone)
            && types[self.type_index].is_allowed_by(job)
    }
}

/// Returns the index of a machine type among the known ones.
pub(in crate::leader) fn type_index(types: &[MachineType], name: &str) -> Option<usize> {
    types.iter().position(|machine_type| machine_type.name == name)
}

/// Returns the machine type of this name, if it is known.
pub(in crate::leader) fn machine_type<'a>(
    types: &'a [MachineType],
    name: &str,
) -> Option<&'a MachineType> {
    types.iter().find(|machine_type| machine_type.name == name)
}

/// Returns whether new tasks may be assigned to a machine now.
pub(in crate::leader) fn accepts_tasks(ctx: &Context, machine: &Machine) -> bool {
    machine.reconciled
        && machine.receives_answers
        && ctx.now >= machine.one_way_partition_until
        && machine.registered_in_use
        && !machine.lease_expired
        && machine.decommission == Decommission::None
        && !machine.has_reclaim_notice(ctx.now)
        && !machine.is_quarantined(ctx.now, ctx.cfg.worker_lease_ms)
        && ctx.now >= machine.no_room_until
        && machine.last_heartbeat_at.is_some_and(|at| {
            ctx.now <= at + ctx.cfg.heartbeat_interval_ms * MAX_HEARTBEAT_AGE_INTERVALS
        })
}

/// Returns an upper bound of the resources that each team uses, by team index. With an upper bound,
/// team limits hold whatever tasks unreconciled machines run.
pub(in crate::leader) fn team_usage(ctx: &Context, cluster: &Cluster) -> Vec<Resources> {
    let mut used = vec![Resources::default(); ctx.cfg.teams.len()];
    for machine in cluster.machines.values() {
        let has_unknown_demand = |machine: &Machine| {
            machine.slots.values().any(|slot| slot.holds_resources() && slot.demand.is_none())
        };
        if !machine.reconciled || has_unknown_demand(machine) {
            // An earlier leader's tasks of any team may fill the machine.
            let whole = machine_resources(ctx.machine_types, &machine.machine_type);
            used.iter_mut().for_each(|used| *used += whole);
            continue;
        }
        for demand in
            machine.slots.values().filter(|slot| slot.holds_resources()).filter_map(|s| s.demand)
        {
            used[demand.team] += demand.resources;
        }
    }
    used
}

/// Returns the resources of an empty machine of this type; infinite if the type is not known.
fn machine_resources(types: &[MachineType], name: &str) -> Resources {
    type_index(types, name).map_or(
        Resources { cpus: f64::INFINITY, gpus: f64::INFINITY, memory_gb: f64::INFINITY },
        |index| Resources::of_machine_type(&types[index]),
    )
}

/// Returns the kinds of the unreconciled machines, on which tasks of earlier leaders may run that
/// no heartbeat has reported to this leader yet.
pub(in crate::leader) fn unreconciled_kinds(cluster: &Cluster) -> BTreeSet<MachineKind> {
    cluster.machines.values().filter(|machine| !machine.reconciled).map(Machine::kind).collect()
}

#[cfg(test)]
#[path = "capacity_tests.rs"]
mod tests;
