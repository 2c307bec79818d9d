//! Crash-loop detection and back-off of jobs.
//!
//! A job with a faulty specification fails on every machine; on a faulty machine, every job fails.
//! A job is therefore judged by its failures on different machines, and a machine by the failures
//! of different jobs that succeed elsewhere ([`crate::machines::health`]).

use crate::model::{MachineId, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// The number of machines on which a job must fail, without a success in between, to be in a crash
/// loop. It doubles once a task of the job has succeeded.
const CRASH_LOOP_MACHINES: usize = 2;
/// The maximum size of each of a job's collections of machines, which bounds its memory.
const MAX_MACHINES: usize = 64;
/// The time for which a job avoids a machine on which it failed, in worker leases.
const AVOIDANCE_LEASES: Ms = 3;
/// The first back-off of a job in a crash loop, in milliseconds.
const FIRST_BACK_OFF_MS: Ms = 500;
/// The maximum number of doublings of the back-off: 500 ms doubled seven times is 64 s.
const MAX_BACK_OFF_DOUBLINGS: u32 = 7;

/// Recent failures and successes of a job, which determine where and when its tasks start next.
#[derive(Debug, Default)]
pub struct JobHealth {
    /// True if a task of the job has ever succeeded.
    succeeded: bool,
    /// Machines on which the job failed since its last success.
    failed_machines: BTreeSet<MachineId>,
    /// Machines that the job avoids, with the end of the avoidance.
    avoided: BTreeMap<MachineId, Ms>,
    /// Number of back-offs since the crash loop began; tasks that fail together cause only one.
    back_off_count: u32,
    /// The earliest time at which another task may start.
    back_off_until: Ms,
    /// True if the previous leader recorded a crash loop and no task has succeeded since.
    recovered_as_crash_looping: bool,
}

impl JobHealth {
    /// Returns whether a task of the job has succeeded, under this leader or an earlier one.
    pub fn has_succeeded(&self) -> bool {
        self.succeeded
    }

    /// Applies the records of the previous leader: whether the job is in a crash loop, and whether
    /// any of its tasks has completed.
    pub fn recover(&mut self, crash_looping: bool, succeeded: bool) {
        self.recovered_as_crash_looping = crash_looping && !self.succeeded;
        self.succeeded |= succeeded;
    }

    /// Returns whether the job is in a crash loop. If so, it runs one task at a time, so that its
    /// failures neither take capacity from other jobs nor preempt them.
    pub fn is_crash_looping(&self) -> bool {
        let machines = CRASH_LOOP_MACHINES << self.succeeded as u32;
        self.recovered_as_crash_looping || self.failed_machines.len() >= machines
    }

    /// Returns the number of tasks that may be placed in addition to the `placed` ones.
    pub fn max_new_tasks(&self, placed: usize) -> u32 {
        match self.is_crash_looping() {
            true => 1u32.saturating_sub(placed as u32),
            false => u32::MAX,
        }
    }

    /// Returns the end of the back-off; 0 if there was none.
    pub fn back_off_until(&self) -> Ms {
        self.back_off_until
    }

    /// Returns whether the job avoids the machine now.
    pub fn avoids(&self, machine: &MachineId, now: Ms) -> bool {
        self.avoided.get(machine).is_some_and(|until| now < *until)
    }

    /// Returns the earliest time at which the job stops avoiding a machine.
    pub fn next_avoidance_end(&self, now: Ms) -> Option<Ms> {
        self.avoided.values().filter(|until| **until > now).min().copied()
    }

    /// Records that a task failed on a machine. Returns whether it is the job's first failure there
    /// since its last success; always false once `MAX_MACHINES` such machines are recorded.
    pub fn record_failure(&mut self, machine: &MachineId, now: Ms, worker_lease_ms: Ms) -> bool {
        if self.avoided.len() >= MAX_MACHINES {
            self.avoided.retain(|_, until| *until > now);
        }
        if self.avoided.len() < MAX_MACHINES {
            self.avoided.insert(machine.clone(), now + AVOIDANCE_LEASES * worker_lease_ms);
        }
        let is_first = self.failed_machines.len() < MAX_MACHINES
            && self.failed_machines.insert(machine.clone());
        // Tasks that were started together fail together and must cause only one back-off.
        if self.is_crash_looping() && now >= self.back_off_until {
            let doublings = self.back_off_count.min(MAX_BACK_OFF_DOUBLINGS);
            self.back_off_until = now + (FIRST_BACK_OFF_MS << doublings);
            self.back_off_count += 1;
        }
        is_first
    }

    /// Records that a task succeeded on a machine. Returns the machines on which the job failed
    /// since its previous success.
    pub fn record_success(&mut self, machine: &MachineId) -> BTreeSet<MachineId> {
        self.succeeded = true;
        self.recovered_as_crash_looping = false;
        self.back_off_count = 0;
        self.back_off_until = 0;
        self.avoided.remove(machine);
        std::mem::take(&mut self.failed_machines)
    }

    /// Extends the back-off to at least `until`, for a reason other than a failure.
    pub fn extend_back_off(&mut self, until: Ms) {
        self.back_off_until = self.back_off_until.max(until);
    }
}

#[cfg(test)]
#[path = "crash_loop_tests.rs"]
mod tests;
