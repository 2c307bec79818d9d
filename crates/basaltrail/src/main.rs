//! basaltrail: one controller of a cluster, and the commands of its operators.
//!
//! `main` parses the command line, `settings` and `policy` the files. `driver` runs the core
//! between `server`, `clients` and `peers`; `logging` writes its events.
#![warn(missing_docs)]

mod bounded_listener;
mod clients;
mod config_error;
mod core_handle;
mod driver;
mod inspect;
mod logging;
mod peers;
mod policy;
mod server;
mod settings;

use clap::{Args, Parser, Subcommand};
use config_error::ConfigError;
use settings::ProcessSettings;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status: the command line or a file is invalid.
const STATUS_INVALID: u8 = 2;

/// One controller of a basaltrail cluster.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    files: Option<Files>,
    /// Validate the settings and exit
    #[arg(long)]
    check: bool,
}

#[derive(Args)]
struct Files {
    /// The settings file that the platform hands over (TOML)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (S-expressions)
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Validates the settings
    Check(Files),
    /// Reads a running controller over its administration listener
    #[command(subcommand)]
    Inspect(inspect::Inspect),
}

fn main() -> ExitCode {
    let Arguments { command, files, check } = Arguments::parse();
    let (files, check) = match (command, files) {
        (Some(Command::Inspect(command)), _) => return inspect::run(&command),
        (Some(Command::Check(files)), _) => (files, true),
        (None, Some(files)) => (files, check),
        (None, None) => {
            eprintln!("basaltrail: no --config FILE; see --help");
            return ExitCode::from(STATUS_INVALID);
        }
    };
    logging::init();
    let settings = match load(&files) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("basaltrail: {error}");
            return ExitCode::from(STATUS_INVALID);
        }
    };
    if check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("basaltrail: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings, and the policy if there is one.
fn load(files: &Files) -> Result<ProcessSettings, ConfigError> {
    let mut settings = settings::load(&files.config)?;
    if let Some(path) = &files.policy {
        let operator = policy::load(path, &settings.core)?;
        settings.core.policy = operator.policy;
        settings.administration = operator.administration;
    }
    Ok(settings)
}

fn run(settings: ProcessSettings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(driver::run(settings))
}
