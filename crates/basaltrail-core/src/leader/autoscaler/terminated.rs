//! Recently terminated machines. Delayed heartbeats and lists that still name them are ignored.

use crate::model::MachineId;
use crate::settings::Settings;
use std::collections::{HashSet, VecDeque};

/// Number of machines kept per megabyte of the controller's memory.
const MACHINES_PER_MB: f64 = 40.0;
/// Minimum number of machines kept, regardless of memory.
const MIN_MACHINES: usize = 64;

/// The most recently terminated machines, up to a fixed number.
pub struct TerminatedMachines {
    oldest_first: VecDeque<MachineId>,
    ids: HashSet<MachineId>,
    max_kept: usize,
}

impl TerminatedMachines {
    /// Creates an empty set. It holds as many machines as may report to one controller: a whole
    /// fleet may be terminated, and delayed copies of its heartbeats arrive afterwards.
    pub fn new(settings: &Settings) -> Self {
        let by_memory = (settings.memory_mb * MACHINES_PER_MB) as usize;
        TerminatedMachines {
            oldest_first: VecDeque::new(),
            ids: HashSet::new(),
            max_kept: settings.max_machines.max(by_memory).max(MIN_MACHINES),
        }
    }

    /// Returns whether the machine was terminated recently.
    pub fn contains(&self, id: &MachineId) -> bool {
        self.ids.contains(id)
    }

    /// Adds a machine, and drops the oldest one if there are too many.
    pub fn add(&mut self, id: &MachineId) {
        if self.ids.insert(id.clone()) {
            self.oldest_first.push_back(id.clone());
        }
        if self.oldest_first.len() > self.max_kept {
            if let Some(oldest) = self.oldest_first.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }
}
