//! Judges a history by PROTOCOL's rules, from what users and workers saw alone.

use crate::clock::Ms;
use crate::deployment::Deployment;
use crate::history::{Attempt, Condition, Event, JobShape, Off, Question, What};
use crate::usage;
use std::collections::{BTreeMap, BTreeSet};

/// Once troubles are over, a job is spoken of within this (PROTOCOL's rule `forgotten`).
pub const KNOWN_MS: Ms = 75_000;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule's name in PROTOCOL, or `controller` for what a controller says of itself.
    pub rule: &'static str,
    /// The job, where there is one.
    pub job: Option<u64>,
    /// The machine, where there is one.
    pub machine: Option<String>,
    /// When, in milliseconds since the run began.
    pub at_ms: Ms,
    /// What happened.
    pub text: String,
}

/// What a history is judged by, beside itself.
#[derive(Clone, Copy, Debug)]
pub struct Bounds<'a> {
    /// Times and limits.
    pub deployment: &'a Deployment,
    /// When the last fault ended.
    pub faults_end: Ms,
    /// When the run ended.
    pub end: Ms,
}

/// The time for which a task was on a machine; without an end it still is.
#[derive(Clone, Debug)]
struct Stay {
    attempt: Attempt,
    on: Ms,
    off: Option<(Ms, Off)>,
}

impl Stay {
    fn until(&self, end: Ms) -> Ms {
        self.off.map_or(end, |(at, _)| at)
    }
}

#[derive(Default)]
struct JobSeen {
    shape: Option<JobShape>,
    stays: Vec<Stay>,
    cancelling: Option<Ms>,
    /// Since when its user knows that it is accepted.
    accepted: Option<Ms>,
    /// When its user was told which end.
    over: Option<(Ms, Condition)>,
    answered: Ms,
    told: Vec<Told>,
}

#[derive(Clone, Copy)]
struct Told {
    at: Ms,
    asked: Ms,
    question: Question,
    status: u16,
    condition: Option<Condition>,
}

/// The rules that a history breaks, by time.
pub fn judge(events: &[Event], bounds: &Bounds) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut machines = BTreeMap::new();
    let mut started = false;
    for event in events {
        match &event.what {
            What::MachineUp { machine, zone, spot } => {
                machines.insert(machine.clone(), (zone.clone(), *spot));
            }
            What::StrangerTold { job, status: 200 } => breaches.push(Breach {
                rule: "invented",
                job: Some(*job),
                machine: None,
                at_ms: event.at_ms,
                text: "200 for a job that nobody submitted".into(),
            }),
            What::ControllerFault { node, line } => breaches.push(Breach {
                rule: "controller",
                job: None,
                machine: None,
                at_ms: event.at_ms,
                text: format!("stack-{node}: {line}"),
            }),
            What::TaskOn(_) => started = true,
            _ => {}
        }
    }
    let jobs = gather(events);
    for (job, seen) in &jobs {
        let found = [
            ran_twice(seen),
            ran_cancelled(seen, bounds),
            wrong_place(seen, &machines),
            not_done(seen),
            went_back(seen),
            forgotten(seen, bounds),
        ];
        breaches
            .extend(found.into_iter().flatten().map(|breach| Breach { job: Some(*job), ..breach }));
    }
    breaches.extend(quota(events, bounds));
    if !started {
        breaches.push(breach("nothing_ran", 0, "no task was started".into()));
    }
    breaches.sort_by_key(|breach| breach.at_ms);
    breaches
}

/// The events that tell how a rule was broken: those of the job, and the answers that renewed
/// the machine's lease from the cancellation on.
pub fn account(events: &[Event], breach: &Breach) -> Vec<String> {
    let of_job = |event: &&Event| event.what.job().is_some() && event.what.job() == breach.job;
    let cancelled = events
        .iter()
        .filter(of_job)
        .find(|event| matches!(event.what, What::Told { condition: Some(Condition::Aborted), .. }));
    let since = cancelled.map_or(Ms::MAX, |event| event.at_ms);
    let renews = |event: &Event| match &event.what {
        What::Renewed { machine, .. } => {
            Some(machine) == breach.machine.as_ref()
                && (since..=breach.at_ms).contains(&event.at_ms)
        }
        What::Fault { .. } => (since..=breach.at_ms).contains(&event.at_ms),
        _ => false,
    };
    let told = events.iter().filter(|event| of_job(event) || renews(event));
    told.map(|event| {
        let what = serde_json::to_string(&event.what).unwrap_or_default();
        format!("{:>9.3} {what}", event.at_ms as f64 / 1000.0)
    })
    .collect()
}

fn breach(rule: &'static str, at_ms: Ms, text: String) -> Breach {
    Breach { rule, job: None, machine: None, at_ms, text }
}

fn gather(events: &[Event]) -> BTreeMap<u64, JobSeen> {
    let mut jobs: BTreeMap<u64, JobSeen> = BTreeMap::new();
    for event in events {
        let at = event.at_ms;
        let Some(job) = event.what.job() else { continue };
        let seen = jobs.entry(job).or_default();
        match &event.what {
            What::Submitting { shape, .. } => seen.shape = Some(shape.clone()),
            What::Cancelling { .. } => seen.cancelling = Some(at),
            What::Told { question, asked_ms, status: Some(status), condition, .. } => {
                seen.take(Told {
                    at,
                    asked: *asked_ms,
                    question: *question,
                    status: *status,
                    condition: *condition,
                });
            }
            What::TaskOn(attempt) => {
                seen.stays.push(Stay { attempt: attempt.clone(), on: at, off: None });
            }
            What::TaskOff { attempt, why } => {
                let open = |stay: &&mut Stay| stay.off.is_none() && stay.attempt == *attempt;
                if let Some(stay) = seen.stays.iter_mut().find(open) {
                    stay.off = Some((at, *why));
                }
            }
            _ => {}
        }
    }
    jobs
}

impl JobSeen {
    fn take(&mut self, told: Told) {
        if matches!(told.status, 200 | 201) {
            self.answered = told.at;
            self.accepted.get_or_insert(told.at);
        }
        if let Some(condition @ (Condition::Done | Condition::Aborted)) = told.condition {
            self.over.get_or_insert((told.at, condition));
        }
        self.told.push(told);
    }
}

fn ran_twice(seen: &JobSeen) -> Vec<Breach> {
    // Of each task, the stay that ends last; one without an end never does.
    let mut latest: BTreeMap<u32, &Stay> = BTreeMap::new();
    let mut found = Vec::new();
    for stay in &seen.stays {
        let task = stay.attempt.task;
        let before = latest.get(&task).map_or(0, |before| before.until(Ms::MAX));
        if let Some(other) = latest.get(&task).filter(|_| stay.on < before) {
            let (here, there) = (&stay.attempt.machine, &other.attempt.machine);
            let text = format!("task {task} starts on {here} while it is on {there}");
            found
                .push(Breach { machine: Some(here.clone()), ..breach("ran_twice", stay.on, text) });
        }
        if stay.until(Ms::MAX) >= before {
            latest.insert(task, stay);
        }
    }
    found
}

fn ran_cancelled(seen: &JobSeen, bounds: &Bounds) -> Vec<Breach> {
    let Some((told, Condition::Aborted)) = seen.over else { return Vec::new() };
    let latest = told + bounds.deployment.cancel_ms;
    let late = seen.stays.iter().filter(|stay| stay.until(bounds.end) > latest);
    late.map(|stay| Breach {
        machine: Some(stay.attempt.machine.clone()),
        ..breach(
            "ran_cancelled",
            stay.on.max(latest),
            format!(
                "task {} on {} from {} to {} ms, cancelled at {told} ms",
                stay.attempt.task,
                stay.attempt.machine,
                stay.on,
                stay.until(bounds.end)
            ),
        )
    })
    .collect()
}

fn wrong_place(seen: &JobSeen, machines: &BTreeMap<String, (String, bool)>) -> Vec<Breach> {
    let Some(shape) = &seen.shape else { return Vec::new() };
    let wrong = |stay: &&Stay| {
        machines.get(&stay.attempt.machine).is_some_and(|(zone, spot)| {
            (*spot && !shape.spot) || shape.zone.as_ref().is_some_and(|only| only != zone)
        })
    };
    seen.stays
        .iter()
        .filter(wrong)
        .map(|stay| {
            let text = format!("task {} on {}", stay.attempt.task, stay.attempt.machine);
            Breach {
                machine: Some(stay.attempt.machine.clone()),
                ..breach("wrong_place", stay.on, text)
            }
        })
        .collect()
}

fn not_done(seen: &JobSeen) -> Vec<Breach> {
    let (Some((told, Condition::Done)), Some(shape)) = (seen.over, &seen.shape) else {
        return Vec::new();
    };
    let completed = |stay: &&Stay| matches!(stay.off, Some((at, Off::Done)) if at <= told);
    let done: BTreeSet<u32> =
        seen.stays.iter().filter(completed).map(|stay| stay.attempt.task).collect();
    if !shape.service && done.len() == shape.tasks as usize {
        return Vec::new();
    }
    let text = format!("called done with {} of {} tasks", done.len(), shape.tasks);
    vec![breach("not_done", told, text)]
}

fn went_back(seen: &JobSeen) -> Vec<Breach> {
    let Some((told, end)) = seen.over else { return Vec::new() };
    let mut found = Vec::new();
    if end == Condition::Aborted && seen.cancelling.is_none_or(|at| at > told) {
        found.push(breach("went_back", told, "called cancelled, and nobody cancelled it".into()));
    }
    // Only what was asked after the end was told has to know of it.
    let after = seen.told.iter().filter(|answer| answer.asked >= told);
    let other = after.filter(|answer| answer.condition.is_some_and(|other| other != end));
    found.extend(other.map(|answer| {
        breach("went_back", answer.at, format!("{:?} after {end:?}", answer.condition))
    }));
    found
}

fn forgotten(seen: &JobSeen, bounds: &Bounds) -> Vec<Breach> {
    let Some(accepted) = seen.accepted else { return Vec::new() };
    let after = seen.told.iter().filter(|answer| answer.asked >= accepted);
    let denied = |answer: &&Told| match answer.question {
        Question::Submit => matches!(answer.status, 400 | 422),
        Question::Poll | Question::Cancel => answer.status == 404,
    };
    let mut found: Vec<Breach> = after
        .filter(denied)
        .map(|answer| {
            let text = format!("{:?} answered {}", answer.question, answer.status);
            breach("forgotten", answer.at, text)
        })
        .collect();
    let quiet = bounds.end.saturating_sub(bounds.faults_end) >= KNOWN_MS;
    if quiet && seen.over.is_none() && seen.answered < bounds.faults_end {
        let text = format!("no answer since {} ms", seen.answered);
        found.push(breach("forgotten", bounds.end, text));
    }
    found
}

/// Judges each team's use whenever a task begins.
fn quota(events: &[Event], bounds: &Bounds) -> Vec<Breach> {
    let changes = usage::by_team(events);
    let mut found = Vec::new();
    for team in &bounds.deployment.teams {
        let of_team = changes.get(team.name).into_iter().flatten();
        let above = of_team.filter(|change| change.begins && change.used > team.cpus_max + 1e-9);
        found.extend(above.map(|change| {
            let text = format!("{} uses {} of {} CPUs", team.name, change.used, team.cpus_max);
            Breach { job: Some(change.job), ..breach("quota", change.at_ms, text) }
        }));
    }
    found
}
