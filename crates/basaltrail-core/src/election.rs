//! Leadership: one key held under a loan of the state service, one growing token.
//!
//! A node is entitled from the moment its last successful extend was *sent*,
//! for the loan's life less clock drift; the service ends a loan late but never
//! early, so no two nodes are entitled at once. Nothing peers say counts here.

use crate::io::*;
use crate::model::*;
use crate::records::*;
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
struct Holder {
    record: LeaderRecord,
    stamp: u64,
    loan: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct View {
    holder: Option<Holder>,
    term: Token,
    term_stamp: u64,
    home: Option<String>,
    /// Grants to deputies by zone, with their stamps.
    grants: BTreeMap<String, (GrantRecord, u64)>,
    /// Offers of deputies by zone, and when each was last seen to change.
    offers: BTreeMap<String, (OfferRecord, Ms)>,
    revision: u64,
}

impl View {
    /// A grant or an offer that cannot be read is none; but that there is a grant is known.
    fn learn_of_deputy(&mut self, zone: &str, what: &str, item: Option<&Item>, now: Ms) {
        match (what, item) {
            ("grant", Some(item)) => {
                let none = GrantRecord { token: Token(0), loan: 0, beat: 0, in_force: false };
                let record = decode(&item.value).unwrap_or(none);
                self.grants.insert(zone.to_string(), (record, item.stamp));
            }
            ("grant", None) => drop(self.grants.remove(zone)),
            ("offer", Some(item)) => {
                if let Some(record) = decode(&item.value) {
                    self.offers.insert(zone.to_string(), (record, now));
                }
            }
            ("offer", None) => drop(self.offers.remove(zone)),
            _ => {}
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Role {
    Following,
    Leading(Lead),
}

/// What a leader holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lead {
    pub token: Token,
    pub stamp: u64,
    loan: u64,
    right_until: Ms,
}

impl Lead {
    pub fn loan(&self) -> u64 {
        self.loan
    }
}

/// Who holds the leader's key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Leader<'a> {
    pub node: &'a str,
    pub token: Token,
    pub stamp: u64,
}

/// Calls the election has in flight.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    List,
    Watch,
    Grant {
        sent: Ms,
    },
    Take {
        loan: u64,
        granted: Ms,
        token: Token,
    },
    Extend {
        sent: Ms,
    },
    Revoke {
        loan: u64,
    },
    /// Removes the key of an earlier process of this node.
    Remove,
}

pub struct Election {
    node: String,
    zones: Vec<String>,
    incarnation: u64,
    ttl: Ms,
    right: Ms,
    view: Option<View>,
    role: Role,
    watching: bool,
    listing: bool,
    acting: bool,
    extending: bool,
    /// A loan just granted, and when it was asked for.
    pending: Option<(u64, Ms)>,
    next_list: Ms,
    next_act: Ms,
    next_revoke: Ms,
    hold_until: Ms,
    next_extend: Ms,
}

impl Election {
    pub fn new(node: &str, zones: &[String], incarnation: u64, ttl: Ms, right: Ms) -> Self {
        Election {
            node: node.into(),
            zones: zones.to_vec(),
            incarnation,
            ttl,
            right,
            view: None,
            role: Role::Following,
            watching: false,
            listing: false,
            acting: false,
            extending: false,
            pending: None,
            next_list: 0,
            next_act: 0,
            next_revoke: 0,
            hold_until: 0,
            next_extend: 0,
        }
    }

    /// What this node leads with, entitled at the moment or not.
    pub fn lead(&self) -> Option<Lead> {
        match &self.role {
            Role::Leading(l) => Some(*l),
            Role::Following => None,
        }
    }

    /// Whether this node may act for the controllers now.
    pub fn entitled(&self, now: Ms) -> bool {
        self.lead().is_some_and(|l| now < l.right_until)
    }

    /// The zone that a leader had better be in, as the last one left word.
    pub fn home(&self) -> Option<&str> {
        self.view.as_ref()?.home.as_deref()
    }

    /// The node that is believed to lead; a hint.
    pub fn leader_hint(&self) -> Option<&str> {
        self.view.as_ref()?.holder.as_ref().map(|h| h.record.node.as_str())
    }

    /// Who holds the leader's key, this node or another.
    pub fn leader(&self) -> Option<Leader<'_>> {
        let holder = self.view.as_ref()?.holder.as_ref()?;
        Some(Leader { node: &holder.record.node, token: holder.record.token, stamp: holder.stamp })
    }

    /// The grant for a zone, and its stamp.
    pub fn grant(&self, zone: &str) -> Option<(&GrantRecord, u64)> {
        self.view.as_ref()?.grants.get(zone).map(|(grant, stamp)| (grant, *stamp))
    }

    /// The last offer of a deputy in this zone to the leader with this token, and when it was
    /// seen.
    pub fn offer(&self, zone: &str, token: Token) -> Option<(&OfferRecord, Ms)> {
        let (offer, seen) = self.view.as_ref()?.offers.get(zone)?;
        (offer.token == token).then_some((offer, *seen))
    }

    pub fn step_down(&mut self, now: Ms) {
        self.role = Role::Following;
        self.view = None;
        self.next_list = now;
    }

    /// Gives leadership up for a while, so that another node may take it. The key is
    /// removed as that of an earlier process would be.
    pub fn resign(&mut self, now: Ms, hold: Ms) {
        self.step_down(now);
        self.hold_until = now + hold;
    }

    /// The calls to make now. `jitter` keeps equal nodes from asking at once.
    pub fn calls(&mut self, now: Ms, jitter: Ms) -> Vec<(Call, StateOp, Ms)> {
        let mut out = Vec::new();
        let wait = self.ttl / 2;
        if self.view.is_none() {
            if !self.listing && now >= self.next_list {
                self.listing = true;
                let limit = 10 + 2 * self.zones.len() as u32;
                let op = StateOp::List { prefix: CONTROL.into(), after: None, limit };
                out.push((Call::List, op, self.ttl / 4));
            }
        } else if !self.watching && now >= self.next_list {
            if let Some(v) = &self.view {
                self.watching = true;
                let op =
                    StateOp::Watch { prefix: CONTROL.into(), after: v.revision, wait_ms: wait };
                out.push((Call::Watch, op, wait + self.ttl / 4));
            }
        }
        match &self.role {
            Role::Leading(l) => {
                if !self.extending && now >= self.next_extend {
                    self.extending = true;
                    let op = StateOp::Extend { loan: l.loan };
                    out.push((Call::Extend { sent: now }, op, self.ttl / 5));
                }
            }
            Role::Following => {
                let Some(v) = self.view.as_ref().filter(|_| !self.acting) else { return out };
                match &v.holder {
                    // Our own name with a process that is gone (or a take whose outcome
                    // we never heard): nobody acts under it, so it can go now, unless a
                    // deputy may have had a grant under it. That one's right ends with the
                    // loan, so then the loan is left to end by itself.
                    Some(h) if h.record.node == self.node && now >= self.next_revoke => {
                        if h.loan.is_some() && v.grants.is_empty() {
                            let mut conds = vec![(LEADER.to_string(), h.stamp)];
                            conds.extend(self.zones.iter().map(|zone| (grant_key(zone), 0)));
                            self.acting = true;
                            self.next_revoke = now + self.ttl / 10;
                            let removes = vec![LEADER.to_string()];
                            let op = StateOp::Txn { conds, puts: Vec::new(), removes };
                            out.push((Call::Remove, op, self.ttl / 4));
                        }
                    }
                    None if self.next_act == Ms::MAX => self.next_act = now + jitter,
                    None if now >= self.next_act.max(self.hold_until) => {
                        self.acting = true;
                        let op = StateOp::Grant { ttl_ms: self.ttl };
                        out.push((Call::Grant { sent: now }, op, self.ttl / 4));
                    }
                    _ => {}
                }
            }
        }
        out
    }

    fn learn(&mut self, key: &str, item: Option<&Item>, now: Ms) {
        let Some(v) = self.view.as_mut() else { return };
        if key == LEADER {
            v.holder = item.and_then(|i| {
                let record = decode(&i.value)?;
                Some(Holder { record, stamp: i.stamp, loan: i.loan })
            });
            if v.holder.is_none() {
                self.next_act = Ms::MAX; // a fresh draw of the jitter
            }
        } else if key == TERM {
            if let Some(i) = item {
                v.term = decode(&i.value).unwrap_or_default();
                v.term_stamp = i.stamp;
            }
        } else if key == HOME {
            v.home = item.and_then(|i| decode(&i.value));
        } else if let Some((zone, what)) =
            key.strip_prefix(ZONES).and_then(|rest| rest.rsplit_once('/'))
        {
            v.learn_of_deputy(zone, what, item, now);
        }
        let holder = v.holder.clone();
        if let (Role::Leading(l), Some(h)) = (&self.role, holder) {
            if h.stamp > l.stamp {
                self.step_down(now);
            }
        }
    }

    /// Takes an answer; gives a loan that must be ended, if there is one.
    pub fn answer(&mut self, now: Ms, call: Call, reply: StateReply) -> Option<u64> {
        let pause = self.ttl / 20;
        match (call, reply) {
            (Call::List, StateReply::Rows { items, revision, .. }) => {
                self.listing = false;
                self.view = Some(View { revision, ..View::default() });
                self.next_act = Ms::MAX;
                for i in &items {
                    self.learn(&i.key, Some(i), now);
                }
            }
            (Call::List, _) => {
                self.listing = false;
                self.next_list = now + pause;
            }
            (Call::Watch, StateReply::Events { revision, events }) => {
                self.watching = false;
                for e in &events {
                    match e {
                        Event::Put(i) => self.learn(&i.key, Some(i), now),
                        Event::Remove { key, .. } => self.learn(key, None, now),
                    }
                }
                if let Some(v) = self.view.as_mut() {
                    v.revision = v.revision.max(revision);
                }
            }
            (Call::Watch, _) => {
                // A node that is cut off names no leader either: it would send workers
                // to one that may be gone, again and again, until their leases end.
                self.watching = false;
                self.view = None;
                self.next_list = now + pause;
            }
            (Call::Grant { sent }, StateReply::Granted { loan }) => {
                // The take follows at once; see `take`.
                self.acting = false;
                let Some(v) = &self.view else { return Some(loan) };
                if v.holder.is_some() || self.lead().is_some() {
                    return Some(loan);
                }
                self.acting = true;
                self.pending = Some((loan, sent));
            }
            (Call::Grant { .. }, _) => {
                self.acting = false;
                self.next_act = now + pause;
            }
            (Call::Take { loan, granted, token }, StateReply::Committed { revision }) => {
                self.acting = false;
                let right_until = granted + self.right;
                self.role = Role::Leading(Lead { token, stamp: revision, loan, right_until });
                self.next_extend = now;
            }
            (Call::Take { loan, .. }, _) => {
                // Refused, lost to another, or unknown: the loan ends, so a late
                // put under it does nothing that lasts.
                self.acting = false;
                self.view = None;
                self.next_list = now + pause;
                return Some(loan);
            }
            (Call::Extend { sent }, StateReply::Ok) => {
                self.extending = false;
                self.next_extend = sent + self.ttl / 5;
                let right = self.right;
                if let Role::Leading(l) = &mut self.role {
                    l.right_until = l.right_until.max(sent + right);
                }
            }
            (Call::Extend { .. }, StateReply::Missing) => {
                self.extending = false;
                if self.lead().is_some() {
                    self.step_down(now);
                }
            }
            (Call::Extend { .. }, _) => {
                self.extending = false;
                self.next_extend = now + pause;
            }
            (Call::Revoke { .. }, _) => {}
            (Call::Remove, reply) => {
                self.acting = false;
                if matches!(reply, StateReply::Committed { .. } | StateReply::Conflict { .. }) {
                    self.view = None;
                    self.next_list = now;
                }
            }
        }
        None
    }

    /// The take that follows a granted loan.
    pub fn take(&mut self) -> Option<(Call, StateOp, Ms)> {
        let (loan, granted) = self.pending.take()?;
        let v = self.view.as_ref()?;
        let token = Token(v.term.0 + 1);
        let record = LeaderRecord { node: self.node.clone(), incarnation: self.incarnation, token };
        let op = StateOp::Txn {
            conds: vec![(LEADER.into(), 0), (TERM.into(), v.term_stamp)],
            puts: vec![
                Put { key: LEADER.into(), value: encode(&record), loan: Some(loan) },
                Put { key: TERM.into(), value: encode(&token), loan: None },
            ],
            removes: Vec::new(),
        };
        Some((Call::Take { loan, granted, token }, op, self.ttl / 4))
    }
}
