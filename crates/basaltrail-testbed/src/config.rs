//! What a testbed is started with.

use crate::deployment::Deployment;
use std::path::{Path, PathBuf};

/// Where the controllers' policy comes from.
#[derive(Clone, Debug, Default)]
pub enum PolicySource {
    /// The controllers start without a policy file.
    #[default]
    None,
    /// A policy file, the same for all controllers.
    File(PathBuf),
    /// Entries of a policy file; an administration listener is added for each controller.
    Entries(String),
}

impl PolicySource {
    /// The named file, or no policy.
    pub fn from_file(file: Option<&Path>) -> Self {
        file.map_or(PolicySource::None, |file| PolicySource::File(file.into()))
    }
}

/// What a [`Testbed`](crate::testbed::Testbed) is started with.
#[derive(Clone, Debug)]
pub struct TestbedConfig<'a> {
    /// The controllers' program.
    pub program: &'a Path,
    /// The controllers' policy.
    pub policy: &'a PolicySource,
    /// The deployment.
    pub deployment: &'a Deployment,
    /// Where settings and logs are written.
    pub directory: &'a Path,
    /// Port of the first controller; the others get the ports that follow. Free ports are chosen
    /// if it is `None`.
    pub first_port: Option<u16>,
    /// Seed of the state service and the cloud.
    pub seed: u64,
    /// Seed of the workers.
    pub worker_seed: u64,
}
