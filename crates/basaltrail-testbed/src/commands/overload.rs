//! `overload`: more work than the machines can do.

use super::{make_directory, minutes, seeds, sockets_allow, Controllers, BROKEN, MACHINES_MOST};
use basaltrail_testbed::overload::{run as play, Outcome, Plan};
use clap::Args;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub struct Arguments {
    /// Seeds to play: one number, or FIRST..LAST with LAST left out
    #[arg(long, value_name = "A..B", default_value = "1", value_parser = seeds)]
    seeds: Range<u64>,
    /// Minutes that jobs are submitted
    #[arg(long, value_name = "M", default_value = "20", value_parser = minutes)]
    minutes: f64,
    /// Machines that the cloud can rent
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(4..=MACHINES_MOST))]
    machines: u64,
    /// Where histories, settings and logs go
    #[arg(long, default_value = "target/overload")]
    dir: PathBuf,
    /// One line of JSON for each seed
    #[arg(long)]
    json: bool,
    #[command(flatten)]
    controllers: Controllers,
}

/// Plays every seed, one after the other.
pub async fn run(arguments: &Arguments) -> Result<ExitCode, String> {
    let program = arguments.controllers.program()?;
    sockets_allow(arguments.machines)?;
    make_directory(&arguments.dir)?;
    let plan = Plan {
        program,
        operators: arguments.controllers.operators(),
        nodes: arguments.controllers.nodes as usize,
        machines: arguments.machines as usize,
        run_ms: (arguments.minutes * 60_000.0) as u64,
        directory: arguments.dir.clone(),
    };
    let mut broken = false;
    for seed in arguments.seeds.clone() {
        let outcome = play(&plan, seed).await.map_err(|error| error.to_string())?;
        broken |= !outcome.violations.is_empty();
        match arguments.json {
            true => println!("{}", serde_json::to_string(&outcome).map_err(|e| e.to_string())?),
            false => print(&outcome),
        }
    }
    Ok(if broken { ExitCode::from(BROKEN) } else { ExitCode::SUCCESS })
}

fn print(outcome: &Outcome) {
    let submissions = &outcome.submissions;
    println!(
        "seed {}: {} of {} jobs accepted, answers p50 {} ms, p99 {} ms, longest {} ms",
        outcome.seed,
        submissions.accepted,
        submissions.jobs,
        submissions.answers.p50_ms,
        submissions.answers.p99_ms,
        submissions.answers.max_ms
    );
    let returns = &outcome.returns;
    println!("  came back as told: {}, accepted then: {}", returns.returns, returns.accepted);
    for class in &outcome.classes {
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
    for team in &outcome.teams {
        println!(
            "  team {}: at most {} of {} CPUs, above the limit at {} of {} instants",
            team.team, team.peak, team.limit, team.above, team.instants
        );
    }
    for violation in outcome.violations.iter().take(8) {
        println!("  {} ms {}: {}", violation.at_ms, violation.rule, violation.description);
    }
}
