//! The operators' own settings, as S-expressions:
//!
//! ```text
//! (policy
//!   (leader-lease 0.5)
//!   (weights (cataloguers 2) (buyers 1)))
//! ```

use crate::config_error::{ConfigError, PolicyProblem};
use basaltrail_core::{AdmissionPolicy, Policy, Settings};
use lexpr::datum::Ref;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// Name of the outermost list.
const POLICY: &str = "policy";
const LEADER_LEASE: RangeInclusive<f64> = 0.1..=0.9;
const ROUND_S: RangeInclusive<f64> = 0.5..=3600.0;
const LEASE_TERM_S: RangeInclusive<f64> = 0.5..=86_400.0;
const HEADROOM: RangeInclusive<f64> = 0.0..=10.0;
const IDLE_S: RangeInclusive<f64> = 0.0..=86_400.0;
const GUARANTEE_LEASES: RangeInclusive<f64> = 0.5..=1e4;
const SAMPLE: RangeInclusive<f64> = 1.0..=1e6;
const BACKLOG_S: RangeInclusive<f64> = 1.0..=1e6;
const CLASS_LEAST: RangeInclusive<f64> = 0.0..=0.5;

/// What the operators set.
#[derive(Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// The policy of the core.
    pub policy: Policy,
    /// Address of the administration listener, if there is one.
    pub administration: Option<SocketAddr>,
}

/// Reads a policy file.
///
/// # Errors
///
/// If the file cannot be read or is invalid; the first problem is named with its line.
pub fn load(path: &Path, settings: &Settings) -> Result<OperatorSettings, ConfigError> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|error| ConfigError::new(&file, None, error))?;
    parse(&file, &text, settings)
}

/// Parses the text of a policy file. Teams with weights must be in the settings.
///
/// # Errors
///
/// If the text is invalid; the first problem is named with its line.
pub fn parse(file: &str, text: &str, settings: &Settings) -> Result<OperatorSettings, ConfigError> {
    let datum = lexpr::datum::from_str(text).map_err(|error| {
        let line = error.location().map_or(1, |location| location.line());
        ConfigError::new(file, Some(line), PolicyProblem::Syntax(error.to_string()))
    })?;
    let top = datum.as_ref();
    let parser = Parser { file, settings };
    let Some(policy) = Entry::of(top).filter(|entry| entry.key == POLICY) else {
        return Err(parser.error(&top, PolicyProblem::NotAPolicy));
    };
    let mut operator = OperatorSettings::default();
    parser.for_each_entry(&policy.values, PolicyProblem::NotAnEntry, |entry| {
        parser.apply(entry, &mut operator)
    })?;
    Ok(operator)
}

/// A list that starts with a key.
struct Entry<'a> {
    datum: Ref<'a>,
    key: String,
    /// What follows the key.
    values: Vec<Ref<'a>>,
}

impl<'a> Entry<'a> {
    fn of(datum: Ref<'a>) -> Option<Self> {
        let mut items = datum.list_iter()?;
        let key = items.next()?.value().as_name()?.to_string();
        Some(Entry { datum, key, values: items.collect() })
    }

    fn only_value(&self) -> Option<&Ref<'a>> {
        match self.values.as_slice() {
            [value] => Some(value),
            _ => None,
        }
    }
}

struct Parser<'a> {
    file: &'a str,
    settings: &'a Settings,
}

impl Parser<'_> {
    fn error(&self, at: &Ref<'_>, problem: PolicyProblem) -> ConfigError {
        ConfigError::new(self.file, Some(at.span().start().line()), problem)
    }

    /// Applies a function to each entry of a list, in order. No key may be set twice.
    fn for_each_entry(
        &self,
        list: &[Ref],
        not_an_entry: PolicyProblem,
        mut apply: impl FnMut(&Entry) -> Result<(), ConfigError>,
    ) -> Result<(), ConfigError> {
        let mut seen = HashSet::new();
        for datum in list {
            let entry = Entry::of(*datum).ok_or_else(|| self.error(datum, not_an_entry.clone()))?;
            let key = entry.key.clone();
            if !seen.insert(key.clone()) {
                return Err(self.error(datum, PolicyProblem::DuplicateKey { key }));
            }
            apply(&entry)?;
        }
        Ok(())
    }

    /// Sets one key of the policy.
    fn apply(&self, entry: &Entry, operator: &mut OperatorSettings) -> Result<(), ConfigError> {
        let policy = &mut operator.policy;
        match entry.key.as_str() {
            "leader-lease" => policy.leader_lease = self.number(entry, LEADER_LEASE)?,
            "round-s" => policy.round_s = self.number(entry, ROUND_S)?,
            "lease-term-s" => policy.lease_term_s = self.number(entry, LEASE_TERM_S)?,
            "headroom" => policy.headroom = self.number(entry, HEADROOM)?,
            "idle-s" => policy.idle_s = self.number(entry, IDLE_S)?,
            "administration" => operator.administration = Some(self.address(entry)?),
            "admission" => policy.admission = Some(self.admission(entry)?),
            "guarantee-leases" => {
                policy.guarantee_leases = Some(self.number(entry, GUARANTEE_LEASES)?);
            }
            "sample" => policy.sample = self.number(entry, SAMPLE)? as usize,
            "weights" => policy.weights = self.weights(entry)?,
            _ => {
                let key = entry.key.clone();
                return Err(self.error(&entry.datum, PolicyProblem::UnknownKey { key }));
            }
        }
        Ok(())
    }

    /// The one value of an entry, a number within a range.
    fn number(&self, entry: &Entry, range: RangeInclusive<f64>) -> Result<f64, ConfigError> {
        let key = || entry.key.clone();
        let Some(value) = entry.only_value() else {
            return Err(self.error(&entry.datum, PolicyProblem::NotOneNumber { key: key() }));
        };
        let number = value.value().as_f64().filter(|number| range.contains(number));
        let (low, high) = range.into_inner();
        number.ok_or_else(|| self.error(value, PolicyProblem::OutOfRange { key: key(), low, high }))
    }

    fn address(&self, entry: &Entry) -> Result<SocketAddr, ConfigError> {
        let text = entry.only_value().and_then(|value| value.value().as_str());
        let address = text.and_then(|text| text.parse().ok());
        address.ok_or_else(|| self.error(&entry.datum, PolicyProblem::NotAnAddress))
    }

    /// `(weights (TEAM WEIGHT) ...)`.
    fn weights(&self, entry: &Entry) -> Result<Vec<(String, f64)>, ConfigError> {
        entry.values.iter().map(|value| self.weight(value)).collect()
    }

    fn weight(&self, datum: &Ref) -> Result<(String, f64), ConfigError> {
        let weight = Entry::of(*datum).and_then(|entry| {
            let weight = entry.only_value()?.value().as_f64()?;
            Some((entry.key, weight))
        });
        let is_weight = |weight: f64| weight > 0.0 && weight.is_finite();
        let Some((team, weight)) = weight.filter(|(_, weight)| is_weight(*weight)) else {
            return Err(self.error(datum, PolicyProblem::NotAWeight));
        };
        if self.settings.team(&team).is_none() {
            return Err(self.error(datum, PolicyProblem::UnknownTeam { team }));
        }
        Ok((team, weight))
    }

    /// `(admission (backlog-s 300) (class-least 0.1))`; both keys are optional.
    fn admission(&self, entry: &Entry) -> Result<AdmissionPolicy, ConfigError> {
        let mut policy = AdmissionPolicy::default();
        self.for_each_entry(&entry.values, PolicyProblem::NotAnAdmissionEntry, |field| {
            match field.key.as_str() {
                "backlog-s" => policy.backlog_s = self.admission_number(field, BACKLOG_S)?,
                "class-least" => {
                    policy.min_class_share = self.admission_number(field, CLASS_LEAST)?
                }
                _ => {
                    let problem = PolicyProblem::UnknownAdmissionKey { key: field.key.clone() };
                    return Err(self.error(&entry.datum, problem));
                }
            }
            Ok(())
        })?;
        Ok(policy)
    }

    fn admission_number(
        &self,
        field: &Entry,
        range: RangeInclusive<f64>,
    ) -> Result<f64, ConfigError> {
        let number = field.only_value().and_then(|value| value.value().as_f64());
        let (key, low, high) = (field.key.clone(), *range.start(), *range.end());
        number
            .filter(|number| range.contains(number))
            .ok_or_else(|| self.error(&field.datum, PolicyProblem::OutOfRange { key, low, high }))
    }
}

#[cfg(test)]
#[path = "policy_tests.rs"]
mod tests;
