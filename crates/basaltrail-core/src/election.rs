//! Leader election: the leader key of the store, which is attached to a lease, and a fencing token
//! that grows with each term.
//!
//! The validity of a leader lease counts from the time at which its last successful keep-alive was
//! *sent* and lasts for the time to live less clock drift. The store may end a lease late but never
//! early, so at most one controller holds a valid lease at any time (PROTOCOL, `POST /grants`).
//! Messages from peers have no influence on the election.
//!
//! The election is a state machine without I/O: [`Election::due_requests`] returns the requests to
//! send to the store now, and [`Election::handle_reply`] applies the replies.

use crate::io::{KeyValue, Precondition, PutRequest, StoreReply, StoreRequest, WatchEvent};
use crate::model::{FencingToken, LeaseId, Ms, Revision};
use crate::store::records::{
    decode, encode, LeaderRecord, CONTROL_PREFIX, LEADER_KEY, PRIMARY_ZONE_KEY, TERM_KEY,
};

/// Page size of the list of the control prefix, which holds three keys.
const CONTROL_KEYS: u32 = 10;
/// Keep-alives per time to live of a lease, so that several may be lost before it expires. The
/// timeout of a keep-alive equals the interval between two.
const KEEP_ALIVES_PER_TTL: Ms = 5;
/// Delays before the retry of a failed request, per time to live of a lease.
const RETRY_DELAYS_PER_TTL: Ms = 20;
/// Attempts to revoke the lease of an earlier process, per time to live of a lease.
const REVOCATIONS_PER_TTL: Ms = 10;
/// Watches per time to live of a lease: each waits for this fraction of it.
const WATCHES_PER_TTL: Ms = 2;
/// Request timeouts per time to live of a lease.
const TIMEOUTS_PER_TTL: Ms = 4;
/// Value of `next_campaign` until the jitter of the next campaign is added.
const JITTER_NOT_DRAWN: Ms = Ms::MAX;

/// The leader key as it is stored.
#[derive(Clone, Debug, PartialEq)]
struct Holder {
    record: LeaderRecord,
    mod_revision: Revision,
    lease_id: Option<LeaseId>,
}

/// The keys under the control prefix as they were last read.
#[derive(Clone, Debug, Default)]
struct View {
    holder: Option<Holder>,
    /// The fencing token of the last leader.
    term: FencingToken,
    term_mod_revision: Revision,
    primary_zone: Option<String>,
    /// The store revision up to which changes are known.
    revision: Revision,
}

#[derive(Clone, Debug, PartialEq)]
enum Role {
    Following,
    Leading(LeaderTerm),
}

/// The term of a leader and its lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderTerm {
    /// The fencing token of the term.
    pub token: FencingToken,
    /// The mod revision of the leader key.
    pub mod_revision: Revision,
    lease_id: LeaseId,
    /// The time from which another controller may hold a valid lease.
    lease_valid_until: Ms,
}

/// A lease granted for a campaign.
#[derive(Clone, Copy, Debug, PartialEq)]
struct GrantedLease {
    lease_id: LeaseId,
    /// The time of the grant request, from which the time to live counts.
    requested_at: Ms,
}

/// The purpose of an election request, which is passed back with the reply.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionCall {
    /// Reads the keys under the control prefix.
    List,
    /// Watches the keys under the control prefix.
    Watch,
    /// Requests a lease for a campaign.
    GrantLease {
        /// The time at which the request was sent.
        sent_at: Ms,
    },
    /// Writes the leader key, attached to the lease, and the next fencing token.
    Campaign {
        /// The lease.
        lease_id: LeaseId,
        /// The time at which the lease was requested.
        lease_requested_at: Ms,
        /// The fencing token of the new term.
        token: FencingToken,
    },
    /// Extends the leader lease.
    KeepAlive {
        /// The time at which the request was sent.
        sent_at: Ms,
    },
    /// Revokes a lease with which no controller leads.
    RevokeLease {
        /// The lease.
        lease_id: LeaseId,
    },
}

/// A request of the election to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ElectionRequest {
    /// The purpose of the request.
    pub call: ElectionCall,
    /// The request.
    pub request: StoreRequest,
    /// Milliseconds after which the result counts as unknown.
    pub timeout_ms: Ms,
}

/// The settings of a controller's election.
#[derive(Clone, Debug)]
pub struct ElectionSettings {
    /// The controller's name.
    pub controller: String,
    /// A number that grows with each process of the controller.
    pub incarnation: u64,
    /// True if the controller allocates admission quotas while it leads.
    pub allocates_quotas: bool,
    /// Time to live of the leader lease, in milliseconds.
    pub lease_ttl_ms: Ms,
    /// Milliseconds for which a lease is valid after the request that granted or extended it was
    /// sent: the time to live less clock drift.
    pub lease_validity_ms: Ms,
}

/// The kinds of requests that are in flight.
#[derive(Clone, Copy, Debug, Default)]
struct InFlight {
    list: bool,
    watch: bool,
    /// A grant, a campaign or a revocation.
    campaign: bool,
    keep_alive: bool,
}

/// The election as one controller sees it.
pub struct Election {
    settings: ElectionSettings,
    /// The keys as last read; `None` if they must be listed again.
    view: Option<View>,
    role: Role,
    in_flight: InFlight,
    /// A granted lease whose campaign request is not sent yet.
    granted_lease: Option<GrantedLease>,
    /// The earliest time of the next list or watch.
    next_read: Ms,
    /// The earliest time of the next lease request for a campaign.
    next_campaign: Ms,
    /// The earliest time of the next revocation of an earlier process's lease.
    next_revocation: Ms,
    /// The end of the pause after a resignation, during which no campaign begins.
    resigned_until: Ms,
    /// The earliest time of the next keep-alive.
    next_keep_alive: Ms,
}

impl Election {
    /// Creates the election of a follower that has read no keys yet.
    pub fn new(settings: ElectionSettings) -> Self {
        Election {
            settings,
            view: None,
            role: Role::Following,
            in_flight: InFlight::default(),
            granted_lease: None,
            next_read: 0,
            next_campaign: 0,
            next_revocation: 0,
            resigned_until: 0,
            next_keep_alive: 0,
        }
    }

    /// Returns the term that this controller leads, even if its lease is not valid now.
    pub fn leader_term(&self) -> Option<LeaderTerm> {
        match &self.role {
            Role::Leading(term) => Some(*term),
            Role::Following => None,
        }
    }

    /// Returns whether this controller may act as the leader now.
    pub fn holds_valid_lease(&self, now: Ms) -> bool {
        self.leader_term().is_some_and(|term| now < term.lease_valid_until)
    }

    fn holder(&self) -> Option<&Holder> {
        self.view.as_ref()?.holder.as_ref()
    }

    /// Returns the preferred zone of the next leader, as recorded by the last one.
    pub fn primary_zone(&self) -> Option<&str> {
        self.view.as_ref()?.primary_zone.as_deref()
    }

    /// Returns the controller that held the leader key when it was last read. It may lead no
    /// longer.
    pub fn leader_hint(&self) -> Option<&str> {
        self.holder().map(|holder| holder.record.controller.as_str())
    }

    /// Returns whether the leader allocates admission quotas, as of the last read.
    pub fn leader_allocates_quotas(&self) -> Option<bool> {
        self.holder().map(|holder| holder.record.allocates_quotas)
    }

    /// Returns the fencing token of the last known term, and the store revision at which it was
    /// read.
    pub fn last_term_and_revision(&self) -> (FencingToken, Revision) {
        let view = self.view.as_ref();
        view.map_or((FencingToken(0), Revision::NONE), |view| (view.term, view.revision))
    }

    /// Ends this controller's leadership, if any, and lists the keys again.
    pub fn step_down(&mut self, now: Ms) {
        self.role = Role::Following;
        self.view = None;
        self.next_read = now;
    }

    /// Gives up leadership and does not campaign for `pause_ms`, so that another controller can be
    /// elected. The lease is then revoked like that of an earlier process.
    pub fn resign(&mut self, now: Ms, pause_ms: Ms) {
        self.step_down(now);
        self.resigned_until = now + pause_ms;
    }

    fn new_request(&self, call: ElectionCall, request: StoreRequest) -> ElectionRequest {
        let timeout_ms = self.settings.lease_ttl_ms / TIMEOUTS_PER_TTL;
        ElectionRequest { call, request, timeout_ms }
    }

    fn retry_delay_ms(&self) -> Ms {
        self.settings.lease_ttl_ms / RETRY_DELAYS_PER_TTL
    }

    /// Returns the requests to send now. `jitter_ms` delays a campaign, so that controllers do not
    /// campaign at the same time.
    pub fn due_requests(&mut self, now: Ms, jitter_ms: Ms) -> Vec<ElectionRequest> {
        let mut requests = Vec::new();
        requests.extend(self.read_request(now));
        requests.extend(match self.role {
            Role::Leading(term) => self.keep_alive_request(now, term.lease_id),
            Role::Following => self.follower_request(now, jitter_ms),
        });
        requests
    }

    /// Returns the list request if the keys must be listed, otherwise the watch request, unless it
    /// is in flight.
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
            return Some(self.new_request(ElectionCall::List, list));
        };
        if self.in_flight.watch {
            return None;
        }
        let wait_ms = self.settings.lease_ttl_ms / WATCHES_PER_TTL;
        let (prefix, after) = (CONTROL_PREFIX.into(), view.revision);
        let watch = StoreRequest::Watch { prefix, after, wait_ms };
        self.in_flight.watch = true;
        let request = self.new_request(ElectionCall::Watch, watch);
        Some(ElectionRequest { timeout_ms: wait_ms + request.timeout_ms, ..request })
    }

    fn keep_alive_request(&mut self, now: Ms, lease_id: LeaseId) -> Option<ElectionRequest> {
        if self.in_flight.keep_alive || now < self.next_keep_alive {
            return None;
        }
        self.in_flight.keep_alive = true;
        Some(ElectionRequest {
            call: ElectionCall::KeepAlive { sent_at: now },
            request: StoreRequest::KeepAlive { lease_id },
            timeout_ms: self.settings.lease_ttl_ms / KEEP_ALIVES_PER_TTL,
        })
    }

    /// Returns the request that revokes the lease of an earlier process of this controller, or the
    /// one that begins a campaign if there is no leader.
    fn follower_request(&mut self, now: Ms, jitter_ms: Ms) -> Option<ElectionRequest> {
        let view = self.view.as_ref().filter(|_| !self.in_flight.campaign)?;
        match &view.holder {
            // An earlier process of this controller, or a campaign whose result is unknown, holds
            // the key. No process acts as that leader, so the lease can be revoked at once.
            Some(holder)
                if holder.record.controller == self.settings.controller
                    && now >= self.next_revocation =>
            {
                let lease_id = holder.lease_id?;
                self.in_flight.campaign = true;
                self.next_revocation = now + self.settings.lease_ttl_ms / REVOCATIONS_PER_TTL;
                let call = ElectionCall::RevokeLease { lease_id };
                Some(self.new_request(call, StoreRequest::RevokeLease { lease_id }))
            }
            None if self.next_campaign == JITTER_NOT_DRAWN => {
                self.next_campaign = now + jitter_ms;
                None
            }
            None if now >= self.next_campaign.max(self.resigned_until) => {
                self.in_flight.campaign = true;
                let grant = StoreRequest::GrantLease { ttl_ms: self.settings.lease_ttl_ms };
                Some(self.new_request(ElectionCall::GrantLease { sent_at: now }, grant))
            }
            _ => None,
        }
    }

    /// Applies the present value of a key under the control prefix; `None` if it was deleted.
    fn apply_key(&mut self, key: &str, item: Option<&KeyValue>, now: Ms) {
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

    /// Applies a reply. Returns a lease that the caller must revoke, if there is one.
    pub fn handle_reply(
        &mut self,
        now: Ms,
        call: ElectionCall,
        reply: StoreReply,
    ) -> Option<LeaseId> {
        match call {
            ElectionCall::List => self.handle_list_reply(now, reply),
            ElectionCall::Watch => self.handle_watch_reply(now, reply),
            ElectionCall::GrantLease { sent_at } => {
                return self.handle_grant_reply(now, sent_at, reply)
            }
            ElectionCall::Campaign { lease_id, lease_requested_at, token } => {
                let granted = GrantedLease { lease_id, requested_at: lease_requested_at };
                return self.handle_campaign_reply(now, granted, token, reply);
            }
            ElectionCall::KeepAlive { sent_at } => {
                self.handle_keep_alive_reply(now, sent_at, reply)
            }
            ElectionCall::RevokeLease { .. } => self.handle_revoke_reply(now, reply),
        }
        None
    }

    fn handle_list_reply(&mut self, now: Ms, reply: StoreReply) {
        self.in_flight.list = false;
        let StoreReply::Page { items, revision, .. } = reply else {
            self.next_read = now + self.retry_delay_ms();
            return;
        };
        self.view = Some(View { revision, ..View::default() });
        self.next_campaign = JITTER_NOT_DRAWN;
        for item in &items {
            self.apply_key(&item.key, Some(item), now);
        }
    }

    fn handle_watch_reply(&mut self, now: Ms, reply: StoreReply) {
        self.in_flight.watch = false;
        let StoreReply::Events { revision, events } = reply else {
            // Also drops the leader hint: a partitioned controller would keep sending workers to a
            // leader that may be gone, until their leases expire.
            self.view = None;
            self.next_read = now + self.retry_delay_ms();
            return;
        };
        for event in &events {
            match event {
                WatchEvent::Put(item) => self.apply_key(&item.key, Some(item), now),
                WatchEvent::Delete { key, .. } => self.apply_key(key, None, now),
            }
        }
        if let Some(view) = self.view.as_mut() {
            view.revision = view.revision.max(revision);
        }
    }

    fn handle_grant_reply(&mut self, now: Ms, sent_at: Ms, reply: StoreReply) -> Option<LeaseId> {
        self.in_flight.campaign = false;
        let StoreReply::LeaseGranted { lease_id } = reply else {
            self.next_campaign = now + self.retry_delay_ms();
            return None;
        };
        // Another controller may have been elected after the request was sent.
        let has_no_leader = self.view.as_ref().is_some_and(|view| view.holder.is_none());
        if !has_no_leader || self.leader_term().is_some() {
            return Some(lease_id);
        }
        // The caller sends the campaign at once; see `campaign_request`.
        self.in_flight.campaign = true;
        self.granted_lease = Some(GrantedLease { lease_id, requested_at: sent_at });
        None
    }

    fn handle_campaign_reply(
        &mut self,
        now: Ms,
        granted: GrantedLease,
        token: FencingToken,
        reply: StoreReply,
    ) -> Option<LeaseId> {
        self.in_flight.campaign = false;
        let StoreReply::Committed { revision } = reply else {
            // The campaign was refused or lost, or its result is unknown. Revoking the lease also
            // removes the leader key if the store executes the transaction late.
            self.view = None;
            self.next_read = now + self.retry_delay_ms();
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

    fn handle_keep_alive_reply(&mut self, now: Ms, sent_at: Ms, reply: StoreReply) {
        self.in_flight.keep_alive = false;
        match reply {
            StoreReply::LeaseUpdated => {
                self.next_keep_alive = sent_at + self.settings.lease_ttl_ms / KEEP_ALIVES_PER_TTL;
                let valid_until = sent_at + self.settings.lease_validity_ms;
                if let Role::Leading(term) = &mut self.role {
                    term.lease_valid_until = term.lease_valid_until.max(valid_until);
                }
            }
            StoreReply::NotFound => {
                if self.leader_term().is_some() {
                    self.step_down(now);
                }
            }
            _ => self.next_keep_alive = now + self.retry_delay_ms(),
        }
    }

    fn handle_revoke_reply(&mut self, now: Ms, reply: StoreReply) {
        self.in_flight.campaign = false;
        if matches!(reply, StoreReply::LeaseUpdated | StoreReply::NotFound) {
            self.view = None;
            self.next_read = now;
        }
    }

    /// Returns the campaign request for a lease that was just granted; the caller sends it at once.
    pub fn campaign_request(&mut self) -> Option<ElectionRequest> {
        let GrantedLease { lease_id, requested_at } = self.granted_lease.take()?;
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
        Some(self.new_request(call, transaction))
    }
}
