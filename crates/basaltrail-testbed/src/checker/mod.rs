//! Checks a history against PROTOCOL's rules, from what users and workers observed alone.
//!
//! [`find_violations`] is the entry point. The rules about one job are in `job_rules`, over the
//! `JobHistory` of the job; the rules about the whole run are here.

mod job_history;
mod job_rules;

use crate::clock::Ms;
use crate::deployment::Deployment;
use crate::history::{Event, EventKind, JobPhase};
use crate::team_usage::{self, CPU_ROUNDING};
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;
use std::fmt;

/// Once all faults ended, every accepted job must be reported to its user within this time
/// (PROTOCOL's rule `forgotten`).
pub const RECOVERY_MS: Ms = 75_000;

/// A rule of PROTOCOL, or a check of the testbed's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A task ran on two machines at once.
    RanTwice,
    /// A task ran on after the time allowed for a cancellation.
    RanCancelled,
    /// A task ran on a machine that its job does not allow.
    WrongPlace,
    /// A job was reported as done before all of its tasks completed.
    NotDone,
    /// A job left its final phase, or was cancelled by nobody.
    WentBack,
    /// An accepted job was denied, or not reported once the faults ended.
    Forgotten,
    /// A team used more CPUs than its limit.
    Quota,
    /// A job was reported that nobody submitted.
    Invented,
    /// Not one task ran: the run proves nothing.
    NothingRan,
    /// A controller logged a violation that it detected itself, or panicked.
    Controller,
}

impl Rule {
    /// The rule's name in PROTOCOL, as violations are printed.
    pub fn name(self) -> &'static str {
        match self {
            Rule::RanTwice => "ran_twice",
            Rule::RanCancelled => "ran_cancelled",
            Rule::WrongPlace => "wrong_place",
            Rule::NotDone => "not_done",
            Rule::WentBack => "went_back",
            Rule::Forgotten => "forgotten",
            Rule::Quota => "quota",
            Rule::Invented => "invented",
            Rule::NothingRan => "nothing_ran",
            Rule::Controller => "controller",
        }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Number of the job, if the violation is about one.
    pub job: Option<u64>,
    /// Name of the machine, if the violation is about one.
    pub machine: Option<String>,
    /// Milliseconds since the run started.
    pub at_ms: Ms,
    /// What happened.
    pub description: String,
}

impl Violation {
    fn new(rule: Rule, at_ms: Ms, description: String) -> Self {
        Violation { rule, job: None, machine: None, at_ms, description }
    }

    fn of_job(self, job: u64) -> Self {
        Violation { job: Some(job), ..self }
    }

    fn on_machine(self, machine: &str) -> Self {
        Violation { machine: Some(machine.into()), ..self }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms {}: {}", self.at_ms, self.rule, self.description)
    }
}

/// Violations are serialised as the lines in which they are printed.
impl Serialize for Violation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// What a history is checked against.
#[derive(Clone, Copy, Debug)]
pub struct RunBounds<'a> {
    /// Times and limits of the deployment.
    pub deployment: &'a Deployment,
    /// When the effects of the last fault ended.
    pub faults_end: Ms,
    /// When the run ended.
    pub end: Ms,
}

/// Zone and kind of a machine.
struct MachinePlacement {
    zone: String,
    spot: bool,
}

/// All violations in a history that is ordered by time, ordered by time.
pub fn find_violations(events: &[Event], bounds: &RunBounds) -> Vec<Violation> {
    let mut violations = reported_faults(events);
    let machines = machine_placements(events);
    for (job, history) in job_history::by_job(events) {
        let found = job_rules::check(&history, &machines, bounds);
        violations.extend(found.into_iter().map(|violation| violation.of_job(job)));
    }
    violations.extend(quota(events, bounds));
    if !events.iter().any(|event| matches!(event.kind, EventKind::TaskStarted(_))) {
        violations.push(Violation::new(Rule::NothingRan, 0, "no task was started".into()));
    }
    violations.sort_by_key(|violation| violation.at_ms);
    violations
}

/// Violations that one event alone shows.
fn reported_faults(events: &[Event]) -> Vec<Violation> {
    let violation = |event: &Event| match &event.kind {
        EventKind::UnknownJobQueried { job, status: 200 } => {
            let description = "200 for a job that nobody submitted".into();
            Some(Violation::new(Rule::Invented, event.at_ms, description).of_job(*job))
        }
        EventKind::ControllerFaultLogged { controller, line } => {
            let name = Deployment::controller_name(*controller);
            let description = format!("{name}: {line}");
            Some(Violation::new(Rule::Controller, event.at_ms, description))
        }
        _ => None,
    };
    events.iter().filter_map(violation).collect()
}

fn machine_placements(events: &[Event]) -> BTreeMap<String, MachinePlacement> {
    let placement = |event: &Event| match &event.kind {
        EventKind::MachineStarted { machine, zone, spot } => {
            Some((machine.clone(), MachinePlacement { zone: zone.clone(), spot: *spot }))
        }
        _ => None,
    };
    events.iter().filter_map(placement).collect()
}

/// PROTOCOL's rule `quota`, checked whenever a task starts.
fn quota(events: &[Event], bounds: &RunBounds) -> Vec<Violation> {
    let changes = team_usage::changes_by_team(events);
    let mut violations = Vec::new();
    for team in &bounds.deployment.teams {
        let changes = changes.get(team.name).into_iter().flatten();
        let limit = team.cpus_max + CPU_ROUNDING;
        let above_limit = changes.filter(|change| change.starts && change.cpus > limit);
        violations.extend(above_limit.map(|change| {
            let description =
                format!("{} uses {} of {} CPUs", team.name, change.cpus, team.cpus_max);
            Violation::new(Rule::Quota, change.at_ms, description).of_job(change.job)
        }));
    }
    violations
}

/// The events that explain a violation, one line each: those of its job, and from the job's
/// cancellation on the faults and the answers that renewed the machine's lease.
pub fn explain(events: &[Event], violation: &Violation) -> Vec<String> {
    let is_of_job = |event: &Event| event.kind.job().is_some() && event.kind.job() == violation.job;
    let cancelled = events.iter().find(|event| {
        let phase = match event.kind {
            EventKind::ResponseReceived { phase, .. } => phase,
            _ => None,
        };
        is_of_job(event) && phase == Some(JobPhase::Cancelled)
    });
    let since = cancelled.map_or(Ms::MAX, |event| event.at_ms);
    let is_context = |event: &Event| {
        let relevant = match &event.kind {
            EventKind::LeaseRenewed { machine, .. } => Some(machine) == violation.machine.as_ref(),
            EventKind::FaultInjected { .. } => true,
            _ => false,
        };
        relevant && (since..=violation.at_ms).contains(&event.at_ms)
    };
    let relevant = events.iter().filter(|event| is_of_job(event) || is_context(event));
    relevant
        .map(|event| {
            let kind = serde_json::to_string(&event.kind).unwrap_or_default();
            format!("{:>9.3} {kind}", event.at_ms as f64 / 1000.0)
        })
        .collect()
}
