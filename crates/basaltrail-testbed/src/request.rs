//! EventKind a user asks for: the body of a submission, and what the workers make of it.

use crate::clock::Ms;
use crate::history::JobRequirements;
use crate::worker::JobWork;
use serde_json::{json, Value};

/// Memory of a task, in GB, and its image's size.
const TASK_MEMORY_GB: f64 = 1.0;
const IMAGE_GB: f64 = 0.5;
/// How many images there are.
const IMAGES: u64 = 3;

/// A job that is to be submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Team, class, tasks and where they may run.
    pub shape: JobRequirements,
    /// Priority, as PROTOCOL names it.
    pub priority: &'static str,
    /// How long each task runs.
    pub run_ms: Ms,
}

impl JobRequest {
    /// EventKind workers know of it.
    pub fn work(&self) -> JobWork {
        JobWork { shape: self.shape.clone(), run_ms: self.run_ms }
    }

    /// The body of its submission.
    pub fn body(&self, job: u64) -> Value {
        let shape = &self.shape;
        let estimate_s = if shape.service { 0.0 } else { self.run_ms as f64 / 1000.0 };
        json!({"nameId": format!("job-{job:06}"), "shelf": shape.class, "desk": shape.team,
            "binding": if shape.service { "daemon" } else { "array" },
            "precedence": self.priority, "leaves": shape.tasks,
            "vcpus": shape.cpus, "gpus": 0.0, "ramGb": TASK_MEMORY_GB,
            "edition": format!("img-{}", job % IMAGES), "sizeGb": IMAGE_GB, "formats": null,
            "room": shape.zone, "samePlace": false, "apart": false, "remainders": shape.spot,
            "reckonS": estimate_s, "bookmarkS": 0.0, "pressS": 0.0, "dueS": null})
    }
}
