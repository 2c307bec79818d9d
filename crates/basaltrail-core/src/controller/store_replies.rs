//! Dispatches replies of the store to the part of the controller that made the call.

use super::Controller;
use crate::election::requests::{ElectionCall, ElectionPurpose};
use crate::events::{JobEvent, StoreEvent};
use crate::io::StoreReply;
use crate::leader::WriteOutcome;
use crate::model::{CallId, FencingToken, JobOutcome};
use crate::store::calls::StorePurpose;
use crate::store::pending_transaction::PendingTransaction;
use crate::store::rate_limiter::CallPriority;
use basaltrail_admission::QuotaWrite;

/// Changes in the transaction of a campaign: the leader key and the term key.
const CAMPAIGN_CHANGES: f64 = 2.0;

impl Controller {
    /// Handles the reply to a store call, or its timeout.
    pub(super) fn handle_store_reply(&mut self, call_id: CallId, reply: StoreReply) {
        let Some(purpose) = self.calls.finish_store_call(call_id) else { return };
        if !matches!(reply, StoreReply::Unknown | StoreReply::Unavailable) {
            self.last_store_reply_at = self.now;
        }
        match purpose {
            StorePurpose::Election(call) => self.handle_election_reply(call, reply),
            StorePurpose::ListJobs { range, after, sent_at } => {
                self.handle_list_reply(range, after, sent_at, reply);
            }
            StorePurpose::WatchJobs { sent_at, kind } => {
                self.handle_watch_reply(kind, sent_at, reply)
            }
            StorePurpose::AcceptJobs(batch) => self.handle_accept_reply(batch, reply),
            StorePurpose::ConfirmJobs(jobs) => self.handle_confirm_reply(jobs, reply),
            StorePurpose::ReadActiveJob { job, requests } => {
                self.handle_active_job_reply(job, requests, reply);
            }
            StorePurpose::ReadOutcome { job, requests } => {
                self.handle_outcome_reply(job, requests, reply)
            }
            StorePurpose::CancelJob { job, requests } => {
                self.handle_cancel_reply(job, requests, reply)
            }
            StorePurpose::ReadMachineTypes => self.handle_stored_machine_types(reply),
            StorePurpose::WriteMachineTypes => self.machine_types.apply_write_reply(&reply),
            StorePurpose::WriteControllerRecord => {
                self.admission.finish_record_write(self.now, &self.cfg)
            }
            StorePurpose::LoadLeaderState { token } => {
                self.with_leader_of_term(token, |leader, ctx, calls| {
                    leader.handle_load_reply(ctx, calls, reply);
                });
            }
            StorePurpose::LeaderTransaction { token, pending } => {
                self.handle_leader_transaction_reply(token, *pending, reply);
            }
            StorePurpose::RefreshRevision { token, key } => {
                self.with_leader_of_term(token, |leader, _, _| {
                    leader.handle_refresh_reply(key, reply)
                });
            }
            StorePurpose::WriteRunStates { token, changes } => {
                self.handle_run_states_reply(token, changes, &reply);
            }
            StorePurpose::ReadRunState { job, cached } => {
                self.handle_run_state_reply(job, cached, &reply);
            }
            StorePurpose::WriteQuotas { token, writes } => {
                self.handle_quotas_reply(token, &writes, &reply);
            }
        }
    }

    fn handle_election_reply(&mut self, call: ElectionCall, reply: StoreReply) {
        let Some(request) = self.election.handle_reply(self.now, call, reply) else { return };
        if matches!(request.call.purpose, ElectionPurpose::Campaign { .. }) {
            // Campaigns are never delayed: the rate limiter counts the changes but its result is
            // ignored.
            let changes = CAMPAIGN_CHANGES;
            self.calls.write_limiter.try_acquire(self.now, changes, CallPriority::Lease);
        }
        self.send_election_request(request);
    }

    fn handle_leader_transaction_reply(
        &mut self,
        token: FencingToken,
        pending: PendingTransaction,
        reply: StoreReply,
    ) {
        let outcome = self.with_leader_of_term(token, |leader, ctx, _| {
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
            self.requests.queue_lookup(job, Vec::new());
        }
        if deposed {
            self.election.step_down(self.now);
        }
    }

    fn handle_quotas_reply(
        &mut self,
        token: FencingToken,
        writes: &[QuotaWrite],
        reply: &StoreReply,
    ) {
        let deposed = self.with_leader_of_term(token, |leader, _, _| {
            leader.quota_allocator.handle_reply(writes, reply)
        });
        if deposed == Some(true) {
            self.election.step_down(self.now);
        }
    }
}
