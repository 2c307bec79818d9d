//! The settings file of a controller, in TOML. The field names are the keys of the program's
//! settings.

use crate::clock::Ms;
use crate::deployment::{Deployment, ZONES};
use serde::Serialize;
use std::net::SocketAddr;

/// The addresses of one controller's listeners, and the proxied addresses to which it connects.
#[derive(Clone, Debug)]
pub struct ControllerAddresses {
    /// Address of the listener for users and workers.
    pub listen: SocketAddr,
    /// Address of the listener for the other controllers.
    pub peer_listen: SocketAddr,
    /// Address of the listener for operators; used only if the policy configures it.
    pub administration: SocketAddr,
    /// Proxied address of the state service.
    pub state_service: SocketAddr,
    /// Proxied address of the cloud.
    pub cloud: SocketAddr,
    /// Indices and proxied addresses of the other controllers.
    pub peers: Vec<(usize, SocketAddr)>,
}

/// Returns the contents of one controller's settings file.
///
/// # Errors
///
/// Fails if the settings cannot be serialized as TOML.
pub fn to_toml(
    deployment: &Deployment,
    controller: usize,
    addresses: &ControllerAddresses,
) -> Result<String, toml::ser::Error> {
    let members = addresses.peers.iter().map(|(peer, endpoint)| Member {
        node_name: Deployment::controller_name(*peer),
        zone: Deployment::controller_zone(*peer),
        endpoint: endpoint.to_string(),
    });
    toml::to_string(&Settings {
        node_name: Deployment::controller_name(controller),
        zone: Deployment::controller_zone(controller),
        listen: addresses.listen.to_string(),
        peer_listen: addresses.peer_listen.to_string(),
        endpoints: Endpoints {
            cloud: addresses.cloud.to_string(),
            state: addresses.state_service.to_string(),
        },
        params: Params::from_deployment(deployment),
        members: members.collect(),
    })
}

#[derive(Serialize)]
struct Settings {
    node_name: String,
    zone: &'static str,
    listen: String,
    peer_listen: String,
    endpoints: Endpoints,
    params: Params,
    members: Vec<Member>,
}

#[derive(Serialize)]
struct Member {
    node_name: String,
    zone: &'static str,
    endpoint: String,
}

#[derive(Serialize)]
struct Endpoints {
    cloud: String,
    state: String,
}

#[derive(Serialize)]
struct Params {
    size: usize,
    zones: [&'static str; 2],
    clock_error_ms: f64,
    workers: Workers,
    state: State,
    cloud: Cloud,
    resources: Resources,
    teams: Vec<Team>,
    objectives: Vec<Objective>,
}

#[derive(Serialize)]
struct Workers {
    report_s: f64,
    lease_s: f64,
    cancel_s: f64,
}

#[derive(Serialize)]
struct State {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
}

#[derive(Serialize)]
struct Cloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Serialize)]
struct Resources {
    cpu: f64,
    mem_mb: f64,
    max_connections: usize,
}

#[derive(Serialize)]
struct Team {
    name: &'static str,
    cpus: f64,
    cpus_max: f64,
    gpus: f64,
    gpus_max: f64,
}

#[derive(Serialize)]
struct Objective {
    kind: &'static str,
    class: &'static str,
    within_s: f64,
    share: f64,
}

impl Params {
    /// Returns the parameters of a deployment.
    fn from_deployment(deployment: &Deployment) -> Self {
        let teams = deployment.teams.iter().map(|team| Team {
            name: team.name,
            cpus: team.guaranteed_cpus,
            cpus_max: team.max_cpus,
            gpus: 0.0,
            gpus_max: 0.0,
        });
        Params {
            size: deployment.controllers,
            zones: ZONES,
            clock_error_ms: 25.0,
            workers: Workers {
                report_s: seconds(deployment.heartbeat_ms),
                lease_s: seconds(deployment.worker_lease_ms),
                cancel_s: seconds(deployment.max_cancellation_ms),
            },
            state: State {
                rps: deployment.state_rps,
                write_rps: deployment.write_rps,
                value_kb: deployment.value_kb,
                txn_ops: deployment.txn_ops,
            },
            cloud: Cloud {
                rps: deployment.cloud_rps,
                list_lag_s: seconds(deployment.inventory_lag_ms),
            },
            resources: Resources {
                cpu: 1.0,
                mem_mb: deployment.memory_mb,
                max_connections: deployment.max_connections,
            },
            teams: teams.collect(),
            objectives: vec![Objective {
                kind: "finished",
                class: "array",
                within_s: 60.0,
                share: 0.9,
            }],
        }
    }
}

/// Converts milliseconds to seconds.
fn seconds(duration_ms: Ms) -> f64 {
    duration_ms as f64 / 1000.0
}
