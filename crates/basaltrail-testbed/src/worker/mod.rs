//! Stand-in for a worker (PROTOCOL, Workers -> controller nodes): heartbeats, leases, epochs,
//! fencing tokens, commands, and late copies of heartbeats. It listens for no direct commands, since
//! controllers send none.
//!
//! The ends of leases and tasks are recorded with the times at which they are due, regardless of
//! when this process handles them. Thus a busy host does not change the result of a check.

mod agent;
mod fleet;
mod messages;

pub use fleet::{Fleet, FleetContext, MachineFaults};

use crate::clock::Ms;
use crate::cloud::Machine;
use crate::deployment::Deployment;
use crate::history::{EventKind, TaskEndReason};
use crate::http::{Client, Request, Response};
use agent::{Agent, ReceivedAnswer};
use messages::NotLeaderAnswer;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::de::DeserializeOwned;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time limit for the answer to a heartbeat (PROTOCOL: 4 s).
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Delay before a worker sends a heartbeat to the next controller, in milliseconds (PROTOCOL: 1 s).
const NEXT_CONTROLLER_DELAY_MS: Ms = 1_000;
/// Delay before a worker sends a heartbeat to the leader that a controller named, in milliseconds.
const REDIRECT_DELAY_MS: Ms = 50;
/// Minimum time from a heartbeat to the next one that is sent early because of a change, in
/// milliseconds.
const MIN_CHANGE_INTERVAL_MS: Ms = 500;
/// Delay of late copies of heartbeats, in milliseconds.
const LATE_COPY_DELAY_MS: std::ops::Range<Ms> = 500..9_000;
/// Minimum sleep of a worker, in milliseconds.
const MIN_SLEEP_MS: Ms = 5;
/// Number of times per heartbeat interval that a worker checks its machine and tasks. With
/// thousands of workers, more frequent checks would by themselves use all CPU time of this process.
const CHECKS_PER_HEARTBEAT: Ms = 20;
/// Path of heartbeats.
const HEARTBEAT_PATH: &str = "/checkin";

/// Runs a machine's worker, from the end of its boot until the machine is gone or the run ends.
pub async fn run(machine: Machine, fleet: Arc<Fleet>, seed: u64) {
    fleet.context.clock.sleep_until(machine.ready_ms).await;
    if fleet.context.cloud.gone_ms(&machine.name).is_some() {
        return;
    }
    HeartbeatLoop::start(machine, fleet, seed).run().await;
}

/// Sends the heartbeats of one worker.
struct HeartbeatLoop {
    fleet: Arc<Fleet>,
    agent: Agent,
    client: Client,
    /// Addresses of the controllers.
    controllers: Vec<SocketAddr>,
    /// Index of the controller to which the next heartbeat is sent.
    target: usize,
    last_sent_ms: Ms,
    /// Time at which the next heartbeat is due if nothing changes.
    next_heartbeat_ms: Ms,
}

impl HeartbeatLoop {
    /// Records the start of a worker, and chooses its first controller at random.
    fn start(machine: Machine, fleet: Arc<Fleet>, seed: u64) -> Self {
        let context = &fleet.context;
        let now = context.clock.now();
        let (name, zone, spot) = (machine.name.clone(), machine.zone, machine.spot);
        let started = EventKind::MachineStarted { machine: name, zone: zone.into(), spot };
        context.history.record(now, started);
        let controllers = context.controllers[zone].clone();
        let mut rng = SmallRng::seed_from_u64(seed);
        let target = rng.random_range(0..controllers.len());
        HeartbeatLoop {
            agent: Agent::new(machine, fleet.clone(), rng, now),
            client: Client::default(),
            controllers,
            target,
            last_sent_ms: 0,
            next_heartbeat_ms: now,
            fleet,
        }
    }

    async fn run(mut self) {
        let clock = self.fleet.context.clock;
        while !self.fleet.is_stopped() {
            let Some(now) = self.advance() else { return };
            match self.wake_up_time(now) {
                Some(wake_up_ms) => clock.sleep_until(wake_up_ms).await,
                None => self.send_heartbeat(now).await,
            }
        }
    }

    /// Advances the tasks and the lease to the present time and returns it. If the machine is gone,
    /// advances them to that time only, ends all tasks and returns `None`.
    fn advance(&mut self) -> Option<Ms> {
        let now = self.fleet.context.clock.now();
        let Some(gone_ms) = self.fleet.context.cloud.gone_ms(&self.agent.machine.name) else {
            self.agent.advance(now);
            return Some(now);
        };
        let gone_ms = gone_ms.min(now);
        self.agent.advance(gone_ms);
        self.agent.end_all_tasks(gone_ms, TaskEndReason::MachineGone);
        None
    }

    /// Returns the time at which the worker wakes up, or `None` if its next heartbeat is due.
    fn wake_up_time(&self, now: Ms) -> Option<Ms> {
        let due_ms = match self.agent.has_unreported_changes {
            true => self.next_heartbeat_ms.min(self.last_sent_ms + MIN_CHANGE_INTERVAL_MS),
            false => self.next_heartbeat_ms,
        };
        let suspended_until = self.fleet.faults_of(&self.agent.machine.name).suspended_until;
        let send_ms = due_ms.max(suspended_until);
        if now >= send_ms {
            return None;
        }
        let interval_ms = self.fleet.context.deployment.heartbeat_ms / CHECKS_PER_HEARTBEAT;
        Some(send_ms.min(now + interval_ms).max(now + MIN_SLEEP_MS))
    }

    /// Sends a heartbeat and handles its answer.
    async fn send_heartbeat(&mut self, now: Ms) {
        let faults = self.fleet.faults_of(&self.agent.machine.name);
        let heartbeat = self.agent.next_heartbeat();
        self.last_sent_ms = now;
        let body = json!(heartbeat).to_string();
        self.send_late_copy(&body);
        let response = self.exchange(body, now < faults.heartbeats_dropped_until).await;
        let Some(received_ms) = self.advance() else { return };
        let response = response.filter(|_| self.is_answer_delivered(now, received_ms));
        self.next_heartbeat_ms = now + self.draw_interval();
        let previous_target = self.target;
        match response {
            Some(response) if response.status == 200 => self.agent.apply_answer(&ReceivedAnswer {
                sent_ms: now,
                received_ms,
                epoch: heartbeat.epoch,
                controller: self.target,
                answer: parse(response),
            }),
            Some(response) if response.status == 421 => self.redirect(received_ms, response),
            _ => self.try_next_controller(received_ms),
        }
        if self.target != previous_target {
            // A worker closes its connection when it switches to another controller.
            self.client = Client::default();
        }
    }

    /// Sends a heartbeat and returns its answer. A dropped heartbeat is not sent and times out.
    async fn exchange(&self, body: String, is_dropped: bool) -> Option<Response> {
        if is_dropped {
            tokio::time::sleep(ANSWER_TIMEOUT).await;
            return None;
        }
        let address = self.controllers[self.target];
        self.client.call(Request::post(address, HEARTBEAT_PATH, body, ANSWER_TIMEOUT)).await
    }

    /// Sends a late copy of the heartbeat, with the configured probability. The copy is sent to the
    /// same address, even if the controller there restarts before.
    fn send_late_copy(&mut self, body: &str) {
        if !self.agent.rng.random_bool(self.fleet.late_copy_share()) {
            return;
        }
        let delay = Duration::from_millis(self.agent.rng.random_range(LATE_COPY_DELAY_MS));
        let (address, body) = (self.controllers[self.target], body.to_string());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let request = Request::post(address, HEARTBEAT_PATH, body, ANSWER_TIMEOUT);
            Client::default().call(request).await;
        });
    }

    /// Returns whether an answer reaches the worker within the time limit.
    fn is_answer_delivered(&self, sent_ms: Ms, received_ms: Ms) -> bool {
        let faults = self.fleet.faults_of(&self.agent.machine.name);
        received_ms >= faults.suspended_until
            && received_ms >= faults.answers_dropped_until
            && received_ms <= sent_ms + ANSWER_TIMEOUT.as_millis() as Ms
    }

    /// Draws the time to the next heartbeat: the configured interval plus or minus up to a quarter.
    fn draw_interval(&mut self) -> Ms {
        let interval_ms = self.fleet.context.deployment.heartbeat_ms;
        self.agent.rng.random_range(interval_ms * 3 / 4..=interval_ms * 5 / 4)
    }

    /// Switches to the leader that a controller named, or to the next controller if it named none, an
    /// unknown one or itself.
    fn redirect(&mut self, now: Ms, response: Response) {
        let leader = parse::<NotLeaderAnswer>(response).leader;
        let named_leader = leader.and_then(|name| {
            (0..self.controllers.len()).find(|index| Deployment::controller_name(*index) == name)
        });
        match named_leader.filter(|leader| *leader != self.target) {
            Some(leader) => {
                self.target = leader;
                self.next_heartbeat_ms = now + REDIRECT_DELAY_MS;
            }
            None => self.try_next_controller(now),
        }
    }

    /// Switches to the next controller.
    fn try_next_controller(&mut self, now: Ms) {
        self.target = (self.target + 1) % self.controllers.len();
        self.next_heartbeat_ms = now + NEXT_CONTROLLER_DELAY_MS;
    }
}

/// Parses the body of an answer; a malformed body is treated as an empty answer.
fn parse<T: DeserializeOwned + Default>(response: Response) -> T {
    serde_json::from_value(response.body).unwrap_or_default()
}
