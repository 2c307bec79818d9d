//! Tracking of how long each team has waited for its guarantee.
//!
//! A team whose unfinished jobs all fit into its guarantee should not have to wait for other teams
//! (DEPLOY). Capacity that other teams borrowed is released as their tasks end or save. If that
//! takes longer than the operators allow, tasks that cannot save are preempted as well.

use super::capacity::CPU_TOLERANCE;
use crate::model::Ms;

/// Demand of one team in a scheduling cycle.
#[derive(Clone, Copy, Debug, Default)]
pub struct TeamDemand {
    /// CPUs of all unfinished tasks of the team.
    pub unfinished_cpus: f64,
    /// Whether the cycle could not assign a pending task of the team.
    pub blocked: bool,
}

impl TeamDemand {
    /// Returns whether the team waits for capacity that it is guaranteed.
    fn waits_for(&self, guaranteed_cpus: f64) -> bool {
        self.blocked && self.unfinished_cpus <= guaranteed_cpus + CPU_TOLERANCE
    }
}

/// The times since which teams have waited for their guarantee.
#[derive(Debug, Default)]
pub struct GuaranteeWaits {
    /// Start of the wait, by team index; `None` if the team does not wait.
    waiting_since: Vec<Option<Ms>>,
}

impl GuaranteeWaits {
    /// Updates the waits after a cycle, from the guaranteed CPUs and the demand of every team.
    pub fn update(&mut self, now: Ms, teams: impl Iterator<Item = (f64, TeamDemand)>) {
        let previous = std::mem::take(&mut self.waiting_since);
        self.waiting_since = teams
            .enumerate()
            .map(|(team, (guaranteed_cpus, demand))| {
                let since = previous.get(team).copied().flatten();
                demand.waits_for(guaranteed_cpus).then(|| since.unwrap_or(now))
            })
            .collect();
    }

    /// Returns whether a team has waited for its guarantee for at least `max_wait_ms`.
    pub fn is_overdue(&self, team: usize, now: Ms, max_wait_ms: Ms) -> bool {
        self.waiting_since
            .get(team)
            .copied()
            .flatten()
            .is_some_and(|since| now >= since + max_wait_ms)
    }

    /// Returns the earliest time after `now` at which a team will have waited for its guarantee for
    /// `max_wait_ms`.
    pub fn next_overdue_at(&self, now: Ms, max_wait_ms: Ms) -> Option<Ms> {
        self.waiting_since
            .iter()
            .flatten()
            .map(|since| since + max_wait_ms)
            .filter(|at| *at > now)
            .min()
    }
}

#[cfg(test)]
#[path = "guarantees_tests.rs"]
mod tests;
