use super::*;

#[test]
fn a_report_is_read_and_orders_are_written() {
    let r = heartbeat(
        br#"{"stack":"m-000231","endpoint":"10.1.0.232:9000","format":"g8","room":"a",
        "remainders":true,"tenure":1,"folio":88,"warrant":41,"recallS":null,"leaves":[
        {"leaf":"job-000412/3","printing":2,"condition":"running"},
        {"leaf":"job-000398/0","printing":1,"condition":"ended","colophon":"done"}]}"#,
    )
    .unwrap();
    assert_eq!((r.agent_epoch, r.sequence, r.token), (AgentEpoch(1), 88, FencingToken(41)));
    assert_eq!(r.tasks[1].state, TaskState::Exited(ExitReason::Done));
    let t = r.tasks[0].task;
    let body = commands(
        FencingToken(41),
        &[
            TaskCommand::Start { task: t, attempt: Attempt(2) },
            TaskCommand::Stop { task: t, attempt: Attempt(2), grace_s: 10.0 },
        ],
    );
    assert_eq!(
        body,
        r#"{"warrant":41,"orders":[{"order":"start","leaf":"job-000412/3","printing":2},{"order":"kill","leaf":"job-000412/3","printing":2,"graceS":10.0}]}"#
    );
}

/// A list with one unreadable task must not pass for a list without that task.
#[test]
fn a_report_with_a_gap_is_no_report() {
    let body = |leaf: &str, condition: &str| {
        format!(
            r#"{{"stack":"m-000001","format":"g","room":"a","tenure":1,"folio":1,"leaves":[
            {{"leaf":"{leaf}","printing":1,"condition":"{condition}"}}]}}"#
        )
    };
    assert!(heartbeat(body("job-000001/0", "running").as_bytes()).is_ok());
    assert!(heartbeat(body("job-1/0", "running").as_bytes()).is_err());
    assert!(heartbeat(body("job-000001/0", "dreaming").as_bytes()).is_err());
    assert!(
        heartbeat(br#"{"stack":"m-000001","format":"g","room":"a","tenure":1,"folio":1}"#).is_err()
    );
}
