//! Recently terminated machines: delayed heartbeats and lists that still name them are ignored.

use crate::model::MachineId;
use crate::settings::Settings;
use std::collections::{HashSet, VecDeque};

/// Machines kept per megabyte of the controller's memory.
const MACHINES_PER_MB: f64 = 40.0;
/// Machines kept however little memory there is.
const MIN_MACHINES: usize = 64;

/// The machines terminated last, up to a bound.
pub struct TerminatedMachines {
    order: VecDeque<MachineId>,
    names: HashSet<MachineId>,
    most: usize,
}

impl TerminatedMachines {
    /// None yet. A whole fleet may be terminated and delayed copies of its heartbeats follow, so as
    /// many are kept as may report to one controller.
    pub fn new(settings: &Settings) -> Self {
        let by_memory = (settings.memory_mb * MACHINES_PER_MB) as usize;
        TerminatedMachines {
            order: VecDeque::new(),
            names: HashSet::new(),
            most: settings.max_machines.max(by_memory).max(MIN_MACHINES),
        }
    }

    /// Whether the machine was terminated recently.
    pub fn contains(&self, id: &MachineId) -> bool {
        self.names.contains(id)
    }

    /// Adds a machine; the oldest one is dropped if there are too many.
    pub fn add(&mut self, id: &MachineId) {
        if self.names.insert(id.clone()) {
            self.order.push_back(id.clone());
        }
        if self.order.len() > self.most {
            if let Some(old) = self.order.pop_front() {
                self.names.remove(&old);
            }
        }
    }
}
