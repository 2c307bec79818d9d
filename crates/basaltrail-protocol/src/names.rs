//! Parses and formats the names of jobs, tasks and machines. Every identifier has exactly one valid
//! name, so names can be compared as text.

use basaltrail_core::model::{JobId, MachineId, TaskId};

/// Number of digits to which the numbers of jobs are padded with zeros.
const MIN_JOB_DIGITS: usize = 6;
/// Prefix of job names.
const JOB_PREFIX: &str = "job-";
/// Prefix of machine names.
const MACHINE_PREFIX: &str = "m-";
/// Maximum length of a machine name, in bytes.
const MAX_MACHINE_NAME_BYTES: usize = 40;

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

/// Parses the padded number of a job. Returns `None` if the padding is wrong or the number is not
/// below 2^64.
fn parse_number(text: &str) -> Option<u64> {
    if !is_digits(text) || text.len() < MIN_JOB_DIGITS {
        return None;
    }
    let has_extra_padding = text.len() > MIN_JOB_DIGITS && text.starts_with('0');
    if has_extra_padding {
        return None;
    }
    text.parse().ok()
}

/// Parses a job name of the form `job-NNNNNN`.
pub fn parse_job(text: &str) -> Option<JobId> {
    parse_number(text.strip_prefix(JOB_PREFIX)?).map(JobId)
}

/// Returns the name of a job: `job-NNNNNN`.
pub fn job_name(job: JobId) -> String {
    format!("{JOB_PREFIX}{job}")
}

/// Parses a task name of the form `job-NNNNNN/INDEX`.
pub fn parse_task(text: &str) -> Option<TaskId> {
    let (job, index) = text.split_once('/')?;
    if !is_digits(index) {
        return None;
    }
    Some(TaskId { job: parse_job(job)?, index: index.parse().ok()? })
}

/// Returns the name of a task: `job-NNNNNN/INDEX`.
pub fn task_name(task: TaskId) -> String {
    format!("{JOB_PREFIX}{}/{}", task.job, task.index)
}

/// Parses a machine name, which the cloud assigns: `m-` and printable ASCII characters.
pub fn parse_machine(text: &str) -> Option<MachineId> {
    let is_valid = text.starts_with(MACHINE_PREFIX)
        && text.len() <= MAX_MACHINE_NAME_BYTES
        && text.bytes().all(|byte| byte.is_ascii_graphic());
    is_valid.then(|| MachineId(text.into()))
}

#[cfg(test)]
#[path = "names_tests.rs"]
mod tests;
