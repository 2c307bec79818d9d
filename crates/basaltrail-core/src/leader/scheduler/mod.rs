//! The scheduler of a leader: which task starts where, and what is preempted for it.
//!
//! The design is ASTRAEA (paper, sections 4 and 5): the team with the lowest degree of fairness
//! goes first. A `cycle` looks at all machines, at most every twentieth of a heartbeat
//! interval; between two of them `backfill` assigns tasks to the machine whose heartbeat is
//! being answered.

pub(in crate::leader) mod assignment;
pub(in crate::leader) mod capacity;
pub(in crate::leader) mod reserved_capacity;
pub(in crate::leader) mod services;

mod accounting;
mod backfill;
mod bin_packing;
mod class_shares;
mod cycle;
mod deadline_feasibility;
mod fair_share_order;
mod guarantees;
mod preemption;
mod starvation;
mod victims;
mod waiting;

#[cfg(test)]
pub(in crate::leader) mod test_cluster;

use crate::events::JobEvent;
use crate::leader::{Context, Leader};
use crate::model::{JobId, MachineId, Ms};
use crate::store::calls::Calls;
use assignment::SchedulerInputs;
use cycle::CycleSnapshot;
use guarantees::GuaranteeWaits;
use rand::rngs::SmallRng;
use reserved_capacity::ReplicaSizes;
use std::collections::{BTreeMap, HashMap};

/// The state of the scheduler.
pub struct Scheduler {
    /// Attempts that this leader has numbered.
    pub(in crate::leader) attempts: u32,
    /// Whether something has changed since the last cycle.
    pub(in crate::leader) changed: bool,
    /// No cycle begins before.
    pub(in crate::leader) next_cycle_at: Ms,
    /// What the last cycle found; gone when more may be in use than it counted.
    pub(in crate::leader) last_cycle: Option<CycleSnapshot>,
    /// The last cycle left jobs without capacity.
    pub(in crate::leader) short_of_capacity: bool,
    /// When a back-off ends or a guarantee is overdue: a cycle is due though nothing changed.
    pub(in crate::leader) wake_at: Ms,
    /// Jobs for which others were preempted, and until when the freed capacity is theirs first.
    pub(in crate::leader) preemption_reservations: BTreeMap<JobId, Ms>,
    /// Jobs that can still meet an objective, with their slack in seconds.
    pub(in crate::leader) feasible_slack_s: HashMap<JobId, f64>,
    /// The largest recent service of each class.
    pub(in crate::leader) replica_sizes: ReplicaSizes,
    /// Since when teams wait for their guarantee.
    pub(in crate::leader) guarantee_waits: GuaranteeWaits,
    /// Machines and tasks looked at in cycles: what the size of the cluster costs.
    pub visited: u64,
    /// CPUs of all machines whose lease is valid.
    pub(in crate::leader) fleet_cpus: f64,
}

impl Default for Scheduler {
    fn default() -> Self {
        Scheduler {
            attempts: 0,
            changed: true,
            next_cycle_at: 0,
            last_cycle: None,
            short_of_capacity: false,
            wake_at: Ms::MAX,
            preemption_reservations: BTreeMap::new(),
            feasible_slack_s: HashMap::new(),
            replica_sizes: ReplicaSizes::default(),
            guarantee_waits: GuaranteeWaits::default(),
            visited: 0,
            fleet_cpus: 0.0,
        }
    }
}

impl Leader {
    /// Runs a scheduling cycle, unless the last one was just now.
    pub(in crate::leader) fn schedule(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        rng: &mut SmallRng,
    ) {
        let (scheduler, inputs) = self.scheduling(ctx, rng);
        let outcome = scheduler.schedule(inputs);
        if outcome.preempted > 0 {
            calls.log(JobEvent::TasksPreempted { tasks: outcome.preempted });
        }
    }

    /// Assigns tasks to the machine whose heartbeat is being answered.
    pub(in crate::leader) fn backfill(
        &mut self,
        ctx: &Context,
        machine: &MachineId,
        rng: &mut SmallRng,
    ) {
        let (scheduler, inputs) = self.scheduling(ctx, rng);
        scheduler.backfill(inputs, machine);
    }

    fn scheduling<'a>(
        &'a mut self,
        ctx: &'a Context,
        rng: &'a mut SmallRng,
    ) -> (&'a mut Scheduler, SchedulerInputs<'a>) {
        let inputs = SchedulerInputs {
            ctx,
            cluster: &mut self.cluster,
            ledger: &mut self.ledger,
            unknown_jobs: &self.failover.unknown_jobs,
            token: self.token,
            elected_revision: self.mod_revision,
            rng,
        };
        (&mut self.scheduler, inputs)
    }
}
