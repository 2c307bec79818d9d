use super::*;

fn started(job: u64) -> RunStateChange {
    RunStateChange {
        job: JobId(job),
        record: Some(RunStateRecord { is_running: true }),
        expected_mod_revision: Revision::NONE,
    }
}

/// A late transaction must not undo a newer one, of this leader or of its successor.
#[test]
fn every_change_requires_the_leader_and_the_record_to_be_unchanged() {
    let deletion =
        RunStateChange { job: JobId(7), record: None, expected_mod_revision: Revision(30) };
    let StoreRequest::Transaction { preconditions, puts, deletes } =
        transaction(Revision(4), &[started(5), deletion])
    else {
        panic!("not a transaction");
    };
    let expected = [
        Precondition::new(LEADER_KEY, Revision(4)),
        Precondition::absent("j/r/000005".to_string()),
        Precondition::new("j/r/000007".to_string(), Revision(30)),
    ];
    assert_eq!(preconditions, expected);
    assert_eq!(puts, [PutRequest::new("j/r/000005".to_string(), r#"{"r":true}"#.into())]);
    assert_eq!(deletes, ["j/r/000007"]);
}

/// Guards against a transaction that the store rejects for its size and that is repeated unchanged.
#[test]
fn a_rejected_transaction_is_halved_and_a_committed_one_doubles_the_limit() {
    let mut writer = RunStateWriter::default();
    let mut limit_after = |changes, reply| {
        writer.handle_reply(changes, &reply);
        writer.max_changes
    };
    assert_eq!(limit_after(12, StoreReply::Invalid), 6);
    assert_eq!(limit_after(1, StoreReply::Invalid), 1);
    assert_eq!(limit_after(1, StoreReply::Committed { revision: Revision(1) }), 2);
    assert_eq!(limit_after(2, StoreReply::Unavailable), 2);
}

/// A transaction that conflicts on the leader's record shows that another controller leads.
#[test]
fn conflicts_are_told_apart() {
    let mut writer = RunStateWriter { in_flight: true, ..RunStateWriter::default() };
    let conflict = |key: &str| StoreReply::Conflict { failed: vec![key.into()] };
    assert_eq!(writer.handle_reply(1, &conflict(LEADER_KEY)), RunStateWriteOutcome::Deposed);
    assert!(!writer.in_flight);
    let key = run_state_key(JobId(5));
    let outcome = writer.handle_reply(1, &conflict(&key));
    assert_eq!(outcome, RunStateWriteOutcome::Conflict(vec![key]));
}
