//! Scale-in: selection and termination of machines.

use super::partitions::{
    is_silent_since_failover, silent_machines_with_replicas, zones_with_few_silent_since_failover,
};
use super::provisioning_time::ABANDONED_BOOT_TIMES;
use super::Autoscaler;
use crate::events::{MachineEvent, TerminationReason};
use crate::io::{CloudReply, CloudRequest};
use crate::leader::cluster::Cluster;
use crate::leader::scheduler::capacity::machine_type;
use crate::leader::Context;
use crate::machines::{Decommission, LastListing, Machine};
use crate::model::{FencingToken, ListedState, MachineId, Ms};
use crate::store::calls::{Calls, CloudPurpose};
use crate::store::rate_limiter::CallPriority;
use std::collections::BTreeSet;

/// Maximum number of machines per call (PROTOCOL, `POST /rentals/release`).
const MAX_MACHINES_PER_CALL: usize = 100;
/// Milliseconds after the announced time of a reclaim from which the machine counts as reclaimed.
const RECLAIM_MARGIN_MS: Ms = 500;
/// Lags of the cloud's list within which a machine must be listed: twice the two lags that PROTOCOL
/// states (`GET /rentals`).
const LIST_LAGS: Ms = 4;
/// Milliseconds added to these lags for the interval at which the list is read.
const LIST_MARGIN_MS: Ms = 4000;
/// Silence, in worker leases, after which a machine is terminated if its zone is not partitioned.
const SILENT_LEASES: Ms = 3;
/// Silence, in worker leases, after which a machine is terminated even if its zone is partitioned.
const SILENT_FOR_LONG_LEASES: Ms = 12;
/// Worker leases, in addition to [`ABANDONED_BOOT_TIMES`] of the slowest machine type, after which
/// a machine that has sent no heartbeat is terminated.
const NO_HEARTBEAT_LEASES: f64 = 2.0;

/// State of the call that terminates machines; at most one is in flight.
#[derive(Default)]
pub(in crate::leader) struct TerminationCall {
    in_flight: bool,
    next_call_at: Ms,
}

/// State of the leader that scale-in depends on.
#[derive(Clone, Copy)]
pub(in crate::leader) struct LeaderState {
    /// Fencing token of the leader.
    pub(in crate::leader) token: FencingToken,
    /// Time of its election.
    pub(in crate::leader) elected_at: Ms,
    /// Time since which it has been able to answer workers; silence of machines counts from then at
    /// the earliest.
    pub(in crate::leader) reachable_since: Ms,
}

/// Conditions, apart from the state of the machine itself, that decide whether a machine is
/// terminated.
struct TerminationCriteria<'a> {
    ctx: &'a Context<'a>,
    autoscaler: &'a Autoscaler,
    reachable_since: Ms,
    /// Machines with replicas that are silent although nearly all others of their zone send
    /// heartbeats.
    silent_with_replicas: BTreeSet<MachineId>,
    /// Zones in which few machines are silent since the failover; empty until half a worker lease
    /// after the election, or after `reachable_since` if that is later.
    zones_with_few_silent_since_failover: BTreeSet<&'a str>,
    /// Longest nominal boot time of all types.
    boot_ms: f64,
}

impl<'a> TerminationCriteria<'a> {
    fn new(
        ctx: &'a Context<'a>,
        autoscaler: &'a Autoscaler,
        cluster: &'a Cluster,
        leader: LeaderState,
    ) -> Self {
        let LeaderState { elected_at, reachable_since, .. } = leader;
        let is_settled = ctx.now > elected_at.max(reachable_since) + ctx.cfg.worker_lease_ms / 2;
        let boot_s = ctx.machine_types.iter().map(|t| t.boot_s).fold(1.0, f64::max);
        TerminationCriteria {
            ctx,
            autoscaler,
            reachable_since,
            silent_with_replicas: silent_machines_with_replicas(ctx, cluster, reachable_since),
            zones_with_few_silent_since_failover: if is_settled {
                zones_with_few_silent_since_failover(cluster)
            } else {
                BTreeSet::new()
            },
            boot_ms: boot_s * 1000.0,
        }
    }

    /// Returns the reason to terminate the machine, if there is one.
    fn termination_reason(&self, machine: &Machine) -> Option<TerminationReason> {
        if self.is_reclaimed(machine) {
            return Some(TerminationReason::Reclaimed);
        }
        // The request may have failed, or an earlier leader may not have sent it.
        let is_terminating = machine.decommission == Decommission::Terminating;
        if is_terminating && machine.reconciled && machine.is_empty() {
            return Some(TerminationReason::Drained);
        }
        if self.silent_with_replicas.contains(&machine.id) {
            return Some(TerminationReason::ReplicasSilent);
        }
        if is_silent_since_failover(machine)
            && self.zones_with_few_silent_since_failover.contains(machine.zone.as_str())
        {
            return Some(TerminationReason::SilentSinceFailover);
        }
        if self.is_reachable(machine) {
            return self.reason_if_reachable(machine);
        }
        // On a machine that is not reconciled, tasks of an earlier leader may still run.
        machine.reconciled.then(|| self.reason_if_unreachable(machine)).flatten()
    }

    /// Returns whether the announced time of the machine's reclaim has passed and it is silent. The
    /// cloud's reply to its termination proves that its tasks have ended.
    fn is_reclaimed(&self, machine: &Machine) -> bool {
        let now = self.ctx.now;
        let silence_ms = self.ctx.cfg.heartbeat_interval_ms;
        machine.reclaim_at.is_some_and(|at| now > at + RECLAIM_MARGIN_MS)
            && machine
                .last_heartbeat_at
                .is_some_and(|at| now > at.max(self.reachable_since) + silence_ms)
    }

    /// Returns the milliseconds since the machine last showed that it receives our answers, or
    /// since `reachable_since` if that is later.
    fn silence_ms(&self, machine: &Machine) -> Ms {
        let answer_received_at = machine.answer_received_at.unwrap_or(machine.known_since);
        self.ctx.now - answer_received_at.max(self.reachable_since)
    }

    /// Returns whether the machine sends heartbeats and can be used. An empty machine that does not
    /// receive our answers cannot be used.
    fn is_reachable(&self, machine: &Machine) -> bool {
        let receives_answers =
            self.silence_ms(machine) <= self.ctx.cfg.worker_lease_ms * SILENT_LEASES;
        machine.last_heartbeat_at.is_some()
            && !machine.lease_expired
            && (receives_answers || !machine.is_empty())
    }

    fn reason_if_reachable(&self, machine: &Machine) -> Option<TerminationReason> {
        let now = self.ctx.now;
        if !machine.is_empty() {
            return None;
        }
        if machine.decommission != Decommission::None && !machine.has_reclaim_notice(now) {
            return Some(TerminationReason::Drained);
        }
        machine
            .is_quarantined(now, self.ctx.cfg.worker_lease_ms)
            .then_some(TerminationReason::Quarantined)
    }

    fn reason_if_unreachable(&self, machine: &Machine) -> Option<TerminationReason> {
        let Context { now, cfg, .. } = *self.ctx;
        let silence_ms = self.silence_ms(machine);
        let age_ms = now - machine.known_since;
        let listed_within_ms = cfg.inventory_lag_ms * LIST_LAGS + LIST_MARGIN_MS;
        let is_listed =
            machine.last_listing.is_some_and(|listing| now <= listing.listed_at + listed_within_ms);
        let has_sent_no_heartbeat = machine.last_heartbeat_at.is_none();
        let is_partitioned = self.autoscaler.partitions.contains(&machine.zone);
        let max_boot_wait_ms =
            self.boot_ms * ABANDONED_BOOT_TIMES + NO_HEARTBEAT_LEASES * cfg.worker_lease_ms as f64;
        if matches!(machine.last_listing, Some(LastListing { state: ListedState::Failed, .. })) {
            Some(TerminationReason::Failed)
        } else if !is_listed
            && silence_ms > cfg.worker_lease_ms + listed_within_ms
            && age_ms > listed_within_ms
        {
            Some(TerminationReason::NotListed)
        } else if !has_sent_no_heartbeat
            && !is_partitioned
            && silence_ms > cfg.worker_lease_ms * SILENT_LEASES
        {
            Some(TerminationReason::Silent)
        } else if machine.overdue && machine.abandoned {
            Some(TerminationReason::NeverUp)
        } else if has_sent_no_heartbeat && !is_partitioned && age_ms as f64 > max_boot_wait_ms {
            Some(TerminationReason::NeverHeard)
        } else if silence_ms > cfg.worker_lease_ms * SILENT_FOR_LONG_LEASES {
            Some(TerminationReason::SilentForLong)
        } else {
            None
        }
    }
}

impl Autoscaler {
    /// Terminates machines that are drained, failed or lost. Returns those that are newly marked as
    /// terminating: the termination request is sent once the machine registry says so.
    pub(in crate::leader) fn scale_in(
        &mut self,
        ctx: &Context,
        cluster: &mut Cluster,
        leader: LeaderState,
        calls: &mut Calls,
    ) -> Vec<MachineId> {
        let is_ready = ctx.holds_valid_lease && !ctx.machine_types.is_empty();
        if !is_ready || self.termination.in_flight || ctx.now < self.termination.next_call_at {
            return Vec::new();
        }
        self.partitions.update(ctx, cluster);
        let criteria = TerminationCriteria::new(ctx, self, cluster, leader);
        let with_reason = cluster
            .machines
            .values()
            .filter_map(|m| criteria.termination_reason(m).map(|reason| (m, reason)));
        let (mut recorded, mut unmarked) = (Vec::new(), Vec::new());
        for (machine, reason) in with_reason {
            if machine.termination_recorded {
                recorded.push((machine.id.clone(), reason));
            } else if machine.decommission != Decommission::Terminating {
                unmarked.push(machine.id.clone());
            }
        }
        unmarked.truncate(MAX_MACHINES_PER_CALL);
        for id in &unmarked {
            self.mark_terminating(ctx, cluster, id);
        }
        recorded.truncate(MAX_MACHINES_PER_CALL);
        self.send_termination(ctx, leader.token, recorded, calls);
        unmarked
    }

    /// Sends a request to terminate machines, if the rate limit for calls to the cloud allows it.
    fn send_termination(
        &mut self,
        ctx: &Context,
        token: FencingToken,
        selected: Vec<(MachineId, TerminationReason)>,
        calls: &mut Calls,
    ) {
        if selected.is_empty()
            || !calls.cloud_limiter.try_acquire(ctx.now, 1.0, CallPriority::Completion)
        {
            return;
        }
        for (id, reason) in &selected {
            calls.log(MachineEvent::ScaleIn { machine: id.clone(), reason: *reason });
        }
        let machines: Vec<MachineId> = selected.into_iter().map(|(id, _)| id).collect();
        self.termination.in_flight = true;
        let purpose = CloudPurpose::Terminate { token, machines: machines.clone() };
        calls.send_to_cloud(
            purpose,
            CloudRequest::Terminate(machines),
            ctx.cfg.worker_lease_ms / 2,
        );
    }

    /// Marks the machine as terminating. It must not be used again, whatever the cloud replies.
    fn mark_terminating(&mut self, ctx: &Context, cluster: &mut Cluster, id: &MachineId) {
        let Some(machine) = cluster.machines.get_mut(id) else { return };
        machine.decommission = Decommission::Terminating;
        let never_came_up = machine.abandoned && machine.last_heartbeat_at.is_none();
        if let Some(t) =
            machine_type(ctx.machine_types, &machine.machine_type).filter(|_| never_came_up)
        {
            self.provisioning_times.record_abandonment(t, &machine.zone, ctx.now);
        }
    }

    /// Applies the reply to a termination request, and returns whether the machines have certainly
    /// been terminated. If not, they stay marked, since the cloud may still execute a call that
    /// timed out.
    pub(in crate::leader) fn apply_termination_reply(
        &mut self,
        ctx: &Context,
        reply: &CloudReply,
    ) -> bool {
        self.termination.in_flight = false;
        let are_terminated = *reply == CloudReply::Terminated;
        if !are_terminated {
            self.termination.next_call_at = ctx.now + ctx.cfg.worker_lease_ms / 10;
        }
        are_terminated
    }
}
