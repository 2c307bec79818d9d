use super::*;

fn listed(revision: Revision, sent_at: Ms) -> JobWatch {
    let mut watch = JobWatch::default();
    watch.record_sent(WatchKind::Waiting);
    watch.record_page(revision);
    watch.complete_list(sent_at);
    watch
}

#[test]
fn watch_starts_at_the_revision_of_the_first_page() {
    let mut watch = JobWatch::default();
    assert_eq!(watch.call_due(0), Some(JobWatchCall::List));
    watch.record_sent(WatchKind::Waiting);
    assert_eq!(watch.call_due(0), None);
    assert_eq!(
        (watch.record_page(Revision(7)), watch.record_page(Revision(9))),
        (Revision(7), Revision(7))
    );
    assert!(!watch.is_loaded());
    watch.complete_list(100);
    assert!(watch.is_loaded());
    assert_eq!(watch.call_due(200), Some(JobWatchCall::Watch { after: Revision(7) }));
    assert_eq!(watch.as_of(), Some(100));
}

#[test]
fn failed_list_restarts_from_the_first_page_after_a_delay() {
    let mut watch = JobWatch::default();
    watch.record_sent(WatchKind::Waiting);
    watch.record_page(Revision(7));
    watch.record_list_failure(500);
    assert_eq!(watch.call_due(499), None);
    assert_eq!(watch.call_due(500), Some(JobWatchCall::List));
    assert_eq!(watch.record_page(Revision(9)), Revision(9));
}

/// The age of the data counts from the time at which the call was sent. A call sent before the
/// leader lease was acquired may miss jobs that ended before the acquisition.
#[test]
fn freshness_counts_from_the_send_time_of_a_call_within_the_leader_lease() {
    let mut watch = listed(Revision(7), 100);
    assert!(watch.is_fresh(100, 300, 200) && !watch.is_fresh(101, 300, 200));
    assert!(!watch.is_fresh(100, 301, 200));
    watch.record_events(Revision(8), 250);
    // A late answer to an older watch resets neither the revision nor the time.
    watch.record_events(Revision(6), 150);
    assert_eq!((watch.revision(), watch.as_of()), (Some(Revision(8)), Some(250)));
}

#[test]
fn hanging_watch_causes_one_catch_up_call_at_a_time() {
    let mut watch = listed(Revision(7), 100);
    watch.record_sent(WatchKind::Waiting);
    assert_eq!(watch.catch_up_due(100, 300, 200), None);
    assert_eq!(watch.catch_up_due(100, 301, 200), Some(Revision(7)));
    watch.record_sent(WatchKind::CatchUp);
    assert_eq!(watch.catch_up_due(100, 301, 200), None);
    watch.record_answer(WatchKind::CatchUp, 400);
    assert_eq!(watch.catch_up_due(100, 399, 200), None);
    assert_eq!(watch.catch_up_due(100, 400, 200), Some(Revision(7)));
    watch.restart_list();
    assert_eq!(watch.catch_up_due(100, 400, 200), None);
    watch.record_answer(WatchKind::Waiting, 0);
    assert_eq!(watch.call_due(400), Some(JobWatchCall::List));
}
