//! Parses the policy file: the operators' settings, as S-expressions.
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

/// Key of the outermost list.
const POLICY_KEY: &str = "policy";
/// Valid leader lease, as a share of the worker lease.
const LEADER_LEASE_RANGE: RangeInclusive<f64> = 0.1..=0.9;
/// Valid duration of a round of the fairness ledger, in seconds.
const ROUND_S_RANGE: RangeInclusive<f64> = 0.5..=3600.0;
/// Valid seconds of use that the fairness ledger charges in advance when a task is assigned.
const LEASE_TERM_S_RANGE: RangeInclusive<f64> = 0.5..=86_400.0;
/// Valid reserved capacity, as a multiple of the summed guarantees.
const HEADROOM_RANGE: RangeInclusive<f64> = 0.0..=10.0;
/// Valid idle time before a machine is terminated, in seconds.
const IDLE_S_RANGE: RangeInclusive<f64> = 0.0..=86_400.0;
/// Valid time that a team within its guarantee waits before tasks on borrowed capacity are
/// preempted for it even if they cannot save their progress, in worker leases.
const GUARANTEE_LEASES_RANGE: RangeInclusive<f64> = 0.5..=1e4;
/// Valid number of machines in the sample for one placement.
const SAMPLE_RANGE: RangeInclusive<f64> = 1.0..=1e6;
/// Valid bound of a team's backlog, in seconds of work at the rate at which the team is served.
const BACKLOG_S_RANGE: RangeInclusive<f64> = 1.0..=1e6;
/// Valid minimum share of a class with work in the CPUs of its team.
const CLASS_LEAST_RANGE: RangeInclusive<f64> = 0.0..=0.5;

/// Settings of a policy file.
#[derive(Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// Policy of the core.
    pub policy: Policy,
    /// Address of the administration listener, if there is one.
    pub administration: Option<SocketAddr>,
}

/// Reads a policy file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is invalid. The error names the first problem and
/// its line.
pub fn load(path: &Path, settings: &Settings) -> Result<OperatorSettings, ConfigError> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|error| ConfigError::new(&file, None, error))?;
    parse(&file, &text, settings)
}

/// Parses the text of a policy file. Teams with weights must be in `settings`.
///
/// # Errors
///
/// Returns an error if the text is invalid. The error names the first problem and its line.
pub fn parse(file: &str, text: &str, settings: &Settings) -> Result<OperatorSettings, ConfigError> {
    let datum = lexpr::datum::from_str(text).map_err(|error| {
        let line = error.location().map_or(1, |location| location.line());
        ConfigError::new(file, Some(line), PolicyProblem::Syntax(error.to_string()))
    })?;
    let top = datum.as_ref();
    let parser = Parser { file, settings };
    let Some(policy) = Entry::parse(top).filter(|entry| entry.key == POLICY_KEY) else {
        return Err(parser.error(&top, PolicyProblem::InvalidPolicy));
    };
    let mut operator_settings = OperatorSettings::default();
    parser.for_each_entry(&policy.values, PolicyProblem::InvalidEntry, |entry| {
        parser.apply_entry(entry, &mut operator_settings)
    })?;
    Ok(operator_settings)
}

/// A list that starts with a key.
struct Entry<'a> {
    datum: Ref<'a>,
    key: String,
    /// Items after the key.
    values: Vec<Ref<'a>>,
}

impl<'a> Entry<'a> {
    /// Returns the entry, or `None` if the datum is not a list that starts with a name.
    fn parse(datum: Ref<'a>) -> Option<Self> {
        let mut items = datum.list_iter()?;
        let key = items.next()?.value().as_name()?.to_string();
        Some(Entry { datum, key, values: items.collect() })
    }

    /// Returns the value if there is exactly one.
    fn single_value(&self) -> Option<&Ref<'a>> {
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
    /// Returns an error at the line of a datum.
    fn error(&self, datum: &Ref<'_>, problem: PolicyProblem) -> ConfigError {
        ConfigError::new(self.file, Some(datum.span().start().line()), problem)
    }

    /// Applies a function to each entry of a list, in order. Returns an error if a key occurs twice.
    fn for_each_entry(
        &self,
        list: &[Ref],
        invalid_entry: PolicyProblem,
        mut apply: impl FnMut(&Entry) -> Result<(), ConfigError>,
    ) -> Result<(), ConfigError> {
        let mut seen = HashSet::new();
        for datum in list {
            let entry =
                Entry::parse(*datum).ok_or_else(|| self.error(datum, invalid_entry.clone()))?;
            let key = entry.key.clone();
            if !seen.insert(key.clone()) {
                return Err(self.error(datum, PolicyProblem::DuplicateKey { key }));
            }
            apply(&entry)?;
        }
        Ok(())
    }

    /// Applies one entry of the policy.
    fn apply_entry(
        &self,
        entry: &Entry,
        operator_settings: &mut OperatorSettings,
    ) -> Result<(), ConfigError> {
        let policy = &mut operator_settings.policy;
        match entry.key.as_str() {
            "leader-lease" => {
                policy.leader_lease_fraction = self.parse_number(entry, LEADER_LEASE_RANGE)?
            }
            "round-s" => policy.round_s = self.parse_number(entry, ROUND_S_RANGE)?,
            "lease-term-s" => policy.lease_term_s = self.parse_number(entry, LEASE_TERM_S_RANGE)?,
            "headroom" => policy.headroom = self.parse_number(entry, HEADROOM_RANGE)?,
            "idle-s" => policy.idle_s = self.parse_number(entry, IDLE_S_RANGE)?,
            "administration" => operator_settings.administration = Some(self.parse_address(entry)?),
            "admission" => policy.admission = Some(self.parse_admission(entry)?),
            "guarantee-leases" => {
                policy.guarantee_wait_leases =
                    Some(self.parse_number(entry, GUARANTEE_LEASES_RANGE)?);
            }
            "sample" => {
                policy.placement_sample_size = self.parse_number(entry, SAMPLE_RANGE)? as usize
            }
            "weights" => policy.weights = self.parse_weights(entry)?,
            _ => {
                let key = entry.key.clone();
                return Err(self.error(&entry.datum, PolicyProblem::UnknownKey { key }));
            }
        }
        Ok(())
    }

    /// Parses the single value of an entry as a number within a range.
    fn parse_number(&self, entry: &Entry, range: RangeInclusive<f64>) -> Result<f64, ConfigError> {
        let key = || entry.key.clone();
        let Some(value) = entry.single_value() else {
            return Err(self.error(&entry.datum, PolicyProblem::NotOneNumber { key: key() }));
        };
        let number = value.value().as_f64().filter(|number| range.contains(number));
        let (low, high) = range.into_inner();
        number.ok_or_else(|| self.error(value, PolicyProblem::OutOfRange { key: key(), low, high }))
    }

    fn parse_address(&self, entry: &Entry) -> Result<SocketAddr, ConfigError> {
        let text = entry.single_value().and_then(|value| value.value().as_str());
        let address = text.and_then(|text| text.parse().ok());
        address.ok_or_else(|| self.error(&entry.datum, PolicyProblem::InvalidAddress))
    }

    /// Parses `(weights (TEAM WEIGHT) ...)`.
    fn parse_weights(&self, entry: &Entry) -> Result<Vec<(String, f64)>, ConfigError> {
        entry.values.iter().map(|value| self.parse_weight(value)).collect()
    }

    /// Parses `(TEAM WEIGHT)`.
    fn parse_weight(&self, datum: &Ref) -> Result<(String, f64), ConfigError> {
        let weight = Entry::parse(*datum).and_then(|entry| {
            let weight = entry.single_value()?.value().as_f64()?;
            Some((entry.key, weight))
        });
        let is_valid = |weight: f64| weight > 0.0 && weight.is_finite();
        let Some((team, weight)) = weight.filter(|(_, weight)| is_valid(*weight)) else {
            return Err(self.error(datum, PolicyProblem::InvalidWeight));
        };
        if self.settings.team(&team).is_none() {
            return Err(self.error(datum, PolicyProblem::UnknownTeam { team }));
        }
        Ok((team, weight))
    }

    /// Parses `(admission (backlog-s 300) (class-least 0.1))`. Both keys are optional.
    fn parse_admission(&self, entry: &Entry) -> Result<AdmissionPolicy, ConfigError> {
        let mut policy = AdmissionPolicy::default();
        self.for_each_entry(&entry.values, PolicyProblem::InvalidAdmissionEntry, |field| {
            match field.key.as_str() {
                "backlog-s" => policy.backlog_s = self.parse_bound(field, BACKLOG_S_RANGE)?,
                "class-least" => {
                    policy.min_class_share = self.parse_bound(field, CLASS_LEAST_RANGE)?
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

    /// Parses the single value of a bound in `admission` as a number within a range.
    fn parse_bound(&self, field: &Entry, range: RangeInclusive<f64>) -> Result<f64, ConfigError> {
        let number = field.single_value().and_then(|value| value.value().as_f64());
        let (key, low, high) = (field.key.clone(), *range.start(), *range.end());
        number
            .filter(|number| range.contains(number))
            .ok_or_else(|| self.error(&field.datum, PolicyProblem::OutOfRange { key, low, high }))
    }
}

#[cfg(test)]
#[path = "policy_tests.rs"]
mod tests;
