//! What goes into the core and what comes out of it.

use crate::events::LogEvent;
use crate::inspection::LimitsReport;
use crate::model::*;

#[derive(Clone, Debug, PartialEq)]
pub struct KeyValue {
    pub key: String,
    pub value: String,
    pub mod_revision: Revision,
    pub lease_id: Option<LeaseId>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    Put(KeyValue),
    Delete { key: String, mod_revision: Revision },
}

#[derive(Clone, Debug, PartialEq)]
pub struct PutRequest {
    pub key: String,
    pub value: String,
    pub lease_id: Option<LeaseId>,
}

/// What must be so for a transaction to be carried out: a key has not been changed since it was read.
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

#[derive(Clone, Debug, PartialEq)]
pub enum StoreRequest {
    Get(String),
    List { prefix: String, after: Option<String>, limit: u32 },
    Transaction { preconditions: Vec<Precondition>, puts: Vec<PutRequest>, deletes: Vec<String> },
    GrantLease { ttl_ms: u64 },
    KeepAlive { lease_id: LeaseId },
    RevokeLease { lease_id: LeaseId },
    Watch { prefix: String, after: Revision, wait_ms: u64 },
}

#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    KeyValue(KeyValue),
    NotFound,
    Page {
        items: Vec<KeyValue>,
        more: bool,
        revision: Revision,
    },
    Committed {
        revision: Revision,
    },
    Conflict {
        failed: Vec<String>,
    },
    LeaseGranted {
        lease_id: LeaseId,
    },
    /// An extend or revoke that was carried out.
    Ok,
    Events {
        revision: Revision,
        events: Vec<WatchEvent>,
    },
    Compacted,
    /// Surely not executed (429, 503).
    Refused,
    /// Not executed, and never will be as it is (400).
    Rejected,
    /// May have been executed, or be executed later.
    Unknown,
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudRequest {
    Types,
    Provision { requisition: String, machine_type: String, zone: String, spot: bool, count: u32 },
    Terminate(Vec<MachineId>),
    List { after: Option<String> },
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    Types(Vec<MachineType>),
    Provisioned(Vec<MachineId>),
    NoCapacity,
    Terminated,
    Listed { machines: Vec<ListedMachine>, more: bool },
    Failed,
}

/// A line of progress for display, from the leader to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    pub job: JobId,
    pub done: u32,
    pub running: u32,
}

#[derive(Clone, Debug)]
pub enum Input {
    Tick,
    Submit {
        req: RequestId,
        job: JobId,
        spec: Box<JobSpec>,
    },
    Poll {
        req: RequestId,
        job: JobId,
    },
    Cancel {
        req: RequestId,
        job: JobId,
    },
    /// An operator asks for limits, use and allotments.
    Inspect {
        req: RequestId,
    },
    Heartbeat {
        req: RequestId,
        heartbeat: Box<Heartbeat>,
    },
    Store {
        op: CallId,
        reply: StoreReply,
    },
    Cloud {
        op: CallId,
        reply: CloudReply,
    },
    /// Progress told by a peer that believes it leads; for display only.
    Peer {
        progress: Vec<Progress>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Created {
        job: JobId,
    },
    Job {
        job: JobId,
        view: JobStatus,
        done: u32,
        running: u32,
    },
    Invalid(&'static str),
    Unschedulable(&'static str),
    NotFound,
    /// Not now; come back after so many seconds.
    Unavailable {
        retry_after_s: u32,
        why: &'static str,
    },
    Commands {
        token: FencingToken,
        commands: Vec<TaskCommand>,
    },
    Limits(Box<LimitsReport>),
    /// Not entitled; the controller that may be, if one is known.
    NotLeader {
        leader: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Answer { req: RequestId, answer: Answer },
    Store { op: CallId, call: StoreRequest, timeout_ms: u64 },
    Cloud { op: CallId, call: CloudRequest, timeout_ms: u64 },
    Peers { progress: Vec<Progress> },
    Log(LogEvent),
}
