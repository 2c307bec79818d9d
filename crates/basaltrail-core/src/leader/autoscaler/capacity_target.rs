//! The number of machines of each type that the unfinished jobs and the guarantees justify.
//!
//! The settings do not state whether cost is an objective, so it is always considered. Capacity
//! for the sum of all guarantees is held ready on the cheapest machines. An expensive machine must
//! have work for a fraction of its boot time, multiplied by its price ratio.

use super::demand::TypeDemand;
use crate::leader::Context;
use crate::model::{MachineType, Ms};

/// Ratio of the price per CPU to that of the cheapest kind from which a kind is expensive.
/// Expensive kinds are not held ready.
const EXPENSIVE_RATIO: f64 = 1.5;
/// Fraction of its boot time for which an expensive machine must have work.
const EXPENSIVE_BOOT_FRACTION: f64 = 0.7;
/// Milliseconds in which the peak decays to 1/e, per second that machines may be idle. The decay
/// time is three times the idle time.
const PEAK_DECAY_MS_PER_IDLE_S: f64 = 3000.0;

/// Numbers of machines of one type that are justified. On-demand and spot machines have separate
/// targets.
#[derive(Clone, Debug)]
pub(in crate::leader) struct CapacityTarget {
    /// Name of the machine type.
    pub(in crate::leader) machine_type: String,
    /// Whether the target is for spot machines.
    pub(in crate::leader) spot: bool,
    /// Ratio of its price per CPU to that of the cheapest kind; at least 1.
    pub(in crate::leader) price_ratio: f64,
    /// Total number of machines of the type that are held ready for the guarantees.
    pub(in crate::leader) held_ready_machines: usize,
    /// Total number of machines of the type that could be used now or are held ready.
    pub(in crate::leader) usable_machines: usize,
    /// Number of machines of the type up to which a further one is justified at this price.
    pub(in crate::leader) justified_machines: usize,
}

impl CapacityTarget {
    /// Returns the number of machines beyond twice the justified number, or beyond the number held
    /// ready if that is larger; 0 if the machines are not expensive. With more than twice the
    /// justified number, not even half of the machines would be requested.
    pub(in crate::leader) fn excess_machines(&self, machines: usize) -> usize {
        match self.price_ratio >= EXPENSIVE_RATIO {
            true => {
                machines.saturating_sub((self.justified_machines * 2).max(self.held_ready_machines))
            }
            false => 0,
        }
    }
}

/// Decaying maximum of the machines of the cheapest type that recent demand could use.
#[derive(Clone, Copy, Debug)]
pub(in crate::leader) struct DemandPeak {
    machines: f64,
    updated_at: Ms,
}

impl DemandPeak {
    /// Creates an unbounded peak, since recent demand is not known yet.
    pub(in crate::leader) fn new(now: Ms) -> Self {
        DemandPeak { machines: f64::MAX, updated_at: now }
    }

    /// Decays the peak until now, raises it to the current demand and returns it.
    fn update(&mut self, ctx: &Context, max_machines: f64, demand: f64) -> f64 {
        let decay_ms = (ctx.cfg.policy.idle_s * PEAK_DECAY_MS_PER_IDLE_S).max(1.0);
        let decay = (ctx.now - self.updated_at) as f64 / decay_ms;
        self.updated_at = ctx.now;
        self.machines = (self.machines.min(max_machines) * (-decay).exp()).max(demand);
        self.machines
    }
}

/// Returns the targets for each type, one for on-demand and one for spot machines.
pub(in crate::leader) fn capacity_targets(
    ctx: &Context,
    demand: &[TypeDemand],
    peak: &mut DemandPeak,
) -> Vec<CapacityTarget> {
    let candidates = ctx.machine_types.iter().enumerate();
    let price = |t: &MachineType| price_per_cpu(t, true);
    let Some((cheapest, cheapest_type)) =
        candidates.min_by(|a, b| price(a.1).total_cmp(&price(b.1)))
    else {
        return Vec::new();
    };
    let lowest_price = price(cheapest_type).max(1e-9);
    let guaranteed_cpus: f64 = ctx.cfg.teams.iter().map(|team| team.guaranteed_cpus).sum();
    let limit_cpus: f64 = ctx.cfg.teams.iter().map(|team| team.max_cpus).sum();
    // The capacity held ready follows recent demand, so that no machines are idle after the work
    // has ended.
    let peak_machines = peak.update(ctx, limit_cpus, demand[cheapest].machines);
    let mut targets = Vec::new();
    for (index, (demand, machine_type)) in demand.iter().zip(ctx.machine_types).enumerate() {
        let cpus = machine_type.cpus.max(1e-9);
        let held_ready_machines = match index == cheapest {
            true => guaranteed_cpus * ctx.cfg.policy.headroom / cpus,
            false => 0.0,
        };
        let held_ready_machines = held_ready_machines.min(peak_machines);
        let usable_machines =
            demand.machines.max(held_ready_machines).min(limit_cpus / cpus).ceil() as usize;
        for spot in [false, true] {
            let price_ratio = (price_per_cpu(machine_type, spot) / lowest_price).max(1.0);
            let (boot_fraction, min_justified) = match price_ratio < EXPENSIVE_RATIO {
                true => (1.0, held_ready_machines),
                false => (EXPENSIVE_BOOT_FRACTION, 0.0),
            };
            let boot_cpu_s = boot_fraction * machine_type.boot_s.max(1.0) * price_ratio * cpus;
            let paid_for = demand.cpu_s / boot_cpu_s;
            targets.push(CapacityTarget {
                machine_type: machine_type.name.clone(),
                spot,
                price_ratio,
                held_ready_machines: held_ready_machines.ceil() as usize,
                usable_machines,
                justified_machines: usable_machines
                    .min(paid_for.max(min_justified).ceil() as usize),
            });
        }
    }
    targets
}

fn price_per_cpu(machine_type: &MachineType, spot: bool) -> f64 {
    let price = match spot {
        true => machine_type.spot_price.min(machine_type.price),
        false => machine_type.price,
    };
    price / machine_type.cpus.max(1e-9)
}
