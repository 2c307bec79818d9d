//! Leader election. The leader is the controller that holds the leader key of the store, which is
//! attached to the leader lease. Each term has a higher fencing token than the previous one.
//!
//! A leader lease is valid for its time to live less clock drift, counted from the time at which
//! its grant request or its last successful keep-alive was *sent*. The store may expire a lease
//! late but never early, so at most one controller holds a valid lease at any time (PROTOCOL,
//! `POST /grants`). Messages from peers have no influence on the election.
//!
//! The election is a state machine without I/O: [`Election::due_requests`] returns the requests to
//! send to the store now, and [`Election::handle_reply`] applies the replies. After each reply, the
//! caller revokes the lease that `handle_reply` returns and sends the request that
//! [`Election::campaign_request`] returns, if any.

use crate::io::{KeyValue, Precondition, PutRequest, StoreReply, StoreRequest, WatchEvent};
use crate::model::{FencingToken, LeaseId, Ms, Revision};
use crate::store::records::{
    decode, encode, LeaderRecord, CONTROL_PREFIX, LEADER_KEY, PRIMARY_ZONE_KEY, TERM_KEY,
};

/// Maximum number of keys in the list of the control prefix, which holds three.
const CONTROL_LIST_LIMIT: u32 = 10;
/// Divisor of the lease's time to live that gives the interval between two keep-alives, so that
/// several may be lost before the lease expires. The timeout of a keep-alive equals the interval.
const KEEP_ALIVE_INTERVAL_DIVISOR: Ms = 5;
/// Divisor of the lease's time to live that gives the delay before a failed request is retried.
const RETRY_DELAY_DIVISOR: Ms = 20;
/// Divisor of the lease's time to live that gives the minimum interval between two attempts to
/// revoke the lease of an earlier process or term of this controller.
const REVOCATION_INTERVAL_DIVISOR: Ms = 10;
/// Divisor of the lease's time to live that gives the time for which a watch waits for changes.
const WATCH_WAIT_DIVISOR: Ms = 2;
/// Divisor of the lease's time to live that gives the timeout of the other requests. A watch has
/// this timeout after its wait.
const TIMEOUT_DIVISOR: Ms = 4;
/// Value of `next_campaign_at` while the jitter of the next campaign is not drawn yet.
const JITTER_NOT_DRAWN: Ms = Ms::MAX;

/// The leader key, as last read from the store.
#[derive(Clone, Debug, PartialEq)]
struct LeaderKey {
    record: LeaderRecord,
    mod_revision: Revision,
    lease_id: Option<LeaseId>,
}

/// The keys under the control prefix as they were last read.
#[derive(Clone, Debug, Default)]
struct View {
    leader_key: Option<LeaderKey>,
    /// The fencing token of the latest term.
    token: FencingToken,
    /// The mod revision of the term key.
    term_key_mod_revision: Revision,
    primary_zone: Option<String>,
    /// The store revision up to which changes are known.
    revision: Revision,
}

/// The role of this controller. A leader without a valid lease is `Leading` until it steps down.
#[derive(Clone, Debug, PartialEq)]
enum Role {
    Following,
    Leading(LeaderTerm),
}

/// The term that this controller leads, with its leader lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaderTerm {
    /// The fencing token of the term.
    pub token: FencingToken,
    /// The mod revision of the leader key.
    pub mod_revision: Revision,
    lease_id: LeaseId,
    /// The time at which the lease ceases to be valid. Another controller may hold a valid lease
    /// from then on.
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
pub enum ElectionPurpose {
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
    /// Revokes a lease under which no controller acts as the leader.
    RevokeLease {
        /// The lease.
        lease_id: LeaseId,
    },
}

/// A request of the election to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ElectionRequest {
    /// The purpose of the request.
    pub purpose: ElectionPurpose,
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
    /// Identifier of this run of the process, different at each start.
    pub incarnation: u64,
    /// True if the controller allocates admission quotas while it leads.
    pub allocates_quotas: bool,
    /// Time to live of the leader lease, in milliseconds.
    pub lease_ttl_ms: Ms,
    /// Milliseconds for which a lease is valid after the request that granted or extended it was
    /// sent: the time to live less clock drift.
    pub lease_validity_ms: Ms,
}

/// Flags of the requests that are in flight, by kind.
#[derive(Clone, Copy, Debug, Default)]
struct InFlight {
    list: bool,
    watch: bool,
    /// A request that only a follower sends: a grant, a campaign or a revocation.
    follower_request: bool,
    keep_alive: bool,
}

/// The state of the election at one controller.
pub struct Election {
    settings: ElectionSettings,
    /// The keys as last read; `None` if they must be listed again.
    view: Option<View>,
    role: Role,
    in_flight: InFlight,
    /// A granted lease whose campaign request is not sent yet.
    granted_lease: Option<GrantedLease>,
    /// The earliest time of the next list or watch.
    next_read_at: Ms,
    /// The earliest time of the next lease request for a campaign.
    next_campaign_at: Ms,
    /// The earliest time of the next revocation of the lease of an earlier process or term of this
    /// controller.
    next_revocation_at: Ms,
    /// The end of the pause after a resignation, during which no campaign begins.
    resigned_until: Ms,
    /// The earliest time of the next keep-alive.
    next_keep_alive_at: Ms,
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
            next_read_at: 0,
            next_campaign_at: 0,
            next_revocation_at: 0,
            resigned_until: 0,
            next_keep_alive_at: 0,
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

    fn leader_key(&self) -> Option<&LeaderKey> {
        self.view.as_ref()?.leader_key.as_ref()
    }

    /// Returns the preferred zone of the next leader, as recorded by the last one.
    pub fn primary_zone(&self) -> Option<&str> {
        self.view.as_ref()?.primary_zone.as_deref()
    }

    /// Returns the controller that held the leader key when it was last read. Its term may have
    /// ended since.
    pub fn leader_hint(&self) -> Option<&str> {
        self.leader_key().map(|leader_key| leader_key.record.controller.as_str())
    }

    /// Returns whether the leader allocates admission quotas, as of the last read.
    pub fn leader_allocates_quotas(&self) -> Option<bool> {
        self.leader_key().map(|leader_key| leader_key.record.allocates_quotas)
    }

    /// Returns the fencing token of the latest known term, and the store revision up to which
    /// changes are known; 0 and [`Revision::NONE`] while the keys must be listed.
    pub fn last_token_and_revision(&self) -> (FencingToken, Revision) {
        let view = self.view.as_ref();
        view.map_or((FencingToken(0), Revision::NONE), |view| (view.token, view.revision))
    }

    /// Makes this controller a follower that lists the keys again with its next request.
    pub fn step_down(&mut self, now: Ms) {
        self.role = Role::Following;
        self.view = None;
        self.next_read_at = now;
    }

    /// Steps down and does not campaign for `pause_ms` milliseconds, so that another controller can
    /// be elected. A later request revokes the lease, as for an earlier process.
    pub fn resign(&mut self, now: Ms, pause_ms: Ms) {
        self.step_down(now);
        self.resigned_until = now + pause_ms;
    }

    fn new_request(&self, purpose: ElectionPurpose, request: StoreRequest) -> ElectionRequest {
        let timeout_ms = self.settings.lease_ttl_ms / TIMEOUT_DIVISOR;
        ElectionRequest { purpose, request, timeout_ms }
    }

    fn retry_delay_ms(&self) -> Ms {
        self.settings.lease_ttl_ms / RETRY_DELAY_DIVISOR
    }

    /// Returns the requests that are due and marks them as in flight; the caller must send them.
    /// `jitter_ms` is the delay before a campaign, which keeps controllers from campaigning at the
    /// same time.
    pub fn due_requests(&mut self, now: Ms, jitter_ms: Ms) -> Vec<ElectionRequest> {
        let mut requests = Vec::new();
        requests.extend(self.read_request(now));
        requests.extend(match self.role {
            Role::Leading(term) => self.keep_alive_request(now, term.lease_id),
            Role::Following => self.follower_request(now, jitter_ms),
        });
        requests
    }

    /// Returns the list request if the keys must be listed, otherwise the watch request; `None`
    /// if that request is in flight or not due yet.
    fn read_request(&mut self, now: Ms) -> Option<ElectionRequest> {
        if now < self.next_read_at {
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
                limit: CONTROL_LIST_LIMIT,
            };
            return Some(self.new_request(ElectionPurpose::List, list));
        };
        if self.in_flight.watch {
            return None;
        }
        let wait_ms = self.settings.lease_ttl_ms / WATCH_WAIT_DIVISOR;
        let (prefix, after) = (CONTROL_PREFIX.into(), view.revision);
        let watch = StoreRequest::Watch { prefix, after, wait_ms };
        self.in_flight.watch = true;
        let request = self.new_request(ElectionPurpose::Watch, watch);
        Some(ElectionRequest { timeout_ms: wait_ms + request.timeout_ms, ..request })
    }

    fn keep_alive_request(&mut self, now: Ms, lease_id: LeaseId) -> Option<ElectionRequest> {
        if self.in_flight.keep_alive || now < self.next_keep_alive_at {
            return None;
        }
        self.in_flight.keep_alive = true;
        Some(ElectionRequest {
            purpose: ElectionPurpose::KeepAlive { sent_at: now },
            request: StoreRequest::KeepAlive { lease_id },
            timeout_ms: self.settings.lease_ttl_ms / KEEP_ALIVE_INTERVAL_DIVISOR,
        })
    }

    /// Returns the request that revokes the lease of an earlier process or term of this controller,
    /// or the one that begins a campaign if there is no leader.
    fn follower_request(&mut self, now: Ms, jitter_ms: Ms) -> Option<ElectionRequest> {
        let view = self.view.as_ref().filter(|_| !self.in_flight.follower_request)?;
        match &view.leader_key {
            // The key belongs to an earlier process of this controller, to a campaign whose result
            // is unknown, or to a term from which this process has stepped down. No process acts as
            // that leader, so its lease can be revoked at once.
            Some(leader_key)
                if leader_key.record.controller == self.settings.controller
                    && now >= self.next_revocation_at =>
            {
                let lease_id = leader_key.lease_id?;
                self.in_flight.follower_request = true;
                self.next_revocation_at =
                    now + self.settings.lease_ttl_ms / REVOCATION_INTERVAL_DIVISOR;
                let purpose = ElectionPurpose::RevokeLease { lease_id };
                Some(self.new_request(purpose, StoreRequest::RevokeLease { lease_id }))
            }
            None if self.next_campaign_at == JITTER_NOT_DRAWN => {
                self.next_campaign_at = now + jitter_ms;
                None
            }
            None if now >= self.next_campaign_at.max(self.resigned_until) => {
                self.in_flight.follower_request = true;
                let grant = StoreRequest::GrantLease { ttl_ms: self.settings.lease_ttl_ms };
                Some(self.new_request(ElectionPurpose::GrantLease { sent_at: now }, grant))
            }
            _ => None,
        }
    }

    /// Applies the current value of a key under the control prefix; `item` is `None` if the key was
    /// deleted.
    fn apply_key(&mut self, key: &str, item: Option<&KeyValue>, now: Ms) {
        let Some(view) = self.view.as_mut() else { return };
        if key == LEADER_KEY {
            view.leader_key = item.and_then(|item| {
                let record = decode(&item.value)?;
                let KeyValue { mod_revision, lease_id, .. } = *item;
                Some(LeaderKey { record, mod_revision, lease_id })
            });
            if view.leader_key.is_none() {
                self.next_campaign_at = JITTER_NOT_DRAWN;
            }
        } else if key == TERM_KEY {
            if let Some(item) = item {
                view.token = decode(&item.value).unwrap_or_default();
                view.term_key_mod_revision = item.mod_revision;
            }
        } else if key == PRIMARY_ZONE_KEY {
            view.primary_zone = item.and_then(|item| decode(&item.value));
        }
        let key_revision = view.leader_key.as_ref().map(|leader_key| leader_key.mod_revision);
        if let (Role::Leading(term), Some(key_revision)) = (&self.role, key_revision) {
            // A later put of the leader key belongs to a later term.
            if key_revision > term.mod_revision {
                self.step_down(now);
            }
        }
    }

    /// Applies a reply. Returns a lease that the caller must revoke, if there is one.
    pub fn handle_reply(
        &mut self,
        now: Ms,
        purpose: ElectionPurpose,
        reply: StoreReply,
    ) -> Option<LeaseId> {
        match purpose {
            ElectionPurpose::List => self.handle_list_reply(now, reply),
            ElectionPurpose::Watch => self.handle_watch_reply(now, reply),
            ElectionPurpose::GrantLease { sent_at } => {
                return self.handle_grant_reply(now, sent_at, reply)
            }
            ElectionPurpose::Campaign { lease_id, lease_requested_at, token } => {
                let granted = GrantedLease { lease_id, requested_at: lease_requested_at };
                return self.handle_campaign_reply(now, granted, token, reply);
            }
            ElectionPurpose::KeepAlive { sent_at } => {
                self.handle_keep_alive_reply(now, sent_at, reply)
            }
            ElectionPurpose::RevokeLease { .. } => self.handle_revoke_reply(now, reply),
        }
        None
    }

    fn handle_list_reply(&mut self, now: Ms, reply: StoreReply) {
        self.in_flight.list = false;
        let StoreReply::Page { items, revision, .. } = reply else {
            self.next_read_at = now + self.retry_delay_ms();
            return;
        };
        self.view = Some(View { revision, ..View::default() });
        self.next_campaign_at = JITTER_NOT_DRAWN;
        for item in &items {
            self.apply_key(&item.key, Some(item), now);
        }
    }

    fn handle_watch_reply(&mut self, now: Ms, reply: StoreReply) {
        self.in_flight.watch = false;
        let StoreReply::Events { revision, events } = reply else {
            // This also clears the leader hint. A partitioned controller would otherwise redirect
            // workers to a controller that may no longer lead, until their leases expire.
            self.view = None;
            self.next_read_at = now + self.retry_delay_ms();
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
        self.in_flight.follower_request = false;
        let StoreReply::LeaseGranted { lease_id } = reply else {
            self.next_campaign_at = now + self.retry_delay_ms();
            return None;
        };
        // Another controller may have been elected after the request was sent.
        let has_no_leader = self.view.as_ref().is_some_and(|view| view.leader_key.is_none());
        if !has_no_leader || self.leader_term().is_some() {
            return Some(lease_id);
        }
        // The caller sends the campaign at once; see `campaign_request`.
        self.in_flight.follower_request = true;
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
        self.in_flight.follower_request = false;
        let StoreReply::Committed { revision } = reply else {
            // The campaign failed, or its result is unknown. Revoking the lease also removes the
            // leader key if the store executes the transaction late.
            self.view = None;
            self.next_read_at = now + self.retry_delay_ms();
            return Some(granted.lease_id);
        };
        self.role = Role::Leading(LeaderTerm {
            token,
            mod_revision: revision,
            lease_id: granted.lease_id,
            lease_valid_until: granted.requested_at + self.settings.lease_validity_ms,
        });
        self.next_keep_alive_at = now;
        None
    }

    fn handle_keep_alive_reply(&mut self, now: Ms, sent_at: Ms, reply: StoreReply) {
        self.in_flight.keep_alive = false;
        match reply {
            StoreReply::LeaseUpdated => {
                self.next_keep_alive_at =
                    sent_at + self.settings.lease_ttl_ms / KEEP_ALIVE_INTERVAL_DIVISOR;
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
            _ => self.next_keep_alive_at = now + self.retry_delay_ms(),
        }
    }

    fn handle_revoke_reply(&mut self, now: Ms, reply: StoreReply) {
        self.in_flight.follower_request = false;
        if matches!(reply, StoreReply::LeaseUpdated | StoreReply::NotFound) {
            self.view = None;
            self.next_read_at = now;
        }
    }

    /// Returns the campaign request if the last handled reply granted a lease. The caller must send
    /// it at once, since the time to live of the lease has begun.
    pub fn campaign_request(&mut self) -> Option<ElectionRequest> {
        let GrantedLease { lease_id, requested_at } = self.granted_lease.take()?;
        let view = self.view.as_ref()?;
        let token = FencingToken(view.token.0 + 1);
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
                Precondition::new(TERM_KEY, view.term_key_mod_revision),
            ],
            puts: vec![
                put(LEADER_KEY, encode(&record), Some(lease_id)),
                put(TERM_KEY, encode(&token), None),
            ],
            deletes: Vec::new(),
        };
        let purpose =
            ElectionPurpose::Campaign { lease_id, lease_requested_at: requested_at, token };
        Some(self.new_request(purpose, transaction))
    }
}
