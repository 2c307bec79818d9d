//! The scheduler of a leader: which task starts where, and what gives way to it.

pub mod bin_packing;
pub mod class_shares;
pub mod cycle;
pub mod deadline_feasibility;
pub mod guarantees;
pub mod preemption;
pub mod services;

use crate::model::{JobId, Ms};
use cycle::Pass;
use guarantees::GuaranteeWaits;
use services::Shape;
use std::collections::{BTreeMap, HashMap};

/// The state of the scheduler.
pub struct Scheduler {
    /// Attempts that this leader has numbered.
    pub(in crate::leader) attempts: u32,
    /// Whether something has changed since the last cycle.
    pub(in crate::leader) changed: bool,
    /// No cycle begins before.
    pub(in crate::leader) next_place: Ms,
    /// The last cycle; gone when more may be in use than it counted.
    pub(in crate::leader) pass: Option<Pass>,
    /// The last cycle left work that found no room.
    pub(in crate::leader) short_of_room: bool,
    /// When a job's or a machine's back-off ends.
    pub(in crate::leader) wake_at: Ms,
    /// Jobs for which others were stopped: the room that comes free is theirs first.
    pub(in crate::leader) reserved: BTreeMap<JobId, Ms>,
    /// Jobs that can still be in time, with the seconds that each can lose.
    pub(in crate::leader) reach: HashMap<JobId, f64>,
    /// The largest service of each class of late.
    pub(in crate::leader) shapes: BTreeMap<String, Shape>,
    /// Since when teams wait for their guarantee.
    pub(in crate::leader) guarantee_waits: GuaranteeWaits,
    /// Machines and tasks looked at in cycles: what the size of the cluster costs.
    pub visited: u64,
    /// CPUs of all machines that may be used.
    pub(in crate::leader) fleet_cpus: f64,
}

impl Default for Scheduler {
    fn default() -> Self {
        Scheduler {
            attempts: 0,
            changed: true,
            next_place: 0,
            pass: None,
            short_of_room: false,
            wake_at: Ms::MAX,
            reserved: BTreeMap::new(),
            reach: HashMap::new(),
            shapes: BTreeMap::new(),
            guarantee_waits: GuaranteeWaits::default(),
            visited: 0,
            fleet_cpus: 0.0,
        }
    }
}
