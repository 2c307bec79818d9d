//! The jobs of a soak, drawn at random, and queries for jobs that nobody submitted.

use super::{UserBehavior, Users, QUERY_TIMEOUT};
use crate::clock::Ms;
use crate::deployment::{Deployment, ZONES};
use crate::history::{EventKind, JobRequirements};
use crate::http::{Client, Request};
use crate::job_request::JobRequest;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

/// Number of the first job.
const FIRST_JOB: u64 = 1_000;
/// Submissions in large fleets follow each other after about this time at the shortest.
const MIN_PAUSE_MS: Ms = 100;
/// Tasks of an array job at the most, in fleets of up to [`SMALL_FLEET`] machines.
const MAX_ARRAY_TASKS: u32 = 12;
/// Machines in a small fleet.
const SMALL_FLEET: usize = 300;
/// Numbers of the jobs that nobody submits.
const UNKNOWN_JOBS: std::ops::Range<u64> = 900_000..901_000;
/// The time between two queries for unknown jobs.
const UNKNOWN_QUERY_INTERVAL_MS: std::ops::Range<Ms> = 500..2_000;
/// Run time of half of the tasks.
const SHORT_RUN_MS: std::ops::Range<Ms> = 500..4_000;
const SERVICE_SHARE: f64 = 0.06;
const SPOT_SHARE: f64 = 0.7;
const ONE_ZONE_SHARE: f64 = 0.1;
const LONG_RUN_SHARE: f64 = 0.5;
/// CPUs of a task of an array job.
const TASK_CPUS: [f64; 3] = [1.0, 2.0, 4.0];

/// Submits jobs until an instant, somewhat more than the machines can run at once.
pub async fn submit_jobs(users: Arc<Users>, until: Ms, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let machines = users.context.deployment.machines;
    // The first jobs come at once: work for a few times the machines.
    let first_paused_job = FIRST_JOB + (machines / 3 + 4) as u64;
    let mut job = FIRST_JOB;
    while users.context.clock.now() < until {
        let request = draw_job(&mut rng, &users.context.deployment);
        users.submit(job, &request, UserBehavior::default(), rng.random());
        job += 1;
        if job > first_paused_job {
            tokio::time::sleep(draw_pause(&mut rng, machines)).await;
        }
    }
}

/// Queries jobs that nobody submitted until the run is over.
pub async fn query_unknown_jobs(users: Arc<Users>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let client = Client::default();
    let context = &users.context;
    while !users.is_stopped() {
        let pause_ms = rng.random_range(UNKNOWN_QUERY_INTERVAL_MS);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let job = rng.random_range(UNKNOWN_JOBS);
        let Some(controller) = context.controllers.choose(&mut rng) else { return };
        let path = format!("/api/jobs/job-{job:06}");
        let response = client.call(Request::get(*controller, &path, QUERY_TIMEOUT)).await;
        if let Some(response) = response {
            let event = EventKind::UnknownJobQueried { job, status: response.status };
            context.history.record(context.clock.now(), event);
        }
    }
}

/// The time to the next submission: the more machines, the shorter, down to what a state service
/// can write; larger fleets get larger jobs instead.
fn draw_pause(rng: &mut SmallRng, machines: usize) -> Duration {
    let longest_ms = 60_000 / (machines as Ms + 20);
    let pause_ms = match longest_ms > MIN_PAUSE_MS {
        true => rng.random_range(MIN_PAUSE_MS..longest_ms),
        false => rng.random_range(MIN_PAUSE_MS / 2..=MIN_PAUSE_MS),
    };
    Duration::from_millis(pause_ms)
}

/// Tasks of an array job at the most.
fn max_tasks(machines: usize) -> u32 {
    MAX_ARRAY_TASKS * (machines / SMALL_FLEET).max(1) as u32
}

fn draw_job(rng: &mut SmallRng, deployment: &Deployment) -> JobRequest {
    let team = deployment.teams[rng.random_range(0..deployment.teams.len())].name;
    let service = rng.random_bool(SERVICE_SHARE);
    let (class, priority) = match service {
        true => ("service", "critical"),
        false => ("array", "standard"),
    };
    let tasks = match service {
        true => rng.random_range(1..4),
        false => rng.random_range(1..=max_tasks(deployment.machines)),
    };
    let cpus = match service {
        true => 1.0,
        false => TASK_CPUS[rng.random_range(0..TASK_CPUS.len())],
    };
    let requirements = JobRequirements {
        team: team.into(),
        class: class.into(),
        tasks,
        cpus,
        spot: rng.random_bool(SPOT_SHARE),
        zone: rng
            .random_bool(ONE_ZONE_SHARE)
            .then(|| ZONES[rng.random_range(0..ZONES.len())].into()),
        service,
    };
    // Long tasks run on for longer than a cancellation may take.
    let run_ms = match rng.random_bool(LONG_RUN_SHARE) {
        true => rng.random_range(deployment.cancel_ms..deployment.cancel_ms * 2),
        false => rng.random_range(SHORT_RUN_MS),
    };
    JobRequest { requirements, priority, run_ms }
}
