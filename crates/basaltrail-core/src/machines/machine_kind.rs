//! What distinguishes machines that the cloud rents out.

use crate::model::JobSpec;

/// A kind of machine that can be provisioned.
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
    /// Whether tasks of the job may be placed on machines of this kind.
    pub fn permitted_by(&self, spec: &JobSpec) -> bool {
        spec.permits(&self.machine_type, &self.zone, self.spot)
    }
}
