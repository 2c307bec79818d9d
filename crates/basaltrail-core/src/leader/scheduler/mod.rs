//! The leader's scheduler: assigns tasks to machines, and preempts tasks for blocked jobs.
//!
//! The algorithm is ASTRAEA (sections 4 and 5 of the paper): the team with the lowest degree of
//! fairness gets capacity first. A scheduling `cycle` covers all machines and runs at most once per
//! twentieth of a heartbeat interval. Between cycles, `backfill` assigns tasks to the machine whose
//! heartbeat is being answered.

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
use reserved_capacity::RecentServices;
use std::collections::{BTreeMap, HashMap};

/// The state of the scheduler.
pub struct Scheduler {
    /// Counter of the last attempt number that this leader issued.
    pub(in crate::leader) attempt_counter: u32,
    /// Whether a change since the last cycle makes another one due.
    pub(in crate::leader) cycle_due: bool,
    /// Earliest start of the next cycle.
    pub(in crate::leader) earliest_cycle_at: Ms,
    /// Snapshot of the last cycle; `None` once teams may use more than the cycle counted.
    pub(in crate::leader) last_cycle: Option<CycleSnapshot>,
    /// Whether the last cycle had blocked jobs, whose pending tasks it could not all assign.
    pub(in crate::leader) has_blocked_jobs: bool,
    /// Time at which a cycle is due even if nothing has changed, for example when a back-off ends;
    /// `Ms::MAX` if there is none.
    pub(in crate::leader) wake_at: Ms,
    /// Jobs for which tasks were preempted, each with the time until which its tasks are assigned
    /// ahead of the fair-share order.
    pub(in crate::leader) precedence_until: BTreeMap<JobId, Ms>,
    /// Slack in seconds of each array that can still meet an objective, and zero for each service
    /// with pending replicas.
    pub(in crate::leader) feasible_slack_s: HashMap<JobId, f64>,
    /// Largest recent high-priority service of each class.
    pub(in crate::leader) recent_services: RecentServices,
    /// Start of each team's wait for its guarantee.
    pub(in crate::leader) guarantee_waits: GuaranteeWaits,
    /// Number of machines and tasks examined so far, which shows how the work grows with the size
    /// of the cluster.
    pub visit_count: u64,
    /// CPUs of all machines with a valid worker lease.
    pub(in crate::leader) fleet_cpus: f64,
}

impl Default for Scheduler {
    fn default() -> Self {
        Scheduler {
            attempt_counter: 0,
            cycle_due: true,
            earliest_cycle_at: 0,
            last_cycle: None,
            has_blocked_jobs: false,
            wake_at: Ms::MAX,
            precedence_until: BTreeMap::new(),
            feasible_slack_s: HashMap::new(),
            recent_services: RecentServices::default(),
            guarantee_waits: GuaranteeWaits::default(),
            visit_count: 0,
            fleet_cpus: 0.0,
        }
    }
}

impl Leader {
    /// Runs a scheduling cycle, unless no machine type is known or the minimum interval since the
    /// last cycle has not passed. Logs the number of preempted tasks.
    pub(in crate::leader) fn schedule(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        rng: &mut SmallRng,
    ) {
        let (scheduler, inputs) = self.scheduler_and_inputs(ctx, rng);
        let result = scheduler.schedule(inputs);
        if result.preempted_tasks > 0 {
            calls.log(JobEvent::TasksPreempted { tasks: result.preempted_tasks });
        }
    }

    /// Assigns tasks to the machine whose heartbeat is being answered.
    pub(in crate::leader) fn backfill(
        &mut self,
        ctx: &Context,
        machine: &MachineId,
        rng: &mut SmallRng,
    ) {
        let (scheduler, inputs) = self.scheduler_and_inputs(ctx, rng);
        scheduler.backfill(inputs, machine);
    }

    /// Borrows the scheduler and its inputs from the other parts of the leader.
    fn scheduler_and_inputs<'a>(
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
