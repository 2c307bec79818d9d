//! Receives submissions, polls and cancellations: answers those that need no call to the store and
//! queues the others.

use super::request_queue::{AdmittedSubmission, ClientRequest, Rejection, RequestKind};
use super::Controller;
use crate::answer::{Answer, InvalidReason, UnavailableReason, UnschedulableReason};
use crate::model::{JobId, JobSpec, MachineType, RequestId};
use crate::settings::Settings;
use crate::store::records::{encode, JobRecord};

/// Limit on waiting requests, per megabyte of memory. A request takes a few kilobytes with its
/// description, and the rest of the memory is needed for jobs and machines.
const WAITING_REQUESTS_PER_MB: f64 = 40.0;
/// Lower bound of the limit on waiting requests.
const MIN_WAITING_LIMIT: f64 = 64.0;
/// `Retry-After` in seconds for conditions that are expected to pass quickly.
pub(super) const RETRY_SOON_S: u32 = 1;
/// `Retry-After` in seconds while too many jobs are active.
const RETRY_TOO_MANY_JOBS_S: u32 = 10;
/// Rounding error allowed in comparing a demand with a team's limit, in CPUs or GPUs.
const LIMIT_TOLERANCE: f64 = 1e-9;

/// Returns the reason why a job can never run, or `None` if it can. Controllers with the same
/// settings and machine types return the same reason.
fn unschedulable_reason(
    settings: &Settings,
    machine_types: &[MachineType],
    spec: &JobSpec,
) -> Option<UnschedulableReason> {
    let Some(team) = settings.team(&spec.team) else {
        return Some(UnschedulableReason::UnknownTeam);
    };
    let team = &settings.teams[team];
    // All replicas of a service run concurrently and without end.
    let concurrent_tasks = if spec.is_service() { f64::from(spec.tasks) } else { 1.0 };
    if spec.cpus * concurrent_tasks > team.max_cpus + LIMIT_TOLERANCE
        || spec.gpus * concurrent_tasks > team.max_gpus + LIMIT_TOLERANCE
    {
        return Some(UnschedulableReason::OverTeamLimit);
    }
    if !machine_types
        .iter()
        .any(|machine| machine.is_allowed_by(spec) && machine.task_capacity(spec) > 0)
    {
        return Some(UnschedulableReason::NoMachineType);
    }
    None
}

impl Controller {
    /// Answers a submission or queues it.
    pub(super) fn handle_submission(
        &mut self,
        request_id: RequestId,
        job: JobId,
        spec: Box<JobSpec>,
    ) {
        if self.answer_from_outcome(request_id, job) || self.reject_if_unavailable(request_id) {
            return;
        }
        let request = ClientRequest::new(request_id, RequestKind::Submit);
        if self.job_cache.active.contains_key(&job) {
            return self.requests.queue_confirmation(self.now, job, request);
        }
        if self.machine_types.known().is_empty() {
            let reason = UnavailableReason::MachineTypesUnknown;
            return self.answer_unavailable(request_id, RETRY_SOON_S, reason);
        }
        // Another controller may have accepted the job. The store is asked before the rejection is
        // answered.
        if let Some(rejection) = self.permanent_rejection(&spec) {
            let request = ClientRequest::rejected(request_id, rejection);
            return self.requests.queue_confirmation(self.now, job, request);
        }
        if self.job_cache.active.len() >= self.cfg.max_active_jobs() {
            let reason = UnavailableReason::TooManyJobs;
            return self.answer_unavailable(request_id, RETRY_TOO_MANY_JOBS_S, reason);
        }
        let mut queued =
            self.requests.submissions.iter_mut().chain(&mut self.requests.awaiting_quota);
        if let Some(submission) = queued.find(|submission| submission.job == job) {
            self.requests.waiting_count += 1;
            return submission.requests.push(request);
        }
        match self.admission.admit(&self.job_cache, &spec) {
            Ok(reservation) => {
                self.requests.waiting_count += 1;
                self.requests.submissions.push(AdmittedSubmission {
                    job,
                    spec,
                    requests: vec![request],
                    needs_own_transaction: false,
                    reservation,
                    quota_wait_until: self.now,
                });
            }
            // As above, another controller may have accepted the job.
            Err(rejection) => {
                self.count_rejection(&spec.team);
                let request =
                    ClientRequest::rejected(request_id, Rejection::NotAdmitted(rejection));
                self.requests.queue_confirmation(self.now, job, request);
            }
        }
    }

    /// Returns why this controller never accepts a submission, or `None` if it may accept it.
    fn permanent_rejection(&self, spec: &JobSpec) -> Option<Rejection> {
        if let Some(reason) = unschedulable_reason(&self.cfg, self.machine_types.known(), spec) {
            return Some(Rejection::Unschedulable(reason));
        }
        let accepted_by = Some(self.cfg.controller.clone());
        let record = JobRecord { accepted_at: self.wall_clock_ms, spec: spec.clone(), accepted_by };
        let too_long = encode(&record).len() > self.cfg.max_value_bytes;
        too_long.then_some(Rejection::Invalid(InvalidReason::DescriptionTooLong))
    }

    /// Answers a poll or a cancellation or queues it.
    pub(super) fn handle_poll_or_cancel(
        &mut self,
        request_id: RequestId,
        job: JobId,
        kind: RequestKind,
    ) {
        if self.answer_from_outcome(request_id, job) || self.reject_if_unavailable(request_id) {
            return;
        }
        let request = ClientRequest::new(request_id, kind);
        if kind == RequestKind::Cancel {
            self.requests.waiting_count += 1;
            self.cancel(job, vec![request]);
        } else {
            self.requests.queue_confirmation(self.now, job, request);
        }
    }

    /// Answers a request for a job whose outcome is cached. Returns false if it is not cached.
    fn answer_from_outcome(&mut self, request_id: RequestId, job: JobId) -> bool {
        if self.job_cache.outcome(job).is_none() {
            return false;
        }
        let Some(answer) = self.requests.job_answer(self.now, &self.job_cache, job) else {
            return false;
        };
        self.calls.answer(request_id, answer);
        true
    }

    /// Rejects a request if this controller is starting or overloaded. Returns whether it did.
    fn reject_if_unavailable(&mut self, request_id: RequestId) -> bool {
        let max_waiting =
            (self.cfg.memory_mb * WAITING_REQUESTS_PER_MB).max(MIN_WAITING_LIMIT) as usize;
        let reason = if !self.job_watch.is_loaded() {
            UnavailableReason::Starting
        } else if self.requests.waiting_count >= max_waiting {
            UnavailableReason::TooManyRequests
        } else {
            return false;
        };
        self.answer_unavailable(request_id, RETRY_SOON_S, reason);
        true
    }

    /// Answers 503 to a request that does not count as waiting.
    fn answer_unavailable(
        &mut self,
        request_id: RequestId,
        retry_after_s: u32,
        reason: UnavailableReason,
    ) {
        self.calls.answer(request_id, Answer::Unavailable { retry_after_s, reason });
    }

    /// Answers 503 to waiting requests and removes them from the count of waiting requests.
    pub(super) fn answer_waiting_unavailable(
        &mut self,
        requests: Vec<ClientRequest>,
        retry_after_s: u32,
        reason: UnavailableReason,
    ) {
        for request in requests {
            self.answer_waiting(request.id, Answer::Unavailable { retry_after_s, reason });
        }
    }

    /// Answers a waiting request and removes it from the count of waiting requests.
    pub(super) fn answer_waiting(&mut self, request_id: RequestId, answer: Answer) {
        self.requests.waiting_count = self.requests.waiting_count.saturating_sub(1);
        self.calls.answer(request_id, answer);
    }
}
