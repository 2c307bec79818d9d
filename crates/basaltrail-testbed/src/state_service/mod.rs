//! Stand-in for the state service (PROTOCOL, Controller nodes -> state service): a key-value store
//! with compare-and-swap transactions, leases and watches.
//!
//! Its faults are outages, refusals of single controllers, slow answers, late transactions and
//! lost answers. The module `routes` contains the HTTP routes, and `store` the key-value store.

mod messages;
mod rate_limiter;
mod routes;
mod store;

use crate::clock::{Clock, Ms};
use crate::http::{serve, JsonReply};
use crate::lock;
use messages::{TransactionRequest, WatchQuery};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use store::{Store, TransactionOutcome};
use tokio::sync::watch;

/// Time for which the connection of a request with a lost answer is kept open.
const LOST_ANSWER_HOLD: Duration = Duration::from_secs(30);
/// Interval of the checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for which a watch waits for a change, in milliseconds.
const MAX_WATCH_MS: Ms = 60_000;
/// Bounds of the interval at which an open watch checks for its timeout and the end of an outage, in
/// milliseconds. The interval is the remaining time of the watch, clamped to these bounds.
const WATCH_CHECK_INTERVAL_MS: std::ops::RangeInclusive<Ms> = 5..=100;

/// Limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests per second.
    pub rps: f64,
    /// Puts and deletes per second.
    pub write_rps: f64,
    /// Maximum number of changes per transaction. A transaction may have four times as many
    /// preconditions.
    pub txn_ops: usize,
    /// Maximum size of a value, in bytes.
    pub max_value_bytes: usize,
}

/// A fault that affects transactions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransactionFault {
    /// All transactions are executed and answered immediately.
    None,
    /// This share of the transactions is executed seconds later and not answered.
    Late(f64),
    /// This share of the transactions is executed immediately and not answered.
    AnswerLost(f64),
}

/// Counters of the service's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounters {
    /// Received requests, including refused ones.
    pub requests: u64,
    /// Puts and deletes of executed transactions.
    pub changes: u64,
}

/// The state service; clones share one store.
#[derive(Clone)]
pub struct StateService {
    store: Arc<Mutex<Store>>,
    /// Notifies open watches of the store's latest revision.
    revision: Arc<watch::Sender<u64>>,
    clock: Clock,
}

impl StateService {
    /// Starts an empty service. Requires a runtime, for the background task that expires leases.
    pub fn start(clock: Clock, limits: Limits, seed: u64) -> Self {
        let store = Arc::new(Mutex::new(Store::new(limits, seed)));
        let (revision, _) = watch::channel(0);
        let service = StateService { store, revision: Arc::new(revision), clock };
        tokio::spawn(service.clone().expire_leases());
        service
    }

    /// Starts serving one controller on a loopback port of its own, so that the service can refuse
    /// single controllers. Returns the address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn listen(&self, controller: usize) -> std::io::Result<SocketAddr> {
        serve(routes::all(self.clone(), controller)).await
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    /// Counts a request and delays it by the added latency. Returns an error with the reply if the
    /// request is refused.
    async fn admit(&self, controller: usize) -> Result<(), JsonReply> {
        let now = self.clock.now();
        let (latency_ms, decision) = {
            let mut store = self.lock();
            let decision = store.admit(now, controller);
            (store.latency_ms, decision)
        };
        if latency_ms > 0 {
            tokio::time::sleep(Duration::from_millis(latency_ms)).await;
        }
        decision
    }

    /// Runs an operation on the store, and notifies the watches if the revision changed.
    fn with_store<T>(&self, operation: impl FnOnce(&mut Store, Ms) -> T) -> T {
        let now = self.clock.now();
        let mut store = self.lock();
        let result = operation(&mut store, now);
        let revision = store.revision();
        self.revision.send_if_modified(|latest| std::mem::replace(latest, revision) != revision);
        result
    }

    /// Executes and answers a transaction, subject to the transaction fault.
    async fn transact(&self, request: TransactionRequest) -> JsonReply {
        let outcome = self.lock().draw_outcome();
        if let TransactionOutcome::LateBy(delay_ms) = outcome {
            let service = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                service.with_store(|store, now| store.transact(now, &request));
            });
        } else {
            let answer = self.with_store(|store, now| store.transact(now, &request));
            if outcome == TransactionOutcome::Answered {
                return answer;
            }
        }
        tokio::time::sleep(LOST_ANSWER_HOLD).await;
        JsonReply::error(503, "trouble")
    }

    /// Answers a watch as soon as changes match it, or when its time limit is reached.
    async fn watch(&self, controller: usize, query: WatchQuery) -> JsonReply {
        let deadline = self.clock.now() + query.block_ms.min(MAX_WATCH_MS);
        let mut revision = self.revision.subscribe();
        loop {
            revision.mark_unchanged();
            let now = self.clock.now();
            if let Some(reply) = self.try_answer_watch(controller, &query, now, now >= deadline) {
                return reply;
            }
            let remaining_ms = deadline.saturating_sub(now);
            let wait_ms = remaining_ms
                .clamp(*WATCH_CHECK_INTERVAL_MS.start(), *WATCH_CHECK_INTERVAL_MS.end());
            let wait = Duration::from_millis(wait_ms);
            let _ = tokio::time::timeout(wait, revision.changed()).await;
        }
    }

    /// Returns the answer to a watch, or `None` if the watch must continue to wait.
    fn try_answer_watch(
        &self,
        controller: usize,
        query: &WatchQuery,
        now: Ms,
        has_timed_out: bool,
    ) -> Option<JsonReply> {
        let store = self.lock();
        // Open watches wait until an outage or a refusal ends.
        if !store.is_available(now, controller) {
            return None;
        }
        if query.after_revision < store.compacted_revision() {
            return Some(JsonReply::error(410, "too old"));
        }
        let events = store.events_after(&query.prefix, query.after_revision);
        if events.is_empty() && !has_timed_out {
            return None;
        }
        let body = json!({"impression": store.revision(), "news": events});
        Some(JsonReply::new(200, body))
    }

    /// Removes expired leases periodically.
    async fn expire_leases(self) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            self.with_store(Store::expire_leases);
        }
    }

    /// Returns the value of a key, regardless of limits and faults and without counting a request.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.lock().value(key).cloned()
    }

    /// Returns the counters since the service started.
    pub fn counters(&self) -> ServiceCounters {
        self.lock().counters
    }

    /// Fault: refuses all requests for a time. After the outage each lease has its full lifetime
    /// again.
    pub fn start_outage(&self, duration_ms: Ms) {
        let until = self.clock.now() + duration_ms;
        self.lock().start_outage(until);
    }

    /// Fault: refuses one controller for a time, so that its leases can expire.
    pub fn refuse_controller(&self, controller: usize, duration_ms: Ms) {
        let until = self.clock.now() + duration_ms;
        self.lock().refuse_controller(controller, until);
    }

    /// Fault: delays every request by the given time; 0 ends the fault.
    pub fn set_latency(&self, latency_ms: Ms) {
        self.lock().latency_ms = latency_ms;
    }

    /// Fault: sets how transactions fail; [`TransactionFault::None`] ends the fault.
    pub fn set_transaction_fault(&self, fault: TransactionFault) {
        self.lock().transaction_fault = fault;
    }
}
