//! `inspect`: reads a running controller over its administration listener.

use crate::clients::HttpClient;
use basaltrail_protocol::administration::{Class, Limits, Room, Team};
use clap::Subcommand;
use std::net::SocketAddr;
use std::process::ExitCode;

const TIMEOUT_MS: u64 = 5_000;
/// Memory for which the length of an answer is bounded, in MB.
const MEMORY_MB: f64 = 64.0;
const LIMITS_PATH: &str = "/limits";
/// Columns of the table.
const COLUMNS: [&str; 8] =
    ["team", "class", "guaranteed", "limit", "used", "jobs", "left here", "refused here"];

/// What is read.
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

/// Why a controller could not be read.
#[derive(Debug, thiserror::Error)]
enum InspectError {
    #[error("{0}")]
    Runtime(#[from] std::io::Error),
    #[error("no answer; is it the administration listener of a node that runs?")]
    NoAnswer,
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
}

/// Prints the answer. Status 1, with one line, if the controller gives none.
pub fn run(command: &Inspect) -> ExitCode {
    let Inspect::Limits { at, json } = command;
    match read_limits(*at) {
        Ok((body, _)) if *json => println!("{body}"),
        Ok((_, limits)) => print!("{}", limits_table(&limits)),
        Err(error) => {
            eprintln!("basaltrail: {at}: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// The body of the answer, and the same parsed.
fn read_limits(at: SocketAddr) -> Result<(String, Limits), InspectError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let read = async { HttpClient::new(MEMORY_MB).read(at, LIMITS_PATH, TIMEOUT_MS).await };
    let body = runtime.block_on(read).ok_or(InspectError::NoAnswer)?;
    let limits = serde_json::from_slice(&body)?;
    Ok((String::from_utf8_lossy(&body).into_owned(), limits))
}

fn limits_table(limits: &Limits) -> String {
    let leader = limits.leader.as_deref().unwrap_or("none");
    let binding = if limits.allotted { "bind" } else { "do not bind" };
    let mut table = format!("{}, leader {leader}, allotments {binding}\n", limits.node);
    let mut rows = vec![COLUMNS.map(String::from)];
    rows.extend(limits.teams.iter().flat_map(team_rows));
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..COLUMNS.len()).map(width).collect();
    for row in &rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        table.push_str(line.trim_end());
        table.push('\n');
    }
    table
}

/// One row for each class; one for the team if it has none.
fn team_rows(team: &Team) -> Vec<[String; COLUMNS.len()]> {
    if team.classes.is_empty() {
        return vec![row(team, None)];
    }
    team.classes.iter().map(|class| row(team, Some(class))).collect()
}

fn row(team: &Team, class: Option<&Class>) -> [String; COLUMNS.len()] {
    let class_name = |class: &Class| class.class.clone().unwrap_or("(others)".into());
    [
        team.team.clone(),
        class.map_or("-".into(), class_name),
        amount(Some(team.guaranteed)),
        amount(team.limit),
        amount(team.used),
        class.map_or("0".into(), |class| class.jobs.to_string()),
        remaining_quota(class.and_then(|class| class.left)),
        team.refused.to_string(),
    ]
}

fn amount(value: Option<f64>) -> String {
    value.map_or("-".into(), |value| value.to_string())
}

fn remaining_quota(left: Option<Room>) -> String {
    left.map_or("-".into(), |left| format!("{} jobs, {:.0} CPU s", left.jobs, left.work))
}
