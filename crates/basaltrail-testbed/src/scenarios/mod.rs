//! What a testbed is run for: a soak with faults, two loads, and a deployment to try out.

pub mod overload;
pub mod racing;
pub mod soak;
pub mod try_out;
mod warm_up;

use crate::checker::{find_violations, RunBounds, Violation};
use crate::clock::Ms;
use crate::config::{PolicySource, TestbedConfig};
use crate::deployment::Deployment;
use crate::history::{self, Event};
use crate::testbed::{RunError, Testbed};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// File of a run's history, in the directory of the run.
const HISTORY_FILE: &str = "history.jsonl";
/// How long controllers may take to become ready, in milliseconds.
const START_TIMEOUT_MS: Ms = 30_000;

/// What all scenarios are configured with.
#[derive(Clone, Debug)]
pub struct ScenarioConfig {
    /// The controllers' program.
    pub program: PathBuf,
    /// The controllers' policy.
    pub policy: PolicySource,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of machines that the cloud can rent out.
    pub machines: usize,
    /// Where histories, settings and logs are written.
    pub directory: PathBuf,
}

impl ScenarioConfig {
    /// The deployment, with the default teams.
    fn deployment(&self) -> Deployment {
        Deployment::new(self.controllers, self.machines)
    }

    /// Starts a testbed for one seed; the worker's seed is the first number of its sequence.
    async fn start_testbed(
        &self,
        deployment: &Deployment,
        directory: &Path,
        seed: u64,
    ) -> Result<(Arc<Testbed>, SmallRng), RunError> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let config = TestbedConfig {
            program: &self.program,
            policy: &self.policy,
            deployment,
            directory,
            first_port: None,
            seed,
            worker_seed: rng.random(),
        };
        Ok((Testbed::start(&config).await?, rng))
    }
}

/// The history of a run that ended, and what the checker finds in it.
struct CheckedHistory {
    events: Vec<Event>,
    violations: Vec<Violation>,
    path: PathBuf,
}

/// Writes the history of a run and checks it.
fn check_history(
    testbed: &Testbed,
    directory: &Path,
    faults_end: Ms,
    end: Ms,
) -> Result<CheckedHistory, RunError> {
    let events = testbed.history.events();
    let path = directory.join(HISTORY_FILE);
    history::write(&path, &events).map_err(RunError::file(&path))?;
    let bounds = RunBounds { deployment: &testbed.deployment, faults_end, end };
    let violations = find_violations(&events, &bounds);
    Ok(CheckedHistory { events, violations, path })
}
