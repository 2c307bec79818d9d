//! State shared by all workers of a run: the stand-ins that they use, the faults of single
//! machines, and the leader that they observed.

use crate::clock::{Clock, Ms};
use crate::cloud::Cloud;
use crate::deployment::Deployment;
use crate::history::History;
use crate::job_catalog::JobCatalog;
use crate::lock;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::Mutex;

/// Conversion factor between a share and its value in thousandths.
const THOUSANDTHS_PER_UNIT: f64 = 1_000.0;

/// The parts of a run that its workers use.
pub struct FleetContext {
    /// Clock of the run.
    pub clock: Clock,
    /// History of the run.
    pub history: History,
    /// The deployment, with the lease and heartbeat intervals.
    pub deployment: Deployment,
    /// The cloud, which determines when a machine is gone.
    pub cloud: Cloud,
    /// Descriptions and completed tasks of the jobs.
    pub jobs: JobCatalog,
    /// Addresses of the controllers for the workers of each zone, by zone.
    pub controllers: HashMap<&'static str, Vec<SocketAddr>>,
}

/// Faults of one machine. Each field is the time at which the fault ends, in milliseconds since the
/// run started.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineFaults {
    /// The worker neither sends heartbeats nor accepts answers; its tasks keep running within the
    /// lease.
    pub suspended_until: Ms,
    /// Heartbeats do not reach the controllers.
    pub heartbeats_dropped_until: Ms,
    /// Answers do not reach the worker.
    pub answers_dropped_until: Ms,
}

/// The workers of a run.
pub struct Fleet {
    pub(super) context: FleetContext,
    faults: Mutex<HashMap<String, MachineFaults>>,
    /// Share of the heartbeats with a late copy, in thousandths.
    late_copy_thousandths: AtomicU32,
    /// Highest fencing token that a worker accepted.
    highest_token: AtomicU64,
    /// Index of the controller that answered with the highest token.
    leader: AtomicUsize,
    stopped: AtomicBool,
}

impl Fleet {
    /// Creates a fleet without workers; [`run`](super::run) starts each worker.
    pub fn new(context: FleetContext) -> Self {
        Fleet {
            context,
            faults: Mutex::default(),
            late_copy_thousandths: AtomicU32::new(0),
            highest_token: AtomicU64::new(0),
            leader: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        }
    }

    /// Returns the faults of a machine.
    pub(super) fn faults_of(&self, machine: &str) -> MachineFaults {
        lock(&self.faults).get(machine).copied().unwrap_or_default()
    }

    /// Changes the faults of a machine.
    pub fn set_faults(&self, machine: &str, update: impl FnOnce(&mut MachineFaults)) {
        let mut faults = lock(&self.faults);
        update(faults.entry(machine.into()).or_default());
    }

    /// Sets the share of the heartbeats with a late copy, in thousandths.
    pub fn set_late_copy_thousandths(&self, thousandths: u32) {
        self.late_copy_thousandths.store(thousandths, Ordering::Relaxed);
    }

    /// Returns the share of the heartbeats with a late copy, between 0 and 1.
    pub(super) fn late_copy_share(&self) -> f64 {
        f64::from(self.late_copy_thousandths.load(Ordering::Relaxed)) / THOUSANDTHS_PER_UNIT
    }

    /// Records that a worker accepted an answer with a fencing token from a controller.
    pub(super) fn observe_leader(&self, controller: usize, token: u64) {
        if self.highest_token.fetch_max(token, Ordering::Relaxed) <= token {
            self.leader.store(controller, Ordering::Relaxed);
        }
    }

    /// Returns the highest fencing token that a worker accepted, which is the number of leader terms.
    pub fn highest_token(&self) -> u64 {
        self.highest_token.load(Ordering::Relaxed)
    }

    /// Returns the index of the controller that answered with the highest token.
    pub fn leader(&self) -> usize {
        self.leader.load(Ordering::Relaxed)
    }

    /// Stops all workers; each stops within the duration of one heartbeat.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Returns whether the workers must stop.
    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}
