//! Leadership: one key held under a loan of the state service, one growing token.
//!
//! A node is entitled from the moment its last successful extend was *sent*,
//! for the loan's life less clock drift; the service ends a loan late but never
//! early, so no two nodes are entitled at once. Nothing peers say counts here.

use crate::io::*;
use crate::model::*;
use crate::records::*;

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
    revision: u64,
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

/// Calls the election has in flight.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    List,
    Watch,
    Grant { sent: Ms },
    Take { loan: u64, granted: Ms, token: Token },
    Extend { sent: Ms },
    Revoke { loan: u64 },
}

pub struct Election {
    node: String,
    incarnation: u64,
    /// Whether it hands out allotments while it leads.
    allots: bool,
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
    pub fn new(node: &str, incarnation: u64, allots: bool, ttl: Ms, right: Ms) -> Self {
        Election {
            node: node.into(),
            incarnation,
            allots,
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

    /// Whether the leader that was read last hands out allotments.
    pub fn leader_allots(&self) -> Option<bool> {
        self.view.as_ref()?.holder.as_ref().map(|h| h.record.allots)
    }

    /// The last term that this node knows of, and the revision at which it was read.
    pub fn seen(&self) -> (Token, u64) {
        self.view.as_ref().map_or((Token(0), 0), |v| (v.term, v.revision))
    }

    pub fn step_down(&mut self, now: Ms) {
        self.role = Role::Following;
        self.view = None;
        self.next_list = now;
    }

    /// Gives leadership up for a while, so that another node may take it. The loan is
    /// ended as that of an earlier process would be.
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
                let op = StateOp::List { prefix: CONTROL.into(), after: None, limit: 10 };
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
                    // we never heard): nobody acts under it, so its loan can end now.
                    Some(h) if h.record.node == self.node && now >= self.next_revoke => {
                        if let Some(loan) = h.loan {
                            self.acting = true;
                            self.next_revoke = now + self.ttl / 10;
                            let op = StateOp::Revoke { loan };
                            out.push((Call::Revoke { loan }, op, self.ttl / 4));
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
            (Call::Revoke { .. }, reply) => {
                self.acting = false;
                if matches!(reply, StateReply::Ok | StateReply::Missing) {
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
        let record = LeaderRecord {
            node: self.node.clone(),
            incarnation: self.incarnation,
            token,
            allots: self.allots,
        };
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
