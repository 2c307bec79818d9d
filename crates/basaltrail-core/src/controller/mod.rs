//! One replica of the service: the state machine that ties the parts together.
//!
//! [`Controller::step`] takes an input and gives effects; it does no I/O and reads no clock. Every
//! controller answers users and keeps the job cache; the one that holds the leader's lease runs a
//! [`Leader`] as well.

mod admission;
mod client_requests;
mod cloud_replies;
mod heartbeats;
mod inspection;
mod job_lookups;
mod job_watching;
mod machine_types;
pub mod request_queue;
mod store_replies;
mod submissions;

use crate::election::{Election, ElectionSettings};
use crate::events::{LeadershipEvent, ResignReason};
use crate::io::{Effect, Input};
use crate::jobs::watch::JobWatch;
use crate::jobs::JobCache;
use crate::leader::{Context, Leader};
use crate::lease_renewal::AnswerCounters;
use crate::machines::types::MachineTypes;
use crate::model::{FencingToken, Ms, WallMs};
use crate::settings::Settings;
use crate::store::calls::{Calls, StorePurpose};
use crate::store::rate_limiter::CallPriority;
use admission::ControllerAdmission;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use request_queue::{RequestKind, RequestQueue};
use std::sync::Arc;

/// Part of the limits that is used: the rest is for calls that the service counts late.
const RATE_USED: f64 = 0.9;
/// Part of the store's rates that the leader has; the others share the rest.
const LEADER_STORE_PART: f64 = 0.5;
/// Part of the cloud's rate that the leader has; the others share the rest.
const LEADER_CLOUD_PART: f64 = 0.8;
/// The same, of all others together.
const OTHERS_CLOUD_PART: f64 = 0.2;
/// Outcomes of jobs that are remembered, per megabyte of memory. Older ones are read again.
const OUTCOMES_PER_MB: f64 = 1000.0;
/// The least number of outcomes that are remembered.
const MIN_OUTCOMES: f64 = 1000.0;

/// One controller.
pub struct Controller {
    cfg: Arc<Settings>,
    /// The steady clock, as of the present step.
    now: Ms,
    /// The time of day, as of the present step.
    wall: WallMs,
    rng: SmallRng,
    calls: Calls,
    election: Election,
    job_cache: JobCache,
    job_watch: JobWatch,
    requests: RequestQueue,
    admission: ControllerAdmission,
    types: MachineTypes,
    /// Since when this controller has held a valid leader's lease without a break.
    lease_held_since: Option<Ms>,
    /// Present while this controller leads.
    leader: Option<Leader>,
    /// When the store last replied by anything but a refusal.
    store_reachable_at: Ms,
    /// When a peer last told of progress, as only a leader does.
    leader_heard_at: Ms,
    /// Whether the rate limiters are set for a leader; none before the first step.
    rates_for_leader: Option<bool>,
    /// Whether single answers and watches are logged, which takes time for each of them.
    verbose: bool,
    /// How heartbeats were answered since the last line about it.
    heartbeat_counters: AnswerCounters,
    next_heartbeat_summary: Ms,
    /// The leader that this controller last knew of, as logged.
    logged_leader: Option<String>,
}

impl Controller {
    /// A controller that knows nothing yet. `seed` is that of its random choices.
    pub fn new(cfg: Arc<Settings>, seed: u64) -> Self {
        let lease_ttl = cfg.leader_lease_ms();
        let max_outcomes = (cfg.memory_mb * OUTCOMES_PER_MB).max(MIN_OUTCOMES) as usize;
        Controller {
            now: 0,
            wall: 0,
            rng: SmallRng::seed_from_u64(seed),
            calls: Calls::default(),
            election: Election::new(ElectionSettings {
                controller: cfg.controller.clone(),
                incarnation: cfg.incarnation,
                allocates_quotas: cfg.policy.admission.is_some(),
                lease_ttl_ms: lease_ttl,
                lease_validity_ms: cfg.minus_drift_margin(lease_ttl),
            }),
            job_cache: JobCache::new(max_outcomes),
            job_watch: JobWatch::default(),
            requests: RequestQueue::default(),
            admission: ControllerAdmission::new(&cfg),
            types: MachineTypes::default(),
            lease_held_since: None,
            leader: None,
            store_reachable_at: 0,
            leader_heard_at: 0,
            rates_for_leader: None,
            verbose: false,
            heartbeat_counters: AnswerCounters::default(),
            next_heartbeat_summary: 0,
            logged_leader: None,
            cfg,
        }
    }

    /// Sets whether single answers to workers and watches of the jobs are logged.
    pub fn set_verbose(&mut self, verbose: bool) {
        self.verbose = verbose;
    }

    /// Whether this controller can take requests (PROTOCOL, "GET /ready").
    pub fn ready(&self) -> bool {
        // In an outage no controller does better: the users stay where they are. A controller
        // that still hears a leader, which is one only by the store, has lost the store alone, and
        // the others serve its users.
        let leader_heard = self.now <= self.leader_heard_at + self.cfg.heartbeat_interval_ms * 2;
        let patience = match leader_heard && !self.leading() {
            true => self.cfg.leader_lease_ms(),
            false => self.cfg.lease_ms,
        };
        self.job_watch.is_loaded()
            && !self.types.known().is_empty()
            && self.now <= self.store_reachable_at + patience
    }

    /// Whether this controller leads: it holds a valid lease and has loaded what the previous
    /// leader left.
    pub fn leading(&self) -> bool {
        self.leader.as_ref().is_some_and(Leader::loaded)
            && self.election.holds_valid_lease(self.now)
    }

    /// Machines and tasks that the present leader has looked at in its scheduling cycles.
    pub fn visited(&self) -> u64 {
        self.leader.as_ref().map_or(0, |leader| leader.scheduler.visited)
    }

    /// Takes an input, does what is due, and gives the effects in order. `now` is the steady clock,
    /// `wall` the time of day.
    pub fn step(&mut self, now: Ms, wall: WallMs, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.wall = wall;
        match input {
            Input::Tick => {}
            Input::Submit { req, job, spec } => self.submit(req, job, spec),
            Input::Poll { req, job } => self.poll_or_cancel(req, job, RequestKind::Poll),
            Input::Cancel { req, job } => self.poll_or_cancel(req, job, RequestKind::Cancel),
            Input::Inspect { req } => self.inspect(req),
            Input::Heartbeat { req, heartbeat } => self.heartbeat(req, &heartbeat),
            Input::Store { op, reply } => self.store_replied(op, reply),
            Input::Cloud { op, reply } => self.cloud_replied(op, reply),
            Input::Peer { progress } => {
                self.leader_heard_at = self.now;
                if self.leader.is_none() {
                    self.requests.update_progress(&self.job_cache, &progress);
                }
            }
        }
        self.run_due_work();
        std::mem::take(&mut self.calls.effects)
    }

    /// Calls `f` with the leader's state, if this controller has one.
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

    /// Calls `f` with the leader's state, if it is that of the term that a call was made in.
    fn with_leader_of<T>(
        &mut self,
        token: FencingToken,
        f: impl FnOnce(&mut Leader, &Context, &mut Calls) -> T,
    ) -> Option<T> {
        self.with_leader(|leader, ctx, calls, _| {
            (leader.token == token).then(|| f(leader, ctx, calls))
        })
        .flatten()
    }

    /// Everything that may be due after an input. The order matters: leases come first, and the
    /// leader schedules by what the job cache has just learned.
    fn run_due_work(&mut self) {
        self.set_rates();
        self.run_election();
        self.follow_election();
        self.watch_jobs();
        self.catch_up();
        self.update_machine_types();
        self.update_admission();
        self.send_submissions();
        self.send_confirmations();
        self.send_lookups();
        self.run_leader();
        self.look_up_unknown_jobs();
        self.tell_progress();
        self.log_heartbeat_summary();
        self.log_leader();
    }

    /// Sets the rate limiters whenever this controller becomes the leader or ceases to be.
    fn set_rates(&mut self) {
        let leads = self.leader.is_some();
        if self.rates_for_leader == Some(leads) {
            return;
        }
        self.rates_for_leader = Some(leads);
        let others = (self.cfg.controller_count.max(2) - 1) as f64;
        let part = match (self.cfg.controller_count, leads) {
            (0 | 1, _) => 1.0,
            (_, true) => LEADER_STORE_PART,
            (_, false) => (1.0 - LEADER_STORE_PART) / others,
        } * RATE_USED;
        let cloud_part = if leads { LEADER_CLOUD_PART } else { OTHERS_CLOUD_PART / others };
        self.calls.store_rate.set_rate(self.cfg.store_rps * part);
        self.calls.write_rate.set_rate(self.cfg.write_rps * part);
        self.calls.cloud_rate.set_rate(self.cfg.cloud_rps * cloud_part);
    }

    /// Sends the election's calls.
    fn run_election(&mut self) {
        // The jitter keeps the controllers that saw a leader go from all asking at once.
        let mut jitter = self.rng.random_range(0..self.cfg.leader_lease_ms() / 25 + 1);
        // A network partition between zones costs a leader the machines of the others: let those
        // where most machines are go first.
        if self.election.primary_zone().unwrap_or(self.cfg.busiest_zone()) != self.cfg.zone {
            jitter += self.cfg.leader_lease_ms() / 8;
        }
        for due in self.election.requests(self.now, jitter) {
            // Leases come first and never wait; they are few.
            self.calls.try_acquire(self.now, CallPriority::Lease);
            let purpose = StorePurpose::Election(due.call);
            self.calls.send_to_store(purpose, due.request, due.timeout_ms);
        }
        let holds_valid_lease = self.election.holds_valid_lease(self.now);
        self.lease_held_since =
            holds_valid_lease.then(|| self.lease_held_since.unwrap_or(self.now));
    }

    /// Begins and ends the leader's state with the election's terms.
    fn follow_election(&mut self) {
        let term = self.election.leader_term();
        let same = match (&self.leader, term) {
            (Some(leader), Some(term)) => leader.token == term.token,
            (None, None) => true,
            _ => false,
        };
        if same {
            return;
        }
        if let Some(leader) = self.leader.take() {
            self.calls.log(LeadershipEvent::Deposed { token: leader.token });
        }
        let Some(term) = term else { return };
        self.calls.log(LeadershipEvent::Elected { token: term.token });
        let ctx = Context {
            cfg: &self.cfg,
            types: self.types.known(),
            job_cache: &self.job_cache,
            now: self.now,
            wall: self.wall,
            holds_valid_lease: true,
            job_cache_is_fresh: false,
        };
        self.leader = Some(Leader::new(&ctx, term.token, term.mod_revision));
    }

    /// Has the leader do what is due.
    fn run_leader(&mut self) {
        let changed = std::mem::take(&mut self.job_cache.changed);
        if !changed.is_empty() {
            self.with_leader(|leader, ctx, _, _| {
                for job in &changed {
                    leader.sync_job(ctx, *job);
                }
            });
        }
        self.with_leader(|leader, ctx, calls, rng| leader.tick(ctx, calls, rng));
        let lost_workers = self
            .with_leader(|leader, ctx, _, _| ctx.holds_valid_lease && leader.liveness.lost_workers);
        if lost_workers == Some(true) {
            // Another controller may still reach them, and their leases run. One that is able takes
            // over within a leader's lease; where none is, nobody leads for no longer.
            let reason = ResignReason::WorkersSilent;
            self.calls.log(LeadershipEvent::Resigned { reason });
            self.election.resign(self.now, self.cfg.leader_lease_ms() * 2);
        }
    }

    /// Tells the peers of progress, as a leader does once in a heartbeat interval.
    fn tell_progress(&mut self) {
        if !self.election.holds_valid_lease(self.now) {
            return;
        }
        let Some(leader) = self.leader.as_mut() else { return };
        if !leader.loaded() || self.now < leader.next_progress {
            return;
        }
        leader.next_progress = self.now + self.cfg.heartbeat_interval_ms;
        let progress = leader.progress();
        let counts = progress.iter().map(|progress| (progress.job, progress.into()));
        self.requests.task_counts = counts.collect();
        self.calls.effects.push(Effect::Peers { progress });
    }
}

#[cfg(test)]
mod tests;
