//! Machines rented and given back.

use crate::leader::scheduler::capacity::type_index;
use crate::leader::scheduler::reserved_capacity::machines_for_services;
use crate::leader::scheduler::services::machines_with_replicas;
use crate::leader::*;

impl Leader {
    /// What the work at hand asks of each type: machines that it could use now, and
    /// CPU-seconds left by the owners' estimates. A job counts for the type that runs
    /// its tasks at the least price.
    fn demand(&self, ctx: &Context) -> Vec<Demand> {
        let mut out = vec![Demand::default(); ctx.types.len()];
        let mut left: Vec<f64> = ctx.cfg.teams.iter().map(|t| t.cpus_max).collect();
        // Services are counted apart, see `standing`.
        let ends = |j: &&RunJob| j.ended.is_none() && !j.spec.is_service();
        for j in self.cluster.jobs.values().filter(ends) {
            let price = |t: &MachineType| t.price / t.holds(&j.spec) as f64;
            let fit = ctx.types.iter().enumerate();
            let fit = fit.filter(|(_, t)| t.allowed(&j.spec) && t.holds(&j.spec) > 0);
            let Some((i, t)) = fit.min_by(|a, b| price(a.1).total_cmp(&price(b.1))) else {
                continue;
            };
            let n = j.wanted().min(fits(left[j.team], j.spec.cpus));
            left[j.team] -= n as f64 * j.spec.cpus;
            out[i].machines += n as f64 / t.holds(&j.spec) as f64;
            // Running tasks are half done on the average.
            let tasks = j.wanted() as f64 - j.placed.len() as f64 / 2.0;
            let cpus = (tasks * j.spec.cpus).min(ctx.cfg.teams[j.team].cpus_max);
            out[i].work += cpus * j.spec.estimate_s.max(1.0);
        }
        out
    }

    /// Machines of this kind that jobs with wishes of their own still lack: few
    /// machines may be of a type, zone and kind that such a job allows.
    fn lacking(&self, ctx: &Context, live: &[&Machine], kind: &MachineKind) -> usize {
        let Some(i) = type_index(ctx.types, &kind.machine_type) else { return 0 };
        let t = &ctx.types[i];
        let wishes = |s: &JobSpec| !s.spot || s.zone.is_some() || s.types.is_some();
        let fits_kind = |s: &JobSpec, ty: &MachineType, zone: &str, spot: bool| {
            (s.spot || !spot)
                && s.zone.as_deref().is_none_or(|z| z == zone)
                && ty.allowed(s)
                && ty.holds(s) > 0
        };
        let mut most = 0;
        let waits = |j: &&RunJob| j.pending() > 0 && !j.spec.is_service();
        for j in self.cluster.jobs.values().filter(waits).filter(|j| wishes(&j.spec)) {
            if !fits_kind(&j.spec, t, &kind.zone, kind.spot) {
                continue;
            }
            // One that fails everywhere needs a machine for its next try all the same: it may
            // have met faulty ones, and no other job would ask for its kind.
            // More than its team's limit allows would come idle, go back and be rented anew.
            let limit = ctx.cfg.teams[j.team].room((0.0, 0.0), &j.spec);
            let need = j.wanted().min(limit).div_ceil(t.holds(&j.spec)) as usize;
            let ok = |m: &&&Machine| {
                type_index(ctx.types, &m.machine_type)
                    .is_some_and(|i| fits_kind(&j.spec, &ctx.types[i], &m.zone, m.spot))
            };
            most = most.max(need.saturating_sub(live.iter().filter(ok).count()));
        }
        most
    }

    pub(in crate::leader) fn cloud(&mut self, ctx: &Context, calls: &mut Calls) {
        if !ctx.holds_valid_lease || ctx.types.is_empty() {
            return;
        }
        let timeout = ctx.cfg.lease_ms / 2;
        if !self.autoscaler.rental.list_in_flight
            && ctx.now >= self.autoscaler.rental.next_list
            && calls.cloud.take(ctx.now, 1.0, CallPriority::Rest)
        {
            let after = self
                .autoscaler
                .rental
                .listing
                .as_ref()
                .and_then(|l| l.last())
                .map(|m| m.machine.to_string());
            if after.is_none() {
                self.autoscaler.rental.list_sent = ctx.now;
            }
            self.autoscaler.rental.list_in_flight = true;
            calls.cloud(Purpose::List { token: self.token }, CloudRequest::List { after }, timeout);
        }
        if ctx.now >= self.autoscaler.rental.next_plan {
            self.autoscaler.rental.next_plan = ctx.now + ctx.cfg.heartbeat_interval_ms / 2;
            self.plan(ctx, calls);
        }
        let due = |r: &&mut ProvisioningRequest| !r.in_flight && ctx.now >= r.not_before;
        for r in self.autoscaler.rental.pending.iter_mut().filter(due) {
            if !calls.cloud.take(ctx.now, 1.0, CallPriority::Request) {
                break;
            }
            r.in_flight = true;
            let call = CloudRequest::Provision {
                requisition: r.requisition.clone(),
                machine_type: r.kind.machine_type.clone(),
                zone: r.kind.zone.clone(),
                spot: r.kind.spot,
                count: r.count,
            };
            let purpose = Purpose::Rent { token: self.token, requisition: r.requisition.clone() };
            calls.cloud(purpose, call, timeout);
        }
    }

    /// Decides on renting more or giving back. The settings do not say whether money
    /// is an aim, so it always counts: the summed guarantees are held ready on the
    /// cheapest machines, and a dearer one must find work for [`DEAR_PAYS`] of its boot
    /// time, as many times as it is dearer.
    fn plan(&mut self, ctx: &Context, calls: &mut Calls) {
        let per_cpu = |t: &MachineType, spot: bool| {
            let price = if spot { t.spot_price.min(t.price) } else { t.price };
            price / t.cpus.max(1e-9)
        };
        let all = ctx.types.iter().enumerate();
        let Some((cheap, _)) = all.min_by(|a, b| per_cpu(a.1, true).total_cmp(&per_cpu(b.1, true)))
        else {
            return;
        };
        let cheapest = per_cpu(&ctx.types[cheap], true).max(1e-9);
        let guaranteed: f64 = ctx.cfg.teams.iter().map(|t| t.cpus).sum();
        let limits: f64 = ctx.cfg.teams.iter().map(|t| t.cpus_max).sum();
        let mut wants: Vec<Want> = Vec::new();
        // What is held ready follows the work of late, so that nothing idles at the end.
        let demand = self.demand(ctx);
        let fade =
            (ctx.now - self.autoscaler.peak_at) as f64 / (ctx.cfg.policy.idle_s * 3000.0).max(1.0);
        self.autoscaler.peak_at = ctx.now;
        self.autoscaler.peak =
            (self.autoscaler.peak.min(limits) * (-fade).exp()).max(demand[cheap].machines);
        for (i, (d, t)) in demand.iter().zip(ctx.types).enumerate() {
            let cpus = t.cpus.max(1e-9);
            let ready = if i == cheap { guaranteed * ctx.cfg.policy.headroom / cpus } else { 0.0 };
            let ready = ready.min(self.autoscaler.peak);
            let target = d.machines.max(ready).min(limits / cpus).ceil() as usize;
            for spot in [false, true] {
                let ratio = (per_cpu(t, spot) / cheapest).max(1.0);
                let (part, kept) = if ratio < DEAR { (1.0, ready) } else { (DEAR_PAYS, 0.0) };
                let pays = d.work / (part * t.boot_s.max(1.0) * ratio * cpus);
                let most = target.min(pays.max(kept).ceil() as usize);
                let name = t.name.clone();
                let ready = ready.ceil() as usize;
                wants.push(Want { name, spot, ratio, ready, target, most });
            }
        }
        self.note_late(ctx);
        let live: Vec<&Machine> = self
            .cluster
            .machines
            .values()
            .filter(|m| m.decommission == Decommission::No && !m.late && !m.notice(ctx.now))
            .filter(|m| !m.faulty(ctx.now, ctx.cfg.lease_ms))
            .collect();
        let mut have: BTreeMap<String, usize> = BTreeMap::new();
        let mut fleet: BTreeMap<MachineKind, usize> = BTreeMap::new();
        for m in &live {
            *have.entry(m.machine_type.clone()).or_default() += 1;
            let (machine_type, zone) = (m.machine_type.clone(), m.zone.clone());
            *fleet.entry(MachineKind { machine_type, zone, spot: m.spot }).or_default() += 1;
        }
        let count = |name: &str| have.get(name).copied().unwrap_or(0);
        let kinds = self.autoscaler.rental.kinds(ctx.types, |_| 0);
        let standing: BTreeMap<MachineKind, usize> = kinds
            .iter()
            .map(|k| {
                (
                    k.clone(),
                    machines_for_services(ctx, &self.cluster, &self.scheduler.replica_sizes, k),
                )
            })
            .collect();
        let standing = |k: &MachineKind| standing.get(k).copied().unwrap_or(0);
        let lacking: BTreeMap<MachineKind, usize> = kinds
            .into_iter()
            .map(|k| {
                let services = standing(&k).saturating_sub(fleet.get(&k).copied().unwrap_or(0));
                let lacking = self.lacking(ctx, &live, &k).max(services);
                (k, lacking)
            })
            .collect();
        while self.autoscaler.rental.pending.len() < RENTALS_MOST {
            let coming = |k: &MachineKind| self.autoscaler.rental.asked(|o| o == k);
            let all = |k: &MachineKind| fleet.get(k).copied().unwrap_or(0) + coming(k);
            let kinds = self.autoscaler.rental.kinds(ctx.types, all);
            let short = |k: &MachineKind| {
                let want = wants.iter().find(|w| w.name == k.machine_type && w.spot == k.spot);
                let most = want.map_or(0, |w| w.most);
                let asked = self.autoscaler.rental.asked(|o| o.machine_type == k.machine_type);
                let lacking = lacking.get(k).map_or(0, |n| n.saturating_sub(coming(k)));
                most.saturating_sub(count(&k.machine_type) + asked).max(lacking)
            };
            // What is rented beyond a cut cannot be reached.
            let reached =
                |zone: &str| !self.autoscaler.cut_until.contains_key(zone) && !self.unheard(zone);
            let mut open = kinds
                .into_iter()
                .filter(|k| self.autoscaler.rental.open(k, ctx.now) && reached(&k.zone));
            let boots = |k: &MachineKind| {
                let asked = self
                    .autoscaler
                    .rental
                    .asked(|o| (&o.machine_type, &o.zone) == (&k.machine_type, &k.zone));
                let t = ctx.types.iter().find(|t| t.name == k.machine_type);
                t.map_or(0, |t| self.autoscaler.rental.boots.room(t, &k.zone, asked, ctx.now))
            };
            // A team without a limit may have work for more machines than can report here.
            let taken = self.cluster.machines.len() + self.autoscaler.rental.asked(|_| true);
            let left = ctx.cfg.max_machines.saturating_sub(taken);
            let Some((n, kind)) = open.find_map(|k| {
                Some((short(&k).min(boots(&k)).min(left), k)).filter(|(n, _)| *n > 0)
            }) else {
                break;
            };
            self.autoscaler.rental.counter += 1;
            self.autoscaler.rental.pending.push(ProvisioningRequest {
                // Never used again: the token is this leadership's alone.
                requisition: format!("r-{}-{}", self.token.0, self.autoscaler.rental.counter),
                kind,
                count: n.min(RENT_MOST) as u32,
                tries: 0,
                in_flight: false,
                not_before: 0,
            });
        }
        let dear = |w: &Want| {
            let spare = count(&w.name).saturating_sub((w.most * 2).max(w.ready));
            if w.ratio >= DEAR {
                spare
            } else {
                0
            }
        };
        // Work comes in waves: only what was too much for longer than a machine takes
        // to find work for its boot goes back.
        let since = match wants.iter().any(|w| dear(w) > 0) {
            true => *self.autoscaler.surplus_since.get_or_insert(ctx.now),
            false => {
                self.autoscaler.surplus_since = None;
                ctx.now
            }
        };
        let replicas = machines_with_replicas(&self.cluster);
        for w in &wants {
            // Dearer machines take no more work once renting half of them would not pay.
            let boot_ms =
                ctx.types.iter().find(|t| t.name == w.name).map_or(0.0, |t| t.boot_s) * 1000.0;
            let lasting = (ctx.now - since) as f64 >= boot_ms;
            let mut surplus = if lasting { dear(w) } else { 0 };
            // Idle machines go back, the dearer ones first and sooner.
            let mut spare = count(&w.name).saturating_sub(w.target);
            let idle_ms = (ctx.cfg.policy.idle_s * 1000.0 / w.ratio) as Ms;
            let ours = |m: &&mut Machine| m.machine_type == w.name && m.spot == w.spot;
            for m in self.cluster.machines.values_mut().filter(ours) {
                if !m.empty() || m.last_heartbeat.is_none() {
                    m.idle_since = None;
                }
                let (machine_type, zone) = (m.machine_type.clone(), m.zone.clone());
                let kind = MachineKind { machine_type, zone, spot: m.spot };
                let have = fleet.entry(kind.clone()).or_default();
                let kept = *have <= standing(&kind) || replicas.contains(&m.id);
                let up = m.last_heartbeat.is_some() && m.decommission == Decommission::No && !kept;
                let idle =
                    up && m.empty() && ctx.now >= *m.idle_since.get_or_insert(ctx.now) + idle_ms;
                let reason = if idle && spare > 0 {
                    DrainReason::Idle
                } else if up && surplus > 0 {
                    DrainReason::TooExpensive
                } else {
                    continue;
                };
                spare = spare.saturating_sub(1);
                surplus = surplus.saturating_sub(1);
                *have -= 1;
                m.decommission = Decommission::Draining;
                calls.log(MachineEvent::Draining { machine: m.id.clone(), reason });
            }
        }
    }

    /// Marks the machines on their way that are not counted on any more.
    fn note_late(&mut self, ctx: &Context) {
        let boots = &self.autoscaler.rental.boots;
        let mut on_way = Vec::new();
        for m in self.cluster.machines.values_mut() {
            let asked_at = m.asked_at.filter(|_| m.last_heartbeat.is_none() && m.empty());
            let t = ctx.types.iter().find(|t| t.name == m.machine_type);
            m.late = false;
            if let (Some(at), Some(t), Decommission::No) = (asked_at, t, m.decommission) {
                m.late = ctx.now > at + boots.late_after(t, &m.zone, ctx.now);
                m.given_up = ctx.now > at + boots.never_after(t, &m.zone, ctx.now);
                on_way.push((t, m.zone.clone(), m.late));
            }
        }
        self.autoscaler
            .rental
            .boots
            .count(on_way.iter().map(|(t, z, late)| (*t, z.as_str(), *late)));
    }

    pub fn rent_answer(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        requisition: &str,
        reply: CloudReply,
    ) {
        let pending = &mut self.autoscaler.rental.pending;
        let Some(i) = pending.iter().position(|r| r.requisition == requisition) else { return };
        let mut r = pending.remove(i);
        r.in_flight = false;
        match reply {
            CloudReply::Provisioned(ids) => {
                calls.log(MachineEvent::ScaleOut {
                    zone: r.kind.zone.clone(),
                    spot: r.kind.spot,
                    requested: r.count,
                    provisioned: ids.len(),
                });
                if ids.len() < r.count as usize {
                    self.autoscaler.rental.refuse(r.kind.clone(), ctx.now + ctx.cfg.lease_ms);
                }
                for id in ids {
                    if self.cluster.machines.contains_key(&id)
                        || self.autoscaler.returned.contains(&id)
                    {
                        continue;
                    }
                    let k = &r.kind;
                    let mut m = Machine::new(id.clone(), &k.machine_type, &k.zone, k.spot, ctx.now);
                    m.ours = true;
                    m.asked_at = Some(ctx.now);
                    self.cluster.machines.insert(id.clone(), m);
                    self.add_to_registry(ctx, &id);
                }
            }
            CloudReply::NoCapacity => {
                self.autoscaler.rental.refuse(r.kind, ctx.now + ctx.cfg.lease_ms);
            }
            _ => {
                // The outcome is unknown: the same name is asked again, so that what
                // was rented is learnt and nothing is rented twice.
                r.tries += 1;
                r.not_before = ctx.now + ctx.cfg.lease_ms / 10;
                if r.tries < 30 {
                    self.autoscaler.rental.pending.push(r);
                }
                return;
            }
        }
        // What is still wanted is asked for at once.
        self.autoscaler.rental.next_plan = ctx.now;
    }
}

#[cfg(test)]
#[path = "scale_out_tests.rs"]
mod tests;
