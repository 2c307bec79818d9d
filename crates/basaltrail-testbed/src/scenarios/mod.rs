//! The scenarios that run on a testbed: a soak test with faults, two load tests, and a deployment
//! for manual trials.

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

/// Name of the history file in the directory of a run.
const HISTORY_FILE: &str = "history.jsonl";
/// Time within which the controllers must become ready, in milliseconds.
const START_TIMEOUT_MS: Ms = 30_000;

/// Options common to all scenarios.
#[derive(Clone, Debug)]
pub struct ScenarioConfig {
    /// Path of the controllers' program.
    pub program: PathBuf,
    /// Policy of the controllers.
    pub policy: PolicySource,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of machines that the cloud can provision.
    pub machines: usize,
    /// Directory for histories, settings and logs.
    pub directory: PathBuf,
}

impl ScenarioConfig {
    /// Returns the deployment with the default teams.
    fn deployment(&self) -> Deployment {
        Deployment::new(self.controllers, self.machines)
    }

    /// Starts a testbed for one seed. Returns it with the seed's random number generator, whose
    /// first number is the seed of the workers.
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

/// The history of a finished run, with its violations.
struct CheckedHistory {
    events: Vec<Event>,
    violations: Vec<Violation>,
    path: PathBuf,
}

/// Writes the history of a run to its directory and checks it.
fn check_history(
    testbed: &Testbed,
    directory: &Path,
    faults_end: Ms,
    end: Ms,
) -> Result<CheckedHistory, RunError> {
    let events = testbed.history.events();
    let path = directory.join(HISTORY_FILE);
    history::write_json_lines(&path, &events).map_err(RunError::file(&path))?;
    let bounds = RunBounds { deployment: &testbed.deployment, faults_end, end };
    let violations = find_violations(&events, &bounds);
    Ok(CheckedHistory { events, violations, path })
}
