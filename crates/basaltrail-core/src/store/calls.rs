//! Calls to the store and the cloud that await a reply, and the limits on their rates.

use crate::answer::Answer;
use crate::controller::request_queue::{AdmittedSubmission, ClientRequest, JobConfirmation};
use crate::election::requests::ElectionCall;
use crate::events::LogEvent;
use crate::io::{CloudRequest, Effect, StoreRequest};
use crate::jobs::watch::WatchKind;
use crate::jobs::StoredRunState;
use crate::leader::RunStateChange;
use crate::model::{CallId, FencingToken, JobId, MachineId, Ms, RequestId};
use crate::store::pending_transaction::PendingTransaction;
use crate::store::rate_limiter::{CallPriority, TokenBucket};
use crate::store::records::{ACTIVE_JOBS_PREFIX, ADMISSION_PREFIX, RUN_STATES_PREFIX};
use basaltrail_admission::QuotaWrite;
use std::collections::HashMap;

/// A key range that is listed before the watch of the jobs begins. The ranges are listed in
/// sequence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRange {
    /// Active jobs.
    Jobs,
    /// Run states of jobs.
    RunStates,
    /// Admission quotas and the controller records.
    Admission,
}

impl ListRange {
    /// Returns the key prefix of the range.
    pub fn prefix(self) -> &'static str {
        match self {
            ListRange::Jobs => ACTIVE_JOBS_PREFIX,
            ListRange::RunStates => RUN_STATES_PREFIX,
            ListRange::Admission => ADMISSION_PREFIX,
        }
    }

    /// Returns the range that is listed after this one; `None` after the last. The admission
    /// records are listed only if quotas are enforced.
    pub fn next(self, quotas_enforced: bool) -> Option<ListRange> {
        match self {
            ListRange::Jobs => Some(ListRange::RunStates),
            ListRange::RunStates => quotas_enforced.then_some(ListRange::Admission),
            ListRange::Admission => None,
        }
    }
}

/// The purpose of a call to the store. If it has a fencing token, the reply is applied only by the
/// leader of that term.
pub enum StorePurpose {
    /// Sends a request of the election.
    Election(ElectionCall),
    /// Reads a page of the list of the jobs or of admission records.
    ListJobs {
        /// The key range.
        range: ListRange,
        /// The last key of the previous page.
        after: Option<String>,
        /// The time at which the first page of the list was requested.
        sent_at: Ms,
    },
    /// Watches the jobs.
    WatchJobs {
        /// The time at which the watch was sent.
        sent_at: Ms,
        /// The kind of the watch.
        kind: WatchKind,
    },
    /// Accepts submissions in one transaction.
    AcceptJobs(Vec<AdmittedSubmission>),
    /// Confirms that cached active records are unchanged.
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
    /// Replaces the active record of a job with the outcome "cancelled".
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
    /// Reads the stored state of the previous leader.
    LoadLeaderState {
        /// The fencing token of the term.
        token: FencingToken,
    },
    /// Commits a transaction of the leader's writer.
    LeaderTransaction {
        /// The fencing token of the term.
        token: FencingToken,
        /// The changes of the transaction.
        pending: Box<PendingTransaction>,
    },
    /// Reads the mod revision of a key of the leader.
    RefreshRevision {
        /// The fencing token of the term.
        token: FencingToken,
        /// The key.
        key: String,
    },
    /// Writes the controller record of this process.
    WriteControllerRecord,
    /// Writes run states of jobs.
    WriteRunStates {
        /// The fencing token of the term.
        token: FencingToken,
        /// The changes.
        changes: Vec<RunStateChange>,
    },
    /// Reads the run state of a job after a write found another one than the cached one.
    ReadRunState {
        /// The job.
        job: JobId,
        /// The run state that was cached when the read was sent.
        cached: Option<StoredRunState>,
    },
    /// Writes admission quotas.
    WriteQuotas {
        /// The fencing token of the term.
        token: FencingToken,
        /// The quotas.
        writes: Vec<QuotaWrite>,
    },
}

/// The purpose of a call to the cloud. If it has a fencing token, the reply is applied only by the
/// leader of that term.
pub enum CloudPurpose {
    /// Reads the machine types.
    MachineTypes,
    /// Provisions machines.
    Provision {
        /// The fencing token of the term.
        token: FencingToken,
        /// The name of the request, under which it can be repeated without provisioning more
        /// machines.
        request_name: String,
    },
    /// Terminates machines.
    Terminate {
        /// The fencing token of the term.
        token: FencingToken,
        /// The machines.
        machines: Vec<MachineId>,
    },
    /// Lists the provisioned machines.
    List {
        /// The fencing token of the term.
        token: FencingToken,
    },
}

/// Calls that await a reply, their rate limiters, and the effects of the current step.
#[derive(Default)]
pub struct Calls {
    store_calls: HashMap<CallId, StorePurpose>,
    cloud_calls: HashMap<CallId, CloudPurpose>,
    last_id: u64,
    /// Limits calls to the store.
    pub store_limiter: TokenBucket,
    /// Limits changes to the store; the calls that contain them count separately.
    pub write_limiter: TokenBucket,
    /// Limits calls to the cloud.
    pub cloud_limiter: TokenBucket,
    /// Effects of the current step, in the order in which the program executes them.
    pub effects: Vec<Effect>,
}

impl Calls {
    /// Removes a call to the store that was replied to, and returns its purpose; `None` if it was
    /// already removed.
    pub fn finish_store_call(&mut self, call_id: CallId) -> Option<StorePurpose> {
        self.store_calls.remove(&call_id)
    }

    /// Removes a call to the cloud that was replied to, and returns its purpose; `None` if it was
    /// already removed.
    pub fn finish_cloud_call(&mut self, call_id: CallId) -> Option<CloudPurpose> {
        self.cloud_calls.remove(&call_id)
    }

    fn next_id(&mut self) -> CallId {
        self.last_id += 1;
        CallId(self.last_id)
    }

    /// Sends a call to the store. The caller must check the rate limiters first.
    pub fn send_to_store(&mut self, purpose: StorePurpose, request: StoreRequest, timeout_ms: Ms) {
        let call_id = self.next_id();
        self.store_calls.insert(call_id, purpose);
        self.effects.push(Effect::Store { call_id, request, timeout_ms });
    }

    /// Sends a call to the cloud. The caller must check the rate limiter first.
    pub fn send_to_cloud(&mut self, purpose: CloudPurpose, request: CloudRequest, timeout_ms: Ms) {
        let call_id = self.next_id();
        self.cloud_calls.insert(call_id, purpose);
        self.effects.push(Effect::Cloud { call_id, request, timeout_ms });
    }

    /// Acquires one call to the store and returns whether it may be sent now.
    pub fn try_acquire(&mut self, now: Ms, priority: CallPriority) -> bool {
        self.store_limiter.try_acquire(now, 1.0, priority)
    }

    /// Acquires one call to the store with `changes` changes and returns whether it may be sent
    /// now. The changes are acquired first, and stay acquired if the call itself is not admitted.
    pub fn try_acquire_write(&mut self, now: Ms, changes: usize, priority: CallPriority) -> bool {
        self.write_limiter.try_acquire(now, changes as f64, priority)
            && self.try_acquire(now, priority)
    }

    /// Answers a request.
    pub fn answer(&mut self, request_id: RequestId, answer: Answer) {
        self.effects.push(Effect::Answer { request_id, answer });
    }

    /// Logs an event.
    pub fn log(&mut self, event: impl Into<LogEvent>) {
        self.effects.push(Effect::Log(event.into()));
    }
}
