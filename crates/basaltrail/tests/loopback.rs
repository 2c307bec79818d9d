//! The real program on loopback, against stand-ins of the state service, the cloud and
//! one worker: answers, bad input, a kill and a restart.

use basaltrail_testbed::clock::Clock;
use basaltrail_testbed::cloud::Cloud;
use basaltrail_testbed::deployment::{Deployment, MACHINE_TYPE, ZONES};
use basaltrail_testbed::http::free_port;
use basaltrail_testbed::state_service::{Limits, StateService};
use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A state service without faults, with limits that one node does not reach.
async fn serve_state() -> SocketAddr {
    let limits = Limits { rps: 1_000.0, write_rps: 1_000.0, txn_ops: 24, value_bytes: 16 * 1024 };
    StateService::start(Clock::start(), limits, 1).listen(0).await.unwrap()
}

/// A cloud without machines: the worker here is none of its own.
async fn serve_cloud() -> SocketAddr {
    let (cloud, _rented) = Cloud::new(Clock::start(), &Deployment::new(1, 0), 1);
    cloud.listen().await.unwrap()
}

/// Status, headers and body of one request.
async fn call(to: SocketAddr, head: &str, body: &str) -> Option<(u16, String, Value)> {
    let work = async {
        let mut s = TcpStream::connect(to).await.ok()?;
        let request = format!(
            "{head} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        // The server may answer and close before it has read everything.
        let _ = s.write_all(request.as_bytes()).await;
        let mut answer = Vec::new();
        let _ = s.read_to_end(&mut answer).await;
        let answer = String::from_utf8(answer).ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some((status, head.to_lowercase(), serde_json::from_str(body).unwrap_or(Value::Null)))
    };
    tokio::time::timeout(Duration::from_secs(10), work).await.ok()?
}

/// A worker that runs whatever it is given at once.
async fn worker(node: SocketAddr) {
    let (mut folio, mut warrant) = (0, 0);
    let mut leaves: Vec<Value> = Vec::new();
    loop {
        folio += 1;
        let report = json!({"stack": "m-000001", "endpoint": "127.0.0.1:1", "format": MACHINE_TYPE, "room": ZONES[0],
            "remainders": false, "tenure": 1, "folio": folio, "warrant": warrant, "recallS": null, "leaves": leaves});
        if let Some((200, _, body)) = call(node, "POST /checkin", &report.to_string()).await {
            warrant = warrant.max(body["warrant"].as_u64().unwrap());
            for o in body["orders"].as_array().unwrap() {
                let same = |l: &Value| l["leaf"] == o["leaf"] && l["printing"] == o["printing"];
                match o["order"].as_str().unwrap() {
                    "start" if !leaves.iter().any(same) => leaves.push(json!({"leaf": o["leaf"],
                        "printing": o["printing"], "condition": "ended", "colophon": "done"})),
                    "forget" => leaves.retain(|l| !same(l)),
                    _ => {}
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

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

async fn until<F: Future<Output = bool>>(what: &str, mut f: impl FnMut() -> F) {
    for _ in 0..300 {
        if f().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("never {what}");
}

fn job(id: &str, team: &str) -> String {
    json!({"nameId": id, "shelf": "c", "desk": team, "binding": "array", "precedence": "standard", "leaves": 5,
        "vcpus": 2.0, "gpus": 0.0, "ramGb": 1.0, "edition": "i", "sizeGb": 0.1, "formats": null, "room": null,
        "samePlace": false, "apart": false, "remainders": true, "reckonS": 1.0, "bookmarkS": 0.0, "pressS": 0.0,
        "dueS": null})
    .to_string()
}

#[tokio::test]
async fn one_node_serves_users_and_a_worker_over_a_restart() {
    let state = serve_state().await;
    let cloud = serve_cloud().await;
    let (node, peer) = (free_port().unwrap(), free_port().unwrap());
    let text = include_str!("settings.toml")
        .replace("127.0.0.1:7100", &node.to_string())
        .replace("127.0.0.1:7200", &peer.to_string())
        .replace("127.0.0.1:7300", &state.to_string())
        .replace("127.0.0.1:7301", &cloud.to_string());
    let file =
        std::env::temp_dir().join(format!("basaltrail-loopback-{}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let run = || {
        let mut c = program();
        c.arg("--config").arg(&file).stderr(Stdio::null());
        Process(c.spawn().unwrap())
    };
    let first = run();
    let ready = || async { matches!(call(node, "GET /ready", "").await, Some((200, ..))) };
    until("ready", ready).await;
    tokio::spawn(worker(node));

    let status = |head: &'static str, body: String| async move {
        call(node, head, &body).await.map(|a| a.0)
    };
    let submit = "POST /api/jobs";
    for (body, wanted) in [
        ("not json".to_string(), 400),
        ("[]".into(), 400),
        (job("job-1", "buyers"), 400),
        (job("job-000001", "buyers").replace("2.0", "-2.0"), 400),
        (format!("{}{}", job("job-000001", "buyers"), " ".repeat(70_000)), 400),
        (job("job-000001", "nobody"), 422),
        (job("job-000001", "buyers").replace("2.0", "16.0"), 422),
        (job("job-000001", "buyers"), 201),
        (job("job-000001", "buyers"), 200),
    ] {
        let shown = body.chars().take(200).collect::<String>();
        assert_eq!(status(submit, body).await, Some(wanted), "{shown}");
    }
    assert_eq!(status("GET /api/jobs/job-000009", String::new()).await, Some(404));
    assert_eq!(status("GET /api/jobs/nonsense", String::new()).await, Some(404));
    assert_eq!(status("POST /checkin", "{}".into()).await, Some(400));
    assert_eq!(status("DELETE /api/jobs", String::new()).await, Some(405));
    assert_eq!(status(submit, job("job-000002", "buyers")).await, Some(201));
    let (code, _, body) = call(node, "POST /api/jobs/job-000002/cancel", "").await.unwrap();
    assert!(
        code == 200 && (body["condition"] == "aborted" || body["condition"] == "done"),
        "{body}"
    );
    // A service: from its submission over a restart to its cancel, never done, though the
    // worker here says of each replica that it is.
    let service = job("job-000004", "buyers").replace("\"array\"", "\"daemon\"");
    let service = service.replace("\"reckonS\":1.0", "\"reckonS\":0");
    assert!(service.contains("\"reckonS\":0,") || service.contains("\"reckonS\":0}"), "{service}");
    let beyond = service.replace("\"leaves\":5", "\"leaves\":400");
    assert_eq!(status(submit, beyond).await, Some(422));
    assert_eq!(status(submit, service.clone()).await, Some(201));
    // A body that never comes, and a line that is no request, cost nobody anything.
    let mut half = TcpStream::connect(node).await.unwrap();
    half.write_all(b"POST /api/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n{")
        .await
        .unwrap();
    let mut noise = TcpStream::connect(node).await.unwrap();
    noise.write_all(&[0, 255, 13, 10, 13, 10]).await.unwrap();
    let done = || async {
        let a = call(node, "GET /api/jobs/job-000001", "").await;
        a.is_some_and(|(s, _, b)| s == 200 && b["condition"] == "done")
    };
    until("done", done).await;

    drop(first);
    let _second = run();
    until("ready again", ready).await;
    until("done still", done).await;
    assert_eq!(status(submit, job("job-000003", "buyers")).await, Some(201));
    let more = || async {
        let a = call(node, "GET /api/jobs/job-000003", "").await;
        a.is_some_and(|(_, _, b)| b["condition"] == "done")
    };
    until("done after the restart", more).await;
    let (code, _, body) = call(node, "GET /api/jobs/job-000004", "").await.unwrap();
    assert!(code == 200 && ["queued", "running"].map(Into::into).contains(&body["condition"]));
    let (code, _, body) = call(node, "POST /api/jobs/job-000004/cancel", "").await.unwrap();
    assert!(code == 200 && body["condition"] == "aborted", "{body}");
    let (code, _, body) = call(node, submit, &service).await.unwrap();
    assert!(code == 200 && body["condition"] == "aborted", "{body}");
    let _ = std::fs::remove_file(&file);
}

#[tokio::test]
async fn without_services_every_request_is_answered_at_once() {
    let (node, peer) = (free_port().unwrap(), free_port().unwrap());
    let text = include_str!("settings.toml")
        .replace("127.0.0.1:7100", &node.to_string())
        .replace("127.0.0.1:7200", &peer.to_string())
        .replace("127.0.0.1:7300", &free_port().unwrap().to_string())
        .replace("127.0.0.1:7301", &free_port().unwrap().to_string());
    let file = std::env::temp_dir().join(format!("basaltrail-alone-{}.toml", std::process::id()));
    std::fs::write(&file, text).unwrap();
    let _p = Process(program().arg("--config").arg(&file).stderr(Stdio::null()).spawn().unwrap());
    until("listening", || async { call(node, "GET /ready", "").await.is_some() }).await;
    assert_eq!(call(node, "GET /ready", "").await.unwrap().0, 503);
    let (status, head, _) =
        call(node, "POST /api/jobs", &job("job-000001", "buyers")).await.unwrap();
    assert!(status == 503 && head.contains("retry-after: "), "{status} {head}");
    let _ = std::fs::remove_file(&file);
}

#[test]
fn bad_settings_give_one_line_and_status_2() {
    let good = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/settings.toml");
    let ok = program().args(["--config", good, "--check"]).output().unwrap();
    assert!(ok.status.success());
    let policy = std::env::temp_dir().join(format!("basaltrail-{}.policy", std::process::id()));
    std::fs::write(&policy, "(policy\n (smaple 9))").unwrap();
    let bad =
        program().args(["--config", good, "--check", "--policy"]).arg(&policy).output().unwrap();
    let told = String::from_utf8(bad.stderr).unwrap();
    assert_eq!((bad.status.code(), told.lines().count()), (Some(2), 1), "{told}");
    assert!(told.contains(":2: unknown key"), "{told}");
    let none = program().args(["--config", "/nonexistent.toml"]).output().unwrap();
    assert_eq!(none.status.code(), Some(2));
    let _ = std::fs::remove_file(&policy);
}
