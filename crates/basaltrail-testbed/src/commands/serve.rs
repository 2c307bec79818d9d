//! The command `serve`: runs a deployment for manual trials.

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

/// Policy entries that apply unless a policy file is given. The backlog limit is low, so that a
/// few jobs suffice to see a rejected submission.
const DEFAULT_POLICY: &str = "(admission (backlog-s 120)) (guarantee-leases 2)";
/// Seed of the stand-ins.
const SEED: u64 = 1;

/// Options of the command.
#[derive(Args)]
pub struct Arguments {
    /// Minutes after which the deployment stops; it runs until Ctrl-C by default
    #[arg(long, value_name = "M", value_parser = parse_minutes)]
    minutes: Option<f64>,
    /// Number of machines that the cloud can provision
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(4..=MACHINES_MAX))]
    machines: u64,
    /// Port of the first controller; the other controllers use the ports that follow
    #[arg(long, default_value_t = 7100, value_parser = clap::value_parser!(u16).range(1..))]
    port: u16,
    /// Directory for settings and logs
    #[arg(long, default_value = "target/serve")]
    dir: PathBuf,
    #[command(flatten)]
    controllers: ControllerOptions,
}

fn config(arguments: &Arguments) -> Result<TryOutConfig, CommandError> {
    let mut common =
        arguments.controllers.scenario_config(arguments.machines, 1, &arguments.dir)?;
    if arguments.controllers.policy.is_none() {
        common.policy = PolicySource::Entries(DEFAULT_POLICY.into());
    }
    Ok(TryOutConfig { common, first_port: arguments.port, seed: SEED })
}

/// Runs the deployment until the time limit, Ctrl-C or SIGTERM.
pub async fn run(arguments: &Arguments) -> Result<ExitCode, CommandError> {
    let config = config(arguments)?;
    let mut termination = signal(SignalKind::terminate()).map_err(CommandError::Runtime)?;
    let testbed = tokio::select! {
        testbed = start(&config) => testbed?,
        // Dropping the testbed kills the controllers.
        () = wait_for_stop_signal(&mut termination) => return Ok(ExitCode::SUCCESS),
    };
    let has_administration = matches!(config.common.policy, PolicySource::Entries(_));
    print_addresses(&testbed, has_administration, &arguments.dir);
    tokio::select! {
        () = wait_for_stop_signal(&mut termination) => {}
        () = wait_for_time_limit(arguments.minutes) => {}
    }
    testbed.stop().await;
    println!("ended");
    Ok(ExitCode::SUCCESS)
}

/// Waits for Ctrl-C or SIGTERM.
async fn wait_for_stop_signal(termination: &mut Signal) {
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = termination.recv() => {}
    }
}

async fn wait_for_time_limit(minutes: Option<f64>) {
    match minutes {
        Some(minutes) => tokio::time::sleep(Duration::from_secs_f64(minutes * 60.0)).await,
        None => std::future::pending().await,
    }
}

fn print_addresses(testbed: &Testbed, has_administration: bool, directory: &Path) {
    let controllers = &testbed.controllers;
    for controller in 0..controllers.count() {
        let name = Deployment::controller_name(controller);
        println!("{name}  http://{}", controllers.listen_address(controller));
    }
    if has_administration {
        let name = Deployment::controller_name(0);
        println!("administration of {name}  {}", controllers.administration_address(0));
    }
    for team in &testbed.deployment.teams {
        println!(
            "team {}: {} CPUs guaranteed, {} at most",
            team.name, team.guaranteed_cpus, team.max_cpus
        );
    }
    println!("ready, logs in {}; Ctrl-C ends it", directory.display());
}
