//! Recovery of the previous leader's state, and reconciliation of it with heartbeats.
//!
//! A new leader reads the machine registry, the completion records and the fairness ledger, in this
//! order, and schedules nothing until all are read ([`recovery`]). Until then, answers to
//! heartbeats contain no commands except stops of the tasks of ended jobs ([`loading_answers`]).
//! The first heartbeat of a machine that carries the new leader's token shows which tasks are on
//! the machine ([`heartbeats`], [`reconciliation`]).

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

/// Limit of the unknown jobs that wait for a lookup, per megabyte of memory. A job that a heartbeat
/// reports beyond the limit is added once it is reported again.
const MAX_UNKNOWN_JOBS_PER_MB: f64 = 40.0;
/// Lower bound of the limit of unknown jobs, for controllers with little memory.
const MIN_UNKNOWN_JOBS_LIMIT: f64 = 64.0;
/// Records on one page of a list. The store returns at most 1,000 (PROTOCOL, `GET /kv`).
const PAGE_RECORDS: u32 = 500;
/// Maximum number of jobs in a crash loop that are recorded for the next leader. It bounds the size
/// of the ledger record.
pub(in crate::leader) const MAX_RECORDED_CRASH_LOOPS: usize = 64;

/// Stage of loading the previous leader's records, in the order of reading.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadStage {
    /// Reading the machine registry.
    #[default]
    Registry,
    /// Reading the completion records.
    Completions,
    /// Reading the fairness ledger.
    Ledger,
    /// All records are read.
    Complete,
}

/// Number and encoded content of one segment of a job's completion record.
pub type CompletionSegment = (u32, String);

/// State of the recovery from the previous leader.
#[derive(Default)]
pub struct Failover {
    /// Current stage of loading.
    pub(in crate::leader) load_stage: LoadStage,
    /// Whether a request for the previous leader's records is in flight.
    request_in_flight: bool,
    /// Key after which the next page begins; `None` for the first page.
    next_page_after: Option<String>,
    /// Earliest time of the next request.
    next_request_at: Ms,
    /// Answers given to heartbeats while the records are being loaded.
    pub(in crate::leader) loading_answers: LoadingAnswers,
    /// Completions read for jobs that are not known yet.
    completions: BTreeMap<JobId, Vec<CompletionSegment>>,
    /// Jobs that the previous leader recorded as crash-looping.
    crash_loops: BTreeSet<JobId>,
    /// Jobs that a worker or a record refers to and the job cache does not contain. A job is
    /// removed once a lookup of its record is queued.
    pub unknown_jobs: BTreeSet<JobId>,
}

impl Failover {
    /// Returns whether all records are read.
    pub(in crate::leader) fn is_complete(&self) -> bool {
        self.load_stage == LoadStage::Complete
    }

    /// Returns whether the next request for the previous leader's records may be sent.
    pub(in crate::leader) fn is_request_due(&self, now: Ms) -> bool {
        !self.request_in_flight && !self.is_complete() && now >= self.next_request_at
    }

    /// Returns the next request for the previous leader's records and marks it as in flight.
    pub(in crate::leader) fn start_next_request(&mut self) -> StoreRequest {
        self.request_in_flight = true;
        let page = |prefix: &str| StoreRequest::List {
            prefix: prefix.into(),
            after: self.next_page_after.clone(),
            limit: PAGE_RECORDS,
        };
        match self.load_stage {
            LoadStage::Registry => page(MACHINE_REGISTRY_PREFIX),
            LoadStage::Completions => page(COMPLETIONS_PREFIX),
            LoadStage::Ledger | LoadStage::Complete => StoreRequest::Get(LEDGER_KEY.into()),
        }
    }

    /// Records that the request in flight was answered.
    fn record_request_answered(&mut self) {
        self.request_in_flight = false;
    }

    /// Delays the next request until `retry_at` after a failed one.
    fn record_request_failed(&mut self, retry_at: Ms) {
        self.next_request_at = retry_at;
    }

    /// Requests that the record of a job is read, unless the limit of unknown jobs is reached.
    pub(in crate::leader) fn request_job_record(&mut self, settings: &Settings, job: JobId) {
        let limit =
            (settings.memory_mb * MAX_UNKNOWN_JOBS_PER_MB).max(MIN_UNKNOWN_JOBS_LIMIT) as usize;
        if self.unknown_jobs.len() < limit {
            self.unknown_jobs.insert(job);
        }
    }

    /// Keeps a segment of completions until its job is known.
    fn add_completions(&mut self, job: JobId, segment: CompletionSegment) {
        self.completions.entry(job).or_default().push(segment);
    }

    /// Removes and returns the completions read for a job.
    pub(in crate::leader) fn remove_completions(&mut self, job: JobId) -> Vec<CompletionSegment> {
        self.completions.remove(&job).unwrap_or_default()
    }

    /// Requests the records of unknown jobs whose completions were read. Most of these jobs have
    /// ended.
    fn request_jobs_of_completions(&mut self) {
        self.unknown_jobs.extend(self.completions.keys());
    }

    /// Recovers the jobs that the previous leader recorded as crash-looping.
    fn recover_crash_loops(&mut self, record: LedgerRecord) {
        self.crash_loops
            .extend(record.crash_looping_jobs.into_iter().take(MAX_RECORDED_CRASH_LOOPS));
    }

    /// Applies the recovered completions and crash loop to a job. Returns whether all its tasks are
    /// done.
    pub(in crate::leader) fn recover_job(&mut self, job: &mut JobState) -> bool {
        for (segment, text) in self.remove_completions(job.id) {
            if job.spec.is_service() {
                break; // replicas of services never complete, so a completion record is ignored
            }
            job.done.add_segment(segment, &text);
            job.durable.add_segment(segment, &text);
            job.stored_segments.insert(segment);
        }
        job.health.recover(self.crash_loops.contains(&job.id), !job.done.is_empty());
        job.is_complete()
    }
}
