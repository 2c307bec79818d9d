//! Versions of the controller that a simulated process may run.

mod convert;

use basaltrail_core::{Controller, Effect, Input, Settings};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Version {
    /// The version in production.
    E26460f,
    /// The first version with services.
    V9b39f4b,
    #[default]
    Current,
}

impl Version {
    /// Sets of versions that run side by side; the seed of a run selects the set.
    pub const MIXED: &[&[Version]] = &[
        &[Version::E26460f, Version::V9b39f4b, Version::Current],
        &[Version::V9b39f4b, Version::Current],
    ];
    /// Versions that may be in production before an upgrade.
    pub const PRODUCTION: &[Version] = &[Version::E26460f, Version::V9b39f4b];

    /// Returns whether the version may start or renew tasks on job data from before an outage.
    pub fn renews_on_stale_jobs(self) -> bool {
        self == Version::E26460f
    }

    pub fn supports_services(self) -> bool {
        self != Version::E26460f
    }
}

/// A controller process of some version.
pub enum Process {
    E26460f(Box<core_e26460f::Node>),
    V9b39f4b(Box<core_9b39f4b::Node>),
    Current(Box<Controller>),
}

impl Process {
    pub fn start(version: Version, settings: Settings, seed: u64) -> Self {
        match version {
            Version::E26460f => {
                let settings = convert::e26460f::settings(settings);
                Process::E26460f(Box::new(core_e26460f::Node::new(Arc::new(settings), seed)))
            }
            Version::V9b39f4b => {
                let settings = convert::v9b39f4b::settings(settings);
                Process::V9b39f4b(Box::new(core_9b39f4b::Node::new(Arc::new(settings), seed)))
            }
            Version::Current => {
                Process::Current(Box::new(Controller::new(Arc::new(settings), seed)))
            }
        }
    }

    pub fn step(&mut self, now: u64, wall_clock_ms: i64, input: Input) -> Vec<Effect> {
        match self {
            Process::E26460f(node) => {
                let effects = node.step(now, wall_clock_ms, convert::e26460f::input(input));
                effects.into_iter().filter_map(convert::e26460f::effect).collect()
            }
            Process::V9b39f4b(node) => {
                let effects = node.step(now, wall_clock_ms, convert::v9b39f4b::input(input));
                effects.into_iter().filter_map(convert::v9b39f4b::effect).collect()
            }
            Process::Current(controller) => controller.step(now, wall_clock_ms, input),
        }
    }

    pub fn is_leading(&self) -> bool {
        match self {
            Process::E26460f(node) => node.leading(),
            Process::V9b39f4b(node) => node.leading(),
            Process::Current(controller) => controller.is_leading(),
        }
    }
}
