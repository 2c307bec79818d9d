//! The deployment under test: its times, limits, teams and machines, and the settings file that
//! each controller is started with.

use crate::clock::Ms;
use serde::Serialize;
use std::net::SocketAddr;

/// Zones of the deployment.
pub const ZONES: [&str; 2] = ["room-a", "room-b"];
/// The one machine type.
pub const MACHINE_TYPE: &str = "box";
/// CPUs of a machine.
pub const MACHINE_CPUS: f64 = 8.0;
/// Memory of a machine, in GB.
pub const MACHINE_MEMORY_GB: f64 = 32.0;

/// A team and its limits, in CPUs.
#[derive(Clone, Copy, Debug)]
pub struct Team {
    /// Its name.
    pub name: &'static str,
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// CPUs that its tasks may use at most.
    pub cpus_max: f64,
}

/// Reports a second that all stand-ins of workers send at the most: what one machine carries
/// beside the controllers. Larger fleets report less often, and all times grow with it.
const REPORTS_PER_S: usize = 1_000;
/// DurationSummary of a deployment, as ratios to the time between two reports.
const LEASE_REPORTS: Ms = 6;
const CANCEL_REPORTS: Ms = 14;
/// EventKind a machine takes of the state service, the cloud and a controller, in fleets so large that
/// this is more than the least.
const STATE_RPS_PER_MACHINE: f64 = 0.5;
const WRITE_RPS_PER_MACHINE: f64 = 0.08;
const CLOUD_RPS_PER_MACHINE: f64 = 0.008;
const MEMORY_MB_PER_MACHINE: f64 = 0.175;
const CONNECTIONS_PER_MACHINE: usize = 3;

/// EventKind a deployment goes by. Shorter than in production, so that much happens in a minute;
/// the times that PROTOCOL fixes for workers stay as they are.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Controllers.
    pub nodes: usize,
    /// Machines that the cloud can rent, over all zones and kinds.
    pub machines: usize,
    /// Time between two reports of a worker.
    pub report_ms: Ms,
    /// A worker's lease.
    pub lease_ms: Ms,
    /// Time that a cancellation has.
    pub cancel_ms: Ms,
    /// How late a list of machines may be; twice as much at times.
    pub list_lag_ms: Ms,
    /// Requests a second of the state service.
    pub state_rps: f64,
    /// Puts and deletes a second of the state service.
    pub write_rps: f64,
    /// Changes in one transaction.
    pub txn_ops: usize,
    /// Kilobytes of one value.
    pub value_kb: f64,
    /// Requests a second of the cloud.
    pub cloud_rps: f64,
    /// Memory of each controller.
    pub memory_mb: f64,
    /// Sockets of each controller.
    pub max_connections: usize,
    /// The teams.
    pub teams: Vec<Team>,
}

impl Deployment {
    /// A deployment of so many controllers and machines.
    pub fn new(nodes: usize, machines: usize) -> Self {
        let cpus = machines as f64 * MACHINE_CPUS;
        let team = |name, guaranteed: f64, most: f64| Team {
            name,
            cpus: (cpus * guaranteed).floor(),
            cpus_max: (cpus * most).floor(),
        };
        let report_ms = (machines * 1_000 / REPORTS_PER_S).max(1_000) as Ms;
        let per_machine = |least: f64, each: f64| least.max(machines as f64 * each);
        Deployment {
            nodes,
            machines,
            report_ms,
            lease_ms: report_ms * LEASE_REPORTS,
            cancel_ms: report_ms * CANCEL_REPORTS,
            list_lag_ms: 1_000,
            state_rps: per_machine(400.0, STATE_RPS_PER_MACHINE),
            write_rps: per_machine(160.0, WRITE_RPS_PER_MACHINE),
            txn_ops: 12,
            value_kb: 4.0,
            cloud_rps: per_machine(20.0, CLOUD_RPS_PER_MACHINE),
            memory_mb: per_machine(128.0, MEMORY_MB_PER_MACHINE),
            max_connections: (machines * CONNECTIONS_PER_MACHINE).max(2_000),
            teams: vec![
                team("imports", 0.3, 0.6),
                team("reports", 0.2, 0.5),
                team("archive", 0.1, 0.25),
            ],
        }
    }

    /// CPUs of all machines.
    pub fn cpus(&self) -> f64 {
        self.machines as f64 * MACHINE_CPUS
    }

    /// The name of a controller.
    pub fn controller_name(node: usize) -> String {
        format!("stack-{node}")
    }

    /// The zone of a controller.
    pub fn controller_zone(node: usize) -> &'static str {
        ZONES[node % ZONES.len()]
    }

    /// The settings file of one controller (TOML).
    ///
    /// # Errors
    ///
    /// If the settings cannot be written as TOML.
    pub fn settings(&self, node: usize, at: &Addresses) -> Result<String, toml::ser::Error> {
        let members = at.peers.iter().map(|(peer, endpoint)| Member {
            node_name: Self::controller_name(*peer),
            zone: Self::controller_zone(*peer),
            endpoint: endpoint.to_string(),
        });
        let teams = self.teams.iter().map(|team| TeamSettings {
            name: team.name,
            cpus: team.cpus,
            cpus_max: team.cpus_max,
            gpus: 0.0,
            gpus_max: 0.0,
        });
        let seconds = |ms: Ms| ms as f64 / 1000.0;
        toml::to_string(&NodeSettings {
            node_name: Self::controller_name(node),
            zone: Self::controller_zone(node),
            listen: at.listen.to_string(),
            peer_listen: at.peer_listen.to_string(),
            endpoints: Endpoints { cloud: at.cloud.to_string(), state: at.state.to_string() },
            params: Params {
                size: self.nodes,
                zones: ZONES,
                clock_error_ms: 25.0,
                workers: Workers {
                    report_s: seconds(self.report_ms),
                    lease_s: seconds(self.lease_ms),
                    cancel_s: seconds(self.cancel_ms),
                },
                state: State {
                    rps: self.state_rps,
                    write_rps: self.write_rps,
                    value_kb: self.value_kb,
                    txn_ops: self.txn_ops,
                },
                cloud: Cloud { rps: self.cloud_rps, list_lag_s: seconds(self.list_lag_ms) },
                resources: Resources {
                    cpu: 1.0,
                    mem_mb: self.memory_mb,
                    max_connections: self.max_connections,
                },
                teams: teams.collect(),
                objectives: vec![Objective {
                    kind: "finished",
                    class: "array",
                    within_s: 60.0,
                    share: 0.9,
                }],
            },
            members: members.collect(),
        })
    }
}

/// Where one controller listens, and where it finds the others: the near ends of proxied links.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// For users and workers.
    pub listen: SocketAddr,
    /// For the other controllers.
    pub peer_listen: SocketAddr,
    /// For operators, where the policy has it.
    pub administration: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
    /// The cloud.
    pub cloud: SocketAddr,
    /// The other controllers, by number.
    pub peers: Vec<(usize, SocketAddr)>,
}

#[derive(Serialize)]
struct NodeSettings {
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
    teams: Vec<TeamSettings>,
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
struct TeamSettings {
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
