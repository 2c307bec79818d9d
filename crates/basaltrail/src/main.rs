//! basaltrail: one controller of a cluster, and the commands of its operators.

mod clients;
mod driver;
mod inspect;
mod logging;
mod peers;
mod policy;
mod server;
mod settings;

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

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

fn load(files: &Files) -> Result<settings::Process, settings::Error> {
    let mut settings = settings::load(&files.config)?;
    if let Some(path) = &files.policy {
        let operators = policy::load(path, &settings.core)?;
        settings.core.policy = operators.policy;
        settings.administration = operators.administration;
    }
    Ok(settings)
}

fn main() -> ExitCode {
    let Arguments { command, files, check } = Arguments::parse();
    let (files, check) = match (command, files) {
        (Some(Command::Inspect(what)), _) => return inspect::run(&what),
        (Some(Command::Check(files)), _) => (files, true),
        (None, Some(files)) => (files, check),
        (None, None) => {
            eprintln!("basaltrail: no --config FILE; see --help");
            return ExitCode::from(2);
        }
    };
    logging::init();
    let settings = match load(&files) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("basaltrail: {error}");
            return ExitCode::from(2);
        }
    };
    if check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(driver::run(settings)),
        Err(e) => Err(e),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("basaltrail: {e}");
            ExitCode::FAILURE
        }
    }
}
