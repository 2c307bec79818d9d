//! Assignment of a job's tasks to machines, within the team's limit and the job's constraints.

use super::bin_packing::{choose_placement, Placement, PlacementRequest, ZoneSpread};
use super::capacity::FreeCapacity;
use super::fair_share_order::JobOrder;
use super::Scheduler;
use crate::fairness::Ledger;
use crate::jobs::{JobState, TaskPlacement};
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::machines::{TaskDemand, TaskPhase, TaskSlot};
use crate::model::{Attempt, FencingToken, JobId, MachineId, Revision, TaskId};
use crate::resources::Resources;
use rand::rngs::SmallRng;
use std::collections::BTreeSet;

/// Bits of the counter in an attempt number. The fencing token takes the bits above it, so that no
/// two leaders issue the same number.
const ATTEMPT_COUNTER_BITS: u32 = 32;

/// State of the leader that the scheduler reads and updates, apart from its own.
pub(in crate::leader) struct SchedulerInputs<'a> {
    /// Settings, machine types and time.
    pub(in crate::leader) ctx: &'a Context<'a>,
    /// Machines and jobs.
    pub(in crate::leader) cluster: &'a mut Cluster,
    /// Received and fair time of teams.
    pub(in crate::leader) ledger: &'a mut Ledger,
    /// Jobs whose record must be read before any of their tasks may start.
    pub(in crate::leader) unknown_jobs: &'a BTreeSet<JobId>,
    /// Fencing token of the leader.
    pub(in crate::leader) token: FencingToken,
    /// Mod revision of the leader's record under the leader key. Jobs with a later revision were
    /// accepted in this leader's term.
    pub(in crate::leader) elected_revision: Revision,
    /// Source of randomness for sampling machines.
    pub(in crate::leader) rng: &'a mut SmallRng,
}

/// Returns the resources that one task of a job takes, and the properties on which its preemption
/// depends.
pub(in crate::leader) fn task_demand(job: &JobState) -> TaskDemand {
    TaskDemand {
        team: job.team,
        resources: Resources::of_task(&job.spec),
        priority: job.spec.priority,
        save_s: (job.spec.checkpoint_s > 0.0).then_some(job.spec.save_s),
    }
}

/// Returns how many pending tasks of a job may start within the limit of its team, given the
/// resources that the teams use.
pub(in crate::leader) fn pending_within_limit(
    ctx: &Context,
    cluster: &Cluster,
    id: JobId,
    used: &[Resources],
) -> u32 {
    let Some(job) = cluster.jobs.get(&id) else { return 0 };
    let team = &ctx.cfg.teams[job.team];
    team.tasks_within_limit(used[job.team], &job.spec).min(job.pending_tasks())
}

/// Counts the tasks of a job that may be on machines, by zone. The result is empty unless the job
/// restricts how its tasks spread over zones.
pub(in crate::leader) fn zone_spread(cluster: &Cluster, id: JobId) -> ZoneSpread {
    let mut spread = ZoneSpread::default();
    let is_restricted =
        cluster.jobs.get(&id).is_some_and(|job| job.spec.one_zone || job.spec.spread);
    if !is_restricted {
        return spread;
    }
    for machine in cluster.machines.values() {
        let is_of_job = |((task, _), slot): &(&(TaskId, Attempt), &TaskSlot)| {
            task.job == id && slot.holds_resources()
        };
        let tasks = machine.slots.iter().filter(is_of_job).count();
        if tasks > 0 {
            spread.add(&machine.zone, tasks as u32);
        }
    }
    spread
}

/// Assigns tasks to machines, and keeps track of free capacity and usage as it does.
pub(in crate::leader) struct Assigner<'a> {
    /// State of the scheduler.
    pub(in crate::leader) scheduler: &'a mut Scheduler,
    /// State of the other parts of the leader.
    pub(in crate::leader) inputs: SchedulerInputs<'a>,
    /// Machines with free capacity.
    pub(in crate::leader) free: Vec<FreeCapacity>,
    /// Upper bound of the resources that each team uses, by team index.
    pub(in crate::leader) used: Vec<Resources>,
    /// Resources that the services of each team hold, by team index.
    pub(in crate::leader) used_by_services: Vec<Resources>,
}

impl Assigner<'_> {
    /// Returns the order of jobs by the present state.
    pub(in crate::leader) fn order(&self) -> JobOrder<'_> {
        JobOrder {
            ctx: self.inputs.ctx,
            cluster: self.inputs.cluster,
            ledger: self.inputs.ledger,
            slack_s: &self.scheduler.feasible_slack_s,
            fleet_cpus: self.scheduler.fleet_cpus,
        }
    }

    /// Returns whether a job has pending tasks.
    pub(in crate::leader) fn has_pending(&self, id: JobId) -> bool {
        self.inputs.cluster.jobs.get(&id).is_some_and(|job| job.pending_tasks() > 0)
    }

    /// Returns how many pending tasks of a job may start within the limit of its team.
    pub(in crate::leader) fn pending_within_limit(&self, id: JobId) -> u32 {
        pending_within_limit(self.inputs.ctx, self.inputs.cluster, id, &self.used)
    }

    /// Returns whether no task of a job is placed, its team's limit leaves too little for one, and
    /// enough of the limit becomes free when tasks of arrays end.
    ///
    /// Other jobs of the team must then wait: their smaller tasks would take the released parts of
    /// the limit one by one, and a large task would never fit. A job with placed tasks reuses the
    /// part of the limit that its own tasks release, so other jobs may use the rest.
    pub(in crate::leader) fn is_blocked_by_limit(&self, id: JobId) -> bool {
        let job = self.inputs.cluster.jobs.get(&id);
        job.is_some_and(|job| job.placed.is_empty())
            && self.pending_within_limit(id) == 0
            && self.fits_beside_services(id)
    }

    /// Returns whether a task of a job fits into its team's limit beside the team's services.
    ///
    /// Services release nothing until they are cancelled. A task that does not fit beside them gains
    /// nothing if other jobs wait, and that wait would have no bound.
    pub(in crate::leader) fn fits_beside_services(&self, id: JobId) -> bool {
        self.inputs.cluster.jobs.get(&id).is_some_and(|job| {
            let team = &self.inputs.ctx.cfg.teams[job.team];
            team.tasks_within_limit(self.used_by_services[job.team], &job.spec) > 0
        })
    }

    /// Reserves the machine with the most free CPUs that the job may use, and returns it. Other
    /// jobs get no capacity there in this cycle, so that enough becomes free for one task of the
    /// job. The demand of that task counts as used by the job's team.
    pub(in crate::leader) fn reserve_machine(&mut self, id: JobId) -> Option<MachineId> {
        let job = self.inputs.cluster.jobs.get(&id)?;
        let types = self.inputs.ctx.machine_types;
        let best = (0..self.free.len())
            .filter(|index| self.free[*index].permitted_by(&job.spec, types))
            .max_by(|a, b| self.free[*a].free.cpus.total_cmp(&self.free[*b].free.cpus));
        self.used[job.team] += Resources::of_task(&job.spec);
        best.map(|index| self.free.swap_remove(index).machine)
    }

    /// Assigns up to `max_tasks` tasks of a job to one machine and records the granted CPU time in
    /// the ledger (ASTRAEA, algorithm 1, lines 10 to 15). Returns whether any task was assigned.
    pub(in crate::leader) fn assign(&mut self, id: JobId, max_tasks: u32) -> bool {
        let assigned = self.assign_to_one_machine(id, max_tasks);
        let SchedulerInputs { ctx, cluster, ledger, .. } = &mut self.inputs;
        let Some(job) = cluster.jobs.get_mut(&id).filter(|_| assigned > 0) else { return false };
        let granted_cpu_s = assigned as f64 * job.spec.cpus * ctx.cfg.policy.lease_term_s;
        job.account.granted += granted_cpu_s;
        job.has_started = true;
        ledger.teams[job.team].granted += granted_cpu_s;
        true
    }

    /// Assigns as many tasks of a job as possible, one machine after another.
    pub(in crate::leader) fn assign_all(&mut self, id: JobId) {
        while self.has_pending(id) && self.assign(id, u32::MAX) {}
    }

    /// Assigns up to `max_tasks` tasks of a job to the best machine. Returns the number assigned.
    fn assign_to_one_machine(&mut self, id: JobId, max_tasks: u32) -> u32 {
        let startable_tasks = self.pending_within_limit(id).min(max_tasks);
        if startable_tasks == 0 {
            return 0;
        }
        let Some(placement) = self.choose_machine(id, startable_tasks) else { return 0 };
        self.place_tasks(id, placement)
    }

    /// Returns the best machine for up to `max_tasks` tasks of a job, and how many it takes.
    fn choose_machine(&mut self, id: JobId, max_tasks: u32) -> Option<Placement> {
        let SchedulerInputs { ctx, cluster, rng, .. } = &mut self.inputs;
        let spread = zone_spread(cluster, id);
        let job = cluster.jobs.get(&id)?;
        let is_service = job.spec.is_service();
        let tasks = max_tasks.min(job.allowed_starts()).min(if is_service { 1 } else { u32::MAX });
        let has_image = |machine: &MachineId| {
            cluster.machines.get(machine).is_some_and(|m| m.has_image(&job.spec.image))
        };
        let avoid = |machine: &MachineId| job.health.avoids(machine, ctx.now);
        // Prefers separate machines for replicas, so that a lost machine takes only one of them.
        let machines_with_replica: BTreeSet<&MachineId> = match is_service {
            true => job.placed.values().map(|placement| &placement.machine).collect(),
            false => BTreeSet::new(),
        };
        let avoid_replicas =
            |machine: &MachineId| avoid(machine) || machines_with_replica.contains(machine);
        let separate = PlacementRequest {
            job: &job.spec,
            spread: &spread,
            tasks,
            avoid: &avoid_replicas,
            has_image: &has_image,
        };
        let sample_size = ctx.cfg.policy.placement_sample_size;
        let placement =
            choose_placement(&self.free, ctx.machine_types, &separate, sample_size, rng);
        if placement.is_some() || machines_with_replica.is_empty() {
            return placement;
        }
        let shared = PlacementRequest { avoid: &avoid, ..separate };
        choose_placement(&self.free, ctx.machine_types, &shared, sample_size, rng)
    }

    /// Places tasks of a job on a machine. Returns the number of placed tasks.
    fn place_tasks(&mut self, id: JobId, placement: Placement) -> u32 {
        let SchedulerInputs { ctx, cluster, token, .. } = &mut self.inputs;
        let capacity = &mut self.free[placement.index];
        let Some(job) = cluster.jobs.get_mut(&id) else { return 0 };
        let Some(machine) = cluster.machines.get_mut(&capacity.machine) else { return 0 };
        let demand = task_demand(job);
        let mut placed = 0;
        while placed < placement.tasks {
            let Some(index) = job.pop_pending() else { break };
            let Some(counter) = self.scheduler.attempt_counter.checked_add(1) else { break };
            self.scheduler.attempt_counter = counter;
            let attempt = Attempt((token.0 << ATTEMPT_COUNTER_BITS) | u64::from(counter));
            job.placed.insert(index, TaskPlacement { machine: machine.id.clone(), attempt });
            let slot = assigned_slot(ctx, demand, !job.has_started);
            machine.slots.insert((TaskId { job: id, index }, attempt), slot);
            placed += 1;
        }
        if job.spec.is_service() && job.health.is_crash_looping() {
            // Delays the next attempt until the outcome of this one is known.
            job.health.extend_back_off(ctx.now + ctx.cfg.worker_lease_ms);
        }
        machine.idle_since = None;
        self.used[job.team] += Resources::of_task(&job.spec) * placed as f64;
        capacity.deduct_tasks(&job.spec, placed);
        if !capacity.has_room() {
            self.free.swap_remove(placement.index);
        }
        placed
    }
}

/// Returns the slot of a task whose start has not been sent yet.
fn assigned_slot(ctx: &Context, demand: TaskDemand, is_first_of_job: bool) -> TaskSlot {
    TaskSlot {
        phase: TaskPhase::Assigned,
        demand: Some(demand),
        stop_grace_s: None,
        stop_sent_at: None,
        known_since: ctx.now,
        running_since: None,
        outcome_recorded: false,
        is_first_of_job,
    }
}
