//! CPU usage of each team over time, computed from the task events of the workers.

use crate::clock::Ms;
use crate::history::{Event, EventKind, JobRequirements, TaskAttempt};
use std::collections::{BTreeSet, HashMap};

/// Tolerance in comparisons of CPU counts, since sums of decimal fractions are not exact.
pub const CPU_ROUNDING: f64 = 1e-9;

/// A change of a team's CPU usage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageChange {
    /// Time of the change, in milliseconds since the run started.
    pub at_ms: Ms,
    /// Number of the job whose task started or ended.
    pub job: u64,
    /// Whether the task started; otherwise it ended.
    pub is_start: bool,
    /// CPUs in use after the change.
    pub cpus: f64,
}

/// Returns the usage changes of each team, ordered by time.
///
/// Of the tasks that end and start in the same millisecond, those that end count first. A task
/// without an end event counts as running until the end of the history.
pub fn changes_by_team(events: &[Event]) -> HashMap<String, Vec<UsageChange>> {
    let mut changes = differences_by_team(events);
    for changes in changes.values_mut() {
        changes.sort_by_key(|change| (change.at_ms, change.is_start, change.job));
        let mut cpus = 0.0;
        for change in changes {
            cpus += change.cpus;
            change.cpus = cpus;
        }
    }
    changes
}

/// Returns the changes of each team in the order of the events, with `cpus` as the signed
/// difference instead of the resulting usage.
fn differences_by_team(events: &[Event]) -> HashMap<String, Vec<UsageChange>> {
    let mut requirements: HashMap<u64, &JobRequirements> = HashMap::new();
    let mut running: BTreeSet<&TaskAttempt> = BTreeSet::new();
    let mut changes: HashMap<String, Vec<UsageChange>> = HashMap::new();
    for event in events {
        let (attempt, is_start) = match &event.kind {
            EventKind::SubmissionStarted { job, requirements: required } => {
                requirements.insert(*job, required);
                continue;
            }
            EventKind::TaskStarted(attempt) => (attempt, true),
            EventKind::TaskEnded { attempt, .. } => (attempt, false),
            _ => continue,
        };
        let Some(required) = requirements.get(&attempt.job) else { continue };
        let is_counted = if is_start {
            running.insert(attempt);
            true
        } else {
            running.remove(attempt)
        };
        if is_counted {
            let cpus = if is_start { required.cpus } else { -required.cpus };
            let change = UsageChange { at_ms: event.at_ms, job: attempt.job, is_start, cpus };
            changes.entry(required.team.clone()).or_default().push(change);
        }
    }
    changes
}
