//! Scale-out: selection of the machines to request, and handling of the cloud's replies.

use super::capacity_target::{capacity_targets, CapacityTarget};
use super::demand::demand_by_type;
use super::fleet::{live_machines, Fleet, KindNeeds};
use super::partitions::is_zone_silent_since_failover;
use super::provisioning::{kinds_by_price, ProvisioningRequest};
use super::provisioning_time::BootingMachine;
use super::Autoscaler;
use crate::events::MachineEvent;
use crate::io::{CloudReply, CloudRequest};
use crate::leader::cluster::Cluster;
use crate::leader::scheduler::capacity::machine_type;
use crate::leader::scheduler::reserved_capacity::RecentServices;
use crate::leader::Context;
use crate::machines::{Decommission, Machine, MachineKind};
use crate::model::{FencingToken, MachineId};
use crate::store::calls::{Calls, CloudPurpose};
use crate::store::rate_limiter::CallPriority;

/// The current fleet, and the numbers of machines that it should have.
pub(in crate::leader) struct FleetPlan {
    /// Numbers of machines that the unfinished jobs and the guarantees justify, by machine type and
    /// purchase option.
    pub(in crate::leader) targets: Vec<CapacityTarget>,
    /// The machines that count as capacity.
    pub(in crate::leader) fleet: Fleet,
    /// The machines that are needed regardless of price.
    pub(in crate::leader) needs: KindNeeds,
}

impl FleetPlan {
    /// Returns how many more machines of a kind should be requested. `requested_of_type` and
    /// `requested_of_kind` are the numbers of machines of its type and of its kind in unanswered
    /// requests.
    fn missing_machines(
        &self,
        kind: &MachineKind,
        requested_of_type: usize,
        requested_of_kind: usize,
    ) -> usize {
        let target = self
            .targets
            .iter()
            .find(|target| target.machine_type == kind.machine_type && target.spot == kind.spot);
        let justified = target.map_or(0, |target| target.justified_machines);
        let missing = self.needs.missing(kind).saturating_sub(requested_of_kind);
        justified
            .saturating_sub(self.fleet.of_type(&kind.machine_type) + requested_of_type)
            .max(missing)
    }
}

impl Autoscaler {
    /// Plans the fleet: queues requests for machines that are justified or needed, and drains
    /// surplus machines.
    pub(in crate::leader) fn plan(
        &mut self,
        ctx: &Context,
        cluster: &mut Cluster,
        services: &RecentServices,
        token: FencingToken,
        calls: &mut Calls,
    ) {
        let demand = demand_by_type(ctx, cluster);
        let targets = capacity_targets(ctx, &demand, &mut self.peak);
        self.update_overdue(ctx, cluster);
        let live = live_machines(ctx, cluster);
        let fleet = Fleet::count(&live);
        let needs = KindNeeds::determine(ctx, cluster, services, &live, &fleet);
        let plan = FleetPlan { targets, fleet, needs };
        while !self.provisioning.is_full() {
            let Some((kind, machines)) = self.next_request(ctx, cluster, &plan) else { break };
            self.provisioning.add(token, kind, machines);
        }
        self.drain_surplus(ctx, cluster, plan, calls);
    }

    /// Returns the kind with the lowest price per CPU of which machines should be requested, and
    /// their number; `None` if there is none.
    fn next_request(
        &self,
        ctx: &Context,
        cluster: &Cluster,
        plan: &FleetPlan,
    ) -> Option<(MachineKind, usize)> {
        let queue = &self.provisioning;
        let requested_of_kind =
            |kind: &MachineKind| queue.requested_machines(|other| other == kind);
        // The demand of a team without a limit may exceed the machines that can send heartbeats to
        // one leader.
        let known_or_requested = cluster.machines.len() + queue.requested_machines(|_| true);
        let remaining = ctx.cfg.max_machines.saturating_sub(known_or_requested);
        // A machine provisioned in a partitioned zone could not reach this leader.
        let is_reachable = |zone: &str| {
            !self.partitions.contains(zone) && !is_zone_silent_since_failover(cluster, zone)
        };
        let kinds = kinds_by_price(ctx.machine_types, |kind| {
            plan.fleet.of_kind(kind) + requested_of_kind(kind)
        });
        kinds
            .into_iter()
            .filter(|kind| queue.may_request(kind, ctx.now) && is_reachable(&kind.zone))
            .find_map(|kind| {
                let requested_of_type =
                    queue.requested_machines(|other| other.machine_type == kind.machine_type);
                let machines = plan
                    .missing_machines(&kind, requested_of_type, requested_of_kind(&kind))
                    .min(self.request_allowance(ctx, &kind))
                    .min(remaining);
                (machines > 0).then_some((kind, machines))
            })
    }

    /// Returns how many more machines of a kind may be requested now. The number is small while
    /// more machines of its type in its zone are overdue or abandoned than have come up recently.
    fn request_allowance(&self, ctx: &Context, kind: &MachineKind) -> usize {
        let requested = self.provisioning.requested_machines(|other| {
            (&other.machine_type, &other.zone) == (&kind.machine_type, &kind.zone)
        });
        machine_type(ctx.machine_types, &kind.machine_type).map_or(0, |machine_type| {
            self.provisioning_times.request_allowance(machine_type, &kind.zone, requested, ctx.now)
        })
    }

    /// Updates which booting machines are overdue or abandoned, and the numbers of booting machines
    /// by type and zone.
    fn update_overdue(&mut self, ctx: &Context, cluster: &mut Cluster) {
        let times = &self.provisioning_times;
        let mut booting = Vec::new();
        for machine in cluster.machines.values_mut() {
            let requested_at = machine
                .requested_at
                .filter(|_| machine.last_heartbeat_at.is_none() && machine.is_empty());
            let known_type = machine_type(ctx.machine_types, &machine.machine_type);
            machine.overdue = false;
            if let (Some(at), Some(machine_type), Decommission::None) =
                (requested_at, known_type, machine.decommission)
            {
                let zone = &machine.zone;
                machine.overdue = ctx.now > at + times.overdue_after(machine_type, zone, ctx.now);
                machine.abandoned =
                    ctx.now > at + times.abandoned_after(machine_type, zone, ctx.now);
                booting.push((machine_type, zone.clone(), machine.overdue));
            }
        }
        let machines = booting.iter().map(|(machine_type, zone, overdue)| BootingMachine {
            machine_type,
            zone,
            overdue: *overdue,
        });
        self.provisioning_times.count_booting(machines);
    }

    /// Sends the provisioning requests that are due, within the rate limit for calls to the cloud.
    pub(in crate::leader) fn send_requests(
        &mut self,
        ctx: &Context,
        token: FencingToken,
        calls: &mut Calls,
    ) {
        let is_due = |r: &&mut ProvisioningRequest| !r.in_flight && ctx.now >= r.next_attempt_at;
        for request in self.provisioning.pending.iter_mut().filter(is_due) {
            if !calls.cloud_limiter.try_acquire(ctx.now, 1.0, CallPriority::Request) {
                break;
            }
            request.in_flight = true;
            let request_name = request.request_name.clone();
            let call = CloudRequest::Provision {
                request_name: request_name.clone(),
                machine_type: request.kind.machine_type.clone(),
                zone: request.kind.zone.clone(),
                spot: request.kind.spot,
                count: request.count,
            };
            calls.send_to_cloud(
                CloudPurpose::Provision { token, request_name },
                call,
                ctx.cfg.worker_lease_ms / 2,
            );
        }
    }

    /// Applies the reply to a provisioning request, and returns the provisioned machines except
    /// those that have been terminated since.
    pub(in crate::leader) fn apply_provisioning_reply(
        &mut self,
        ctx: &Context,
        request_name: &str,
        reply: CloudReply,
        calls: &mut Calls,
    ) -> Vec<Machine> {
        let Some(request) = self.provisioning.remove(request_name) else { return Vec::new() };
        let refused_until = ctx.now + ctx.cfg.worker_lease_ms;
        let ids = match reply {
            CloudReply::Provisioned(ids) => ids,
            CloudReply::NoCapacity => {
                self.provisioning.record_refusal(request.kind, refused_until);
                self.next_plan_at = ctx.now;
                return Vec::new();
            }
            _ => {
                // The cloud may have executed the request. Since a retry has the same name, no
                // machine is provisioned twice.
                self.provisioning.retry(request, ctx.now + ctx.cfg.worker_lease_ms / 10);
                return Vec::new();
            }
        };
        calls.log(MachineEvent::ScaleOut {
            zone: request.kind.zone.clone(),
            spot: request.kind.spot,
            requested: request.count,
            provisioned: ids.len(),
        });
        if ids.len() < request.count as usize {
            self.provisioning.record_refusal(request.kind.clone(), refused_until);
        }
        // The next plan is made at once, since machines may still be missing.
        self.next_plan_at = ctx.now;
        ids.into_iter()
            .filter(|id| !self.terminated.contains(id))
            .map(|id| provisioned_machine(ctx, id, &request.kind))
            .collect()
    }
}

fn provisioned_machine(ctx: &Context, id: MachineId, kind: &MachineKind) -> Machine {
    let mut machine = Machine::new(id, &kind.machine_type, &kind.zone, kind.spot, ctx.now);
    machine.provisioned_by_this_leader = true;
    machine.requested_at = Some(ctx.now);
    machine
}

#[cfg(test)]
#[path = "scale_out_tests.rs"]
mod tests;
