use super::*;
use crate::settings::sample::{a_type, settings};

/// A controller that alone lost the state service would answer its users 503 for as long as
/// it looked ready. In an outage of all there is no better controller to send them to.
#[test]
fn a_node_that_is_alone_without_the_state_service_is_not_ready() {
    let mut n = Controller::new(Arc::new(settings()), 1);
    n.job_watch.page(Revision(1));
    n.job_watch.listed(0);
    n.types = MachineTypes::of(vec![a_type()]);
    n.state_ok = 10_000;
    let mut ready_at = |now, leader_heard| {
        (n.now, n.leader_heard) = (now, leader_heard);
        n.ready()
    };
    assert!(ready_at(13_000, 12_900));
    assert!(!ready_at(14_000, 13_900), "a leader is heard");
    assert!(ready_at(14_000, 11_000), "nobody leads");
    assert!(ready_at(20_000, 11_000));
    assert!(!ready_at(20_001, 11_000));
}
