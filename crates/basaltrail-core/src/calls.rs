//! Calls in flight, and the budgets they were paid from.

use crate::budget::{Bucket, Class};
use crate::election::Call;
use crate::io::*;
use crate::jobs_view::WatchKind;
use crate::leadership::PendingWrite;
use crate::model::*;
use crate::records::{ACTIVE, ADMISSION};
use crate::requests::{Ask, Confirming, NewJob};
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
            ListPart::Jobs => ACTIVE,
            ListPart::Admission => ADMISSION,
        }
    }
}

/// What an answer is for.
pub enum Purpose {
    Election(Call),
    JobsList {
        part: ListPart,
        after: Option<String>,
        sent: Ms,
    },
    JobsWatch {
        sent: Ms,
        kind: WatchKind,
    },
    Submit(Vec<NewJob>),
    Check(Vec<Confirming>),
    ReadActive {
        job: JobId,
        asks: Vec<Ask>,
    },
    ReadFinal {
        job: JobId,
        asks: Vec<Ask>,
    },
    Cancel {
        job: JobId,
        asks: Vec<Ask>,
    },
    TypesKept,
    TypesPut,
    Types,
    Load {
        token: Token,
    },
    PendingWrite {
        token: Token,
        flush: Box<PendingWrite>,
    },
    Refresh {
        token: Token,
        key: String,
    },
    /// This process tells that it is there.
    Announce,
    Allot {
        token: Token,
        grants: Vec<Grant>,
    },
    Rent {
        token: Token,
        requisition: String,
    },
    Release {
        token: Token,
        machines: Vec<MachineId>,
    },
    List {
        token: Token,
    },
}

#[derive(Default)]
pub struct Calls {
    ops: HashMap<OpId, Purpose>,
    next: u64,
    pub state: Bucket,
    pub writes: Bucket,
    pub cloud: Bucket,
    pub out: Vec<Effect>,
}

impl Calls {
    pub fn take(&mut self, op: OpId) -> Option<Purpose> {
        self.ops.remove(&op)
    }

    fn note(&mut self, purpose: Purpose) -> OpId {
        self.next += 1;
        let op = OpId(self.next);
        self.ops.insert(op, purpose);
        op
    }

    /// Sends a call that was paid for already.
    pub fn state(&mut self, purpose: Purpose, call: StateOp, timeout_ms: Ms) {
        let op = self.note(purpose);
        self.out.push(Effect::State { op, call, timeout_ms });
    }

    pub fn cloud(&mut self, purpose: Purpose, call: CloudOp, timeout_ms: Ms) {
        let op = self.note(purpose);
        self.out.push(Effect::Cloud { op, call, timeout_ms });
    }

    pub fn pay(&mut self, now: Ms, class: Class) -> bool {
        self.state.take(now, 1.0, class)
    }

    pub fn answer(&mut self, req: ReqId, answer: Answer) {
        self.out.push(Effect::Answer { req, answer });
    }

    pub fn log(&mut self, level: Level, event: &'static str, detail: String) {
        self.out.push(Effect::Log { level, event, detail });
    }
}
