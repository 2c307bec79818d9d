//! The record that tells a controller how much it may accept.

use crate::room::Room;
use serde::{Deserialize, Serialize};

/// The class that stands for all classes that an allotment does not name.
pub const OTHER_CLASSES: &str = "";

/// The least run time that a task counts for, in seconds: owners may not know it.
const LEAST_RUN_S: f64 = 1.0;

/// What one submission asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Its team.
    pub team: String,
    /// Its class.
    pub class: String,
    /// CPUs of all its tasks together.
    pub cpus: f64,
    /// Seconds that each task is said to run; nothing for one that does not end.
    pub run_s: Option<f64>,
}

impl Demand {
    /// What it takes of an allotment. Work counts up to the horizon only, so that jobs that fit
    /// into a team's guarantee together never count for more than the guarantee over it.
    pub fn cost(&self, horizon_s: f64) -> Room {
        let run_s = self.run_s.map_or(horizon_s, |run| run.max(LEAST_RUN_S).min(horizon_s));
        Room { jobs: 1, work: self.cpus * run_s }
    }
}

/// How much a controller may accept of one class of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRoom {
    /// The class; [`OTHER_CLASSES`] for all that are not named.
    #[serde(rename = "c")]
    pub class: String,
    /// Jobs.
    #[serde(rename = "j")]
    pub jobs: u32,
    /// CPU-seconds of work.
    #[serde(rename = "w")]
    pub work: f64,
    /// Seconds after which there is room again once it is used up, as the leader estimates.
    #[serde(rename = "s")]
    pub wait_s: u32,
}

impl ClassRoom {
    /// Its room.
    pub fn room(&self) -> Room {
        Room { jobs: self.jobs, work: self.work }
    }
}

/// How much one process of a controller may accept of a team's jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allotment {
    /// The team.
    #[serde(rename = "t")]
    pub team: String,
    /// The controller.
    #[serde(rename = "n")]
    pub controller: String,
    /// The process: a later one of the same controller has none of it.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Seconds up to which work counts.
    #[serde(rename = "h")]
    pub horizon_s: f64,
    /// Its classes.
    #[serde(rename = "r")]
    pub classes: Vec<ClassRoom>,
}

impl Allotment {
    /// The entry that a class is counted under.
    pub fn entry_of(&self, class: &str) -> Option<usize> {
        let named = |name: &str| self.classes.iter().position(|entry| entry.class == name);
        named(class).or_else(|| named(OTHER_CLASSES))
    }

    /// Whether its numbers can be counted with.
    pub fn is_sound(&self) -> bool {
        let sound = |entry: &ClassRoom| entry.work.is_finite() && entry.work >= 0.0;
        self.horizon_s.is_finite() && self.horizon_s > 0.0 && self.classes.iter().all(sound)
    }
}
