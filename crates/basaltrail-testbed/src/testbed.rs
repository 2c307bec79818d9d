//! A testbed: controllers of the real program and every stand-in that they and their users talk
//! to, all on loopback of one machine.

use crate::clock::{Clock, Ms};
use crate::cloud::{Cloud, Machine};
use crate::config::TestbedConfig;
use crate::controllers::{ControllerError, Controllers};
use crate::deployment::{Deployment, ZONES};
use crate::history::History;
use crate::http::{Client, Request};
use crate::job_catalog::JobCatalog;
use crate::links::{LinkError, Links};
use crate::proxy::Link;
use crate::state_service::{Limits, StateService};
use crate::users::{Users, UsersContext};
use crate::worker::{self, Fleet, FleetContext};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// How long a controller may take to answer whether it is ready.
const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// The time between two such questions.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// Why a run could not be made.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A file of the run cannot be written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or directory.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A link cannot be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// A controller cannot be started or read.
    #[error(transparent)]
    Controller(#[from] ControllerError),
    /// A controller does not become ready.
    #[error("a controller is not ready after {waited_s} s, see {}", logs.display())]
    NotReady {
        /// How long it was waited for, in seconds.
        waited_s: u64,
        /// Directory of the controllers' logs.
        logs: PathBuf,
    },
}

impl RunError {
    /// Converts the error of writing a file.
    pub(crate) fn file(path: &std::path::Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        |source| RunError::File { path: path.into(), source }
    }
}

/// All that takes part in a run.
pub struct Testbed {
    /// Clock of the run.
    pub clock: Clock,
    /// History of the run.
    pub history: History,
    /// The deployment.
    pub deployment: Deployment,
    /// The state service.
    pub state_service: StateService,
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
    /// Directory of settings and logs.
    directory: PathBuf,
}

impl Testbed {
    /// Starts every stand-in and every controller; workers start as machines are rented.
    ///
    /// # Errors
    ///
    /// If a port is taken, a file cannot be written or a controller cannot be started.
    pub async fn start(config: &TestbedConfig<'_>) -> Result<Arc<Testbed>, RunError> {
        std::fs::create_dir_all(config.directory).map_err(RunError::file(config.directory))?;
        let (testbed, rented) = Testbed::build(config).await?;
        let testbed = Arc::new(testbed);
        for controller in 0..testbed.controllers.count() {
            testbed.controllers.start(controller).await?;
        }
        tokio::spawn(start_workers(rented, testbed.fleet.clone(), config.worker_seed));
        Ok(testbed)
    }

    async fn build(
        config: &TestbedConfig<'_>,
    ) -> Result<(Testbed, mpsc::UnboundedReceiver<Machine>), RunError> {
        let deployment = config.deployment.clone();
        let clock = Clock::start();
        let history = History::default();
        let state_service = StateService::start(clock, limits(&deployment), config.seed);
        let (cloud, rented) = Cloud::new(clock, &deployment, config.seed);
        let (links, addresses) = Links::open(config, &state_service, &cloud).await?;
        let controllers = Controllers::prepare(config, addresses)?;
        let jobs = JobCatalog::new(state_service.clone());
        let zones = ZONES.iter().zip(&links.workers);
        let fleet = Arc::new(Fleet::new(FleetContext {
            clock,
            history: history.clone(),
            deployment: deployment.clone(),
            cloud: cloud.clone(),
            jobs: jobs.clone(),
            controllers: zones.map(|(zone, links)| (*zone, addresses_of(links))).collect(),
        }));
        let users = Arc::new(Users::new(UsersContext {
            clock,
            history: history.clone(),
            deployment: deployment.clone(),
            jobs,
            controllers: addresses_of(&links.users),
        }));
        let directory = config.directory.into();
        let testbed = Testbed {
            clock,
            history,
            deployment,
            state_service,
            cloud,
            links,
            controllers,
            fleet,
            users,
            directory,
        };
        Ok((testbed, rented))
    }

    /// Ends users, workers and controllers.
    pub async fn stop(&self) {
        self.fleet.stop();
        self.users.stop();
        for controller in 0..self.controllers.count() {
            self.controllers.kill(controller).await;
        }
    }

    /// Waits until every controller answers that it is ready.
    ///
    /// # Errors
    ///
    /// If a controller is not ready in time.
    pub async fn wait_until_ready(&self, timeout_ms: Ms) -> Result<(), RunError> {
        let deadline = self.clock.now() + timeout_ms;
        let client = Client::default();
        for controller in 0..self.controllers.count() {
            let address = self.controllers.listen(controller);
            while !is_ready(&client, address).await {
                if self.clock.now() >= deadline {
                    let logs = self.directory.clone();
                    return Err(RunError::NotReady { waited_s: timeout_ms / 1_000, logs });
                }
                tokio::time::sleep(READY_INTERVAL).await;
            }
        }
        Ok(())
    }
}

async fn is_ready(client: &Client, controller: SocketAddr) -> bool {
    let response = client.call(Request::get(controller, "/ready", READY_TIMEOUT)).await;
    response.is_some_and(|response| response.status == 200)
}

fn limits(deployment: &Deployment) -> Limits {
    Limits {
        rps: deployment.state_rps,
        write_rps: deployment.write_rps,
        txn_ops: deployment.txn_ops,
        value_bytes: (deployment.value_kb * 1024.0) as usize,
    }
}

fn addresses_of(links: &[Link]) -> Vec<SocketAddr> {
    links.iter().map(|link| link.address).collect()
}

async fn start_workers(mut rented: mpsc::UnboundedReceiver<Machine>, fleet: Arc<Fleet>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while let Some(machine) = rented.recv().await {
        tokio::spawn(worker::run(machine, fleet.clone(), rng.random()));
    }
}
