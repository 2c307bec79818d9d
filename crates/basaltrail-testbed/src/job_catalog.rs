//! Catalog of the jobs of a run, in place of their images: users add descriptions, workers read
//! them.

use crate::clock::Ms;
use crate::history::JobRequirements;
use crate::lock;
use crate::state_service::StateService;
use basaltrail_core::records::{active_job_key, JobRecord};
use basaltrail_core::JobId;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};

/// The description of a job, with the requirements and run time of its tasks.
#[derive(Clone, Debug)]
pub struct JobDescription {
    /// Requirements of the job.
    pub requirements: JobRequirements,
    /// Run time of each task, in milliseconds.
    pub run_ms: Ms,
}

/// The submitted jobs and the completed tasks of each; clones share one catalog.
///
/// The description of a job that was submitted manually is derived from the controllers' stored
/// record of the job.
#[derive(Clone)]
pub struct JobCatalog {
    jobs: Arc<Mutex<Jobs>>,
    state_service: StateService,
}

#[derive(Default)]
struct Jobs {
    /// Descriptions by job number.
    descriptions: HashMap<u64, JobDescription>,
    /// Indices of the completed tasks, by job number.
    completed_tasks: HashMap<u64, BTreeSet<u32>>,
}

impl JobCatalog {
    /// Creates an empty catalog that reads job records from a state service.
    pub fn new(state_service: StateService) -> Self {
        JobCatalog { jobs: Arc::default(), state_service }
    }

    /// Adds the description of a job.
    pub fn add(&self, job: u64, description: JobDescription) {
        self.lock().descriptions.insert(job, description);
    }

    /// Returns the description of a job, or `None` if neither the catalog nor the state service
    /// contains the job.
    pub fn find(&self, job: u64) -> Option<JobDescription> {
        let known = self.lock().descriptions.get(&job).cloned();
        known.or_else(|| {
            let description = self.description_from_record(job)?;
            self.add(job, description.clone());
            Some(description)
        })
    }

    /// Returns the description of a job according to the controllers' record.
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

    /// Returns whether any attempt of a task completed.
    pub fn is_completed(&self, job: u64, task: u32) -> bool {
        self.lock().completed_tasks.get(&job).is_some_and(|tasks| tasks.contains(&task))
    }

    /// Records the completion of a task.
    pub fn record_completion(&self, job: u64, task: u32) {
        self.lock().completed_tasks.entry(job).or_default().insert(task);
    }

    fn lock(&self) -> MutexGuard<'_, Jobs> {
        lock(&self.jobs)
    }
}
