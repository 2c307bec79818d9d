//! Token buckets for a controller's share of the rate limits of the store and the cloud.
//!
//! The services count the calls of all controllers together (PROTOCOL: the limits of the deploy
//! file). Each controller uses a fixed share of a limit, so that the total stays below it without
//! coordination at run time; [`crate::controller`] sets the shares.

use crate::model::Ms;

/// The priority of a call, the highest first. A call is sent only if the reserve for higher
/// priorities stays in the bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Leases and the election; may overdraw the bucket.
    Lease,
    /// User requests and the watch of the jobs.
    Request,
    /// Task completions, job outcomes and quotas.
    Completion,
    /// Calls that can be delayed.
    Background,
}

impl CallPriority {
    /// Returns the fraction of the burst that must remain after a call of this priority. If it is
    /// negative, the bucket may be overdrawn by that fraction.
    fn reserved_fraction(self) -> f64 {
        match self {
            CallPriority::Lease => -1.0,
            CallPriority::Request => 0.05,
            CallPriority::Completion => 0.15,
            CallPriority::Background => 0.3,
        }
    }
}

/// The fraction of the burst at which a bucket counts as full; the margin allows for rounding.
const FULL_FRACTION: f64 = 0.999;

/// A token bucket whose capacity is one second of its rate, and at least one call.
#[derive(Debug, Default)]
pub struct TokenBucket {
    /// Calls per second.
    rate: f64,
    /// Capacity in tokens.
    burst: f64,
    /// Tokens in the bucket at `refilled_at`; negative if it is overdrawn.
    level: f64,
    refilled_at: Ms,
}

impl TokenBucket {
    /// Sets the rate, in calls per second. The first call fills the bucket; later calls keep the
    /// level, capped at the new burst.
    pub fn set_rate(&mut self, rate: f64) {
        let is_first = self.rate == 0.0;
        self.rate = rate;
        self.burst = rate.max(1.0);
        self.level = if is_first { self.burst } else { self.level.min(self.burst) };
    }

    /// Removes `tokens` if the reserve for higher priorities remains, and returns whether it did
    /// so. A full bucket also admits a batch larger than the burst and is then overdrawn.
    pub fn try_acquire(&mut self, now: Ms, tokens: f64, priority: CallPriority) -> bool {
        self.refill(now);
        let reserved = priority.reserved_fraction() * self.burst;
        let is_admitted =
            self.level - tokens >= reserved || self.level >= self.burst * FULL_FRACTION;
        if is_admitted {
            self.level -= tokens;
        }
        is_admitted
    }

    fn refill(&mut self, now: Ms) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + elapsed_s * self.rate).min(self.burst);
    }
}
