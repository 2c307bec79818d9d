//! Reconciliation of jobs with the task states that machines report.

use crate::events::JobEvent;
use crate::jobs::{JobState, TaskPlacement};
use crate::leader::cluster::Cluster;
use crate::leader::scheduler::services::another_replica_runs;
use crate::leader::{Context, Leader};
use crate::machines::{Machine, TaskChange, TaskExit};
use crate::model::{Attempt, ExitReason, JobId, MachineId, Ms, TaskId};
use crate::store::calls::Calls;
use std::collections::BTreeSet;

/// Milliseconds for which no task is placed on a machine after its worker refused a start for lack
/// of free resources.
const NO_ROOM_BACK_OFF_MS: Ms = 2000;
/// Back-off of a job, in milliseconds, after a worker refused a start because it does not know the
/// job.
const UNKNOWN_JOB_BACK_OFF_MS: Ms = 2000;

/// Updates that one reconciled change requires in the other components of the leader.
#[derive(Debug, Default, PartialEq)]
pub struct RequiredUpdates {
    /// Whether a scheduling cycle is due, since capacity was freed or tasks are pending.
    pub is_scheduling_due: bool,
    /// Whether more resources may be in use than the last scheduling cycle counted.
    pub usage_may_have_grown: bool,
    /// Job whose record has to be read.
    pub unknown_job: Option<JobId>,
    /// Job with a completion that has to be written.
    pub job_with_completion: Option<JobId>,
    /// Job whose tasks are all done.
    pub complete_job: Option<JobId>,
    /// Event to log.
    pub event: Option<JobEvent>,
}

impl Leader {
    /// Reconciles the jobs with the changes on a machine and logs the events.
    pub(in crate::leader) fn reconcile_all(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        machine: &MachineId,
        changes: Vec<TaskChange>,
    ) {
        for change in changes {
            if let Some(event) = self.reconcile(ctx, machine, change) {
                calls.log(event);
            }
        }
    }

    /// Reconciles a job with one change on a machine; returns the event to log.
    pub(in crate::leader) fn reconcile(
        &mut self,
        ctx: &Context,
        machine: &MachineId,
        change: TaskChange,
    ) -> Option<JobEvent> {
        let updates = match change {
            TaskChange::Gone { task, attempt } => {
                self.cluster.reconcile_gone(machine, task, attempt)
            }
            TaskChange::Present { task, attempt } => {
                self.cluster.reconcile_present(ctx, machine, task, attempt)
            }
            TaskChange::Exited(exit) => self.cluster.reconcile_exited(ctx, machine, exit),
        };
        self.scheduler.cycle_due |= updates.is_scheduling_due;
        if updates.usage_may_have_grown {
            self.scheduler.last_cycle = None;
        }
        if let Some(job) = updates.unknown_job {
            self.failover.request_job_record(ctx.cfg, job);
        }
        self.writer.unwritten_jobs.extend(updates.job_with_completion);
        self.writer.complete_jobs.extend(updates.complete_job);
        updates.event
    }
}

impl Cluster {
    /// Records that an attempt is certainly not on the machine. Its task becomes pending again if
    /// this attempt was its placement.
    fn reconcile_gone(
        &mut self,
        machine: &MachineId,
        task: TaskId,
        attempt: Attempt,
    ) -> RequiredUpdates {
        let job = self.jobs.get_mut(&task.job);
        let was_placed_here =
            job.is_some_and(|job| job.end_placement(task.index, machine, attempt));
        RequiredUpdates { is_scheduling_due: was_placed_here, ..RequiredUpdates::default() }
    }

    /// Records that an attempt is on the machine, and stops it if it should not run there.
    fn reconcile_present(
        &mut self,
        ctx: &Context,
        machine: &MachineId,
        task: TaskId,
        attempt: Attempt,
    ) -> RequiredUpdates {
        let mut updates =
            RequiredUpdates { usage_may_have_grown: true, ..RequiredUpdates::default() };
        let demand = self.task_demand(task.job);
        let machine_state = self.machines.get_mut(machine);
        let Some(slot) = machine_state.and_then(|state| state.slots.get_mut(&(task, attempt)))
        else {
            return updates;
        };
        slot.demand = demand;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            match ctx.job_cache.outcome(task.job) {
                Some(_) => slot.stop_grace_s = Some(0.0),
                None => updates.unknown_job = Some(task.job),
            }
            return updates;
        };
        job.has_started = true;
        let placement = TaskPlacement { machine: machine.clone(), attempt };
        let is_placed_elsewhere =
            job.placed.get(&task.index).is_some_and(|placed| *placed != placement);
        if job.outcome.is_some() || job.done.contains(task.index) || is_placed_elsewhere {
            // Only this attempt is stopped; one on another machine keeps running.
            slot.stop_at_once();
        } else {
            job.placed.insert(task.index, placement);
        }
        updates
    }

    /// Records the exit of an attempt in its job and in the machine's health.
    fn reconcile_exited(
        &mut self,
        ctx: &Context,
        machine_id: &MachineId,
        exit: TaskExit,
    ) -> RequiredUpdates {
        let TaskExit { task, attempt, reason, ran_ms } = exit;
        let mut updates = RequiredUpdates { is_scheduling_due: true, ..RequiredUpdates::default() };
        let another_replica_is_running = another_replica_runs(ctx, self, task);
        let demand = self.task_demand(task.job);
        let Some(machine) = self.machines.get_mut(machine_id) else { return updates };
        if let Some(slot) = machine.slots.get_mut(&(task, attempt)) {
            slot.demand = demand;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            updates.unknown_job = Some(task.job);
            return updates;
        };
        let is_service = job.spec.is_service();
        let ran_for_a_lease = ran_ms.is_some_and(|ran| ran >= ctx.cfg.worker_lease_ms);
        let mut earlier_failure_machines = BTreeSet::new();
        if reason == ExitReason::Done && !is_service {
            updates.job_with_completion = job.mark_done(task.index).then_some(task.job);
            updates.complete_job = job.is_complete().then_some(task.job);
            earlier_failure_machines = job.health.record_success(machine_id);
            machine.health.record_success();
        }
        if is_service && (ran_for_a_lease || another_replica_is_running) {
            // An exit after a run of at least one worker lease, or while another replica runs,
            // clears the earlier failures of the service, so that such exits do not add up to a
            // crash loop.
            earlier_failure_machines = job.health.record_success(machine_id);
        }
        let was_placed_here = job.end_placement(task.index, machine_id, attempt);
        if !was_placed_here || job.outcome.is_some() {
            return updates;
        }
        match reason {
            // A replica that exits within one worker lease counts as failed even without an error.
            // It would otherwise restart in an endless loop without a back-off.
            ExitReason::Done if !is_service || ran_for_a_lease => {}
            ExitReason::Error | ExitReason::Done => {
                updates.event = record_failure(ctx, job, machine, exit);
                return updates;
            }
            ExitReason::NoRoom => machine.no_room_until = ctx.now + NO_ROOM_BACK_OFF_MS,
            ExitReason::Unknown => job.health.extend_back_off(ctx.now + UNKNOWN_JOB_BACK_OFF_MS),
            ExitReason::Stopped | ExitReason::Busy => {}
        }
        self.record_machine_failures(ctx.now, machine_id, task.job, earlier_failure_machines);
        updates
    }

    /// Records a failure in the health of the machines on which a job failed before it succeeded on
    /// another machine, since the job was not the cause.
    fn record_machine_failures(
        &mut self,
        now: Ms,
        succeeded_on: &MachineId,
        job: JobId,
        earlier_failure_machines: BTreeSet<MachineId>,
    ) {
        for other in earlier_failure_machines.iter().filter(|other| *other != succeeded_on) {
            if let Some(machine) = self.machines.get_mut(other) {
                machine.health.record_failure(job, now);
            }
        }
    }
}

/// Records a failure in the job, and in the machine's health if the job has ever succeeded on any
/// machine.
///
/// Returns an event only for the first failure of the job on the machine since the job's last
/// success. An array could otherwise log thousands of lines, one for each task.
fn record_failure(
    ctx: &Context,
    job: &mut JobState,
    machine: &mut Machine,
    exit: TaskExit,
) -> Option<JobEvent> {
    let is_first = job.health.record_failure(&machine.id, ctx.now, ctx.cfg.worker_lease_ms);
    if job.health.has_succeeded() {
        machine.health.record_failure(job.id, ctx.now);
    }
    is_first.then(|| JobEvent::TaskFailed {
        task: exit.task,
        machine: machine.id.clone(),
        crash_looping: job.health.is_crash_looping(),
        ran_ms: exit.ran_ms.unwrap_or(0),
    })
}
