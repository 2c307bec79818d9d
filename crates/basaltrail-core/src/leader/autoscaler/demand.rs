//! Demand of the unfinished jobs for machines.

use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::scheduler::capacity::machine_type;
use crate::leader::Context;
use crate::machines::{Machine, MachineKind};
use crate::model::{fitting_tasks, JobSpec, MachineType};
use crate::resources::Resources;

/// Demand of the unfinished arrays for one machine type. Services are counted separately, see
/// `machines_for_services`.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::leader) struct TypeDemand {
    /// Machines that the jobs could use now.
    pub(in crate::leader) machines: f64,
    /// CPU-seconds of remaining work, according to the estimates of the jobs.
    pub(in crate::leader) cpu_s: f64,
}

/// Returns the demand for each type. A job counts towards the type that runs its tasks at the
/// lowest price.
pub(in crate::leader) fn demand_by_type(ctx: &Context, cluster: &Cluster) -> Vec<TypeDemand> {
    let mut demand = vec![TypeDemand::default(); ctx.machine_types.len()];
    let mut remaining_limit_cpus: Vec<f64> =
        ctx.cfg.teams.iter().map(|team| team.max_cpus).collect();
    let is_unfinished_array = |job: &&JobState| job.outcome.is_none() && !job.spec.is_service();
    for job in cluster.jobs.values().filter(is_unfinished_array) {
        let Some((index, machine_type)) = cheapest_type(ctx.machine_types, &job.spec) else {
            continue;
        };
        let cpus = job.spec.cpus;
        let tasks =
            job.desired_placements().min(fitting_tasks(remaining_limit_cpus[job.team], cpus));
        remaining_limit_cpus[job.team] -= tasks as f64 * cpus;
        demand[index].machines += tasks as f64 / machine_type.task_capacity(&job.spec) as f64;
        // A running task is half done on average.
        let unfinished = job.desired_placements() as f64 - job.placed.len() as f64 / 2.0;
        let work_cpus = (unfinished * cpus).min(ctx.cfg.teams[job.team].max_cpus);
        demand[index].cpu_s += work_cpus * job.spec.estimate_s.max(1.0);
    }
    demand
}

/// Returns the type that runs tasks of a job at the lowest price, with its index.
fn cheapest_type<'a>(types: &'a [MachineType], spec: &JobSpec) -> Option<(usize, &'a MachineType)> {
    let price_per_task = |t: &MachineType| t.price / t.task_capacity(spec) as f64;
    types
        .iter()
        .enumerate()
        .filter(|(_, t)| t.is_allowed_by(spec) && t.task_capacity(spec) > 0)
        .min_by(|a, b| price_per_task(a.1).total_cmp(&price_per_task(b.1)))
}

/// Returns the number of machines of a kind that constrained jobs still lack: those whose permitted
/// types, zone or purchase option may exclude most of the live machines.
pub(in crate::leader) fn missing_for_constrained_jobs(
    ctx: &Context,
    cluster: &Cluster,
    live: &[&Machine],
    kind: &MachineKind,
) -> usize {
    let Some(wanted_type) = machine_type(ctx.machine_types, &kind.machine_type) else { return 0 };
    let is_constrained = |spec: &JobSpec| !spec.spot || spec.zone.is_some() || spec.types.is_some();
    let is_pending_array = |job: &&JobState| job.pending_tasks() > 0 && !job.spec.is_service();
    let mut max_missing = 0;
    for job in
        cluster.jobs.values().filter(is_pending_array).filter(|job| is_constrained(&job.spec))
    {
        if !can_run_on(&job.spec, wanted_type, &kind.zone, kind.spot) {
            continue;
        }
        // A crash-looping job still needs a machine for its next attempt: the machines it failed on
        // may have been faulty, and no other job would request its kind. Machines beyond the limit
        // of its team would stay idle, be terminated and be provisioned again.
        let limit = ctx.cfg.teams[job.team].tasks_within_limit(Resources::default(), &job.spec);
        let tasks = job.desired_placements().min(limit);
        let needed = tasks.div_ceil(wanted_type.task_capacity(&job.spec)) as usize;
        let is_suitable = |machine: &&&Machine| {
            machine_type(ctx.machine_types, &machine.machine_type)
                .is_some_and(|t| can_run_on(&job.spec, t, &machine.zone, machine.spot))
        };
        max_missing =
            max_missing.max(needed.saturating_sub(live.iter().filter(is_suitable).count()));
    }
    max_missing
}

/// Returns whether an empty machine may run a task of the job.
fn can_run_on(spec: &JobSpec, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_deref().is_none_or(|allowed| allowed == zone)
        && machine_type.is_allowed_by(spec)
        && machine_type.task_capacity(spec) > 0
}

#[cfg(test)]
#[path = "demand_tests.rs"]
mod tests;
