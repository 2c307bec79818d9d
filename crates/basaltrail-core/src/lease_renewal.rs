//! The conditions under which the answer to a heartbeat may renew the worker lease. Only this
//! module creates a [`RenewalPermit`], and only [`RenewalPermit::answer`] builds an answer that
//! renews a lease. Other modules may refuse the renewal for further reasons ([`RenewalRefusal`]).
//!
//! A 200 response renews the worker lease and so keeps all tasks on the machine running, including
//! tasks of cancelled jobs (PROTOCOL, Leases). It therefore requires a permit: for each live task
//! of the heartbeat, either a recent enough read shows that the job is active, or the answer stops
//! the task.
//!
//! Let `C` be the time at which a user received the confirmation of a cancellation. A read that was
//! sent after `C` shows the cancellation. An answer at time `t` that does not stop the tasks of the
//! job therefore relies on a read that was sent before `C`, and at most
//! [`Settings::max_job_cache_age_ms`] before `t`. The renewed lease expires at most
//! [`Settings::max_cancellation_ms`] after `C`, provided that a worker lease with its drift margin
//! takes at most three quarters of that time. This holds for each answer by itself, regardless of
//! earlier leaders.

use crate::answer::{Answer, UnavailableReason};
use crate::jobs::JobCache;
use crate::model::{
    Attempt, FencingToken, Heartbeat, JobId, Ms, TaskCommand, TaskId, TaskState, TaskStatus,
};
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Number of commands up to which an answer is filled, required stops included. It keeps the answer
/// under PROTOCOL's limit for a line. Required stops alone may exceed it, up to
/// [`MAX_REQUIRED_STOPS`].
const MAX_COMMANDS: usize = 200;
/// Maximum number of required stops in one answer. A heartbeat that requires more is refused, so
/// that the worker lease expires.
const MAX_REQUIRED_STOPS: usize = 600;
/// Seconds after which a refused worker may send its next heartbeat.
const RETRY_AFTER_S: u32 = 1;

/// The state of a reported task's job, as far as the controller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownJobState {
    /// The last read of the jobs found an active record.
    Active,
    /// The job is done or cancelled, and its tasks must stop.
    Ended,
    /// No record is known; the job may be active or have ended.
    Unknown,
}

/// The reason why the answer to a heartbeat does not renew the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RenewalRefusal {
    /// This controller holds no valid leader lease.
    NoValidLease,
    /// The worker has seen a higher fencing token and would ignore the answer.
    HigherToken,
    /// The last read of the jobs is too old, or there was none.
    JobsNotRead,
    /// A reported task belongs to a job whose state is unknown.
    JobUnknown,
    /// The answer would need more than `MAX_REQUIRED_STOPS` stops.
    TooManyStops,
    /// The worker still reports an older fencing token after several answers.
    TokenNotAdopted,
    /// The machine has been terminated.
    MachineTerminated,
    /// The heartbeat or a newer one was already applied, or its agent epoch has ended.
    StaleHeartbeat,
    /// The leader is still loading and already tracks the maximum number of machines.
    Loading,
}

impl RenewalRefusal {
    /// Returns the name used in logs and in the body of the answer.
    pub fn name(self) -> &'static str {
        match self {
            RenewalRefusal::NoValidLease => "not_entitled",
            RenewalRefusal::HigherToken => "higher_token",
            RenewalRefusal::JobsNotRead => "jobs_not_read",
            RenewalRefusal::JobUnknown => "job_unknown",
            RenewalRefusal::TooManyStops => "too_many_stops",
            RenewalRefusal::TokenNotAdopted => "no_report_with_token",
            RenewalRefusal::MachineTerminated => "machine_returned",
            RenewalRefusal::StaleHeartbeat => "late_report",
            RenewalRefusal::Loading => "loading",
        }
    }

    /// Returns the answer to the worker: 421 if another controller may hold the leader lease, 503
    /// otherwise. `leader` is the presumed leader.
    pub fn answer(self, leader: Option<String>) -> Answer {
        match self {
            RenewalRefusal::NoValidLease => Answer::NotLeader { leader },
            RenewalRefusal::HigherToken => Answer::NotLeader { leader: None },
            _ => Answer::Unavailable {
                retry_after_s: RETRY_AFTER_S,
                reason: UnavailableReason::HeartbeatRefused(self),
            },
        }
    }
}

/// The state of a controller that determines whether it may renew worker leases.
#[derive(Clone, Copy)]
pub struct RenewalConditions<'a> {
    /// The settings.
    pub cfg: &'a Settings,
    /// The known jobs.
    pub job_cache: &'a JobCache,
    /// The current time of the monotonic clock, in milliseconds.
    pub now: Ms,
    /// The time since which this controller has continuously held a valid leader lease; `None` if
    /// it holds none.
    pub lease_held_since: Option<Ms>,
    /// The send time of the request whose reply last updated the known jobs.
    pub jobs_as_of: Option<Ms>,
}

impl RenewalConditions<'_> {
    /// Checks whether this controller may renew worker leases at all.
    ///
    /// # Errors
    ///
    /// [`RenewalRefusal::NoValidLease`] and [`RenewalRefusal::JobsNotRead`].
    pub fn check_eligibility(&self) -> Result<(), RenewalRefusal> {
        if self.lease_held_since.is_none() {
            return Err(RenewalRefusal::NoValidLease);
        }
        let max_age_ms = self.cfg.max_job_cache_age_ms();
        match self.jobs_as_of {
            Some(as_of) if self.now <= as_of + max_age_ms => Ok(()),
            _ => Err(RenewalRefusal::JobsNotRead),
        }
    }

    /// Returns the known state of a reported task's job.
    ///
    /// If the jobs were read since this controller acquired the leader lease, a job without a
    /// record has ended: the leader that started the task had read the record, and only an outcome
    /// replaces a record.
    pub fn job_state(&self, job: JobId) -> KnownJobState {
        if self.job_cache.outcome(job).is_some() {
            return KnownJobState::Ended;
        }
        if self.job_cache.active.contains_key(&job) {
            return KnownJobState::Active;
        }
        match (self.jobs_as_of, self.lease_held_since) {
            (Some(as_of), Some(since)) if as_of >= since => KnownJobState::Ended,
            _ => KnownJobState::Unknown,
        }
    }

    /// Returns the permit to renew the lease of the worker that sent the heartbeat.
    ///
    /// # Errors
    ///
    /// The errors of [`RenewalConditions::check_eligibility`], [`RenewalRefusal::JobUnknown`] and
    /// [`RenewalRefusal::TooManyStops`].
    pub fn permit(&self, heartbeat: &Heartbeat) -> Result<RenewalPermit, RenewalRefusal> {
        self.check_eligibility()?;
        let mut stops = Vec::new();
        for task in live_tasks(heartbeat) {
            match self.job_state(task.task.job) {
                KnownJobState::Active => {}
                KnownJobState::Ended => stops.push((task.task, task.attempt)),
                KnownJobState::Unknown => return Err(RenewalRefusal::JobUnknown),
            }
        }
        if stops.len() > MAX_REQUIRED_STOPS {
            return Err(RenewalRefusal::TooManyStops);
        }
        Ok(RenewalPermit { stops })
    }

    /// Returns the jobs of the heartbeat's live tasks whose state is unknown and must be read.
    pub fn unknown_jobs(&self, heartbeat: &Heartbeat) -> BTreeSet<JobId> {
        let is_unknown = |job: &JobId| self.job_state(*job) == KnownJobState::Unknown;
        live_tasks(heartbeat).map(|task| task.task.job).filter(is_unknown).collect()
    }

    /// Returns the live tasks of the heartbeat that the answer does not stop and whose job a recent
    /// enough read does not show as active. The check does not use the permit, so that it also
    /// finds faults in how answers are built; for an answer built with a permit, the result is
    /// empty.
    pub fn unverified_tasks(&self, heartbeat: &Heartbeat, answer: &Answer) -> Vec<TaskId> {
        let Answer::Commands { commands, .. } = answer else { return Vec::new() };
        let is_stopped = |status: &TaskStatus| {
            commands.iter().any(|command| {
                matches!(command, TaskCommand::Stop { task, attempt, grace_s }
                    if (*task, *attempt) == (status.task, status.attempt) && *grace_s <= 0.0)
            })
        };
        let is_eligible = self.check_eligibility().is_ok();
        live_tasks(heartbeat)
            .filter(|status| {
                let is_active = is_eligible && self.job_cache.active.contains_key(&status.task.job);
                !is_active && !is_stopped(status)
            })
            .map(|status| status.task)
            .collect()
    }
}

/// A permit to renew a worker lease, with the stops that the answer must include.
#[must_use]
#[derive(Debug, PartialEq, Eq)]
pub struct RenewalPermit {
    stops: Vec<(TaskId, Attempt)>,
}

impl RenewalPermit {
    /// Returns the maximum number of commands to pass to [`RenewalPermit::answer`].
    pub fn command_limit(&self) -> usize {
        MAX_COMMANDS.saturating_sub(self.stops.len())
    }

    /// Builds the answer: the required stops that `commands` lacks, then `commands` without the
    /// stops with a grace period that these replace. `commands` must hold at most
    /// [`RenewalPermit::command_limit`] commands.
    pub fn answer(self, token: FencingToken, commands: Vec<TaskCommand>) -> Answer {
        let stop = |&(task, attempt)| TaskCommand::Stop { task, attempt, grace_s: 0.0 };
        // With a grace period, the task of an ended job would keep running while it saves.
        let is_graceful = |command: &&TaskCommand| {
            matches!(command, TaskCommand::Stop { task, attempt, grace_s }
                if *grace_s > 0.0 && self.stops.contains(&(*task, *attempt)))
        };
        let missing_stops = self.stops.iter().map(stop).filter(|stop| !commands.contains(stop));
        let kept_commands = commands.iter().filter(|command| !is_graceful(command)).copied();
        Answer::Commands { token, commands: missing_stops.chain(kept_commands).collect() }
    }
}

/// Returns the tasks of a heartbeat that have not exited.
fn live_tasks(heartbeat: &Heartbeat) -> impl Iterator<Item = &TaskStatus> {
    heartbeat.tasks.iter().filter(|task| !matches!(task.state, TaskState::Exited(_)))
}

/// Counters of the answers to heartbeats, for logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounters {
    /// Number of answers that renewed a lease.
    pub renewed: u64,
    /// Number of starts in these answers.
    pub starts: u64,
    /// Number of stops in these answers.
    pub stops: u64,
    /// Number of commands to forget an exited task in these answers.
    pub forgets: u64,
    /// Number of refusals by reason.
    pub refused: BTreeMap<RenewalRefusal, u64>,
    /// Number of tasks that an answer kept running although no recent enough read showed their job
    /// as active; 0 unless this program has a bug.
    pub violations: u64,
}

impl AnswerCounters {
    /// Counts an answer that renewed a lease.
    pub fn count_renewal(&mut self, commands: &[TaskCommand]) {
        self.renewed += 1;
        for command in commands {
            match command {
                TaskCommand::Start { .. } => self.starts += 1,
                TaskCommand::Stop { .. } => self.stops += 1,
                TaskCommand::Forget { .. } => self.forgets += 1,
            }
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&mut self, refusal: RenewalRefusal) {
        *self.refused.entry(refusal).or_default() += 1;
    }
}

#[cfg(test)]
#[path = "lease_renewal_tests.rs"]
mod tests;
