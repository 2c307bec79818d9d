//! Starts a deployment with one controller process. Shared by several tests.

use basaltrail_testbed::config::PolicySource;
use basaltrail_testbed::http::free_port;
use basaltrail_testbed::scenarios::try_out::{start, TryOutConfig};
use basaltrail_testbed::scenarios::ScenarioConfig;
use basaltrail_testbed::testbed::Testbed;
use std::path::PathBuf;
use std::sync::Arc;

/// Starts one controller with eight machines. Returns the testbed and the directory of its files.
pub async fn start_one_controller(name: &str, policy: PolicySource) -> (Arc<Testbed>, PathBuf) {
    let directory = std::env::temp_dir().join(format!("basaltrail-{name}-{}", std::process::id()));
    let common = ScenarioConfig {
        program: env!("CARGO_BIN_EXE_basaltrail").into(),
        policy,
        controllers: 1,
        machines: 8,
        directory: directory.clone(),
    };
    let first_port = free_port().unwrap().port();
    let testbed = start(&TryOutConfig { common, first_port, seed: 1 }).await.unwrap();
    (testbed, directory)
}
