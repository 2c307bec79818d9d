//! Checks a history against PROTOCOL's rules, using only the observations of users and workers.
//!
//! [`find_violations`] is the entry point. This module checks the rules that apply to the whole
//! run; `job_rules` checks the rules that apply to one job, given its `JobHistory`.

mod job_history;
mod job_rules;

use crate::clock::Ms;
use crate::deployment::Deployment;
use crate::history::{Event, EventKind, JobPhase};
use crate::team_usage::{self, CPU_ROUNDING};
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;
use std::fmt;

/// Time within which every accepted job must be reported to its user after the last fault, in
/// milliseconds (PROTOCOL's rule `forgotten`).
pub const RECOVERY_MS: Ms = 75_000;

/// A rule of PROTOCOL, or an additional check of the testbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A task ran on two machines at the same time.
    RanTwice,
    /// A task of a cancelled job was still running after the cancellation deadline.
    RanCancelled,
    /// A task ran on a machine that the job's requirements exclude.
    WrongPlace,
    /// A job was reported as done before all of its tasks completed, or although it is a service.
    NotDone,
    /// A job left its final phase, or was reported as cancelled without a user's request.
    WentBack,
    /// An accepted job was reported as unknown or rejected, or not reported after the last fault.
    Forgotten,
    /// A team used more CPUs than its limit.
    Quota,
    /// A job was reported that was never submitted.
    Invented,
    /// No task ran, so the run verifies nothing.
    NothingRan,
    /// A controller logged a rule violation of its own, or a panic.
    ControllerFault,
}

impl Rule {
    /// Returns the rule's name in PROTOCOL, which is also used in printed violations.
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
            Rule::ControllerFault => "controller",
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
    /// The violated rule.
    pub rule: Rule,
    /// Number of the job, if the violation concerns a job.
    pub job: Option<u64>,
    /// Name of the machine, if the violation concerns a machine.
    pub machine: Option<String>,
    /// Time of the violation, in milliseconds since the run started.
    pub at_ms: Ms,
    /// Description of the violation.
    pub description: String,
}

impl Violation {
    fn new(rule: Rule, at_ms: Ms, description: String) -> Self {
        Violation { rule, job: None, machine: None, at_ms, description }
    }

    fn with_job(self, job: u64) -> Self {
        Violation { job: Some(job), ..self }
    }

    fn with_machine(self, machine: &str) -> Self {
        Violation { machine: Some(machine.into()), ..self }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms {}: {}", self.at_ms, self.rule, self.description)
    }
}

/// Serialises a violation as its printed line.
impl Serialize for Violation {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// The deployment and the times against which a history is checked.
#[derive(Clone, Copy, Debug)]
pub struct RunBounds<'a> {
    /// Deployment under test, with its time bounds and limits.
    pub deployment: &'a Deployment,
    /// End of the effects of the last fault, in milliseconds since the run started.
    pub faults_end: Ms,
    /// End of the run, in milliseconds since it started.
    pub end: Ms,
}

/// Zone of a machine, and whether it is a spot machine.
struct MachinePlacement {
    zone: String,
    spot: bool,
}

/// Returns all violations in a history, ordered by time. The history must be ordered by time.
pub fn find_violations(events: &[Event], bounds: &RunBounds) -> Vec<Violation> {
    let mut violations = single_event_violations(events);
    let machines = machine_placements(events);
    for (job, history) in job_history::histories_by_job(events) {
        let found = job_rules::check_job(&history, &machines, bounds);
        violations.extend(found.into_iter().map(|violation| violation.with_job(job)));
    }
    violations.extend(check_quota(events, bounds));
    if !events.iter().any(|event| matches!(event.kind, EventKind::TaskStarted(_))) {
        violations.push(Violation::new(Rule::NothingRan, 0, "no task was started".into()));
    }
    violations.sort_by_key(|violation| violation.at_ms);
    violations
}

/// Returns the violations that a single event proves.
fn single_event_violations(events: &[Event]) -> Vec<Violation> {
    let violation = |event: &Event| match &event.kind {
        EventKind::UnknownJobQueried { job, status: 200 } => {
            let description = "200 for a job that was never submitted".into();
            Some(Violation::new(Rule::Invented, event.at_ms, description).with_job(*job))
        }
        EventKind::ControllerFaultLogged { controller, line } => {
            let name = Deployment::controller_name(*controller);
            let description = format!("{name}: {line}");
            Some(Violation::new(Rule::ControllerFault, event.at_ms, description))
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

/// Checks PROTOCOL's rule `quota` at each start of a task.
fn check_quota(events: &[Event], bounds: &RunBounds) -> Vec<Violation> {
    let changes = team_usage::changes_by_team(events);
    let mut violations = Vec::new();
    for team in &bounds.deployment.teams {
        let changes = changes.get(team.name).into_iter().flatten();
        let limit = team.max_cpus + CPU_ROUNDING;
        let above_limit = changes.filter(|change| change.is_start && change.cpus > limit);
        violations.extend(above_limit.map(|change| {
            let description =
                format!("{} uses {} of {} CPUs", team.name, change.cpus, team.max_cpus);
            Violation::new(Rule::Quota, change.at_ms, description).with_job(change.job)
        }));
    }
    violations
}

/// Returns the events that explain a violation, one line each: all events of its job, and the faults
/// and renewals of the machine's lease from the job's cancellation to the violation.
pub fn explain(events: &[Event], violation: &Violation) -> Vec<String> {
    let is_of_job = |event: &Event| event.kind.job().is_some() && event.kind.job() == violation.job;
    let cancellation = events.iter().find(|event| {
        let phase = match event.kind {
            EventKind::ResponseReceived { phase, .. } => phase,
            _ => None,
        };
        is_of_job(event) && phase == Some(JobPhase::Cancelled)
    });
    let cancelled_ms = cancellation.map_or(Ms::MAX, |event| event.at_ms);
    let is_context = |event: &Event| {
        let is_relevant = match &event.kind {
            EventKind::LeaseRenewed { machine, .. } => Some(machine) == violation.machine.as_ref(),
            EventKind::FaultInjected { .. } => true,
            _ => false,
        };
        is_relevant && (cancelled_ms..=violation.at_ms).contains(&event.at_ms)
    };
    let relevant = events.iter().filter(|event| is_of_job(event) || is_context(event));
    relevant
        .map(|event| {
            let kind = serde_json::to_string(&event.kind).unwrap_or_default();
            format!("{:>9.3} {kind}", event.at_ms as f64 / 1000.0)
        })
        .collect()
}
