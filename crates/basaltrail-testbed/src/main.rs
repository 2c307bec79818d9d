//! basaltrail-testbed: soaks of the real program over loopback.

use basaltrail_testbed::deployment::Deployment;
use basaltrail_testbed::faults::FaultKind;
use basaltrail_testbed::soak::{run, Outcome, Plan, World};
use clap::{Args, Parser, Subcommand};
use indicatif::ProgressBar;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::Ordering;

/// A rule was broken.
const BROKEN: u8 = 1;
/// The command line or the machine does not allow what was asked.
const USAGE: u8 = 2;
/// No rule was broken, but a fault that was asked for could not be carried out.
const NOT_RUN: u8 = 3;
/// Machines and controllers of one run at the most: each takes sockets and processor time.
const MACHINES_MOST: u64 = 400;
const NODES_MOST: u64 = 9;
/// Lines of one account that are printed; all of it is in the history.
const ACCOUNT_LINES: usize = 60;

/// Plays basaltrail's controllers against stand-ins on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs with faults at seeded random moments; status 1 if a rule is broken
    Soak(Soak),
}

#[derive(Args)]
struct Soak {
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
    /// Controllers
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=NODES_MOST))]
    nodes: u64,
    /// Seeds played at once
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=8))]
    parallel: u64,
    /// Where histories, settings and logs go
    #[arg(long, default_value = "target/soak")]
    dir: PathBuf,
    /// The controllers' program; the one beside this program if it is not named
    #[arg(long)]
    controller: Option<PathBuf>,
}

fn seeds(text: &str) -> Result<Range<u64>, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is no seed"));
    let (first, last) = match text.split_once("..") {
        Some((first, last)) => (number(first)?, number(last)?),
        None => (number(text)?, number(text)?.saturating_add(1)),
    };
    if first >= last {
        return Err("no seed lies in it".into());
    }
    Ok(first..last)
}

fn minutes(text: &str) -> Result<f64, String> {
    let minutes: f64 = text.parse().map_err(|_| "it is no number".to_string())?;
    match (0.3..=600.0).contains(&minutes) {
        true => Ok(minutes),
        false => Err("from 0.3 to 600 minutes".into()),
    }
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            let text = error.to_string();
            eprintln!("{}", text.lines().next().unwrap_or("error: the command line"));
            return ExitCode::from(USAGE);
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    let Command::Soak(soak) = arguments.command;
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return unusable(&error.to_string()),
    };
    match plan(&soak) {
        Ok(plan) => runtime.block_on(play(&soak, &plan)),
        Err(why) => unusable(&why),
    }
}

fn unusable(why: &str) -> ExitCode {
    eprintln!("error: {why}");
    ExitCode::from(USAGE)
}

fn plan(soak: &Soak) -> Result<Plan, String> {
    let beside = || {
        let own = std::env::current_exe().ok()?;
        Some(own.parent()?.join("basaltrail"))
    };
    let program = soak.controller.clone().or_else(beside).ok_or("no program for controllers")?;
    if !program.is_file() {
        return Err(format!("{}: not there; build basaltrail first", program.display()));
    }
    std::fs::create_dir_all(&soak.dir).map_err(|e| format!("{}: {e}", soak.dir.display()))?;
    let faults = match soak.fault.is_empty() {
        true => FaultKind::all(),
        false => soak.fault.clone(),
    };
    Ok(Plan {
        program,
        deployment: Deployment::new(soak.nodes as usize, soak.machines as usize),
        faults,
        run_ms: (soak.minutes * 60_000.0) as u64,
        directory: soak.dir.clone(),
    })
}

async fn play(soak: &Soak, plan: &Plan) -> ExitCode {
    let mut worst = 0;
    let seeds: Vec<u64> = soak.seeds.clone().collect();
    for group in seeds.chunks(soak.parallel as usize) {
        let bar = ProgressBar::new_spinner();
        let runs: Vec<_> = group
            .iter()
            .map(|seed| {
                let (plan, seed, bar) = (plan.clone(), *seed, bar.clone());
                let show = move |world: &World| bar.set_message(progress(seed, world));
                (seed, tokio::spawn(async move { run(&plan, seed, show).await }))
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
    ExitCode::from(worst)
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
        outcome.breaches.len(),
        outcome.history.display()
    );
    for (kind, why) in &outcome.not_run {
        println!("  not run here: {} ({why})", kind.name());
    }
    for breach in outcome.breaches.iter().take(8) {
        let job = breach.job.map_or(String::new(), |job| format!(" job-{job:06}"));
        println!("  {:.3} s {}:{job} {}", breach.at_ms as f64 / 1000.0, breach.rule, breach.text);
    }
    if let Some(account) = outcome.accounts.first() {
        println!("  the first of them, event by event:");
        let skipped = account.len().saturating_sub(ACCOUNT_LINES);
        if skipped > 0 {
            println!("  ({skipped} earlier events are in the history)");
        }
        account.iter().skip(skipped).for_each(|line| println!("  {line}"));
    }
    match (outcome.breaches.is_empty(), outcome.not_run.is_empty()) {
        (false, _) => BROKEN,
        (true, false) => NOT_RUN,
        (true, true) => 0,
    }
}
