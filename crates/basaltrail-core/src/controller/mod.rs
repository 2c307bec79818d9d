//! One controller: the state machine that ties the parts together.

use crate::controller::request_queue::{
    unschedulable_reason, ClientRequest, NewJob, Rejection, RequestKind, RequestQueue,
};
use crate::election::Election;
use crate::events::{JobEvent, LeadershipEvent, ResignReason, StoreEvent};
use crate::io::*;
use crate::jobs::watch::{JobWatch, JobWatchCall, WatchKind};
use crate::jobs::JobCache;
use crate::leader::{Context, Leader};
use crate::lease_renewal::AnswerCounters;
use crate::machines::types::{MachineTypes, TypesCall};
use crate::model::*;
use crate::settings::Settings;
use crate::store::calls::{Calls, ListPart, Purpose};
use crate::store::rate_limiter::CallPriority;
use crate::store::records::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

mod admission;
mod client_requests;
mod heartbeats;
mod inspection;
pub mod request_queue;
mod store_replies;

/// Of the limits, what we use: the rest is for calls that were counted late.
const RATE_USED: f64 = 0.9;
/// Part of the rate that the leader has; the others share the rest.
const LEADER_PART: f64 = 0.5;
/// Requests that may wait at once, per megabyte.
const WAITING_PER_MB: f64 = 40.0;
/// Remembered ends, per megabyte.
const ENDS_PER_MB: f64 = 1000.0;

pub struct Controller {
    cfg: Arc<Settings>,
    now: Ms,
    wall: WallMs,
    rng: SmallRng,
    calls: Calls,
    election: Election,
    job_cache: JobCache,
    requests: RequestQueue,
    admission: admission::ControllerAdmission,
    types: MachineTypes,
    job_watch: JobWatch,
    /// Since when this controller has had its right without a break.
    lease_held_since: Option<Ms>,
    leader: Option<Leader>,
    state_ok: Ms,
    /// When a peer last told of progress, as only a leader does.
    leader_heard: Ms,
    leads: Option<bool>,
    /// Whether single answers and reads are logged, which takes time for each of them.
    verbose: bool,
    /// How workers' reports were answered since the last line about it.
    answers: AnswerCounters,
    next_answers_log: Ms,
    /// The leader that this controller last knew of, as logged.
    leader_logged: Option<String>,
}

impl Controller {
    pub fn new(cfg: Arc<Settings>, seed: u64) -> Self {
        let ttl = cfg.leader_lease_ms();
        Controller {
            now: 0,
            wall: 0,
            rng: SmallRng::seed_from_u64(seed),
            calls: Calls::default(),
            election: Election::new(
                &cfg.controller,
                cfg.incarnation,
                cfg.policy.admission.is_some(),
                ttl,
                cfg.less_drift_margin(ttl),
            ),
            job_cache: JobCache::new((cfg.memory_mb * ENDS_PER_MB).max(1000.0) as usize),
            requests: RequestQueue::default(),
            admission: admission::ControllerAdmission::new(&cfg),
            types: MachineTypes::default(),
            job_watch: JobWatch::default(),
            lease_held_since: None,
            leader: None,
            state_ok: 0,
            leader_heard: 0,
            leads: None,
            verbose: false,
            answers: AnswerCounters::default(),
            next_answers_log: 0,
            leader_logged: None,
            cfg,
        }
    }

    /// Whether it logs single answers to workers and reads of the jobs (debug).
    pub fn set_verbose(&mut self, verbose: bool) {
        self.verbose = verbose;
    }

    /// Whether this controller can take requests.
    pub fn ready(&self) -> bool {
        // In an outage nobody does better: the users stay where they are. A controller that still
        // hears a leader, which is one only by the state service, has lost it alone, and
        // the others serve its users.
        let leader_heard = self.now <= self.leader_heard + self.cfg.heartbeat_interval_ms * 2;
        let patience = match leader_heard && !self.leading() {
            true => self.cfg.leader_lease_ms(),
            false => self.cfg.lease_ms,
        };
        self.job_watch.is_loaded()
            && !self.types.known().is_empty()
            && self.now <= self.state_ok + patience
    }

    pub fn leading(&self) -> bool {
        self.leader.as_ref().is_some_and(Leader::loaded)
            && self.election.holds_valid_lease(self.now)
    }

    /// Machines and tasks that the present leadership has looked at in its passes.
    pub fn visited(&self) -> u64 {
        self.leader.as_ref().map_or(0, |r| r.scheduler.visited)
    }

    pub fn step(&mut self, now: Ms, wall: WallMs, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.wall = wall;
        match input {
            Input::Tick => {}
            Input::Submit { req, job, spec } => self.submit(req, job, spec),
            Input::Poll { req, job } => self.ask(req, job, RequestKind::Poll),
            Input::Cancel { req, job } => self.ask(req, job, RequestKind::Cancel),
            Input::Inspect { req } => self.inspect(req),
            Input::Heartbeat { req, heartbeat } => self.heartbeat(req, &heartbeat),
            Input::Store { op, reply } => self.state_reply(op, reply),
            Input::Cloud { op, reply } => self.cloud_reply(op, reply),
            Input::Peer { progress } => {
                self.leader_heard = self.now;
                if self.leader.is_none() {
                    self.requests.show(&self.job_cache, &progress);
                }
            }
        }
        self.pump();
        std::mem::take(&mut self.calls.out)
    }

    fn with_leader<T>(
        &mut self,
        f: impl FnOnce(&mut Leader, &Context, &mut Calls, &mut SmallRng) -> T,
    ) -> Option<T> {
        let job_cache_is_fresh = self.job_cache_is_fresh();
        let leader = self.leader.as_mut()?;
        let ctx = Context {
            cfg: &self.cfg,
            types: self.types.known(),
            job_cache: &self.job_cache,
            now: self.now,
            wall: self.wall,
            holds_valid_lease: self.election.holds_valid_lease(self.now),
            job_cache_is_fresh,
        };
        Some(f(leader, &ctx, &mut self.calls, &mut self.rng))
    }

    // ---- what is due ----

    fn pump(&mut self) {
        self.shares();
        // The jitter keeps the controllers that saw a leader go from all asking at once.
        let mut jitter = self.rng.random_range(0..self.cfg.leader_lease_ms() / 25 + 1);
        // A cut between zones costs a leader the machines of the others: let those
        // where most machines are go first.
        if self.election.primary_zone().unwrap_or(self.cfg.busiest_zone()) != self.cfg.zone {
            jitter += self.cfg.leader_lease_ms() / 8;
        }
        for (call, op, timeout) in self.election.calls(self.now, jitter) {
            // Leases come first; they are few.
            self.calls.pay(self.now, CallPriority::Lease);
            self.calls.state(Purpose::Election(call), op, timeout);
        }
        let holds_valid_lease = self.election.holds_valid_lease(self.now);
        self.lease_held_since =
            holds_valid_lease.then(|| self.lease_held_since.unwrap_or(self.now));
        self.follow_role();
        self.read_jobs();
        self.catch_up();
        self.types_view();
        self.follow_admission();
        self.flush_requests();
        let changed = std::mem::take(&mut self.job_cache.changed);
        if !changed.is_empty() {
            self.with_leader(|leader, ctx, _, _| {
                for job in &changed {
                    leader.sync_job(ctx, *job);
                }
            });
        }
        self.with_leader(|leader, ctx, calls, rng| leader.tick(ctx, calls, rng));
        if self
            .with_leader(|leader, ctx, _, _| ctx.holds_valid_lease && leader.liveness.lost_workers)
            == Some(true)
        {
            // Another controller may still reach them, and their leases run. One that is able takes
            // over within a leader's lease; where none is, nobody leads for no longer.
            let reason = ResignReason::WorkersSilent;
            self.calls.log(LeadershipEvent::Resigned { reason });
            self.election.resign(self.now, self.cfg.leader_lease_ms() * 2);
        }
        self.read_unknown();
        self.tell_progress();
        self.log_answers();
        self.log_leader();
    }

    fn shares(&mut self) {
        let leads = self.leader.is_some();
        if self.leads == Some(leads) {
            return;
        }
        self.leads = Some(leads);
        let others = (self.cfg.controller_count.max(2) - 1) as f64;
        let part = match (self.cfg.controller_count, leads) {
            (0 | 1, _) => 1.0,
            (_, true) => LEADER_PART,
            (_, false) => (1.0 - LEADER_PART) / others,
        } * RATE_USED;
        self.calls.state.set_rate(self.cfg.store_rps * part);
        self.calls.writes.set_rate(self.cfg.write_rps * part);
        self.calls.cloud.set_rate(self.cfg.cloud_rps * if leads { 0.8 } else { 0.2 / others });
    }

    fn follow_role(&mut self) {
        let leader_term = self.election.leader_term();
        let same = match (&self.leader, leader_term) {
            (Some(r), Some(l)) => r.token == l.token,
            (None, None) => true,
            _ => false,
        };
        if same {
            return;
        }
        if let Some(r) = self.leader.take() {
            self.calls.log(LeadershipEvent::Deposed { token: r.token });
        }
        if let Some(l) = leader_term {
            self.calls.log(LeadershipEvent::Elected { token: l.token });
            let ctx = Context {
                cfg: &self.cfg,
                types: self.types.known(),
                job_cache: &self.job_cache,
                now: self.now,
                wall: self.wall,
                holds_valid_lease: true,
                job_cache_is_fresh: false,
            };
            self.leader = Some(Leader::new(&ctx, l.token, l.mod_revision));
        }
    }

    /// Lists the jobs, or opens the watch again.
    fn read_jobs(&mut self) {
        let Some(call) = self.job_watch.call_due(self.now) else { return };
        if !self.calls.pay(self.now, CallPriority::Request) {
            return;
        }
        self.job_watch.sent(WatchKind::Waiting);
        match call {
            JobWatchCall::List => self.list_jobs(ListPart::Jobs, None, self.now),
            JobWatchCall::Watch { after } => {
                // Short enough that a watch that went dead costs little of `cancel_s`.
                let wait_ms = self.cfg.watch_timeout_ms();
                let patience = self.cfg.leader_lease_ms() / 2;
                self.watch_jobs(WatchKind::Waiting, after, wait_ms, wait_ms + patience);
            }
        }
    }

    fn watch_jobs(&mut self, kind: WatchKind, after: Revision, wait_ms: Ms, timeout_ms: Ms) {
        let op = StoreRequest::Watch { prefix: JOBS_PREFIX.into(), after, wait_ms };
        self.calls.state(Purpose::WatchJobs { sent: self.now, kind }, op, timeout_ms);
    }

    /// Whether what ended before our right began is known, and our knowledge no older than
    /// a watch that is answered leaves it. Users may have been told elsewhere that a job is
    /// cancelled while we stood still, were cut off or had no right: until we have read that,
    /// nothing is started.
    fn job_cache_is_fresh(&self) -> bool {
        let late = self.cfg.watch_timeout_ms()
            + self.cfg.leader_lease_ms() / 2
            + self.cfg.heartbeat_interval_ms;
        self.lease_held_since.is_some_and(|since| self.job_watch.is_fresh(since, self.now, late))
    }

    /// A watch that hangs, or was opened before our right began, is not waited for.
    fn catch_up(&mut self) {
        let Some(since) = self.lease_held_since else { return };
        let patience = self.cfg.leader_lease_ms() / 4;
        let due = self.cfg.watch_timeout_ms() + patience;
        if let Some(after) = self.job_watch.catch_up_due(since, self.now, due) {
            self.job_watch.sent(WatchKind::CatchUp);
            self.calls.pay(self.now, CallPriority::Lease);
            self.watch_jobs(WatchKind::CatchUp, after, 0, patience);
        }
    }

    fn list_jobs(&mut self, part: ListPart, after: Option<String>, sent: Ms) {
        let patience = self.cfg.leader_lease_ms() / 2;
        let prefix = part.prefix().to_string();
        let op = StoreRequest::List { prefix, after: after.clone(), limit: 500 };
        self.calls.state(Purpose::ListJobs { part, after, sent }, op, patience);
    }

    /// Reads, keeps or asks for the machine types, if that is due and can be paid.
    fn types_view(&mut self) {
        let leads = self.leader.is_some();
        let Some(call) = self.types.call_due(self.now, self.cfg.value_bytes, leads) else { return };
        let timeout = self.cfg.lease_ms / 3;
        match call {
            TypesCall::ReadKept => {
                if self.calls.pay(self.now, CallPriority::Request) {
                    self.types.sent();
                    let op = StoreRequest::Get(MACHINE_TYPES_KEY.into());
                    self.calls.state(Purpose::TypesKept, op, timeout);
                }
            }
            TypesCall::Keep { value, mod_revision } => {
                if self.calls.pay(self.now, CallPriority::Request)
                    && self.calls.writes.take(self.now, 1.0, CallPriority::Request)
                {
                    self.types.sent();
                    let op = StoreRequest::Transaction {
                        preconditions: vec![Precondition::new(MACHINE_TYPES_KEY, mod_revision)],
                        puts: vec![PutRequest {
                            key: MACHINE_TYPES_KEY.into(),
                            value,
                            lease_id: None,
                        }],
                        deletes: Vec::new(),
                    };
                    self.calls.state(Purpose::TypesPut, op, timeout);
                }
            }
            TypesCall::AskCloud => {
                if self.calls.cloud.take(self.now, 1.0, CallPriority::Lease) {
                    self.types.sent();
                    self.calls.cloud(Purpose::Types, CloudRequest::Types, timeout);
                }
            }
        }
    }

    fn read_unknown(&mut self) {
        let Some(r) = self.leader.as_mut() else { return };
        if r.failover.unknown.is_empty() || self.requests.reads.len() > 16 {
            return;
        }
        // Each is asked for once a second at the most, by taking it off the list here;
        // workers' next reports put it back while it stays unknown.
        while let Some(job) = r.failover.unknown.pop_first() {
            self.requests.reads.push((job, Vec::new()));
            if self.requests.reads.len() > 16 {
                break;
            }
        }
    }

    fn tell_progress(&mut self) {
        let (now, every) = (self.now, self.cfg.heartbeat_interval_ms);
        if !self.election.holds_valid_lease(now) {
            return;
        }
        if let Some(r) = self.leader.as_mut().filter(|r| r.loaded() && now >= r.next_progress) {
            r.next_progress = now + every;
            let progress = r.progress();
            self.requests.display = progress.iter().map(|p| (p.job, (p.done, p.running))).collect();
            self.calls.out.push(Effect::Peers { progress });
        }
    }
}

#[cfg(test)]
mod tests;
