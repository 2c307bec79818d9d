//! Machines given back, and what silence of many of them means.

use crate::leader::autoscaler::provisioning_time::NEVER;
use crate::leader::scheduler::services::{silent_machines_with_replicas, FEW_OF_ZONE};
use crate::leader::*;

impl Leader {
    /// Gives back what is drained, failed or lost.
    pub(in crate::leader) fn returns(&mut self, ctx: &Context, calls: &mut Calls) {
        let ready = ctx.holds_valid_lease && !ctx.types.is_empty();
        let busy = self.autoscaler.rental.release_in_flight
            || ctx.now < self.autoscaler.rental.release_not_before;
        if !ready || busy {
            return;
        }
        let boot_ms = ctx.types.iter().map(|t| t.boot_s).fold(1.0, f64::max) * 1000.0;
        let lag = ctx.cfg.list_lag_ms;
        self.note_cuts(ctx);
        let woke = self.liveness.woke;
        // After a takeover older work waits for a word of every machine that may hold some.
        // Those few that are silent when the others have spoken are most likely dead, and
        // the answer to their release makes sure of it sooner than their lease does. Many
        // silent ones of a zone are cut off, and come back.
        let unheard = |m: &Machine| {
            !m.reconciled && m.answers_without_token == 0 && m.last_heartbeat.is_none()
        };
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for m in self.cluster.machines.values() {
            let zone = zones.entry(&m.zone).or_default();
            zone.0 += 1;
            zone.1 += unheard(m) as usize;
        }
        let given_up = silent_machines_with_replicas(ctx, &self.cluster, self.liveness.woke);
        let late = ctx.now > self.since.max(woke) + ctx.cfg.lease_ms / 2;
        let few = |zone: &str| late && zones.get(zone).is_some_and(|(n, s)| s * FEW_OF_ZONE <= *n);
        let mut go = Vec::new();
        for m in self.cluster.machines.values() {
            let age = ctx.now - m.known_since;
            let seen = m.listed.is_some_and(|(_, at)| ctx.now <= at + lag * 4 + 4000);
            let failed = matches!(m.listed, Some((ListedState::Failed, _)));
            let silence = ctx.now - m.heard_at.unwrap_or(m.known_since).max(woke);
            // One that reports and does not hear is of no use.
            let up = m.last_heartbeat.is_some()
                && !m.lease_expired
                && (silence <= ctx.cfg.lease_ms * 3 || !m.empty());
            let cut = self.autoscaler.cut_until.contains_key(&m.zone);
            // Its time is over by its own word; the answer makes sure that it is gone.
            let taken = m.gone_at.is_some_and(|t| ctx.now > t + 500)
                && m.last_heartbeat
                    .is_some_and(|t| ctx.now > t.max(woke) + ctx.cfg.heartbeat_interval_ms);
            let reason = if taken {
                ReleaseReason::Reclaimed
            } else if given_up.contains(&m.id) {
                ReleaseReason::ReplicasSilent
            } else if unheard(m) && few(&m.zone) {
                ReleaseReason::SilentSinceFailover
            } else if up && m.decommission != Decommission::No && m.empty() && !m.notice(ctx.now) {
                ReleaseReason::Drained
            } else if up && m.empty() && m.faulty(ctx.now, ctx.cfg.lease_ms) {
                ReleaseReason::Quarantined
            } else if up || !m.reconciled {
                continue;
            } else if failed {
                ReleaseReason::Failed
            } else if !seen && silence > ctx.cfg.lease_ms + lag * 4 + 4000 && age > lag * 4 + 4000 {
                ReleaseReason::NotListed
            } else if m.last_heartbeat.is_some() && !cut && silence > ctx.cfg.lease_ms * 3 {
                ReleaseReason::Silent
            } else if m.late && m.given_up {
                ReleaseReason::NeverUp
            } else if m.last_heartbeat.is_none()
                && !cut
                && age as f64 > boot_ms * NEVER + 2.0 * ctx.cfg.lease_ms as f64
            {
                ReleaseReason::NeverHeard
            } else if silence > ctx.cfg.lease_ms * 12 {
                ReleaseReason::SilentForLong
            } else {
                continue;
            };
            go.push((m.id.clone(), reason));
            if go.len() >= RELEASE_MOST {
                break;
            }
        }
        if go.is_empty() || !calls.cloud.take(ctx.now, 1.0, CallPriority::Completion) {
            return;
        }
        for (id, reason) in &go {
            if let Some(m) = self.cluster.machines.get_mut(id) {
                m.decommission = Decommission::Releasing;
                let t = ctx.types.iter().find(|t| t.name == m.machine_type);
                if let Some(t) = t.filter(|_| m.given_up && m.last_heartbeat.is_none()) {
                    self.autoscaler.rental.boots.missed(t, &m.zone, ctx.now);
                }
            }
            calls.log(MachineEvent::ScaleIn { machine: id.clone(), reason: *reason });
        }
        let go: Vec<MachineId> = go.into_iter().map(|(id, _)| id).collect();
        self.autoscaler.rental.release_in_flight = true;
        let purpose = Purpose::Release { token: self.token, machines: go.clone() };
        calls.cloud(purpose, CloudRequest::Terminate(go), ctx.cfg.lease_ms / 2);
    }

    /// Whether most machines of a zone that were in use under an earlier leader have not
    /// spoken yet: that leader may have ended within a cut.
    pub(in crate::leader) fn unheard(&self, zone: &str) -> bool {
        let (mut all, mut silent) = (0, 0);
        for m in self.cluster.machines.values().filter(|m| m.expected && m.zone == zone) {
            all += 1;
            silent += m.last_heartbeat.is_none() as usize;
        }
        all > 2 && silent * 2 > all
    }

    /// Zones most of whose machines went silent: cut off rather than broken. They
    /// count as such for a while after, since their machines come back one by one.
    pub(in crate::leader) fn note_cuts(&mut self, ctx: &Context) {
        let mut count: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for m in self.cluster.machines.values().filter(|m| m.last_heartbeat.is_some()) {
            let c = count.entry(&m.zone).or_default();
            c.0 += 1;
            c.1 += m.lease_expired as usize;
        }
        for (zone, (n, lease_expired)) in count {
            if n > 2 && lease_expired * 2 > n {
                self.autoscaler.cut_until.insert(zone.to_string(), ctx.now + ctx.cfg.lease_ms);
            }
        }
        self.autoscaler.cut_until.retain(|_, until| *until > ctx.now);
    }

    /// Whether this controller seems to have lost the workers: most of those that reported to
    /// it went silent, in its own zone too, well before their leases end.
    pub(in crate::leader) fn find_lost(&self, ctx: &Context) -> bool {
        let silent_after = ctx.cfg.lease_ms * 2 / 5;
        let (mut all, mut silent, mut near, mut near_silent) = (0, 0, 0, 0);
        for m in self.cluster.machines.values().filter(|m| m.decommission == Decommission::No) {
            let Some(at) = m.last_heartbeat else { continue };
            let is_silent = (ctx.now > at.max(self.liveness.woke) + silent_after) as usize;
            all += 1;
            silent += is_silent;
            if m.zone == ctx.cfg.zone {
                near += 1;
                near_silent += is_silent;
            }
        }
        all > 2 && silent * 3 > all * 2 && near_silent * 3 >= near * 2
    }

    /// Leaves word of the zone with the most machines.
    pub(in crate::leader) fn note_preferred_zone(&mut self) {
        let mut count: BTreeMap<&str, usize> = BTreeMap::new();
        for m in self.cluster.machines.values() {
            *count.entry(&m.zone).or_default() += 1;
        }
        let primary_zone = count.into_iter().max_by_key(|(_, n)| *n).map(|(z, _)| z.to_string());
        if primary_zone.is_some() && primary_zone != self.autoscaler.primary_zone {
            self.autoscaler.primary_zone = primary_zone;
            self.writer.preferred_zone_due = true;
        }
    }

    pub fn release_answer(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        machines: Vec<MachineId>,
        reply: CloudReply,
    ) {
        self.autoscaler.rental.release_in_flight = false;
        if reply == CloudReply::Terminated {
            for id in machines {
                self.remove_gone(ctx, calls, &id);
            }
        } else {
            // They stay marked: a release that was given up may still be carried out.
            self.autoscaler.rental.release_not_before = ctx.now + ctx.cfg.lease_ms / 10;
        }
    }
}

#[cfg(test)]
#[path = "scale_in_tests.rs"]
mod tests;
