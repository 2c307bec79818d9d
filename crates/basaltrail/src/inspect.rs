//! The `inspect` commands, which query a running controller through its administration listener.

use crate::clients::HttpClient;
use basaltrail_protocol::administration::{Class, Limits, Room, Team};
use clap::Subcommand;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Time limit of the request, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;
/// Memory from which the client derives its limit on response bodies, in MB.
const CLIENT_MEMORY_MB: f64 = 64.0;
const LIMITS_PATH: &str = "/limits";
/// Column headers of the table of limits.
const COLUMNS: [&str; 8] =
    ["team", "class", "guaranteed", "limit", "used", "jobs", "quota left", "refusals"];

/// The `inspect` commands.
#[derive(Subcommand)]
pub enum InspectCommand {
    /// Shows the guarantee, limit, use, backlog, quota and refusals of each team and class
    Limits {
        /// Address of the controller's administration listener
        #[arg(long, value_name = "ADDRESS")]
        at: SocketAddr,
        /// Print the response as JSON, unchanged
        #[arg(long)]
        json: bool,
    },
}

/// Reasons why a controller could not be queried.
#[derive(Debug, thiserror::Error)]
enum InspectError {
    #[error("{0}")]
    Runtime(#[from] std::io::Error),
    #[error("no response; check that this is the administration listener of a running controller")]
    NoResponse,
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
}

/// Runs a command and prints its result. On failure, prints one line on standard error and returns
/// exit status 1.
pub fn run(command: &InspectCommand) -> ExitCode {
    let InspectCommand::Limits { at: address, json } = command;
    match read_limits(*address) {
        Ok((body, _)) if *json => println!("{body}"),
        Ok((_, limits)) => print!("{}", limits_table(&limits)),
        Err(error) => {
            eprintln!("basaltrail: {address}: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Reads the limits of a controller. Returns the response body and its parsed form.
fn read_limits(address: SocketAddr) -> Result<(String, Limits), InspectError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let response =
        async { HttpClient::new(CLIENT_MEMORY_MB).get(address, LIMITS_PATH, TIMEOUT_MS).await };
    let body = runtime.block_on(response).ok_or(InspectError::NoResponse)?;
    let limits = serde_json::from_slice(&body)?;
    Ok((String::from_utf8_lossy(&body).into_owned(), limits))
}

fn limits_table(limits: &Limits) -> String {
    let leader = limits.leader.as_deref().unwrap_or("none");
    let quota_state = if limits.allotted { "enforced" } else { "not enforced" };
    let mut table = format!("{}, leader {leader}, quotas {quota_state}\n", limits.node);
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

/// Returns one row for each class of a team, or one row for the team if it has no classes.
fn team_rows(team: &Team) -> Vec<[String; COLUMNS.len()]> {
    if team.classes.is_empty() {
        return vec![table_row(team, None)];
    }
    team.classes.iter().map(|class| table_row(team, Some(class))).collect()
}

fn table_row(team: &Team, class: Option<&Class>) -> [String; COLUMNS.len()] {
    let class_name = |class: &Class| class.class.clone().unwrap_or("(others)".into());
    [
        team.team.clone(),
        class.map_or("-".into(), class_name),
        format_amount(Some(team.guaranteed)),
        format_amount(team.limit),
        format_amount(team.used),
        class.map_or("0".into(), |class| class.jobs.to_string()),
        format_quota(class.and_then(|class| class.left)),
        team.refused.to_string(),
    ]
}

fn format_amount(value: Option<f64>) -> String {
    value.map_or("-".into(), |value| value.to_string())
}

fn format_quota(remaining: Option<Room>) -> String {
    remaining.map_or("-".into(), |quota| format!("{} jobs, {:.0} CPU s", quota.jobs, quota.work))
}
