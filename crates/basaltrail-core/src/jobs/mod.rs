//! Jobs: the cache that every controller keeps of them, and the leader's state of each.

pub mod crash_loop;
mod job_cache;
mod job_state;
pub mod watch;

pub use job_cache::{ActiveJob, JobCache};
pub use job_state::JobState;
