//! Submissions and their answers.

use crate::{names, Malformed};
use basaltrail_core::answer::Answer;
use basaltrail_core::model::*;
use serde::{Deserialize, Serialize};

/// The most tasks one job may have.
pub const TASKS_MOST: u32 = 100_000;
/// Longest text in a submission that we keep.
const TEXT_MOST: usize = 200;
const LIST_MOST: usize = 64;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Submission {
    name_id: String,
    shelf: String,
    desk: String,
    binding: String,
    precedence: Precedence,
    leaves: u32,
    vcpus: f64,
    gpus: f64,
    ram_gb: f64,
    edition: String,
    size_gb: f64,
    #[serde(default)]
    formats: Option<Vec<String>>,
    #[serde(default)]
    room: Option<String>,
    same_place: bool,
    apart: bool,
    remainders: bool,
    reckon_s: f64,
    bookmark_s: f64,
    press_s: f64,
    #[serde(default)]
    due_s: Option<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Precedence {
    Critical,
    Urgent,
    Standard,
    BestEffort,
}

/// Reads a submission; the error says what is wrong with it.
pub fn submission(body: &[u8]) -> Result<(JobId, JobSpec), Malformed> {
    let s: Submission = serde_json::from_slice(body)?;
    let field = |ok: bool, what| if ok { Ok(()) } else { Err(Malformed::Field(what)) };
    let amount = |x: f64| x.is_finite() && (0.0..=1e12).contains(&x);
    let text = |t: &str| !t.is_empty() && t.len() <= TEXT_MOST;
    let job =
        names::job(&s.name_id).ok_or(Malformed::Field("nameId is not of the form job-NNNNNN"))?;
    let kind = match s.binding.as_str() {
        "array" => JobKind::Array,
        "daemon" => JobKind::Service,
        _ => return Err(Malformed::Field("binding must be array or daemon")),
    };
    field((1..=TASKS_MOST).contains(&s.leaves), "leaves must be 1 to 100000")?;
    field(amount(s.vcpus) && s.vcpus > 0.0, "vcpus must be above 0")?;
    field(amount(s.gpus), "gpus must be 0 or more")?;
    field(amount(s.ram_gb), "ramGb must be 0 or more")?;
    field(amount(s.size_gb), "sizeGb must be 0 or more")?;
    field(amount(s.reckon_s), "reckonS must be 0 or more")?;
    field(amount(s.bookmark_s), "bookmarkS must be 0 or more")?;
    field(amount(s.press_s), "pressS must be 0 or more")?;
    field(s.due_s.is_none_or(amount), "dueS must be 0 or more")?;
    field(text(&s.shelf) && text(&s.desk) && text(&s.edition), "a name is empty or too long")?;
    field(s.room.as_deref().is_none_or(text), "room is empty or too long")?;
    let formats_ok = |f: &Vec<String>| f.len() <= LIST_MOST && f.iter().all(|t| text(t));
    field(s.formats.as_ref().is_none_or(formats_ok), "formats is not a list of types")?;
    let priority = match s.precedence {
        Precedence::Critical => Priority::Production,
        Precedence::Urgent => Priority::High,
        Precedence::Standard => Priority::Normal,
        Precedence::BestEffort => Priority::Low,
    };
    let spec = JobSpec {
        kind,
        class: s.shelf,
        team: s.desk,
        priority,
        tasks: s.leaves,
        cpus: s.vcpus,
        gpus: s.gpus,
        memory_gb: s.ram_gb,
        types: s.formats,
        zone: s.room,
        one_zone: s.same_place,
        spread: s.apart,
        spot: s.remainders,
        image: s.edition,
        image_gb: s.size_gb,
        estimate_s: s.reckon_s,
        checkpoint_s: s.bookmark_s,
        save_s: s.press_s,
        // What never ends has no date.
        deadline_s: s.due_s.filter(|_| kind == JobKind::Array),
    };
    Ok((job, spec))
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct JobBody {
    name_id: String,
    condition: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

/// Status, body and `Retry-After` of an answer to a user.
pub fn answer(answer: &Answer) -> (u16, String, Option<u32>) {
    let json = |b: &JobBody| serde_json::to_string(b).unwrap_or_default();
    match answer {
        Answer::Created { job } => {
            let b = JobBody {
                name_id: names::job_name(*job),
                condition: "queued",
                done: None,
                running: None,
            };
            (201, json(&b), None)
        }
        Answer::Job { job, status, done, running } => {
            let condition = match status {
                JobStatus::Queued => "queued",
                JobStatus::Running => "running",
                JobStatus::Done => "done",
                JobStatus::Cancelled => "aborted",
            };
            let live = matches!(status, JobStatus::Queued | JobStatus::Running);
            let b = JobBody {
                name_id: names::job_name(*job),
                condition,
                done: live.then_some(*done),
                running: live.then_some(*running),
            };
            (200, json(&b), None)
        }
        Answer::Invalid(reason) => (400, error(&reason.to_string()), None),
        Answer::Unschedulable(reason) => (422, error(&reason.to_string()), None),
        Answer::NotFound => (404, error("no such job"), None),
        Answer::Unavailable { retry_after_s, reason } => {
            (503, error(&reason.to_string()), Some(*retry_after_s))
        }
        Answer::Commands { .. } | Answer::NotLeader { .. } | Answer::Limits(_) => {
            (500, error("not for users"), None)
        }
    }
}

pub fn error(why: &str) -> String {
    serde_json::to_string(&ErrorBody { error: why.into() }).unwrap_or_default()
}

#[cfg(test)]
#[path = "jobs_tests.rs"]
mod tests;
