//! `serve`: a deployment to try out.

use super::{make_directory, minutes, sockets_allow, Controllers, MACHINES_MOST};
use basaltrail_testbed::deployment::Deployment;
use basaltrail_testbed::serve::{start, Plan};
use basaltrail_testbed::world::Operators;
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// EventKind the operators of the try-out set, unless a policy file is named: little may wait, so that
/// a refusal is soon seen.
const TRY_OUT: &str = "(admission (backlog-s 120)) (guarantee-leases 2)";

#[derive(Args)]
pub struct Arguments {
    /// Minutes until it ends by itself
    #[arg(long, value_name = "M", value_parser = minutes)]
    minutes: Option<f64>,
    /// Machines that the cloud can rent
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(4..=MACHINES_MOST))]
    machines: u64,
    /// Port of the first controller; the others follow it
    #[arg(long, default_value_t = 7100, value_parser = clap::value_parser!(u16).range(1..))]
    port: u16,
    /// Where settings and logs go
    #[arg(long, default_value = "target/serve")]
    dir: PathBuf,
    #[command(flatten)]
    controllers: Controllers,
}

fn plan(arguments: &Arguments) -> Result<Plan, String> {
    let program = arguments.controllers.program()?;
    sockets_allow(arguments.machines)?;
    make_directory(&arguments.dir)?;
    Ok(Plan {
        program,
        operators: match &arguments.controllers.policy {
            Some(file) => Operators::File(file.clone()),
            None => Operators::Entries(TRY_OUT.into()),
        },
        nodes: arguments.controllers.nodes as usize,
        machines: arguments.machines as usize,
        first_port: arguments.port,
        directory: arguments.dir.clone(),
        seed: 1,
    })
}

/// Serves until it is told to end.
pub async fn run(arguments: &Arguments) -> Result<ExitCode, String> {
    let plan = plan(arguments)?;
    let mut terminated = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let starting = async { start(&plan).await.map_err(|e| e.to_string()) };
    let world = tokio::select! {
        world = starting => world?,
        // The controllers end with the world that is dropped.
        _ = tokio::signal::ctrl_c() => return Ok(ExitCode::SUCCESS),
        _ = terminated.recv() => return Ok(ExitCode::SUCCESS),
    };
    for node in 0..world.controllers.count() {
        println!(
            "{}  http://{}",
            Deployment::controller_name(node),
            world.controllers.listen(node)
        );
    }
    if matches!(plan.operators, Operators::Entries(_)) {
        let administration = world.controllers.administration(0);
        println!("administration of stack-0  {administration}");
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
