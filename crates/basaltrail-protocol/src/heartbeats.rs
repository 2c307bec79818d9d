//! Parses the heartbeats of workers and encodes the answers to them (PROTOCOL, Workers ->
//! controller nodes).

use crate::{names, Malformed};
use basaltrail_core::model::{
    AgentEpoch, Attempt, ExitReason, FencingToken, Heartbeat, TaskCommand, TaskState, TaskStatus,
};
use serde::{Deserialize, Serialize};

/// Maximum length of the endpoint, machine type or zone of a worker, in bytes.
const MAX_TEXT_BYTES: usize = 100;

/// A heartbeat on the wire, which PROTOCOL calls a report. The names of this type and of
/// [`LeafBody`] are part of the error message for a value that is not an object, so they must not
/// change.
#[derive(Deserialize)]
struct ReportBody {
    #[serde(rename = "stack")]
    machine: String,
    #[serde(default)]
    endpoint: String,
    #[serde(rename = "format")]
    machine_type: String,
    #[serde(rename = "room")]
    zone: String,
    #[serde(rename = "remainders", default)]
    spot: bool,
    #[serde(rename = "tenure")]
    agent_epoch: u64,
    #[serde(rename = "folio")]
    sequence: u64,
    #[serde(rename = "warrant", default)]
    token: u64,
    #[serde(rename = "recallS", default)]
    reclaim_notice_s: Option<f64>,
    #[serde(rename = "leaves")]
    tasks: Vec<LeafBody>,
}

/// The status of one task, which PROTOCOL calls a leaf.
#[derive(Deserialize)]
struct LeafBody {
    #[serde(rename = "leaf")]
    task: String,
    #[serde(rename = "printing")]
    attempt: u64,
    #[serde(rename = "condition")]
    state: String,
    #[serde(rename = "colophon", default)]
    exit_reason: Option<String>,
}

impl LeafBody {
    fn status(&self) -> Result<TaskStatus, Malformed> {
        let task = names::parse_task(&self.task).ok_or(Malformed::TaskName)?;
        let state = match self.state.as_str() {
            "fetching" => TaskState::Fetching,
            "running" => TaskState::Running,
            "flushing" => TaskState::Saving,
            "ended" => TaskState::Exited(self.exit_reason()),
            _ => return Err(Malformed::TaskState),
        };
        Ok(TaskStatus { task, attempt: Attempt(self.attempt), state })
    }

    /// Returns the exit reason. A missing or unknown reason counts as [`ExitReason::Error`].
    fn exit_reason(&self) -> ExitReason {
        match self.exit_reason.as_deref() {
            Some("done") => ExitReason::Done,
            Some("stopped") => ExitReason::Stopped,
            Some("no_room") => ExitReason::NoRoom,
            Some("in_use") => ExitReason::Busy,
            Some("unknown") => ExitReason::Unknown,
            _ => ExitReason::Error,
        }
    }
}

/// Parses a heartbeat.
///
/// # Errors
///
/// Fails if any part of the body is malformed, even a single task: a list without that task would
/// state that the task is not on the machine.
pub fn parse_heartbeat(body: &[u8]) -> Result<Heartbeat, Malformed> {
    let body: ReportBody = serde_json::from_slice(body)?;
    let machine =
        names::parse_machine(&body.machine).ok_or(Malformed::MachineName { field: "stack" })?;
    let texts = [&body.endpoint, &body.machine_type, &body.zone];
    if texts.iter().any(|text| text.len() > MAX_TEXT_BYTES) {
        return Err(Malformed::WorkerText);
    }
    let tasks: Result<Vec<TaskStatus>, Malformed> =
        body.tasks.iter().map(LeafBody::status).collect();
    Ok(Heartbeat {
        machine,
        endpoint: body.endpoint,
        machine_type: body.machine_type,
        zone: body.zone,
        spot: body.spot,
        agent_epoch: AgentEpoch(body.agent_epoch),
        sequence: body.sequence,
        token: FencingToken(body.token),
        reclaim_notice_s: body.reclaim_notice_s.filter(|seconds| seconds.is_finite()),
        tasks: tasks?,
    })
}

#[derive(Serialize)]
struct CommandsBody {
    #[serde(rename = "warrant")]
    token: u64,
    #[serde(rename = "orders")]
    commands: Vec<CommandBody>,
}

#[derive(Serialize)]
struct CommandBody {
    #[serde(rename = "order")]
    name: &'static str,
    #[serde(rename = "leaf")]
    task: String,
    #[serde(rename = "printing")]
    attempt: u64,
    #[serde(rename = "graceS", skip_serializing_if = "Option::is_none")]
    grace_s: Option<f64>,
}

impl From<&TaskCommand> for CommandBody {
    fn from(command: &TaskCommand) -> Self {
        let (name, task, attempt, grace_s) = match *command {
            TaskCommand::Start { task, attempt } => ("start", task, attempt, None),
            TaskCommand::Stop { task, attempt, grace_s } => ("kill", task, attempt, Some(grace_s)),
            TaskCommand::Forget { task, attempt } => ("forget", task, attempt, None),
        };
        CommandBody { name, task: names::task_name(task), attempt: attempt.0, grace_s }
    }
}

#[derive(Serialize)]
struct NotLeaderBody<'a> {
    #[serde(rename = "steward", skip_serializing_if = "Option::is_none")]
    leader: Option<&'a str>,
}

/// Returns the body of the leader's answer to a heartbeat (status 200).
pub fn commands_body(token: FencingToken, commands: &[TaskCommand]) -> String {
    let commands = commands.iter().map(CommandBody::from).collect();
    let body = CommandsBody { token: token.0, commands };
    // Serialization fails only for maps whose keys are not strings; the body has none.
    serde_json::to_string(&body).unwrap_or_default()
}

/// Returns the body of the answer of a controller that is not the leader (status 421). `leader` is
/// the name of the presumed leader.
pub fn not_leader_body(leader: Option<&str>) -> String {
    serde_json::to_string(&NotLeaderBody { leader }).unwrap_or_default()
}

#[cfg(test)]
#[path = "heartbeats_tests.rs"]
mod tests;
