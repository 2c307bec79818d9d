//! Rounds: who goes first, where to, and who makes room.

use super::guarantees::TeamNeed;
use crate::leader::*;

/// What a pass over all machines found, for those that report before the next one.
#[derive(Default)]
pub(in crate::leader) struct Pass {
    /// By team, as ranked; those that found room since are still among them.
    waiting: Vec<Vec<JobId>>,
    /// What may be in use by team. What has ended since still counts.
    used: Vec<(f64, f64)>,
    /// Jobs that waited long and found no room for a first task, and the machine that is
    /// kept for the first of them.
    unbegun: Vec<JobId>,
    held: Option<MachineId>,
    /// Services that go before the ranking, and the room that is kept for more.
    pressing: Vec<JobId>,
    ready: super::services::ReservedCapacity,
}

impl Leader {
    pub(in crate::leader) fn type_index(types: &[MachineType], name: &str) -> Option<usize> {
        types.iter().position(|t| t.name == name)
    }

    pub(in crate::leader) fn usable(&self, ctx: &Context, m: &Machine) -> bool {
        m.reconciled
            && m.hears
            && ctx.now >= m.deaf_until
            && m.durable
            && !m.lease_expired
            && m.decommission == Decommission::No
            && !m.notice(ctx.now)
            && !m.faulty(ctx.now, ctx.cfg.lease_ms)
            && ctx.now >= m.no_room_until
            && m.last_heartbeat.is_some_and(|t| ctx.now <= t + ctx.cfg.heartbeat_interval_ms * 2)
    }

    /// What a machine has left for new tasks.
    fn room(&self, ctx: &Context, m: &Machine) -> Option<Room> {
        let i = Self::type_index(ctx.types, &m.machine_type).filter(|_| self.usable(ctx, m))?;
        let (c, g, r) = m.used();
        let t = &ctx.types[i];
        (t.cpus - c > 1e-9).then(|| Room {
            machine: m.id.clone(),
            type_index: i,
            zone: m.zone.clone(),
            spot: m.spot,
            cpus: t.cpus - c,
            gpus: t.gpus - g,
            memory_gb: t.memory_gb - r,
        })
    }

    /// (cpus, gpus) per team that may be in use anywhere.
    pub(in crate::leader) fn usage(&self, ctx: &Context) -> Vec<(f64, f64)> {
        let mut used = vec![(0.0, 0.0); ctx.cfg.teams.len()];
        for m in self.cluster.machines.values() {
            let unsure = !m.reconciled || m.entries.values().any(|e| e.holds() && e.need.is_none());
            if unsure {
                // An earlier leader's tasks of any team may fill it.
                let (c, g) = Self::type_index(ctx.types, &m.machine_type)
                    .map_or((f64::INFINITY, f64::INFINITY), |i| {
                        (ctx.types[i].cpus, ctx.types[i].gpus)
                    });
                for u in used.iter_mut() {
                    u.0 += c;
                    u.1 += g;
                }
                continue;
            }
            for n in m.entries.values().filter(|e| e.holds()).filter_map(|e| e.need) {
                used[n.team].0 += n.cpus;
                used[n.team].1 += n.gpus;
            }
        }
        used
    }

    /// Kinds of the machines on which tasks of earlier leaders may run that no report has
    /// shown to this leader yet.
    fn unreconciled_kinds(&self) -> BTreeSet<MachineKind> {
        self.cluster.machines.values().filter(|m| !m.reconciled).map(Machine::kind).collect()
    }

    /// Whether an earlier leader may have started tasks of this job on a machine that has not
    /// reported to this leader. A job accepted since the takeover cannot have been started,
    /// and no leader of any version starts a task on a kind of machine that its job does
    /// not permit.
    fn may_run_unseen(&self, job: &RunJob, unreconciled: &BTreeSet<MachineKind>) -> bool {
        job.mod_revision <= self.mod_revision
            && unreconciled.iter().any(|kind| kind.permitted_by(&job.spec))
    }

    fn accrue(&mut self, ctx: &Context) -> f64 {
        let teams = ctx.cfg.teams.len();
        let mut running = vec![0.0; teams];
        let mut by_job: HashMap<JobId, f64> = HashMap::new();
        let mut fleet = 0.0;
        for m in self
            .cluster
            .machines
            .values()
            .filter(|m| m.last_heartbeat.is_some() && !m.lease_expired)
        {
            if let Some(i) = Self::type_index(ctx.types, &m.machine_type) {
                fleet += ctx.types[i].cpus;
            }
            for ((t, _), e) in m.entries.iter().filter(|(_, e)| e.runs()) {
                if let Some(n) = e.need {
                    running[n.team] += n.cpus;
                    *by_job.entry(t.job).or_default() += n.cpus;
                }
            }
        }
        let dt = self.ledger.accrue(ctx.cfg, ctx.now, fleet, &running);
        let mut active = vec![0u32; teams];
        for j in self.cluster.jobs.values().filter(|j| j.ended.is_none() && !j.health.suspect()) {
            active[j.team] += 1;
        }
        for j in self.cluster.jobs.values_mut().filter(|j| j.ended.is_none()) {
            let size = (j.spec.tasks - j.done.count().min(j.spec.tasks)) as f64 * j.spec.cpus;
            let share = Ledger::quota(ctx.cfg, j.team, fleet) / active[j.team].max(1) as f64;
            j.account.fair += share.min(size) * dt;
            j.account.received += by_job.get(&j.id).copied().unwrap_or(0.0) * dt;
        }
        fleet
    }

    /// Which jobs can be in time, team by team and the higher priorities first: a team may
    /// begin at once what it lacks of its share, and as much more as its tasks end.
    pub(in crate::leader) fn find_reach(
        &self,
        ctx: &Context,
        used: &[(f64, f64)],
    ) -> HashMap<JobId, f64> {
        let mut reach = HashMap::new();
        for (team, (used, _)) in used.iter().enumerate() {
            let mut open: BTreeMap<Reverse<Priority>, Vec<Candidate>> = BTreeMap::new();
            let (mut cpus, mut work) = (0.0, 0.0);
            let open_here = |j: &&RunJob| j.team == team && j.ended.is_none();
            let (mut standing, mut missing) = (0.0, 0.0);
            for j in self.cluster.jobs.values().filter(open_here).filter(|j| !j.health.suspect()) {
                if j.spec.is_service() {
                    // It has no end and no date: what of it is missing is late already, and
                    // what runs is no work that ends and leaves its room.
                    standing += j.placed.len() as f64 * j.spec.cpus;
                    if j.pending() > 0 {
                        missing += j.pending() as f64 * j.spec.cpus;
                        reach.insert(j.id, 0.0);
                    }
                    continue;
                }
                let need = j.pending() as f64 * j.spec.cpus;
                let all = need + j.placed.len() as f64 * j.spec.cpus;
                cpus += all;
                work += all * j.spec.estimate_s;
                let c = Candidate { job: j.id, need, spares: spares_s(ctx, j) };
                open.entry(Reverse(j.spec.priority)).or_default().push(c);
            }
            let share = match ctx.cfg.teams[team].without_guarantee() {
                // Nobody knows what the others will leave it. By its quota nothing of it
                // could be in time, and its longest tasks would go first.
                true => self.scheduler.fleet_cpus,
                false => Ledger::quota(ctx.cfg, team, self.scheduler.fleet_cpus),
            };
            let share = share.max(*used);
            let per_s = (share - standing).max(0.0) * cpus / work.max(1.0);
            let mut at_once = share - used - missing;
            for (_, candidates) in open {
                let need: f64 = candidates.iter().map(|c| c.need).sum();
                reach.extend(in_reach(candidates, at_once, per_s));
                at_once -= need;
            }
        }
        reach
    }

    pub(in crate::leader) fn place(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        rng: &mut SmallRng,
    ) {
        if ctx.now < self.scheduler.next_place || ctx.types.is_empty() {
            return;
        }
        self.scheduler.changed = false;
        self.scheduler.next_place = ctx.now + ctx.cfg.heartbeat_interval_ms / 20;
        self.scheduler.fleet_cpus = self.accrue(ctx);
        self.scheduler.visited +=
            self.cluster.machines.values().map(|m| 1 + m.entries.len() as u64).sum::<u64>();
        let unreconciled = self.unreconciled_kinds();
        let mut used = self.usage(ctx);
        let mut rooms: Vec<Room> =
            self.cluster.machines.values().filter_map(|m| self.room(ctx, m)).collect();
        self.scheduler.reach = self.find_reach(ctx, &used);
        // Jobs that may get tasks placed now, per team.
        let mut waiting: Vec<Vec<JobId>> = vec![Vec::new(); ctx.cfg.teams.len()];
        let mut tries: Vec<JobId> = Vec::new();
        for j in self.cluster.jobs.values() {
            if j.pending() > 0
                && j.health.not_before() <= ctx.now
                && !self.failover.unknown.contains(&j.id)
                && !self.may_run_unseen(j, &unreconciled)
            {
                match j.health.suspect() {
                    true => tries.push(j.id),
                    false => waiting[j.team].push(j.id),
                }
            }
        }
        for ids in &mut waiting {
            self.rank(ctx, ids);
        }
        let mut blocked: Vec<JobId> = Vec::new();
        // Were the room cleared for a job given by degree, those who were stopped would
        // take it back, and be stopped again.
        self.scheduler.reserved.retain(|_, until| *until > ctx.now);
        let reserved: Vec<JobId> = self.scheduler.reserved.keys().copied().collect();
        for id in reserved {
            let Some(team) = self.cluster.jobs.get(&id).map(|j| j.team) else { continue };
            while waiting[team].contains(&id) {
                if !self.grant_one(ctx, id, u32::MAX, &mut rooms, &mut used, rng) {
                    break;
                }
                if self.cluster.jobs.get(&id).is_none_or(|j| j.pending() == 0) {
                    waiting[team].retain(|j| *j != id);
                    self.scheduler.reserved.remove(&id);
                }
            }
        }
        // A replica is missed from the first second, an array by its date.
        let pressing: Vec<(usize, JobId)> = waiting
            .iter()
            .enumerate()
            .flat_map(|(team, ids)| ids.iter().map(move |id| (team, *id)))
            .filter(|(_, id)| self.pressing(id))
            .collect();
        for (team, id) in &pressing {
            while self.cluster.jobs.get(id).is_some_and(|j| j.pending() > 0)
                && self.grant_one(ctx, *id, u32::MAX, &mut rooms, &mut used, rng)
            {}
            if self.cluster.jobs.get(id).is_none_or(|j| j.pending() == 0) {
                waiting[*team].retain(|j| j != id);
            }
        }
        let mut ready = self.reserve_capacity(ctx, &mut rooms, &used);
        // A large array may rank behind others for as long as more comes than can be done:
        // one that has waited this long gets its first task before the ranking.
        let mut unbegun: Vec<(WallMs, JobId, usize)> = waiting
            .iter()
            .flatten()
            .filter_map(|id| self.cluster.jobs.get(id))
            .filter(|j| !j.started && ctx.wall - j.at > UNBEGUN_LEASES * ctx.cfg.lease_ms as WallMs)
            .map(|j| (j.at, j.id, j.team))
            .collect();
        unbegun.sort();
        let mut pass = Pass { unbegun: Vec::new(), ..Pass::default() };
        // One task of a job that fails everywhere costs the others next to nothing, and
        // shows when its mistake is gone.
        tries.retain(|id| !self.grant_one(ctx, *id, 1, &mut rooms, &mut used, rng));
        for (_, id, team) in unbegun {
            if !self.grant_one(ctx, id, 1, &mut rooms, &mut used, rng) {
                if self.limit_room(ctx, id, &used) == 0 {
                    waiting[team].clear();
                    continue;
                }
                if pass.unbegun.is_empty() {
                    // A machine, and what its team may use, is kept for the one that
                    // waited longest.
                    pass.held = self.hold(ctx, id, &mut rooms, &mut used);
                }
                pass.unbegun.push(id);
            } else if self.cluster.jobs.get(&id).is_none_or(|j| j.pending() == 0) {
                waiting[team].retain(|j| *j != id);
            }
        }
        for (id, tasks) in self.classes_behind(ctx, &waiting) {
            let mut left = tasks;
            while left > 0 && self.grant_one(ctx, id, 1, &mut rooms, &mut used, rng) {
                left -= 1;
            }
            if self.cluster.jobs.get(&id).is_none_or(|job| job.pending() == 0) {
                waiting.iter_mut().for_each(|ids| ids.retain(|other| *other != id));
            }
            if left > 0 {
                pass.unbegun.push(id);
            }
        }
        pass.pressing = pressing.into_iter().map(|(_, id)| id).collect();
        pass.unbegun.append(&mut tries);
        pass.waiting.clone_from(&waiting);
        loop {
            let heads = waiting.iter().enumerate().filter_map(|(t, ids)| Some((t, *ids.first()?)));
            let Some((team, id)) = self.next_job(ctx, heads, &used) else { break };
            if !self.grant_one(ctx, id, u32::MAX, &mut rooms, &mut used, rng) {
                waiting[team].retain(|j| *j != id);
                blocked.push(id);
                // Narrow tasks of lesser jobs would take what comes free of the limit, bit by
                // bit, and a wide one would never find enough at once. One that has tasks
                // running takes what its own leave: what is too little for it is the others'.
                if self.limit_room(ctx, id, &used) == 0 && self.runs_nothing(id) {
                    waiting[team].clear();
                }
            } else if self.cluster.jobs.get(&id).is_none_or(|j| j.pending() == 0) {
                waiting[team].retain(|j| *j != id);
            }
        }
        let starving = self.starving(ctx);
        if blocked.iter().any(|id| starving.contains(id)) {
            ready.release_all(&mut rooms);
            for id in starving.iter().filter(|id| blocked.contains(id)) {
                self.grant_one(ctx, *id, 1, &mut rooms, &mut used, rng);
            }
            ready = self.reserve_capacity(ctx, &mut rooms, &used);
        }
        pass.ready = ready;
        self.scheduler.short_of_room = !blocked.is_empty();
        let open = || self.cluster.jobs.values().filter(|j| j.pending() > 0);
        let pauses = open().map(|j| j.health.not_before());
        let avoided = open().filter_map(|j| j.health.avoids_until(ctx.now));
        let machines = self.cluster.machines.values().map(|m| m.no_room_until);
        let next = pauses.chain(avoided).chain(machines).filter(|t| *t > ctx.now).min();
        self.note_guarantees(ctx, &blocked);
        let overdue = ctx
            .cfg
            .guarantee_patience_ms()
            .and_then(|patience| self.scheduler.guarantee_waits.next_overdue(ctx.now, patience));
        self.scheduler.wake_at = next.into_iter().chain(overdue).min().unwrap_or(Ms::MAX);
        self.preempt(ctx, calls, &blocked, &used, &rooms);
        pass.used = used;
        self.scheduler.pass = Some(pass);
    }

    /// Which teams wait for what they are guaranteed, after a pass that left these jobs without
    /// room.
    fn note_guarantees(&mut self, ctx: &Context, blocked: &[JobId]) {
        let mut needs = vec![TeamNeed::default(); ctx.cfg.teams.len()];
        let open = |job: &&RunJob| job.ended.is_none() && !job.health.suspect();
        for job in self.cluster.jobs.values().filter(open) {
            let tasks = job.pending() as f64 + job.placed.len() as f64;
            needs[job.team].unfinished_cpus += tasks * job.spec.cpus;
        }
        for job in blocked.iter().filter_map(|id| self.cluster.jobs.get(id)) {
            needs[job.team].blocked = true;
        }
        let guaranteed = ctx.cfg.teams.iter().map(|team| team.cpus);
        self.scheduler.guarantee_waits.note(ctx.now, guaranteed.zip(needs));
    }

    /// Places on the machine that reports now, by the ranking of the last pass, so that the
    /// answer carries the starts. Were they left to the next pass, they would go out with
    /// the answer to the next report, and its room would be idle until then.
    pub(in crate::leader) fn fill(
        &mut self,
        ctx: &Context,
        machine: &MachineId,
        rng: &mut SmallRng,
    ) {
        let room = self.cluster.machines.get(machine).and_then(|m| self.room(ctx, m));
        let Some(room) = room.filter(|_| ctx.holds_valid_lease && ctx.job_cache_is_fresh) else {
            return;
        };
        let Some(mut pass) = self.scheduler.pass.take() else { return };
        self.scheduler.visited += 1;
        let mut rooms = vec![room];
        let mut used = std::mem::take(&mut pass.used);
        for id in pass.pressing.clone() {
            if self.may_start(ctx, &id) {
                self.grant_one(ctx, id, u32::MAX, &mut rooms, &mut used, rng);
            }
        }
        if let Some(room) = rooms.first_mut() {
            pass.ready.keep(ctx.types, room);
        }
        rooms.retain(|r| r.cpus > 1e-9);
        for id in &pass.unbegun {
            if self.may_start(ctx, id) {
                self.grant_one(ctx, *id, 1, &mut rooms, &mut used, rng);
            }
        }
        let held = pass.held.as_ref() == Some(machine);
        let reserved: Vec<JobId> = self.scheduler.reserved.keys().copied().collect();
        for id in reserved.iter().filter(|_| !held) {
            if self.may_start(ctx, id) {
                self.grant_one(ctx, *id, u32::MAX, &mut rooms, &mut used, rng);
            }
        }
        let mut next = vec![0; pass.waiting.len()];
        let mut looks = ctx.cfg.policy.sample;
        while !rooms.is_empty() && looks > 0 && !held {
            looks -= 1;
            for (team, ids) in pass.waiting.iter().enumerate() {
                while ids.get(next[team]).is_some_and(|id| !self.may_start(ctx, id)) {
                    next[team] += 1;
                }
            }
            let lists = pass.waiting.iter().zip(&next).enumerate();
            let heads = lists.filter_map(|(t, (ids, n))| Some((t, *ids.get(*n)?)));
            let Some((team, id)) = self.next_job(ctx, heads, &used) else { break };
            if !self.grant_one(ctx, id, u32::MAX, &mut rooms, &mut used, rng) {
                next[team] += 1;
                if self.limit_room(ctx, id, &used) == 0 && self.runs_nothing(id) {
                    next[team] = usize::MAX;
                }
            }
        }
        pass.used = used;
        self.scheduler.pass = Some(pass);
    }

    /// Whether tasks of a job that the last pass ranked may still be started.
    fn may_start(&self, ctx: &Context, id: &JobId) -> bool {
        let ready = |j: &RunJob| j.pending() > 0 && j.health.not_before() <= ctx.now;
        self.cluster.jobs.get(id).is_some_and(ready) && !self.failover.unknown.contains(id)
    }

    fn runs_nothing(&self, id: JobId) -> bool {
        self.cluster.jobs.get(&id).is_some_and(|j| j.placed.is_empty())
    }

    /// Tasks of a job that its team's limit still allows.
    pub(in crate::leader) fn limit_room(
        &self,
        ctx: &Context,
        id: JobId,
        used: &[(f64, f64)],
    ) -> u32 {
        let Some(j) = self.cluster.jobs.get(&id) else { return 0 };
        ctx.cfg.teams[j.team].room(used[j.team], &j.spec).min(j.pending())
    }

    /// Keeps the machine with most room that the job may use from others in this pass, so
    /// that enough for one of its tasks comes free there.
    fn hold(
        &self,
        ctx: &Context,
        id: JobId,
        rooms: &mut Vec<Room>,
        used: &mut [(f64, f64)],
    ) -> Option<MachineId> {
        let j = self.cluster.jobs.get(&id)?;
        let allowed = |r: &Room| {
            (j.spec.spot || !r.spot)
                && j.spec.zone.as_ref().is_none_or(|z| *z == r.zone)
                && ctx.types[r.type_index].allowed(&j.spec)
        };
        let best = (0..rooms.len())
            .filter(|i| allowed(&rooms[*i]))
            .max_by(|a, b| rooms[*a].cpus.total_cmp(&rooms[*b].cpus));
        used[j.team].0 += j.spec.cpus;
        used[j.team].1 += j.spec.gpus;
        best.map(|i| rooms.swap_remove(i).machine)
    }

    /// Grants up to `most` tasks on one machine and notes it in the ledger; false if
    /// nothing fits.
    fn grant_one(
        &mut self,
        ctx: &Context,
        id: JobId,
        most: u32,
        rooms: &mut Vec<Room>,
        used: &mut [(f64, f64)],
        rng: &mut SmallRng,
    ) -> bool {
        let granted = self.grant(ctx, id, most, rooms, used, rng);
        let Some(j) = self.cluster.jobs.get_mut(&id).filter(|_| granted > 0) else { return false };
        let cost = granted as f64 * j.spec.cpus * ctx.cfg.policy.lease_term_s;
        j.account.granted += cost;
        j.started = true;
        self.ledger.teams[j.team].granted += cost;
        true
    }

    /// The team with the lowest degree, and its job. Before it goes a job that could stop
    /// the work of the others for its room: given by degree alone, the room would be taken
    /// by what is stopped at once.
    fn next_job(
        &self,
        ctx: &Context,
        heads: impl Iterator<Item = (usize, JobId)>,
        used: &[(f64, f64)],
    ) -> Option<(usize, JobId)> {
        let beyond = |t: usize| used[t].0 > ctx.cfg.teams[t].cpus + 1e-9;
        let rank = |team: usize, id: &JobId| {
            let j = &self.cluster.jobs[id];
            let within = used[team].0 + j.spec.cpus <= ctx.cfg.teams[team].cpus + 1e-9;
            let others = (0..used.len()).any(|t| t != team && beyond(t));
            let may_stop = (within || others) && self.scheduler.reach.contains_key(id);
            let priority = if may_stop { j.spec.priority } else { Priority::Low };
            (Reverse(priority), self.ledger.teams[team].degree())
        };
        heads
            .map(|(team, id)| (rank(team, &id), team, id))
            .min_by(|(a, ..), (b, ..)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
            .map(|(_, team, id)| (team, id))
    }

    /// Within a team: jobs that can still be in time for an objective, the one with the
    /// least time to lose first; then the others. Ranked once a pass: what a grant changes
    /// keeps a job where it is.
    fn rank(&self, ctx: &Context, ids: &mut Vec<JobId>) {
        let key = |j: &RunJob| {
            let spare = self.scheduler.reach.get(&j.id).copied();
            let work = j.pending() as f64 * j.spec.cpus * j.spec.estimate_s;
            let quota = Ledger::quota(ctx.cfg, j.team, self.scheduler.fleet_cpus).max(1.0);
            // What is late has only its end to gain: the longest first.
            let time = spare.map_or(-j.spec.estimate_s, |s| s + 3.0 * work / quota);
            (Reverse(j.spec.priority), spare.is_none(), time, j.started, j.account.degree(), j.at)
        };
        let mut keyed: Vec<_> =
            ids.iter().filter_map(|id| self.cluster.jobs.get(id)).map(|j| (key(j), j.id)).collect();
        keyed.sort_by(|(a, _), (b, _)| {
            (a.0, a.1)
                .cmp(&(b.0, b.1))
                .then(a.2.total_cmp(&b.2))
                .then(a.3.cmp(&b.3))
                .then(a.4.total_cmp(&b.4))
                .then(a.5.cmp(&b.5))
        });
        ids.clear();
        ids.extend(keyed.into_iter().map(|(_, id)| id));
    }

    /// Where the tasks of a job may be, if its zones are restricted.
    pub(in crate::leader) fn spread_of(&self, id: JobId) -> Spread {
        let mut spread = Spread::default();
        let restricted =
            self.cluster.jobs.get(&id).is_some_and(|job| job.spec.one_zone || job.spec.spread);
        if !restricted {
            return spread;
        }
        for machine in self.cluster.machines.values() {
            let of_job = |((task, _), entry): &(&(TaskId, Attempt), &TaskSlot)| {
                task.job == id && entry.holds()
            };
            let tasks = machine.entries.iter().filter(of_job).count();
            if tasks > 0 {
                spread.add(&machine.zone, tasks as u32);
            }
        }
        spread
    }

    /// Places tasks of one job on one machine; gives how many.
    fn grant(
        &mut self,
        ctx: &Context,
        id: JobId,
        most: u32,
        rooms: &mut Vec<Room>,
        used: &mut [(f64, f64)],
        rng: &mut SmallRng,
    ) -> u32 {
        let want = self.limit_room(ctx, id, used).min(most);
        let need = self.need(id);
        let spread = self.spread_of(id);
        let Some(j) = self.cluster.jobs.get_mut(&id).filter(|_| want > 0) else { return 0 };
        let want = want.min(j.room()).min(if j.spec.is_service() { 1 } else { u32::MAX });
        let machines = &self.cluster.machines;
        let image = |m: &MachineId| machines.get(m).is_some_and(|m| m.has_image(&j.spec.image));
        let sample = ctx.cfg.policy.sample;
        let avoid = |m: &MachineId| j.health.avoids(m, ctx.now);
        // Replicas stand on different machines where there are any: a machine lost takes one.
        let beside: BTreeSet<&MachineId> = match j.spec.is_service() {
            true => j.placed.values().map(|(m, _)| m).collect(),
            false => BTreeSet::new(),
        };
        let apart = |m: &MachineId| avoid(m) || beside.contains(m);
        let wish = Wish { job: &j.spec, spread: &spread, want, avoid: &apart };
        let mut found = choose(rooms, ctx.types, &wish, sample, image, rng);
        if found.is_none() && !beside.is_empty() {
            let wish = Wish { avoid: &avoid, ..wish };
            found = choose(rooms, ctx.types, &wish, sample, image, rng);
        }
        let Some((at, n)) = found else { return 0 };
        let machine = rooms[at].machine.clone();
        let Some(m) = self.cluster.machines.get_mut(&machine) else { return 0 };
        let mut placed = 0;
        while placed < n {
            let Some(index) = j.next_pending() else { break };
            let Some(count) = self.scheduler.attempts.checked_add(1) else { break };
            self.scheduler.attempts = count;
            let attempt = Attempt((self.token.0 << 32) | u64::from(count));
            let task = TaskId { job: id, index };
            j.placed.insert(index, (machine.clone(), attempt));
            m.entries.insert(
                (task, attempt),
                TaskSlot {
                    place: TaskPhase::Assigned { at: ctx.now },
                    need,
                    stop: None,
                    stop_sent: None,
                    since: ctx.now,
                    running_since: None,
                    settled: false,
                    first: !j.started,
                },
            );
            placed += 1;
        }
        if j.spec.is_service() && j.health.suspect() {
            // The next try waits for what becomes of this one.
            j.health.pause(ctx.now + ctx.cfg.lease_ms);
        }
        m.idle_since = None;
        used[j.team].0 += j.spec.cpus * placed as f64;
        used[j.team].1 += j.spec.gpus * placed as f64;
        rooms[at].take(&j.spec, placed);
        if rooms[at].cpus <= 1e-9 {
            rooms.swap_remove(at);
        }
        placed
    }
}

#[cfg(test)]
#[path = "cycle_tests.rs"]
mod tests;
