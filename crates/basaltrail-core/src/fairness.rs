//! The fairness ledger: the received and fair CPU-seconds of teams, and the degrees of fairness
//! that rank teams and jobs (ASTRAEA; paper, section 4.2). A tenant in the paper is a team here,
//! and GPU time in the paper is CPU time here.

use crate::model::{JobId, Ms, WallMs};
use crate::settings::Settings;
use crate::store::records::LedgerRecord;

/// Received and fair time of a team or a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Account {
    /// CPU-seconds that tasks have run (paper, equation 11 for a team, 2 for a job).
    pub received: f64,
    /// CPU-seconds of fair share (paper, equations 9 and 16 for a team, 14 for a job).
    pub fair: f64,
    /// CPU-seconds granted in the current scheduling round, which count as received in advance
    /// (paper, algorithm 1, lines 14 and 15).
    pub granted: f64,
}

impl Account {
    /// Returns the degree of fairness (paper, equation 12 for a team, 15 for a job). The lowest
    /// degree is served first. Fair time below one CPU-second counts as one.
    pub fn degree(&self) -> f64 {
        (self.received + self.granted) / self.fair.max(1.0)
    }
}

/// The accounts of all teams.
#[derive(Debug)]
pub struct Ledger {
    /// Accounts by team index.
    pub teams: Vec<Account>,
    /// The time of the last accrual.
    accrued_at: Ms,
}

impl Ledger {
    /// Creates a ledger from the record of an earlier leader, if there is one. Accounts of teams
    /// that are missing in the record start at zero, as do amounts that are negative or not finite.
    pub fn new(settings: &Settings, record: Option<&LedgerRecord>, now: Ms) -> Self {
        let sanitized =
            |amount: f64| if amount.is_finite() && amount >= 0.0 { amount } else { 0.0 };
        let recorded_account = |name: &str| {
            let record = record?.teams.iter().find(|(team, _, _)| team == name)?;
            let (_, received, fair) = record;
            Some(Account { received: sanitized(*received), fair: sanitized(*fair), granted: 0.0 })
        };
        let teams = settings
            .teams
            .iter()
            .map(|team| recorded_account(&team.name).unwrap_or_default())
            .collect();
        Ledger { teams, accrued_at: now }
    }

    /// Returns a team's fair share of CPUs, independent of its use (quota in the paper, equations 6
    /// and 16).
    pub fn fair_share_cpus(settings: &Settings, team: usize, fleet_cpus: f64) -> f64 {
        fleet_cpus * settings.weight_share(team)
    }

    /// Accrues the received and fair time of all teams since the last call, and returns the elapsed
    /// seconds. `running_cpus` are the CPUs of running tasks by team index.
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
            account.fair += Self::fair_share_cpus(settings, team, fleet_cpus) * elapsed_s;
        }
        elapsed_s
    }

    /// Ends a scheduling round and clears its grants, whether or not the granted time has run.
    pub fn end_round(&mut self) {
        for account in &mut self.teams {
            account.granted = 0.0;
        }
    }

    /// Returns the record for the next leader, with amounts rounded to a tenth of a CPU-second.
    pub fn record(
        &self,
        settings: &Settings,
        leases_end: WallMs,
        crash_looping_jobs: Vec<JobId>,
    ) -> LedgerRecord {
        let rounded = |amount: f64| (amount * 10.0).round() / 10.0;
        let accounts = settings.teams.iter().zip(&self.teams);
        let teams = accounts
            .map(|(team, account)| {
                (team.name.clone(), rounded(account.received), rounded(account.fair))
            })
            .collect();
        LedgerRecord { teams, leases_end, crash_looping_jobs }
    }
}
