//! Backfill of a machine whose heartbeat is being answered.
//!
//! Tasks of the jobs that waited in the last cycle are assigned to its free capacity, so that the
//! response to the heartbeat carries the starts. Tasks assigned by the next cycle would only start
//! with the response to the next heartbeat, and the capacity would be idle until then.

use super::assignment::{Assigner, SchedulerInputs};
use super::capacity::FreeCapacity;
use super::cycle::CycleSnapshot;
use super::fair_share_order::TeamHead;
use super::Scheduler;
use crate::model::{JobId, MachineId};

impl Scheduler {
    /// Assigns tasks of the jobs that waited in the last cycle to one machine.
    pub(in crate::leader) fn backfill(&mut self, inputs: SchedulerInputs, machine: &MachineId) {
        let ctx = inputs.ctx;
        let capacity = inputs
            .cluster
            .machines
            .get(machine)
            .and_then(|machine| FreeCapacity::of_machine(ctx, machine))
            .filter(|_| ctx.holds_valid_lease && ctx.job_cache_is_fresh);
        let Some(capacity) = capacity else { return };
        let Some(mut snapshot) = self.last_cycle.take() else { return };
        self.visit_count += 1;
        let used = std::mem::take(&mut snapshot.used);
        let used_by_services = std::mem::take(&mut snapshot.used_by_services);
        let free = vec![capacity];
        let assigner = Assigner { scheduler: self, inputs, free, used, used_by_services };
        let mut backfill = Backfill { assigner };
        backfill.run(&mut snapshot, machine);
        let Assigner { used, used_by_services, .. } = backfill.assigner;
        (snapshot.used, snapshot.used_by_services) = (used, used_by_services);
        self.last_cycle = Some(snapshot);
    }
}

/// A backfill in progress.
struct Backfill<'a> {
    /// Assigner with one machine, or with none once the machine is full.
    assigner: Assigner<'a>,
}

impl Backfill<'_> {
    /// Assigns tasks to `machine`: of high-priority services, of expedited jobs, of jobs for which
    /// tasks were preempted, and of all other jobs by fair share. A reserved machine only gets
    /// tasks of the first two.
    fn run(&mut self, snapshot: &mut CycleSnapshot, machine: &MachineId) {
        for id in &snapshot.high_priority_services {
            self.assign(*id, u32::MAX);
        }
        if let Some(capacity) = self.assigner.free.first_mut() {
            snapshot
                .reserved_capacity
                .deduct_reserved(self.assigner.inputs.ctx.machine_types, capacity);
        }
        self.assigner.free.retain(FreeCapacity::has_room);
        for id in &snapshot.expedited_jobs {
            self.assign(*id, 1);
        }
        if snapshot.reserved_machine.as_ref() == Some(machine) {
            return;
        }
        let preempting_jobs: Vec<JobId> =
            self.assigner.scheduler.precedence_until.keys().copied().collect();
        for id in preempting_jobs {
            self.assign(id, u32::MAX);
        }
        self.assign_by_fair_share(&snapshot.waiting);
    }

    /// Assigns up to `max_tasks` tasks of a job of the last cycle if they may still be started.
    fn assign(&mut self, id: JobId, max_tasks: u32) {
        if self.may_start(id) {
            self.assigner.assign(id, max_tasks);
        }
    }

    /// Returns whether tasks of a job of the last cycle may still be started.
    fn may_start(&self, id: JobId) -> bool {
        let inputs = &self.assigner.inputs;
        let job = inputs.cluster.jobs.get(&id);
        job.is_some_and(|job| {
            job.pending_tasks() > 0 && job.health.back_off_until() <= inputs.ctx.now
        }) && !inputs.unknown_jobs.contains(&id)
    }

    /// Assigns tasks to the remaining capacity by fair share. The number of jobs that are tried is
    /// bounded, since backfill runs on every heartbeat.
    fn assign_by_fair_share(&mut self, waiting: &[Vec<JobId>]) {
        let mut positions = vec![0; waiting.len()];
        for _ in 0..self.assigner.inputs.ctx.cfg.policy.placement_sample_size {
            if self.assigner.free.is_empty() {
                break;
            }
            self.skip_unstartable(waiting, &mut positions);
            let teams = waiting.iter().zip(&positions).enumerate();
            let heads = teams.filter_map(|(team, (jobs, position))| {
                jobs.get(*position).map(|job| TeamHead { team, job: *job })
            });
            let Some(head) = self.assigner.order().select_next(heads, &self.assigner.used) else {
                break;
            };
            if self.assigner.assign(head.job, u32::MAX) {
                continue;
            }
            positions[head.team] += 1;
            if self.assigner.is_blocked_by_limit(head.job) {
                positions[head.team] = usize::MAX;
            }
        }
    }

    /// Moves the position of each team to its next job that may still be started.
    fn skip_unstartable(&self, waiting: &[Vec<JobId>], positions: &mut [usize]) {
        for (team, jobs) in waiting.iter().enumerate() {
            while jobs.get(positions[team]).is_some_and(|id| !self.may_start(*id)) {
                positions[team] += 1;
            }
        }
    }
}
