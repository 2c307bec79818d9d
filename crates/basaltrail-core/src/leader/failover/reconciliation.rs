//! What workers' reports change in the account of every task.

use crate::leader::scheduler::assignment::task_demand;
use crate::leader::scheduler::services::another_replica_runs;
use crate::leader::*;

impl Leader {
    pub(in crate::leader) fn need(&self, job: JobId) -> Option<TaskDemand> {
        self.cluster.jobs.get(&job).map(task_demand)
    }

    pub(in crate::leader) fn change(
        &mut self,
        ctx: &Context,
        machine: &MachineId,
        change: TaskChange,
    ) -> Option<JobEvent> {
        let now = ctx.now;
        match change {
            TaskChange::Gone { task, attempt } => {
                if let Some(j) = self.cluster.jobs.get_mut(&task.job) {
                    if j.end_placement(task.index, machine, attempt) {
                        self.scheduler.changed = true;
                    }
                }
                None
            }
            TaskChange::Present { task, attempt } => {
                self.scheduler.last_cycle = None;
                let need = self.need(task.job);
                let m = self.cluster.machines.get_mut(machine)?;
                let e = m.slots.get_mut(&(task, attempt))?;
                e.demand = need;
                let Some(j) = self.cluster.jobs.get_mut(&task.job) else {
                    match ctx.job_cache.outcome(task.job) {
                        Some(_) => e.stop_grace_s = Some(0.0),
                        None => self.read_job(ctx, task.job),
                    }
                    return None;
                };
                j.started = true;
                let place = (machine.clone(), attempt);
                let elsewhere = j.placed.get(&task.index).is_some_and(|p| *p != place);
                if j.ended.is_some() || j.done.get(task.index) || elsewhere {
                    // Not wanted here. An attempt elsewhere is left alone.
                    e.stop_grace_s = Some(0.0);
                    e.stop_sent_at = None;
                } else {
                    j.placed.insert(task.index, place);
                }
                None
            }
            TaskChange::Exited { task, attempt, reason: why, ran_ms } => {
                self.scheduler.changed = true;
                let stands = another_replica_runs(ctx, &self.cluster, task);
                let need = self.need(task.job);
                let m = self.cluster.machines.get_mut(machine)?;
                if let Some(e) = m.slots.get_mut(&(task, attempt)) {
                    e.demand = need;
                }
                let Some(j) = self.cluster.jobs.get_mut(&task.job) else {
                    self.read_job(ctx, task.job);
                    return None;
                };
                let mut failed_before = BTreeSet::new();
                let service = j.spec.is_service();
                let lasted = ran_ms.is_some_and(|ran| ran >= ctx.cfg.lease_ms);
                if why == ExitReason::Done && !service {
                    if j.mark_done(task.index) {
                        self.writer.unwritten.insert(task.job);
                    }
                    if j.is_complete() {
                        self.writer.complete.insert(task.job);
                    }
                    failed_before = j.health.record_success(machine);
                    m.health.record_success();
                }
                if service && (lasted || stands) {
                    // What has run for long, here or elsewhere, is not the service's fault.
                    failed_before = j.health.record_success(machine);
                }
                let ours = j.end_placement(task.index, machine, attempt);
                if !ours || j.ended.is_some() {
                    return None;
                }
                match why {
                    // A replica that is done at once fails, too: it would start without end.
                    ExitReason::Done if !service || lasted => {}
                    ExitReason::Error | ExitReason::Done => {
                        let first = j.health.record_failure(machine, now, ctx.cfg.lease_ms);
                        if j.health.has_succeeded() {
                            m.health.record_failure(task.job, now);
                        }
                        // A line for each task of an array would be thousands.
                        return first.then(|| JobEvent::TaskFailed {
                            task,
                            machine: machine.clone(),
                            crash_looping: j.health.is_crash_looping(),
                            ran_ms: ran_ms.unwrap_or(0),
                        });
                    }
                    ExitReason::NoRoom => m.no_room_until = now + 2000,
                    ExitReason::Unknown => j.health.back_off(now + 2000),
                    _ => {}
                }
                // It was not the job.
                for other in failed_before.iter().filter(|o| *o != machine) {
                    if let Some(m) = self.cluster.machines.get_mut(other) {
                        m.health.record_failure(task.job, now);
                    }
                }
                None
            }
        }
    }

    pub(in crate::leader) fn apply(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        machine: &MachineId,
        changes: Vec<TaskChange>,
    ) {
        for c in changes {
            if let Some(event) = self.change(ctx, machine, c) {
                calls.log(event);
            }
        }
    }

    pub(in crate::leader) fn note_images(&mut self, ctx: &Context, machine: &MachineId) {
        let Some(m) = self.cluster.machines.get_mut(machine) else { return };
        let cache = ctx.types.iter().find(|t| t.name == m.machine_type).map_or(0.0, |t| t.cache_gb);
        let running: BTreeSet<JobId> =
            m.slots.iter().filter(|(_, e)| e.holds_resources()).map(|((t, _), _)| t.job).collect();
        for job in running {
            if let Some(j) = self.cluster.jobs.get(&job) {
                m.record_image(&j.spec.image, j.spec.image_gb, cache);
            }
        }
    }

    /// Tasks that can save leave a machine that is about to go, and so do those that
    /// cannot be done by then: what they did is lost, and elsewhere they begin sooner.
    pub(in crate::leader) fn drain(&mut self, now: Ms, machine: &MachineId) {
        let Some(m) = self.cluster.machines.get_mut(machine) else { return };
        let left_s = m.reclaim_at.map_or(0.0, |t| t.saturating_sub(now) as f64 / 1000.0);
        for ((task, _), e) in m.slots.iter_mut().filter(|(_, e)| e.stop_grace_s.is_none()) {
            let Some(need) = e.demand else { continue };
            let ran_s = e.running_since.map_or(0.0, |t| (now - t) as f64 / 1000.0);
            let run_s = self.cluster.jobs.get(&task.job).map_or(0.0, |j| j.spec.estimate_s);
            if self.cluster.jobs.get(&task.job).is_some_and(|j| j.spec.is_service()) {
                // It runs until it is lost: moved now, it is away for a moment.
                e.stop_grace_s = Some(0.0);
                continue;
            }
            e.stop_grace_s = match need.save_s {
                Some(save) => Some(save + 1.0),
                // Estimates are often too high: in doubt it may go on.
                None => (SURELY_RUNS * run_s - ran_s > left_s).then_some(0.0),
            };
        }
        self.withdraw(machine);
    }

    /// Takes back what was assigned and never sent.
    pub(in crate::leader) fn withdraw(&mut self, machine: &MachineId) {
        let Some(m) = self.cluster.machines.get_mut(machine) else { return };
        let unsent: Vec<(TaskId, Attempt)> = m
            .slots
            .iter()
            .filter(|(_, e)| matches!(e.phase, TaskPhase::Assigned))
            .map(|(k, _)| *k)
            .collect();
        for (task, attempt) in unsent {
            m.slots.remove(&(task, attempt));
            if let Some(j) = self.cluster.jobs.get_mut(&task.job) {
                j.end_placement(task.index, machine, attempt);
            }
            self.scheduler.changed = true;
        }
    }
}
