//! The text of a settings file, and the places in it that errors name.

use super::file::SettingsFile;
use crate::config_error::{ConfigError, SettingsProblem};
use std::net::SocketAddr;

/// Amounts from here on are refused, whatever they measure: no deployment has them.
const MAX_AMOUNT: f64 = 1e9;

/// A settings file.
pub(super) struct Source<'a> {
    /// Name of the file.
    pub(super) file: &'a str,
    pub(super) text: &'a str,
}

impl Source<'_> {
    /// Parses the TOML.
    pub(super) fn parse_toml(&self) -> Result<SettingsFile, ConfigError> {
        toml::from_str(self.text).map_err(|error| {
            let line = error.span().map(|span| self.line_at(span.start));
            // Errors are printed as one line.
            let message = error.message().replace('\n', " ");
            ConfigError::new(self.file, line, SettingsProblem::Toml(message))
        })
    }

    /// An error in the whole file.
    pub(super) fn error(&self, problem: SettingsProblem) -> ConfigError {
        ConfigError::new(self.file, None, problem)
    }

    /// An error at a line, if the line is known.
    pub(super) fn error_at(&self, line: Option<usize>, problem: SettingsProblem) -> ConfigError {
        ConfigError::new(self.file, line, problem)
    }

    /// Checks that an amount is above 0. `name` is its key below `params`.
    pub(super) fn positive(&self, name: &str, amount: f64) -> Result<f64, ConfigError> {
        match is_positive(amount) {
            true => Ok(amount),
            false => Err(self.error(SettingsProblem::NotPositive { name: name.into() })),
        }
    }

    /// Converts seconds to milliseconds, at least 1.
    pub(super) fn milliseconds(&self, name: &str, seconds: f64) -> Result<u64, ConfigError> {
        let seconds = self.positive(name, seconds)?;
        Ok((seconds * 1000.0).max(1.0) as u64)
    }

    /// Parses an address.
    pub(super) fn address(
        &self,
        name: &'static str,
        value: &str,
    ) -> Result<SocketAddr, ConfigError> {
        let problem = || SettingsProblem::Address { name, value: value.into() };
        value.parse().map_err(|_| self.error(problem()))
    }

    /// The line of a team's name.
    pub(super) fn line_of_team(&self, team: &str) -> Option<usize> {
        let position = self.text.find(&format!("name = {team:?}"))?;
        Some(self.line_at(position))
    }

    /// The line of a key in a table.
    pub(super) fn line_of_key(&self, table: &str, key: &str) -> Option<usize> {
        let table = self.text.find(&format!("[{table}]"))?;
        let key = self.text[table..].find(&format!("\n{key}"))?;
        Some(self.line_at(table + key + 1))
    }

    /// The line of a byte of the text, counted from 1.
    fn line_at(&self, position: usize) -> usize {
        let before = &self.text[..position.min(self.text.len())];
        before.matches('\n').count() + 1
    }
}

/// Whether an amount is finite, above 0 and below [`MAX_AMOUNT`].
pub(super) fn is_positive(amount: f64) -> bool {
    amount > 0.0 && amount < MAX_AMOUNT
}
