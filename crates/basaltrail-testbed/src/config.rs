//! The configuration of a testbed.

use crate::deployment::Deployment;
use std::path::{Path, PathBuf};

/// The source of the controllers' policy.
#[derive(Clone, Debug, Default)]
pub enum PolicySource {
    /// The controllers start without a policy file.
    #[default]
    None,
    /// All controllers use one policy file.
    File(PathBuf),
    /// Entries of a policy. A policy file is written for each controller, with its administration
    /// listener and these entries.
    Entries(String),
}

impl PolicySource {
    /// Returns the given file as the source, or no policy if it is `None`.
    pub fn from_file(file: Option<&Path>) -> Self {
        file.map_or(PolicySource::None, |file| PolicySource::File(file.into()))
    }
}

/// The configuration of a [`Testbed`](crate::testbed::Testbed).
#[derive(Clone, Debug)]
pub struct TestbedConfig<'a> {
    /// Path of the controllers' program.
    pub program: &'a Path,
    /// Policy of the controllers.
    pub policy: &'a PolicySource,
    /// The deployment under test.
    pub deployment: &'a Deployment,
    /// Directory for settings, policies and logs.
    pub directory: &'a Path,
    /// Port of the first controller; the others use the ports after it. `None` chooses free ports.
    pub first_port: Option<u16>,
    /// Seed of the state service and the cloud.
    pub seed: u64,
    /// Seed of the workers.
    pub worker_seed: u64,
}
