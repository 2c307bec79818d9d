//! Zones that a cut keeps from the leader, and the grants under which followers there answer
//! the workers (see [`crate::deputy`]).

use super::*;

/// A grant, as the leader holds it. Its key stays until the leader's loan ends, so that a
/// process that comes after this one sees that a deputy may still have its right.
#[derive(Debug)]
pub(super) struct Delegation {
    pub(super) in_force: bool,
    pub(super) beat: u64,
    /// It is to be written.
    pub(super) due: bool,
    next_beat: Ms,
    began: Ms,
    /// When the zone may be delegated again.
    not_before: Ms,
    /// Beats written since an offer was last seen.
    unanswered: u32,
    /// Until when a deputy may have renewed leases; not known until the end is durable.
    renewing_until: Option<Ms>,
}

/// An offer, as it was last seen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offer {
    beat: u64,
    seen: Ms,
}

/// Reports for which an offer counts, and beats for which a deputy may say nothing.
const OFFER_REPORTS: u32 = 4;

/// How many machines of a zone are up, and how many of those are silent or were heard of late.
#[derive(Clone, Copy, Default)]
struct Silence {
    up: usize,
    silent: usize,
    heard: usize,
}

impl Reign {
    /// Grants and takes back; what a deputy may have renewed does not lapse.
    pub(super) fn delegate(&mut self, ctx: &Ctx, calls: &mut Calls) {
        if ctx.cfg.zones.len() < 2 {
            return;
        }
        // Workers beyond the cut get no answer here, and try the next node. Where that one is
        // on this side too, their leases end before they come to a deputy.
        let reachable = |zone: &&String| **zone != ctx.cfg.zone && **zone == ctx.cfg.next_zone;
        let silence = self.silence_by_zone(ctx);
        let own = silence.get(&ctx.cfg.zone).copied().unwrap_or_default();
        // Else it is the leader that is cut off.
        let hears_own_zone = own.silent * 2 <= own.up;
        for zone in ctx.cfg.zones.iter().filter(reachable) {
            let silence = silence.get(zone).copied().unwrap_or_default();
            let cut = silence.up > 2 && silence.silent * 2 > silence.up;
            let fresh =
                |offer: &Offer| ctx.now <= offer.seen + ctx.cfg.report_ms * Ms::from(OFFER_REPORTS);
            let offered = self.offers.get(zone).is_some_and(fresh);
            match self.delegations.get_mut(zone).filter(|d| d.in_force) {
                // Offers are not seen in an outage, and no beats are written then.
                Some(delegation) if silence.heard >= 2 || delegation.unanswered > OFFER_REPORTS => {
                    let heard = silence.heard >= 2;
                    delegation.in_force = false;
                    delegation.due = true;
                    // The others come back one by one.
                    let rest = if heard { ctx.cfg.lease_ms } else { ctx.cfg.report_ms };
                    delegation.not_before = ctx.now + rest;
                    let detail = format!("zone={zone} heard={}", silence.heard);
                    calls.log(Level::Info, "zone_taken_back", detail);
                }
                Some(delegation) if ctx.now >= delegation.next_beat => {
                    delegation.beat += 1;
                    delegation.due = true;
                    delegation.next_beat = ctx.now + ctx.cfg.report_ms;
                }
                Some(_) => {}
                None if cut && offered && ctx.entitled && hears_own_zone => {
                    let (beat, not_before) =
                        self.delegations.get(zone).map_or((0, 0), |d| (d.beat + 1, d.not_before));
                    if ctx.now < not_before {
                        continue;
                    }
                    let delegation = Delegation {
                        in_force: true,
                        beat,
                        due: true,
                        next_beat: ctx.now + ctx.cfg.report_ms,
                        began: ctx.now,
                        not_before: 0,
                        unanswered: 0,
                        renewing_until: None,
                    };
                    self.delegations.insert(zone.clone(), delegation);
                    let detail = format!("zone={zone} silent={}/{}", silence.silent, silence.up);
                    calls.log(Level::Info, "zone_delegated", detail);
                }
                None => {}
            }
        }
        self.count_renewals(ctx);
    }

    fn silence_by_zone(&self, ctx: &Ctx) -> BTreeMap<String, Silence> {
        let silent_after = ctx.cfg.report_ms * 2;
        let mut by_zone: BTreeMap<String, Silence> =
            ctx.cfg.zones.iter().map(|zone| (zone.clone(), Silence::default())).collect();
        for machine in self.machines.values().filter(|m| !m.lapsed) {
            let Some(heard_at) = machine.last_checkin else { continue };
            let Some(silence) = by_zone.get_mut(&machine.zone) else { continue };
            let began = self.delegations.get(&machine.zone).map_or(0, |d| d.began);
            let silent = ctx.now > heard_at.max(self.woke) + silent_after;
            silence.up += 1;
            silence.silent += silent as usize;
            silence.heard += (!silent && heard_at > began + silent_after) as usize;
        }
        by_zone
    }

    /// A deputy may renew the lease of any machine of its zone at any moment while its grant is
    /// in force, and for as long as its last confirmation lasts once the end is durable.
    fn count_renewals(&mut self, ctx: &Ctx) {
        for (zone, delegation) in &self.delegations {
            let renewed = delegation.renewing_until.unwrap_or(ctx.now);
            for machine in self.machines.values_mut().filter(|m| m.zone == *zone && !m.lapsed) {
                machine.renewed = machine.renewed.max(renewed);
            }
            if delegation.in_force {
                self.cut_until.insert(zone.clone(), ctx.now + ctx.cfg.lease_ms);
            }
        }
    }

    /// What the election's view holds of an offer.
    pub fn note_offer(&mut self, zone: &str, beat: u64, seen: Ms) {
        let known = self.offers.get(zone).is_some_and(|offer| offer.beat == beat);
        if known {
            return;
        }
        self.offers.insert(zone.to_string(), Offer { beat, seen });
        if let Some(delegation) = self.delegations.get_mut(zone) {
            delegation.unanswered = 0;
        }
    }

    /// The record of a zone's grant as it is now.
    pub(super) fn grant_record(&self, zone: &str) -> Option<GrantRecord> {
        let delegation = self.delegations.get(zone)?;
        let (beat, in_force) = (delegation.beat, delegation.in_force);
        Some(GrantRecord { token: self.token, loan: self.loan, beat, in_force })
    }

    /// A grant was written as `in_force` or ended. A confirmation that was carried out before
    /// lasts for a leader's loan at the most.
    pub(super) fn grant_written(&mut self, ctx: &Ctx, zone: &str, in_force: bool) {
        let Some(delegation) = self.delegations.get_mut(zone) else { return };
        delegation.unanswered += 1;
        if !in_force && !delegation.in_force {
            delegation.renewing_until = Some(ctx.now + ctx.cfg.surely(ctx.cfg.leader_lease_ms()));
        }
    }
}

