use super::*;

/// Four failures of one faulty array must not quarantine the machine that its tasks were packed on.
#[test]
fn quarantine_requires_failures_of_different_jobs() {
    let mut health = MachineHealth::default();
    for _ in 0..20 {
        health.record_failure(JobId(1), 1_000);
    }
    assert!(!health.is_quarantined(None, 2_000, 10_000));
    health.record_failure(JobId(2), 2_000);
    assert!(health.is_quarantined(None, 2_000, 10_000));
    health.record_success();
    assert!(!health.is_quarantined(None, 2_000, 10_000));
    // With a single job, which avoids the machine, an idle lease after its failure is enough.
    health.record_failure(JobId(1), 3_000);
    assert!(!health.is_quarantined(Some(3_000), 12_000, 10_000));
    assert!(health.is_quarantined(Some(3_000), 13_001, 10_000));
    assert!(!MachineHealth::default().is_quarantined(Some(0), 90_000, 10_000));
}
