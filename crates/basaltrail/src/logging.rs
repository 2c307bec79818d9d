//! Logs on standard error, one event a line.

use basaltrail_core::Level;

/// `LOG_LEVEL` is `error`, `info` or `debug`; anything else is reported and read as `info`.
pub fn init() {
    let asked = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let level = match asked.as_str() {
        "error" => tracing::Level::ERROR,
        "debug" => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
    if !matches!(asked.as_str(), "error" | "info" | "debug") {
        tracing::error!("event=log_level_unknown value={asked:?} used=info");
    }
}

pub fn event(level: Level, event: &str, detail: &str) {
    match level {
        Level::Error => tracing::error!("event={event} {detail}"),
        Level::Info => tracing::info!("event={event} {detail}"),
        Level::Debug => tracing::debug!("event={event} {detail}"),
    }
}
