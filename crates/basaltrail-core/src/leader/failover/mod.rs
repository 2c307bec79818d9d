//! What a new leader recovers from its predecessor, and how heartbeats are reconciled with it.
//!
//! A new leader reads the machine registry, completions and the fairness ledger, in this order,
//! and schedules nothing before all are read ([`recovery`]). Until then the only commands in
//! answers to heartbeats stop tasks of ended jobs ([`loading_answers`]). The tasks on each machine
//! are reconciled with its first heartbeat that carries the new leader's token ([`heartbeats`],
//! [`reconciliation`]).

pub mod heartbeats;
pub mod loading_answers;
pub mod reconciliation;
pub mod recovery;

use crate::io::StoreRequest;
use crate::jobs::JobState;
use crate::model::{JobId, Ms};
use crate::settings::Settings;
use crate::store::records::{
    LedgerRecord, COMPLETIONS_PREFIX, LEDGER_KEY, MACHINE_REGISTRY_PREFIX,
};
use loading_answers::LoadingAnswers;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs whose record has to be read, per megabyte of memory; those that heartbeats name beyond
/// that are read later.
const UNKNOWN_JOBS_PER_MB: f64 = 40.0;
/// Jobs whose record has to be read, however little memory there is.
const MIN_UNKNOWN_JOBS: f64 = 64.0;
/// Records on one page of a list; a response holds 1,000 at the most (PROTOCOL, `GET /kv`).
const PAGE_RECORDS: u32 = 500;
/// Jobs in a crash loop that are recorded for the next leader: it bounds the ledger record.
pub(in crate::leader) const MAX_RECORDED_CRASH_LOOPS: usize = 64;

/// What is being read of the previous leader's records, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Loading {
    /// The machine registry.
    #[default]
    Registry,
    /// Completions of tasks.
    Completions,
    /// The fairness ledger.
    Ledger,
    /// Nothing is left to read.
    Complete,
}

/// One segment of a job's completions, as it was read.
pub type CompletionSegment = (u32, String);

/// What is recovered from the previous leader.
#[derive(Default)]
pub struct Failover {
    /// What is being read.
    pub(in crate::leader) loading: Loading,
    /// Whether a request for it is on its way.
    request_in_flight: bool,
    /// The key after which the next page begins.
    next_page_after: Option<String>,
    /// No request goes out before.
    not_before: Ms,
    /// Answers to heartbeats that came before the machine registry was read.
    pub(in crate::leader) loading_answers: LoadingAnswers,
    /// Completions that were read of jobs that are not known yet.
    completions: BTreeMap<JobId, Vec<CompletionSegment>>,
    /// Jobs that the previous leader found in a crash loop.
    crash_loops: BTreeSet<JobId>,
    /// Jobs that a worker or a record names and the job cache does not hold.
    pub unknown_jobs: BTreeSet<JobId>,
}

impl Failover {
    /// Whether everything was read.
    pub(in crate::leader) fn is_complete(&self) -> bool {
        self.loading == Loading::Complete
    }

    /// Whether the next request for the previous leader's records may go out.
    pub(in crate::leader) fn request_due(&self, now: Ms) -> bool {
        !self.request_in_flight && !self.is_complete() && now >= self.not_before
    }

    /// The next request for the previous leader's records; it counts as on its way.
    pub(in crate::leader) fn next_request(&mut self) -> StoreRequest {
        self.request_in_flight = true;
        let page = |prefix: &str| StoreRequest::List {
            prefix: prefix.into(),
            after: self.next_page_after.clone(),
            limit: PAGE_RECORDS,
        };
        match self.loading {
            Loading::Registry => page(MACHINE_REGISTRY_PREFIX),
            Loading::Completions => page(COMPLETIONS_PREFIX),
            Loading::Ledger | Loading::Complete => StoreRequest::Get(LEDGER_KEY.into()),
        }
    }

    /// The request was answered.
    fn request_answered(&mut self) {
        self.request_in_flight = false;
    }

    /// The request failed and is repeated no sooner than `not_before`.
    fn request_failed(&mut self, not_before: Ms) {
        self.not_before = not_before;
    }

    /// Has the record of a job read that a worker or a record names.
    pub(in crate::leader) fn read_job(&mut self, settings: &Settings, job: JobId) {
        let limit = (settings.memory_mb * UNKNOWN_JOBS_PER_MB).max(MIN_UNKNOWN_JOBS) as usize;
        if self.unknown_jobs.len() < limit {
            self.unknown_jobs.insert(job);
        }
    }

    /// Keeps a segment of completions until its job is known.
    fn keep_completion(&mut self, job: JobId, segment: CompletionSegment) {
        self.completions.entry(job).or_default().push(segment);
    }

    /// The completions that were read of a job; they are given once.
    pub(in crate::leader) fn take_completions(&mut self, job: JobId) -> Vec<CompletionSegment> {
        self.completions.remove(&job).unwrap_or_default()
    }

    /// Completions whose job is not known belong to one that has ended, most likely: its record
    /// has to be read.
    fn read_jobs_of_completions(&mut self) {
        self.unknown_jobs.extend(self.completions.keys());
    }

    /// Takes the jobs that the previous leader found in a crash loop.
    fn recover_crash_loops(&mut self, record: LedgerRecord) {
        self.crash_loops
            .extend(record.crash_looping_jobs.into_iter().take(MAX_RECORDED_CRASH_LOOPS));
    }

    /// Gives a job what was read of it; true if all its tasks are done.
    pub(in crate::leader) fn recover_job(&mut self, job: &mut JobState) -> bool {
        for (segment, text) in self.take_completions(job.id) {
            if job.spec.is_service() {
                break; // it is never done, whatever the record says
            }
            job.done.add_segment(segment, &text);
            job.durable.add_segment(segment, &text);
            job.stored_segments.insert(segment);
        }
        job.health.recover(self.crash_loops.contains(&job.id), !job.done.is_empty());
        job.is_complete()
    }
}
