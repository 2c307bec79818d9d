//! The random jobs of a soak test, and queries for jobs that were never submitted.

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
/// Approximate minimum time between two submissions, in milliseconds; it applies to large fleets.
const MIN_PAUSE_MS: Ms = 100;
/// Maximum number of tasks of an array job in a fleet of up to [`SMALL_FLEET`] machines.
const MAX_ARRAY_TASKS: u32 = 12;
/// Number of machines in a small fleet. The maximum number of tasks of an array job grows with each
/// multiple of it.
const SMALL_FLEET: usize = 300;
/// Numbers of jobs that are never submitted.
const UNKNOWN_JOBS: std::ops::Range<u64> = 900_000..901_000;
/// Time between two queries for unknown jobs, in milliseconds.
const UNKNOWN_QUERY_INTERVAL_MS: std::ops::Range<Ms> = 500..2_000;
/// Run time of tasks that do not run long, in milliseconds.
const SHORT_RUN_MS: std::ops::Range<Ms> = 500..4_000;
/// Share of the jobs that are services.
const SERVICE_SHARE: f64 = 0.06;
/// Share of the jobs that allow spot machines.
const SPOT_SHARE: f64 = 0.7;
/// Share of the jobs that require one zone.
const ONE_ZONE_SHARE: f64 = 0.1;
/// Share of the jobs whose tasks run long.
const LONG_RUN_SHARE: f64 = 0.5;
/// CPU counts of the tasks of array jobs.
const TASK_CPUS: [f64; 3] = [1.0, 2.0, 4.0];

/// Submits jobs until the given time, slightly more than the machines can run simultaneously.
pub async fn submit_jobs(users: Arc<Users>, deadline: Ms, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let machines = users.context.deployment.machines;
    // The first jobs are submitted without pauses. On average they have more than two tasks per
    // machine.
    let first_paused_job = FIRST_JOB + (machines / 3 + 4) as u64;
    let mut job = FIRST_JOB;
    while users.context.clock.now() < deadline {
        let request = draw_job(&mut rng, &users.context.deployment);
        users.submit(job, &request, UserBehavior::default(), rng.random());
        job += 1;
        if job > first_paused_job {
            tokio::time::sleep(draw_pause(&mut rng, machines)).await;
        }
    }
}

/// Queries jobs that were never submitted, until the run ends.
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

/// Draws the time to the next submission. It decreases with the number of machines, down to what the
/// write rate of the state service allows; larger fleets get larger jobs instead.
fn draw_pause(rng: &mut SmallRng, machines: usize) -> Duration {
    let max_pause_ms = 60_000 / (machines as Ms + 20);
    let pause_ms = match max_pause_ms > MIN_PAUSE_MS {
        true => rng.random_range(MIN_PAUSE_MS..max_pause_ms),
        false => rng.random_range(MIN_PAUSE_MS / 2..=MIN_PAUSE_MS),
    };
    Duration::from_millis(pause_ms)
}

/// Returns the maximum number of tasks of an array job.
fn max_tasks(machines: usize) -> u32 {
    MAX_ARRAY_TASKS * (machines / SMALL_FLEET).max(1) as u32
}

/// Draws the requirements, priority and run time of a job.
fn draw_job(rng: &mut SmallRng, deployment: &Deployment) -> JobRequest {
    let team = deployment.teams[rng.random_range(0..deployment.teams.len())].name;
    let is_service = rng.random_bool(SERVICE_SHARE);
    let (class, priority) = match is_service {
        true => ("service", "critical"),
        false => ("array", "standard"),
    };
    let tasks = match is_service {
        true => rng.random_range(1..4),
        false => rng.random_range(1..=max_tasks(deployment.machines)),
    };
    let cpus = match is_service {
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
        service: is_service,
    };
    // Long tasks run for longer than the time allowed for a cancellation.
    let run_ms = match rng.random_bool(LONG_RUN_SHARE) {
        true => {
            rng.random_range(deployment.max_cancellation_ms..deployment.max_cancellation_ms * 2)
        }
        false => rng.random_range(SHORT_RUN_MS),
    };
    JobRequest { requirements, priority, run_ms }
}
