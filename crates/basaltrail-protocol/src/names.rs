//! Names of jobs, tasks and machines as they are written.

use basaltrail_core::model::*;

/// Digits that ids are padded to.
const DIGITS: usize = 6;

/// Numbers stay below 2^64; a name has one spelling only.
fn number(text: &str) -> Option<u64> {
    let plain = text.len() >= DIGITS && text.bytes().all(|b| b.is_ascii_digit());
    if !plain || (text.len() > DIGITS && text.starts_with('0')) {
        return None;
    }
    text.parse().ok()
}

pub fn job(text: &str) -> Option<JobId> {
    number(text.strip_prefix("job-")?).map(JobId)
}

pub fn job_name(job: JobId) -> String {
    format!("job-{job}")
}

pub fn task(text: &str) -> Option<TaskId> {
    let (name, index) = text.split_once('/')?;
    let plain = !index.is_empty() && index.bytes().all(|b| b.is_ascii_digit());
    let job = job(name)?;
    plain.then_some(())?;
    Some(TaskId { job, index: index.parse().ok()? })
}

pub fn task_name(task: TaskId) -> String {
    format!("job-{}/{}", task.job, task.index)
}

pub fn machine(text: &str) -> Option<MachineId> {
    let ok =
        text.starts_with("m-") && text.len() <= 40 && text.bytes().all(|b| b.is_ascii_graphic());
    ok.then(|| MachineId(text.into()))
}

#[cfg(test)]
#[path = "names_tests.rs"]
mod tests;
