//! Common parts of the load test commands: running the seeds and printing the outcomes.

use super::{parse_seeds, CommandError, ControllerOptions, STATUS_VIOLATION};
use basaltrail_testbed::checker::Violation;
use basaltrail_testbed::metrics::TeamUsage;
use basaltrail_testbed::testbed::RunError;
use clap::Args;
use serde::Serialize;
use std::ops::Range;
use std::process::ExitCode;

/// Options of a load test.
#[derive(Args)]
pub struct LoadOptions {
    /// Seeds to run: one number, or a range A..B that excludes B
    #[arg(long, value_name = "A..B", default_value = "1", value_parser = parse_seeds)]
    seeds: Range<u64>,
    /// Prints the outcome of each seed as one line of JSON
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    pub controllers: ControllerOptions,
}

/// The outcome of a load test for one seed.
pub trait LoadOutcome: Serialize {
    /// Returns the violations of rules.
    fn violations(&self) -> &[Violation];
    /// Prints the outcome as text for an operator.
    fn print(&self);
}

impl LoadOptions {
    /// Runs all seeds one after the other, and prints their outcomes.
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

/// Prints the CPU usage of each team, one line each.
pub fn print_team_usage(teams: &[TeamUsage]) {
    for team in teams {
        println!(
            "  team {}: at most {} of {} CPUs, above the limit at {} of {} instants",
            team.team, team.peak, team.limit, team.above, team.instants
        );
    }
}
