//! Draining of machines that are idle or cost more than the work on them justifies.

use super::capacity_target::CapacityTarget;
use super::fleet::Fleet;
use super::scale_out::FleetPlan;
use super::Autoscaler;
use crate::events::{DrainReason, MachineEvent};
use crate::leader::cluster::Cluster;
use crate::leader::scheduler::capacity::machine_type;
use crate::leader::scheduler::services::machines_with_replicas;
use crate::leader::Context;
use crate::machines::{Decommission, Machine};
use crate::model::Ms;
use crate::store::calls::Calls;

/// Number of machines of one type, spot or on-demand, that a plan may drain.
struct DrainBudget {
    /// Machines beyond those that could be used.
    idle: usize,
    /// Machines that have been too expensive for longer than a machine takes to boot.
    too_expensive: usize,
    /// Milliseconds for which a machine may be idle.
    idle_ms: Ms,
}

impl DrainBudget {
    /// Returns the reason to drain the machine, if there is one, and deducts it from the budget.
    /// Also records the time since which the machine is idle.
    fn claim_drain(
        &mut self,
        now: Ms,
        machine: &mut Machine,
        must_stay: bool,
    ) -> Option<DrainReason> {
        let can_drain = machine.last_heartbeat_at.is_some()
            && machine.decommission == Decommission::None
            && !must_stay;
        let is_idle = can_drain
            && machine.is_empty()
            && now >= *machine.idle_since.get_or_insert(now) + self.idle_ms;
        let reason = if is_idle && self.idle > 0 {
            DrainReason::Idle
        } else if can_drain && self.too_expensive > 0 {
            DrainReason::TooExpensive
        } else {
            return None;
        };
        self.idle = self.idle.saturating_sub(1);
        self.too_expensive = self.too_expensive.saturating_sub(1);
        Some(reason)
    }
}

impl Autoscaler {
    /// Drains idle machines, the expensive ones sooner, and expensive machines that the jobs do not
    /// justify. Machines that services need are kept.
    pub(in crate::leader) fn drain_surplus(
        &mut self,
        ctx: &Context,
        cluster: &mut Cluster,
        plan: FleetPlan,
        calls: &mut Calls,
    ) {
        let FleetPlan { targets, mut fleet, needs } = plan;
        let surplus_since = self.update_surplus(ctx.now, &targets, &fleet);
        let with_replicas = machines_with_replicas(cluster);
        for target in &targets {
            let mut budget = drain_budget(ctx, target, &fleet, surplus_since);
            let is_of_target = |machine: &&mut Machine| {
                machine.machine_type == target.machine_type && machine.spot == target.spot
            };
            for machine in cluster.machines.values_mut().filter(is_of_target) {
                if !machine.is_empty() || machine.last_heartbeat_at.is_none() {
                    machine.idle_since = None;
                }
                let kind = machine.kind();
                let for_services = needs.for_services(&kind);
                let machines_of_kind = fleet.of_kind_mut(kind);
                let must_stay =
                    *machines_of_kind <= for_services || with_replicas.contains(&machine.id);
                let Some(reason) = budget.claim_drain(ctx.now, machine, must_stay) else {
                    continue;
                };
                *machines_of_kind -= 1;
                machine.decommission = Decommission::Draining;
                calls.log(MachineEvent::Draining { machine: machine.id.clone(), reason });
            }
        }
    }

    /// Updates and returns the time since which there have been more machines than the jobs
    /// justify.
    fn update_surplus(&mut self, now: Ms, targets: &[CapacityTarget], fleet: &Fleet) -> Ms {
        let has_surplus = targets
            .iter()
            .any(|target| target.excess_machines(fleet.of_type(&target.machine_type)) > 0);
        if has_surplus {
            return *self.surplus_since.get_or_insert(now);
        }
        self.surplus_since = None;
        now
    }
}

/// Returns how many machines of the target's kind may be drained. Demand fluctuates, so machines
/// count as too expensive only if the surplus has lasted longer than a machine takes to boot.
fn drain_budget(
    ctx: &Context,
    target: &CapacityTarget,
    fleet: &Fleet,
    surplus_since: Ms,
) -> DrainBudget {
    let machines = fleet.of_type(&target.machine_type);
    let boot_ms =
        machine_type(ctx.machine_types, &target.machine_type).map_or(0.0, |t| t.boot_s) * 1000.0;
    let is_lasting = (ctx.now - surplus_since) as f64 >= boot_ms;
    DrainBudget {
        idle: machines.saturating_sub(target.usable_machines),
        too_expensive: if is_lasting { target.excess_machines(machines) } else { 0 },
        idle_ms: (ctx.cfg.policy.idle_s * 1000.0 / target.price_ratio) as Ms,
    }
}
