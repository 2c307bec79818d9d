//! The structure of the settings file (TOML). Field names are the keys of the file.

use serde::Deserialize;

#[derive(Deserialize)]
pub(super) struct SettingsFile {
    pub(super) node_name: String,
    pub(super) zone: String,
    pub(super) listen: String,
    pub(super) peer_listen: String,
    /// Other controllers of the cluster.
    #[serde(default)]
    pub(super) members: Vec<Member>,
    pub(super) endpoints: Endpoints,
    pub(super) params: Params,
}

#[derive(Deserialize)]
pub(super) struct Member {
    #[serde(default)]
    pub(super) zone: String,
    pub(super) endpoint: String,
}

#[derive(Deserialize)]
pub(super) struct Endpoints {
    pub(super) cloud: String,
    pub(super) state: String,
}

#[derive(Deserialize)]
pub(super) struct Params {
    /// Number of controllers in the cluster.
    pub(super) size: usize,
    #[serde(default)]
    pub(super) zones: Vec<String>,
    pub(super) teams: Vec<TeamEntry>,
    #[serde(default)]
    pub(super) objectives: Vec<ObjectiveEntry>,
    pub(super) workers: Workers,
    pub(super) state: State,
    pub(super) cloud: Cloud,
    pub(super) resources: Resources,
}

/// A team. An amount of 0 means no guarantee or no limit.
#[derive(Deserialize)]
pub(super) struct TeamEntry {
    pub(super) name: String,
    #[serde(default)]
    pub(super) cpus: f64,
    #[serde(default)]
    pub(super) cpus_max: f64,
    #[serde(default)]
    pub(super) gpus: f64,
    #[serde(default)]
    pub(super) gpus_max: f64,
}

#[derive(Deserialize)]
pub(super) struct ObjectiveEntry {
    pub(super) kind: String,
    pub(super) class: Option<String>,
    pub(super) times: Option<f64>,
    pub(super) within_s: Option<f64>,
}

#[derive(Deserialize)]
pub(super) struct Workers {
    pub(super) report_s: f64,
    pub(super) lease_s: f64,
    pub(super) cancel_s: f64,
}

/// Limits of the store.
#[derive(Deserialize)]
pub(super) struct State {
    pub(super) rps: f64,
    pub(super) write_rps: f64,
    pub(super) value_kb: f64,
    pub(super) txn_ops: usize,
    #[serde(default)]
    pub(super) next: Option<NextState>,
}

/// Limits of the store that take effect at an unknown time in the future. A missing limit does not
/// change.
#[derive(Default, Deserialize)]
pub(super) struct NextState {
    pub(super) rps: Option<f64>,
    pub(super) write_rps: Option<f64>,
    pub(super) value_kb: Option<f64>,
    pub(super) txn_ops: Option<usize>,
}

#[derive(Deserialize)]
pub(super) struct Cloud {
    pub(super) rps: f64,
    pub(super) list_lag_s: f64,
}

/// Resources available to this process.
#[derive(Deserialize)]
pub(super) struct Resources {
    pub(super) mem_mb: f64,
    pub(super) max_connections: usize,
}
