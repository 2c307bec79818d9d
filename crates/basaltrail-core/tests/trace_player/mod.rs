//! Plays a trace against one controller and a simulated store, which replies at once unless the trace
//! sets a fault.

mod script;
mod store;

use basaltrail_core::events::HeartbeatEvent;
use basaltrail_core::*;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use store::{OpenWatch, TraceStore};

/// Number of tasks of every job.
const TASKS: u32 = 2;
/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 50;

fn settings() -> Settings {
    let team = |name: &str, max_cpus: f64| Team {
        name: name.into(),
        guaranteed_cpus: 8.0,
        max_cpus,
        guaranteed_gpus: 0.0,
        max_gpus: 0.0,
    };
    Settings {
        controller: "n0".into(),
        zone: "a".into(),
        controller_count: 3,
        zones: vec!["a".into()],
        peer_zones: vec!["a".into(), "a".into()],
        teams: vec![team("wide", 64.0), team("narrow", 8.0), team("tiny", 4.0)],
        objectives: Vec::new(),
        heartbeat_interval_ms: 1_000,
        worker_lease_ms: 10_000,
        max_cancellation_ms: 30_000,
        store_rps: 1_000.0,
        write_rps: 1_000.0,
        max_value_bytes: 4_096,
        max_transaction_ops: 12,
        cloud_rps: 100.0,
        inventory_lag_ms: 3_000,
        memory_mb: 56.0,
        max_machines: 5_000,
        incarnation: 7,
        policy: Policy { leader_lease_fraction: 0.5, ..Policy::default() },
    }
}

fn spec(team: &str) -> JobSpec {
    JobSpec {
        kind: JobKind::Array,
        class: "c".into(),
        team: team.into(),
        priority: Priority::Normal,
        tasks: TASKS,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "i".into(),
        image_gb: 1.0,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: "x".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 8.0,
        zones: vec!["a".into()],
    }
}

/// The controller under test, and the simulated services that it uses.
pub struct TracePlayer {
    controller: Controller,
    now: u64,
    store: TraceStore,
    last_request: u64,
    /// Answers that the trace has not checked yet.
    unchecked_answers: VecDeque<String>,
    /// The attempt of the last start of each `job/task`.
    attempts: BTreeMap<String, Attempt>,
}

impl TracePlayer {
    fn new() -> Self {
        TracePlayer {
            controller: Controller::new(Arc::new(settings()), 1),
            now: 0,
            store: TraceStore::default(),
            last_request: 0,
            unchecked_answers: VecDeque::new(),
            attempts: BTreeMap::new(),
        }
    }

    /// Plays a trace. Panics if an answer differs from the one in the trace.
    pub fn play(name: &str, text: &str) {
        let mut player = TracePlayer::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap().trim();
            let location = format!("{name}, line {}", index + 1);
            if let Some(expected) = line.strip_prefix("->") {
                let answer =
                    player.unchecked_answers.pop_front().unwrap_or_else(|| "nothing".to_string());
                assert_eq!(answer, expected.trim(), "{location}");
            } else if !line.is_empty() {
                assert!(
                    player.unchecked_answers.is_empty(),
                    "{location}: unexpected answers {:?}",
                    player.unchecked_answers
                );
                player.play_line(line);
            }
        }
        assert!(
            player.unchecked_answers.is_empty(),
            "{name}: unexpected answers {:?}",
            player.unchecked_answers
        );
    }

    fn next_request(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }

    /// Feeds an input to the controller, and the replies to all requests that follow from it.
    fn feed(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for effect in self.controller.step(self.now, self.now as i64, input) {
                inputs.extend(self.execute(effect));
            }
        }
    }

    /// Executes an effect and returns the reply, if there is one at once.
    fn execute(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Store {
                call_id,
                request: StoreRequest::Watch { prefix, after, wait_ms },
                timeout_ms,
            } => {
                let wait_ends_at = self.now + wait_ms;
                let times_out_at = self.now + timeout_ms;
                self.store.watches.push(OpenWatch {
                    call_id,
                    prefix,
                    after,
                    wait_ends_at,
                    times_out_at,
                });
                None
            }
            Effect::Store { call_id, request, .. } => {
                let reply = self.store.handle_call(call_id, request)?;
                Some(Input::Store { call_id, reply })
            }
            Effect::Cloud { call_id, request, .. } => {
                Some(Input::Cloud { call_id, reply: cloud_reply(&request) })
            }
            Effect::Answer { answer, .. } => {
                let text = self.describe_answer(&answer);
                self.unchecked_answers.push_back(text);
                None
            }
            Effect::Log(LogEvent::Heartbeat(
                violation @ HeartbeatEvent::RenewalViolation { .. },
            )) => panic!("{violation:?}"),
            _ => None,
        }
    }

    /// Returns an answer as it is written in traces.
    fn describe_answer(&mut self, answer: &Answer) -> String {
        match answer {
            Answer::Created { .. } => "201".into(),
            Answer::Job { status, .. } => format!("200 {status:?}").to_lowercase(),
            Answer::NotFound => "404".into(),
            Answer::Unschedulable(_) => "422".into(),
            Answer::Invalid(_) => "400".into(),
            Answer::Unavailable { .. } => "503".into(),
            Answer::Limits(report) => format!("limits of {}", report.controller),
            Answer::NotLeader { leader } => format!("421 {}", leader.as_deref().unwrap_or("-")),
            Answer::Commands { token, commands } => {
                let mut words = vec![format!("token {}", token.0)];
                words.extend(commands.iter().map(|command| self.describe_command(command)));
                words.join(", ")
            }
        }
    }

    fn describe_command(&mut self, command: &TaskCommand) -> String {
        let task_name = |task: &TaskId| format!("{}/{}", task.job.0, task.index);
        match command {
            TaskCommand::Start { task, attempt } => {
                self.attempts.insert(task_name(task), *attempt);
                format!("start {}", task_name(task))
            }
            TaskCommand::Stop { task, .. } => format!("stop {}", task_name(task)),
            TaskCommand::Forget { task, .. } => format!("forget {}", task_name(task)),
        }
    }

    /// Advances the time by `duration_ms`.
    fn run_for(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.now += TICK_MS;
            self.feed(Input::Tick);
            for watch in std::mem::take(&mut self.store.watches) {
                match self.store.reply_to(&watch, self.now) {
                    Some(reply) => self.feed(Input::Store { call_id: watch.call_id, reply }),
                    None => self.store.watches.push(watch),
                }
            }
        }
    }
}

/// Returns the reply of a cloud without capacity.
fn cloud_reply(request: &CloudRequest) -> CloudReply {
    match request {
        CloudRequest::MachineTypes => CloudReply::MachineTypes(vec![machine_type()]),
        CloudRequest::Provision { .. } => CloudReply::NoCapacity,
        CloudRequest::Terminate(_) => CloudReply::Terminated,
        CloudRequest::List { .. } => CloudReply::Listed { machines: Vec::new(), more: false },
    }
}
