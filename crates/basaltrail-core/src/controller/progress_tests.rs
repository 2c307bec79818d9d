use super::*;
use crate::events::LogEvent;
use crate::io::{KeyValue, WatchEvent};
use crate::jobs::watch::WatchKind;
use crate::model::Revision;
use crate::settings::fixtures::settings;
use crate::store::records::{encode, RunStateRecord};
use std::sync::Arc;

const JOB: JobId = JobId(5);

fn record(revision: u64, is_running: bool) -> KeyValue {
    KeyValue {
        key: run_state_key(JOB),
        value: encode(&RunStateRecord { is_running }),
        mod_revision: Revision(revision),
        lease_id: None,
    }
}

fn deletion(revision: u64) -> WatchEvent {
    WatchEvent::Delete { key: run_state_key(JOB), mod_revision: Revision(revision) }
}

fn events(revision: u64, events: Vec<WatchEvent>) -> StoreReply {
    StoreReply::Events { revision: Revision(revision), events }
}

fn controller() -> Controller {
    let mut controller = Controller::new(Arc::new(settings()), 1);
    controller.job_watch.record_page(Revision(1));
    controller.job_watch.complete_list(0);
    controller
}

/// Guards against a run state that stays in the job cache for good, because the waiting watch
/// returned it after the catch-up watch had returned its deletion. Its later deletion by this
/// controller as the leader would conflict again and again.
#[test]
fn deleted_run_state_is_not_restored_by_a_delayed_watch() {
    let mut controller = controller();
    let put = WatchEvent::Put(record(10, true));
    let both = events(12, vec![put.clone(), deletion(12)]);
    controller.handle_watch_reply(WatchKind::CatchUp, 0, both);
    controller.handle_watch_reply(WatchKind::Waiting, 0, events(10, vec![put]));
    assert!(controller.job_cache.run_states.is_empty());
    // A later change is applied.
    let later = events(14, vec![WatchEvent::Put(record(14, true))]);
    controller.handle_watch_reply(WatchKind::Waiting, 0, later);
    assert!(controller.job_cache.is_stored_as_running(JOB));
}

/// Guards against run states that delay the changes of jobs: after other changes, the next watch is
/// sent with a delay.
#[test]
fn run_states_do_not_delay_the_next_watch() {
    let mut controller = controller();
    let run_state = WatchEvent::Put(record(10, true));
    let mut is_watch_due_after = |events| {
        let reply = StoreReply::Events { revision: Revision(12), events };
        controller.handle_watch_reply(WatchKind::Waiting, 0, reply);
        controller.job_watch.call_due(controller.now).is_some()
    };
    assert!(is_watch_due_after(vec![run_state.clone()]));
    let outcome = WatchEvent::Delete { key: "j/a/000005".into(), mod_revision: Revision(11) };
    assert!(!is_watch_due_after(vec![run_state, outcome]));
}

/// A run state that is listed no longer was deleted while the changes were not watched.
#[test]
fn run_states_that_are_not_listed_are_removed() {
    let mut controller = controller();
    controller.apply_unordered(&record(10, true));
    let page = StoreReply::Page { items: Vec::new(), more: false, revision: Revision(20) };
    controller.handle_list_reply(crate::store::calls::ListRange::RunStates, None, 0, page);
    assert!(controller.job_cache.run_states.is_empty());
}

/// Guards against a leader whose writes conflict again and again because of a cached run state that
/// is not the stored one.
#[test]
fn a_conflicting_run_state_is_read_again() {
    let mut controller = controller();
    controller.update_rate_limits();
    controller.apply_unordered(&record(10, true));
    controller.read_run_state(JOB);
    let Some(Effect::Store { call_id, request, .. }) = controller.calls.effects.pop() else {
        panic!("the run state is not read");
    };
    assert_eq!(request, StoreRequest::Get(run_state_key(JOB)));
    controller.handle_store_reply(call_id, StoreReply::NotFound);
    assert!(controller.job_cache.run_states.is_empty());
}

/// The log distinguishes users answered without progress of the leader from a leader that does not
/// know which jobs run.
#[test]
fn missing_progress_is_logged_once_until_it_arrives() {
    let mut controller = controller();
    let lease_ms = controller.cfg.worker_lease_ms;
    (controller.logged_leader, controller.leader_seen_at) = (Some("n1".into()), 1_000);
    let mut logged_at = |now, progress_arrives: bool| {
        controller.now = now;
        if progress_arrives {
            controller.handle_peer_progress(&[]);
        }
        controller.log_missing_progress();
        std::mem::take(&mut controller.calls.effects)
    };
    assert_eq!(logged_at(1_000 + lease_ms, false), []);
    let missing =
        LeadershipEvent::ProgressMissing { leader: "n1".into(), silent_ms: 1_001 + lease_ms };
    let missing = Effect::Log(LogEvent::Leadership(missing));
    assert_eq!(logged_at(1_001 + lease_ms, false), [missing]);
    assert_eq!(logged_at(1_002 + lease_ms, false), []);
    let received = Effect::Log(LogEvent::Leadership(LeadershipEvent::ProgressReceived));
    assert_eq!(logged_at(1_003 + lease_ms, true), [received]);
    assert_eq!(logged_at(1_004 + lease_ms, true), []);
}
