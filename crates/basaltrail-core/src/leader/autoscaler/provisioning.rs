//! Provisioning requests that the cloud has not answered yet, and the kinds that it refused
//! recently.

use crate::machines::MachineKind;
use crate::model::{FencingToken, MachineType, Ms};

/// Maximum number of machines per request (PROTOCOL, `POST /rentals`).
const MAX_MACHINES_PER_REQUEST: usize = 50;
/// Maximum number of unanswered requests. With one request at a time, each request of a fleet that
/// starts with no machines would add a response time.
const MAX_PENDING_REQUESTS: usize = 8;
/// Attempts after which a request is abandoned.
const MAX_ATTEMPTS: u32 = 30;

/// A request whose outcome is not known yet.
///
/// It is repeated under the same request name until the outcome is known, so that no machine is
/// provisioned twice (PROTOCOL, `POST /rentals`).
#[derive(Clone, Debug)]
pub struct ProvisioningRequest {
    /// Idempotency key of the request; no other request of any leader has the same.
    pub request_name: String,
    /// Requested kind of machine.
    pub kind: MachineKind,
    /// Number of machines requested.
    pub count: u32,
    /// Number of attempts whose outcome is unknown.
    pub attempts: u32,
    /// Whether an attempt is in flight.
    pub in_flight: bool,
    /// Time before which no attempt is made.
    pub next_attempt_at: Ms,
}

/// Unanswered requests and recently refused kinds.
#[derive(Default)]
pub struct ProvisioningQueue {
    /// Requests that the cloud has not answered yet.
    pub pending: Vec<ProvisioningRequest>,
    /// Kinds without capacity, and the time before which each is not requested.
    refused: Vec<(MachineKind, Ms)>,
    /// Number of requests added so far.
    requests_added: u64,
}

impl ProvisioningQueue {
    /// Returns whether the maximum number of requests is unanswered.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_REQUESTS
    }

    /// Adds a request for at most this number of machines.
    pub fn add(&mut self, token: FencingToken, kind: MachineKind, max_machines: usize) {
        self.requests_added += 1;
        self.pending.push(ProvisioningRequest {
            // Unique: only this leader has the token.
            request_name: format!("r-{}-{}", token.0, self.requests_added),
            kind,
            count: max_machines.min(MAX_MACHINES_PER_REQUEST) as u32,
            attempts: 0,
            in_flight: false,
            next_attempt_at: 0,
        });
    }

    /// Removes and returns the request with this name.
    pub fn remove(&mut self, request_name: &str) -> Option<ProvisioningRequest> {
        let index = self.pending.iter().position(|r| r.request_name == request_name)?;
        Some(self.pending.remove(index))
    }

    /// Adds a request with unknown outcome again, unless its attempts are used up.
    pub fn retry(&mut self, mut request: ProvisioningRequest, next_attempt_at: Ms) {
        request.in_flight = false;
        request.attempts += 1;
        request.next_attempt_at = next_attempt_at;
        if request.attempts < MAX_ATTEMPTS {
            self.pending.push(request);
        }
    }

    /// Records that the cloud has no capacity of a kind, which is not requested before `until`.
    pub fn record_refusal(&mut self, kind: MachineKind, until: Ms) {
        self.refused.retain(|(refused, _)| *refused != kind);
        self.refused.push((kind, until));
    }

    /// Returns whether the kind may be requested.
    pub fn may_request(&self, kind: &MachineKind, now: Ms) -> bool {
        !self.refused.iter().any(|(refused, until)| refused == kind && *until > now)
    }

    /// Returns the number of machines in unanswered requests for matching kinds.
    pub fn requested_machines(&self, matches: impl Fn(&MachineKind) -> bool) -> usize {
        self.pending.iter().filter(|r| matches(&r.kind)).map(|r| r.count as usize).sum()
    }
}

/// Returns all kinds of machines, the cheapest per CPU first. Kinds of the same price are ordered
/// by their number in the fleet, the rarest first, so that the fleet spreads over zones.
pub fn kinds_by_price(
    types: &[MachineType],
    machines_of_kind: impl Fn(&MachineKind) -> usize,
) -> Vec<MachineKind> {
    let mut kinds: Vec<(f64, usize, MachineKind)> = Vec::new();
    for machine_type in types {
        for zone in &machine_type.zones {
            for spot in [false, true] {
                let name = machine_type.name.clone();
                let kind = MachineKind { machine_type: name, zone: zone.clone(), spot };
                let price = if spot { machine_type.spot_price } else { machine_type.price };
                kinds.push((price / machine_type.cpus.max(1e-9), machines_of_kind(&kind), kind));
            }
        }
    }
    kinds.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
    kinds.into_iter().map(|(_, _, kind)| kind).collect()
}
