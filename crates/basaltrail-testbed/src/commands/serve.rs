//! `serve`: a deployment to try out.

use super::{parse_minutes, CommandError, ControllerOptions, MACHINES_MAX};
use basaltrail_testbed::config::PolicySource;
use basaltrail_testbed::deployment::Deployment;
use basaltrail_testbed::scenarios::try_out::{start, TryOutConfig};
use basaltrail_testbed::testbed::Testbed;
use clap::Args;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Policy of the try-out, unless a policy file is named: the backlog is short, so that a rejected
/// submission is soon seen.
const DEFAULT_POLICY: &str = "(admission (backlog-s 120)) (guarantee-leases 2)";
/// Seed of the stand-ins.
const SEED: u64 = 1;

/// Options of the command.
#[derive(Args)]
pub struct Arguments {
    /// Minutes until it ends by itself
    #[arg(long, value_name = "M", value_parser = parse_minutes)]
    minutes: Option<f64>,
    /// Machines that the cloud can rent
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(4..=MACHINES_MAX))]
    machines: u64,
    /// Port of the first controller; the others follow it
    #[arg(long, default_value_t = 7100, value_parser = clap::value_parser!(u16).range(1..))]
    port: u16,
    /// Where settings and logs go
    #[arg(long, default_value = "target/serve")]
    dir: PathBuf,
    #[command(flatten)]
    controllers: ControllerOptions,
}

fn config(arguments: &Arguments) -> Result<TryOutConfig, CommandError> {
    let mut common = arguments.controllers.scenario(arguments.machines, 1, &arguments.dir)?;
    if arguments.controllers.policy.is_none() {
        common.policy = PolicySource::Entries(DEFAULT_POLICY.into());
    }
    Ok(TryOutConfig { common, first_port: arguments.port, seed: SEED })
}

/// Serves until the time is over or the process is told to terminate.
pub async fn run(arguments: &Arguments) -> Result<ExitCode, CommandError> {
    let config = config(arguments)?;
    let mut termination = signal(SignalKind::terminate()).map_err(CommandError::Runtime)?;
    let testbed = tokio::select! {
        testbed = start(&config) => testbed?,
        // The controllers are killed when the testbed is dropped.
        () = stop_requested(&mut termination) => return Ok(ExitCode::SUCCESS),
    };
    let has_administration = matches!(config.common.policy, PolicySource::Entries(_));
    print_addresses(&testbed, has_administration, &arguments.dir);
    tokio::select! {
        () = stop_requested(&mut termination) => {}
        () = time_is_over(arguments.minutes) => {}
    }
    testbed.stop().await;
    println!("ended");
    Ok(ExitCode::SUCCESS)
}

/// Waits for Ctrl-C or SIGTERM.
async fn stop_requested(termination: &mut Signal) {
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = termination.recv() => {}
    }
}

async fn time_is_over(minutes: Option<f64>) {
    match minutes {
        Some(minutes) => tokio::time::sleep(Duration::from_secs_f64(minutes * 60.0)).await,
        None => std::future::pending().await,
    }
}

fn print_addresses(testbed: &Testbed, has_administration: bool, directory: &Path) {
    let controllers = &testbed.controllers;
    for controller in 0..controllers.count() {
        let name = Deployment::controller_name(controller);
        println!("{name}  http://{}", controllers.listen(controller));
    }
    if has_administration {
        let name = Deployment::controller_name(0);
        println!("administration of {name}  {}", controllers.administration(0));
    }
    for team in &testbed.deployment.teams {
        println!("team {}: {} CPUs guaranteed, {} at most", team.name, team.cpus, team.cpus_max);
    }
    println!("ready, logs in {}; Ctrl-C ends it", directory.display());
}
