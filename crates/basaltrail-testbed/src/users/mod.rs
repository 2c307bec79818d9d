//! Stand-in of users: they submit jobs, repeat submissions, poll and cancel, each request through
//! a controller drawn at random, as a load balancer of connections would choose it.

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

/// How long users wait for the answer to a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Clients that all users share: a connection of its own for each of thousands of users would
/// take more sockets than one process may open.
const CLIENTS: usize = 64;

/// What a user knows of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobProgress {
    /// No submission was answered yet.
    Pending,
    /// The job is accepted.
    Accepted,
    /// The job is done or cancelled.
    Finished,
    /// The job was rejected, or not accepted within the time that its user repeats it.
    Rejected,
}

/// A job as its user sees it.
#[derive(Clone, Copy, Debug)]
pub struct JobView {
    /// What the user last learned.
    pub progress: JobProgress,
    /// When the user last learned it.
    pub updated_ms: Ms,
}

/// What the users of a run talk to.
pub struct UsersContext {
    /// Clock of the run.
    pub clock: Clock,
    /// History of the run.
    pub history: History,
    /// The deployment.
    pub deployment: Deployment,
    /// The jobs, for the workers.
    pub jobs: JobCatalog,
    /// Addresses at which users reach the controllers.
    pub controllers: Vec<SocketAddr>,
}

/// How a user behaves.
#[derive(Clone, Copy, Debug)]
pub struct UserBehavior {
    /// Share of the array jobs that are cancelled; services always are.
    pub cancel_share: f64,
    /// Share of the queries for a job that repeat its submission instead.
    pub repeat_share: f64,
    /// Index of the controller that gets all submissions; one is drawn for each if it is `None`.
    pub submit_to: Option<usize>,
}

impl Default for UserBehavior {
    fn default() -> Self {
        UserBehavior { cancel_share: 0.15, repeat_share: 0.03, submit_to: None }
    }
}

/// The users of a run.
pub struct Users {
    context: UsersContext,
    clients: Vec<Client>,
    jobs: Mutex<BTreeMap<u64, JobView>>,
    /// Jobs that their users are to cancel now.
    to_cancel: Mutex<Vec<u64>>,
    stopped: AtomicBool,
}

impl Users {
    /// Users without jobs.
    pub fn new(context: UsersContext) -> Self {
        Users {
            context,
            clients: std::iter::repeat_with(Client::default).take(CLIENTS).collect(),
            jobs: Mutex::default(),
            to_cancel: Mutex::default(),
            stopped: AtomicBool::new(false),
        }
    }

    /// All jobs as their users see them, by number.
    pub fn jobs(&self) -> BTreeMap<u64, JobView> {
        lock(&self.jobs).clone()
    }

    /// Numbers of the jobs that are accepted and not finished, in ascending order.
    pub fn live_jobs(&self) -> Vec<u64> {
        let jobs = lock(&self.jobs);
        let live = jobs.iter().filter(|(_, job)| job.progress == JobProgress::Accepted);
        live.map(|(number, _)| *number).collect()
    }

    /// Number of the jobs that are finished.
    pub fn finished_count(&self) -> usize {
        self.count(&[JobProgress::Finished])
    }

    /// Number of the jobs that may still be accepted or run.
    pub fn unfinished_count(&self) -> usize {
        self.count(&[JobProgress::Pending, JobProgress::Accepted])
    }

    fn count(&self, progress: &[JobProgress]) -> usize {
        lock(&self.jobs).values().filter(|job| progress.contains(&job.progress)).count()
    }

    /// Starts a user who submits a job at once and follows it until it is finished.
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

    /// Makes users cancel their jobs at once.
    pub fn cancel_jobs(&self, jobs: &[u64]) {
        lock(&self.to_cancel).extend(jobs);
    }

    /// Ends all users; each notices it within a request.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Whether the run is over.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Clock of the run.
    pub fn clock(&self) -> Clock {
        self.context.clock
    }

    fn client_of(&self, job: u64) -> Client {
        self.clients[job as usize % CLIENTS].clone()
    }

    fn must_cancel(&self, job: u64) -> bool {
        lock(&self.to_cancel).contains(&job)
    }

    /// Whether a job is to be cancelled; true only once.
    fn take_cancellation(&self, job: u64) -> bool {
        let mut to_cancel = lock(&self.to_cancel);
        let position = to_cancel.iter().position(|other| *other == job);
        position.map(|position| to_cancel.swap_remove(position)).is_some()
    }

    fn update(&self, job: u64, updated_ms: Ms, progress: JobProgress) {
        lock(&self.jobs).insert(job, JobView { progress, updated_ms });
    }
}
