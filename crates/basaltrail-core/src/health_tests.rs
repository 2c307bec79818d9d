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
        m.count_failure(JobId(1), 1_000);
    }
    assert!(!m.faulty(None, 2_000, 10_000));
    m.count_failure(JobId(2), 2_000);
    assert!(m.faulty(None, 2_000, 10_000));
    m.ended_well();
    assert!(!m.faulty(None, 2_000, 10_000));
    // Only one job runs, and it keeps away.
    m.count_failure(JobId(1), 3_000);
    assert!(!m.faulty(Some(3_000), 12_000, 10_000));
    assert!(m.faulty(Some(3_000), 13_001, 10_000));
    assert!(!MachineHealth::default().faulty(Some(0), 90_000, 10_000));
}
