//! The versions of the controller that a simulated process may run: here, this one alone.
//! `tests/mixed-versions` plays the same days with earlier ones beside it.

use basaltrail_core::{Controller, Effect, Input, Settings};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Version {
    #[default]
    Current,
}

impl Version {
    /// What processes run side by side on a day, a set for each day in turn.
    pub const MIXED: &[&[Version]] = &[&[Version::Current]];
    /// What may be in production before an upgrade.
    pub const PRODUCTION: &[Version] = &[Version::Current];

    /// Whether it may start or renew tasks by what it knew of jobs before an outage.
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

/// A process of some version.
pub struct Process(Controller);

impl Process {
    pub fn start(version: Version, settings: Settings, seed: u64) -> Self {
        match version {
            Version::Current => Process(Controller::new(Arc::new(settings), seed)),
        }
    }

    pub fn step(&mut self, now: u64, wall: i64, input: Input) -> Vec<Effect> {
        self.0.step(now, wall, input)
    }

    pub fn is_leading(&self) -> bool {
        self.0.is_leading()
    }
}
