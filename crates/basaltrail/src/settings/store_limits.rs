//! Checks and converts the limits of the store in a settings file.

use super::file::{NextState, State};
use super::source::{is_positive, Source};
use crate::config_error::{ConfigError, SettingsProblem};
use basaltrail_core::records::TASKS_PER_SEGMENT;

/// Bits per hexadecimal digit.
const BITS_PER_HEX_DIGIT: f64 = 4.0;
const BYTES_PER_KB: f64 = 1024.0;
/// Size of the remaining fields of a completion record, in KB.
const RECORD_OVERHEAD_KB: f64 = 0.25;
/// Minimum valid limit on the size of a value, in KB. A value must hold the completion record of a
/// segment of tasks: one bit per task, in hexadecimal digits.
const MIN_VALUE_KB: f64 =
    TASKS_PER_SEGMENT as f64 / BITS_PER_HEX_DIGIT / BYTES_PER_KB + RECORD_OVERHEAD_KB;
/// Minimum valid limit on the changes of a transaction: one record and the leader's key.
const MIN_TRANSACTION_OPS: f64 = 2.0;

/// Effective limits of the store: for each limit, the smaller of the current and the next value. The
/// time at which the next values take effect is unknown, so they apply from the start.
pub(super) struct StoreLimits {
    pub(super) rps: f64,
    pub(super) write_rps: f64,
    pub(super) max_value_bytes: usize,
    pub(super) max_transaction_ops: usize,
}

impl StoreLimits {
    /// Checks the limits and computes the effective ones.
    pub(super) fn parse(source: &Source, current: &State) -> Result<Self, ConfigError> {
        let unchanged = NextState::default();
        let next = current.next.as_ref().unwrap_or(&unchanged);
        let rps = effective_limit(source, "rps", current.rps, next.rps, 0.0)?;
        let write_rps =
            effective_limit(source, "write_rps", current.write_rps, next.write_rps, 0.0)?;
        let value_kb =
            effective_limit(source, "value_kb", current.value_kb, next.value_kb, MIN_VALUE_KB)?;
        let current_ops = current.txn_ops as f64;
        let next_ops = next.txn_ops.map(|ops| ops as f64);
        let ops = effective_limit(source, "txn_ops", current_ops, next_ops, MIN_TRANSACTION_OPS)?;
        Ok(StoreLimits {
            rps,
            write_rps,
            max_value_bytes: (value_kb * BYTES_PER_KB) as usize,
            max_transaction_ops: ops as usize,
        })
    }
}

/// Returns the smaller of the current and the next limit. Both must be at least `minimum`.
fn effective_limit(
    source: &Source,
    key: &str,
    current: f64,
    next: Option<f64>,
    minimum: f64,
) -> Result<f64, ConfigError> {
    check_limit(source, "state", key, current, minimum)?;
    let Some(next) = next else { return Ok(current) };
    check_limit(source, "state.next", key, next, minimum)?;
    Ok(current.min(next))
}

/// Checks that a limit is a positive amount and at least `minimum`.
fn check_limit(
    source: &Source,
    table: &str,
    key: &str,
    limit: f64,
    minimum: f64,
) -> Result<(), ConfigError> {
    let name = format!("{table}.{key}");
    let problem = match limit {
        limit if !is_positive(limit) => SettingsProblem::InvalidAmount { name },
        limit if limit < minimum => SettingsProblem::BelowMinimum { name, minimum },
        _ => return Ok(()),
    };
    let line = source.line_of_key(&format!("params.{table}"), key);
    Err(source.error_at(line, problem))
}
