//! Quarantine of machines on which jobs fail that succeed on other machines.
//!
//! Jobs that fail on every machine are handled by [`crate::jobs::crash_loop`].

use crate::model::{JobId, Ms};
use std::collections::BTreeSet;

/// Number of different jobs whose failures quarantine a machine if no task succeeds on it between
/// them.
const QUARANTINE_JOBS: usize = 2;

/// The failures of jobs on one machine since a task last succeeded there. Only jobs that succeed on
/// other machines count.
#[derive(Debug, Default)]
pub struct MachineHealth {
    failed_jobs: BTreeSet<JobId>,
    /// Time at which a job was last added to `failed_jobs`.
    last_failure: Ms,
}

impl MachineHealth {
    /// Records the failure of a job. A job counts once, no matter how many of its tasks fail here.
    pub fn record_failure(&mut self, job: JobId, now: Ms) {
        if self.failed_jobs.len() < QUARANTINE_JOBS && self.failed_jobs.insert(job) {
            self.last_failure = now;
        }
    }

    /// Records that a task of any job succeeded on the machine, which clears the failures.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
    }

    /// Returns whether the machine gets no more tasks.
    ///
    /// Where few jobs run, one failed job is enough once the machine has been idle for a lease: if
    /// the only job avoids the machine, no second job can confirm the fault.
    pub fn is_quarantined(&self, idle_since: Option<Ms>, now: Ms, worker_lease_ms: Ms) -> bool {
        let avoided =
            || idle_since.is_some_and(|since| now > since.max(self.last_failure) + worker_lease_ms);
        self.failed_jobs.len() >= QUARANTINE_JOBS || (!self.failed_jobs.is_empty() && avoided())
    }
}

#[cfg(test)]
#[path = "health_tests.rs"]
mod tests;
