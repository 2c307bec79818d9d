//! The deployment under test: its times, limits, teams and machines.

use crate::clock::Ms;

/// Zones of the deployment.
pub const ZONES: [&str; 2] = ["room-a", "room-b"];
/// The one machine type.
pub const MACHINE_TYPE: &str = "box";
/// CPUs of a machine.
pub const MACHINE_CPUS: f64 = 8.0;
/// Memory of a machine, in GB.
pub const MACHINE_MEMORY_GB: f64 = 32.0;
/// Address at which workers claim to receive commands. Nobody listens there, since controllers
/// send none.
pub const WORKER_ENDPOINT: &str = "127.0.0.1:1";

/// Heartbeats a second of all workers at the most: what one machine carries beside the
/// controllers. In larger fleets heartbeats are rarer, and all times grow with their interval.
const HEARTBEATS_PER_S: usize = 1_000;
/// The shortest heartbeat interval, in milliseconds.
const MIN_HEARTBEAT_MS: usize = 1_000;
/// The worker's lease, in heartbeat intervals.
const LEASE_HEARTBEATS: Ms = 6;
/// The time allowed for a cancellation, in heartbeat intervals.
const CANCEL_HEARTBEATS: Ms = 14;
/// Age of the cloud's lists of machines, in milliseconds.
const LIST_LAG_MS: Ms = 1_000;

/// Rates and sizes for small fleets; beyond them the shares of each machine below count.
const MIN_STATE_RPS: f64 = 400.0;
const MIN_WRITE_RPS: f64 = 160.0;
const MIN_CLOUD_RPS: f64 = 20.0;
const MIN_MEMORY_MB: f64 = 128.0;
const MIN_CONNECTIONS: usize = 2_000;
/// Rates and sizes for each machine.
const STATE_RPS_PER_MACHINE: f64 = 0.5;
const WRITE_RPS_PER_MACHINE: f64 = 0.08;
const CLOUD_RPS_PER_MACHINE: f64 = 0.008;
const MEMORY_MB_PER_MACHINE: f64 = 0.175;
const CONNECTIONS_PER_MACHINE: usize = 3;

/// A team and its limits, in CPUs.
#[derive(Clone, Copy, Debug)]
pub struct Team {
    /// Name of the team.
    pub name: &'static str,
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// CPUs that its tasks may use at most.
    pub cpus_max: f64,
}

/// A team and its limits, as shares of the CPUs of all machines.
#[derive(Clone, Copy, Debug)]
pub struct TeamShares {
    /// Name of the team.
    pub name: &'static str,
    /// Guaranteed share.
    pub guaranteed: f64,
    /// Share that its tasks may use at most.
    pub limit: f64,
}

/// The teams of a deployment, unless a scenario has its own.
const DEFAULT_TEAMS: [TeamShares; 3] = [
    TeamShares { name: "imports", guaranteed: 0.3, limit: 0.6 },
    TeamShares { name: "reports", guaranteed: 0.2, limit: 0.5 },
    TeamShares { name: "archive", guaranteed: 0.1, limit: 0.25 },
];

/// Times, limits and teams of a deployment.
///
/// The times are shorter than in production, so that much happens in a minute; those that
/// PROTOCOL fixes for workers are kept.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Number of controllers.
    pub controllers: usize,
    /// Number of machines that the cloud can rent out, over all zones and kinds.
    pub machines: usize,
    /// Interval of a worker's heartbeats.
    pub heartbeat_ms: Ms,
    /// Duration of a worker's lease.
    pub lease_ms: Ms,
    /// Time allowed for a cancellation.
    pub cancel_ms: Ms,
    /// Age of a list of machines; up to twice as much.
    pub list_lag_ms: Ms,
    /// Requests a second of the state service.
    pub state_rps: f64,
    /// Puts and deletes a second of the state service.
    pub write_rps: f64,
    /// Changes in one transaction.
    pub txn_ops: usize,
    /// Largest value of a key, in kilobytes.
    pub value_kb: f64,
    /// Requests a second of the cloud.
    pub cloud_rps: f64,
    /// Memory of each controller, in MB.
    pub memory_mb: f64,
    /// Sockets of each controller.
    pub max_connections: usize,
    /// The teams.
    pub teams: Vec<Team>,
}

impl Deployment {
    /// A deployment with a number of controllers and machines.
    pub fn new(controllers: usize, machines: usize) -> Self {
        let heartbeat_ms = (machines * 1_000 / HEARTBEATS_PER_S).max(MIN_HEARTBEAT_MS) as Ms;
        let scaled = |least: f64, per_machine: f64| least.max(machines as f64 * per_machine);
        let deployment = Deployment {
            controllers,
            machines,
            heartbeat_ms,
            lease_ms: heartbeat_ms * LEASE_HEARTBEATS,
            cancel_ms: heartbeat_ms * CANCEL_HEARTBEATS,
            list_lag_ms: LIST_LAG_MS,
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

    /// The same deployment with other teams.
    pub fn with_teams(self, shares: &[TeamShares]) -> Self {
        let cpus = self.cpus();
        let team = |shares: &TeamShares| Team {
            name: shares.name,
            cpus: (cpus * shares.guaranteed).floor(),
            cpus_max: (cpus * shares.limit).floor(),
        };
        Deployment { teams: shares.iter().map(team).collect(), ..self }
    }

    /// CPUs of all machines.
    pub fn cpus(&self) -> f64 {
        self.machines as f64 * MACHINE_CPUS
    }

    /// The name of a controller, by its index.
    pub fn controller_name(controller: usize) -> String {
        format!("stack-{controller}")
    }

    /// The zone of a controller, by its index.
    pub fn controller_zone(controller: usize) -> &'static str {
        ZONES[controller % ZONES.len()]
    }
}
