//! Late copies of messages that led to the start of a task.
//!
//! Controllers send starts only in answers to heartbeats, and a worker drops an answer that arrives
//! late. A start can therefore be repeated only by a controller that answers a copy of a heartbeat.
//! These tests send such copies, also to a controller that has just restarted, for tasks that are
//! done, cancelled or moved to another machine.

use super::process::*;
use basaltrail_testbed::deployment::{MACHINE_TYPE, ZONES};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Worker lease in the settings file, less the interval of the heartbeats before it.
const LEASE: Duration = Duration::from_millis(9_500);
/// Time for which copies are sent to a controller that has just restarted. It covers its election,
/// the load of the stored state and the first heartbeats.
const RESTART_COPIES: Duration = Duration::from_millis(4_000);
/// Interval of the copies during this time.
const COPY_INTERVAL: Duration = Duration::from_millis(20);

/// Job whose task is done, cancelled or moved.
const JOB: &str = "job-000001";
/// Job that waits for a machine after a restart.
const NEXT_JOB: &str = "job-000002";

/// A worker that sends heartbeats only when the test asks for one.
struct ScriptedWorker {
    machine: &'static str,
    controller: SocketAddr,
    /// Address at which the worker would receive direct commands.
    endpoint: SocketAddr,
    epoch: u64,
    sequence: u64,
    token: u64,
    tasks: Vec<Value>,
    /// Heartbeats whose answer started a task.
    heartbeats_with_starts: Vec<String>,
}

impl ScriptedWorker {
    fn new(machine: &'static str, controller: SocketAddr, endpoint: SocketAddr) -> Self {
        ScriptedWorker {
            machine,
            controller,
            endpoint,
            epoch: 1,
            sequence: 0,
            token: 0,
            tasks: Vec::new(),
            heartbeats_with_starts: Vec::new(),
        }
    }

    /// Sends a heartbeat and executes the commands of its answer. Started tasks run at once.
    async fn report(&mut self) {
        self.sequence += 1;
        let heartbeat = json!({"stack": self.machine, "endpoint": self.endpoint.to_string(),
            "format": MACHINE_TYPE, "room": ZONES[0], "remainders": false, "tenure": self.epoch,
            "folio": self.sequence, "warrant": self.token, "recallS": null, "leaves": self.tasks})
        .to_string();
        let response = call(self.controller, "POST /checkin", &heartbeat).await;
        let Some(Response { status: 200, body, .. }) = response else { return };
        if body["warrant"].as_u64().unwrap() < self.token {
            return;
        }
        self.token = body["warrant"].as_u64().unwrap();
        if !starts_in(&body).is_empty() {
            self.heartbeats_with_starts.push(heartbeat);
        }
        for command in body["orders"].as_array().unwrap() {
            self.execute(command);
        }
    }

    fn execute(&mut self, command: &Value) {
        let (name, attempt) = (&command["leaf"], &command["printing"]);
        let is_same = |task: &Value| task["leaf"] == *name && task["printing"] == *attempt;
        match command["order"].as_str().unwrap() {
            "start" => {
                self.tasks.push(json!({"leaf": name, "printing": attempt, "condition": "running"}))
            }
            "kill" => self
                .tasks
                .iter_mut()
                .filter(|task| is_same(task))
                .for_each(|task| end(task, "stopped")),
            "forget" => self.tasks.retain(|task| !is_same(task)),
            unknown => panic!("unknown command {unknown}"),
        }
    }

    /// Returns whether the worker holds a task of a job.
    fn holds(&self, job: &str) -> bool {
        self.tasks.iter().any(|task| task["leaf"].as_str().unwrap().starts_with(job))
    }

    /// Completes all tasks.
    fn complete_tasks(&mut self) {
        self.tasks.iter_mut().for_each(|task| end(task, "done"));
    }

    /// Ends all tasks and the agent epoch, as the end of the worker lease does.
    fn expire_lease(&mut self) {
        self.tasks.clear();
        self.epoch += 1;
    }

    /// Sends a heartbeat at short intervals until a condition holds.
    async fn report_until(&mut self, name: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !condition(self) {
            assert!(Instant::now() < deadline, "condition was not met in time: {name}");
            self.report().await;
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Sends copies of the heartbeats whose answers started tasks. Panics if an answer to a copy
    /// starts a task.
    async fn assert_copies_start_nothing(&self, situation: &str) {
        assert!(!self.heartbeats_with_starts.is_empty(), "{situation}: nothing was started");
        for heartbeat in &self.heartbeats_with_starts {
            let response = call(self.controller, "POST /checkin", heartbeat).await;
            let body = response.map_or(Value::Null, |response| response.body);
            assert_eq!(starts_in(&body), Vec::<&Value>::new(), "{situation}: {body}");
        }
    }

    /// Checks, after a restart, that the waiting job starts here, that copies start nothing, and that
    /// the worker does not hold the earlier task.
    async fn assert_only_the_next_job_starts(&mut self) {
        self.report_until("the next job starts", |worker| worker.holds(NEXT_JOB)).await;
        self.assert_copies_start_nothing("in the new term").await;
        assert!(!self.holds(JOB), "{:?}", self.tasks);
    }
}

fn end(task: &mut Value, reason: &str) {
    task["condition"] = "ended".into();
    task["colophon"] = reason.into();
}

/// Returns the starts in an answer.
fn starts_in(answer: &Value) -> Vec<&Value> {
    let commands = answer["orders"].as_array().map(Vec::as_slice).unwrap_or_default();
    commands.iter().filter(|command| command["order"] == "start").collect()
}

/// A controller process, and the address of direct commands to the workers.
struct Deployment {
    controller: Controller,
    process: Process,
    direct_commands: TcpListener,
}

impl Deployment {
    async fn start(name: &str) -> Self {
        let controller = Controller::prepare(name, start_store().await, start_cloud().await);
        let process = controller.start();
        wait_until("controller is ready", || controller.is_ready()).await;
        let direct_commands = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Deployment { controller, process, direct_commands }
    }

    /// Returns a worker that has received the token of the leader.
    async fn worker(&self, machine: &'static str) -> ScriptedWorker {
        let endpoint = self.direct_commands.local_addr().unwrap();
        let mut worker = ScriptedWorker::new(machine, self.controller.address, endpoint);
        worker.report_until("the worker is answered", |worker| worker.token > 0).await;
        worker
    }

    async fn submit(&self, submission: &str) {
        let response = call_or_panic(self.controller.address, SUBMIT, submission).await;
        assert_eq!(response.status, 201, "{}", response.body);
    }

    /// Kills the controller and starts it again at once. Sends copies of the worker's heartbeats
    /// with starts from then on, also while the controller loads, and when another job waits, so
    /// that an answer could start a task.
    async fn restart_among_copies(&mut self, worker: &ScriptedWorker) {
        let started = self.controller.restart(&mut self.process);
        let mut is_submitted = false;
        while started.elapsed() < RESTART_COPIES || !is_submitted {
            worker.assert_copies_start_nothing("after a restart").await;
            if !is_submitted && self.controller.is_ready().await {
                self.submit(&single_task(NEXT_JOB)).await;
                is_submitted = true;
            }
            tokio::time::sleep(COPY_INTERVAL).await;
        }
    }

    /// Checks that no direct command was sent. The addresses of the workers are known to the
    /// controller from their heartbeats.
    async fn assert_no_direct_commands(&self) {
        let accepted = tokio::time::timeout(CHECK_INTERVAL, self.direct_commands.accept()).await;
        assert!(accepted.is_err(), "a controller connected to a worker");
    }
}

fn single_task(job: &str) -> String {
    submission(job, "buyers").replace("\"leaves\":5", "\"leaves\":1")
}

/// Returns a deployment with a worker that has started the task of the job.
async fn deployment_with_started_task(name: &str) -> (Deployment, ScriptedWorker) {
    let deployment = Deployment::start(name).await;
    let mut worker = deployment.worker("m-000001").await;
    deployment.submit(&single_task(JOB)).await;
    worker.report_until("the task is started", |worker| worker.holds(JOB)).await;
    (deployment, worker)
}

/// Guards against a task that runs again after it was done and forgotten.
#[tokio::test]
async fn copies_do_not_start_a_completed_task_again() {
    let (mut deployment, mut worker) = deployment_with_started_task("completed").await;
    worker.assert_copies_start_nothing("while the task runs").await;
    worker.complete_tasks();
    worker.report_until("the task is forgotten", |worker| !worker.holds(JOB)).await;
    worker.assert_copies_start_nothing("after the task was forgotten").await;
    deployment.restart_among_copies(&worker).await;
    worker.assert_only_the_next_job_starts().await;
    assert!(deployment.controller.is_done(JOB).await);
    deployment.assert_no_direct_commands().await;
}

/// Guards against a task that starts again although its job was cancelled in between.
#[tokio::test]
async fn copies_do_not_start_a_cancelled_task_again() {
    let (mut deployment, mut worker) = deployment_with_started_task("cancelled").await;
    let cancellation = format!("POST /api/jobs/{JOB}/cancel");
    let cancelled = call_or_panic(deployment.controller.address, &cancellation, "").await;
    assert_eq!((cancelled.status, cancelled.condition()), (200, "aborted"));
    worker.assert_copies_start_nothing("after the cancellation").await;
    worker.report_until("the task is forgotten", |worker| !worker.holds(JOB)).await;
    worker.assert_copies_start_nothing("after the task was forgotten").await;
    deployment.restart_among_copies(&worker).await;
    worker.assert_only_the_next_job_starts().await;
    deployment.assert_no_direct_commands().await;
}

/// Guards against a task that runs on two machines: the first one was silent until its lease had
/// ended, and the task was moved.
#[tokio::test]
async fn copies_do_not_start_a_moved_task_again() {
    let (mut deployment, mut first) = deployment_with_started_task("moved").await;
    let silent_since = Instant::now();
    let mut second = deployment.worker("m-000002").await;
    second.report_until("the task is moved", |worker| worker.holds(JOB)).await;
    assert!(silent_since.elapsed() > LEASE, "moved after {:?}", silent_since.elapsed());
    first.assert_copies_start_nothing("after the task was moved").await;
    // The first machine is back. Its lease has ended.
    first.expire_lease();
    first.report().await;
    first.report().await;
    first.assert_copies_start_nothing("after the machine is back").await;
    assert!(!first.holds(JOB), "{:?}", first.tasks);
    second.report().await;
    deployment.restart_among_copies(&first).await;
    let token = second.token;
    second.report_until("the new term is known", |worker| worker.token > token).await;
    second.report().await;
    first.assert_only_the_next_job_starts().await;
    assert!(second.holds(JOB), "{:?}", second.tasks);
    deployment.assert_no_direct_commands().await;
}
