use super::*;
use basaltrail_core::MAX_TASKS_PER_MACHINE;

#[test]
fn heartbeats_are_parsed_and_commands_are_encoded() {
    let heartbeat = parse_heartbeat(
        br#"{"stack":"m-000231","endpoint":"10.1.0.232:9000","format":"g8","room":"a",
        "remainders":true,"tenure":1,"folio":88,"warrant":41,"recallS":null,"leaves":[
        {"leaf":"job-000412/3","printing":2,"condition":"running"},
        {"leaf":"job-000398/0","printing":1,"condition":"ended","colophon":"done"}]}"#,
    )
    .unwrap();
    assert_eq!(
        (heartbeat.agent_epoch, heartbeat.sequence, heartbeat.token),
        (AgentEpoch(1), 88, FencingToken(41))
    );
    assert_eq!(heartbeat.tasks[1].state, TaskState::Exited(ExitReason::Done));
    let task = heartbeat.tasks[0].task;
    let body = commands_body(
        FencingToken(41),
        &[
            TaskCommand::Start { task, attempt: Attempt(2) },
            TaskCommand::Stop { task, attempt: Attempt(2), grace_s: 10.0 },
        ],
    );
    assert_eq!(
        body,
        r#"{"warrant":41,"orders":[{"order":"start","leaf":"job-000412/3","printing":2},{"order":"kill","leaf":"job-000412/3","printing":2,"graceS":10.0}]}"#
    );
}

/// Longest body of a request (PROTOCOL).
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Guards against heartbeats that no controller accepts: a machine gets only as many tasks as its
/// heartbeats can list, whatever the lengths of the fields.
#[test]
fn the_longest_heartbeat_fits_into_a_body() {
    let text = "x".repeat(MAX_TEXT_BYTES);
    let task = |index: u32| {
        format!(
            r#"{{"leaf": "job-{0}/{1}", "printing": {0}, "condition": "ended", "colophon": "stopped", "saved": true}}"#,
            u64::MAX,
            100_000 - index
        )
    };
    let tasks: Vec<String> = (1..=MAX_TASKS_PER_MACHINE).map(task).collect();
    let body = format!(
        r#"{{"stack": "m-{0}", "endpoint": "{text}", "format": "{text}", "room": "{text}",
        "remainders": false, "tenure": {0}, "folio": {0}, "warrant": {0}, "recallS": 0.1234567890123,
        "leaves": [{1}]}}"#,
        u64::MAX,
        tasks.join(", ")
    );
    assert!(body.len() <= MAX_BODY_BYTES, "{} bytes", body.len());
    let heartbeat = parse_heartbeat(body.as_bytes()).unwrap();
    assert_eq!(heartbeat.tasks.len(), MAX_TASKS_PER_MACHINE as usize);
}

/// Guards against dropping a malformed task from the list: the controller would conclude that the
/// task is not on the machine.
#[test]
fn heartbeat_with_a_malformed_task_is_rejected() {
    let body = |task: &str, state: &str| {
        format!(
            r#"{{"stack":"m-000001","format":"g","room":"a","tenure":1,"folio":1,"leaves":[
            {{"leaf":"{task}","printing":1,"condition":"{state}"}}]}}"#
        )
    };
    assert!(parse_heartbeat(body("job-000001/0", "running").as_bytes()).is_ok());
    assert!(parse_heartbeat(body("job-1/0", "running").as_bytes()).is_err());
    assert!(parse_heartbeat(body("job-000001/0", "dreaming").as_bytes()).is_err());
    assert!(parse_heartbeat(
        br#"{"stack":"m-000001","format":"g","room":"a","tenure":1,"folio":1}"#
    )
    .is_err());
}

/// The messages go to workers and have the same text as in earlier versions.
#[test]
fn error_message_describes_the_malformed_field() {
    let heartbeat_body = |machine: &str, zone: &str, task: &str, state: &str| {
        format!(
            r#"{{"stack":"{machine}","format":"g","room":"{zone}","tenure":1,"folio":1,"leaves":[
            {{"leaf":"{task}","printing":1,"condition":"{state}"}}]}}"#
        )
    };
    let long_zone = "z".repeat(101);
    for (body, message) in [
        ("[]".to_string(), "not a JSON object of the expected form: invalid length 0, expected struct ReportBody with 10 elements at line 1 column 2"),
        (heartbeat_body("x-1", "a", "job-000001/0", "running"), "stack is not a name"),
        (heartbeat_body("m-1", &long_zone, "job-000001/0", "running"), "a name is too long"),
        (heartbeat_body("m-1", "a", "job-1/0", "running"), "leaf is not a task"),
        (heartbeat_body("m-1", "a", "job-000001/0", "idle"), "condition is not known"),
    ] {
        assert_eq!(parse_heartbeat(body.as_bytes()).unwrap_err().to_string(), message);
    }
}
