//! The one place that decides whether the answer to a heartbeat renews the worker's lease.
//!
//! A 200 keeps everything on the machine for one more lease (PROTOCOL, Leases), tasks of
//! cancelled jobs included. So it goes out only with a [`RenewalPermit`]: each live task of the
//! heartbeat is of a job that is known to be active by a read that is recent enough, or the same
//! answer stops it. With `C` the moment at which a user was told of a cancellation, an answer at
//! `t` without the stop rests on a read that was sent before `C` and at most
//! [`Settings::max_job_cache_age_ms`] before `t`, so that the lease it gives has expired by
//! `C + cancel_s`. That holds for each answer alone, whatever leaders came before.

use crate::answer::{Answer, UnavailableReason};
use crate::jobs::JobCache;
use crate::model::{
    Attempt, FencingToken, Heartbeat, JobId, Ms, TaskCommand, TaskId, TaskState, TaskStatus,
};
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Commands of one answer, the stops that it needs counted first, to stay under PROTOCOL's limit
/// of a line.
const MAX_COMMANDS: usize = 200;
/// Stops that an answer can carry; with more the lease has to expire.
const MAX_STOPS: usize = 600;
/// Seconds after which a refused worker may ask again.
const RETRY_AFTER_S: u32 = 1;

/// What a controller knows about the job of a task that a worker reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownJobState {
    /// Its record was there when the jobs were last read.
    Active,
    /// It is done or cancelled: no task of it may go on.
    Ended,
    /// Neither is known: it may have ended long ago.
    Unknown,
}

/// Why the answer to a heartbeat does not renew the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RenewalRefusal {
    /// This controller does not hold a valid leader lease.
    NoValidLease,
    /// The worker has seen a higher token and would drop the answer.
    HigherToken,
    /// The jobs were read too long ago, or never.
    JobsNotRead,
    /// A reported task is of a job of which nothing is known yet.
    JobUnknown,
    /// More tasks have to be stopped than one answer can say.
    TooManyStops,
    /// The machine has been answered several times and still does not show our token.
    TokenNotAdopted,
    /// The machine has been returned to the cloud.
    MachineReturned,
    /// A newer heartbeat of the machine was taken already.
    StaleHeartbeat,
    /// The leader still loads and keeps account of as many machines as it can.
    Loading,
}

impl RenewalRefusal {
    /// Its name in logs and in the body of the answer.
    pub fn name(self) -> &'static str {
        match self {
            RenewalRefusal::NoValidLease => "not_entitled",
            RenewalRefusal::HigherToken => "higher_token",
            RenewalRefusal::JobsNotRead => "jobs_not_read",
            RenewalRefusal::JobUnknown => "job_unknown",
            RenewalRefusal::TooManyStops => "too_many_stops",
            RenewalRefusal::TokenNotAdopted => "no_report_with_token",
            RenewalRefusal::MachineReturned => "machine_returned",
            RenewalRefusal::StaleHeartbeat => "late_report",
            RenewalRefusal::Loading => "loading",
        }
    }

    /// The answer that a worker gets: 421 where another controller may act, 503 otherwise.
    /// `leader` is the controller that is believed to lead.
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

/// What a controller may rely on at the moment at which it answers a heartbeat.
#[derive(Clone, Copy)]
pub struct RenewalEvidence<'a> {
    /// Limits and times.
    pub cfg: &'a Settings,
    /// What is known about jobs.
    pub job_cache: &'a JobCache,
    /// The present moment on the steady clock, in milliseconds.
    pub now: Ms,
    /// Since when this controller has held a valid leader lease without a break; `None` without
    /// one.
    pub lease_held_since: Option<Ms>,
    /// When the request was sent by whose answer jobs are known.
    pub jobs_as_of: Option<Ms>,
}

impl RenewalEvidence<'_> {
    /// Whether this controller may renew any lease at all.
    ///
    /// # Errors
    ///
    /// [`RenewalRefusal::NoValidLease`] and [`RenewalRefusal::JobsNotRead`].
    pub fn may_renew(&self) -> Result<(), RenewalRefusal> {
        if self.lease_held_since.is_none() {
            return Err(RenewalRefusal::NoValidLease);
        }
        let max_age_ms = self.cfg.max_job_cache_age_ms();
        match self.jobs_as_of {
            Some(as_of) if self.now <= as_of + max_age_ms => Ok(()),
            _ => Err(RenewalRefusal::JobsNotRead),
        }
    }

    /// What is known about a job of which a worker reports a task.
    ///
    /// A job without a record has ended once the jobs were read within our lease: whoever
    /// started the task held the record then, and a record is only ever replaced by an outcome.
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

    /// The permit to renew the lease of the worker that sent this heartbeat.
    ///
    /// # Errors
    ///
    /// Any refusal of [`RenewalEvidence::may_renew`], [`RenewalRefusal::JobUnknown`] and
    /// [`RenewalRefusal::TooManyStops`].
    pub fn permit(&self, heartbeat: &Heartbeat) -> Result<RenewalPermit, RenewalRefusal> {
        self.may_renew()?;
        let mut stops = Vec::new();
        for task in live_tasks(heartbeat) {
            match self.job_state(task.task.job) {
                KnownJobState::Active => {}
                KnownJobState::Ended => stops.push((task.task, task.attempt)),
                KnownJobState::Unknown => return Err(RenewalRefusal::JobUnknown),
            }
        }
        if stops.len() > MAX_STOPS {
            return Err(RenewalRefusal::TooManyStops);
        }
        Ok(RenewalPermit { stops })
    }

    /// Jobs of the heartbeat's live tasks of which nothing is known: they have to be read.
    pub fn unknown_jobs(&self, heartbeat: &Heartbeat) -> BTreeSet<JobId> {
        let unknown = |job: &JobId| self.job_state(*job) == KnownJobState::Unknown;
        live_tasks(heartbeat).map(|task| task.task.job).filter(unknown).collect()
    }

    /// The live tasks that an answer keeps on their machine without evidence. Empty for every
    /// answer that was made with a permit: this is judged anew, by the answer alone, so that any
    /// other way to an answer is found.
    pub fn kept_without_evidence(&self, heartbeat: &Heartbeat, answer: &Answer) -> Vec<TaskId> {
        let Answer::Commands { commands, .. } = answer else { return Vec::new() };
        let stopped = |task: &TaskStatus| {
            commands.iter().any(|command| {
                matches!(command, TaskCommand::Stop { task: t, attempt, grace_s }
                    if (*t, *attempt) == (task.task, task.attempt) && *grace_s <= 0.0)
            })
        };
        let allowed = self.may_renew().is_ok();
        live_tasks(heartbeat)
            .filter(|task| {
                let active = allowed && self.job_cache.active.contains_key(&task.task.job);
                !active && !stopped(task)
            })
            .map(|task| task.task)
            .collect()
    }
}

/// The permit to renew a worker's lease, with the stops that the answer has to carry.
#[must_use]
#[derive(Debug, PartialEq, Eq)]
pub struct RenewalPermit {
    stops: Vec<(TaskId, Attempt)>,
}

impl RenewalPermit {
    /// How many commands the answer has room for beside the stops.
    pub fn command_limit(&self) -> usize {
        MAX_COMMANDS.saturating_sub(self.stops.len())
    }

    /// The answer: the leader's own commands, [`RenewalPermit::command_limit`] at most, and before
    /// them the stops that are not among these.
    pub fn answer(self, token: FencingToken, commands: Vec<TaskCommand>) -> Answer {
        let stop = |&(task, attempt)| TaskCommand::Stop { task, attempt, grace_s: 0.0 };
        // With some grace it would let a task of an ended job save first.
        let graceful = |command: &&TaskCommand| {
            matches!(command, TaskCommand::Stop { task, attempt, grace_s }
                if *grace_s > 0.0 && self.stops.contains(&(*task, *attempt)))
        };
        let missing = self.stops.iter().map(stop).filter(|stop| !commands.contains(stop));
        let own = commands.iter().filter(|command| !graceful(command)).copied();
        Answer::Commands { token, commands: missing.chain(own).collect() }
    }
}

/// The tasks of a heartbeat that have not exited.
fn live_tasks(heartbeat: &Heartbeat) -> impl Iterator<Item = &TaskStatus> {
    heartbeat.tasks.iter().filter(|task| !matches!(task.state, TaskState::Exited(_)))
}

/// How heartbeats were answered, for logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounters {
    /// Answers that renewed a lease.
    pub renewed: u64,
    /// Starts that these carried.
    pub starts: u64,
    /// Stops that these carried.
    pub stops: u64,
    /// Commands to forget an exited task that these carried.
    pub forgets: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<RenewalRefusal, u64>,
    /// Answers that kept a task without evidence: always 0.
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
