//! Requests of users that wait for the store. Every controller has such a queue.
//!
//! Outcomes of jobs never change and are answered from the job cache. Any other answer waits
//! until the store has confirmed, since the request arrived, that the cached record is current
//! (PROTOCOL, "GET /api/jobs/{id}": no user may get an older answer than another controller gave).

use crate::answer::{Answer, InvalidReason, UnschedulableReason};
use crate::io::{Precondition, Progress};
use crate::jobs::JobCache;
use crate::model::{JobId, JobOutcome, JobSpec, JobStatus, Ms, RequestId};
use crate::store::records::{active_job_key, outcome_key};
use basaltrail_admission::{QuotaRejection, Reservation};
use std::collections::{HashMap, VecDeque};

/// The kind of a user's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Submits a job.
    Submit,
    /// Asks for the status of a job.
    Poll,
    /// Cancels a job.
    Cancel,
}

/// A user's request that has not been answered.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Identifier under which the request is answered.
    pub id: RequestId,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Reason to reject the submission if the store does not know the job; `None` otherwise.
    pub rejection: Option<Rejection>,
}

impl ClientRequest {
    /// Creates a request without a rejection.
    pub fn new(id: RequestId, kind: RequestKind) -> Self {
        ClientRequest { id, kind, rejection: None }
    }

    /// Creates a submission that this controller does not accept.
    pub fn rejected(id: RequestId, rejection: Rejection) -> Self {
        ClientRequest { id, kind: RequestKind::Submit, rejection: Some(rejection) }
    }
}

/// Reason for which this controller does not accept a submission. Another controller may have
/// accepted the job under other settings or another quota; a repeated submission of it must not be
/// rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The quota does not admit it now.
    NotAdmitted(QuotaRejection),
    /// The job can never run.
    Unschedulable(UnschedulableReason),
    /// The job cannot be stored.
    Invalid(InvalidReason),
}

/// A lookup of a job's record. Lookups made for the leader have no waiting requests.
#[derive(Clone, Debug)]
pub struct JobLookup {
    /// Job to look up.
    pub job: JobId,
    /// Requests that wait for the lookup.
    pub requests: Vec<ClientRequest>,
}

/// A job whose cached state the store is asked to confirm.
pub struct JobConfirmation {
    /// Job to confirm.
    pub job: JobId,
    /// Requests that wait for the confirmation.
    pub requests: Vec<ClientRequest>,
    /// True to confirm the active record; false to confirm that there is no record.
    pub expects_active: bool,
}

/// A submission that was admitted by the quota and is not accepted by the store yet.
pub struct AdmittedSubmission {
    /// Job that was submitted.
    pub job: JobId,
    /// Specification of the job.
    pub spec: Box<JobSpec>,
    /// Requests that wait for the acceptance.
    pub requests: Vec<ClientRequest>,
    /// True if it must be sent in a transaction of its own because a batch with it was invalid.
    pub needs_own_transaction: bool,
    /// Reservation in the quota.
    pub reservation: Reservation,
    /// Time until which it waits for a newer quota after its own was replaced.
    pub quota_wait_until: Ms,
}

/// Task counts of a job, used for display only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Time at which the counts were received.
    pub received_at: Ms,
}

impl TaskCounts {
    fn new(progress: &Progress, received_at: Ms) -> Self {
        TaskCounts { done: progress.done, running: progress.running, received_at }
    }
}

/// Waiting requests of users, grouped by the call that they wait for.
#[derive(Default)]
pub struct RequestQueue {
    /// Requests that wait for an unsent confirmation, by job.
    unconfirmed: HashMap<JobId, Vec<ClientRequest>>,
    /// Jobs of `unconfirmed` in the order of their first request, so that none starves.
    unconfirmed_order: VecDeque<JobId>,
    /// Time at which collecting requests for the next confirmation began.
    pub batch_started_at: Ms,
    /// Number of confirmations that wait for a reply of the store.
    pub confirmations_in_flight: u32,
    /// Submissions to send, in order.
    pub submissions: Vec<AdmittedSubmission>,
    /// Number of batches of submissions that wait for a reply of the store.
    pub submissions_in_flight: u32,
    /// Submissions whose quota was replaced and that wait for the next one.
    pub awaiting_quota: Vec<AdmittedSubmission>,
    /// Lookups to send, in order.
    pub lookups: Vec<JobLookup>,
    /// Number of unanswered requests, in this queue or in calls in flight, which is limited.
    pub waiting_count: usize,
    /// Task counts last received from the leader.
    task_counts: HashMap<JobId, TaskCounts>,
    /// Age above which counts do not show any more that tasks run, in milliseconds.
    max_count_age_ms: Ms,
}

impl RequestQueue {
    /// Creates an empty queue. Task counts show for `max_count_age_ms` that tasks run.
    pub fn new(max_count_age_ms: Ms) -> Self {
        RequestQueue { max_count_age_ms, ..RequestQueue::default() }
    }

    /// Queues a confirmation of a job for a new request and counts the request as waiting.
    pub fn queue_confirmation(&mut self, now: Ms, job: JobId, request: ClientRequest) {
        if self.unconfirmed.is_empty() {
            self.batch_started_at = now;
        }
        self.waiting_count += 1;
        self.requeue_confirmation(job, vec![request]);
    }

    /// Queues a confirmation of a job for requests that already count as waiting.
    pub fn requeue_confirmation(&mut self, job: JobId, requests: Vec<ClientRequest>) {
        let job_requests = self.unconfirmed.entry(job).or_default();
        if job_requests.is_empty() {
            self.unconfirmed_order.push_back(job);
        }
        job_requests.extend(requests);
    }

    /// Returns the number of jobs whose confirmation has not been sent.
    pub fn unconfirmed_count(&self) -> usize {
        self.unconfirmed_order.len()
    }

    /// Removes all unsent confirmations and returns their requests, which the caller must answer.
    pub fn drain_confirmations(&mut self) -> Vec<ClientRequest> {
        self.unconfirmed_order.clear();
        self.unconfirmed.drain().flat_map(|(_, requests)| requests).collect()
    }

    /// Removes the next jobs to confirm from the queue, up to `max_preconditions`, and returns them
    /// with the preconditions that confirm their cached state.
    pub fn next_confirmations(
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
            jobs.push(JobConfirmation { job, requests, expects_active: active.is_some() });
        }
        (jobs, preconditions)
    }

    /// Queues a lookup of a job's record.
    pub fn queue_lookup(&mut self, job: JobId, requests: Vec<ClientRequest>) {
        self.lookups.push(JobLookup { job, requests });
    }

    /// Applies progress received from the leader. The progress of many jobs arrives in several
    /// messages, so counts from earlier messages are kept while their jobs are active.
    pub fn update_progress(&mut self, now: Ms, job_cache: &JobCache, progress: &[Progress]) {
        let is_active = |job: &JobId| job_cache.active.contains_key(job);
        self.task_counts.retain(|job, _| is_active(job));
        let active_jobs = progress.iter().filter(|progress| is_active(&progress.job));
        self.task_counts
            .extend(active_jobs.map(|progress| (progress.job, TaskCounts::new(progress, now))));
    }

    /// Records that no task of a job runs, as the leader has stored.
    pub fn record_no_running_tasks(&mut self, job: JobId) {
        if let Some(counts) = self.task_counts.get_mut(&job) {
            counts.running = 0;
        }
    }

    /// Returns the number of running tasks to show for an active job. It is 0, which makes the job
    /// queued, only if neither recent counts nor the store say that a task runs: counts are missing
    /// while no messages of the leader arrive, and the stored state lags while writes are slow.
    fn running_tasks(&self, now: Ms, job_cache: &JobCache, job: JobId) -> u32 {
        let counts = self.task_counts.get(&job).copied().unwrap_or_default();
        if job_cache.is_stored_as_running(job) {
            return counts.running.max(1);
        }
        let are_recent = now <= counts.received_at + self.max_count_age_ms;
        counts.running * u32::from(are_recent)
    }

    /// Returns the answer for a job whose cached state has just been confirmed, or `None` if the
    /// job is not known.
    pub fn job_answer(&self, now: Ms, job_cache: &JobCache, job: JobId) -> Option<Answer> {
        let answer = |status, done, running| Some(Answer::Job { job, status, done, running });
        match job_cache.outcome(job) {
            Some(JobOutcome::Done) => return answer(JobStatus::Done, 0, 0),
            Some(JobOutcome::Cancelled) => return answer(JobStatus::Cancelled, 0, 0),
            None => {}
        }
        let active = job_cache.active.get(&job)?;
        let counts = self.task_counts.get(&job).copied().unwrap_or_default();
        // Only a durable outcome makes a job done, never the task counts.
        let done = counts.done.min(active.spec.tasks);
        let running = self.running_tasks(now, job_cache, job);
        let status = if running > 0 { JobStatus::Running } else { JobStatus::Queued };
        answer(status, done, running)
    }
}

#[cfg(test)]
#[path = "request_queue_tests.rs"]
mod tests;
