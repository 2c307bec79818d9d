//! Versions of the controller that a simulated process may run: here only the current one.
//! `tests/mixed-versions` runs the same simulations with earlier versions as well.

use basaltrail_core::{Controller, Effect, Input, Settings};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Version {
    #[default]
    Current,
}

impl Version {
    /// Sets of versions that run side by side; the seed of a run selects the set.
    pub const MIXED: &[&[Version]] = &[&[Version::Current]];
    /// Versions that may be in production before an upgrade.
    pub const PRODUCTION: &[Version] = &[Version::Current];

    /// Returns whether the version may start or renew tasks on job data from before an outage.
    pub fn renews_on_stale_jobs(self) -> bool {
        match self {
            Version::Current => false,
        }
    }

    pub fn supports_services(self) -> bool {
        match self {
            Version::Current => true,
        }
    }
}

/// A controller process of some version.
pub struct Process(Controller);

impl Process {
    pub fn start(version: Version, settings: Settings, seed: u64) -> Self {
        match version {
            Version::Current => Process(Controller::new(Arc::new(settings), seed)),
        }
    }

    pub fn step(&mut self, now: u64, wall_clock_ms: i64, input: Input) -> Vec<Effect> {
        self.0.step(now, wall_clock_ms, input)
    }

    pub fn is_leading(&self) -> bool {
        self.0.is_leading()
    }
}
