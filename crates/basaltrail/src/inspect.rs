//! `inspect`: what a running controller tells of itself.

use crate::clients::Http;
use basaltrail_protocol::administration::{Class, Limits, Room, Team};
use clap::Subcommand;
use std::net::SocketAddr;
use std::process::ExitCode;

const PATIENCE_MS: u64 = 5_000;
/// Memory of this command, for the bound of an answer.
const MEMORY_MB: f64 = 64.0;

#[derive(Subcommand)]
pub enum Inspect {
    /// Teams and classes: guarantee, limit, use, backlog, allotment, refusals
    Limits {
        /// The controller's administration listener
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// The controller's answer as it is
        #[arg(long)]
        json: bool,
    },
}

/// Prints what was asked for; status 1, with one line, if the controller does not tell.
pub fn run(what: &Inspect) -> ExitCode {
    let Inspect::Limits { at, json } = what;
    match read(*at) {
        Ok((text, _)) if *json => println!("{text}"),
        Ok((_, limits)) => print!("{}", table(&limits)),
        Err(why) => {
            eprintln!("basaltrail: {at}: {why}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn read(at: SocketAddr) -> Result<(String, Limits), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    let body = runtime
        .block_on(async { Http::new(MEMORY_MB).read(at, "/limits", PATIENCE_MS).await })
        .ok_or("no answer; is it the administration listener of a node that runs?")?;
    let limits = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    Ok((String::from_utf8_lossy(&body).into_owned(), limits))
}

fn amount(value: Option<f64>) -> String {
    value.map_or("-".into(), |value| format!("{value}"))
}

fn room(room: Option<Room>) -> String {
    room.map_or("-".into(), |room| format!("{} jobs, {:.0} CPU s", room.jobs, room.work))
}

fn row(team: &Team, class: Option<&Class>) -> [String; 8] {
    let name = class.map_or("-".into(), |class| class.class.clone().unwrap_or("(others)".into()));
    [
        team.team.clone(),
        name,
        amount(Some(team.guaranteed)),
        amount(team.limit),
        amount(team.used),
        class.map_or("0".into(), |class| class.jobs.to_string()),
        room(class.and_then(|class| class.left)),
        team.refused.to_string(),
    ]
}

fn table(limits: &Limits) -> String {
    let head =
        ["team", "class", "guaranteed", "limit", "used", "jobs", "left here", "refused here"];
    let mut rows = vec![head.map(String::from)];
    for team in &limits.teams {
        match team.classes.is_empty() {
            true => rows.push(row(team, None)),
            false => rows.extend(team.classes.iter().map(|class| row(team, Some(class)))),
        }
    }
    let widths: Vec<usize> = (0..head.len())
        .map(|column| rows.iter().map(|row| row[column].len()).max().unwrap_or(0))
        .collect();
    let leader = limits.leader.as_deref().unwrap_or("none");
    let allotted = if limits.allotted { "bind" } else { "do not bind" };
    let mut text = format!("{}, leader {leader}, allotments {allotted}\n", limits.node);
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
