//! Accrual of received and fair CPU time for teams and jobs.

use super::capacity::type_index;
use crate::fairness::Ledger;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::model::JobId;
use std::collections::HashMap;

/// CPUs of running tasks, by team index and by job.
struct RunningCpus {
    by_team: Vec<f64>,
    by_job: HashMap<JobId, f64>,
}

/// Accrues the received and fair time of all teams and jobs since the last call (ASTRAEA,
/// equations 2, 11, 13 and 14). Returns the CPUs of all machines with a valid worker lease.
pub(in crate::leader) fn accrue_shares(
    ctx: &Context,
    cluster: &mut Cluster,
    ledger: &mut Ledger,
) -> f64 {
    let (fleet_cpus, running) = count_cpus(ctx, cluster);
    let elapsed_s = ledger.accrue(ctx.cfg, ctx.now, fleet_cpus, &running.by_team);
    let mut active_jobs = vec![0u32; ctx.cfg.teams.len()];
    for job in
        cluster.jobs.values().filter(|job| job.outcome.is_none() && !job.health.is_crash_looping())
    {
        active_jobs[job.team] += 1;
    }
    for job in cluster.jobs.values_mut().filter(|job| job.outcome.is_none()) {
        let unfinished = job.spec.tasks - job.done.len().min(job.spec.tasks);
        let demand_cpus = unfinished as f64 * job.spec.cpus;
        let team_share_cpus = Ledger::fair_share_cpus(ctx.cfg, job.team, fleet_cpus);
        let job_share_cpus = team_share_cpus / active_jobs[job.team].max(1) as f64;
        job.account.fair += job_share_cpus.min(demand_cpus) * elapsed_s;
        job.account.received += running.by_job.get(&job.id).copied().unwrap_or(0.0) * elapsed_s;
    }
    fleet_cpus
}

/// Counts the CPUs of all machines with a valid worker lease, and the CPUs of the tasks that run
/// there.
fn count_cpus(ctx: &Context, cluster: &Cluster) -> (f64, RunningCpus) {
    let mut running =
        RunningCpus { by_team: vec![0.0; ctx.cfg.teams.len()], by_job: HashMap::new() };
    let mut fleet_cpus = 0.0;
    let up_machines =
        cluster.machines.values().filter(|m| m.last_heartbeat_at.is_some() && !m.lease_expired);
    for machine in up_machines {
        if let Some(index) = type_index(ctx.machine_types, &machine.machine_type) {
            fleet_cpus += ctx.machine_types[index].cpus;
        }
        for ((task, _), slot) in machine.slots.iter().filter(|(_, slot)| slot.is_running()) {
            if let Some(demand) = slot.demand {
                running.by_team[demand.team] += demand.resources.cpus;
                *running.by_job.entry(task.job).or_default() += demand.resources.cpus;
            }
        }
    }
    (fleet_cpus, running)
}
