//! Submissions that are admitted: the transactions that accept them, and what becomes of them.

use super::client_requests::RETRY_SOON_S;
use super::request_queue::{ClientRequest, NewJob, Rejection};
use super::Controller;
use crate::answer::{Answer, UnavailableReason};
use crate::events::StoreEvent;
use crate::io::{Precondition, PutRequest, StoreReply, StoreRequest};
use crate::model::Revision;
use crate::store::calls::StorePurpose;
use crate::store::rate_limiter::CallPriority;
use crate::store::records::{active_job_key, encode, outcome_key, JobRecord};
use basaltrail_admission::{AcceptanceOutcome, RejectionReason};

/// Batches of submissions that wait for a reply at once: while one is committed, the next is
/// gathered.
const MAX_BATCHES_IN_FLIGHT: u32 = 2;
/// Bytes of descriptions in one batch. With keys and preconditions it stays within the 64 KiB of a
/// transaction (PROTOCOL, "POST /txn").
const MAX_BATCH_BYTES: usize = 48 * 1024;
/// Seconds after which a submission is repeated if more wait than can be written soon.
const RETRY_OVERLOAD_S: u32 = 2;

/// A transaction that accepts submissions, as it is filled.
#[derive(Default)]
struct Batch {
    jobs: Vec<NewJob>,
    preconditions: Vec<Precondition>,
    puts: Vec<PutRequest>,
    /// Bytes of the descriptions.
    bytes: usize,
}

impl Controller {
    /// Sends submissions that wait, if the rate limits allow. New jobs go out at once; those that
    /// come meanwhile go together next.
    pub(super) fn send_submissions(&mut self) {
        self.renew_reservations();
        let waiting = self.requests.submissions.len();
        if waiting == 0 || self.requests.submissions_in_flight >= MAX_BATCHES_IN_FLIGHT {
            return;
        }
        let max_jobs = self.cfg.transaction_ops.max(1);
        let jobs = waiting.min(max_jobs);
        if self.calls.try_acquire_write(self.now, jobs, CallPriority::Request) {
            self.send_batch(jobs);
        } else if waiting > max_jobs * 2 {
            // More than can be written soon: say so now.
            for new in std::mem::take(&mut self.requests.submissions) {
                self.admission.settle(&new, AcceptanceOutcome::NotUsed);
                let reason = UnavailableReason::TooManySubmissions;
                self.answer_waiting_unavailable(new.requests, RETRY_OVERLOAD_S, reason);
            }
        }
    }

    /// Sends up to so many submissions in one transaction, each on the precondition that its quota
    /// has not been replaced.
    fn send_batch(&mut self, max_jobs: usize) {
        let batch = self.fill_batch(max_jobs);
        if batch.jobs.is_empty() {
            return;
        }
        self.requests.submissions_in_flight += 1;
        let Batch { jobs, preconditions, puts, .. } = batch;
        let request = StoreRequest::Transaction { preconditions, puts, deletes: Vec::new() };
        let timeout_ms = self.request_timeout_ms();
        self.calls.send_to_store(StorePurpose::AcceptJobs(jobs), request, timeout_ms);
    }

    fn fill_batch(&mut self, max_jobs: usize) -> Batch {
        let mut batch = Batch::default();
        while batch.jobs.len() < max_jobs && !self.requests.submissions.is_empty() {
            let new = self.requests.submissions.remove(0);
            if !self.admission.is_current(&self.job_cache, &new) {
                self.requests.awaiting_quota.push(NewJob { quota_wait_until: self.now, ..new });
                continue;
            }
            let value = encode(&self.record_of(&new));
            batch.bytes += value.len();
            let alone = new.alone || batch.jobs.first().is_some_and(|first| first.alone);
            if (alone || batch.bytes > MAX_BATCH_BYTES) && !batch.jobs.is_empty() {
                self.requests.submissions.insert(0, new);
                break;
            }
            batch.preconditions.push(Precondition::absent(active_job_key(new.job)));
            batch.preconditions.push(Precondition::absent(outcome_key(new.job)));
            if let Some(quota) = self.admission.precondition(&new) {
                if !batch.preconditions.contains(&quota) {
                    batch.preconditions.push(quota);
                }
            }
            batch.puts.push(PutRequest::new(active_job_key(new.job), value));
            batch.jobs.push(new);
        }
        batch
    }

    /// The record of a job that this controller accepts now.
    fn record_of(&self, new: &NewJob) -> JobRecord {
        let accepted_by = self.admission.precondition(new).map(|_| self.cfg.controller.clone());
        JobRecord { accepted_at: self.wall, spec: (*new.spec).clone(), accepted_by }
    }

    /// Takes the reply to a batch.
    pub(super) fn jobs_accepted(&mut self, batch: Vec<NewJob>, reply: StoreReply) {
        self.requests.submissions_in_flight -= 1;
        match reply {
            StoreReply::Committed { revision } => self.batch_committed(batch, revision),
            StoreReply::Conflict { failed } => self.batch_conflicted(batch, &failed),
            StoreReply::Rejected if batch.len() > 1 => {
                // One that cannot be kept must not cost the others their place.
                let alone = batch.into_iter().map(|new| NewJob { alone: true, ..new }).collect();
                self.send_again_first(alone);
            }
            StoreReply::Refused | StoreReply::Rejected => {
                for new in batch {
                    if reply == StoreReply::Rejected {
                        let keys = active_job_key(new.job);
                        self.calls.log(StoreEvent::WriteRejected { keys });
                    }
                    self.admission.settle(&new, AcceptanceOutcome::NotUsed);
                    let reason = UnavailableReason::StoreRefused;
                    self.answer_waiting_unavailable(new.requests, RETRY_SOON_S, reason);
                }
            }
            _ => {
                for new in batch {
                    // It may yet be carried out.
                    self.admission.settle(&new, AcceptanceOutcome::Used);
                    let reason = UnavailableReason::OutcomeUnknown;
                    self.answer_waiting_unavailable(new.requests, RETRY_SOON_S, reason);
                }
            }
        }
    }

    fn batch_committed(&mut self, batch: Vec<NewJob>, revision: Revision) {
        for new in batch {
            self.admission.settle(&new, AcceptanceOutcome::Used);
            let record = self.record_of(&new);
            self.job_cache.put_active(new.job, revision, record);
            for request in new.requests {
                self.answer_waiting(request.id, Answer::Created { job: new.job });
            }
        }
    }

    fn batch_conflicted(&mut self, batch: Vec<NewJob>, failed: &[String]) {
        let mut others = Vec::new();
        for new in batch {
            let keys = [active_job_key(new.job), outcome_key(new.job)];
            if keys.iter().any(|key| failed.contains(key)) {
                self.admission.settle(&new, AcceptanceOutcome::NotUsed);
                self.requests.look_up(new.job, new.requests);
            } else if self.admission.quota_replaced(&new, failed) {
                let quota_wait_until = self.now + self.cfg.heartbeat_interval_ms;
                self.requests.awaiting_quota.push(NewJob { quota_wait_until, ..new });
            } else {
                others.push(new);
            }
        }
        // One duplicate must not cost the others their place.
        self.send_again_first(others);
    }

    /// Puts submissions before those that wait.
    fn send_again_first(&mut self, mut submissions: Vec<NewJob>) {
        submissions.append(&mut self.requests.submissions);
        self.requests.submissions = submissions;
    }

    /// Renews the reservations of submissions whose quota has been replaced. They wait for the next
    /// quota for a moment only.
    fn renew_reservations(&mut self) {
        for new in std::mem::take(&mut self.requests.awaiting_quota) {
            match self.admission.renew(&self.job_cache, &new) {
                Ok(reservation) => {
                    self.requests.submissions.push(NewJob { reservation, ..new });
                }
                Err(rejection)
                    if rejection.reason == RejectionReason::QuotaReplaced
                        && self.now < new.quota_wait_until =>
                {
                    self.requests.awaiting_quota.push(new);
                }
                Err(rejection) => {
                    self.count_rejection(&new.spec.team);
                    let rejection = Some(Rejection::NotAdmitted(rejection));
                    let requests = new
                        .requests
                        .into_iter()
                        .map(|request| ClientRequest { rejection, ..request })
                        .collect();
                    self.requests.confirm_again(new.job, requests);
                }
            }
        }
    }
}
