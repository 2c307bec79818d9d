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
mod tests {
    use super::*;

    #[test]
    fn every_name_has_one_spelling() {
        assert_eq!(job("job-000412"), Some(JobId(412)));
        assert_eq!(job("job-1000412"), Some(JobId(1_000_412)));
        for bad in [
            "job-412",
            "job-0000412",
            "job-00041x",
            "job-+00412",
            "Job-000412",
            "",
            "job-",
            "job-99999999999999999999999",
        ] {
            assert_eq!(job(bad), None, "{bad}");
        }
        for n in [0, 7, 999_999, 1_000_000, u64::MAX] {
            assert_eq!(job(&job_name(JobId(n))), Some(JobId(n)));
        }
        assert_eq!(task("job-000412/3").map(|t| t.index), Some(3));
        assert_eq!(task("job-000412/+3"), None);
        assert_eq!(task("job-000412"), None);
    }
}
