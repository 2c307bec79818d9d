//! The spelling of jobs, tasks and machines. Each has one spelling only, so that names can be
//! compared as text.

use basaltrail_core::model::{JobId, MachineId, TaskId};

/// Digits to which the numbers of jobs are padded.
const JOB_DIGITS: usize = 6;
/// Prefix of a job's name.
const JOB_PREFIX: &str = "job-";
/// Prefix of a machine's name.
const MACHINE_PREFIX: &str = "m-";
/// Longest name of a machine, in bytes.
const MAX_MACHINE_NAME: usize = 40;

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Parses the padded number of a job; it must be below 2^64.
fn parse_number(text: &str) -> Option<u64> {
    if !is_digits(text) || text.len() < JOB_DIGITS {
        return None;
    }
    let is_over_padded = text.len() > JOB_DIGITS && text.starts_with('0');
    if is_over_padded {
        return None;
    }
    text.parse().ok()
}

/// Parses `job-NNNNNN`.
pub fn parse_job(text: &str) -> Option<JobId> {
    parse_number(text.strip_prefix(JOB_PREFIX)?).map(JobId)
}

/// The name of a job: `job-NNNNNN`.
pub fn job_name(job: JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Parses `job-NNNNNN/INDEX`.
pub fn parse_task(text: &str) -> Option<TaskId> {
    let (job, index) = text.split_once('/')?;
    if !is_digits(index) {
        return None;
    }
    Some(TaskId { job: parse_job(job)?, index: index.parse().ok()? })
}

/// The name of a task: `job-NNNNNN/INDEX`.
pub fn task_name(task: TaskId) -> String {
    format!("{JOB_PREFIX}{}/{}", task.job, task.index)
}

/// Parses the name of a machine: `m-` and printable ASCII characters, as the cloud chose them.
pub fn parse_machine(text: &str) -> Option<MachineId> {
    let is_name = text.starts_with(MACHINE_PREFIX)
        && text.len() <= MAX_MACHINE_NAME
        && text.bytes().all(|byte| byte.is_ascii_graphic());
    is_name.then(|| MachineId(text.into()))
}

#[cfg(test)]
#[path = "names_tests.rs"]
mod tests;
