//! What the platform and the operators set. Times elsewhere in the core are ratios to these, since
//! deployments differ widely in them; the program reads them from its files.

use crate::model::{fits, JobSpec, Ms};
use crate::resources::Resources;
use basaltrail_admission::BacklogBounds;

/// A team, with its guarantee and its limit.
#[derive(Clone, Debug)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// CPUs that it is guaranteed; 0 for a guest.
    pub cpus: f64,
    /// CPUs that it may use; infinite without a limit.
    pub cpus_max: f64,
    /// GPUs that it is guaranteed.
    pub gpus: f64,
    /// GPUs that it may use; infinite without a limit.
    pub gpus_max: f64,
}

impl Team {
    /// Without a guarantee: what it runs is borrowed.
    pub fn without_guarantee(&self) -> bool {
        self.cpus <= 0.0
    }

    /// How many more tasks of a job the limit allows beside what the team may be using.
    pub fn tasks_within_limit(&self, used: Resources, job: &JobSpec) -> u32 {
        // What an unknown type of machine may hold is infinite as well: nothing of it
        // counts against a team without a limit.
        let within = |limit: f64, used: f64, need: f64| match limit.is_infinite() {
            true => u32::MAX,
            false => fits(limit - used, need),
        };
        within(self.cpus_max, used.cpus, job.cpus).min(within(self.gpus_max, used.gpus, job.gpus))
    }
}

/// When jobs of a class should have begun or be complete.
#[derive(Clone, Debug, PartialEq)]
pub enum Objective {
    /// Complete by its own deadline.
    Deadline {
        /// The class.
        class: String,
        /// The deadline, counted from the submission, is stretched by this factor.
        times: f64,
    },
    /// Complete within a time.
    Finished {
        /// The class.
        class: String,
        /// Seconds from the submission.
        within_s: f64,
    },
    /// All tasks begun within a time.
    Begun {
        /// The class.
        class: String,
        /// Seconds from the submission.
        within_s: f64,
    },
}

/// One controller's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this controller.
    pub controller: String,
    /// Its zone.
    pub zone: String,
    /// Controllers in all, this one included.
    pub controller_count: usize,
    /// Zones where machines may be rented.
    pub zones: Vec<String>,
    /// Zones of the other controllers, one for each.
    pub peer_zones: Vec<String>,
    /// The teams.
    pub teams: Vec<Team>,
    /// What is expected of classes of jobs.
    pub objectives: Vec<Objective>,
    /// Milliseconds between two heartbeats of a worker.
    pub heartbeat_interval_ms: Ms,
    /// Milliseconds of a worker's lease.
    pub lease_ms: Ms,
    /// Milliseconds after which no task of a cancelled job may be on a machine.
    pub cancel_ms: Ms,
    /// Requests per second that the store takes of all controllers together.
    pub store_rps: f64,
    /// Puts and deletes per second that the store takes of all controllers together.
    pub write_rps: f64,
    /// Bytes of one value of the store.
    pub value_bytes: usize,
    /// Puts and deletes of one transaction of the store; preconditions may be four times as many.
    pub transaction_ops: usize,
    /// Requests per second that the cloud takes of all controllers together.
    pub cloud_rps: f64,
    /// Milliseconds by which the cloud's list of machines lags; at times twice as many.
    pub list_lag_ms: Ms,
    /// Megabytes of memory of this process.
    pub memory_mb: f64,
    /// Machines that may report to one controller beside its users.
    pub max_machines: usize,
    /// Differs at every start of the process.
    pub incarnation: u64,
    /// The operators' own settings.
    pub policy: Policy,
}

/// How the backlogs of the teams are bounded, and what classes of a team get.
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

/// Active jobs that a megabyte of memory bears.
const ACTIVE_JOBS_PER_MB: f64 = 100.0;
/// The least number of active jobs.
const MIN_ACTIVE_JOBS: f64 = 100.0;
/// Changes of the store that a job takes in all: its acceptance, its outcome (two), and a part of
/// its completions.
const CHANGES_PER_JOB: f64 = 4.0;
/// The part of the store's changes that a leader has for the outcomes of jobs.
const CHANGES_FOR_JOBS: f64 = 0.4;
/// The shortest and the longest lease, in milliseconds, that the store grants (PROTOCOL, "POST
/// /grants").
const LEADER_LEASE_RANGE_MS: (Ms, Ms) = (100, 600_000);

/// The operators' own settings; every one has a default.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// The leader's lease as a part of the workers' lease.
    pub leader_lease: f64,
    /// Seconds between two rounds of the fair-share ledger.
    pub round_s: f64,
    /// Seconds of use that a grant of the fair-share ledger counts for at once.
    pub lease_term_s: f64,
    /// Capacity kept ready, as a multiple of the summed guarantees, where cost is no objective.
    pub headroom: f64,
    /// Seconds that a machine may idle before it is returned where cost is an objective.
    pub idle_s: f64,
    /// Machines looked at for one placement before sampling starts.
    pub sample: usize,
    /// Workers' leases that a team within its guarantee waits before work that others borrowed
    /// is stopped for it even if it cannot save; never if not set.
    pub guarantee_leases: Option<f64>,
    /// Bounds of the backlogs, handed out in admission quotas; none if not set.
    pub admission: Option<AdmissionPolicy>,
    /// Weights by team; a team that is not named weighs its guarantee.
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
        let count = |zone: &String| all().filter(|other| *other == zone).count();
        all().max_by_key(|zone| (count(zone), *zone)).map_or("", |zone| zone)
    }

    /// Milliseconds of the leader's lease.
    pub fn leader_lease_ms(&self) -> Ms {
        let (min, max) = LEADER_LEASE_RANGE_MS;
        ((self.lease_ms as f64 * self.policy.leader_lease) as Ms).clamp(min, max)
    }

    /// Milliseconds between two rounds of the fair-share ledger.
    pub fn round_ms(&self) -> Ms {
        (self.policy.round_s * 1000.0) as Ms
    }

    /// A span of our clock after which a span of `ms` is over by any other. Clocks drift apart by
    /// 0.05% (PROTOCOL); the margin is four times that, and 50 ms.
    pub fn with_drift_margin(&self, ms: Ms) -> Ms {
        ms + ms / 500 + 50
    }

    /// A span of our clock that is over before a span of `ms` is by any other.
    pub fn less_drift_margin(&self, ms: Ms) -> Ms {
        ms - ms / 500
    }

    /// How old the leader's knowledge of jobs may be while it still answers workers: what it
    /// answers last keeps a task for a worker's lease, and a task of a cancelled job must be
    /// gone `cancel_s` after its user was told.
    pub fn max_job_cache_age_ms(&self) -> Ms {
        self.cancel_ms.saturating_sub(self.with_drift_margin(self.lease_ms)).max(self.cancel_ms / 4)
    }

    /// How long one watch of the jobs waits for a change.
    pub fn watch_timeout_ms(&self) -> Ms {
        (self.cancel_ms / 6).min(self.max_job_cache_age_ms() / 3)
    }

    /// Active jobs that a controller's memory bears.
    pub fn max_active_jobs(&self) -> usize {
        (self.memory_mb * ACTIVE_JOBS_PER_MB).max(MIN_ACTIVE_JOBS) as usize
    }

    /// What bounds the backlog of all teams, if the operators bound it.
    pub fn admission_bounds(&self) -> Option<BacklogBounds> {
        let policy = self.policy.admission.as_ref()?;
        // More jobs than could end within the horizon would wait for the store.
        let outcomes = policy.backlog_s * self.write_rps * CHANGES_FOR_JOBS / CHANGES_PER_JOB;
        Some(BacklogBounds {
            horizon_s: policy.backlog_s,
            jobs: outcomes.min(self.max_active_jobs() as f64) as u32,
            round_s: self.policy.round_s,
        })
    }

    /// A team's part of all weights.
    pub fn weight_share(&self, team: usize) -> f64 {
        let sum: f64 = (0..self.teams.len()).map(|team| self.weight(team)).sum();
        self.weight(team) / sum.max(1e-9)
    }

    /// How long a team within its guarantee waits for work that cannot save; for ever if the
    /// operators set nothing.
    pub fn guarantee_patience_ms(&self) -> Option<Ms> {
        self.policy.guarantee_leases.map(|leases| (self.lease_ms as f64 * leases) as Ms)
    }

    /// The index of a team.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|team| team.name == name)
    }

    /// The times, in seconds from submission, by which the objectives want a job complete.
    pub fn completion_objectives_s<'a>(
        &'a self,
        job: &'a JobSpec,
    ) -> impl Iterator<Item = f64> + 'a {
        self.objectives.iter().filter_map(|objective| match objective {
            Objective::Deadline { class, times } if *class == job.class => {
                job.deadline_s.map(|deadline_s| deadline_s * times)
            }
            Objective::Finished { class, within_s } if *class == job.class => Some(*within_s),
            _ => None,
        })
    }

    /// The times, in seconds from submission, by which its tasks are to have begun.
    pub fn start_objectives_s<'a>(&'a self, job: &'a JobSpec) -> impl Iterator<Item = f64> + 'a {
        self.objectives.iter().filter_map(|objective| match objective {
            Objective::Begun { class, within_s } if *class == job.class => Some(*within_s),
            _ => None,
        })
    }

    /// A team's weight in the fair share.
    pub fn weight(&self, team: usize) -> f64 {
        let team = &self.teams[team];
        let set = self.policy.weights.iter().find(|(name, _)| *name == team.name);
        set.map_or(team.cpus.max(1.0), |(_, weight)| *weight)
    }
}

/// Settings, a job and a machine type that unit tests start from.
#[cfg(test)]
pub(crate) mod sample {
    use super::{Policy, Settings};
    use crate::model::{JobKind, JobSpec, MachineType, Priority};

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
