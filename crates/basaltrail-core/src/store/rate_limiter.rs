//! Request rates of the state service and the cloud, shared between the controllers
//! so that the sum stays under the limit.

use crate::model::Ms;

/// What a call is for; the earlier ones may use what the later ones must leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    Lease,
    Request,
    Completion,
    Rest,
}

#[derive(Debug, Default)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Ms,
}

impl TokenBucket {
    /// A new share; what was saved up beyond it is lost.
    pub fn set_rate(&mut self, rate: f64) {
        let first = self.rate == 0.0;
        self.rate = rate;
        self.burst = rate.max(1.0);
        self.level = if first { self.burst } else { self.level.min(self.burst) };
    }

    /// Takes `n` if that leaves the share of the classes above.
    pub fn take(&mut self, now: Ms, n: f64, class: CallPriority) -> bool {
        let dt = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = self.at.max(now);
        self.level = (self.level + dt * self.rate).min(self.burst);
        let keep = match class {
            CallPriority::Lease => -1.0,
            CallPriority::Request => 0.05,
            CallPriority::Completion => 0.15,
            CallPriority::Rest => 0.3,
        } * self.burst;
        // A batch larger than the burst goes out on a full bucket and is paid off after.
        let enough = self.level - n >= keep || self.level >= self.burst * 0.999;
        if enough {
            self.level -= n;
        }
        enough
    }
}
