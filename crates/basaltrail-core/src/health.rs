//! Whether what failed is a job or a machine.
//!
//! A job that was submitted with a mistake fails wherever it goes; a faulty machine fails
//! whatever comes. So a job is judged by different machines, and a machine by different
//! jobs that have ended well elsewhere.

use crate::model::*;
use std::collections::{BTreeMap, BTreeSet};

/// Machines in a row on which a job fails before it is held back; twice as many once a
/// task of it has ended well.
const SUSPECT: usize = 2;
/// Machines or jobs kept at the most for one judgement.
const KEPT: usize = 64;
/// Different jobs that ended well elsewhere and failed on a machine, none ending well there
/// between, for it to be faulty.
const FAULTY: usize = 2;
/// Leases for which a job keeps away from a machine where it failed.
const AVOID_LEASES: Ms = 3;
/// The longest pause between two tries of a job that fails everywhere.
const PAUSES: u32 = 7;
const FIRST_PAUSE_MS: Ms = 500;

/// How a job has fared.
#[derive(Debug, Default)]
pub struct JobHealth {
    /// A task of it has ended well.
    proven: bool,
    /// Machines on which it failed since a task of it last ended well.
    row: BTreeSet<MachineId>,
    /// Machines it keeps away from, and until when.
    avoided: BTreeMap<MachineId, Ms>,
    /// Tries in vain since it was held back.
    tries: u32,
    not_before: Ms,
    /// An earlier leader held it back.
    inherited: bool,
}

impl JobHealth {
    pub fn proven(&self) -> bool {
        self.proven
    }

    /// An earlier leader found that it fails everywhere, or that it has work done.
    pub fn inherit(&mut self, suspect: bool, proven: bool) {
        self.inherited = suspect && !self.proven;
        self.proven |= proven;
    }

    /// Whether it fails wherever it goes: then one task at a time tries again, so that its
    /// failures cost others neither room nor stops nor machines.
    pub fn suspect(&self) -> bool {
        self.inherited || self.row.len() >= SUSPECT << self.proven as u32
    }

    /// Tasks that may be placed beside those that are.
    pub fn room(&self, placed: usize) -> u32 {
        match self.suspect() {
            true => 1u32.saturating_sub(placed as u32),
            false => u32::MAX,
        }
    }

    pub fn not_before(&self) -> Ms {
        self.not_before
    }

    pub fn avoids(&self, machine: &MachineId, now: Ms) -> bool {
        self.avoided.get(machine).is_some_and(|until| now < *until)
    }

    /// When it may go to a machine again where it failed, if that is ahead.
    pub fn avoids_until(&self, now: Ms) -> Option<Ms> {
        self.avoided.values().filter(|until| **until > now).min().copied()
    }

    /// A task failed on a machine; true if it is the first there since it last ended well.
    pub fn failed(&mut self, machine: &MachineId, now: Ms, lease_ms: Ms) -> bool {
        if self.avoided.len() >= KEPT {
            self.avoided.retain(|_, until| *until > now);
        }
        if self.avoided.len() < KEPT {
            self.avoided.insert(machine.clone(), now + AVOID_LEASES * lease_ms);
        }
        let first = self.row.len() < KEPT && self.row.insert(machine.clone());
        // Tasks that were started together fail together: that is one try.
        if self.suspect() && now >= self.not_before {
            self.not_before = now + (FIRST_PAUSE_MS << self.tries.min(PAUSES));
            self.tries += 1;
        }
        first
    }

    /// A task ended well; gives the machines on which it failed before.
    pub fn ended_well(&mut self, machine: &MachineId) -> BTreeSet<MachineId> {
        self.proven = true;
        self.inherited = false;
        self.tries = 0;
        self.not_before = 0;
        self.avoided.remove(machine);
        std::mem::take(&mut self.row)
    }

    /// No try before then, for another reason than a failure.
    pub fn pause(&mut self, until: Ms) {
        self.not_before = self.not_before.max(until);
    }
}

/// Jobs that failed on a machine and ended well elsewhere, since one ended well there.
#[derive(Debug, Default)]
pub struct MachineHealth {
    failed_jobs: BTreeSet<JobId>,
    since: Ms,
}

impl MachineHealth {
    /// Failures of one job count once, however many of its tasks were there.
    pub fn count_failure(&mut self, job: JobId, now: Ms) {
        if self.failed_jobs.len() < FAULTY && self.failed_jobs.insert(job) {
            self.since = now;
        }
    }

    pub fn ended_well(&mut self) {
        self.failed_jobs.clear();
    }

    /// Whether it gets no more work. Where few jobs run, one must do: nobody else comes
    /// to bear it out while the only job keeps away.
    pub fn faulty(&self, idle_since: Option<Ms>, now: Ms, lease_ms: Ms) -> bool {
        let alone = || idle_since.is_some_and(|t| now > t.max(self.since) + lease_ms);
        self.failed_jobs.len() >= FAULTY || (!self.failed_jobs.is_empty() && alone())
    }
}

#[cfg(test)]
#[path = "health_tests.rs"]
mod tests;
