//! The commands of the program, and their common options, limits and errors.

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
/// Exit status: the run failed, or the command line or the host does not allow it.
pub const STATUS_NOT_RUN: u8 = 2;
/// Exit status: no rule was violated, but a requested fault could not be injected.
pub const STATUS_FAULT_NOT_INJECTED: u8 = 3;

/// Maximum number of machines of a run: Linux has about 28,000 ephemeral ports by default for
/// connections to one address. The limit of open files can allow fewer, see [`check_sockets`].
pub const MACHINES_MAX: u64 = 20_000;
/// Maximum number of controllers of a run.
pub const CONTROLLERS_MAX: u64 = 9;
/// Allowed duration of a run, in minutes.
const MINUTES: RangeInclusive<f64> = 0.3..=600.0;
const MS_PER_MINUTE: f64 = 60_000.0;
/// Sockets of this process per machine: one of its worker, two of the worker's link, and a spare
/// one for a worker that switches to another controller.
const SOCKETS_PER_MACHINE: u64 = 4;
/// Sockets of this process for users, other links and controllers.
const OTHER_SOCKETS: u64 = 2_000;
/// Maximum number of printed violations; the outcome contains all of them.
const PRINTED_VIOLATIONS: usize = 8;

/// An error that prevents a command from running; it is printed as one line.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// No path of the controllers' program is given, and the directory of this program is unknown.
    #[error("cannot locate the controllers' program; specify its path with --controller")]
    NoProgram,
    /// The controllers' program does not exist.
    #[error("{}: no such file; build basaltrail first", .0.display())]
    ProgramMissing(PathBuf),
    /// The limit of open files cannot be read.
    #[error("cannot read the limit of open files: {0}")]
    SocketLimit(nix::errno::Errno),
    /// The limit of open files is too low for the sockets of the machines.
    #[error("{machines} machines need {needed} sockets, but the limit of open files is {allowed}")]
    TooFewSockets {
        /// Number of machines of all parallel runs.
        machines: u64,
        /// Number of sockets that the machines need.
        needed: u64,
        /// Limit of open files of this process.
        allowed: u64,
    },
    /// The directory for the files of a run cannot be created.
    #[error("cannot create {}: {source}", path.display())]
    Directory {
        /// Path of the directory.
        path: PathBuf,
        /// Reason that it cannot be created.
        source: std::io::Error,
    },
    /// The run failed.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The outcome cannot be serialised as JSON.
    #[error("cannot serialise the outcome: {0}")]
    Json(#[from] serde_json::Error),
    /// The asynchronous runtime or a signal handler cannot be set up.
    #[error("cannot set up the runtime: {0}")]
    Runtime(std::io::Error),
}

/// An error that makes the value of an option invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidValue {
    /// A seed is not a number.
    #[error("{0:?} is not a valid seed")]
    Seed(String),
    /// A range of seeds is empty.
    #[error("the range of seeds is empty")]
    EmptySeedRange,
    /// The minutes are not a number.
    #[error("not a number")]
    NotANumber,
    /// The minutes are out of range.
    #[error("must be from {} to {} minutes", MINUTES.start(), MINUTES.end())]
    Minutes,
}

/// Options of the controllers.
#[derive(Args)]
pub struct ControllerOptions {
    /// Number of controllers
    #[arg(
        long = "nodes",
        value_name = "NODES",
        default_value_t = 3,
        value_parser = clap::value_parser!(u64).range(1..=CONTROLLERS_MAX)
    )]
    pub count: u64,
    /// Path of the controllers' program; `basaltrail` in the directory of this program by default
    #[arg(long)]
    pub controller: Option<PathBuf>,
    /// Policy file of the controllers
    #[arg(long)]
    pub policy: Option<PathBuf>,
}

impl ControllerOptions {
    /// Returns the common options of a scenario. Checks that the program exists and that the limit
    /// of open files suffices for the machines of all parallel runs, and creates the directory.
    pub fn scenario_config(
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

    /// Returns the path of the controllers' program: the given one, or the one in the directory of
    /// this program.
    fn program(&self) -> Result<PathBuf, CommandError> {
        let program = match &self.controller {
            Some(program) => program.clone(),
            None => default_program().ok_or(CommandError::NoProgram)?,
        };
        match program.is_file() {
            true => Ok(program),
            false => Err(CommandError::ProgramMissing(program)),
        }
    }
}

fn default_program() -> Option<PathBuf> {
    let this_program = std::env::current_exe().ok()?;
    Some(this_program.parent()?.join("basaltrail"))
}

/// Checks that the limit of open files suffices for the machines of all parallel runs.
fn check_sockets(machines: u64) -> Result<(), CommandError> {
    let limits = getrlimit(Resource::RLIMIT_NOFILE);
    let (allowed, _) = limits.map_err(CommandError::SocketLimit)?;
    let needed = machines * SOCKETS_PER_MACHINE + OTHER_SOCKETS;
    match needed <= allowed {
        true => Ok(()),
        false => Err(CommandError::TooFewSockets { machines, needed, allowed }),
    }
}

/// Parses a range of seeds `A..B`, which excludes B, or a single seed.
pub fn parse_seeds(text: &str) -> Result<Range<u64>, InvalidValue> {
    let seed = |text: &str| text.parse::<u64>().map_err(|_| InvalidValue::Seed(text.into()));
    let (first, end) = match text.split_once("..") {
        Some((first, end)) => (seed(first)?, seed(end)?),
        None => (seed(text)?, seed(text)?.saturating_add(1)),
    };
    match first < end {
        true => Ok(first..end),
        false => Err(InvalidValue::EmptySeedRange),
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
pub fn minutes_to_ms(minutes: f64) -> u64 {
    (minutes * MS_PER_MINUTE) as u64
}

/// Prints the first violations, one line each.
pub fn print_violations(violations: &[Violation]) {
    for violation in violations.iter().take(PRINTED_VIOLATIONS) {
        println!("  {violation}");
    }
}

/// Prints the error of a command as one line and returns the exit status.
pub fn report_error(error: &CommandError) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::from(STATUS_NOT_RUN)
}
