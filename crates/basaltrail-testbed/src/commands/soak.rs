//! `soak`: runs with faults.

use super::{
    make_directory, minutes, seeds, sockets_allow, Controllers, BROKEN, MACHINES_MOST, USAGE,
};
use basaltrail_testbed::deployment::Deployment;
use basaltrail_testbed::faults::FaultKind;
use basaltrail_testbed::soak::{self, Outcome, Plan};
use basaltrail_testbed::world::World;
use clap::Args;
use indicatif::ProgressBar;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;

/// No rule was broken, but a fault that was asked for could not be carried out.
const NOT_RUN: u8 = 3;
/// Lines of one account that are printed; all of it is in the history.
const ACCOUNT_LINES: usize = 60;

#[derive(Args)]
pub struct Arguments {
    /// Seeds to play: one number, or FIRST..LAST with LAST left out
    #[arg(long, value_name = "A..B", value_parser = seeds)]
    seeds: Range<u64>,
    /// Minutes that each seed lasts
    #[arg(long, value_name = "M", value_parser = minutes)]
    minutes: f64,
    /// Kinds of faults, all of them if none is named
    #[arg(long, value_name = "KIND", value_enum, num_args = 1.., value_delimiter = ',')]
    fault: Vec<FaultKind>,
    /// Machines that the cloud can rent
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(4..=MACHINES_MOST))]
    machines: u64,
    /// Seeds played at once
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=8))]
    parallel: u64,
    /// Where histories, settings and logs go
    #[arg(long, default_value = "target/soak")]
    dir: PathBuf,
    #[command(flatten)]
    controllers: Controllers,
}

fn plan(soak: &Arguments) -> Result<Plan, String> {
    let program = soak.controllers.program()?;
    sockets_allow(soak.machines * soak.parallel)?;
    make_directory(&soak.dir)?;
    let faults = match soak.fault.is_empty() {
        true => FaultKind::all(),
        false => soak.fault.clone(),
    };
    Ok(Plan {
        program,
        operators: soak.controllers.operators(),
        deployment: Deployment::new(soak.controllers.nodes as usize, soak.machines as usize),
        faults,
        run_ms: (soak.minutes * 60_000.0) as u64,
        directory: soak.dir.clone(),
    })
}

/// Plays every seed.
pub async fn run(soak: &Arguments) -> Result<ExitCode, String> {
    let plan = plan(soak)?;
    let mut worst = 0;
    let seeds: Vec<u64> = soak.seeds.clone().collect();
    for group in seeds.chunks(soak.parallel as usize) {
        let bar = ProgressBar::new_spinner();
        let runs: Vec<_> = group
            .iter()
            .map(|seed| {
                let (plan, seed, bar) = (plan.clone(), *seed, bar.clone());
                let show = move |world: &World| bar.set_message(progress(seed, world));
                (seed, tokio::spawn(async move { soak::run(&plan, seed, show).await }))
            })
            .collect();
        for (seed, run) in runs {
            let status = match run.await {
                Ok(Ok(outcome)) => report(seed, &outcome),
                Ok(Err(error)) => {
                    eprintln!("seed {seed}: not run: {error}");
                    USAGE
                }
                Err(error) => {
                    eprintln!("seed {seed}: not run: {error}");
                    USAGE
                }
            };
            // A broken rule counts for more than a run that could not be made.
            worst = match (worst, status) {
                (BROKEN, _) | (_, BROKEN) => BROKEN,
                (before, now) => before.max(now),
            };
        }
        bar.finish_and_clear();
    }
    Ok(ExitCode::from(worst))
}

/// The progress line.
fn progress(seed: u64, world: &World) -> String {
    let seconds = world.clock.now() / 1000;
    let machines = world.cloud.running().len();
    let live = world.users.live().len();
    let token = world.fleet.token.load(Ordering::Relaxed);
    format!("seed {seed}: {seconds} s, {machines} machines, {live} jobs, token {token}")
}

/// Prints what a seed showed; gives the exit status for it.
fn report(seed: u64, outcome: &Outcome) -> u8 {
    println!(
        "seed {seed}: {} jobs, {} over, {} tasks, {} leaderships, {} faults, {} rules broken ({})",
        outcome.jobs,
        outcome.over,
        outcome.tasks,
        outcome.leaderships,
        outcome.faults,
        outcome.violations.len(),
        outcome.history.display()
    );
    for (kind, why) in &outcome.not_run {
        println!("  not run here: {} ({why})", kind.name());
    }
    for violation in outcome.violations.iter().take(8) {
        let job = violation.job.map_or(String::new(), |job| format!(" job-{job:06}"));
        println!(
            "  {:.3} s {}:{job} {}",
            violation.at_ms as f64 / 1000.0,
            violation.rule,
            violation.description
        );
    }
    if let Some(account) = outcome.accounts.first() {
        println!("  the first of them, event by event:");
        let skipped = account.len().saturating_sub(ACCOUNT_LINES);
        if skipped > 0 {
            println!("  ({skipped} earlier events are in the history)");
        }
        account.iter().skip(skipped).for_each(|line| println!("  {line}"));
    }
    match (outcome.violations.is_empty(), outcome.not_run.is_empty()) {
        (false, _) => BROKEN,
        (true, false) => NOT_RUN,
        (true, true) => 0,
    }
}
