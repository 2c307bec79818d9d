//! Services: replicas that run until their job is cancelled, and the room that is held ready
//! for them.

use crate::leader::*;
use std::sync::Arc;

/// Services of each class for which room is held ready: one that comes, and one that lost
/// its machines.
const READY: u32 = 2;
/// Workers' leases for which a class of services is remembered.
const REMEMBERED_LEASES: Ms = 30;
/// Classes remembered at the most.
const CLASSES_MOST: usize = 16;
/// Workers' leases for which room is held ready beside a job of which nothing runs.
const STARVING_LEASES: Ms = 4;
/// Reports that a machine with replicas misses before it is given up, in halves.
const MISSED_HALVES: Ms = 7;

/// The largest service of a class of late.
pub(in crate::leader) struct Shape {
    spec: Arc<JobSpec>,
    until: Ms,
}

impl Shape {
    /// Replicas that one zone may have to take.
    fn in_zone(&self, zones: usize) -> u32 {
        match self.spec.one_zone || zones < 2 {
            true => self.spec.tasks,
            false => self.spec.tasks.div_ceil(2),
        }
    }
}

/// Room held ready in a pass.
#[derive(Default)]
pub(in crate::leader) struct ReservedCapacity {
    /// What is held of each machine.
    held: BTreeMap<MachineId, Room>,
    /// What found no room, by zone.
    short: Vec<(String, Arc<JobSpec>, u32)>,
}

impl ReservedCapacity {
    fn hold(&mut self, room: &mut Room, spec: &JobSpec, n: u32) {
        let none = || Room { cpus: 0.0, gpus: 0.0, memory_gb: 0.0, ..room.clone() };
        let held = self.held.entry(room.machine.clone()).or_insert_with(none);
        held.cpus += spec.cpus * f64::from(n);
        held.gpus += spec.gpus * f64::from(n);
        held.memory_gb += spec.memory_gb * f64::from(n);
        room.take(spec, n);
    }

    /// Gives all of it back.
    pub(in crate::leader) fn release_all(self, rooms: &mut Vec<Room>) {
        for held in self.held.into_values() {
            match rooms.iter_mut().find(|r| r.machine == held.machine) {
                Some(r) => {
                    r.cpus += held.cpus;
                    r.gpus += held.gpus;
                    r.memory_gb += held.memory_gb;
                }
                None => rooms.push(held),
            }
        }
    }

    /// Leaves of a machine's room what is not held ready, and holds what was short.
    pub(in crate::leader) fn keep(&mut self, types: &[MachineType], room: &mut Room) {
        if let Some(held) = self.held.get(&room.machine) {
            room.cpus -= held.cpus;
            room.gpus -= held.gpus;
            room.memory_gb -= held.memory_gb;
        }
        let mut short = std::mem::take(&mut self.short);
        for (zone, spec, missing) in &mut short {
            if *zone == room.zone && may_use(types, room, spec) {
                let n = room.holds(spec).min(*missing);
                self.hold(room, spec, n);
                *missing -= n;
            }
        }
        short.retain(|(_, _, missing)| *missing > 0);
        self.short = short;
    }
}

fn presses(spec: &JobSpec) -> bool {
    spec.is_service() && spec.priority >= Priority::High
}

fn may_use(types: &[MachineType], room: &Room, spec: &JobSpec) -> bool {
    (spec.spot || !room.spot)
        && spec.zone.as_deref().is_none_or(|z| z == room.zone)
        && types[room.type_index].allowed(spec)
}

impl Leader {
    pub(in crate::leader) fn note_shape(&mut self, ctx: &Context, spec: &Arc<JobSpec>) {
        if !presses(spec) {
            return;
        }
        let until = ctx.now + REMEMBERED_LEASES * ctx.cfg.lease_ms;
        let size = |s: &JobSpec| s.cpus * f64::from(s.tasks);
        self.scheduler.shapes.retain(|_, s| s.until > ctx.now);
        if let Some(s) = self.scheduler.shapes.get_mut(&spec.class) {
            s.until = until;
            if size(spec) > size(&s.spec) {
                s.spec = spec.clone();
            }
        } else if self.scheduler.shapes.len() < CLASSES_MOST {
            self.scheduler.shapes.insert(spec.class.clone(), Shape { spec: spec.clone(), until });
        }
    }

    /// Whether another replica of this service has run for a while: its failure here is then
    /// not the service's.
    pub(in crate::leader) fn service_stands(&self, ctx: &Context, task: TaskId) -> bool {
        let Some(j) = self.cluster.jobs.get(&task.job).filter(|j| j.spec.is_service()) else {
            return false;
        };
        let others = j.placed.iter().filter(|(index, _)| **index != task.index);
        others.take(16).any(|(index, (machine, attempt))| {
            let key = (TaskId { job: task.job, index: *index }, *attempt);
            let e = self.cluster.machines.get(machine).and_then(|m| m.entries.get(&key));
            e.and_then(|e| e.running_since).is_some_and(|t| ctx.now >= t + ctx.cfg.lease_ms / 2)
        })
    }

    /// Services whose replicas go before the ranking: they are missed from the first second.
    pub(in crate::leader) fn pressing(&self, id: &JobId) -> bool {
        self.cluster.jobs.get(id).is_some_and(|j| presses(&j.spec))
    }

    /// Holds room ready on the machines that have some, within the guarantees.
    pub(in crate::leader) fn reserve_capacity(
        &self,
        ctx: &Context,
        rooms: &mut Vec<Room>,
        used: &[(f64, f64)],
    ) -> ReservedCapacity {
        let mut ready = ReservedCapacity::default();
        let mut left: Vec<f64> =
            ctx.cfg.teams.iter().zip(used).map(|(t, (used, _))| t.cpus - used).collect();
        for shape in self.scheduler.shapes.values().filter(|s| s.until > ctx.now) {
            for zone in &ctx.cfg.zones {
                if shape.spec.zone.as_ref().is_some_and(|z| z != zone) {
                    continue;
                }
                let Some(team) = ctx.cfg.team(&shape.spec.team) else { continue };
                let mut missing = shape.in_zone(ctx.cfg.zones.len()) * READY;
                missing = missing.min(fits(left[team], shape.spec.cpus));
                left[team] -= f64::from(missing) * shape.spec.cpus;
                for room in rooms.iter_mut().filter(|r| r.zone == *zone) {
                    if missing > 0 && may_use(ctx.types, room, &shape.spec) {
                        let n = room.holds(&shape.spec).min(missing);
                        if n > 0 {
                            ready.hold(room, &shape.spec, n);
                            missing -= n;
                        }
                    }
                }
                if missing > 0 {
                    ready.short.push((zone.clone(), shape.spec.clone(), missing));
                }
            }
        }
        rooms.retain(|r| r.cpus > 1e-9);
        ready
    }

    /// Jobs of which nothing has run for long: room held ready is no reason to leave them
    /// waiting beside it.
    pub(in crate::leader) fn starving(&mut self, ctx: &Context) -> Vec<JobId> {
        let mut out = Vec::new();
        for j in self.cluster.jobs.values_mut() {
            let bare = j.ended.is_none() && j.pending() > 0 && j.placed.is_empty();
            j.bare_since = bare.then(|| j.bare_since.unwrap_or(ctx.now));
            let long = ctx.cfg.lease_ms * STARVING_LEASES;
            if let Some(since) = j.bare_since.filter(|since| ctx.now > since + long) {
                out.push((since, j.id));
            }
        }
        out.sort();
        out.into_iter().map(|(_, id)| id).collect()
    }

    /// Machines of a kind that the services need, with what is held ready for more of them.
    pub(in crate::leader) fn standing(&self, ctx: &Context, kind: &MachineKind) -> usize {
        let Some(t) = ctx.types.iter().find(|t| t.name == kind.machine_type) else { return 0 };
        // Where ordinary ones may serve they do: a spot machine taken back takes a replica.
        if kind.spot {
            return 0;
        }
        let zones = t.zones.len().max(1);
        let cheapest = |s: &JobSpec| {
            let fit = ctx.types.iter().filter(|t| t.allowed(s) && t.holds(s) > 0);
            let price = |t: &&MachineType| t.price / f64::from(t.holds(s));
            fit.min_by(|a, b| price(a).total_cmp(&price(b))).is_some_and(|c| c.name == t.name)
        };
        let here = |s: &JobSpec| s.zone.as_ref().is_none_or(|z| *z == kind.zone) && cheapest(s);
        let part = |s: &JobSpec, n: u32| match s.zone.is_some() {
            true => f64::from(n),
            false => f64::from(n) / zones as f64,
        };
        let running = self
            .cluster
            .jobs
            .values()
            .filter(|j| j.ended.is_none() && j.spec.is_service() && here(&j.spec))
            .map(|j| part(&j.spec, j.wanted()) / f64::from(t.holds(&j.spec)));
        let shapes = self.scheduler.shapes.values().filter(|s| s.until > ctx.now && here(&s.spec));
        let held =
            shapes.map(|s| f64::from(s.in_zone(zones) * READY) / f64::from(t.holds(&s.spec)));
        running.chain(held).sum::<f64>().ceil() as usize
    }

    fn any_service(&self) -> bool {
        self.cluster.jobs.values().any(|j| j.spec.is_service())
    }

    pub(in crate::leader) fn with_replicas(&self) -> BTreeSet<MachineId> {
        if !self.any_service() {
            return BTreeSet::new();
        }
        let with = self.cluster.machines.values().filter(|m| self.has_replicas(m));
        with.map(|m| m.id.clone()).collect()
    }

    fn has_replicas(&self, m: &Machine) -> bool {
        let service =
            |t: &TaskId| self.cluster.jobs.get(&t.job).is_some_and(|j| j.spec.is_service());
        m.entries.iter().any(|((t, _), e)| e.holds() && service(t))
    }

    /// Machines with replicas that have missed some reports, by zone only where nearly all
    /// others are heard: more is a cut, of theirs or of ours. The answer to their release
    /// proves that they are gone, long before their lease would.
    pub(in crate::leader) fn silent_with_replicas(&self, ctx: &Context) -> BTreeSet<MachineId> {
        if !self.any_service() {
            return BTreeSet::new();
        }
        let silent = |m: &Machine, after: Ms| {
            m.last_heartbeat.is_some_and(|t| ctx.now > t.max(self.liveness.woke) + after)
        };
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for m in self
            .cluster
            .machines
            .values()
            .filter(|m| m.last_heartbeat.is_some() && !m.lease_expired)
        {
            let zone = zones.entry(&m.zone).or_default();
            zone.0 += 1;
            zone.1 += silent(m, ctx.cfg.heartbeat_interval_ms * 2) as usize;
        }
        let few = |zone: &str| {
            zones.get(zone).is_some_and(|(n, s)| s < n && s * UNHEARD_FEW <= *n.max(&UNHEARD_FEW))
        };
        let after = ctx.cfg.heartbeat_interval_ms * MISSED_HALVES / 2;
        let lost = |m: &&Machine| {
            !m.lease_expired && silent(m, after) && few(&m.zone) && self.has_replicas(m)
        };
        self.cluster.machines.values().filter(lost).map(|m| m.id.clone()).collect()
    }
}

#[cfg(test)]
#[path = "services_tests.rs"]
mod tests;
