//! Answers to workers' heartbeats, step by step. Whether one may renew a lease is decided in
//! [`crate::lease_renewal`]; here is what the leader does with the heartbeat, and its own commands
//! (PROTOCOL, `POST /checkin`).

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

/// Heartbeat intervals after which a stop with some grace left is sent again.
const STOP_REPEAT_INTERVALS: Ms = 3;

impl Leader {
    /// Takes a heartbeat that came while this controller holds a valid lease, and answers it.
    /// `permit` is what [`crate::lease_renewal::RenewalEvidence::permit`] said of it. A heartbeat that
    /// is refused because of a job that is not known yet is taken all the same: what it says is
    /// true.
    ///
    /// # Errors
    ///
    /// Why the lease is not renewed.
    pub fn heartbeat(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        heartbeat: &Heartbeat,
        permit: Result<RenewalPermit, RenewalRefusal>,
        rng: &mut SmallRng,
    ) -> Result<Answer, RenewalRefusal> {
        if heartbeat.token > self.token {
            // It would drop the answer.
            return Err(RenewalRefusal::HigherToken);
        }
        if !self.loaded() {
            let (answers, permit) = (&mut self.failover.loading_answers, permit?);
            return answers.answer(ctx.now, self.token, ctx.cfg.max_machines, heartbeat, permit);
        }
        if self.autoscaler.terminated.contains(&heartbeat.machine) {
            return Err(RenewalRefusal::MachineReturned);
        }
        let machine = self.cluster.machines.get_mut(&heartbeat.machine);
        if heartbeat.token < self.token
            && !machine.as_ref().is_some_and(|m| m.provisioned_by_this_leader)
        {
            let permit = permit?;
            if machine.is_some_and(|m| !m.answer_without_token(ctx.now)) {
                return Err(RenewalRefusal::TokenNotAdopted);
            }
            // It may be a late copy, so nothing of it is taken. The answer carries the token,
            // and the next heartbeat will; it renews the lease like any other.
            return Ok(permit.answer(self.token, Vec::new()));
        }
        self.adopt_machine(ctx, calls, heartbeat);
        self.apply_heartbeat(ctx, calls, heartbeat)?;
        let permit = permit?;
        if self.scheduler.changed && ctx.job_cache_is_fresh {
            self.schedule(ctx, calls, rng);
        }
        self.backfill(ctx, &heartbeat.machine, rng);
        let limit = permit.command_limit();
        let commands = self.cluster.commands(ctx, &heartbeat.machine, limit);
        Ok(permit.answer(self.token, commands))
    }

    /// Takes up a machine that nobody expected: a provisioning request that was carried out
    /// late, or one of an earlier leader. Nothing starts there before the machine registry lists
    /// it, and nothing can have been started.
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

    /// Takes what a newer heartbeat says into the account of its machine and of its tasks.
    fn apply_heartbeat(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        heartbeat: &Heartbeat,
    ) -> Result<(), RenewalRefusal> {
        let id = &heartbeat.machine;
        let machine = self.cluster.machines.get_mut(id).filter(|m| m.is_newer(heartbeat));
        let Some(machine) = machine else { return Err(RenewalRefusal::StaleHeartbeat) };
        let first = machine.last_heartbeat.is_none();
        let usable = machine.reconciled && !machine.lease_expired && machine.receives_answers;
        let changes = machine.apply_heartbeat(ctx.now, heartbeat, ctx.cfg.lease_ms);
        if first {
            self.record_machine_up(ctx, calls, id);
        }
        self.follow_reclaim_notice(ctx, calls, id);
        self.reconcile_all(ctx, calls, id, changes);
        self.set_registered_free(id, false);
        self.cluster.record_images(ctx.types, id);
        // A machine that was not reconciled, or was silent, has become one to place on, and
        // its room may be what a waiting job lacks.
        let machine = &self.cluster.machines[id];
        let has_room = type_index(ctx.types, &machine.machine_type)
            .is_some_and(|index| machine.used().cpus < ctx.types[index].cpus);
        self.scheduler.changed |= !usable || (has_room && self.scheduler.short_of_capacity);
        Ok(())
    }

    /// The first heartbeat of a machine that this leader takes.
    fn record_machine_up(&mut self, ctx: &Context, calls: &mut Calls, id: &MachineId) {
        self.scheduler.changed = true;
        let Some(machine) = self.cluster.machines.get(id) else { return };
        calls.log(MachineEvent::Up {
            machine: machine.id.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            age_ms: ctx.now - machine.known_since,
        });
        let machine_type = machine_type(ctx.types, &machine.machine_type);
        if let (Some(at), Some(machine_type)) = (machine.requested_at, machine_type) {
            let took_ms = ctx.now - at;
            let times = &mut self.autoscaler.provisioning_times;
            times.note_arrival(machine_type, &machine.zone, ctx.now, took_ms);
        }
    }

    /// A machine that the cloud is about to reclaim is drained.
    fn follow_reclaim_notice(&mut self, ctx: &Context, calls: &mut Calls, id: &MachineId) {
        let Some(machine) = self.cluster.machines.get_mut(id) else { return };
        if machine.has_reclaim_notice(ctx.now) && machine.decommission == Decommission::No {
            machine.decommission = Decommission::Draining;
            calls.log(MachineEvent::ReclaimNotice { machine: id.clone() });
            self.scheduler.changed |= self.cluster.drain(ctx.now, id);
        }
    }
}

impl Cluster {
    /// What the machine is to do, in at most `limit` commands. Starts in them count as sent.
    fn commands(&mut self, ctx: &Context, id: &MachineId, limit: usize) -> Vec<TaskCommand> {
        let mut commands = Vec::new();
        let Some(machine) = self.machines.get_mut(id) else { return commands };
        let repeat_ms = ctx.cfg.heartbeat_interval_ms * STOP_REPEAT_INTERVALS;
        for (&(task, attempt), slot) in machine.slots.iter_mut() {
            if commands.len() >= limit {
                break;
            }
            match slot.phase {
                TaskPhase::Confirmed(TaskState::Exited(reason)) => {
                    let durable = match self.jobs.get(&task.job) {
                        Some(job) => {
                            // That a replica is done is nowhere kept.
                            job.ended.is_some()
                                || reason != ExitReason::Done
                                || job.spec.is_service()
                                || job.durable.contains(task.index)
                        }
                        None => ended(ctx.job_cache, task),
                    };
                    if durable {
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

/// Whether the job of a task has ended.
fn ended(job_cache: &JobCache, task: TaskId) -> bool {
    job_cache.outcome(task.job).is_some()
}

/// The stop of a task that was ordered to stop, if it has to be said now.
///
/// A stop without grace goes with every answer that renews the lease: what does not receive the
/// stop is not renewed either, so it ends by one of the two. A second stop with some grace left
/// does not cut a save short.
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
