//! The key-value store of the state service: keys with revisions, leases, transactions, and the
//! log of changes for watches. Each method is one atomic operation.

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

/// Maximum number of changes in the watch log. A watch that requires older changes is answered
/// with status 410.
const MAX_WATCH_LOG_LENGTH: usize = 10_000;
/// Maximum number of keys per page of a list.
const MAX_PAGE_LENGTH: usize = 1_000;
/// Maximum number of preconditions per transaction, as a multiple of the maximum number of
/// changes.
const PRECONDITIONS_PER_CHANGE: usize = 4;
/// Valid lifetimes of a lease, in milliseconds.
const VALID_LEASE_TTL_MS: std::ops::RangeInclusive<Ms> = 100..=600_000;
/// Delay of a late transaction under [`TransactionFault::Late`], in milliseconds.
const LATE_TRANSACTION_DELAY_MS: std::ops::Range<Ms> = 1_000..6_000;

struct StoredValue {
    value: Value,
    mod_revision: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl_ms: Ms,
    expires_ms: Ms,
}

/// The time at which a transaction is executed, and whether it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransactionOutcome {
    /// Executed immediately and answered.
    Answered,
    /// Executed immediately and not answered.
    AnswerLost,
    /// Executed after a delay in milliseconds, and not answered.
    LateBy(Ms),
}

pub(super) struct Store {
    keys: BTreeMap<String, StoredValue>,
    revision: u64,
    watch_log: VecDeque<WatchEvent>,
    /// Revision of the latest change that was removed from the watch log.
    compacted_revision: u64,
    leases: HashMap<u64, Lease>,
    last_lease_id: u64,
    request_limiter: TokenBucket,
    write_limiter: TokenBucket,
    limits: Limits,
    /// End of the last outage.
    unavailable_until: Ms,
    /// End of each refused controller's refusal, by index of the controller.
    refused_until: HashMap<usize, Ms>,
    /// Added latency of every request.
    pub(super) latency_ms: Ms,
    pub(super) transaction_fault: TransactionFault,
    rng: SmallRng,
    pub(super) counters: ServiceCounters,
}

impl Store {
    /// Creates an empty store. The seed determines which transactions are affected by faults.
    pub(super) fn new(limits: Limits, seed: u64) -> Self {
        Store {
            keys: BTreeMap::new(),
            revision: 0,
            watch_log: VecDeque::new(),
            compacted_revision: 0,
            leases: HashMap::new(),
            last_lease_id: 0,
            request_limiter: TokenBucket::new(limits.rps),
            write_limiter: TokenBucket::new(limits.write_rps),
            limits,
            unavailable_until: 0,
            refused_until: HashMap::new(),
            latency_ms: 0,
            transaction_fault: TransactionFault::None,
            rng: SmallRng::seed_from_u64(seed),
            counters: ServiceCounters::default(),
        }
    }

    /// Returns the revision of the latest change.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the latest change that was removed from the watch log.
    pub(super) fn compacted_revision(&self) -> u64 {
        self.compacted_revision
    }

    /// Returns whether the service accepts a controller's requests, apart from the rate limit.
    pub(super) fn is_available(&self, now: Ms, controller: usize) -> bool {
        let refused_until = self.refused_until.get(&controller);
        now >= self.unavailable_until && refused_until.is_none_or(|until| now >= *until)
    }

    /// Counts a request. Refuses it during an outage, a refusal of the controller, or above the rate
    /// limit.
    pub(super) fn admit(&mut self, now: Ms, controller: usize) -> Result<(), JsonReply> {
        self.counters.requests += 1;
        if !self.is_available(now, controller) {
            return Err(JsonReply::error(503, "trouble"));
        }
        if !self.request_limiter.try_acquire(now, 1.0) {
            return Err(JsonReply::error(429, "too many requests"));
        }
        Ok(())
    }

    /// Starts or prolongs an outage. After it each lease has its full lifetime again.
    pub(super) fn start_outage(&mut self, until: Ms) {
        self.unavailable_until = self.unavailable_until.max(until);
        let outage_end_ms = self.unavailable_until;
        for lease in self.leases.values_mut() {
            lease.expires_ms = outage_end_ms + lease.ttl_ms;
        }
    }

    /// Refuses a controller until the given time.
    pub(super) fn refuse_controller(&mut self, controller: usize, until: Ms) {
        self.refused_until.insert(controller, until);
    }

    /// Draws the outcome of the next transaction according to the transaction fault.
    pub(super) fn draw_outcome(&mut self) -> TransactionOutcome {
        match self.transaction_fault {
            TransactionFault::Late(share) if self.rng.random_bool(share) => {
                TransactionOutcome::LateBy(self.rng.random_range(LATE_TRANSACTION_DELAY_MS))
            }
            TransactionFault::AnswerLost(share) if self.rng.random_bool(share) => {
                TransactionOutcome::AnswerLost
            }
            _ => TransactionOutcome::Answered,
        }
    }

    /// Returns the value of a key.
    pub(super) fn value(&self, key: &str) -> Option<&Value> {
        self.keys.get(key).map(|stored| &stored.value)
    }

    fn key_value<'a>(key: &'a str, stored: &'a StoredValue) -> KeyValue<'a> {
        let StoredValue { value, mod_revision, lease } = stored;
        KeyValue { key, value, mod_revision: *mod_revision, lease: *lease }
    }

    /// Answers a read of one key.
    pub(super) fn get(&self, key: &str) -> JsonReply {
        match self.keys.get(key) {
            Some(stored) => JsonReply::new(200, json!(Self::key_value(key, stored))),
            None => self.not_found(),
        }
    }

    /// Answers a read of a page of keys.
    pub(super) fn list(&self, query: &ListQuery) -> JsonReply {
        let prefix = query.prefix.as_deref().unwrap_or_default();
        let limit = query.limit.unwrap_or(MAX_PAGE_LENGTH).min(MAX_PAGE_LENGTH);
        let matches_query = |key: &str| key.starts_with(prefix) && key > query.after.as_str();
        let mut matching = self.keys.iter().filter(|(key, _)| matches_query(key));
        let page: Vec<KeyValue> = matching
            .by_ref()
            .take(limit)
            .map(|(key, stored)| Self::key_value(key, stored))
            .collect();
        let is_truncated = matching.next().is_some();
        let revision = self.revision;
        let body = json!({"rows": page, "truncated": is_truncated, "impression": revision});
        JsonReply::new(200, body)
    }

    /// Executes a transaction if it is within the limits and its preconditions hold.
    pub(super) fn transact(&mut self, now: Ms, request: &TransactionRequest) -> JsonReply {
        let TransactionRequest { preconditions, changes } = request;
        if self.exceeds_limits(request) {
            return JsonReply::error(400, "beyond a limit");
        }
        if !self.write_limiter.try_acquire(now, changes.len() as f64) {
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
        if changes.iter().any(|change| self.uses_unknown_lease(change)) {
            return JsonReply::error(400, "no such lease");
        }
        self.revision += u64::from(!changes.is_empty());
        self.counters.changes += changes.len() as u64;
        for change in changes {
            self.apply(change);
        }
        JsonReply::new(200, json!({"impression": self.revision}))
    }

    /// Returns whether a transaction has too many changes or preconditions, or a value is too large.
    fn exceeds_limits(&self, request: &TransactionRequest) -> bool {
        let limits = self.limits;
        let is_value_too_large = |change: &Change| match change {
            Change::Put { value, .. } => value.to_string().len() > limits.max_value_bytes,
            Change::Delete { .. } => false,
        };
        request.changes.len() > limits.txn_ops
            || request.preconditions.len() > limits.txn_ops * PRECONDITIONS_PER_CHANGE
            || request.changes.iter().any(is_value_too_large)
    }

    /// Returns whether a precondition holds.
    fn holds(&self, precondition: &Precondition) -> bool {
        let mod_revision = self.keys.get(&precondition.key).map_or(0, |stored| stored.mod_revision);
        precondition.mod_revision == Some(mod_revision)
    }

    /// Returns whether a change attaches its key to a lease that does not exist.
    fn uses_unknown_lease(&self, change: &Change) -> bool {
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
        self.append_to_watch_log(WatchEvent::Put {
            key: key.into(),
            value: value.clone(),
            mod_revision,
            lease,
        });
        self.keys.insert(key.into(), StoredValue { value: value.clone(), mod_revision, lease });
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.append_to_watch_log(WatchEvent::Delete {
                key: key.into(),
                mod_revision: self.revision,
            });
        }
    }

    /// Appends a change to the watch log, and removes the oldest one if the log is full.
    fn append_to_watch_log(&mut self, event: WatchEvent) {
        self.watch_log.push_back(event);
        if self.watch_log.len() <= MAX_WATCH_LOG_LENGTH {
            return;
        }
        if let Some(oldest) = self.watch_log.pop_front() {
            self.compacted_revision = oldest.mod_revision();
        }
    }

    /// Returns the changes to keys with a prefix after a revision, oldest first.
    pub(super) fn events_after(&self, prefix: &str, revision: u64) -> Vec<&WatchEvent> {
        let later = self.watch_log.iter().rev().take_while(|event| event.mod_revision() > revision);
        let mut events: Vec<&WatchEvent> =
            later.filter(|event| event.key().starts_with(prefix)).collect();
        events.reverse();
        events
    }

    /// Grants a lease with the requested lifetime.
    pub(super) fn grant_lease(&mut self, now: Ms, request: LeaseRequest) -> JsonReply {
        let ttl_ms = request.ttl_ms;
        if !VALID_LEASE_TTL_MS.contains(&ttl_ms) {
            return JsonReply::error(400, "lifeMs");
        }
        self.last_lease_id += 1;
        self.leases.insert(self.last_lease_id, Lease { ttl_ms, expires_ms: now + ttl_ms });
        JsonReply::new(200, json!({"loan": self.last_lease_id}))
    }

    /// Renews a lease for its full lifetime.
    pub(super) fn renew_lease(&mut self, now: Ms, lease_id: u64) -> JsonReply {
        let Some(lease) = self.leases.get_mut(&lease_id) else { return self.not_found() };
        lease.expires_ms = now + lease.ttl_ms;
        JsonReply::new(200, json!({}))
    }

    /// Removes a lease and deletes the keys attached to it.
    pub(super) fn revoke_lease(&mut self, lease_id: u64) -> JsonReply {
        if self.leases.remove(&lease_id).is_none() {
            return self.not_found();
        }
        let attached = self.keys.iter().filter(|(_, stored)| stored.lease == Some(lease_id));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!attached.is_empty());
        for key in attached {
            self.delete(&key);
        }
        JsonReply::new(200, json!({}))
    }

    /// Removes expired leases; leases do not expire during an outage.
    pub(super) fn expire_leases(&mut self, now: Ms) {
        if now < self.unavailable_until {
            return;
        }
        let expired = self.leases.iter().filter(|(_, lease)| now >= lease.expires_ms);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for lease_id in expired {
            self.revoke_lease(lease_id);
        }
    }

    /// Returns the reply for a key or lease that does not exist.
    fn not_found(&self) -> JsonReply {
        JsonReply::new(404, json!({"impression": self.revision}))
    }
}
