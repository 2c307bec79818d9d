//! Processing of workers' heartbeats by the leader, and the commands in its answers (PROTOCOL,
//! `POST /checkin`).
//!
//! An answer that renews a worker lease requires a permit from [`crate::lease_renewal`]. This
//! module refuses the renewal for further reasons that depend on the leader's state.

use crate::answer::Answer;
use crate::events::MachineEvent;
use crate::jobs::JobCache;
use crate::leader::cluster::Cluster;
use crate::leader::scheduler::capacity::{machine_type, type_index};
use crate::leader::{Context, Leader};
use crate::lease_renewal::{RenewalPermit, RenewalRefusal};
use crate::machines::{Decommission, Machine, TaskPhase, TaskSlot};
use crate::model::{Attempt, ExitReason, Heartbeat, MachineId, Ms, TaskCommand, TaskId, TaskState};
use crate::store::calls::Calls;
use rand::rngs::SmallRng;

/// Heartbeat intervals after which a stop with a grace period is sent again.
const STOP_REPEAT_INTERVALS: Ms = 3;

impl Leader {
    /// Applies and answers a heartbeat received while this controller holds a valid leader lease.
    ///
    /// `permit` is the result of [`crate::lease_renewal::RenewalConditions::permit`] for the
    /// heartbeat. A heartbeat without a permit, because of an unknown job or too many stops, is
    /// applied like any other, since the states that it reports do not depend on the permit.
    ///
    /// # Errors
    ///
    /// Returns the reason why the worker lease is not renewed.
    pub fn answer_heartbeat(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        heartbeat: &Heartbeat,
        permit: Result<RenewalPermit, RenewalRefusal>,
        rng: &mut SmallRng,
    ) -> Result<Answer, RenewalRefusal> {
        if heartbeat.token > self.token {
            // The worker would ignore the answer, since it has seen a higher token than this
            // leader's.
            return Err(RenewalRefusal::HigherToken);
        }
        if !self.is_loaded() {
            let (answers, permit) = (&mut self.failover.loading_answers, permit?);
            return answers.answer(ctx.now, self.token, ctx.cfg.max_machines, heartbeat, permit);
        }
        if self.autoscaler.terminated.contains(&heartbeat.machine) {
            return Err(RenewalRefusal::MachineTerminated);
        }
        let machine = self.cluster.machines.get_mut(&heartbeat.machine);
        if heartbeat.token < self.token
            && !machine.as_ref().is_some_and(|m| m.provisioned_by_this_leader)
        {
            let permit = permit?;
            if machine.is_some_and(|m| !m.try_record_answer_without_token(ctx.now)) {
                return Err(RenewalRefusal::TokenNotAdopted);
            }
            // The heartbeat may be a delayed copy, so its content is not applied. The answer
            // renews the lease like any other. It carries this leader's token, which the agent
            // adopts for its next heartbeat.
            return Ok(permit.answer(self.token, Vec::new()));
        }
        self.adopt_machine(ctx, calls, heartbeat);
        self.apply_heartbeat(ctx, calls, heartbeat)?;
        let permit = permit?;
        if self.scheduler.cycle_due && ctx.job_cache_is_fresh {
            self.schedule(ctx, calls, rng);
        }
        self.backfill(ctx, &heartbeat.machine, rng);
        let limit = permit.command_limit();
        let commands = self.cluster.prepare_commands(ctx, &heartbeat.machine, limit);
        Ok(permit.answer(self.token, commands))
    }

    /// Adds the machine of a heartbeat to the cluster and the machine registry, unless they already
    /// contain it. An unknown machine was provisioned by a delayed request or an earlier leader.
    ///
    /// No task is started on a machine before the stored machine registry lists it as in use, so an
    /// unknown machine runs none.
    fn adopt_machine(&mut self, ctx: &Context, calls: &mut Calls, heartbeat: &Heartbeat) {
        if !self.cluster.machines.contains_key(&heartbeat.machine) {
            let id = heartbeat.machine.clone();
            let machine =
                Machine::new(id, &heartbeat.machine_type, &heartbeat.zone, heartbeat.spot, ctx.now);
            self.cluster.machines.insert(heartbeat.machine.clone(), machine);
            calls.log(MachineEvent::Adopted { machine: heartbeat.machine.clone() });
        }
        self.add_to_registry(ctx, &heartbeat.machine);
    }

    /// Applies a heartbeat to its machine and the jobs of its tasks, unless it is stale.
    fn apply_heartbeat(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        heartbeat: &Heartbeat,
    ) -> Result<(), RenewalRefusal> {
        let id = &heartbeat.machine;
        let machine = self.cluster.machines.get_mut(id).filter(|m| m.is_newer(heartbeat));
        let Some(machine) = machine else { return Err(RenewalRefusal::StaleHeartbeat) };
        let is_first = machine.last_heartbeat_at.is_none();
        let was_reachable =
            machine.reconciled && !machine.lease_expired && machine.receives_answers;
        let changes = machine.apply_heartbeat(ctx.now, heartbeat, ctx.cfg.worker_lease_ms);
        if is_first {
            self.record_machine_up(ctx, calls, id);
        }
        self.apply_reclaim_notice(ctx, calls, id);
        self.reconcile_all(ctx, calls, id, changes);
        self.set_registered_free(id, false);
        self.cluster.record_images(ctx.machine_types, id);
        // A cycle is due if the machine was not reachable before, since it may now accept tasks, or
        // if it has free CPUs and the last cycle left jobs blocked.
        let machine = &self.cluster.machines[id];
        let has_room = type_index(ctx.machine_types, &machine.machine_type)
            .is_some_and(|index| machine.used().cpus < ctx.machine_types[index].cpus);
        self.scheduler.cycle_due |= !was_reachable || (has_room && self.scheduler.has_blocked_jobs);
        Ok(())
    }

    /// Logs that a machine has come up, and records its provisioning time if the time of the
    /// request is known.
    fn record_machine_up(&mut self, ctx: &Context, calls: &mut Calls, id: &MachineId) {
        self.scheduler.cycle_due = true;
        let Some(machine) = self.cluster.machines.get(id) else { return };
        calls.log(MachineEvent::Up {
            machine: machine.id.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            age_ms: ctx.now - machine.known_since,
        });
        let machine_type = machine_type(ctx.machine_types, &machine.machine_type);
        if let (Some(at), Some(machine_type)) = (machine.requested_at, machine_type) {
            let provisioning_ms = ctx.now - at;
            let times = &mut self.autoscaler.provisioning_times;
            times.record_arrival(machine_type, &machine.zone, ctx.now, provisioning_ms);
        }
    }

    /// Drains a machine with a reclaim notice, unless it is draining or terminating already.
    fn apply_reclaim_notice(&mut self, ctx: &Context, calls: &mut Calls, id: &MachineId) {
        let Some(machine) = self.cluster.machines.get_mut(id) else { return };
        if machine.has_reclaim_notice(ctx.now) && machine.decommission == Decommission::None {
            machine.decommission = Decommission::Draining;
            calls.log(MachineEvent::ReclaimNotice { machine: id.clone() });
            self.scheduler.cycle_due |= self.cluster.drain(ctx.now, id);
        }
    }
}

impl Cluster {
    /// Returns at most `limit` commands for a machine, and marks the starts and stops in them as
    /// sent.
    fn prepare_commands(
        &mut self,
        ctx: &Context,
        id: &MachineId,
        limit: usize,
    ) -> Vec<TaskCommand> {
        let mut commands = Vec::new();
        let Some(machine) = self.machines.get_mut(id) else { return commands };
        let repeat_ms = ctx.cfg.heartbeat_interval_ms * STOP_REPEAT_INTERVALS;
        for (&(task, attempt), slot) in machine.slots.iter_mut() {
            if commands.len() >= limit {
                break;
            }
            match slot.phase {
                TaskPhase::Confirmed(TaskState::Exited(reason)) => {
                    let may_forget = match self.jobs.get(&task.job) {
                        Some(job) => {
                            // Of all exits, only the completion of an array task is stored. The
                            // worker reports it until it is durable.
                            job.outcome.is_some()
                                || reason != ExitReason::Done
                                || job.spec.is_service()
                                || job.durable.contains(task.index)
                        }
                        None => has_cached_outcome(ctx.job_cache, task),
                    };
                    if may_forget {
                        commands.push(TaskCommand::Forget { task, attempt });
                    }
                }
                TaskPhase::Assigned if !ctx.job_cache_is_fresh => {}
                TaskPhase::Assigned => {
                    slot.phase = TaskPhase::Sent;
                    commands.push(TaskCommand::Start { task, attempt });
                }
                _ => commands.extend(stop_command(ctx.now, repeat_ms, task, attempt, slot)),
            }
        }
        commands
    }
}

/// Returns whether the job cache holds the outcome of the task's job.
fn has_cached_outcome(job_cache: &JobCache, task: TaskId) -> bool {
    job_cache.outcome(task.job).is_some()
}

/// Returns the stop command for a task that has to stop, if the command is due.
///
/// A stop without a grace period is repeated in every answer that has room for it. An agent that
/// does not receive the answer receives neither the stop nor the lease renewal, so the task ends in
/// either case. A stop with a grace period is repeated only after `repeat_ms`, so that it does not
/// interrupt a save.
fn stop_command(
    now: Ms,
    repeat_ms: Ms,
    task: TaskId,
    attempt: Attempt,
    slot: &mut TaskSlot,
) -> Option<TaskCommand> {
    let grace_s = slot.stop_grace_s?;
    if grace_s > 0.0 && slot.stop_sent_at.is_some_and(|at| now < at + repeat_ms) {
        return None;
    }
    slot.stop_sent_at = Some(now);
    Some(TaskCommand::Stop { task, attempt, grace_s })
}
