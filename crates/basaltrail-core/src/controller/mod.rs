//! The controller: a state machine that turns inputs into effects.
//!
//! [`Controller::step`] does no I/O and reads no clock. Every controller answers users and
//! maintains the job cache; the one that holds the leader lease also runs a [`Leader`].

mod admission;
mod client_requests;
mod cloud_replies;
mod heartbeats;
mod inspection;
mod job_lookups;
mod job_watching;
mod machine_types;
mod progress;
pub mod request_queue;
mod store_replies;
mod submissions;

use crate::election::requests::ElectionRequest;
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

/// Fraction of the store's rate limits that is used. The rest is headroom for calls that the store
/// counts later than they were sent.
const RATE_LIMIT_USAGE: f64 = 0.9;
/// Leader's share of the store's rate limits; the followers split the rest.
const LEADER_STORE_SHARE: f64 = 0.5;
/// Leader's share of the cloud's rate limit.
const LEADER_CLOUD_SHARE: f64 = 0.8;
/// Share of the cloud's rate limit that all followers split.
const FOLLOWERS_CLOUD_SHARE: f64 = 0.2;
/// Job outcomes that are cached, per megabyte of memory. Older ones are read from the store again.
const CACHED_OUTCOMES_PER_MB: f64 = 1000.0;
/// Lower bound of the number of job outcomes that are cached.
const MIN_CACHED_OUTCOMES: f64 = 1000.0;

/// The state of one controller.
pub struct Controller {
    cfg: Arc<Settings>,
    /// Steady clock at the current step, in milliseconds.
    now: Ms,
    /// Wall clock at the current step, in milliseconds.
    wall_clock_ms: WallMs,
    rng: SmallRng,
    calls: Calls,
    election: Election,
    job_cache: JobCache,
    job_watch: JobWatch,
    requests: RequestQueue,
    admission: ControllerAdmission,
    machine_types: MachineTypes,
    /// Start of the current uninterrupted period with a valid leader lease; `None` without a lease.
    lease_held_since: Option<Ms>,
    /// Leader state; present from election until deposition.
    leader: Option<Leader>,
    /// Time of the store's last reply other than a refusal or an unknown result.
    last_store_reply_at: Ms,
    /// Time of the last progress message from a peer; only leaders send them.
    last_peer_progress_at: Ms,
    /// Whether the log says that progress of the leader is missing.
    progress_missing_logged: bool,
    /// True if the rate limiters are set for a leader; `None` before the first step.
    rates_set_for_leader: Option<bool>,
    /// True if each answer to a heartbeat and each watch reply is logged, which costs time per
    /// event.
    verbose: bool,
    /// Answers to heartbeats since the last summary was logged.
    heartbeat_counters: AnswerCounters,
    next_heartbeat_summary_at: Ms,
    /// Leader in the last `leader_seen` event that was logged.
    logged_leader: Option<String>,
    /// Time of that event.
    leader_seen_at: Ms,
}

impl Controller {
    /// Creates a controller without any cached state. `seed` initializes its random generator.
    pub fn new(cfg: Arc<Settings>, seed: u64) -> Self {
        let lease_ttl = cfg.leader_lease_ms();
        let max_outcomes =
            (cfg.memory_mb * CACHED_OUTCOMES_PER_MB).max(MIN_CACHED_OUTCOMES) as usize;
        Controller {
            now: 0,
            wall_clock_ms: 0,
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
            requests: RequestQueue::new(cfg.max_progress_age_ms()),
            admission: ControllerAdmission::new(&cfg),
            machine_types: MachineTypes::default(),
            lease_held_since: None,
            leader: None,
            last_store_reply_at: 0,
            last_peer_progress_at: 0,
            progress_missing_logged: false,
            rates_set_for_leader: None,
            verbose: false,
            heartbeat_counters: AnswerCounters::default(),
            next_heartbeat_summary_at: 0,
            logged_leader: None,
            leader_seen_at: 0,
            cfg,
        }
    }

    /// Sets whether each answer to a heartbeat and each watch reply is logged.
    pub fn set_verbose(&mut self, verbose: bool) {
        self.verbose = verbose;
    }

    /// Returns whether this controller can serve requests (PROTOCOL, "GET /ready").
    pub fn is_ready(&self) -> bool {
        // An outage of the store affects all controllers, so moving users to another one does not
        // help. A leader needs the store to stay leader, so a follower that still receives progress
        // has lost the store alone, and other controllers can serve its users.
        let leader_is_active =
            self.now <= self.last_peer_progress_at + self.cfg.heartbeat_interval_ms * 2;
        let max_silence_ms = match leader_is_active && !self.is_leading() {
            true => self.cfg.leader_lease_ms(),
            false => self.cfg.worker_lease_ms,
        };
        self.job_watch.is_loaded()
            && !self.machine_types.known().is_empty()
            && self.now <= self.last_store_reply_at + max_silence_ms
    }

    /// Returns whether this controller leads: it holds a valid lease and has loaded the records of
    /// the previous leader.
    pub fn is_leading(&self) -> bool {
        self.leader.as_ref().is_some_and(Leader::is_loaded)
            && self.election.holds_valid_lease(self.now)
    }

    /// Returns how many machines and tasks the leader has visited since it was elected; 0 without a
    /// leader state.
    pub fn visit_count(&self) -> u64 {
        self.leader.as_ref().map_or(0, |leader| leader.scheduler.visit_count)
    }

    /// Processes an input and all work that is due, and returns the effects in order. `now` is the
    /// steady clock and `wall_clock_ms` the wall clock, both in milliseconds.
    pub fn step(&mut self, now: Ms, wall_clock_ms: WallMs, input: Input) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.wall_clock_ms = wall_clock_ms;
        match input {
            Input::Tick => {}
            Input::Submit { request_id, job, spec } => {
                self.handle_submission(request_id, job, spec)
            }
            Input::Poll { request_id, job } => {
                self.handle_poll_or_cancel(request_id, job, RequestKind::Poll)
            }
            Input::Cancel { request_id, job } => {
                self.handle_poll_or_cancel(request_id, job, RequestKind::Cancel)
            }
            Input::Inspect { request_id } => self.answer_inspection(request_id),
            Input::Heartbeat { request_id, heartbeat } => {
                self.handle_heartbeat(request_id, &heartbeat)
            }
            Input::Store { call_id, reply } => self.handle_store_reply(call_id, reply),
            Input::Cloud { call_id, reply } => self.handle_cloud_reply(call_id, reply),
            Input::PeerProgress { progress } => self.handle_peer_progress(&progress),
        }
        self.run_due_work();
        std::mem::take(&mut self.calls.effects)
    }

    /// Calls `f` with the leader state, if there is one.
    fn with_leader<T>(
        &mut self,
        f: impl FnOnce(&mut Leader, &Context, &mut Calls, &mut SmallRng) -> T,
    ) -> Option<T> {
        let job_cache_is_fresh = self.job_cache_is_fresh();
        let leader = self.leader.as_mut()?;
        let ctx = Context {
            cfg: &self.cfg,
            machine_types: self.machine_types.known(),
            job_cache: &self.job_cache,
            now: self.now,
            wall_clock_ms: self.wall_clock_ms,
            holds_valid_lease: self.election.holds_valid_lease(self.now),
            job_cache_is_fresh,
        };
        Some(f(leader, &ctx, &mut self.calls, &mut self.rng))
    }

    /// Calls `f` with the leader state, if it belongs to the term with this token.
    fn with_leader_of_term<T>(
        &mut self,
        token: FencingToken,
        f: impl FnOnce(&mut Leader, &Context, &mut Calls) -> T,
    ) -> Option<T> {
        self.with_leader(|leader, ctx, calls, _| {
            (leader.token == token).then(|| f(leader, ctx, calls))
        })
        .flatten()
    }

    /// Performs all work that is due. The order matters: leader leases come first, and the leader
    /// schedules after the job cache has been updated.
    fn run_due_work(&mut self) {
        self.update_rate_limits();
        self.send_election_requests();
        self.update_leader_state();
        self.watch_jobs();
        self.send_catch_up_watch();
        self.update_machine_types();
        self.update_admission();
        self.send_submissions();
        self.send_confirmations();
        self.send_lookups();
        self.run_leader();
        self.queue_unknown_job_lookups();
        self.publish_progress();
        self.log_missing_progress();
        self.log_heartbeat_summary();
        self.log_leader_change();
    }

    /// Sets the rate limiters when this controller starts or stops leading.
    fn update_rate_limits(&mut self) {
        let leads = self.leader.is_some();
        if self.rates_set_for_leader == Some(leads) {
            return;
        }
        self.rates_set_for_leader = Some(leads);
        let follower_count = (self.cfg.controller_count.max(2) - 1) as f64;
        let store_share = match (self.cfg.controller_count, leads) {
            (0 | 1, _) => 1.0,
            (_, true) => LEADER_STORE_SHARE,
            (_, false) => (1.0 - LEADER_STORE_SHARE) / follower_count,
        } * RATE_LIMIT_USAGE;
        let cloud_share =
            if leads { LEADER_CLOUD_SHARE } else { FOLLOWERS_CLOUD_SHARE / follower_count };
        self.calls.store_limiter.set_rate(self.cfg.store_rps * store_share);
        self.calls.write_limiter.set_rate(self.cfg.write_rps * store_share);
        self.calls.cloud_limiter.set_rate(self.cfg.cloud_rps * cloud_share);
    }

    /// Sends the election requests that are due and updates `lease_held_since`.
    fn send_election_requests(&mut self) {
        // The jitter keeps controllers that lost the same leader from campaigning at the same time.
        let mut jitter_ms = self.rng.random_range(0..self.cfg.leader_lease_ms() / 25 + 1);
        // A leader loses the machines of other zones if a network partition separates the zones.
        // Controllers outside the primary zone, which has the most machines, campaign later.
        if self.election.primary_zone().unwrap_or(self.cfg.busiest_zone()) != self.cfg.zone {
            jitter_ms += self.cfg.leader_lease_ms() / 8;
        }
        for due in self.election.due_requests(self.now, jitter_ms) {
            self.send_election_request(due);
        }
        let holds_valid_lease = self.election.holds_valid_lease(self.now);
        self.lease_held_since =
            holds_valid_lease.then(|| self.lease_held_since.unwrap_or(self.now));
    }

    /// Sends an election request. These requests are few. The rate limiter counts them but never
    /// delays them.
    fn send_election_request(&mut self, request: ElectionRequest) {
        self.calls.try_acquire(self.now, CallPriority::Lease);
        let purpose = StorePurpose::Election(request.call);
        self.calls.send_to_store(purpose, request.request, request.timeout_ms);
    }

    /// Creates the leader state when a term begins and drops it when the term ends.
    fn update_leader_state(&mut self) {
        let term = self.election.leader_term();
        let unchanged = match (&self.leader, term) {
            (Some(leader), Some(term)) => leader.token == term.token,
            (None, None) => true,
            _ => false,
        };
        if unchanged {
            return;
        }
        if let Some(leader) = self.leader.take() {
            self.calls.log(LeadershipEvent::Deposed { token: leader.token });
        }
        let Some(term) = term else { return };
        self.calls.log(LeadershipEvent::Elected { token: term.token });
        let ctx = Context {
            cfg: &self.cfg,
            machine_types: self.machine_types.known(),
            job_cache: &self.job_cache,
            now: self.now,
            wall_clock_ms: self.wall_clock_ms,
            holds_valid_lease: true,
            job_cache_is_fresh: false,
        };
        self.leader = Some(Leader::new(&ctx, term.token, term.mod_revision));
    }

    /// Applies job changes to the leader state, runs the leader, and resigns if the workers are
    /// unreachable.
    fn run_leader(&mut self) {
        let changed_jobs = std::mem::take(&mut self.job_cache.changed_jobs);
        if !changed_jobs.is_empty() {
            self.with_leader(|leader, ctx, _, _| {
                for job in &changed_jobs {
                    leader.sync_job(ctx, *job);
                }
            });
        }
        self.with_leader(|leader, ctx, calls, rng| leader.tick(ctx, calls, rng));
        let workers_unreachable = self.with_leader(|leader, ctx, _, _| {
            ctx.holds_valid_lease && leader.liveness.workers_unreachable
        });
        if workers_unreachable == Some(true) {
            // Another controller may still reach the workers before their leases expire. If one
            // can, it takes over within one leader lease. Otherwise this controller may campaign
            // again after two, which bounds the time without a leader.
            let reason = ResignReason::WorkersSilent;
            self.calls.log(LeadershipEvent::Resigned { reason });
            self.election.resign(self.now, self.cfg.leader_lease_ms() * 2);
        }
    }
}

#[cfg(test)]
mod tests;
