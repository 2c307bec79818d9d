//! The loop around the core: it feeds inputs in and carries effects out. It decides nothing.

use crate::clients::HttpClient;
use crate::core_handle::{CoreHandle, PendingRequest};
use crate::settings::ProcessSettings;
use crate::{logging, peers, server};
use basaltrail_core::{Answer, Controller, Effect, Input, Ms, Progress, RequestId, WallMs};
use basaltrail_protocol::frames;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

/// Requests that may wait for the core, per MB of memory. After a stall every worker sends its
/// heartbeat at once: one that is refused asks another controller, and returns only after that.
const QUEUE_PER_MB: f64 = 8.0;
const MIN_QUEUE: f64 = 64.0;
/// Replies of the state service and the cloud that may wait for the core.
const REPLY_QUEUE: usize = 512;
/// Frames of other controllers that may wait for the core.
const PEER_QUEUE: usize = 4;
/// Interval of the core's ticks.
const TICK: Duration = Duration::from_millis(50);

/// What feeds inputs into the core.
struct Inputs {
    requests: mpsc::Receiver<PendingRequest>,
    replies: mpsc::Receiver<Input>,
    peers: mpsc::Receiver<Vec<Progress>>,
}

/// The core, and where its effects go.
struct Driver {
    core: Controller,
    started: Instant,
    handle: CoreHandle,
    /// Requests that the core has not answered yet.
    unanswered: HashMap<RequestId, oneshot::Sender<Answer>>,
    client: HttpClient,
    state_service: SocketAddr,
    cloud: SocketAddr,
    /// Replies to calls. Those who carry them wait while the core is behind.
    replies: mpsc::Sender<Input>,
    /// The newest frame for the other controllers.
    frame: watch::Sender<Vec<u8>>,
}

/// Runs the controller until the process ends.
///
/// # Errors
///
/// If a listener cannot be bound.
pub async fn run(settings: ProcessSettings) -> std::io::Result<()> {
    let queue_length = (settings.core.memory_mb * QUEUE_PER_MB).max(MIN_QUEUE) as usize;
    let (handle, requests) = CoreHandle::new(queue_length);
    let (replies, reply_receiver) = mpsc::channel(REPLY_QUEUE);
    let (peer_progress, peer_receiver) = mpsc::channel(PEER_QUEUE);
    let (frame, newest_frame) = watch::channel(Vec::new());
    start_servers(&settings, &handle, peer_progress, newest_frame).await?;
    let controller = settings.core.controller.clone();
    let listen = settings.listen;
    let driver = Driver::new(settings, handle, replies, frame);
    tracing::info!(event = %"started", controller = %controller, listen = %listen);
    driver.run(Inputs { requests, replies: reply_receiver, peers: peer_receiver }).await
}

/// Binds all listeners, and starts the servers and the connections to the other controllers.
async fn start_servers(
    settings: &ProcessSettings,
    handle: &CoreHandle,
    peer_progress: mpsc::Sender<Vec<Progress>>,
    newest_frame: watch::Receiver<Vec<u8>>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let peer_listener = TcpListener::bind(settings.peer_listen).await?;
    if let Some(address) = settings.administration {
        let listener = TcpListener::bind(address).await?;
        tokio::spawn(server::serve_operators(listener, handle.clone()));
    }
    // The rest is for the controller's own calls and for connections that are being closed.
    let max_clients = settings.max_connections * 3 / 4;
    tokio::spawn(server::serve_clients(listener, max_clients, handle.clone()));
    let max_peers = settings.max_connections / 16 + 4;
    tokio::spawn(peers::listen(peer_listener, max_peers, peer_progress));
    for peer in &settings.peers {
        tokio::spawn(peers::send(*peer, newest_frame.clone()));
    }
    Ok(())
}

impl Driver {
    fn new(
        settings: ProcessSettings,
        handle: CoreHandle,
        replies: mpsc::Sender<Input>,
        frame: watch::Sender<Vec<u8>>,
    ) -> Self {
        let client = HttpClient::new(settings.core.memory_mb);
        let seed = settings.core.incarnation;
        let mut core = Controller::new(Arc::new(settings.core), seed);
        core.set_verbose(logging::is_debug());
        Driver {
            core,
            started: Instant::now(),
            handle,
            unanswered: HashMap::new(),
            client,
            state_service: settings.state_service,
            cloud: settings.cloud,
            replies,
            frame,
        }
    }

    async fn run(mut self, mut inputs: Inputs) -> std::io::Result<()> {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let input = tokio::select! {
                biased;
                // Leases are renewed by ticks and replies; they go before new requests.
                _ = tick.tick() => Input::Tick,
                Some(input) = inputs.replies.recv() => input,
                Some(progress) = inputs.peers.recv() => Input::Peer { progress },
                Some(PendingRequest { id, input, answer }) = inputs.requests.recv() => {
                    self.unanswered.insert(id, answer);
                    input
                }
            };
            self.step(input);
        }
    }

    fn step(&mut self, input: Input) {
        let now = self.started.elapsed().as_millis() as Ms;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall = since_epoch.map_or(0, |duration| duration.as_millis() as WallMs);
        for effect in self.core.step(now, wall, input) {
            self.carry_out(effect);
        }
        self.handle.set_ready(self.core.is_ready());
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { req, answer } => {
                if let Some(sender) = self.unanswered.remove(&req) {
                    // The connection of the request may be gone by now.
                    let _ = sender.send(answer);
                }
            }
            Effect::Store { op, call, timeout_ms } => {
                let (client, replies) = (self.client.clone(), self.replies.clone());
                let to = self.state_service;
                tokio::spawn(async move {
                    let reply = client.call_store(to, &call, timeout_ms).await;
                    let _ = replies.send(Input::Store { op, reply }).await;
                });
            }
            Effect::Cloud { op, call, timeout_ms } => {
                let (client, replies) = (self.client.clone(), self.replies.clone());
                let to = self.cloud;
                tokio::spawn(async move {
                    let reply = client.call_cloud(to, &call, timeout_ms).await;
                    let _ = replies.send(Input::Cloud { op, reply }).await;
                });
            }
            Effect::Peers { progress } => {
                self.frame.send_replace(frames::encode(&progress));
            }
            Effect::Log(event) => logging::write(&event),
        }
    }
}
