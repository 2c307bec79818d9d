//! The jobs of a run, as their images describe them: users upload descriptions, workers read them.

use crate::clock::Ms;
use crate::history::JobRequirements;
use crate::lock;
use crate::state_service::StateService;
use basaltrail_core::records::{active_job_key, JobRecord};
use basaltrail_core::JobId;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};

/// What the tasks of a job do.
#[derive(Clone, Debug)]
pub struct JobDescription {
    /// What the job requires.
    pub requirements: JobRequirements,
    /// How long each task runs, in milliseconds.
    pub run_ms: Ms,
}

/// All jobs that were submitted, and the tasks of each that completed; clones share the jobs.
///
/// The description of a job that was submitted by hand is derived from the controllers' durable
/// record of it.
#[derive(Clone)]
pub struct JobCatalog {
    jobs: Arc<Mutex<Jobs>>,
    state_service: StateService,
}

#[derive(Default)]
struct Jobs {
    descriptions: HashMap<u64, JobDescription>,
    completed: HashMap<u64, BTreeSet<u32>>,
}

impl JobCatalog {
    /// An empty catalog; records are looked up in a state service.
    pub fn new(state_service: StateService) -> Self {
        JobCatalog { jobs: Arc::default(), state_service }
    }

    /// Adds the description of a job.
    pub fn upload(&self, job: u64, description: JobDescription) {
        self.lock().descriptions.insert(job, description);
    }

    /// The description of a job; `None` if it was never submitted.
    pub fn find(&self, job: u64) -> Option<JobDescription> {
        let uploaded = self.lock().descriptions.get(&job).cloned();
        uploaded.or_else(|| {
            let description = self.description_from_record(job)?;
            self.upload(job, description.clone());
            Some(description)
        })
    }

    fn description_from_record(&self, job: u64) -> Option<JobDescription> {
        let record = self.state_service.value(&active_job_key(JobId(job)))?;
        let JobRecord { spec, .. } = serde_json::from_value(record).ok()?;
        let requirements = JobRequirements {
            team: spec.team.clone(),
            class: spec.class.clone(),
            tasks: spec.tasks,
            cpus: spec.cpus,
            spot: spec.spot,
            zone: spec.zone.clone(),
            service: spec.is_service(),
        };
        Some(JobDescription { requirements, run_ms: (spec.estimate_s * 1000.0) as Ms })
    }

    /// Whether a task completed in any attempt.
    pub fn is_completed(&self, job: u64, task: u32) -> bool {
        self.lock().completed.get(&job).is_some_and(|tasks| tasks.contains(&task))
    }

    /// Records that a task completed.
    pub fn set_completed(&self, job: u64, task: u32) {
        self.lock().completed.entry(job).or_default().insert(task);
    }

    fn lock(&self) -> MutexGuard<'_, Jobs> {
        lock(&self.jobs)
    }
}
