//! A scheduling cycle over all machines: which job gets capacity, in which order.

use super::assignment::{Assigner, SchedulerInputs};
use super::capacity::{team_usage, FreeCapacity};
use super::class_shares::underserved_classes;
use super::deadline_feasibility::find_feasible;
use super::fair_share_order::TeamHead;
use super::guarantees::TeamNeed;
use super::reserved_capacity::{reserve_capacity, ReservedCapacity};
use super::services::is_high_priority_service;
use super::starvation::starved_jobs;
use super::waiting::Waiting;
use super::{accounting, Scheduler};
use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::model::{JobId, MachineId, Ms, WallMs};
use crate::resources::Resources;

/// The least time between two cycles, as a part of the heartbeat interval: that many cycles fit
/// into it.
const CYCLES_PER_HEARTBEAT: Ms = 20;
/// Workers' leases that a job waits for its first task before it goes before the order.
const NEVER_STARTED_LEASES: WallMs = 9;

/// What a cycle found, for the machines whose heartbeats come before the next one.
#[derive(Default)]
pub(in crate::leader) struct CycleSnapshot {
    /// Jobs with tasks that wait, by team and in order; those that got capacity since are still
    /// among them.
    pub(super) waiting: Vec<Vec<JobId>>,
    /// What each team may have in use. What has ended since still counts.
    pub(super) used: Vec<Resources>,
    /// Jobs of which one task goes before the order: those that waited long for their first one,
    /// those of underserved classes, and those in a crash loop.
    pub(super) one_task_first: Vec<JobId>,
    /// The machine that is kept for the job that waited longest for its first task.
    pub(super) reserved_machine: Option<MachineId>,
    /// Services that go before the order.
    pub(super) high_priority_services: Vec<JobId>,
    /// The capacity that is reserved for more of them.
    pub(super) reserved_capacity: ReservedCapacity,
}

/// What a cycle did beside assigning tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::leader) struct CycleOutcome {
    /// Tasks that were ordered to stop for others.
    pub(in crate::leader) preempted: usize,
}

impl Scheduler {
    /// Runs a scheduling cycle, unless the last one was just now.
    pub(in crate::leader) fn schedule(&mut self, inputs: SchedulerInputs) -> CycleOutcome {
        let ctx = inputs.ctx;
        if ctx.now < self.next_cycle_at || ctx.types.is_empty() {
            return CycleOutcome::default();
        }
        self.changed = false;
        self.next_cycle_at = ctx.now + ctx.cfg.heartbeat_interval_ms / CYCLES_PER_HEARTBEAT;
        self.fleet_cpus = accounting::accrue_shares(ctx, inputs.cluster, inputs.ledger);
        self.visited +=
            inputs.cluster.machines.values().map(|m| 1 + m.slots.len() as u64).sum::<u64>();
        let mut cycle = Cycle::begin(self, inputs);
        cycle.run();
        cycle.finish()
    }

    /// Notes which teams wait for what they are guaranteed, after a cycle that left these jobs
    /// without capacity.
    fn note_guarantees(&mut self, ctx: &Context, cluster: &Cluster, blocked: &[JobId]) {
        let mut needs = vec![TeamNeed::default(); ctx.cfg.teams.len()];
        let open = |job: &&JobState| job.ended.is_none() && !job.health.is_crash_looping();
        for job in cluster.jobs.values().filter(open) {
            let tasks = job.pending() as f64 + job.placed.len() as f64;
            needs[job.team].unfinished_cpus += tasks * job.spec.cpus;
        }
        for job in blocked.iter().filter_map(|id| cluster.jobs.get(id)) {
            needs[job.team].blocked = true;
        }
        let guaranteed = ctx.cfg.teams.iter().map(|team| team.cpus);
        self.guarantee_waits.note(ctx.now, guaranteed.zip(needs));
    }

    /// When a cycle is due though nothing changes: a back-off ends, or a team has waited too long
    /// for its guarantee.
    fn next_wake(&self, ctx: &Context, cluster: &Cluster) -> Ms {
        let open = || cluster.jobs.values().filter(|job| job.pending() > 0);
        let pauses = open().map(|job| job.health.back_off_until());
        let avoided = open().filter_map(|job| job.health.next_avoidance_end(ctx.now));
        let machines = cluster.machines.values().map(|machine| machine.no_room_until);
        let back_offs = pauses.chain(avoided).chain(machines).filter(|at| *at > ctx.now);
        let guarantee = ctx
            .cfg
            .guarantee_patience_ms()
            .and_then(|patience| self.guarantee_waits.next_overdue(ctx.now, patience));
        back_offs.min().into_iter().chain(guarantee).min().unwrap_or(Ms::MAX)
    }
}

/// A cycle that runs.
struct Cycle<'a> {
    assigner: Assigner<'a>,
    waiting: Waiting,
    /// Jobs that found no capacity.
    blocked: Vec<JobId>,
    snapshot: CycleSnapshot,
}

impl<'a> Cycle<'a> {
    /// Takes account of capacity and use, and orders the waiting jobs.
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
            find_feasible(ctx, inputs.cluster, scheduler.fleet_cpus, &used);
        let mut waiting = Waiting::collect(&inputs);
        let assigner = Assigner { scheduler, inputs, free, used };
        let order = assigner.order();
        for jobs in &mut waiting.by_team {
            order.sort_team(jobs);
        }
        Cycle { assigner, waiting, blocked: Vec::new(), snapshot: CycleSnapshot::default() }
    }

    fn ctx(&self) -> &'a Context<'a> {
        self.assigner.inputs.ctx
    }

    /// Assigns tasks in this order: to jobs for which others were preempted, to high-priority
    /// services, one task each to jobs that would wait without end, then by fair share.
    fn run(&mut self) {
        self.assign_preemptors();
        self.assign_high_priority_services();
        self.reserve_capacity();
        let never_started = self.never_started();
        self.assign_crash_looping();
        self.assign_never_started(never_started);
        self.assign_underserved_classes();
        self.snapshot.one_task_first.append(&mut self.waiting.crash_looping);
        self.snapshot.waiting.clone_from(&self.waiting.by_team);
        self.assign_by_fair_share();
        self.assign_starved();
    }

    /// Keeps what was found for the next heartbeats, and preempts for jobs that are blocked.
    fn finish(self) -> CycleOutcome {
        let Cycle { assigner, blocked, mut snapshot, .. } = self;
        let Assigner { scheduler, inputs, free, used } = assigner;
        let SchedulerInputs { ctx, cluster, .. } = inputs;
        scheduler.short_of_capacity = !blocked.is_empty();
        scheduler.note_guarantees(ctx, cluster, &blocked);
        scheduler.wake_at = scheduler.next_wake(ctx, cluster);
        let preempted = scheduler.preempt(ctx, cluster, &blocked, &used, &free);
        snapshot.used = used;
        scheduler.last_cycle = Some(snapshot);
        CycleOutcome { preempted }
    }

    /// Removes a job none of whose tasks waits any more.
    fn remove_if_complete(&mut self, team: usize, id: JobId) {
        if !self.assigner.has_pending(id) {
            self.waiting.remove(team, id);
        }
    }

    /// The jobs for which others were preempted: were the freed capacity given by degree, those
    /// that were preempted would take it back, and be preempted again.
    fn assign_preemptors(&mut self) {
        let now = self.ctx().now;
        let scheduler = &mut self.assigner.scheduler;
        scheduler.preemption_reservations.retain(|_, until| *until > now);
        let preemptors: Vec<JobId> = scheduler.preemption_reservations.keys().copied().collect();
        for id in preemptors {
            let Some(team) = self.assigner.inputs.cluster.jobs.get(&id).map(|job| job.team) else {
                continue;
            };
            if !self.waiting.by_team[team].contains(&id) {
                continue;
            }
            self.assigner.assign_all(id);
            if !self.assigner.has_pending(id) {
                self.waiting.remove(team, id);
                self.assigner.scheduler.preemption_reservations.remove(&id);
            }
        }
    }

    /// A replica is missed from the first second, an array by its deadline.
    fn assign_high_priority_services(&mut self) {
        let jobs = &self.assigner.inputs.cluster.jobs;
        let high_priority =
            |id: &JobId| jobs.get(id).is_some_and(|job| is_high_priority_service(&job.spec));
        let services: Vec<(usize, JobId)> = self
            .waiting
            .by_team
            .iter()
            .enumerate()
            .flat_map(|(team, jobs)| jobs.iter().map(move |id| (team, *id)))
            .filter(|(_, id)| high_priority(id))
            .collect();
        for (team, id) in &services {
            self.assigner.assign_all(*id);
            self.remove_if_complete(*team, *id);
        }
        self.snapshot.high_priority_services = services.into_iter().map(|(_, id)| id).collect();
    }

    /// Reserves capacity for services that may come.
    fn reserve_capacity(&mut self) {
        let Assigner { scheduler, inputs, free, used } = &mut self.assigner;
        self.snapshot.reserved_capacity =
            reserve_capacity(inputs.ctx, &scheduler.replica_sizes, free, used);
    }

    /// Jobs that waited too long for their first task, the longest first: a large array may come
    /// after others for as long as more is submitted than can be run.
    fn never_started(&self) -> Vec<(usize, JobId)> {
        let SchedulerInputs { ctx, cluster, .. } = &self.assigner.inputs;
        let patience = NEVER_STARTED_LEASES * ctx.cfg.lease_ms as WallMs;
        let mut found: Vec<(WallMs, JobId, usize)> = self
            .waiting
            .by_team
            .iter()
            .flatten()
            .filter_map(|id| cluster.jobs.get(id))
            .filter(|job| !job.started && ctx.wall - job.accepted_at > patience)
            .map(|job| (job.accepted_at, job.id, job.team))
            .collect();
        found.sort();
        found.into_iter().map(|(_, id, team)| (team, id)).collect()
    }

    /// One task of a job in a crash loop costs the others next to nothing, and shows when its
    /// fault is gone.
    fn assign_crash_looping(&mut self) {
        let assigner = &mut self.assigner;
        self.waiting.crash_looping.retain(|id| !assigner.assign(*id, 1));
    }

    fn assign_never_started(&mut self, jobs: Vec<(usize, JobId)>) {
        for (team, id) in jobs {
            if self.assigner.assign(id, 1) {
                self.remove_if_complete(team, id);
                continue;
            }
            if self.assigner.allowed_by_limit(id) == 0 {
                self.waiting.by_team[team].clear();
                continue;
            }
            if self.snapshot.one_task_first.is_empty() {
                // A machine, and what its team may use, is kept for the job that waited longest.
                self.snapshot.reserved_machine = self.assigner.reserve_machine(id);
            }
            self.snapshot.one_task_first.push(id);
        }
    }

    /// Classes that have less than their least share of what their team uses.
    fn assign_underserved_classes(&mut self) {
        let inputs = &self.assigner.inputs;
        for (id, tasks) in underserved_classes(inputs.ctx, inputs.cluster, &self.waiting.by_team) {
            let mut left = tasks;
            while left > 0 && self.assigner.assign(id, 1) {
                left -= 1;
            }
            for team in 0..self.waiting.by_team.len() {
                self.remove_if_complete(team, id);
            }
            if left > 0 {
                self.snapshot.one_task_first.push(id);
            }
        }
    }

    /// What is left goes to the team with the lowest degree that has a fitting job (paper,
    /// algorithm 1).
    fn assign_by_fair_share(&mut self) {
        loop {
            let head = self.assigner.order().next(self.waiting.heads(), &self.assigner.used);
            let Some(TeamHead { team, job }) = head else { break };
            if self.assigner.assign(job, u32::MAX) {
                self.remove_if_complete(team, job);
                continue;
            }
            self.waiting.remove(team, job);
            self.blocked.push(job);
            if self.assigner.blocked_by_limit(job) {
                self.waiting.by_team[team].clear();
            }
        }
    }

    /// Reserved capacity is no reason to leave jobs waiting of which nothing has run for long.
    fn assign_starved(&mut self) {
        let inputs = &mut self.assigner.inputs;
        let starved = starved_jobs(inputs.ctx, inputs.cluster);
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
