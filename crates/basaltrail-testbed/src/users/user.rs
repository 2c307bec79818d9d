//! One user with one job.

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

/// How long users wait for the answer to a submission or a cancellation.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The time between two requests about a job is drawn from this.
const POLL_INTERVAL_MS: std::ops::Range<Ms> = 500..1_000;
/// How long a submission is repeated until it is accepted.
const SUBMIT_MS: Ms = 60_000;
/// The longest `Retry-After` that a user follows.
const RETRY_AFTER_MAX_S: u64 = 30;
/// How often a waiting user looks whether it is to cancel its job.
const CANCEL_CHECK: Duration = Duration::from_millis(40);
/// When a service is cancelled, after its acceptance.
const SERVICE_CANCEL_MS: std::ops::Range<Ms> = 5_000..25_000;
/// When an array job is cancelled that is to be, after its acceptance.
const ARRAY_CANCEL_MS: std::ops::Range<Ms> = 200..12_000;
/// Later than any run lasts.
const NEVER_MS: Ms = Ms::MAX / 2;
/// Requests about a job after its end.
const FINAL_REQUESTS: u32 = 4;
/// The time between two requests after the job's end.
const FINAL_INTERVAL_MS: std::ops::Range<Ms> = 5..3_000;

pub(super) struct User {
    users: Arc<Users>,
    rng: SmallRng,
    client: Client,
    job: u64,
    /// Body of the submission.
    body: Value,
    behavior: UserBehavior,
}

impl User {
    pub(super) fn new(
        users: Arc<Users>,
        job: u64,
        request: &JobRequest,
        behavior: UserBehavior,
        seed: u64,
    ) -> Self {
        let client = users.client_of(job);
        let rng = SmallRng::seed_from_u64(seed);
        User { users, rng, client, job, body: request.body(job), behavior }
    }

    /// Submits the job, follows it until its end, and asks for it a few times more.
    pub(super) async fn run(mut self, description: JobDescription) {
        let context = &self.users.context;
        let now = context.clock.now();
        let requirements = description.requirements.clone();
        let service = requirements.service;
        context.jobs.add(self.job, description);
        context.history.record(now, EventKind::SubmissionStarted { job: self.job, requirements });
        self.update(JobProgress::Pending);
        if !self.submit_until_accepted(now + SUBMIT_MS).await {
            return;
        }
        self.follow(service).await;
        self.query_after_end().await;
    }

    fn now(&self) -> Ms {
        self.users.context.clock.now()
    }

    fn update(&self, progress: JobProgress) {
        self.users.update(self.job, self.now(), progress);
    }

    /// Submits until the job is accepted; false if it is not.
    async fn submit_until_accepted(&mut self, until: Ms) -> bool {
        while self.now() < until && !self.users.is_stopped() {
            let response = self.send(UserRequest::Submit).await;
            match response.as_ref().map(|response| response.status) {
                Some(200 | 201) => return true,
                Some(400 | 422) => break,
                _ => self.pause(&response, false).await,
            }
        }
        self.update(JobProgress::Rejected);
        false
    }

    /// Polls, and cancels if it is time to, until the job is finished.
    async fn follow(&mut self, service: bool) {
        let cancel_at = self.now() + self.draw_cancellation(service);
        let mut cancels = false;
        while !self.users.is_stopped() {
            if !cancels && self.is_to_cancel(cancel_at) {
                cancels = true;
                let event = EventKind::CancellationStarted { job: self.job };
                self.users.context.history.record(self.now(), event);
            }
            let request = self.draw_request(cancels);
            let response = self.send(request).await;
            if response.as_ref().and_then(job_phase).is_some_and(JobPhase::is_terminal) {
                return;
            }
            self.pause(&response, !cancels).await;
        }
    }

    /// Whether it is time to cancel the job, or the testbed commanded it.
    fn is_to_cancel(&self, cancel_at: Ms) -> bool {
        self.now() >= cancel_at || self.users.take_cancellation(self.job)
    }

    /// How long after its acceptance the job is cancelled.
    fn draw_cancellation(&mut self, service: bool) -> Ms {
        if service {
            return self.rng.random_range(SERVICE_CANCEL_MS);
        }
        if self.rng.random_bool(self.behavior.cancel_share) {
            return self.rng.random_range(ARRAY_CANCEL_MS);
        }
        NEVER_MS
    }

    fn draw_request(&mut self, cancels: bool) -> UserRequest {
        if cancels {
            return UserRequest::Cancel;
        }
        match self.rng.random_bool(self.behavior.repeat_share) {
            true => UserRequest::Submit,
            false => UserRequest::Poll,
        }
    }

    /// Waits for the next request. A wait that can be interrupted ends when the job is to be
    /// cancelled.
    async fn pause(&mut self, response: &Option<Response>, can_be_interrupted: bool) {
        let retry_after_s = response.as_ref().and_then(|response| response.retry_after_s);
        let retry_ms = retry_after_s.unwrap_or(0).min(RETRY_AFTER_MAX_S) * 1_000;
        let interval_ms = self.rng.random_range(POLL_INTERVAL_MS);
        let until = self.now() + retry_ms.max(interval_ms);
        while self.now() < until {
            let is_interrupted = can_be_interrupted && self.users.must_cancel(self.job);
            if is_interrupted || self.users.is_stopped() {
                return;
            }
            tokio::time::sleep(CANCEL_CHECK).await;
        }
    }

    /// What was reported of a finished job stays true, whichever controller is asked.
    async fn query_after_end(&mut self) {
        for _ in 0..FINAL_REQUESTS {
            let request = match self.rng.random_range(0..4) {
                0 => UserRequest::Submit,
                _ => UserRequest::Poll,
            };
            self.send(request).await;
            let interval_ms = self.rng.random_range(FINAL_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
        }
    }

    /// Sends one request and records its answer.
    async fn send(&mut self, request: UserRequest) -> Option<Response> {
        let drawn = self.rng.random_range(0..self.users.context.controllers.len());
        let fixed = self.behavior.submit_to.filter(|_| request == UserRequest::Submit);
        let controller = fixed.unwrap_or(drawn);
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
            self.users.update(self.job, received_ms, progress);
        }
        response
    }

    async fn call(&self, controller: usize, request: UserRequest) -> Option<Response> {
        let to = self.users.context.controllers[controller];
        let path = match request {
            UserRequest::Submit => "/api/jobs".to_string(),
            UserRequest::Poll => format!("/api/jobs/job-{:06}", self.job),
            UserRequest::Cancel => format!("/api/jobs/job-{:06}/cancel", self.job),
        };
        let request = match request {
            UserRequest::Submit => Request::post(to, &path, self.body.to_string(), CHANGE_TIMEOUT),
            UserRequest::Poll => Request::get(to, &path, QUERY_TIMEOUT),
            UserRequest::Cancel => Request::post(to, &path, String::new(), CHANGE_TIMEOUT),
        };
        self.client.call(request).await
    }
}

/// The job's phase in an answer; `condition` on the wire.
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
