//! The one place that decides whether a worker's report is answered so that its lease goes on.
//!
//! A 200 keeps everything on the machine for one more lease (PROTOCOL, Leases), tasks of
//! cancelled jobs included. So it goes out only with a [`Permit`]: each live task of the report
//! is of a job that is known to be active by a read that is recent enough, or the same answer
//! stops it. With `C` the moment at which a user was told of a cancellation, an answer at `t`
//! without the stop rests on a read that was sent before `C` and at most
//! [`Settings::view_age_most_ms`] before `t`, so that the lease it gives is over by
//! `C + cancel_s`. That holds for each answer alone, whatever leaders came before.

use crate::answer::{Answer, UnavailableReason};
use crate::jobs::JobCache;
use crate::model::*;
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// Orders of one answer beside the stops that it needs, to stay under PROTOCOL's line limit.
const ORDERS_MOST: usize = 200;
/// Stops that an answer can carry; with more the lease has to end.
const STOPS_MOST: usize = 600;
/// Seconds after which a refused worker may ask again.
const RETRY_S: u32 = 1;

/// What a controller knows about the job of a task that a worker reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKnowledge {
    /// Its record was there when the jobs were last read.
    ActiveJob,
    /// It is done or cancelled: no task of it may go on.
    Ended,
    /// Neither is known: it may have ended long ago.
    Unknown,
}

/// Why a report is not answered with a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// This controller does not hold the right to act for the controllers.
    NotEntitled,
    /// The worker has seen a higher token and would drop the answer.
    HigherToken,
    /// The jobs were read too long ago, or never.
    JobsNotRead,
    /// A reported task is of a job of which nothing is known yet.
    JobUnknown,
    /// More tasks have to be stopped than one answer can say.
    TooManyStops,
    /// The machine has been answered several times and still does not show our token.
    NoReportWithToken,
    /// The machine has been returned to the cloud.
    MachineReturned,
    /// A newer report of the machine was taken already.
    LateReport,
    /// The leader still loads and keeps account of as many machines as it can.
    Loading,
}

impl Refusal {
    /// Its name in logs and in the body of the answer.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::NotEntitled => "not_entitled",
            Refusal::HigherToken => "higher_token",
            Refusal::JobsNotRead => "jobs_not_read",
            Refusal::JobUnknown => "job_unknown",
            Refusal::TooManyStops => "too_many_stops",
            Refusal::NoReportWithToken => "no_report_with_token",
            Refusal::MachineReturned => "machine_returned",
            Refusal::LateReport => "late_report",
            Refusal::Loading => "loading",
        }
    }

    /// The answer that a worker gets: 421 where another controller may act, 503 otherwise.
    /// `leader` is the controller that is believed to lead.
    pub fn answer(self, leader: Option<String>) -> Answer {
        match self {
            Refusal::NotEntitled => Answer::NotLeader { leader },
            Refusal::HigherToken => Answer::NotLeader { leader: None },
            _ => Answer::Unavailable {
                retry_after_s: RETRY_S,
                reason: UnavailableReason::HeartbeatRefused(self),
            },
        }
    }
}

/// What a controller may rely on at the moment at which it answers a report.
#[derive(Clone, Copy)]
pub struct Knowledge<'a> {
    /// Limits and times.
    pub cfg: &'a Settings,
    /// What is known about jobs.
    pub job_cache: &'a JobCache,
    /// The present moment on the steady clock, in milliseconds.
    pub now: Ms,
    /// Since when this controller has held its right without a break; `None` without the right.
    pub lease_held_since: Option<Ms>,
    /// When the call was sent whose answer told of jobs last.
    pub jobs_as_of: Option<Ms>,
}

impl Knowledge<'_> {
    /// Whether this controller may renew any lease at all.
    ///
    /// # Errors
    ///
    /// [`Refusal::NotEntitled`] and [`Refusal::JobsNotRead`].
    pub fn may_renew(&self) -> Result<(), Refusal> {
        if self.lease_held_since.is_none() {
            return Err(Refusal::NotEntitled);
        }
        let most = self.cfg.max_job_cache_age_ms();
        match self.jobs_as_of {
            Some(as_of) if self.now <= as_of + most => Ok(()),
            _ => Err(Refusal::JobsNotRead),
        }
    }

    /// What is known about a job of which a worker reports a task.
    ///
    /// A job without a record has ended once the jobs were read within our right: whoever
    /// started the task held the record then, and a record only ever gives way to an end.
    pub fn of(&self, job: JobId) -> JobKnowledge {
        if self.job_cache.outcome(job).is_some() {
            return JobKnowledge::Ended;
        }
        if self.job_cache.active.contains_key(&job) {
            return JobKnowledge::ActiveJob;
        }
        match (self.jobs_as_of, self.lease_held_since) {
            (Some(as_of), Some(since)) if as_of >= since => JobKnowledge::Ended,
            _ => JobKnowledge::Unknown,
        }
    }

    /// Leave to renew the lease of the worker that sent this report.
    ///
    /// # Errors
    ///
    /// Any refusal of [`Knowledge::may_renew`], [`Refusal::JobUnknown`] and
    /// [`Refusal::TooManyStops`].
    pub fn permit(&self, heartbeat: &Heartbeat) -> Result<Permit, Refusal> {
        self.may_renew()?;
        let mut stops = Vec::new();
        for task in live_tasks(heartbeat) {
            match self.of(task.task.job) {
                JobKnowledge::ActiveJob => {}
                JobKnowledge::Ended => stops.push((task.task, task.attempt)),
                JobKnowledge::Unknown => return Err(Refusal::JobUnknown),
            }
        }
        if stops.len() > STOPS_MOST {
            return Err(Refusal::TooManyStops);
        }
        Ok(Permit { stops })
    }

    /// Jobs of the report's live tasks of which nothing is known: they have to be read.
    pub fn unknown_jobs(&self, heartbeat: &Heartbeat) -> BTreeSet<JobId> {
        let unknown = |job: &JobId| self.of(*job) == JobKnowledge::Unknown;
        live_tasks(heartbeat).map(|task| task.task.job).filter(unknown).collect()
    }

    /// The live tasks that an answer keeps on their machine without the knowledge that it
    /// takes. Empty for every answer that was made with a permit: this is judged anew, by
    /// the answer alone, so that any other way to an answer is found.
    pub fn kept_without_knowledge(&self, heartbeat: &Heartbeat, answer: &Answer) -> Vec<TaskId> {
        let Answer::Commands { commands, .. } = answer else { return Vec::new() };
        let stopped = |task: &TaskStatus| {
            commands.iter().any(|order| {
                matches!(order, TaskCommand::Stop { task: t, attempt, grace_s }
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

/// Leave to renew a worker's lease, with the stops that the answer has to carry.
#[must_use]
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    stops: Vec<(TaskId, Attempt)>,
}

impl Permit {
    /// How many orders the answer has room for beside the stops.
    pub fn room(&self) -> usize {
        ORDERS_MOST.saturating_sub(self.stops.len())
    }

    /// The answer: the leader's own orders, [`Permit::room`] at most, and before them the stops
    /// that are not among these.
    pub fn answer(self, token: FencingToken, commands: Vec<TaskCommand>) -> Answer {
        let stop = |&(task, attempt)| TaskCommand::Stop { task, attempt, grace_s: 0.0 };
        // With some grace it would let a task of an ended job save first.
        let mild = |order: &&TaskCommand| {
            matches!(order, TaskCommand::Stop { task, attempt, grace_s }
                if *grace_s > 0.0 && self.stops.contains(&(*task, *attempt)))
        };
        let unsaid = self.stops.iter().map(stop).filter(|stop| !commands.contains(stop));
        let own = commands.iter().filter(|order| !mild(order)).copied();
        Answer::Commands { token, commands: unsaid.chain(own).collect() }
    }
}

/// The tasks of a report that have not exited.
fn live_tasks(heartbeat: &Heartbeat) -> impl Iterator<Item = &TaskStatus> {
    heartbeat.tasks.iter().filter(|task| !matches!(task.state, TaskState::Exited(_)))
}

/// How reports were answered, for logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerCounters {
    /// Answers that renewed a lease.
    pub renewed: u64,
    /// Starts, stops and forgets that these carried.
    pub starts: u64,
    pub stops: u64,
    pub forgets: u64,
    /// Refusals by reason.
    pub refused: BTreeMap<Refusal, u64>,
    /// Answers that kept a task without the knowledge that it takes: always 0.
    pub violations: u64,
}

impl AnswerCounters {
    /// Counts an answer that renewed a lease.
    pub fn count_orders(&mut self, commands: &[TaskCommand]) {
        self.renewed += 1;
        for order in commands {
            match order {
                TaskCommand::Start { .. } => self.starts += 1,
                TaskCommand::Stop { .. } => self.stops += 1,
                TaskCommand::Forget { .. } => self.forgets += 1,
            }
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&mut self, refusal: Refusal) {
        *self.refused.entry(refusal).or_default() += 1;
    }
}

#[cfg(test)]
#[path = "lease_renewal_tests.rs"]
mod tests;
