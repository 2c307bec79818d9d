//! Jobs: every controller's cache of job records, and the leader's state of each job.

pub mod crash_loop;
mod job_cache;
mod job_state;
pub mod watch;

pub use job_cache::{ActiveJob, JobCache, StoredRunState};
pub use job_state::{JobState, TaskPlacement};
