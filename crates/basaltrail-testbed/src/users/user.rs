//! One user, who submits one job.

use super::{JobProgress, UserBehavior, Users, QUERY_TIMEOUT};
use crate::clock::Ms;
use crate::history::{EventKind, JobPhase, UserRequest};
use crate::http::{Client, Request, Response};
use crate::job_catalog::JobDescription;
use crate::job_request::JobRequest;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for the answer to a submission or a cancellation.
const WRITE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Time between two requests about a job, in milliseconds.
const POLL_INTERVAL_MS: std::ops::Range<Ms> = 500..1_000;
/// Time for which a user retries a submission that is not accepted, in milliseconds.
const SUBMIT_TIMEOUT_MS: Ms = 60_000;
/// Maximum `Retry-After` that a user observes, in seconds; longer ones are shortened to it.
const MAX_RETRY_AFTER_S: u64 = 30;
/// Interval at which a waiting user checks whether it must cancel its job.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Time from the acceptance of a service to its cancellation, in milliseconds.
const SERVICE_CANCEL_DELAY_MS: std::ops::Range<Ms> = 5_000..25_000;
/// Time from the acceptance of an array job to its cancellation, if it is cancelled, in
/// milliseconds.
const ARRAY_CANCEL_DELAY_MS: std::ops::Range<Ms> = 200..12_000;
/// Delay of a cancellation that never occurs, in milliseconds; longer than any run of the testbed.
const NEVER_DELAY_MS: Ms = Ms::MAX / 2;
/// Number of requests about a job after its end.
const REQUESTS_AFTER_END: u32 = 4;
/// Time between two requests after the job's end, in milliseconds.
const INTERVAL_AFTER_END_MS: std::ops::Range<Ms> = 5..3_000;

/// A user and its job.
pub(super) struct User {
    users: Arc<Users>,
    rng: SmallRng,
    client: Client,
    /// Number of the job.
    job: u64,
    /// Body of the submission.
    body: Value,
    behavior: UserBehavior,
}

impl User {
    /// Creates the user of a job. The seed determines its random choices.
    pub(super) fn new(
        users: Arc<Users>,
        job: u64,
        request: &JobRequest,
        behavior: UserBehavior,
        seed: u64,
    ) -> Self {
        let client = users.client_for(job);
        let rng = SmallRng::seed_from_u64(seed);
        User { users, rng, client, job, body: request.body(job), behavior }
    }

    /// Submits the job, polls it until its end, and sends a few more requests about it.
    pub(super) async fn run(mut self, description: JobDescription) {
        let context = &self.users.context;
        let now = context.clock.now();
        let requirements = description.requirements.clone();
        let is_service = requirements.service;
        context.jobs.add(self.job, description);
        context.history.record(now, EventKind::SubmissionStarted { job: self.job, requirements });
        self.set_progress(JobProgress::Pending);
        if !self.submit_until_accepted(now + SUBMIT_TIMEOUT_MS).await {
            return;
        }
        self.poll_until_finished(is_service).await;
        self.query_after_end().await;
    }

    fn now(&self) -> Ms {
        self.users.context.clock.now()
    }

    /// Sets the progress of the job.
    fn set_progress(&self, progress: JobProgress) {
        self.users.set_progress(self.job, self.now(), progress);
    }

    /// Submits the job until it is accepted or rejected, or the given time is reached. Returns whether
    /// it was accepted.
    async fn submit_until_accepted(&mut self, deadline: Ms) -> bool {
        while self.now() < deadline && !self.users.is_stopped() {
            let response = self.send(UserRequest::Submit).await;
            match response.as_ref().map(|response| response.status) {
                Some(200 | 201) => return true,
                Some(400 | 422) => break,
                _ => self.wait_for_next_request(&response, false).await,
            }
        }
        self.set_progress(JobProgress::Rejected);
        false
    }

    /// Polls the job until it is finished, and cancels it when its cancellation is due.
    async fn poll_until_finished(&mut self, is_service: bool) {
        let cancel_at_ms = self.now() + self.draw_cancel_delay(is_service);
        let mut is_cancelling = false;
        while !self.users.is_stopped() {
            if !is_cancelling && self.must_start_cancellation(cancel_at_ms) {
                is_cancelling = true;
                let event = EventKind::CancellationStarted { job: self.job };
                self.users.context.history.record(self.now(), event);
            }
            let request = self.draw_request(is_cancelling);
            let response = self.send(request).await;
            if response.as_ref().and_then(job_phase).is_some_and(JobPhase::is_terminal) {
                return;
            }
            self.wait_for_next_request(&response, !is_cancelling).await;
        }
    }

    /// Returns whether the cancellation is due or requested. Removes the request if it is the cause.
    fn must_start_cancellation(&self, cancel_at_ms: Ms) -> bool {
        self.now() >= cancel_at_ms || self.users.remove_cancellation_request(self.job)
    }

    /// Draws the time from the acceptance of the job to its cancellation, in milliseconds.
    fn draw_cancel_delay(&mut self, is_service: bool) -> Ms {
        if is_service {
            return self.rng.random_range(SERVICE_CANCEL_DELAY_MS);
        }
        if self.rng.random_bool(self.behavior.cancel_share) {
            return self.rng.random_range(ARRAY_CANCEL_DELAY_MS);
        }
        NEVER_DELAY_MS
    }

    /// Draws the kind of the next request about the accepted job.
    fn draw_request(&mut self, is_cancelling: bool) -> UserRequest {
        if is_cancelling {
            return UserRequest::Cancel;
        }
        match self.rng.random_bool(self.behavior.resubmit_share) {
            true => UserRequest::Submit,
            false => UserRequest::Poll,
        }
    }

    /// Waits until the next request is due: after a random interval, or after the answer's
    /// `Retry-After`, limited by [`MAX_RETRY_AFTER_S`], if that is longer. An interruptible wait ends
    /// early if the cancellation of the job is requested.
    async fn wait_for_next_request(&mut self, response: &Option<Response>, is_interruptible: bool) {
        let retry_after_s = response.as_ref().and_then(|response| response.retry_after_s);
        let retry_ms = retry_after_s.unwrap_or(0).min(MAX_RETRY_AFTER_S) * 1_000;
        let interval_ms = self.rng.random_range(POLL_INTERVAL_MS);
        let deadline = self.now() + retry_ms.max(interval_ms);
        while self.now() < deadline {
            let is_interrupted = is_interruptible && self.users.is_cancellation_requested(self.job);
            if is_interrupted || self.users.is_stopped() {
                return;
            }
            tokio::time::sleep(CANCEL_CHECK_INTERVAL).await;
        }
    }

    /// Sends requests about the finished job, so that the checker can verify that all controllers
    /// continue to report its final phase.
    async fn query_after_end(&mut self) {
        for _ in 0..REQUESTS_AFTER_END {
            let request = match self.rng.random_range(0..4) {
                0 => UserRequest::Submit,
                _ => UserRequest::Poll,
            };
            self.send(request).await;
            let interval_ms = self.rng.random_range(INTERVAL_AFTER_END_MS);
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        }
    }

    /// Sends a request to a random or the fixed controller, and records the answer.
    async fn send(&mut self, request: UserRequest) -> Option<Response> {
        let random_controller = self.rng.random_range(0..self.users.context.controllers.len());
        let fixed_controller =
            self.behavior.submission_controller.filter(|_| request == UserRequest::Submit);
        let controller = fixed_controller.unwrap_or(random_controller);
        let sent_ms = self.now();
        let response = self.call(controller, request).await;
        let received_ms = self.now();
        let phase = response.as_ref().and_then(job_phase);
        let event = EventKind::ResponseReceived {
            job: self.job,
            request,
            sent_ms,
            controller,
            status: response.as_ref().map(|response| response.status),
            phase,
            retry_after_s: response.as_ref().and_then(|response| response.retry_after_s),
        };
        self.users.context.history.record(received_ms, event);
        if let Some(phase) = phase {
            let progress = match phase.is_terminal() {
                true => JobProgress::Finished,
                false => JobProgress::Accepted,
            };
            self.users.set_progress(self.job, received_ms, progress);
        }
        response
    }

    /// Sends a request to a controller.
    async fn call(&self, controller: usize, request: UserRequest) -> Option<Response> {
        let address = self.users.context.controllers[controller];
        let path = match request {
            UserRequest::Submit => "/api/jobs".to_string(),
            UserRequest::Poll => format!("/api/jobs/job-{:06}", self.job),
            UserRequest::Cancel => format!("/api/jobs/job-{:06}/cancel", self.job),
        };
        let request = match request {
            UserRequest::Submit => {
                Request::post(address, &path, self.body.to_string(), WRITE_TIMEOUT)
            }
            UserRequest::Poll => Request::get(address, &path, QUERY_TIMEOUT),
            UserRequest::Cancel => Request::post(address, &path, String::new(), WRITE_TIMEOUT),
        };
        self.client.call(request).await
    }
}

/// Returns the job's phase in an answer (`condition` on the wire), if it contains one.
fn job_phase(response: &Response) -> Option<JobPhase> {
    if !matches!(response.status, 200 | 201) {
        return None;
    }
    match response.body["condition"].as_str()? {
        "queued" => Some(JobPhase::Queued),
        "running" => Some(JobPhase::Running),
        "done" => Some(JobPhase::Done),
        "aborted" => Some(JobPhase::Cancelled),
        _ => None,
    }
}
