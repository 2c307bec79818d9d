//! Heartbeats of workers and the commands that answer them.

use crate::{names, Malformed};
use basaltrail_core::model::*;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct HeartbeatBody {
    stack: String,
    #[serde(default)]
    endpoint: String,
    format: String,
    room: String,
    #[serde(default)]
    remainders: bool,
    tenure: u64,
    folio: u64,
    #[serde(default)]
    warrant: u64,
    #[serde(default)]
    recall_s: Option<f64>,
    leaves: Vec<LeafBody>,
}

#[derive(Deserialize)]
struct LeafBody {
    leaf: String,
    printing: u64,
    condition: String,
    #[serde(default)]
    colophon: Option<String>,
}

/// Reads a heartbeat. One task that cannot be read spoils the whole heartbeat: a list
/// with a gap would tell us that something is not there.
pub fn heartbeat(body: &[u8]) -> Result<Heartbeat, Malformed> {
    let r: HeartbeatBody = serde_json::from_slice(body)?;
    let machine = names::machine(&r.stack).ok_or(Malformed::Field("stack is not a name"))?;
    if r.endpoint.len() > 100 || r.format.len() > 100 || r.room.len() > 100 {
        return Err(Malformed::Field("a name is too long"));
    }
    let reclaim_notice_s = r.recall_s.filter(|s| s.is_finite());
    let mut tasks = Vec::with_capacity(r.leaves.len());
    for l in r.leaves {
        let task = names::task(&l.leaf).ok_or(Malformed::Field("leaf is not a task"))?;
        let state = match l.condition.as_str() {
            "fetching" => TaskState::Fetching,
            "running" => TaskState::Running,
            "flushing" => TaskState::Saving,
            "ended" => TaskState::Exited(match l.colophon.as_deref() {
                Some("done") => ExitReason::Done,
                Some("stopped") => ExitReason::Stopped,
                Some("no_room") => ExitReason::NoRoom,
                Some("in_use") => ExitReason::Busy,
                Some("unknown") => ExitReason::Unknown,
                _ => ExitReason::Error,
            }),
            _ => return Err(Malformed::Field("condition is not known")),
        };
        tasks.push(TaskStatus { task, attempt: Attempt(l.printing), state });
    }
    Ok(Heartbeat {
        machine,
        endpoint: r.endpoint,
        machine_type: r.format,
        zone: r.room,
        spot: r.remainders,
        agent_epoch: AgentEpoch(r.tenure),
        sequence: r.folio,
        token: FencingToken(r.warrant),
        reclaim_notice_s,
        tasks,
    })
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct OrderBody {
    order: &'static str,
    leaf: String,
    printing: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    grace_s: Option<f64>,
}

#[derive(Serialize)]
struct OrdersBody {
    warrant: u64,
    orders: Vec<OrderBody>,
}

#[derive(Serialize)]
struct NotLeaderBody<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    steward: Option<&'a str>,
}

/// The body of a response to a heartbeat.
pub fn commands(token: FencingToken, commands: &[TaskCommand]) -> String {
    let orders = commands
        .iter()
        .map(|o| {
            let (order, task, attempt, grace_s) = match *o {
                TaskCommand::Start { task, attempt } => ("start", task, attempt, None),
                TaskCommand::Stop { task, attempt, grace_s } => {
                    ("kill", task, attempt, Some(grace_s))
                }
                TaskCommand::Forget { task, attempt } => ("forget", task, attempt, None),
            };
            OrderBody { order, leaf: names::task_name(task), printing: attempt.0, grace_s }
        })
        .collect();
    serde_json::to_string(&OrdersBody { warrant: token.0, orders }).unwrap_or_default()
}

pub fn not_leader(leader: Option<&str>) -> String {
    serde_json::to_string(&NotLeaderBody { steward: leader }).unwrap_or_default()
}

#[cfg(test)]
#[path = "workers_tests.rs"]
mod tests;
