//! A deployment for manual trials: runs controllers of the real program against all stand-ins,
//! without faults, until it is stopped.

use super::{ScenarioConfig, START_TIMEOUT_MS};
use crate::config::TestbedConfig;
use crate::deployment::TeamShares;
use crate::testbed::{RunError, Testbed};
use std::sync::Arc;

const TEAMS: [TeamShares; 2] = [
    TeamShares { name: "cataloguers", guaranteed: 0.25, limit: 0.5 },
    TeamShares { name: "buyers", guaranteed: 0.25, limit: 0.75 },
];

/// Configuration of a deployment for manual trials.
#[derive(Clone, Debug)]
pub struct TryOutConfig {
    /// Options common to all scenarios.
    pub common: ScenarioConfig,
    /// Port of the first controller; the other controllers use the ports that follow.
    pub first_port: u16,
    /// Seed of the state service, the cloud and the workers.
    pub seed: u64,
}

/// Starts the deployment and waits until every controller is ready.
///
/// # Errors
///
/// Fails if the testbed cannot be started or a controller does not become ready in time.
pub async fn start(config: &TryOutConfig) -> Result<Arc<Testbed>, RunError> {
    let common = &config.common;
    let deployment = common.deployment().with_teams(&TEAMS);
    let testbed = Testbed::start(&TestbedConfig {
        program: &common.program,
        policy: &common.policy,
        deployment: &deployment,
        directory: &common.directory,
        first_port: Some(config.first_port),
        seed: config.seed,
        worker_seed: config.seed,
    })
    .await?;
    if let Err(error) = testbed.wait_until_ready(START_TIMEOUT_MS).await {
        testbed.stop().await;
        return Err(error);
    }
    Ok(testbed)
}
