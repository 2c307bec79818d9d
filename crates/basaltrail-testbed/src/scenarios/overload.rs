//! The load test `overload`: submits about twice as much work as the machines can run, for several
//! minutes. All jobs of one class are submitted to the same controller. The work that each class
//! completes in each window shows whether a class starves.

use super::warm_up::warm_up;
use super::{check_history, ScenarioConfig};
use crate::checker::Violation;
use crate::clock::Ms;
use crate::deployment::TeamShares;
use crate::history::{Event, EventKind, JobRequirements, TaskAttempt, TaskEndReason, UserRequest};
use crate::job_request::JobRequest;
use crate::metrics::{self, DurationSummary, SubmissionMetrics, TeamUsage};
use crate::testbed::{RunError, Testbed};
use crate::users::UserBehavior;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// Length of the windows in which completed work is counted, in milliseconds.
pub const WINDOW_MS: Ms = 60_000;
/// Number of the first job of the first class; the n-th class starts at n times this number.
const FIRST_JOB: u64 = 10_000;
/// Number of tasks of a job.
const TASKS: std::ops::RangeInclusive<u32> = 2..=6;
/// CPUs per task.
const CPUS: [f64; 2] = [1.0, 2.0];
/// Run time of a task, in milliseconds.
const RUN_MS: std::ops::Range<Ms> = 2_000..6_000;
/// Average work of a job, in CPU-seconds.
const JOB_CPU_S: f64 = 24.0;
const BEHAVIOR: UserBehavior =
    UserBehavior { cancel_share: 0.0, resubmit_share: 0.02, submission_controller: None };

const TEAMS: [TeamShares; 3] = [
    TeamShares { name: "imports", guaranteed: 0.3, limit: 0.6 },
    TeamShares { name: "reports", guaranteed: 0.25, limit: 0.5 },
    TeamShares { name: "archive", guaranteed: 0.1, limit: 0.3 },
];

/// A workload class.
struct Class {
    name: &'static str,
    team: &'static str,
    priority: &'static str,
    /// Submitted work, as a fraction of the machines' capacity.
    load: f64,
    /// Whether all jobs are submitted to the first controller instead of random ones.
    uses_one_controller: bool,
}

const CLASSES: [Class; 4] = [
    Class {
        name: "checks",
        team: "imports",
        priority: "urgent",
        load: 0.9,
        uses_one_controller: true,
    },
    Class {
        name: "rescans",
        team: "imports",
        priority: "best_effort",
        load: 0.5,
        uses_one_controller: false,
    },
    Class {
        name: "wages",
        team: "reports",
        priority: "standard",
        load: 0.15,
        uses_one_controller: false,
    },
    Class {
        name: "boxes",
        team: "archive",
        priority: "best_effort",
        load: 0.45,
        uses_one_controller: false,
    },
];

/// Configuration of an overload test.
#[derive(Clone, Debug)]
pub struct OverloadConfig {
    /// Options common to all scenarios; each seed writes to its own subdirectory.
    pub common: ScenarioConfig,
    /// Time during which jobs are submitted, in milliseconds.
    pub duration_ms: Ms,
}

/// Metrics of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassMetrics {
    /// Name of the class.
    pub class: &'static str,
    /// Number of submitted jobs.
    pub jobs: usize,
    /// Number of accepted jobs.
    pub accepted: usize,
    /// Number of jobs that were refused with status 503 at least once.
    pub refused: usize,
    /// Waiting times from the first submission until the first task started.
    pub waits: DurationSummary,
    /// Work of the completed tasks in each window, in CPU-seconds.
    #[serde(rename = "done")]
    pub completed_cpu_s: Vec<f64>,
    /// Minimum over all windows of the class's share of its team's completed work.
    pub least_share: f64,
}

/// Outcomes of retries after a refusal, which show whether `Retry-After` is accurate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RetryMetrics {
    /// Number of refused submissions (status 503) that were retried and answered.
    #[serde(rename = "returns")]
    pub retries: usize,
    /// Number of accepted retries.
    pub accepted: usize,
}

/// Outcome of an overload test. It is serialised as the `--json` output.
#[derive(Debug, Serialize)]
pub struct OverloadOutcome {
    /// Seed of the run.
    pub seed: u64,
    /// Counts and latencies of the answers to submissions.
    pub submissions: SubmissionMetrics,
    /// CPU usage of each team.
    pub teams: Vec<TeamUsage>,
    /// Metrics of each class.
    pub classes: Vec<ClassMetrics>,
    /// Outcomes of retries after a refusal.
    #[serde(rename = "returns")]
    pub retries: RetryMetrics,
    /// Violations of rules, ordered by time.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

/// Runs the scenario with one seed.
///
/// # Errors
///
/// Fails if the testbed cannot be started or a file cannot be written.
pub async fn run(config: &OverloadConfig, seed: u64) -> Result<OverloadOutcome, RunError> {
    let common = &config.common;
    let directory = common.directory.join(format!("overload-{}-{seed}", common.controllers));
    let deployment = common.deployment().with_teams(&TEAMS);
    let (testbed, mut rng) = common.start_testbed(&deployment, &directory, seed).await?;
    warm_up(&testbed).await?;
    let start = testbed.clock.now();
    let end = start + config.duration_ms;
    submit_all_classes(&testbed, end, &mut rng).await;
    testbed.stop().await;
    let checked = check_history(&testbed, &directory, end, end)?;
    let events = &checked.events;
    Ok(OverloadOutcome {
        seed,
        submissions: metrics::submission_metrics(events),
        teams: metrics::team_usage(events, &deployment),
        classes: class_metrics(events, start, config.duration_ms),
        retries: retry_metrics(events),
        violations: checked.violations,
    })
}

async fn submit_all_classes(testbed: &Arc<Testbed>, end: Ms, rng: &mut SmallRng) {
    let submissions: Vec<_> = CLASSES
        .iter()
        .enumerate()
        .map(|(index, class)| {
            let first_job = FIRST_JOB * (index as u64 + 1);
            tokio::spawn(submit_class(testbed.clone(), class, first_job, end, rng.random()))
        })
        .collect();
    for submission in submissions {
        // A panic is a fault of the testbed; it shows as missing jobs in the outcome.
        let _ = submission.await;
    }
}

async fn submit_class(
    testbed: Arc<Testbed>,
    class: &'static Class,
    first_job: u64,
    end: Ms,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let jobs_per_s = class.load * testbed.deployment.cpus() / JOB_CPU_S;
    let behavior =
        UserBehavior { submission_controller: class.uses_one_controller.then_some(0), ..BEHAVIOR };
    let mut job = first_job;
    while testbed.clock.now() < end {
        let tasks = rng.random_range(TASKS);
        let cpus = CPUS[rng.random_range(0..CPUS.len())];
        let requirements = JobRequirements {
            class: class.name.into(),
            ..JobRequirements::array(class.team, tasks, cpus)
        };
        let run_ms = rng.random_range(RUN_MS);
        let request = JobRequest { requirements, priority: class.priority, run_ms };
        testbed.users.submit(job, &request, behavior, rng.random());
        job += 1;
        let pause_s = rng.random_range(0.0..2.0) / jobs_per_s;
        tokio::time::sleep(Duration::from_secs_f64(pause_s)).await;
    }
}

/// The observations of one job.
struct JobObservation<'a> {
    requirements: &'a JobRequirements,
    submitted_ms: Ms,
    accepted: bool,
    refused: bool,
    first_start_ms: Option<Ms>,
}

/// The observations of all jobs since the start of the load.
struct Observations<'a> {
    start: Ms,
    window_count: usize,
    jobs: BTreeMap<u64, JobObservation<'a>>,
    /// Start time of each running task attempt.
    running: HashMap<&'a TaskAttempt, Ms>,
    /// Work of the completed tasks by class and window, in CPU-seconds.
    completed_cpu_s: HashMap<&'a str, Vec<f64>>,
}

impl<'a> Observations<'a> {
    fn collect(events: &'a [Event], start: Ms, window_count: usize) -> Self {
        let mut observations = Observations {
            start,
            window_count,
            jobs: BTreeMap::new(),
            running: HashMap::new(),
            completed_cpu_s: HashMap::new(),
        };
        let events = events.iter().filter(|event| event.at_ms >= start);
        events.for_each(|event| observations.apply(event));
        observations
    }

    fn apply(&mut self, event: &'a Event) {
        let at_ms = event.at_ms;
        match &event.kind {
            EventKind::SubmissionStarted { job, requirements } => {
                let observation = JobObservation {
                    requirements,
                    submitted_ms: at_ms,
                    accepted: false,
                    refused: false,
                    first_start_ms: None,
                };
                self.jobs.insert(*job, observation);
            }
            EventKind::ResponseReceived {
                job,
                request: UserRequest::Submit,
                status: Some(status),
                ..
            } => {
                let Some(job) = self.jobs.get_mut(job) else { return };
                job.accepted |= matches!(status, 200 | 201);
                job.refused |= *status == 503;
            }
            EventKind::TaskStarted(attempt) => {
                self.running.insert(attempt, at_ms);
                if let Some(job) = self.jobs.get_mut(&attempt.job) {
                    job.first_start_ms.get_or_insert(at_ms);
                }
            }
            EventKind::TaskEnded { attempt, reason: TaskEndReason::Completed } => {
                self.complete_task(attempt, at_ms);
            }
            _ => {}
        }
    }

    fn complete_task(&mut self, attempt: &TaskAttempt, at_ms: Ms) {
        let Some(started_ms) = self.running.remove(attempt) else { return };
        let Some(job) = self.jobs.get(&attempt.job) else { return };
        let requirements = job.requirements;
        let windows = self
            .completed_cpu_s
            .entry(&requirements.class)
            .or_insert_with(|| vec![0.0; self.window_count]);
        let window = ((at_ms - self.start) / WINDOW_MS) as usize;
        if let Some(cpu_s) = windows.get_mut(window) {
            *cpu_s += requirements.cpus * (at_ms - started_ms) as f64 / 1000.0;
        }
    }

    fn completed_cpu_s_of(&self, class: &Class) -> Vec<f64> {
        let completed = self.completed_cpu_s.get(class.name).cloned();
        completed.unwrap_or_else(|| vec![0.0; self.window_count])
    }

    /// Returns the minimum over all windows of a class's share of its team's completed work.
    fn least_share(&self, class: &Class) -> f64 {
        let own = self.completed_cpu_s_of(class);
        let team: Vec<Vec<f64>> = CLASSES
            .iter()
            .filter(|other| other.team == class.team)
            .map(|other| self.completed_cpu_s_of(other))
            .collect();
        let share = |window: usize| {
            let team_cpu_s: f64 = team.iter().map(|cpu_s| cpu_s[window]).sum();
            own[window] / team_cpu_s.max(1.0)
        };
        (0..self.window_count).map(share).fold(1.0, f64::min)
    }

    fn metrics_of(&self, class: &Class) -> ClassMetrics {
        let jobs: Vec<&JobObservation> =
            self.jobs.values().filter(|job| job.requirements.class == class.name).collect();
        let waits = jobs.iter().filter_map(|job| Some(job.first_start_ms? - job.submitted_ms));
        ClassMetrics {
            class: class.name,
            jobs: jobs.len(),
            accepted: jobs.iter().filter(|job| job.accepted).count(),
            refused: jobs.iter().filter(|job| job.refused).count(),
            waits: DurationSummary::of(waits),
            completed_cpu_s: self.completed_cpu_s_of(class),
            least_share: self.least_share(class),
        }
    }
}

fn class_metrics(events: &[Event], start: Ms, duration_ms: Ms) -> Vec<ClassMetrics> {
    let window_count = (duration_ms / WINDOW_MS).max(1) as usize;
    let observations = Observations::collect(events, start, window_count);
    CLASSES.iter().map(|class| observations.metrics_of(class)).collect()
}

fn retry_metrics(events: &[Event]) -> RetryMetrics {
    let mut refused: HashSet<u64> = HashSet::new();
    let mut metrics = RetryMetrics::default();
    for event in events {
        let EventKind::ResponseReceived {
            job,
            request: UserRequest::Submit,
            status: Some(status),
            ..
        } = &event.kind
        else {
            continue;
        };
        if refused.remove(job) {
            metrics.retries += 1;
            metrics.accepted += usize::from(matches!(status, 200 | 201));
        }
        if *status == 503 {
            refused.insert(*job);
        }
    }
    metrics
}
