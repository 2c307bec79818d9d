//! The job cache: what a controller knows of jobs, by its list and its watch of the store.

use crate::model::{JobId, JobOutcome, JobSpec, Revision, WallMs};
use crate::store::records::JobRecord;
use basaltrail_admission::{Acceptance, AdmissionQuota, QuotaCache};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

/// An active job as the store holds it.
#[derive(Clone, Debug)]
pub struct ActiveJob {
    /// The mod revision of its record.
    pub mod_revision: Revision,
    /// Time of day of its acceptance.
    pub accepted_at: WallMs,
    /// What its user asked for.
    pub spec: Arc<JobSpec>,
    /// The controller that accepted it out of its quota; none if no quota was needed.
    pub accepted_by: Option<String>,
}

impl ActiveJob {
    fn acceptance(&self) -> Option<Acceptance> {
        let controller = self.accepted_by.clone()?;
        Some(Acceptance { controller, demand: self.spec.demand(), mod_revision: self.mod_revision })
    }
}

/// What a controller knows of jobs. Outcomes never change, so users may be told them from here;
/// anything else must be confirmed first.
pub struct JobCache {
    /// Jobs that are accepted and have not ended.
    pub active: BTreeMap<JobId, ActiveJob>,
    outcomes: HashMap<JobId, JobOutcome>,
    /// The jobs of `outcomes`, the oldest first.
    outcome_order: VecDeque<JobId>,
    max_outcomes: usize,
    /// Admission quotas, and what was accepted under them.
    pub quotas: QuotaCache,
    /// Jobs whose record changed since the leader last looked.
    pub changed: BTreeSet<JobId>,
}

impl JobCache {
    /// An empty cache that remembers so many outcomes.
    pub fn new(max_outcomes: usize) -> Self {
        JobCache {
            active: BTreeMap::new(),
            outcomes: HashMap::new(),
            outcome_order: VecDeque::new(),
            max_outcomes,
            quotas: QuotaCache::default(),
            changed: BTreeSet::new(),
        }
    }

    /// How a job ended, if that is remembered.
    pub fn outcome(&self, job: JobId) -> Option<JobOutcome> {
        self.outcomes.get(&job).copied()
    }

    /// Puts the active record of a job, unless a later one or the outcome is known.
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
        self.changed.insert(job);
    }

    /// Puts a quota that was read. `complete` says whether it was read by a watch: a list does not
    /// tell of the jobs that were accepted under it and have ended.
    pub fn put_quota(&mut self, quota: AdmissionQuota, mod_revision: Revision, complete: bool) {
        let AdmissionQuota { team, controller, .. } = &quota;
        let own = |job: &&ActiveJob| {
            job.accepted_by.as_ref() == Some(controller) && job.spec.team == *team
        };
        let accepted_since: Vec<Acceptance> = self
            .active
            .values()
            .filter(|job| job.mod_revision > mod_revision)
            .filter(own)
            .filter_map(ActiveJob::acceptance)
            .collect();
        self.quotas.put_quota(quota, mod_revision, accepted_since.into_iter(), complete);
    }

    /// Puts the outcome of a job; it is not active any more.
    pub fn put_outcome(&mut self, job: JobId, outcome: JobOutcome) {
        self.active.remove(&job);
        self.changed.insert(job);
        if self.outcomes.insert(job, outcome).is_some() {
            return;
        }
        self.outcome_order.push_back(job);
        // Older outcomes are read again when somebody asks.
        if self.outcome_order.len() > self.max_outcomes {
            if let Some(oldest) = self.outcome_order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }

    /// Removes an active record that was deleted at this revision. How the job ended is told by
    /// its outcome.
    pub fn remove_active(&mut self, job: JobId, mod_revision: Revision) {
        if self.active.get(&job).is_some_and(|active| active.mod_revision < mod_revision) {
            self.active.remove(&job);
            self.changed.insert(job);
        }
    }
}
