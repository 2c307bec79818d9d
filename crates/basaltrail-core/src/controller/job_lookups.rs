//! Requests for jobs that may be known: the calls that confirm, read and cancel jobs, and what is
//! answered after them.

use super::client_requests::RETRY_SOON_S;
use super::request_queue::{ClientRequest, JobConfirmation, JobLookup, Rejection, RequestKind};
use super::Controller;
use crate::answer::{Answer, UnavailableReason};
use crate::events::JobEvent;
use crate::io::{KeyValue, Precondition, PutRequest, StoreReply, StoreRequest};
use crate::model::{JobId, JobOutcome, Ms};
use crate::store::calls::StorePurpose;
use crate::store::rate_limiter::CallPriority;
use crate::store::records::{active_job_key, encode, outcome_key};

/// Confirmations that wait for a reply at once.
const MAX_CONFIRMATIONS_IN_FLIGHT: u32 = 4;
/// The longest that requests are gathered for one confirmation: what a user takes for an answer at
/// once.
const MAX_GATHERING_MS: Ms = 150;
/// How long confirmations may wait for the rate limit before their requests are answered that it is
/// not possible; a user waits 2 s for an answer (PROTOCOL, "GET /api/jobs/{id}").
const MAX_CONFIRMATION_WAIT_MS: Ms = 1_000;
/// Lookups that may wait when the leader adds those of jobs it does not know.
const MAX_LOOKUPS: usize = 16;
/// Changes of a cancellation: the outcome is put and the active record deleted.
const CANCELLATION_CHANGES: usize = 2;

impl Controller {
    /// How long a call waits that a user waits for, too.
    pub(super) fn request_timeout_ms(&self) -> Ms {
        self.cfg.leader_lease_ms() / 5
    }

    /// Sends confirmations, if the rate limits allow. Requests are gathered for a moment and
    /// confirmed together.
    pub(super) fn send_confirmations(&mut self) {
        let max_preconditions = self.cfg.transaction_ops * 4;
        let jobs = self.requests.jobs_to_confirm();
        if jobs == 0 || self.requests.confirmations_in_flight >= MAX_CONFIRMATIONS_IN_FLIGHT {
            return;
        }
        let gathering = (self.cfg.heartbeat_interval_ms / 10).min(MAX_GATHERING_MS);
        let full = jobs * 2 >= max_preconditions;
        if !full && self.now < self.requests.gathering_since + gathering {
            return;
        }
        if self.calls.try_acquire(self.now, CallPriority::Request) {
            let (jobs, preconditions) =
                self.requests.take_confirmations(&self.job_cache, max_preconditions.max(2));
            self.requests.confirmations_in_flight += 1;
            self.requests.gathering_since = self.now;
            let request =
                StoreRequest::Transaction { preconditions, puts: Vec::new(), deletes: Vec::new() };
            let timeout_ms = self.request_timeout_ms();
            self.calls.send_to_store(StorePurpose::ConfirmJobs(jobs), request, timeout_ms);
        } else if self.now > self.requests.gathering_since + MAX_CONFIRMATION_WAIT_MS {
            let requests = self.requests.drop_confirmations();
            self.answer_not_confirmed(requests);
        }
    }

    /// Reads records, as many as the rate limit allows.
    pub(super) fn send_lookups(&mut self) {
        while !self.requests.lookups.is_empty()
            && self.calls.try_acquire(self.now, CallPriority::Request)
        {
            let JobLookup { job, requests } = self.requests.lookups.remove(0);
            let purpose = StorePurpose::ReadActiveJob { job, requests };
            let request = StoreRequest::Get(active_job_key(job));
            let timeout_ms = self.request_timeout_ms();
            self.calls.send_to_store(purpose, request, timeout_ms);
        }
    }

    /// Has the records read of jobs that the leader does not know.
    pub(super) fn look_up_unknown_jobs(&mut self) {
        let Some(leader) = self.leader.as_mut() else { return };
        if leader.failover.unknown_jobs.is_empty() || self.requests.lookups.len() > MAX_LOOKUPS {
            return;
        }
        // Each is read once a second at the most, by taking it off the list here; the next
        // heartbeats of workers add it again while it stays unknown.
        while let Some(job) = leader.failover.unknown_jobs.pop_first() {
            self.requests.look_up(job, Vec::new());
            if self.requests.lookups.len() > MAX_LOOKUPS {
                break;
            }
        }
    }

    /// Takes the reply to a confirmation.
    pub(super) fn jobs_confirmed(&mut self, jobs: Vec<JobConfirmation>, reply: StoreReply) {
        self.requests.confirmations_in_flight -= 1;
        match reply {
            StoreReply::Committed { .. } => {
                for JobConfirmation { job, requests, known } in jobs {
                    // What was confirmed is a record that was deleted since: it has an outcome.
                    if known && self.requests.job_answer(&self.job_cache, job).is_none() {
                        self.requests.look_up(job, requests);
                    } else {
                        self.answer_confirmed(job, requests);
                    }
                }
            }
            StoreReply::Conflict { failed } => {
                for JobConfirmation { job, requests, .. } in jobs {
                    let keys = [active_job_key(job), outcome_key(job)];
                    if keys.iter().any(|key| failed.contains(key)) {
                        self.requests.look_up(job, requests);
                    } else {
                        self.requests.confirm_again(job, requests);
                    }
                }
                self.requests.gathering_since = self.now;
            }
            _ => {
                for confirmation in jobs {
                    self.answer_not_confirmed(confirmation.requests);
                }
            }
        }
    }

    /// Takes the reply to a lookup of an active record.
    pub(super) fn active_job_read(
        &mut self,
        job: JobId,
        requests: Vec<ClientRequest>,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::KeyValue(item) => self.job_read(&item, job, requests),
            // The outcome is read after the active record was found missing: a job only ever
            // goes from one to the other, so missing both means it never was.
            StoreReply::NotFound => {
                let request = StoreRequest::Get(outcome_key(job));
                let timeout_ms = self.request_timeout_ms();
                self.calls.try_acquire(self.now, CallPriority::Lease);
                let purpose = StorePurpose::ReadOutcome { job, requests };
                self.calls.send_to_store(purpose, request, timeout_ms);
            }
            _ => self.lookup_failed(job, requests),
        }
    }

    /// Takes the reply to a lookup of an outcome.
    pub(super) fn outcome_read(
        &mut self,
        job: JobId,
        requests: Vec<ClientRequest>,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::KeyValue(item) => self.job_read(&item, job, requests),
            StoreReply::NotFound => self.answer_confirmed(job, requests),
            _ => self.lookup_failed(job, requests),
        }
    }

    fn job_read(&mut self, item: &KeyValue, job: JobId, requests: Vec<ClientRequest>) {
        self.apply(item);
        // A record that cannot be read does not mean that there is none.
        match self.requests.job_answer(&self.job_cache, job) {
            Some(_) => self.answer_confirmed(job, requests),
            None => {
                let reason = UnavailableReason::RecordUnreadable;
                self.answer_waiting_unavailable(requests, RETRY_SOON_S, reason);
            }
        }
    }

    fn lookup_failed(&mut self, job: JobId, requests: Vec<ClientRequest>) {
        if requests.is_empty() {
            if let Some(leader) = self.leader.as_mut() {
                // Read again while it is not known; see `look_up_unknown_jobs`.
                leader.failover.unknown_jobs.insert(job);
            }
        }
        self.answer_not_confirmed(requests);
    }

    /// Cancels a job: the outcome replaces the active record, if that is still as it is known.
    pub(super) fn cancel(&mut self, job: JobId, requests: Vec<ClientRequest>) {
        let Some(active) = self.job_cache.active.get(&job) else {
            return self.requests.look_up(job, requests);
        };
        let mod_revision = active.mod_revision;
        let priority = CallPriority::Request;
        if !self.calls.try_acquire_write(self.now, CANCELLATION_CHANGES, priority) {
            let reason = UnavailableReason::TooManyChanges;
            return self.answer_waiting_unavailable(requests, RETRY_SOON_S, reason);
        }
        let request = StoreRequest::Transaction {
            preconditions: vec![Precondition::new(active_job_key(job), mod_revision)],
            puts: vec![PutRequest::new(outcome_key(job), encode(&JobOutcome::Cancelled))],
            deletes: vec![active_job_key(job)],
        };
        let timeout_ms = self.request_timeout_ms();
        self.calls.send_to_store(StorePurpose::CancelJob { job, requests }, request, timeout_ms);
    }

    /// Takes the reply to a cancellation.
    pub(super) fn job_cancelled(
        &mut self,
        job: JobId,
        requests: Vec<ClientRequest>,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::Committed { .. } => {
                self.job_cache.put_outcome(job, JobOutcome::Cancelled);
                self.calls.log(JobEvent::Cancelled { job });
                self.answer_confirmed(job, requests);
            }
            StoreReply::Conflict { .. } => self.requests.look_up(job, requests),
            _ => {
                let reason = UnavailableReason::OutcomeUnknown;
                self.answer_waiting_unavailable(requests, RETRY_SOON_S, reason);
            }
        }
    }

    /// Answers requests for a job whose record was confirmed or read just now.
    fn answer_confirmed(&mut self, job: JobId, requests: Vec<ClientRequest>) {
        for request in requests {
            if request.kind == RequestKind::Cancel && self.job_cache.active.contains_key(&job) {
                self.cancel(job, vec![request]);
                continue;
            }
            let known = self.requests.job_answer(&self.job_cache, job);
            let answer = match (known, request.kind) {
                (Some(answer), _) => answer,
                (None, RequestKind::Submit) => self.not_accepted(request.rejection),
                (None, _) => Answer::NotFound,
            };
            self.answer_waiting(request.id, answer);
        }
    }

    /// The answer to a submission that is neither accepted nor known.
    fn not_accepted(&mut self, rejection: Option<Rejection>) -> Answer {
        match rejection {
            Some(Rejection::NotAdmitted(rejection)) => {
                self.admission.not_admitted(&mut self.rng, rejection)
            }
            Some(Rejection::Unschedulable(reason)) => Answer::Unschedulable(reason),
            Some(Rejection::Invalid(reason)) => Answer::Invalid(reason),
            None => Answer::Unavailable {
                retry_after_s: RETRY_SOON_S,
                reason: UnavailableReason::OutcomeUnknown,
            },
        }
    }

    fn answer_not_confirmed(&mut self, requests: Vec<ClientRequest>) {
        let reason = UnavailableReason::NotConfirmed;
        self.answer_waiting_unavailable(requests, RETRY_SOON_S, reason);
    }
}
