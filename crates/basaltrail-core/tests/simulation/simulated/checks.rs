//! The rules, checked independently of the core.

use super::*;

/// A commanded start takes effect within this time: a worker accepts the answer within
/// [`REPLY_TIMEOUT_MS`], may hang until its lease expires, and then has to fetch the image.
const STARTS_WITHIN_MS: u64 = LEASE_MS + 3_000;

impl Simulation {
    /// Checks the rules that the start of a task can break.
    pub(super) fn check_start(
        &mut self,
        machine: usize,
        user_index: usize,
        key: (TaskId, Attempt),
    ) {
        self.tasks_started += 1;
        self.users[user_index].first_task_started_at.get_or_insert(self.now);
        let task = key.0;
        let user = &self.users[user_index];
        let worker = &self.workers[machine];
        let mut violations = Vec::new();
        let mut zones = [0u32; 2];
        for (other, other_worker) in self.workers.iter().enumerate() {
            for (other_key, _) in
                other_worker.tasks.iter().filter(|(_, task)| Self::is_running(task))
            {
                if other_key.0 == task && (other, *other_key) != (machine, key) {
                    violations.push(format!("ran_twice: {task:?} on {machine} and {other}"));
                }
                if other_key.0.job == task.job {
                    zones[other_worker.zone] += 1;
                }
            }
        }
        let spec = &user.spec;
        let too_many_in_zone = spec.spread && zones[worker.zone] > spec.tasks.div_ceil(2);
        let in_two_zones = spec.one_zone && zones[1 - worker.zone] > 0;
        let in_wrong_zone = spec.zone.as_deref().is_some_and(|zone| zone != ZONES[worker.zone]);
        if too_many_in_zone || in_two_zones || in_wrong_zone || (worker.spot && !spec.spot) {
            violations.push(format!("wrong_place: {task:?} on {machine}"));
        }
        for team in 0..MAX_CPUS.len() {
            let max = self.limit_in_force(team);
            let used: f64 = self
                .workers
                .iter()
                .flat_map(|worker| worker.tasks.iter().filter(|(_, task)| Self::is_running(task)))
                .filter_map(|(key, _)| self.users.iter().find(|user| user.job == key.0.job))
                .filter(|user| user.spec.team == format!("t{team}"))
                .map(|user| user.spec.cpus)
                .sum();
            if used > max + 1e-9 {
                violations.push(format!("quota: team {team} uses {used}"));
            }
        }
        for violation in violations {
            self.record_violation(violation);
        }
    }

    /// Checks that the start of an attempt is sent once, whichever copies of heartbeats are answered
    /// and whichever controllers lead: a worker that has forgotten an attempt would start it again.
    pub(super) fn check_starts_sent(&mut self, controller: usize, answer: &Answer) {
        let Answer::Commands { commands, .. } = answer else { return };
        if self.controllers[controller].version != Version::default() {
            return;
        }
        for command in commands {
            let TaskCommand::Start { task, attempt } = command else { continue };
            if !self.starts_sent.insert((*task, *attempt)) {
                let violation = format!("controller {controller} repeats a start: {task:?}");
                self.record_violation(violation);
            }
        }
    }

    /// Returns the highest limit of a team among the present configurations and those replaced so
    /// recently that a task started under them may still begin.
    fn limit_in_force(&self, team: usize) -> f64 {
        let limits = self.controllers.iter().flat_map(|controller| {
            let may_apply = |(replaced_at, _): &&(u64, Configuration)| {
                self.now <= *replaced_at + STARTS_WITHIN_MS
            };
            let earlier = controller
                .earlier_configurations
                .iter()
                .filter(may_apply)
                .map(|(_, earlier)| earlier);
            earlier.chain([&controller.configuration])
        });
        limits.map(|configuration| configuration.max_cpus[team]).fold(0.0, f64::max)
    }

    pub(super) fn check_cancelled_jobs_stopped(&mut self) {
        let mut violations = Vec::new();
        for user in &self.users {
            if let Observed::Cancelled(at) = user.observed {
                for (machine, worker) in self.workers.iter().enumerate() {
                    if worker.runs_job(user.job) && self.now > at + CANCEL_MS {
                        violations.push((at, format!("ran_cancelled: {} on {machine}", user.job)));
                    }
                }
            }
        }
        for (observed_at, violation) in violations {
            self.record_violation_after_cancellation(observed_at, violation);
        }
    }

    /// Checks that users got an answer about each unfinished job after the faults ended.
    pub(super) fn check_all_jobs_answered(&mut self) {
        let faults_over = self.faults_over_at;
        let unanswered = |user: &&User| {
            user.observed == Observed::Accepted
                && user.submit_at < faults_over
                && user.last_answered_at < faults_over
        };
        let unanswered_jobs: Vec<JobId> =
            self.users.iter().filter(unanswered).map(|user| user.job).collect();
        for job in unanswered_jobs {
            self.record_violation(format!(
                "forgotten: no answer about {job} since {faults_over} ms"
            ));
        }
    }

    pub(super) fn check_all_jobs_ended(&mut self) {
        for user in &self.users {
            if let (None, Observed::Done | Observed::Accepted) =
                (user.first_task_started_at, user.observed)
            {
                self.violations.push(format!("job {} never started", user.job));
            }
            if user.observed == Observed::Unknown || user.observed == Observed::Accepted {
                self.violations.push(format!(
                    "job {} never ended: {} of {}",
                    user.job,
                    user.tasks_done.len(),
                    user.spec.tasks
                ));
            }
        }
    }
}

/// Free capacity of a working machine.
struct FreeMachine {
    zone: usize,
    spot: bool,
    cpus: f64,
}

/// Placement of all tasks.
struct Occupancy {
    used_by_team: [f64; MAX_CPUS.len()],
    tasks_of_job: BTreeMap<JobId, u32>,
    free: Vec<FreeMachine>,
}

fn team_of(spec: &JobSpec) -> usize {
    spec.team[1..].parse().expect("teams are numbered")
}

impl Simulation {
    fn occupancy(&self) -> Occupancy {
        let now = self.now;
        let mut used_by_team = [0.0; MAX_CPUS.len()];
        let mut tasks_of_job: BTreeMap<JobId, u32> = BTreeMap::new();
        let mut free = Vec::new();
        let specs: BTreeMap<JobId, &JobSpec> =
            self.users.iter().map(|user| (user.job, &user.spec)).collect();
        for worker in self.workers.iter().filter(|worker| worker.alive && now >= worker.boots_at) {
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

    /// Checks that, after the faults, no job waits for long while a machine has room for it and
    /// its team is below its limit.
    pub(super) fn check_unscheduled(&mut self) {
        let now = self.now;
        let occupancy = self.occupancy();
        let faults_over = now > self.faults_over_at;
        let mut unscheduled = Vec::new();
        for user in &mut self.users {
            let waits = faults_over && user.could_run(now, &occupancy);
            user.unscheduled_since = waits.then(|| user.unscheduled_since.unwrap_or(now));
            if user.unscheduled_since.is_some_and(|since| now > since + SCHEDULED_WITHIN_MS) {
                user.unscheduled_since = None;
                unscheduled.push(user.job);
            }
        }
        for job in unscheduled {
            self.record_violation(format!("not scheduled: {job}"));
        }
    }
}

impl User {
    /// Returns whether a task of the job waits although it fits on a machine and within the limit
    /// of its team.
    fn could_run(&self, now: u64, occupancy: &Occupancy) -> bool {
        let spec = &self.spec;
        let live_tasks = occupancy.tasks_of_job.get(&self.job);
        let unfinished = self.observed == Observed::Accepted
            && self.cancel_at.is_none_or(|cancel_at| now < cancel_at)
            && !self.faulty
            && self.tasks_done.len() < spec.tasks as usize;
        // A service waits if any of its replicas is not placed.
        let waits = live_tasks.is_none_or(|tasks| spec.is_service() && *tasks < spec.tasks);
        let fits_any_zone = !(spec.one_zone || spec.spread) || live_tasks.is_none();
        let team = team_of(spec);
        let within_limit = occupancy.used_by_team[team] + spec.cpus <= MAX_CPUS[team] + 1e-9;
        let fits = |machine: &FreeMachine| {
            machine.cpus + 1e-9 >= spec.cpus
                && (spec.spot || !machine.spot)
                && spec.zone.as_deref().is_none_or(|zone| zone == ZONES[machine.zone])
        };
        unfinished && waits && fits_any_zone && within_limit && occupancy.free.iter().any(fits)
    }
}
