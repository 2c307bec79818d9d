//! Which machines take no more work, because they are idle or cost more than they are worth.

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

/// How many machines of a kind may be drained in a plan.
struct DrainBudget {
    /// Machines beyond those that could be used.
    idle: usize,
    /// Machines that have cost more than they are worth for long enough.
    too_expensive: usize,
    /// How long a machine may be idle.
    idle_ms: Ms,
}

impl DrainBudget {
    /// Why a machine is drained, if it is; takes it off the budget. Also notes since when it is
    /// idle.
    fn drain_reason(&mut self, now: Ms, machine: &mut Machine, kept: bool) -> Option<DrainReason> {
        let up =
            machine.last_heartbeat.is_some() && machine.decommission == Decommission::No && !kept;
        let idle = up
            && machine.is_empty()
            && now >= *machine.idle_since.get_or_insert(now) + self.idle_ms;
        let reason = if idle && self.idle > 0 {
            DrainReason::Idle
        } else if up && self.too_expensive > 0 {
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
    /// Drains idle machines, the expensive ones first and sooner, and expensive ones that the
    /// work does not pay for. Machines that services need are kept.
    pub(in crate::leader) fn drain_surplus(
        &mut self,
        ctx: &Context,
        cluster: &mut Cluster,
        plan: FleetPlan,
        calls: &mut Calls,
    ) {
        let FleetPlan { targets, mut fleet, needs } = plan;
        let surplus_since = self.note_surplus(ctx.now, &targets, &fleet);
        let with_replicas = machines_with_replicas(cluster);
        for target in &targets {
            let mut budget = drain_budget(ctx, target, &fleet, surplus_since);
            let of_target = |machine: &&mut Machine| {
                machine.machine_type == target.machine_type && machine.spot == target.spot
            };
            for machine in cluster.machines.values_mut().filter(of_target) {
                if !machine.is_empty() || machine.last_heartbeat.is_none() {
                    machine.idle_since = None;
                }
                let kind = machine.kind();
                let for_services = needs.for_services(&kind);
                let have = fleet.of_kind_mut(kind);
                let kept = *have <= for_services || with_replicas.contains(&machine.id);
                let Some(reason) = budget.drain_reason(ctx.now, machine, kept) else { continue };
                *have -= 1;
                machine.decommission = Decommission::Draining;
                calls.log(MachineEvent::Draining { machine: machine.id.clone(), reason });
            }
        }
    }

    /// Since when there are more machines than the work pays for.
    fn note_surplus(&mut self, now: Ms, targets: &[CapacityTarget], fleet: &Fleet) -> Ms {
        let surplus = targets
            .iter()
            .any(|target| target.too_expensive(fleet.of_type(&target.machine_type)) > 0);
        if surplus {
            return *self.surplus_since.get_or_insert(now);
        }
        self.surplus_since = None;
        now
    }
}

/// How many machines of a kind may be drained. Work comes in waves: only what was too much for
/// longer than a machine takes to boot is.
fn drain_budget(
    ctx: &Context,
    target: &CapacityTarget,
    fleet: &Fleet,
    surplus_since: Ms,
) -> DrainBudget {
    let machines = fleet.of_type(&target.machine_type);
    let boot_ms = machine_type(ctx.types, &target.machine_type).map_or(0.0, |t| t.boot_s) * 1000.0;
    let lasting = (ctx.now - surplus_since) as f64 >= boot_ms;
    DrainBudget {
        idle: machines.saturating_sub(target.usable),
        too_expensive: if lasting { target.too_expensive(machines) } else { 0 },
        idle_ms: (ctx.cfg.policy.idle_s * 1000.0 / target.price_ratio) as Ms,
    }
}
