use super::*;
use crate::settings::sample::a_type;

/// Where machines are seen to come late they are waited for longer, but not for ever.
#[test]
fn late_is_what_has_not_been_seen() {
    let t = a_type();
    let mut b = ProvisioningTimes::default();
    assert_eq!(b.late_after(&t, "a", 0), 50_000);
    b.came(&t, "a", 1_000, 1_000);
    assert_eq!(b.late_after(&t, "a", 2_000), 50_000, "quick ones promise nothing");
    b.came(&t, "a", 1_000, 45_000);
    assert_eq!(b.late_after(&t, "a", 2_000), 67_500);
    assert_eq!(b.late_after(&t, "b", 2_000), 50_000);
    for _ in 0..14 {
        b.came(&t, "a", 1_000, 12_000);
    }
    assert_eq!(b.late_after(&t, "a", 2_000), 50_000, "one straggler");
    for _ in 0..3 {
        b.came(&t, "a", 1_000, 900_000);
    }
    assert_eq!(b.late_after(&t, "a", 2_000), 120_000);
    assert_eq!(b.never_after(&t, "a", 2_000), 140_000);
    assert_eq!(b.never_after(&t, "b", 2_000), 80_000);
    assert_eq!(b.late_after(&t, "a", 500_000), 50_000, "long ago");
    let odd = |boot_s| b.late_after(&MachineType { boot_s, ..a_type() }, "a", 0);
    assert!(odd(0.0) > 0 && odd(f64::MAX) < Ms::MAX / 2);
}

/// A zone where machines do not come is tried with a few, and trusted once they come.
#[test]
fn a_zone_in_trouble_is_tried_with_few() {
    let t = a_type();
    let mut b = ProvisioningTimes::default();
    let late = |n: usize, coming: usize, t| {
        let late = (0..n).map(move |_| (t, "a", true));
        late.chain((0..coming).map(move |_| (t, "a", false)))
    };
    b.count(late(1, 50, &t));
    assert_eq!(b.room(&t, "a", 0, 60_000), usize::MAX, "one may happen");
    b.count(late(30, 0, &t));
    assert_eq!(b.room(&t, "a", 0, 60_000), 2);
    assert_eq!(b.room(&t, "a", 1, 60_000), 1);
    assert_eq!(b.room(&t, "b", 0, 60_000), usize::MAX);
    b.count(late(30, 2, &t));
    assert_eq!(b.room(&t, "a", 0, 60_000), 0);
    for _ in 0..30 {
        b.missed(&t, "a", 80_000);
    }
    b.count(late(0, 0, &t));
    assert_eq!(b.room(&t, "a", 0, 81_000), 2, "given back is not forgotten");
    for i in 0..8 {
        b.came(&t, "a", 82_000 + i, 70_000);
    }
    assert_eq!(b.room(&t, "a", 0, 83_000), 2);
    assert_eq!(b.room(&t, "a", 0, 161_000), usize::MAX);
    for i in 0..1000 {
        b.came(&t, "a", 62_000 + i, 1_000);
    }
    assert!(b.zones[&("x".to_string(), "a".to_string())].came.len() <= KEPT);
}
