//! The interface of the core: [`Input`] and [`Effect`], and the requests to the store and the cloud
//! with their replies. The program executes the effects; the protocol crate encodes requests and
//! decodes replies.

use crate::answer::Answer;
use crate::events::LogEvent;
use crate::model::{
    CallId, Heartbeat, JobId, JobSpec, LeaseId, ListedMachine, MachineId, MachineType, RequestId,
    Revision,
};

/// A key of the store and its value.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, as JSON.
    pub value: String,
    /// The revision of its last change.
    pub mod_revision: Revision,
    /// The lease that the key is attached to, if any.
    pub lease_id: Option<LeaseId>,
}

/// A change of a key, as a watch reports it.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// A key was put. `lease_id` may be `None` even if the key is attached to a lease.
    Put(KeyValue),
    /// A key was deleted, by a request or because its lease expired.
    Delete {
        /// The key.
        key: String,
        /// The revision of the change.
        mod_revision: Revision,
    },
}

impl WatchEvent {
    /// Returns the key that was changed.
    pub fn key(&self) -> &str {
        match self {
            WatchEvent::Put(item) => &item.key,
            WatchEvent::Delete { key, .. } => key,
        }
    }
}

/// A put in a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct PutRequest {
    /// The key.
    pub key: String,
    /// The value, as JSON.
    pub value: String,
    /// The lease to attach the key to; `None` detaches the key.
    pub lease_id: Option<LeaseId>,
}

impl PutRequest {
    /// Creates a put of a key without a lease.
    pub fn new(key: impl Into<String>, value: String) -> Self {
        PutRequest { key: key.into(), value, lease_id: None }
    }
}

/// A precondition of a transaction: a key has not changed since it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The mod revision that the key must have; [`Revision::NONE`] if it must not exist.
    pub mod_revision: Revision,
}

impl Precondition {
    /// Requires that the key still has this mod revision.
    pub fn new(key: impl Into<String>, mod_revision: Revision) -> Self {
        Precondition { key: key.into(), mod_revision }
    }

    /// Requires that the key does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Precondition::new(key, Revision::NONE)
    }
}

/// A request to the store (PROTOCOL, "Controller nodes -> state service").
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Reads one key.
    Get(String),
    /// Reads a page of keys, in key order.
    List {
        /// The prefix of the keys.
        prefix: String,
        /// The key after which the page starts; `None` for the first page.
        after: Option<String>,
        /// The maximum number of keys in the page.
        limit: u32,
    },
    /// Applies all changes atomically if all preconditions hold. A transaction without changes only
    /// checks its preconditions.
    Transaction {
        /// The preconditions.
        preconditions: Vec<Precondition>,
        /// Keys to put.
        puts: Vec<PutRequest>,
        /// Keys to delete.
        deletes: Vec<String>,
    },
    /// Grants a lease.
    GrantLease {
        /// The time to live of the lease, in milliseconds.
        ttl_ms: u64,
    },
    /// Extends a lease by its time to live.
    KeepAlive {
        /// The lease.
        lease_id: LeaseId,
    },
    /// Revokes a lease and deletes the keys that are attached to it.
    RevokeLease {
        /// The lease.
        lease_id: LeaseId,
    },
    /// Waits for changes.
    Watch {
        /// The prefix of the keys.
        prefix: String,
        /// The watch reports the changes after this revision.
        after: Revision,
        /// The maximum time to wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

/// The reply to a [`StoreRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The key that was read.
    KeyValue(KeyValue),
    /// The key or lease does not exist.
    NotFound,
    /// A page of a list.
    Page {
        /// The keys and their values.
        items: Vec<KeyValue>,
        /// Whether more keys follow.
        more: bool,
        /// The revision at which the keys were read.
        revision: Revision,
    },
    /// The transaction was committed.
    Committed {
        /// The revision of its changes.
        revision: Revision,
    },
    /// The transaction was not executed, since preconditions failed.
    Conflict {
        /// The keys of the preconditions that failed.
        failed: Vec<String>,
    },
    /// A lease was granted.
    LeaseGranted {
        /// The lease.
        lease_id: LeaseId,
    },
    /// A lease was extended or revoked.
    LeaseUpdated,
    /// All changes since the revision of a watch.
    Events {
        /// The revision up to which changes are reported.
        revision: Revision,
        /// The changes, in the order of their revisions.
        events: Vec<WatchEvent>,
    },
    /// The store no longer has all changes since the revision of a watch.
    Compacted,
    /// The request was not executed and never will be. It may be sent again (429, 503).
    Unavailable,
    /// The request was not executed, and would not be if it were sent again unchanged (400).
    Invalid,
    /// The request may have been executed, or may be executed later.
    Unknown,
}

/// A request to the cloud (PROTOCOL, "Controller nodes -> cloud").
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Reads the machine types and their prices.
    MachineTypes,
    /// Provisions machines.
    Provision {
        /// The idempotency key: a repeated request provisions no further machines. A key must never
        /// be reused for another request.
        request_name: String,
        /// The machine type.
        machine_type: String,
        /// The zone.
        zone: String,
        /// Whether to provision spot machines.
        spot: bool,
        /// Number of machines.
        count: u32,
    },
    /// Terminates machines.
    Terminate(Vec<MachineId>),
    /// Reads a page of the inventory of provisioned machines.
    List {
        /// The machine after which the page starts; `None` for the first page.
        after: Option<String>,
    },
}

/// The reply to a [`CloudRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    /// The machine types.
    MachineTypes(Vec<MachineType>),
    /// The machines that were provisioned, at most as many as were requested.
    Provisioned(Vec<MachineId>),
    /// The cloud has no machines of this type, zone and kind.
    NoCapacity,
    /// The machines do not exist any more.
    Terminated,
    /// A page of the inventory, which may be some seconds old.
    Listed {
        /// The machines.
        machines: Vec<ListedMachine>,
        /// Whether more machines follow.
        more: bool,
    },
    /// No reply arrived, or the reply does not show whether the request was executed.
    Unknown,
}

/// Task counts of a job, which the leader sends to its peers for display.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The job.
    pub job: JobId,
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// An input of a controller.
#[derive(Clone, Debug)]
pub enum Input {
    /// The clocks have advanced.
    Tick,
    /// A user submits a job.
    Submit {
        /// The ID of the request to answer.
        request_id: RequestId,
        /// The ID of the job, chosen by its user.
        job: JobId,
        /// The specification of the job.
        spec: Box<JobSpec>,
    },
    /// A user requests the status of a job.
    Poll {
        /// The ID of the request to answer.
        request_id: RequestId,
        /// The job.
        job: JobId,
    },
    /// A user cancels a job.
    Cancel {
        /// The ID of the request to answer.
        request_id: RequestId,
        /// The job.
        job: JobId,
    },
    /// An operator requests the report on limits, usage and quotas.
    Inspect {
        /// The ID of the request to answer.
        request_id: RequestId,
    },
    /// A worker sends a heartbeat.
    Heartbeat {
        /// The ID of the request to answer.
        request_id: RequestId,
        /// The heartbeat.
        heartbeat: Box<Heartbeat>,
    },
    /// The store replied to a call, or the call timed out.
    Store {
        /// The ID of the call.
        call_id: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// The cloud replied to a call, or the call timed out.
    Cloud {
        /// The ID of the call.
        call_id: CallId,
        /// The reply.
        reply: CloudReply,
    },
    /// A peer that considers itself the leader reports the progress of jobs, for display only.
    PeerProgress {
        /// Task counts by job.
        progress: Vec<Progress>,
    },
}

/// An action that the program executes for a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answers a request.
    Answer {
        /// The ID of the request to answer.
        request_id: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Calls the store.
    Store {
        /// The ID of the call, which the [`Input`] with its reply repeats.
        call_id: CallId,
        /// The request.
        request: StoreRequest,
        /// Timeout of the call, in milliseconds.
        timeout_ms: u64,
    },
    /// Calls the cloud.
    Cloud {
        /// The ID of the call, which the [`Input`] with its reply repeats.
        call_id: CallId,
        /// The request.
        request: CloudRequest,
        /// Timeout of the call, in milliseconds.
        timeout_ms: u64,
    },
    /// Sends the progress of jobs to all peers.
    BroadcastProgress {
        /// Task counts by job.
        progress: Vec<Progress>,
    },
    /// Logs an event.
    Log(LogEvent),
}
