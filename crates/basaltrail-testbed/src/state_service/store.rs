//! The store of the state service: keys with revisions, leases, transactions and the log of
//! changes for watches. Every method is one atomic step.

use super::messages::{
    Change, KeyValue, LeaseRequest, ListQuery, Precondition, TransactionRequest, WatchEvent,
};
use super::rate_limiter::TokenBucket;
use super::{Limits, ServiceCounters, TransactionFault};
use crate::clock::Ms;
use crate::http::JsonReply;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Changes that are kept for watches; a watch that starts before them is answered 410.
const WATCH_LOG_LENGTH: usize = 10_000;
/// Keys in one page of a list.
const PAGE_LENGTH: usize = 1_000;
/// Preconditions of a transaction at the most, for each change that it may have.
const PRECONDITIONS_PER_CHANGE: usize = 4;
/// Lifetimes that a lease may have, in milliseconds.
const LEASE_TTL_MS: std::ops::RangeInclusive<Ms> = 100..=600_000;
/// How late a transaction is carried out under [`TransactionFault::Late`].
const LATE_MS: std::ops::Range<Ms> = 1_000..6_000;

struct StoredValue {
    value: Value,
    mod_revision: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl_ms: Ms,
    expires_ms: Ms,
}

/// When a transaction is carried out, and whether it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransactionOutcome {
    /// At once, with an answer.
    Answered,
    /// At once, without an answer.
    AnswerLost,
    /// After so many milliseconds, without an answer.
    LateBy(Ms),
}

pub(super) struct Store {
    keys: BTreeMap<String, StoredValue>,
    revision: u64,
    watch_log: VecDeque<WatchEvent>,
    /// Revision of the last change that is no longer in the log.
    compacted_revision: u64,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    requests: TokenBucket,
    writes: TokenBucket,
    limits: Limits,
    unavailable_until: Ms,
    /// Controllers that are refused, by index, and until when.
    refused_until: HashMap<usize, Ms>,
    /// Added latency of every answer.
    pub(super) latency_ms: Ms,
    pub(super) transaction_fault: TransactionFault,
    rng: SmallRng,
    pub(super) counters: ServiceCounters,
}

impl Store {
    pub(super) fn new(limits: Limits, seed: u64) -> Self {
        Store {
            keys: BTreeMap::new(),
            revision: 0,
            watch_log: VecDeque::new(),
            compacted_revision: 0,
            leases: HashMap::new(),
            last_lease: 0,
            requests: TokenBucket::new(limits.rps),
            writes: TokenBucket::new(limits.write_rps),
            limits,
            unavailable_until: 0,
            refused_until: HashMap::new(),
            latency_ms: 0,
            transaction_fault: TransactionFault::None,
            rng: SmallRng::seed_from_u64(seed),
            counters: ServiceCounters::default(),
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn compacted_revision(&self) -> u64 {
        self.compacted_revision
    }

    /// Whether a controller is served at all.
    pub(super) fn is_available(&self, now: Ms, controller: usize) -> bool {
        let refused_until = self.refused_until.get(&controller);
        now >= self.unavailable_until && refused_until.is_none_or(|until| now >= *until)
    }

    /// Counts a request, and refuses it during an outage or above the rate limit.
    pub(super) fn admit(&mut self, now: Ms, controller: usize) -> Result<(), JsonReply> {
        self.counters.requests += 1;
        if !self.is_available(now, controller) {
            return Err(JsonReply::error(503, "trouble"));
        }
        if !self.requests.try_acquire(now, 1.0) {
            return Err(JsonReply::error(429, "too many requests"));
        }
        Ok(())
    }

    /// Makes the service unavailable; afterwards each lease has its full lifetime again.
    pub(super) fn start_outage(&mut self, until: Ms) {
        self.unavailable_until = self.unavailable_until.max(until);
        let available = self.unavailable_until;
        for lease in self.leases.values_mut() {
            lease.expires_ms = available + lease.ttl_ms;
        }
    }

    pub(super) fn refuse(&mut self, controller: usize, until: Ms) {
        self.refused_until.insert(controller, until);
    }

    /// Draws what happens to the next transaction.
    pub(super) fn draw_outcome(&mut self) -> TransactionOutcome {
        match self.transaction_fault {
            TransactionFault::Late(share) if self.rng.random_bool(share) => {
                TransactionOutcome::LateBy(self.rng.random_range(LATE_MS))
            }
            TransactionFault::AnswerLost(share) if self.rng.random_bool(share) => {
                TransactionOutcome::AnswerLost
            }
            _ => TransactionOutcome::Answered,
        }
    }

    pub(super) fn value(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|stored| &stored.value)
    }

    fn key_value<'a>(key: &'a str, stored: &'a StoredValue) -> KeyValue<'a> {
        let StoredValue { value, mod_revision, lease } = stored;
        KeyValue { key, value, mod_revision: *mod_revision, lease: *lease }
    }

    pub(super) fn get(&self, key: &str) -> JsonReply {
        match self.keys.get(key) {
            Some(stored) => JsonReply::new(200, json!(Self::key_value(key, stored))),
            None => self.not_found(),
        }
    }

    pub(super) fn list(&self, query: &ListQuery) -> JsonReply {
        let prefix = query.prefix.as_deref().unwrap_or_default();
        let limit = query.limit.unwrap_or(PAGE_LENGTH).min(PAGE_LENGTH);
        let is_listed = |key: &str| key.starts_with(prefix) && key > query.after.as_str();
        let mut found = self.keys.iter().filter(|(key, _)| is_listed(key));
        let page: Vec<KeyValue> =
            found.by_ref().take(limit).map(|(key, stored)| Self::key_value(key, stored)).collect();
        let is_truncated = found.next().is_some();
        let revision = self.revision;
        let body = json!({"rows": page, "truncated": is_truncated, "impression": revision});
        JsonReply::new(200, body)
    }

    /// Carries out a transaction if it keeps the limits and its preconditions hold.
    pub(super) fn transact(&mut self, now: Ms, request: &TransactionRequest) -> JsonReply {
        let TransactionRequest { preconditions, changes } = request;
        if self.exceeds_limits(request) {
            return JsonReply::error(400, "beyond a limit");
        }
        if !self.writes.try_acquire(now, changes.len() as f64) {
            return JsonReply::error(429, "too many changes");
        }
        let failed: Vec<&str> = preconditions
            .iter()
            .filter(|precondition| !self.holds(precondition))
            .map(|precondition| precondition.key.as_str())
            .collect();
        if !failed.is_empty() {
            return JsonReply::new(409, json!({"failed": failed, "impression": self.revision}));
        }
        if changes.iter().any(|change| self.names_unknown_lease(change)) {
            return JsonReply::error(400, "no such lease");
        }
        self.revision += u64::from(!changes.is_empty());
        self.counters.changes += changes.len() as u64;
        for change in changes {
            self.apply(change);
        }
        JsonReply::new(200, json!({"impression": self.revision}))
    }

    fn exceeds_limits(&self, request: &TransactionRequest) -> bool {
        let limits = self.limits;
        let is_too_long = |change: &Change| match change {
            Change::Put { value, .. } => value.to_string().len() > limits.value_bytes,
            Change::Delete { .. } => false,
        };
        request.changes.len() > limits.txn_ops
            || request.preconditions.len() > limits.txn_ops * PRECONDITIONS_PER_CHANGE
            || request.changes.iter().any(is_too_long)
    }

    fn holds(&self, precondition: &Precondition) -> bool {
        let mod_revision = self.keys.get(&precondition.key).map_or(0, |stored| stored.mod_revision);
        precondition.mod_revision == Some(mod_revision)
    }

    fn names_unknown_lease(&self, change: &Change) -> bool {
        match change {
            Change::Put { lease: Some(lease), .. } => !self.leases.contains_key(lease),
            Change::Put { lease: None, .. } | Change::Delete { .. } => false,
        }
    }

    fn apply(&mut self, change: &Change) {
        match change {
            Change::Put { key, value, lease } => self.put(key, value, *lease),
            Change::Delete { key } => self.delete(key),
        }
    }

    fn put(&mut self, key: &str, value: &Value, lease: Option<u64>) {
        let mod_revision = self.revision;
        self.log(WatchEvent::Put { key: key.into(), value: value.clone(), mod_revision, lease });
        self.keys.insert(key.into(), StoredValue { value: value.clone(), mod_revision, lease });
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.log(WatchEvent::Delete { key: key.into(), mod_revision: self.revision });
        }
    }

    fn log(&mut self, event: WatchEvent) {
        self.watch_log.push_back(event);
        if self.watch_log.len() <= WATCH_LOG_LENGTH {
            return;
        }
        if let Some(oldest) = self.watch_log.pop_front() {
            self.compacted_revision = oldest.mod_revision();
        }
    }

    /// The changes of keys with a prefix after a revision, oldest first.
    pub(super) fn events_after(&self, prefix: &str, revision: u64) -> Vec<&WatchEvent> {
        let later = self.watch_log.iter().rev().take_while(|event| event.mod_revision() > revision);
        let mut events: Vec<&WatchEvent> =
            later.filter(|event| event.key().starts_with(prefix)).collect();
        events.reverse();
        events
    }

    pub(super) fn grant_lease(&mut self, now: Ms, request: LeaseRequest) -> JsonReply {
        let ttl_ms = request.ttl_ms;
        if !LEASE_TTL_MS.contains(&ttl_ms) {
            return JsonReply::error(400, "lifeMs");
        }
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl_ms, expires_ms: now + ttl_ms });
        JsonReply::new(200, json!({"loan": self.last_lease}))
    }

    pub(super) fn renew_lease(&mut self, now: Ms, lease: u64) -> JsonReply {
        let Some(lease) = self.leases.get_mut(&lease) else { return self.not_found() };
        lease.expires_ms = now + lease.ttl_ms;
        JsonReply::new(200, json!({}))
    }

    /// Ends a lease and deletes the keys that are attached to it.
    pub(super) fn revoke_lease(&mut self, lease: u64) -> JsonReply {
        if self.leases.remove(&lease).is_none() {
            return self.not_found();
        }
        let attached = self.keys.iter().filter(|(_, stored)| stored.lease == Some(lease));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!attached.is_empty());
        for key in attached {
            self.delete(&key);
        }
        JsonReply::new(200, json!({}))
    }

    /// Ends the leases whose time is over; none during an outage.
    pub(super) fn expire_leases(&mut self, now: Ms) {
        if now < self.unavailable_until {
            return;
        }
        let expired = self.leases.iter().filter(|(_, lease)| now >= lease.expires_ms);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }

    fn not_found(&self) -> JsonReply {
        JsonReply::new(404, json!({"impression": self.revision}))
    }
}
