//! How fresh the job cache is, and which call to the store keeps it so.
//!
//! The jobs are listed once; from then on a watch that is opened again and again tells of every
//! change. A second watch, which does not wait, overtakes one that hangs or that was opened
//! before the leader's lease was acquired. What the calls tell stands in
//! [`crate::jobs::JobCache`].

use crate::model::{Ms, Revision};

/// Which of the two watches is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchKind {
    /// It waits for a change.
    Waiting,
    /// It is answered at once.
    CatchUp,
}

/// The call that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobWatchCall {
    /// The list of all jobs, from the first page on.
    List,
    /// The watch that waits.
    Watch {
        /// The revision after which it tells of changes.
        after: Revision,
    },
}

/// One call that is made again and again.
#[derive(Debug, Default)]
struct Repeated {
    in_flight: bool,
    not_before: Ms,
}

impl Repeated {
    fn is_due(&self, now: Ms) -> bool {
        !self.in_flight && now >= self.not_before
    }
}

/// The state of the list and the watches, and how fresh the job cache is by them.
#[derive(Debug, Default)]
pub struct JobWatch {
    loaded: bool,
    /// The revision up to which changes are known; none while the jobs have to be listed.
    revision: Option<Revision>,
    as_of: Option<Ms>,
    /// The revision of the first page of a list that goes on.
    list_revision: Option<Revision>,
    waiting: Repeated,
    catch_up: Repeated,
}

impl JobWatch {
    /// Whether the jobs were listed since the process began.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// The revision up to which changes are known.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// When the call was sent whose answer told of jobs last: what came before it is known.
    pub fn as_of(&self) -> Option<Ms> {
        self.as_of
    }

    /// Whether what ended before `since` is known, by a call that was sent no longer than `max_age`
    /// before `now`.
    pub fn is_fresh(&self, since: Ms, now: Ms, max_age: Ms) -> bool {
        self.as_of.is_some_and(|as_of| as_of >= since && now <= as_of + max_age)
    }

    /// The list, or the watch that waits, if it is to be sent now.
    pub fn call_due(&self, now: Ms) -> Option<JobWatchCall> {
        if !self.waiting.is_due(now) {
            return None;
        }
        Some(self.revision.map_or(JobWatchCall::List, |after| JobWatchCall::Watch { after }))
    }

    /// The revision after which to catch up, if what is known is not fresh (as by
    /// [`JobWatch::is_fresh`]) and no such call is in flight.
    pub fn catch_up_due(&self, since: Ms, now: Ms, max_age: Ms) -> Option<Revision> {
        let due = self.catch_up.is_due(now) && !self.is_fresh(since, now, max_age);
        self.revision.filter(|_| due)
    }

    /// A list or watch was sent.
    pub fn sent(&mut self, kind: WatchKind) {
        self.repeated(kind).in_flight = true;
    }

    /// A watch was answered, whatever the answer; the next one is sent no sooner than `next`.
    pub fn answered(&mut self, kind: WatchKind, next: Ms) {
        let call = self.repeated(kind);
        call.in_flight = false;
        call.not_before = next;
    }

    /// A watch that was sent at `sent` told of every change up to a revision.
    pub fn events_received(&mut self, revision: Revision, sent: Ms) {
        self.revision = self.revision.max(Some(revision));
        self.as_of = self.as_of.max(Some(sent));
    }

    /// The jobs are to be listed again: the changes after what is known are not kept any more, or
    /// more keys count than were listed.
    pub fn restart_list(&mut self) {
        self.revision = None;
    }

    /// A page of the list was read; gives the revision of its first page, from which the
    /// watch goes on.
    pub fn page_read(&mut self, revision: Revision) -> Revision {
        *self.list_revision.get_or_insert(revision)
    }

    /// The list failed and begins again, no sooner than `next`.
    pub fn list_failed(&mut self, next: Ms) {
        self.list_revision = None;
        self.answered(WatchKind::Waiting, next);
    }

    /// The last page was read of a list whose first page was asked for at `sent`.
    pub fn list_completed(&mut self, sent: Ms) {
        self.waiting.in_flight = false;
        self.revision = self.list_revision.take();
        self.as_of = self.as_of.max(Some(sent));
        self.loaded = true;
    }

    fn repeated(&mut self, kind: WatchKind) -> &mut Repeated {
        match kind {
            WatchKind::Waiting => &mut self.waiting,
            WatchKind::CatchUp => &mut self.catch_up,
        }
    }
}

#[cfg(test)]
#[path = "watch_tests.rs"]
mod tests;
