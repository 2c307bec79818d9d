use super::*;
use crate::settings::fixtures::machine_type;

/// Where machines were observed to come up late, the autoscaler waits longer, but not forever.
#[test]
fn overdue_and_abandoned_ages_follow_observed_boot_times() {
    let t = machine_type();
    let mut times = ProvisioningTimes::default();
    assert_eq!(times.overdue_after(&t, "a", 0), 50_000);
    times.record_arrival(&t, "a", 1_000, 1_000);
    assert_eq!(times.overdue_after(&t, "a", 2_000), 50_000, "fast boots do not shorten the wait");
    times.record_arrival(&t, "a", 1_000, 45_000);
    assert_eq!(times.overdue_after(&t, "a", 2_000), 67_500);
    assert_eq!(times.overdue_after(&t, "b", 2_000), 50_000);
    for _ in 0..14 {
        times.record_arrival(&t, "a", 1_000, 12_000);
    }
    assert_eq!(times.overdue_after(&t, "a", 2_000), 50_000, "a single straggler does not count");
    for _ in 0..3 {
        times.record_arrival(&t, "a", 1_000, 900_000);
    }
    assert_eq!(times.overdue_after(&t, "a", 2_000), 120_000);
    assert_eq!(times.abandoned_after(&t, "a", 2_000), 140_000);
    assert_eq!(times.abandoned_after(&t, "b", 2_000), 80_000);
    assert_eq!(times.overdue_after(&t, "a", 500_000), 50_000, "old observations do not count");
    let overdue_after_boot_of =
        |boot_s| times.overdue_after(&MachineType { boot_s, ..machine_type() }, "a", 0);
    assert!(overdue_after_boot_of(0.0) > 0 && overdue_after_boot_of(f64::MAX) < Ms::MAX / 2);
}

/// In a zone where machines do not come up, only a few are tried until machines come up again.
#[test]
fn few_machines_are_requested_in_a_zone_where_most_are_overdue() {
    let t = machine_type();
    let mut times = ProvisioningTimes::default();
    let booting = |overdue: usize, on_time: usize, t| {
        let machine = move |overdue| BootingMachine { machine_type: t, zone: "a", overdue };
        let booting = (0..overdue).map(move |_| machine(true));
        booting.chain((0..on_time).map(move |_| machine(false)))
    };
    times.count_booting(booting(1, 50, &t));
    assert_eq!(
        times.request_allowance(&t, "a", 0, 60_000),
        usize::MAX,
        "a single overdue machine does not count"
    );
    times.count_booting(booting(30, 0, &t));
    assert_eq!(times.request_allowance(&t, "a", 0, 60_000), 2);
    assert_eq!(times.request_allowance(&t, "a", 1, 60_000), 1);
    assert_eq!(times.request_allowance(&t, "b", 0, 60_000), usize::MAX);
    times.count_booting(booting(30, 2, &t));
    assert_eq!(times.request_allowance(&t, "a", 0, 60_000), 0);
    for _ in 0..30 {
        times.record_abandonment(&t, "a", 80_000);
    }
    times.count_booting(booting(0, 0, &t));
    assert_eq!(times.request_allowance(&t, "a", 0, 81_000), 2, "abandoned machines still count");
    for i in 0..8 {
        times.record_arrival(&t, "a", 82_000 + i, 70_000);
    }
    assert_eq!(times.request_allowance(&t, "a", 0, 83_000), 2);
    assert_eq!(times.request_allowance(&t, "a", 0, 161_000), usize::MAX);
    for i in 0..1000 {
        times.record_arrival(&t, "a", 62_000 + i, 1_000);
    }
    assert!(times.zones[&("x".to_string(), "a".to_string())].arrivals.len() <= MAX_OBSERVATIONS);
}
