//! Sends admitted submissions to the store in batches and handles the replies.

use super::client_requests::RETRY_SOON_S;
use super::request_queue::{AdmittedSubmission, ClientRequest, Rejection};
use super::Controller;
use crate::answer::{Answer, UnavailableReason};
use crate::events::StoreEvent;
use crate::io::{Precondition, PutRequest, StoreReply, StoreRequest};
use crate::model::Revision;
use crate::store::calls::StorePurpose;
use crate::store::rate_limiter::CallPriority;
use crate::store::records::{active_job_key, encode, outcome_key, JobRecord};
use basaltrail_admission::{RejectionReason, ReservationEnd};

/// Maximum number of batches of submissions in flight. While it is reached, submissions are
/// collected for the next batch.
const MAX_BATCHES_IN_FLIGHT: u32 = 2;
/// Maximum size of the records in one batch, in bytes. With keys and preconditions the batch
/// stays within the 64 KiB of a transaction (PROTOCOL, "POST /txn").
const MAX_BATCH_RECORD_BYTES: usize = 48 * 1024;
/// `Retry-After` in seconds when the rate limits are exhausted and more submissions are queued than
/// fit into two batches.
const OVERLOAD_RETRY_AFTER_S: u32 = 2;

/// A batch of submissions under construction, to be accepted in one transaction.
#[derive(Default)]
struct Batch {
    submissions: Vec<AdmittedSubmission>,
    preconditions: Vec<Precondition>,
    puts: Vec<PutRequest>,
    /// Size of the records, in bytes.
    record_bytes: usize,
}

impl Controller {
    /// Sends a batch of the queued submissions if the number of batches in flight and the rate
    /// limits allow it. If the rate limits do not allow it and more than two batches are queued,
    /// all queued submissions are rejected with status 503.
    pub(super) fn send_submissions(&mut self) {
        self.renew_reservations();
        let queued = self.requests.submissions.len();
        if queued == 0 || self.requests.submissions_in_flight >= MAX_BATCHES_IN_FLIGHT {
            return;
        }
        let max_jobs = self.cfg.max_transaction_ops.max(1);
        let batch_size = queued.min(max_jobs);
        if self.calls.try_acquire_write(self.now, batch_size, CallPriority::Request) {
            self.send_batch(batch_size);
        } else if queued > max_jobs * 2 {
            // The queue holds more than two batches, so it is emptied and the users retry later.
            for submission in std::mem::take(&mut self.requests.submissions) {
                self.admission.finish_reservation(&submission, ReservationEnd::Released);
                let reason = UnavailableReason::TooManySubmissions;
                self.answer_waiting_unavailable(
                    submission.requests,
                    OVERLOAD_RETRY_AFTER_S,
                    reason,
                );
            }
        }
    }

    /// Sends up to `max_jobs` submissions in one transaction. Its preconditions are that the jobs
    /// have neither a record nor an outcome and that their quotas have not been replaced.
    fn send_batch(&mut self, max_jobs: usize) {
        let batch = self.build_batch(max_jobs);
        if batch.submissions.is_empty() {
            return;
        }
        self.requests.submissions_in_flight += 1;
        let Batch { submissions, preconditions, puts, .. } = batch;
        let request = StoreRequest::Transaction { preconditions, puts, deletes: Vec::new() };
        let timeout_ms = self.request_timeout_ms();
        self.calls.send_to_store(StorePurpose::AcceptJobs(submissions), request, timeout_ms);
    }

    /// Removes the next submissions from the queue and builds a batch of them.
    fn build_batch(&mut self, max_jobs: usize) -> Batch {
        let mut batch = Batch::default();
        while batch.submissions.len() < max_jobs && !self.requests.submissions.is_empty() {
            let submission = self.requests.submissions.remove(0);
            if !self.admission.has_current_quota(&self.job_cache, &submission) {
                // The next step admits the submission under the quota that is known then, or
                // rejects it.
                self.requests
                    .awaiting_quota
                    .push(AdmittedSubmission { quota_wait_until: self.now, ..submission });
                continue;
            }
            let value = encode(&self.job_record(&submission));
            batch.record_bytes += value.len();
            let needs_own_transaction = submission.needs_own_transaction
                || batch.submissions.first().is_some_and(|first| first.needs_own_transaction);
            if (needs_own_transaction || batch.record_bytes > MAX_BATCH_RECORD_BYTES)
                && !batch.submissions.is_empty()
            {
                self.requests.submissions.insert(0, submission);
                break;
            }
            batch.preconditions.push(Precondition::absent(active_job_key(submission.job)));
            batch.preconditions.push(Precondition::absent(outcome_key(submission.job)));
            if let Some(quota) = self.admission.quota_precondition(&submission) {
                if !batch.preconditions.contains(&quota) {
                    batch.preconditions.push(quota);
                }
            }
            batch.puts.push(PutRequest::new(active_job_key(submission.job), value));
            batch.submissions.push(submission);
        }
        batch
    }

    /// Returns the record of a submission that is accepted at the current time.
    fn job_record(&self, submission: &AdmittedSubmission) -> JobRecord {
        let accepted_by =
            self.admission.quota_precondition(submission).map(|_| self.cfg.controller.clone());
        JobRecord { accepted_at: self.wall_clock_ms, spec: (*submission.spec).clone(), accepted_by }
    }

    /// Handles the reply to a batch.
    pub(super) fn handle_accept_reply(
        &mut self,
        batch: Vec<AdmittedSubmission>,
        reply: StoreReply,
    ) {
        self.requests.submissions_in_flight -= 1;
        match reply {
            StoreReply::Committed { revision } => self.handle_committed_batch(batch, revision),
            StoreReply::Conflict { failed } => self.handle_batch_conflict(batch, &failed),
            StoreReply::Invalid if batch.len() > 1 => {
                // The store does not say which submission is invalid. Each is sent again in a
                // transaction of its own, so that the valid ones are accepted.
                let separate = batch
                    .into_iter()
                    .map(|submission| AdmittedSubmission {
                        needs_own_transaction: true,
                        ..submission
                    })
                    .collect();
                self.requeue_first(separate);
            }
            StoreReply::Unavailable | StoreReply::Invalid => {
                for submission in batch {
                    if reply == StoreReply::Invalid {
                        let keys = active_job_key(submission.job);
                        self.calls.log(StoreEvent::WriteRejected { keys });
                    }
                    self.admission.finish_reservation(&submission, ReservationEnd::Released);
                    let reason = UnavailableReason::StoreRefused;
                    self.answer_waiting_unavailable(submission.requests, RETRY_SOON_S, reason);
                }
            }
            _ => {
                for submission in batch {
                    // The transaction may have been committed, or may be committed later.
                    self.admission.finish_reservation(&submission, ReservationEnd::Consumed);
                    let reason = UnavailableReason::OutcomeUnknown;
                    self.answer_waiting_unavailable(submission.requests, RETRY_SOON_S, reason);
                }
            }
        }
    }

    fn handle_committed_batch(&mut self, batch: Vec<AdmittedSubmission>, revision: Revision) {
        for submission in batch {
            self.admission.finish_reservation(&submission, ReservationEnd::Consumed);
            let record = self.job_record(&submission);
            self.job_cache.put_active(submission.job, revision, record);
            for request in submission.requests {
                self.answer_waiting(request.id, Answer::Created { job: submission.job });
            }
        }
    }

    /// Looks up the jobs that already have a record or an outcome, makes submissions whose quota
    /// was replaced wait for the next one, and queues the others again.
    fn handle_batch_conflict(&mut self, batch: Vec<AdmittedSubmission>, failed: &[String]) {
        let mut unaffected = Vec::new();
        for submission in batch {
            let keys = [active_job_key(submission.job), outcome_key(submission.job)];
            if keys.iter().any(|key| failed.contains(key)) {
                self.admission.finish_reservation(&submission, ReservationEnd::Released);
                self.requests.queue_lookup(submission.job, submission.requests);
            } else if self.admission.detect_replaced_quota(&submission, failed) {
                let quota_wait_until = self.now + self.cfg.heartbeat_interval_ms;
                self.requests
                    .awaiting_quota
                    .push(AdmittedSubmission { quota_wait_until, ..submission });
            } else {
                unaffected.push(submission);
            }
        }
        // The other submissions are sent first in the next batch.
        self.requeue_first(unaffected);
    }

    /// Puts submissions at the front of the queue.
    fn requeue_first(&mut self, mut submissions: Vec<AdmittedSubmission>) {
        submissions.append(&mut self.requests.submissions);
        self.requests.submissions = submissions;
    }

    /// Renews the reservations of submissions whose quota was replaced. A submission waits for the
    /// next quota until `quota_wait_until`. It is rejected after that, or if the next quota does
    /// not admit it.
    fn renew_reservations(&mut self) {
        for submission in std::mem::take(&mut self.requests.awaiting_quota) {
            match self.admission.renew_reservation(&self.job_cache, &submission) {
                Ok(reservation) => {
                    self.requests
                        .submissions
                        .push(AdmittedSubmission { reservation, ..submission });
                }
                Err(rejection)
                    if rejection.reason == RejectionReason::QuotaReplaced
                        && self.now < submission.quota_wait_until =>
                {
                    self.requests.awaiting_quota.push(submission);
                }
                Err(rejection) => {
                    self.count_rejection(&submission.spec.team);
                    let rejection = Some(Rejection::NotAdmitted(rejection));
                    let requests = submission
                        .requests
                        .into_iter()
                        .map(|request| ClientRequest { rejection, ..request })
                        .collect();
                    self.requests.requeue_confirmation(submission.job, requests);
                }
            }
        }
    }
}
