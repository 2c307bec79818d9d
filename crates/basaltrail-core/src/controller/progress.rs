//! Exchange of the jobs' progress: a leader sends it to its peers and stores which jobs run; the
//! other controllers answer users from both.

use super::Controller;
use crate::events::LeadershipEvent;
use crate::io::{Effect, Progress, StoreReply, StoreRequest};
use crate::jobs::StoredRunState;
use crate::leader::{RunStateChange, RunStateWriteOutcome};
use crate::model::{FencingToken, JobId};
use crate::store::calls::StorePurpose;
use crate::store::rate_limiter::CallPriority;
use crate::store::records::run_state_key;

impl Controller {
    /// Applies progress that a peer sent.
    pub(super) fn handle_peer_progress(&mut self, progress: &[Progress]) {
        self.last_peer_progress_at = self.now;
        if std::mem::take(&mut self.progress_missing_logged) {
            self.calls.log(LeadershipEvent::ProgressReceived);
        }
        if self.leader.is_none() {
            self.requests.update_progress(self.now, &self.job_cache, progress);
        }
    }

    /// Sends task progress to the peers and stores which jobs run, at a fixed interval while this
    /// controller leads.
    pub(super) fn publish_progress(&mut self) {
        if !self.election.holds_valid_lease(self.now) {
            return;
        }
        let Some(leader) = self.leader.as_mut() else { return };
        if !leader.is_loaded() || self.now < leader.next_progress_at {
            return;
        }
        leader.next_progress_at = self.now + self.cfg.progress_interval_ms();
        let progress = leader.progress();
        self.requests.update_progress(self.now, &self.job_cache, &progress);
        self.with_leader(|leader, ctx, calls, _| leader.write_run_states(ctx, calls, &progress));
        self.calls.effects.push(Effect::BroadcastProgress { progress });
    }

    /// Handles the reply to a write of run states.
    pub(super) fn handle_run_states_reply(
        &mut self,
        token: FencingToken,
        changes: Vec<RunStateChange>,
        reply: &StoreReply,
    ) {
        let outcome = self.with_leader_of_term(token, |leader, _, _| {
            leader.run_state_writer.handle_reply(changes.len(), reply)
        });
        match outcome {
            Some(RunStateWriteOutcome::Committed(revision)) => {
                for change in changes {
                    match change.record {
                        Some(record) => self.job_cache.put_run_state(change.job, revision, record),
                        None => self.job_cache.remove_run_state(change.job, revision),
                    }
                }
            }
            Some(RunStateWriteOutcome::Deposed) => self.election.step_down(self.now),
            Some(RunStateWriteOutcome::Conflict(keys)) => {
                let jobs = changes.iter().map(|change| change.job);
                let failed = jobs.filter(|job| keys.contains(&run_state_key(*job)));
                failed.for_each(|job| self.read_run_state(job));
            }
            Some(RunStateWriteOutcome::Failed) | None => {}
        }
    }

    /// Reads the run state of a job, unless the rate limit does not allow it; the next conflict then
    /// tries again.
    fn read_run_state(&mut self, job: JobId) {
        if self.calls.try_acquire(self.now, CallPriority::Completion) {
            let cached = self.job_cache.run_states.get(&job).copied();
            let request = StoreRequest::Get(run_state_key(job));
            let timeout_ms = self.request_timeout_ms();
            self.calls.send_to_store(
                StorePurpose::ReadRunState { job, cached },
                request,
                timeout_ms,
            );
        }
    }

    /// Handles the reply to a read of a run state, of which `cached` was known at the time of the
    /// read.
    pub(super) fn handle_run_state_reply(
        &mut self,
        job: JobId,
        cached: Option<StoredRunState>,
        reply: &StoreReply,
    ) {
        match reply {
            StoreReply::KeyValue(item) => self.apply_unordered(item),
            StoreReply::NotFound if self.job_cache.run_states.get(&job).copied() == cached => {
                self.job_cache.run_states.remove(&job);
            }
            _ => {}
        }
    }

    /// Logs once that another controller leads and its progress does not arrive. Users are then
    /// answered from the stored run states alone.
    pub(super) fn log_missing_progress(&mut self) {
        let Some(leader) = self.logged_leader.as_ref().filter(|_| self.leader.is_none()) else {
            return;
        };
        let expected_since = self.last_peer_progress_at.max(self.leader_seen_at);
        let is_missing = self.now > expected_since + self.cfg.worker_lease_ms;
        if is_missing && !self.progress_missing_logged {
            self.progress_missing_logged = true;
            let silent_ms = self.now - self.last_peer_progress_at;
            let leader = leader.clone();
            self.calls.log(LeadershipEvent::ProgressMissing { leader, silent_ms });
        }
    }
}

#[cfg(test)]
#[path = "progress_tests.rs"]
mod tests;
