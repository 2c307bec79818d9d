//! Requests of users that wait for the store, on every controller alike.
//!
//! Outcomes of jobs never change and are told from memory. Anything else is told only after the
//! store has confirmed, since the request came, that what this controller holds is still so
//! (PROTOCOL, "GET /api/jobs/{id}": nobody may be given an older answer than another controller
//! gave).

use crate::answer::{Answer, InvalidReason, UnschedulableReason};
use crate::io::{Precondition, Progress};
use crate::jobs::JobCache;
use crate::model::{JobId, JobOutcome, JobSpec, JobStatus, Ms, RequestId};
use crate::store::records::{active_job_key, outcome_key};
use basaltrail_admission::{QuotaRejection, Reservation};
use std::collections::{HashMap, VecDeque};

/// What a user asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// To run a job.
    Submit,
    /// The status of a job.
    Poll,
    /// To cancel a job.
    Cancel,
}

/// A request of a user that is not answered yet.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The request to answer.
    pub id: RequestId,
    /// What is asked for.
    pub kind: RequestKind,
    /// Why a submission is not accepted here, if the job is not known either.
    pub rejection: Option<Rejection>,
}

impl ClientRequest {
    /// A request that was not rejected.
    pub fn new(id: RequestId, kind: RequestKind) -> Self {
        ClientRequest { id, kind, rejection: None }
    }

    /// A submission that is not accepted here.
    pub fn rejected(id: RequestId, rejection: Rejection) -> Self {
        ClientRequest { id, kind: RequestKind::Submit, rejection: Some(rejection) }
    }
}

/// Why a submission is not accepted here. Another controller may have accepted it all the same, by
/// other settings or out of another quota, and its repeat must not be rejected then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Not now.
    NotAdmitted(QuotaRejection),
    /// It can never run.
    Unschedulable(UnschedulableReason),
    /// It cannot be kept.
    Invalid(InvalidReason),
}

/// A job whose record is to be read, and the requests that wait for it. The leader has records
/// read that no request waits for.
#[derive(Clone, Debug)]
pub struct JobLookup {
    /// The job.
    pub job: JobId,
    /// The requests.
    pub requests: Vec<ClientRequest>,
}

/// A job of which the store is asked to confirm what the job cache holds.
pub struct JobConfirmation {
    /// The job.
    pub job: JobId,
    /// The requests that wait for it.
    pub requests: Vec<ClientRequest>,
    /// Whether its active record is confirmed, or that there is none.
    pub known: bool,
}

/// A submission that is admitted and not accepted yet.
pub struct NewJob {
    /// The job.
    pub job: JobId,
    /// What it asks for.
    pub spec: Box<JobSpec>,
    /// The requests that wait for it.
    pub requests: Vec<ClientRequest>,
    /// The store rejected it among others: it goes in a transaction of its own.
    pub alone: bool,
    /// What is reserved for it of a quota.
    pub reservation: Reservation,
    /// Until when it waits for a newer quota, if its own has been replaced.
    pub quota_wait_until: Ms,
}

/// Task counts of a job, for display.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

impl From<&Progress> for TaskCounts {
    fn from(progress: &Progress) -> Self {
        TaskCounts { done: progress.done, running: progress.running }
    }
}

/// Requests of users by what they wait for.
#[derive(Default)]
pub struct RequestQueue {
    /// Jobs to be confirmed, with the requests that wait for them.
    unconfirmed: HashMap<JobId, Vec<ClientRequest>>,
    /// The same jobs as they came: none may starve behind others.
    unconfirmed_order: VecDeque<JobId>,
    /// Since when requests are gathered for the next confirmation.
    pub gathering_since: Ms,
    /// Confirmations that wait for a reply of the store.
    pub confirmations_in_flight: u32,
    /// Submissions that are to be sent.
    pub submissions: Vec<NewJob>,
    /// Batches of submissions that wait for a reply of the store.
    pub submissions_in_flight: u32,
    /// Submissions whose quota has been replaced and whose next one is not known yet.
    pub awaiting_quota: Vec<NewJob>,
    /// Jobs whose records are to be read, in order.
    pub lookups: Vec<JobLookup>,
    /// Requests that are not answered yet, wherever they wait, by which their number is bounded.
    pub waiting: usize,
    /// What the leader last told of tasks, for display.
    pub task_counts: HashMap<JobId, TaskCounts>,
}

impl RequestQueue {
    /// Has a job confirmed for a request.
    pub fn confirm(&mut self, now: Ms, job: JobId, request: ClientRequest) {
        if self.unconfirmed.is_empty() {
            self.gathering_since = now;
        }
        self.waiting += 1;
        self.confirm_again(job, vec![request]);
    }

    /// Has a job confirmed for requests that are counted already.
    pub fn confirm_again(&mut self, job: JobId, requests: Vec<ClientRequest>) {
        let gathered = self.unconfirmed.entry(job).or_default();
        if gathered.is_empty() {
            self.unconfirmed_order.push_back(job);
        }
        gathered.extend(requests);
    }

    /// How many jobs are to be confirmed.
    pub fn jobs_to_confirm(&self) -> usize {
        self.unconfirmed_order.len()
    }

    /// Drops all confirmations that were not sent yet; the requests are to be answered.
    pub fn drop_confirmations(&mut self) -> Vec<ClientRequest> {
        self.unconfirmed_order.clear();
        self.unconfirmed.drain().flat_map(|(_, requests)| requests).collect()
    }

    /// As many jobs as so many preconditions allow, and the preconditions that confirm what the
    /// job cache holds of them.
    pub fn take_confirmations(
        &mut self,
        job_cache: &JobCache,
        max_preconditions: usize,
    ) -> (Vec<JobConfirmation>, Vec<Precondition>) {
        let mut jobs = Vec::new();
        let mut preconditions = Vec::new();
        while preconditions.len() + 2 <= max_preconditions {
            let Some(job) = self.unconfirmed_order.pop_front() else { break };
            let requests = self.unconfirmed.remove(&job).unwrap_or_default();
            let active = job_cache.active.get(&job);
            match active {
                Some(active) => {
                    preconditions.push(Precondition::new(active_job_key(job), active.mod_revision))
                }
                None => {
                    preconditions.push(Precondition::absent(active_job_key(job)));
                    preconditions.push(Precondition::absent(outcome_key(job)));
                }
            }
            jobs.push(JobConfirmation { job, requests, known: active.is_some() });
        }
        (jobs, preconditions)
    }

    /// Has a record read.
    pub fn look_up(&mut self, job: JobId, requests: Vec<ClientRequest>) {
        self.lookups.push(JobLookup { job, requests });
    }

    /// Takes what the leader tells of tasks. Of many jobs it tells in several parts, so what an
    /// earlier part told stays, as long as the job is active.
    pub fn update_progress(&mut self, job_cache: &JobCache, progress: &[Progress]) {
        let active = |job: &JobId| job_cache.active.contains_key(job);
        self.task_counts.retain(|job, _| active(job));
        let known = progress.iter().filter(|progress| active(&progress.job));
        self.task_counts.extend(known.map(|progress| (progress.job, progress.into())));
    }

    /// What a user is told of a job whose record has just been confirmed; none if it is not known.
    pub fn job_answer(&self, job_cache: &JobCache, job: JobId) -> Option<Answer> {
        let answer = |status, done, running| Some(Answer::Job { job, status, done, running });
        match job_cache.outcome(job) {
            Some(JobOutcome::Done) => return answer(JobStatus::Done, 0, 0),
            Some(JobOutcome::Cancelled) => return answer(JobStatus::Cancelled, 0, 0),
            None => {}
        }
        let active = job_cache.active.get(&job)?;
        let counts = self.task_counts.get(&job).copied().unwrap_or_default();
        // Done is told only from the durable outcome, never from counts.
        let done = counts.done.min(active.spec.tasks);
        let status = if counts.running > 0 { JobStatus::Running } else { JobStatus::Queued };
        answer(status, done, counts.running)
    }
}

#[cfg(test)]
#[path = "request_queue_tests.rs"]
mod tests;
