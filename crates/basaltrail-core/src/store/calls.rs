//! Calls in flight, and the budgets they were paid from.

use crate::controller::request_queue::{ClientRequest, Confirming, NewJob};
use crate::election::Call;
use crate::events::LogEvent;
use crate::io::*;
use crate::jobs::watch::WatchKind;
use crate::leader::PendingWrite;
use crate::model::*;
use crate::store::rate_limiter::{CallPriority, TokenBucket};
use crate::store::records::{ACTIVE_JOBS_PREFIX, ADMISSION_PREFIX};
use basaltrail_admission::Grant;
use std::collections::HashMap;

/// What is listed, one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListPart {
    Jobs,
    Admission,
}

impl ListPart {
    /// The keys of the part.
    pub fn prefix(self) -> &'static str {
        match self {
            ListPart::Jobs => ACTIVE_JOBS_PREFIX,
            ListPart::Admission => ADMISSION_PREFIX,
        }
    }
}

/// What an answer is for.
pub enum Purpose {
    Election(Call),
    ListJobs {
        part: ListPart,
        after: Option<String>,
        sent: Ms,
    },
    WatchJobs {
        sent: Ms,
        kind: WatchKind,
    },
    Submit(Vec<NewJob>),
    Check(Vec<Confirming>),
    ReadActive {
        job: JobId,
        asks: Vec<ClientRequest>,
    },
    ReadFinal {
        job: JobId,
        asks: Vec<ClientRequest>,
    },
    Cancel {
        job: JobId,
        asks: Vec<ClientRequest>,
    },
    TypesKept,
    TypesPut,
    Types,
    Load {
        token: FencingToken,
    },
    PendingWrite {
        token: FencingToken,
        flush: Box<PendingWrite>,
    },
    Refresh {
        token: FencingToken,
        key: String,
    },
    /// This process tells that it is there.
    Announce,
    Allot {
        token: FencingToken,
        grants: Vec<Grant>,
    },
    Rent {
        token: FencingToken,
        requisition: String,
    },
    Release {
        token: FencingToken,
        machines: Vec<MachineId>,
    },
    List {
        token: FencingToken,
    },
}

#[derive(Default)]
pub struct Calls {
    ops: HashMap<CallId, Purpose>,
    next: u64,
    pub state: TokenBucket,
    pub writes: TokenBucket,
    pub cloud: TokenBucket,
    pub out: Vec<Effect>,
}

impl Calls {
    pub fn take(&mut self, op: CallId) -> Option<Purpose> {
        self.ops.remove(&op)
    }

    fn note(&mut self, purpose: Purpose) -> CallId {
        self.next += 1;
        let op = CallId(self.next);
        self.ops.insert(op, purpose);
        op
    }

    /// Sends a call that was paid for already.
    pub fn state(&mut self, purpose: Purpose, call: StoreRequest, timeout_ms: Ms) {
        let op = self.note(purpose);
        self.out.push(Effect::Store { op, call, timeout_ms });
    }

    pub fn cloud(&mut self, purpose: Purpose, call: CloudRequest, timeout_ms: Ms) {
        let op = self.note(purpose);
        self.out.push(Effect::Cloud { op, call, timeout_ms });
    }

    pub fn pay(&mut self, now: Ms, class: CallPriority) -> bool {
        self.state.take(now, 1.0, class)
    }

    pub fn answer(&mut self, req: RequestId, answer: Answer) {
        self.out.push(Effect::Answer { req, answer });
    }

    pub fn log(&mut self, event: impl Into<LogEvent>) {
        self.out.push(Effect::Log(event.into()));
    }
}
