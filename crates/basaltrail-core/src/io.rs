//! What goes into the core and what comes out of it.

use crate::limits::LimitsReport;
use crate::model::*;

#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    pub key: String,
    pub value: String,
    pub stamp: u64,
    pub loan: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Put(Item),
    Remove { key: String, stamp: u64 },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    pub key: String,
    pub value: String,
    pub loan: Option<u64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum StateOp {
    Get(String),
    List { prefix: String, after: Option<String>, limit: u32 },
    Txn { conds: Vec<(String, u64)>, puts: Vec<Put>, removes: Vec<String> },
    Grant { ttl_ms: u64 },
    Extend { loan: u64 },
    Revoke { loan: u64 },
    Watch { prefix: String, after: u64, wait_ms: u64 },
}

#[derive(Clone, Debug, PartialEq)]
pub enum StateReply {
    Found(Item),
    Missing,
    Rows {
        items: Vec<Item>,
        more: bool,
        revision: u64,
    },
    Committed {
        revision: u64,
    },
    Conflict {
        failed: Vec<String>,
    },
    Granted {
        loan: u64,
    },
    /// An extend or revoke that was carried out.
    Ok,
    Events {
        revision: u64,
        events: Vec<Event>,
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
pub enum CloudOp {
    Types,
    Rent { requisition: String, machine_type: String, zone: String, spot: bool, count: u32 },
    Release(Vec<MachineId>),
    List { after: Option<String> },
}

#[derive(Clone, Debug, PartialEq)]
pub enum CloudReply {
    Types(Vec<MachineType>),
    Rented(Vec<MachineId>),
    NoCapacity,
    Released,
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
        req: ReqId,
        job: JobId,
        spec: Box<JobSpec>,
    },
    Poll {
        req: ReqId,
        job: JobId,
    },
    Cancel {
        req: ReqId,
        job: JobId,
    },
    /// An operator asks for limits, use and allotments.
    Inspect {
        req: ReqId,
    },
    Checkin {
        req: ReqId,
        report: Box<Report>,
    },
    State {
        op: OpId,
        reply: StateReply,
    },
    Cloud {
        op: OpId,
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
    State {
        job: JobId,
        view: JobView,
        done: u32,
        running: u32,
    },
    Invalid(&'static str),
    Impossible(&'static str),
    NotFound,
    /// Not now; come back after so many seconds.
    Busy {
        retry_s: u32,
        why: &'static str,
    },
    Orders {
        token: Token,
        orders: Vec<Order>,
    },
    Limits(Box<LimitsReport>),
    /// Not entitled; the node that may be, if one is known.
    Elsewhere {
        leader: Option<String>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    Error,
    Info,
    Debug,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Answer { req: ReqId, answer: Answer },
    State { op: OpId, call: StateOp, timeout_ms: u64 },
    Cloud { op: OpId, call: CloudOp, timeout_ms: u64 },
    Peers { progress: Vec<Progress> },
    Log { level: Level, event: &'static str, detail: String },
}
