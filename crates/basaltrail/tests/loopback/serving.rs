//! User requests, malformed bodies, a kill and a restart.

use super::process::*;
use basaltrail_testbed::deployment::{MACHINE_TYPE, WORKER_ENDPOINT, ZONES};
use basaltrail_testbed::http::free_port;
use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Runs a worker whose tasks complete at once.
async fn run_worker(controller: SocketAddr) {
    let (mut sequence, mut token) = (0, 0);
    let mut tasks: Vec<Value> = Vec::new();
    loop {
        sequence += 1;
        let heartbeat = json!({"stack": "m-000001", "endpoint": WORKER_ENDPOINT,
            "format": MACHINE_TYPE, "room": ZONES[0], "remainders": false, "tenure": 1,
            "folio": sequence, "warrant": token, "recallS": null, "leaves": tasks});
        let response = call(controller, "POST /checkin", &heartbeat.to_string()).await;
        if let Some(Response { status: 200, body, .. }) = response {
            token = token.max(body["warrant"].as_u64().unwrap());
            for command in body["orders"].as_array().unwrap() {
                execute(&mut tasks, command);
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Applies a command of the controller to the tasks of the worker.
fn execute(tasks: &mut Vec<Value>, command: &Value) {
    let (name, attempt) = (&command["leaf"], &command["printing"]);
    let is_same = |task: &Value| task["leaf"] == *name && task["printing"] == *attempt;
    match command["order"].as_str().unwrap() {
        "start" if !tasks.iter().any(is_same) => tasks.push(json!({"leaf": name,
            "printing": attempt, "condition": "ended", "colophon": "done"})),
        "forget" => tasks.retain(|task| !is_same(task)),
        _ => {}
    }
}

/// Checks the status of refused submissions, of an accepted one and of its repetition.
async fn check_submissions(controller: SocketAddr) {
    let valid = submission("job-000001", "buyers");
    for (body, expected) in [
        ("not json".to_string(), 400),
        ("[]".into(), 400),
        (submission("job-1", "buyers"), 400),
        (valid.replace("2.0", "-2.0"), 400),
        (format!("{valid}{}", " ".repeat(70_000)), 400),
        (submission("job-000001", "nobody"), 422),
        (valid.replace("2.0", "16.0"), 422),
        (valid.clone(), 201),
        (valid.clone(), 200),
    ] {
        let body_start = body.chars().take(200).collect::<String>();
        assert_eq!(call_status(controller, SUBMIT, &body).await, expected, "{body_start}");
    }
}

/// Checks the responses to unknown jobs, invalid requests and a cancellation.
async fn check_other_requests(controller: SocketAddr) {
    assert_eq!(call_status(controller, "GET /api/jobs/job-000009", "").await, 404);
    assert_eq!(call_status(controller, "GET /api/jobs/nonsense", "").await, 404);
    assert_eq!(call_status(controller, "POST /checkin", "{}").await, 400);
    assert_eq!(call_status(controller, "DELETE /api/jobs", "").await, 405);
    assert_eq!(call_status(controller, SUBMIT, &submission("job-000002", "buyers")).await, 201);
    let cancelled = call_or_panic(controller, "POST /api/jobs/job-000002/cancel", "").await;
    assert!(
        cancelled.status == 200 && ["aborted", "done"].contains(&cancelled.condition()),
        "{}",
        cancelled.body
    );
}

/// Opens a connection with an incomplete request and one that carries no request.
async fn open_invalid_connections(controller: SocketAddr) -> [TcpStream; 2] {
    let mut unfinished = TcpStream::connect(controller).await.unwrap();
    unfinished
        .write_all(b"POST /api/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{")
        .await
        .unwrap();
    let mut noise = TcpStream::connect(controller).await.unwrap();
    noise.write_all(&[0, 255, 13, 10, 13, 10]).await.unwrap();
    [unfinished, noise]
}

#[tokio::test]
async fn a_controller_serves_users_and_a_worker_across_a_restart() {
    let controller = Controller::prepare("loopback", start_store().await, start_cloud().await);
    let address = controller.address;
    let first_process = controller.start();
    wait_until("controller is ready", || controller.is_ready()).await;
    tokio::spawn(run_worker(address));

    check_submissions(address).await;
    check_other_requests(address).await;
    // A service stays active from its submission to its cancellation, also across a restart. It is
    // never done, although the worker reports each replica as done.
    let service = service_submission("job-000004", "buyers");
    let too_many_replicas = service.replace("\"leaves\":5", "\"leaves\":400");
    assert_eq!(call_status(address, SUBMIT, &too_many_replicas).await, 422);
    assert_eq!(call_status(address, SUBMIT, &service).await, 201);
    let _invalid_connections = open_invalid_connections(address).await;
    wait_until("job is done", || controller.is_done("job-000001")).await;

    drop(first_process);
    let _second_process = controller.start();
    wait_until("controller is ready after the restart", || controller.is_ready()).await;
    wait_until("still done after the restart", || controller.is_done("job-000001")).await;
    assert_eq!(call_status(address, SUBMIT, &submission("job-000003", "buyers")).await, 201);
    wait_until("a new job is done after the restart", || controller.is_done("job-000003")).await;
    let running = call_or_panic(address, "GET /api/jobs/job-000004", "").await;
    assert!(running.status == 200 && ["queued", "running"].contains(&running.condition()));
    let cancelled = call_or_panic(address, "POST /api/jobs/job-000004/cancel", "").await;
    let is_cancelled =
        |response: &Response| response.status == 200 && response.condition() == "aborted";
    assert!(is_cancelled(&cancelled), "{}", cancelled.body);
    let repeated = call_or_panic(address, SUBMIT, &service).await;
    assert!(is_cancelled(&repeated), "{}", repeated.body);
}

#[tokio::test]
async fn without_store_and_cloud_requests_are_answered_with_503() {
    let (store, cloud) = (free_port().unwrap(), free_port().unwrap());
    let controller = Controller::prepare("alone", store, cloud);
    let address = controller.address;
    let _process = controller.start();
    wait_until("controller responds", || async { call(address, "GET /ready", "").await.is_some() })
        .await;
    assert_eq!(call_status(address, "GET /ready", "").await, 503);
    let refused = call_or_panic(address, SUBMIT, &submission("job-000001", "buyers")).await;
    let Response { status, head, .. } = refused;
    assert!(status == 503 && head.contains("retry-after: "), "{status} {head}");
}

#[test]
fn invalid_settings_print_one_line_and_exit_with_status_2() {
    let valid = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/settings.toml");
    let valid_output = program().args(["--config", valid, "--check"]).output().unwrap();
    assert!(valid_output.status.success());
    let policy = std::env::temp_dir().join(format!("basaltrail-{}.policy", std::process::id()));
    std::fs::write(&policy, "(policy\n (smaple 9))").unwrap();
    let invalid_output =
        program().args(["--config", valid, "--check", "--policy"]).arg(&policy).output().unwrap();
    let error = String::from_utf8(invalid_output.stderr).unwrap();
    assert_eq!((invalid_output.status.code(), error.lines().count()), (Some(2), 1), "{error}");
    assert!(error.contains(":2: unknown key"), "{error}");
    let missing_output = program().args(["--config", "/nonexistent.toml"]).output().unwrap();
    assert_eq!(missing_output.status.code(), Some(2));
    let _ = std::fs::remove_file(&policy);
}
