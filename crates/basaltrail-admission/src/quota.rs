//! The record of an admission quota.

use crate::work_amount::WorkAmount;
use serde::{Deserialize, Serialize};

/// The class name of the entry for all classes that a quota does not name.
pub const OTHER_CLASSES: &str = "";

/// Minimum run time that is counted for a task, in seconds, since users may not know it.
const MIN_RUN_S: f64 = 1.0;

/// The demand of one job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobDemand {
    /// The team of the job.
    pub team: String,
    /// The class of the job.
    pub class: String,
    /// CPUs of all tasks together.
    pub cpus: f64,
    /// Estimated run time of each task, in seconds; `None` for a service, which does not end.
    pub run_s: Option<f64>,
}

impl JobDemand {
    /// Returns the amount that the job uses of a quota. Run times count up to the horizon only, so
    /// that jobs that fit into a team's guarantee together never use more than the work of that
    /// guarantee over the horizon.
    pub fn cost(&self, horizon_s: f64) -> WorkAmount {
        let run_s = self.run_s.map_or(horizon_s, |run_s| run_s.max(MIN_RUN_S).min(horizon_s));
        WorkAmount { jobs: 1, work: self.cpus * run_s }
    }
}

/// The amount that a controller may accept of one class of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaEntry {
    /// The class; [`OTHER_CLASSES`] for the entry of all classes that are not named.
    #[serde(rename = "c")]
    pub class: String,
    /// Number of jobs.
    #[serde(rename = "j")]
    pub jobs: u32,
    /// Work, in CPU-seconds.
    #[serde(rename = "w")]
    pub work: f64,
    /// The leader's estimate of the time until a submission is admitted again once the entry is
    /// used up, in seconds.
    #[serde(rename = "s")]
    pub retry_after_s: u32,
}

impl QuotaEntry {
    /// Returns the jobs and work of the entry.
    pub fn amount(&self) -> WorkAmount {
        WorkAmount { jobs: self.jobs, work: self.work }
    }
}

/// The amounts that one process of a controller may accept of a team's jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionQuota {
    /// The team.
    #[serde(rename = "t")]
    pub team: String,
    /// The controller.
    #[serde(rename = "n")]
    pub controller: String,
    /// The incarnation of the process. A later process of the same controller must not use the
    /// quota.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Upper bound of the run time that is counted for a task, in seconds.
    #[serde(rename = "h")]
    pub horizon_s: f64,
    /// One entry for each named class, and one for all other classes.
    #[serde(rename = "r")]
    pub classes: Vec<QuotaEntry>,
}

impl AdmissionQuota {
    /// Returns the index of the entry that applies to a class.
    pub fn entry_index(&self, class: &str) -> Option<usize> {
        let named = |name: &str| self.classes.iter().position(|entry| entry.class == name);
        named(class).or_else(|| named(OTHER_CLASSES))
    }

    /// Returns whether all numbers are in range. A record of another version may hold others.
    pub fn is_valid(&self) -> bool {
        let is_valid = |entry: &QuotaEntry| entry.work.is_finite() && entry.work >= 0.0;
        self.horizon_s.is_finite() && self.horizon_s > 0.0 && self.classes.iter().all(is_valid)
    }
}
