//! Keeps the job cache up to date: lists the jobs, watches them for changes, and applies the
//! records that were read.

use super::Controller;
use crate::events::{JobEvent, StoreEvent};
use crate::io::{KeyValue, StoreReply, StoreRequest, WatchEvent};
use crate::jobs::watch::{JobWatchCall, WatchKind};
use crate::model::{JobId, Ms, Revision};
use crate::store::calls::{ListRange, StorePurpose};
use crate::store::rate_limiter::CallPriority;
use crate::store::records::{
    active_job_key, decode, parse_job_id, run_state_key, JobRecord, ACTIVE_JOBS_PREFIX,
    ADMISSION_PREFIX, JOBS_PREFIX, OUTCOMES_PREFIX, RUN_STATES_PREFIX,
};
use std::collections::BTreeSet;

/// Maximum number of keys in a page of the list. The store allows 1,000 (PROTOCOL, "GET /kv").
const MAX_PAGE_KEYS: u32 = 500;

impl Controller {
    /// Lists the jobs or sends the waiting watch, if that is due and the rate limit allows it.
    pub(super) fn watch_jobs(&mut self) {
        let Some(call) = self.job_watch.call_due(self.now) else { return };
        if !self.calls.try_acquire(self.now, CallPriority::Request) {
            return;
        }
        self.job_watch.record_sent(WatchKind::Waiting);
        match call {
            JobWatchCall::List => self.send_list(ListRange::Jobs, None, self.now),
            JobWatchCall::Watch { after } => {
                // The timeout is short, so that a watch that hangs takes up little of the maximum
                // cancellation time.
                let wait_ms = self.cfg.watch_timeout_ms();
                let timeout_ms = wait_ms + self.cfg.leader_lease_ms() / 2;
                self.send_watch(WatchKind::Waiting, after, wait_ms, timeout_ms);
            }
        }
    }

    /// If the job cache is too old, sends a watch that is answered at once. The waiting watch may
    /// hang or may have been sent before the leader lease was acquired.
    pub(super) fn send_catch_up_watch(&mut self) {
        let Some(since) = self.lease_held_since else { return };
        let timeout_ms = self.cfg.leader_lease_ms() / 4;
        let max_age_ms = self.cfg.watch_timeout_ms() + timeout_ms;
        if let Some(after) = self.job_watch.catch_up_due(since, self.now, max_age_ms) {
            self.job_watch.record_sent(WatchKind::CatchUp);
            self.calls.try_acquire(self.now, CallPriority::Lease);
            self.send_watch(WatchKind::CatchUp, after, 0, timeout_ms);
        }
    }

    /// Returns whether the job cache was read after the current leader lease was acquired, and at
    /// most the timeout of a watch plus one heartbeat interval ago. No task is started otherwise:
    /// other controllers may have answered that a job is cancelled while this process was paused,
    /// partitioned or without a lease.
    pub(super) fn job_cache_is_fresh(&self) -> bool {
        let max_age_ms = self.cfg.watch_timeout_ms()
            + self.cfg.leader_lease_ms() / 2
            + self.cfg.heartbeat_interval_ms;
        self.lease_held_since
            .is_some_and(|since| self.job_watch.is_fresh(since, self.now, max_age_ms))
    }

    fn send_list(&mut self, range: ListRange, after: Option<String>, sent_at: Ms) {
        let timeout_ms = self.cfg.leader_lease_ms() / 2;
        let prefix = range.prefix().to_string();
        let request = StoreRequest::List { prefix, after: after.clone(), limit: MAX_PAGE_KEYS };
        self.calls.send_to_store(
            StorePurpose::ListJobs { range, after, sent_at },
            request,
            timeout_ms,
        );
    }

    fn send_watch(&mut self, kind: WatchKind, after: Revision, wait_ms: Ms, timeout_ms: Ms) {
        let request = StoreRequest::Watch { prefix: JOBS_PREFIX.into(), after, wait_ms };
        let purpose = StorePurpose::WatchJobs { sent_at: self.now, kind };
        self.calls.send_to_store(purpose, request, timeout_ms);
    }

    /// Handles the reply to a watch of the jobs.
    pub(super) fn handle_watch_reply(&mut self, kind: WatchKind, sent_at: Ms, reply: StoreReply) {
        let burst_ms = self.cfg.heartbeat_interval_ms / 10;
        let retry_at = self.now + self.cfg.heartbeat_interval_ms / 4;
        match reply {
            StoreReply::Events { revision, events } => {
                // Changes of jobs come in bursts. A delay lets one watch return several, since a
                // watch for each costs too much. Run states come at an interval, and must not delay
                // the changes of jobs.
                let is_run_state = |event: &WatchEvent| event.key().starts_with(RUN_STATES_PREFIX);
                let delay_ms = match !events.is_empty() && events.iter().all(is_run_state) {
                    true => 0,
                    false => burst_ms,
                };
                self.job_watch.record_answer(kind, self.now + delay_ms);
                for event in &events {
                    self.apply_event(event);
                }
                self.job_watch.record_events(revision, sent_at);
                if self.verbose && (kind == WatchKind::CatchUp || !events.is_empty()) {
                    self.calls.log(JobEvent::WatchAnswered {
                        revision,
                        events: events.len(),
                        kind,
                        took_ms: self.now - sent_at,
                    });
                }
            }
            StoreReply::Compacted => {
                self.job_watch.record_answer(kind, self.now + burst_ms);
                self.job_watch.restart_list();
            }
            _ => self.job_watch.record_answer(kind, retry_at),
        }
    }

    /// Handles a page of the list.
    pub(super) fn handle_list_reply(
        &mut self,
        range: ListRange,
        after: Option<String>,
        sent_at: Ms,
        reply: StoreReply,
    ) {
        let StoreReply::Page { items, more, revision } = reply else {
            self.job_watch.record_list_failure(self.now + self.cfg.heartbeat_interval_ms / 4);
            return;
        };
        for item in &items {
            self.apply_unordered(item);
        }
        self.remove_unlisted(range, &items, after.as_deref(), more, revision);
        // The watch starts at the revision of the first page.
        let list_revision = self.job_watch.record_page(revision);
        if more {
            return self.send_list(range, items.last().map(|item| item.key.clone()), sent_at);
        }
        if let Some(next_range) = range.next(self.admission.quotas_enforced()) {
            return self.send_list(next_range, None, sent_at);
        }
        self.job_watch.complete_list(sent_at);
        self.calls.log(JobEvent::Listed {
            revision: list_revision,
            active: self.job_cache.active.len(),
            took_ms: self.now - sent_at,
        });
    }

    /// Removes the active jobs or run states that the job cache holds and a page does not list, in
    /// the page's key range. Admission records are never deleted.
    fn remove_unlisted(
        &mut self,
        range: ListRange,
        items: &[KeyValue],
        after: Option<&str>,
        more: bool,
        revision: Revision,
    ) {
        let from = after.unwrap_or(range.prefix());
        let to = items.last().filter(|_| more).map(|item| item.key.as_str());
        let listed: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let is_unlisted = |key: String| {
            let in_range = key.as_str() > from && to.is_none_or(|to| key.as_str() <= to);
            in_range && !listed.contains(key.as_str())
        };
        let cache = &mut self.job_cache;
        let deleted_at = revision.next();
        match range {
            ListRange::Jobs => {
                let unlisted = |job: &&JobId| is_unlisted(active_job_key(**job));
                let removed: Vec<JobId> = cache.active.keys().filter(unlisted).copied().collect();
                removed.into_iter().for_each(|job| cache.remove_active(job, deleted_at));
            }
            ListRange::RunStates => {
                let unlisted = |job: &&JobId| is_unlisted(run_state_key(**job));
                let removed: Vec<JobId> =
                    cache.run_states.keys().filter(unlisted).copied().collect();
                removed.into_iter().for_each(|job| cache.remove_run_state(job, deleted_at));
            }
            ListRange::Admission => {}
        }
    }

    fn apply_event(&mut self, event: &WatchEvent) {
        match event {
            WatchEvent::Put(item) => self.apply_record(item, true),
            WatchEvent::Delete { key, mod_revision } => {
                if let Some(job) = key.strip_prefix(ACTIVE_JOBS_PREFIX).and_then(parse_job_id) {
                    self.job_cache.remove_active(job, *mod_revision);
                } else if let Some(job) = key.strip_prefix(RUN_STATES_PREFIX).and_then(parse_job_id)
                {
                    self.job_cache.remove_run_state(job, *mod_revision);
                }
            }
        }
    }

    /// Applies a record that was read alone or from a list, so earlier changes may be unknown.
    pub(super) fn apply_unordered(&mut self, item: &KeyValue) {
        self.apply_record(item, false);
    }

    /// Applies a record to the job cache. `in_order` is true if every earlier change is known.
    fn apply_record(&mut self, item: &KeyValue, in_order: bool) {
        if let Some(job) = item.key.strip_prefix(ACTIVE_JOBS_PREFIX).and_then(parse_job_id) {
            match decode::<JobRecord>(&item.value) {
                Some(record) => self.job_cache.put_active(job, item.mod_revision, record),
                None => self.calls.log(StoreEvent::JobUnreadable { job }),
            }
        } else if let Some(job) = item.key.strip_prefix(OUTCOMES_PREFIX).and_then(parse_job_id) {
            if let Some(outcome) = decode(&item.value) {
                self.job_cache.put_outcome(job, outcome);
            }
        } else if let Some(job) = item.key.strip_prefix(RUN_STATES_PREFIX).and_then(parse_job_id) {
            self.apply_run_state(item, job, in_order);
        } else if item.key.starts_with(ADMISSION_PREFIX) {
            self.apply_admission_record(item, in_order);
        }
    }

    /// Applies a run state to the job cache. An event of a watch is skipped if the other watch has
    /// returned later changes, since the record may have been deleted by one of these.
    fn apply_run_state(&mut self, item: &KeyValue, job: JobId, in_order: bool) {
        let is_known = in_order && Some(item.mod_revision) <= self.job_watch.revision();
        if let Some(record) = decode(&item.value).filter(|_| !is_known) {
            self.job_cache.put_run_state(job, item.mod_revision, record);
            if !record.is_running {
                self.requests.record_no_running_tasks(job);
            }
        }
    }
}
