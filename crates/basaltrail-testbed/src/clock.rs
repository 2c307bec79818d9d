//! The clock of a run, shared by all stand-ins.

use std::time::{Duration, Instant};

/// Milliseconds: an instant since the run started, or a duration.
pub type Ms = u64;

/// A monotonic clock that starts with the run.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The present instant.
    pub fn now(&self) -> Ms {
        self.0.elapsed().as_millis() as Ms
    }

    /// Sleeps until an instant; returns at once if it is past.
    pub async fn sleep_until(&self, at: Ms) {
        let remaining_ms = at.saturating_sub(self.now());
        tokio::time::sleep(Duration::from_millis(remaining_ms)).await;
    }
}
