//! Crash-loop detection of jobs, and the back-off that follows.
//!
//! A job that was submitted with a mistake fails wherever it runs; a faulty machine fails
//! whatever runs on it. So a job is judged by its failures on different machines, and a machine by
//! different jobs that ended well elsewhere ([`crate::machines::health`]).

use crate::model::{MachineId, Ms};
use std::collections::{BTreeMap, BTreeSet};

/// Machines in a row on which a job fails before it is in a crash loop; twice as many once a
/// task of it has ended well.
const CRASH_LOOP_MACHINES: usize = 2;
/// The machines that are kept for each purpose at the most: it bounds the memory of one job.
const MAX_MACHINES: usize = 64;
/// Worker leases for which a job avoids a machine on which it failed.
const AVOID_LEASES: Ms = 3;
/// The first back-off of a job in a crash loop, in milliseconds.
const FIRST_BACK_OFF_MS: Ms = 500;
/// Doublings of the back-off at the most: 500 ms doubled seven times is 64 s.
const MAX_BACK_OFF_DOUBLINGS: u32 = 7;

/// Failures and successes of a job, and what follows for its next tries.
#[derive(Debug, Default)]
pub struct JobHealth {
    /// A task of it has ended well.
    succeeded: bool,
    /// Machines on which it failed since a task of it last ended well.
    failed_machines: BTreeSet<MachineId>,
    /// Machines that it avoids, and until when.
    avoided: BTreeMap<MachineId, Ms>,
    /// Failed tries since it is in a crash loop.
    failed_tries: u32,
    /// No try before.
    back_off_until: Ms,
    /// The previous leader found it in a crash loop.
    recovered_as_crash_looping: bool,
}

impl JobHealth {
    /// Whether a task of it has ended well, under this leader or an earlier one.
    pub fn has_succeeded(&self) -> bool {
        self.succeeded
    }

    /// Takes what the previous leader recorded: that it is in a crash loop, or has work done.
    pub fn recover(&mut self, crash_looping: bool, succeeded: bool) {
        self.recovered_as_crash_looping = crash_looping && !self.succeeded;
        self.succeeded |= succeeded;
    }

    /// Whether it fails wherever it runs: then one task at a time tries again, so that its
    /// failures take neither room nor machines from others, nor preempt them.
    pub fn is_crash_looping(&self) -> bool {
        let machines = CRASH_LOOP_MACHINES << self.succeeded as u32;
        self.recovered_as_crash_looping || self.failed_machines.len() >= machines
    }

    /// Tasks that may be placed beside the `placed` ones.
    pub fn max_new_tasks(&self, placed: usize) -> u32 {
        match self.is_crash_looping() {
            true => 1u32.saturating_sub(placed as u32),
            false => u32::MAX,
        }
    }

    /// When its back-off ends; 0 if there was none.
    pub fn back_off_until(&self) -> Ms {
        self.back_off_until
    }

    /// Whether it avoids the machine now.
    pub fn avoids(&self, machine: &MachineId, now: Ms) -> bool {
        self.avoided.get(machine).is_some_and(|until| now < *until)
    }

    /// When it stops avoiding the next of the machines on which it failed.
    pub fn avoids_until(&self, now: Ms) -> Option<Ms> {
        self.avoided.values().filter(|until| **until > now).min().copied()
    }

    /// A task failed on a machine; true if it is the first there since one last ended well.
    pub fn record_failure(&mut self, machine: &MachineId, now: Ms, lease_ms: Ms) -> bool {
        if self.avoided.len() >= MAX_MACHINES {
            self.avoided.retain(|_, until| *until > now);
        }
        if self.avoided.len() < MAX_MACHINES {
            self.avoided.insert(machine.clone(), now + AVOID_LEASES * lease_ms);
        }
        let first = self.failed_machines.len() < MAX_MACHINES
            && self.failed_machines.insert(machine.clone());
        // Tasks that were started together fail together: that is one try.
        if self.is_crash_looping() && now >= self.back_off_until {
            let doublings = self.failed_tries.min(MAX_BACK_OFF_DOUBLINGS);
            self.back_off_until = now + (FIRST_BACK_OFF_MS << doublings);
            self.failed_tries += 1;
        }
        first
    }

    /// A task ended well; returns the machines on which it failed before.
    pub fn record_success(&mut self, machine: &MachineId) -> BTreeSet<MachineId> {
        self.succeeded = true;
        self.recovered_as_crash_looping = false;
        self.failed_tries = 0;
        self.back_off_until = 0;
        self.avoided.remove(machine);
        std::mem::take(&mut self.failed_machines)
    }

    /// No try before `until`, for another reason than a failure.
    pub fn back_off(&mut self, until: Ms) {
        self.back_off_until = self.back_off_until.max(until);
    }
}

#[cfg(test)]
#[path = "crash_loop_tests.rs"]
mod tests;
