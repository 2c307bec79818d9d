//! How many machines to rent, of which kind, and which to give back.

use crate::leader::autoscaler::provisioning_time::ProvisioningTimes;
use crate::model::*;

/// A kind of machine that can be asked for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineKind {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

impl MachineKind {
    /// Whether tasks of the job may be placed on machines of this kind.
    pub fn permitted_by(&self, spec: &JobSpec) -> bool {
        spec.permits(&self.machine_type, &self.zone, self.spot)
    }
}

/// A rental whose outcome is not known yet; the same name is asked again until it is.
#[derive(Clone, Debug)]
pub struct ProvisioningRequest {
    pub requisition: String,
    pub kind: MachineKind,
    pub count: u32,
    pub tries: u32,
    pub in_flight: bool,
    pub not_before: Ms,
}

#[derive(Default)]
pub struct Provisioning {
    pub boots: ProvisioningTimes,
    pub pending: Vec<ProvisioningRequest>,
    /// Kinds that had no capacity, and until when they are left alone.
    pub refused: Vec<(MachineKind, Ms)>,
    pub counter: u64,
    pub next_list: Ms,
    pub listing: Option<Vec<ListedMachine>>,
    /// When the first page of the list on its way was asked for.
    pub list_sent: Ms,
    pub list_in_flight: bool,
    pub release_in_flight: bool,
    pub release_not_before: Ms,
    pub next_plan: Ms,
}

impl Provisioning {
    pub fn refuse(&mut self, kind: MachineKind, until: Ms) {
        self.refused.retain(|(k, _)| *k != kind);
        self.refused.push((kind, until));
    }

    pub fn open(&self, kind: &MachineKind, now: Ms) -> bool {
        !self.refused.iter().any(|(k, t)| k == kind && *t > now)
    }

    /// Machines asked for and not answered yet.
    pub fn asked(&self, wanted: impl Fn(&MachineKind) -> bool) -> usize {
        self.pending.iter().filter(|r| wanted(&r.kind)).map(|r| r.count as usize).sum()
    }

    /// The kinds that may be asked, the cheapest per CPU first.
    pub fn kinds(
        &self,
        types: &[MachineType],
        fleet: impl Fn(&MachineKind) -> usize,
    ) -> Vec<MachineKind> {
        let mut all: Vec<(f64, usize, MachineKind)> = Vec::new();
        for t in types {
            for zone in &t.zones {
                for spot in [false, true] {
                    let kind =
                        MachineKind { machine_type: t.name.clone(), zone: zone.clone(), spot };
                    let price = if spot { t.spot_price } else { t.price } / t.cpus.max(1e-9);
                    all.push((price, fleet(&kind), kind));
                }
            }
        }
        all.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
        all.into_iter().map(|(_, _, k)| k).collect()
    }
}
