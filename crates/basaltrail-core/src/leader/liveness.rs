//! Whether this leader reaches the workers, and whether it was able to answer them.

use crate::model::Ms;

/// What a leader knows of its own reachability.
pub struct WorkerLiveness {
    /// When this process last went on after it stood still or held no valid lease: silence of
    /// machines counts from there.
    pub(in crate::leader) silence_counts_from: Ms,
    /// Most workers went silent though this process could have answered them.
    pub lost_workers: bool,
    /// Whether the last tick was within a valid leader lease.
    pub(in crate::leader) held_valid_lease: bool,
    /// When the last tick was.
    pub(in crate::leader) last_tick: Ms,
    /// When machines are looked through next.
    pub(in crate::leader) next_watch: Ms,
}

impl WorkerLiveness {
    /// As of the election.
    pub fn new(now: Ms) -> Self {
        WorkerLiveness {
            silence_counts_from: 0,
            lost_workers: false,
            held_valid_lease: true,
            last_tick: now,
            next_watch: 0,
        }
    }
}
