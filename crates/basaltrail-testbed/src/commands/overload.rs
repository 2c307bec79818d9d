//! The command `overload`: submits more work than the machines can run.

use super::load::{print_team_usage, LoadOptions, LoadOutcome};
use super::{minutes_to_ms, parse_minutes, print_violations, CommandError, MACHINES_MAX};
use basaltrail_testbed::checker::Violation;
use basaltrail_testbed::scenarios::overload::{self, OverloadConfig, OverloadOutcome};
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;

/// Options of the command.
#[derive(Args)]
pub struct Arguments {
    /// Minutes during which jobs are submitted
    #[arg(long, value_name = "M", default_value = "20", value_parser = parse_minutes)]
    minutes: f64,
    /// Number of machines that the cloud can provision
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(4..=MACHINES_MAX))]
    machines: u64,
    /// Directory for histories, settings and logs
    #[arg(long, default_value = "target/overload")]
    dir: PathBuf,
    #[command(flatten)]
    load: LoadOptions,
}

/// Runs all seeds, one after the other.
pub async fn run(arguments: &Arguments) -> Result<ExitCode, CommandError> {
    let common =
        arguments.load.controllers.scenario_config(arguments.machines, 1, &arguments.dir)?;
    let config = OverloadConfig { common, duration_ms: minutes_to_ms(arguments.minutes) };
    arguments.load.run_seeds(async |seed| overload::run(&config, seed).await).await
}

impl LoadOutcome for OverloadOutcome {
    fn violations(&self) -> &[Violation] {
        &self.violations
    }

    fn print(&self) {
        let submissions = &self.submissions;
        println!(
            "seed {}: {} of {} jobs accepted, answers p50 {} ms, p99 {} ms, longest {} ms",
            self.seed,
            submissions.accepted,
            submissions.jobs,
            submissions.answers.p50_ms,
            submissions.answers.p99_ms,
            submissions.answers.max_ms
        );
        let retries = &self.retries;
        println!("  came back as told: {}, accepted then: {}", retries.retries, retries.accepted);
        for class in &self.classes {
            println!(
                "  class {}: {} jobs, {} accepted, {} refused at first; wait p50 {} s, p99 {} s; least part of its team's work in a window {:.3}",
                class.class,
                class.jobs,
                class.accepted,
                class.refused,
                class.waits.p50_ms / 1000,
                class.waits.p99_ms / 1000,
                class.least_share
            );
        }
        print_team_usage(&self.teams);
        print_violations(&self.violations);
    }
}
