//! `racing`: a thousand submissions in one instant.

use super::{make_directory, seeds, sockets_allow, Controllers, BROKEN, MACHINES_MOST};
use basaltrail_testbed::racing::{run as play, Outcome, Plan};
use clap::Args;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub struct Arguments {
    /// Seeds to play: one number, or FIRST..LAST with LAST left out
    #[arg(long, value_name = "A..B", default_value = "1", value_parser = seeds)]
    seeds: Range<u64>,
    /// SubmissionMetrics in the one instant
    #[arg(long, default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(1..=50_000))]
    jobs: u64,
    /// Machines that the cloud can rent
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(4..=MACHINES_MOST))]
    machines: u64,
    /// Where histories, settings and logs go
    #[arg(long, default_value = "target/racing")]
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
        jobs: arguments.jobs,
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
        "seed {}, {} controllers: {} of {} jobs accepted, {:.1} a second, {} over",
        outcome.seed,
        outcome.nodes,
        submissions.accepted,
        submissions.jobs,
        submissions.accepted_per_s,
        outcome.over
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
        outcome.requests_per_job, outcome.changes_per_job
    );
    for team in &outcome.teams {
        println!(
            "  team {}: at most {} of {} CPUs, above the limit at {} of {} instants",
            team.team, team.peak, team.limit, team.above, team.instants
        );
    }
    let guaranteed = &outcome.guaranteed;
    println!(
        "  within a guarantee: {} jobs, {} never begun, wait until the last task p50 {} ms, longest {} ms",
        guaranteed.jobs, guaranteed.never_started, guaranteed.waits.p50_ms, guaranteed.waits.max_ms
    );
    for violation in outcome.violations.iter().take(8) {
        println!("  {} ms {}: {}", violation.at_ms, violation.rule, violation.description);
    }
}
