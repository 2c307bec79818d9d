//! Which tasks may be preempted, in the order in which they go.

use super::capacity::accepts_tasks;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::machines::{TaskDemand, TaskSlot};
use crate::model::{Attempt, JobId, MachineId, Ms, Priority, TaskId};
use std::collections::HashMap;

/// Workers' leases that the first tasks of a job run before they may be preempted: a job whose
/// first task is stopped as it begins has waited in vain.
const FIRST_TASK_LEASES: f64 = 3.5;
/// Times its own save that a task runs before it may be preempted: stopping what has just begun
/// costs more than it ran.
const MIN_RUN_PER_SAVE: f64 = 4.0;
/// Slack is compared in steps of this many seconds, so that small differences leave the order
/// to the age of tasks.
const SLACK_STEP_S: i64 = 30;

/// A task that may be preempted.
#[derive(Clone, Debug)]
pub(in crate::leader) struct Victim {
    /// The machine that it is on.
    pub(in crate::leader) machine: MachineId,
    /// The task, and which attempt of it.
    pub(in crate::leader) key: (TaskId, Attempt),
    /// What it takes.
    pub(in crate::leader) demand: TaskDemand,
}

/// Which victim goes first: lower priorities, then those with the most slack or that are late
/// anyway, and the youngest.
type VictimRank = (Priority, i64, Ms);

/// Tasks that may be preempted by higher priorities, in the order in which they go: those
/// that can save, since what cannot would lose all it has done.
pub(in crate::leader) fn victims_of_priority(
    ctx: &Context,
    cluster: &Cluster,
    feasible_slack_s: &HashMap<JobId, f64>,
) -> Vec<Victim> {
    let mut ranked: Vec<(VictimRank, Victim)> = Vec::new();
    for machine in cluster.machines.values().filter(|machine| accepts_tasks(ctx, machine)) {
        for (key, slot) in &machine.slots {
            let Some((demand, save_s)) =
                slot.demand.and_then(|demand| Some((demand, demand.save_s?)))
            else {
                continue;
            };
            if !slot.is_running()
                || slot.stop_grace_s.is_some()
                || runs_too_shortly(ctx, slot, save_s)
            {
                continue;
            }
            let slack_s = feasible_slack_s.get(&key.0.job);
            let by_slack = slack_s.map_or(i64::MIN, |slack_s| -slack_s as i64 / SLACK_STEP_S);
            let victim = Victim { machine: machine.id.clone(), key: *key, demand };
            ranked.push(((demand.priority, by_slack, Ms::MAX - slot.known_since), victim));
        }
    }
    sorted(ranked)
}

/// Whether a task has run for too short a time to be preempted.
fn runs_too_shortly(ctx: &Context, slot: &TaskSlot, save_s: f64) -> bool {
    let ran_s = slot.running_since.map_or(0, |since| ctx.now - since) as f64 / 1000.0;
    let lease_ms = ctx.cfg.lease_ms as f64;
    let first_s = if slot.first_of_job { FIRST_TASK_LEASES * lease_ms / 1000.0 } else { 0.0 };
    ran_s < (MIN_RUN_PER_SAVE * save_s).max(first_s)
}

/// Tasks that may be stopped for a team that has waited too long for its guarantee: all that
/// hold capacity, also those that cannot save or have just begun; services last.
pub(in crate::leader) fn victims_of_guarantee(ctx: &Context, cluster: &Cluster) -> Vec<Victim> {
    let mut ranked: Vec<((bool, VictimRank), Victim)> = Vec::new();
    for machine in cluster.machines.values().filter(|machine| accepts_tasks(ctx, machine)) {
        for (key, slot) in &machine.slots {
            let demand =
                slot.demand.filter(|_| slot.holds_resources() && slot.stop_grace_s.is_none());
            let Some(demand) = demand else { continue };
            let service = cluster.jobs.get(&key.0.job).is_some_and(|job| job.spec.is_service());
            let rank = (demand.priority, 0, Ms::MAX - slot.known_since);
            let victim = Victim { machine: machine.id.clone(), key: *key, demand };
            ranked.push(((service, rank), victim));
        }
    }
    sorted(ranked)
}

fn sorted<R: Ord>(mut ranked: Vec<(R, Victim)>) -> Vec<Victim> {
    ranked.sort_by(|(rank, a), (other, b)| {
        (rank, &a.machine, a.key).cmp(&(other, &b.machine, b.key))
    });
    ranked.into_iter().map(|(_, victim)| victim).collect()
}
