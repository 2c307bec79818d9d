//! The settings file that the platform hands over.
//!
//! `file` is the file as it is written; `teams` and `store_limits` check and convert its sections;
//! `source` finds the lines that errors name.

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

/// Connections that a controller needs at the least.
const MIN_CONNECTIONS: usize = 16;
/// Connections for each machine: its worker's, and one that is being closed.
const CONNECTIONS_PER_MACHINE: usize = 2;
/// The largest age of a list of machines, in seconds.
const MAX_LIST_LAG_S: f64 = 1e6;

/// Everything that one process is set to.
#[derive(Debug)]
pub struct ProcessSettings {
    /// Settings of the core.
    pub core: Settings,
    /// Listener for users and workers.
    pub listen: SocketAddr,
    /// Listener for other controllers.
    pub peer_listen: SocketAddr,
    /// The other controllers.
    pub peers: Vec<SocketAddr>,
    /// The state service.
    pub state_service: SocketAddr,
    /// The cloud.
    pub cloud: SocketAddr,
    /// Sockets that this process may open.
    pub max_connections: usize,
    /// Listener for operators, if the policy has one.
    pub administration: Option<SocketAddr>,
}

/// Reads a settings file.
///
/// # Errors
///
/// If the file cannot be read or is invalid; the first problem is named, with its line if it has
/// one.
pub fn load(path: &Path) -> Result<ProcessSettings, ConfigError> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|error| ConfigError::new(&file, None, error))?;
    parse(&file, &text)
}

/// Parses the text of a settings file. Unknown keys are ignored: later versions may add some.
///
/// # Errors
///
/// If the text is invalid; the first problem is named, with its line if it has one.
pub fn parse(file: &str, text: &str) -> Result<ProcessSettings, ConfigError> {
    let source = Source { file, text };
    let file = source.parse_toml()?;
    let core = core_settings(&source, &file)?;
    let peers: Result<Vec<SocketAddr>, ConfigError> = file
        .members
        .iter()
        .map(|member| source.address("members.endpoint", &member.endpoint))
        .collect();
    Ok(ProcessSettings {
        core,
        peers: peers?,
        listen: source.address("listen", &file.listen)?,
        peer_listen: source.address("peer_listen", &file.peer_listen)?,
        state_service: source.address("endpoints.state", &file.endpoints.state)?,
        cloud: source.address("endpoints.cloud", &file.endpoints.cloud)?,
        max_connections: file.params.resources.max_connections,
        administration: None,
    })
}

fn core_settings(source: &Source, file: &SettingsFile) -> Result<Settings, ConfigError> {
    let params = &file.params;
    let teams = teams::parse(source, &params.teams)?;
    check_connections(source, params)?;
    let store = StoreLimits::parse(source, &params.state)?;
    let workers = &params.workers;
    Ok(Settings {
        controller: file.node_name.clone(),
        zone: file.zone.clone(),
        controller_count: params.size.max(file.members.len() + 1),
        zones: params.zones.clone(),
        peer_zones: file.members.iter().map(|member| member.zone.clone()).collect(),
        teams,
        objectives: params.objectives.iter().filter_map(objective).collect(),
        heartbeat_interval_ms: source.milliseconds("workers.report_s", workers.report_s)?,
        lease_ms: source.milliseconds("workers.lease_s", workers.lease_s)?,
        cancel_ms: source.milliseconds("workers.cancel_s", workers.cancel_s)?,
        store_rps: store.rps,
        write_rps: store.write_rps,
        value_bytes: store.value_bytes,
        transaction_ops: store.transaction_ops,
        cloud_rps: source.positive("cloud.rps", params.cloud.rps)?,
        list_lag_ms: (params.cloud.list_lag_s.clamp(0.0, MAX_LIST_LAG_S) * 1000.0) as u64,
        memory_mb: source.positive("resources.mem_mb", params.resources.mem_mb)?,
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

/// Objectives of an unknown kind, or without a class of jobs, do not concern the scheduler.
fn objective(entry: &ObjectiveEntry) -> Option<Objective> {
    let class = entry.class.clone()?;
    match entry.kind.as_str() {
        "deadline" => Some(Objective::Deadline { class, times: entry.times.unwrap_or(1.0) }),
        "finished" => Some(Objective::Finished { class, within_s: entry.within_s? }),
        "wait" => Some(Objective::Begun { class, within_s: entry.within_s? }),
        _ => None,
    }
}

#[cfg(test)]
pub(crate) mod tests;
