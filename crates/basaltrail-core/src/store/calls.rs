//! Calls to the store and the cloud that wait for a reply, and the rates at which they go out.

use crate::answer::Answer;
use crate::controller::request_queue::{AdmittedSubmission, ClientRequest, JobConfirmation};
use crate::election::ElectionCall;
use crate::events::LogEvent;
use crate::io::{CloudRequest, Effect, StoreRequest};
use crate::jobs::watch::WatchKind;
use crate::model::{CallId, FencingToken, JobId, MachineId, Ms, RequestId};
use crate::store::pending_transaction::PendingTransaction;
use crate::store::rate_limiter::{CallPriority, TokenBucket};
use crate::store::records::{ACTIVE_JOBS_PREFIX, ADMISSION_PREFIX};
use basaltrail_admission::QuotaWrite;
use std::collections::HashMap;

/// The key ranges that are listed one after the other before the watch of the jobs begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListPart {
    /// Active jobs.
    Jobs,
    /// Admission quotas, and the processes that they are for.
    Admission,
}

impl ListPart {
    /// The prefix of the keys of the range.
    pub fn prefix(self) -> &'static str {
        match self {
            ListPart::Jobs => ACTIVE_JOBS_PREFIX,
            ListPart::Admission => ADMISSION_PREFIX,
        }
    }
}

/// What a call to the store was made for. Where it carries a fencing token, its reply counts only
/// for the leader of that term.
pub enum StorePurpose {
    /// A call of the election.
    Election(ElectionCall),
    /// A page of the list of the jobs or of admission records.
    ListJobs {
        /// The key range.
        part: ListPart,
        /// The last key of the page before.
        after: Option<String>,
        /// When the first page of the list was asked for.
        sent: Ms,
    },
    /// A watch of the jobs.
    WatchJobs {
        /// When it was sent.
        sent: Ms,
        /// Which of the two watches.
        kind: WatchKind,
    },
    /// Accepts submissions, all in one transaction.
    AcceptJobs(Vec<AdmittedSubmission>),
    /// Confirms that what the job cache holds is still so.
    ConfirmJobs(Vec<JobConfirmation>),
    /// Reads the active record of a job.
    ReadActiveJob {
        /// The job.
        job: JobId,
        /// Requests that wait for it.
        requests: Vec<ClientRequest>,
    },
    /// Reads the outcome of a job that has no active record.
    ReadOutcome {
        /// The job.
        job: JobId,
        /// Requests that wait for it.
        requests: Vec<ClientRequest>,
    },
    /// Replaces the active record of a job by the outcome "cancelled".
    CancelJob {
        /// The job.
        job: JobId,
        /// Requests that wait for it.
        requests: Vec<ClientRequest>,
    },
    /// Reads the stored machine types.
    ReadMachineTypes,
    /// Stores the machine types.
    WriteMachineTypes,
    /// Reads what the previous leader left.
    LoadLeaderState {
        /// The term.
        token: FencingToken,
    },
    /// A transaction of the leader's writer.
    LeaderTransaction {
        /// The term.
        token: FencingToken,
        /// What it writes.
        pending: Box<PendingTransaction>,
    },
    /// Reads the mod revision of one of the leader's keys.
    RefreshRevision {
        /// The term.
        token: FencingToken,
        /// The key.
        key: String,
    },
    /// Writes the record of this controller's process.
    WriteControllerRecord,
    /// Writes admission quotas.
    WriteQuotas {
        /// The term.
        token: FencingToken,
        /// The quotas.
        writes: Vec<QuotaWrite>,
    },
}

/// What a call to the cloud was made for. Where it carries a fencing token, its reply counts only
/// for the leader of that term.
pub enum CloudPurpose {
    /// Asks for the machine types.
    MachineTypes,
    /// Rents machines.
    Provision {
        /// The term.
        token: FencingToken,
        /// The name under which the request may be repeated.
        requisition: String,
    },
    /// Returns machines.
    Terminate {
        /// The term.
        token: FencingToken,
        /// The machines.
        machines: Vec<MachineId>,
    },
    /// Lists the machines that are rented.
    List {
        /// The term.
        token: FencingToken,
    },
}

/// Calls that wait for a reply, the rate limiters they go through, and the effects of this step.
#[derive(Default)]
pub struct Calls {
    store_calls: HashMap<CallId, StorePurpose>,
    cloud_calls: HashMap<CallId, CloudPurpose>,
    last_id: u64,
    /// Calls to the store.
    pub store_rate: TokenBucket,
    /// Changes at the store, beside the calls that carry them.
    pub write_rate: TokenBucket,
    /// Calls to the cloud.
    pub cloud_rate: TokenBucket,
    /// What the present step asks the program to do, in order.
    pub effects: Vec<Effect>,
}

impl Calls {
    /// What a call to the store was made for, once it is replied to; none if it was already.
    pub fn finish_store(&mut self, call: CallId) -> Option<StorePurpose> {
        self.store_calls.remove(&call)
    }

    /// What a call to the cloud was made for, once it is replied to; none if it was already.
    pub fn finish_cloud(&mut self, call: CallId) -> Option<CloudPurpose> {
        self.cloud_calls.remove(&call)
    }

    fn next_id(&mut self) -> CallId {
        self.last_id += 1;
        CallId(self.last_id)
    }

    /// Sends a call to the store. The rate limiters are asked by the caller, before.
    pub fn send_to_store(&mut self, purpose: StorePurpose, call: StoreRequest, timeout_ms: Ms) {
        let op = self.next_id();
        self.store_calls.insert(op, purpose);
        self.effects.push(Effect::Store { op, call, timeout_ms });
    }

    /// Sends a call to the cloud. The rate limiter is asked by the caller, before.
    pub fn send_to_cloud(&mut self, purpose: CloudPurpose, call: CloudRequest, timeout_ms: Ms) {
        let op = self.next_id();
        self.cloud_calls.insert(op, purpose);
        self.effects.push(Effect::Cloud { op, call, timeout_ms });
    }

    /// Whether one call to the store may go out now; it counts from here on.
    pub fn try_acquire(&mut self, now: Ms, priority: CallPriority) -> bool {
        self.store_rate.try_acquire(now, 1.0, priority)
    }

    /// Whether one call to the store that makes so many changes may go out now. The changes are
    /// counted first, and stay counted if the call itself has to wait.
    pub fn try_acquire_write(&mut self, now: Ms, changes: usize, priority: CallPriority) -> bool {
        self.write_rate.try_acquire(now, changes as f64, priority)
            && self.try_acquire(now, priority)
    }

    /// Answers a request.
    pub fn answer(&mut self, req: RequestId, answer: Answer) {
        self.effects.push(Effect::Answer { req, answer });
    }

    /// Logs an event.
    pub fn log(&mut self, event: impl Into<LogEvent>) {
        self.effects.push(Effect::Log(event.into()));
    }
}
