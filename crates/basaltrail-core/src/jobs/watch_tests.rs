use super::*;

fn listed(revision: Revision, sent: Ms) -> JobWatch {
    let mut watch = JobWatch::default();
    watch.sent(WatchKind::Waiting);
    watch.page_read(revision);
    watch.list_completed(sent);
    watch
}

#[test]
fn the_watch_begins_where_the_first_page_was_read() {
    let mut watch = JobWatch::default();
    assert_eq!(watch.call_due(0), Some(JobWatchCall::List));
    watch.sent(WatchKind::Waiting);
    assert_eq!(watch.call_due(0), None);
    assert_eq!(
        (watch.page_read(Revision(7)), watch.page_read(Revision(9))),
        (Revision(7), Revision(7))
    );
    assert!(!watch.is_loaded());
    watch.list_completed(100);
    assert!(watch.is_loaded());
    assert_eq!(watch.call_due(200), Some(JobWatchCall::Watch { after: Revision(7) }));
    assert_eq!(watch.as_of(), Some(100));
}

#[test]
fn a_list_that_failed_begins_again_after_a_pause() {
    let mut watch = JobWatch::default();
    watch.sent(WatchKind::Waiting);
    watch.page_read(Revision(7));
    watch.list_failed(500);
    assert_eq!(watch.call_due(499), None);
    assert_eq!(watch.call_due(500), Some(JobWatchCall::List));
    assert_eq!(watch.page_read(Revision(9)), Revision(9));
}

/// What a call tells is as old as its sending; and one that was sent before the lease was acquired
/// tells nothing of what ended until then.
#[test]
fn what_is_known_is_as_fresh_as_the_sending_of_a_call_under_the_lease() {
    let mut watch = listed(Revision(7), 100);
    assert!(watch.is_fresh(100, 300, 200) && !watch.is_fresh(101, 300, 200));
    assert!(!watch.is_fresh(100, 301, 200));
    watch.events_received(Revision(8), 250);
    // An older watch that is answered later takes nothing back.
    watch.events_received(Revision(6), 150);
    assert_eq!((watch.revision(), watch.as_of()), (Some(Revision(8)), Some(250)));
}

#[test]
fn a_watch_that_hangs_is_overtaken_once_at_a_time() {
    let mut watch = listed(Revision(7), 100);
    watch.sent(WatchKind::Waiting);
    assert_eq!(watch.catch_up_due(100, 300, 200), None);
    assert_eq!(watch.catch_up_due(100, 301, 200), Some(Revision(7)));
    watch.sent(WatchKind::CatchUp);
    assert_eq!(watch.catch_up_due(100, 301, 200), None);
    watch.answered(WatchKind::CatchUp, 400);
    assert_eq!(watch.catch_up_due(100, 399, 200), None);
    assert_eq!(watch.catch_up_due(100, 400, 200), Some(Revision(7)));
    watch.restart_list();
    assert_eq!(watch.catch_up_due(100, 400, 200), None);
    watch.answered(WatchKind::Waiting, 0);
    assert_eq!(watch.call_due(400), Some(JobWatchCall::List));
}
