//! CPUs in use by each team over time, as the workers observed them.

use crate::clock::Ms;
use crate::history::{Event, EventKind, JobRequirements, TaskAttempt};
use std::collections::{BTreeSet, HashMap};

/// Differences of CPUs below this are rounding: sums of decimal fractions are not exact.
pub const CPU_ROUNDING: f64 = 1e-9;

/// A change of a team's use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageChange {
    /// When the use changed.
    pub at_ms: Ms,
    /// Number of the job whose task started or ended.
    pub job: u64,
    /// Whether the task started.
    pub starts: bool,
    /// CPUs in use from then on.
    pub cpus: f64,
}

/// Every change of each team's use, by team, ordered by time.
///
/// Tasks that end in the same millisecond as others start are counted as ended before them. A
/// task without an end is in use forever.
pub fn changes_by_team(events: &[Event]) -> HashMap<String, Vec<UsageChange>> {
    let mut changes = differences_by_team(events);
    for changes in changes.values_mut() {
        changes.sort_by_key(|change| (change.at_ms, change.starts, change.job));
        let mut cpus = 0.0;
        for change in changes {
            cpus += change.cpus;
            change.cpus = cpus;
        }
    }
    changes
}

/// The changes in the order of the events; `cpus` is the difference that each makes.
fn differences_by_team(events: &[Event]) -> HashMap<String, Vec<UsageChange>> {
    let mut requirements: HashMap<u64, &JobRequirements> = HashMap::new();
    let mut running: BTreeSet<&TaskAttempt> = BTreeSet::new();
    let mut changes: HashMap<String, Vec<UsageChange>> = HashMap::new();
    for event in events {
        let (attempt, starts) = match &event.kind {
            EventKind::SubmissionStarted { job, requirements: required } => {
                requirements.insert(*job, required);
                continue;
            }
            EventKind::TaskStarted(attempt) => (attempt, true),
            EventKind::TaskEnded { attempt, .. } => (attempt, false),
            _ => continue,
        };
        let Some(required) = requirements.get(&attempt.job) else { continue };
        let counts = if starts {
            running.insert(attempt);
            true
        } else {
            running.remove(attempt)
        };
        if counts {
            let cpus = if starts { required.cpus } else { -required.cpus };
            let change = UsageChange { at_ms: event.at_ms, job: attempt.job, starts, cpus };
            changes.entry(required.team.clone()).or_default().push(change);
        }
    }
    changes
}
