//! Leader election. The leader is the controller that holds the leader key of the store, which is
//! attached to the leader lease. Each term has a higher fencing token than the previous one.
//!
//! A leader lease is valid for its time to live less clock drift, counted from the time at which
//! its grant request or its last successful keep-alive was *sent*. The store may expire a lease
//! late but never early, so at most one controller holds a valid lease at any time (PROTOCOL,
//! `POST /grants`). Messages from peers have no influence on the election.
//!
//! The election is a state machine without I/O: [`Election::due_requests`] returns the requests to
//! send to the store now, and [`Election::handle_reply`] applies the replies and returns the request
//! that must follow at once, if any. Each request has an identifier of its own, so a reply changes
//! the state of its own request only ([`requests`]).

pub mod requests;
mod view;

use crate::io::{Precondition, PutRequest, StoreReply, StoreRequest};
use crate::model::{FencingToken, LeaseId, Ms, Revision};
use crate::store::records::{encode, LeaderRecord, CONTROL_PREFIX, LEADER_KEY, TERM_KEY};
use requests::{
    ElectionCall, ElectionPurpose, ElectionRequest, ElectionRequestId, GrantedLease, RequestSlot,
};
use view::{LeaderKey, View};

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

/// The state of the election at one controller.
pub struct Election {
    settings: ElectionSettings,
    /// The keys as last read; `None` if they must be listed again.
    view: Option<View>,
    role: Role,
    /// The identifier of the last request.
    last_request_id: ElectionRequestId,
    list: RequestSlot,
    watch: RequestSlot,
    /// The requests of a follower: a grant, then its campaign, or the revocation of a lease under
    /// which the leader key names this controller. Revocations of other leases take no slot.
    follower_request: RequestSlot,
    /// The keep-alive of the current term.
    keep_alive: RequestSlot,
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
            last_request_id: ElectionRequestId::default(),
            list: RequestSlot::default(),
            watch: RequestSlot::default(),
            follower_request: RequestSlot::default(),
            keep_alive: RequestSlot::default(),
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

    fn new_request(&mut self, purpose: ElectionPurpose, request: StoreRequest) -> ElectionRequest {
        self.last_request_id = self.last_request_id.next();
        let call = ElectionCall { id: self.last_request_id, purpose };
        let timeout_ms = self.settings.lease_ttl_ms / TIMEOUT_DIVISOR;
        ElectionRequest { call, request, timeout_ms }
    }

    /// Returns the request that revokes a lease under which no controller acts as the leader.
    fn revocation_request(&mut self, lease_id: LeaseId) -> ElectionRequest {
        self.new_request(ElectionPurpose::RevokeLease, StoreRequest::RevokeLease { lease_id })
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
        match self.view.as_ref().map(|view| view.revision) {
            None if self.list.is_free() => Some(self.list_request()),
            Some(after) if self.watch.is_free() => Some(self.watch_request(after)),
            _ => None,
        }
    }

    fn list_request(&mut self) -> ElectionRequest {
        let prefix = CONTROL_PREFIX.into();
        let list = StoreRequest::List { prefix, after: None, limit: CONTROL_LIST_LIMIT };
        let request = self.new_request(ElectionPurpose::List, list);
        self.list.occupy(&request);
        request
    }

    fn watch_request(&mut self, after: Revision) -> ElectionRequest {
        let wait_ms = self.settings.lease_ttl_ms / WATCH_WAIT_DIVISOR;
        let watch = StoreRequest::Watch { prefix: CONTROL_PREFIX.into(), after, wait_ms };
        let mut request = self.new_request(ElectionPurpose::Watch, watch);
        request.timeout_ms += wait_ms;
        self.watch.occupy(&request);
        request
    }

    fn keep_alive_request(&mut self, now: Ms, lease_id: LeaseId) -> Option<ElectionRequest> {
        if !self.keep_alive.is_free() || now < self.next_keep_alive_at {
            return None;
        }
        let purpose = ElectionPurpose::KeepAlive { sent_at: now };
        let mut request = self.new_request(purpose, StoreRequest::KeepAlive { lease_id });
        request.timeout_ms = self.settings.lease_ttl_ms / KEEP_ALIVE_INTERVAL_DIVISOR;
        self.keep_alive.occupy(&request);
        Some(request)
    }

    /// Returns the request that revokes the lease of an earlier process or term of this controller,
    /// or the one that begins a campaign if there is no leader.
    ///
    /// While a campaign awaits its reply, the leader key may name this controller because of it, so
    /// nothing is revoked.
    fn follower_request(&mut self, now: Ms, jitter_ms: Ms) -> Option<ElectionRequest> {
        let view = self.view.as_ref().filter(|_| self.follower_request.is_free())?;
        let request = match &view.leader_key {
            // The key belongs to an earlier process of this controller, to a campaign whose result
            // is unknown, or to a term from which this process has stepped down. No process acts as
            // that leader, so its lease can be revoked at once.
            Some(leader_key)
                if leader_key.record.controller == self.settings.controller
                    && now >= self.next_revocation_at =>
            {
                let lease_id = leader_key.lease_id?;
                self.next_revocation_at =
                    now + self.settings.lease_ttl_ms / REVOCATION_INTERVAL_DIVISOR;
                self.revocation_request(lease_id)
            }
            None if self.next_campaign_at == JITTER_NOT_DRAWN => {
                self.next_campaign_at = now + jitter_ms;
                return None;
            }
            None if now >= self.next_campaign_at.max(self.resigned_until) => {
                let grant = StoreRequest::GrantLease { ttl_ms: self.settings.lease_ttl_ms };
                self.new_request(ElectionPurpose::GrantLease { sent_at: now }, grant)
            }
            _ => return None,
        };
        self.follower_request.occupy(&request);
        Some(request)
    }

    /// Steps down if the keys show that the term of this controller has ended.
    fn check_term(&mut self, now: Ms) {
        let (Role::Leading(term), Some(view)) = (&self.role, &self.view) else { return };
        if view.shows_end_of_term(term.mod_revision) {
            self.step_down(now);
        }
    }

    /// Applies a reply. Returns the request that the caller must send at once, if there is one: a
    /// campaign, since the time to live of its lease has begun, or the revocation of a lease that
    /// is not used.
    pub fn handle_reply(
        &mut self,
        now: Ms,
        call: ElectionCall,
        reply: StoreReply,
    ) -> Option<ElectionRequest> {
        let ElectionCall { id, purpose } = call;
        let is_awaited = match purpose {
            ElectionPurpose::List => self.list.release(id),
            ElectionPurpose::Watch => self.watch.release(id),
            ElectionPurpose::KeepAlive { .. } => self.keep_alive.release(id),
            ElectionPurpose::GrantLease { .. }
            | ElectionPurpose::Campaign { .. }
            | ElectionPurpose::RevokeLease => self.follower_request.release(id),
        };
        if !is_awaited {
            // The keep-alive of an earlier term, or a revocation that takes no slot.
            return None;
        }
        match purpose {
            ElectionPurpose::List => self.handle_list_reply(now, reply),
            ElectionPurpose::Watch => self.handle_watch_reply(now, reply),
            ElectionPurpose::GrantLease { sent_at } => {
                return self.handle_grant_reply(now, sent_at, reply)
            }
            ElectionPurpose::Campaign { lease, token } => {
                return self.handle_campaign_reply(now, lease, token, reply)
            }
            ElectionPurpose::KeepAlive { sent_at } => {
                self.handle_keep_alive_reply(now, sent_at, reply)
            }
            ElectionPurpose::RevokeLease => self.handle_revoke_reply(now, reply),
        }
        None
    }

    fn handle_list_reply(&mut self, now: Ms, reply: StoreReply) {
        let StoreReply::Page { items, revision, .. } = reply else {
            self.next_read_at = now + self.retry_delay_ms();
            return;
        };
        self.view = Some(View::listed(&items, revision));
        self.next_campaign_at = JITTER_NOT_DRAWN;
        self.check_term(now);
    }

    fn handle_watch_reply(&mut self, now: Ms, reply: StoreReply) {
        let StoreReply::Events { revision, events } = reply else {
            // This also clears the leader hint. A partitioned controller would otherwise redirect
            // workers to a controller that may no longer lead, until their leases expire.
            self.view = None;
            self.next_read_at = now + self.retry_delay_ms();
            return;
        };
        let Some(view) = self.view.as_mut() else { return };
        let leader_key_changed = view.apply_events(&events, revision);
        if leader_key_changed && view.leader_key.is_none() {
            self.next_campaign_at = JITTER_NOT_DRAWN;
        }
        self.check_term(now);
    }

    /// Returns the campaign under a granted lease, or the revocation of the lease if another
    /// controller was elected after the grant was requested.
    fn handle_grant_reply(
        &mut self,
        now: Ms,
        sent_at: Ms,
        reply: StoreReply,
    ) -> Option<ElectionRequest> {
        let StoreReply::LeaseGranted { lease_id } = reply else {
            self.next_campaign_at = now + self.retry_delay_ms();
            return None;
        };
        let lease = GrantedLease { lease_id, requested_at: sent_at };
        let campaign = self.campaign_request(lease);
        Some(campaign.unwrap_or_else(|| self.revocation_request(lease_id)))
    }

    /// Returns the campaign under a granted lease, unless the leader key is held or must be listed.
    fn campaign_request(&mut self, lease: GrantedLease) -> Option<ElectionRequest> {
        let view = self.view.as_ref().filter(|view| view.leader_key.is_none())?;
        if self.leader_term().is_some() {
            return None;
        }
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
                put(LEADER_KEY, encode(&record), Some(lease.lease_id)),
                put(TERM_KEY, encode(&token), None),
            ],
            deletes: Vec::new(),
        };
        let request = self.new_request(ElectionPurpose::Campaign { lease, token }, transaction);
        self.follower_request.occupy(&request);
        Some(request)
    }

    /// Begins the term of a campaign that succeeded. Otherwise returns the revocation of its lease.
    fn handle_campaign_reply(
        &mut self,
        now: Ms,
        lease: GrantedLease,
        token: FencingToken,
        reply: StoreReply,
    ) -> Option<ElectionRequest> {
        let retry_delay_ms = match reply {
            StoreReply::Conflict { .. } => 0, // the result is known, and so will be the leader
            _ => self.retry_delay_ms(),
        };
        let committed_at = match reply {
            StoreReply::Committed { revision } => Some(revision),
            _ => None,
        };
        let has_ended = |revision: &Revision| {
            self.view.as_ref().is_some_and(|view| view.shows_end_of_term(*revision))
        };
        let Some(mod_revision) = committed_at.filter(|revision| !has_ended(revision)) else {
            // The campaign failed, its result is unknown, or its term has already ended. Revoking
            // the lease also removes the leader key if the store executes the transaction late.
            self.view = None;
            self.next_read_at = now + retry_delay_ms;
            return Some(self.revocation_request(lease.lease_id));
        };
        self.role = Role::Leading(LeaderTerm {
            token,
            mod_revision,
            lease_id: lease.lease_id,
            lease_valid_until: lease.requested_at + self.settings.lease_validity_ms,
        });
        self.keep_alive = RequestSlot::default();
        self.next_keep_alive_at = now;
        None
    }

    fn handle_keep_alive_reply(&mut self, now: Ms, sent_at: Ms, reply: StoreReply) {
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
        if matches!(reply, StoreReply::LeaseUpdated | StoreReply::NotFound) {
            self.view = None;
            self.next_read_at = now;
        }
    }
}

#[cfg(test)]
mod tests;
