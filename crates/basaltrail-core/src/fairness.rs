//! The fairness ledger: CPU-seconds that teams and jobs received and deserved, and the degrees of
//! fairness that rank them (ASTRAEA; paper, section 4.2). What the paper calls a tenant is a
//! team, and its GPU time is CPU time here.

use crate::model::{JobId, Ms, WallMs};
use crate::settings::Settings;
use crate::store::records::LedgerRecord;

/// Received and fair time of a team or a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Account {
    /// CPU-seconds actually run (paper, equation 11 for a team, 2 for a job).
    pub received: f64,
    /// CPU-seconds of fair share (paper, equations 9 and 16 for a team, 14 for a job).
    pub fair: f64,
    /// CPU-seconds granted in this round that have not run yet (paper, algorithm 1, lines 14 and
    /// 15: they count as if they ran).
    pub granted: f64,
}

impl Account {
    /// The degree of fairness (paper, equation 12 for a team, 15 for a job); the lowest goes
    /// first. Fair time below one CPU-second counts as one.
    pub fn degree(&self) -> f64 {
        (self.received + self.granted) / self.fair.max(1.0)
    }
}

/// The accounts of all teams.
#[derive(Debug)]
pub struct Ledger {
    /// By team index.
    pub teams: Vec<Account>,
    /// When time was last accrued.
    accrued_at: Ms,
}

impl Ledger {
    /// A ledger that goes on from what an earlier leader recorded, if it did. Teams that the
    /// record does not name, or names with amounts that make no sense, begin with nothing.
    pub fn new(settings: &Settings, record: Option<&LedgerRecord>, now: Ms) -> Self {
        let valid = |amount: f64| if amount.is_finite() && amount >= 0.0 { amount } else { 0.0 };
        let recorded = |name: &str| {
            let record = record?.teams.iter().find(|(team, _, _)| team == name)?;
            let (_, received, fair) = record;
            Some(Account { received: valid(*received), fair: valid(*fair), granted: 0.0 })
        };
        let teams =
            settings.teams.iter().map(|team| recorded(&team.name).unwrap_or_default()).collect();
        Ledger { teams, accrued_at: now }
    }

    /// A team's quota in CPUs, whether it uses it or not (paper, equations 6 and 16).
    pub fn quota(settings: &Settings, team: usize, fleet_cpus: f64) -> f64 {
        fleet_cpus * settings.weight_share(team)
    }

    /// Accrues received and fair time of teams since the last call, where `running_cpus` run
    /// tasks now, by team index. Returns the seconds since then.
    pub fn accrue(
        &mut self,
        settings: &Settings,
        now: Ms,
        fleet_cpus: f64,
        running_cpus: &[f64],
    ) -> f64 {
        let elapsed_s = now.saturating_sub(self.accrued_at) as f64 / 1000.0;
        self.accrued_at = now;
        for (team, account) in self.teams.iter_mut().enumerate() {
            account.received += running_cpus[team] * elapsed_s;
            account.fair += Self::quota(settings, team, fleet_cpus) * elapsed_s;
        }
        elapsed_s
    }

    /// Ends a round: what was granted in it has run, or never will.
    pub fn end_round(&mut self) {
        for account in &mut self.teams {
            account.granted = 0.0;
        }
    }

    /// The ledger as it is recorded for the next leader, with amounts rounded to a tenth of a
    /// CPU-second.
    pub fn record(
        &self,
        settings: &Settings,
        leases_end: WallMs,
        suspects: Vec<JobId>,
    ) -> LedgerRecord {
        let rounded = |amount: f64| (amount * 10.0).round() / 10.0;
        let accounts = settings.teams.iter().zip(&self.teams);
        let teams = accounts
            .map(|(team, account)| {
                (team.name.clone(), rounded(account.received), rounded(account.fair))
            })
            .collect();
        LedgerRecord { teams, leases_end, suspects }
    }
}
