//! Submissions of jobs, and the answers to users (PROTOCOL, Users -> controller nodes).

use crate::{names, Malformed};
use basaltrail_core::answer::Answer;
use basaltrail_core::model::{JobId, JobKind, JobSpec, JobStatus, Priority};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Tasks of a job at the most.
pub const MAX_TASKS: u32 = 100_000;
/// Longest text in a submission, in bytes.
const MAX_TEXT: usize = 200;
/// Machine types of a job at the most.
const MAX_MACHINE_TYPES: usize = 64;
/// Amounts above this are refused, whatever they measure: no deployment has them.
const MAX_AMOUNT: f64 = 1e12;

/// A submission as it is on the wire. The name of the type, like that of [`Precedence`], is part
/// of the message about a body that is no object.
#[derive(Deserialize)]
struct Submission {
    #[serde(rename = "nameId")]
    name: String,
    #[serde(rename = "shelf")]
    class: String,
    #[serde(rename = "desk")]
    team: String,
    #[serde(rename = "binding")]
    kind: String,
    #[serde(rename = "precedence")]
    priority: Precedence,
    #[serde(rename = "leaves")]
    tasks: u32,
    #[serde(rename = "vcpus")]
    cpus: f64,
    gpus: f64,
    #[serde(rename = "ramGb")]
    memory_gb: f64,
    #[serde(rename = "edition")]
    image: String,
    #[serde(rename = "sizeGb")]
    image_gb: f64,
    #[serde(rename = "formats", default)]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "room", default)]
    zone: Option<String>,
    #[serde(rename = "samePlace")]
    one_zone: bool,
    #[serde(rename = "apart")]
    spread: bool,
    #[serde(rename = "remainders")]
    spot: bool,
    #[serde(rename = "reckonS")]
    estimate_s: f64,
    #[serde(rename = "bookmarkS")]
    checkpoint_s: f64,
    #[serde(rename = "pressS")]
    save_s: f64,
    #[serde(rename = "dueS", default)]
    deadline_s: Option<f64>,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Precedence {
    Critical,
    Urgent,
    Standard,
    BestEffort,
}

impl From<Precedence> for Priority {
    fn from(priority: Precedence) -> Self {
        match priority {
            Precedence::Critical => Priority::Production,
            Precedence::Urgent => Priority::High,
            Precedence::Standard => Priority::Normal,
            Precedence::BestEffort => Priority::Low,
        }
    }
}

impl Submission {
    fn job(&self) -> Result<JobId, Malformed> {
        names::parse_job(&self.name).ok_or(Malformed::JobName)
    }

    fn kind(&self) -> Result<JobKind, Malformed> {
        match self.kind.as_str() {
            "array" => Ok(JobKind::Array),
            "daemon" => Ok(JobKind::Service),
            _ => Err(Malformed::JobKind),
        }
    }

    fn check_amounts(&self) -> Result<(), Malformed> {
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return Err(Malformed::TaskCount);
        }
        if !is_amount(self.cpus) || self.cpus == 0.0 {
            return Err(Malformed::NotPositive { field: "vcpus" });
        }
        let amounts = [
            ("gpus", self.gpus),
            ("ramGb", self.memory_gb),
            ("sizeGb", self.image_gb),
            ("reckonS", self.estimate_s),
            ("bookmarkS", self.checkpoint_s),
            ("pressS", self.save_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ];
        match amounts.into_iter().find(|(_, amount)| !is_amount(*amount)) {
            Some((field, _)) => Err(Malformed::Negative { field }),
            None => Ok(()),
        }
    }

    fn check_texts(&self) -> Result<(), Malformed> {
        let texts = [&self.class, &self.team, &self.image];
        if !texts.into_iter().all(|text| is_text(text)) {
            return Err(Malformed::JobText);
        }
        if !self.zone.as_deref().is_none_or(is_text) {
            return Err(Malformed::Zone);
        }
        let types = self.machine_types.as_deref().unwrap_or_default();
        if types.len() > MAX_MACHINE_TYPES || !types.iter().all(|name| is_text(name)) {
            return Err(Malformed::MachineTypes);
        }
        Ok(())
    }

    fn into_spec(self, kind: JobKind) -> JobSpec {
        JobSpec {
            kind,
            class: self.class,
            team: self.team,
            priority: self.priority.into(),
            tasks: self.tasks,
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
            types: self.machine_types,
            zone: self.zone,
            one_zone: self.one_zone,
            spread: self.spread,
            spot: self.spot,
            image: self.image,
            image_gb: self.image_gb,
            estimate_s: self.estimate_s,
            checkpoint_s: self.checkpoint_s,
            save_s: self.save_s,
            // A service never ends, so its deadline means nothing.
            deadline_s: self.deadline_s.filter(|_| kind == JobKind::Array),
        }
    }
}

fn is_amount(amount: f64) -> bool {
    (0.0..=MAX_AMOUNT).contains(&amount)
}

fn is_text(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TEXT
}

/// Parses a submission.
///
/// # Errors
///
/// If a field is missing, of another type, or out of its range; the first such field is named.
pub fn parse_submission(body: &[u8]) -> Result<(JobId, JobSpec), Malformed> {
    let submission: Submission = serde_json::from_slice(body)?;
    let job = submission.job()?;
    let kind = submission.kind()?;
    submission.check_amounts()?;
    submission.check_texts()?;
    Ok((job, submission.into_spec(kind)))
}

/// An HTTP response to a user.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UserResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
    /// `Retry-After`, in seconds, if the response has the header.
    pub retry_after_s: Option<u32>,
}

impl UserResponse {
    fn job(status: u16, body: &JobBody) -> Self {
        let body = serde_json::to_string(body).unwrap_or_default();
        UserResponse { status, body, retry_after_s: None }
    }

    fn error(status: u16, reason: impl fmt::Display) -> Self {
        UserResponse { status, body: error_body(&reason.to_string()), retry_after_s: None }
    }
}

#[derive(Serialize)]
struct JobBody {
    #[serde(rename = "nameId")]
    name: String,
    condition: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// The wire name of a job's status.
fn condition(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Queued => "queued",
        JobStatus::Running => "running",
        JobStatus::Done => "done",
        JobStatus::Cancelled => "aborted",
    }
}

/// The response that carries an answer to a user.
pub fn user_response(answer: &Answer) -> UserResponse {
    match answer {
        Answer::Created { job } => {
            let condition = condition(JobStatus::Queued);
            let name = names::job_name(*job);
            UserResponse::job(201, &JobBody { name, condition, done: None, running: None })
        }
        Answer::Job { job, status, done, running } => {
            let is_live = matches!(status, JobStatus::Queued | JobStatus::Running);
            let body = JobBody {
                name: names::job_name(*job),
                condition: condition(*status),
                done: is_live.then_some(*done),
                running: is_live.then_some(*running),
            };
            UserResponse::job(200, &body)
        }
        Answer::Invalid(reason) => UserResponse::error(400, reason),
        Answer::Unschedulable(reason) => UserResponse::error(422, reason),
        Answer::NotFound => UserResponse::error(404, "no such job"),
        Answer::Unavailable { retry_after_s, reason } => {
            let retry_after_s = Some(*retry_after_s);
            UserResponse { retry_after_s, ..UserResponse::error(503, reason) }
        }
        Answer::Commands { .. } | Answer::NotLeader { .. } | Answer::Limits(_) => {
            UserResponse::error(500, "not for users")
        }
    }
}

/// The body of a response that says why a request failed.
pub fn error_body(reason: &str) -> String {
    serde_json::to_string(&ErrorBody { error: reason }).unwrap_or_default()
}

#[cfg(test)]
#[path = "submissions_tests.rs"]
mod tests;
