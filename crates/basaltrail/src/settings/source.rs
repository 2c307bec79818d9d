//! The text of a settings file, and the lookup of lines for error messages.

use super::file::SettingsFile;
use crate::config_error::{ConfigError, SettingsProblem};
use std::net::SocketAddr;

/// Exclusive upper bound of every amount, in any unit. No deployment has amounts of this size.
const AMOUNT_BOUND: f64 = 1e9;

/// A settings file.
pub(super) struct Source<'a> {
    /// Path of the file.
    pub(super) file: &'a str,
    /// Contents of the file.
    pub(super) text: &'a str,
}

impl Source<'_> {
    /// Parses the text as TOML.
    pub(super) fn parse_toml(&self) -> Result<SettingsFile, ConfigError> {
        toml::from_str(self.text).map_err(|error| {
            let line = error.span().map(|span| self.line_at(span.start));
            // An error is printed as one line.
            let message = error.message().replace('\n', " ");
            ConfigError::new(self.file, line, SettingsProblem::Toml(message))
        })
    }

    /// Creates an error for the whole file.
    pub(super) fn error(&self, problem: SettingsProblem) -> ConfigError {
        ConfigError::new(self.file, None, problem)
    }

    /// Creates an error for a line, or for the whole file if the line is unknown.
    pub(super) fn error_at(&self, line: Option<usize>, problem: SettingsProblem) -> ConfigError {
        ConfigError::new(self.file, line, problem)
    }

    /// Checks that an amount is above 0 and below [`AMOUNT_BOUND`], and returns it. `name` is its key
    /// below `params`.
    pub(super) fn check_positive(&self, name: &str, amount: f64) -> Result<f64, ConfigError> {
        match is_positive(amount) {
            true => Ok(amount),
            false => Err(self.error(SettingsProblem::InvalidAmount { name: name.into() })),
        }
    }

    /// Checks an amount of seconds and converts it to milliseconds. The result is at least 1.
    pub(super) fn seconds_to_ms(&self, name: &str, seconds: f64) -> Result<u64, ConfigError> {
        let seconds = self.check_positive(name, seconds)?;
        Ok((seconds * 1000.0).max(1.0) as u64)
    }

    /// Parses a socket address. `name` is its full key.
    pub(super) fn parse_address(
        &self,
        name: &'static str,
        value: &str,
    ) -> Result<SocketAddr, ConfigError> {
        let problem = || SettingsProblem::InvalidSocketAddress { name, value: value.into() };
        value.parse().map_err(|_| self.error(problem()))
    }

    /// Returns the line of a team's name.
    pub(super) fn line_of_team(&self, team: &str) -> Option<usize> {
        let position = self.text.find(&format!("name = {team:?}"))?;
        Some(self.line_at(position))
    }

    /// Returns the line of a key in a table.
    pub(super) fn line_of_key(&self, table: &str, key: &str) -> Option<usize> {
        let table = self.text.find(&format!("[{table}]"))?;
        let key = self.text[table..].find(&format!("\n{key}"))?;
        Some(self.line_at(table + key + 1))
    }

    /// Returns the line, counted from 1, of a byte position in the text.
    fn line_at(&self, position: usize) -> usize {
        let before = &self.text[..position.min(self.text.len())];
        before.matches('\n').count() + 1
    }
}

/// Returns whether an amount is finite, above 0 and below [`AMOUNT_BOUND`].
pub(super) fn is_positive(amount: f64) -> bool {
    amount > 0.0 && amount < AMOUNT_BOUND
}
