//! Stand-in of users: they submit jobs, repeat, poll and cancel, each through a controller drawn
//! at random, as a load balancer of connections would have it.

use crate::clock::{Clock, Ms};
use crate::deployment::{Deployment, ZONES};
use crate::history::{EventKind, History, JobPhase, JobRequirements, UserRequest};
use crate::http::{Answer, Client};
use crate::lock;
use crate::request::JobRequest;
use crate::worker::{JobDescriptions, JobWork};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long users wait for an answer to a question, and to anything else.
const POLL_PATIENCE: Duration = Duration::from_millis(2_000);
const PATIENCE: Duration = Duration::from_millis(5_000);
/// Users ask about their jobs about so often.
const POLL_MS: Ms = 1_000;
/// A submission is tried for so long.
const SUBMIT_MS: Ms = 60_000;
/// The longest `Retry-After` that a user follows.
const RETRY_MOST_S: u64 = 30;
/// SubmissionMetrics come no sooner after each other than about this, in large fleets.
const SHORTEST_PAUSE_MS: Ms = 100;
/// Tasks of an array at the most, in fleets of up to so many machines.
const ARRAY_TASKS: u32 = 12;
const MACHINES_OF_SMALL_JOBS: usize = 300;
/// The first number of jobs that nobody submits.
const STRANGERS: u64 = 900_000;

/// EventKind a user was last told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Nothing yet.
    Nothing,
    /// That the job is accepted.
    Accepted,
    /// That it is done or cancelled.
    Over,
    /// That it can't be taken, or not within the time that a user repeats it.
    Refused,
}

/// A job as its user sees it.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// EventKind its user was last told.
    pub told: Told,
    /// When a question about it was last answered.
    pub answered: Ms,
}

/// EventKind all users of a run share.
pub struct Users {
    /// The run's clock.
    pub clock: Clock,
    /// The run's history.
    pub history: History,
    /// The deployment.
    pub deployment: Deployment,
    /// The jobs, for the workers.
    pub jobs: JobDescriptions,
    /// Where users reach each controller.
    pub nodes: Vec<SocketAddr>,
    /// Clients that the users share, each with connections of its own.
    pub clients: Vec<Client>,
    /// EventKind each user was told, by job.
    pub seen: Mutex<BTreeMap<u64, Seen>>,
    /// Jobs whose users are to cancel now.
    pub called_off: Mutex<Vec<u64>>,
    /// The run is over.
    pub over: AtomicBool,
}

impl Users {
    /// EventKind the users were told, by job.
    pub fn seen(&self) -> BTreeMap<u64, Seen> {
        lock(&self.seen).clone()
    }

    /// Jobs that are accepted and not over.
    pub fn live(&self) -> Vec<u64> {
        let accepted = |(job, seen): (u64, Seen)| (seen.told == Told::Accepted).then_some(job);
        self.seen().into_iter().filter_map(accepted).collect()
    }

    /// Jobs that were told to be over.
    pub fn over_count(&self) -> usize {
        lock(&self.seen).values().filter(|seen| seen.told == Told::Over).count()
    }

    /// Jobs that may still be accepted or run.
    pub fn unfinished(&self) -> usize {
        let open = |seen: &&Seen| matches!(seen.told, Told::Nothing | Told::Accepted);
        lock(&self.seen).values().filter(open).count()
    }

    /// Has a user submit a job, now, and follow it until it is over.
    pub fn submit(self: &Arc<Self>, job: u64, request: &JobRequest, habits: Habits, seed: u64) {
        let user = User {
            shared: self.clone(),
            rng: SmallRng::seed_from_u64(seed),
            client: self.client_of(job),
            job,
            body: request.body(job),
            habits,
        };
        tokio::spawn(user.run(request.work()));
    }

    /// Has users cancel their jobs, at once.
    pub fn call_off(&self, jobs: &[u64]) {
        lock(&self.called_off).extend(jobs);
    }

    fn client_of(&self, job: u64) -> Client {
        let shared = self.clients.get(job as usize % self.clients.len().max(1));
        shared.cloned().unwrap_or_default()
    }

    fn is_called_off(&self, job: u64) -> bool {
        let mut called_off = lock(&self.called_off);
        let found = called_off.iter().position(|other| *other == job);
        found.map(|at| called_off.swap_remove(at)).is_some()
    }

    fn note(&self, job: u64, at: Ms, told: Told) {
        let mut seen = lock(&self.seen);
        seen.insert(job, Seen { told, answered: at });
    }
}

/// How a user behaves.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    /// How often an array is cancelled; services always are.
    pub cancel_share: f64,
    /// How often a question about a job is a repeat of its submission.
    pub repeat_share: f64,
    /// The controller that takes the submissions, if not one drawn for each.
    pub submit_to: Option<usize>,
}

impl Default for Habits {
    fn default() -> Self {
        Habits { cancel_share: 0.15, repeat_share: 0.03, submit_to: None }
    }
}

/// One user with one job.
struct User {
    shared: Arc<Users>,
    rng: SmallRng,
    client: Client,
    job: u64,
    body: Value,
    habits: Habits,
}

/// Submits jobs until a moment, some more than the machines can run at once.
pub async fn submit_jobs(users: Arc<Users>, until: Ms, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut job = 1_000;
    // Work for a few times the machines is there from the first moment on.
    let at_once = users.deployment.machines / 3 + 4;
    while users.clock.now() < until {
        let request = draw_job(&mut rng, &users.deployment);
        users.submit(job, &request, Habits::default(), rng.random());
        job += 1;
        if job > 1_000 + at_once as u64 {
            tokio::time::sleep(pause_between_jobs(&mut rng, users.deployment.machines)).await;
        }
    }
}

/// Asks for jobs that nobody submitted until the run is over.
pub async fn ask_for_strangers(users: Arc<Users>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let client = Client::default();
    while !users.over.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.random_range(500..2_000))).await;
        let job = STRANGERS + rng.random_range(0..1_000);
        let Some(node) = users.nodes.choose(&mut rng) else { return };
        let path = format!("/api/jobs/job-{job:06}");
        let answer = client.call(*node, "GET", &path, String::new(), POLL_PATIENCE).await;
        if let Some(answer) = answer {
            let told = EventKind::UnknownJobQueried { job, status: answer.status };
            users.history.record(users.clock.now(), told);
        }
    }
}

/// The time to the next submission: the more machines, the sooner, but no sooner than a state
/// service can write; larger fleets get larger jobs.
fn pause_between_jobs(rng: &mut SmallRng, machines: usize) -> Duration {
    let longest_ms = 60_000 / (machines as Ms + 20);
    let pause_ms = match longest_ms > SHORTEST_PAUSE_MS {
        true => rng.random_range(SHORTEST_PAUSE_MS..longest_ms),
        false => rng.random_range(SHORTEST_PAUSE_MS / 2..=SHORTEST_PAUSE_MS),
    };
    Duration::from_millis(pause_ms)
}

/// Tasks of an array at the most.
fn most_tasks(machines: usize) -> u32 {
    ARRAY_TASKS * (machines / MACHINES_OF_SMALL_JOBS).max(1) as u32
}

fn draw_job(rng: &mut SmallRng, deployment: &Deployment) -> JobRequest {
    let team = deployment.teams[rng.random_range(0..deployment.teams.len())].name;
    let service = rng.random_bool(0.06);
    let shape = JobRequirements {
        team: team.into(),
        class: if service { "service" } else { "array" }.into(),
        tasks: if service {
            rng.random_range(1..4)
        } else {
            rng.random_range(1..=most_tasks(deployment.machines))
        },
        cpus: if service { 1.0 } else { [1.0, 2.0, 4.0][rng.random_range(0..3)] },
        spot: rng.random_bool(0.7),
        zone: rng.random_bool(0.1).then(|| ZONES[rng.random_range(0..ZONES.len())].into()),
        service,
    };
    // Some run on for longer than a cancellation may take.
    let run_ms = match rng.random_bool(0.5) {
        true => rng.random_range(deployment.cancel_ms..deployment.cancel_ms * 2),
        false => rng.random_range(500..4_000),
    };
    JobRequest { shape, priority: if service { "critical" } else { "standard" }, run_ms }
}

impl User {
    async fn run(mut self, work: JobWork) {
        let shared = self.shared.clone();
        let clock = shared.clock;
        let service = work.shape.service;
        shared.jobs.upload(self.job, work.clone());
        shared.history.record(
            clock.now(),
            EventKind::SubmissionStarted { job: self.job, requirements: work.shape },
        );
        shared.note(self.job, clock.now(), Told::Nothing);
        if !self.submit(clock.now() + SUBMIT_MS).await {
            return;
        }
        let cancel_after = match service {
            true => self.rng.random_range(5_000..25_000),
            false if self.rng.random_bool(self.habits.cancel_share) => {
                self.rng.random_range(200..12_000)
            }
            false => Ms::MAX / 2,
        };
        let cancel_at = clock.now() + cancel_after;
        let mut cancels = false;
        while !shared.over.load(Ordering::Relaxed) {
            if !cancels && (clock.now() >= cancel_at || shared.is_called_off(self.job)) {
                cancels = true;
                shared
                    .history
                    .record(clock.now(), EventKind::CancellationStarted { job: self.job });
            }
            let question = match cancels {
                true => UserRequest::Cancel,
                false if self.rng.random_bool(self.habits.repeat_share) => UserRequest::Submit,
                false => UserRequest::Poll,
            };
            let answer = self.ask(question).await;
            if self.is_over(&answer) {
                break;
            }
            self.pause(&answer, cancels).await;
        }
        self.look_again().await;
    }

    fn is_over(&self, answer: &Option<Answer>) -> bool {
        let condition = answer.as_ref().and_then(condition);
        matches!(condition, Some(JobPhase::Done | JobPhase::Cancelled))
    }

    /// Waits until the next request, or until the job is called off.
    async fn pause(&mut self, answer: &Option<Answer>, cancels: bool) {
        let retry_s = answer.as_ref().and_then(|answer| answer.retry_after_s).unwrap_or(0);
        let retry_ms = retry_s.min(RETRY_MOST_S) * 1_000;
        let until =
            self.shared.clock.now() + retry_ms.max(self.rng.random_range(POLL_MS / 2..POLL_MS));
        while self.shared.clock.now() < until {
            let called_off = {
                let jobs = &self.shared.called_off;
                lock(jobs).contains(&self.job)
            };
            if (called_off && !cancels) || self.shared.over.load(Ordering::Relaxed) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
    }

    /// Submits until the job is accepted; false if it is not.
    async fn submit(&mut self, until: Ms) -> bool {
        while self.shared.clock.now() < until && !self.shared.over.load(Ordering::Relaxed) {
            let answer = self.ask(UserRequest::Submit).await;
            match answer.as_ref().map(|answer| answer.status) {
                Some(200 | 201) => return true,
                Some(400 | 422) => {
                    self.shared.note(self.job, self.shared.clock.now(), Told::Refused);
                    return false;
                }
                _ => self.pause(&answer, true).await,
            }
        }
        self.shared.note(self.job, self.shared.clock.now(), Told::Refused);
        false
    }

    /// EventKind was told stays so, wherever it is asked.
    async fn look_again(&mut self) {
        for _ in 0..4 {
            let question = match self.rng.random_range(0..4) {
                0 => UserRequest::Submit,
                _ => UserRequest::Poll,
            };
            self.ask(question).await;
            let pause = self.rng.random_range(5..3_000);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// One request, with what comes of it in the history.
    async fn ask(&mut self, question: UserRequest) -> Option<Answer> {
        let name = format!("/api/jobs/job-{:06}", self.job);
        let (method, path, body, patience) = match question {
            UserRequest::Submit => ("POST", "/api/jobs".into(), self.body.to_string(), PATIENCE),
            UserRequest::Poll => ("GET", name, String::new(), POLL_PATIENCE),
            UserRequest::Cancel => ("POST", format!("{name}/cancel"), String::new(), PATIENCE),
        };
        let drawn = self.rng.random_range(0..self.shared.nodes.len());
        let named = self.habits.submit_to.filter(|_| question == UserRequest::Submit);
        let node = named.unwrap_or(drawn);
        let asked_ms = self.shared.clock.now();
        let to = self.shared.nodes[node];
        let answer = self.client.call(to, method, &path, body, patience).await;
        let now = self.shared.clock.now();
        let told = EventKind::ResponseReceived {
            job: self.job,
            request: question,
            sent_ms: asked_ms,
            controller: node,
            status: answer.as_ref().map(|answer| answer.status),
            phase: answer.as_ref().and_then(condition),
            retry_after_s: answer.as_ref().and_then(|answer| answer.retry_after_s),
        };
        self.shared.history.record(now, told);
        match answer.as_ref().and_then(condition) {
            Some(JobPhase::Done | JobPhase::Cancelled) => {
                self.shared.note(self.job, now, Told::Over);
            }
            Some(_) => self.shared.note(self.job, now, Told::Accepted),
            None => {}
        }
        answer
    }
}

fn condition(answer: &Answer) -> Option<JobPhase> {
    if !matches!(answer.status, 200 | 201) {
        return None;
    }
    Some(match answer.body["condition"].as_str()? {
        "queued" => JobPhase::Queued,
        "running" => JobPhase::Running,
        "done" => JobPhase::Done,
        "aborted" => JobPhase::Cancelled,
        _ => return None,
    })
}
