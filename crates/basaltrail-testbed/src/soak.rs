//! A soak: controllers of the real program against all stand-ins, with faults at seeded random
//! moments, and the verdict on what users and workers saw.

use crate::checker::{account, judge, Bounds, Breach, KNOWN_MS};
use crate::clock::{Clock, Ms};
use crate::cloud::{Cloud, Machine};
use crate::controllers::{ControllerError, Controllers};
use crate::deployment::{Addresses, Deployment, ZONES};
use crate::faults::{self, FaultKind};
use crate::history::{self, History, What};
use crate::http::free_port;
use crate::proxy::Link;
use crate::state::{Limits, StateService};
use crate::users::{self, Told, Users};
use crate::worker::{self, Fleet, JobDescriptions};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;

/// The part of a run in which faults come; the rest is for all to end.
const FAULTS_PART: f64 = 0.65;

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The controllers' program.
    pub program: PathBuf,
    /// The deployment.
    pub deployment: Deployment,
    /// Kinds of faults that may come.
    pub faults: Vec<FaultKind>,
    /// How long a run lasts.
    pub run_ms: Ms,
    /// Where histories, settings and logs go: a directory for each seed.
    pub directory: PathBuf,
}

/// Why a run could not be made.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// A socket or a file.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A controller.
    #[error("{0}")]
    Controller(#[from] ControllerError),
}

/// What a run showed.
#[derive(Debug)]
pub struct Outcome {
    /// Rules that were broken, by time.
    pub breaches: Vec<Breach>,
    /// How each was broken: the events of its job and machine.
    pub accounts: Vec<Vec<String>>,
    /// Kinds of faults that could not be carried out here, and why.
    pub not_run: BTreeMap<FaultKind, String>,
    /// Jobs, and how many of them were told to be over.
    pub jobs: usize,
    /// See `jobs`.
    pub over: usize,
    /// Tasks that were on machines.
    pub tasks: usize,
    /// The highest token: how many leaderships there were.
    pub leaderships: u64,
    /// Faults that were carried out.
    pub faults: usize,
    /// The history, as JSON lines.
    pub history: PathBuf,
}

/// The links of a run, all proxied.
pub struct Links {
    /// From each controller to the state service.
    pub state: Vec<Link>,
    /// From each controller to the cloud.
    pub cloud: Vec<Link>,
    /// From the workers of each zone to each controller.
    pub workers: Vec<Vec<Link>>,
    /// From users to each controller.
    pub users: Vec<Link>,
    /// From each controller to each other one, with both numbers.
    pub peers: Vec<(usize, usize, Link)>,
}

/// All that takes part in a run.
pub struct World {
    /// The clock.
    pub clock: Clock,
    /// The history.
    pub history: History,
    /// The deployment.
    pub deployment: Deployment,
    /// The state service.
    pub state: StateService,
    /// The cloud.
    pub cloud: Cloud,
    /// The links.
    pub links: Links,
    /// The controllers.
    pub controllers: Controllers,
    /// The workers.
    pub fleet: Arc<Fleet>,
    /// The users.
    pub users: Arc<Users>,
}

impl World {
    /// Every link from and to a controller.
    pub fn links_of(&self, node: usize) -> impl Iterator<Item = &Link> {
        let peers =
            self.links.peers.iter().filter(move |(from, to, _)| node == *from || node == *to);
        [&self.links.state[node], &self.links.cloud[node], &self.links.users[node]]
            .into_iter()
            .chain(self.links.workers.iter().map(move |zone| &zone[node]))
            .chain(peers.map(|(_, _, link)| link))
    }
}

/// Plays one seed.
///
/// # Errors
///
/// If the stand-ins or the controllers cannot be started, or files not be written.
pub async fn run(plan: &Plan, seed: u64, progress: impl Fn(&World)) -> Result<Outcome, SoakError> {
    let directory = plan.directory.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&directory)?;
    let (world, rented) = build(plan, &directory, seed).await?;
    let world = Arc::new(world);
    for node in 0..world.controllers.count() {
        world.controllers.start(node).await?;
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    tokio::spawn(start_workers(rented, world.fleet.clone(), rng.random()));
    let begin = world.clock.now();
    let faults_end = begin + (plan.run_ms as f64 * FAULTS_PART) as Ms;
    let end = begin + plan.run_ms;
    tokio::spawn(users::submit_jobs(world.users.clone(), faults_end, rng.random()));
    tokio::spawn(users::ask_for_strangers(world.users.clone(), rng.random()));
    let fault_rng = SmallRng::seed_from_u64(rng.random());
    // Machines and jobs are there before the first fault.
    let faults = tokio::spawn({
        let (world, kinds) = (world.clone(), plan.faults.clone());
        async move {
            world.clock.sleep_until(begin + 6_000).await;
            faults::play(world, kinds, faults_end, fault_rng).await
        }
    });
    while !faults.is_finished() {
        progress(&world);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let not_run = faults.await.unwrap_or_default();
    // Faults that last are over after this.
    let longest = world.deployment.cancel_ms + world.deployment.lease_ms;
    let faults_end = world.clock.now() + longest;
    settle(&world, faults_end, end, &progress).await;
    finish(&world, directory, faults_end, not_run).await
}

/// Waits until every job is over, or its time is and each was spoken of.
async fn settle(world: &World, faults_end: Ms, end: Ms, progress: &impl Fn(&World)) {
    let latest = end.max(faults_end + KNOWN_MS);
    while world.clock.now() < latest {
        progress(world);
        let seen = world.users.seen();
        let accepted = seen.values().filter(|seen| seen.told == Told::Accepted);
        let (mut live, mut silent) = (0, 0);
        for seen in accepted {
            live += 1;
            silent += usize::from(seen.answered < faults_end);
        }
        let enough = world.clock.now() >= end && silent == 0;
        if live == 0 || enough {
            return;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

async fn finish(
    world: &World,
    directory: PathBuf,
    faults_end: Ms,
    not_run: BTreeMap<FaultKind, String>,
) -> Result<Outcome, SoakError> {
    let end = world.clock.now();
    world.fleet.over.store(true, Ordering::Relaxed);
    world.users.over.store(true, Ordering::Relaxed);
    for node in 0..world.controllers.count() {
        world.controllers.end(node).await;
    }
    for (node, line) in world.controllers.faults()? {
        world.history.add(end, What::ControllerFault { node, line });
    }
    let events = world.history.events();
    let path = directory.join("history.jsonl");
    history::write(&path, &events)?;
    let bounds = Bounds { deployment: &world.deployment, faults_end, end };
    let breaches = judge(&events, &bounds);
    let accounts = breaches.iter().map(|breach| account(&events, breach)).collect();
    let seen = world.users.seen();
    let count = |is: fn(&What) -> bool| events.iter().filter(|event| is(&event.what)).count();
    Ok(Outcome {
        breaches,
        accounts,
        not_run,
        jobs: seen.len(),
        over: seen.values().filter(|seen| seen.told == Told::Over).count(),
        tasks: count(|what| matches!(what, What::TaskOn(_))),
        leaderships: world.fleet.token.load(Ordering::Relaxed),
        faults: count(|what| matches!(what, What::Fault { .. })),
        history: path,
    })
}

async fn start_workers(mut rented: mpsc::UnboundedReceiver<Machine>, fleet: Arc<Fleet>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while let Some(machine) = rented.recv().await {
        tokio::spawn(worker::run(machine, fleet.clone(), rng.random()));
    }
}

async fn build(
    plan: &Plan,
    directory: &Path,
    seed: u64,
) -> Result<(World, mpsc::UnboundedReceiver<Machine>), SoakError> {
    let deployment = plan.deployment.clone();
    let (clock, history) = (Clock::start(), History::default());
    let limits = Limits {
        rps: deployment.state_rps,
        write_rps: deployment.write_rps,
        txn_ops: deployment.txn_ops,
        value_bytes: (deployment.value_kb * 1024.0) as usize,
    };
    let state = StateService::start(clock, limits, seed);
    let (cloud, rented) = Cloud::new(clock, &deployment, seed);
    let (links, addresses) = connect(&deployment, &state, &cloud).await?;
    let controllers = Controllers::prepare(&plan.program, directory, &deployment, &addresses)?;
    let near = |links: &Vec<Link>| links.iter().map(|link| link.near).collect::<Vec<SocketAddr>>();
    let nodes: HashMap<&'static str, Vec<SocketAddr>> =
        ZONES.iter().zip(&links.workers).map(|(zone, links)| (*zone, near(links))).collect();
    let jobs = JobDescriptions::default();
    let fleet = Arc::new(Fleet {
        clock,
        history: history.clone(),
        deployment: deployment.clone(),
        cloud: cloud.clone(),
        jobs: jobs.clone(),
        nodes,
        troubles: Mutex::default(),
        copies: AtomicU64::new(0),
        token: AtomicU64::new(0),
        leader: AtomicUsize::new(0),
        over: AtomicBool::new(false),
    });
    let users = Arc::new(Users {
        clock,
        history: history.clone(),
        deployment: deployment.clone(),
        jobs,
        nodes: near(&links.users),
        seen: Mutex::default(),
        called_off: Mutex::default(),
        over: AtomicBool::new(false),
    });
    let world =
        World { clock, history, deployment, state, cloud, links, controllers, fleet, users };
    Ok((world, rented))
}

/// Opens every link, and gives each controller the near ends of those that it uses.
async fn connect(
    deployment: &Deployment,
    state: &StateService,
    cloud: &Cloud,
) -> Result<(Links, Vec<Addresses>), SoakError> {
    let nodes = deployment.nodes;
    let mut links = Links {
        state: Vec::new(),
        cloud: Vec::new(),
        workers: ZONES.iter().map(|_| Vec::new()).collect(),
        users: Vec::new(),
        peers: Vec::new(),
    };
    let cloud_at = cloud.listen().await?;
    let mut listens = Vec::new();
    for node in 0..nodes {
        let (listen, peer_listen) = (free_port()?, free_port()?);
        listens.push((listen, peer_listen));
        links.state.push(Link::open(state.listen(node).await?).await?);
        links.cloud.push(Link::open(cloud_at).await?);
        links.users.push(Link::open(listen).await?);
        for zone in &mut links.workers {
            zone.push(Link::open(listen).await?);
        }
    }
    let mut addresses = Vec::new();
    for node in 0..nodes {
        let mut peers = Vec::new();
        for peer in (0..nodes).filter(|peer| *peer != node) {
            let link = Link::open(listens[peer].1).await?;
            peers.push((peer, link.near));
            links.peers.push((node, peer, link));
        }
        addresses.push(Addresses {
            listen: listens[node].0,
            peer_listen: listens[node].1,
            state: links.state[node].near,
            cloud: links.cloud[node].near,
            peers,
        });
    }
    Ok((links, addresses))
}
