//! What the commands of the loads share: seeds one after the other, printed or as JSON.

use super::{parse_seeds, CommandError, ControllerOptions, STATUS_VIOLATION};
use basaltrail_testbed::checker::Violation;
use basaltrail_testbed::metrics::TeamUsage;
use basaltrail_testbed::testbed::RunError;
use clap::Args;
use serde::Serialize;
use std::ops::Range;
use std::process::ExitCode;

/// Options of a load.
#[derive(Args)]
pub struct LoadOptions {
    /// Seeds to play: one number, or FIRST..LAST with LAST left out
    #[arg(long, value_name = "A..B", default_value = "1", value_parser = parse_seeds)]
    seeds: Range<u64>,
    /// One line of JSON for each seed
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    pub controllers: ControllerOptions,
}

/// The outcome of a load for one seed.
pub trait LoadOutcome: Serialize {
    /// Rules that were violated.
    fn violations(&self) -> &[Violation];
    /// Prints the outcome for people.
    fn print(&self);
}

impl LoadOptions {
    /// Runs every seed, one after the other.
    pub async fn run_seeds<T: LoadOutcome>(
        &self,
        run: impl AsyncFn(u64) -> Result<T, RunError>,
    ) -> Result<ExitCode, CommandError> {
        let mut status = ExitCode::SUCCESS;
        for seed in self.seeds.clone() {
            let outcome = run(seed).await?;
            if !outcome.violations().is_empty() {
                status = ExitCode::from(STATUS_VIOLATION);
            }
            match self.json {
                true => println!("{}", serde_json::to_string(&outcome)?),
                false => outcome.print(),
            }
        }
        Ok(status)
    }
}

/// Prints the use of each team, one a line.
pub fn print_teams(teams: &[TeamUsage]) {
    for team in teams {
        println!(
            "  team {}: at most {} of {} CPUs, above the limit at {} of {} instants",
            team.team, team.peak, team.limit, team.above, team.instants
        );
    }
}
