//! basaltrail: runs one controller of a cluster and provides the operators' commands.
//!
//! `main` parses the command line; `settings` and `policy` parse the files. `driver` connects the
//! core to `server`, `clients` and `peers`; `logging` writes the core's events.
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

/// Exit status if the command line or a file is invalid.
const EXIT_INVALID_INPUT: u8 = 2;

/// Runs one controller of a basaltrail cluster.
#[derive(Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    files: Option<ConfigFiles>,
    /// Validate the settings and the policy, and exit
    #[arg(long)]
    check: bool,
}

#[derive(Args)]
struct ConfigFiles {
    /// Settings file provided by the platform (TOML)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Policy file written by the operators (S-expressions)
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Validates the settings and the policy, and exits
    Check(ConfigFiles),
    /// Queries a running controller through its administration listener
    #[command(subcommand)]
    Inspect(inspect::InspectCommand),
}

fn main() -> ExitCode {
    let Arguments { command, files, check } = Arguments::parse();
    let (files, check) = match (command, files) {
        (Some(Command::Inspect(command)), _) => return inspect::run(&command),
        (Some(Command::Check(files)), _) => (files, true),
        (None, Some(files)) => (files, check),
        (None, None) => {
            eprintln!("basaltrail: missing --config FILE; see --help");
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
    };
    logging::init();
    let settings = match load_settings(&files) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("basaltrail: {error}");
            return ExitCode::from(EXIT_INVALID_INPUT);
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

/// Loads the settings file and, if one is given, the policy file.
fn load_settings(files: &ConfigFiles) -> Result<ProcessSettings, ConfigError> {
    let mut settings = settings::load(&files.config)?;
    if let Some(path) = &files.policy {
        let operator_settings = policy::load(path, &settings.core)?;
        settings.core.policy = operator_settings.policy;
        settings.administration = operator_settings.administration;
    }
    Ok(settings)
}

fn run(settings: ProcessSettings) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(driver::run(settings))
}
