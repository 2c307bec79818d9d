//! The command `soak`: runs jobs under injected faults.

use super::{
    minutes_to_ms, parse_minutes, parse_seeds, CommandError, ControllerOptions, MACHINES_MAX,
    PRINTED_VIOLATIONS, STATUS_FAULT_NOT_INJECTED, STATUS_NOT_RUN, STATUS_VIOLATION,
};
use basaltrail_testbed::checker::Violation;
use basaltrail_testbed::faults::FaultKind;
use basaltrail_testbed::scenarios::soak::{self, SoakConfig, SoakOutcome};
use basaltrail_testbed::testbed::{RunError, Testbed};
use clap::Args;
use indicatif::ProgressBar;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::task::JoinHandle;

/// Maximum number of printed lines of an explanation; the history contains all events.
const EXPLANATION_LINES: usize = 60;

/// Options of the command.
#[derive(Args)]
pub struct Arguments {
    /// Seeds to run: one number, or a range A..B that excludes B
    #[arg(long, value_name = "A..B", value_parser = parse_seeds)]
    seeds: Range<u64>,
    /// Duration of each seed's run, in minutes
    #[arg(long, value_name = "M", value_parser = parse_minutes)]
    minutes: f64,
    /// Kinds of faults to inject; all kinds by default
    #[arg(long, value_name = "KIND", value_enum, num_args = 1.., value_delimiter = ',')]
    fault: Vec<FaultKind>,
    /// Number of machines that the cloud can provision
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(4..=MACHINES_MAX))]
    machines: u64,
    /// Number of seeds to run in parallel
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=8))]
    parallel: u64,
    /// Directory for histories, settings and logs
    #[arg(long, default_value = "target/soak")]
    dir: PathBuf,
    #[command(flatten)]
    controllers: ControllerOptions,
}

fn config(arguments: &Arguments) -> Result<SoakConfig, CommandError> {
    let Arguments { machines, parallel, dir, .. } = arguments;
    let common = arguments.controllers.scenario_config(*machines, *parallel, dir)?;
    let faults = match arguments.fault.is_empty() {
        true => FaultKind::all(),
        false => arguments.fault.clone(),
    };
    Ok(SoakConfig { common, faults, duration_ms: minutes_to_ms(arguments.minutes) })
}

/// Runs all seeds, in groups of parallel runs.
pub async fn run(arguments: &Arguments) -> Result<ExitCode, CommandError> {
    let config = config(arguments)?;
    let mut worst_status = 0;
    let seeds: Vec<u64> = arguments.seeds.clone().collect();
    for group in seeds.chunks(arguments.parallel as usize) {
        let progress_bar = ProgressBar::new_spinner();
        let runs: Vec<_> = group
            .iter()
            .map(|seed| (*seed, start_run(config.clone(), *seed, progress_bar.clone())))
            .collect();
        for (seed, run) in runs {
            let status = match run.await {
                Ok(Ok(outcome)) => print_outcome(seed, &outcome),
                Ok(Err(error)) => print_run_error(seed, &error),
                Err(error) => print_run_error(seed, &error),
            };
            worst_status = worse_status(worst_status, status);
        }
        progress_bar.finish_and_clear();
    }
    Ok(ExitCode::from(worst_status))
}

fn start_run(
    config: SoakConfig,
    seed: u64,
    progress_bar: ProgressBar,
) -> JoinHandle<Result<SoakOutcome, RunError>> {
    let show_progress =
        move |testbed: &Testbed| progress_bar.set_message(progress_line(seed, testbed));
    tokio::spawn(async move { soak::run(&config, seed, show_progress).await })
}

/// Returns the more severe of two exit statuses: a violation if either is one, otherwise the higher
/// number.
fn worse_status(first: u8, second: u8) -> u8 {
    match (first, second) {
        (STATUS_VIOLATION, _) | (_, STATUS_VIOLATION) => STATUS_VIOLATION,
        (first, second) => first.max(second),
    }
}

fn progress_line(seed: u64, testbed: &Testbed) -> String {
    let seconds = testbed.clock.now() / 1000;
    let machines = testbed.cloud.running_machines().len();
    let jobs = testbed.users.live_jobs().len();
    let token = testbed.fleet.highest_token();
    format!("seed {seed}: {seconds} s, {machines} machines, {jobs} jobs, token {token}")
}

fn print_run_error(seed: u64, error: &dyn std::error::Error) -> u8 {
    eprintln!("seed {seed}: not run: {error}");
    STATUS_NOT_RUN
}

/// Prints the outcome of a seed and returns its exit status.
fn print_outcome(seed: u64, outcome: &SoakOutcome) -> u8 {
    println!(
        "seed {seed}: {} jobs, {} over, {} tasks, {} leaderships, {} faults, {} rules broken ({})",
        outcome.jobs,
        outcome.finished,
        outcome.tasks,
        outcome.leader_terms,
        outcome.faults,
        outcome.violations.len(),
        outcome.history.display()
    );
    for (kind, error) in &outcome.failed_faults {
        println!("  not run here: {} ({error})", kind.name());
    }
    outcome.violations.iter().take(PRINTED_VIOLATIONS).for_each(print_violation);
    if let Some(explanation) = outcome.explanations.first() {
        print_explanation(explanation);
    }
    if !outcome.violations.is_empty() {
        return STATUS_VIOLATION;
    }
    match outcome.failed_faults.is_empty() {
        true => 0,
        false => STATUS_FAULT_NOT_INJECTED,
    }
}

fn print_violation(violation: &Violation) {
    let seconds = violation.at_ms as f64 / 1000.0;
    let job = violation.job.map_or(String::new(), |job| format!(" job-{job:06}"));
    println!("  {seconds:.3} s {}:{job} {}", violation.rule, violation.description);
}

fn print_explanation(explanation: &[String]) {
    println!("  the first of them, event by event:");
    let skipped = explanation.len().saturating_sub(EXPLANATION_LINES);
    if skipped > 0 {
        println!("  ({skipped} earlier events are in the history)");
    }
    explanation.iter().skip(skipped).for_each(|line| println!("  {line}"));
}
