//! Leader election: one key held under a lease of the state service, and one growing token.
//!
//! A controller holds a valid lease from the moment at which its last successful keep-alive was
//! *sent*, for the lease's time to live less clock drift; the service ends a lease late but never
//! early, so no two controllers hold a valid one at once (PROTOCOL, `POST /grants`). Nothing that
//! peers say counts here.
//!
//! The election is a state machine without I/O: [`Election::requests`] returns what to ask the
//! state service now, [`Election::reply`] takes the answers.

use crate::io::{KeyValue, Precondition, PutRequest, StoreReply, StoreRequest, WatchEvent};
use crate::model::{FencingToken, LeaseId, Ms, Revision};
use crate::store::records::{
    decode, encode, LeaderRecord, CONTROL_PREFIX, LEADER_KEY, PRIMARY_ZONE_KEY, TERM_KEY,
};

/// Keys under the control prefix at the most: there are three.
const CONTROL_KEYS: u32 = 10;
/// Keep-alives in the time to live of a lease: several may be lost before it expires.
const KEEP_ALIVES_PER_TTL: Ms = 5;
/// Pauses after a failed request in the time to live of a lease.
const PAUSES_PER_TTL: Ms = 20;
/// Revocations of the lease of an earlier process in the time to live of a lease.
const REVOCATIONS_PER_TTL: Ms = 10;
/// The time for which a watch waits, as a part of the time to live of a lease.
const WATCHES_PER_TTL: Ms = 2;
/// The time for which a request waits for its answer, as a part of the time to live of a lease.
const TIMEOUTS_PER_TTL: Ms = 4;
/// `next_campaign` while the jitter is to be drawn anew.
const JITTER_NOT_DRAWN: Ms = Ms::MAX;

/// Who holds the leader key.
#[derive(Clone, Debug, PartialEq)]
struct Holder {
    record: LeaderRecord,
    mod_revision: Revision,
    lease_id: Option<LeaseId>,
}

/// What was last read of the keys under the control prefix.
#[derive(Clone, Debug, Default)]
struct View {
    holder: Option<Holder>,
    /// The token of the last leader.
    term: FencingToken,
    term_mod_revision: Revision,
    primary_zone: Option<String>,
    /// The store's revision up to which changes are known.
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
    /// The fencing token that it leads with.
    pub token: FencingToken,
    /// The mod revision of its record under the leader key.
    pub mod_revision: Revision,
    lease_id: LeaseId,
    /// The moment at which another controller may hold a valid lease.
    lease_valid_until: Ms,
}

/// A lease that was granted for a campaign.
#[derive(Clone, Copy, Debug, PartialEq)]
struct GrantedLease {
    lease_id: LeaseId,
    /// When it was asked for; its time to live counts from there.
    requested_at: Ms,
}

/// What a request of the election is for; it comes back with the reply.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionCall {
    /// Reads the keys under the control prefix.
    List,
    /// Watches the keys under the control prefix.
    Watch,
    /// Asks for a lease to campaign with.
    GrantLease {
        /// When the request was made.
        sent: Ms,
    },
    /// Writes the leader key and the next token under the lease.
    Campaign {
        /// The lease.
        lease_id: LeaseId,
        /// When the lease was asked for.
        lease_requested_at: Ms,
        /// The token to lead with.
        token: FencingToken,
    },
    /// Extends the leader's lease.
    KeepAlive {
        /// When the request was made.
        sent: Ms,
    },
    /// Ends a lease that nobody leads with any more.
    RevokeLease {
        /// The lease.
        lease_id: LeaseId,
    },
}

/// A request of the election to the state service.
#[derive(Clone, Debug, PartialEq)]
pub struct ElectionRequest {
    /// What it is for.
    pub call: ElectionCall,
    /// The request.
    pub request: StoreRequest,
    /// Milliseconds after which its outcome counts as unknown.
    pub timeout_ms: Ms,
}

/// How a controller takes part in elections.
#[derive(Clone, Debug)]
pub struct ElectionSettings {
    /// The controller's name.
    pub controller: String,
    /// A number that grows with each process of the controller.
    pub incarnation: u64,
    /// Whether it allocates admission quotas while it leads.
    pub allocates_quotas: bool,
    /// Time to live of the leader's lease, in milliseconds.
    pub lease_ttl_ms: Ms,
    /// Milliseconds for which a lease is valid from the moment at which it was asked for: its time
    /// to live less clock drift.
    pub lease_validity_ms: Ms,
}

/// Requests that are on their way.
#[derive(Clone, Copy, Debug, Default)]
struct InFlight {
    list: bool,
    watch: bool,
    /// A grant, a campaign or a revocation.
    campaign: bool,
    keep_alive: bool,
}

/// One controller's part in the election.
pub struct Election {
    settings: ElectionSettings,
    /// What was last read; `None` if it has to be read again.
    view: Option<View>,
    role: Role,
    in_flight: InFlight,
    /// A lease just granted, with which the campaign follows.
    granted: Option<GrantedLease>,
    /// No list or watch goes out before.
    next_read: Ms,
    /// No lease to campaign with is asked for before.
    next_campaign: Ms,
    /// No lease of an earlier process is revoked before.
    next_revocation: Ms,
    /// After resigning: no lease to campaign with is asked for before.
    resigned_until: Ms,
    /// When the lease is extended next.
    next_keep_alive: Ms,
}

impl Election {
    /// A controller that has read nothing yet.
    pub fn new(settings: ElectionSettings) -> Self {
        Election {
            settings,
            view: None,
            role: Role::Following,
            in_flight: InFlight::default(),
            granted: None,
            next_read: 0,
            next_campaign: 0,
            next_revocation: 0,
            resigned_until: 0,
            next_keep_alive: 0,
        }
    }

    /// What this controller leads with, whether or not its lease is valid at the moment.
    pub fn leader_term(&self) -> Option<LeaderTerm> {
        match &self.role {
            Role::Leading(term) => Some(*term),
            Role::Following => None,
        }
    }

    /// Whether this controller may act as the leader now.
    pub fn holds_valid_lease(&self, now: Ms) -> bool {
        self.leader_term().is_some_and(|term| now < term.lease_valid_until)
    }

    fn holder(&self) -> Option<&Holder> {
        self.view.as_ref()?.holder.as_ref()
    }

    /// The zone in which the next leader should be, as the last one recorded it.
    pub fn primary_zone(&self) -> Option<&str> {
        self.view.as_ref()?.primary_zone.as_deref()
    }

    /// The controller that is believed to lead; a hint.
    pub fn leader_hint(&self) -> Option<&str> {
        self.holder().map(|holder| holder.record.controller.as_str())
    }

    /// Whether the leader that was read last allocates admission quotas.
    pub fn leader_allocates_quotas(&self) -> Option<bool> {
        self.holder().map(|holder| holder.record.allocates_quotas)
    }

    /// The last term that this controller knows of, and the revision at which it was read.
    pub fn seen(&self) -> (FencingToken, Revision) {
        let view = self.view.as_ref();
        view.map_or((FencingToken(0), Revision::NONE), |view| (view.term, view.revision))
    }

    /// Leads no more; what the keys hold is read again.
    pub fn step_down(&mut self, now: Ms) {
        self.role = Role::Following;
        self.view = None;
        self.next_read = now;
    }

    /// Gives leadership up for `hold_ms`, so that another controller may take it. The lease is
    /// revoked as that of an earlier process would be.
    pub fn resign(&mut self, now: Ms, hold_ms: Ms) {
        self.step_down(now);
        self.resigned_until = now + hold_ms;
    }

    fn request(&self, call: ElectionCall, request: StoreRequest) -> ElectionRequest {
        let timeout_ms = self.settings.lease_ttl_ms / TIMEOUTS_PER_TTL;
        ElectionRequest { call, request, timeout_ms }
    }

    fn pause_ms(&self) -> Ms {
        self.settings.lease_ttl_ms / PAUSES_PER_TTL
    }

    /// The requests to make now. `jitter_ms` keeps equal controllers from campaigning at once.
    pub fn requests(&mut self, now: Ms, jitter_ms: Ms) -> Vec<ElectionRequest> {
        let mut requests = Vec::new();
        requests.extend(self.read_request(now));
        requests.extend(match self.role {
            Role::Leading(term) => self.keep_alive_request(now, term.lease_id),
            Role::Following => self.follower_request(now, jitter_ms),
        });
        requests
    }

    /// Lists the keys if nothing is known of them, and watches them otherwise.
    fn read_request(&mut self, now: Ms) -> Option<ElectionRequest> {
        if now < self.next_read {
            return None;
        }
        let Some(view) = &self.view else {
            if self.in_flight.list {
                return None;
            }
            self.in_flight.list = true;
            let list = StoreRequest::List {
                prefix: CONTROL_PREFIX.into(),
                after: None,
                limit: CONTROL_KEYS,
            };
            return Some(self.request(ElectionCall::List, list));
        };
        if self.in_flight.watch {
            return None;
        }
        let wait_ms = self.settings.lease_ttl_ms / WATCHES_PER_TTL;
        let (prefix, after) = (CONTROL_PREFIX.into(), view.revision);
        let watch = StoreRequest::Watch { prefix, after, wait_ms };
        self.in_flight.watch = true;
        let request = self.request(ElectionCall::Watch, watch);
        Some(ElectionRequest { timeout_ms: wait_ms + request.timeout_ms, ..request })
    }

    fn keep_alive_request(&mut self, now: Ms, lease_id: LeaseId) -> Option<ElectionRequest> {
        if self.in_flight.keep_alive || now < self.next_keep_alive {
            return None;
        }
        self.in_flight.keep_alive = true;
        Some(ElectionRequest {
            call: ElectionCall::KeepAlive { sent: now },
            request: StoreRequest::KeepAlive { lease_id },
            timeout_ms: self.settings.lease_ttl_ms / KEEP_ALIVES_PER_TTL,
        })
    }

    /// Revokes the lease of an earlier process of this controller, or begins a campaign if nobody
    /// leads.
    fn follower_request(&mut self, now: Ms, jitter_ms: Ms) -> Option<ElectionRequest> {
        let view = self.view.as_ref().filter(|_| !self.in_flight.campaign)?;
        match &view.holder {
            // Our own name with a process that is gone (or a campaign whose outcome we never
            // learnt): nobody acts under it, so its lease can end now.
            Some(holder)
                if holder.record.controller == self.settings.controller
                    && now >= self.next_revocation =>
            {
                let lease_id = holder.lease_id?;
                self.in_flight.campaign = true;
                self.next_revocation = now + self.settings.lease_ttl_ms / REVOCATIONS_PER_TTL;
                let call = ElectionCall::RevokeLease { lease_id };
                Some(self.request(call, StoreRequest::RevokeLease { lease_id }))
            }
            None if self.next_campaign == JITTER_NOT_DRAWN => {
                self.next_campaign = now + jitter_ms;
                None
            }
            None if now >= self.next_campaign.max(self.resigned_until) => {
                self.in_flight.campaign = true;
                let grant = StoreRequest::GrantLease { ttl_ms: self.settings.lease_ttl_ms };
                Some(self.request(ElectionCall::GrantLease { sent: now }, grant))
            }
            _ => None,
        }
    }

    /// Takes what a key under the control prefix holds now; `None` if it was deleted.
    fn learn(&mut self, key: &str, item: Option<&KeyValue>, now: Ms) {
        let Some(view) = self.view.as_mut() else { return };
        if key == LEADER_KEY {
            view.holder = item.and_then(|item| {
                let record = decode(&item.value)?;
                let KeyValue { mod_revision, lease_id, .. } = *item;
                Some(Holder { record, mod_revision, lease_id })
            });
            if view.holder.is_none() {
                self.next_campaign = JITTER_NOT_DRAWN;
            }
        } else if key == TERM_KEY {
            if let Some(item) = item {
                view.term = decode(&item.value).unwrap_or_default();
                view.term_mod_revision = item.mod_revision;
            }
        } else if key == PRIMARY_ZONE_KEY {
            view.primary_zone = item.and_then(|item| decode(&item.value));
        }
        let holder_revision = view.holder.as_ref().map(|holder| holder.mod_revision);
        if let (Role::Leading(term), Some(holder_revision)) = (&self.role, holder_revision) {
            if holder_revision > term.mod_revision {
                self.step_down(now);
            }
        }
    }

    /// Takes a reply; returns a lease that must be revoked, if there is one.
    pub fn reply(&mut self, now: Ms, call: ElectionCall, reply: StoreReply) -> Option<LeaseId> {
        match call {
            ElectionCall::List => self.list_reply(now, reply),
            ElectionCall::Watch => self.watch_reply(now, reply),
            ElectionCall::GrantLease { sent } => return self.grant_reply(now, sent, reply),
            ElectionCall::Campaign { lease_id, lease_requested_at, token } => {
                let granted = GrantedLease { lease_id, requested_at: lease_requested_at };
                return self.campaign_reply(now, granted, token, reply);
            }
            ElectionCall::KeepAlive { sent } => self.keep_alive_reply(now, sent, reply),
            ElectionCall::RevokeLease { .. } => self.revoke_reply(now, reply),
        }
        None
    }

    fn list_reply(&mut self, now: Ms, reply: StoreReply) {
        self.in_flight.list = false;
        let StoreReply::Page { items, revision, .. } = reply else {
            self.next_read = now + self.pause_ms();
            return;
        };
        self.view = Some(View { revision, ..View::default() });
        self.next_campaign = JITTER_NOT_DRAWN;
        for item in &items {
            self.learn(&item.key, Some(item), now);
        }
    }

    fn watch_reply(&mut self, now: Ms, reply: StoreReply) {
        self.in_flight.watch = false;
        let StoreReply::Events { revision, events } = reply else {
            // A controller that is partitioned names no leader either: it would send workers to
            // one that may be gone, again and again, until their leases expire.
            self.view = None;
            self.next_read = now + self.pause_ms();
            return;
        };
        for event in &events {
            match event {
                WatchEvent::Put(item) => self.learn(&item.key, Some(item), now),
                WatchEvent::Delete { key, .. } => self.learn(key, None, now),
            }
        }
        if let Some(view) = self.view.as_mut() {
            view.revision = view.revision.max(revision);
        }
    }

    fn grant_reply(&mut self, now: Ms, sent: Ms, reply: StoreReply) -> Option<LeaseId> {
        self.in_flight.campaign = false;
        let StoreReply::LeaseGranted { lease_id } = reply else {
            self.next_campaign = now + self.pause_ms();
            return None;
        };
        // Somebody may have been elected since.
        let nobody_leads = self.view.as_ref().is_some_and(|view| view.holder.is_none());
        if !nobody_leads || self.leader_term().is_some() {
            return Some(lease_id);
        }
        // The campaign follows at once; see `campaign_request`.
        self.in_flight.campaign = true;
        self.granted = Some(GrantedLease { lease_id, requested_at: sent });
        None
    }

    fn campaign_reply(
        &mut self,
        now: Ms,
        granted: GrantedLease,
        token: FencingToken,
        reply: StoreReply,
    ) -> Option<LeaseId> {
        self.in_flight.campaign = false;
        let StoreReply::Committed { revision } = reply else {
            // Refused, lost to another, or unknown: the lease is revoked, so a late put under it
            // does nothing that lasts.
            self.view = None;
            self.next_read = now + self.pause_ms();
            return Some(granted.lease_id);
        };
        self.role = Role::Leading(LeaderTerm {
            token,
            mod_revision: revision,
            lease_id: granted.lease_id,
            lease_valid_until: granted.requested_at + self.settings.lease_validity_ms,
        });
        self.next_keep_alive = now;
        None
    }

    fn keep_alive_reply(&mut self, now: Ms, sent: Ms, reply: StoreReply) {
        self.in_flight.keep_alive = false;
        match reply {
            StoreReply::Ok => {
                self.next_keep_alive = sent + self.settings.lease_ttl_ms / KEEP_ALIVES_PER_TTL;
                let valid_until = sent + self.settings.lease_validity_ms;
                if let Role::Leading(term) = &mut self.role {
                    term.lease_valid_until = term.lease_valid_until.max(valid_until);
                }
            }
            StoreReply::NotFound => {
                if self.leader_term().is_some() {
                    self.step_down(now);
                }
            }
            _ => self.next_keep_alive = now + self.pause_ms(),
        }
    }

    fn revoke_reply(&mut self, now: Ms, reply: StoreReply) {
        self.in_flight.campaign = false;
        if matches!(reply, StoreReply::Ok | StoreReply::NotFound) {
            self.view = None;
            self.next_read = now;
        }
    }

    /// The campaign that follows a granted lease, to be made at once.
    pub fn campaign_request(&mut self) -> Option<ElectionRequest> {
        let GrantedLease { lease_id, requested_at } = self.granted.take()?;
        let view = self.view.as_ref()?;
        let token = FencingToken(view.term.0 + 1);
        let record = LeaderRecord {
            controller: self.settings.controller.clone(),
            incarnation: self.settings.incarnation,
            token,
            allocates_quotas: self.settings.allocates_quotas,
        };
        let put = |key: &str, value, lease_id| PutRequest { key: key.into(), value, lease_id };
        let transaction = StoreRequest::Transaction {
            preconditions: vec![
                Precondition::absent(LEADER_KEY),
                Precondition::new(TERM_KEY, view.term_mod_revision),
            ],
            puts: vec![
                put(LEADER_KEY, encode(&record), Some(lease_id)),
                put(TERM_KEY, encode(&token), None),
            ],
            deletes: Vec::new(),
        };
        let call = ElectionCall::Campaign { lease_id, lease_requested_at: requested_at, token };
        Some(self.request(call, transaction))
    }
}
