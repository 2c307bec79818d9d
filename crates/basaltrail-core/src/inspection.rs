//! The report of a controller on limits, usage, backlog and admission quotas, for operators.

use crate::model::Revision;

/// The report on one class of a team.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassReport {
    /// The class; empty for the entry of all classes that the quota does not name.
    pub class: String,
    /// Unfinished jobs of the class, accepted by any controller.
    pub jobs: u32,
    /// Jobs and CPU-seconds of the quota of this controller; `None` if quotas are not enforced.
    pub quota: Option<(u32, f64)>,
    /// Jobs and CPU-seconds of the quota that are not used yet.
    pub remaining: Option<(u32, f64)>,
}

/// The report on one team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamReport {
    /// The name of the team.
    pub team: String,
    /// Guaranteed CPUs.
    pub guaranteed_cpus: f64,
    /// Maximum number of CPUs; `None` if the team has no limit.
    pub max_cpus: Option<f64>,
    /// CPUs that the tasks of the team may be using; `None` unless this controller leads.
    pub used_cpus: Option<f64>,
    /// Submissions that this controller did not admit since its process started.
    pub rejected_submissions: u64,
    /// Reports on the classes of the team.
    pub classes: Vec<ClassReport>,
}

/// The report of one controller.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitsReport {
    /// The controller that made the report.
    pub controller: String,
    /// The leader, as far as this controller knows.
    pub leader: Option<String>,
    /// The store's revision up to which this controller knows jobs and quotas.
    pub revision: Revision,
    /// Whether admission quotas are enforced.
    pub quotas_enforced: bool,
    /// Reports on all teams in the settings.
    pub teams: Vec<TeamReport>,
}
