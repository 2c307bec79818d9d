//! Since when each team waits for what it is guaranteed.
//!
//! A team whose unfinished jobs all fit into its guarantee need not wait for other teams
//! (DEPLOY). What others borrowed comes back as their tasks end or save. Where that takes longer
//! than the operators allow, tasks that cannot save are preempted as well.

use super::capacity::CPU_TOLERANCE;
use crate::model::Ms;

/// What a scheduling cycle found of one team.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamNeed {
    /// CPUs of all its unfinished tasks.
    pub unfinished_cpus: f64,
    /// Whether some job found no capacity.
    pub blocked: bool,
}

impl TeamNeed {
    /// Whether it waits for what it is guaranteed.
    fn waits_for(&self, guaranteed_cpus: f64) -> bool {
        self.blocked && self.unfinished_cpus <= guaranteed_cpus + CPU_TOLERANCE
    }
}

/// Since when each team waits, by team index.
#[derive(Debug, Default)]
pub struct GuaranteeWaits {
    since: Vec<Option<Ms>>,
}

impl GuaranteeWaits {
    /// Takes what a cycle found of every team, with the CPUs that each is guaranteed.
    pub fn note(&mut self, now: Ms, teams: impl Iterator<Item = (f64, TeamNeed)>) {
        let before = std::mem::take(&mut self.since);
        self.since = teams
            .enumerate()
            .map(|(team, (guaranteed_cpus, need))| {
                let since = before.get(team).copied().flatten();
                need.waits_for(guaranteed_cpus).then(|| since.unwrap_or(now))
            })
            .collect();
    }

    /// Whether a team has waited for `patience` milliseconds.
    pub fn overdue(&self, team: usize, now: Ms, patience: Ms) -> bool {
        self.since.get(team).copied().flatten().is_some_and(|since| now >= since + patience)
    }

    /// When the next team will have waited for `patience` milliseconds.
    pub fn next_overdue(&self, now: Ms, patience: Ms) -> Option<Ms> {
        self.since.iter().flatten().map(|since| since + patience).filter(|at| *at > now).min()
    }
}

#[cfg(test)]
#[path = "guarantees_tests.rs"]
mod tests;
