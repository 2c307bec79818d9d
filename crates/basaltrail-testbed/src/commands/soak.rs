//! `soak`: runs with faults.

use super::{
    milliseconds, parse_minutes, parse_seeds, CommandError, ControllerOptions, MACHINES_MAX,
    PRINTED_VIOLATIONS, STATUS_FAULT_NOT_INJECTED, STATUS_UNUSABLE, STATUS_VIOLATION,
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

/// Lines of an explanation that are printed; all of its events are in the history.
const EXPLANATION_LINES: usize = 60;

/// Options of the command.
#[derive(Args)]
pub struct Arguments {
    /// Seeds to play: one number, or FIRST..LAST with LAST left out
    #[arg(long, value_name = "A..B", value_parser = parse_seeds)]
    seeds: Range<u64>,
    /// Minutes that each seed lasts
    #[arg(long, value_name = "M", value_parser = parse_minutes)]
    minutes: f64,
    /// Kinds of faults, all of them if none is named
    #[arg(long, value_name = "KIND", value_enum, num_args = 1.., value_delimiter = ',')]
    fault: Vec<FaultKind>,
    /// Machines that the cloud can rent
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(4..=MACHINES_MAX))]
    machines: u64,
    /// Seeds played at once
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=8))]
    parallel: u64,
    /// Where histories, settings and logs go
    #[arg(long, default_value = "target/soak")]
    dir: PathBuf,
    #[command(flatten)]
    controllers: ControllerOptions,
}

fn config(arguments: &Arguments) -> Result<SoakConfig, CommandError> {
    let Arguments { machines, parallel, dir, .. } = arguments;
    let common = arguments.controllers.scenario(*machines, *parallel, dir)?;
    let faults = match arguments.fault.is_empty() {
        true => FaultKind::all(),
        false => arguments.fault.clone(),
    };
    Ok(SoakConfig { common, faults, duration_ms: milliseconds(arguments.minutes) })
}

/// Runs every seed, some of them in parallel.
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
                Ok(Err(error)) => print_not_run(seed, &error),
                Err(error) => print_not_run(seed, &error),
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

/// The status that decides: a violation counts for more than a run that could not be made.
fn worse_status(one: u8, other: u8) -> u8 {
    match (one, other) {
        (STATUS_VIOLATION, _) | (_, STATUS_VIOLATION) => STATUS_VIOLATION,
        (one, other) => one.max(other),
    }
}

fn progress_line(seed: u64, testbed: &Testbed) -> String {
    let seconds = testbed.clock.now() / 1000;
    let machines = testbed.cloud.running().len();
    let jobs = testbed.users.live_jobs().len();
    let token = testbed.fleet.highest_token();
    format!("seed {seed}: {seconds} s, {machines} machines, {jobs} jobs, token {token}")
}

fn print_not_run(seed: u64, error: &dyn std::error::Error) -> u8 {
    eprintln!("seed {seed}: not run: {error}");
    STATUS_UNUSABLE
}

/// Prints the outcome of a seed, and gives the exit status for it.
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
