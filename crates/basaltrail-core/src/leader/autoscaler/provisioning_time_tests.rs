use super::*;
use crate::settings::sample::a_type;

/// Where machines are seen to be overdue they are waited for longer, but not without end.
#[test]
fn a_machine_is_overdue_by_what_was_observed() {
    let t = a_type();
    let mut times = ProvisioningTimes::default();
    assert_eq!(times.overdue_after(&t, "a", 0), 50_000);
    times.note_arrival(&t, "a", 1_000, 1_000);
    assert_eq!(times.overdue_after(&t, "a", 2_000), 50_000, "quick ones promise nothing");
    times.note_arrival(&t, "a", 1_000, 45_000);
    assert_eq!(times.overdue_after(&t, "a", 2_000), 67_500);
    assert_eq!(times.overdue_after(&t, "b", 2_000), 50_000);
    for _ in 0..14 {
        times.note_arrival(&t, "a", 1_000, 12_000);
    }
    assert_eq!(times.overdue_after(&t, "a", 2_000), 50_000, "one straggler");
    for _ in 0..3 {
        times.note_arrival(&t, "a", 1_000, 900_000);
    }
    assert_eq!(times.overdue_after(&t, "a", 2_000), 120_000);
    assert_eq!(times.abandoned_after(&t, "a", 2_000), 140_000);
    assert_eq!(times.abandoned_after(&t, "b", 2_000), 80_000);
    assert_eq!(times.overdue_after(&t, "a", 500_000), 50_000, "long ago");
    let odd = |boot_s| times.overdue_after(&MachineType { boot_s, ..a_type() }, "a", 0);
    assert!(odd(0.0) > 0 && odd(f64::MAX) < Ms::MAX / 2);
}

/// A zone where machines do not come is tried with a few, and trusted once they come.
#[test]
fn a_zone_in_trouble_is_tried_with_few_machines() {
    let t = a_type();
    let mut times = ProvisioningTimes::default();
    let late = |n: usize, coming: usize, t| {
        let machine = move |overdue| MachineOnItsWay { machine_type: t, zone: "a", overdue };
        let late = (0..n).map(move |_| machine(true));
        late.chain((0..coming).map(move |_| machine(false)))
    };
    times.count(late(1, 50, &t));
    assert_eq!(times.allowance(&t, "a", 0, 60_000), usize::MAX, "one may happen");
    times.count(late(30, 0, &t));
    assert_eq!(times.allowance(&t, "a", 0, 60_000), 2);
    assert_eq!(times.allowance(&t, "a", 1, 60_000), 1);
    assert_eq!(times.allowance(&t, "b", 0, 60_000), usize::MAX);
    times.count(late(30, 2, &t));
    assert_eq!(times.allowance(&t, "a", 0, 60_000), 0);
    for _ in 0..30 {
        times.note_abandoned(&t, "a", 80_000);
    }
    times.count(late(0, 0, &t));
    assert_eq!(times.allowance(&t, "a", 0, 81_000), 2, "abandoned ones are not forgotten");
    for i in 0..8 {
        times.note_arrival(&t, "a", 82_000 + i, 70_000);
    }
    assert_eq!(times.allowance(&t, "a", 0, 83_000), 2);
    assert_eq!(times.allowance(&t, "a", 0, 161_000), usize::MAX);
    for i in 0..1000 {
        times.note_arrival(&t, "a", 62_000 + i, 1_000);
    }
    assert!(times.zones[&("x".to_string(), "a".to_string())].arrivals.len() <= MAX_OBSERVATIONS);
}
