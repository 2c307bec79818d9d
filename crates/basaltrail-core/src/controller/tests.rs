use super::*;
use crate::model::Revision;
use crate::settings::sample::{a_type, settings};

/// A controller that alone lost the store would answer its users 503 for as long as it looked
/// ready. In an outage of all there is no better controller to send them to.
#[test]
fn a_controller_that_alone_lost_the_store_is_not_ready() {
    let mut controller = Controller::new(Arc::new(settings()), 1);
    controller.job_watch.page_read(Revision(1));
    controller.job_watch.list_completed(0);
    controller.types = MachineTypes::with_known(vec![a_type()]);
    controller.store_reachable_at = 10_000;
    let mut ready_at = |now, leader_heard_at| {
        (controller.now, controller.leader_heard_at) = (now, leader_heard_at);
        controller.ready()
    };
    assert!(ready_at(13_000, 12_900));
    assert!(!ready_at(14_000, 13_900), "a leader is heard");
    assert!(ready_at(14_000, 11_000), "nobody leads");
    assert!(ready_at(20_000, 11_000));
    assert!(!ready_at(20_001, 11_000));
}
