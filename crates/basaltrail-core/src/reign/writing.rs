//! What is written: the roster, completions, ends, the ledger.

use super::*;

impl Reign {
    pub(super) fn enroll(&mut self, ctx: &Ctx, machine: &MachineId) {
        let Some(m) = self.machines.get_mut(machine).filter(|m| m.part.is_none()) else { return };
        let entry = RosterEntry {
            id: m.id.clone(),
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
        };
        let most = ctx.cfg.value_bytes * 9 / 10;
        let size = encode(&entry).len() + 1;
        let part = self
            .roster
            .iter()
            .position(|p| encode(p).len() + size <= most)
            .unwrap_or(self.roster.len());
        if part == self.roster.len() {
            self.roster.push(Vec::new());
        }
        self.roster[part].push(entry);
        self.roster_dirty.insert(part);
        m.part = Some(part);
    }

    /// The machine is gone for certain: its release was answered.
    pub(super) fn strike(&mut self, ctx: &Ctx, calls: &mut Calls, machine: &MachineId) {
        let Some(mut m) = self.machines.remove(machine) else { return };
        let changes = m.lapse();
        self.apply(ctx, calls, machine, changes);
        if let Some(part) = m.part {
            self.roster[part].retain(|e| e.id != *machine);
            self.roster_dirty.insert(part);
        }
        self.returned.push_back(machine.clone());
        if self.returned.len() > RETURNED_KEPT {
            self.returned.pop_front();
        }
        self.changed = true;
    }

    pub fn flush(&mut self, ctx: &Ctx, calls: &mut Calls) {
        if self.flush_in_flight
            || !self.loaded()
            || !ctx.entitled
            || ctx.now < self.flush_not_before
        {
            return;
        }
        for (key, asked) in self.refresh.iter_mut().filter(|(_, asked)| !**asked) {
            if calls.pay(ctx.now, Class::Completion) {
                *asked = true;
                let purpose = Purpose::Refresh { token: self.token, key: key.clone() };
                calls.state(purpose, StateOp::Get(key.clone()), ctx.cfg.leader_lease_ms() / 4);
            }
        }
        let now = ctx.now;
        let mut f = Flush::default();
        let mut conds = vec![(LEADER.to_string(), self.stamp)];
        let mut puts = Vec::new();
        let mut removes = Vec::new();
        let mut bytes = 0;
        let most = ctx.cfg.txn_ops.max(2);
        let byte_limit = 48 * 1024;
        let mut paid = |n: f64, class| calls.writes.take(now, n, class);
        let mut put = |key: String, value: String, f: &mut Flush, conds: &mut Vec<_>| {
            conds.push((key.clone(), self.stamps.get(&key).copied().unwrap_or(0)));
            f.keys.push(key.clone());
            puts.push(Put { key, value, loan: None });
        };
        let mut ops = 0;
        for (id, j) in self.jobs.iter_mut() {
            if ops + 2 > most || !j.complete() || j.ended.is_some() {
                continue;
            }
            if !ctx.table.active.contains_key(id) || self.unknown.contains(id) {
                continue;
            }
            if !paid(2.0, Class::Completion) {
                break;
            }
            ops += 2;
            conds.push((active_key(*id), j.stamp));
            f.ends.push(*id);
            removes.push(active_key(*id));
        }
        // The ends' values go in below, without a stamp of their own to compare: a job
        // that is still active has no end yet.
        for part in self.roster_dirty.clone() {
            let key = roster_key(part);
            if ops < most && !self.refresh.contains_key(&key) && paid(1.0, Class::Door) {
                ops += 1;
                self.roster_dirty.remove(&part);
                let value = encode(&self.roster[part]);
                bytes += value.len();
                f.roster.push((part, self.roster[part].iter().map(|e| e.id.clone()).collect()));
                put(key, value, &mut f, &mut conds);
            }
        }
        if self.ledger_due
            && ops < most
            && !self.refresh.contains_key(LEDGER)
            && paid(1.0, Class::Completion)
        {
            {
                ops += 1;
                self.ledger_due = false;
                f.ledger = true;
                let leases_end = ctx.wall + (ctx.cfg.policy.lease_term_s * 1000.0) as WallMs;
                let value = encode(&self.ledger.record(ctx.cfg, leases_end));
                bytes += value.len();
                put(LEDGER.into(), value, &mut f, &mut conds);
            }
        }
        if self.home_due && ops < most && !self.refresh.contains_key(HOME) && paid(1.0, Class::Rest)
        {
            ops += 1;
            self.home_due = false;
            f.home = true;
            put(HOME.into(), encode(&self.home), &mut f, &mut conds);
        }
        if now >= self.next_parts {
            let mut left = false;
            for (id, j) in self.jobs.iter_mut() {
                if j.ended.is_some() || j.complete() {
                    continue;
                }
                for part in j.dirty.clone() {
                    let key = done_key(*id, part);
                    if self.refresh.contains_key(&key) {
                        continue;
                    }
                    if ops >= most || bytes > byte_limit || !paid(1.0, Class::Rest) {
                        left = true;
                        break;
                    }
                    ops += 1;
                    j.dirty.remove(&part);
                    j.parts.insert(part);
                    let text = j.done.part(part);
                    let value = encode(&text);
                    bytes += value.len();
                    f.parts.push((*id, part, text));
                    put(key, value, &mut f, &mut conds);
                }
            }
            if !left {
                self.next_parts = now + ctx.cfg.report_ms;
            }
        }
        let mut cleaned = Vec::new();
        for (job, part) in &self.cleanup {
            if ops >= most || !paid(1.0, Class::Rest) {
                break;
            }
            ops += 1;
            removes.push(done_key(*job, *part));
            cleaned.push((*job, *part));
        }
        for c in &cleaned {
            self.cleanup.remove(c);
        }
        f.cleaned = cleaned;
        for id in &f.ends {
            puts.push(Put { key: final_key(*id), value: encode(&Final::Done), loan: None });
        }
        if puts.is_empty() && removes.is_empty() {
            return;
        }
        if !calls.pay(now, Class::Completion) {
            self.undo(ctx, f);
            self.flush_not_before = now + 20;
            return;
        }
        self.flush_in_flight = true;
        let purpose = Purpose::Flush { token: self.token, flush: Box::new(f) };
        let op = StateOp::Txn { conds, puts, removes };
        calls.state(purpose, op, ctx.cfg.leader_lease_ms() / 4);
    }

    fn undo(&mut self, ctx: &Ctx, f: Flush) {
        for (job, part, _) in f.parts {
            if let Some(j) = self.jobs.get_mut(&job) {
                j.dirty.insert(part);
            }
        }
        self.roster_dirty.extend(f.roster.into_iter().map(|(p, _)| p));
        self.cleanup.extend(f.cleaned);
        self.ledger_due |= f.ledger;
        self.home_due |= f.home;
        self.next_parts = self.next_parts.min(ctx.now + ctx.cfg.report_ms / 4);
    }

    pub fn flush_answer(&mut self, ctx: &Ctx, mut f: Flush, reply: StateReply) -> Flushed {
        self.flush_in_flight = false;
        let mut out = Flushed::default();
        match reply {
            StateReply::Committed { revision } => {
                for key in f.keys {
                    self.stamps.insert(key, revision);
                }
                for (job, part, text) in f.parts {
                    if let Some(j) = self.jobs.get_mut(&job) {
                        j.durable.add_part(part, &text);
                    }
                }
                for (_, ids) in f.roster {
                    for id in ids {
                        if let Some(m) = self.machines.get_mut(&id) {
                            self.changed |= !m.durable;
                            m.durable = true;
                        }
                    }
                }
                out.ends = f.ends;
            }
            StateReply::Conflict { failed } => {
                out.deposed = failed.iter().any(|k| k == LEADER);
                let ends = std::mem::take(&mut f.ends);
                out.read = ends.into_iter().filter(|j| failed.contains(&active_key(*j))).collect();
                for key in failed.into_iter().filter(|k| f.keys.contains(k)) {
                    self.refresh.insert(key, false);
                }
                self.undo(ctx, f);
            }
            StateReply::Refused => {
                self.undo(ctx, f);
                self.flush_not_before = ctx.now + ctx.cfg.report_ms / 4;
            }
            _ => {
                // It may yet be carried out. Every key is written again only with the
                // stamp it has by then, so the late one and ours cannot both win.
                for key in std::mem::take(&mut f.keys) {
                    self.refresh.insert(key, false);
                }
                self.undo(ctx, f);
                self.flush_not_before = ctx.now + ctx.cfg.report_ms / 4;
            }
        }
        out
    }

    pub fn refresh_answer(&mut self, key: String, reply: StateReply) {
        match reply {
            StateReply::Found(i) => {
                self.stamps.insert(key.clone(), i.stamp);
                self.refresh.remove(&key);
            }
            StateReply::Missing => {
                self.stamps.remove(&key);
                self.refresh.remove(&key);
            }
            _ => {
                self.refresh.insert(key, false);
            }
        }
    }
}
