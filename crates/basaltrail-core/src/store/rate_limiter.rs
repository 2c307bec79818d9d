//! Token buckets that hold a controller's part of the call rates of the store and the cloud.
//!
//! The service counts the calls of all controllers together (PROTOCOL: the limits of the deploy
//! file). Each controller spends a fixed part of a limit, so that the sum stays under it without
//! any agreement at run time; [`crate::controller`] sets the parts.

use crate::model::Ms;

/// What a call is for, the most important first. A call is sent only if it leaves the part of the
/// bucket that is reserved for the priorities above its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Leases and leadership; may overdraw the bucket.
    Lease,
    /// Requests of users, and the watch of the jobs.
    Request,
    /// Completions and outcomes of jobs, and quotas.
    Completion,
    /// Everything that may wait.
    Background,
}

impl CallPriority {
    /// The part of the burst that has to be left after a call of this priority. Negative: the
    /// bucket may be overdrawn by that part.
    fn reserved_part(self) -> f64 {
        match self {
            CallPriority::Lease => -1.0,
            CallPriority::Request => 0.05,
            CallPriority::Completion => 0.15,
            CallPriority::Background => 0.3,
        }
    }
}

/// The part of the burst from which on a bucket counts as full, which allows for rounding.
const FULL_PART: f64 = 0.999;

/// A token bucket that holds one second of its rate, and at least one call.
#[derive(Debug, Default)]
pub struct TokenBucket {
    /// Calls per second.
    rate: f64,
    /// Tokens that a full bucket holds.
    burst: f64,
    /// Tokens in it at `refilled_at`; below zero if it is overdrawn.
    level: f64,
    refilled_at: Ms,
}

impl TokenBucket {
    /// Sets the rate, in calls per second. The first one fills the bucket; later ones keep the
    /// level, less what the new burst does not hold.
    pub fn set_rate(&mut self, rate: f64) {
        let first = self.rate == 0.0;
        self.rate = rate;
        self.burst = rate.max(1.0);
        self.level = if first { self.burst } else { self.level.min(self.burst) };
    }

    /// Takes `tokens` if that leaves what is reserved for higher priorities, and tells whether it
    /// did. A batch larger than the burst is let through by a full bucket, which is then
    /// overdrawn.
    pub fn try_acquire(&mut self, now: Ms, tokens: f64, priority: CallPriority) -> bool {
        self.refill(now);
        let reserved = priority.reserved_part() * self.burst;
        let enough = self.level - tokens >= reserved || self.level >= self.burst * FULL_PART;
        if enough {
            self.level -= tokens;
        }
        enough
    }

    fn refill(&mut self, now: Ms) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + elapsed_s * self.rate).min(self.burst);
    }
}
