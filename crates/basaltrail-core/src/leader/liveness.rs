//! Whether this leader reaches the workers, and whether it was able to answer them.

use crate::model::Ms;

/// How often machines are looked through: so many times in a heartbeat interval. Not at every
/// input: their number times that of the machines would be all that a leader gets done.
const CHECKS_PER_HEARTBEAT_INTERVAL: Ms = 20;

/// What a leader knows of its own reachability.
pub struct WorkerLiveness {
    /// When this process was last able to answer workers again, after it stood still or held no
    /// valid lease: silence of machines counts from there.
    pub(in crate::leader) reachable_since: Ms,
    /// Most workers went silent though this process could have answered them.
    pub lost_workers: bool,
    /// Whether the last tick was within a valid leader lease.
    held_valid_lease: bool,
    /// When the last tick was.
    last_tick: Ms,
    /// When machines are looked through next.
    next_check: Ms,
}

impl WorkerLiveness {
    /// As of the election.
    pub fn new(now: Ms) -> Self {
        WorkerLiveness {
            reachable_since: 0,
            lost_workers: false,
            held_valid_lease: true,
            last_tick: now,
            next_check: 0,
        }
    }

    /// Records a tick. After a pause of more than a heartbeat interval, or without a valid
    /// leader lease, nobody was answered for a while: silence from before proves nothing.
    pub(in crate::leader) fn record_tick(
        &mut self,
        now: Ms,
        heartbeat_interval_ms: Ms,
        holds_valid_lease: bool,
    ) {
        let paused = now > self.last_tick + heartbeat_interval_ms;
        if paused || (holds_valid_lease && !self.held_valid_lease) {
            self.reachable_since = now;
            self.lost_workers = false;
        }
        self.last_tick = now;
        self.held_valid_lease = holds_valid_lease;
    }

    /// Whether machines have to be looked through now; the next time is set if so.
    pub(in crate::leader) fn check_due(&mut self, now: Ms, heartbeat_interval_ms: Ms) -> bool {
        let due = now >= self.next_check;
        if due {
            self.next_check = now + heartbeat_interval_ms / CHECKS_PER_HEARTBEAT_INTERVAL;
        }
        due
    }
}
