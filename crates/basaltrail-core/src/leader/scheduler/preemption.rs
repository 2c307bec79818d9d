//! Preemption: stops tasks for blocked jobs that are urgent or within the guarantee of their team
//! (PROTOCOL, "Preemption").

use super::assignment::{pending_within_limit, zone_spread};
use super::bin_packing::ZoneSpread;
use super::capacity::{FreeCapacity, CPU_TOLERANCE};
use super::victims::{all_victims, savable_victims, Victim};
use super::Scheduler;
use crate::jobs::JobState;
use crate::leader::cluster::{Cluster, SAVE_MARGIN_S};
use crate::leader::Context;
use crate::machines::{MachineKind, TaskDemand};
use crate::model::{JobId, JobSpec};
use crate::resources::Resources;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Slack below which a job is urgent and may preempt tasks of lower priority, in worker leases. A
/// job with more slack waits for such tasks to end, since each preemption costs a save and a
/// restart.
const URGENT_SLACK_LEASES: f64 = 2.0;

/// CPUs that are free or held by stopping tasks.
#[derive(Default)]
struct FreeAndStoppingCpus {
    by_kind: BTreeMap<MachineKind, f64>,
}

impl FreeAndStoppingCpus {
    /// Counts the free CPUs, and those of tasks whose stop has been decided.
    fn collect(ctx: &Context, cluster: &Cluster, free: &[FreeCapacity]) -> Self {
        let mut free_and_stopping = FreeAndStoppingCpus::default();
        for capacity in free {
            let machine_type = ctx.machine_types[capacity.type_index].name.clone();
            let (zone, spot) = (capacity.zone.clone(), capacity.spot);
            free_and_stopping.add(MachineKind { machine_type, zone, spot }, capacity.free.cpus);
        }
        for machine in cluster.machines.values() {
            let stopping = machine
                .slots
                .values()
                .filter(|slot| slot.holds_resources() && slot.stop_grace_s.is_some());
            let cpus: f64 =
                stopping.filter_map(|slot| slot.demand).map(|demand| demand.resources.cpus).sum();
            if cpus > 0.0 {
                free_and_stopping.add(machine.kind(), cpus);
            }
        }
        free_and_stopping
    }

    fn add(&mut self, kind: MachineKind, cpus: f64) {
        *self.by_kind.entry(kind).or_default() += cpus;
    }

    /// Deducts up to `wanted_cpus` CPUs from the machine kinds for which `is_usable` returns true.
    /// Returns the number of deducted CPUs.
    fn deduct(&mut self, wanted_cpus: f64, is_usable: impl Fn(&MachineKind) -> bool) -> f64 {
        let mut deducted_cpus = 0.0;
        for (_, cpus) in self.by_kind.iter_mut().filter(|(kind, _)| is_usable(kind)) {
            let part = cpus.min(wanted_cpus - deducted_cpus);
            *cpus -= part;
            deducted_cpus += part;
        }
        deducted_cpus
    }
}

/// A blocked job that may preempt tasks.
struct Preemptor {
    team: usize,
    spec: Arc<JobSpec>,
    spread: ZoneSpread,
    /// CPUs that its pending tasks within the team's limit need, less those that are free, stopping
    /// or preempted for the job.
    missing_cpus: f64,
    /// CPUs of its team's guarantee that the team does not use, less those preempted for the job.
    unused_guarantee_cpus: f64,
    /// Whether its slack is below [`URGENT_SLACK_LEASES`].
    is_urgent: bool,
    /// Whether the team has waited for its guarantee for at least `Settings::guarantee_wait_ms`.
    is_guarantee_overdue: bool,
}

impl Preemptor {
    /// Returns whether the constraints of the job permit one more of its tasks on a machine of this
    /// type and zone, which is a spot machine if `spot` is true. Preempting tasks on any other
    /// machine would free no capacity for the job.
    fn permits_machine(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.spec.permits(machine_type, zone, spot)
            && self.spread.tasks_allowed_in(&self.spec, zone) > 0
    }

    /// Returns whether no more CPUs have to be preempted for the job.
    fn has_enough_cpus(&self) -> bool {
        self.missing_cpus <= CPU_TOLERANCE
    }

    /// Returns whether the unused part of the team's guarantee covers one more task of the job.
    fn is_within_guarantee(&self) -> bool {
        self.unused_guarantee_cpus >= self.spec.cpus - CPU_TOLERANCE
    }

    /// Returns whether the job may preempt a task (PROTOCOL, "Preemption"). One of these must hold:
    ///
    /// - The job is within the guarantee of its team, and another team runs the task on borrowed
    ///   capacity.
    /// - The job is urgent and has the higher priority, and either it is within the guarantee or
    ///   the task uses borrowed capacity. This does not apply while the guarantee is overdue.
    ///
    /// `borrowed_cpus` is the number of CPUs that the task's team uses beyond its guarantee.
    fn may_preempt(&self, demand: &TaskDemand, borrowed_cpus: f64) -> bool {
        let uses_borrowed_capacity = borrowed_cpus >= demand.resources.cpus - CPU_TOLERANCE;
        let enforces_guarantee =
            demand.team != self.team && self.is_within_guarantee() && uses_borrowed_capacity;
        let preempts_by_priority = demand.priority < self.spec.priority
            && (self.is_within_guarantee() || uses_borrowed_capacity)
            && self.is_urgent;
        enforces_guarantee || (preempts_by_priority && !self.is_guarantee_overdue)
    }
}

/// The preemptions of one cycle.
struct Preemption<'a> {
    ctx: &'a Context<'a>,
    cluster: &'a mut Cluster,
    /// Upper bound of the resources that each team uses, by team index.
    used: &'a [Resources],
    free_and_stopping: FreeAndStoppingCpus,
    /// CPUs of the tasks preempted in this cycle, by team index.
    preempted_cpus: BTreeMap<usize, f64>,
    /// Tasks that may be preempted if the guarantee is not overdue; collected when first needed.
    savable_victims: Option<Vec<Victim>>,
    /// Tasks that may be preempted for an overdue guarantee; collected when first needed.
    all_victims: Option<Vec<Victim>>,
    /// Number of preempted tasks.
    preempted_tasks: usize,
}

impl Scheduler {
    /// Preempts tasks for blocked jobs, and records that the pending tasks of these jobs take
    /// precedence for one worker lease. Returns the number of preempted tasks.
    pub(in crate::leader) fn preempt(
        &mut self,
        ctx: &Context,
        cluster: &mut Cluster,
        blocked: &[JobId],
        used: &[Resources],
        free: &[FreeCapacity],
    ) -> usize {
        let free_and_stopping = FreeAndStoppingCpus::collect(ctx, cluster, free);
        let mut preemption = Preemption {
            ctx,
            cluster,
            used,
            free_and_stopping,
            preempted_cpus: BTreeMap::new(),
            savable_victims: None,
            all_victims: None,
            preempted_tasks: 0,
        };
        for id in blocked {
            if preemption.preempt_for(self, *id) {
                self.precedence_until.insert(*id, ctx.now + ctx.cfg.worker_lease_ms);
            }
        }
        preemption.preempted_tasks
    }
}

impl Preemption<'_> {
    /// Preempts tasks for a blocked job. Returns whether any task was preempted.
    fn preempt_for(&mut self, scheduler: &Scheduler, id: JobId) -> bool {
        let Some(mut preemptor) = self.build_preemptor(scheduler, id) else { return false };
        let (ctx, cluster) = (self.ctx, &self.cluster);
        let is_guarantee_overdue = preemptor.is_guarantee_overdue;
        // Moved out of `self`, which `preempt_task` borrows mutably, and put back below.
        let victims = match is_guarantee_overdue {
            true => self.all_victims.take(),
            false => self.savable_victims.take(),
        };
        let victims = victims.unwrap_or_else(|| match is_guarantee_overdue {
            true => all_victims(ctx, cluster),
            false => savable_victims(ctx, cluster, &scheduler.feasible_slack_s),
        });
        let preempted_before = self.preempted_tasks;
        for victim in &victims {
            if preemptor.has_enough_cpus() {
                break;
            }
            self.preempt_task(&mut preemptor, victim);
        }
        match is_guarantee_overdue {
            true => self.all_victims = Some(victims),
            false => self.savable_victims = Some(victims),
        }
        self.preempted_tasks > preempted_before
    }

    /// Deducts the free and stopping CPUs that a blocked job may use, and returns the job as a
    /// preemptor. Returns `None` if it needs no more CPUs, may preempt no task, or is unknown.
    fn build_preemptor(&mut self, scheduler: &Scheduler, id: JobId) -> Option<Preemptor> {
        let (ctx, job) = (self.ctx, self.cluster.jobs.get(&id)?);
        let startable_tasks = pending_within_limit(ctx, self.cluster, id, self.used);
        let mut preemptor = Preemptor {
            team: job.team,
            spec: job.spec.clone(),
            spread: zone_spread(self.cluster, id),
            missing_cpus: job.spec.cpus * startable_tasks as f64,
            unused_guarantee_cpus: (ctx.cfg.teams[job.team].guaranteed_cpus
                - self.used[job.team].cpus)
                .max(0.0),
            is_urgent: is_urgent(ctx, scheduler, job),
            is_guarantee_overdue: ctx.cfg.guarantee_wait_ms().is_some_and(|max_wait_ms| {
                scheduler.guarantee_waits.is_overdue(job.team, ctx.now, max_wait_ms)
            }),
        };
        preemptor.missing_cpus -= self.free_and_stopping.deduct(preemptor.missing_cpus, |kind| {
            preemptor.permits_machine(&kind.machine_type, &kind.zone, kind.spot)
        });
        let may_preempt_any = preemptor.is_urgent || preemptor.is_within_guarantee();
        (!preemptor.has_enough_cpus() && may_preempt_any).then_some(preemptor)
    }

    /// Preempts a task if the job may preempt it and its constraints permit the machine.
    fn preempt_task(&mut self, preemptor: &mut Preemptor, victim: &Victim) {
        let demand = &victim.demand;
        let borrowed_cpus = self.used[demand.team].cpus
            - self.preempted_cpus.get(&demand.team).copied().unwrap_or(0.0)
            - self.ctx.cfg.teams[demand.team].guaranteed_cpus;
        if !preemptor.may_preempt(demand, borrowed_cpus) {
            return;
        }
        let slot = self
            .cluster
            .machines
            .get_mut(&victim.machine)
            .filter(|m| preemptor.permits_machine(&m.machine_type, &m.zone, m.spot))
            .and_then(|machine| machine.slots.get_mut(&victim.key))
            .filter(|slot| slot.stop_grace_s.is_none());
        let Some(slot) = slot else { return };
        slot.stop_grace_s = Some(demand.save_s.map_or(0.0, |save_s| save_s + SAVE_MARGIN_S));
        slot.stop_sent_at = None;
        preemptor.missing_cpus -= demand.resources.cpus;
        preemptor.unused_guarantee_cpus -= demand.resources.cpus;
        *self.preempted_cpus.entry(demand.team).or_default() += demand.resources.cpus;
        self.preempted_tasks += 1;
    }
}

/// Returns whether the slack of a job is below [`URGENT_SLACK_LEASES`]. The slack of a service with
/// pending replicas is zero. An array that can meet no objective is not urgent.
fn is_urgent(ctx: &Context, scheduler: &Scheduler, job: &JobState) -> bool {
    let urgent_slack_ms = URGENT_SLACK_LEASES * ctx.cfg.worker_lease_ms as f64;
    let slack_s = scheduler.feasible_slack_s.get(&job.id);
    slack_s.is_some_and(|slack_s| slack_s * 1000.0 < urgent_slack_ms)
}

#[cfg(test)]
#[path = "preemption_tests.rs"]
mod tests;
