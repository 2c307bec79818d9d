//! The autoscaler of a leader, which controls the number of machines of each kind and zone.
//!
//! A plan (`scale_out`, `drain`) is made twice in a heartbeat interval. It compares the machines
//! that count as capacity (`fleet`) with the number that the unfinished jobs justify
//! (`capacity_target`). `scale_in` terminates machines that are drained, failed or lost, and
//! `inventory` reconciles the known machines with the cloud's list.

pub mod provisioning;
pub mod provisioning_time;
pub mod terminated;

pub(in crate::leader) mod inventory;
pub(in crate::leader) mod partitions;
pub(in crate::leader) mod scale_in;

mod capacity_target;
mod demand;
mod drain;
mod fleet;
mod scale_out;

use crate::events::MachineEvent;
use crate::io::CloudReply;
use crate::leader::cluster::Cluster;
use crate::leader::{Context, Leader};
use crate::machines::Machine;
use crate::model::{MachineId, Ms};
use crate::settings::Settings;
use crate::store::calls::Calls;
use capacity_target::DemandPeak;
use inventory::Inventory;
use partitions::ZonePartitions;
use provisioning::ProvisioningQueue;
use provisioning_time::ProvisioningTimes;
use scale_in::{LeaderState, TerminationCall};
use std::collections::BTreeMap;
use terminated::TerminatedMachines;

/// State of the autoscaler.
pub struct Autoscaler {
    /// Provisioning requests that the cloud has not answered yet.
    pub(in crate::leader) provisioning: ProvisioningQueue,
    /// Observed times that machines take to come up.
    pub(in crate::leader) provisioning_times: ProvisioningTimes,
    /// The cloud's list of machines.
    pub(in crate::leader) inventory: Inventory,
    /// The call that terminates machines.
    termination: TerminationCall,
    /// Recently terminated machines.
    pub(in crate::leader) terminated: TerminatedMachines,
    /// Time since which there have been more machines than the jobs justify.
    surplus_since: Option<Ms>,
    /// Recent peak of the machines that the jobs could use.
    peak: DemandPeak,
    /// Time of the next plan.
    next_plan_at: Ms,
    /// The zone with the most machines.
    pub(in crate::leader) primary_zone: Option<String>,
    /// Zones that are considered partitioned.
    partitions: ZonePartitions,
}

impl Autoscaler {
    /// Creates the state of a newly elected leader.
    pub fn new(settings: &Settings, now: Ms) -> Self {
        Autoscaler {
            provisioning: ProvisioningQueue::default(),
            provisioning_times: ProvisioningTimes::default(),
            inventory: Inventory::default(),
            termination: TerminationCall::default(),
            terminated: TerminatedMachines::new(settings),
            surplus_since: None,
            peak: DemandPeak::new(now),
            next_plan_at: 0,
            primary_zone: None,
            partitions: ZonePartitions::default(),
        }
    }

    /// Updates the zone with the most machines, and returns whether it has changed.
    fn update_primary_zone(&mut self, cluster: &Cluster) -> bool {
        let mut machines: BTreeMap<&str, usize> = BTreeMap::new();
        for machine in cluster.machines.values() {
            *machines.entry(&machine.zone).or_default() += 1;
        }
        let largest = machines.into_iter().max_by_key(|(_, machines)| *machines);
        let primary_zone = largest.map(|(zone, _)| zone.to_string());
        if primary_zone.is_none() || primary_zone == self.primary_zone {
            return false;
        }
        self.primary_zone = primary_zone;
        true
    }
}

impl Leader {
    /// Sends the calls to the cloud that are due: the next page of the list of machines, and the
    /// provisioning requests of a new plan.
    pub(in crate::leader) fn call_cloud(&mut self, ctx: &Context, calls: &mut Calls) {
        if !ctx.holds_valid_lease || ctx.machine_types.is_empty() {
            return;
        }
        self.autoscaler.inventory.request_page(ctx, self.token, calls);
        if ctx.now >= self.autoscaler.next_plan_at {
            self.autoscaler.next_plan_at = ctx.now + ctx.cfg.heartbeat_interval_ms / 2;
            self.plan_fleet(ctx, calls);
        }
        self.autoscaler.send_requests(ctx, self.token, calls);
    }

    fn plan_fleet(&mut self, ctx: &Context, calls: &mut Calls) {
        let services = &self.scheduler.recent_services;
        self.autoscaler.plan(ctx, &mut self.cluster, services, self.token, calls);
    }

    /// Terminates machines that are drained, failed or lost.
    pub(in crate::leader) fn scale_in(&mut self, ctx: &Context, calls: &mut Calls) {
        let leader = LeaderState {
            token: self.token,
            elected_at: self.elected_at,
            reachable_since: self.liveness.reachable_since,
        };
        let marked = self.autoscaler.scale_in(ctx, &mut self.cluster, leader, calls);
        for id in marked {
            self.set_registered_terminating(ctx, &id);
        }
    }

    /// Updates the zone with the most machines, and schedules a write of it if it has changed.
    pub(in crate::leader) fn update_primary_zone(&mut self) {
        if self.autoscaler.update_primary_zone(&self.cluster) {
            self.writer.primary_zone_due = true;
        }
    }

    /// Applies the cloud's reply to a provisioning request.
    pub fn apply_provisioning_reply(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        request_name: &str,
        reply: CloudReply,
    ) {
        let provisioned = self.autoscaler.apply_provisioning_reply(ctx, request_name, reply, calls);
        for machine in provisioned {
            if !self.cluster.machines.contains_key(&machine.id) {
                self.add_machine(ctx, machine);
            }
        }
    }

    /// Applies the cloud's reply to a termination request.
    pub fn apply_termination_reply(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        machines: Vec<MachineId>,
        reply: CloudReply,
    ) {
        if self.autoscaler.apply_termination_reply(ctx, &reply) {
            for id in machines {
                self.remove_terminated(ctx, calls, &id);
            }
        }
    }

    /// Applies a page of the cloud's list of machines.
    pub fn apply_inventory_page(&mut self, ctx: &Context, calls: &mut Calls, reply: CloudReply) {
        let Some(listing) = self.autoscaler.inventory.apply_page(ctx, reply) else { return };
        if listing.complete {
            let inventory = &self.autoscaler.inventory;
            for id in inventory.find_gone(ctx, &self.cluster, &listing.machines) {
                calls.log(MachineEvent::Gone { machine: id.clone() });
                self.remove_terminated(ctx, calls, &id);
            }
        }
        for listed in listing.machines {
            let terminated = &self.autoscaler.terminated;
            let unknown = inventory::reconcile(ctx, &mut self.cluster, terminated, listed);
            if let Some(machine) = unknown {
                calls.log(MachineEvent::Discovered { machine: machine.id.clone() });
                self.add_machine(ctx, machine);
            }
        }
    }

    /// Adds an unknown machine to the cluster and to the machine registry.
    fn add_machine(&mut self, ctx: &Context, machine: Machine) {
        let id = machine.id.clone();
        self.cluster.machines.insert(id.clone(), machine);
        self.add_to_registry(ctx, &id);
    }
}
