//! The rules, checked by the world and not by the core.

use super::*;

/// What a leader ordered begins within so long: a worker takes an answer for [`REPLY_TIMEOUT_MS`], may
/// hang for the rest of its lease, and then has the image.
const STARTS_WITHIN_MS: u64 = LEASE_MS + 3_000;

impl World {
    /// The rules that a task can break by starting.
    pub(super) fn check_start(&mut self, m: usize, user: usize, key: (TaskId, Attempt)) {
        self.tasks_started += 1;
        self.users[user].first_started.get_or_insert(self.now);
        let task = key.0;
        let u = &self.users[user];
        let w = &self.workers[m];
        let mut bad = Vec::new();
        let mut zones = [0u32; 2];
        for (other, x) in self.workers.iter().enumerate() {
            for (k, _) in x.tasks.iter().filter(|(_, r)| Self::on_machine(r)) {
                if k.0 == task && (other, *k) != (m, key) {
                    bad.push(format!("ran_twice: {task:?} on {m} and {other}"));
                }
                if k.0.job == task.job {
                    zones[x.zone] += 1;
                }
            }
        }
        let spec = &u.spec;
        let spread = spec.spread && zones[w.zone] > spec.tasks.div_ceil(2);
        let apart = spec.one_zone && zones[1 - w.zone] > 0;
        let zone = spec.zone.as_deref().is_some_and(|z| z != ZONES[w.zone]);
        if spread || apart || zone || (w.spot && !spec.spot) {
            bad.push(format!("wrong_place: {task:?} on {m}"));
        }
        for team in 0..CPUS_MAX.len() {
            let max = self.limit_in_force(team);
            let used: f64 = self
                .workers
                .iter()
                .flat_map(|w| w.tasks.iter().filter(|(_, r)| Self::on_machine(r)))
                .filter_map(|(k, _)| self.users.iter().find(|u| u.job == k.0.job))
                .filter(|u| u.spec.team == format!("t{team}"))
                .map(|u| u.spec.cpus)
                .sum();
            if used > max + 1e-9 {
                bad.push(format!("quota: team {team} uses {used}"));
            }
        }
        for b in bad {
            self.violation(b);
        }
    }

    /// The highest limit of a team that some controller goes by, or went by so lately that what
    /// it ordered may still begin.
    fn limit_in_force(&self, team: usize) -> f64 {
        let limits = self.controllers.iter().flat_map(|controller| {
            let late = |(ended, _): &&(u64, Configuration)| self.now <= *ended + STARTS_WITHIN_MS;
            let earlier = controller.earlier.iter().filter(late).map(|(_, earlier)| earlier);
            earlier.chain([&controller.configuration])
        });
        limits.map(|configuration| configuration.cpus_max[team]).fold(0.0, f64::max)
    }

    pub(super) fn check_cancelled(&mut self) {
        let mut bad = Vec::new();
        for u in &self.users {
            if let Observed::Cancelled(at) = u.observed {
                for (m, w) in self.workers.iter().enumerate() {
                    let here = w.tasks.iter().any(|(k, r)| k.0.job == u.job && Self::on_machine(r));
                    if here && self.now > at + CANCEL_MS {
                        bad.push((at, format!("ran_cancelled: {} on {m}", u.job)));
                    }
                }
            }
        }
        for (observed, what) in bad {
            self.violation_after_cancellation(observed, what);
        }
    }

    /// With every trouble over for so long, each job that is not over was spoken of.
    pub(super) fn check_forgotten(&mut self) {
        let faults_over = self.faults_over_at;
        let silent = |u: &&User| {
            u.observed == Observed::Accepted && u.at < faults_over && u.last_answered < faults_over
        };
        let bad: Vec<JobId> = self.users.iter().filter(silent).map(|u| u.job).collect();
        for job in bad {
            self.violation(format!("forgotten: no answer about {job} since {faults_over} ms"));
        }
    }

    pub(super) fn check_end(&mut self) {
        for u in &self.users {
            if let (None, Observed::Done | Observed::Accepted) = (u.first_started, u.observed) {
                self.violations.push(format!("job {} never began", u.job));
            }
            if u.observed == Observed::Unknown || u.observed == Observed::Accepted {
                self.violations.push(format!(
                    "job {} never ended: {} of {}",
                    u.job,
                    u.done.len(),
                    u.spec.tasks
                ));
            }
        }
    }
}

impl World {
    /// Once the troubles are over, no job is left waiting while a machine that fits has room
    /// and its team is under its limit.
    pub(super) fn check_unscheduled(&mut self) {
        let t = self.now;
        let mut used = [0.0; CPUS_MAX.len()];
        let mut rooms = Vec::new();
        let mut placed: BTreeMap<JobId, u32> = BTreeMap::new();
        let specs: BTreeMap<JobId, &JobSpec> =
            self.users.iter().map(|u| (u.job, &u.spec)).collect();
        let team = |s: &JobSpec| s.team[1..].parse::<usize>().unwrap();
        for w in self.workers.iter().filter(|w| w.alive && t >= w.up_at) {
            let mut room = MACHINE_CPUS;
            let held = |r: &SimulatedTask| !matches!(r.state, TaskState::Exited(_));
            for (k, _) in w.tasks.iter().filter(|(_, r)| held(r)) {
                let spec = specs[&k.0.job];
                room -= spec.cpus;
                used[team(spec)] += spec.cpus;
                *placed.entry(k.0.job).or_default() += 1;
            }
            let away = [w.hung_until, w.downlink_lost_until, w.uplink_lost_until]
                .into_iter()
                .any(|u| t < u);
            if !away && !w.faulty && w.reclaimed_at.is_none() {
                rooms.push((w.zone, w.spot, room));
            }
        }
        let faults_over = self.faults_over_at;
        let mut bad = Vec::new();
        for u in &mut self.users {
            let s = &u.spec;
            let waits = t > faults_over
                && u.observed == Observed::Accepted
                && u.cancel_at.is_none_or(|c| t < c)
                && !u.faulty_job
                && u.done.len() < s.tasks as usize
                // Of a service each replica counts.
                && placed.get(&u.job).is_none_or(|n| s.is_service() && *n < s.tasks)
                && !(s.one_zone || s.spread) | !placed.contains_key(&u.job)
                && used[team(s)] + s.cpus <= CPUS_MAX[team(s)] + 1e-9
                && rooms.iter().any(|(zone, spot, room)| {
                    *room + 1e-9 >= s.cpus
                        && (s.spot || !spot)
                        && s.zone.as_deref().is_none_or(|z| z == ZONES[*zone])
                });
            u.unscheduled_since = waits.then(|| u.unscheduled_since.unwrap_or(t));
            if u.unscheduled_since.is_some_and(|since| t > since + SCHEDULED_WITHIN_MS) {
                u.unscheduled_since = None;
                bad.push(u.job);
            }
        }
        for job in bad {
            self.violation(format!("left waiting: {job}"));
        }
    }
}
