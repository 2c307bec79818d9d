//! Figures of a load, from what users and workers saw.

use crate::clock::Ms;
use crate::deployment::Deployment;
use crate::history::{Condition, Event, JobShape, Off, Question, What};
use crate::usage;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Significant digits that histograms keep.
const DIGITS: u8 = 3;
/// CPUs that count as none: sums of decimal numbers are not exact.
const ROUNDING: f64 = 1e-9;

/// Times in milliseconds, as a histogram tells them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Times {
    /// How many there are.
    pub count: u64,
    /// Half of them are no longer.
    pub p50_ms: u64,
    /// All but one in a hundred are no longer.
    pub p99_ms: u64,
    /// The longest.
    pub max_ms: u64,
}

impl Times {
    /// What a histogram of some times tells.
    pub fn of(times: impl IntoIterator<Item = Ms>) -> Self {
        // Only the number of digits can be refused, and it is a constant.
        let Ok(mut histogram) = Histogram::<u64>::new(DIGITS) else { return Times::default() };
        for time in times {
            histogram.saturating_record(time);
        }
        Times {
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.5),
            p99_ms: histogram.value_at_quantile(0.99),
            max_ms: histogram.max(),
        }
    }
}

/// How submissions were answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Submissions {
    /// Jobs that were submitted.
    pub jobs: usize,
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Accepted jobs a second, from the first submission to the last first acceptance.
    pub accepted_per_s: f64,
    /// Answers to submissions, whatever they said.
    pub answers: Times,
    /// Answers that told to come back later.
    pub refusals: Times,
    /// Submissions without an answer.
    pub unanswered: usize,
}

/// How submissions were answered, in a history that is sorted by time.
pub fn submissions(events: &[Event]) -> Submissions {
    let mut first_at: Option<Ms> = None;
    let mut accepted: BTreeMap<u64, Ms> = BTreeMap::new();
    let (mut jobs, mut unanswered) = (0, 0);
    let (mut answers, mut refusals) = (Vec::new(), Vec::new());
    for event in events {
        match &event.what {
            What::Submitting { .. } => {
                jobs += 1;
                first_at.get_or_insert(event.at_ms);
            }
            What::Told { job, question: Question::Submit, asked_ms, status, .. } => {
                let took = event.at_ms.saturating_sub(*asked_ms);
                match status {
                    None => unanswered += 1,
                    Some(200 | 201) => {
                        accepted.entry(*job).or_insert(event.at_ms);
                        answers.push(took);
                    }
                    Some(status) => {
                        answers.push(took);
                        if matches!(status, 429 | 503) {
                            refusals.push(took);
                        }
                    }
                }
            }
            _ => {}
        }
    }
    let last = accepted.values().max().copied().unwrap_or(0);
    let span_s = last.saturating_sub(first_at.unwrap_or(0)).max(1) as f64 / 1000.0;
    Submissions {
        jobs,
        accepted: accepted.len(),
        accepted_per_s: accepted.len() as f64 / span_s,
        answers: Times::of(answers),
        refusals: Times::of(refusals),
        unanswered,
    }
}

/// What a team's tasks used.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamUse {
    /// The team.
    pub team: String,
    /// CPUs that it may use at most.
    pub limit: f64,
    /// CPUs that it used at most.
    pub most: f64,
    /// Moments at which its use changed.
    pub instants: usize,
    /// Those of them after which it was above the limit.
    pub above: usize,
}

/// What each team used, judged at every moment at which it changed.
pub fn use_by_team(events: &[Event], deployment: &Deployment) -> Vec<TeamUse> {
    let changes = usage::by_team(events);
    let of_team = |team: &crate::deployment::Team| {
        let changes = changes.get(team.name).map_or(&[][..], Vec::as_slice);
        TeamUse {
            team: team.name.into(),
            limit: team.cpus_max,
            most: changes.iter().map(|change| change.used).fold(0.0, f64::max),
            instants: changes.len(),
            above: changes.iter().filter(|c| c.used > team.cpus_max + ROUNDING).count(),
        }
    };
    deployment.teams.iter().map(of_team).collect()
}

/// How long jobs waited that fit into their team's guarantee together with the team's earlier
/// unfinished jobs: from the acceptance until the last task began for the first time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct GuaranteedWaits {
    /// Jobs within a guarantee.
    pub jobs: usize,
    /// Those of which some task never began.
    pub never: usize,
    /// The waits of the others.
    pub waits: Times,
}

#[derive(Default)]
struct JobLife<'a> {
    shape: Option<&'a JobShape>,
    accepted: Option<Ms>,
    begun: BTreeMap<u32, Ms>,
    done: BTreeMap<u32, Ms>,
    cancelled: Option<Ms>,
}

impl JobLife<'_> {
    fn cpus(&self) -> f64 {
        self.shape.map_or(0.0, |shape| shape.cpus * f64::from(shape.tasks))
    }

    fn all(&self, of: &BTreeMap<u32, Ms>) -> Option<Ms> {
        let tasks = self.shape?.tasks as usize;
        (of.len() >= tasks).then(|| of.values().max().copied())?
    }

    fn unfinished_at(&self, at: Ms) -> bool {
        let ended = self.cancelled.or_else(|| self.all(&self.done));
        self.accepted.is_some_and(|accepted| accepted <= at) && ended.is_none_or(|end| end > at)
    }
}

fn lives(events: &[Event]) -> BTreeMap<u64, JobLife<'_>> {
    let mut lives: BTreeMap<u64, JobLife> = BTreeMap::new();
    for event in events {
        let Some(job) = event.what.job() else { continue };
        let life = lives.entry(job).or_default();
        match &event.what {
            What::Submitting { shape, .. } => life.shape = Some(shape),
            What::Told { status: Some(200 | 201), condition, .. } => {
                life.accepted.get_or_insert(event.at_ms);
                if *condition == Some(Condition::Aborted) {
                    life.cancelled.get_or_insert(event.at_ms);
                }
            }
            What::TaskOn(attempt) => {
                life.begun.entry(attempt.task).or_insert(event.at_ms);
            }
            What::TaskOff { attempt, why: Off::Done } => {
                life.done.entry(attempt.task).or_insert(event.at_ms);
            }
            _ => {}
        }
    }
    lives
}

/// See [`GuaranteedWaits`]. Jobs that were cancelled before all of their tasks began are not
/// counted, nor those that were accepted after `until`.
pub fn guaranteed_waits(events: &[Event], deployment: &Deployment, until: Ms) -> GuaranteedWaits {
    let lives = lives(events);
    let mut never = 0;
    let mut waits = Vec::new();
    for team in &deployment.teams {
        let mut jobs: Vec<&JobLife> = lives
            .values()
            .filter(|life| life.shape.is_some_and(|shape| shape.team == team.name))
            .collect();
        jobs.sort_by_key(|life| life.accepted);
        for (order, life) in jobs.iter().enumerate() {
            let Some(accepted) = life.accepted.filter(|at| *at <= until) else { continue };
            let earlier = jobs[..order].iter().filter(|other| other.unfinished_at(accepted));
            let cpus: f64 = earlier.map(|other| other.cpus()).sum::<f64>() + life.cpus();
            if cpus > team.cpus + ROUNDING {
                continue;
            }
            match life.all(&life.begun) {
                Some(begun) => waits.push(begun.saturating_sub(accepted)),
                None if life.cancelled.is_some() => {}
                None => never += 1,
            }
        }
    }
    GuaranteedWaits { jobs: waits.len() + never, never, waits: Times::of(waits) }
}

/// Jobs that were accepted and of which no task ever began.
pub fn never_begun(events: &[Event]) -> BTreeSet<u64> {
    let waits = |life: &JobLife| {
        life.accepted.is_some() && life.cancelled.is_none() && life.begun.is_empty()
    };
    lives(events).iter().filter(|(_, life)| waits(life)).map(|(job, _)| *job).collect()
}
