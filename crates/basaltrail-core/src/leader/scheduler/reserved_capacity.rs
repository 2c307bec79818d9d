//! Reservation of capacity for high-priority services that may need it later.
//!
//! Tasks that cannot save are not preempted and may end late, so a service that is submitted or
//! loses its machines would have to wait for them. Capacity for the largest recent service of each
//! class is therefore reserved, within the guarantees of the services' teams.

use super::capacity::{machine_type, FreeCapacity};
use super::services::is_high_priority_service;
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::machines::MachineKind;
use crate::model::{fitting_tasks, JobSpec, MachineId, MachineType, Ms};
use crate::resources::Resources;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of services of each class for which capacity is reserved: a newly submitted one, and one
/// that lost its machines.
const RESERVED_SERVICES: u32 = 2;
/// Time for which capacity is reserved after the last recorded service of a class, in worker
/// leases.
const RETENTION_LEASES: Ms = 30;
/// Maximum number of classes for which capacity is reserved.
const MAX_CLASSES: usize = 16;

/// The largest recent service of a class.
struct RecentService {
    spec: Arc<JobSpec>,
    /// End of the reservation for its class.
    expires_at: Ms,
}

impl RecentService {
    /// Returns the number of replicas that a single zone must be able to hold: all of them if
    /// the service runs in one zone or there is only one zone, otherwise half.
    fn replicas_per_zone(&self, zones: usize) -> u32 {
        match self.spec.one_zone || zones < 2 {
            true => self.spec.tasks,
            false => self.spec.tasks.div_ceil(2),
        }
    }

    /// Returns the number of replicas for which capacity is reserved in each zone.
    fn reserved_replicas_per_zone(&self, zones: usize) -> u32 {
        self.replicas_per_zone(zones) * RESERVED_SERVICES
    }
}

/// The largest recent high-priority service of each class.
#[derive(Default)]
pub struct RecentServices {
    by_class: BTreeMap<String, RecentService>,
}

impl RecentServices {
    /// Records a job if it is a high-priority service.
    pub(in crate::leader) fn record(&mut self, ctx: &Context, spec: &Arc<JobSpec>) {
        if !is_high_priority_service(spec) {
            return;
        }
        let expires_at = ctx.now + RETENTION_LEASES * ctx.cfg.worker_lease_ms;
        let total_cpus = |spec: &JobSpec| spec.cpus * f64::from(spec.tasks);
        self.by_class.retain(|_, service| service.expires_at > ctx.now);
        if let Some(service) = self.by_class.get_mut(&spec.class) {
            service.expires_at = expires_at;
            if total_cpus(spec) > total_cpus(&service.spec) {
                service.spec = spec.clone();
            }
        } else if self.by_class.len() < MAX_CLASSES {
            self.by_class
                .insert(spec.class.clone(), RecentService { spec: spec.clone(), expires_at });
        }
    }

    fn unexpired(&self, now: Ms) -> impl Iterator<Item = &RecentService> {
        self.by_class.values().filter(move |service| service.expires_at > now)
    }
}

/// Replicas of a service for which no capacity could be reserved in a zone.
struct Shortfall {
    zone: String,
    spec: Arc<JobSpec>,
    replicas: u32,
}

/// Capacity reserved by a scheduling cycle.
#[derive(Default)]
pub(in crate::leader) struct ReservedCapacity {
    /// Reserved part of each machine's free capacity.
    by_machine: BTreeMap<MachineId, FreeCapacity>,
    /// Replicas for which no capacity could be reserved.
    shortfalls: Vec<Shortfall>,
}

impl ReservedCapacity {
    /// Reserves capacity for `replicas` replicas on a machine.
    fn reserve(&mut self, capacity: &mut FreeCapacity, spec: &JobSpec, replicas: u32) {
        let empty =
            || FreeCapacity { free: Resources::default(), task_slots: 0, ..capacity.clone() };
        let reserved = self.by_machine.entry(capacity.machine.clone()).or_insert_with(empty);
        reserved.free += Resources::of_task(spec) * f64::from(replicas);
        reserved.task_slots += replicas;
        capacity.deduct_tasks(spec, replicas);
    }

    /// Reserves capacity for replicas of a service in a zone, and records the shortfall if there is
    /// too little.
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
            let fitting = capacity.fitting_tasks(spec).min(replicas);
            if fitting > 0 {
                self.reserve(capacity, spec, fitting);
                replicas -= fitting;
            }
        }
        if replicas > 0 {
            self.shortfalls.push(Shortfall { zone: zone.into(), spec: spec.clone(), replicas });
        }
    }

    /// Returns all reserved capacity to the free capacity.
    pub(in crate::leader) fn release_all(self, free: &mut Vec<FreeCapacity>) {
        for reserved in self.by_machine.into_values() {
            match free.iter_mut().find(|capacity| capacity.machine == reserved.machine) {
                Some(capacity) => {
                    capacity.free += reserved.free;
                    capacity.task_slots += reserved.task_slots;
                }
                None => free.push(reserved),
            }
        }
    }

    /// Deducts the reserved part from a machine's free capacity, and reserves more of it to cover
    /// shortfalls.
    pub(in crate::leader) fn deduct_reserved(
        &mut self,
        types: &[MachineType],
        capacity: &mut FreeCapacity,
    ) {
        if let Some(reserved) = self.by_machine.get(&capacity.machine) {
            capacity.free -= reserved.free;
            capacity.task_slots = capacity.task_slots.saturating_sub(reserved.task_slots);
        }
        let mut shortfalls = std::mem::take(&mut self.shortfalls);
        for shortfall in &mut shortfalls {
            let spec = &shortfall.spec;
            if shortfall.zone == capacity.zone && capacity.permitted_by(spec, types) {
                let replicas = capacity.fitting_tasks(spec).min(shortfall.replicas);
                self.reserve(capacity, spec, replicas);
                shortfall.replicas -= replicas;
            }
        }
        shortfalls.retain(|shortfall| shortfall.replicas > 0);
        self.shortfalls = shortfalls;
    }
}

/// Reserves capacity for high-priority services, within the guarantees of their teams, and deducts
/// it from the free capacity.
pub(in crate::leader) fn reserve_capacity(
    ctx: &Context,
    services: &RecentServices,
    free: &mut Vec<FreeCapacity>,
    used: &[Resources],
) -> ReservedCapacity {
    let mut reserved = ReservedCapacity::default();
    let teams = ctx.cfg.teams.iter().zip(used);
    let mut unused_guarantee_cpus: Vec<f64> =
        teams.map(|(team, used)| team.guaranteed_cpus - used.cpus).collect();
    for service in services.unexpired(ctx.now) {
        for zone in &ctx.cfg.zones {
            let spec = &service.spec;
            if spec.zone.as_ref().is_some_and(|allowed| allowed != zone) {
                continue;
            }
            let Some(team) = ctx.cfg.team(&spec.team) else { continue };
            let replicas = service
                .reserved_replicas_per_zone(ctx.cfg.zones.len())
                .min(fitting_tasks(unused_guarantee_cpus[team], spec.cpus));
            unused_guarantee_cpus[team] -= f64::from(replicas) * spec.cpus;
            reserved.reserve_in_zone(ctx.machine_types, free, zone, spec, replicas);
        }
    }
    free.retain(FreeCapacity::has_room);
    reserved
}

/// Returns how many machines of a kind the services need, including the capacity reserved for
/// further services. Only on-demand machines are counted, since a replica on a spot machine is lost
/// when the cloud reclaims it.
pub(in crate::leader) fn machines_for_services(
    ctx: &Context,
    cluster: &Cluster,
    services: &RecentServices,
    kind: &MachineKind,
) -> usize {
    let known_type = machine_type(ctx.machine_types, &kind.machine_type);
    let Some(machine_type) = known_type.filter(|_| !kind.spot) else { return 0 };
    let zones = machine_type.zones.len().max(1);
    let runs_on_kind = |spec: &JobSpec| {
        let zone_allowed = spec.zone.as_ref().is_none_or(|zone| *zone == kind.zone);
        zone_allowed && is_cheapest_type(ctx.machine_types, machine_type, spec)
    };
    let machines_for =
        |spec: &JobSpec, replicas: f64| replicas / f64::from(machine_type.task_capacity(spec));
    let running = cluster
        .jobs
        .values()
        .filter(|job| job.outcome.is_none() && job.spec.is_service() && runs_on_kind(&job.spec))
        .map(|job| {
            let replicas = f64::from(job.desired_placements());
            let replicas_in_zone =
                if job.spec.zone.is_some() { replicas } else { replicas / zones as f64 };
            machines_for(&job.spec, replicas_in_zone)
        });
    let reserved =
        services.unexpired(ctx.now).filter(|service| runs_on_kind(&service.spec)).map(|service| {
            machines_for(&service.spec, f64::from(service.reserved_replicas_per_zone(zones)))
        });
    running.chain(reserved).sum::<f64>().ceil() as usize
}

/// Returns whether a type has the lowest on-demand price per task among the types that the job
/// allows.
fn is_cheapest_type(types: &[MachineType], machine_type: &MachineType, spec: &JobSpec) -> bool {
    let price_per_task = |t: &&MachineType| t.price / f64::from(t.task_capacity(spec));
    types
        .iter()
        .filter(|t| t.is_allowed_by(spec) && t.task_capacity(spec) > 0)
        .min_by(|a, b| price_per_task(a).total_cmp(&price_per_task(b)))
        .is_some_and(|cheapest| cheapest.name == machine_type.name)
}
