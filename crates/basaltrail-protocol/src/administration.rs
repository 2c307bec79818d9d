//! Defines the answer of the administration listener: limits, usage, backlog and admission quotas
//! of the teams.
//!
//! The published schema, `docs/schemas/limits.json`, is generated from the names, field names and
//! doc comments of these types, so all of them are part of a fixed format. In its terms, a `Room`
//! is an amount of work, an allotment is the admission quota of a controller, and a node is a
//! controller.

use basaltrail_core::inspection::{ClassReport, LimitsReport, TeamReport};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Jobs, and CPU-seconds of work.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Room {
    /// Jobs.
    pub jobs: u32,
    /// CPU-seconds.
    pub work: f64,
}

/// One class of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Class {
    /// The class; null for all that are not named.
    pub class: Option<String>,
    /// Unfinished jobs, on all nodes.
    pub jobs: u32,
    /// What this node may accept until its next allotment; null where allotments do not bind.
    pub allotted: Option<Room>,
    /// What is left of it.
    pub left: Option<Room>,
}

/// One team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Team {
    /// Its name.
    pub team: String,
    /// CPUs that it is guaranteed.
    pub guaranteed: f64,
    /// CPUs that it may use; null without a limit.
    pub limit: Option<f64>,
    /// CPUs that its tasks may be using; null unless this node leads.
    pub used: Option<f64>,
    /// Submissions that this node told to come back since it began.
    pub refused: u64,
    /// Its classes.
    pub classes: Vec<Class>,
}

/// The answer to `GET /limits`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Limits {
    /// The node that tells.
    pub node: String,
    /// The node that leads, as far as is known there.
    pub leader: Option<String>,
    /// The revision of the state service up to which jobs and allotments are known there.
    pub revision: u64,
    /// Whether allotments bind.
    pub allotted: bool,
    /// Every team of the settings.
    pub teams: Vec<Team>,
}

impl From<(u32, f64)> for Room {
    fn from((jobs, work): (u32, f64)) -> Self {
        Room { jobs, work }
    }
}

impl From<&ClassReport> for Class {
    fn from(report: &ClassReport) -> Self {
        Class {
            class: (!report.class.is_empty()).then(|| report.class.clone()),
            jobs: report.jobs,
            allotted: report.quota.map(Room::from),
            left: report.remaining.map(Room::from),
        }
    }
}

impl From<&TeamReport> for Team {
    fn from(report: &TeamReport) -> Self {
        Team {
            team: report.team.clone(),
            guaranteed: report.guaranteed_cpus,
            limit: report.max_cpus,
            used: report.used_cpus,
            refused: report.rejected_submissions,
            classes: report.classes.iter().map(Class::from).collect(),
        }
    }
}

impl From<&LimitsReport> for Limits {
    fn from(report: &LimitsReport) -> Self {
        Limits {
            node: report.controller.clone(),
            leader: report.leader.clone(),
            revision: report.revision.0,
            allotted: report.quotas_enforced,
            teams: report.teams.iter().map(Team::from).collect(),
        }
    }
}
