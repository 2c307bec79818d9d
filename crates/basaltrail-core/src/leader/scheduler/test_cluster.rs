//! A small cluster for the tests of the scheduler and the autoscaler.

use crate::jobs::JobCache;
use crate::leader::{Context, Leader};
use crate::machines::{Machine, TaskDemand, TaskPhase, TaskSlot};
use crate::model::{
    FencingToken, JobId, JobKind, JobSpec, MachineId, MachineType, Ms, Priority, Revision,
    TaskState,
};
use crate::settings::fixtures::{job_spec, machine_type, settings};
use crate::settings::{Settings, Team};
use crate::store::records::JobRecord;

/// The settings, machine types and jobs that a leader knows.
pub(in crate::leader) struct TestCluster {
    pub(in crate::leader) settings: Settings,
    pub(in crate::leader) types: Vec<MachineType>,
    pub(in crate::leader) job_cache: JobCache,
}

impl TestCluster {
    /// Returns a cluster with team `t` and its jobs, numbered from 1 and accepted after the
    /// election.
    pub(in crate::leader) fn new(guaranteed_cpus: f64, jobs: &[JobSpec]) -> Self {
        let mut job_cache = JobCache::new(10);
        for (index, spec) in jobs.iter().enumerate() {
            let id = index as u64 + 1;
            job_cache.put_active(JobId(id), Revision(id + 10), JobRecord::new(0, spec.clone()));
        }
        let settings = Settings { teams: vec![team("t", guaranteed_cpus)], ..settings() };
        TestCluster { settings, types: vec![machine_type()], job_cache }
    }

    /// Returns the context of a leader with a valid lease and a fresh job cache.
    pub(in crate::leader) fn context(&self, now: Ms) -> Context<'_> {
        Context {
            cfg: &self.settings,
            machine_types: &self.types,
            job_cache: &self.job_cache,
            now,
            wall_clock_ms: 0,
            holds_valid_lease: true,
            job_cache_is_fresh: true,
        }
    }

    /// Returns a leader elected at revision 1, without machines.
    pub(in crate::leader) fn leader(&self, now: Ms) -> Leader {
        Leader::new(&self.context(now), FencingToken(2), Revision(1))
    }
}

/// Returns a team without limits.
pub(in crate::leader) fn team(name: &str, guaranteed_cpus: f64) -> Team {
    Team {
        name: name.into(),
        guaranteed_cpus,
        max_cpus: f64::INFINITY,
        guaranteed_gpus: 0.0,
        max_gpus: f64::INFINITY,
    }
}

/// Returns a service of the highest priority whose replicas are spread over zones.
pub(in crate::leader) fn service(replicas: u32, cpus: f64) -> JobSpec {
    JobSpec {
        kind: JobKind::Service,
        priority: Priority::Production,
        estimate_s: 0.0,
        cpus,
        spread: true,
        ..job_spec(replicas, false)
    }
}

/// Returns a machine that accepts tasks while its last heartbeat is recent.
pub(in crate::leader) fn ready_machine(
    name: &str,
    zone: &str,
    spot: bool,
    last_heartbeat_at: Option<Ms>,
) -> Machine {
    let mut machine = Machine::new(MachineId(name.into()), "x", zone, spot, 0);
    (machine.receives_answers, machine.registered_in_use) = (true, true);
    machine.last_heartbeat_at = last_heartbeat_at;
    machine
}

/// Returns the slot of a task that has run since time 0.
pub(in crate::leader) fn running_slot(demand: TaskDemand) -> TaskSlot {
    TaskSlot {
        phase: TaskPhase::Confirmed(TaskState::Running),
        demand: Some(demand),
        stop_grace_s: None,
        stop_sent_at: None,
        known_since: 0,
        running_since: Some(0),
        outcome_recorded: false,
        is_first_of_job: false,
    }
}
