//! What the cloud's list says of machines.

use crate::leader::*;
use std::collections::HashSet;

impl Leader {
    pub fn list_answer(&mut self, ctx: &Context, calls: &mut Calls, reply: CloudReply) {
        self.autoscaler.rental.list_in_flight = false;
        let CloudReply::Listed { machines, more } = reply else {
            self.autoscaler.rental.next_list = ctx.now + ctx.cfg.lease_ms / 10;
            self.autoscaler.rental.listing = None;
            return;
        };
        let mut all = self.autoscaler.rental.listing.take().unwrap_or_default();
        all.extend(machines);
        if more && all.len() < 20_000 {
            self.autoscaler.rental.listing = Some(all);
            self.autoscaler.rental.next_list = ctx.now;
            return;
        }
        self.autoscaler.rental.next_list = ctx.now + (ctx.cfg.list_lag_ms / 2).max(1000);
        if !more {
            self.remove_unlisted(ctx, calls, &all);
        }
        for l in all {
            if self.autoscaler.returned.contains(&l.machine) {
                continue;
            }
            let asked_at = ctx.now.saturating_sub((l.age_s.clamp(0.0, 1e6) * 1000.0) as Ms);
            let asked_at = (l.state == ListedState::Booting).then_some(asked_at);
            if let Some(m) = self.cluster.machines.get_mut(&l.machine) {
                m.asked_at = m.asked_at.or(asked_at);
                m.listed = Some((l.state, ctx.now));
                m.first_listed.get_or_insert(ctx.now);
                if m.endpoint.is_empty() {
                    m.endpoint = l.endpoint;
                }
                continue;
            }
            // Rented by an earlier leader, or carried out late.
            let mut m = Machine::new(l.machine.clone(), &l.machine_type, &l.zone, l.spot, ctx.now);
            m.endpoint = l.endpoint;
            m.listed = Some((l.state, ctx.now));
            m.first_listed = Some(ctx.now);
            m.known_since = ctx.now.saturating_sub((l.age_s.clamp(0.0, 1e6) * 1000.0) as Ms);
            m.asked_at = asked_at;
            calls.log(MachineEvent::Discovered { machine: l.machine.clone() });
            self.cluster.machines.insert(l.machine.clone(), m);
            self.add_to_registry(ctx, &l.machine);
        }
    }

    /// Machines that a list shows to be gone: one that was listed stays listed until it is
    /// gone, and a list is at most two lags old. What ran there need not wait for its lease.
    pub(in crate::leader) fn remove_unlisted(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        all: &[ListedMachine],
    ) {
        let oldest = ctx.cfg.list_lag_ms * 5 / 2 + 1000;
        let listed: HashSet<&MachineId> = all.iter().map(|l| &l.machine).collect();
        let gone: Vec<MachineId> = self
            .cluster
            .machines
            .values()
            .filter(|m| {
                m.first_listed.is_some_and(|t| self.autoscaler.rental.list_sent > t + oldest)
            })
            .filter(|m| {
                m.last_heartbeat.is_none_or(|t| ctx.now > t + ctx.cfg.heartbeat_interval_ms)
            })
            .filter(|m| m.decommission != Decommission::Releasing && !listed.contains(&m.id))
            .map(|m| m.id.clone())
            .collect();
        for id in gone {
            calls.log(MachineEvent::Gone { machine: id.clone() });
            self.remove_gone(ctx, calls, &id);
        }
    }
}
