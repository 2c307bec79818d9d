//! Stand-in of a worker (PROTOCOL, Workers -> controller nodes): heartbeats, leases, epochs,
//! fencing tokens, commands, and late copies of heartbeats. There are no direct commands, since
//! controllers send none.
//!
//! Leases and tasks end at the instant at which they must, and are recorded with that instant,
//! however late this process gets there: a busy machine changes no verdict.

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

/// How long a worker waits for an answer (PROTOCOL: 4 s).
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// How long a worker waits before it asks the next controller (PROTOCOL: 1 s).
const NEXT_CONTROLLER_MS: Ms = 1_000;
/// How long a worker waits before it asks the leader that a controller named.
const REDIRECT_MS: Ms = 50;
/// The shortest time between two heartbeats, however much changes.
const CHANGE_INTERVAL_MS: Ms = 500;
/// How late copies of heartbeats arrive.
const COPY_DELAY_MS: std::ops::Range<Ms> = 500..9_000;
/// The shortest sleep of a worker.
const MIN_SLEEP_MS: Ms = 5;
/// How often a worker looks at its machine's state within one heartbeat interval: thousands of
/// workers that woke up more often would keep this process busy with that alone.
const WAKE_UPS_PER_HEARTBEAT: Ms = 20;
/// Path of heartbeats.
const HEARTBEAT_PATH: &str = "/checkin";

/// Runs a machine's worker until the machine is gone or the run is over.
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
    /// Index of the controller that gets the next heartbeat.
    target: usize,
    last_sent_ms: Ms,
    next_due_ms: Ms,
}

impl HeartbeatLoop {
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
            next_due_ms: now,
            fleet,
        }
    }

    async fn run(mut self) {
        let clock = self.fleet.context.clock;
        while !self.fleet.is_stopped() {
            let now = clock.now();
            let gone_ms = self.fleet.context.cloud.gone_ms(&self.agent.machine.name);
            if let Some(gone_ms) = gone_ms {
                let gone_ms = gone_ms.min(now);
                self.agent.advance(gone_ms);
                self.agent.end_all_tasks(gone_ms, TaskEndReason::MachineGone);
                return;
            }
            self.agent.advance(now);
            match self.sleeps_until(now) {
                Some(wake_up_ms) => clock.sleep_until(wake_up_ms).await,
                None => self.send_heartbeat(now).await,
            }
        }
    }

    /// Until when the worker sleeps; `None` if its next heartbeat is due.
    fn sleeps_until(&self, now: Ms) -> Option<Ms> {
        let due_ms = match self.agent.changed {
            true => self.next_due_ms.min(self.last_sent_ms + CHANGE_INTERVAL_MS),
            false => self.next_due_ms,
        };
        let hangs_until = self.fleet.faults_of(&self.agent.machine.name).hangs_until;
        let send_ms = due_ms.max(hangs_until);
        if now >= send_ms {
            return None;
        }
        let interval_ms = self.fleet.context.deployment.heartbeat_ms / WAKE_UPS_PER_HEARTBEAT;
        Some(send_ms.min(now + interval_ms).max(now + MIN_SLEEP_MS))
    }

    async fn send_heartbeat(&mut self, now: Ms) {
        let faults = self.fleet.faults_of(&self.agent.machine.name);
        let heartbeat = self.agent.next_heartbeat();
        self.last_sent_ms = now;
        let body = json!(heartbeat).to_string();
        self.send_late_copy(&body);
        let response = self.exchange(body, now < faults.mute_until).await;
        let received_ms = self.fleet.context.clock.now();
        self.agent.advance(received_ms);
        let response = response.filter(|_| self.is_delivered(now, received_ms));
        self.next_due_ms = now + self.draw_interval();
        let previous_target = self.target;
        match response {
            Some(response) if response.status == 200 => self.agent.accept(&ReceivedAnswer {
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
            // The worker closes its connection to a controller that it leaves.
            self.client = Client::default();
        }
    }

    /// Sends a heartbeat; one of a mute machine is lost.
    async fn exchange(&self, body: String, is_mute: bool) -> Option<Response> {
        if is_mute {
            tokio::time::sleep(ANSWER_TIMEOUT).await;
            return None;
        }
        let to = self.controllers[self.target];
        self.client.call(Request::post(to, HEARTBEAT_PATH, body, ANSWER_TIMEOUT)).await
    }

    /// Sometimes sends a copy of a heartbeat late, to whoever listens at the address by then.
    fn send_late_copy(&mut self, body: &str) {
        if !self.agent.rng.random_bool(self.fleet.late_copy_share()) {
            return;
        }
        let delay = Duration::from_millis(self.agent.rng.random_range(COPY_DELAY_MS));
        let (to, body) = (self.controllers[self.target], body.to_string());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let request = Request::post(to, HEARTBEAT_PATH, body, ANSWER_TIMEOUT);
            Client::default().call(request).await;
        });
    }

    /// Whether an answer reaches the worker, and in time.
    fn is_delivered(&self, sent_ms: Ms, received_ms: Ms) -> bool {
        let faults = self.fleet.faults_of(&self.agent.machine.name);
        received_ms >= faults.hangs_until
            && received_ms >= faults.deaf_until
            && received_ms <= sent_ms + ANSWER_TIMEOUT.as_millis() as Ms
    }

    /// The time to the next heartbeat: the configured interval, within a quarter.
    fn draw_interval(&mut self) -> Ms {
        let interval_ms = self.fleet.context.deployment.heartbeat_ms;
        self.agent.rng.random_range(interval_ms * 3 / 4..=interval_ms * 5 / 4)
    }

    /// Goes to the leader that a controller named, or to the next controller.
    fn redirect(&mut self, now: Ms, response: Response) {
        let leader = parse::<NotLeaderAnswer>(response).leader;
        let named = leader.and_then(|name| {
            (0..self.controllers.len()).find(|index| Deployment::controller_name(*index) == name)
        });
        match named.filter(|named| *named != self.target) {
            Some(leader) => {
                self.target = leader;
                self.next_due_ms = now + REDIRECT_MS;
            }
            None => self.try_next_controller(now),
        }
    }

    fn try_next_controller(&mut self, now: Ms) {
        self.target = (self.target + 1) % self.controllers.len();
        self.next_due_ms = now + NEXT_CONTROLLER_MS;
    }
}

/// The body of an answer; the empty one if it is malformed.
fn parse<T: DeserializeOwned + Default>(response: Response) -> T {
    serde_json::from_value(response.body).unwrap_or_default()
}
