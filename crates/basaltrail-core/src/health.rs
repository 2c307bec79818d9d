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
    blamed_by: BTreeSet<JobId>,
    since: Ms,
}

impl MachineHealth {
    /// Failures of one job count once, however many of its tasks were there.
    pub fn blame(&mut self, job: JobId, now: Ms) {
        if self.blamed_by.len() < FAULTY && self.blamed_by.insert(job) {
            self.since = now;
        }
    }

    pub fn ended_well(&mut self) {
        self.blamed_by.clear();
    }

    /// Whether it gets no more work. Where few jobs run, one must do: nobody else comes
    /// to bear it out while the only job keeps away.
    pub fn faulty(&self, idle_since: Option<Ms>, now: Ms, lease_ms: Ms) -> bool {
        let alone = || idle_since.is_some_and(|t| now > t.max(self.since) + lease_ms);
        self.blamed_by.len() >= FAULTY || (!self.blamed_by.is_empty() && alone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn machine(i: usize) -> MachineId {
        MachineId(format!("m-{i}").into())
    }

    /// One bad machine fails all tasks of a good array that were packed there: were each a
    /// failure of its own, the array would pause for a minute.
    #[test]
    fn one_bad_machine_does_not_hold_a_good_job_back() {
        let mut h = JobHealth::default();
        assert!(h.failed(&machine(1), 1_000, 10_000));
        for _ in 0..20 {
            assert!(!h.failed(&machine(1), 1_000, 10_000));
        }
        assert!(!h.suspect() && h.not_before() == 0 && h.room(7) == u32::MAX);
        assert!(h.avoids(&machine(1), 2_000) && !h.avoids(&machine(2), 2_000));
        assert!(!h.avoids(&machine(1), 40_000), "it may be tried there again");
        assert_eq!(h.ended_well(&machine(2)).len(), 1);
    }

    /// A job with a mistake tries one task at a time, at growing pauses, until one ends well.
    #[test]
    fn a_job_that_fails_everywhere_tries_alone() {
        let mut h = JobHealth::default();
        for i in 0..30 {
            h.failed(&machine(i), 1_000, 10_000);
        }
        assert_eq!((h.suspect(), h.room(0), h.room(1)), (true, 1, 0));
        assert_eq!(h.not_before(), 1_500, "what failed together is one try");
        let mut now = h.not_before();
        for i in 0..100 {
            h.failed(&machine(100 + i), now, 10_000);
            assert!(h.not_before() > now && h.not_before() <= now + 64_000);
            now = h.not_before();
        }
        h.ended_well(&machine(500));
        assert!(!h.suspect() && h.not_before() == 0);
    }

    /// A job that has ended well before is believed for longer; a new leader believes the
    /// one before it.
    #[test]
    fn what_was_known_counts() {
        let mut h = JobHealth::default();
        h.ended_well(&machine(0));
        h.failed(&machine(1), 0, 10_000);
        h.failed(&machine(2), 0, 10_000);
        assert!(!h.suspect());
        let mut heir = JobHealth::default();
        heir.inherit(true, false);
        assert!(heir.suspect() && heir.room(0) == 1);
        heir.ended_well(&machine(1));
        assert!(!heir.suspect());
    }

    /// Four failures of one faulty array must not condemn the machine it was packed on.
    #[test]
    fn a_machine_is_judged_by_different_jobs() {
        let mut m = MachineHealth::default();
        for _ in 0..20 {
            m.blame(JobId(1), 1_000);
        }
        assert!(!m.faulty(None, 2_000, 10_000));
        m.blame(JobId(2), 2_000);
        assert!(m.faulty(None, 2_000, 10_000));
        m.ended_well();
        assert!(!m.faulty(None, 2_000, 10_000));
        // Only one job runs, and it keeps away.
        m.blame(JobId(1), 3_000);
        assert!(!m.faulty(Some(3_000), 12_000, 10_000));
        assert!(m.faulty(Some(3_000), 13_001, 10_000));
        assert!(!MachineHealth::default().faulty(Some(0), 90_000, 10_000));
    }
}
