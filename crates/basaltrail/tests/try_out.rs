//! Runs the requests of the README against the try-out deployment.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use basaltrail_testbed::config::PolicySource;
use basaltrail_testbed::http::{self, Client};
use basaltrail_testbed::testbed::Testbed;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

const README: &str = include_str!("../../../README.md");
/// Address used by the requests in the README.
const README_ADDRESS: &str = "http://127.0.0.1:7100";
const TIMEOUT: Duration = Duration::from_secs(5);

/// A `curl` request of the README.
struct Request {
    method: &'static str,
    path: String,
    body: String,
}

/// Returns the requests of the README, in order.
fn readme_requests() -> Vec<Request> {
    let curl_arguments = README.split("curl -i ").skip(1);
    curl_arguments
        .map(|text| {
            let method = if text.starts_with("-X POST") { "POST" } else { "GET" };
            let (_, target) =
                text.split_once(README_ADDRESS).expect("a README request uses another address");
            let path = target.split_whitespace().next().unwrap().to_string();
            let line = target.lines().next().unwrap();
            let body =
                line.contains("-d '").then(|| target.split('\'').nth(1).unwrap().to_string());
            Request { method, path, body: body.unwrap_or_default() }
        })
        .collect()
}

async fn send(address: SocketAddr, request: &Request) -> (u16, Value) {
    let request = http::Request {
        address,
        method: request.method,
        path: &request.path,
        body: request.body.clone(),
        timeout: TIMEOUT,
    };
    let response = Client::default().call(request).await.expect("no response");
    (response.status, response.body)
}

/// Repeats a request until the response is the expected one. Panics after 300 attempts.
async fn send_until(
    address: SocketAddr,
    request: &Request,
    is_expected: impl Fn(u16, &Value) -> bool,
) {
    let mut last_response = (0, Value::Null);
    for _ in 0..300 {
        last_response = send(address, request).await;
        if is_expected(last_response.0, &last_response.1) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("{} {}: last response {last_response:?}", request.method, request.path);
}

/// Stops the testbed and checks that no controller accepts connections any more.
async fn stop_and_check_processes(testbed: &Testbed) {
    let addresses: Vec<SocketAddr> = (0..testbed.controllers.count())
        .map(|index| testbed.controllers.listen_address(index))
        .collect();
    testbed.stop().await;
    for address in addresses {
        let connection = tokio::net::TcpStream::connect(address).await;
        assert!(connection.is_err(), "{address}: a process is still running");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_requests_of_the_readme_work_as_written() {
    let (testbed, directory) = common::start_one_controller("try-out", PolicySource::None).await;
    let controller = testbed.controllers.listen_address(0);
    let requests = readme_requests();
    let [submit, poll, cancel] = requests.as_slice() else {
        panic!("expected 3 requests in the README, found {}", requests.len());
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
