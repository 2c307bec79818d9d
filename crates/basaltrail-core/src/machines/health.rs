//! Quarantine of machines on which jobs fail that end well elsewhere.
//!
//! The counterpart, jobs that fail on every machine, is [`crate::jobs::crash_loop`].

use crate::model::{JobId, Ms};
use std::collections::BTreeSet;

/// Different jobs that ended well elsewhere and failed on a machine, none ending well there
/// between, for the machine to be quarantined.
const QUARANTINE_JOBS: usize = 2;

/// Jobs that failed on a machine and ended well elsewhere, since one last ended well there.
#[derive(Debug, Default)]
pub struct MachineHealth {
    failed_jobs: BTreeSet<JobId>,
    /// When the last of them was added.
    last_failure: Ms,
}

impl MachineHealth {
    /// A job failed. Its failures count once, however many of its tasks were there.
    pub fn record_failure(&mut self, job: JobId, now: Ms) {
        if self.failed_jobs.len() < QUARANTINE_JOBS && self.failed_jobs.insert(job) {
            self.last_failure = now;
        }
    }

    /// A task of any job ended well on the machine.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
    }

    /// Whether the machine gets no more work. Where few jobs run, one failed job is enough
    /// once the machine has been idle for a lease: nobody else confirms the fault while the
    /// only job avoids the machine.
    pub fn is_quarantined(&self, idle_since: Option<Ms>, now: Ms, lease_ms: Ms) -> bool {
        let avoided =
            || idle_since.is_some_and(|since| now > since.max(self.last_failure) + lease_ms);
        self.failed_jobs.len() >= QUARANTINE_JOBS || (!self.failed_jobs.is_empty() && avoided())
    }
}

#[cfg(test)]
#[path = "health_tests.rs"]
mod tests;
