//! The tasks that may be preempted, in the order of preemption.

use super::capacity::accepts_tasks;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::machines::{TaskDemand, TaskSlot};
use crate::model::{Attempt, JobId, MachineId, Ms, Priority, TaskId};
use std::collections::HashMap;

/// Minimum run time of a job's first tasks before they may be preempted, in worker leases. Without
/// it, a job could wait long for a first task that is preempted as it starts.
const FIRST_TASK_MIN_RUN_LEASES: f64 = 3.5;
/// Minimum run time of a task before it may be preempted, as a multiple of its save time.
/// Preempting a task that has just started costs more time than it has run.
const MIN_RUN_PER_SAVE: f64 = 4.0;
/// Step in which slack is compared, in seconds, so that small differences leave the order to the
/// age of tasks.
const SLACK_STEP_S: i64 = 30;

/// A task that may be preempted.
#[derive(Clone, Debug)]
pub(in crate::leader) struct Victim {
    /// Machine on which it is placed.
    pub(in crate::leader) machine: MachineId,
    /// Task and attempt.
    pub(in crate::leader) key: (TaskId, Attempt),
    /// Demand of the task.
    pub(in crate::leader) demand: TaskDemand,
}

/// Rank of a victim; the smallest is preempted first. Lower priorities come first, then tasks of
/// jobs that can meet no objective, then tasks with more slack, then younger tasks.
type VictimRank = (Priority, i64, Ms);

/// Returns the tasks that may be preempted while the guarantee of the preempting team is not
/// overdue, in the order of preemption: tasks that can save and have run for a minimum time. A
/// task that cannot save would lose all its progress.
pub(in crate::leader) fn savable_victims(
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
                || has_run_too_briefly(ctx, slot, save_s)
            {
                continue;
            }
            let slack_s = feasible_slack_s.get(&key.0.job);
            let slack_rank = slack_s.map_or(i64::MIN, |slack_s| -slack_s as i64 / SLACK_STEP_S);
            let victim = Victim { machine: machine.id.clone(), key: *key, demand };
            ranked.push(((demand.priority, slack_rank, Ms::MAX - slot.known_since), victim));
        }
    }
    sort_by_rank(ranked)
}

/// Returns whether a task has not run long enough to be preempted.
fn has_run_too_briefly(ctx: &Context, slot: &TaskSlot, save_s: f64) -> bool {
    let ran_s = slot.running_since.map_or(0, |since| ctx.now - since) as f64 / 1000.0;
    let worker_lease_ms = ctx.cfg.worker_lease_ms as f64;
    let first_task_min_s = if slot.is_first_of_job {
        FIRST_TASK_MIN_RUN_LEASES * worker_lease_ms / 1000.0
    } else {
        0.0
    };
    ran_s < (MIN_RUN_PER_SAVE * save_s).max(first_task_min_s)
}

/// Returns the tasks that may be preempted for an overdue guarantee, in the order of preemption:
/// all that hold capacity, including those that cannot save or have just started. Replicas of
/// services come last.
pub(in crate::leader) fn all_victims(ctx: &Context, cluster: &Cluster) -> Vec<Victim> {
    let mut ranked: Vec<((bool, VictimRank), Victim)> = Vec::new();
    for machine in cluster.machines.values().filter(|machine| accepts_tasks(ctx, machine)) {
        for (key, slot) in &machine.slots {
            let demand =
                slot.demand.filter(|_| slot.holds_resources() && slot.stop_grace_s.is_none());
            let Some(demand) = demand else { continue };
            let is_service = cluster.jobs.get(&key.0.job).is_some_and(|job| job.spec.is_service());
            let rank = (demand.priority, 0, Ms::MAX - slot.known_since);
            let victim = Victim { machine: machine.id.clone(), key: *key, demand };
            ranked.push(((is_service, rank), victim));
        }
    }
    sort_by_rank(ranked)
}

fn sort_by_rank<R: Ord>(mut ranked: Vec<(R, Victim)>) -> Vec<Victim> {
    ranked.sort_by(|(rank, a), (other, b)| {
        (rank, &a.machine, a.key).cmp(&(other, &b.machine, b.key))
    });
    ranked.into_iter().map(|(_, victim)| victim).collect()
}
