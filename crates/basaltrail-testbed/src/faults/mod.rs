//! Faults, drawn at seeded random instants and injected into the stand-ins, the links and the
//! controllers of a run.

mod injector;

pub use injector::inject_faults;

use clap::ValueEnum;

/// A kind of fault. The names on the command line are fixed; the order of the kinds is part of
/// what a seed means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum FaultKind {
    /// Many jobs are cancelled, and then every leader is killed after a moment, until all
    /// cancelled tasks must have ended
    #[value(name = "short-leaderships")]
    ShortLeaderTerms,
    /// The leader is killed and restarted soon
    #[value(name = "end-leader")]
    KillLeader,
    /// All controllers are killed and restarted soon
    #[value(name = "end-all")]
    KillAll,
    /// A controller is paused (SIGSTOP) and resumed
    #[value(name = "pause")]
    Pause,
    /// A controller is partitioned from the state service, in one direction or both
    #[value(name = "cut-state")]
    PartitionState,
    /// A controller is partitioned from the workers of a zone, in one direction or both
    #[value(name = "cut-workers")]
    PartitionWorkers,
    /// The connections of a controller are reset
    #[value(name = "reset")]
    ResetConnections,
    /// All traffic of a controller is delayed
    #[value(name = "delay")]
    DelayLinks,
    /// The state service is unavailable
    #[value(name = "state-outage")]
    StateOutage,
    /// The state service refuses the leader alone
    #[value(name = "state-refusal")]
    StateRefusal,
    /// The state service answers slowly
    #[value(name = "state-slow")]
    StateSlow,
    /// Transactions are carried out late and not answered
    #[value(name = "late-writes")]
    LateWrites,
    /// Transactions are carried out and not answered
    #[value(name = "lost-answers")]
    LostAnswers,
    /// The cloud's interface is unavailable
    #[value(name = "cloud-outage")]
    CloudOutage,
    /// Machines hang and go on
    #[value(name = "machine-hang")]
    MachineHang,
    /// Heartbeats of some machines reach no controller
    #[value(name = "machine-mute")]
    MachineMute,
    /// Answers do not reach some machines
    #[value(name = "machine-deaf")]
    MachineDeaf,
    /// Machines crash with all tasks on them
    #[value(name = "machine-stop")]
    MachineCrash,
    /// Copies of heartbeats arrive late
    #[value(name = "late-reports")]
    LateHeartbeats,
    /// Users cancel many jobs at once
    #[value(name = "cancel-burst")]
    CancelBurst,
}

impl FaultKind {
    /// All kinds.
    pub fn all() -> Vec<FaultKind> {
        FaultKind::value_variants().to_vec()
    }

    /// The kind's name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map_or(String::new(), |value| value.get_name().to_string())
    }
}
