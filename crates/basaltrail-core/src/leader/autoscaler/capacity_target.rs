//! How many machines of each type are worth their price.
//!
//! The settings do not say whether money is an objective, so it always counts: the summed
//! guarantees are held ready on the cheapest machines, and an expensive one must find work for
//! a part of its boot time, as many times as it is more expensive.

use super::demand::TypeDemand;
use crate::leader::Context;
use crate::model::{MachineType, Ms};

/// A kind of machine this many times as expensive per CPU as the cheapest is not held ready.
const EXPENSIVE_RATIO: f64 = 1.5;
/// The part of its boot time for which an expensive machine must find work.
const EXPENSIVE_BOOT_PART: f64 = 0.7;
/// Milliseconds in which the peak fades to 1/e, for each second that machines may be idle:
/// three times as long.
const PEAK_FADE_MS_PER_IDLE_S: f64 = 3000.0;

/// How many machines of one type pay, as on-demand or as spot machines.
#[derive(Clone, Debug)]
pub(in crate::leader) struct CapacityTarget {
    /// The name of the type.
    pub(in crate::leader) machine_type: String,
    /// Whether spot machines.
    pub(in crate::leader) spot: bool,
    /// Price per CPU over that of the cheapest kind; at least 1.
    pub(in crate::leader) price_ratio: f64,
    /// Machines of the type to be held ready for the guarantees, in all.
    pub(in crate::leader) held_ready: usize,
    /// Machines of the type that could be used now or are held ready, in all.
    pub(in crate::leader) usable: usize,
    /// Machines of the type up to which this kind pays.
    pub(in crate::leader) worthwhile: usize,
}

impl CapacityTarget {
    /// Machines beyond twice as many as pay, if the kind is expensive: once that many are too
    /// many, requesting half of them would not pay.
    pub(in crate::leader) fn too_expensive(&self, machines: usize) -> usize {
        match self.price_ratio >= EXPENSIVE_RATIO {
            true => machines.saturating_sub((self.worthwhile * 2).max(self.held_ready)),
            false => 0,
        }
    }
}

/// The most machines of the cheapest type that recent work could use, fading.
#[derive(Clone, Copy, Debug)]
pub(in crate::leader) struct DemandPeak {
    machines: f64,
    at: Ms,
}

impl DemandPeak {
    /// Nothing is known yet of recent work.
    pub(in crate::leader) fn new(now: Ms) -> Self {
        DemandPeak { machines: f64::MAX, at: now }
    }

    /// Lets the peak fade until now and takes the present demand into it.
    fn update(&mut self, ctx: &Context, bound: f64, demand: f64) -> f64 {
        let fade_ms = (ctx.cfg.policy.idle_s * PEAK_FADE_MS_PER_IDLE_S).max(1.0);
        let faded = (ctx.now - self.at) as f64 / fade_ms;
        self.at = ctx.now;
        self.machines = (self.machines.min(bound) * (-faded).exp()).max(demand);
        self.machines
    }
}

/// The targets for each type, as on-demand and as spot machines.
pub(in crate::leader) fn capacity_targets(
    ctx: &Context,
    demand: &[TypeDemand],
    peak: &mut DemandPeak,
) -> Vec<CapacityTarget> {
    let all = ctx.types.iter().enumerate();
    let price = |t: &MachineType| price_per_cpu(t, true);
    let Some((cheapest, cheapest_type)) = all.min_by(|a, b| price(a.1).total_cmp(&price(b.1)))
    else {
        return Vec::new();
    };
    let lowest_price = price(cheapest_type).max(1e-9);
    let guaranteed_cpus: f64 = ctx.cfg.teams.iter().map(|team| team.cpus).sum();
    let limit_cpus: f64 = ctx.cfg.teams.iter().map(|team| team.cpus_max).sum();
    // What is held ready follows the recent work, so that nothing idles at the end.
    let peak_machines = peak.update(ctx, limit_cpus, demand[cheapest].machines);
    let mut targets = Vec::new();
    for (index, (demand, machine_type)) in demand.iter().zip(ctx.types).enumerate() {
        let cpus = machine_type.cpus.max(1e-9);
        let ready = match index == cheapest {
            true => guaranteed_cpus * ctx.cfg.policy.headroom / cpus,
            false => 0.0,
        };
        let ready = ready.min(peak_machines);
        let usable = demand.machines.max(ready).min(limit_cpus / cpus).ceil() as usize;
        for spot in [false, true] {
            let price_ratio = (price_per_cpu(machine_type, spot) / lowest_price).max(1.0);
            let (boot_part, kept) = match price_ratio < EXPENSIVE_RATIO {
                true => (1.0, ready),
                false => (EXPENSIVE_BOOT_PART, 0.0),
            };
            let boot_cpu_s = boot_part * machine_type.boot_s.max(1.0) * price_ratio * cpus;
            let pays = demand.cpu_s / boot_cpu_s;
            targets.push(CapacityTarget {
                machine_type: machine_type.name.clone(),
                spot,
                price_ratio,
                held_ready: ready.ceil() as usize,
                usable,
                worthwhile: usable.min(pays.max(kept).ceil() as usize),
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
