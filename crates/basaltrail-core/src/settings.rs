//! What the platform and the operator set. Constants elsewhere are ratios to these.

use crate::model::{fits, JobSpec, Ms};
use basaltrail_admission::Bounds;

#[derive(Clone, Debug)]
pub struct Team {
    pub name: String,
    /// Guaranteed; 0 for a guest.
    pub cpus: f64,
    /// Infinite where there is no limit.
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

impl Team {
    /// Without a guarantee: what it runs is borrowed.
    pub fn without_guarantee(&self) -> bool {
        self.cpus <= 0.0
    }

    /// How many more tasks of a job the limit allows beside what may be in use.
    pub fn room(&self, used: (f64, f64), job: &JobSpec) -> u32 {
        // What an unknown type of machine may hold is infinite as well: nothing of it
        // counts against a team without a limit.
        let of = |max: f64, used: f64, need: f64| match max.is_infinite() {
            true => u32::MAX,
            false => fits(max - used, need),
        };
        of(self.cpus_max, used.0, job.cpus).min(of(self.gpus_max, used.1, job.gpus))
    }
}

/// When a job of a class should be complete.
#[derive(Clone, Debug, PartialEq)]
pub enum Objective {
    /// By so many times its own deadline.
    Deadline { class: String, times: f64 },
    /// Within so many seconds of its submission.
    Finished { class: String, within_s: f64 },
    /// All its tasks begun within so many seconds of its submission.
    Begun { class: String, within_s: f64 },
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub controller: String,
    pub zone: String,
    pub controller_count: usize,
    pub zones: Vec<String>,
    /// Zones of the other controllers.
    pub peer_zones: Vec<String>,
    pub teams: Vec<Team>,
    pub objectives: Vec<Objective>,
    pub heartbeat_interval_ms: Ms,
    pub lease_ms: Ms,
    pub cancel_ms: Ms,
    pub store_rps: f64,
    pub write_rps: f64,
    pub value_bytes: usize,
    pub transaction_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_ms: Ms,
    pub memory_mb: f64,
    /// Machines that may report to one controller beside its users.
    pub max_machines: usize,
    /// Differs at every start of the process.
    pub incarnation: u64,
    pub policy: Policy,
}

/// What may wait, and what classes of a team get of it.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Seconds of work that may wait of a team, at the rate at which it is served.
    pub backlog_s: f64,
    /// The part of its team's CPUs that a class with work gets, whatever its priority.
    pub class_least: f64,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        AdmissionPolicy { backlog_s: 300.0, class_least: 0.1 }
    }
}

/// Active jobs, per megabyte.
const ACTIVE_PER_MB: f64 = 100.0;
/// Changes at the state service that a job takes in all: its acceptance, its end (two), and a
/// part of its completions.
const CHANGES_PER_JOB: f64 = 4.0;
/// The part of the changes a second that a leader has for the ends of jobs.
const CHANGES_FOR_JOBS: f64 = 0.4;

/// The operators' own settings; every one has a default.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// The leader's lease over the workers' lease.
    pub leader_lease: f64,
    /// Seconds between rounds.
    pub round_s: f64,
    /// Seconds that a grant counts for at once.
    pub lease_term_s: f64,
    /// Capacity kept ready over the summed guarantees where money is no aim.
    pub headroom: f64,
    /// Seconds a machine may idle before it is returned where money is an aim.
    pub idle_s: f64,
    /// Machines looked at for one placement before sampling starts.
    pub sample: usize,
    /// Workers' leases that a team within its guarantee waits before work that others borrowed
    /// is stopped for it even if it cannot save; never if not set.
    pub guarantee_leases: Option<f64>,
    /// Bounds of what may wait, handed out in allotments; none if not set.
    pub admission: Option<AdmissionPolicy>,
    /// Weights by team; a team not named weighs its guarantee.
    pub weights: Vec<(String, f64)>,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            leader_lease: 0.35,
            round_s: 10.0,
            lease_term_s: 10.0,
            headroom: 1.0,
            idle_s: 20.0,
            sample: 64,
            guarantee_leases: None,
            admission: None,
            weights: Vec::new(),
        }
    }
}

impl Settings {
    /// The zone with the most controllers, where nothing better is known.
    pub fn busiest_zone(&self) -> &str {
        let all = || self.peer_zones.iter().chain([&self.zone]);
        let count = |z: &String| all().filter(|o| *o == z).count();
        all().max_by_key(|z| (count(z), *z)).map_or("", |z| z)
    }

    pub fn leader_lease_ms(&self) -> Ms {
        ((self.lease_ms as f64 * self.policy.leader_lease) as Ms).clamp(100, 600_000)
    }

    /// A span of the wall that is surely over when ours is: clocks drift apart by 0.05%.
    pub fn with_drift_margin(&self, ms: Ms) -> Ms {
        ms + ms / 500 + 50
    }

    /// A span that is over before a span of the same length elsewhere.
    pub fn less_drift_margin(&self, ms: Ms) -> Ms {
        ms - ms / 500
    }

    /// How old the leader's knowledge of jobs may be while it still answers workers: what it
    /// answers last keeps a task for a worker's lease, and a task of a cancelled job must be
    /// gone `cancel_s` after its user was told.
    pub fn max_job_cache_age_ms(&self) -> Ms {
        self.cancel_ms.saturating_sub(self.with_drift_margin(self.lease_ms)).max(self.cancel_ms / 4)
    }

    /// How long one watch of the jobs waits for news.
    pub fn watch_timeout_ms(&self) -> Ms {
        (self.cancel_ms / 6).min(self.max_job_cache_age_ms() / 3)
    }

    /// Active jobs that a controller's memory bears.
    pub fn max_active_jobs(&self) -> usize {
        (self.memory_mb * ACTIVE_PER_MB).max(100.0) as usize
    }

    /// What bounds the backlog of all teams, if the operators bound it.
    pub fn admission_bounds(&self) -> Option<Bounds> {
        let policy = self.policy.admission.as_ref()?;
        let ends = policy.backlog_s * self.write_rps * CHANGES_FOR_JOBS / CHANGES_PER_JOB;
        Some(Bounds {
            horizon_s: policy.backlog_s,
            jobs: ends.min(self.max_active_jobs() as f64) as u32,
            round_s: self.policy.round_s,
        })
    }

    /// A team's part of all weights.
    pub fn weight_share(&self, team: usize) -> f64 {
        let sum: f64 = (0..self.teams.len()).map(|t| self.weight(t)).sum();
        self.weight(team) / sum.max(1e-9)
    }

    /// How long a team within its guarantee waits for work that cannot save; for ever if the
    /// operators set nothing.
    pub fn guarantee_patience_ms(&self) -> Option<Ms> {
        self.policy.guarantee_leases.map(|leases| (self.lease_ms as f64 * leases) as Ms)
    }

    pub fn team(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|t| t.name == name)
    }

    /// The times, in seconds from submission, by which the objectives want a job done.
    pub fn completion_objectives_s<'a>(
        &'a self,
        job: &'a JobSpec,
    ) -> impl Iterator<Item = f64> + 'a {
        self.objectives.iter().filter_map(|o| match o {
            Objective::Deadline { class, times } if *class == job.class => {
                job.deadline_s.map(|d| d * times)
            }
            Objective::Finished { class, within_s } if *class == job.class => Some(*within_s),
            _ => None,
        })
    }

    /// The times, in seconds from submission, by which its tasks are to have begun.
    pub fn start_objectives_s<'a>(&'a self, job: &'a JobSpec) -> impl Iterator<Item = f64> + 'a {
        self.objectives.iter().filter_map(|o| match o {
            Objective::Begun { class, within_s } if *class == job.class => Some(*within_s),
            _ => None,
        })
    }

    pub fn weight(&self, team: usize) -> f64 {
        let t = &self.teams[team];
        self.policy.weights.iter().find(|(n, _)| *n == t.name).map_or(t.cpus.max(1.0), |(_, w)| *w)
    }
}

#[cfg(test)]
pub(crate) mod sample {
    use super::*;
    use crate::model::{JobKind, MachineType, Priority};

    pub(crate) fn settings() -> Settings {
        Settings {
            controller: "n0".into(),
            zone: "a".into(),
            controller_count: 3,
            zones: vec!["a".into(), "b".into()],
            peer_zones: vec!["a".into(), "b".into()],
            teams: Vec::new(),
            objectives: Vec::new(),
            heartbeat_interval_ms: 1_000,
            lease_ms: 10_000,
            cancel_ms: 30_000,
            store_rps: 100.0,
            write_rps: 100.0,
            value_bytes: 4_096,
            transaction_ops: 12,
            cloud_rps: 5.0,
            list_lag_ms: 3_000,
            memory_mb: 56.0,
            max_machines: 300,
            incarnation: 1,
            policy: Policy::default(),
        }
    }

    pub(crate) fn a_job(tasks: u32, spot: bool) -> JobSpec {
        JobSpec {
            kind: JobKind::Array,
            class: "c".into(),
            team: "t".into(),
            priority: Priority::Low,
            tasks,
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 1.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot,
            image: "i".into(),
            image_gb: 1.0,
            estimate_s: 100.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        }
    }

    pub(crate) fn a_type() -> MachineType {
        MachineType {
            name: "x".into(),
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.4,
            boot_s: 20.0,
            zones: vec!["a".into(), "b".into()],
        }
    }
}

#[cfg(test)]
#[path = "settings_tests.rs"]
mod tests;
