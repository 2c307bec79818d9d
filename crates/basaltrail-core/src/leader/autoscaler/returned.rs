//! Machines returned to the cloud of late.

use crate::model::MachineId;
use crate::settings::Settings;
use std::collections::{HashSet, VecDeque};

/// Machines returned of late, per megabyte; their late heartbeats are not taken for new machines.
const RETURNED_PER_MB: f64 = 40.0;
/// Machines kept however little memory there is.
const RETURNED_LEAST: usize = 64;

/// The machines returned last, up to a bound.
pub struct ReturnedMachines {
    order: VecDeque<MachineId>,
    names: HashSet<MachineId>,
    most: usize,
}

impl ReturnedMachines {
    /// A whole fleet may go back and late copies of its heartbeats follow.
    pub fn new(settings: &Settings) -> Self {
        let by_memory = (settings.memory_mb * RETURNED_PER_MB) as usize;
        ReturnedMachines {
            order: VecDeque::new(),
            names: HashSet::new(),
            most: settings.max_machines.max(by_memory).max(RETURNED_LEAST),
        }
    }

    /// Whether the machine was returned of late.
    pub fn contains(&self, id: &MachineId) -> bool {
        self.names.contains(id)
    }

    /// Adds a machine; the oldest one makes room for it.
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
