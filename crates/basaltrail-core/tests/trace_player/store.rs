//! Simulates the store that a trace uses, with the faults that the trace sets.

use basaltrail_core::*;
use std::collections::{BTreeMap, BTreeSet};

/// The way in which the store handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Availability {
    /// Executes requests and replies.
    #[default]
    Up,
    /// Replies with status 503 and executes nothing.
    Refusing,
    /// Does not reply.
    Silent,
}

/// A kind of request whose replies a trace can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeldKind {
    /// Transactions that write the leader key.
    Campaign,
    /// Revocations of leases.
    Revocation,
}

impl HeldKind {
    /// Returns the kind of a request, if its replies can be held.
    pub fn of(request: &StoreRequest) -> Option<HeldKind> {
        match request {
            StoreRequest::RevokeLease { .. } => Some(HeldKind::Revocation),
            StoreRequest::Transaction { puts, .. } => {
                let is_campaign = puts.iter().any(|put| put.key == records::LEADER_KEY);
                is_campaign.then_some(HeldKind::Campaign)
            }
            _ => None,
        }
    }
}

/// The reply to a request that the store has executed, held on its way to the controller.
pub struct HeldReply {
    pub kind: HeldKind,
    pub call_id: CallId,
    pub reply: StoreReply,
}

/// A watch without a reply so far.
pub struct OpenWatch {
    pub call_id: CallId,
    pub prefix: String,
    pub after: Revision,
    /// Time at which the store replies even if there are no events.
    pub wait_ends_at: u64,
    /// Time at which the request times out in the controller.
    pub times_out_at: u64,
}

struct StoredValue {
    value: String,
    mod_revision: Revision,
    lease_id: Option<LeaseId>,
}

/// A change of a key. `value` is `None` if the key was deleted.
struct Change {
    key: String,
    revision: Revision,
    value: Option<String>,
}

#[derive(Default)]
pub struct TraceStore {
    pub availability: Availability,
    /// Requests without a reply, which the command `late` executes.
    pub unanswered_requests: Vec<StoreRequest>,
    pub watches: Vec<OpenWatch>,
    /// True if watches of the jobs get no reply.
    pub job_events_held: bool,
    /// Prefixes of keys that cannot be read.
    pub unreadable_prefixes: BTreeSet<&'static str>,
    /// Kinds of requests whose replies are held.
    pub held_kinds: BTreeSet<HeldKind>,
    /// Replies that are held, in the order of the requests.
    pub held_replies: Vec<HeldReply>,
    /// True if the next campaign is executed and its reply is lost.
    pub loses_next_campaign: bool,
    /// Watches that never get a reply.
    pub hung_watches: Vec<CallId>,
    /// A key whose writes are rejected with status 400.
    pub rejected_key: Option<String>,
    /// Number of rejected transactions.
    pub rejected_transactions: u32,
    keys: BTreeMap<String, StoredValue>,
    revision: u64,
    last_lease_id: u64,
    changes: Vec<Change>,
}

impl TraceStore {
    /// Begins a new revision for the changes that another controller makes next.
    pub fn begin_revision(&mut self) {
        self.revision += 1;
    }

    pub fn put(&mut self, key: &str, value: &str, lease_id: Option<LeaseId>) {
        let mod_revision = Revision(self.revision);
        let stored = StoredValue { value: value.into(), mod_revision, lease_id };
        self.keys.insert(key.into(), stored);
        let value = Some(value.into());
        self.changes.push(Change { key: key.into(), revision: mod_revision, value });
    }

    pub fn delete(&mut self, key: &str) {
        self.keys.remove(key);
        let revision = Revision(self.revision);
        self.changes.push(Change { key: key.into(), revision, value: None });
    }

    /// Handles a request according to the current availability, and returns the reply.
    pub fn handle_request(&mut self, request: StoreRequest) -> StoreReply {
        match self.availability {
            Availability::Up => self.execute(&request),
            Availability::Refusing => StoreReply::Unavailable,
            Availability::Silent => {
                self.unanswered_requests.push(request);
                StoreReply::Unknown
            }
        }
    }

    /// Handles a request as [`TraceStore::handle_request`] does. Returns `None` if the reply is held.
    pub fn handle_call(&mut self, call_id: CallId, request: StoreRequest) -> Option<StoreReply> {
        let kind = HeldKind::of(&request).filter(|_| self.availability == Availability::Up);
        let reply = self.handle_request(request);
        let Some(kind) = kind else { return Some(reply) };
        if kind == HeldKind::Campaign && std::mem::take(&mut self.loses_next_campaign) {
            return Some(StoreReply::Unknown);
        }
        if !self.held_kinds.contains(&kind) {
            return Some(reply);
        }
        self.held_replies.push(HeldReply { kind, call_id, reply });
        None
    }

    /// Stops holding replies of a kind, and returns those that were held.
    pub fn release_replies(&mut self, kind: HeldKind) -> Vec<HeldReply> {
        self.held_kinds.remove(&kind);
        let (released, held) = std::mem::take(&mut self.held_replies)
            .into_iter()
            .partition(|held: &HeldReply| held.kind == kind);
        self.held_replies = held;
        released
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.keys.get(key).map(|stored| stored.value.as_str())
    }

    /// Returns the controller that holds the leader key and its token, as they are written in
    /// traces.
    pub fn leader(&self) -> Option<String> {
        let stored = self.keys.get(records::LEADER_KEY)?;
        let record: records::LeaderRecord = records::decode(&stored.value)?;
        Some(format!("{} t{}", record.controller, record.token.0))
    }

    /// Returns the reply to an open watch, or `None` if the watch stays open.
    pub fn reply_to(&self, watch: &OpenWatch, now: u64) -> Option<StoreReply> {
        let is_held = self.job_events_held && watch.prefix == records::JOBS_PREFIX;
        if self.availability != Availability::Up
            || is_held
            || self.hung_watches.contains(&watch.call_id)
        {
            return (now >= watch.times_out_at).then_some(StoreReply::Unknown);
        }
        let is_new = |change: &&Change| {
            change.revision > watch.after && change.key.starts_with(&watch.prefix)
        };
        let events: Vec<WatchEvent> =
            self.changes.iter().filter(is_new).map(Change::event).collect();
        if events.is_empty() && now < watch.wait_ends_at {
            return None;
        }
        Some(StoreReply::Events { revision: Revision(self.revision), events })
    }

    /// Executes a request regardless of the availability.
    pub fn execute(&mut self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Get(key) if self.is_unreadable(key) => StoreReply::Unavailable,
            StoreRequest::Get(key) => match self.keys.get(key) {
                Some(stored) => StoreReply::KeyValue(stored.key_value(key)),
                None => StoreReply::NotFound,
            },
            StoreRequest::List { prefix, .. } => self.list(prefix),
            StoreRequest::Transaction { preconditions, puts, deletes } => {
                self.transact(preconditions, puts, deletes)
            }
            StoreRequest::GrantLease { .. } => {
                self.last_lease_id += 1;
                StoreReply::LeaseGranted { lease_id: LeaseId(self.last_lease_id) }
            }
            StoreRequest::KeepAlive { lease_id } => match self.holds_leader_key(*lease_id) {
                true => StoreReply::LeaseUpdated,
                false => StoreReply::NotFound,
            },
            StoreRequest::RevokeLease { lease_id } => {
                if self.holds_leader_key(*lease_id) {
                    self.revision += 1;
                    self.delete(records::LEADER_KEY);
                }
                StoreReply::LeaseUpdated
            }
            StoreRequest::Watch { .. } => unreachable!("watches stay open"),
        }
    }

    fn holds_leader_key(&self, lease_id: LeaseId) -> bool {
        let leader = self.keys.get(records::LEADER_KEY);
        leader.is_some_and(|stored| stored.lease_id == Some(lease_id))
    }

    fn is_unreadable(&self, key: &str) -> bool {
        self.unreadable_prefixes.iter().any(|prefix| key.starts_with(prefix))
    }

    fn list(&self, prefix: &str) -> StoreReply {
        if self.is_unreadable(prefix) {
            return StoreReply::Unavailable;
        }
        let listed = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        StoreReply::Page {
            items: listed.map(|(key, stored)| stored.key_value(key)).collect(),
            more: false,
            revision: Revision(self.revision),
        }
    }

    fn transact(
        &mut self,
        preconditions: &[Precondition],
        puts: &[PutRequest],
        deletes: &[String],
    ) -> StoreReply {
        if puts.iter().any(|put| self.rejected_key.as_ref() == Some(&put.key)) {
            self.rejected_transactions += 1;
            return StoreReply::Invalid;
        }
        let mod_revision =
            |key: &String| self.keys.get(key).map_or(Revision(0), |stored| stored.mod_revision);
        let failed: Vec<String> = preconditions
            .iter()
            .filter(|expected| mod_revision(&expected.key) != expected.mod_revision)
            .map(|expected| expected.key.clone())
            .collect();
        if !failed.is_empty() {
            return StoreReply::Conflict { failed };
        }
        self.revision += 1;
        for put in puts {
            self.put(&put.key, &put.value, put.lease_id);
        }
        for key in deletes {
            self.delete(key);
        }
        StoreReply::Committed { revision: Revision(self.revision) }
    }
}

impl StoredValue {
    fn key_value(&self, key: &str) -> KeyValue {
        KeyValue {
            key: key.into(),
            value: self.value.clone(),
            mod_revision: self.mod_revision,
            lease_id: self.lease_id,
        }
    }
}

impl Change {
    fn event(&self) -> WatchEvent {
        match &self.value {
            Some(value) => WatchEvent::Put(KeyValue {
                key: self.key.clone(),
                value: value.clone(),
                mod_revision: self.revision,
                // Watch events do not contain the lease of a key.
                lease_id: None,
            }),
            None => WatchEvent::Delete { key: self.key.clone(), mod_revision: self.revision },
        }
    }
}
