//! Rate limiter of the state service.

use crate::clock::Ms;

/// A token bucket whose capacity is the tokens of one second.
pub(super) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    /// Time of the last refill.
    refilled_ms: Ms,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(super) fn new(rate_per_s: f64) -> Self {
        TokenBucket { rate_per_s, tokens: rate_per_s, refilled_ms: 0 }
    }

    /// Removes tokens if the bucket contains enough; otherwise it removes none. Returns whether they
    /// were removed.
    pub(super) fn try_acquire(&mut self, now: Ms, tokens: f64) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_ms) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.rate_per_s);
        self.refilled_ms = now;
        let has_enough = self.tokens >= tokens;
        if has_enough {
            self.tokens -= tokens;
        }
        has_enough
    }
}
