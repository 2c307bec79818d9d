//! The commands of the program, and what they share.

pub mod load;
pub mod overload;
pub mod racing;
pub mod serve;
pub mod soak;

use basaltrail_testbed::checker::Violation;
use basaltrail_testbed::config::PolicySource;
use basaltrail_testbed::scenarios::ScenarioConfig;
use basaltrail_testbed::testbed::RunError;
use clap::Args;
use nix::sys::resource::{getrlimit, Resource};
use std::ops::{Range, RangeInclusive};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit status: a rule was violated.
pub const STATUS_VIOLATION: u8 = 1;
/// Exit status: the command line or the machine does not allow the run.
pub const STATUS_UNUSABLE: u8 = 2;
/// Exit status: no rule was violated, but a fault that was asked for could not be injected.
pub const STATUS_FAULT_NOT_INJECTED: u8 = 3;

/// Machines of a run at the most: an operating system has some 28,000 ports for connections to
/// one address. The sockets of this process set a lower limit, see [`check_sockets`].
pub const MACHINES_MAX: u64 = 20_000;
/// Controllers of a run at the most.
pub const CONTROLLERS_MAX: u64 = 9;
/// Minutes that a run may last.
const MINUTES: RangeInclusive<f64> = 0.3..=600.0;
const MS_PER_MINUTE: f64 = 60_000.0;
/// Sockets of this process for each machine: its worker's, two of its link, and one more while it
/// changes the controller.
const SOCKETS_PER_MACHINE: u64 = 4;
/// Sockets of this process for users, links and controllers.
const OTHER_SOCKETS: u64 = 2_000;
/// Violations that are printed; all of them are in the outcome.
const PRINTED_VIOLATIONS: usize = 8;

/// Why a command cannot be carried out; printed as one line.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The controllers' program is not named, and this program's directory is unknown.
    #[error("no program for controllers; name one with --controller")]
    NoProgram,
    /// The controllers' program does not exist.
    #[error("{}: not there; build basaltrail first", .0.display())]
    ProgramMissing(PathBuf),
    /// The limit of open files cannot be read.
    #[error("limit of open files: {0}")]
    SocketLimit(nix::errno::Errno),
    /// The process may not open enough sockets.
    #[error("{machines} machines take {needed} sockets, {allowed} are allowed")]
    TooFewSockets {
        /// Machines of all runs at once.
        machines: u64,
        /// Sockets that they take.
        needed: u64,
        /// Sockets that this process may open.
        allowed: u64,
    },
    /// The directory for the files of a run cannot be created.
    #[error("{}: {source}", path.display())]
    Directory {
        /// The directory.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The run cannot be made.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The outcome cannot be written as JSON.
    #[error("outcome: {0}")]
    Json(#[from] serde_json::Error),
    /// The asynchronous runtime or a signal handler cannot be set up.
    #[error("runtime: {0}")]
    Runtime(std::io::Error),
}

/// Why a value of an option is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// A seed is not a number.
    #[error("{0:?} is no seed")]
    Seed(String),
    /// A range of seeds is empty.
    #[error("no seed lies in it")]
    NoSeeds,
    /// The minutes are not a number.
    #[error("it is no number")]
    NotANumber,
    /// The minutes are out of range.
    #[error("from {} to {} minutes", MINUTES.start(), MINUTES.end())]
    Minutes,
}

/// Options about the controllers.
#[derive(Args)]
pub struct ControllerOptions {
    /// Controllers
    #[arg(
        long = "nodes",
        value_name = "NODES",
        default_value_t = 3,
        value_parser = clap::value_parser!(u64).range(1..=CONTROLLERS_MAX)
    )]
    pub count: u64,
    /// The controllers' program; the one beside this program if it is not named
    #[arg(long)]
    pub controller: Option<PathBuf>,
    /// The controllers' policy file
    #[arg(long)]
    pub policy: Option<PathBuf>,
}

impl ControllerOptions {
    /// The configuration of a scenario. Checks that the program exists, that the sockets for the
    /// machines of all parallel runs are allowed, and creates the directory.
    pub fn scenario(
        &self,
        machines: u64,
        parallel_runs: u64,
        directory: &Path,
    ) -> Result<ScenarioConfig, CommandError> {
        let program = self.program()?;
        check_sockets(machines * parallel_runs)?;
        std::fs::create_dir_all(directory)
            .map_err(|source| CommandError::Directory { path: directory.into(), source })?;
        Ok(ScenarioConfig {
            program,
            policy: PolicySource::from_file(self.policy.as_deref()),
            controllers: self.count as usize,
            machines: machines as usize,
            directory: directory.into(),
        })
    }

    /// The named program, or the one beside this program.
    fn program(&self) -> Result<PathBuf, CommandError> {
        let program = match &self.controller {
            Some(program) => program.clone(),
            None => program_beside_this().ok_or(CommandError::NoProgram)?,
        };
        match program.is_file() {
            true => Ok(program),
            false => Err(CommandError::ProgramMissing(program)),
        }
    }
}

fn program_beside_this() -> Option<PathBuf> {
    let this_program = std::env::current_exe().ok()?;
    Some(this_program.parent()?.join("basaltrail"))
}

/// Whether this process may open the sockets for the machines of all parallel runs.
fn check_sockets(machines: u64) -> Result<(), CommandError> {
    let limits = getrlimit(Resource::RLIMIT_NOFILE);
    let (allowed, _) = limits.map_err(CommandError::SocketLimit)?;
    let needed = machines * SOCKETS_PER_MACHINE + OTHER_SOCKETS;
    match needed <= allowed {
        true => Ok(()),
        false => Err(CommandError::TooFewSockets { machines, needed, allowed }),
    }
}

/// Parses `A..B` without B, or one number.
pub fn parse_seeds(text: &str) -> Result<Range<u64>, InvalidValue> {
    let seed = |text: &str| text.parse::<u64>().map_err(|_| InvalidValue::Seed(text.into()));
    let (first, end) = match text.split_once("..") {
        Some((first, end)) => (seed(first)?, seed(end)?),
        None => (seed(text)?, seed(text)?.saturating_add(1)),
    };
    match first < end {
        true => Ok(first..end),
        false => Err(InvalidValue::NoSeeds),
    }
}

/// Parses a number of minutes.
pub fn parse_minutes(text: &str) -> Result<f64, InvalidValue> {
    let minutes: f64 = text.parse().map_err(|_| InvalidValue::NotANumber)?;
    match MINUTES.contains(&minutes) {
        true => Ok(minutes),
        false => Err(InvalidValue::Minutes),
    }
}

/// Converts minutes to milliseconds.
pub fn milliseconds(minutes: f64) -> u64 {
    (minutes * MS_PER_MINUTE) as u64
}

/// Prints the first violations, one a line.
pub fn print_violations(violations: &[Violation]) {
    for violation in violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
}

/// Prints why a command cannot be carried out as one line, and gives its exit status.
pub fn fail(error: &CommandError) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::from(STATUS_UNUSABLE)
}
