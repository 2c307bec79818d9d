//! Stand-in for users, who submit, resubmit, poll and cancel jobs. Each request goes to a random
//! controller, as behind a load balancer.

mod user;
mod workload;

pub use workload::{query_unknown_jobs, submit_jobs};

use crate::clock::{Clock, Ms};
use crate::deployment::Deployment;
use crate::history::History;
use crate::http::Client;
use crate::job_catalog::JobCatalog;
use crate::job_request::JobRequest;
use crate::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use user::User;

/// Time limit for the answer to a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Number of HTTP clients, which all users share. Separate connections for thousands of users would
/// exceed the limit of open files of the process.
const CLIENTS: usize = 64;

/// Progress of a job, according to its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobProgress {
    /// The user has not received an acceptance yet.
    Pending,
    /// The job was accepted.
    Accepted,
    /// The job completed or was cancelled.
    Finished,
    /// The job was rejected, or was not accepted while its user retried the submission.
    Rejected,
}

/// The last known progress of a job.
#[derive(Clone, Copy, Debug)]
pub struct JobView {
    /// Progress of the job, according to its user.
    pub progress: JobProgress,
    /// Time at which the user last received the progress.
    pub updated_ms: Ms,
}

/// The parts of a run that its users use.
pub struct UsersContext {
    /// Clock of the run.
    pub clock: Clock,
    /// History of the run.
    pub history: History,
    /// The deployment under test.
    pub deployment: Deployment,
    /// Catalog to which users add the jobs' descriptions for the workers.
    pub jobs: JobCatalog,
    /// Addresses of the controllers for users.
    pub controllers: Vec<SocketAddr>,
}

/// Behavior of a user.
#[derive(Clone, Copy, Debug)]
pub struct UserBehavior {
    /// Share of the array jobs that are cancelled; services are always cancelled.
    pub cancel_share: f64,
    /// Share of the requests about an accepted job that resubmit it instead of polling.
    pub resubmit_share: f64,
    /// Index of the controller that receives all submissions; `None` draws one for each.
    pub submission_controller: Option<usize>,
}

impl Default for UserBehavior {
    fn default() -> Self {
        UserBehavior { cancel_share: 0.15, resubmit_share: 0.03, submission_controller: None }
    }
}

/// The users of a run.
pub struct Users {
    context: UsersContext,
    clients: Vec<Client>,
    jobs: Mutex<BTreeMap<u64, JobView>>,
    /// Numbers of the jobs that their users must cancel immediately.
    cancellation_requests: Mutex<Vec<u64>>,
    stopped: AtomicBool,
}

impl Users {
    /// Creates the shared state of the users, without jobs.
    pub fn new(context: UsersContext) -> Self {
        Users {
            context,
            clients: std::iter::repeat_with(Client::default).take(CLIENTS).collect(),
            jobs: Mutex::default(),
            cancellation_requests: Mutex::default(),
            stopped: AtomicBool::new(false),
        }
    }

    /// Returns the last known progress of all jobs, by number.
    pub fn jobs(&self) -> BTreeMap<u64, JobView> {
        lock(&self.jobs).clone()
    }

    /// Returns the numbers of the jobs that were accepted and are not finished, in ascending order.
    pub fn live_jobs(&self) -> Vec<u64> {
        let jobs = lock(&self.jobs);
        let accepted = jobs.iter().filter(|(_, job)| job.progress == JobProgress::Accepted);
        accepted.map(|(number, _)| *number).collect()
    }

    /// Returns the number of finished jobs.
    pub fn finished_count(&self) -> usize {
        self.count_jobs(&[JobProgress::Finished])
    }

    /// Returns the number of pending and accepted jobs.
    pub fn unfinished_count(&self) -> usize {
        self.count_jobs(&[JobProgress::Pending, JobProgress::Accepted])
    }

    /// Returns the number of jobs with one of the given values of progress.
    fn count_jobs(&self, progress: &[JobProgress]) -> usize {
        lock(&self.jobs).values().filter(|job| progress.contains(&job.progress)).count()
    }

    /// Starts a user, who submits a job immediately and polls it until it is finished.
    pub fn submit(
        self: &Arc<Self>,
        job: u64,
        request: &JobRequest,
        behavior: UserBehavior,
        seed: u64,
    ) {
        let user = User::new(self.clone(), job, request, behavior, seed);
        tokio::spawn(user.run(request.description()));
    }

    /// Requests that users cancel their jobs immediately.
    pub fn cancel_jobs(&self, jobs: &[u64]) {
        lock(&self.cancellation_requests).extend(jobs);
    }

    /// Stops all users; each stops within the duration of one request.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether the users must stop.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Returns the clock of the run.
    pub fn clock(&self) -> Clock {
        self.context.clock
    }

    /// Returns the client for the requests about a job.
    fn client_for(&self, job: u64) -> Client {
        self.clients[job as usize % CLIENTS].clone()
    }

    /// Returns whether the immediate cancellation of a job is requested.
    fn is_cancellation_requested(&self, job: u64) -> bool {
        lock(&self.cancellation_requests).contains(&job)
    }

    /// Removes the request to cancel a job; returns whether there was one.
    fn remove_cancellation_request(&self, job: u64) -> bool {
        let mut requests = lock(&self.cancellation_requests);
        let position = requests.iter().position(|other| *other == job);
        position.map(|position| requests.swap_remove(position)).is_some()
    }

    /// Sets the progress of a job.
    fn set_progress(&self, job: u64, updated_ms: Ms, progress: JobProgress) {
        lock(&self.jobs).insert(job, JobView { progress, updated_ms });
    }
}
