//! The scheduling cycle: assigns pending tasks to the free capacity of all machines.

use super::assignment::{Assigner, SchedulerInputs};
use super::capacity::{team_usage, FreeCapacity};
use super::class_shares::jobs_of_underserved_classes;
use super::deadline_feasibility::find_feasible_slacks;
use super::fair_share_order::TeamHead;
use super::guarantees::TeamDemand;
use super::reserved_capacity::{reserve_capacity, ReservedCapacity};
use super::services::{is_high_priority_service, service_usage};
use super::starvation::update_starved_jobs;
use super::waiting::WaitingJobs;
use super::{accounting, Scheduler};
use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::model::{JobId, MachineId, Ms, WallMs};
use crate::resources::Resources;

/// Maximum number of cycles per heartbeat interval. Each cycle examines all machines and their
/// tasks.
const MAX_CYCLES_PER_HEARTBEAT_INTERVAL: Ms = 20;
/// Wait for its first task, in worker leases, after which a job is overdue. One of its tasks is
/// then assigned ahead of the fair-share order.
const MAX_FIRST_TASK_WAIT_LEASES: WallMs = 9;

/// Results of a cycle, used to backfill machines until the next cycle.
#[derive(Default)]
pub(in crate::leader) struct CycleSnapshot {
    /// Jobs considered in the assignment by fair share, by team index and in order. Jobs whose
    /// tasks have all been assigned are still included.
    pub(super) waiting: Vec<Vec<JobId>>,
    /// Upper bound of the resources that each team uses, by team index. Tasks that ended after the
    /// cycle still count.
    pub(super) used: Vec<Resources>,
    /// Resources that the services of each team held when the cycle began, by team index.
    pub(super) used_by_services: Vec<Resources>,
    /// Jobs of which each backfill assigns up to one task ahead of the fair-share order, since the
    /// cycle could not: jobs overdue for their first task, jobs of underserved classes, and jobs in
    /// a crash loop.
    pub(super) expedited_jobs: Vec<JobId>,
    /// Machine reserved for the first overdue job among the expedited jobs. Backfill assigns only
    /// high-priority services and expedited jobs to it.
    pub(super) reserved_machine: Option<MachineId>,
    /// High-priority services that had pending tasks in the cycle. Backfill assigns them first.
    pub(super) high_priority_services: Vec<JobId>,
    /// Capacity reserved for high-priority services that may be submitted or lose their machines.
    pub(super) reserved_capacity: ReservedCapacity,
}

/// Result of a cycle, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::leader) struct CycleResult {
    /// Number of preempted tasks.
    pub(in crate::leader) preempted_tasks: usize,
}

impl Scheduler {
    /// Runs a scheduling cycle, unless no machine type is known or the minimum interval since the
    /// last cycle has not passed.
    pub(in crate::leader) fn schedule(&mut self, inputs: SchedulerInputs) -> CycleResult {
        let ctx = inputs.ctx;
        if ctx.now < self.earliest_cycle_at || ctx.machine_types.is_empty() {
            return CycleResult::default();
        }
        self.cycle_due = false;
        self.earliest_cycle_at =
            ctx.now + ctx.cfg.heartbeat_interval_ms / MAX_CYCLES_PER_HEARTBEAT_INTERVAL;
        self.fleet_cpus = accounting::accrue_shares(ctx, inputs.cluster, inputs.ledger);
        self.visit_count +=
            inputs.cluster.machines.values().map(|m| 1 + m.slots.len() as u64).sum::<u64>();
        let mut cycle = Cycle::begin(self, inputs);
        cycle.run();
        cycle.finish()
    }

    /// Updates the time since which each team has waited for its guarantee. `blocked` holds the
    /// jobs with a pending task that the cycle could not assign.
    fn update_guarantee_waits(&mut self, ctx: &Context, cluster: &Cluster, blocked: &[JobId]) {
        let mut demands = vec![TeamDemand::default(); ctx.cfg.teams.len()];
        let adds_demand = |job: &&JobState| job.outcome.is_none() && !job.health.is_crash_looping();
        for job in cluster.jobs.values().filter(adds_demand) {
            let tasks = job.pending_tasks() as f64 + job.placed.len() as f64;
            demands[job.team].unfinished_cpus += tasks * job.spec.cpus;
        }
        for job in blocked.iter().filter_map(|id| cluster.jobs.get(id)) {
            demands[job.team].blocked = true;
        }
        let guaranteed_cpus = ctx.cfg.teams.iter().map(|team| team.guaranteed_cpus);
        self.guarantee_waits.update(ctx.now, guaranteed_cpus.zip(demands));
    }

    /// Returns the time at which a cycle is due even if nothing changes, or `Ms::MAX` if there is
    /// none: when the next back-off of a job ends, a job stops avoiding a machine, a machine that
    /// refused a task may have room again, or a guarantee is overdue.
    fn next_wake_at(&self, ctx: &Context, cluster: &Cluster) -> Ms {
        let waiting_jobs = || cluster.jobs.values().filter(|job| job.pending_tasks() > 0);
        let back_off_ends = waiting_jobs().map(|job| job.health.back_off_until());
        let avoidance_ends =
            waiting_jobs().filter_map(|job| job.health.next_avoidance_end(ctx.now));
        let no_room_ends = cluster.machines.values().map(|machine| machine.no_room_until);
        let future_ends =
            back_off_ends.chain(avoidance_ends).chain(no_room_ends).filter(|at| *at > ctx.now);
        let guarantee_overdue_at = ctx
            .cfg
            .guarantee_wait_ms()
            .and_then(|max_wait_ms| self.guarantee_waits.next_overdue_at(ctx.now, max_wait_ms));
        future_ends.min().into_iter().chain(guarantee_overdue_at).min().unwrap_or(Ms::MAX)
    }
}

/// A cycle in progress.
struct Cycle<'a> {
    assigner: Assigner<'a>,
    waiting: WaitingJobs,
    /// Jobs with a pending task that could not be assigned, since no machine can take it or the
    /// limit of the team leaves no room.
    blocked: Vec<JobId>,
    snapshot: CycleSnapshot,
}

impl<'a> Cycle<'a> {
    /// Determines free capacity, usage and feasible jobs, and sorts the waiting jobs.
    fn begin(scheduler: &'a mut Scheduler, inputs: SchedulerInputs<'a>) -> Self {
        let ctx = inputs.ctx;
        let used = team_usage(ctx, inputs.cluster);
        let free: Vec<FreeCapacity> = inputs
            .cluster
            .machines
            .values()
            .filter_map(|machine| FreeCapacity::of_machine(ctx, machine))
            .collect();
        scheduler.feasible_slack_s =
            find_feasible_slacks(ctx, inputs.cluster, scheduler.fleet_cpus, &used);
        let mut waiting = WaitingJobs::collect(&inputs);
        let used_by_services = service_usage(ctx, inputs.cluster);
        let assigner = Assigner { scheduler, inputs, free, used, used_by_services };
        let order = assigner.order();
        for jobs in &mut waiting.by_team {
            order.sort_team(jobs);
        }
        Cycle { assigner, waiting, blocked: Vec::new(), snapshot: CycleSnapshot::default() }
    }

    fn ctx(&self) -> &'a Context<'a> {
        self.assigner.inputs.ctx
    }

    /// Assigns tasks in this order: jobs for which tasks were preempted, high-priority services,
    /// one task each of jobs in a crash loop and of jobs overdue for their first task, underserved
    /// classes, all other jobs by fair share, and one task each of starved jobs.
    fn run(&mut self) {
        self.assign_tasks_of_preempting_jobs();
        self.assign_high_priority_replicas();
        self.reserve_capacity();
        let overdue_jobs = self.jobs_overdue_for_first_task();
        self.assign_tasks_of_crash_looping_jobs();
        self.assign_first_tasks(overdue_jobs);
        self.assign_tasks_of_underserved_classes();
        self.snapshot.expedited_jobs.append(&mut self.waiting.crash_looping);
        self.snapshot.waiting.clone_from(&self.waiting.by_team);
        self.assign_by_fair_share();
        self.assign_tasks_of_starved_jobs();
    }

    /// Updates the guarantee waits and the time at which the next cycle is due, preempts tasks for
    /// blocked jobs, and stores the snapshot for backfill.
    fn finish(self) -> CycleResult {
        let Cycle { assigner, blocked, mut snapshot, .. } = self;
        let Assigner { scheduler, inputs, free, used, used_by_services } = assigner;
        let SchedulerInputs { ctx, cluster, .. } = inputs;
        scheduler.has_blocked_jobs = !blocked.is_empty();
        scheduler.update_guarantee_waits(ctx, cluster, &blocked);
        scheduler.wake_at = scheduler.next_wake_at(ctx, cluster);
        let preempted_tasks = scheduler.preempt(ctx, cluster, &blocked, &used, &free);
        snapshot.used = used;
        snapshot.used_by_services = used_by_services;
        scheduler.last_cycle = Some(snapshot);
        CycleResult { preempted_tasks }
    }

    /// Removes a job from the waiting jobs if none of its tasks is pending.
    fn remove_if_none_pending(&mut self, team: usize, id: JobId) {
        if !self.assigner.has_pending(id) {
            self.waiting.remove(team, id);
        }
    }

    /// Assigns pending tasks of the jobs for which tasks were preempted within the last worker
    /// lease. If the freed capacity were assigned by degree, the preempted tasks would be assigned
    /// to it and preempted again.
    fn assign_tasks_of_preempting_jobs(&mut self) {
        let now = self.ctx().now;
        let scheduler = &mut self.assigner.scheduler;
        scheduler.precedence_until.retain(|_, until| *until > now);
        let preempting_jobs: Vec<JobId> = scheduler.precedence_until.keys().copied().collect();
        for id in preempting_jobs {
            let Some(team) = self.assigner.inputs.cluster.jobs.get(&id).map(|job| job.team) else {
                continue;
            };
            if !self.waiting.by_team[team].contains(&id) {
                continue;
            }
            self.assigner.assign_all(id);
            if !self.assigner.has_pending(id) {
                self.waiting.remove(team, id);
                self.assigner.scheduler.precedence_until.remove(&id);
            }
        }
    }

    /// Assigns replicas of high-priority services. They come before arrays, since a service is
    /// degraded for as long as a replica is missing, whereas an array may start later and still
    /// meet its deadline.
    fn assign_high_priority_replicas(&mut self) {
        let jobs = &self.assigner.inputs.cluster.jobs;
        let is_high_priority =
            |id: &JobId| jobs.get(id).is_some_and(|job| is_high_priority_service(&job.spec));
        let services: Vec<(usize, JobId)> = self
            .waiting
            .by_team
            .iter()
            .enumerate()
            .flat_map(|(team, jobs)| jobs.iter().map(move |id| (team, *id)))
            .filter(|(_, id)| is_high_priority(id))
            .collect();
        for (team, id) in &services {
            self.assigner.assign_all(*id);
            self.remove_if_none_pending(*team, *id);
        }
        self.snapshot.high_priority_services = services.into_iter().map(|(_, id)| id).collect();
    }

    /// Reserves capacity for high-priority services that may be submitted or lose their machines.
    fn reserve_capacity(&mut self) {
        let Assigner { scheduler, inputs, free, used, .. } = &mut self.assigner;
        self.snapshot.reserved_capacity =
            reserve_capacity(inputs.ctx, &scheduler.recent_services, free, used);
    }

    /// Returns the jobs that are overdue for their first task, each with its team index, the
    /// longest wait first. Without this precedence, a large array could remain last in the
    /// fair-share order for as long as more work is submitted than the cluster can run.
    fn jobs_overdue_for_first_task(&self) -> Vec<(usize, JobId)> {
        let SchedulerInputs { ctx, cluster, .. } = &self.assigner.inputs;
        let max_wait_ms = MAX_FIRST_TASK_WAIT_LEASES * ctx.cfg.worker_lease_ms as WallMs;
        let mut overdue: Vec<(WallMs, JobId, usize)> = self
            .waiting
            .by_team
            .iter()
            .flatten()
            .filter_map(|id| cluster.jobs.get(id))
            .filter(|job| !job.has_started && ctx.wall_clock_ms - job.accepted_at > max_wait_ms)
            .map(|job| (job.accepted_at, job.id, job.team))
            .collect();
        overdue.sort();
        overdue.into_iter().map(|(_, id, team)| (team, id)).collect()
    }

    /// Assigns one task of each job in a crash loop. A single task takes little capacity from other
    /// jobs, and shows whether the fault has been removed. Jobs whose task could not be assigned
    /// remain in the list.
    fn assign_tasks_of_crash_looping_jobs(&mut self) {
        let assigner = &mut self.assigner;
        self.waiting.crash_looping.retain(|id| !assigner.assign(*id, 1));
    }

    /// Assigns one task of each job that is overdue for its first task. If no machine can take it,
    /// the job is expedited, and a machine is reserved for the first such job. If the limit of the
    /// team leaves no room for it, the waiting jobs of the team are skipped in this cycle, so that
    /// enough of the limit becomes free; not if only services could release it.
    fn assign_first_tasks(&mut self, overdue_jobs: Vec<(usize, JobId)>) {
        for (team, id) in overdue_jobs {
            if self.assigner.assign(id, 1) {
                self.remove_if_none_pending(team, id);
                continue;
            }
            if self.assigner.pending_within_limit(id) == 0 {
                if self.assigner.fits_beside_services(id) {
                    self.waiting.by_team[team].clear();
                }
                continue;
            }
            if self.snapshot.expedited_jobs.is_empty() {
                // Jobs are in the order of their waits: the first one expedited has waited longest.
                self.snapshot.reserved_machine = self.assigner.reserve_machine(id);
            }
            self.snapshot.expedited_jobs.push(id);
        }
    }

    /// Assigns tasks of classes that use less than their minimum share of the CPUs that their team
    /// uses.
    fn assign_tasks_of_underserved_classes(&mut self) {
        let inputs = &self.assigner.inputs;
        for (id, tasks) in
            jobs_of_underserved_classes(inputs.ctx, inputs.cluster, &self.waiting.by_team)
        {
            let mut remaining = tasks;
            while remaining > 0 && self.assigner.assign(id, 1) {
                remaining -= 1;
            }
            for team in 0..self.waiting.by_team.len() {
                self.remove_if_none_pending(team, id);
            }
            if remaining > 0 {
                self.snapshot.expedited_jobs.push(id);
            }
        }
    }

    /// Assigns tasks by fair share (ASTRAEA, algorithm 1): repeatedly selects the first job of a
    /// team by `JobOrder::select_next` and assigns its tasks to one machine. A job whose tasks
    /// cannot be assigned is removed from the order.
    fn assign_by_fair_share(&mut self) {
        loop {
            let head =
                self.assigner.order().select_next(self.waiting.team_heads(), &self.assigner.used);
            let Some(TeamHead { team, job }) = head else { break };
            if self.assigner.assign(job, u32::MAX) {
                self.remove_if_none_pending(team, job);
                continue;
            }
            self.waiting.remove(team, job);
            self.blocked.push(job);
            if self.assigner.is_blocked_by_limit(job) {
                self.waiting.by_team[team].clear();
            }
        }
    }

    /// Assigns one task of each starved job that is blocked. The capacity reserved for services is
    /// released for these tasks, so that a reservation delays a job only for a bounded time.
    fn assign_tasks_of_starved_jobs(&mut self) {
        let inputs = &mut self.assigner.inputs;
        let starved = update_starved_jobs(inputs.ctx, inputs.cluster);
        if !self.blocked.iter().any(|id| starved.contains(id)) {
            return;
        }
        let reserved = std::mem::take(&mut self.snapshot.reserved_capacity);
        reserved.release_all(&mut self.assigner.free);
        for id in starved.iter().filter(|id| self.blocked.contains(id)) {
            self.assigner.assign(*id, 1);
        }
        self.reserve_capacity();
    }
}
