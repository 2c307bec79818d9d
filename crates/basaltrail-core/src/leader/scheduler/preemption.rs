//! Preemption: stops tasks for jobs that must not wait (PROTOCOL, "Preemption").

use super::assignment::{pending_within_limit, zone_spread};
use super::bin_packing::ZoneSpread;
use super::capacity::{FreeCapacity, CPU_TOLERANCE};
use super::victims::{guarantee_victims, priority_victims, Victim};
use super::Scheduler;
use crate::jobs::JobState;
use crate::leader::cluster::{Cluster, SAVE_MARGIN_S};
use crate::leader::Context;
use crate::machines::{MachineKind, TaskDemand};
use crate::model::{JobId, JobSpec};
use crate::resources::Resources;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Slack below which a job may preempt others, in worker leases. A job with more slack waits for
/// tasks to end, since each preemption costs a save and a restart.
const URGENT_LEASES: f64 = 2.0;

/// CPUs that are free or soon will be, by kind of machine.
#[derive(Default)]
struct UpcomingCapacity {
    cpus_by_kind: BTreeMap<MachineKind, f64>,
}

impl UpcomingCapacity {
    /// Counts the CPUs that are free and those of tasks that are stopping.
    fn collect(ctx: &Context, cluster: &Cluster, free: &[FreeCapacity]) -> Self {
        let mut upcoming = UpcomingCapacity::default();
        for capacity in free {
            let machine_type = ctx.machine_types[capacity.type_index].name.clone();
            let (zone, spot) = (capacity.zone.clone(), capacity.spot);
            upcoming.add(MachineKind { machine_type, zone, spot }, capacity.free.cpus);
        }
        for machine in cluster.machines.values() {
            let stopping = machine
                .slots
                .values()
                .filter(|slot| slot.holds_resources() && slot.stop_grace_s.is_some());
            let cpus: f64 =
                stopping.filter_map(|slot| slot.demand).map(|demand| demand.resources.cpus).sum();
            if cpus > 0.0 {
                upcoming.add(machine.kind(), cpus);
            }
        }
        upcoming
    }

    fn add(&mut self, kind: MachineKind, cpus: f64) {
        *self.cpus_by_kind.entry(kind).or_default() += cpus;
    }

    /// Claims up to `wanted_cpus` CPUs on kinds of machine that are usable. Returns the number
    /// claimed.
    fn claim(&mut self, wanted_cpus: f64, is_usable: impl Fn(&MachineKind) -> bool) -> f64 {
        let mut claimed_cpus = 0.0;
        for (_, cpus) in self.cpus_by_kind.iter_mut().filter(|(kind, _)| is_usable(kind)) {
            let part = cpus.min(wanted_cpus - claimed_cpus);
            *cpus -= part;
            claimed_cpus += part;
        }
        claimed_cpus
    }
}

/// A blocked job that may preempt tasks.
struct Preemptor {
    team: usize,
    spec: Arc<JobSpec>,
    spread: ZoneSpread,
    /// CPUs that its pending tasks still need.
    missing_cpus: f64,
    /// CPUs of its team's guarantee that the team does not use.
    unused_guarantee_cpus: f64,
    /// Whether it can meet an objective only if it does not wait for tasks to end.
    is_urgent: bool,
    /// Whether its team has waited too long for its guarantee.
    is_guarantee_overdue: bool,
}

impl Preemptor {
    /// Returns whether tasks of the job may run on such a machine. Preempting tasks on any other
    /// machine would not help the job.
    fn may_use(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.spec.permits(machine_type, zone, spot)
            && self.spread.tasks_allowed_in(&self.spec, zone) > 0
    }

    fn is_satisfied(&self) -> bool {
        self.missing_cpus <= CPU_TOLERANCE
    }

    /// Returns whether its team's guarantee covers one more of its tasks.
    fn is_within_guarantee(&self) -> bool {
        self.unused_guarantee_cpus >= self.spec.cpus - CPU_TOLERANCE
    }

    /// Returns whether the job may preempt this task (PROTOCOL, "Preemption"): a task of lower
    /// priority, or one that another team runs beyond its guarantee. `borrowed_cpus` is the number
    /// of CPUs that the task's team uses beyond its guarantee.
    fn may_preempt(&self, victim: &TaskDemand, borrowed_cpus: f64) -> bool {
        let is_borrowed = borrowed_cpus >= victim.resources.cpus - CPU_TOLERANCE;
        let reclaims = victim.team != self.team && self.is_within_guarantee() && is_borrowed;
        let outranks = victim.priority < self.spec.priority
            && (self.is_within_guarantee() || is_borrowed)
            && self.is_urgent;
        reclaims || (outranks && !self.is_guarantee_overdue)
    }
}

/// The preemptions of one cycle.
struct Preemption<'a> {
    ctx: &'a Context<'a>,
    cluster: &'a mut Cluster,
    /// Upper bound of the resources that each team uses, by team index.
    used: &'a [Resources],
    upcoming: UpcomingCapacity,
    /// CPUs of preempted tasks, by team index.
    freed_cpus: BTreeMap<usize, f64>,
    /// Tasks that may be preempted by higher priorities; collected when first needed.
    priority_victims: Option<Vec<Victim>>,
    /// Tasks that may be preempted for an overdue guarantee; collected when first needed.
    guarantee_victims: Option<Vec<Victim>>,
    /// Number of preempted tasks.
    preempted_tasks: usize,
}

impl Scheduler {
    /// Preempts tasks for the blocked jobs that must not wait, and reserves the freed capacity for
    /// these jobs. Returns the number of preempted tasks.
    pub(in crate::leader) fn preempt(
        &mut self,
        ctx: &Context,
        cluster: &mut Cluster,
        blocked: &[JobId],
        used: &[Resources],
        free: &[FreeCapacity],
    ) -> usize {
        let upcoming = UpcomingCapacity::collect(ctx, cluster, free);
        let mut preemption = Preemption {
            ctx,
            cluster,
            used,
            upcoming,
            freed_cpus: BTreeMap::new(),
            priority_victims: None,
            guarantee_victims: None,
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
    /// Preempts tasks for a blocked job. Returns true if any task was preempted.
    fn preempt_for(&mut self, scheduler: &Scheduler, id: JobId) -> bool {
        let Some(mut preemptor) = self.build_preemptor(scheduler, id) else { return false };
        let (ctx, cluster) = (self.ctx, &self.cluster);
        // Moved out of `self` during the preemptions, and put back afterwards.
        let is_guarantee_overdue = preemptor.is_guarantee_overdue;
        let victims = match is_guarantee_overdue {
            true => self.guarantee_victims.take(),
            false => self.priority_victims.take(),
        };
        let victims = victims.unwrap_or_else(|| match is_guarantee_overdue {
            true => guarantee_victims(ctx, cluster),
            false => priority_victims(ctx, cluster, &scheduler.feasible_slack_s),
        });
        let preempted_before = self.preempted_tasks;
        for victim in &victims {
            if preemptor.is_satisfied() {
                break;
            }
            self.preempt_task(&mut preemptor, victim);
        }
        match is_guarantee_overdue {
            true => self.guarantee_victims = Some(victims),
            false => self.priority_victims = Some(victims),
        }
        self.preempted_tasks > preempted_before
    }

    /// Returns a blocked job as a preemptor. Claims the upcoming capacity that it may use; returns
    /// `None` if that is enough or if the job may not preempt.
    fn build_preemptor(&mut self, scheduler: &Scheduler, id: JobId) -> Option<Preemptor> {
        let (ctx, job) = (self.ctx, self.cluster.jobs.get(&id)?);
        let allowed = pending_within_limit(ctx, self.cluster, id, self.used);
        let mut preemptor = Preemptor {
            team: job.team,
            spec: job.spec.clone(),
            spread: zone_spread(self.cluster, id),
            missing_cpus: job.spec.cpus * allowed as f64,
            unused_guarantee_cpus: (ctx.cfg.teams[job.team].guaranteed_cpus
                - self.used[job.team].cpus)
                .max(0.0),
            is_urgent: is_urgent(ctx, scheduler, job),
            is_guarantee_overdue: ctx.cfg.guarantee_wait_ms().is_some_and(|max_wait_ms| {
                scheduler.guarantee_waits.is_overdue(job.team, ctx.now, max_wait_ms)
            }),
        };
        preemptor.missing_cpus -= self.upcoming.claim(preemptor.missing_cpus, |kind| {
            preemptor.may_use(&kind.machine_type, &kind.zone, kind.spot)
        });
        let may_preempt = preemptor.is_urgent || preemptor.is_within_guarantee();
        (!preemptor.is_satisfied() && may_preempt).then_some(preemptor)
    }

    /// Preempts a task if the job may preempt it and may use its machine.
    fn preempt_task(&mut self, preemptor: &mut Preemptor, victim: &Victim) {
        let demand = &victim.demand;
        let borrowed_cpus = self.used[demand.team].cpus
            - self.freed_cpus.get(&demand.team).copied().unwrap_or(0.0)
            - self.ctx.cfg.teams[demand.team].guaranteed_cpus;
        if !preemptor.may_preempt(demand, borrowed_cpus) {
            return;
        }
        let slot = self
            .cluster
            .machines
            .get_mut(&victim.machine)
            .filter(|m| preemptor.may_use(&m.machine_type, &m.zone, m.spot))
            .and_then(|machine| machine.slots.get_mut(&victim.key))
            .filter(|slot| slot.stop_grace_s.is_none());
        let Some(slot) = slot else { return };
        slot.stop_grace_s = Some(demand.save_s.map_or(0.0, |save_s| save_s + SAVE_MARGIN_S));
        slot.stop_sent_at = None;
        preemptor.missing_cpus -= demand.resources.cpus;
        preemptor.unused_guarantee_cpus -= demand.resources.cpus;
        *self.freed_cpus.entry(demand.team).or_default() += demand.resources.cpus;
        self.preempted_tasks += 1;
    }
}

/// Returns whether a job can meet an objective only if it does not wait for tasks to end.
fn is_urgent(ctx: &Context, scheduler: &Scheduler, job: &JobState) -> bool {
    let urgent_ms = URGENT_LEASES * ctx.cfg.worker_lease_ms as f64;
    let slack_s = scheduler.feasible_slack_s.get(&job.id);
    slack_s.is_some_and(|slack_s| slack_s * 1000.0 < urgent_ms)
}

#[cfg(test)]
#[path = "preemption_tests.rs"]
mod tests;
