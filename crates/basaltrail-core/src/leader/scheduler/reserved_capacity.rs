//! Capacity that is reserved for high-priority services that may come.
//!
//! Tasks that cannot save are not preempted and may end late, so a service that comes, or lost
//! its machines, would wait for them. Capacity for some of the largest recent service of each class
//! is kept free, within the guarantees of their teams.

use super::capacity::{machine_type, FreeCapacity, CPU_TOLERANCE};
use super::services::is_high_priority_service;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::machines::MachineKind;
use crate::model::{fits, JobSpec, MachineId, MachineType, Ms};
use crate::resources::Resources;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Services of each class for which capacity is reserved: one that comes, and one that lost its
/// machines.
const RESERVED_SERVICES: u32 = 2;
/// Workers' leases for which a class of services is remembered.
const REMEMBERED_LEASES: Ms = 30;
/// Classes remembered at the most.
const MAX_CLASSES: usize = 16;

/// The largest recent service of a class.
struct ReplicaSize {
    spec: Arc<JobSpec>,
    /// When it is forgotten.
    until: Ms,
}

impl ReplicaSize {
    /// Replicas that one zone may have to take.
    fn replicas_per_zone(&self, zones: usize) -> u32 {
        match self.spec.one_zone || zones < 2 {
            true => self.spec.tasks,
            false => self.spec.tasks.div_ceil(2),
        }
    }

    /// Replicas for which capacity is reserved in a zone.
    fn reserved_per_zone(&self, zones: usize) -> u32 {
        self.replicas_per_zone(zones) * RESERVED_SERVICES
    }
}

/// The largest recent service of each class, by class.
#[derive(Default)]
pub struct ReplicaSizes {
    by_class: BTreeMap<String, ReplicaSize>,
}

impl ReplicaSizes {
    /// Notes a service that was submitted.
    pub(in crate::leader) fn note(&mut self, ctx: &Context, spec: &Arc<JobSpec>) {
        if !is_high_priority_service(spec) {
            return;
        }
        let until = ctx.now + REMEMBERED_LEASES * ctx.cfg.lease_ms;
        let total_cpus = |spec: &JobSpec| spec.cpus * f64::from(spec.tasks);
        self.by_class.retain(|_, size| size.until > ctx.now);
        if let Some(size) = self.by_class.get_mut(&spec.class) {
            size.until = until;
            if total_cpus(spec) > total_cpus(&size.spec) {
                size.spec = spec.clone();
            }
        } else if self.by_class.len() < MAX_CLASSES {
            self.by_class.insert(spec.class.clone(), ReplicaSize { spec: spec.clone(), until });
        }
    }

    fn remembered(&self, now: Ms) -> impl Iterator<Item = &ReplicaSize> {
        self.by_class.values().filter(move |size| size.until > now)
    }
}

/// Replicas of a service for which a zone has too little free capacity.
struct Shortfall {
    zone: String,
    spec: Arc<JobSpec>,
    replicas: u32,
}

/// Capacity that a scheduling cycle reserved.
#[derive(Default)]
pub(in crate::leader) struct ReservedCapacity {
    /// What is reserved of each machine.
    by_machine: BTreeMap<MachineId, FreeCapacity>,
    /// What could not be reserved.
    shortfalls: Vec<Shortfall>,
}

impl ReservedCapacity {
    /// Reserves capacity for so many replicas on a machine.
    fn reserve(&mut self, capacity: &mut FreeCapacity, spec: &JobSpec, replicas: u32) {
        let nothing = || FreeCapacity { free: Resources::default(), ..capacity.clone() };
        let reserved = self.by_machine.entry(capacity.machine.clone()).or_insert_with(nothing);
        reserved.free += Resources::of_task(spec) * f64::from(replicas);
        capacity.take(spec, replicas);
    }

    /// Reserves capacity for replicas of a service in a zone, and notes those for which there is
    /// none.
    fn reserve_in_zone(
        &mut self,
        types: &[MachineType],
        free: &mut [FreeCapacity],
        zone: &str,
        spec: &Arc<JobSpec>,
        mut replicas: u32,
    ) {
        for capacity in free.iter_mut().filter(|capacity| capacity.zone == zone) {
            if replicas == 0 || !capacity.permitted_by(spec, types) {
                continue;
            }
            let here = capacity.fits(spec).min(replicas);
            if here > 0 {
                self.reserve(capacity, spec, here);
                replicas -= here;
            }
        }
        if replicas > 0 {
            self.shortfalls.push(Shortfall { zone: zone.into(), spec: spec.clone(), replicas });
        }
    }

    /// Gives all of it back.
    pub(in crate::leader) fn release_all(self, free: &mut Vec<FreeCapacity>) {
        for reserved in self.by_machine.into_values() {
            match free.iter_mut().find(|capacity| capacity.machine == reserved.machine) {
                Some(capacity) => capacity.free += reserved.free,
                None => free.push(reserved),
            }
        }
    }

    /// Takes from a machine's free capacity what is reserved of it, and what of it makes up for a
    /// shortfall.
    pub(in crate::leader) fn withhold(
        &mut self,
        types: &[MachineType],
        capacity: &mut FreeCapacity,
    ) {
        if let Some(reserved) = self.by_machine.get(&capacity.machine) {
            capacity.free -= reserved.free;
        }
        let mut shortfalls = std::mem::take(&mut self.shortfalls);
        for shortfall in &mut shortfalls {
            let spec = &shortfall.spec;
            if shortfall.zone == capacity.zone && capacity.permitted_by(spec, types) {
                let replicas = capacity.fits(spec).min(shortfall.replicas);
                self.reserve(capacity, spec, replicas);
                shortfall.replicas -= replicas;
            }
        }
        shortfalls.retain(|shortfall| shortfall.replicas > 0);
        self.shortfalls = shortfalls;
    }
}

/// Reserves capacity on machines with free capacity, within the guarantees of teams.
pub(in crate::leader) fn reserve_capacity(
    ctx: &Context,
    sizes: &ReplicaSizes,
    free: &mut Vec<FreeCapacity>,
    used: &[Resources],
) -> ReservedCapacity {
    let mut reserved = ReservedCapacity::default();
    let teams = ctx.cfg.teams.iter().zip(used);
    let mut guarantee_left: Vec<f64> = teams.map(|(team, used)| team.cpus - used.cpus).collect();
    for size in sizes.remembered(ctx.now) {
        for zone in &ctx.cfg.zones {
            let spec = &size.spec;
            if spec.zone.as_ref().is_some_and(|allowed| allowed != zone) {
                continue;
            }
            let Some(team) = ctx.cfg.team(&spec.team) else { continue };
            let replicas = size
                .reserved_per_zone(ctx.cfg.zones.len())
                .min(fits(guarantee_left[team], spec.cpus));
            guarantee_left[team] -= f64::from(replicas) * spec.cpus;
            reserved.reserve_in_zone(ctx.types, free, zone, spec, replicas);
        }
    }
    free.retain(|capacity| capacity.free.cpus > CPU_TOLERANCE);
    reserved
}

/// Machines of a kind that the services need, with what is reserved for more of them. Only
/// on-demand machines are counted: a reclaimed spot machine takes a replica.
pub(in crate::leader) fn machines_for_services(
    ctx: &Context,
    cluster: &Cluster,
    sizes: &ReplicaSizes,
    kind: &MachineKind,
) -> usize {
    let known_type = machine_type(ctx.types, &kind.machine_type);
    let Some(machine_type) = known_type.filter(|_| !kind.spot) else { return 0 };
    let zones = machine_type.zones.len().max(1);
    let belongs_here = |spec: &JobSpec| {
        let zone_allowed = spec.zone.as_ref().is_none_or(|zone| *zone == kind.zone);
        zone_allowed && is_cheapest_type(ctx.types, machine_type, spec)
    };
    let machines = |spec: &JobSpec, replicas: f64| replicas / f64::from(machine_type.holds(spec));
    let running = cluster
        .jobs
        .values()
        .filter(|job| job.ended.is_none() && job.spec.is_service() && belongs_here(&job.spec))
        .map(|job| {
            let replicas = f64::from(job.desired_placements());
            let in_zone = if job.spec.zone.is_some() { replicas } else { replicas / zones as f64 };
            machines(&job.spec, in_zone)
        });
    let reserved = sizes
        .remembered(ctx.now)
        .filter(|size| belongs_here(&size.spec))
        .map(|size| machines(&size.spec, f64::from(size.reserved_per_zone(zones))));
    running.chain(reserved).sum::<f64>().ceil() as usize
}

/// Whether no type runs the job's tasks at a lower price.
fn is_cheapest_type(types: &[MachineType], machine_type: &MachineType, spec: &JobSpec) -> bool {
    let price_per_task = |t: &&MachineType| t.price / f64::from(t.holds(spec));
    types
        .iter()
        .filter(|t| t.allowed(spec) && t.holds(spec) > 0)
        .min_by(|a, b| price_per_task(a).total_cmp(&price_per_task(b)))
        .is_some_and(|cheapest| cheapest.name == machine_type.name)
}
