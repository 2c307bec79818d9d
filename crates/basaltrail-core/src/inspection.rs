//! What a controller tells operators of limits, use, backlog and admission quotas.

use crate::model::Revision;

/// What one class of a team has here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassReport {
    /// The class; empty for all that are not named.
    pub class: String,
    /// Unfinished jobs of it, on all controllers.
    pub jobs: u32,
    /// Jobs and CPU-seconds that this controller may accept until the next quota; none where
    /// quotas do not bind.
    pub allotted: Option<(u32, f64)>,
    /// Jobs and CPU-seconds that are left of them.
    pub left: Option<(u32, f64)>,
}

/// One team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamReport {
    /// Its name.
    pub team: String,
    /// CPUs that it is guaranteed.
    pub guaranteed: f64,
    /// CPUs that it may use; none without a limit.
    pub limit: Option<f64>,
    /// CPUs that its tasks may be using; only the leader knows.
    pub used: Option<f64>,
    /// Submissions that this controller did not admit since its process began.
    pub refused: u64,
    /// Its classes.
    pub classes: Vec<ClassReport>,
}

/// One controller's report.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitsReport {
    /// The controller that tells.
    pub controller: String,
    /// The controller that leads, as far as is known here.
    pub leader: Option<String>,
    /// The revision up to which jobs and quotas are known here.
    pub revision: Revision,
    /// Whether admission quotas bind.
    pub allotted: bool,
    /// Every team of the settings.
    pub teams: Vec<TeamReport>,
}
