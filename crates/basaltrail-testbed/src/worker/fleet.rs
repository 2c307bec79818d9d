//! What all workers of a run share: the stand-ins that they talk to, the faults of single
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

/// Denominator of the share of heartbeats that are copied: the share is kept in thousandths.
const COPY_SHARE_UNIT: f64 = 1_000.0;

/// What the workers of a run talk to.
pub struct FleetContext {
    /// Clock of the run.
    pub clock: Clock,
    /// History of the run.
    pub history: History,
    /// Times and limits.
    pub deployment: Deployment,
    /// The cloud, which knows when a machine is gone.
    pub cloud: Cloud,
    /// The jobs.
    pub jobs: JobCatalog,
    /// Addresses at which the workers of each zone reach the controllers, by zone.
    pub controllers: HashMap<&'static str, Vec<SocketAddr>>,
}

/// Faults of one machine, each with the instant at which it ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineFaults {
    /// The worker executes nothing; the tasks run on within the lease.
    pub hangs_until: Ms,
    /// Heartbeats reach no controller.
    pub mute_until: Ms,
    /// Answers do not reach the worker.
    pub deaf_until: Ms,
}

/// The workers of a run.
pub struct Fleet {
    pub(super) context: FleetContext,
    faults: Mutex<HashMap<String, MachineFaults>>,
    /// Thousandths of the heartbeats of which a copy arrives late.
    late_copies: AtomicU32,
    highest_token: AtomicU64,
    leader: AtomicUsize,
    stopped: AtomicBool,
}

impl Fleet {
    /// A fleet without workers; each is started by [`run`](super::run).
    pub fn new(context: FleetContext) -> Self {
        Fleet {
            context,
            faults: Mutex::default(),
            late_copies: AtomicU32::new(0),
            highest_token: AtomicU64::new(0),
            leader: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
        }
    }

    /// The faults of a machine.
    pub(super) fn faults_of(&self, machine: &str) -> MachineFaults {
        lock(&self.faults).get(machine).copied().unwrap_or_default()
    }

    /// Changes the faults of a machine.
    pub fn set_faults(&self, machine: &str, change: impl FnOnce(&mut MachineFaults)) {
        let mut faults = lock(&self.faults);
        change(faults.entry(machine.into()).or_default());
    }

    /// Sets how many thousandths of the heartbeats arrive a second time, late.
    pub fn set_late_copies(&self, thousandths: u32) {
        self.late_copies.store(thousandths, Ordering::Relaxed);
    }

    /// The share of heartbeats that arrive a second time, late.
    pub(super) fn late_copy_share(&self) -> f64 {
        f64::from(self.late_copies.load(Ordering::Relaxed)) / COPY_SHARE_UNIT
    }

    /// A worker accepted an answer of a controller with a fencing token.
    pub(super) fn observe_leader(&self, controller: usize, token: u64) {
        if self.highest_token.fetch_max(token, Ordering::Relaxed) <= token {
            self.leader.store(controller, Ordering::Relaxed);
        }
    }

    /// The highest fencing token that a worker accepted: the number of leader terms.
    pub fn highest_token(&self) -> u64 {
        self.highest_token.load(Ordering::Relaxed)
    }

    /// The index of the controller that answered with the highest token.
    pub fn leader(&self) -> usize {
        self.leader.load(Ordering::Relaxed)
    }

    /// Ends all workers; each notices it within a heartbeat.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }
}
