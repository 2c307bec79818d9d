//! The freshness of the job cache, and the schedule of the calls that keep it fresh.
//!
//! The jobs are listed once; after that, a watch that is sent repeatedly returns every change. A
//! second watch, which does not wait for changes, provides them if the first one hangs or was sent
//! before the leader lease was acquired. [`crate::jobs::JobCache`] holds the data.

use crate::model::{Ms, Revision};

/// The kind of a watch of the jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchKind {
    /// Waits for a change.
    Waiting,
    /// Is answered at once.
    CatchUp,
}

/// A call that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobWatchCall {
    /// The list of all jobs, beginning with the first page.
    List,
    /// The watch that waits.
    Watch {
        /// The revision after which changes are returned.
        after: Revision,
    },
}

/// The state of a call that is sent repeatedly.
#[derive(Debug, Default)]
struct RepeatedCall {
    in_flight: bool,
    not_before: Ms,
}

impl RepeatedCall {
    fn is_due(&self, now: Ms) -> bool {
        !self.in_flight && now >= self.not_before
    }
}

/// The state of the list and the watches, and the freshness of the job cache.
#[derive(Debug, Default)]
pub struct JobWatch {
    loaded: bool,
    /// The revision up to which changes are known; `None` if the jobs must be listed.
    revision: Option<Revision>,
    as_of: Option<Ms>,
    /// The revision of the first page of the list in progress.
    list_revision: Option<Revision>,
    waiting: RepeatedCall,
    catch_up: RepeatedCall,
}

impl JobWatch {
    /// Returns whether the jobs were listed since the process started.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the revision up to which changes are known.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Returns the send time of the latest answered call. All changes before that time are known.
    pub fn as_of(&self) -> Option<Ms> {
        self.as_of
    }

    /// Returns whether all changes before `since` are known, and the latest answered call was sent
    /// no more than `max_age_ms` before `now`.
    pub fn is_fresh(&self, since: Ms, now: Ms, max_age_ms: Ms) -> bool {
        self.as_of.is_some_and(|as_of| as_of >= since && now <= as_of + max_age_ms)
    }

    /// Returns the list or the waiting watch if it is due.
    pub fn call_due(&self, now: Ms) -> Option<JobWatchCall> {
        if !self.waiting.is_due(now) {
            return None;
        }
        Some(self.revision.map_or(JobWatchCall::List, |after| JobWatchCall::Watch { after }))
    }

    /// Returns the revision after which to catch up, if the job cache is not fresh (see
    /// [`JobWatch::is_fresh`]) and the catch-up watch may be sent.
    pub fn catch_up_due(&self, since: Ms, now: Ms, max_age_ms: Ms) -> Option<Revision> {
        let is_due = self.catch_up.is_due(now) && !self.is_fresh(since, now, max_age_ms);
        self.revision.filter(|_| is_due)
    }

    /// Records that a list or watch was sent; the list counts as [`WatchKind::Waiting`].
    pub fn record_sent(&mut self, kind: WatchKind) {
        self.call_mut(kind).in_flight = true;
    }

    /// Records any answer to a watch. The next one is sent no earlier than `not_before`.
    pub fn record_answer(&mut self, kind: WatchKind, not_before: Ms) {
        let call = self.call_mut(kind);
        call.in_flight = false;
        call.not_before = not_before;
    }

    /// Records that a watch sent at `sent_at` returned all changes up to a revision.
    pub fn record_events(&mut self, revision: Revision, sent_at: Ms) {
        self.revision = self.revision.max(Some(revision));
        self.as_of = self.as_of.max(Some(sent_at));
    }

    /// Requires the jobs to be listed again, because the store no longer keeps the changes after
    /// the known revision, or because further key ranges are needed.
    pub fn restart_list(&mut self) {
        self.revision = None;
    }

    /// Records that a page of the list was read. Returns the revision of the list's first page,
    /// from which the watch continues.
    pub fn record_page(&mut self, revision: Revision) -> Revision {
        *self.list_revision.get_or_insert(revision)
    }

    /// Records that the list failed. It restarts no earlier than `not_before`.
    pub fn record_list_failure(&mut self, not_before: Ms) {
        self.list_revision = None;
        self.record_answer(WatchKind::Waiting, not_before);
    }

    /// Completes the list whose first page was requested at `sent_at`. Its last page has been read.
    pub fn complete_list(&mut self, sent_at: Ms) {
        self.waiting.in_flight = false;
        self.revision = self.list_revision.take();
        self.as_of = self.as_of.max(Some(sent_at));
        self.loaded = true;
    }

    fn call_mut(&mut self, kind: WatchKind) -> &mut RepeatedCall {
        match kind {
            WatchKind::Waiting => &mut self.waiting,
            WatchKind::CatchUp => &mut self.catch_up,
        }
    }
}

#[cfg(test)]
#[path = "watch_tests.rs"]
mod tests;
