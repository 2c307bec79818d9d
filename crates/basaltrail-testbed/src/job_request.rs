//! A job that is to be submitted: the body of its submission, and the description for workers.

use crate::clock::Ms;
use crate::history::JobRequirements;
use crate::job_catalog::JobDescription;
use serde_json::{json, Value};

/// Memory of a task, in GB.
const TASK_MEMORY_GB: f64 = 1.0;
/// Size of an image, in GB.
const IMAGE_GB: f64 = 0.5;
/// Number of different images.
const IMAGES: u64 = 3;

/// A job that is to be submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Team, class, tasks, and where they may run.
    pub requirements: JobRequirements,
    /// Priority, as PROTOCOL names it.
    pub priority: &'static str,
    /// How long each task runs, in milliseconds.
    pub run_ms: Ms,
}

impl JobRequest {
    /// The job as workers need it.
    pub fn description(&self) -> JobDescription {
        JobDescription { requirements: self.requirements.clone(), run_ms: self.run_ms }
    }

    /// The body of the job's submission, under PROTOCOL's names.
    pub fn body(&self, job: u64) -> Value {
        let required = &self.requirements;
        let estimate_s = if required.service { 0.0 } else { self.run_ms as f64 / 1000.0 };
        json!({"nameId": format!("job-{job:06}"), "shelf": required.class, "desk": required.team,
            "binding": if required.service { "daemon" } else { "array" },
            "precedence": self.priority, "leaves": required.tasks,
            "vcpus": required.cpus, "gpus": 0.0, "ramGb": TASK_MEMORY_GB,
            "edition": format!("img-{}", job % IMAGES), "sizeGb": IMAGE_GB, "formats": null,
            "room": required.zone, "samePlace": false, "apart": false, "remainders": required.spot,
            "reckonS": estimate_s, "bookmarkS": 0.0, "pressS": 0.0, "dueS": null})
    }
}
