//! basaltrail: one controller of a cluster.

mod clients;
mod driver;
mod logging;
mod peers;
mod policy;
mod server;
mod settings;

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// One controller of a basaltrail cluster.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The settings file that the platform hands over (TOML)
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (S-expressions)
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
    /// Validate the settings and exit
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Arguments::parse();
    logging::init();
    let loaded = settings::load(&args.config).and_then(|mut s| {
        if let Some(path) = &args.policy {
            s.core.policy = policy::load(path, &s.core)?;
        }
        Ok(s)
    });
    let settings = match loaded {
        Ok(s) => s,
        Err(e) => {
            eprintln!("basaltrail: {e}");
            return ExitCode::from(2);
        }
    };
    if args.check {
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
