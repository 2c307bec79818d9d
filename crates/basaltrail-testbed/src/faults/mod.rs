//! Faults that are injected at seeded random times into the stand-ins, the links and the
//! controllers of a run.

mod injector;

pub use injector::inject_faults;

use clap::ValueEnum;

/// A kind of fault. The names on the command line are stable. The order of the kinds must not
/// change either: the same seed would select other faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum FaultKind {
    /// Cancels many jobs, then kills each leader shortly after its election until the deadline for
    /// the cancellations has passed
    #[value(name = "short-leaderships")]
    ShortLeaderTerms,
    /// Kills the leader and restarts it soon after
    #[value(name = "end-leader")]
    KillLeader,
    /// Kills all controllers and restarts them soon after
    #[value(name = "end-all")]
    KillAll,
    /// Pauses a controller (SIGSTOP) and resumes it
    #[value(name = "pause")]
    Pause,
    /// Partitions a controller from the state service, in one direction or both
    #[value(name = "cut-state")]
    PartitionState,
    /// Partitions a controller from the workers of a zone, in one direction or both
    #[value(name = "cut-workers")]
    PartitionWorkers,
    /// Resets all connections of a controller
    #[value(name = "reset")]
    ResetConnections,
    /// Delays the traffic of a controller, in one direction or both
    #[value(name = "delay")]
    DelayLinks,
    /// Makes the state service unavailable
    #[value(name = "state-outage")]
    StateOutage,
    /// Makes the state service refuse the requests of the leader only
    #[value(name = "state-refusal")]
    StateRefusal,
    /// Adds latency to the answers of the state service
    #[value(name = "state-slow")]
    StateSlow,
    /// Applies some transactions late and drops their answers
    #[value(name = "late-writes")]
    LateWrites,
    /// Applies some transactions and drops their answers
    #[value(name = "lost-answers")]
    LostAnswers,
    /// Makes the cloud API unavailable
    #[value(name = "cloud-outage")]
    CloudOutage,
    /// Suspends the workers of some machines for a while
    #[value(name = "machine-hang")]
    MachineHang,
    /// Drops the heartbeats of some machines
    #[value(name = "machine-mute")]
    MachineMute,
    /// Drops the answers to the heartbeats of some machines
    #[value(name = "machine-deaf")]
    MachineDeaf,
    /// Crashes some machines with all of their tasks
    #[value(name = "machine-stop")]
    MachineCrash,
    /// Delivers late copies of some heartbeats
    #[value(name = "late-reports")]
    LateHeartbeats,
    /// Cancels several jobs at once
    #[value(name = "cancel-burst")]
    CancelBurst,
}

impl FaultKind {
    /// Returns all kinds, in declaration order.
    pub fn all() -> Vec<FaultKind> {
        FaultKind::value_variants().to_vec()
    }

    /// Returns the kind's name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map_or(String::new(), |value| value.get_name().to_string())
    }
}
