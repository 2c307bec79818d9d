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

/// What a machine that works has left.
struct FreeMachine {
    zone: usize,
    spot: bool,
    cpus: f64,
}

/// What runs where, as the world knows it.
struct Occupancy {
    used_by_team: [f64; CPUS_MAX.len()],
    tasks_of_job: BTreeMap<JobId, u32>,
    free: Vec<FreeMachine>,
}

fn team_of(spec: &JobSpec) -> usize {
    spec.team[1..].parse().expect("teams are numbered")
}

impl World {
    fn occupancy(&self) -> Occupancy {
        let now = self.now;
        let mut used_by_team = [0.0; CPUS_MAX.len()];
        let mut tasks_of_job: BTreeMap<JobId, u32> = BTreeMap::new();
        let mut free = Vec::new();
        let specs: BTreeMap<JobId, &JobSpec> =
            self.users.iter().map(|user| (user.job, &user.spec)).collect();
        for worker in self.workers.iter().filter(|w| w.alive && now >= w.up_at) {
            let mut cpus = MACHINE_CPUS;
            let is_live = |task: &SimulatedTask| !matches!(task.state, TaskState::Exited(_));
            for (key, _) in worker.tasks.iter().filter(|(_, task)| is_live(task)) {
                let spec = specs[&key.0.job];
                cpus -= spec.cpus;
                used_by_team[team_of(spec)] += spec.cpus;
                *tasks_of_job.entry(key.0.job).or_default() += 1;
            }
            let unreachable =
                [worker.hung_until, worker.downlink_lost_until, worker.uplink_lost_until]
                    .into_iter()
                    .any(|until| now < until);
            if !unreachable && !worker.faulty && worker.reclaimed_at.is_none() {
                free.push(FreeMachine { zone: worker.zone, spot: worker.spot, cpus });
            }
        }
        Occupancy { used_by_team, tasks_of_job, free }
    }

    /// Once the faults are over, no job is left waiting while a machine that fits has room and
    /// its team is under its limit.
    pub(super) fn check_unscheduled(&mut self) {
        let now = self.now;
        let occupancy = self.occupancy();
        let faults_over = now > self.faults_over_at;
        let mut left_waiting = Vec::new();
        for user in &mut self.users {
            let waits = faults_over && user.could_run(now, &occupancy);
            user.unscheduled_since = waits.then(|| user.unscheduled_since.unwrap_or(now));
            if user.unscheduled_since.is_some_and(|since| now > since + SCHEDULED_WITHIN_MS) {
                user.unscheduled_since = None;
                left_waiting.push(user.job);
            }
        }
        for job in left_waiting {
            self.violation(format!("left waiting: {job}"));
        }
    }
}

impl User {
    /// Whether a task waits though a machine has room for it and its team may have it.
    fn could_run(&self, now: u64, occupancy: &Occupancy) -> bool {
        let spec = &self.spec;
        let placed = occupancy.tasks_of_job.get(&self.job);
        let unfinished = self.observed == Observed::Accepted
            && self.cancel_at.is_none_or(|cancel_at| now < cancel_at)
            && !self.faulty_job
            && self.done.len() < spec.tasks as usize;
        // Of a service each replica counts.
        let waits = placed.is_none_or(|tasks| spec.is_service() && *tasks < spec.tasks);
        let free_of_other_zones = !(spec.one_zone || spec.spread) || placed.is_none();
        let team = team_of(spec);
        let within_limit = occupancy.used_by_team[team] + spec.cpus <= CPUS_MAX[team] + 1e-9;
        let fits = |machine: &FreeMachine| {
            machine.cpus + 1e-9 >= spec.cpus
                && (spec.spot || !machine.spot)
                && spec.zone.as_deref().is_none_or(|zone| zone == ZONES[machine.zone])
        };
        unfinished
            && waits
            && free_of_other_zones
            && within_limit
            && occupancy.free.iter().any(fits)
    }
}
