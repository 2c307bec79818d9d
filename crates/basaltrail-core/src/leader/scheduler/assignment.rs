//! Assignment of a job's tasks to machines, within limits of teams and constraints of the job.

use super::bin_packing::{choose, Placement, PlacementRequest, ZoneSpread};
use super::capacity::{FreeCapacity, CPU_TOLERANCE};
use super::fair_share_order::JobOrder;
use super::Scheduler;
use crate::fairness::Ledger;
use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::machines::{TaskDemand, TaskPhase, TaskSlot};
use crate::model::{Attempt, FencingToken, JobId, MachineId, Revision, TaskId};
use crate::resources::Resources;
use rand::rngs::SmallRng;
use std::collections::BTreeSet;

/// Bits of an attempt number below the fencing token: the token is in the high half, so that
/// no two leaders give the same number.
const ATTEMPT_COUNTER_BITS: u32 = 32;

/// What the scheduler works with beside its own state.
pub(in crate::leader) struct SchedulerInputs<'a> {
    /// Settings, machine types and time.
    pub(in crate::leader) ctx: &'a Context<'a>,
    /// Machines and jobs.
    pub(in crate::leader) cluster: &'a mut Cluster,
    /// Received and fair time of teams.
    pub(in crate::leader) ledger: &'a mut Ledger,
    /// Jobs whose record has to be read before any of their tasks may start.
    pub(in crate::leader) unknown_jobs: &'a BTreeSet<JobId>,
    /// The leader's fencing token.
    pub(in crate::leader) token: FencingToken,
    /// The mod revision of the leader's record: jobs of a later one were accepted in its term.
    pub(in crate::leader) elected_revision: Revision,
    /// For the sample of machines that is searched.
    pub(in crate::leader) rng: &'a mut SmallRng,
}

/// What one task of a job takes of its machine, and what stops it.
pub(in crate::leader) fn task_demand(job: &JobState) -> TaskDemand {
    TaskDemand {
        team: job.team,
        resources: Resources::of_task(&job.spec),
        priority: job.spec.priority,
        save_s: (job.spec.checkpoint_s > 0.0).then_some(job.spec.save_s),
    }
}

/// Tasks of a job that its team's limit still allows beside what is in use.
pub(in crate::leader) fn allowed_by_limit(
    ctx: &Context,
    cluster: &Cluster,
    id: JobId,
    used: &[Resources],
) -> u32 {
    let Some(job) = cluster.jobs.get(&id) else { return 0 };
    let team = &ctx.cfg.teams[job.team];
    team.tasks_within_limit(used[job.team], &job.spec).min(job.pending())
}

/// Where the tasks of a job may be; nothing is counted unless the job restricts its zones.
pub(in crate::leader) fn zone_spread(cluster: &Cluster, id: JobId) -> ZoneSpread {
    let mut spread = ZoneSpread::default();
    let restricted = cluster.jobs.get(&id).is_some_and(|job| job.spec.one_zone || job.spec.spread);
    if !restricted {
        return spread;
    }
    for machine in cluster.machines.values() {
        let of_job = |((task, _), slot): &(&(TaskId, Attempt), &TaskSlot)| {
            task.job == id && slot.holds_resources()
        };
        let tasks = machine.slots.iter().filter(of_job).count();
        if tasks > 0 {
            spread.add(&machine.zone, tasks as u32);
        }
    }
    spread
}

/// Assigns tasks to machines with free capacity and keeps account of what is left.
pub(in crate::leader) struct Assigner<'a> {
    /// The scheduler's state.
    pub(in crate::leader) scheduler: &'a mut Scheduler,
    /// The rest of what it works with.
    pub(in crate::leader) inputs: SchedulerInputs<'a>,
    /// Machines with free capacity.
    pub(in crate::leader) free: Vec<FreeCapacity>,
    /// What each team may have in use, by team index.
    pub(in crate::leader) used: Vec<Resources>,
}

impl Assigner<'_> {
    /// The order of jobs as of now.
    pub(in crate::leader) fn order(&self) -> JobOrder<'_> {
        JobOrder {
            ctx: self.inputs.ctx,
            cluster: self.inputs.cluster,
            ledger: self.inputs.ledger,
            slack_s: &self.scheduler.feasible_slack_s,
            fleet_cpus: self.scheduler.fleet_cpus,
        }
    }

    /// Whether a job has tasks that wait.
    pub(in crate::leader) fn has_pending(&self, id: JobId) -> bool {
        self.inputs.cluster.jobs.get(&id).is_some_and(|job| job.pending() > 0)
    }

    /// Tasks of a job that its team's limit still allows.
    pub(in crate::leader) fn allowed_by_limit(&self, id: JobId) -> u32 {
        allowed_by_limit(self.inputs.ctx, self.inputs.cluster, id, &self.used)
    }

    /// Whether nothing of a job is placed and its team's limit leaves no capacity for a task of
    /// it. Narrow tasks of later jobs would take what becomes free of the limit, bit by bit, and
    /// a wide one would never find enough at once. A job that has tasks running takes what its
    /// own leave: what is too little for it is the others'.
    pub(in crate::leader) fn blocked_by_limit(&self, id: JobId) -> bool {
        let job = self.inputs.cluster.jobs.get(&id);
        self.allowed_by_limit(id) == 0 && job.is_some_and(|job| job.placed.is_empty())
    }

    /// Keeps the machine with the most free CPUs that the job may use from others in this cycle,
    /// so that enough for one of its tasks becomes free there. What the task takes counts
    /// against its team.
    pub(in crate::leader) fn reserve_machine(&mut self, id: JobId) -> Option<MachineId> {
        let job = self.inputs.cluster.jobs.get(&id)?;
        let types = self.inputs.ctx.types;
        let best = (0..self.free.len())
            .filter(|index| self.free[*index].permitted_by(&job.spec, types))
            .max_by(|a, b| self.free[*a].free.cpus.total_cmp(&self.free[*b].free.cpus));
        self.used[job.team] += Resources::of_task(&job.spec);
        best.map(|index| self.free.swap_remove(index).machine)
    }

    /// Assigns up to `most` tasks of a job to one machine and notes them in the ledger (paper,
    /// algorithm 1, lines 10 to 15); false if nothing fits.
    pub(in crate::leader) fn assign(&mut self, id: JobId, most: u32) -> bool {
        let assigned = self.assign_to_one_machine(id, most);
        let SchedulerInputs { ctx, cluster, ledger, .. } = &mut self.inputs;
        let Some(job) = cluster.jobs.get_mut(&id).filter(|_| assigned > 0) else { return false };
        let granted_cpu_s = assigned as f64 * job.spec.cpus * ctx.cfg.policy.lease_term_s;
        job.account.granted += granted_cpu_s;
        job.started = true;
        ledger.teams[job.team].granted += granted_cpu_s;
        true
    }

    /// Assigns as many tasks as it can, one machine after the other.
    pub(in crate::leader) fn assign_all(&mut self, id: JobId) {
        while self.has_pending(id) && self.assign(id, u32::MAX) {}
    }

    /// Assigns up to `most` tasks of a job to the best machine; returns how many.
    fn assign_to_one_machine(&mut self, id: JobId, most: u32) -> u32 {
        let allowed = self.allowed_by_limit(id).min(most);
        if allowed == 0 {
            return 0;
        }
        let Some(placement) = self.choose_machine(id, allowed) else { return 0 };
        self.fill_slots(id, placement)
    }

    /// The machine that takes up to so many tasks of a job.
    fn choose_machine(&mut self, id: JobId, allowed: u32) -> Option<Placement> {
        let SchedulerInputs { ctx, cluster, rng, .. } = &mut self.inputs;
        let spread = zone_spread(cluster, id);
        let job = cluster.jobs.get(&id)?;
        let service = job.spec.is_service();
        let tasks = allowed.min(job.allowed_starts()).min(if service { 1 } else { u32::MAX });
        let has_image = |machine: &MachineId| {
            cluster.machines.get(machine).is_some_and(|m| m.has_image(&job.spec.image))
        };
        let avoid = |machine: &MachineId| job.health.avoids(machine, ctx.now);
        // Replicas run on different machines where there are any: a lost machine takes one.
        let with_replica: BTreeSet<&MachineId> = match service {
            true => job.placed.values().map(|(machine, _)| machine).collect(),
            false => BTreeSet::new(),
        };
        let avoid_replicas = |machine: &MachineId| avoid(machine) || with_replica.contains(machine);
        let apart = PlacementRequest {
            job: &job.spec,
            spread: &spread,
            tasks,
            avoid: &avoid_replicas,
            has_image: &has_image,
        };
        let sample = ctx.cfg.policy.sample;
        let placement = choose(&self.free, ctx.types, &apart, sample, rng);
        if placement.is_some() || with_replica.is_empty() {
            return placement;
        }
        let beside = PlacementRequest { avoid: &avoid, ..apart };
        choose(&self.free, ctx.types, &beside, sample, rng)
    }

    /// Puts tasks of a job on a machine; returns how many.
    fn fill_slots(&mut self, id: JobId, placement: Placement) -> u32 {
        let SchedulerInputs { ctx, cluster, token, .. } = &mut self.inputs;
        let capacity = &mut self.free[placement.index];
        let Some(job) = cluster.jobs.get_mut(&id) else { return 0 };
        let Some(machine) = cluster.machines.get_mut(&capacity.machine) else { return 0 };
        let demand = task_demand(job);
        let mut placed = 0;
        while placed < placement.tasks {
            let Some(index) = job.pop_pending() else { break };
            let Some(counter) = self.scheduler.attempts.checked_add(1) else { break };
            self.scheduler.attempts = counter;
            let attempt = Attempt((token.0 << ATTEMPT_COUNTER_BITS) | u64::from(counter));
            job.placed.insert(index, (machine.id.clone(), attempt));
            let slot = assigned_slot(ctx, demand, !job.started);
            machine.slots.insert((TaskId { job: id, index }, attempt), slot);
            placed += 1;
        }
        if job.spec.is_service() && job.health.is_crash_looping() {
            // The next attempt waits for the outcome of this one.
            job.health.extend_back_off(ctx.now + ctx.cfg.lease_ms);
        }
        machine.idle_since = None;
        self.used[job.team] += Resources::of_task(&job.spec) * placed as f64;
        capacity.take(&job.spec, placed);
        if capacity.free.cpus <= CPU_TOLERANCE {
            self.free.swap_remove(placement.index);
        }
        placed
    }
}

/// The slot of a task that was assigned and not sent yet.
fn assigned_slot(ctx: &Context, demand: TaskDemand, first_of_job: bool) -> TaskSlot {
    TaskSlot {
        phase: TaskPhase::Assigned,
        demand: Some(demand),
        stop_grace_s: None,
        stop_sent_at: None,
        since: ctx.now,
        running_since: None,
        outcome_recorded: false,
        first_of_job,
    }
}
