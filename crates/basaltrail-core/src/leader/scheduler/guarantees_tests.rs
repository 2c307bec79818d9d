use super::*;

fn demand(unfinished_cpus: f64, blocked: bool) -> TeamDemand {
    TeamDemand { unfinished_cpus, blocked }
}

/// A wait starts at the first cycle that leaves the team blocked, and starts again after a cycle in
/// which the team was not blocked.
#[test]
fn a_team_waits_while_it_is_blocked_within_its_guarantee() {
    let mut waits = GuaranteeWaits::default();
    let mut update = |now, demand| {
        waits.update(now, [(8.0, demand)].into_iter());
        (waits.is_overdue(0, now, 1_000), waits.next_overdue_at(now, 1_000))
    };
    assert_eq!(update(100, demand(8.0, true)), (false, Some(1_100)));
    assert_eq!(update(600, demand(8.0, true)), (false, Some(1_100)));
    assert_eq!(update(1_100, demand(8.0, true)), (true, None));
    assert_eq!(update(1_200, demand(8.0, false)), (false, None), "the team was not blocked");
    assert_eq!(update(1_300, demand(8.0, true)), (false, Some(2_300)));
    assert_eq!(update(2_400, demand(9.0, true)), (false, None), "the demand exceeds the guarantee");
    assert!(!waits.is_overdue(7, 9_999, 0), "unknown team");
}
