//! Runs a controller process on loopback against a simulated store, cloud and worker. Covers user
//! requests, malformed bodies, a kill and a restart.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use basaltrail_testbed::clock::Clock;
use basaltrail_testbed::cloud::Cloud;
use basaltrail_testbed::deployment::{Deployment, MACHINE_TYPE, WORKER_ENDPOINT, ZONES};
use basaltrail_testbed::http::free_port;
use basaltrail_testbed::state_service::{Limits, StateService};
use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SETTINGS: &str = include_str!("settings.toml");
const SUBMIT: &str = "POST /api/jobs";
/// Time limit of one request.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which [`wait_until`] checks its condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks after which [`wait_until`] fails.
const MAX_CHECKS: usize = 300;

/// Starts a store without faults and with limits that one controller does not reach.
async fn start_store() -> SocketAddr {
    let limits =
        Limits { rps: 1_000.0, write_rps: 1_000.0, txn_ops: 24, max_value_bytes: 16 * 1024 };
    StateService::start(Clock::start(), limits, 1).listen(0).await.unwrap()
}

/// Starts a cloud without machines. The worker of these tests needs no machine.
async fn start_cloud() -> SocketAddr {
    let (cloud, _provisioned) = Cloud::new(Clock::start(), &Deployment::new(1, 0), 1);
    cloud.listen().await.unwrap()
}

/// An HTTP response.
struct Response {
    status: u16,
    /// Status line and headers, in lower case.
    head: String,
    body: Value,
}

impl Response {
    fn condition(&self) -> &str {
        self.body["condition"].as_str().unwrap_or_default()
    }
}

/// Sends a request and returns the response if it arrives in time. `request` is a method and a path.
async fn call(address: SocketAddr, request: &str, body: &str) -> Option<Response> {
    tokio::time::timeout(TIMEOUT, try_call(address, request, body)).await.ok()?
}

async fn try_call(address: SocketAddr, request: &str, body: &str) -> Option<Response> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let request = format!(
        "{request} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    // The server may respond and close the connection before it has read the whole request.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    let response = String::from_utf8(response).ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let body = serde_json::from_str(body).unwrap_or(Value::Null);
    Some(Response { status, head: head.to_lowercase(), body })
}

/// Sends a request. Panics if there is no response.
async fn call_or_panic(address: SocketAddr, request: &str, body: &str) -> Response {
    call(address, request, body).await.unwrap_or_else(|| panic!("{request}: no response"))
}

/// Sends a request and returns the status of the response.
async fn call_status(address: SocketAddr, request: &str, body: &str) -> u16 {
    call_or_panic(address, request, body).await.status
}

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

/// A process of the program. Dropping it kills the process.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_basaltrail"))
}

/// A controller and its settings file. Dropping it removes the file.
struct Controller {
    address: SocketAddr,
    settings: PathBuf,
}

impl Controller {
    /// Writes the settings file of a controller without starting it.
    fn prepare(name: &str, store: SocketAddr, cloud: SocketAddr) -> Self {
        let (address, peer_address) = (free_port().unwrap(), free_port().unwrap());
        let text = SETTINGS
            .replace("127.0.0.1:7100", &address.to_string())
            .replace("127.0.0.1:7200", &peer_address.to_string())
            .replace("127.0.0.1:7300", &store.to_string())
            .replace("127.0.0.1:7301", &cloud.to_string());
        let file = format!("basaltrail-{name}-{}.toml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text).unwrap();
        Controller { address, settings }
    }

    fn start(&self) -> Process {
        let mut command = program();
        command.arg("--config").arg(&self.settings).stderr(Stdio::null());
        Process(command.spawn().unwrap())
    }

    async fn is_ready(&self) -> bool {
        let response = call(self.address, "GET /ready", "").await;
        response.is_some_and(|response| response.status == 200)
    }

    /// Returns whether a job is reported as done.
    async fn is_done(&self, job: &str) -> bool {
        let response = call(self.address, &format!("GET /api/jobs/{job}"), "").await;
        response.is_some_and(|response| response.status == 200 && response.condition() == "done")
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Waits until a condition holds. Panics after [`MAX_CHECKS`] checks.
async fn wait_until<F: Future<Output = bool>>(name: &str, mut condition: impl FnMut() -> F) {
    for _ in 0..MAX_CHECKS {
        if condition().await {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    panic!("condition was not met in time: {name}");
}

/// Returns the submission of an array job.
fn submission(job: &str, team: &str) -> String {
    json!({"nameId": job, "shelf": "c", "desk": team, "binding": "array",
        "precedence": "standard", "leaves": 5, "vcpus": 2.0, "gpus": 0.0, "ramGb": 1.0,
        "edition": "i", "sizeGb": 0.1, "formats": null, "room": null, "samePlace": false,
        "apart": false, "remainders": true, "reckonS": 1.0, "bookmarkS": 0.0, "pressS": 0.0,
        "dueS": null})
    .to_string()
}

/// Returns the submission of a service.
fn service_submission(job: &str, team: &str) -> String {
    let service = submission(job, team).replace("\"array\"", "\"daemon\"");
    let service = service.replace("\"reckonS\":1.0", "\"reckonS\":0");
    assert!(service.contains("\"reckonS\":0,") || service.contains("\"reckonS\":0}"), "{service}");
    service
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
