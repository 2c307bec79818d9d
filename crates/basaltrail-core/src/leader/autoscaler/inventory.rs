//! Reconciliation of the known machines with the cloud's list (PROTOCOL, `GET /rentals`).

use super::terminated::TerminatedMachines;
use crate::io::{CloudReply, CloudRequest};
use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::machines::{Decommission, LastListing, Machine};
use crate::model::{FencingToken, ListedMachine, ListedState, MachineId, Ms};
use crate::store::calls::{Calls, CloudPurpose};
use crate::store::rate_limiter::CallPriority;
use std::collections::HashSet;

/// Maximum number of machines read from one list; the rest is dropped.
const MAX_LISTED: usize = 20_000;
/// Minimum time between two lists.
const MIN_LIST_INTERVAL_MS: Ms = 1000;
/// Milliseconds by which a list may be older than the cloud's stated lag implies.
const LIST_AGE_MARGIN_MS: Ms = 1000;
/// Longest machine age in seconds that is accepted from a list; longer ones are shortened to it.
const MAX_AGE_S: f64 = 1e6;

/// A list that has been read.
pub(in crate::leader) struct Listing {
    /// The machines listed.
    pub(in crate::leader) machines: Vec<ListedMachine>,
    /// Whether the list contains all machines.
    pub(in crate::leader) complete: bool,
}

/// The list that is being read page by page.
#[derive(Default)]
pub(in crate::leader) struct Inventory {
    /// Time before which no page is requested.
    next_page_at: Ms,
    /// Machines on the pages read so far; `None` if the first page is read next.
    partial_list: Option<Vec<ListedMachine>>,
    /// Time at which the first page was requested.
    requested_at: Ms,
    in_flight: bool,
}

impl Inventory {
    /// Requests the next page if it is due and the rate limit for calls to the cloud allows it.
    pub(in crate::leader) fn request_page(
        &mut self,
        ctx: &Context,
        token: FencingToken,
        calls: &mut Calls,
    ) {
        if self.in_flight
            || ctx.now < self.next_page_at
            || !calls.cloud_limiter.try_acquire(ctx.now, 1.0, CallPriority::Background)
        {
            return;
        }
        let last_listed = self.partial_list.as_ref().and_then(|machines| machines.last());
        let after = last_listed.map(|listed| listed.machine.to_string());
        if after.is_none() {
            self.requested_at = ctx.now;
        }
        self.in_flight = true;
        calls.send_to_cloud(
            CloudPurpose::List { token },
            CloudRequest::List { after },
            ctx.cfg.worker_lease_ms / 2,
        );
    }

    /// Applies a page, and returns the list if it is the last one.
    pub(in crate::leader) fn apply_page(
        &mut self,
        ctx: &Context,
        reply: CloudReply,
    ) -> Option<Listing> {
        self.in_flight = false;
        let CloudReply::Listed { machines: page, more } = reply else {
            self.next_page_at = ctx.now + ctx.cfg.worker_lease_ms / 10;
            self.partial_list = None;
            return None;
        };
        let mut machines = self.partial_list.take().unwrap_or_default();
        machines.extend(page);
        if more && machines.len() < MAX_LISTED {
            self.partial_list = Some(machines);
            self.next_page_at = ctx.now;
            return None;
        }
        self.next_page_at = ctx.now + (ctx.cfg.inventory_lag_ms / 2).max(MIN_LIST_INTERVAL_MS);
        Some(Listing { machines, complete: !more })
    }

    /// Returns the machines that no longer exist according to a complete list.
    ///
    /// A machine that has been listed stays listed while it exists, and a list is at most two lags
    /// old. The tasks of such a machine need not wait until its lease expires.
    pub(in crate::leader) fn find_gone(
        &self,
        ctx: &Context,
        cluster: &Cluster,
        listed: &[ListedMachine],
    ) -> Vec<MachineId> {
        let max_list_age_ms = ctx.cfg.inventory_lag_ms * 5 / 2 + LIST_AGE_MARGIN_MS;
        let listed: HashSet<&MachineId> = listed.iter().map(|listed| &listed.machine).collect();
        let was_listed_before = |machine: &Machine| {
            machine.first_listed_at.is_some_and(|at| self.requested_at > at + max_list_age_ms)
        };
        let is_silent = |machine: &Machine| {
            machine.last_heartbeat_at.is_none_or(|at| ctx.now > at + ctx.cfg.heartbeat_interval_ms)
        };
        cluster
            .machines
            .values()
            .filter(|machine| was_listed_before(machine) && is_silent(machine))
            .filter(|m| m.decommission != Decommission::Terminating && !listed.contains(&m.id))
            .map(|machine| machine.id.clone())
            .collect()
    }
}

/// Applies the entry of one machine in the list. Returns the machine if it is unknown, because an
/// earlier leader requested it or the cloud executed a request late.
pub(in crate::leader) fn reconcile(
    ctx: &Context,
    cluster: &mut Cluster,
    terminated: &TerminatedMachines,
    listed: ListedMachine,
) -> Option<Machine> {
    if terminated.contains(&listed.machine) {
        return None;
    }
    let age_ms = (listed.age_s.clamp(0.0, MAX_AGE_S) * 1000.0) as Ms;
    let requested_at = ctx.now.saturating_sub(age_ms);
    let booting_since = (listed.state == ListedState::Booting).then_some(requested_at);
    if let Some(machine) = cluster.machines.get_mut(&listed.machine) {
        machine.requested_at = machine.requested_at.or(booting_since);
        machine.last_listing = Some(LastListing { state: listed.state, listed_at: ctx.now });
        machine.first_listed_at.get_or_insert(ctx.now);
        if machine.endpoint.is_empty() {
            machine.endpoint = listed.endpoint;
        }
        return None;
    }
    let ListedMachine { machine: id, machine_type, zone, spot, .. } = listed;
    let mut machine = Machine::new(id, &machine_type, &zone, spot, ctx.now);
    machine.endpoint = listed.endpoint;
    machine.last_listing = Some(LastListing { state: listed.state, listed_at: ctx.now });
    machine.first_listed_at = Some(ctx.now);
    machine.known_since = requested_at;
    machine.requested_at = booting_since;
    Some(machine)
}
