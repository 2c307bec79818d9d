//! Amounts of CPUs, GPUs and memory, and arithmetic on them.

use crate::model::{fits, JobSpec, MachineType};
use std::ops::{Add, AddAssign, Mul, Sub, SubAssign};

/// An amount of each resource. Amounts may be infinite: a task whose job is not known takes all
/// of its machine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Virtual CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// What one task of a job takes.
    pub fn of_task(job: &JobSpec) -> Self {
        Resources { cpus: job.cpus, gpus: job.gpus, memory_gb: job.memory_gb }
    }

    /// What an empty machine of a type has.
    pub fn of_machine_type(machine_type: &MachineType) -> Self {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// How often `demand` fits into this amount, with room for rounding.
    pub fn fits(&self, demand: &Resources) -> u32 {
        fits(self.cpus, demand.cpus)
            .min(fits(self.memory_gb, demand.memory_gb))
            .min(fits(self.gpus, demand.gpus))
    }
}

impl MachineType {
    /// How many tasks of a job an empty machine of this type holds.
    pub fn holds(&self, job: &JobSpec) -> u32 {
        Resources::of_machine_type(self).fits(&Resources::of_task(job))
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

    fn mul(self, times: f64) -> Resources {
        Resources {
            cpus: self.cpus * times,
            gpus: self.gpus * times,
            memory_gb: self.memory_gb * times,
        }
    }
}

#[cfg(test)]
#[path = "resources_tests.rs"]
mod tests;
