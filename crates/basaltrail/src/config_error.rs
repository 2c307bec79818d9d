//! Errors of settings and policy files, with their location. Each error is printed as one line.

use std::fmt;

/// A location in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// Path of the file, as given on the command line.
    pub file: String,
    /// Line number, counted from 1. `None` if the problem concerns no particular line.
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

/// An error that makes a settings or policy file unusable.
#[derive(Debug, thiserror::Error)]
#[error("{location}: {problem}")]
pub struct ConfigError {
    /// Location of the problem.
    pub location: Location,
    /// The problem.
    pub problem: Problem,
}

impl ConfigError {
    /// Creates an error for a line of a file, or for the whole file if `line` is `None`.
    pub fn new(file: &str, line: Option<usize>, problem: impl Into<Problem>) -> Self {
        ConfigError { location: Location { file: file.into(), line }, problem: problem.into() }
    }
}

/// A problem in a file.
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

/// A problem in a settings file. `name` fields hold keys of the file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsProblem {
    /// The file is not valid TOML, lacks a required key, or has a value of the wrong type.
    #[error("{0}")]
    Toml(String),
    /// A value is not a socket address.
    #[error("{name} must be an IP address and a port, not {value:?}")]
    InvalidSocketAddress {
        /// Full key of the value.
        name: &'static str,
        /// The invalid value.
        value: String,
    },
    /// An amount is 0, negative, not a number, or too large.
    #[error("params.{name} must be above 0")]
    InvalidAmount {
        /// The key below `params`.
        name: String,
    },
    /// An amount is below the minimum that the controller needs.
    #[error("params.{name} must be {minimum} or more")]
    BelowMinimum {
        /// The key below `params`.
        name: String,
        /// Minimum valid amount.
        minimum: f64,
    },
    /// The list of teams is empty.
    #[error("params.teams names no team")]
    NoTeams,
    /// Two teams have the same name.
    #[error("team {team:?} is named twice")]
    DuplicateTeam {
        /// The team.
        team: String,
    },
    /// An amount of a team is negative or not finite.
    #[error("team {team:?} has an amount below 0")]
    InvalidTeamAmount {
        /// The team.
        team: String,
    },
    /// A limit of a team is below the team's guarantee.
    #[error("team {team:?} has a limit below its guarantee")]
    LimitBelowGuarantee {
        /// The team.
        team: String,
    },
}

/// A problem in a policy file.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum PolicyProblem {
    /// The file is not a valid S-expression.
    #[error("{0}")]
    Syntax(String),
    /// The outermost expression is not a `policy` list.
    #[error("expected (policy (KEY VALUE) ...)")]
    InvalidPolicy,
    /// An entry is not a list that starts with a key.
    #[error("expected (KEY VALUE)")]
    InvalidEntry,
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
    /// A key does not have exactly one value.
    #[error("{key} requires exactly one number")]
    NotOneNumber {
        /// The key.
        key: String,
    },
    /// A value is not a number or is out of range.
    #[error("{key} must be a number from {low} to {high}")]
    OutOfRange {
        /// The key.
        key: String,
        /// Minimum valid value.
        low: f64,
        /// Maximum valid value.
        high: f64,
    },
    /// The value of `administration` is not a socket address.
    #[error("administration takes an address, such as \"127.0.0.1:7190\"")]
    InvalidAddress,
    /// An entry of `weights` is not a team and its weight.
    #[error("expected (TEAM WEIGHT) with a weight above 0")]
    InvalidWeight,
    /// A team of the policy is not in the settings file.
    #[error("no team {team:?} in the settings")]
    UnknownTeam {
        /// The team.
        team: String,
    },
    /// An entry of `admission` is not a list that starts with a key.
    #[error("expected (admission (KEY VALUE) ...)")]
    InvalidAdmissionEntry,
    /// A key of `admission` is unknown.
    #[error("admission has no {key:?}")]
    UnknownAdmissionKey {
        /// The key.
        key: String,
    },
}
