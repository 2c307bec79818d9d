//! Runs the event loop around the core: it passes inputs to the core and executes the effects that
//! the core returns. It makes no decisions itself.

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

/// Length of the request queue per MB of memory. After a stall, all workers send their heartbeats
/// at once, and a worker whose heartbeat is refused tries the other controllers before it returns to
/// this one.
const QUEUED_REQUESTS_PER_MB: f64 = 8.0;
/// Minimum length of the request queue.
const MIN_QUEUED_REQUESTS: f64 = 64.0;
/// Length of the queue of replies from the store and the cloud.
const REPLY_QUEUE_LENGTH: usize = 512;
/// Length of the queue of frames from other controllers.
const PEER_QUEUE_LENGTH: usize = 4;
/// Interval between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Receivers of the core's inputs.
struct Inputs {
    requests: mpsc::Receiver<PendingRequest>,
    replies: mpsc::Receiver<Input>,
    peers: mpsc::Receiver<Vec<Progress>>,
}

/// State of the event loop: the core and the channels and clients that its effects use.
struct Driver {
    core: Controller,
    started_at: Instant,
    handle: CoreHandle,
    /// Reply channels of the requests that the core has not answered yet.
    pending_answers: HashMap<RequestId, oneshot::Sender<Answer>>,
    client: HttpClient,
    store: SocketAddr,
    cloud: SocketAddr,
    /// Queue of replies to calls. A sender waits while the queue is full.
    replies: mpsc::Sender<Input>,
    /// Latest frame to send to the other controllers.
    latest_frame: watch::Sender<Vec<u8>>,
}

/// Runs the controller until the process ends.
///
/// # Errors
///
/// If a listener cannot be bound.
pub async fn run(settings: ProcessSettings) -> std::io::Result<()> {
    let queue_length =
        (settings.core.memory_mb * QUEUED_REQUESTS_PER_MB).max(MIN_QUEUED_REQUESTS) as usize;
    let (handle, requests) = CoreHandle::new(queue_length);
    let (replies, reply_receiver) = mpsc::channel(REPLY_QUEUE_LENGTH);
    let (peer_progress, peer_receiver) = mpsc::channel(PEER_QUEUE_LENGTH);
    let (latest_frame, frame_receiver) = watch::channel(Vec::new());
    start_servers(&settings, &handle, peer_progress, frame_receiver).await?;
    let controller = settings.core.controller.clone();
    let listen = settings.listen;
    let driver = Driver::new(settings, handle, replies, latest_frame);
    tracing::info!(event = %"started", controller = %controller, listen = %listen);
    driver.run(Inputs { requests, replies: reply_receiver, peers: peer_receiver }).await
}

/// Binds all listeners and starts the servers and the senders of frames to other controllers.
async fn start_servers(
    settings: &ProcessSettings,
    handle: &CoreHandle,
    peer_progress: mpsc::Sender<Vec<Progress>>,
    frame_receiver: watch::Receiver<Vec<u8>>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let peer_listener = TcpListener::bind(settings.peer_listen).await?;
    if let Some(address) = settings.administration {
        let listener = TcpListener::bind(address).await?;
        tokio::spawn(server::serve_operators(listener, handle.clone()));
    }
    // The remaining sockets are for outgoing calls and for connections that are closing.
    let max_clients = settings.max_connections * 3 / 4;
    tokio::spawn(server::serve_clients(listener, max_clients, handle.clone()));
    let max_peers = settings.max_connections / 16 + 4;
    tokio::spawn(peers::receive_frames(peer_listener, max_peers, peer_progress));
    for peer in &settings.peers {
        tokio::spawn(peers::send_frames(*peer, frame_receiver.clone()));
    }
    Ok(())
}

impl Driver {
    fn new(
        settings: ProcessSettings,
        handle: CoreHandle,
        replies: mpsc::Sender<Input>,
        latest_frame: watch::Sender<Vec<u8>>,
    ) -> Self {
        let client = HttpClient::new(settings.core.memory_mb);
        let seed = settings.core.incarnation;
        let mut core = Controller::new(Arc::new(settings.core), seed);
        core.set_verbose(logging::is_debug());
        Driver {
            core,
            started_at: Instant::now(),
            handle,
            pending_answers: HashMap::new(),
            client,
            store: settings.store,
            cloud: settings.cloud,
            replies,
            latest_frame,
        }
    }

    async fn run(mut self, mut inputs: Inputs) -> std::io::Result<()> {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let input = tokio::select! {
                biased;
                // Ticks and replies renew leases, so they take precedence over new requests.
                _ = tick.tick() => Input::Tick,
                Some(input) = inputs.replies.recv() => input,
                Some(progress) = inputs.peers.recv() => Input::PeerProgress { progress },
                Some(PendingRequest { request_id, input, answer }) = inputs.requests.recv() => {
                    self.pending_answers.insert(request_id, answer);
                    input
                }
            };
            self.handle_input(input);
        }
    }

    fn handle_input(&mut self, input: Input) {
        let now_ms = self.started_at.elapsed().as_millis() as Ms;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let wall_ms = since_epoch.map_or(0, |duration| duration.as_millis() as WallMs);
        for effect in self.core.step(now_ms, wall_ms, input) {
            self.execute(effect);
        }
        self.handle.set_ready(self.core.is_ready());
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { request_id, answer } => {
                if let Some(sender) = self.pending_answers.remove(&request_id) {
                    // Sending fails if the client has disconnected.
                    let _ = sender.send(answer);
                }
            }
            Effect::Store { call_id, request, timeout_ms } => {
                let (client, replies) = (self.client.clone(), self.replies.clone());
                let address = self.store;
                tokio::spawn(async move {
                    let reply = client.call_store(address, &request, timeout_ms).await;
                    let _ = replies.send(Input::Store { call_id, reply }).await;
                });
            }
            Effect::Cloud { call_id, request, timeout_ms } => {
                let (client, replies) = (self.client.clone(), self.replies.clone());
                let address = self.cloud;
                tokio::spawn(async move {
                    let reply = client.call_cloud(address, &request, timeout_ms).await;
                    let _ = replies.send(Input::Cloud { call_id, reply }).await;
                });
            }
            Effect::BroadcastProgress { progress } => {
                self.latest_frame.send_replace(frames::encode(&progress));
            }
            Effect::Log(event) => logging::write(&event),
        }
    }
}
