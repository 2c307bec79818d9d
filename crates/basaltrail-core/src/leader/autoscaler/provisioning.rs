//! Provisioning requests to the cloud: what was requested and not answered yet, and which
//! kinds were refused recently.

use crate::machines::MachineKind;
use crate::model::{FencingToken, MachineType, Ms};

/// Machines that one request asks for at the most (PROTOCOL, `POST /rentals`).
const MAX_MACHINES_PER_REQUEST: usize = 50;
/// Requests in flight at once: one after the other, a fleet that begins with no machine would
/// come up by one response time for each.
const MAX_PENDING_REQUESTS: usize = 8;
/// Attempts of one request before it is abandoned.
const MAX_ATTEMPTS: u32 = 30;

/// A request whose outcome is not known yet. It is repeated under the same name until it is, so
/// that nothing is provisioned twice (PROTOCOL, `POST /rentals`).
#[derive(Clone, Debug)]
pub struct ProvisioningRequest {
    /// Its name; no other request of any leader has the same.
    pub requisition: String,
    /// The kind of machine.
    pub kind: MachineKind,
    /// Machines that it asks for.
    pub count: u32,
    /// Attempts without a response.
    pub attempts: u32,
    /// Whether an attempt is in flight.
    pub in_flight: bool,
    /// No attempt is made before.
    pub not_before: Ms,
}

/// Requests that were not answered yet, and kinds that were refused.
#[derive(Default)]
pub struct ProvisioningQueue {
    /// Requests that were not answered yet.
    pub pending: Vec<ProvisioningRequest>,
    /// Kinds without capacity, and until when they are not requested.
    refused: Vec<(MachineKind, Ms)>,
    /// Requests so far.
    counter: u64,
}

impl ProvisioningQueue {
    /// Whether no more requests may be in flight.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_REQUESTS
    }

    /// Adds a request for up to so many machines.
    pub fn add(&mut self, token: FencingToken, kind: MachineKind, machines: usize) {
        self.counter += 1;
        self.pending.push(ProvisioningRequest {
            // Never used again: the token is this leader's alone.
            requisition: format!("r-{}-{}", token.0, self.counter),
            kind,
            count: machines.min(MAX_MACHINES_PER_REQUEST) as u32,
            attempts: 0,
            in_flight: false,
            not_before: 0,
        });
    }

    /// Takes out the request of this name.
    pub fn take(&mut self, requisition: &str) -> Option<ProvisioningRequest> {
        let index = self.pending.iter().position(|r| r.requisition == requisition)?;
        Some(self.pending.remove(index))
    }

    /// Puts back a request whose outcome is unknown, unless it was attempted too often.
    pub fn retry(&mut self, mut request: ProvisioningRequest, not_before: Ms) {
        request.in_flight = false;
        request.attempts += 1;
        request.not_before = not_before;
        if request.attempts < MAX_ATTEMPTS {
            self.pending.push(request);
        }
    }

    /// Notes that the cloud has no capacity of a kind; it is not requested before `until`.
    pub fn refuse(&mut self, kind: MachineKind, until: Ms) {
        self.refused.retain(|(refused, _)| *refused != kind);
        self.refused.push((kind, until));
    }

    /// Whether a kind may be requested.
    pub fn is_open(&self, kind: &MachineKind, now: Ms) -> bool {
        !self.refused.iter().any(|(refused, until)| refused == kind && *until > now)
    }

    /// Machines of such kinds that were requested and not answered yet.
    pub fn requested(&self, counted: impl Fn(&MachineKind) -> bool) -> usize {
        self.pending.iter().filter(|r| counted(&r.kind)).map(|r| r.count as usize).sum()
    }
}

/// All kinds of machines, the cheapest per CPU first; among those of one price the ones of which
/// the fleet has the fewest, so that it spreads over zones.
pub fn kinds_by_price(
    types: &[MachineType],
    fleet: impl Fn(&MachineKind) -> usize,
) -> Vec<MachineKind> {
    let mut kinds: Vec<(f64, usize, MachineKind)> = Vec::new();
    for machine_type in types {
        for zone in &machine_type.zones {
            for spot in [false, true] {
                let name = machine_type.name.clone();
                let kind = MachineKind { machine_type: name, zone: zone.clone(), spot };
                let price = if spot { machine_type.spot_price } else { machine_type.price };
                kinds.push((price / machine_type.cpus.max(1e-9), fleet(&kind), kind));
            }
        }
    }
    kinds.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
    kinds.into_iter().map(|(_, _, kind)| kind).collect()
}
