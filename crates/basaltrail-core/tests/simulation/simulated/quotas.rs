//! Runs with admission quotas: the accepted jobs of each team stay within its bound under every
//! fault, and no accepted job is lost.

use super::simulation::array_job;
use super::*;
use basaltrail_core::admission::{QuotaPlanner, TeamLoad};

/// Maximum backlog of a team, in seconds of work; small, so that the bound is reached.
const BACKLOG_S: f64 = 60.0;

fn policy() -> Policy {
    let admission = AdmissionPolicy { backlog_s: BACKLOG_S, min_class_share: 0.1 };
    Policy { admission: Some(admission), ..Policy::default() }
}

/// Returns the bound on the active jobs of a team, without the part that grows with its service
/// rate.
fn max_active_jobs(team: usize) -> usize {
    let configuration = Configuration { policy: policy(), ..Configuration::default() };
    let settings = settings(0, 1, &configuration);
    let bounds = settings.admission_bounds().unwrap();
    let load = TeamLoad {
        team: settings.teams[team].name.clone(),
        guaranteed_cpus: settings.teams[team].guaranteed_cpus,
        max_cpus: settings.teams[team].max_cpus,
        job_share: settings.weight_share(team),
        served_cpus: 0.0,
        classes: Vec::new(),
    };
    // Each controller has two entries: one for the class of the jobs and one for all other classes.
    QuotaPlanner::team_bound(&bounds, &load, 0.0, 2 * CONTROLLERS).jobs as usize
}

impl Simulation {
    fn enable_quotas(&mut self) {
        for controller in 0..CONTROLLERS {
            self.controllers[controller].next_configuration.policy = policy();
            self.start_controller(controller);
        }
    }

    /// Returns the number of active jobs in the store, by team.
    fn active_jobs(&self) -> [usize; MAX_CPUS.len()] {
        let mut count = [0; MAX_CPUS.len()];
        for (key, stored) in &self.store.keys {
            if key.starts_with(records::ACTIVE_JOBS_PREFIX) {
                let record: records::JobRecord = records::decode(&stored.value).unwrap();
                count[record.spec.team[1..].parse::<usize>().unwrap()] += 1;
            }
        }
        count
    }

    /// Runs until `until` and checks the bounds ten times a second. Returns the maximum of active
    /// jobs of each team.
    fn run_and_check_bounds(&mut self, until: u64) -> [usize; MAX_CPUS.len()] {
        let mut max_active = [0; MAX_CPUS.len()];
        while self.now < until {
            self.run_until(self.now + 100);
            for (team, active) in self.active_jobs().into_iter().enumerate() {
                max_active[team] = max_active[team].max(active);
                if active > max_active_jobs(team) {
                    self.record_violation(format!("backlog: {active} jobs of team {team}"));
                }
            }
        }
        max_active
    }
}

fn short_job(team: usize, tasks: u32) -> JobSpec {
    JobSpec { estimate_s: 1.0, ..array_job(team, tasks) }
}

/// Returns a burst of jobs of one team within seconds, and a few jobs of another team.
fn burst(from: u64) -> Vec<User> {
    let many = (0..300).map(|i| User::new(1000 + i, short_job(1, 1), from + i * 10, None));
    let few = (0..8).map(|i| User::new(5000 + i, short_job(0, 2), from + i * 700, None));
    many.chain(few).collect()
}

fn burst_with_quotas(seed: u64) -> Simulation {
    let mut sim = Simulation::with_users(SmallRng::seed_from_u64(seed), burst(30_000));
    sim.enable_quotas();
    sim
}

impl Simulation {
    fn accepted_jobs(&self, jobs: std::ops::Range<u64>) -> usize {
        let accepted =
            |user: &&User| jobs.contains(&user.job.0) && user.observed != Observed::Unknown;
        self.users.iter().filter(accepted).count()
    }

    pub(super) fn assert_no_violations(&mut self, seed: u64) {
        self.violations.truncate(5);
        assert!(self.violations.is_empty(), "seed {seed}: {:#?}", self.violations);
    }
}

#[test]
fn burst_of_one_team_is_bounded_and_another_team_is_admitted() {
    for seed in 0..4 {
        let mut sim = burst_with_quotas(seed);
        sim.run_and_check_bounds(40_000);
        assert!(sim.accepted_jobs(1000..1300) < 200, "seed {seed}: the whole burst was accepted");
        assert_eq!(sim.accepted_jobs(5000..5008), 8, "seed {seed}: the other team waited");
        let max_active = sim.run_and_check_bounds(400_000);
        assert!(
            max_active[1] * 4 >= max_active_jobs(1),
            "seed {seed}: {max_active:?} of {}",
            max_active_jobs(1)
        );
        sim.check_all_jobs_ended();
        sim.assert_no_violations(seed);
    }
}

#[test]
fn burst_exceeds_the_bound_without_quotas() {
    let mut sim = Simulation::with_users(SmallRng::seed_from_u64(1), burst(30_000));
    sim.run_until(40_000);
    assert!(sim.active_jobs()[1] > max_active_jobs(1));
}

#[test]
fn bound_holds_over_ten_failovers() {
    for seed in 0..4 {
        let mut sim = burst_with_quotas(seed);
        sim.run_and_check_bounds(31_000);
        for n in 0..10 {
            let leader = sim.leader();
            leader
                .into_iter()
                .for_each(|leader| sim.stop_controller(leader, [20, 400, 3_000][n % 3]));
            sim.run_and_check_bounds(sim.now + 9_000);
        }
        sim.run_and_check_bounds(sim.now + 300_000);
        sim.check_all_jobs_ended();
        sim.assert_no_violations(seed);
    }
}

/// Guards against an overrun of the bound when a controller freezes with acceptances that it has
/// not sent, and continues after the leader has moved its quota, while transactions are applied
/// late, twice or without a reply.
#[test]
fn bound_holds_with_frozen_controllers_and_late_writes() {
    for seed in 0..6 {
        let mut sim = burst_with_quotas(seed);
        sim.run_and_check_bounds(30_200);
        sim.unanswered_writes = UnansweredWrites {
            until: sim.now + 60_000,
            share: 0.3,
            only_reply_lost: seed % 2 == 0,
        };
        for n in 0..6 {
            let controller = (n + seed as usize) % CONTROLLERS;
            sim.controllers[controller].pending_freeze_until = sim.now + 14_000;
            sim.run_and_check_bounds(sim.now + 6_000);
        }
        sim.extend_faults(30_000);
        sim.run_and_check_bounds(sim.now + 300_000);
        sim.check_all_jobs_ended();
        sim.assert_no_violations(seed);
        assert!(
            sim.situations.contains_key("late write conflicted")
                || sim.situations.contains_key("reply of a committed write lost")
        );
    }
}

/// A controller restarts immediately after it has used a part of its quota. The new process accepts
/// no job until it has a quota of its own.
#[test]
fn bound_holds_over_immediate_restarts() {
    for seed in 0..4 {
        let mut sim = burst_with_quotas(seed);
        sim.run_and_check_bounds(30_300);
        for n in 0..12 {
            sim.stop_controller(n % CONTROLLERS, 20);
            sim.run_and_check_bounds(sim.now + 1_500);
        }
        sim.run_and_check_bounds(sim.now + 330_000);
        sim.check_all_jobs_ended();
        sim.assert_no_violations(seed);
    }
}

#[test]
fn bound_holds_over_a_store_outage_during_a_burst() {
    for seed in 0..3 {
        let mut sim = burst_with_quotas(seed);
        sim.run_and_check_bounds(30_400);
        sim.start_store_outage(6_000);
        sim.run_and_check_bounds(sim.now + 330_000);
        sim.check_all_jobs_ended();
        sim.assert_no_violations(seed);
    }
}

#[test]
fn rules_hold_over_seeded_runs_with_quotas() {
    for seed in 100..116 {
        let mut sim = Simulation::new(seed);
        sim.replace_unsupported_services();
        sim.enable_quotas();
        sim.run_with_faults(1 + (seed % 2) as u32, RUN_MS);
        // A run may end before the last task of a job; the rules hold nevertheless.
        sim.assert_no_violations(seed);
        assert!(sim.tasks_started > 50, "seed {seed}: nothing_ran ({})", sim.tasks_started);
    }
}

/// Only one controller assigns quotas when it leads. No accepted job is lost, and all teams are
/// served.
#[test]
fn controllers_with_and_without_quotas_coexist() {
    for seed in 0..4 {
        let mut sim = Simulation::with_users(SmallRng::seed_from_u64(seed), burst(30_000));
        sim.controllers[0].next_configuration.policy = policy();
        sim.start_controller(0);
        sim.run_until(30_500);
        for n in 0..8 {
            let leader = sim.leader();
            leader.into_iter().for_each(|leader| sim.stop_controller(leader, [20, 3_000][n % 2]));
            sim.run_until(sim.now + 9_000);
        }
        sim.run_until(sim.now + 300_000);
        sim.check_all_jobs_ended();
        sim.assert_no_violations(seed);
    }
}

/// Returns the number of completed tasks of the classes `urgent` and `idle` of one team. Jobs of
/// class `urgent` arrive continuously and fill the team's limit; those of class `idle` rank behind
/// them.
fn tasks_done_by_priority(min_class_share: f64) -> [usize; 2] {
    let job = |class: &str, priority| JobSpec { class: class.into(), priority, ..short_job(1, 4) };
    let high =
        (0..400).map(|i| User::new(1000 + i, job("urgent", Priority::High), 5_000 + i * 700, None));
    let low = (0..12).map(|i| User::new(5000 + i, job("idle", Priority::Low), 5_000, None));
    let mut sim = Simulation::with_users(SmallRng::seed_from_u64(1), high.chain(low).collect());
    for controller in 0..CONTROLLERS {
        let admission = AdmissionPolicy { backlog_s: 600.0, min_class_share };
        sim.controllers[controller].next_configuration.policy.admission = Some(admission);
        sim.start_controller(controller);
    }
    sim.run_until(240_000);
    assert!(sim.violations.is_empty(), "{:#?}", sim.violations);
    let done = |jobs: std::ops::Range<u64>| {
        let of_class = sim.users.iter().filter(|user| jobs.contains(&user.job.0));
        of_class.map(|user| user.tasks_done.len()).sum::<usize>()
    };
    [done(1000..1400), done(5000..5012)]
}

#[test]
fn low_priority_class_gets_its_minimum_share() {
    let [high, low] = tasks_done_by_priority(0.1);
    assert!(low * 12 >= high, "{low} idle tasks for {high} urgent ones");
    let [high, low] = tasks_done_by_priority(0.0);
    assert!(low * 20 < high, "{low} idle tasks for {high} urgent ones without a minimum share");
}
