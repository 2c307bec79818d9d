//! Workers' reports, the orders that answer them, and the account of every task.

use super::*;

impl Leadership {
    pub(super) fn need(&self, job: JobId) -> Option<Need> {
        let j = self.jobs.get(&job)?;
        Some(Need {
            team: j.team,
            cpus: j.spec.cpus,
            gpus: j.spec.gpus,
            memory_gb: j.spec.memory_gb,
            priority: j.spec.priority,
            save_s: (j.spec.checkpoint_s > 0.0).then_some(j.spec.save_s),
        })
    }

    pub(super) fn change(
        &mut self,
        ctx: &Context,
        machine: &MachineId,
        change: Change,
    ) -> Option<String> {
        let now = ctx.now;
        match change {
            Change::Gone { task, attempt } => {
                if let Some(j) = self.jobs.get_mut(&task.job) {
                    if j.free(task.index, machine, attempt) {
                        self.changed = true;
                    }
                }
                None
            }
            Change::Here { task, attempt } => {
                self.pass = None;
                let need = self.need(task.job);
                let m = self.machines.get_mut(machine)?;
                let e = m.entries.get_mut(&(task, attempt))?;
                e.need = need;
                let Some(j) = self.jobs.get_mut(&task.job) else {
                    match ctx.table.ended(task.job) {
                        Some(_) => e.stop = Some(0.0),
                        None => drop(self.unknown.insert(task.job)),
                    }
                    return None;
                };
                j.started = true;
                let place = (machine.clone(), attempt);
                let elsewhere = j.placed.get(&task.index).is_some_and(|p| *p != place);
                if j.ended.is_some() || j.done.get(task.index) || elsewhere {
                    // Not wanted here. An attempt elsewhere is left alone.
                    e.stop = Some(0.0);
                    e.stop_sent = None;
                } else {
                    j.placed.insert(task.index, place);
                }
                None
            }
            Change::Exited { task, attempt, why, ran_ms } => {
                self.changed = true;
                let stands = self.service_stands(ctx, task);
                let need = self.need(task.job);
                let m = self.machines.get_mut(machine)?;
                if let Some(e) = m.entries.get_mut(&(task, attempt)) {
                    e.need = need;
                }
                let Some(j) = self.jobs.get_mut(&task.job) else {
                    self.unknown.insert(task.job);
                    return None;
                };
                let mut failed_before = BTreeSet::new();
                let service = j.spec.is_service();
                let lasted = ran_ms.is_some_and(|ran| ran >= ctx.cfg.lease_ms);
                if why == Why::Done && !service {
                    if j.mark_done(task.index) {
                        self.unwritten.insert(task.job);
                    }
                    if j.complete() {
                        self.complete.insert(task.job);
                    }
                    failed_before = j.health.ended_well(machine);
                    m.health.ended_well();
                }
                if service && (lasted || stands) {
                    // What has run for long, here or elsewhere, is not the service's fault.
                    failed_before = j.health.ended_well(machine);
                }
                let ours = j.free(task.index, machine, attempt);
                if !ours || j.ended.is_some() {
                    return None;
                }
                match why {
                    // A replica that is done at once fails, too: it would start without end.
                    Why::Done if !service || lasted => {}
                    Why::Error | Why::Done => {
                        let first = j.health.failed(machine, now, ctx.cfg.lease_ms);
                        if j.health.proven() {
                            m.health.count_failure(task.job, now);
                        }
                        // A line for each task of an array would be thousands.
                        return first.then(|| {
                            format!(
                                "job={} task={} machine={} suspect={} ran_ms={}",
                                task.job,
                                task.index,
                                machine,
                                j.health.suspect(),
                                ran_ms.unwrap_or(0)
                            )
                        });
                    }
                    Why::NoRoom => m.no_room_until = now + 2000,
                    Why::Unknown => j.health.pause(now + 2000),
                    _ => {}
                }
                // It was not the job.
                for other in failed_before.iter().filter(|o| *o != machine) {
                    if let Some(m) = self.machines.get_mut(other) {
                        m.health.count_failure(task.job, now);
                    }
                }
                None
            }
        }
    }

    pub(super) fn apply(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        machine: &MachineId,
        changes: Vec<Change>,
    ) {
        for c in changes {
            if let Some(detail) = self.change(ctx, machine, c) {
                calls.log(Level::Info, "task_failed", detail);
            }
        }
    }

    /// Answers a worker that reported to us while we are entitled.
    pub fn checkin(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        r: &Report,
        rng: &mut SmallRng,
    ) -> Answer {
        let busy = |why| Answer::Busy { retry_s: 1, why };
        if !self.loaded() {
            return self.checkin_while_loading(ctx, r);
        }
        if self.returned.contains(&r.machine) {
            return busy("machine returned");
        }
        if r.token > self.token {
            // It would drop our answer.
            return Answer::Elsewhere { leader: None };
        }
        if r.token < self.token {
            // Of an earlier leadership, or the first word of a new machine: it may be a late
            // copy. The answer carries our token, and the next report will.
            match self.machines.get_mut(&r.machine) {
                Some(m) if m.ours => {}
                Some(m) => {
                    if !m.answer_without_token(ctx.now) {
                        return busy("no word with this token");
                    }
                    return Answer::Orders { token: self.token, orders: Vec::new() };
                }
                None => return Answer::Orders { token: self.token, orders: Vec::new() },
            }
        }
        if !self.machines.contains_key(&r.machine) {
            // Nobody expected it: a rental that was carried out late, or one an earlier
            // leader asked for. Nothing starts there before it is on the roster, and
            // nothing can have been.
            let m = Machine::new(r.machine.clone(), &r.machine_type, &r.zone, r.spot, ctx.now);
            self.machines.insert(r.machine.clone(), m);
            calls.log(Level::Info, "machine_adopted", format!("machine={}", r.machine));
        }
        self.add_to_roster(ctx, &r.machine);
        let Some(m) = self.machines.get_mut(&r.machine) else { return busy("unknown machine") };
        if !m.is_newer(r) {
            return busy("late report");
        }
        let first = m.last_checkin.is_none();
        let usable = m.reconciled && !m.lapsed && m.hears;
        let changes = m.report(ctx.now, r, ctx.cfg.lease_ms);
        if first {
            self.changed = true;
            let age = ctx.now - m.known_since;
            let detail = format!("machine={} zone={} spot={} age_ms={age}", m.id, m.zone, m.spot);
            calls.log(Level::Info, "machine_up", detail);
            let t = ctx.types.iter().find(|t| t.name == m.machine_type);
            if let (Some(at), Some(t)) = (m.asked_at, t) {
                self.rental.boots.came(t, &m.zone, ctx.now, ctx.now - at);
            }
        }
        if m.notice(ctx.now) && m.returning == Returning::No {
            m.returning = Returning::Draining;
            calls.log(Level::Info, "machine_notice", format!("machine={}", m.id));
            self.drain(ctx.now, &r.machine);
        }
        self.apply(ctx, calls, &r.machine, changes);
        self.note_free(&r.machine, false);
        self.note_images(ctx, &r.machine);
        // A machine that was not reconciled for, or late, has become one to place on, and
        // its room may be what a waiting job lacks.
        let m = &self.machines[&r.machine];
        let room = Self::type_index(ctx.types, &m.machine_type)
            .is_some_and(|i| m.used().0 < ctx.types[i].cpus);
        self.changed |= !usable || (room && self.short_of_room);
        if self.changed && ctx.view_is_fresh {
            self.place(ctx, calls, rng);
        }
        self.fill(ctx, &r.machine, rng);
        Answer::Orders { token: self.token, orders: self.orders(ctx, &r.machine) }
    }

    fn note_images(&mut self, ctx: &Context, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        let cache = ctx.types.iter().find(|t| t.name == m.machine_type).map_or(0.0, |t| t.cache_gb);
        let running: BTreeSet<JobId> =
            m.entries.iter().filter(|(_, e)| e.holds()).map(|((t, _), _)| t.job).collect();
        for job in running {
            if let Some(j) = self.jobs.get(&job) {
                m.used_image(&j.spec.image, j.spec.image_gb, cache);
            }
        }
    }

    /// Tasks that can save leave a machine that is about to go, and so do those that
    /// cannot be done by then: what they did is lost, and elsewhere they begin sooner.
    fn drain(&mut self, now: Ms, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        let left_s = m.gone_at.map_or(0.0, |t| t.saturating_sub(now) as f64 / 1000.0);
        for ((task, _), e) in m.entries.iter_mut().filter(|(_, e)| e.stop.is_none()) {
            let Some(need) = e.need else { continue };
            let ran_s = e.running_since.map_or(0.0, |t| (now - t) as f64 / 1000.0);
            let run_s = self.jobs.get(&task.job).map_or(0.0, |j| j.spec.estimate_s);
            if self.jobs.get(&task.job).is_some_and(|j| j.spec.is_service()) {
                // It runs until it is lost: moved now, it is away for a moment.
                e.stop = Some(0.0);
                continue;
            }
            e.stop = match need.save_s {
                Some(save) => Some(save + 1.0),
                // Estimates are often too high: in doubt it may go on.
                None => (SURELY_RUNS * run_s - ran_s > left_s).then_some(0.0),
            };
        }
        self.withdraw(machine);
    }

    /// Takes back what was assigned and never sent.
    pub(super) fn withdraw(&mut self, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine) else { return };
        let unsent: Vec<(TaskId, Attempt)> = m
            .entries
            .iter()
            .filter(|(_, e)| matches!(e.place, Place::Assigned { .. }))
            .map(|(k, _)| *k)
            .collect();
        for (task, attempt) in unsent {
            m.entries.remove(&(task, attempt));
            if let Some(j) = self.jobs.get_mut(&task.job) {
                j.free(task.index, machine, attempt);
            }
            self.changed = true;
        }
    }

    fn orders(&mut self, ctx: &Context, machine: &MachineId) -> Vec<Order> {
        let mut orders = Vec::new();
        let Some(m) = self.machines.get_mut(machine) else { return orders };
        let repeat = ctx.cfg.report_ms * 3;
        for ((task, attempt), e) in m.entries.iter_mut() {
            if orders.len() >= ORDERS_MOST {
                break;
            }
            let (task, attempt) = (*task, *attempt);
            match e.place {
                Place::Told(TaskState::Exited(why)) => {
                    let durable = match self.jobs.get(&task.job) {
                        Some(j) => {
                            // That a replica is done is nowhere kept.
                            j.ended.is_some()
                                || why != Why::Done
                                || j.spec.is_service()
                                || j.durable.get(task.index)
                        }
                        None => ctx.table.ended(task.job).is_some(),
                    };
                    if durable {
                        orders.push(Order::Forget { task, attempt });
                    }
                }
                Place::Assigned { .. } if !ctx.view_is_fresh => {}
                Place::Assigned { .. } => {
                    e.place = Place::Sent;
                    orders.push(Order::Start { task, attempt });
                }
                _ => {
                    let Some(grace_s) = e.stop else { continue };
                    // With every answer that renews the lease: what does not hear the stop
                    // is not renewed either, so it ends by one of the two.
                    if grace_s <= 0.0 || e.stop_sent.is_none_or(|t| ctx.now >= t + repeat) {
                        // A second stop with some grace left does not cut a save short.
                        e.stop_sent = Some(ctx.now);
                        orders.push(Order::Stop { task, attempt, grace_s });
                    }
                }
            }
        }
        orders
    }
}
