//! The commands, and what they share.

pub mod overload;
pub mod racing;
pub mod serve;
pub mod soak;

use basaltrail_testbed::world::Operators;
use clap::Args;
use nix::sys::resource::{getrlimit, Resource};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A rule was broken.
pub const BROKEN: u8 = 1;
/// The command line or the machine does not allow what was asked.
pub const USAGE: u8 = 2;
/// Machines of one run at the most: a system gives out some 28,000 ports for the connections to
/// one address. EventKind this process may open decides before that, see [`sockets_allow`].
pub const MACHINES_MOST: u64 = 20_000;
/// Sockets of this process that a machine takes: its worker's, both of its link's, and one more
/// while it changes the controller. Users, links and controllers take the rest.
pub const SOCKETS_PER_MACHINE: u64 = 4;
pub const SOCKETS_OF_THE_REST: u64 = 2_000;
/// Controllers of one run at the most.
pub const NODES_MOST: u64 = 9;

/// The controllers, and where their files go.
#[derive(Args)]
pub struct Controllers {
    /// Controllers
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=NODES_MOST))]
    pub nodes: u64,
    /// The controllers' program; the one beside this program if it is not named
    #[arg(long)]
    pub controller: Option<PathBuf>,
    /// The controllers' policy file
    #[arg(long)]
    pub policy: Option<PathBuf>,
}

impl Controllers {
    /// EventKind their operators set.
    pub fn operators(&self) -> Operators {
        Operators::named(self.policy.as_deref())
    }

    /// The controllers' program: the one that is named, or the one beside this program.
    pub fn program(&self) -> Result<PathBuf, String> {
        let beside = || {
            let own = std::env::current_exe().ok()?;
            Some(own.parent()?.join("basaltrail"))
        };
        let program =
            self.controller.clone().or_else(beside).ok_or("no program for controllers")?;
        match program.is_file() {
            true => Ok(program),
            false => Err(format!("{}: not there; build basaltrail first", program.display())),
        }
    }
}

/// Whether this process may open the sockets that so many machines take, of all runs at once.
pub fn sockets_allow(machines: u64) -> Result<(), String> {
    let (allowed, _) = getrlimit(Resource::RLIMIT_NOFILE).map_err(|e| e.to_string())?;
    let needed = machines * SOCKETS_PER_MACHINE + SOCKETS_OF_THE_REST;
    match needed <= allowed {
        true => Ok(()),
        false => Err(format!("{machines} machines take {needed} sockets, {allowed} are allowed")),
    }
}

/// Makes the directory of a run's files.
pub fn make_directory(directory: &Path) -> Result<(), String> {
    std::fs::create_dir_all(directory).map_err(|e| format!("{}: {e}", directory.display()))
}

/// `A..B` with B left out, or one number.
pub fn seeds(text: &str) -> Result<Range<u64>, String> {
    let number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is no seed"));
    let (first, last) = match text.split_once("..") {
        Some((first, last)) => (number(first)?, number(last)?),
        None => (number(text)?, number(text)?.saturating_add(1)),
    };
    if first >= last {
        return Err("no seed lies in it".into());
    }
    Ok(first..last)
}

/// A number of minutes.
pub fn minutes(text: &str) -> Result<f64, String> {
    let minutes: f64 = text.parse().map_err(|_| "it is no number".to_string())?;
    match (0.3..=600.0).contains(&minutes) {
        true => Ok(minutes),
        false => Err("from 0.3 to 600 minutes".into()),
    }
}

/// One line on standard error, and the status for it.
pub fn unusable(why: &str) -> ExitCode {
    eprintln!("error: {why}");
    ExitCode::from(USAGE)
}
