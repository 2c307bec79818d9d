//! Since when each team waits for what it is guaranteed.
//!
//! A team whose unfinished jobs all fit into its guarantee need not wait for other teams (DEPLOY).
//! What others borrowed comes back as their tasks end or save. Where that takes longer than the
//! operators allow, tasks that cannot save are stopped as well.

use crate::model::Ms;

/// What a pass found of one team.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamNeed {
    /// CPUs of all its unfinished tasks.
    pub unfinished_cpus: f64,
    /// Whether some job found no room.
    pub blocked: bool,
}

/// The teams' waits, by number.
#[derive(Debug, Default)]
pub struct GuaranteeWaits {
    since: Vec<Option<Ms>>,
}

impl GuaranteeWaits {
    /// Takes what a pass found of every team, with the CPUs that each is guaranteed.
    pub fn note(&mut self, now: Ms, teams: impl Iterator<Item = (f64, TeamNeed)>) {
        let before = std::mem::take(&mut self.since);
        let waits = |(guaranteed, need): (f64, TeamNeed)| {
            need.blocked && need.unfinished_cpus <= guaranteed + 1e-9
        };
        self.since = teams
            .enumerate()
            .map(|(team, found)| {
                let since = before.get(team).copied().flatten();
                waits(found).then(|| since.unwrap_or(now))
            })
            .collect();
    }

    /// Whether a team has waited for this long.
    pub fn overdue(&self, team: usize, now: Ms, patience: Ms) -> bool {
        self.since.get(team).copied().flatten().is_some_and(|since| now >= since + patience)
    }

    /// When the next team will have waited for this long.
    pub fn next_overdue(&self, now: Ms, patience: Ms) -> Option<Ms> {
        self.since.iter().flatten().map(|since| since + patience).filter(|at| *at > now).min()
    }
}

#[cfg(test)]
#[path = "guarantees_tests.rs"]
mod tests;
