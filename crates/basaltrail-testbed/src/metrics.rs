//! Metrics of a load scenario, computed from the observations of users and workers.
//!
//! The metrics are serialised into the `--json` output of the load commands, so their serialised
//! names are stable.

use crate::clock::Ms;
use crate::deployment::{Deployment, Team};
use crate::history::{Event, EventKind, JobPhase, JobRequirements, TaskEndReason, UserRequest};
use crate::team_usage::{self, CPU_ROUNDING};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Precision of the histograms, in significant decimal digits.
const HISTOGRAM_DIGITS: u8 = 3;

/// Quantiles of durations, computed with an HDR histogram.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DurationSummary {
    /// Number of durations.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: u64,
    /// Maximum, in milliseconds.
    pub max_ms: u64,
}

impl DurationSummary {
    /// Summarises durations in milliseconds.
    pub fn of(durations: impl IntoIterator<Item = Ms>) -> Self {
        // Creation fails only for an invalid number of digits, which is a constant here.
        let Ok(mut histogram) = Histogram::<u64>::new(HISTOGRAM_DIGITS) else {
            return DurationSummary::default();
        };
        for duration in durations {
            histogram.saturating_record(duration);
        }
        DurationSummary {
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.5),
            p99_ms: histogram.value_at_quantile(0.99),
            max_ms: histogram.max(),
        }
    }
}

/// Counts and latencies of the answers to submissions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SubmissionMetrics {
    /// Jobs that were submitted.
    pub jobs: usize,
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Accepted jobs per second, from the first submission until the last job was accepted.
    pub accepted_per_s: f64,
    /// Latency of all answers.
    pub answers: DurationSummary,
    /// Latency of the answers with status 429 or 503, which ask the user to retry later.
    pub refusals: DurationSummary,
    /// Submissions without an answer.
    pub unanswered: usize,
}

/// Collected answers to submissions.
#[derive(Default)]
struct SubmissionAnswers {
    jobs: usize,
    first_submission: Option<Ms>,
    /// Time at which each job was first reported as accepted.
    accepted: BTreeMap<u64, Ms>,
    latencies: Vec<Ms>,
    refusal_latencies: Vec<Ms>,
    unanswered: usize,
}

impl SubmissionAnswers {
    fn apply(&mut self, event: &Event) {
        match &event.kind {
            EventKind::SubmissionStarted { .. } => {
                self.jobs += 1;
                self.first_submission.get_or_insert(event.at_ms);
            }
            EventKind::ResponseReceived {
                job,
                request: UserRequest::Submit,
                sent_ms,
                status,
                ..
            } => {
                let latency = event.at_ms.saturating_sub(*sent_ms);
                self.add_answer(*job, event.at_ms, *status, latency);
            }
            _ => {}
        }
    }

    fn add_answer(&mut self, job: u64, at_ms: Ms, status: Option<u16>, latency: Ms) {
        let Some(status) = status else {
            self.unanswered += 1;
            return;
        };
        self.latencies.push(latency);
        match status {
            200 | 201 => {
                self.accepted.entry(job).or_insert(at_ms);
            }
            429 | 503 => self.refusal_latencies.push(latency),
            _ => {}
        }
    }
}

/// Computes the submission metrics of a history, which must be ordered by time.
pub fn submission_metrics(events: &[Event]) -> SubmissionMetrics {
    let mut answers = SubmissionAnswers::default();
    events.iter().for_each(|event| answers.apply(event));
    let last_acceptance = answers.accepted.values().max().copied().unwrap_or(0);
    let span_ms = last_acceptance.saturating_sub(answers.first_submission.unwrap_or(0));
    let span_s = span_ms.max(1) as f64 / 1000.0;
    SubmissionMetrics {
        jobs: answers.jobs,
        accepted: answers.accepted.len(),
        accepted_per_s: answers.accepted.len() as f64 / span_s,
        answers: DurationSummary::of(answers.latencies),
        refusals: DurationSummary::of(answers.refusal_latencies),
        unanswered: answers.unanswered,
    }
}

/// CPU usage of a team, compared with its limit.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamUsage {
    /// Name of the team.
    pub team: String,
    /// Limit of the team, in CPUs.
    pub limit: f64,
    /// Peak usage of the team, in CPUs.
    #[serde(rename = "most")]
    pub peak: f64,
    /// Number of changes of the usage.
    pub instants: usize,
    /// Number of changes after which the usage was above the limit.
    pub above: usize,
}

/// Computes the CPU usage of each team, measured at each of its changes.
pub fn team_usage(events: &[Event], deployment: &Deployment) -> Vec<TeamUsage> {
    let changes = team_usage::changes_by_team(events);
    let usage = |team: &Team| {
        let changes = changes.get(team.name).map_or(&[][..], Vec::as_slice);
        let limit = team.max_cpus + CPU_ROUNDING;
        TeamUsage {
            team: team.name.into(),
            limit: team.max_cpus,
            peak: changes.iter().map(|change| change.cpus).fold(0.0, f64::max),
            instants: changes.len(),
            above: changes.iter().filter(|change| change.cpus > limit).count(),
        }
    };
    deployment.teams.iter().map(usage).collect()
}

/// Waiting times of jobs within a guarantee, from acceptance until each task has started at least
/// once.
///
/// A job is within the guarantee if its CPUs and those of the team's earlier unfinished jobs
/// together do not exceed the team's guarantee.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct GuaranteedWaits {
    /// Number of jobs within a guarantee.
    pub jobs: usize,
    /// Number of these jobs with a task that never started.
    #[serde(rename = "never")]
    pub never_started: usize,
    /// Waiting times of the other jobs within a guarantee.
    pub waits: DurationSummary,
}

/// Times at which one job and its tasks reached each phase.
#[derive(Default)]
struct JobTimeline<'a> {
    requirements: Option<&'a JobRequirements>,
    accepted: Option<Ms>,
    /// Time of the first start of each task.
    started: BTreeMap<u32, Ms>,
    /// Time of the first completion of each task.
    completed: BTreeMap<u32, Ms>,
    cancelled: Option<Ms>,
}

impl<'a> JobTimeline<'a> {
    fn apply(&mut self, event: &'a Event) {
        match &event.kind {
            EventKind::SubmissionStarted { requirements, .. } => {
                self.requirements = Some(requirements);
            }
            EventKind::ResponseReceived { status: Some(200 | 201), phase, .. } => {
                self.accepted.get_or_insert(event.at_ms);
                if *phase == Some(JobPhase::Cancelled) {
                    self.cancelled.get_or_insert(event.at_ms);
                }
            }
            EventKind::TaskStarted(attempt) => {
                self.started.entry(attempt.task).or_insert(event.at_ms);
            }
            EventKind::TaskEnded { attempt, reason: TaskEndReason::Completed } => {
                self.completed.entry(attempt.task).or_insert(event.at_ms);
            }
            _ => {}
        }
    }

    fn belongs_to(&self, team: &Team) -> bool {
        self.requirements.is_some_and(|requirements| requirements.team == team.name)
    }

    /// Returns the CPUs of all tasks together.
    fn total_cpus(&self) -> f64 {
        let cpus = |required: &JobRequirements| required.cpus * f64::from(required.tasks);
        self.requirements.map_or(0.0, cpus)
    }

    /// Returns the latest of the times if every task has one.
    fn latest_of_all_tasks(&self, times: &BTreeMap<u32, Ms>) -> Option<Ms> {
        let tasks = self.requirements?.tasks as usize;
        if times.len() < tasks {
            return None;
        }
        times.values().max().copied()
    }

    fn is_unfinished_at(&self, at_ms: Ms) -> bool {
        let ended = self.cancelled.or_else(|| self.latest_of_all_tasks(&self.completed));
        let is_accepted = self.accepted.is_some_and(|accepted| accepted <= at_ms);
        is_accepted && ended.is_none_or(|end| end > at_ms)
    }
}

fn job_timelines(events: &[Event]) -> BTreeMap<u64, JobTimeline<'_>> {
    let mut timelines: BTreeMap<u64, JobTimeline> = BTreeMap::new();
    for event in events {
        if let Some(job) = event.kind.job() {
            timelines.entry(job).or_default().apply(event);
        }
    }
    timelines
}

/// Computes the waiting times of the jobs within a guarantee.
///
/// Excludes jobs that were cancelled before all of their tasks started, and jobs that were
/// accepted after `until`.
pub fn guaranteed_waits(events: &[Event], deployment: &Deployment, until: Ms) -> GuaranteedWaits {
    let timelines = job_timelines(events);
    let mut never_started = 0;
    let mut waits = Vec::new();
    for team in &deployment.teams {
        let mut jobs: Vec<&JobTimeline> =
            timelines.values().filter(|job| job.belongs_to(team)).collect();
        jobs.sort_by_key(|job| job.accepted);
        for (index, job) in jobs.iter().enumerate() {
            let Some(accepted) = job.accepted.filter(|at| *at <= until) else { continue };
            let earlier = jobs[..index].iter().filter(|other| other.is_unfinished_at(accepted));
            let cpus: f64 = earlier.map(|other| other.total_cpus()).sum::<f64>() + job.total_cpus();
            if cpus > team.guaranteed_cpus + CPU_ROUNDING {
                continue;
            }
            match job.latest_of_all_tasks(&job.started) {
                Some(started) => waits.push(started.saturating_sub(accepted)),
                None if job.cancelled.is_some() => {}
                None => never_started += 1,
            }
        }
    }
    let jobs = waits.len() + never_started;
    GuaranteedWaits { jobs, never_started, waits: DurationSummary::of(waits) }
}
