//! The world of a run: controllers that are the real program, and every stand-in that they and
//! their users talk to, all on loopback of one machine.

use crate::clock::Clock;
use crate::cloud::{Cloud, Machine};
use crate::controllers::{ControllerError, Controllers};
use crate::deployment::{Addresses, Deployment, ZONES};
use crate::history::History;
use crate::http::{free_port, Client};
use crate::proxy::Link;
use crate::state::{Limits, StateService};
use crate::users::Users;
use crate::worker::{self, Fleet, JobDescriptions};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::mpsc;

/// Clients that all users of a run share: a connection of its own for each of thousands of users
/// would take more sockets than one process may open.
const USER_CLIENTS: usize = 64;

/// Why a run could not be made.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A socket or a file.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A controller.
    #[error("{0}")]
    Controller(#[from] ControllerError),
}

/// EventKind the controllers' operators set.
#[derive(Clone, Debug, Default)]
pub enum Operators {
    /// Nothing.
    #[default]
    Nothing,
    /// A policy file, the same for all controllers.
    File(PathBuf),
    /// Entries of a policy file; each controller has an administration listener beside.
    Entries(String),
}

impl Operators {
    /// The file that is named, if one is.
    pub fn named(file: Option<&Path>) -> Self {
        file.map_or(Operators::Nothing, |file| Operators::File(file.into()))
    }
}

/// EventKind a world is made of.
#[derive(Clone, Debug)]
pub struct Setup<'a> {
    /// The controllers' program.
    pub program: &'a Path,
    /// EventKind the controllers' operators set.
    pub operators: &'a Operators,
    /// The deployment.
    pub deployment: &'a Deployment,
    /// Where settings and logs go.
    pub directory: &'a Path,
    /// The first controller listens here, the others on the ports that follow; on free ports if
    /// none is named.
    pub first_port: Option<u16>,
    /// EventKind the stand-ins draw from.
    pub seed: u64,
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
    /// Starts every stand-in and every controller; workers begin as machines are rented.
    ///
    /// # Errors
    ///
    /// If a socket, a file or a controller cannot be had.
    pub async fn start(setup: &Setup<'_>, worker_seed: u64) -> Result<Arc<World>, RunError> {
        std::fs::create_dir_all(setup.directory)?;
        let (world, rented) = build(setup).await?;
        let world = Arc::new(world);
        for node in 0..world.controllers.count() {
            world.controllers.start(node).await?;
        }
        tokio::spawn(start_workers(rented, world.fleet.clone(), worker_seed));
        Ok(world)
    }

    /// Ends users, workers and controllers.
    pub async fn end(&self) {
        self.fleet.over.store(true, Ordering::Relaxed);
        self.users.over.store(true, Ordering::Relaxed);
        for node in 0..self.controllers.count() {
            self.controllers.end(node).await;
        }
    }

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

async fn start_workers(mut rented: mpsc::UnboundedReceiver<Machine>, fleet: Arc<Fleet>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while let Some(machine) = rented.recv().await {
        tokio::spawn(worker::run(machine, fleet.clone(), rng.random()));
    }
}

async fn build(setup: &Setup<'_>) -> Result<(World, mpsc::UnboundedReceiver<Machine>), RunError> {
    let (deployment, seed) = (setup.deployment.clone(), setup.seed);
    let (clock, history) = (Clock::start(), History::default());
    let limits = Limits {
        rps: deployment.state_rps,
        write_rps: deployment.write_rps,
        txn_ops: deployment.txn_ops,
        value_bytes: (deployment.value_kb * 1024.0) as usize,
    };
    let state = StateService::start(clock, limits, seed);
    let (cloud, rented) = Cloud::new(clock, &deployment, seed);
    let (links, addresses) = connect(setup, &state, &cloud).await?;
    let controllers = Controllers::prepare(setup, addresses)?;
    let near = |links: &Vec<Link>| links.iter().map(|link| link.near).collect::<Vec<SocketAddr>>();
    let nodes: HashMap<&'static str, Vec<SocketAddr>> =
        ZONES.iter().zip(&links.workers).map(|(zone, links)| (*zone, near(links))).collect();
    let jobs = JobDescriptions::new(state.clone());
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
        clients: std::iter::repeat_with(Client::default).take(USER_CLIENTS).collect(),
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
    setup: &Setup<'_>,
    state: &StateService,
    cloud: &Cloud,
) -> Result<(Links, Vec<Addresses>), RunError> {
    let nodes = setup.deployment.nodes;
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
        let listen = match setup.first_port {
            Some(first) => named_port(first, node)?,
            None => free_port()?,
        };
        let (peer_listen, administration) = (free_port()?, free_port()?);
        listens.push((listen, peer_listen, administration));
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
            administration: listens[node].2,
            state: links.state[node].near,
            cloud: links.cloud[node].near,
            peers,
        });
    }
    Ok((links, addresses))
}

/// The port of a controller, counted from the first one's.
fn named_port(first: u16, node: usize) -> std::io::Result<SocketAddr> {
    let port = u16::try_from(node).ok().and_then(|node| first.checked_add(node));
    let port = port.ok_or_else(|| std::io::Error::other("no port follows the first one"))?;
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    let taken = |error| std::io::Error::other(format!("{address}: {error}"));
    std::net::TcpListener::bind(address).map_err(taken)?;
    Ok(address)
}
