//! Kinds of machines that the cloud offers.

use crate::model::JobSpec;

/// A combination of machine type, zone and purchase option that can be provisioned.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineKind {
    /// Name of the machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
}

impl MachineKind {
    /// Returns whether the job permits its tasks to run on machines of this kind.
    pub fn permitted_by(&self, spec: &JobSpec) -> bool {
        spec.permits(&self.machine_type, &self.zone, self.spot)
    }
}
