use super::*;

fn machine(i: usize) -> MachineId {
    MachineId(format!("m-{i}").into())
}

/// All tasks of a correct array that were packed onto one faulty machine fail. If each failure
/// counted, the array would back off for a minute.
#[test]
fn failures_on_one_machine_are_not_a_crash_loop() {
    let mut health = JobHealth::default();
    assert!(health.record_failure(&machine(1), 1_000, 10_000));
    for _ in 0..20 {
        assert!(!health.record_failure(&machine(1), 1_000, 10_000));
    }
    assert!(
        !health.is_crash_looping()
            && health.back_off_until() == 0
            && health.max_new_tasks(7) == u32::MAX
    );
    assert!(health.avoids(&machine(1), 2_000) && !health.avoids(&machine(2), 2_000));
    assert!(!health.avoids(&machine(1), 40_000), "the avoidance has ended");
    assert_eq!(health.record_success(&machine(2)).len(), 1);
}

/// A faulty job runs one task at a time, with a growing back-off, until one succeeds.
#[test]
fn job_in_a_crash_loop_runs_one_task_at_a_time() {
    let mut health = JobHealth::default();
    for i in 0..30 {
        health.record_failure(&machine(i), 1_000, 10_000);
    }
    assert_eq!(
        (health.is_crash_looping(), health.max_new_tasks(0), health.max_new_tasks(1)),
        (true, 1, 0)
    );
    assert_eq!(health.back_off_until(), 1_500, "simultaneous failures cause one back-off");
    let mut now = health.back_off_until();
    for i in 0..100 {
        health.record_failure(&machine(100 + i), now, 10_000);
        assert!(health.back_off_until() > now && health.back_off_until() <= now + 64_000);
        now = health.back_off_until();
    }
    health.record_success(&machine(500));
    assert!(!health.is_crash_looping() && health.back_off_until() == 0);
}

/// A job with an earlier success may fail on more machines before it counts as crash-looping, and a
/// new leader keeps the crash loops that the previous one recorded.
#[test]
fn success_raises_the_threshold_and_recovery_keeps_a_crash_loop() {
    let mut health = JobHealth::default();
    health.record_success(&machine(0));
    health.record_failure(&machine(1), 0, 10_000);
    health.record_failure(&machine(2), 0, 10_000);
    assert!(!health.is_crash_looping());
    let mut recovered = JobHealth::default();
    recovered.recover(true, false);
    assert!(recovered.is_crash_looping() && recovered.max_new_tasks(0) == 1);
    recovered.record_success(&machine(1));
    assert!(!recovered.is_crash_looping());
}
