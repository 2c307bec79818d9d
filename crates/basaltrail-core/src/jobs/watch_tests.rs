use super::*;

fn listed(revision: Revision, sent: Ms) -> JobWatch {
    let mut view = JobWatch::default();
    view.sent(WatchKind::Waiting);
    view.page(revision);
    view.listed(sent);
    view
}

#[test]
fn the_watch_begins_where_the_first_page_was_read() {
    let mut view = JobWatch::default();
    assert_eq!(view.call_due(0), Some(JobWatchCall::List));
    view.sent(WatchKind::Waiting);
    assert_eq!(view.call_due(0), None);
    assert_eq!((view.page(Revision(7)), view.page(Revision(9))), (Revision(7), Revision(7)));
    assert!(!view.is_loaded());
    view.listed(100);
    assert!(view.is_loaded());
    assert_eq!(view.call_due(200), Some(JobWatchCall::Watch { after: Revision(7) }));
    assert_eq!(view.as_of(), Some(100));
}

#[test]
fn a_list_that_failed_begins_again_after_a_pause() {
    let mut view = JobWatch::default();
    view.sent(WatchKind::Waiting);
    view.page(Revision(7));
    view.list_failed(500);
    assert_eq!(view.call_due(499), None);
    assert_eq!(view.call_due(500), Some(JobWatchCall::List));
    assert_eq!(view.page(Revision(9)), Revision(9));
}

/// What a call tells is as old as its sending; and one that was sent before the right began
/// tells nothing of what ended until then.
#[test]
fn knowledge_is_fresh_by_the_sending_of_a_call_within_the_right() {
    let mut view = listed(Revision(7), 100);
    assert!(view.is_fresh(100, 300, 200) && !view.is_fresh(101, 300, 200));
    assert!(!view.is_fresh(100, 301, 200));
    view.news(Revision(8), 250);
    // An older watch that is answered later takes nothing back.
    view.news(Revision(6), 150);
    assert_eq!((view.revision(), view.as_of()), (Some(Revision(8)), Some(250)));
}

#[test]
fn a_watch_that_hangs_is_overtaken_once_at_a_time() {
    let mut view = listed(Revision(7), 100);
    view.sent(WatchKind::Waiting);
    assert_eq!(view.catch_up_due(100, 300, 200), None);
    assert_eq!(view.catch_up_due(100, 301, 200), Some(Revision(7)));
    view.sent(WatchKind::CatchUp);
    assert_eq!(view.catch_up_due(100, 301, 200), None);
    view.answered(WatchKind::CatchUp, 400);
    assert_eq!(view.catch_up_due(100, 399, 200), None);
    assert_eq!(view.catch_up_due(100, 400, 200), Some(Revision(7)));
    view.compacted();
    assert_eq!(view.catch_up_due(100, 400, 200), None);
    view.answered(WatchKind::Waiting, 0);
    assert_eq!(view.call_due(400), Some(JobWatchCall::List));
}
