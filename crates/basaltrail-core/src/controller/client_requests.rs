//! Submissions, polls and cancellations as they come in, and what is answered at once.

use super::request_queue::{ClientRequest, NewJob, Rejection, RequestKind};
use super::Controller;
use crate::answer::{Answer, InvalidReason, UnavailableReason, UnschedulableReason};
use crate::model::{JobId, JobSpec, MachineType, RequestId};
use crate::settings::Settings;
use crate::store::records::{encode, JobRecord};

/// Requests that may wait at once, per megabyte of memory: one takes a few kilobytes with its
/// description, and the rest of the memory is for jobs and machines.
const WAITING_PER_MB: f64 = 40.0;
/// The least number of requests that may wait at once.
const MIN_WAITING: f64 = 64.0;
/// Seconds after which a request is repeated that a moment may help.
pub(super) const RETRY_SOON_S: u32 = 1;
/// Seconds after which a submission is repeated while too many jobs are active.
const RETRY_TOO_MANY_JOBS_S: u32 = 10;
/// Rounding allowed when a demand is compared with a team's limit, in CPUs or GPUs.
const LIMIT_TOLERANCE: f64 = 1e-9;

/// Why a job can never run; none if it can. The answer is the same on every controller.
fn unschedulable_reason(
    settings: &Settings,
    types: &[MachineType],
    spec: &JobSpec,
) -> Option<UnschedulableReason> {
    let Some(team) = settings.team(&spec.team) else {
        return Some(UnschedulableReason::UnknownTeam);
    };
    let team = &settings.teams[team];
    // The replicas of a service run all at once, and for good.
    let at_once = if spec.is_service() { f64::from(spec.tasks) } else { 1.0 };
    if spec.cpus * at_once > team.cpus_max + LIMIT_TOLERANCE
        || spec.gpus * at_once > team.gpus_max + LIMIT_TOLERANCE
    {
        return Some(UnschedulableReason::OverTeamLimit);
    }
    if !types.iter().any(|machine| machine.allowed(spec) && machine.holds(spec) > 0) {
        return Some(UnschedulableReason::NoMachineType);
    }
    None
}

impl Controller {
    /// Takes a submission.
    pub(super) fn submit(&mut self, id: RequestId, job: JobId, spec: Box<JobSpec>) {
        if self.answer_ended(id, job) || self.reject_overload(id) {
            return;
        }
        let request = ClientRequest::new(id, RequestKind::Submit);
        if self.job_cache.active.contains_key(&job) {
            return self.requests.confirm(self.now, job, request);
        }
        if self.types.known().is_empty() {
            let reason = UnavailableReason::MachineTypesUnknown;
            return self.answer_unavailable(id, RETRY_SOON_S, reason);
        }
        // It may be known all the same: then its user is told so.
        if let Some(rejection) = self.permanent_rejection(&spec) {
            let request = ClientRequest::rejected(id, rejection);
            return self.requests.confirm(self.now, job, request);
        }
        if self.job_cache.active.len() >= self.cfg.max_active_jobs() {
            let reason = UnavailableReason::TooManyJobs;
            return self.answer_unavailable(id, RETRY_TOO_MANY_JOBS_S, reason);
        }
        let mut waiting =
            self.requests.submissions.iter_mut().chain(&mut self.requests.awaiting_quota);
        if let Some(new) = waiting.find(|new| new.job == job) {
            self.requests.waiting += 1;
            return new.requests.push(request);
        }
        match self.admission.admit(&self.job_cache, &spec) {
            Ok(reservation) => {
                self.requests.waiting += 1;
                self.requests.submissions.push(NewJob {
                    job,
                    spec,
                    requests: vec![request],
                    alone: false,
                    reservation,
                    quota_wait_until: self.now,
                });
            }
            // It may be known all the same: then its user is told so.
            Err(rejection) => {
                self.count_rejection(&spec.team);
                let request = ClientRequest::rejected(id, Rejection::NotAdmitted(rejection));
                self.requests.confirm(self.now, job, request);
            }
        }
    }

    /// Why a submission is not accepted here at any time, if it is not.
    fn permanent_rejection(&self, spec: &JobSpec) -> Option<Rejection> {
        if let Some(reason) = unschedulable_reason(&self.cfg, self.types.known(), spec) {
            return Some(Rejection::Unschedulable(reason));
        }
        let accepted_by = Some(self.cfg.controller.clone());
        let record = JobRecord { accepted_at: self.wall, spec: spec.clone(), accepted_by };
        let too_long = encode(&record).len() > self.cfg.value_bytes;
        too_long.then_some(Rejection::Invalid(InvalidReason::DescriptionTooLong))
    }

    /// Takes a poll or a cancellation.
    pub(super) fn poll_or_cancel(&mut self, id: RequestId, job: JobId, kind: RequestKind) {
        if self.answer_ended(id, job) || self.reject_overload(id) {
            return;
        }
        let request = ClientRequest::new(id, kind);
        if kind == RequestKind::Cancel {
            self.requests.waiting += 1;
            self.cancel(job, vec![request]);
        } else {
            self.requests.confirm(self.now, job, request);
        }
    }

    /// Answers a request for a job whose outcome is known; false if it is not.
    fn answer_ended(&mut self, id: RequestId, job: JobId) -> bool {
        if self.job_cache.outcome(job).is_none() {
            return false;
        }
        let Some(answer) = self.requests.job_answer(&self.job_cache, job) else { return false };
        self.calls.answer(id, answer);
        true
    }

    /// Answers that no request can be taken now; false if it can.
    fn reject_overload(&mut self, id: RequestId) -> bool {
        let max_waiting = (self.cfg.memory_mb * WAITING_PER_MB).max(MIN_WAITING) as usize;
        let reason = if !self.job_watch.is_loaded() {
            UnavailableReason::Starting
        } else if self.requests.waiting >= max_waiting {
            UnavailableReason::TooManyRequests
        } else {
            return false;
        };
        self.answer_unavailable(id, RETRY_SOON_S, reason);
        true
    }

    /// Answers a request that does not count as waiting.
    fn answer_unavailable(&mut self, id: RequestId, retry_after_s: u32, reason: UnavailableReason) {
        self.calls.answer(id, Answer::Unavailable { retry_after_s, reason });
    }

    /// Answers requests that wait, and counts them as waiting no more.
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

    /// Answers a request that waits, and counts it as waiting no more.
    pub(super) fn answer_waiting(&mut self, id: RequestId, answer: Answer) {
        self.requests.waiting = self.requests.waiting.saturating_sub(1);
        self.calls.answer(id, answer);
    }
}
