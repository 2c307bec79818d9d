//! The monotonic clock of a run, shared by all stand-ins.

use std::time::{Duration, Instant};

/// Milliseconds: a time since the run started, or a duration.
pub type Ms = u64;

/// A monotonic clock whose time zero is the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Returns the time since the clock started.
    pub fn now(&self) -> Ms {
        self.0.elapsed().as_millis() as Ms
    }

    /// Sleeps until the given time; returns immediately if the time has passed.
    pub async fn sleep_until(&self, deadline: Ms) {
        let remaining_ms = deadline.saturating_sub(self.now());
        tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
    }
}
