//! The machines and jobs that a leader keeps account of.

use crate::events::{RoundSummary, TeamSummary};
use crate::io::Progress;
use crate::jobs::JobState;
use crate::leader::scheduler::assignment::task_demand;
use crate::leader::scheduler::capacity::machine_type;
use crate::machines::{Machine, TaskChange, TaskDemand, TaskPhase};
use crate::model::{Attempt, JobId, MachineId, MachineType, Ms, TaskId, TaskState};
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The part of its estimate that a task nearly always runs: estimates are often too high.
const MIN_RUN_OF_ESTIMATE: f64 = 0.7;
/// Seconds of grace beyond the time that a task needs to save its progress.
pub(in crate::leader) const SAVE_MARGIN_S: f64 = 1.0;

/// Machines, with what may run on them, and jobs, with where their tasks may be.
#[derive(Default)]
pub struct Cluster {
    /// Machines that may hold tasks, or are on their way.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Active jobs, and ended ones of which a task may still be somewhere.
    pub jobs: BTreeMap<JobId, JobState>,
}

impl Cluster {
    /// What one task of the job takes, if the job is known.
    pub(in crate::leader) fn task_demand(&self, job: JobId) -> Option<TaskDemand> {
        self.jobs.get(&job).map(task_demand)
    }

    /// Withdraws what was assigned to a machine and never sent; true if there was any.
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

    /// Stops tasks on a machine that the cloud is about to reclaim, and withdraws what was not
    /// sent; true if there was any of that.
    ///
    /// Tasks that can save leave the machine, and so do those that cannot be done by then: what
    /// they did is lost, and elsewhere they begin sooner.
    pub(in crate::leader) fn drain(&mut self, now: Ms, id: &MachineId) -> bool {
        let Some(machine) = self.machines.get_mut(id) else { return false };
        let left_s = machine.reclaim_at.map_or(0.0, |at| at.saturating_sub(now) as f64 / 1000.0);
        for ((task, _), slot) in
            machine.slots.iter_mut().filter(|(_, slot)| slot.stop_grace_s.is_none())
        {
            let Some(demand) = slot.demand else { continue };
            let job = self.jobs.get(&task.job);
            if job.is_some_and(|job| job.spec.is_service()) {
                // It runs until it is lost: moved now, it would be down for a moment.
                slot.stop_grace_s = Some(0.0);
                continue;
            }
            let ran_s = slot.running_since.map_or(0.0, |since| (now - since) as f64 / 1000.0);
            let estimate_s = job.map_or(0.0, |job| job.spec.estimate_s);
            slot.stop_grace_s = match demand.save_s {
                Some(save_s) => Some(save_s + SAVE_MARGIN_S),
                // In doubt it may go on.
                None => (MIN_RUN_OF_ESTIMATE * estimate_s - ran_s > left_s).then_some(0.0),
            };
        }
        self.withdraw_unsent(id)
    }

    /// Records the images of the tasks on a machine as used.
    pub(in crate::leader) fn record_images(&mut self, types: &[MachineType], id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else { return };
        let cache_gb = machine_type(types, &machine.machine_type).map_or(0.0, |t| t.cache_gb);
        let present: BTreeSet<JobId> = machine
            .slots
            .iter()
            .filter(|(_, slot)| slot.holds_resources())
            .map(|((task, _), _)| task.job)
            .collect();
        for job in present {
            if let Some(job) = self.jobs.get(&job) {
                machine.record_image(&job.spec.image, job.spec.image_gb, cache_gb);
            }
        }
    }

    /// The job has ended: stops its tasks wherever they are, and sends none that was not sent.
    pub(in crate::leader) fn stop_job(&mut self, job: JobId) {
        for machine in self.machines.values_mut() {
            machine.slots.retain(|(task, _), slot| task.job != job || !slot.is_unsent());
            for (_, slot) in machine.slots.iter_mut().filter(|((task, _), _)| task.job == job) {
                slot.stop_at_once();
            }
        }
    }

    /// Tasks that machines reported before their job was known, as changes to reconcile with.
    pub(in crate::leader) fn changes_before_known(
        &self,
        job: JobId,
    ) -> Vec<(MachineId, TaskChange)> {
        let mut changes = Vec::new();
        for machine in self.machines.values() {
            let of_job = machine.slots.iter().filter(|((task, _), _)| task.job == job);
            for ((task, attempt), slot) in of_job.filter(|(_, slot)| slot.demand.is_none()) {
                changes
                    .push((machine.id.clone(), TaskChange::reported(*task, *attempt, slot.phase)));
            }
        }
        changes
    }

    /// Removes the ended jobs of which no task is left anywhere, and returns them.
    pub(in crate::leader) fn remove_finished_jobs(&mut self) -> Vec<JobState> {
        let mut finished: Vec<JobId> =
            self.jobs.values().filter(|job| job.ended.is_some()).map(|job| job.id).collect();
        if finished.is_empty() {
            return Vec::new();
        }
        let mut present: BTreeSet<JobId> = BTreeSet::new();
        for (task, _) in self.machines.values().flat_map(|machine| machine.slots.keys()) {
            if finished.binary_search(&task.job).is_ok() {
                present.insert(task.job);
            }
        }
        finished.retain(|job| !present.contains(job));
        finished.into_iter().filter_map(|job| self.jobs.remove(&job)).collect()
    }

    /// How far each active job is.
    pub(in crate::leader) fn progress(&self) -> Vec<Progress> {
        let mut running: HashMap<JobId, u32> = HashMap::new();
        for machine in self.machines.values() {
            for ((task, _), _) in machine.slots.iter().filter(|(_, slot)| slot.is_running()) {
                *running.entry(task.job).or_default() += 1;
            }
        }
        self.jobs
            .values()
            .filter(|job| job.ended.is_none())
            .map(|job| Progress {
                job: job.id,
                done: job.done.len(),
                running: running.get(&job.id).copied().unwrap_or(0),
            })
            .collect()
    }

    /// How the machines are used.
    pub(in crate::leader) fn round_summary(&self, settings: &Settings) -> RoundSummary {
        let teams = settings.teams.iter().map(|team| TeamSummary {
            team: team.name.clone(),
            used_cpus: 0.0,
            waiting_cpus: 0.0,
        });
        let mut summary = RoundSummary { teams: teams.collect(), ..RoundSummary::default() };
        for machine in self.machines.values() {
            *match (machine.is_up(), machine.spot) {
                (true, false) => &mut summary.on_demand,
                (true, true) => &mut summary.spot,
                (false, _) => &mut summary.down,
            } += 1;
        }
        for slot in self.machines.values().flat_map(|machine| machine.slots.values()) {
            let cpus = slot.demand.map_or(0.0, |demand| demand.resources.cpus);
            *match slot.phase {
                TaskPhase::Assigned | TaskPhase::Sent => &mut summary.assigned_cpus,
                TaskPhase::Confirmed(TaskState::Fetching) => &mut summary.fetching_cpus,
                TaskPhase::Confirmed(TaskState::Running) => &mut summary.running_cpus,
                TaskPhase::Confirmed(TaskState::Saving) => &mut summary.saving_cpus,
                TaskPhase::Confirmed(TaskState::Exited(_)) => continue,
            } += cpus;
            if let Some(demand) = slot.demand {
                summary.teams[demand.team].used_cpus += cpus;
            }
        }
        for job in self.jobs.values() {
            summary.teams[job.team].waiting_cpus += job.pending() as f64 * job.spec.cpus;
        }
        summary.waiting_cpus = summary.teams.iter().map(|team| team.waiting_cpus).sum();
        summary
    }
}
