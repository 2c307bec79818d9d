//! Tests of `inspect limits` against a running and a stopped controller, and of `check`.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use basaltrail_testbed::config::PolicySource;
use basaltrail_testbed::http::{Client, Request};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::process::Output;
use std::time::Duration;

const README: &str = include_str!("../../../README.md");
const TIMEOUT: Duration = Duration::from_secs(5);

async fn run_program(arguments: &[&str]) -> Output {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_basaltrail"));
    command.args(arguments).output().await.unwrap()
}

async fn read_limits(at: SocketAddr) -> Option<Value> {
    let output = run_program(&["inspect", "limits", "--json", "--at", &at.to_string()]).await;
    serde_json::from_slice(&output.stdout).ok()
}

/// Returns the submission in the README's section about limits, for a given job number.
fn submission(job_number: u32) -> String {
    let (_, section) = README.split_once("## A limit, and a refusal").unwrap();
    let (_, body) = section.split_once("-d '").unwrap();
    let (body, _) = body.split_once("'; done").unwrap();
    body.replace("000'$n'", &format!("{job_number:06}"))
}

/// A team submits more than its backlog may hold. The excess submission gets status 503 with
/// `Retry-After`, and repeating an accepted submission still gets status 200.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_submission_beyond_the_backlog_is_refused_and_shown_by_inspect() {
    let policy = PolicySource::Entries("(admission (backlog-s 30))".into());
    let (testbed, directory) = common::start_one_controller("inspect", policy).await;
    let controller = testbed.controllers.listen_address(0);
    let administration = testbed.controllers.administration_address(0);
    let client = Client::default();
    let submit = |body| Request::post(controller, "/api/jobs", body, TIMEOUT);
    let (mut first_accepted, mut refused) = (None, None);
    for number in 0..2_000 {
        let body = submission(1_000 + number);
        let response = client.call(submit(body)).await.unwrap();
        match response.status {
            201 => first_accepted = first_accepted.or(Some(1_000 + number)),
            // The controller accepts nothing until it has an admission quota.
            _ if first_accepted.is_none() => tokio::time::sleep(Duration::from_millis(50)).await,
            _ => {
                refused = Some(response);
                break;
            }
        }
    }
    let refused = refused.expect("no submission was refused");
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert!(refused.retry_after_s.is_some_and(|seconds| (1..=30).contains(&seconds)));
    let repeat = submission(first_accepted.unwrap());
    let repeated = client.call(submit(repeat)).await.unwrap();
    assert_eq!(repeated.status, 200, "{}", repeated.body);

    let limits = read_limits(administration).await.expect("no response");
    assert_eq!((&limits["node"], &limits["allotted"]), (&json!("stack-0"), &json!(true)));
    let teams = limits["teams"].as_array().unwrap();
    let buyers = teams.iter().find(|team| team["team"] == "buyers").unwrap();
    assert!(buyers["refused"].as_u64() >= Some(1) && buyers["used"].is_number(), "{buyers}");
    let class =
        buyers["classes"].as_array().unwrap().iter().find(|class| class["class"] == "prices");
    assert!(class.is_some_and(|class| class["jobs"].as_u64() >= Some(1)), "{buyers}");
    let table = run_program(&["inspect", "limits", "--at", &administration.to_string()]).await;
    let table = String::from_utf8(table.stdout).unwrap();
    assert!(table.contains("buyers") && table.lines().count() >= 4, "{table}");
    testbed.stop().await;

    let stopped = run_program(&["inspect", "limits", "--at", &administration.to_string()]).await;
    let error = String::from_utf8(stopped.stderr).unwrap();
    assert_eq!((stopped.status.code(), error.lines().count()), (Some(1), 1), "{error}");
    let _ = std::fs::remove_dir_all(directory);
}

#[tokio::test]
async fn the_check_command_and_flag_validate_the_settings() {
    let valid = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/settings.toml");
    let policy = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/admission.policy");
    for arguments in [
        vec!["--config", valid, "--check"],
        vec!["check", "--config", valid],
        vec!["check", "--config", valid, "--policy", policy],
    ] {
        let output = run_program(&arguments).await;
        assert!(output.status.success(), "{arguments:?}: {output:?}");
    }
    for arguments in [vec!["check", "--config", policy], vec![], vec!["inspect", "all"]] {
        let output = run_program(&arguments).await;
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
    }
}
