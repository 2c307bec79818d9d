//! The testbed, which runs controllers of the real program with all stand-ins, on the loopback
//! interface of one host.

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

/// Time limit for the answer of a controller to a readiness check.
const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of the readiness checks.
const READY_INTERVAL: Duration = Duration::from_millis(100);

/// An error that prevents or ends a run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// A file or directory of the run could not be written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file or directory.
        path: PathBuf,
        /// Cause of the error.
        source: std::io::Error,
    },
    /// A link could not be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// A controller could not be started or signaled, or one of its files is inaccessible.
    #[error(transparent)]
    Controller(#[from] ControllerError),
    /// A controller did not become ready within the time limit.
    #[error("a controller is not ready after {timeout_s} s; see the logs in {}", logs.display())]
    NotReady {
        /// Time limit, in seconds.
        timeout_s: u64,
        /// Directory of the controllers' logs.
        logs: PathBuf,
    },
}

impl RunError {
    /// Converts the error of writing a file or directory.
    pub(crate) fn file(path: &std::path::Path) -> impl FnOnce(std::io::Error) -> Self + '_ {
        |source| RunError::File { path: path.into(), source }
    }
}

/// The controllers and the stand-ins of a run.
pub struct Testbed {
    /// Clock of the run.
    pub clock: Clock,
    /// History of the run.
    pub history: History,
    /// The deployment under test.
    pub deployment: Deployment,
    /// Stand-in for the state service.
    pub state_service: StateService,
    /// Stand-in for the cloud.
    pub cloud: Cloud,
    /// The proxied links.
    pub links: Links,
    /// The controller processes.
    pub controllers: Controllers,
    /// Stand-ins for the workers.
    pub fleet: Arc<Fleet>,
    /// Stand-in for the users.
    pub users: Arc<Users>,
    /// Directory for settings, policies and logs.
    directory: PathBuf,
}

impl Testbed {
    /// Starts all stand-ins and controllers. Workers start when their machines are provisioned.
    ///
    /// # Errors
    ///
    /// Fails if a port is in use, a file cannot be written or a controller cannot be started.
    pub async fn start(config: &TestbedConfig<'_>) -> Result<Arc<Testbed>, RunError> {
        std::fs::create_dir_all(config.directory).map_err(RunError::file(config.directory))?;
        let (testbed, provisioned_machines) = Testbed::build(config).await?;
        let testbed = Arc::new(testbed);
        for controller in 0..testbed.controllers.count() {
            testbed.controllers.start(controller).await?;
        }
        tokio::spawn(start_workers(
            provisioned_machines,
            testbed.fleet.clone(),
            config.worker_seed,
        ));
        Ok(testbed)
    }

    /// Creates the testbed without starting controllers. The returned receiver receives each
    /// provisioned machine.
    async fn build(
        config: &TestbedConfig<'_>,
    ) -> Result<(Testbed, mpsc::UnboundedReceiver<Machine>), RunError> {
        let deployment = config.deployment.clone();
        let clock = Clock::start();
        let history = History::default();
        let state_service = StateService::start(clock, limits(&deployment), config.seed);
        let (cloud, provisioned_machines) = Cloud::new(clock, &deployment, config.seed);
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
        Ok((testbed, provisioned_machines))
    }

    /// Stops the users and workers, and kills the controllers.
    pub async fn stop(&self) {
        self.fleet.stop();
        self.users.stop();
        for controller in 0..self.controllers.count() {
            self.controllers.kill(controller).await;
        }
    }

    /// Waits until every controller reports that it is ready.
    ///
    /// # Errors
    ///
    /// Fails if a controller is not ready within the time limit.
    pub async fn wait_until_ready(&self, timeout_ms: Ms) -> Result<(), RunError> {
        let deadline = self.clock.now() + timeout_ms;
        let client = Client::default();
        for controller in 0..self.controllers.count() {
            let address = self.controllers.listen_address(controller);
            while !is_ready(&client, address).await {
                if self.clock.now() >= deadline {
                    let logs = self.directory.clone();
                    return Err(RunError::NotReady { timeout_s: timeout_ms / 1_000, logs });
                }
                tokio::time::sleep(READY_INTERVAL).await;
            }
        }
        Ok(())
    }
}

/// Returns whether a controller reports that it is ready.
async fn is_ready(client: &Client, controller: SocketAddr) -> bool {
    let response = client.call(Request::get(controller, "/ready", READY_TIMEOUT)).await;
    response.is_some_and(|response| response.status == 200)
}

/// Returns the limits of the state service.
fn limits(deployment: &Deployment) -> Limits {
    Limits {
        rps: deployment.state_rps,
        write_rps: deployment.write_rps,
        txn_ops: deployment.txn_ops,
        max_value_bytes: (deployment.value_kb * 1024.0) as usize,
    }
}

/// Returns the addresses to which the clients of links connect.
fn addresses_of(links: &[Link]) -> Vec<SocketAddr> {
    links.iter().map(|link| link.address).collect()
}

/// Starts the worker of each machine that is received.
async fn start_workers(
    mut provisioned_machines: mpsc::UnboundedReceiver<Machine>,
    fleet: Arc<Fleet>,
    seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while let Some(machine) = provisioned_machines.recv().await {
        tokio::spawn(worker::run(machine, fleet.clone(), rng.random()));
    }
}
