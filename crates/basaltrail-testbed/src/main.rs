//! basaltrail-testbed: the real program over loopback, tried out or soaked.

use basaltrail_testbed::deployment::Deployment;
use basaltrail_testbed::faults::FaultKind;
use basaltrail_testbed::serve;
use basaltrail_testbed::soak::{run, Outcome, Plan};
use basaltrail_testbed::world::World;
use clap::{Args, Parser, Subcommand};
use indicatif::ProgressBar;
use nix::sys::resource::{getrlimit, Resource};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// A rule was broken.
const BROKEN: u8 = 1;
/// The command line or the machine does not allow what was asked.
const USAGE: u8 = 2;
/// No rule was broken, but a fault that was asked for could not be carried out.
const NOT_RUN: u8 = 3;
/// Machines of one run at the most: a system gives out some 28,000 ports for the connections to
/// one address. What this process may open decides before that, see [`sockets_allow`].
const MACHINES_MOST: u64 = 20_000;
/// Sockets of this process that a machine takes: its worker's, both of its link's, and one more
/// while it changes the controller. Users, links and controllers take the rest.
const SOCKETS_PER_MACHINE: u64 = 4;
const SOCKETS_OF_THE_REST: u64 = 2_000;
/// Controllers of one run at the most.
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
    /// A deployment to try out, until Ctrl-C
    Serve(Serve),
}

#[derive(Args)]
struct Serve {
    /// Minutes until it ends by itself
    #[arg(long, value_name = "M", value_parser = minutes)]
    minutes: Option<f64>,
    /// Machines that the cloud can rent
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(4..=MACHINES_MOST))]
    machines: u64,
    /// Controllers
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=NODES_MOST))]
    nodes: u64,
    /// Port of the first controller; the others follow it
    #[arg(long, default_value_t = 7100, value_parser = clap::value_parser!(u16).range(1..))]
    port: u16,
    /// Where settings and logs go
    #[arg(long, default_value = "target/serve")]
    dir: PathBuf,
    /// The controllers' program; the one beside this program if it is not named
    #[arg(long)]
    controller: Option<PathBuf>,
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
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return unusable(&error.to_string()),
    };
    let done = match arguments.command {
        Command::Soak(soak) => plan(&soak).map(|plan| runtime.block_on(play(&soak, &plan))),
        Command::Serve(arguments) => {
            serve_plan(&arguments).and_then(|plan| runtime.block_on(serve(&arguments, &plan)))
        }
    };
    done.unwrap_or_else(|why| unusable(&why))
}

fn unusable(why: &str) -> ExitCode {
    eprintln!("error: {why}");
    ExitCode::from(USAGE)
}

/// The controllers' program: the one that is named, or the one beside this program.
fn program(named: &Option<PathBuf>) -> Result<PathBuf, String> {
    let beside = || {
        let own = std::env::current_exe().ok()?;
        Some(own.parent()?.join("basaltrail"))
    };
    let program = named.clone().or_else(beside).ok_or("no program for controllers")?;
    match program.is_file() {
        true => Ok(program),
        false => Err(format!("{}: not there; build basaltrail first", program.display())),
    }
}

/// Whether this process may open the sockets that so many machines take, of all runs at once.
fn sockets_allow(machines: u64) -> Result<(), String> {
    let (allowed, _) = getrlimit(Resource::RLIMIT_NOFILE).map_err(|e| e.to_string())?;
    let needed = machines * SOCKETS_PER_MACHINE + SOCKETS_OF_THE_REST;
    match needed <= allowed {
        true => Ok(()),
        false => Err(format!("{machines} machines take {needed} sockets, {allowed} are allowed")),
    }
}

fn make_directory(directory: &Path) -> Result<(), String> {
    std::fs::create_dir_all(directory).map_err(|e| format!("{}: {e}", directory.display()))
}

fn serve_plan(arguments: &Serve) -> Result<serve::Plan, String> {
    let program = program(&arguments.controller)?;
    sockets_allow(arguments.machines)?;
    make_directory(&arguments.dir)?;
    Ok(serve::Plan {
        program,
        nodes: arguments.nodes as usize,
        machines: arguments.machines as usize,
        first_port: arguments.port,
        directory: arguments.dir.clone(),
        seed: 1,
    })
}

async fn serve(arguments: &Serve, plan: &serve::Plan) -> Result<ExitCode, String> {
    let mut terminated = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let starting = async { serve::start(plan).await.map_err(|e| e.to_string()) };
    let world = tokio::select! {
        world = starting => world?,
        // The controllers end with the world that is dropped.
        _ = tokio::signal::ctrl_c() => return Ok(ExitCode::SUCCESS),
        _ = terminated.recv() => return Ok(ExitCode::SUCCESS),
    };
    for node in 0..world.controllers.count() {
        println!("{}  http://{}", Deployment::node_name(node), world.controllers.listen(node));
    }
    for team in &world.deployment.teams {
        println!("team {}: {} CPUs guaranteed, {} at most", team.name, team.cpus, team.cpus_max);
    }
    println!("ready, logs in {}; Ctrl-C ends it", arguments.dir.display());
    let minutes = arguments.minutes.map(|minutes| Duration::from_secs_f64(minutes * 60.0));
    let time_is_over = async {
        match minutes {
            Some(minutes) => tokio::time::sleep(minutes).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = terminated.recv() => {}
        () = time_is_over => {}
    }
    world.end().await;
    println!("ended");
    Ok(ExitCode::SUCCESS)
}

fn plan(soak: &Soak) -> Result<Plan, String> {
    let program = program(&soak.controller)?;
    sockets_allow(soak.machines * soak.parallel)?;
    make_directory(&soak.dir)?;
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
