//! The machines and jobs tracked by a leader.

use crate::events::{FleetUsage, TeamUsage};
use crate::io::Progress;
use crate::jobs::JobState;
use crate::leader::scheduler::assignment::task_demand;
use crate::leader::scheduler::capacity::machine_type;
use crate::machines::{Machine, TaskChange, TaskDemand, TaskPhase};
use crate::model::{Attempt, JobId, MachineId, MachineType, Ms, TaskId, TaskState};
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Fraction of its estimated run time that nearly every task reaches; estimates are often too high.
const MIN_RUN_FRACTION_OF_ESTIMATE: f64 = 0.7;
/// Seconds of grace added to the time that a task needs to save its progress.
pub(in crate::leader) const SAVE_MARGIN_S: f64 = 1.0;

/// Machines with the tasks that may run on them, and jobs with the placements of their tasks.
#[derive(Default)]
pub struct Cluster {
    /// Machines that may hold tasks or are being provisioned.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Active jobs, and ended jobs whose tasks may still be on a machine.
    pub jobs: BTreeMap<JobId, JobState>,
}

impl Cluster {
    /// Returns the demand of one task of the job, or `None` if the job is not known.
    pub(in crate::leader) fn task_demand(&self, job: JobId) -> Option<TaskDemand> {
        self.jobs.get(&job).map(task_demand)
    }

    /// Removes the assignments to a machine whose start has not been sent. Returns whether there
    /// were any.
    pub(in crate::leader) fn withdraw_unsent(&mut self, id: &MachineId) -> bool {
        let Some(machine) = self.machines.get_mut(id) else { return false };
        let unsent: Vec<(TaskId, Attempt)> = machine
            .slots
            .iter()
            .filter(|(_, slot)| slot.is_unsent())
            .map(|(key, _)| *key)
            .collect();
        for (task, attempt) in &unsent {
            machine.slots.remove(&(*task, *attempt));
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.end_placement(task.index, id, *attempt);
            }
        }
        !unsent.is_empty()
    }

    /// Stops tasks on a machine that the cloud is about to reclaim, and withdraws unsent
    /// assignments. Returns whether there were any unsent assignments.
    ///
    /// Stops replicas of services, tasks that can save their progress, and tasks that cannot finish
    /// before the reclaim. The latter lose their work in any case, and restart sooner elsewhere if
    /// they are stopped now.
    pub(in crate::leader) fn drain(&mut self, now: Ms, id: &MachineId) -> bool {
        let Some(machine) = self.machines.get_mut(id) else { return false };
        let until_reclaim_s =
            machine.reclaim_at.map_or(0.0, |at| at.saturating_sub(now) as f64 / 1000.0);
        for ((task, _), slot) in
            machine.slots.iter_mut().filter(|(_, slot)| slot.stop_grace_s.is_none())
        {
            let Some(demand) = slot.demand else { continue };
            let job = self.jobs.get(&task.job);
            if job.is_some_and(|job| job.spec.is_service()) {
                // A replica has no end that it could reach before the reclaim. If it stayed, it
                // would be missing until the lease of the machine expires.
                slot.stop_grace_s = Some(0.0);
                continue;
            }
            let ran_s = slot.running_since.map_or(0.0, |since| (now - since) as f64 / 1000.0);
            let estimate_s = job.map_or(0.0, |job| job.spec.estimate_s);
            slot.stop_grace_s = match demand.save_s {
                Some(save_s) => Some(save_s + SAVE_MARGIN_S),
                // A task that may finish before the reclaim keeps running.
                None => (MIN_RUN_FRACTION_OF_ESTIMATE * estimate_s - ran_s > until_reclaim_s)
                    .then_some(0.0),
            };
        }
        self.withdraw_unsent(id)
    }

    /// Records that the tasks on a machine use their images.
    pub(in crate::leader) fn record_images(&mut self, types: &[MachineType], id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let cache_gb = machine_type(types, &machine.machine_type).map_or(0.0, |t| t.cache_gb);
        let jobs_on_machine: BTreeSet<JobId> = machine
            .slots
            .iter()
            .filter(|(_, slot)| slot.holds_resources())
            .map(|((task, _), _)| task.job)
            .collect();
        for job in jobs_on_machine {
            if let Some(job) = self.jobs.get(&job) {
                machine.record_image(&job.spec.image, job.spec.image_gb, cache_gb);
            }
        }
    }

    /// Stops the tasks of an ended job on all machines, and removes its unsent assignments.
    pub(in crate::leader) fn stop_job(&mut self, job: JobId) {
        for machine in self.machines.values_mut() {
            machine.slots.retain(|(task, _), slot| task.job != job || !slot.is_unsent());
            for (_, slot) in machine.slots.iter_mut().filter(|((task, _), _)| task.job == job) {
                slot.stop_at_once();
            }
        }
    }

    /// Returns the tasks of a job that machines reported before the job was known, as changes to
    /// reconcile the job with.
    pub(in crate::leader) fn changes_reported_before_job_known(
        &self,
        job: JobId,
    ) -> Vec<(MachineId, TaskChange)> {
        let mut changes = Vec::new();
        for machine in self.machines.values() {
            let job_slots = machine.slots.iter().filter(|((task, _), _)| task.job == job);
            for ((task, attempt), slot) in job_slots.filter(|(_, slot)| slot.demand.is_none()) {
                changes
                    .push((machine.id.clone(), TaskChange::reported(*task, *attempt, slot.phase)));
            }
        }
        changes
    }

    /// Removes and returns the ended jobs that have no task left on any machine.
    pub(in crate::leader) fn remove_finished_jobs(&mut self) -> Vec<JobState> {
        let mut finished: Vec<JobId> =
            self.jobs.values().filter(|job| job.outcome.is_some()).map(|job| job.id).collect();
        if finished.is_empty() {
            return Vec::new();
        }
        let mut jobs_on_machines: BTreeSet<JobId> = BTreeSet::new();
        for (task, _) in self.machines.values().flat_map(|machine| machine.slots.keys()) {
            if finished.binary_search(&task.job).is_ok() {
                jobs_on_machines.insert(task.job);
            }
        }
        finished.retain(|job| !jobs_on_machines.contains(job));
        finished.into_iter().filter_map(|job| self.jobs.remove(&job)).collect()
    }

    /// Returns the progress of each active job.
    pub(in crate::leader) fn progress(&self) -> Vec<Progress> {
        let mut running: HashMap<JobId, u32> = HashMap::new();
        for machine in self.machines.values() {
            for ((task, _), _) in machine.slots.iter().filter(|(_, slot)| slot.is_running()) {
                *running.entry(task.job).or_default() += 1;
            }
        }
        self.jobs
            .values()
            .filter(|job| job.outcome.is_none())
            .map(|job| Progress {
                job: job.id,
                done: job.done.len(),
                running: running.get(&job.id).copied().unwrap_or(0),
            })
            .collect()
    }

    /// Returns the number of machines by state and the use of CPUs by task phase and team.
    pub(in crate::leader) fn fleet_usage(&self, settings: &Settings) -> FleetUsage {
        let teams = settings.teams.iter().map(|team| TeamUsage {
            team: team.name.clone(),
            used_cpus: 0.0,
            waiting_cpus: 0.0,
        });
        let mut usage = FleetUsage { teams: teams.collect(), ..FleetUsage::default() };
        for machine in self.machines.values() {
            *match (machine.is_up(), machine.spot) {
                (true, false) => &mut usage.on_demand,
                (true, true) => &mut usage.spot,
                (false, _) => &mut usage.down,
            } += 1;
        }
        for slot in self.machines.values().flat_map(|machine| machine.slots.values()) {
            let cpus = slot.demand.map_or(0.0, |demand| demand.resources.cpus);
            *match slot.phase {
                TaskPhase::Assigned | TaskPhase::Sent => &mut usage.assigned_cpus,
                TaskPhase::Confirmed(TaskState::Fetching) => &mut usage.fetching_cpus,
                TaskPhase::Confirmed(TaskState::Running) => &mut usage.running_cpus,
                TaskPhase::Confirmed(TaskState::Saving) => &mut usage.saving_cpus,
                TaskPhase::Confirmed(TaskState::Exited(_)) => continue,
            } += cpus;
            if let Some(demand) = slot.demand {
                usage.teams[demand.team].used_cpus += cpus;
            }
        }
        for job in self.jobs.values() {
            usage.teams[job.team].waiting_cpus += job.pending_tasks() as f64 * job.spec.cpus;
        }
        usage.waiting_cpus = usage.teams.iter().map(|team| team.waiting_cpus).sum();
        usage
    }
}
