use super::*;
use crate::model::Revision;
use crate::settings::fixtures::{machine_type, settings};

/// A controller that is the only one without the store answers its users 503, so it must become
/// unready while others can serve them. In an outage of the store no controller can, so it stays
/// ready for longer.
#[test]
fn a_controller_that_alone_lost_the_store_is_not_ready() {
    let mut controller = Controller::new(Arc::new(settings()), 1);
    controller.job_watch.record_page(Revision(1));
    controller.job_watch.complete_list(0);
    controller.machine_types = MachineTypes::with_known(vec![machine_type()]);
    controller.last_store_reply_at = 10_000;
    let mut is_ready_at = |now, last_peer_progress_at| {
        (controller.now, controller.last_peer_progress_at) = (now, last_peer_progress_at);
        controller.is_ready()
    };
    assert!(is_ready_at(13_000, 12_900));
    assert!(!is_ready_at(14_000, 13_900), "a leader is active");
    assert!(is_ready_at(14_000, 11_000), "there is no leader");
    assert!(is_ready_at(20_000, 11_000));
    assert!(!is_ready_at(20_001, 11_000));
}
