//! Preemption: which tasks are stopped for jobs that must not wait (PROTOCOL, "Preemption").

use super::assignment::{allowed_by_limit, zone_spread};
use super::bin_packing::ZoneSpread;
use super::capacity::{FreeCapacity, CPU_TOLERANCE};
use super::victims::{victims_of_guarantee, victims_of_priority, Victim};
use super::Scheduler;
use crate::jobs::JobState;
use crate::leader::cluster::{Cluster, SAVE_MARGIN_S};
use crate::leader::Context;
use crate::machines::{MachineKind, TaskDemand};
use crate::model::{JobId, JobSpec};
use crate::resources::Resources;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Workers' leases of slack below which a job preempts others. One with more gets capacity as
/// tasks end; each preemption costs a save and a start.
const URGENT_LEASES: f64 = 2.0;

/// CPUs that can soon be used, by kind of machine.
#[derive(Default)]
struct ComingCapacity {
    cpus: BTreeMap<MachineKind, f64>,
}

impl ComingCapacity {
    /// CPUs that are free, or become free as tasks stop.
    fn of(ctx: &Context, cluster: &Cluster, free: &[FreeCapacity]) -> Self {
        let mut coming = ComingCapacity::default();
        for capacity in free {
            let machine_type = ctx.types[capacity.type_index].name.clone();
            let (zone, spot) = (capacity.zone.clone(), capacity.spot);
            coming.add(MachineKind { machine_type, zone, spot }, capacity.free.cpus);
        }
        for machine in cluster.machines.values() {
            let stopping = machine
                .slots
                .values()
                .filter(|slot| slot.holds_resources() && slot.stop_grace_s.is_some());
            let cpus: f64 =
                stopping.filter_map(|slot| slot.demand).map(|demand| demand.resources.cpus).sum();
            if cpus > 0.0 {
                coming.add(machine.kind(), cpus);
            }
        }
        coming
    }

    fn add(&mut self, kind: MachineKind, cpus: f64) {
        *self.cpus.entry(kind).or_default() += cpus;
    }

    /// Takes up to `wanted` CPUs of the kinds that are useful; returns how many it took.
    fn take(&mut self, wanted: f64, useful: impl Fn(&MachineKind) -> bool) -> f64 {
        let mut taken = 0.0;
        for (_, cpus) in self.cpus.iter_mut().filter(|(kind, _)| useful(kind)) {
            let part = cpus.min(wanted - taken);
            *cpus -= part;
            taken += part;
        }
        taken
    }
}

/// A blocked job, and what it may preempt.
struct Preemptor {
    team: usize,
    spec: Arc<JobSpec>,
    spread: ZoneSpread,
    /// CPUs that its waiting tasks lack.
    wanted_cpus: f64,
    /// CPUs that its team lacks of its guarantee.
    guarantee_left: f64,
    /// Whether it can meet an objective and has no slack to wait for tasks to end.
    urgent: bool,
    /// Whether its team has waited too long for its guarantee.
    guarantee_overdue: bool,
}

impl Preemptor {
    /// Capacity that the job may not use is none: tasks there would be stopped in vain.
    fn may_use(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        self.spec.permits(machine_type, zone, spot) && self.spread.allowed_in(&self.spec, zone) > 0
    }

    fn satisfied(&self) -> bool {
        self.wanted_cpus <= CPU_TOLERANCE
    }

    /// Whether its team's guarantee covers one more of its tasks.
    fn within_guarantee(&self) -> bool {
        self.guarantee_left >= self.spec.cpus - CPU_TOLERANCE
    }

    /// Whether PROTOCOL permits to stop this task for the job: one of lower priority, or one that
    /// another team runs beyond its guarantee. `borrowed_cpus` is what the task's team uses
    /// beyond its guarantee.
    fn may_preempt(&self, victim: &TaskDemand, borrowed_cpus: f64) -> bool {
        let borrowed = borrowed_cpus >= victim.resources.cpus - CPU_TOLERANCE;
        let reclaims = victim.team != self.team && self.within_guarantee() && borrowed;
        let outranks = victim.priority < self.spec.priority
            && (self.within_guarantee() || borrowed)
            && self.urgent;
        reclaims || (outranks && !self.guarantee_overdue)
    }
}

/// Preempts for the blocked jobs of one cycle.
struct Preemption<'a> {
    ctx: &'a Context<'a>,
    cluster: &'a mut Cluster,
    /// What each team may have in use, by team index.
    used: &'a [Resources],
    coming: ComingCapacity,
    /// CPUs of preempted tasks, by team index.
    freed_cpus: BTreeMap<usize, f64>,
    /// Tasks that can save; found when first needed.
    victims: Option<Vec<Victim>>,
    /// Tasks that may be stopped for a guarantee; found when first needed.
    guarantee_victims: Option<Vec<Victim>>,
    preempted: usize,
}

impl Scheduler {
    /// Orders tasks to stop for the blocked jobs that must not wait, and reserves the freed
    /// capacity for these. Returns how many tasks.
    pub(in crate::leader) fn preempt(
        &mut self,
        ctx: &Context,
        cluster: &mut Cluster,
        blocked: &[JobId],
        used: &[Resources],
        free: &[FreeCapacity],
    ) -> usize {
        let coming = ComingCapacity::of(ctx, cluster, free);
        let mut preemption = Preemption {
            ctx,
            cluster,
            used,
            coming,
            freed_cpus: BTreeMap::new(),
            victims: None,
            guarantee_victims: None,
            preempted: 0,
        };
        for id in blocked {
            if preemption.preempt_for(self, *id) {
                self.preemption_reservations.insert(*id, ctx.now + ctx.cfg.lease_ms);
            }
        }
        preemption.preempted
    }
}

impl Preemption<'_> {
    /// Preempts for a blocked job; true if a task was ordered to stop.
    fn preempt_for(&mut self, scheduler: &Scheduler, id: JobId) -> bool {
        let Some(mut preemptor) = self.preemptor(scheduler, id) else { return false };
        let (ctx, cluster) = (self.ctx, &self.cluster);
        // Taken out while tasks are stopped, and put back after.
        let overdue = preemptor.guarantee_overdue;
        let victims = match overdue {
            true => self.guarantee_victims.take(),
            false => self.victims.take(),
        };
        let victims = victims.unwrap_or_else(|| match overdue {
            true => victims_of_guarantee(ctx, cluster),
            false => victims_of_priority(ctx, cluster, &scheduler.feasible_slack_s),
        });
        let before = self.preempted;
        for victim in &victims {
            if preemptor.satisfied() {
                break;
            }
            self.stop(&mut preemptor, victim);
        }
        match overdue {
            true => self.guarantee_victims = Some(victims),
            false => self.victims = Some(victims),
        }
        self.preempted > before
    }

    /// What a blocked job wants, beyond what becomes free anyway; nothing if it may not preempt.
    fn preemptor(&mut self, scheduler: &Scheduler, id: JobId) -> Option<Preemptor> {
        let (ctx, job) = (self.ctx, self.cluster.jobs.get(&id)?);
        let allowed = allowed_by_limit(ctx, self.cluster, id, self.used);
        let mut preemptor = Preemptor {
            team: job.team,
            spec: job.spec.clone(),
            spread: zone_spread(self.cluster, id),
            wanted_cpus: job.spec.cpus * allowed as f64,
            guarantee_left: (ctx.cfg.teams[job.team].cpus - self.used[job.team].cpus).max(0.0),
            urgent: is_urgent(ctx, scheduler, job),
            guarantee_overdue: ctx.cfg.guarantee_patience_ms().is_some_and(|patience| {
                scheduler.guarantee_waits.overdue(job.team, ctx.now, patience)
            }),
        };
        preemptor.wanted_cpus -= self.coming.take(preemptor.wanted_cpus, |kind| {
            preemptor.may_use(&kind.machine_type, &kind.zone, kind.spot)
        });
        let entitled = preemptor.urgent || preemptor.within_guarantee();
        (!preemptor.satisfied() && entitled).then_some(preemptor)
    }

    /// Orders a task to stop, if the job may preempt it and use its machine.
    fn stop(&mut self, preemptor: &mut Preemptor, victim: &Victim) {
        let demand = &victim.demand;
        let borrowed_cpus = self.used[demand.team].cpus
            - self.freed_cpus.get(&demand.team).copied().unwrap_or(0.0)
            - self.ctx.cfg.teams[demand.team].cpus;
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
        preemptor.wanted_cpus -= demand.resources.cpus;
        preemptor.guarantee_left -= demand.resources.cpus;
        *self.freed_cpus.entry(demand.team).or_default() += demand.resources.cpus;
        self.preempted += 1;
    }
}

/// Whether a job can meet an objective and has no slack to wait for tasks to end.
fn is_urgent(ctx: &Context, scheduler: &Scheduler, job: &JobState) -> bool {
    let urgent_ms = URGENT_LEASES * ctx.cfg.lease_ms as f64;
    let slack_s = scheduler.feasible_slack_s.get(&job.id);
    slack_s.is_some_and(|slack_s| slack_s * 1000.0 < urgent_ms)
}

#[cfg(test)]
#[path = "preemption_tests.rs"]
mod tests;
