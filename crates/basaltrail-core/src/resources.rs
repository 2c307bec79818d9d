//! Amounts of CPUs, GPUs and memory, with arithmetic.

use crate::model::{fitting_tasks, JobSpec, MachineType};
use std::ops::{Add, AddAssign, Mul, Sub, SubAssign};

/// Maximum length of a heartbeat, in bytes (PROTOCOL: the limit for request bodies).
const MAX_HEARTBEAT_BYTES: usize = 64 * 1024;
/// Upper bound of the length of a heartbeat without its tasks, in bytes.
const HEARTBEAT_HEADER_BYTES: usize = 1024;
/// Upper bound of the length of one task in a heartbeat, in bytes: an exited task with all fields,
/// the longest name and attempt, and spaces between the tokens.
const MAX_TASK_STATUS_BYTES: usize = 144;
/// Maximum number of tasks on a machine, exited ones that its heartbeats still list included. With
/// more, a heartbeat could be too long to be accepted, and the worker lease would expire.
pub const MAX_TASKS_PER_MACHINE: u32 =
    ((MAX_HEARTBEAT_BYTES - HEARTBEAT_HEADER_BYTES) / MAX_TASK_STATUS_BYTES) as u32;

/// An amount of each resource. Amounts may be infinite: a task of an unknown job occupies its whole
/// machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Number of virtual CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory, in gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// Returns the demand of one task of a job.
    pub fn of_task(job: &JobSpec) -> Self {
        Resources { cpus: job.cpus, gpus: job.gpus, memory_gb: job.memory_gb }
    }

    /// Returns the capacity of a machine type.
    pub fn of_machine_type(machine_type: &MachineType) -> Self {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Returns how many tasks with this demand fit into this amount, with a tolerance for rounding.
    pub fn fitting_tasks(&self, demand: &Resources) -> u32 {
        fitting_tasks(self.cpus, demand.cpus)
            .min(fitting_tasks(self.memory_gb, demand.memory_gb))
            .min(fitting_tasks(self.gpus, demand.gpus))
    }
}

impl MachineType {
    /// Returns the number of tasks of a job that fit on an empty machine of this type.
    pub fn task_capacity(&self, job: &JobSpec) -> u32 {
        Resources::of_machine_type(self)
            .fitting_tasks(&Resources::of_task(job))
            .min(MAX_TASKS_PER_MACHINE)
    }
}

impl Add for Resources {
    type Output = Resources;

    fn add(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory_gb: self.memory_gb + other.memory_gb,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Resources;

    fn sub(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory_gb: self.memory_gb - other.memory_gb,
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = *self - other;
    }
}

impl Mul<f64> for Resources {
    type Output = Resources;

    fn mul(self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory_gb: self.memory_gb * factor,
        }
    }
}

#[cfg(test)]
#[path = "resources_tests.rs"]
mod tests;
