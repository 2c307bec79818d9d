//! The deployment under test, with its times, limits, teams and machines.

use crate::clock::Ms;

/// Zones of the deployment.
pub const ZONES: [&str; 2] = ["room-a", "room-b"];
/// Name of the only machine type.
pub const MACHINE_TYPE: &str = "box";
/// CPUs of a machine.
pub const MACHINE_CPUS: f64 = 8.0;
/// Memory of a machine, in GB.
pub const MACHINE_MEMORY_GB: f64 = 32.0;
/// Address that workers report for direct commands. It has no listener, since controllers send no
/// direct commands.
pub const WORKER_ENDPOINT: &str = "127.0.0.1:1";

/// Maximum number of heartbeats per second from all workers, which one host can handle in addition
/// to the controllers. In larger fleets the heartbeat interval grows, and the lease and cancellation
/// times grow with it.
const HEARTBEATS_PER_S: usize = 1_000;
/// Minimum heartbeat interval, in milliseconds.
const MIN_HEARTBEAT_MS: usize = 1_000;
/// Duration of the worker lease, in heartbeat intervals.
const WORKER_LEASE_HEARTBEATS: Ms = 6;
/// Maximum duration of a cancellation, in heartbeat intervals.
const MAX_CANCELLATION_HEARTBEATS: Ms = 14;
/// Average age of the cloud's machine lists, in milliseconds.
const INVENTORY_LAG_MS: Ms = 1_000;

// Minimum rates and sizes. They apply to small fleets; in larger ones the values per machine below
// determine the rates and sizes.

/// Minimum limit of requests per second to the state service.
const MIN_STATE_RPS: f64 = 400.0;
/// Minimum limit of puts and deletes per second to the state service.
const MIN_WRITE_RPS: f64 = 160.0;
/// Minimum limit of requests per second to the cloud.
const MIN_CLOUD_RPS: f64 = 20.0;
/// Minimum memory of a controller, in MB.
const MIN_MEMORY_MB: f64 = 128.0;
/// Minimum limit of connections of a controller.
const MIN_CONNECTIONS: usize = 2_000;
/// Requests per second to the state service, per machine.
const STATE_RPS_PER_MACHINE: f64 = 0.5;
/// Puts and deletes per second to the state service, per machine.
const WRITE_RPS_PER_MACHINE: f64 = 0.08;
/// Requests per second to the cloud, per machine.
const CLOUD_RPS_PER_MACHINE: f64 = 0.008;
/// Memory of a controller per machine, in MB.
const MEMORY_MB_PER_MACHINE: f64 = 0.175;
/// Connections of a controller, per machine.
const CONNECTIONS_PER_MACHINE: usize = 3;

/// A team, with its guarantee and limit in CPUs.
#[derive(Clone, Copy, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: &'static str,
    /// Guaranteed CPUs.
    pub guaranteed_cpus: f64,
    /// Maximum number of CPUs that the team's tasks may use.
    pub max_cpus: f64,
}

/// A team, with its guarantee and limit as shares of the CPUs of all machines.
#[derive(Clone, Copy, Debug)]
pub struct TeamShares {
    /// Name of the team.
    pub name: &'static str,
    /// Guaranteed share.
    pub guaranteed: f64,
    /// Maximum share that the team's tasks may use.
    pub limit: f64,
}

/// Teams of a deployment, unless the scenario defines its own.
const DEFAULT_TEAMS: [TeamShares; 3] = [
    TeamShares { name: "imports", guaranteed: 0.3, limit: 0.6 },
    TeamShares { name: "reports", guaranteed: 0.2, limit: 0.5 },
    TeamShares { name: "archive", guaranteed: 0.1, limit: 0.25 },
];

/// Times, limits and teams of a deployment.
///
/// The times are shorter than in production, so that many events occur per minute. The times that
/// PROTOCOL specifies for workers are unchanged.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of controllers.
    pub controllers: usize,
    /// Number of machines that the cloud can provision, in all zones and of all kinds.
    pub machines: usize,
    /// Interval of a worker's heartbeats, in milliseconds.
    pub heartbeat_ms: Ms,
    /// Duration of the worker lease, in milliseconds.
    pub worker_lease_ms: Ms,
    /// Maximum duration of a cancellation, in milliseconds.
    pub max_cancellation_ms: Ms,
    /// Average age of a machine list, in milliseconds; the maximum is twice as much.
    pub inventory_lag_ms: Ms,
    /// Limit of requests per second to the state service.
    pub state_rps: f64,
    /// Limit of puts and deletes per second to the state service.
    pub write_rps: f64,
    /// Maximum number of changes per transaction.
    pub txn_ops: usize,
    /// Maximum size of a value, in kilobytes of 1,024 bytes.
    pub value_kb: f64,
    /// Limit of requests per second to the cloud.
    pub cloud_rps: f64,
    /// Memory of each controller, in MB.
    pub memory_mb: f64,
    /// Maximum number of connections of each controller.
    pub max_connections: usize,
    /// Teams of the deployment.
    pub teams: Vec<Team>,
}

impl Deployment {
    /// Returns a deployment with the given numbers of controllers and machines and the default teams.
    pub fn new(controllers: usize, machines: usize) -> Self {
        let heartbeat_ms = (machines * 1_000 / HEARTBEATS_PER_S).max(MIN_HEARTBEAT_MS) as Ms;
        let scaled = |minimum: f64, per_machine: f64| minimum.max(machines as f64 * per_machine);
        let deployment = Deployment {
            controllers,
            machines,
            heartbeat_ms,
            worker_lease_ms: heartbeat_ms * WORKER_LEASE_HEARTBEATS,
            max_cancellation_ms: heartbeat_ms * MAX_CANCELLATION_HEARTBEATS,
            inventory_lag_ms: INVENTORY_LAG_MS,
            state_rps: scaled(MIN_STATE_RPS, STATE_RPS_PER_MACHINE),
            write_rps: scaled(MIN_WRITE_RPS, WRITE_RPS_PER_MACHINE),
            txn_ops: 12,
            value_kb: 4.0,
            cloud_rps: scaled(MIN_CLOUD_RPS, CLOUD_RPS_PER_MACHINE),
            memory_mb: scaled(MIN_MEMORY_MB, MEMORY_MB_PER_MACHINE),
            max_connections: (machines * CONNECTIONS_PER_MACHINE).max(MIN_CONNECTIONS),
            teams: Vec::new(),
        };
        deployment.with_teams(&DEFAULT_TEAMS)
    }

    /// Replaces the teams.
    pub fn with_teams(self, shares: &[TeamShares]) -> Self {
        let cpus = self.cpus();
        let to_team = |shares: &TeamShares| Team {
            name: shares.name,
            guaranteed_cpus: (cpus * shares.guaranteed).floor(),
            max_cpus: (cpus * shares.limit).floor(),
        };
        Deployment { teams: shares.iter().map(to_team).collect(), ..self }
    }

    /// Returns the number of CPUs of all machines.
    pub fn cpus(&self) -> f64 {
        self.machines as f64 * MACHINE_CPUS
    }

    /// Returns the name of the controller with the given index.
    pub fn controller_name(controller: usize) -> String {
        format!("stack-{controller}")
    }

    /// Returns the zone of the controller with the given index.
    pub fn controller_zone(controller: usize) -> &'static str {
        ZONES[controller % ZONES.len()]
    }
}
