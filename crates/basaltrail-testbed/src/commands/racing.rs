//! The command `racing`: submits many jobs at once, 1,000 by default.

use super::load::{print_team_usage, LoadOptions, LoadOutcome};
use super::{print_violations, CommandError, MACHINES_MAX};
use basaltrail_testbed::checker::Violation;
use basaltrail_testbed::scenarios::racing::{self, RacingConfig, RacingOutcome};
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;

/// Options of the command.
#[derive(Args)]
pub struct Arguments {
    /// Number of jobs to submit at once
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(1..=50_000))]
    jobs: u64,
    /// Number of machines that the cloud can provision
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(4..=MACHINES_MAX))]
    machines: u64,
    /// Directory for histories, settings and logs
    #[arg(long, default_value = "target/racing")]
    dir: PathBuf,
    #[command(flatten)]
    load: LoadOptions,
}

/// Runs all seeds, one after the other.
pub async fn run(arguments: &Arguments) -> Result<ExitCode, CommandError> {
    let common =
        arguments.load.controllers.scenario_config(arguments.machines, 1, &arguments.dir)?;
    let config = RacingConfig { common, jobs: arguments.jobs };
    arguments.load.run_seeds(async |seed| racing::run(&config, seed).await).await
}

impl LoadOutcome for RacingOutcome {
    fn violations(&self) -> &[Violation] {
        &self.violations
    }

    fn print(&self) {
        let submissions = &self.submissions;
        println!(
            "seed {}, {} controllers: {} of {} jobs accepted, {:.1} a second, {} over",
            self.seed,
            self.controllers,
            submissions.accepted,
            submissions.jobs,
            submissions.accepted_per_s,
            self.finished
        );
        let (answers, refusals) = (&submissions.answers, &submissions.refusals);
        println!(
            "  answers to submissions: {} (p50 {} ms, p99 {} ms, longest {} ms), {} told to come back, {} without",
            answers.count,
            answers.p50_ms,
            answers.p99_ms,
            answers.max_ms,
            refusals.count,
            submissions.unanswered
        );
        println!(
            "  state service, for each accepted job: {:.2} requests, {:.2} changes",
            self.requests_per_job, self.changes_per_job
        );
        print_team_usage(&self.teams);
        let guaranteed = &self.guaranteed;
        println!(
            "  within a guarantee: {} jobs, {} never begun, wait until the last task p50 {} ms, longest {} ms",
            guaranteed.jobs,
            guaranteed.never_started,
            guaranteed.waits.p50_ms,
            guaranteed.waits.max_ms
        );
        print_violations(&self.violations);
    }
}
