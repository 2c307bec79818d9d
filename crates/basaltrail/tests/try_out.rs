//! The deployment to try out, and the requests of the README against it.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod common;

use basaltrail_testbed::config::PolicySource;
use basaltrail_testbed::http::{self, Client};
use basaltrail_testbed::testbed::Testbed;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const README: &str = include_str!("../../../README.md");
/// Address of the README's requests.
const README_ADDRESS: &str = "http://127.0.0.1:7100";
const TIMEOUT: Duration = Duration::from_secs(5);

/// One `curl` line: method, path and body.
struct Request {
    method: &'static str,
    path: String,
    body: String,
}

/// The requests of the README, in their order.
fn readme_requests() -> Vec<Request> {
    let after_each_curl = README.split("curl -i ").skip(1);
    after_each_curl
        .map(|text| {
            let method = if text.starts_with("-X POST") { "POST" } else { "GET" };
            let (_, target) = text.split_once(README_ADDRESS).expect("another address");
            let path = target.split_whitespace().next().unwrap().to_string();
            let line = target.lines().next().unwrap();
            let body =
                line.contains("-d '").then(|| target.split('\'').nth(1).unwrap().to_string());
            Request { method, path, body: body.unwrap_or_default() }
        })
        .collect()
}

async fn send(to: SocketAddr, request: &Request) -> (u16, Value) {
    let request = http::Request {
        address: to,
        method: request.method,
        path: &request.path,
        body: request.body.clone(),
        timeout: TIMEOUT,
    };
    let response = Client::default().call(request).await.expect("no answer");
    (response.status, response.body)
}

/// Repeats a request, as a user with `curl` would, until its answer is the expected one.
async fn send_until(to: SocketAddr, request: &Request, is_expected: impl Fn(u16, &Value) -> bool) {
    let mut last = (0, Value::Null);
    for _ in 0..300 {
        last = send(to, request).await;
        if is_expected(last.0, &last.1) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{} {}: last answer {last:?}", request.method, request.path);
}

async fn stop_and_check_processes(testbed: &Testbed) {
    let addresses: Vec<SocketAddr> = (0..testbed.controllers.count())
        .map(|index| testbed.controllers.listen_address(index))
        .collect();
    testbed.stop().await;
    for address in addresses {
        let open = tokio::net::TcpStream::connect(address).await;
        assert!(open.is_err(), "{address}: a process was left behind");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_requests_of_the_readme_work_as_written() {
    let (testbed, directory) = common::start_one_controller("try-out", PolicySource::None).await;
    let controller = testbed.controllers.listen_address(0);
    let requests = readme_requests();
    let [submit, poll, cancel] = requests.as_slice() else {
        panic!("{} requests in the README", requests.len());
    };
    send_until(controller, submit, |status, _| status == 201).await;
    send_until(controller, poll, |_, body| body["condition"] == "running" && body["running"] == 2)
        .await;
    send_until(controller, cancel, |_, body| body["condition"] == "aborted").await;
    let (status, body) = send(controller, poll).await;
    assert_eq!((status, &body["condition"]), (200, &"aborted".into()));
    stop_and_check_processes(&testbed).await;
    let _ = std::fs::remove_dir_all(directory);
}
