//! The limits of the state service in a settings file.

use super::file::{NextState, State};
use super::source::{is_positive, Source};
use crate::config_error::{ConfigError, SettingsProblem};
use basaltrail_core::records::TASKS_PER_SEGMENT;

/// Bits of a hexadecimal digit.
const BITS_PER_DIGIT: f64 = 4.0;
const BYTES_PER_KB: f64 = 1024.0;
/// What a value holds beside the completions of a segment, in KB.
const RECORD_OVERHEAD_KB: f64 = 0.25;
/// The smallest limit of a value, in KB: a value holds the completions of a segment of tasks, one
/// bit each, in hexadecimal digits.
const MIN_VALUE_KB: f64 =
    TASKS_PER_SEGMENT as f64 / BITS_PER_DIGIT / BYTES_PER_KB + RECORD_OVERHEAD_KB;
/// The smallest limit of changes in a transaction: a record, and the leader's key.
const MIN_TRANSACTION_OPS: f64 = 2.0;

/// Limits that hold from the start: of each limit the present or the next one, whichever is
/// smaller. No controller is told when the next limits take effect.
pub(super) struct StoreLimits {
    pub(super) rps: f64,
    pub(super) write_rps: f64,
    pub(super) value_bytes: usize,
    pub(super) transaction_ops: usize,
}

impl StoreLimits {
    pub(super) fn parse(source: &Source, now: &State) -> Result<Self, ConfigError> {
        let none = NextState::default();
        let next = now.next.as_ref().unwrap_or(&none);
        let rps = smaller(source, "rps", now.rps, next.rps, 0.0)?;
        let write_rps = smaller(source, "write_rps", now.write_rps, next.write_rps, 0.0)?;
        let value_kb = smaller(source, "value_kb", now.value_kb, next.value_kb, MIN_VALUE_KB)?;
        let now_ops = now.txn_ops as f64;
        let next_ops = next.txn_ops.map(|ops| ops as f64);
        let ops = smaller(source, "txn_ops", now_ops, next_ops, MIN_TRANSACTION_OPS)?;
        Ok(StoreLimits {
            rps,
            write_rps,
            value_bytes: (value_kb * BYTES_PER_KB) as usize,
            transaction_ops: ops as usize,
        })
    }
}

/// The smaller one of the present and the next limit; both must be at least a minimum.
fn smaller(
    source: &Source,
    key: &str,
    now: f64,
    next: Option<f64>,
    minimum: f64,
) -> Result<f64, ConfigError> {
    check(source, "state", key, now, minimum)?;
    let Some(next) = next else { return Ok(now) };
    check(source, "state.next", key, next, minimum)?;
    Ok(now.min(next))
}

fn check(
    source: &Source,
    table: &str,
    key: &str,
    limit: f64,
    minimum: f64,
) -> Result<(), ConfigError> {
    let name = format!("{table}.{key}");
    let problem = match limit {
        limit if !is_positive(limit) => SettingsProblem::NotPositive { name },
        limit if limit < minimum => SettingsProblem::BelowMinimum { name, minimum },
        _ => return Ok(()),
    };
    let line = source.line_of_key(&format!("params.{table}"), key);
    Err(source.error_at(line, problem))
}
