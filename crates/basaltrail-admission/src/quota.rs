//! The record that tells a controller how much it may accept.

use crate::work_amount::WorkAmount;
use serde::{Deserialize, Serialize};

/// The class that stands for all classes that a quota does not name.
pub const OTHER_CLASSES: &str = "";

/// The least run time that a task counts for, in seconds: its owner may not know it.
const MIN_RUN_S: f64 = 1.0;

/// What one submission asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct JobDemand {
    /// Its team.
    pub team: String,
    /// Its class.
    pub class: String,
    /// CPUs of all its tasks together.
    pub cpus: f64,
    /// Seconds that each task is estimated to run; none for a service, which does not end.
    pub run_s: Option<f64>,
}

impl JobDemand {
    /// What the job takes of a quota. Work counts up to the horizon only, so that jobs that fit
    /// into a team's guarantee together never count for more than the guarantee over it.
    pub fn cost(&self, horizon_s: f64) -> WorkAmount {
        let run_s = self.run_s.map_or(horizon_s, |run| run.max(MIN_RUN_S).min(horizon_s));
        WorkAmount { jobs: 1, work: self.cpus * run_s }
    }
}

/// How much a controller may accept of one class of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaEntry {
    /// The class; [`OTHER_CLASSES`] for all that are not named.
    #[serde(rename = "c")]
    pub class: String,
    /// Jobs.
    #[serde(rename = "j")]
    pub jobs: u32,
    /// CPU-seconds of work.
    #[serde(rename = "w")]
    pub work: f64,
    /// Seconds after which a submission may be admitted again once the entry is used up, as the
    /// leader estimates.
    #[serde(rename = "s")]
    pub retry_after_s: u32,
}

impl QuotaEntry {
    /// Its jobs and work.
    pub fn amount(&self) -> WorkAmount {
        WorkAmount { jobs: self.jobs, work: self.work }
    }
}

/// How much one process of a controller may accept of a team's jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionQuota {
    /// The team.
    #[serde(rename = "t")]
    pub team: String,
    /// The controller.
    #[serde(rename = "n")]
    pub controller: String,
    /// The process: a later one of the same controller may accept nothing out of it.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Seconds up to which the run time of a task counts.
    #[serde(rename = "h")]
    pub horizon_s: f64,
    /// One entry for each named class, and one for all others.
    #[serde(rename = "r")]
    pub classes: Vec<QuotaEntry>,
}

impl AdmissionQuota {
    /// The index of the entry that a class is counted under.
    pub fn entry_index(&self, class: &str) -> Option<usize> {
        let named = |name: &str| self.classes.iter().position(|entry| entry.class == name);
        named(class).or_else(|| named(OTHER_CLASSES))
    }

    /// Whether its numbers can be counted with: a record may come from another version.
    pub fn is_valid(&self) -> bool {
        let valid = |entry: &QuotaEntry| entry.work.is_finite() && entry.work >= 0.0;
        self.horizon_s.is_finite() && self.horizon_s > 0.0 && self.classes.iter().all(valid)
    }
}
