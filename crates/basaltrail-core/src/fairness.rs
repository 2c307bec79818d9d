//! The ledger of CPU-seconds run and owed, and the degrees that rank teams and jobs.

use crate::model::*;
use crate::settings::Settings;
use crate::store::records::LedgerRecord;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Account {
    /// CPU-seconds actually run.
    pub received: f64,
    /// CPU-seconds of fair share.
    pub fair: f64,
    /// CPU-seconds granted this round that have not run yet.
    pub granted: f64,
}

impl Account {
    pub fn degree(&self) -> f64 {
        (self.received + self.granted) / self.fair.max(1.0)
    }
}

#[derive(Debug)]
pub struct Ledger {
    pub teams: Vec<Account>,
    pub at: Ms,
}

impl Ledger {
    pub fn new(settings: &Settings, record: Option<&LedgerRecord>, now: Ms) -> Self {
        let teams = settings
            .teams
            .iter()
            .map(|t| {
                let kept = record.and_then(|r| r.teams.iter().find(|(n, _, _)| *n == t.name));
                let sane = |x: f64| if x.is_finite() && x >= 0.0 { x } else { 0.0 };
                kept.map_or_else(Account::default, |(_, r, f)| Account {
                    received: sane(*r),
                    fair: sane(*f),
                    granted: 0.0,
                })
            })
            .collect();
        Ledger { teams, at: now }
    }

    /// A team's share of the fleet, whether it uses it or not.
    pub fn quota(settings: &Settings, team: usize, fleet_cpus: f64) -> f64 {
        fleet_cpus * settings.weight_share(team)
    }

    /// Accrues the time since the last call.
    pub fn accrue(
        &mut self,
        settings: &Settings,
        now: Ms,
        fleet_cpus: f64,
        running: &[f64],
    ) -> f64 {
        let dt = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = now;
        for (t, a) in self.teams.iter_mut().enumerate() {
            a.received += running[t] * dt;
            a.fair += Self::quota(settings, t, fleet_cpus) * dt;
        }
        dt
    }

    pub fn end_round(&mut self) {
        for a in &mut self.teams {
            a.granted = 0.0;
        }
    }

    pub fn record(
        &self,
        settings: &Settings,
        leases_end: WallMs,
        suspects: Vec<JobId>,
    ) -> LedgerRecord {
        let round = |x: f64| (x * 10.0).round() / 10.0;
        LedgerRecord {
            teams: settings
                .teams
                .iter()
                .zip(&self.teams)
                .map(|(t, a)| (t.name.clone(), round(a.received), round(a.fair)))
                .collect(),
            leases_end,
            suspects,
        }
    }
}
