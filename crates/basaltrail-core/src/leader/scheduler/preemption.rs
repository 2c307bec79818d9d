//! Who makes room for work that must not wait.

use crate::leader::*;

/// CPUs that can soon be used, by kind of machine.
#[derive(Default)]
struct ComingRoom {
    cpus: BTreeMap<MachineKind, f64>,
}

impl ComingRoom {
    fn add(&mut self, kind: MachineKind, cpus: f64) {
        *self.cpus.entry(kind).or_default() += cpus;
    }

    /// Takes up to `want` CPUs of the kinds that are useful; returns how many it took.
    fn take(&mut self, want: f64, useful: impl Fn(&MachineKind) -> bool) -> f64 {
        let mut taken = 0.0;
        for (_, cpus) in self.cpus.iter_mut().filter(|(kind, _)| useful(kind)) {
            let part = cpus.min(want - taken);
            *cpus -= part;
            taken += part;
        }
        taken
    }
}

/// A task that may be stopped for others.
#[derive(Clone, Debug)]
pub(in crate::leader) struct Victim {
    machine: MachineId,
    key: (TaskId, Attempt),
    need: Need,
}

/// Who goes first: lower priorities, then those with the most time to lose or none to win, and
/// the youngest.
type VictimRank = (Priority, i64, Ms);

impl Leader {
    /// Tasks that may be stopped for others, in the order in which they go. Checkpointing work
    /// only: what cannot save would lose all it has done.
    pub(in crate::leader) fn victims(&self, ctx: &Context) -> Vec<Victim> {
        let mut ranked: Vec<(VictimRank, Victim)> = Vec::new();
        for m in self.cluster.machines.values().filter(|m| self.usable(ctx, m)) {
            for (key, e) in &m.entries {
                let Some(n) = e.need.filter(|n| n.save_s.is_some()) else { continue };
                // Stopping what has just begun costs more than it ran.
                let ran = e.running_since.map_or(0, |t| ctx.now - t) as f64 / 1000.0;
                let young_s = n.save_s.map_or(0.0, |save| 4.0 * save);
                // A job whose first task is stopped as it begins has waited in vain.
                let first_s =
                    if e.first { FIRST_LEASES * ctx.cfg.lease_ms as f64 / 1000.0 } else { 0.0 };
                let young = ran < young_s.max(first_s);
                if !e.runs() || e.stop.is_some() || young {
                    continue;
                }
                let spare = self.scheduler.reach.get(&key.0.job);
                let time = spare.map_or(i64::MIN, |s| -s as i64 / 30);
                let victim = Victim { machine: m.id.clone(), key: *key, need: n };
                ranked.push(((n.priority, time, Ms::MAX - e.since), victim));
            }
        }
        sorted(ranked)
    }

    /// Tasks that may be stopped for a team that has waited too long for its guarantee: all that
    /// hold room, also those that cannot save or have just begun; services last.
    fn victims_of_guarantees(&self, ctx: &Context) -> Vec<Victim> {
        let mut ranked: Vec<((bool, VictimRank), Victim)> = Vec::new();
        for machine in self.cluster.machines.values().filter(|machine| self.usable(ctx, machine)) {
            for (key, entry) in &machine.entries {
                let held = entry.need.filter(|_| entry.holds() && entry.stop.is_none());
                let Some(need) = held else { continue };
                let service =
                    self.cluster.jobs.get(&key.0.job).is_some_and(|job| job.spec.is_service());
                let rank = (need.priority, 0, Ms::MAX - entry.since);
                let victim = Victim { machine: machine.id.clone(), key: *key, need };
                ranked.push(((service, rank), victim));
            }
        }
        sorted(ranked)
    }

    /// CPUs that are free, or come free as tasks are stopped.
    fn coming_room(&self, ctx: &Context, rooms: &[Room]) -> ComingRoom {
        let mut coming = ComingRoom::default();
        for room in rooms {
            let machine_type = ctx.types[room.type_index].name.clone();
            let kind = MachineKind { machine_type, zone: room.zone.clone(), spot: room.spot };
            coming.add(kind, room.cpus);
        }
        for machine in self.cluster.machines.values() {
            let stopped = machine.entries.values().filter(|e| e.holds() && e.stop.is_some());
            let cpus: f64 = stopped.filter_map(|e| e.need).map(|need| need.cpus).sum();
            if cpus > 0.0 {
                coming.add(machine.kind(), cpus);
            }
        }
        coming
    }

    /// Makes room for work that must not wait, at the cost of work that can save.
    pub(in crate::leader) fn preempt(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        blocked: &[JobId],
        used: &[(f64, f64)],
        rooms: &[Room],
    ) {
        let mut coming = self.coming_room(ctx, rooms);
        let mut freed: BTreeMap<usize, f64> = BTreeMap::new();
        let mut victims: Option<Vec<Victim>> = None;
        let mut victims_of_guarantees: Option<Vec<Victim>> = None;
        let mut stopped = 0;
        for id in blocked {
            let Some(j) = self.cluster.jobs.get(id) else { continue };
            let team = &ctx.cfg.teams[j.team];
            let mut want = j.spec.cpus * self.limit_room(ctx, *id, used) as f64;
            let spread = self.spread_of(*id);
            let spec = j.spec.clone();
            // Room that the job may not use is none: its work would be stopped in vain.
            let useful = |machine_type: &str, zone: &str, spot: bool| {
                spec.permits(machine_type, zone, spot) && spread.room(&spec, zone) > 0
            };
            want -= coming.take(want, |kind| useful(&kind.machine_type, &kind.zone, kind.spot));
            // A job with time to lose gets room as tasks end; each stop costs a save and a start.
            let soon_ms = SOON_LEASES * ctx.cfg.lease_ms as f64;
            let pressed =
                self.scheduler.reach.get(id).is_some_and(|spare_s| spare_s * 1000.0 < soon_ms);
            let mut guarantee = (team.cpus - used[j.team].0).max(0.0);
            if want <= 1e-9 || !(pressed || guarantee >= j.spec.cpus - 1e-9) {
                continue;
            }
            let overdue = ctx
                .cfg
                .guarantee_patience_ms()
                .is_some_and(|most| self.scheduler.guarantee_waits.overdue(j.team, ctx.now, most));
            let victims = match overdue {
                true => {
                    victims_of_guarantees.get_or_insert_with(|| self.victims_of_guarantees(ctx))
                }
                false => victims.get_or_insert_with(|| self.victims(ctx)),
            };
            let mut cleared = false;
            for Victim { machine, key, need: n } in victims.iter() {
                if want <= 1e-9 {
                    break;
                }
                let borrowed = used[n.team].0
                    - freed.get(&n.team).copied().unwrap_or(0.0)
                    - ctx.cfg.teams[n.team].cpus;
                let lower = n.priority < j.spec.priority
                    && (guarantee >= j.spec.cpus - 1e-9 || borrowed >= n.cpus - 1e-9)
                    && pressed;
                let reclaim = n.team != j.team
                    && guarantee >= j.spec.cpus - 1e-9
                    && borrowed >= n.cpus - 1e-9;
                if !reclaim && (overdue || !lower) {
                    continue;
                }
                let m = self.cluster.machines.get_mut(machine);
                let m = m.filter(|m| useful(&m.machine_type, &m.zone, m.spot));
                let e = m.and_then(|m| m.entries.get_mut(key)).filter(|e| e.stop.is_none());
                let Some(e) = e else { continue };
                e.stop = Some(n.save_s.map_or(0.0, |s| s + 1.0));
                e.stop_sent = None;
                want -= n.cpus;
                guarantee -= n.cpus;
                *freed.entry(n.team).or_default() += n.cpus;
                stopped += 1;
                cleared = true;
            }
            if cleared {
                self.scheduler.reserved.insert(*id, ctx.now + ctx.cfg.lease_ms);
            }
        }
        if stopped > 0 {
            calls.log(JobEvent::TasksPreempted { tasks: stopped });
        }
    }
}

fn sorted<R: Ord>(mut ranked: Vec<(R, Victim)>) -> Vec<Victim> {
    ranked.sort_by(|(rank, a), (other, b)| {
        (rank, &a.machine, a.key).cmp(&(other, &b.machine, b.key))
    });
    ranked.into_iter().map(|(_, victim)| victim).collect()
}

#[cfg(test)]
#[path = "preemption_tests.rs"]
mod tests;
