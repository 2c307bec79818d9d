//! The operators' own settings, as S-expressions:
//!
//! ```text
//! (policy
//!   (leader-lease 0.5)
//!   (weights (cataloguers 2) (buyers 1)))
//! ```

use crate::settings::Error;
use basaltrail_core::{AdmissionPolicy, Policy, Settings};
use lexpr::datum::Ref;
use std::net::SocketAddr;
use std::path::Path;

/// What the operators set.
#[derive(Debug, Default, PartialEq)]
pub struct Operators {
    pub policy: Policy,
    /// Where the administration listener listens, if there is to be one.
    pub administration: Option<SocketAddr>,
}

pub fn load(path: &Path, settings: &Settings) -> Result<Operators, Error> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::File { file: file.clone(), why: e.to_string() })?;
    parse(&file, &text, settings)
}

pub fn parse(file: &str, text: &str, settings: &Settings) -> Result<Operators, Error> {
    let fail = |at: &Ref, why: String| Error::Line {
        file: file.into(),
        line: at.span().start().line(),
        why,
    };
    let datum = lexpr::datum::from_str(text).map_err(|e| Error::Line {
        file: file.into(),
        line: e.location().map_or(1, |l| l.line()),
        why: e.to_string(),
    })?;
    let top = datum.as_ref();
    let entries = named(top).filter(|(name, _)| name == "policy");
    let Some((_, entries)) = entries else {
        return Err(fail(&top, "expected (policy (KEY VALUE) ...)".into()));
    };
    let mut policy = Policy::default();
    let mut administration = None;
    let mut seen: Vec<String> = Vec::new();
    for entry in entries {
        let Some((key, args)) = named(entry) else {
            return Err(fail(&entry, "expected (KEY VALUE)".into()));
        };
        if seen.contains(&key) {
            return Err(fail(&entry, format!("{key} is set twice")));
        }
        let number = |low: f64, high: f64| match args.as_slice() {
            [one] => {
                one.value().as_f64().filter(|x| (low..=high).contains(x)).ok_or_else(|| {
                    fail(one, format!("{key} must be a number from {low} to {high}"))
                })
            }
            _ => Err(fail(&entry, format!("{key} takes one number"))),
        };
        match key.as_str() {
            "leader-lease" => policy.leader_lease = number(0.1, 0.9)?,
            "round-s" => policy.round_s = number(0.5, 3600.0)?,
            "lease-term-s" => policy.lease_term_s = number(0.5, 86_400.0)?,
            "headroom" => policy.headroom = number(0.0, 10.0)?,
            "idle-s" => policy.idle_s = number(0.0, 86_400.0)?,
            "administration" => {
                let address = match args.as_slice() {
                    [one] => one.value().as_str().and_then(|text| text.parse().ok()),
                    _ => None,
                };
                let why = || "administration takes an address, such as \"127.0.0.1:7190\"".into();
                administration = Some(address.ok_or_else(|| fail(&entry, why()))?);
            }
            "admission" => policy.admission = Some(admission(file, &entry, &args)?),
            "guarantee-leases" => policy.guarantee_leases = Some(number(0.5, 1e4)?),
            "sample" => policy.sample = number(1.0, 1e6)? as usize,
            "weights" => {
                for team in &args {
                    let weight = named(*team).and_then(|(name, w)| match w.as_slice() {
                        [one] => Some((name, one.value().as_f64()?)),
                        _ => None,
                    });
                    let Some((name, w)) = weight.filter(|(_, w)| *w > 0.0 && w.is_finite()) else {
                        return Err(fail(
                            team,
                            "expected (TEAM WEIGHT) with a weight above 0".into(),
                        ));
                    };
                    if settings.team(&name).is_none() {
                        return Err(fail(team, format!("no team {name:?} in the settings")));
                    }
                    policy.weights.push((name, w));
                }
            }
            _ => return Err(fail(&entry, format!("unknown key {key:?}"))),
        }
        seen.push(key);
    }
    Ok(Operators { policy, administration })
}

/// `(admission (backlog-s 300) (class-least 0.1))`, both optional.
fn admission(file: &str, entry: &Ref, args: &[Ref]) -> Result<AdmissionPolicy, Error> {
    let fail = |at: &Ref, why: &str| Error::Line {
        file: file.into(),
        line: at.span().start().line(),
        why: why.into(),
    };
    let mut policy = AdmissionPolicy::default();
    let mut seen: Vec<String> = Vec::new();
    for arg in args {
        let (name, values) =
            named(*arg).ok_or_else(|| fail(arg, "admission takes (KEY VALUE) ..."))?;
        let value = match values.as_slice() {
            [one] => one.value().as_f64().filter(|value| value.is_finite()),
            _ => None,
        };
        if seen.contains(&name) {
            return Err(fail(arg, &format!("{name} is set twice")));
        }
        match (name.as_str(), value) {
            ("backlog-s", Some(value)) if (1.0..=1e6).contains(&value) => policy.backlog_s = value,
            ("backlog-s", _) => {
                return Err(fail(arg, "backlog-s must be a number from 1 to 1000000"));
            }
            ("class-least", Some(value)) if (0.0..=0.5).contains(&value) => {
                policy.class_least = value;
            }
            ("class-least", _) => {
                return Err(fail(arg, "class-least must be a number from 0 to 0.5"));
            }
            _ => return Err(fail(entry, &format!("admission has no {name:?}"))),
        }
        seen.push(name);
    }
    Ok(policy)
}

/// A list that begins with a name, and what follows the name.
fn named(datum: Ref<'_>) -> Option<(String, Vec<Ref<'_>>)> {
    let mut items = datum.list_iter()?;
    let name = items.next()?.value().as_name()?.to_string();
    Some((name, items.collect()))
}

#[cfg(test)]
#[path = "policy_tests.rs"]
mod tests;
