//! Checks and converts the teams of a settings file.

use super::file::TeamEntry;
use super::source::Source;
use crate::config_error::{ConfigError, SettingsProblem};
use basaltrail_core::Team;

/// Checks and converts all teams. Names must be unique and there must be at least one team.
pub(super) fn parse(source: &Source, entries: &[TeamEntry]) -> Result<Vec<Team>, ConfigError> {
    let mut teams: Vec<Team> = Vec::new();
    for entry in entries {
        check_amounts(source, entry)?;
        if teams.iter().any(|team| team.name == entry.name) {
            let team = entry.name.clone();
            return Err(source.error(SettingsProblem::DuplicateTeam { team }));
        }
        teams.push(convert_team(entry));
    }
    match teams.is_empty() {
        true => Err(source.error(SettingsProblem::NoTeams)),
        false => Ok(teams),
    }
}

fn check_amounts(source: &Source, entry: &TeamEntry) -> Result<(), ConfigError> {
    let team = || entry.name.clone();
    let error = |problem| source.error_at(source.line_of_team(&entry.name), problem);
    let amounts = [entry.cpus, entry.cpus_max, entry.gpus, entry.gpus_max];
    if amounts.iter().any(|amount| !amount.is_finite() || *amount < 0.0) {
        return Err(error(SettingsProblem::InvalidTeamAmount { team: team() }));
    }
    let is_below = |limit: f64, guarantee: f64| limit > 0.0 && limit < guarantee;
    if is_below(entry.cpus_max, entry.cpus) || is_below(entry.gpus_max, entry.gpus) {
        return Err(error(SettingsProblem::LimitBelowGuarantee { team: team() }));
    }
    Ok(())
}

fn convert_team(entry: &TeamEntry) -> Team {
    Team {
        name: entry.name.clone(),
        guaranteed_cpus: entry.cpus,
        max_cpus: convert_limit(entry.cpus_max),
        guaranteed_gpus: entry.gpus,
        max_gpus: convert_limit(entry.gpus_max),
    }
}

/// Converts a limit. 0 means no limit: a real limit of 0 would reject every job of the team that
/// requests the resource.
fn convert_limit(amount: f64) -> f64 {
    match amount > 0.0 {
        true => amount,
        false => f64::INFINITY,
    }
}
