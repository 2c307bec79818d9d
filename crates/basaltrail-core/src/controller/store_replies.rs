//! Replies of the store: each goes to the part of the controller that made the call.

use super::Controller;
use crate::election::ElectionCall;
use crate::events::{JobEvent, StoreEvent};
use crate::io::{StoreReply, StoreRequest};
use crate::leader::WriteOutcome;
use crate::model::{CallId, FencingToken, JobOutcome, Ms};
use crate::store::calls::StorePurpose;
use crate::store::pending_transaction::PendingTransaction;
use crate::store::rate_limiter::CallPriority;
use basaltrail_admission::QuotaWrite;

/// How long the revocation of a lease waits for its reply. Nothing depends on it: the lease
/// expires by itself as well.
const REVOKE_TIMEOUT_MS: Ms = 1_000;
/// Changes of the transaction that takes the leader key: the key and the term.
const TAKE_LEADERSHIP_CHANGES: f64 = 2.0;

impl Controller {
    /// Takes a reply of the store, or that a call was given up.
    pub(super) fn store_replied(&mut self, call: CallId, reply: StoreReply) {
        let Some(purpose) = self.calls.finish_store_call(call) else { return };
        if !matches!(reply, StoreReply::Unknown | StoreReply::Refused) {
            self.store_reachable_at = self.now;
        }
        match purpose {
            StorePurpose::Election(call) => self.election_replied(call, reply),
            StorePurpose::ListJobs { part, after, sent } => {
                self.list_replied(part, after, sent, reply);
            }
            StorePurpose::WatchJobs { sent, kind } => self.watch_replied(kind, sent, reply),
            StorePurpose::AcceptJobs(batch) => self.jobs_accepted(batch, reply),
            StorePurpose::ConfirmJobs(jobs) => self.jobs_confirmed(jobs, reply),
            StorePurpose::ReadActiveJob { job, requests } => {
                self.active_job_read(job, requests, reply);
            }
            StorePurpose::ReadOutcome { job, requests } => self.outcome_read(job, requests, reply),
            StorePurpose::CancelJob { job, requests } => self.job_cancelled(job, requests, reply),
            StorePurpose::ReadMachineTypes => self.machine_types_read(reply),
            StorePurpose::WriteMachineTypes => self.types.apply_write_reply(&reply),
            StorePurpose::AnnounceController => self.admission.announced(self.now, &self.cfg),
            StorePurpose::LoadLeaderState { token } => {
                self.with_leader_of(token, |leader, ctx, calls| {
                    leader.handle_load_reply(ctx, calls, reply);
                });
            }
            StorePurpose::LeaderTransaction { token, pending } => {
                self.leader_transaction_replied(token, *pending, reply);
            }
            StorePurpose::RefreshRevision { token, key } => {
                self.with_leader_of(token, |leader, _, _| leader.handle_refresh_reply(key, reply));
            }
            StorePurpose::WriteQuotas { token, writes } => {
                self.quotas_written(token, &writes, &reply);
            }
        }
    }

    fn election_replied(&mut self, call: ElectionCall, reply: StoreReply) {
        if let Some(lease_id) = self.election.handle_reply(self.now, call, reply) {
            let purpose = StorePurpose::Election(ElectionCall::RevokeLease { lease_id });
            let request = StoreRequest::RevokeLease { lease_id };
            self.calls.send_to_store(purpose, request, REVOKE_TIMEOUT_MS);
        }
        if let Some(due) = self.election.campaign_request() {
            // Leases come first; the change is counted and never waits.
            let changes = TAKE_LEADERSHIP_CHANGES;
            self.calls.write_rate.try_acquire(self.now, changes, CallPriority::Lease);
            let purpose = StorePurpose::Election(due.call);
            self.calls.send_to_store(purpose, due.request, due.timeout_ms);
        }
    }

    fn leader_transaction_replied(
        &mut self,
        token: FencingToken,
        pending: PendingTransaction,
        reply: StoreReply,
    ) {
        let outcome = self.with_leader_of(token, |leader, ctx, _| {
            leader.handle_transaction_reply(ctx, pending, reply)
        });
        let Some(WriteOutcome { deposed, completed_jobs, jobs_to_read, rejected_keys }) = outcome
        else {
            return;
        };
        for job in completed_jobs {
            self.calls.log(JobEvent::Completed { job });
            self.job_cache.put_outcome(job, JobOutcome::Done);
        }
        if let Some(keys) = rejected_keys {
            self.calls.log(StoreEvent::WriteRejected { keys });
        }
        for job in jobs_to_read {
            self.requests.look_up(job, Vec::new());
        }
        if deposed {
            self.election.step_down(self.now);
        }
    }

    fn quotas_written(&mut self, token: FencingToken, writes: &[QuotaWrite], reply: &StoreReply) {
        let deposed = self.with_leader_of(token, |leader, _, _| {
            leader.quota_allocator.handle_reply(writes, reply)
        });
        if deposed == Some(true) {
            self.election.step_down(self.now);
        }
    }
}
