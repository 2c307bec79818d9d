//! The job cache: job records, outcomes and quotas as a controller last read them from the store.

use crate::model::{JobId, JobOutcome, JobSpec, Revision, WallMs};
use crate::store::records::{JobRecord, RunStateRecord};
use basaltrail_admission::{Acceptance, AdmissionQuota, QuotaCache};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// An active job as it is stored.
#[derive(Clone, Debug)]
pub struct ActiveJob {
    /// The mod revision of the job's record.
    pub mod_revision: Revision,
    /// The wall-clock time at which the job was accepted.
    pub accepted_at: WallMs,
    /// The submitted specification.
    pub spec: Arc<JobSpec>,
    /// The controller against whose quota the job was accepted; `None` if no quota was needed.
    pub accepted_by: Option<String>,
}

impl ActiveJob {
    fn acceptance(&self) -> Option<Acceptance> {
        let controller = self.accepted_by.clone()?;
        Some(Acceptance { controller, demand: self.spec.demand(), mod_revision: self.mod_revision })
    }
}

/// The run state of a job as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredRunState {
    /// The mod revision of the record.
    pub mod_revision: Revision,
    /// True if a task of the job runs.
    pub is_running: bool,
}

/// A controller's cache of jobs. Outcomes never change, so users may be answered from cached ones;
/// everything else must first be confirmed by the store.
pub struct JobCache {
    /// Jobs that were accepted and have not ended.
    pub active: BTreeMap<JobId, ActiveJob>,
    outcomes: HashMap<JobId, JobOutcome>,
    /// The jobs of `outcomes`, oldest first.
    outcome_order: VecDeque<JobId>,
    max_outcomes: usize,
    /// Stored run states. The leader deletes those of ended jobs.
    pub run_states: BTreeMap<JobId, StoredRunState>,
    /// Admission quotas, and the acceptances counted against them.
    pub quotas: QuotaCache,
    /// Jobs whose record or outcome changed since the leader last processed this set.
    pub changed_jobs: BTreeSet<JobId>,
}

impl JobCache {
    /// Creates an empty cache that holds up to `max_outcomes` outcomes.
    pub fn new(max_outcomes: usize) -> Self {
        JobCache {
            active: BTreeMap::new(),
            outcomes: HashMap::new(),
            outcome_order: VecDeque::new(),
            max_outcomes,
            run_states: BTreeMap::new(),
            quotas: QuotaCache::default(),
            changed_jobs: BTreeSet::new(),
        }
    }

    /// Returns the outcome of a job, if it is cached.
    pub fn outcome(&self, job: JobId) -> Option<JobOutcome> {
        self.outcomes.get(&job).copied()
    }

    /// Adds or replaces the active record of a job, unless the outcome or a record of the same or a
    /// later revision is cached.
    pub fn put_active(&mut self, job: JobId, mod_revision: Revision, record: JobRecord) {
        if self.outcomes.contains_key(&job) {
            return;
        }
        if self.active.get(&job).is_some_and(|active| active.mod_revision >= mod_revision) {
            return;
        }
        let JobRecord { accepted_at, spec, accepted_by } = record;
        let active = ActiveJob { mod_revision, accepted_at, spec: Arc::new(spec), accepted_by };
        if let Some(acceptance) = active.acceptance() {
            self.quotas.count_acceptance(&acceptance);
        }
        self.active.insert(job, active);
        self.changed_jobs.insert(job);
    }

    /// Adds or replaces the run state of a job, unless one of the same or a later revision is
    /// cached.
    pub fn put_run_state(&mut self, job: JobId, mod_revision: Revision, record: RunStateRecord) {
        if self.run_states.get(&job).is_some_and(|cached| cached.mod_revision >= mod_revision) {
            return;
        }
        let run_state = StoredRunState { mod_revision, is_running: record.is_running };
        self.run_states.insert(job, run_state);
    }

    /// Removes a run state that was deleted at `mod_revision`, if the cached one is older.
    pub fn remove_run_state(&mut self, job: JobId, mod_revision: Revision) {
        if self.run_states.get(&job).is_some_and(|cached| cached.mod_revision < mod_revision) {
            self.run_states.remove(&job);
        }
    }

    /// Returns whether the store says that a task of the job runs.
    pub fn is_stored_as_running(&self, job: JobId) -> bool {
        self.run_states.get(&job).is_some_and(|run_state| run_state.is_running)
    }

    /// Adds or replaces a quota. `complete` is true if the quota was read by a watch: a list does
    /// not contain the jobs that were accepted under the quota and have ended since.
    pub fn put_quota(&mut self, quota: AdmissionQuota, mod_revision: Revision, complete: bool) {
        let AdmissionQuota { team, controller, .. } = &quota;
        let counts_against_quota = |job: &&ActiveJob| {
            job.accepted_by.as_ref() == Some(controller) && job.spec.team == *team
        };
        let accepted_since: Vec<Acceptance> = self
            .active
            .values()
            .filter(|job| job.mod_revision > mod_revision)
            .filter(counts_against_quota)
            .filter_map(ActiveJob::acceptance)
            .collect();
        self.quotas.put_quota(quota, mod_revision, accepted_since.into_iter(), complete);
    }

    /// Records the outcome of a job and removes its active record.
    pub fn put_outcome(&mut self, job: JobId, outcome: JobOutcome) {
        self.active.remove(&job);
        self.changed_jobs.insert(job);
        if self.outcomes.insert(job, outcome).is_some() {
            return;
        }
        self.outcome_order.push_back(job);
        // Evicted outcomes are read from the store when they are needed.
        if self.outcome_order.len() > self.max_outcomes {
            if let Some(oldest) = self.outcome_order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }

    /// Removes an active record that was deleted at `mod_revision`, if the cached record is older.
    /// The outcome arrives separately.
    pub fn remove_active(&mut self, job: JobId, mod_revision: Revision) {
        if self.active.get(&job).is_some_and(|active| active.mod_revision < mod_revision) {
            self.active.remove(&job);
            self.changed_jobs.insert(job);
        }
    }
}
