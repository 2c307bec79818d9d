//! Leadership: one key held under a lease of the state service, one growing token.
//!
//! A controller is entitled from the moment its last successful extend was *sent*,
//! for the lease's life less clock drift; the service ends a lease late but never
//! early, so no two controllers are entitled at once. Nothing peers say counts here.

use crate::io::*;
use crate::model::*;
use crate::store::records::*;

#[derive(Clone, Debug, PartialEq)]
struct Holder {
    record: LeaderRecord,
    mod_revision: Revision,
    lease_id: Option<LeaseId>,
}

#[derive(Clone, Debug, Default)]
struct View {
    holder: Option<Holder>,
    term: FencingToken,
    term_mod_revision: Revision,
    primary_zone: Option<String>,
    revision: Revision,
}

#[derive(Clone, Debug, PartialEq)]
enum Role {
    Following,
    Leading(LeaderTerm),
}

/// What a leader holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderTerm {
    pub token: FencingToken,
    pub mod_revision: Revision,
    lease_id: LeaseId,
    lease_valid_until: Ms,
}

/// Calls the election has in flight.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    List,
    Watch,
    Grant { sent: Ms },
    Take { lease_id: LeaseId, granted: Ms, token: FencingToken },
    Extend { sent: Ms },
    Revoke { lease_id: LeaseId },
}

pub struct Election {
    controller: String,
    incarnation: u64,
    /// Whether it hands out allotments while it leads.
    allots: bool,
    ttl: Ms,
    lease_validity: Ms,
    view: Option<View>,
    role: Role,
    watching: bool,
    listing: bool,
    acting: bool,
    extending: bool,
    /// A lease just granted, and when it was asked for.
    pending: Option<(LeaseId, Ms)>,
    next_list: Ms,
    next_act: Ms,
    next_revoke: Ms,
    hold_until: Ms,
    next_extend: Ms,
}

impl Election {
    pub fn new(
        controller: &str,
        incarnation: u64,
        allots: bool,
        ttl: Ms,
        lease_validity: Ms,
    ) -> Self {
        Election {
            controller: controller.into(),
            incarnation,
            allots,
            ttl,
            lease_validity,
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

    /// What this controller leads with, entitled at the moment or not.
    pub fn leader_term(&self) -> Option<LeaderTerm> {
        match &self.role {
            Role::Leading(l) => Some(*l),
            Role::Following => None,
        }
    }

    /// Whether this controller may act for the controllers now.
    pub fn holds_valid_lease(&self, now: Ms) -> bool {
        self.leader_term().is_some_and(|l| now < l.lease_valid_until)
    }

    /// The zone that a leader had better be in, as the last one left word.
    pub fn primary_zone(&self) -> Option<&str> {
        self.view.as_ref()?.primary_zone.as_deref()
    }

    /// The controller that is believed to lead; a hint.
    pub fn leader_hint(&self) -> Option<&str> {
        self.view.as_ref()?.holder.as_ref().map(|h| h.record.controller.as_str())
    }

    /// Whether the leader that was read last hands out allotments.
    pub fn leader_allots(&self) -> Option<bool> {
        self.view.as_ref()?.holder.as_ref().map(|h| h.record.allots)
    }

    /// The last term that this controller knows of, and the revision at which it was read.
    pub fn seen(&self) -> (FencingToken, Revision) {
        self.view.as_ref().map_or((FencingToken(0), Revision::NONE), |v| (v.term, v.revision))
    }

    pub fn step_down(&mut self, now: Ms) {
        self.role = Role::Following;
        self.view = None;
        self.next_list = now;
    }

    /// Gives leadership up for a while, so that another controller may take it. The lease is
    /// ended as that of an earlier process would be.
    pub fn resign(&mut self, now: Ms, hold: Ms) {
        self.step_down(now);
        self.hold_until = now + hold;
    }

    /// The calls to make now. `jitter` keeps equal controllers from asking at once.
    pub fn calls(&mut self, now: Ms, jitter: Ms) -> Vec<(Call, StoreRequest, Ms)> {
        let mut out = Vec::new();
        let wait = self.ttl / 2;
        if self.view.is_none() {
            if !self.listing && now >= self.next_list {
                self.listing = true;
                let op =
                    StoreRequest::List { prefix: CONTROL_PREFIX.into(), after: None, limit: 10 };
                out.push((Call::List, op, self.ttl / 4));
            }
        } else if !self.watching && now >= self.next_list {
            if let Some(v) = &self.view {
                self.watching = true;
                let op = StoreRequest::Watch {
                    prefix: CONTROL_PREFIX.into(),
                    after: v.revision,
                    wait_ms: wait,
                };
                out.push((Call::Watch, op, wait + self.ttl / 4));
            }
        }
        match &self.role {
            Role::Leading(l) => {
                if !self.extending && now >= self.next_extend {
                    self.extending = true;
                    let op = StoreRequest::KeepAlive { lease_id: l.lease_id };
                    out.push((Call::Extend { sent: now }, op, self.ttl / 5));
                }
            }
            Role::Following => {
                let Some(v) = self.view.as_ref().filter(|_| !self.acting) else { return out };
                match &v.holder {
                    // Our own name with a process that is gone (or a take whose outcome
                    // we never heard): nobody acts under it, so its lease can end now.
                    Some(h)
                        if h.record.controller == self.controller && now >= self.next_revoke =>
                    {
                        if let Some(lease_id) = h.lease_id {
                            self.acting = true;
                            self.next_revoke = now + self.ttl / 10;
                            let op = StoreRequest::RevokeLease { lease_id };
                            out.push((Call::Revoke { lease_id }, op, self.ttl / 4));
                        }
                    }
                    None if self.next_act == Ms::MAX => self.next_act = now + jitter,
                    None if now >= self.next_act.max(self.hold_until) => {
                        self.acting = true;
                        let op = StoreRequest::GrantLease { ttl_ms: self.ttl };
                        out.push((Call::Grant { sent: now }, op, self.ttl / 4));
                    }
                    _ => {}
                }
            }
        }
        out
    }

    fn learn(&mut self, key: &str, item: Option<&KeyValue>, now: Ms) {
        let Some(v) = self.view.as_mut() else { return };
        if key == LEADER_KEY {
            v.holder = item.and_then(|i| {
                let record = decode(&i.value)?;
                Some(Holder { record, mod_revision: i.mod_revision, lease_id: i.lease_id })
            });
            if v.holder.is_none() {
                self.next_act = Ms::MAX; // a fresh draw of the jitter
            }
        } else if key == TERM_KEY {
            if let Some(i) = item {
                v.term = decode(&i.value).unwrap_or_default();
                v.term_mod_revision = i.mod_revision;
            }
        } else if key == PRIMARY_ZONE_KEY {
            v.primary_zone = item.and_then(|i| decode(&i.value));
        }
        let holder = v.holder.clone();
        if let (Role::Leading(l), Some(h)) = (&self.role, holder) {
            if h.mod_revision > l.mod_revision {
                self.step_down(now);
            }
        }
    }

    /// Takes an answer; gives a lease that must be ended, if there is one.
    pub fn answer(&mut self, now: Ms, call: Call, reply: StoreReply) -> Option<LeaseId> {
        let pause = self.ttl / 20;
        match (call, reply) {
            (Call::List, StoreReply::Page { items, revision, .. }) => {
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
            (Call::Watch, StoreReply::Events { revision, events }) => {
                self.watching = false;
                for e in &events {
                    match e {
                        WatchEvent::Put(i) => self.learn(&i.key, Some(i), now),
                        WatchEvent::Delete { key, .. } => self.learn(key, None, now),
                    }
                }
                if let Some(v) = self.view.as_mut() {
                    v.revision = v.revision.max(revision);
                }
            }
            (Call::Watch, _) => {
                // A controller that is cut off names no leader either: it would send workers
                // to one that may be gone, again and again, until their leases end.
                self.watching = false;
                self.view = None;
                self.next_list = now + pause;
            }
            (Call::Grant { sent }, StoreReply::LeaseGranted { lease_id }) => {
                // The take follows at once; see `take`.
                self.acting = false;
                let Some(v) = &self.view else { return Some(lease_id) };
                if v.holder.is_some() || self.leader_term().is_some() {
                    return Some(lease_id);
                }
                self.acting = true;
                self.pending = Some((lease_id, sent));
            }
            (Call::Grant { .. }, _) => {
                self.acting = false;
                self.next_act = now + pause;
            }
            (Call::Take { lease_id, granted, token }, StoreReply::Committed { revision }) => {
                self.acting = false;
                let lease_valid_until = granted + self.lease_validity;
                self.role = Role::Leading(LeaderTerm {
                    token,
                    mod_revision: revision,
                    lease_id,
                    lease_valid_until,
                });
                self.next_extend = now;
            }
            (Call::Take { lease_id, .. }, _) => {
                // Refused, lost to another, or unknown: the lease ends, so a late
                // put under it does nothing that lasts.
                self.acting = false;
                self.view = None;
                self.next_list = now + pause;
                return Some(lease_id);
            }
            (Call::Extend { sent }, StoreReply::Ok) => {
                self.extending = false;
                self.next_extend = sent + self.ttl / 5;
                let lease_validity = self.lease_validity;
                if let Role::Leading(l) = &mut self.role {
                    l.lease_valid_until = l.lease_valid_until.max(sent + lease_validity);
                }
            }
            (Call::Extend { .. }, StoreReply::NotFound) => {
                self.extending = false;
                if self.leader_term().is_some() {
                    self.step_down(now);
                }
            }
            (Call::Extend { .. }, _) => {
                self.extending = false;
                self.next_extend = now + pause;
            }
            (Call::Revoke { .. }, reply) => {
                self.acting = false;
                if matches!(reply, StoreReply::Ok | StoreReply::NotFound) {
                    self.view = None;
                    self.next_list = now;
                }
            }
        }
        None
    }

    /// The take that follows a granted lease.
    pub fn take(&mut self) -> Option<(Call, StoreRequest, Ms)> {
        let (lease_id, granted) = self.pending.take()?;
        let v = self.view.as_ref()?;
        let token = FencingToken(v.term.0 + 1);
        let record = LeaderRecord {
            controller: self.controller.clone(),
            incarnation: self.incarnation,
            token,
            allots: self.allots,
        };
        let op = StoreRequest::Transaction {
            preconditions: vec![
                Precondition::absent(LEADER_KEY),
                Precondition::new(TERM_KEY, v.term_mod_revision),
            ],
            puts: vec![
                PutRequest {
                    key: LEADER_KEY.into(),
                    value: encode(&record),
                    lease_id: Some(lease_id),
                },
                PutRequest { key: TERM_KEY.into(), value: encode(&token), lease_id: None },
            ],
            deletes: Vec::new(),
        };
        Some((Call::Take { lease_id, granted, token }, op, self.ttl / 4))
    }
}
