//! Scale-out: which machines are requested, and what the cloud answers.

use super::capacity_target::{capacity_targets, CapacityTarget};
use super::demand::demand_by_type;
use super::fleet::{live_machines, Fleet, KindNeeds};
use super::partitions::unheard_since_failover;
use super::provisioning::{kinds_by_price, ProvisioningRequest};
use super::provisioning_time::MachineOnItsWay;
use super::Autoscaler;
use crate::events::MachineEvent;
use crate::io::{CloudReply, CloudRequest};
use crate::leader::cluster::Cluster;
use crate::leader::scheduler::capacity::machine_type;
use crate::leader::scheduler::reserved_capacity::ReplicaSizes;
use crate::leader::Context;
use crate::machines::{Decommission, Machine, MachineKind};
use crate::model::{FencingToken, MachineId};
use crate::store::calls::{Calls, CloudPurpose};
use crate::store::rate_limiter::CallPriority;

/// What the fleet is, and what it should be.
pub(in crate::leader) struct FleetPlan {
    /// How many machines of each type pay.
    pub(in crate::leader) targets: Vec<CapacityTarget>,
    /// The machines that are counted on.
    pub(in crate::leader) fleet: Fleet,
    /// The machines that are needed whatever they cost.
    pub(in crate::leader) needs: KindNeeds,
}

impl FleetPlan {
    /// Machines of a kind that are worth requesting. `requested` of the type and
    /// `requested_of_kind` of the kind were requested and not answered yet.
    fn shortage(&self, kind: &MachineKind, requested: usize, requested_of_kind: usize) -> usize {
        let target = self
            .targets
            .iter()
            .find(|target| target.machine_type == kind.machine_type && target.spot == kind.spot);
        let worthwhile = target.map_or(0, |target| target.worthwhile);
        let missing = self.needs.missing(kind).saturating_sub(requested_of_kind);
        worthwhile.saturating_sub(self.fleet.of_type(&kind.machine_type) + requested).max(missing)
    }
}

impl Autoscaler {
    /// Plans the fleet: requests machines that are worth it, and drains those that are not.
    pub(in crate::leader) fn plan(
        &mut self,
        ctx: &Context,
        cluster: &mut Cluster,
        sizes: &ReplicaSizes,
        token: FencingToken,
        calls: &mut Calls,
    ) {
        let demand = demand_by_type(ctx, cluster);
        let targets = capacity_targets(ctx, &demand, &mut self.peak);
        self.note_overdue(ctx, cluster);
        let live = live_machines(ctx, cluster);
        let fleet = Fleet::count(&live);
        let needs = KindNeeds::find(ctx, cluster, sizes, &live, &fleet);
        let plan = FleetPlan { targets, fleet, needs };
        while !self.provisioning.is_full() {
            let Some((kind, machines)) = self.next_request(ctx, cluster, &plan) else { break };
            self.provisioning.add(token, kind, machines);
        }
        self.drain_surplus(ctx, cluster, plan, calls);
    }

    /// The cheapest kind that is worth requesting, and how many of it.
    fn next_request(
        &self,
        ctx: &Context,
        cluster: &Cluster,
        plan: &FleetPlan,
    ) -> Option<(MachineKind, usize)> {
        let queue = &self.provisioning;
        let requested_of_kind = |kind: &MachineKind| queue.requested(|other| other == kind);
        // A team without a limit may have work for more machines than can report to a leader.
        let known = cluster.machines.len() + queue.requested(|_| true);
        let left = ctx.cfg.max_machines.saturating_sub(known);
        // Machines beyond a network partition could not be reached.
        let reachable =
            |zone: &str| !self.partitions.contains(zone) && !unheard_since_failover(cluster, zone);
        let kinds =
            kinds_by_price(ctx.types, |kind| plan.fleet.of_kind(kind) + requested_of_kind(kind));
        kinds
            .into_iter()
            .filter(|kind| queue.is_open(kind, ctx.now) && reachable(&kind.zone))
            .find_map(|kind| {
                let requested = queue.requested(|other| other.machine_type == kind.machine_type);
                let machines = plan
                    .shortage(&kind, requested, requested_of_kind(&kind))
                    .min(self.allowance(ctx, &kind))
                    .min(left);
                (machines > 0).then_some((kind, machines))
            })
    }

    /// Machines that may be requested where others of the type are overdue.
    fn allowance(&self, ctx: &Context, kind: &MachineKind) -> usize {
        let requested = self.provisioning.requested(|other| {
            (&other.machine_type, &other.zone) == (&kind.machine_type, &kind.zone)
        });
        machine_type(ctx.types, &kind.machine_type).map_or(0, |machine_type| {
            self.provisioning_times.allowance(machine_type, &kind.zone, requested, ctx.now)
        })
    }

    /// Marks the machines on their way that are not counted on any more.
    fn note_overdue(&mut self, ctx: &Context, cluster: &mut Cluster) {
        let times = &self.provisioning_times;
        let mut on_their_way = Vec::new();
        for machine in cluster.machines.values_mut() {
            let requested_at = machine
                .requested_at
                .filter(|_| machine.last_heartbeat.is_none() && machine.is_empty());
            let known_type = machine_type(ctx.types, &machine.machine_type);
            machine.overdue = false;
            if let (Some(at), Some(machine_type), Decommission::No) =
                (requested_at, known_type, machine.decommission)
            {
                let zone = &machine.zone;
                machine.overdue = ctx.now > at + times.overdue_after(machine_type, zone, ctx.now);
                machine.abandoned =
                    ctx.now > at + times.abandoned_after(machine_type, zone, ctx.now);
                on_their_way.push((machine_type, zone.clone(), machine.overdue));
            }
        }
        let machines = on_their_way.iter().map(|(machine_type, zone, overdue)| MachineOnItsWay {
            machine_type,
            zone,
            overdue: *overdue,
        });
        self.provisioning_times.count(machines);
    }

    /// Sends the requests that are due, as far as the rate of calls allows.
    pub(in crate::leader) fn send_requests(
        &mut self,
        ctx: &Context,
        token: FencingToken,
        calls: &mut Calls,
    ) {
        let due = |r: &&mut ProvisioningRequest| !r.in_flight && ctx.now >= r.not_before;
        for request in self.provisioning.pending.iter_mut().filter(due) {
            if !calls.cloud_rate.try_acquire(ctx.now, 1.0, CallPriority::Request) {
                break;
            }
            request.in_flight = true;
            let requisition = request.requisition.clone();
            let call = CloudRequest::Provision {
                requisition: requisition.clone(),
                machine_type: request.kind.machine_type.clone(),
                zone: request.kind.zone.clone(),
                spot: request.kind.spot,
                count: request.count,
            };
            calls.send_to_cloud(
                CloudPurpose::Provision { token, requisition },
                call,
                ctx.cfg.lease_ms / 2,
            );
        }
    }

    /// Takes the answer to a request; returns the machines that it names.
    pub(in crate::leader) fn take_provisioning_answer(
        &mut self,
        ctx: &Context,
        requisition: &str,
        reply: CloudReply,
        calls: &mut Calls,
    ) -> Vec<Machine> {
        let Some(request) = self.provisioning.take(requisition) else { return Vec::new() };
        let refused_until = ctx.now + ctx.cfg.lease_ms;
        let ids = match reply {
            CloudReply::Provisioned(ids) => ids,
            CloudReply::NoCapacity => {
                self.provisioning.refuse(request.kind, refused_until);
                self.next_plan_at = ctx.now;
                return Vec::new();
            }
            _ => {
                // The outcome is unknown.
                self.provisioning.retry(request, ctx.now + ctx.cfg.lease_ms / 10);
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
            self.provisioning.refuse(request.kind.clone(), refused_until);
        }
        // What is still wanted is requested at once.
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
