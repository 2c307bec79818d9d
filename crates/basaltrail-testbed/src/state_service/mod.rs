//! Stand-in of the state service (PROTOCOL, Controller nodes -> state service): a key-value store
//! with compare-and-swap transactions, leases and watches.
//!
//! Its faults are outages, refusals of single controllers, slow answers, late transactions and
//! lost answers. The HTTP routes are in `routes`, the store itself is in `store`.

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

/// How long a connection is kept open whose request is never answered.
const UNANSWERED: Duration = Duration::from_secs(30);
/// How often expired leases are looked for.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The longest time for which a watch is held open.
const WATCH_MAX_MS: Ms = 60_000;
/// How often an open watch looks whether its time is over, or an outage has ended.
const WATCH_CHECK_MS: std::ops::RangeInclusive<Ms> = 5..=100;

/// Limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Changes in one transaction; it may have four times as many preconditions.
    pub txn_ops: usize,
    /// Bytes of one value.
    pub value_bytes: usize,
}

/// A fault of transactions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransactionFault {
    /// All transactions are carried out and answered at once.
    None,
    /// This share is carried out seconds later and not answered.
    Late(f64),
    /// This share is carried out at once and not answered.
    AnswerLost(f64),
}

/// Counts of what the service did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounters {
    /// Requests, including those that were refused.
    pub requests: u64,
    /// Puts and deletes that were carried out.
    pub changes: u64,
}

/// The state service; clones share one store.
#[derive(Clone)]
pub struct StateService {
    store: Arc<Mutex<Store>>,
    /// Wakes the open watches: the revision after the last change.
    revision: Arc<watch::Sender<u64>>,
    clock: Clock,
}

impl StateService {
    /// Starts an empty service. It needs a runtime, since leases expire in the background.
    pub fn start(clock: Clock, limits: Limits, seed: u64) -> Self {
        let store = Arc::new(Mutex::new(Store::new(limits, seed)));
        let (revision, _) = watch::channel(0);
        let service = StateService { store, revision: Arc::new(revision), clock };
        tokio::spawn(service.clone().expire_leases());
        service
    }

    /// Serves one controller on an address of its own, so that it can be refused alone.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn listen(&self, controller: usize) -> std::io::Result<SocketAddr> {
        serve(routes::all(self.clone(), controller)).await
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    /// Counts a request, delays it under the slowness fault, and tells whether it is served.
    async fn admit(&self, controller: usize) -> Result<(), JsonReply> {
        let now = self.clock.now();
        let (latency_ms, verdict) = {
            let mut store = self.lock();
            let verdict = store.admit(now, controller);
            (store.latency_ms, verdict)
        };
        if latency_ms > 0 {
            tokio::time::sleep(Duration::from_millis(latency_ms)).await;
        }
        verdict
    }

    /// Runs a step on the store, and wakes the watches if it changed the revision.
    fn step<T>(&self, step: impl FnOnce(&mut Store, Ms) -> T) -> T {
        let now = self.clock.now();
        let mut store = self.lock();
        let result = step(&mut store, now);
        let revision = store.revision();
        self.revision.send_if_modified(|seen| std::mem::replace(seen, revision) != revision);
        result
    }

    async fn transact(&self, request: TransactionRequest) -> JsonReply {
        let outcome = self.lock().draw_outcome();
        if let TransactionOutcome::LateBy(delay_ms) = outcome {
            let service = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                service.step(|store, now| store.transact(now, &request));
            });
        } else {
            let answer = self.step(|store, now| store.transact(now, &request));
            if outcome == TransactionOutcome::Answered {
                return answer;
            }
        }
        tokio::time::sleep(UNANSWERED).await;
        JsonReply::error(503, "trouble")
    }

    /// Answers once there are changes to report, or the time of the request is over.
    async fn watch(&self, controller: usize, query: WatchQuery) -> JsonReply {
        let until = self.clock.now() + query.block_ms.min(WATCH_MAX_MS);
        let mut revision = self.revision.subscribe();
        loop {
            revision.mark_unchanged();
            let now = self.clock.now();
            if let Some(reply) = self.try_answer_watch(controller, &query, now, now >= until) {
                return reply;
            }
            let remaining_ms = until.saturating_sub(now);
            let wait_ms = remaining_ms.clamp(*WATCH_CHECK_MS.start(), *WATCH_CHECK_MS.end());
            let wait = Duration::from_millis(wait_ms);
            let _ = tokio::time::timeout(wait, revision.changed()).await;
        }
    }

    fn try_answer_watch(
        &self,
        controller: usize,
        query: &WatchQuery,
        now: Ms,
        is_over: bool,
    ) -> Option<JsonReply> {
        let store = self.lock();
        // Watches are held open through an outage.
        if !store.is_available(now, controller) {
            return None;
        }
        if query.after_revision < store.compacted_revision() {
            return Some(JsonReply::error(410, "too old"));
        }
        let events = store.events_after(&query.prefix, query.after_revision);
        if events.is_empty() && !is_over {
            return None;
        }
        let body = json!({"impression": store.revision(), "news": events});
        Some(JsonReply::new(200, body))
    }

    async fn expire_leases(self) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            self.step(Store::expire_leases);
        }
    }

    /// The value of a key, read past all limits and faults.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.lock().value(key).cloned()
    }

    /// What the service did so far.
    pub fn counters(&self) -> ServiceCounters {
        self.lock().counters
    }

    /// Fault: the service is unavailable to all; afterwards each lease has its full lifetime
    /// again.
    pub fn start_outage(&self, duration_ms: Ms) {
        let until = self.clock.now() + duration_ms;
        self.lock().start_outage(until);
    }

    /// Fault: one controller alone is refused, and its leases expire.
    pub fn refuse(&self, controller: usize, duration_ms: Ms) {
        let until = self.clock.now() + duration_ms;
        self.lock().refuse(controller, until);
    }

    /// Fault: every answer comes so much later; 0 ends it.
    pub fn set_latency(&self, latency_ms: Ms) {
        self.lock().latency_ms = latency_ms;
    }

    /// Sets the fault of transactions.
    pub fn set_transaction_fault(&self, fault: TransactionFault) {
        self.lock().transaction_fault = fault;
    }
}
