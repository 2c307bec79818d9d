//! Machines rented and given back.

use super::*;
use crate::boot::NEVER;

impl Reign {
    /// What the work at hand asks of each type: machines that it could use now, and
    /// CPU-seconds left by the owners' estimates. A job counts for the type that runs
    /// its tasks at the least price.
    fn demand(&self, ctx: &Ctx) -> Vec<Demand> {
        let mut out = vec![Demand::default(); ctx.types.len()];
        let mut left: Vec<f64> = ctx.cfg.teams.iter().map(|t| t.cpus_max).collect();
        for j in self.jobs.values().filter(|j| j.ended.is_none()) {
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
    fn lacking(&self, ctx: &Ctx, live: &[&Machine], kind: &Kind) -> usize {
        let Some(i) = Self::type_index(ctx.types, &kind.machine_type) else { return 0 };
        let t = &ctx.types[i];
        let wishes = |s: &JobSpec| !s.spot || s.zone.is_some() || s.types.is_some();
        let fits_kind = |s: &JobSpec, ty: &MachineType, zone: &str, spot: bool| {
            (s.spot || !spot)
                && s.zone.as_deref().is_none_or(|z| z == zone)
                && ty.allowed(s)
                && ty.holds(s) > 0
        };
        let mut most = 0;
        for j in self.jobs.values().filter(|j| j.pending() > 0 && wishes(&j.spec)) {
            if !fits_kind(&j.spec, t, &kind.zone, kind.spot) {
                continue;
            }
            // One that fails everywhere needs a machine for its next try all the same: it may
            // have met faulty ones, and no other job would ask for its kind.
            // More than its team's limit allows would come idle, go back and be rented anew.
            let limit = ctx.cfg.teams[j.team].room((0.0, 0.0), &j.spec);
            let need = j.wanted().min(limit).div_ceil(t.holds(&j.spec)) as usize;
            let ok = |m: &&&Machine| {
                Self::type_index(ctx.types, &m.machine_type)
                    .is_some_and(|i| fits_kind(&j.spec, &ctx.types[i], &m.zone, m.spot))
            };
            most = most.max(need.saturating_sub(live.iter().filter(ok).count()));
        }
        most
    }

    pub(super) fn cloud(&mut self, ctx: &Ctx, calls: &mut Calls) {
        if !ctx.entitled || ctx.types.is_empty() {
            return;
        }
        let timeout = ctx.cfg.lease_ms / 2;
        if !self.rental.list_in_flight
            && ctx.now >= self.rental.next_list
            && calls.cloud.take(ctx.now, 1.0, Class::Rest)
        {
            let after =
                self.rental.listing.as_ref().and_then(|l| l.last()).map(|m| m.machine.to_string());
            if after.is_none() {
                self.rental.list_sent = ctx.now;
            }
            self.rental.list_in_flight = true;
            calls.cloud(Purpose::List { token: self.token }, CloudOp::List { after }, timeout);
        }
        if ctx.now >= self.rental.next_plan {
            self.rental.next_plan = ctx.now + ctx.cfg.report_ms / 2;
            self.plan(ctx, calls);
        }
        let due = |r: &&mut Request| !r.in_flight && ctx.now >= r.not_before;
        for r in self.rental.pending.iter_mut().filter(due) {
            if !calls.cloud.take(ctx.now, 1.0, Class::Door) {
                break;
            }
            r.in_flight = true;
            let call = CloudOp::Rent {
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
    fn plan(&mut self, ctx: &Ctx, calls: &mut Calls) {
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
        let fade = (ctx.now - self.peak_at) as f64 / (ctx.cfg.policy.idle_s * 3000.0).max(1.0);
        self.peak_at = ctx.now;
        self.peak = (self.peak.min(limits) * (-fade).exp()).max(demand[cheap].machines);
        for (i, (d, t)) in demand.iter().zip(ctx.types).enumerate() {
            let cpus = t.cpus.max(1e-9);
            let ready = if i == cheap { guaranteed * ctx.cfg.policy.headroom / cpus } else { 0.0 };
            let ready = ready.min(self.peak);
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
            .machines
            .values()
            .filter(|m| m.returning == Returning::No && !m.late && !m.notice(ctx.now))
            .filter(|m| !m.faulty(ctx.now, ctx.cfg.lease_ms))
            .collect();
        let mut have: BTreeMap<String, usize> = BTreeMap::new();
        let mut fleet: BTreeMap<Kind, usize> = BTreeMap::new();
        for m in &live {
            *have.entry(m.machine_type.clone()).or_default() += 1;
            let (machine_type, zone) = (m.machine_type.clone(), m.zone.clone());
            *fleet.entry(Kind { machine_type, zone, spot: m.spot }).or_default() += 1;
        }
        let count = |name: &str| have.get(name).copied().unwrap_or(0);
        let kinds = self.rental.kinds(ctx.types, |_| 0);
        let lacking: BTreeMap<Kind, usize> =
            kinds.into_iter().map(|k| (k.clone(), self.lacking(ctx, &live, &k))).collect();
        while self.rental.pending.len() < RENTALS_MOST {
            let coming = |k: &Kind| self.rental.asked(|o| o == k);
            let all = |k: &Kind| fleet.get(k).copied().unwrap_or(0) + coming(k);
            let kinds = self.rental.kinds(ctx.types, all);
            let short = |k: &Kind| {
                let want = wants.iter().find(|w| w.name == k.machine_type && w.spot == k.spot);
                let most = want.map_or(0, |w| w.most);
                let asked = self.rental.asked(|o| o.machine_type == k.machine_type);
                let lacking = lacking.get(k).map_or(0, |n| n.saturating_sub(coming(k)));
                most.saturating_sub(count(&k.machine_type) + asked).max(lacking)
            };
            // What is rented beyond a cut cannot be reached.
            let reached = |zone: &str| !self.cut_until.contains_key(zone) && !self.unheard(zone);
            let mut open =
                kinds.into_iter().filter(|k| self.rental.open(k, ctx.now) && reached(&k.zone));
            let boots = |k: &Kind| {
                let asked =
                    self.rental.asked(|o| (&o.machine_type, &o.zone) == (&k.machine_type, &k.zone));
                let t = ctx.types.iter().find(|t| t.name == k.machine_type);
                t.map_or(0, |t| self.rental.boots.room(t, &k.zone, asked, ctx.now))
            };
            let Some((n, kind)) =
                open.find_map(|k| Some((short(&k).min(boots(&k)), k)).filter(|(n, _)| *n > 0))
            else {
                break;
            };
            self.rental.counter += 1;
            self.rental.pending.push(Request {
                // Never used again: the token is this reign's alone.
                requisition: format!("r-{}-{}", self.token.0, self.rental.counter),
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
            true => *self.surplus_since.get_or_insert(ctx.now),
            false => {
                self.surplus_since = None;
                ctx.now
            }
        };
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
            for m in self.machines.values_mut().filter(ours) {
                if !m.empty() || m.last_checkin.is_none() {
                    m.idle_since = None;
                }
                let up = m.last_checkin.is_some() && m.returning == Returning::No;
                let idle =
                    up && m.empty() && ctx.now >= *m.idle_since.get_or_insert(ctx.now) + idle_ms;
                let why = if idle && spare > 0 {
                    "idle"
                } else if up && surplus > 0 {
                    "dear"
                } else {
                    continue;
                };
                spare = spare.saturating_sub(1);
                surplus = surplus.saturating_sub(1);
                m.returning = Returning::Draining;
                calls.log(Level::Info, "machine_drain", format!("machine={} why={why}", m.id));
            }
        }
    }

    /// Marks the machines on their way that are not counted on any more.
    fn note_late(&mut self, ctx: &Ctx) {
        let boots = &self.rental.boots;
        let mut on_way = Vec::new();
        for m in self.machines.values_mut() {
            let asked_at = m.asked_at.filter(|_| m.last_checkin.is_none() && m.empty());
            let t = ctx.types.iter().find(|t| t.name == m.machine_type);
            m.late = false;
            if let (Some(at), Some(t), Returning::No) = (asked_at, t, m.returning) {
                m.late = ctx.now > at + boots.late_after(t, &m.zone, ctx.now);
                m.given_up = ctx.now > at + boots.never_after(t, &m.zone, ctx.now);
                on_way.push((t, m.zone.clone(), m.late));
            }
        }
        self.rental.boots.count(on_way.iter().map(|(t, z, late)| (*t, z.as_str(), *late)));
    }

    /// Gives back what is drained, failed or lost.
    pub(super) fn returns(&mut self, ctx: &Ctx, calls: &mut Calls) {
        let ready = ctx.entitled && !ctx.types.is_empty();
        let busy = self.rental.release_in_flight || ctx.now < self.rental.release_not_before;
        if !ready || busy {
            return;
        }
        let boot_ms = ctx.types.iter().map(|t| t.boot_s).fold(1.0, f64::max) * 1000.0;
        let lag = ctx.cfg.list_lag_ms;
        self.note_cuts(ctx);
        let woke = self.woke;
        // After a takeover older work waits for a word of every machine that may hold some.
        // Those few that are silent when the others have spoken are most likely dead, and
        // the answer to their release makes sure of it sooner than their lease does. Many
        // silent ones of a zone are cut off, and come back.
        let unheard = |m: &Machine| !m.accounted && m.greeted == 0 && m.last_checkin.is_none();
        let mut zones: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for m in self.machines.values() {
            let zone = zones.entry(&m.zone).or_default();
            zone.0 += 1;
            zone.1 += unheard(m) as usize;
        }
        let late = ctx.now > self.since.max(woke) + ctx.cfg.lease_ms / 2;
        let few = |zone: &str| late && zones.get(zone).is_some_and(|(n, s)| s * UNHEARD_FEW <= *n);
        let mut go = Vec::new();
        for m in self.machines.values() {
            let age = ctx.now - m.known_since;
            let seen = m.listed.is_some_and(|(_, at)| ctx.now <= at + lag * 4 + 4000);
            let failed = matches!(m.listed, Some((ListedState::Failed, _)));
            let silence = ctx.now - m.heard_at.unwrap_or(m.known_since).max(woke);
            // One that reports and does not hear is of no use.
            let up = m.last_checkin.is_some()
                && !m.lapsed
                && (silence <= ctx.cfg.lease_ms * 3 || !m.empty());
            let cut = self.cut_until.contains_key(&m.zone);
            // Its time is over by its own word; the answer makes sure that it is gone.
            let taken = m.gone_at.is_some_and(|t| ctx.now > t + 500)
                && m.last_checkin.is_some_and(|t| ctx.now > t.max(woke) + ctx.cfg.report_ms);
            let why = if taken {
                "taken"
            } else if unheard(m) && few(&m.zone) {
                "unheard"
            } else if up && m.returning != Returning::No && m.empty() && !m.notice(ctx.now) {
                "drained"
            } else if up && m.empty() && m.faulty(ctx.now, ctx.cfg.lease_ms) {
                "faulty"
            } else if up || !m.accounted {
                continue;
            } else if failed {
                "failed"
            } else if !seen && silence > ctx.cfg.lease_ms + lag * 4 + 4000 && age > lag * 4 + 4000 {
                "gone"
            } else if m.last_checkin.is_some() && !cut && silence > ctx.cfg.lease_ms * 3 {
                "silent"
            } else if m.late && m.given_up {
                "never up"
            } else if m.last_checkin.is_none()
                && !cut
                && age as f64 > boot_ms * NEVER + 2.0 * ctx.cfg.lease_ms as f64
            {
                "unheard for long"
            } else if silence > ctx.cfg.lease_ms * 12 {
                "silent for long"
            } else {
                continue;
            };
            go.push((m.id.clone(), why));
            if go.len() >= RELEASE_MOST {
                break;
            }
        }
        if go.is_empty() || !calls.cloud.take(ctx.now, 1.0, Class::Completion) {
            return;
        }
        for (id, why) in &go {
            if let Some(m) = self.machines.get_mut(id) {
                m.returning = Returning::Releasing;
                let t = ctx.types.iter().find(|t| t.name == m.machine_type);
                if let Some(t) = t.filter(|_| m.given_up && m.last_checkin.is_none()) {
                    self.rental.boots.missed(t, &m.zone, ctx.now);
                }
            }
            calls.log(Level::Info, "machine_return", format!("machine={id} why={why:?}"));
        }
        let go: Vec<MachineId> = go.into_iter().map(|(id, _)| id).collect();
        self.rental.release_in_flight = true;
        let purpose = Purpose::Release { token: self.token, machines: go.clone() };
        calls.cloud(purpose, CloudOp::Release(go), ctx.cfg.lease_ms / 2);
    }

    /// Whether most machines of a zone that were in use under an earlier leader have not
    /// spoken yet: that leader may have ended within a cut.
    fn unheard(&self, zone: &str) -> bool {
        let (mut all, mut silent) = (0, 0);
        for m in self.machines.values().filter(|m| m.expected && m.zone == zone) {
            all += 1;
            silent += m.last_checkin.is_none() as usize;
        }
        all > 2 && silent * 2 > all
    }

    /// Zones most of whose machines went silent: cut off rather than broken. They
    /// count as such for a while after, since their machines come back one by one.
    fn note_cuts(&mut self, ctx: &Ctx) {
        let mut count: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.last_checkin.is_some()) {
            let c = count.entry(&m.zone).or_default();
            c.0 += 1;
            c.1 += m.lapsed as usize;
        }
        for (zone, (n, lapsed)) in count {
            if n > 2 && lapsed * 2 > n {
                self.cut_until.insert(zone.to_string(), ctx.now + ctx.cfg.lease_ms);
            }
        }
        self.cut_until.retain(|_, until| *until > ctx.now);
    }

    /// Whether this node seems to have lost the workers: most of those that reported to
    /// it went silent, in its own zone too, well before their leases end.
    pub(super) fn find_lost(&self, ctx: &Ctx) -> bool {
        let silent_after = ctx.cfg.lease_ms * 2 / 5;
        let (mut all, mut silent, mut near, mut near_silent) = (0, 0, 0, 0);
        for m in self.machines.values().filter(|m| m.returning == Returning::No) {
            let Some(at) = m.last_checkin else { continue };
            let is_silent = (ctx.now > at.max(self.woke) + silent_after) as usize;
            all += 1;
            silent += is_silent;
            if m.zone == ctx.cfg.zone {
                near += 1;
                near_silent += is_silent;
            }
        }
        all > 2 && silent * 3 > all * 2 && near_silent * 3 >= near * 2
    }

    /// Leaves word of the zone with the most machines.
    pub(super) fn note_home(&mut self) {
        let mut count: BTreeMap<&str, usize> = BTreeMap::new();
        for m in self.machines.values() {
            *count.entry(&m.zone).or_default() += 1;
        }
        let home = count.into_iter().max_by_key(|(_, n)| *n).map(|(z, _)| z.to_string());
        if home.is_some() && home != self.home {
            self.home = home;
            self.home_due = true;
        }
    }

    pub fn rent_answer(
        &mut self,
        ctx: &Ctx,
        calls: &mut Calls,
        requisition: &str,
        reply: CloudReply,
    ) {
        let pending = &mut self.rental.pending;
        let Some(i) = pending.iter().position(|r| r.requisition == requisition) else { return };
        let mut r = pending.remove(i);
        r.in_flight = false;
        match reply {
            CloudReply::Rented(ids) => {
                let detail = format!(
                    "zone={} spot={} asked={} got={}",
                    r.kind.zone,
                    r.kind.spot,
                    r.count,
                    ids.len()
                );
                calls.log(Level::Info, "rented", detail);
                if ids.len() < r.count as usize {
                    self.rental.refuse(r.kind.clone(), ctx.now + ctx.cfg.lease_ms);
                }
                for id in ids {
                    if self.machines.contains_key(&id) || self.returned.contains(&id) {
                        continue;
                    }
                    let k = &r.kind;
                    let mut m = Machine::new(id.clone(), &k.machine_type, &k.zone, k.spot, ctx.now);
                    m.ours = true;
                    m.asked_at = Some(ctx.now);
                    self.machines.insert(id.clone(), m);
                    self.enroll(ctx, &id);
                }
            }
            CloudReply::NoCapacity => {
                self.rental.refuse(r.kind, ctx.now + ctx.cfg.lease_ms);
            }
            _ => {
                // The outcome is unknown: the same name is asked again, so that what
                // was rented is learnt and nothing is rented twice.
                r.tries += 1;
                r.not_before = ctx.now + ctx.cfg.lease_ms / 10;
                if r.tries < 30 {
                    self.rental.pending.push(r);
                }
                return;
            }
        }
        // What is still wanted is asked for at once.
        self.rental.next_plan = ctx.now;
    }

    pub fn release_answer(
        &mut self,
        ctx: &Ctx,
        calls: &mut Calls,
        machines: Vec<MachineId>,
        reply: CloudReply,
    ) {
        self.rental.release_in_flight = false;
        if reply == CloudReply::Released {
            for id in machines {
                self.strike(ctx, calls, &id);
            }
        } else {
            // They stay marked: a release that was given up may still be carried out.
            self.rental.release_not_before = ctx.now + ctx.cfg.lease_ms / 10;
        }
    }

    pub fn list_answer(&mut self, ctx: &Ctx, calls: &mut Calls, reply: CloudReply) {
        self.rental.list_in_flight = false;
        let CloudReply::Listed { machines, more } = reply else {
            self.rental.next_list = ctx.now + ctx.cfg.lease_ms / 10;
            self.rental.listing = None;
            return;
        };
        let mut all = self.rental.listing.take().unwrap_or_default();
        all.extend(machines);
        if more && all.len() < 20_000 {
            self.rental.listing = Some(all);
            self.rental.next_list = ctx.now;
            return;
        }
        self.rental.next_list = ctx.now + (ctx.cfg.list_lag_ms / 2).max(1000);
        if !more {
            self.strike_unlisted(ctx, calls, &all);
        }
        for l in all {
            if self.returned.contains(&l.machine) {
                continue;
            }
            let asked_at = ctx.now.saturating_sub((l.age_s.clamp(0.0, 1e6) * 1000.0) as Ms);
            let asked_at = (l.state == ListedState::Booting).then_some(asked_at);
            if let Some(m) = self.machines.get_mut(&l.machine) {
                m.asked_at = m.asked_at.or(asked_at);
                m.listed = Some((l.state, ctx.now));
                m.first_listed.get_or_insert(ctx.now);
                if m.endpoint.is_empty() {
                    m.endpoint = l.endpoint;
                }
                continue;
            }
            // Rented by an earlier leader, or carried out late.
            let mut m = Machine::new(l.machine.clone(), &l.machine_type, &l.zone, l.spot, ctx.now);
            m.endpoint = l.endpoint;
            m.listed = Some((l.state, ctx.now));
            m.first_listed = Some(ctx.now);
            m.known_since = ctx.now.saturating_sub((l.age_s.clamp(0.0, 1e6) * 1000.0) as Ms);
            m.asked_at = asked_at;
            calls.log(Level::Info, "machine_found", format!("machine={}", l.machine));
            self.machines.insert(l.machine.clone(), m);
            self.enroll(ctx, &l.machine);
        }
    }

    /// Machines that a list shows to be gone: one that was listed stays listed until it is
    /// gone, and a list is at most two lags old. What ran there need not wait for its lease.
    fn strike_unlisted(&mut self, ctx: &Ctx, calls: &mut Calls, all: &[ListedMachine]) {
        let oldest = ctx.cfg.list_lag_ms * 5 / 2 + 1000;
        let listed: HashSet<&MachineId> = all.iter().map(|l| &l.machine).collect();
        let gone: Vec<MachineId> = self
            .machines
            .values()
            .filter(|m| m.first_listed.is_some_and(|t| self.rental.list_sent > t + oldest))
            .filter(|m| m.last_checkin.is_none_or(|t| ctx.now > t + ctx.cfg.report_ms))
            .filter(|m| m.returning != Returning::Releasing && !listed.contains(&m.id))
            .map(|m| m.id.clone())
            .collect();
        for id in gone {
            calls.log(Level::Info, "machine_gone", format!("machine={id}"));
            self.strike(ctx, calls, &id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::sample::{a_type, settings};
    use crate::settings::Team;

    /// A leader that ended within a cut leaves a successor that has heard nothing of the
    /// zone beyond it: what it rents there is paid for and cannot be reached.
    #[test]
    fn nothing_is_rented_where_an_earlier_leaders_machines_are_silent() {
        let (cfg, table) = (settings(), Table::new(10));
        let ctx = Ctx { cfg: &cfg, types: &[], table: &table, now: 500, wall: 0, entitled: true };
        let mut reign = Reign::new(&ctx, Token(2), 1);
        for i in 0..8 {
            let zone = if i < 4 { "a" } else { "b" };
            let id = MachineId(format!("m-{i}").into());
            let mut m = Machine::new(id.clone(), "x", zone, false, 0);
            m.expected = true;
            // Zone a has spoken, but for one; of zone b one was rented since.
            m.last_checkin = (i < 3).then_some(400);
            reign.machines.insert(id, m);
        }
        let new = MachineId("m-9".into());
        reign.machines.insert(new.clone(), Machine::new(new, "x", "b", false, 400));
        assert!(!reign.unheard("a") && reign.unheard("b"));
        for m in reign.machines.values_mut().filter(|m| m.zone == "b").take(2) {
            m.last_checkin = Some(500);
        }
        assert!(!reign.unheard("b"), "half of its machines have spoken");
    }

    /// A job that met faulty machines twice is held back to one task. Nobody else wanted
    /// machines of its kind, and it waited for ever.
    #[test]
    fn a_job_that_is_held_back_still_gets_a_machine_of_its_kind() {
        let inf = f64::INFINITY;
        let team = Team { name: "t".into(), cpus: 8.0, cpus_max: inf, gpus: 0.0, gpus_max: inf };
        let cfg = Settings { teams: vec![team], ..settings() };
        let spec: JobSpec = serde_json::from_str(
            r#"{"class":"c","team":"t","priority":"n","tasks":9,"cpus":4,"memory_gb":1,
                "spot":false,"image":"i","image_gb":1,"estimate_s":10}"#,
        )
        .unwrap();
        let types = [a_type()];
        let mut table = Table::new(10);
        table.put_active(JobId(1), 1, JobRecord { at: 0, spec });
        let ctx =
            Ctx { cfg: &cfg, types: &types, table: &table, now: 500, wall: 0, entitled: true };
        let mut reign = Reign::new(&ctx, Token(2), 1);
        let kind = Kind { machine_type: "x".into(), zone: "a".into(), spot: false };
        assert_eq!(reign.lacking(&ctx, &[], &kind), 5);
        // Machines beyond the team's limit would come and go idle.
        let narrow = Team { cpus_max: 16.0, ..cfg.teams[0].clone() };
        let narrow = Settings { teams: vec![narrow], ..cfg.clone() };
        let limited = Ctx { cfg: &narrow, ..ctx };
        assert_eq!(reign.lacking(&limited, &[], &kind), 2);
        let job = reign.jobs.get_mut(&JobId(1)).unwrap();
        for m in ["m-1", "m-2"] {
            job.health.failed(&MachineId(m.into()), 500, cfg.lease_ms);
        }
        assert_eq!(reign.lacking(&ctx, &[], &kind), 1);
        assert_eq!(reign.demand(&ctx)[0].machines, 0.5);
    }
}
