//! basaltrail-testbed: runs the real program over loopback, to try it out, to soak it or to put
//! it under load.
#![warn(missing_docs)]

mod commands;

use clap::{Parser, Subcommand};
use commands::CommandError;
use std::process::ExitCode;

/// Plays basaltrail's controllers against stand-ins on loopback.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs with faults at seeded random moments; status 1 if a rule is broken
    Soak(commands::soak::Arguments),
    /// A deployment to try out, until Ctrl-C
    Serve(commands::serve::Arguments),
    /// A thousand submissions in one instant; status 1 if a rule is broken
    Racing(commands::racing::Arguments),
    /// More work than the machines can do, for minutes; status 1 if a rule is broken
    Overload(commands::overload::Arguments),
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            let text = error.to_string();
            eprintln!("{}", text.lines().next().unwrap_or("error: the command line"));
            return ExitCode::from(commands::STATUS_UNUSABLE);
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    run(&arguments.command).unwrap_or_else(|error| commands::fail(&error))
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
