//! Tests of the stand-in of workers, against a controller that the test scripts.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use basaltrail_testbed::clock::Clock;
use basaltrail_testbed::cloud::Cloud;
use basaltrail_testbed::deployment::{Deployment, MACHINE_TYPE, ZONES};
use basaltrail_testbed::history::{EventKind, History, JobRequirements};
use basaltrail_testbed::http::{serve, Client, Request};
use basaltrail_testbed::job_catalog::{JobCatalog, JobDescription};
use basaltrail_testbed::state_service::{Limits, StateService};
use basaltrail_testbed::worker::{self, Fleet, FleetContext};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;
use warp::Filter;

/// Number of tasks that the first answer starts. The fetches of some of their images end only after
/// the second heartbeat was sent.
const TASKS: u32 = 40;
/// Duration of the second heartbeat, within which all images have been fetched.
const SECOND_ANSWER_DELAY: Duration = Duration::from_millis(1_500);

/// Starts a controller that starts the tasks of job 1 in its first answer, and answers the second
/// heartbeat only after the machine has crashed and time has passed.
async fn start_controller(cloud: Cloud) -> SocketAddr {
    let heartbeats = Arc::new(AtomicU32::new(0));
    let answer = move |heartbeat: Value| {
        let (cloud, heartbeats) = (cloud.clone(), heartbeats.clone());
        async move {
            let start = |task| json!({"order": "start", "leaf": format!("job-000001/{task}"), "printing": 1});
            let orders: Vec<Value> = match heartbeats.fetch_add(1, Ordering::Relaxed) {
                0 => (0..TASKS).map(start).collect(),
                1 => {
                    cloud.crash(heartbeat["stack"].as_str().unwrap());
                    tokio::time::sleep(SECOND_ANSWER_DELAY).await;
                    Vec::new()
                }
                _ => Vec::new(),
            };
            let answer = warp::reply::json(&json!({"warrant": 1, "orders": orders}));
            Ok::<_, std::convert::Infallible>(answer)
        }
    };
    let route = warp::path!("checkin").and(warp::post()).and(warp::body::json()).and_then(answer);
    serve(route.boxed()).await.unwrap()
}

/// Guards against a task that starts on a machine after this was gone: the checker would find that
/// it runs for good, twice or after its cancellation.
#[tokio::test]
async fn no_task_starts_on_a_machine_that_is_gone() {
    let clock = Clock::start();
    let deployment = Deployment::new(1, 4);
    let (cloud, mut provisioned) = Cloud::new(clock, &deployment, 1);
    let request = json!({"requisition": "r-1", "format": MACHINE_TYPE, "room": ZONES[0],
        "remainders": true, "number": 1});
    let address = cloud.listen().await.unwrap();
    let timeout = Duration::from_secs(5);
    let provision = Request::post(address, "/rentals", request.to_string(), timeout);
    assert_eq!(Client::default().call(provision).await.unwrap().status, 200);
    let machine = provisioned.recv().await.unwrap();
    let limits = Limits { rps: 100.0, write_rps: 100.0, txn_ops: 24, max_value_bytes: 4_096 };
    let jobs = JobCatalog::new(StateService::start(clock, limits, 1));
    let requirements = JobRequirements::array("buyers", TASKS, 0.1);
    jobs.add(1, JobDescription { requirements, run_ms: 60_000 });
    let history = History::default();
    let controller = start_controller(cloud.clone()).await;
    let fleet = Arc::new(Fleet::new(FleetContext {
        clock,
        history: history.clone(),
        deployment,
        cloud: cloud.clone(),
        jobs,
        controllers: ZONES.iter().map(|zone| (*zone, vec![controller])).collect(),
    }));
    let name = machine.name.clone();
    tokio::time::timeout(Duration::from_secs(20), worker::run(machine, fleet, 1)).await.unwrap();
    let gone_ms = cloud.gone_ms(&name).unwrap();
    let events = history.events();
    let starts: Vec<u64> = events
        .iter()
        .filter(|event| matches!(event.kind, EventKind::TaskStarted(_)))
        .map(|event| event.at_ms)
        .collect();
    assert!(starts.iter().all(|at_ms| *at_ms <= gone_ms), "gone at {gone_ms}: {starts:?}");
    assert!(starts.len() < TASKS as usize, "no image was being fetched when the machine crashed");
    let ends = events.iter().filter(|event| matches!(event.kind, EventKind::TaskEnded { .. }));
    assert_eq!(ends.count(), starts.len(), "each started task ends with the machine");
}
