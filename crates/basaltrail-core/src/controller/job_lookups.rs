//! Confirms, reads and cancels jobs in the store, and answers the requests that wait for these
//! calls.

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

/// Maximum number of confirmations in flight.
const MAX_CONFIRMATIONS_IN_FLIGHT: u32 = 4;
/// Longest time for which requests are collected for one confirmation, in milliseconds. Users still
/// perceive an answer with this delay as immediate.
const MAX_BATCHING_MS: Ms = 150;
/// Longest time for which confirmations wait for the rate limit, in milliseconds, before their
/// requests are answered 503. A user waits 2 s for an answer (PROTOCOL, "GET /api/jobs/{id}").
const MAX_CONFIRMATION_WAIT_MS: Ms = 1_000;
/// Number of queued lookups above which no lookups of the leader's unknown jobs are added.
const MAX_QUEUED_LOOKUPS: usize = 16;
/// Changes in the transaction of a cancellation: the outcome is put and the active record deleted.
const CANCELLATION_CHANGES: usize = 2;

impl Controller {
    /// Returns the timeout of store calls that a user waits for, in milliseconds.
    pub(super) fn request_timeout_ms(&self) -> Ms {
        self.cfg.leader_lease_ms() / 5
    }

    /// Sends a confirmation if the rate limit allows it. Requests are collected for a short time
    /// and confirmed together.
    pub(super) fn send_confirmations(&mut self) {
        let max_preconditions = self.cfg.max_transaction_ops * 4;
        let unconfirmed = self.requests.unconfirmed_count();
        if unconfirmed == 0 || self.requests.confirmations_in_flight >= MAX_CONFIRMATIONS_IN_FLIGHT
        {
            return;
        }
        let batching_ms = (self.cfg.heartbeat_interval_ms / 10).min(MAX_BATCHING_MS);
        let batch_is_full = unconfirmed * 2 >= max_preconditions;
        if !batch_is_full && self.now < self.requests.batch_started_at + batching_ms {
            return;
        }
        if self.calls.try_acquire(self.now, CallPriority::Request) {
            let (jobs, preconditions) =
                self.requests.next_confirmations(&self.job_cache, max_preconditions.max(2));
            self.requests.confirmations_in_flight += 1;
            self.requests.batch_started_at = self.now;
            let request =
                StoreRequest::Transaction { preconditions, puts: Vec::new(), deletes: Vec::new() };
            let timeout_ms = self.request_timeout_ms();
            self.calls.send_to_store(StorePurpose::ConfirmJobs(jobs), request, timeout_ms);
        } else if self.now > self.requests.batch_started_at + MAX_CONFIRMATION_WAIT_MS {
            let requests = self.requests.drain_confirmations();
            self.answer_not_confirmed(requests);
        }
    }

    /// Sends queued lookups, as many as the rate limit allows.
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

    /// Queues lookups of jobs that the leader does not know.
    pub(super) fn queue_unknown_job_lookups(&mut self) {
        let Some(leader) = self.leader.as_mut() else { return };
        if leader.failover.unknown_jobs.is_empty()
            || self.requests.lookups.len() > MAX_QUEUED_LOOKUPS
        {
            return;
        }
        // Removing a job from the set limits its lookups to one per second: while it stays unknown,
        // the next heartbeats of workers add it again.
        while let Some(job) = leader.failover.unknown_jobs.pop_first() {
            self.requests.queue_lookup(job, Vec::new());
            if self.requests.lookups.len() > MAX_QUEUED_LOOKUPS {
                break;
            }
        }
    }

    /// Handles the reply to a confirmation.
    pub(super) fn handle_confirm_reply(&mut self, jobs: Vec<JobConfirmation>, reply: StoreReply) {
        self.requests.confirmations_in_flight -= 1;
        match reply {
            StoreReply::Committed { .. } => {
                for JobConfirmation { job, requests, expects_active } in jobs {
                    // If the confirmed record has since been removed from the job cache, the job
                    // has ended and its outcome is read.
                    if expects_active
                        && self.requests.job_answer(self.now, &self.job_cache, job).is_none()
                    {
                        self.requests.queue_lookup(job, requests);
                    } else {
                        self.answer_confirmed(job, requests);
                    }
                }
            }
            StoreReply::Conflict { failed } => {
                for JobConfirmation { job, requests, .. } in jobs {
                    let keys = [active_job_key(job), outcome_key(job)];
                    if keys.iter().any(|key| failed.contains(key)) {
                        self.requests.queue_lookup(job, requests);
                    } else {
                        self.requests.requeue_confirmation(job, requests);
                    }
                }
                self.requests.batch_started_at = self.now;
            }
            _ => {
                for confirmation in jobs {
                    self.answer_not_confirmed(confirmation.requests);
                }
            }
        }
    }

    /// Handles the reply to a lookup of an active record.
    pub(super) fn handle_active_job_reply(
        &mut self,
        job: JobId,
        requests: Vec<ClientRequest>,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::KeyValue(item) => self.handle_found_record(&item, job, requests),
            // An active record is only ever replaced by an outcome. The outcome is read after the
            // active record was found missing, so a job without either was never accepted.
            StoreReply::NotFound => {
                let request = StoreRequest::Get(outcome_key(job));
                let timeout_ms = self.request_timeout_ms();
                self.calls.try_acquire(self.now, CallPriority::Lease);
                let purpose = StorePurpose::ReadOutcome { job, requests };
                self.calls.send_to_store(purpose, request, timeout_ms);
            }
            _ => self.handle_failed_lookup(job, requests),
        }
    }

    /// Handles the reply to a lookup of an outcome.
    pub(super) fn handle_outcome_reply(
        &mut self,
        job: JobId,
        requests: Vec<ClientRequest>,
        reply: StoreReply,
    ) {
        match reply {
            StoreReply::KeyValue(item) => self.handle_found_record(&item, job, requests),
            StoreReply::NotFound => self.answer_confirmed(job, requests),
            _ => self.handle_failed_lookup(job, requests),
        }
    }

    /// Applies a record that was looked up and answers the requests that waited for it.
    fn handle_found_record(&mut self, item: &KeyValue, job: JobId, requests: Vec<ClientRequest>) {
        self.apply_unordered(item);
        // An unreadable record does not mean that the job does not exist, so the answer is not 404.
        match self.requests.job_answer(self.now, &self.job_cache, job) {
            Some(_) => self.answer_confirmed(job, requests),
            None => {
                let reason = UnavailableReason::RecordUnreadable;
                self.answer_waiting_unavailable(requests, RETRY_SOON_S, reason);
            }
        }
    }

    fn handle_failed_lookup(&mut self, job: JobId, requests: Vec<ClientRequest>) {
        if requests.is_empty() {
            if let Some(leader) = self.leader.as_mut() {
                // The lookup was for the leader and is repeated by `queue_unknown_job_lookups`.
                leader.failover.unknown_jobs.insert(job);
            }
        }
        self.answer_not_confirmed(requests);
    }

    /// Cancels a job: replaces its active record by the outcome if the cached record is current. A
    /// job without a cached record is looked up first.
    pub(super) fn cancel(&mut self, job: JobId, requests: Vec<ClientRequest>) {
        let Some(active) = self.job_cache.active.get(&job) else {
            return self.requests.queue_lookup(job, requests);
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

    /// Handles the reply to a cancellation.
    pub(super) fn handle_cancel_reply(
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
            StoreReply::Conflict { .. } => self.requests.queue_lookup(job, requests),
            _ => {
                let reason = UnavailableReason::OutcomeUnknown;
                self.answer_waiting_unavailable(requests, RETRY_SOON_S, reason);
            }
        }
    }

    /// Answers requests for a job whose state was just confirmed or read, and cancels the job if it
    /// is active and a request asks for that.
    fn answer_confirmed(&mut self, job: JobId, requests: Vec<ClientRequest>) {
        for request in requests {
            if request.kind == RequestKind::Cancel && self.job_cache.active.contains_key(&job) {
                self.cancel(job, vec![request]);
                continue;
            }
            let job_answer = self.requests.job_answer(self.now, &self.job_cache, job);
            let answer = match (job_answer, request.kind) {
                (Some(answer), _) => answer,
                (None, RequestKind::Submit) => self.not_accepted_answer(request.rejection),
                (None, _) => Answer::NotFound,
            };
            self.answer_waiting(request.id, answer);
        }
    }

    /// Returns the answer to a submission that was not accepted and whose job the store does not
    /// know.
    fn not_accepted_answer(&mut self, rejection: Option<Rejection>) -> Answer {
        match rejection {
            Some(Rejection::NotAdmitted(rejection)) => {
                self.admission.rejection_answer(&mut self.rng, rejection)
            }
            Some(Rejection::Unschedulable(reason)) => Answer::Unschedulable(reason),
            Some(Rejection::Invalid(reason)) => Answer::Invalid(reason),
            None => Answer::Unavailable {
                retry_after_s: RETRY_SOON_S,
                reason: UnavailableReason::OutcomeUnknown,
            },
        }
    }

    /// Answers 503 to requests whose job could not be confirmed.
    fn answer_not_confirmed(&mut self, requests: Vec<ClientRequest>) {
        let reason = UnavailableReason::NotConfirmed;
        self.answer_waiting_unavailable(requests, RETRY_SOON_S, reason);
    }
}
