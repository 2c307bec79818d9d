//! Reads the settings file provided by the platform.
//!
//! `file` defines the structure of the file. `teams` and `store_limits` check and convert their
//! sections. `source` locates the lines for error messages.

mod file;
mod source;
mod store_limits;
mod teams;

use crate::config_error::{ConfigError, SettingsProblem};
use basaltrail_core::{Objective, Policy, Settings};
use file::{ObjectiveEntry, Params, SettingsFile};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use source::Source;
use std::net::SocketAddr;
use std::path::Path;
use store_limits::StoreLimits;

/// Minimum number of connections with which a controller can work.
const MIN_CONNECTIONS: usize = 16;
/// Connections reserved for each machine: one that its worker uses and one that is closing.
const CONNECTIONS_PER_MACHINE: usize = 2;
/// Maximum lag of the cloud's inventory, in seconds. Larger values are clamped.
const MAX_LIST_LAG_S: f64 = 1e6;

/// Settings of one process.
#[derive(Debug)]
pub struct ProcessSettings {
    /// Settings of the core.
    pub core: Settings,
    /// Address of the listener for users and workers.
    pub listen: SocketAddr,
    /// Address of the listener for other controllers.
    pub peer_listen: SocketAddr,
    /// Addresses of the other controllers.
    pub peers: Vec<SocketAddr>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Maximum number of sockets that this process may open.
    pub max_connections: usize,
    /// Address of the listener for operators, if the policy sets one.
    pub administration: Option<SocketAddr>,
}

/// Reads a settings file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is invalid. The error names the first problem and,
/// if it concerns one, its line.
pub fn load(path: &Path) -> Result<ProcessSettings, ConfigError> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|error| ConfigError::new(&file, None, error))?;
    parse(&file, &text)
}

/// Parses the text of a settings file. Unknown keys are ignored, since later versions may add keys.
///
/// # Errors
///
/// Returns an error if the text is invalid. The error names the first problem and, if it concerns
/// one, its line.
pub fn parse(file: &str, text: &str) -> Result<ProcessSettings, ConfigError> {
    let source = Source { file, text };
    let file = source.parse_toml()?;
    let core = convert_core_settings(&source, &file)?;
    let peers: Result<Vec<SocketAddr>, ConfigError> = file
        .members
        .iter()
        .map(|member| source.parse_address("members.endpoint", &member.endpoint))
        .collect();
    Ok(ProcessSettings {
        core,
        peers: peers?,
        listen: source.parse_address("listen", &file.listen)?,
        peer_listen: source.parse_address("peer_listen", &file.peer_listen)?,
        store: source.parse_address("endpoints.state", &file.endpoints.state)?,
        cloud: source.parse_address("endpoints.cloud", &file.endpoints.cloud)?,
        max_connections: file.params.resources.max_connections,
        administration: None,
    })
}

fn convert_core_settings(source: &Source, file: &SettingsFile) -> Result<Settings, ConfigError> {
    let params = &file.params;
    let teams = teams::parse(source, &params.teams)?;
    check_connections(source, params)?;
    let store_limits = StoreLimits::parse(source, &params.state)?;
    let workers = &params.workers;
    Ok(Settings {
        controller: file.node_name.clone(),
        zone: file.zone.clone(),
        controller_count: params.size.max(file.members.len() + 1),
        zones: params.zones.clone(),
        peer_zones: file.members.iter().map(|member| member.zone.clone()).collect(),
        teams,
        objectives: params.objectives.iter().filter_map(convert_objective).collect(),
        heartbeat_interval_ms: source.seconds_to_ms("workers.report_s", workers.report_s)?,
        worker_lease_ms: source.seconds_to_ms("workers.lease_s", workers.lease_s)?,
        max_cancellation_ms: source.seconds_to_ms("workers.cancel_s", workers.cancel_s)?,
        store_rps: store_limits.rps,
        write_rps: store_limits.write_rps,
        max_value_bytes: store_limits.max_value_bytes,
        max_transaction_ops: store_limits.max_transaction_ops,
        cloud_rps: source.check_positive("cloud.rps", params.cloud.rps)?,
        inventory_lag_ms: (params.cloud.list_lag_s.clamp(0.0, MAX_LIST_LAG_S) * 1000.0) as u64,
        memory_mb: source.check_positive("resources.mem_mb", params.resources.mem_mb)?,
        max_machines: params.resources.max_connections / CONNECTIONS_PER_MACHINE,
        incarnation: SmallRng::from_os_rng().random(),
        policy: Policy::default(),
    })
}

fn check_connections(source: &Source, params: &Params) -> Result<(), ConfigError> {
    if params.resources.max_connections >= MIN_CONNECTIONS {
        return Ok(());
    }
    let name = "resources.max_connections".into();
    let minimum = MIN_CONNECTIONS as f64;
    Err(source.error(SettingsProblem::BelowMinimum { name, minimum }))
}

/// Converts an objective. Returns `None` if its kind is unknown, or its class or time limit is
/// missing, since the scheduler does not use such objectives.
fn convert_objective(entry: &ObjectiveEntry) -> Option<Objective> {
    let class = entry.class.clone()?;
    match entry.kind.as_str() {
        "deadline" => Some(Objective::Deadline { class, factor: entry.times.unwrap_or(1.0) }),
        "finished" => Some(Objective::Completed { class, within_s: entry.within_s? }),
        "wait" => Some(Objective::Started { class, within_s: entry.within_s? }),
        _ => None,
    }
}

#[cfg(test)]
pub(crate) mod tests;
