//! basaltrail-testbed: runs basaltrail controllers on loopback for trials, soak tests and load
//! tests.
#![warn(missing_docs)]

mod commands;

use clap::{Parser, Subcommand};
use commands::CommandError;
use std::process::ExitCode;

/// Runs basaltrail controllers against simulated services on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs jobs under randomly injected faults; exits with status 1 if a rule is violated
    Soak(commands::soak::Arguments),
    /// Runs a deployment without faults until Ctrl-C
    Serve(commands::serve::Arguments),
    /// Submits a thousand jobs at once; exits with status 1 if a rule is violated
    Racing(commands::racing::Arguments),
    /// Submits more work than the machines can run; exits with status 1 if a rule is violated
    Overload(commands::overload::Arguments),
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            let text = error.to_string();
            eprintln!("{}", text.lines().next().unwrap_or("error: invalid command line"));
            return ExitCode::from(commands::STATUS_NOT_RUN);
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    run(&arguments.command).unwrap_or_else(|error| commands::report_error(&error))
}

fn run(command: &Command) -> Result<ExitCode, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(CommandError::Runtime)?;
    match command {
        Command::Soak(arguments) => runtime.block_on(commands::soak::run(arguments)),
        Command::Serve(arguments) => runtime.block_on(commands::serve::run(arguments)),
        Command::Racing(arguments) => runtime.block_on(commands::racing::run(arguments)),
        Command::Overload(arguments) => runtime.block_on(commands::overload::run(arguments)),
    }
}
