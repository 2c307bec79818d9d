//! Logs on standard error, one event a line.

use basaltrail_core::Level;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

/// `LOG_LEVEL` is `error`, `info` or `debug`; anything else is reported and read as `info`.
pub fn init() {
    let asked = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let level = match asked.as_str() {
        "error" => tracing::Level::ERROR,
        "debug" => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    // Our own events only: the libraries' would drown them at `debug`.
    let ours = Targets::new().with_target("basaltrail", level);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    tracing_subscriber::registry().with(lines.with_filter(ours)).init();
    if !matches!(asked.as_str(), "error" | "info" | "debug") {
        tracing::error!("event=log_level_unknown value={asked:?} used=info");
    }
}

/// Whether lines of the level `debug` are written.
pub fn is_debug() -> bool {
    tracing::enabled!(tracing::Level::DEBUG)
}

pub fn event(level: Level, event: &str, detail: &str) {
    match level {
        Level::Error => tracing::error!("event={event} {detail}"),
        Level::Info => tracing::info!("event={event} {detail}"),
        Level::Debug => tracing::debug!("event={event} {detail}"),
    }
}
