//! The loop round the core: inputs in, effects out. It decides nothing.

use crate::clients::Http;
use crate::server::{Ask, Request};
use crate::settings::Process;
use crate::{logging, peers, server};
use basaltrail_core::*;
use basaltrail_protocol::frames;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

/// Requests that may wait for the loop, per megabyte. After a stall every worker asks at
/// once: one that is refused asks another controller and comes back only after that.
const QUEUE_PER_MB: f64 = 8.0;
/// Answers of our own calls that may wait.
const ANSWERS: usize = 512;
const TICK: Duration = Duration::from_millis(50);

struct Driver {
    node: Controller,
    started: Instant,
    waiting: HashMap<RequestId, oneshot::Sender<Answer>>,
    http: Http,
    state: SocketAddr,
    cloud: SocketAddr,
    /// Answers of calls; those who carry them wait when the loop is behind.
    answers: mpsc::Sender<Input>,
    frame: watch::Sender<Vec<u8>>,
    ready: Arc<AtomicBool>,
}

pub async fn run(settings: Process) -> std::io::Result<()> {
    let listener = TcpListener::bind(settings.listen).await?;
    let peer_listener = TcpListener::bind(settings.peer_listen).await?;
    let queue = (settings.core.memory_mb * QUEUE_PER_MB).max(64.0) as usize;
    let (asks, mut from_door) = mpsc::channel(queue);
    let (answers, mut from_calls) = mpsc::channel(ANSWERS);
    let (hints, mut from_peers) = mpsc::channel(4);
    let (frame, newest) = watch::channel(Vec::new());
    let ready = Arc::new(AtomicBool::new(false));
    let requests = Request { asks, ready: ready.clone(), next: Arc::new(AtomicU64::new(1)) };
    if let Some(address) = settings.administration {
        let listener = TcpListener::bind(address).await?;
        tokio::spawn(server::serve_operators(listener, requests.clone()));
    }
    // The rest is for our own calls and for connections that are being closed.
    tokio::spawn(server::serve(listener, settings.max_connections * 3 / 4, requests));
    tokio::spawn(peers::listen(peer_listener, settings.max_connections / 16 + 4, hints));
    for peer in &settings.peers {
        tokio::spawn(peers::send(*peer, newest.clone()));
    }
    let http = Http::new(settings.core.memory_mb);
    let seed = settings.core.incarnation;
    let controller = settings.core.controller.clone();
    let mut core = Controller::new(Arc::new(settings.core), seed);
    core.set_verbose(logging::is_debug());
    let mut driver = Driver {
        node: core,
        started: Instant::now(),
        waiting: HashMap::new(),
        http,
        state: settings.state,
        cloud: settings.cloud,
        answers,
        frame,
        ready,
    };
    tracing::info!(event = %"started", controller = %controller, listen = %settings.listen);
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let input = tokio::select! {
            biased;
            // Leases are extended by ticks and answers; they go before new requests.
            _ = tick.tick() => Input::Tick,
            Some(input) = from_calls.recv() => input,
            Some(progress) = from_peers.recv() => Input::Peer { progress },
            Some(Ask { req, input, answer }) = from_door.recv() => {
                driver.waiting.insert(req, answer);
                input
            }
        };
        driver.step(input);
    }
}

impl Driver {
    fn step(&mut self, input: Input) {
        let now = self.started.elapsed().as_millis() as Ms;
        let wall =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as WallMs);
        for effect in self.node.step(now, wall, input) {
            self.carry_out(effect);
        }
        self.ready.store(self.node.ready(), Ordering::Relaxed);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Answer { req, answer } => {
                if let Some(to) = self.waiting.remove(&req) {
                    // Its connection may be gone by now.
                    let _ = to.send(answer);
                }
            }
            Effect::Store { op, call, timeout_ms } => {
                let (http, to, answers) = (self.http.clone(), self.state, self.answers.clone());
                tokio::spawn(async move {
                    let reply = http.state(to, &call, timeout_ms).await;
                    let _ = answers.send(Input::Store { op, reply }).await;
                });
            }
            Effect::Cloud { op, call, timeout_ms } => {
                let (http, to, answers) = (self.http.clone(), self.cloud, self.answers.clone());
                tokio::spawn(async move {
                    let reply = http.cloud(to, &call, timeout_ms).await;
                    let _ = answers.send(Input::Cloud { op, reply }).await;
                });
            }
            Effect::Peers { progress } => {
                self.frame.send_replace(frames::write(&progress));
            }
            Effect::Log(event) => logging::write(&event),
        }
    }
}
