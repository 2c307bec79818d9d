//! A job to submit, with the body of its submission and its description for the workers.

use crate::clock::Ms;
use crate::history::JobRequirements;
use crate::job_catalog::JobDescription;
use serde_json::{json, Value};

/// Memory of each task, in GB.
const TASK_MEMORY_GB: f64 = 1.0;
/// Size of each image, in GB.
const IMAGE_GB: f64 = 0.5;
/// Number of distinct images.
const IMAGES: u64 = 3;

/// A job to submit.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Team, class, tasks and placement of the job.
    pub requirements: JobRequirements,
    /// Priority, under its name in PROTOCOL.
    pub priority: &'static str,
    /// Run time of each task, in milliseconds.
    pub run_ms: Ms,
}

impl JobRequest {
    /// Returns the job's description for the workers.
    pub fn description(&self) -> JobDescription {
        JobDescription { requirements: self.requirements.clone(), run_ms: self.run_ms }
    }

    /// Returns the body of the job's submission, with the names of PROTOCOL.
    pub fn body(&self, job: u64) -> Value {
        let requirements = &self.requirements;
        let estimate_s = if requirements.service { 0.0 } else { self.run_ms as f64 / 1000.0 };
        json!({"nameId": format!("job-{job:06}"), "shelf": requirements.class, "desk": requirements.team,
            "binding": if requirements.service { "daemon" } else { "array" },
            "precedence": self.priority, "leaves": requirements.tasks,
            "vcpus": requirements.cpus, "gpus": 0.0, "ramGb": TASK_MEMORY_GB,
            "edition": format!("img-{}", job % IMAGES), "sizeGb": IMAGE_GB, "formats": null,
            "room": requirements.zone, "samePlace": false, "apart": false, "remainders": requirements.spot,
            "reckonS": estimate_s, "bookmarkS": 0.0, "pressS": 0.0, "dueS": null})
    }
}
