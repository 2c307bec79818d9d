//! Stand-in of the state service (PROTOCOL, Controller nodes -> state service): loans, stamps,
//! watches, limits, outages, refusals of one node, late transactions and lost answers.

use crate::clock::{Clock, Ms};
use crate::http::{reply, serve};
use crate::lock;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::watch;
use warp::reply::Response;
use warp::Filter;

/// Changes that watches can still be told of.
const CHANGES_KEPT: usize = 10_000;
/// Items in one page of a list.
const PAGE_MOST: usize = 1_000;
/// How long a connection is kept whose answer never comes.
const UNANSWERED: Duration = Duration::from_secs(30);

/// Limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Changes in one transaction; four times as many conditions.
    pub txn_ops: usize,
    /// Bytes of one value.
    pub value_bytes: usize,
}

/// EventKind becomes of a transaction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TransactionFault {
    /// It is answered at once.
    None,
    /// This share is carried out seconds later, and not answered.
    Late(f64),
    /// This share is carried out at once, and not answered.
    AnswerLost(f64),
}

struct Kept {
    value: Value,
    stamp: u64,
    loan: Option<u64>,
}

struct Loan {
    life_ms: Ms,
    end: Ms,
}

/// Allows so many a second, with a burst of one second's worth.
struct Allowance {
    rate: f64,
    level: f64,
    at: Ms,
}

impl Allowance {
    fn new(rate: f64) -> Self {
        Allowance { rate, level: rate, at: 0 }
    }

    fn take(&mut self, now: Ms, n: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.level = (self.level + passed * self.rate).min(self.rate);
        self.at = now;
        let enough = self.level >= n;
        self.level -= if enough { n } else { 0.0 };
        enough
    }
}

struct Store {
    keys: BTreeMap<String, Kept>,
    revision: u64,
    changes: VecDeque<Value>,
    /// The last change that is not kept any more.
    forgotten: u64,
    loans: HashMap<u64, Loan>,
    next_loan: u64,
    requests: Allowance,
    writes: Allowance,
    limits: Limits,
    down_until: Ms,
    refused_until: HashMap<usize, Ms>,
    slow_ms: Ms,
    fault: TransactionFault,
    rng: SmallRng,
    served: Served,
}

/// EventKind was served so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Requests, those that were refused included.
    pub requests: u64,
    /// Puts and deletes that were carried out.
    pub changes: u64,
}

/// The state service.
#[derive(Clone)]
pub struct StateService {
    store: Arc<Mutex<Store>>,
    revision: Arc<watch::Sender<u64>>,
    clock: Clock,
}

type Query = HashMap<String, String>;
type Status = (u16, Value);

impl StateService {
    /// An empty service. Needs a runtime: loans end in the background.
    pub fn start(clock: Clock, limits: Limits, seed: u64) -> Self {
        let store = Store {
            keys: BTreeMap::new(),
            revision: 0,
            changes: VecDeque::new(),
            forgotten: 0,
            loans: HashMap::new(),
            next_loan: 0,
            requests: Allowance::new(limits.rps),
            writes: Allowance::new(limits.write_rps),
            limits,
            down_until: 0,
            refused_until: HashMap::new(),
            slow_ms: 0,
            fault: TransactionFault::None,
            rng: SmallRng::seed_from_u64(seed),
            served: Served::default(),
        };
        let (revision, _) = watch::channel(0);
        let store = Arc::new(Mutex::new(store));
        let service = StateService { store, revision: Arc::new(revision), clock };
        tokio::spawn(service.clone().expire_loans());
        service
    }

    /// Serves one controller on an address of its own, so that it can be refused alone.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn listen(&self, node: usize) -> std::io::Result<SocketAddr> {
        let with = self.clone();
        let with = warp::any().map(move || with.clone());
        let gate = warp::any()
            .and(with.clone())
            .then(move |service: StateService| async move { service.gate(node).await });
        let get = warp::path("kv")
            .and(warp::path::tail())
            .and(warp::get())
            .and(warp::query::<Query>())
            .and(gate.clone())
            .and(with.clone())
            .map(|tail: warp::path::Tail, query: Query, gate, service: StateService| {
                service.answer(gate, |store| match query.contains_key("starts") {
                    true => store.list(&query),
                    false => store.get(tail.as_str()),
                })
            });
        let txn = warp::path!("txn")
            .and(warp::post())
            .and(warp::body::json())
            .and(gate.clone())
            .and(with.clone())
            .then(|body: Value, gate, service: StateService| async move {
                service.transaction(gate, body).await
            });
        let grant = warp::path!("grants")
            .and(warp::post())
            .and(warp::body::json())
            .and(gate.clone())
            .and(with.clone())
            .map(|body: Value, gate, service: StateService| {
                let now = service.clock.now();
                service.answer(gate, |store| store.grant(now, &body))
            });
        let extend = warp::path!("grants" / u64 / "extend")
            .and(warp::post())
            .and(gate.clone())
            .and(with.clone())
            .map(|loan: u64, gate, service: StateService| {
                let now = service.clock.now();
                service.answer(gate, |store| store.extend(now, loan))
            });
        let end = warp::path!("grants" / u64)
            .and(warp::delete())
            .and(gate.clone())
            .and(with.clone())
            .map(|loan: u64, gate, service: StateService| {
                service.answer(gate, |store| store.end_loan(loan))
            });
        let changes = warp::path!("changes")
            .and(warp::get())
            .and(warp::query::<Query>())
            .and(gate)
            .and(with)
            .then(move |query: Query, gate, service: StateService| async move {
                service.watch(node, gate, query).await
            });
        serve(get.or(txn).or(grant).or(extend).or(end).or(changes)).await
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    /// Whether a request is served, and how late.
    async fn gate(&self, node: usize) -> Result<(), Status> {
        let now = self.clock.now();
        let (slow_ms, verdict) = {
            let mut store = self.lock();
            let verdict = store.admit(now, node);
            (store.slow_ms, verdict)
        };
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
        verdict
    }

    fn answer(
        &self,
        gate: Result<(), Status>,
        serve: impl FnOnce(&mut Store) -> Status,
    ) -> Response {
        let (status, body) = match gate {
            Ok(()) => self.change(serve),
            Err(refusal) => refusal,
        };
        reply(status, body)
    }

    /// Changes the store, and wakes the watches if its revision is another one then.
    fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = self.lock();
        let outcome = change(&mut store);
        let revision = store.revision;
        self.revision.send_if_modified(|seen| std::mem::replace(seen, revision) != revision);
        outcome
    }

    async fn transaction(&self, gate: Result<(), Status>, body: Value) -> Response {
        if let Err((status, body)) = gate {
            return reply(status, body);
        }
        let now = self.clock.now();
        let (late_ms, lost) = self.lock().draw_fault();
        if let Some(late_ms) = late_ms {
            let service = self.clone();
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(late_ms)).await;
                let now = service.clock.now();
                service.change(|store| store.transaction(now, &body));
            });
        } else {
            let (status, answer) = self.change(|store| store.transaction(now, &body));
            if !lost {
                return reply(status, answer);
            }
        }
        tokio::time::sleep(UNANSWERED).await;
        reply(503, json!({"error": "trouble"}))
    }

    async fn watch(&self, node: usize, gate: Result<(), Status>, query: Query) -> Response {
        if let Err((status, body)) = gate {
            return reply(status, body);
        }
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let prefix = query.get("starts").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = self.clock.now() + number("blockMs").unwrap_or(0).min(60_000);
        let mut revision = self.revision.subscribe();
        loop {
            revision.mark_unchanged();
            let now = self.clock.now();
            {
                let store = self.lock();
                // During an outage open watches stay open.
                if store.serves(now, node) {
                    if after < store.forgotten {
                        return reply(410, json!({"error": "too old"}));
                    }
                    let news = store.news(&prefix, after);
                    if !news.is_empty() || now >= until {
                        return reply(200, json!({"impression": store.revision, "news": news}));
                    }
                }
            }
            let wait = Duration::from_millis(until.saturating_sub(now).clamp(5, 100));
            let _ = tokio::time::timeout(wait, revision.changed()).await;
        }
    }

    async fn expire_loans(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let now = self.clock.now();
            self.change(|store| store.expire_loans(now));
        }
    }

    /// The present value of a key, whoever asks.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.lock().keys.get(key).map(|kept| kept.value.clone())
    }

    /// EventKind was served so far.
    pub fn served(&self) -> Served {
        self.lock().served
    }

    /// The service is out for all; afterwards each loan has its full time again.
    pub fn outage(&self, for_ms: Ms) {
        let now = self.clock.now();
        let mut store = self.lock();
        store.down_until = store.down_until.max(now + for_ms);
        let back = store.down_until;
        store.loans.values_mut().for_each(|loan| loan.end = back + loan.life_ms);
    }

    /// One controller alone is refused; its loans run out.
    pub fn refuse(&self, node: usize, for_ms: Ms) {
        let until = self.clock.now() + for_ms;
        self.lock().refused_until.insert(node, until);
    }

    /// Every answer comes so much later.
    pub fn slow(&self, ms: Ms) {
        self.lock().slow_ms = ms;
    }

    /// EventKind becomes of transactions from now on.
    pub fn transactions(&self, fault: TransactionFault) {
        self.lock().fault = fault;
    }
}

impl Store {
    fn serves(&self, now: Ms, node: usize) -> bool {
        now >= self.down_until && self.refused_until.get(&node).is_none_or(|until| now >= *until)
    }

    fn admit(&mut self, now: Ms, node: usize) -> Result<(), Status> {
        self.served.requests += 1;
        if !self.serves(now, node) {
            return Err((503, json!({"error": "trouble"})));
        }
        match self.requests.take(now, 1.0) {
            true => Ok(()),
            false => Err((429, json!({"error": "too many requests"}))),
        }
    }

    fn draw_fault(&mut self) -> (Option<Ms>, bool) {
        match self.fault {
            TransactionFault::Late(share) if self.rng.random_bool(share) => {
                (Some(self.rng.random_range(1_000..6_000)), true)
            }
            TransactionFault::AnswerLost(share) => (None, self.rng.random_bool(share)),
            _ => (None, false),
        }
    }

    fn row(&self, key: &str) -> Option<Value> {
        let kept = self.keys.get(key)?;
        Some(json!({"key": key, "v": kept.value, "stamp": kept.stamp, "loan": kept.loan}))
    }

    fn get(&self, key: &str) -> Status {
        match self.row(key) {
            Some(row) => (200, row),
            None => (404, json!({"impression": self.revision})),
        }
    }

    fn list(&self, query: &Query) -> Status {
        let prefix = query.get("starts").map_or("", String::as_str);
        let after = query.get("after").map_or("", String::as_str);
        let most = query.get("most").and_then(|most| most.parse().ok()).unwrap_or(PAGE_MOST);
        let most = most.min(PAGE_MOST);
        let mut found =
            self.keys.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let rows: Vec<Value> = found.by_ref().take(most).filter_map(|key| self.row(key)).collect();
        let truncated = found.next().is_some();
        (200, json!({"rows": rows, "truncated": truncated, "impression": self.revision}))
    }

    fn transaction(&mut self, now: Ms, body: &Value) -> Status {
        let none = Vec::new();
        let list = |name: &str| body[name].as_array().unwrap_or(&none);
        let (conditions, changes) = (list("if"), list("apply"));
        let limits = self.limits;
        let long = |change: &Value| change["v"].to_string().len() > limits.value_bytes;
        if changes.len() > limits.txn_ops
            || conditions.len() > limits.txn_ops * 4
            || changes.iter().any(long)
        {
            return (400, json!({"error": "beyond a limit"}));
        }
        if !self.writes.take(now, changes.len() as f64) {
            return (429, json!({"error": "too many changes"}));
        }
        let stamp = |key: &Value| {
            let kept = key.as_str().and_then(|key| self.keys.get(key));
            kept.map_or(0, |kept| kept.stamp)
        };
        let failed: Vec<&Value> = conditions
            .iter()
            .filter(|condition| Some(stamp(&condition["key"])) != condition["stamp"].as_u64())
            .map(|condition| &condition["key"])
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "impression": self.revision}));
        }
        let lost = |change: &Value| {
            change["loan"].as_u64().is_some_and(|loan| !self.loans.contains_key(&loan))
        };
        if changes.iter().any(lost) {
            return (400, json!({"error": "no such lease"}));
        }
        self.revision += u64::from(!changes.is_empty());
        self.served.changes += changes.len() as u64;
        for change in changes {
            if let Some(key) = change["put"].as_str() {
                self.put(key, change["v"].clone(), change["loan"].as_u64());
            } else if let Some(key) = change["remove"].as_str() {
                self.remove(key);
            }
        }
        (200, json!({"impression": self.revision}))
    }

    fn put(&mut self, key: &str, value: Value, loan: Option<u64>) {
        let stamp = self.revision;
        self.tell(json!({"put": key, "v": value, "stamp": stamp, "loan": loan}));
        self.keys.insert(key.into(), Kept { value, stamp, loan });
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.tell(json!({"remove": key, "stamp": self.revision}));
        }
    }

    fn tell(&mut self, change: Value) {
        self.changes.push_back(change);
        if self.changes.len() > CHANGES_KEPT {
            let oldest = self.changes.pop_front();
            let stamp = oldest.and_then(|change| change["stamp"].as_u64());
            self.forgotten = stamp.unwrap_or(self.forgotten);
        }
    }

    fn news(&self, prefix: &str, after: u64) -> Vec<&Value> {
        let new = self
            .changes
            .iter()
            .rev()
            .take_while(|change| change["stamp"].as_u64().is_some_and(|stamp| stamp > after));
        let ours = |change: &&Value| {
            let key = change["put"].as_str().or(change["remove"].as_str());
            key.is_some_and(|key| key.starts_with(prefix))
        };
        let mut news: Vec<&Value> = new.filter(ours).collect();
        news.reverse();
        news
    }

    fn grant(&mut self, now: Ms, body: &Value) -> Status {
        let life_ms = body["lifeMs"].as_u64().unwrap_or(0);
        if !(100..=600_000).contains(&life_ms) {
            return (400, json!({"error": "lifeMs"}));
        }
        self.next_loan += 1;
        self.loans.insert(self.next_loan, Loan { life_ms, end: now + life_ms });
        (200, json!({"loan": self.next_loan}))
    }

    fn extend(&mut self, now: Ms, loan: u64) -> Status {
        match self.loans.get_mut(&loan) {
            Some(loan) => {
                loan.end = now + loan.life_ms;
                (200, json!({}))
            }
            None => (404, json!({"impression": self.revision})),
        }
    }

    fn end_loan(&mut self, loan: u64) -> Status {
        if self.loans.remove(&loan).is_none() {
            return (404, json!({"impression": self.revision}));
        }
        let attached = self.keys.iter().filter(|(_, kept)| kept.loan == Some(loan));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!attached.is_empty());
        for key in attached {
            self.remove(&key);
        }
        (200, json!({}))
    }

    fn expire_loans(&mut self, now: Ms) {
        if now < self.down_until {
            return;
        }
        let over = self.loans.iter().filter(|(_, loan)| now >= loan.end);
        let over: Vec<u64> = over.map(|(loan, _)| *loan).collect();
        for loan in over {
            self.end_loan(loan);
        }
    }
}
