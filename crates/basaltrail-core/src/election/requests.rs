//! The requests of the election, and the slots that match each reply to its request.

use crate::io::StoreRequest;
use crate::model::{FencingToken, LeaseId, Ms};

/// Identifier of an election request, unique within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ElectionRequestId(u64);

impl ElectionRequestId {
    /// Returns the identifier that follows this one.
    pub(super) fn next(self) -> Self {
        ElectionRequestId(self.0 + 1)
    }
}

/// The purpose of an election request.
#[derive(Clone, Debug, PartialEq)]
pub enum ElectionPurpose {
    /// Reads the keys under the control prefix.
    List,
    /// Watches the keys under the control prefix.
    Watch,
    /// Requests a lease for a campaign.
    GrantLease {
        /// The time at which the request was sent.
        sent_at: Ms,
    },
    /// Writes the leader key, attached to the lease, and the next fencing token.
    Campaign {
        /// The lease.
        lease: GrantedLease,
        /// The fencing token of the new term.
        token: FencingToken,
    },
    /// Extends the leader lease.
    KeepAlive {
        /// The time at which the request was sent.
        sent_at: Ms,
    },
    /// Revokes a lease under which no controller acts as the leader.
    RevokeLease,
}

/// A lease granted for a campaign.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantedLease {
    /// The lease.
    pub lease_id: LeaseId,
    /// The time of the grant request, from which the time to live counts.
    pub requested_at: Ms,
}

/// The identity of an election request, which is passed back with its reply.
#[derive(Clone, Debug, PartialEq)]
pub struct ElectionCall {
    /// The identifier of the request.
    pub id: ElectionRequestId,
    /// The purpose of the request.
    pub purpose: ElectionPurpose,
}

/// A request of the election to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ElectionRequest {
    /// The identity of the request.
    pub call: ElectionCall,
    /// The request.
    pub request: StoreRequest,
    /// Milliseconds after which the result counts as unknown.
    pub timeout_ms: Ms,
}

/// A slot for at most one request in flight. Only the reply to that request frees it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestSlot {
    in_flight: Option<ElectionRequestId>,
}

impl RequestSlot {
    /// Returns whether no request is in flight.
    pub(super) fn is_free(self) -> bool {
        self.in_flight.is_none()
    }

    /// Records that a request is in flight.
    pub(super) fn occupy(&mut self, request: &ElectionRequest) {
        self.in_flight = Some(request.call.id);
    }

    /// Frees the slot if this request occupies it, and returns whether it did.
    pub(super) fn release(&mut self, id: ElectionRequestId) -> bool {
        let is_awaited = self.in_flight == Some(id);
        if is_awaited {
            self.in_flight = None;
        }
        is_awaited
    }
}
