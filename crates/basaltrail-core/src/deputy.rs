//! A follower that answers the workers of its own zone while a cut keeps them from the leader.
//!
//! A deputy starts nothing. It renews leases, with the leader's token, and stops the tasks of
//! jobs that have ended. It may do so only under a grant that the leader wrote for its zone, and
//! only until a moment that lies before the end of the leader's loan and, once the leader has
//! taken the grant back, before the leader counts on any lease there to run out:
//!
//! - Each beat of the grant that it sees it confirms twice. It extends the *leader's* loan, so
//!   that no successor can be elected before its own right is over; and it compares the stamps of
//!   the leader's key and of the grant, so that the right ends with the grant.
//! - The right counts from when both calls were *sent*, as the leader's own does.
//! - Without new beats there is nothing to confirm: a leader that is gone is not kept alive.
//!
//! `docs/safety.md`, "Deputies", has the argument.

use crate::election::Election;
use crate::io::*;
use crate::model::*;
use crate::records::*;
use crate::settings::Settings;
use std::collections::BTreeMap;

/// Leases for which a worker that was sent to the leader to see whether the cut is over is not
/// sent there again.
const PROBE_REST_LEASES: Ms = 2;

/// Calls of a deputy that are on their way.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Extends the leader's loan.
    Extend { grant: u64 },
    /// Compares the stamps of the leader's key and of the grant.
    Confirm { grant: u64 },
    /// Offers to answer the workers of this zone.
    Offer,
}

/// The two confirmations of one beat.
#[derive(Clone, Copy, Debug)]
struct Check {
    grant: u64,
    token: Token,
    sent: Ms,
    extended: bool,
    confirmed: bool,
}

/// The right to answer.
#[derive(Clone, Copy, Debug)]
struct Right {
    token: Token,
    until: Ms,
}

pub struct Deputy {
    node: String,
    zone: String,
    /// Life of the leader's loan, and the part of it that a right lasts.
    ttl: Ms,
    right_ms: Ms,
    report_ms: Ms,
    lease_ms: Ms,
    /// The stamp of the last beat that was looked at.
    seen: u64,
    check: Option<Check>,
    right: Option<Right>,
    beat: u64,
    next_offer: Ms,
    offering: bool,
    next_probe: Ms,
    /// Workers sent to the leader of late.
    probed: BTreeMap<MachineId, Ms>,
}

impl Deputy {
    pub fn new(settings: &Settings) -> Self {
        let ttl = settings.leader_lease_ms();
        Deputy {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            ttl,
            right_ms: settings.at_most(ttl),
            report_ms: settings.report_ms,
            lease_ms: settings.lease_ms,
            seen: 0,
            check: None,
            right: None,
            beat: 0,
            next_offer: 0,
            offering: false,
            next_probe: 0,
            probed: BTreeMap::new(),
        }
    }

    /// The confirmations of a beat that has not been looked at yet.
    pub fn confirmations(&mut self, now: Ms, election: &Election) -> Vec<(Call, StateOp, Ms)> {
        let (Some(leader), Some((grant, stamp))) = (election.leader(), election.grant(&self.zone))
        else {
            return Vec::new();
        };
        let ours = leader.node == self.node;
        let current = grant.in_force && grant.token == leader.token;
        if ours || !current || stamp == self.seen || self.check.is_some() {
            return Vec::new();
        }
        self.seen = stamp;
        self.check = Some(Check {
            grant: stamp,
            token: leader.token,
            sent: now,
            extended: false,
            confirmed: false,
        });
        let extend = StateOp::Extend { loan: grant.loan };
        let confirm = StateOp::Txn {
            conds: vec![(LEADER.into(), leader.stamp), (grant_key(&self.zone), stamp)],
            puts: Vec::new(),
            removes: Vec::new(),
        };
        let patience = self.ttl / 4;
        vec![
            (Call::Extend { grant: stamp }, extend, patience),
            (Call::Confirm { grant: stamp }, confirm, patience),
        ]
    }

    /// The offer that is due, if this node does not hear the leader.
    pub fn offer(&mut self, now: Ms, election: &Election) -> Option<(Call, StateOp, Ms)> {
        let leader = election.leader()?;
        if leader.node == self.node || self.offering || now < self.next_offer {
            return None;
        }
        self.offering = true;
        self.next_offer = now + self.report_ms;
        self.beat += 1;
        let record = OfferRecord { node: self.node.clone(), token: leader.token, beat: self.beat };
        let put = Put { key: offer_key(&self.zone), value: encode(&record), loan: None };
        let op = StateOp::Txn {
            conds: vec![(LEADER.into(), leader.stamp)],
            puts: vec![put],
            removes: Vec::new(),
        };
        Some((Call::Offer, op, self.ttl / 4))
    }

    /// Takes the answer to a call.
    pub fn answer(&mut self, call: Call, reply: &StateReply) {
        let grant = match call {
            Call::Offer => {
                self.offering = false;
                return;
            }
            Call::Extend { grant } | Call::Confirm { grant } => grant,
        };
        let Some(check) = self.check.as_mut().filter(|check| check.grant == grant) else { return };
        match (call, reply) {
            (Call::Extend { .. }, StateReply::Ok) => check.extended = true,
            (Call::Confirm { .. }, StateReply::Committed { .. }) => check.confirmed = true,
            _ => {
                self.check = None;
                return;
            }
        }
        if check.extended && check.confirmed {
            self.right = Some(Right { token: check.token, until: check.sent + self.right_ms });
            self.check = None;
        }
    }

    /// Until when this node may answer.
    pub fn right_until(&self) -> Ms {
        self.right.map_or(0, |right| right.until)
    }

    /// The token to answer this report with, if it may be answered.
    pub fn token_for(&self, now: Ms, report: &Report) -> Option<Token> {
        let right = self.right.filter(|right| now < right.until)?;
        (report.zone == self.zone && report.token == right.token).then_some(right.token)
    }

    /// Whether this worker is sent to the leader to see whether the cut is over: one at a time,
    /// and none that would be left without an answer for close to its lease.
    pub fn probes(&mut self, now: Ms, machine: &MachineId) -> bool {
        let away = crate::fleet::UNANSWERED_MS + 2 * self.report_ms;
        if now < self.next_probe || away * 3 / 2 > self.lease_ms {
            return false;
        }
        let rest = PROBE_REST_LEASES * self.lease_ms;
        self.probed.retain(|_, at| now < *at + rest);
        if self.probed.contains_key(machine) {
            return false;
        }
        self.probed.insert(machine.clone(), now);
        self.next_probe = now + self.report_ms;
        true
    }
}

