//! Scale-in: which machines are terminated, and why.

use super::partitions::{is_unheard, silent_machines_with_replicas, zones_with_few_unheard};
use super::provisioning_time::ABANDONED;
use super::Autoscaler;
use crate::events::{MachineEvent, ReleaseReason};
use crate::io::{CloudReply, CloudRequest};
use crate::leader::cluster::Cluster;
use crate::leader::scheduler::capacity::machine_type;
use crate::leader::Context;
use crate::machines::{Decommission, Machine};
use crate::model::{FencingToken, ListedState, MachineId, Ms};
use crate::store::calls::{Calls, CloudPurpose};
use crate::store::rate_limiter::CallPriority;
use std::collections::BTreeSet;

/// Machines that one call may terminate (PROTOCOL, `POST /rentals/release`).
const MAX_MACHINES_PER_CALL: usize = 100;
/// Milliseconds after the announced time of a reclaim from which the machine counts as taken.
const RECLAIM_MARGIN_MS: Ms = 500;
/// Lags of the cloud's list after which a machine must be listed: twice what PROTOCOL states
/// (`GET /rentals`: up to two).
const LIST_LAGS: Ms = 4;
/// Milliseconds beyond that, for the interval at which the list is read.
const LIST_MARGIN_MS: Ms = 4000;
/// Leases of silence after which a machine outside of a network partition is terminated.
const SILENT_LEASES: Ms = 3;
/// Leases of silence after which no network partition explains it.
const SILENT_FOR_LONG_LEASES: Ms = 12;
/// Leases beyond the longest time to come up after which a machine never heard is terminated.
const NEVER_HEARD_LEASES: f64 = 2.0;

/// The call that terminates machines; one at a time.
#[derive(Default)]
pub(in crate::leader) struct TerminationCall {
    in_flight: bool,
    not_before: Ms,
}

/// What scale-in knows of the leader.
#[derive(Clone, Copy)]
pub(in crate::leader) struct LeaderState {
    /// Its fencing token.
    pub(in crate::leader) token: FencingToken,
    /// When it was elected.
    pub(in crate::leader) elected_at: Ms,
    /// When it was last able to answer workers again: silence of machines counts from there.
    pub(in crate::leader) reachable_since: Ms,
}

/// What the termination of a machine depends on beside the machine.
struct Criteria<'a> {
    ctx: &'a Context<'a>,
    autoscaler: &'a Autoscaler,
    reachable_since: Ms,
    /// Machines with replicas that are silent though nearly all of their zone are heard.
    silent_with_replicas: BTreeSet<MachineId>,
    /// Zones in which few machines were not heard since the failover, once it is half a lease
    /// ago.
    few_unheard: BTreeSet<&'a str>,
    /// The longest nominal boot time of all types.
    boot_ms: f64,
}

impl<'a> Criteria<'a> {
    fn new(
        ctx: &'a Context<'a>,
        autoscaler: &'a Autoscaler,
        cluster: &'a Cluster,
        leader: LeaderState,
    ) -> Self {
        let LeaderState { elected_at, reachable_since, .. } = leader;
        let settled = ctx.now > elected_at.max(reachable_since) + ctx.cfg.lease_ms / 2;
        let boot_s = ctx.types.iter().map(|t| t.boot_s).fold(1.0, f64::max);
        Criteria {
            ctx,
            autoscaler,
            reachable_since,
            silent_with_replicas: silent_machines_with_replicas(ctx, cluster, reachable_since),
            few_unheard: if settled { zones_with_few_unheard(cluster) } else { BTreeSet::new() },
            boot_ms: boot_s * 1000.0,
        }
    }

    /// Why a machine is terminated, if it is.
    fn reason(&self, machine: &Machine) -> Option<ReleaseReason> {
        if self.is_reclaimed(machine) {
            return Some(ReleaseReason::Reclaimed);
        }
        if self.silent_with_replicas.contains(&machine.id) {
            return Some(ReleaseReason::ReplicasSilent);
        }
        if is_unheard(machine) && self.few_unheard.contains(machine.zone.as_str()) {
            return Some(ReleaseReason::SilentSinceFailover);
        }
        if self.is_up(machine) {
            return self.reason_while_up(machine);
        }
        // What an earlier leader started there may still run.
        machine.reconciled.then(|| self.reason_while_down(machine)).flatten()
    }

    /// Its time is over by its own word; the answer proves that it is gone.
    fn is_reclaimed(&self, machine: &Machine) -> bool {
        let now = self.ctx.now;
        let missed_after = self.ctx.cfg.heartbeat_interval_ms;
        machine.reclaim_at.is_some_and(|at| now > at + RECLAIM_MARGIN_MS)
            && machine
                .last_heartbeat
                .is_some_and(|at| now > at.max(self.reachable_since) + missed_after)
    }

    /// Milliseconds since it last showed that it receives our answers.
    fn silence_ms(&self, machine: &Machine) -> Ms {
        let heard_at = machine.answer_received_at.unwrap_or(machine.known_since);
        self.ctx.now - heard_at.max(self.reachable_since)
    }

    /// Whether it reports and is of use: one that does not receive our answers is not.
    fn is_up(&self, machine: &Machine) -> bool {
        let receives = self.silence_ms(machine) <= self.ctx.cfg.lease_ms * SILENT_LEASES;
        machine.last_heartbeat.is_some()
            && !machine.lease_expired
            && (receives || !machine.is_empty())
    }

    fn reason_while_up(&self, machine: &Machine) -> Option<ReleaseReason> {
        let now = self.ctx.now;
        if !machine.is_empty() {
            return None;
        }
        if machine.decommission != Decommission::No && !machine.has_reclaim_notice(now) {
            return Some(ReleaseReason::Drained);
        }
        machine.is_quarantined(now, self.ctx.cfg.lease_ms).then_some(ReleaseReason::Quarantined)
    }

    fn reason_while_down(&self, machine: &Machine) -> Option<ReleaseReason> {
        let Context { now, cfg, .. } = *self.ctx;
        let silence_ms = self.silence_ms(machine);
        let age_ms = now - machine.known_since;
        let list_ms = cfg.list_lag_ms * LIST_LAGS + LIST_MARGIN_MS;
        let listed = machine.last_listed.is_some_and(|(_, at)| now <= at + list_ms);
        let never_heard = machine.last_heartbeat.is_none();
        let partitioned = self.autoscaler.partitions.contains(&machine.zone);
        let longest_ms = self.boot_ms * ABANDONED + NEVER_HEARD_LEASES * cfg.lease_ms as f64;
        if matches!(machine.last_listed, Some((ListedState::Failed, _))) {
            Some(ReleaseReason::Failed)
        } else if !listed && silence_ms > cfg.lease_ms + list_ms && age_ms > list_ms {
            Some(ReleaseReason::NotListed)
        } else if !never_heard && !partitioned && silence_ms > cfg.lease_ms * SILENT_LEASES {
            Some(ReleaseReason::Silent)
        } else if machine.overdue && machine.abandoned {
            Some(ReleaseReason::NeverUp)
        } else if never_heard && !partitioned && age_ms as f64 > longest_ms {
            Some(ReleaseReason::NeverHeard)
        } else if silence_ms > cfg.lease_ms * SILENT_FOR_LONG_LEASES {
            Some(ReleaseReason::SilentForLong)
        } else {
            None
        }
    }
}

impl Autoscaler {
    /// Terminates machines that are drained, failed or lost.
    pub(in crate::leader) fn scale_in(
        &mut self,
        ctx: &Context,
        cluster: &mut Cluster,
        leader: LeaderState,
        calls: &mut Calls,
    ) {
        let ready = ctx.holds_valid_lease && !ctx.types.is_empty();
        if !ready || self.termination.in_flight || ctx.now < self.termination.not_before {
            return;
        }
        self.partitions.note(ctx, cluster);
        let criteria = Criteria::new(ctx, self, cluster, leader);
        let terminated: Vec<(MachineId, ReleaseReason)> = cluster
            .machines
            .values()
            .filter_map(|m| criteria.reason(m).map(|reason| (m.id.clone(), reason)))
            .take(MAX_MACHINES_PER_CALL)
            .collect();
        if terminated.is_empty()
            || !calls.cloud_rate.try_acquire(ctx.now, 1.0, CallPriority::Completion)
        {
            return;
        }
        for (id, reason) in &terminated {
            self.note_termination(ctx, cluster, id);
            calls.log(MachineEvent::ScaleIn { machine: id.clone(), reason: *reason });
        }
        let machines: Vec<MachineId> = terminated.into_iter().map(|(id, _)| id).collect();
        self.termination.in_flight = true;
        let purpose = CloudPurpose::Terminate { token: leader.token, machines: machines.clone() };
        calls.send_to_cloud(purpose, CloudRequest::Terminate(machines), ctx.cfg.lease_ms / 2);
    }

    /// From here on the machine is not to be used, whatever the cloud answers.
    fn note_termination(&mut self, ctx: &Context, cluster: &mut Cluster, id: &MachineId) {
        let Some(machine) = cluster.machines.get_mut(id) else { return };
        machine.decommission = Decommission::Terminating;
        let never_came = machine.abandoned && machine.last_heartbeat.is_none();
        if let Some(t) = machine_type(ctx.types, &machine.machine_type).filter(|_| never_came) {
            self.provisioning_times.note_abandoned(t, &machine.zone, ctx.now);
        }
    }

    /// Takes the answer to a termination; true if the machines are gone. If not, they stay
    /// marked: a call that timed out may still be carried out.
    pub(in crate::leader) fn take_termination_answer(
        &mut self,
        ctx: &Context,
        reply: &CloudReply,
    ) -> bool {
        self.termination.in_flight = false;
        let gone = *reply == CloudReply::Terminated;
        if !gone {
            self.termination.not_before = ctx.now + ctx.cfg.lease_ms / 10;
        }
        gone
    }
}
