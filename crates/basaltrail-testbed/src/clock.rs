//! Milliseconds since a run began, the same for every stand-in.

use std::time::{Duration, Instant};

/// Milliseconds since the run began.
pub type Ms = u64;

/// The one clock of a run.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// The present moment.
    pub fn now(&self) -> Ms {
        self.0.elapsed().as_millis() as Ms
    }

    /// Sleeps until a moment; not at all if it is past.
    pub async fn sleep_until(&self, at: Ms) {
        let left = at.saturating_sub(self.now());
        tokio::time::sleep(Duration::from_millis(left)).await;
    }
}
