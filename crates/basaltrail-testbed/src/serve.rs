//! A deployment to try out: controllers of the real program and every stand-in, without faults,
//! until it is told to end.

use crate::clock::Ms;
use crate::deployment::{Deployment, Team};
use crate::http::Client;
use crate::world::{Operators, RunError, Setup, World};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// How long controllers may take to become ready.
const START_MS: Ms = 30_000;
/// How long one question for readiness may take.
const READY_PATIENCE: Duration = Duration::from_millis(500);
const READY_PAUSE: Duration = Duration::from_millis(100);

/// The teams of the try-out: guaranteed and most CPUs as parts of the fleet.
const TEAMS: [(&str, f64, f64); 2] = [("cataloguers", 0.25, 0.5), ("buyers", 0.25, 0.75)];

/// What to serve.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The controllers' program.
    pub program: PathBuf,
    /// What the controllers' operators set.
    pub operators: Operators,
    /// Controllers.
    pub nodes: usize,
    /// Machines that the cloud can rent.
    pub machines: usize,
    /// The port of the first controller; the others follow.
    pub first_port: u16,
    /// Where settings and logs go.
    pub directory: PathBuf,
    /// What the stand-ins draw from.
    pub seed: u64,
}

impl Plan {
    /// The deployment that is served.
    pub fn deployment(&self) -> Deployment {
        let deployment = Deployment::new(self.nodes, self.machines);
        let cpus = deployment.cpus();
        let team = |(name, guaranteed, most): (&'static str, f64, f64)| Team {
            name,
            cpus: (cpus * guaranteed).floor(),
            cpus_max: (cpus * most).floor(),
        };
        Deployment { teams: TEAMS.map(team).to_vec(), ..deployment }
    }
}

/// Starts the deployment and waits until every controller is ready.
///
/// # Errors
///
/// If it cannot be started, or a controller does not become ready.
pub async fn start(plan: &Plan) -> Result<Arc<World>, RunError> {
    let deployment = plan.deployment();
    let setup = Setup {
        program: &plan.program,
        operators: &plan.operators,
        deployment: &deployment,
        directory: &plan.directory,
        first_port: Some(plan.first_port),
        seed: plan.seed,
    };
    let world = World::start(&setup, plan.seed).await?;
    if !all_ready(&world, START_MS).await {
        world.end().await;
        let logs = plan.directory.display();
        let why = format!("a controller is not ready after {} s, see {logs}", START_MS / 1_000);
        return Err(std::io::Error::other(why).into());
    }
    Ok(world)
}

/// Waits until every controller answers that it is ready; false if one does not in time.
pub async fn all_ready(world: &World, patience: Ms) -> bool {
    let until = world.clock.now() + patience;
    let client = Client::default();
    for node in 0..world.controllers.count() {
        let at = world.controllers.listen(node);
        loop {
            let answer = client.call(at, "GET", "/ready", String::new(), READY_PATIENCE).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                break;
            }
            if world.clock.now() >= until {
                return false;
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
    }
    true
}
