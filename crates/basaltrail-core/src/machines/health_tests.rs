use super::*;

/// Four failures of one faulty array must not condemn the machine it was packed on.
#[test]
fn a_machine_is_quarantined_by_different_jobs() {
    let mut health = MachineHealth::default();
    for _ in 0..20 {
        health.record_failure(JobId(1), 1_000);
    }
    assert!(!health.is_quarantined(None, 2_000, 10_000));
    health.record_failure(JobId(2), 2_000);
    assert!(health.is_quarantined(None, 2_000, 10_000));
    health.record_success();
    assert!(!health.is_quarantined(None, 2_000, 10_000));
    // Only one job runs, and it avoids the machine.
    health.record_failure(JobId(1), 3_000);
    assert!(!health.is_quarantined(Some(3_000), 12_000, 10_000));
    assert!(health.is_quarantined(Some(3_000), 13_001, 10_000));
    assert!(!MachineHealth::default().is_quarantined(Some(0), 90_000, 10_000));
}
