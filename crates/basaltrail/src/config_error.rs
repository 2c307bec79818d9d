//! What is wrong with a settings or policy file, and where. Each error is printed as one line.

use std::fmt;

/// A place in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file, as it was named on the command line.
    pub file: String,
    /// The line, counted from 1, if the problem has one.
    pub line: Option<usize>,
}

impl fmt::Display for Location {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(formatter, "{}:{line}", self.file),
            None => formatter.write_str(&self.file),
        }
    }
}

/// Why a file cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("{location}: {problem}")]
pub struct ConfigError {
    /// Where the problem is.
    pub location: Location,
    /// What the problem is.
    pub problem: Problem,
}

impl ConfigError {
    /// An error at a line of a file, or in the whole file.
    pub fn new(file: &str, line: Option<usize>, problem: impl Into<Problem>) -> Self {
        ConfigError { location: Location { file: file.into(), line }, problem: problem.into() }
    }
}

/// What is wrong with a file.
#[derive(Debug, thiserror::Error)]
pub enum Problem {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    /// A settings file is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsProblem),
    /// A policy file is invalid.
    #[error(transparent)]
    Policy(#[from] PolicyProblem),
}

/// What is wrong with a settings file. Names are those of the keys.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsProblem {
    /// The file is not TOML, lacks a key, or has a value of another type.
    #[error("{0}")]
    Toml(String),
    /// A value is not an address.
    #[error("{name} is not an address: {value:?}")]
    Address {
        /// The key.
        name: &'static str,
        /// The value.
        value: String,
    },
    /// An amount is 0, negative, or too large to be one.
    #[error("params.{name} must be above 0")]
    NotPositive {
        /// The key below `params`.
        name: String,
    },
    /// An amount is below what the controller needs.
    #[error("params.{name} must be {minimum} or more")]
    BelowMinimum {
        /// The key below `params`.
        name: String,
        /// The smallest amount.
        minimum: f64,
    },
    /// There are no teams.
    #[error("params.teams names no team")]
    NoTeams,
    /// Two teams have the same name.
    #[error("team {team:?} is named twice")]
    DuplicateTeam {
        /// The team.
        team: String,
    },
    /// An amount of a team is negative or infinite.
    #[error("team {team:?} has an amount below 0")]
    NegativeTeamAmount {
        /// The team.
        team: String,
    },
    /// A limit of a team is below its guarantee.
    #[error("team {team:?} has a limit below its guarantee")]
    LimitBelowGuarantee {
        /// The team.
        team: String,
    },
}

/// What is wrong with a policy file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PolicyProblem {
    /// The file is not an S-expression.
    #[error("{0}")]
    Syntax(String),
    /// The file is not a policy.
    #[error("expected (policy (KEY VALUE) ...)")]
    NotAPolicy,
    /// An entry has no key.
    #[error("expected (KEY VALUE)")]
    NotAnEntry,
    /// A key is set twice.
    #[error("{key} is set twice")]
    DuplicateKey {
        /// The key.
        key: String,
    },
    /// A key is unknown.
    #[error("unknown key {key:?}")]
    UnknownKey {
        /// The key.
        key: String,
    },
    /// A key has no value or more than one.
    #[error("{key} takes one number")]
    NotOneNumber {
        /// The key.
        key: String,
    },
    /// A value is not a number or out of its range.
    #[error("{key} must be a number from {low} to {high}")]
    OutOfRange {
        /// The key.
        key: String,
        /// The smallest value.
        low: f64,
        /// The largest value.
        high: f64,
    },
    /// The value of `administration` is not an address.
    #[error("administration takes an address, such as \"127.0.0.1:7190\"")]
    NotAnAddress,
    /// An entry of `weights` is not a team with a weight.
    #[error("expected (TEAM WEIGHT) with a weight above 0")]
    NotAWeight,
    /// A team is not in the settings.
    #[error("no team {team:?} in the settings")]
    UnknownTeam {
        /// The team.
        team: String,
    },
    /// An entry of `admission` has no key.
    #[error("admission takes (KEY VALUE) ...")]
    NotAnAdmissionEntry,
    /// A key of `admission` is unknown.
    #[error("admission has no {key:?}")]
    UnknownAdmissionKey {
        /// The key.
        key: String,
    },
}
