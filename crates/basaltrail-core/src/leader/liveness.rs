//! Tracks whether this leader reaches the workers, and since when it has been able to answer them.

use crate::model::Ms;

/// Number of scans of all machines in one heartbeat interval. A scan for every input would take all
/// of the leader's time, since both inputs and the cost of a scan grow with the number of machines.
const CHECKS_PER_HEARTBEAT_INTERVAL: Ms = 20;

/// Reachability of the workers as seen by this leader.
pub struct WorkerLiveness {
    /// Time since which this process has been able to answer workers: the end of its last pause or
    /// of its last gap without a valid leader lease; 0 if there was neither since the election.
    /// Silence of machines counts from this time.
    pub(in crate::leader) reachable_since: Ms,
    /// Whether this controller seems to be partitioned from the workers: most of them are silent
    /// although this process is able to answer them.
    pub workers_unreachable: bool,
    /// Whether this controller held a valid leader lease at the last tick.
    held_valid_lease: bool,
    /// Time of the last tick.
    last_tick_at: Ms,
    /// Earliest time of the next scan of the machines.
    next_check_at: Ms,
}

impl WorkerLiveness {
    /// Returns the state at the time of the election.
    pub fn new(now: Ms) -> Self {
        WorkerLiveness {
            reachable_since: 0,
            workers_unreachable: false,
            held_valid_lease: true,
            last_tick_at: now,
            next_check_at: 0,
        }
    }

    /// Records a tick. After a pause of more than a heartbeat interval, or a gap without a valid
    /// leader lease, silence is counted from now: no worker was answered in that time, so earlier
    /// silence does not show that workers are unreachable.
    pub(in crate::leader) fn record_tick(
        &mut self,
        now: Ms,
        heartbeat_interval_ms: Ms,
        holds_valid_lease: bool,
    ) {
        let paused = now > self.last_tick_at + heartbeat_interval_ms;
        if paused || (holds_valid_lease && !self.held_valid_lease) {
            self.reachable_since = now;
            self.workers_unreachable = false;
        }
        self.last_tick_at = now;
        self.held_valid_lease = holds_valid_lease;
    }

    /// Returns whether a scan of the machines is due, and schedules the next one if so.
    pub(in crate::leader) fn start_check_if_due(
        &mut self,
        now: Ms,
        heartbeat_interval_ms: Ms,
    ) -> bool {
        let is_due = now >= self.next_check_at;
        if is_due {
            self.next_check_at = now + heartbeat_interval_ms / CHECKS_PER_HEARTBEAT_INTERVAL;
        }
        is_due
    }
}
