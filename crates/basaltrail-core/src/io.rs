//! What goes into the core and what comes out of it: [`Input`] and [`Effect`], with the requests
//! to the store and the cloud and their replies. The program carries effects out; the protocol
//! crate turns requests and replies into bodies.

use crate::answer::Answer;
use crate::events::LogEvent;
use crate::model::{
    CallId, Heartbeat, JobId, JobSpec, LeaseId, ListedMachine, MachineId, MachineType, RequestId,
    Revision,
};

/// A key of the store with its value.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value, as JSON.
    pub value: String,
    /// The revision of its last change.
    pub mod_revision: Revision,
    /// The lease that it is attached to.
    pub lease_id: Option<LeaseId>,
}

/// A change that a watch tells of.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// A key was put. Watches do not tell of its lease.
    Put(KeyValue),
    /// A key was deleted, or its lease expired.
    Delete {
        /// The key.
        key: String,
        /// The revision of the change.
        mod_revision: Revision,
    },
}

/// A key to be put by a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct PutRequest {
    /// The key.
    pub key: String,
    /// The value, as JSON.
    pub value: String,
    /// The lease to attach it to; none detaches it.
    pub lease_id: Option<LeaseId>,
}

impl PutRequest {
    /// A put of a key that is attached to no lease.
    pub fn new(key: impl Into<String>, value: String) -> Self {
        PutRequest { key: key.into(), value, lease_id: None }
    }
}

/// What must be so for a transaction to be carried out: a key has not changed since it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// Its mod revision; [`Revision::NONE`] if it must not exist.
    pub mod_revision: Revision,
}

impl Precondition {
    /// The key still has this mod revision.
    pub fn new(key: impl Into<String>, mod_revision: Revision) -> Self {
        Precondition { key: key.into(), mod_revision }
    }

    /// The key does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Precondition::new(key, Revision::NONE)
    }
}

/// A call to the store (PROTOCOL, "Controller nodes -> state service").
#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    /// Reads one key.
    Get(String),
    /// Reads a page of keys, in their order.
    List {
        /// The prefix of the keys.
        prefix: String,
        /// The key after which the page begins.
        after: Option<String>,
        /// The most keys of the page.
        limit: u32,
    },
    /// A compare-and-swap: all changes are made if all preconditions hold. Without changes it only
    /// compares.
    Transaction {
        /// What must be so.
        preconditions: Vec<Precondition>,
        /// Keys to put.
        puts: Vec<PutRequest>,
        /// Keys to delete.
        deletes: Vec<String>,
    },
    /// Grants a lease.
    GrantLease {
        /// Its time to live, in milliseconds.
        ttl_ms: u64,
    },
    /// Extends a lease by its time to live.
    KeepAlive {
        /// The lease.
        lease_id: LeaseId,
    },
    /// Ends a lease and deletes the keys that are attached to it.
    RevokeLease {
        /// The lease.
        lease_id: LeaseId,
    },
    /// Waits for changes.
    Watch {
        /// The prefix of the keys.
        prefix: String,
        /// Changes up to this revision are known.
        after: Revision,
        /// How long to wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

/// The reply to a [`StoreRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The key that was read.
    KeyValue(KeyValue),
    /// No such key or lease.
    NotFound,
    /// A page of a list.
    Page {
        /// The keys.
        items: Vec<KeyValue>,
        /// Whether more follow.
        more: bool,
        /// The revision at which they were read.
        revision: Revision,
    },
    /// The transaction was carried out.
    Committed {
        /// The revision of its changes.
        revision: Revision,
    },
    /// The transaction was not carried out, since preconditions failed.
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
    Ok,
    /// All changes since the revision of a watch.
    Events {
        /// The revision up to which they go.
        revision: Revision,
        /// The changes, in their order.
        events: Vec<WatchEvent>,
    },
    /// The store does not keep the changes after the revision of a watch any more.
    Compacted,
    /// Not executed, and never will be (429, 503). It may be sent again.
    Refused,
    /// Not executed, and would not be if it were sent again as it is (400).
    Rejected,
    /// May have been executed, or may be executed later.
    Unknown,
}

/// A call to the cloud (PROTOCOL, "Controller nodes -> cloud").
#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    /// Asks for the machine types and their prices.
    Types,
    /// Rents machines.
    Provision {
        /// The name of the request; repeated, it rents nothing more. Never to be used again.
        requisition: String,
        /// The machine type.
        machine_type: String,
        /// The zone.
        zone: String,
        /// Whether spot machines are meant.
        spot: bool,
        /// How many.
        count: u32,
    },
    /// Returns machines.
    Terminate(Vec<MachineId>),
    /// Reads a page of the list of rented machines.
    List {
        /// The machine after which the page begins.
        after: Option<String>,
    },
}

/// The reply to a [`CloudRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    /// The machine types.
    Types(Vec<MachineType>),
    /// The machines that were rented, at most as many as were asked for.
    Provisioned(Vec<MachineId>),
    /// The cloud has none of this type, zone and kind.
    NoCapacity,
    /// The machines are gone for certain.
    Terminated,
    /// A page of the list, which may be some seconds old.
    Listed {
        /// The machines.
        machines: Vec<ListedMachine>,
        /// Whether more follow.
        more: bool,
    },
    /// No answer, or one that says nothing of what became of the request.
    Failed,
}

/// Task counts of a job, which the leader tells its peers for display.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The job.
    pub job: JobId,
    /// Completed tasks.
    pub done: u32,
    /// Running tasks.
    pub running: u32,
}

/// What a controller is told.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A user submits a job.
    Submit {
        /// The request to answer.
        req: RequestId,
        /// The job, by the id that its user chose.
        job: JobId,
        /// What it asks for.
        spec: Box<JobSpec>,
    },
    /// A user asks for the status of a job.
    Poll {
        /// The request to answer.
        req: RequestId,
        /// The job.
        job: JobId,
    },
    /// A user cancels a job.
    Cancel {
        /// The request to answer.
        req: RequestId,
        /// The job.
        job: JobId,
    },
    /// An operator asks for limits, use and quotas.
    Inspect {
        /// The request to answer.
        req: RequestId,
    },
    /// A worker reports.
    Heartbeat {
        /// The request to answer.
        req: RequestId,
        /// The report.
        heartbeat: Box<Heartbeat>,
    },
    /// The store replied to a call, or the call was given up.
    Store {
        /// The call.
        op: CallId,
        /// The reply.
        reply: StoreReply,
    },
    /// The cloud replied to a call, or the call was given up.
    Cloud {
        /// The call.
        op: CallId,
        /// The reply.
        reply: CloudReply,
    },
    /// A peer that believes to lead tells of progress. It is used for display only.
    Peer {
        /// Task counts by job.
        progress: Vec<Progress>,
    },
}

/// What a controller has the program do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answers a request.
    Answer {
        /// The request.
        req: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Calls the store.
    Store {
        /// The call, by which the reply is given back.
        op: CallId,
        /// The request.
        call: StoreRequest,
        /// After how many milliseconds it is given up.
        timeout_ms: u64,
    },
    /// Calls the cloud.
    Cloud {
        /// The call, by which the reply is given back.
        op: CallId,
        /// The request.
        call: CloudRequest,
        /// After how many milliseconds it is given up.
        timeout_ms: u64,
    },
    /// Tells all peers of progress.
    Peers {
        /// Task counts by job.
        progress: Vec<Progress>,
    },
    /// Writes a line of the log.
    Log(LogEvent),
}
