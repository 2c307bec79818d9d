//! The versions of the controller that a simulated process may run.

mod convert;

use basaltrail_core::{Controller, Effect, Input, Settings};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Version {
    /// In production.
    E26460f,
    /// Landed since, with services.
    V9b39f4b,
    #[default]
    Current,
}

impl Version {
    /// What processes run side by side on a day, a set for each day in turn.
    pub const MIXED: &[&[Version]] = &[
        &[Version::E26460f, Version::V9b39f4b, Version::Current],
        &[Version::V9b39f4b, Version::Current],
    ];
    /// What may be in production before an upgrade.
    pub const PRODUCTION: &[Version] = &[Version::E26460f, Version::V9b39f4b];

    /// Whether it may start or renew tasks by what it knew of jobs before an outage.
    pub fn renews_on_stale_jobs(self) -> bool {
        self == Version::E26460f
    }

    pub fn supports_services(self) -> bool {
        self != Version::E26460f
    }
}

/// A process of some version.
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

    pub fn step(&mut self, now: u64, wall: i64, input: Input) -> Vec<Effect> {
        match self {
            Process::E26460f(node) => {
                let effects = node.step(now, wall, convert::e26460f::input(input));
                effects.into_iter().filter_map(convert::e26460f::effect).collect()
            }
            Process::V9b39f4b(node) => {
                let effects = node.step(now, wall, convert::v9b39f4b::input(input));
                effects.into_iter().filter_map(convert::v9b39f4b::effect).collect()
            }
            Process::Current(node) => node.step(now, wall, input),
        }
    }

    pub fn is_leading(&self) -> bool {
        match self {
            Process::E26460f(node) => node.leading(),
            Process::V9b39f4b(node) => node.leading(),
            Process::Current(node) => node.is_leading(),
        }
    }
}
