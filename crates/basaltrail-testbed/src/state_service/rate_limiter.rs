//! A rate limiter of the state service.

use crate::clock::Ms;

/// A token bucket that holds one second's worth of tokens.
pub(super) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_ms: Ms,
}

impl TokenBucket {
    /// A full bucket.
    pub(super) fn new(rate_per_s: f64) -> Self {
        TokenBucket { rate_per_s, tokens: rate_per_s, refilled_ms: 0 }
    }

    /// Takes tokens if there are enough; takes none otherwise.
    pub(super) fn try_acquire(&mut self, now: Ms, tokens: f64) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_ms) as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.rate_per_s);
        self.refilled_ms = now;
        let is_enough = self.tokens >= tokens;
        if is_enough {
            self.tokens -= tokens;
        }
        is_enough
    }
}
