//! Answers to workers' reports, step by step. Whether one may renew a lease is decided in
//! [`crate::lease_renewal`]; here is what the leader does with the report, and its own orders.

use crate::answer::Answer;
use crate::leader::scheduler::capacity::type_index;
use crate::leader::*;
use crate::lease_renewal::{Permit, Refusal};

impl Leader {
    /// Takes a report that came while this controller is entitled, and answers it. `permit` is what
    /// [`crate::lease_renewal::Knowledge::permit`] said of it. A report that is refused because
    /// of a job that is not known yet is taken all the same: what it says is true.
    ///
    /// # Errors
    ///
    /// Why the lease is not renewed.
    pub fn heartbeat(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        heartbeat: &Heartbeat,
        permit: Result<Permit, Refusal>,
        rng: &mut SmallRng,
    ) -> Result<Answer, Refusal> {
        if heartbeat.token > self.token {
            // It would drop the answer.
            return Err(Refusal::HigherToken);
        }
        if !self.loaded() {
            return self.answer_while_loading(ctx, heartbeat, permit?);
        }
        if self.autoscaler.returned.contains(&heartbeat.machine) {
            return Err(Refusal::MachineReturned);
        }
        let ours = self
            .cluster
            .machines
            .get(&heartbeat.machine)
            .is_some_and(|m| m.provisioned_by_this_leader);
        if heartbeat.token < self.token && !ours {
            return self.answer_without_token(ctx, &heartbeat.machine, permit?);
        }
        self.adopt_machine(ctx, calls, heartbeat);
        self.take_report(ctx, calls, heartbeat)?;
        let permit = permit?;
        if self.scheduler.changed && ctx.job_cache_is_fresh {
            self.schedule(ctx, calls, rng);
        }
        self.backfill(ctx, &heartbeat.machine, rng);
        let commands = self.commands(ctx, &heartbeat.machine, permit.room());
        Ok(permit.answer(self.token, commands))
    }

    /// Answers a report of an earlier leadership, or the first of a new machine: it may be a
    /// late copy, so nothing of it is taken. The answer carries the token, and the next report
    /// will; it renews the lease like any other.
    fn answer_without_token(
        &mut self,
        ctx: &Context,
        machine: &MachineId,
        permit: Permit,
    ) -> Result<Answer, Refusal> {
        if let Some(m) = self.cluster.machines.get_mut(machine) {
            if !m.answer_without_token(ctx.now) {
                return Err(Refusal::NoReportWithToken);
            }
        }
        Ok(permit.answer(self.token, Vec::new()))
    }

    /// Takes up a machine that nobody expected: a rental that was carried out late, or one
    /// that an earlier leader asked for. Nothing starts there before it is on the machine registry, and
    /// nothing can have been.
    fn adopt_machine(&mut self, ctx: &Context, calls: &mut Calls, heartbeat: &Heartbeat) {
        if !self.cluster.machines.contains_key(&heartbeat.machine) {
            let id = heartbeat.machine.clone();
            let m =
                Machine::new(id, &heartbeat.machine_type, &heartbeat.zone, heartbeat.spot, ctx.now);
            self.cluster.machines.insert(heartbeat.machine.clone(), m);
            calls.log(MachineEvent::Adopted { machine: heartbeat.machine.clone() });
        }
        self.add_to_registry(ctx, &heartbeat.machine);
    }

    /// Takes what a newer report says into the account of its machine and of its tasks.
    fn take_report(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        heartbeat: &Heartbeat,
    ) -> Result<(), Refusal> {
        let id = &heartbeat.machine;
        let Some(m) = self.cluster.machines.get_mut(id).filter(|m| m.is_newer(heartbeat)) else {
            return Err(Refusal::LateReport);
        };
        let first = m.last_heartbeat.is_none();
        let usable = m.reconciled && !m.lease_expired && m.receives_answers;
        let changes = m.apply_heartbeat(ctx.now, heartbeat, ctx.cfg.lease_ms);
        if first {
            self.note_machine_up(ctx, calls, id);
        }
        self.note_notice(ctx, calls, id);
        self.apply(ctx, calls, id, changes);
        self.note_free(id, false);
        self.note_images(ctx, id);
        // A machine that was not reconciled for, or late, has become one to place on, and
        // its room may be what a waiting job lacks.
        let m = &self.cluster.machines[id];
        let room = type_index(ctx.types, &m.machine_type)
            .is_some_and(|i| m.used().cpus < ctx.types[i].cpus);
        self.scheduler.changed |= !usable || (room && self.scheduler.short_of_capacity);
        Ok(())
    }

    /// The first report of a machine that this leadership takes.
    fn note_machine_up(&mut self, ctx: &Context, calls: &mut Calls, id: &MachineId) {
        self.scheduler.changed = true;
        let Some(m) = self.cluster.machines.get(id) else { return };
        calls.log(MachineEvent::Up {
            machine: m.id.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            age_ms: ctx.now - m.known_since,
        });
        let machine_type = ctx.types.iter().find(|t| t.name == m.machine_type);
        if let (Some(at), Some(machine_type)) = (m.requested_at, machine_type) {
            self.autoscaler.provisioning_times.note_arrival(
                machine_type,
                &m.zone,
                ctx.now,
                ctx.now - at,
            );
        }
    }

    /// A machine that the cloud is about to take back is emptied.
    fn note_notice(&mut self, ctx: &Context, calls: &mut Calls, id: &MachineId) {
        let Some(m) = self.cluster.machines.get_mut(id) else { return };
        if m.has_reclaim_notice(ctx.now) && m.decommission == Decommission::No {
            m.decommission = Decommission::Draining;
            calls.log(MachineEvent::ReclaimNotice { machine: id.clone() });
            self.drain(ctx.now, id);
        }
    }

    /// What the machine is to do, in at most so many orders.
    fn commands(&mut self, ctx: &Context, machine: &MachineId, most: usize) -> Vec<TaskCommand> {
        let mut commands = Vec::new();
        let Some(m) = self.cluster.machines.get_mut(machine) else { return commands };
        let repeat = ctx.cfg.heartbeat_interval_ms * 3;
        for ((task, attempt), e) in m.slots.iter_mut() {
            if commands.len() >= most {
                break;
            }
            let (task, attempt) = (*task, *attempt);
            match e.phase {
                TaskPhase::Confirmed(TaskState::Exited(why)) => {
                    let durable = match self.cluster.jobs.get(&task.job) {
                        Some(j) => {
                            // That a replica is done is nowhere kept.
                            j.ended.is_some()
                                || why != ExitReason::Done
                                || j.spec.is_service()
                                || j.durable.get(task.index)
                        }
                        None => ctx.job_cache.outcome(task.job).is_some(),
                    };
                    if durable {
                        commands.push(TaskCommand::Forget { task, attempt });
                    }
                }
                TaskPhase::Assigned if !ctx.job_cache_is_fresh => {}
                TaskPhase::Assigned => {
                    e.phase = TaskPhase::Sent;
                    commands.push(TaskCommand::Start { task, attempt });
                }
                _ => {
                    let Some(grace_s) = e.stop_grace_s else { continue };
                    // With every answer that renews the lease: what does not hear the stop
                    // is not renewed either, so it ends by one of the two.
                    if grace_s <= 0.0 || e.stop_sent_at.is_none_or(|t| ctx.now >= t + repeat) {
                        // A second stop with some grace left does not cut a save short.
                        e.stop_sent_at = Some(ctx.now);
                        commands.push(TaskCommand::Stop { task, attempt, grace_s });
                    }
                }
            }
        }
        commands
    }
}
