//! Parses job submissions and encodes the answers to users (PROTOCOL, Users -> controller nodes).

use crate::{names, Malformed};
use basaltrail_core::answer::Answer;
use basaltrail_core::model::{JobId, JobKind, JobSpec, JobStatus, Priority};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;
/// Maximum length of a text in a submission, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// Maximum number of machine types that a job may list.
const MAX_MACHINE_TYPES: usize = 64;
/// Upper bound of every amount in a submission, in any unit. No deployment has larger amounts.
const MAX_AMOUNT: f64 = 1e12;

/// A submission on the wire. The names of this type and of [`Precedence`] are part of the error
/// message for a value of the wrong type, so they must not change.
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

/// The priority of a job on the wire.
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
        if !is_valid_amount(self.cpus) || self.cpus == 0.0 {
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
        match amounts.into_iter().find(|(_, amount)| !is_valid_amount(*amount)) {
            Some((field, _)) => Err(Malformed::Negative { field }),
            None => Ok(()),
        }
    }

    fn check_texts(&self) -> Result<(), Malformed> {
        let texts = [&self.class, &self.team, &self.image];
        if !texts.into_iter().all(|text| is_valid_text(text)) {
            return Err(Malformed::JobText);
        }
        if !self.zone.as_deref().is_none_or(is_valid_text) {
            return Err(Malformed::Zone);
        }
        let types = self.machine_types.as_deref().unwrap_or_default();
        if types.len() > MAX_MACHINE_TYPES || !types.iter().all(|name| is_valid_text(name)) {
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
            // A service has no deadline, because it runs until it is cancelled.
            deadline_s: self.deadline_s.filter(|_| kind == JobKind::Array),
        }
    }
}

fn is_valid_amount(amount: f64) -> bool {
    (0.0..=MAX_AMOUNT).contains(&amount)
}

fn is_valid_text(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TEXT_BYTES
}

/// Parses a submission.
///
/// # Errors
///
/// Fails if a field is missing, has the wrong type or is out of range. The error describes the
/// first such field.
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
    /// Value of the `Retry-After` header in seconds, if the response has that header.
    pub retry_after_s: Option<u32>,
}

impl UserResponse {
    fn with_job(status: u16, body: &JobBody) -> Self {
        let body = serde_json::to_string(body).unwrap_or_default();
        UserResponse { status, body, retry_after_s: None }
    }

    fn with_error(status: u16, reason: impl fmt::Display) -> Self {
        UserResponse { status, body: error_body(&reason.to_string()), retry_after_s: None }
    }
}

#[derive(Serialize)]
struct JobBody {
    #[serde(rename = "nameId")]
    name: String,
    #[serde(rename = "condition")]
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    running: Option<u32>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Returns the wire name of a job status.
fn status_name(status: JobStatus) -> &'static str {
    match status {
        JobStatus::Queued => "queued",
        JobStatus::Running => "running",
        JobStatus::Done => "done",
        JobStatus::Cancelled => "aborted",
    }
}

/// Returns the HTTP response for an answer to a user.
pub fn user_response(answer: &Answer) -> UserResponse {
    match answer {
        Answer::Created { job } => {
            let status = status_name(JobStatus::Queued);
            let name = names::job_name(*job);
            UserResponse::with_job(201, &JobBody { name, status, done: None, running: None })
        }
        Answer::Job { job, status, done, running } => {
            let is_active = matches!(status, JobStatus::Queued | JobStatus::Running);
            let body = JobBody {
                name: names::job_name(*job),
                status: status_name(*status),
                done: is_active.then_some(*done),
                running: is_active.then_some(*running),
            };
            UserResponse::with_job(200, &body)
        }
        Answer::Invalid(reason) => UserResponse::with_error(400, reason),
        Answer::Unschedulable(reason) => UserResponse::with_error(422, reason),
        Answer::NotFound => UserResponse::with_error(404, "no such job"),
        Answer::Unavailable { retry_after_s, reason } => {
            let retry_after_s = Some(*retry_after_s);
            UserResponse { retry_after_s, ..UserResponse::with_error(503, reason) }
        }
        Answer::Commands { .. } | Answer::NotLeader { .. } | Answer::Limits(_) => {
            UserResponse::with_error(500, "not for users")
        }
    }
}

/// Returns the body of a response to a failed request, with the reason of the failure.
pub fn error_body(reason: &str) -> String {
    serde_json::to_string(&ErrorBody { error: reason }).unwrap_or_default()
}

#[cfg(test)]
#[path = "submissions_tests.rs"]
mod tests;
