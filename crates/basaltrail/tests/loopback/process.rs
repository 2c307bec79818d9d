//! A controller process, the requests to it, and the stand-ins that it uses.

use basaltrail_testbed::clock::Clock;
use basaltrail_testbed::cloud::Cloud;
use basaltrail_testbed::deployment::Deployment;
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
use tokio::time::Instant;

const SETTINGS: &str = include_str!("../settings.toml");
pub const SUBMIT: &str = "POST /api/jobs";
/// Time limit of one request.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which [`wait_until`] checks its condition.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of checks after which [`wait_until`] fails.
const MAX_CHECKS: usize = 300;

/// Starts a store without faults and with limits that one controller does not reach.
pub async fn start_store() -> SocketAddr {
    let limits =
        Limits { rps: 1_000.0, write_rps: 1_000.0, txn_ops: 24, max_value_bytes: 16 * 1024 };
    StateService::start(Clock::start(), limits, 1).listen(0).await.unwrap()
}

/// Starts a cloud without machines. The worker of these tests needs no machine.
pub async fn start_cloud() -> SocketAddr {
    let (cloud, _provisioned) = Cloud::new(Clock::start(), &Deployment::new(1, 0), 1);
    cloud.listen().await.unwrap()
}

/// An HTTP response.
pub struct Response {
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    pub body: Value,
}

impl Response {
    pub fn condition(&self) -> &str {
        self.body["condition"].as_str().unwrap_or_default()
    }
}

/// Sends a request and returns the response if it arrives in time. `request` is a method and a path.
pub async fn call(address: SocketAddr, request: &str, body: &str) -> Option<Response> {
    tokio::time::timeout(TIMEOUT, try_call(address, request, body)).await.ok()?
}

pub async fn try_call(address: SocketAddr, request: &str, body: &str) -> Option<Response> {
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
pub async fn call_or_panic(address: SocketAddr, request: &str, body: &str) -> Response {
    call(address, request, body).await.unwrap_or_else(|| panic!("{request}: no response"))
}

/// Sends a request and returns the status of the response.
pub async fn call_status(address: SocketAddr, request: &str, body: &str) -> u16 {
    call_or_panic(address, request, body).await.status
}

/// A process of the program. Dropping it kills the process.
pub struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn program() -> Command {
    Command::new(env!("CARGO_BIN_EXE_basaltrail"))
}

/// A controller and its settings file. Dropping it removes the file.
pub struct Controller {
    pub address: SocketAddr,
    settings: PathBuf,
}

impl Controller {
    /// Writes the settings file of a controller without starting it.
    pub fn prepare(name: &str, store: SocketAddr, cloud: SocketAddr) -> Self {
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

    pub fn start(&self) -> Process {
        let mut command = program();
        command.arg("--config").arg(&self.settings).stderr(Stdio::null());
        Process(command.spawn().unwrap())
    }

    /// Kills a process of this controller, and starts another one at once. Returns the time of the
    /// start.
    pub fn restart(&self, process: &mut Process) -> Instant {
        let _ = process.0.kill();
        let _ = process.0.wait();
        *process = self.start();
        Instant::now()
    }

    pub async fn is_ready(&self) -> bool {
        let response = call(self.address, "GET /ready", "").await;
        response.is_some_and(|response| response.status == 200)
    }

    /// Returns whether a job is reported as done.
    pub async fn is_done(&self, job: &str) -> bool {
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
pub async fn wait_until<F: Future<Output = bool>>(name: &str, mut condition: impl FnMut() -> F) {
    for _ in 0..MAX_CHECKS {
        if condition().await {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    panic!("condition was not met in time: {name}");
}

/// Returns the submission of an array job.
pub fn submission(job: &str, team: &str) -> String {
    json!({"nameId": job, "shelf": "c", "desk": team, "binding": "array",
        "precedence": "standard", "leaves": 5, "vcpus": 2.0, "gpus": 0.0, "ramGb": 1.0,
        "edition": "i", "sizeGb": 0.1, "formats": null, "room": null, "samePlace": false,
        "apart": false, "remainders": true, "reckonS": 1.0, "bookmarkS": 0.0, "pressS": 0.0,
        "dueS": null})
    .to_string()
}

/// Returns the submission of a service.
pub fn service_submission(job: &str, team: &str) -> String {
    let service = submission(job, team).replace("\"array\"", "\"daemon\"");
    let service = service.replace("\"reckonS\":1.0", "\"reckonS\":0");
    assert!(service.contains("\"reckonS\":0,") || service.contains("\"reckonS\":0}"), "{service}");
    service
}
