use super::*;

fn need(unfinished_cpus: f64, blocked: bool) -> TeamNeed {
    TeamNeed { unfinished_cpus, blocked }
}

/// The wait counts from the first pass that found no room, and begins anew once one did.
#[test]
fn a_wait_lasts_while_the_team_stays_within_its_guarantee() {
    let mut waits = GuaranteeWaits::default();
    let mut note = |now, team| {
        waits.note(now, [(8.0, team)].into_iter());
        (waits.overdue(0, now, 1_000), waits.next_overdue(now, 1_000))
    };
    assert_eq!(note(100, need(8.0, true)), (false, Some(1_100)));
    assert_eq!(note(600, need(8.0, true)), (false, Some(1_100)));
    assert_eq!(note(1_100, need(8.0, true)), (true, None));
    assert_eq!(note(1_200, need(8.0, false)), (false, None), "it found room");
    assert_eq!(note(1_300, need(8.0, true)), (false, Some(2_300)));
    assert_eq!(note(2_400, need(9.0, true)), (false, None), "beyond its guarantee");
    assert!(!waits.overdue(7, 9_999, 0), "no such team");
}
