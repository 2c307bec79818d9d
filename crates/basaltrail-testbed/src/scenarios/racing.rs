//! The load test `racing`: submits many jobs at once to all controllers, while another team
//! submits jobs within its guarantee. The usage of each team is computed from the workers' events
//! at each change.

use super::warm_up::warm_up;
use super::{check_history, ScenarioConfig};
use crate::checker::Violation;
use crate::clock::Ms;
use crate::deployment::TeamShares;
use crate::history::JobRequirements;
use crate::job_request::JobRequest;
use crate::metrics::{self, GuaranteedWaits, SubmissionMetrics, TeamUsage};
use crate::testbed::{RunError, Testbed};
use crate::users::{UserBehavior, Users};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;

/// Run time of a task, in milliseconds.
const RUN_MS: std::ops::Range<Ms> = 500..3_000;
/// Number of tasks of a racing job.
const RACE_TASKS: std::ops::RangeInclusive<u32> = 1..=4;
/// CPUs per task of a racing job.
const RACE_CPUS: [f64; 3] = [1.0, 2.0, 4.0];
/// Interval at which the guaranteed team submits jobs, in milliseconds.
const GUARANTEED_INTERVAL_MS: Ms = 1_500;
/// Number of tasks of a job of the guaranteed team.
const GUARANTEED_TASKS: u32 = 4;
/// CPUs per task of a job of the guaranteed team.
const GUARANTEED_CPUS: f64 = 2.0;
/// Time during which the guaranteed team submits jobs, in milliseconds.
const GUARANTEED_SUBMISSION_MS: Ms = 30_000;
/// Maximum duration of the race, in milliseconds.
const RACE_MAX_MS: Ms = 240_000;
/// Interval of the checks for unfinished jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of the first racing job.
const FIRST_RACE_JOB: u64 = 1_000;
/// Number of the first job of the guaranteed team.
const FIRST_GUARANTEED_JOB: u64 = 100_000;
const BEHAVIOR: UserBehavior =
    UserBehavior { cancel_share: 0.0, resubmit_share: 0.05, submission_controller: None };

/// Number of teams that submit racing jobs: the first ones of [`TEAMS`].
const RACING_TEAMS: usize = 2;
/// Team that submits jobs within its guarantee only.
const GUARANTEED_TEAM: &str = "reports";
const TEAMS: [TeamShares; 3] = [
    TeamShares { name: "imports", guaranteed: 0.3, limit: 0.45 },
    TeamShares { name: "archive", guaranteed: 0.1, limit: 0.25 },
    TeamShares { name: GUARANTEED_TEAM, guaranteed: 0.25, limit: 0.5 },
];

/// Configuration of a race.
#[derive(Clone, Debug)]
pub struct RacingConfig {
    /// Options common to all scenarios; each seed writes to its own subdirectory.
    pub common: ScenarioConfig,
    /// Number of jobs that are submitted at once.
    pub jobs: u64,
}

/// Outcome of a race. It is serialised as the `--json` output.
#[derive(Debug, Serialize)]
pub struct RacingOutcome {
    /// Seed of the run.
    pub seed: u64,
    /// Number of controllers.
    #[serde(rename = "nodes")]
    pub controllers: usize,
    /// Counts and latencies of the answers to submissions.
    pub submissions: SubmissionMetrics,
    /// CPU usage of each team.
    pub teams: Vec<TeamUsage>,
    /// Waiting times of the jobs within a guarantee.
    pub guaranteed: GuaranteedWaits,
    /// Requests to the state service per accepted job.
    pub requests_per_job: f64,
    /// Puts and deletes in the state service per accepted job.
    pub changes_per_job: f64,
    /// Number of finished jobs.
    #[serde(rename = "over")]
    pub finished: usize,
    /// Violations of rules, ordered by time.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

/// Runs the scenario with one seed.
///
/// # Errors
///
/// Fails if the testbed cannot be started or a file cannot be written.
pub async fn run(config: &RacingConfig, seed: u64) -> Result<RacingOutcome, RunError> {
    let common = &config.common;
    let directory = common.directory.join(format!("racing-{}-{seed}", common.controllers));
    let deployment = common.deployment().with_teams(&TEAMS);
    let (testbed, mut rng) = common.start_testbed(&deployment, &directory, seed).await?;
    warm_up(&testbed).await?;
    let before = testbed.state_service.counters();
    let start = testbed.clock.now();
    for job in 0..config.jobs {
        let request = draw_job(&mut rng);
        testbed.users.submit(FIRST_RACE_JOB + job, &request, BEHAVIOR, rng.random());
    }
    let guaranteed_end = start + GUARANTEED_SUBMISSION_MS;
    tokio::spawn(submit_guaranteed_jobs(testbed.users.clone(), guaranteed_end, rng.random()));
    wait_until_finished(&testbed, guaranteed_end, start + RACE_MAX_MS).await;
    let after = testbed.state_service.counters();
    let end = testbed.clock.now();
    testbed.stop().await;
    let checked = check_history(&testbed, &directory, start, end)?;
    let events = &checked.events;
    let submissions = metrics::submission_metrics(events);
    let per_job = |count: u64| count as f64 / submissions.accepted.max(1) as f64;
    Ok(RacingOutcome {
        seed,
        controllers: common.controllers,
        submissions,
        teams: metrics::team_usage(events, &deployment),
        guaranteed: metrics::guaranteed_waits(events, &deployment, guaranteed_end),
        requests_per_job: per_job(after.requests - before.requests),
        changes_per_job: per_job(after.changes - before.changes),
        finished: testbed.users.finished_count(),
        violations: checked.violations,
    })
}

/// Waits until all jobs are finished, at least until `earliest` and at most until `latest`.
async fn wait_until_finished(testbed: &Testbed, earliest: Ms, latest: Ms) {
    while testbed.clock.now() < latest {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if testbed.clock.now() >= earliest && testbed.users.unfinished_count() == 0 {
            return;
        }
    }
}

fn draw_job(rng: &mut SmallRng) -> JobRequest {
    let team = TEAMS[rng.random_range(0..RACING_TEAMS)].name;
    let tasks = rng.random_range(RACE_TASKS);
    let cpus = RACE_CPUS[rng.random_range(0..RACE_CPUS.len())];
    let requirements = JobRequirements::array(team, tasks, cpus);
    JobRequest { requirements, priority: "standard", run_ms: rng.random_range(RUN_MS) }
}

async fn submit_guaranteed_jobs(users: Arc<Users>, until: Ms, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut job = FIRST_GUARANTEED_JOB;
    while users.clock().now() < until && !users.is_stopped() {
        let requirements =
            JobRequirements::array(GUARANTEED_TEAM, GUARANTEED_TASKS, GUARANTEED_CPUS);
        let run_ms = rng.random_range(RUN_MS);
        let request = JobRequest { requirements, priority: "standard", run_ms };
        users.submit(job, &request, BEHAVIOR, rng.random());
        job += 1;
        tokio::time::sleep(Duration::from_millis(GUARANTEED_INTERVAL_MS)).await;
    }
}
