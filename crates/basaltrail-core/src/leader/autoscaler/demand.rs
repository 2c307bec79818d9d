//! What the work at hand asks of the fleet.

use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::scheduler::capacity::machine_type;
use crate::leader::Context;
use crate::machines::{Machine, MachineKind};
use crate::model::{fits, JobSpec, MachineType};
use crate::resources::Resources;

/// What the work at hand asks of one machine type. Services are counted apart, see
/// `machines_for_services`.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::leader) struct TypeDemand {
    /// Machines that it could use now.
    pub(in crate::leader) machines: f64,
    /// CPU-seconds left, by the estimates of jobs.
    pub(in crate::leader) cpu_s: f64,
}

/// The demand for each type. A job counts for the type that runs its tasks at the lowest price.
pub(in crate::leader) fn demand_by_type(ctx: &Context, cluster: &Cluster) -> Vec<TypeDemand> {
    let mut demand = vec![TypeDemand::default(); ctx.types.len()];
    let mut limit_left: Vec<f64> = ctx.cfg.teams.iter().map(|team| team.cpus_max).collect();
    let ends = |job: &&JobState| job.ended.is_none() && !job.spec.is_service();
    for job in cluster.jobs.values().filter(ends) {
        let Some((index, machine_type)) = cheapest_type(ctx.types, &job.spec) else { continue };
        let cpus = job.spec.cpus;
        let tasks = job.desired_placements().min(fits(limit_left[job.team], cpus));
        limit_left[job.team] -= tasks as f64 * cpus;
        demand[index].machines += tasks as f64 / machine_type.holds(&job.spec) as f64;
        // Running tasks are half done on the average.
        let unfinished = job.desired_placements() as f64 - job.placed.len() as f64 / 2.0;
        let work_cpus = (unfinished * cpus).min(ctx.cfg.teams[job.team].cpus_max);
        demand[index].cpu_s += work_cpus * job.spec.estimate_s.max(1.0);
    }
    demand
}

/// The type that runs tasks of a job at the lowest price, with its index.
fn cheapest_type<'a>(types: &'a [MachineType], spec: &JobSpec) -> Option<(usize, &'a MachineType)> {
    let price_per_task = |t: &MachineType| t.price / t.holds(spec) as f64;
    types
        .iter()
        .enumerate()
        .filter(|(_, t)| t.allowed(spec) && t.holds(spec) > 0)
        .min_by(|a, b| price_per_task(a.1).total_cmp(&price_per_task(b.1)))
}

/// Machines of a kind that constrained jobs still lack: few of the live machines may be of a
/// type, zone and kind that such a job allows.
pub(in crate::leader) fn missing_for_constrained_jobs(
    ctx: &Context,
    cluster: &Cluster,
    live: &[&Machine],
    kind: &MachineKind,
) -> usize {
    let Some(wanted_type) = machine_type(ctx.types, &kind.machine_type) else { return 0 };
    let constrained = |spec: &JobSpec| !spec.spot || spec.zone.is_some() || spec.types.is_some();
    let waits = |job: &&JobState| job.pending() > 0 && !job.spec.is_service();
    let mut most = 0;
    for job in cluster.jobs.values().filter(waits).filter(|job| constrained(&job.spec)) {
        if !may_run_on(&job.spec, wanted_type, &kind.zone, kind.spot) {
            continue;
        }
        // A job in a crash loop needs a machine for its next attempt all the same: it may have
        // met faulty ones, and no other job would ask for its kind. More than its team's limit
        // allows would become idle, be terminated and provisioned anew.
        let limit = ctx.cfg.teams[job.team].tasks_within_limit(Resources::default(), &job.spec);
        let tasks = job.desired_placements().min(limit);
        let needed = tasks.div_ceil(wanted_type.holds(&job.spec)) as usize;
        let suitable = |machine: &&&Machine| {
            machine_type(ctx.types, &machine.machine_type)
                .is_some_and(|t| may_run_on(&job.spec, t, &machine.zone, machine.spot))
        };
        most = most.max(needed.saturating_sub(live.iter().filter(suitable).count()));
    }
    most
}

/// Whether an empty machine may run a task of the job.
fn may_run_on(spec: &JobSpec, machine_type: &MachineType, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.zone.as_deref().is_none_or(|allowed| allowed == zone)
        && machine_type.allowed(spec)
        && machine_type.holds(spec) > 0
}

#[cfg(test)]
#[path = "demand_tests.rs"]
mod tests;
