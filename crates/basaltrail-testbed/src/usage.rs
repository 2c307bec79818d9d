//! What each team's tasks use over time, from the workers' side.

use crate::clock::Ms;
use crate::history::{Attempt, Event, JobShape, What};
use std::collections::{BTreeSet, HashMap};

/// A moment at which a team's use changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UseChange {
    /// When.
    pub at_ms: Ms,
    /// The job whose task begins or ends.
    pub job: u64,
    /// Whether it begins.
    pub begins: bool,
    /// CPUs in use from then on.
    pub used: f64,
}

/// Every change of each team's use, by time. What ends at a moment is gone before what begins
/// then; a task without an end never ends.
pub fn by_team(events: &[Event]) -> HashMap<String, Vec<UseChange>> {
    let mut shapes: HashMap<u64, &JobShape> = HashMap::new();
    let mut open: BTreeSet<&Attempt> = BTreeSet::new();
    let mut changes: HashMap<String, Vec<UseChange>> = HashMap::new();
    let mut note = |shape: &JobShape, at_ms, job, begins| {
        let used = if begins { shape.cpus } else { -shape.cpus };
        let change = UseChange { at_ms, job, begins, used };
        changes.entry(shape.team.clone()).or_default().push(change);
    };
    for event in events {
        match &event.what {
            What::Submitting { job, shape } => {
                shapes.insert(*job, shape);
            }
            What::TaskOn(attempt) => {
                if let Some(shape) = shapes.get(&attempt.job) {
                    open.insert(attempt);
                    note(shape, event.at_ms, attempt.job, true);
                }
            }
            What::TaskOff { attempt, .. } => {
                if let Some(shape) = shapes.get(&attempt.job).filter(|_| open.remove(attempt)) {
                    note(shape, event.at_ms, attempt.job, false);
                }
            }
            _ => {}
        }
    }
    for changes in changes.values_mut() {
        changes.sort_by_key(|change| (change.at_ms, change.begins, change.job));
        let mut used = 0.0;
        for change in changes {
            used += change.used;
            change.used = used;
        }
    }
    changes
}
