//! The settings of the platform and of the operators, read by the program from its files.
//!
//! The core derives its other times from these as ratios, since the configured times differ widely
//! between deployments.

use crate::model::{fitting_tasks, JobSpec, Ms};
use crate::resources::Resources;
use basaltrail_admission::BacklogBounds;

/// A team with its guarantee and its limit.
#[derive(Clone, Debug)]
pub struct Team {
    /// The name of the team.
    pub name: String,
    /// Guaranteed CPUs; 0 without a guarantee.
    pub guaranteed_cpus: f64,
    /// Limit of CPUs; infinite without a limit.
    pub max_cpus: f64,
    /// Guaranteed GPUs.
    pub guaranteed_gpus: f64,
    /// Limit of GPUs; infinite without a limit.
    pub max_gpus: f64,
}

impl Team {
    /// Returns whether the team has no guarantee, so that it only runs on borrowed capacity.
    pub fn has_no_guarantee(&self) -> bool {
        self.guaranteed_cpus <= 0.0
    }

    /// Returns how many more tasks of a job the limit allows if the team uses up to `used`.
    pub fn tasks_within_limit(&self, used: Resources, job: &JobSpec) -> u32 {
        // The usage is not subtracted from an infinite limit: on a machine of an unknown type the
        // usage may be infinite too, and infinity minus infinity is NaN.
        let count = |limit: f64, used: f64, demand: f64| match limit.is_infinite() {
            true => u32::MAX,
            false => fitting_tasks(limit - used, demand),
        };
        count(self.max_cpus, used.cpus, job.cpus).min(count(self.max_gpus, used.gpus, job.gpus))
    }
}

/// An objective for the start or the completion of the jobs of a class.
#[derive(Clone, Debug, PartialEq)]
pub enum Objective {
    /// Each job completes by its own deadline.
    Deadline {
        /// The class.
        class: String,
        /// Factor by which the time from the submission to the deadline is multiplied.
        factor: f64,
    },
    /// Each job completes within a fixed time.
    Completed {
        /// The class.
        class: String,
        /// Seconds from the submission.
        within_s: f64,
    },
    /// All tasks of each job start within a fixed time.
    Started {
        /// The class.
        class: String,
        /// Seconds from the submission.
        within_s: f64,
    },
}

/// The settings of one controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this controller.
    pub controller: String,
    /// The zone of this controller.
    pub zone: String,
    /// Number of controllers, including this one.
    pub controller_count: usize,
    /// Zones in which machines may be provisioned.
    pub zones: Vec<String>,
    /// Zones of the other controllers, one entry for each controller.
    pub peer_zones: Vec<String>,
    /// The teams.
    pub teams: Vec<Team>,
    /// The objectives of classes.
    pub objectives: Vec<Objective>,
    /// Interval between heartbeats of a worker, in milliseconds.
    pub heartbeat_interval_ms: Ms,
    /// Duration of a worker lease, in milliseconds.
    pub worker_lease_ms: Ms,
    /// Maximum time from the answer to a cancellation until all tasks of the job are gone, in
    /// milliseconds.
    pub max_cancellation_ms: Ms,
    /// Requests per second that the store accepts from all controllers together.
    pub store_rps: f64,
    /// Puts and deletes per second that the store accepts from all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value in the store, in bytes.
    pub max_value_bytes: usize,
    /// Maximum number of puts and deletes in a transaction of the store. A transaction may have
    /// four times as many preconditions.
    pub max_transaction_ops: usize,
    /// Requests per second that the cloud accepts from all controllers together.
    pub cloud_rps: f64,
    /// Lag of the cloud's inventory, in milliseconds; at times it is twice as long.
    pub inventory_lag_ms: Ms,
    /// Memory of this process, in megabytes.
    pub memory_mb: f64,
    /// Maximum number of machines whose heartbeats one controller can serve in addition to the
    /// requests of users.
    pub max_machines: usize,
    /// Identifier of this run of the process, different at each start.
    pub incarnation: u64,
    /// The settings of the operators.
    pub policy: Policy,
}

/// The bound of each team's backlog and the minimum share of each class.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Maximum backlog of a team: seconds of work at the rate at which the team is served.
    pub backlog_s: f64,
    /// Minimum fraction of a team's CPUs for each class with work, regardless of priority.
    pub min_class_share: f64,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        AdmissionPolicy { backlog_s: 300.0, min_class_share: 0.1 }
    }
}

/// Active jobs per megabyte of memory.
const ACTIVE_JOBS_PER_MB: f64 = 100.0;
/// Lower bound of [`Settings::max_active_jobs`].
const MIN_ACTIVE_JOBS: f64 = 100.0;
/// Puts and deletes in the store per job: one for its acceptance, two for its outcome, and a part
/// of the writes of completion records. Its run state is left out: the put fits beside the outcomes
/// into the leader's share of the rate, and the deletion may be delayed.
const WRITES_PER_JOB: f64 = 4.0;
/// Fraction of the store's write rate that the leader may use for job outcomes.
const OUTCOME_WRITE_FRACTION: f64 = 0.4;
/// Time by which the status of a job in an answer may lag, in milliseconds (PROTOCOL, "GET
/// /api/jobs/{id}").
const MAX_STATUS_LAG_MS: Ms = 3_000;
/// The shortest and the longest lease that the store grants, in milliseconds (PROTOCOL, "POST
/// /grants").
const LEADER_LEASE_RANGE_MS: (Ms, Ms) = (100, 600_000);

/// The settings of the operators. Each has a default.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Duration of the leader lease, as a fraction of the duration of a worker lease.
    pub leader_lease_fraction: f64,
    /// Duration of a round of the fairness ledger, in seconds.
    pub round_s: f64,
    /// Seconds of use that the fairness ledger charges in advance when a task is assigned.
    pub lease_term_s: f64,
    /// Capacity to keep ready, as a multiple of the sum of all guarantees, where cost is not an
    /// objective.
    pub headroom: f64,
    /// Seconds for which a machine may be idle before it is terminated, where cost is an objective.
    pub idle_s: f64,
    /// Maximum number of machines to evaluate for a placement. If there are more, a random sample
    /// of this size is evaluated. A backfill makes at most this many placement attempts.
    pub placement_sample_size: usize,
    /// Time that a team within its guarantee waits before tasks on borrowed capacity are preempted
    /// for it even if they cannot save their progress, as a multiple of the duration of a worker
    /// lease. Such tasks are never preempted if `None`.
    pub guarantee_wait_leases: Option<f64>,
    /// Bounds of the backlogs, enforced by admission quotas; backlogs are unbounded if `None`.
    pub admission: Option<AdmissionPolicy>,
    /// Fair-share weights by team name. The default weight of a team is its guarantee in CPUs.
    pub weights: Vec<(String, f64)>,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            leader_lease_fraction: 0.35,
            round_s: 10.0,
            lease_term_s: 10.0,
            headroom: 1.0,
            idle_s: 20.0,
            placement_sample_size: 64,
            guarantee_wait_leases: None,
            admission: None,
            weights: Vec::new(),
        }
    }
}

impl Settings {
    /// Returns the zone with the most controllers, which stands in for an unknown primary zone.
    pub fn busiest_zone(&self) -> &str {
        let all = || self.peer_zones.iter().chain([&self.zone]);
        let count = |zone: &String| all().filter(|other| *other == zone).count();
        all().max_by_key(|zone| (count(zone), *zone)).map_or("", |zone| zone)
    }

    /// Returns the duration of the leader lease, in milliseconds.
    pub fn leader_lease_ms(&self) -> Ms {
        let (min, max) = LEADER_LEASE_RANGE_MS;
        ((self.worker_lease_ms as f64 * self.policy.leader_lease_fraction) as Ms).clamp(min, max)
    }

    /// Returns the duration of a round of the fairness ledger, in milliseconds.
    pub fn round_ms(&self) -> Ms {
        (self.policy.round_s * 1000.0) as Ms
    }

    /// Returns a duration on the local clock after which `ms` have passed on the clock of any other
    /// process. Clocks drift apart by up to 0.05% (PROTOCOL); the margin is four times that plus
    /// 50 ms.
    pub fn plus_drift_margin(&self, ms: Ms) -> Ms {
        ms + ms / 500 + 50
    }

    /// Returns a duration on the local clock that ends before `ms` have passed on the clock of any
    /// other process.
    pub fn minus_drift_margin(&self, ms: Ms) -> Ms {
        ms - ms / 500
    }

    /// Returns the maximum age of the leader's job cache at which it may renew worker leases, in
    /// milliseconds. A renewal keeps a task running for one more worker lease, and the tasks of a
    /// cancelled job must be gone `max_cancellation_ms` after the answer to the user.
    pub fn max_job_cache_age_ms(&self) -> Ms {
        self.max_cancellation_ms
            .saturating_sub(self.plus_drift_margin(self.worker_lease_ms))
            .max(self.max_cancellation_ms / 4)
    }

    /// Returns the time for which a watch of the jobs waits for a change, in milliseconds.
    pub fn watch_timeout_ms(&self) -> Ms {
        (self.max_cancellation_ms / 6).min(self.max_job_cache_age_ms() / 3)
    }

    /// Returns the interval at which a leader publishes the progress of the jobs, in milliseconds.
    pub fn progress_interval_ms(&self) -> Ms {
        self.heartbeat_interval_ms.min(MAX_STATUS_LAG_MS / 3)
    }

    /// Returns the age above which progress does not show any more that tasks run, in milliseconds.
    /// Leaders of earlier versions send it once per heartbeat interval.
    pub fn max_progress_age_ms(&self) -> Ms {
        MAX_STATUS_LAG_MS.max(self.heartbeat_interval_ms * 3 / 2)
    }

    /// Returns the maximum number of active jobs that the memory of a controller allows.
    pub fn max_active_jobs(&self) -> usize {
        (self.memory_mb * ACTIVE_JOBS_PER_MB).max(MIN_ACTIVE_JOBS) as usize
    }

    /// Returns the bounds of the backlogs, if the operators set them.
    pub fn admission_bounds(&self) -> Option<BacklogBounds> {
        let policy = self.policy.admission.as_ref()?;
        // The store must be able to record the outcomes of all accepted jobs within the horizon;
        // otherwise jobs would wait for the store.
        let outcomes = policy.backlog_s * self.write_rps * OUTCOME_WRITE_FRACTION / WRITES_PER_JOB;
        Some(BacklogBounds {
            horizon_s: policy.backlog_s,
            max_jobs: outcomes.min(self.max_active_jobs() as f64) as u32,
            round_s: self.policy.round_s,
        })
    }

    /// Returns a team's fraction of the sum of all weights.
    pub fn weight_share(&self, team: usize) -> f64 {
        let sum: f64 = (0..self.teams.len()).map(|team| self.weight(team)).sum();
        self.weight(team) / sum.max(1e-9)
    }

    /// Returns the time that a team within its guarantee waits before tasks that cannot save their
    /// progress are preempted for it, in milliseconds; see [`Policy::guarantee_wait_leases`].
    pub fn guarantee_wait_ms(&self) -> Option<Ms> {
        self.policy.guarantee_wait_leases.map(|leases| (self.worker_lease_ms as f64 * leases) as Ms)
    }

    /// Returns the index of a team.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.teams.iter().position(|team| team.name == name)
    }

    /// Returns the times by which the objectives require a job to complete, in seconds from its
    /// submission.
    pub fn completion_objectives_s<'a>(
        &'a self,
        job: &'a JobSpec,
    ) -> impl Iterator<Item = f64> + 'a {
        self.objectives.iter().filter_map(|objective| match objective {
            Objective::Deadline { class, factor } if *class == job.class => {
                job.deadline_s.map(|deadline_s| deadline_s * factor)
            }
            Objective::Completed { class, within_s } if *class == job.class => Some(*within_s),
            _ => None,
        })
    }

    /// Returns the times by which the objectives require all tasks of a job to start, in seconds
    /// from its submission.
    pub fn start_objectives_s<'a>(&'a self, job: &'a JobSpec) -> impl Iterator<Item = f64> + 'a {
        self.objectives.iter().filter_map(|objective| match objective {
            Objective::Started { class, within_s } if *class == job.class => Some(*within_s),
            _ => None,
        })
    }

    /// Returns the fair-share weight of a team.
    pub fn weight(&self, team: usize) -> f64 {
        let team = &self.teams[team];
        let configured = self.policy.weights.iter().find(|(name, _)| *name == team.name);
        configured.map_or(team.guaranteed_cpus.max(1.0), |(_, weight)| *weight)
    }
}

/// Settings, a job and a machine type for unit tests.
#[cfg(test)]
pub(crate) mod fixtures {
    use super::{Policy, Settings};
    use crate::model::{
        AgentEpoch, FencingToken, Heartbeat, JobKind, JobSpec, MachineId, MachineType, Priority,
    };

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
            worker_lease_ms: 10_000,
            max_cancellation_ms: 30_000,
            store_rps: 100.0,
            write_rps: 100.0,
            max_value_bytes: 4_096,
            max_transaction_ops: 12,
            cloud_rps: 5.0,
            inventory_lag_ms: 3_000,
            memory_mb: 56.0,
            max_machines: 300,
            incarnation: 1,
            policy: Policy::default(),
        }
    }

    pub(crate) fn job_spec(tasks: u32, spot: bool) -> JobSpec {
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

    /// Returns the first heartbeat of a machine without tasks.
    pub(crate) fn heartbeat(machine: &str, token: FencingToken) -> Heartbeat {
        Heartbeat {
            machine: MachineId(machine.into()),
            endpoint: "e".into(),
            machine_type: "x".into(),
            zone: "a".into(),
            spot: false,
            agent_epoch: AgentEpoch(1),
            sequence: 1,
            token,
            reclaim_notice_s: None,
            tasks: Vec::new(),
        }
    }

    pub(crate) fn machine_type() -> MachineType {
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
