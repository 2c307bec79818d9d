//! Reconciliation of jobs with what machines report of their tasks.

use crate::events::JobEvent;
use crate::jobs::JobState;
use crate::leader::cluster::Cluster;
use crate::leader::scheduler::services::another_replica_runs;
use crate::leader::{Context, Leader};
use crate::machines::{Machine, TaskChange, TaskExit};
use crate::model::{Attempt, ExitReason, JobId, MachineId, Ms, TaskId};
use crate::store::calls::Calls;
use std::collections::BTreeSet;

/// Milliseconds for which nothing is placed on a machine whose agent had no room for a task.
const NO_ROOM_BACK_OFF_MS: Ms = 2000;
/// Milliseconds for which a job backs off after an attempt of which the agent knows nothing.
const UNKNOWN_EXIT_BACK_OFF_MS: Ms = 2000;

/// What reconciling one change asks of the other parts of the leader.
#[derive(Debug, Default, PartialEq)]
pub struct Reconciled {
    /// Capacity came free, or work waits: a scheduling cycle is due.
    pub scheduling_due: bool,
    /// More may be in use than the last scheduling cycle counted.
    pub usage_may_have_grown: bool,
    /// A job whose record has to be read.
    pub unknown_job: Option<JobId>,
    /// A job with a completion that is to be written.
    pub job_with_completion: Option<JobId>,
    /// A job whose tasks are all done.
    pub complete_job: Option<JobId>,
    /// What is logged.
    pub event: Option<JobEvent>,
}

impl Leader {
    /// Reconciles the jobs with several changes on a machine.
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

    /// Reconciles a job with one change on a machine; returns what is to be logged.
    pub(in crate::leader) fn reconcile(
        &mut self,
        ctx: &Context,
        machine: &MachineId,
        change: TaskChange,
    ) -> Option<JobEvent> {
        let reconciled = match change {
            TaskChange::Gone { task, attempt } => self.cluster.task_gone(machine, task, attempt),
            TaskChange::Present { task, attempt } => {
                self.cluster.task_present(ctx, machine, task, attempt)
            }
            TaskChange::Exited(exit) => self.cluster.task_exited(ctx, machine, exit),
        };
        self.scheduler.changed |= reconciled.scheduling_due;
        if reconciled.usage_may_have_grown {
            self.scheduler.last_cycle = None;
        }
        if let Some(job) = reconciled.unknown_job {
            self.failover.read_job(ctx.cfg, job);
        }
        self.writer.unwritten_jobs.extend(reconciled.job_with_completion);
        self.writer.complete_jobs.extend(reconciled.complete_job);
        reconciled.event
    }
}

impl Cluster {
    /// An attempt is certainly not on the machine: its task waits again.
    fn task_gone(&mut self, machine: &MachineId, task: TaskId, attempt: Attempt) -> Reconciled {
        let job = self.jobs.get_mut(&task.job);
        let freed = job.is_some_and(|job| job.end_placement(task.index, machine, attempt));
        Reconciled { scheduling_due: freed, ..Reconciled::default() }
    }

    /// An attempt is on the machine. It is stopped if it is not wanted there.
    fn task_present(
        &mut self,
        ctx: &Context,
        machine: &MachineId,
        task: TaskId,
        attempt: Attempt,
    ) -> Reconciled {
        let mut reconciled = Reconciled { usage_may_have_grown: true, ..Reconciled::default() };
        let demand = self.task_demand(task.job);
        let found = self.machines.get_mut(machine);
        let Some(slot) = found.and_then(|found| found.slots.get_mut(&(task, attempt))) else {
            return reconciled;
        };
        slot.demand = demand;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            match ctx.job_cache.outcome(task.job) {
                Some(_) => slot.stop_grace_s = Some(0.0),
                None => reconciled.unknown_job = Some(task.job),
            }
            return reconciled;
        };
        job.started = true;
        let place = (machine.clone(), attempt);
        let elsewhere = job.placed.get(&task.index).is_some_and(|placed| *placed != place);
        if job.ended.is_some() || job.done.contains(task.index) || elsewhere {
            // Not wanted here. An attempt elsewhere is left alone.
            slot.stop_at_once();
        } else {
            job.placed.insert(task.index, place);
        }
        reconciled
    }

    /// An attempt has exited: records its outcome in its job and in the machine's health.
    fn task_exited(&mut self, ctx: &Context, machine_id: &MachineId, exit: TaskExit) -> Reconciled {
        let TaskExit { task, attempt, reason, ran_ms } = exit;
        let mut reconciled = Reconciled { scheduling_due: true, ..Reconciled::default() };
        let runs_elsewhere = another_replica_runs(ctx, self, task);
        let demand = self.task_demand(task.job);
        let Some(machine) = self.machines.get_mut(machine_id) else { return reconciled };
        if let Some(slot) = machine.slots.get_mut(&(task, attempt)) {
            slot.demand = demand;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            reconciled.unknown_job = Some(task.job);
            return reconciled;
        };
        let service = job.spec.is_service();
        let ran_long = ran_ms.is_some_and(|ran| ran >= ctx.cfg.lease_ms);
        let mut failed_before = BTreeSet::new();
        if reason == ExitReason::Done && !service {
            reconciled.job_with_completion = job.mark_done(task.index).then_some(task.job);
            reconciled.complete_job = job.is_complete().then_some(task.job);
            failed_before = job.health.record_success(machine_id);
            machine.health.record_success();
        }
        if service && (ran_long || runs_elsewhere) {
            // What has run for long, here or elsewhere, is not the service's fault.
            failed_before = job.health.record_success(machine_id);
        }
        let was_placed_here = job.end_placement(task.index, machine_id, attempt);
        if !was_placed_here || job.ended.is_some() {
            return reconciled;
        }
        match reason {
            // A replica that is done at once fails, too: it would start without end.
            ExitReason::Done if !service || ran_long => {}
            ExitReason::Error | ExitReason::Done => {
                reconciled.event = record_failure(ctx, job, machine, exit);
                return reconciled;
            }
            ExitReason::NoRoom => machine.no_room_until = ctx.now + NO_ROOM_BACK_OFF_MS,
            ExitReason::Unknown => job.health.extend_back_off(ctx.now + UNKNOWN_EXIT_BACK_OFF_MS),
            ExitReason::Stopped | ExitReason::Busy => {}
        }
        self.blame_machines(ctx.now, machine_id, task.job, failed_before);
        reconciled
    }

    /// A job ended well on one machine: that it failed on others before was not its fault.
    fn blame_machines(
        &mut self,
        now: Ms,
        ended_well_on: &MachineId,
        job: JobId,
        failed_on: BTreeSet<MachineId>,
    ) {
        for other in failed_on.iter().filter(|other| *other != ended_well_on) {
            if let Some(machine) = self.machines.get_mut(other) {
                machine.health.record_failure(job, now);
            }
        }
    }
}

/// Records a failure in the job, and in the machine's health if the job ends well elsewhere.
/// Only the first failure of a job on a machine is logged: a line for each task of an array
/// would be thousands.
fn record_failure(
    ctx: &Context,
    job: &mut JobState,
    machine: &mut Machine,
    exit: TaskExit,
) -> Option<JobEvent> {
    let first = job.health.record_failure(&machine.id, ctx.now, ctx.cfg.lease_ms);
    if job.health.has_succeeded() {
        machine.health.record_failure(job.id, ctx.now);
    }
    first.then(|| JobEvent::TaskFailed {
        task: exit.task,
        machine: machine.id.clone(),
        crash_looping: job.health.is_crash_looping(),
        ran_ms: exit.ran_ms.unwrap_or(0),
    })
}
