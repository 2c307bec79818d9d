//! Days on which allotments bind: what is accepted stays within each team's bound, whatever
//! fails, and what was accepted is kept.

use super::simulation::array_job;
use super::*;
use basaltrail_core::admission::{QuotaPlanner, TeamLoad};

/// Seconds of work that may wait: few, so that the bound is met.
const BACKLOG_S: f64 = 60.0;

fn policy() -> Policy {
    let admission = AdmissionPolicy { backlog_s: BACKLOG_S, class_least: 0.1 };
    Policy { admission: Some(admission), ..Policy::default() }
}

/// Jobs of a team that may be accepted and not ended: the part of the bound that does not follow
/// the rate at which it is served.
fn max_active_jobs(team: usize) -> usize {
    let configuration = Configuration { policy: policy(), ..Configuration::default() };
    let settings = settings(0, 1, &configuration);
    let bounds = settings.admission_bounds().unwrap();
    let load = TeamLoad {
        team: settings.teams[team].name.clone(),
        guaranteed: settings.teams[team].cpus,
        limit: settings.teams[team].cpus_max,
        share: settings.weight_share(team),
        served: 0.0,
        classes: Vec::new(),
    };
    // One class is named beside the entry for all others.
    QuotaPlanner::bound(&bounds, &load, 0.0, 2 * CONTROLLERS).jobs as usize
}

impl Simulation {
    fn enable_quotas(&mut self) {
        for controller in 0..CONTROLLERS {
            self.controllers[controller].next_configuration.policy = policy();
            self.start_controller(controller);
        }
    }

    /// Jobs in the state service, by team.
    fn active_jobs(&self) -> [usize; CPUS_MAX.len()] {
        let mut count = [0; CPUS_MAX.len()];
        for (key, stored) in &self.store.keys {
            if key.starts_with(records::ACTIVE_JOBS_PREFIX) {
                let record: records::JobRecord = records::decode(&stored.value).unwrap();
                count[record.spec.team[1..].parse::<usize>().unwrap()] += 1;
            }
        }
        count
    }

    /// Plays on, looking at the bounds many times a second; gives the most that was active of
    /// each team.
    fn run_and_check_bounds(&mut self, until: u64) -> [usize; CPUS_MAX.len()] {
        let mut max_active = [0; CPUS_MAX.len()];
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

/// A flood of one team within seconds, and a few jobs of another.
fn burst(from: u64) -> Vec<User> {
    let many = (0..300).map(|i| User::new(1000 + i, short_job(1, 1), from + i * 10, None));
    let few = (0..8).map(|i| User::new(5000 + i, short_job(0, 2), from + i * 700, None));
    many.chain(few).collect()
}

fn simulation_of_burst(seed: u64) -> Simulation {
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

    fn assert_no_violations(&mut self, seed: u64) {
        self.violations.truncate(5);
        assert!(self.violations.is_empty(), "seed {seed}: {:#?}", self.violations);
    }
}

#[test]
fn a_flood_is_bounded_and_leaves_the_other_team_its_room() {
    for seed in 0..4 {
        let mut sim = simulation_of_burst(seed);
        sim.run_and_check_bounds(40_000);
        assert!(sim.accepted_jobs(1000..1300) < 200, "seed {seed}: everything was accepted");
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

/// Without allotments the flood is accepted whole, as far as memory goes.
#[test]
fn without_allotments_the_flood_is_accepted() {
    let mut sim = Simulation::with_users(SmallRng::seed_from_u64(1), burst(30_000));
    sim.run_until(40_000);
    assert!(sim.active_jobs()[1] > max_active_jobs(1));
}

#[test]
fn the_bound_holds_while_the_lead_changes_ten_times() {
    for seed in 0..4 {
        let mut sim = simulation_of_burst(seed);
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

/// A controller stands still with acceptances that it has built and not sent, and goes on after the
/// leader has moved its allotment; transactions come late, twice or without an answer.
#[test]
fn the_bound_holds_with_frozen_controllers_and_late_writes() {
    for seed in 0..6 {
        let mut sim = simulation_of_burst(seed);
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
            sim.situations.contains_key("late write lost")
                || sim.situations.contains_key("answer lost")
        );
    }
}

/// A controller ends with a part of its allotment used, and is back at once: as another process, which
/// accepts nothing before it has an allotment of its own.
#[test]
fn the_bound_holds_as_controllers_restart_at_once() {
    for seed in 0..4 {
        let mut sim = simulation_of_burst(seed);
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
fn the_bound_holds_with_the_state_service_out_in_a_burst() {
    for seed in 0..3 {
        let mut sim = simulation_of_burst(seed);
        sim.run_and_check_bounds(30_400);
        sim.start_store_outage(6_000);
        sim.run_and_check_bounds(sim.now + 330_000);
        sim.check_all_jobs_ended();
        sim.assert_no_violations(seed);
    }
}

#[test]
fn the_rules_hold_over_seeded_days_with_allotments() {
    for seed in 100..116 {
        let mut sim = Simulation::new(seed);
        sim.replace_unsupported_services();
        sim.enable_quotas();
        sim.run_with_faults(1 + (seed % 2) as u32, RUN_MS);
        // A day may end before the last task of an unlucky job; the rules hold all the same.
        sim.assert_no_violations(seed);
        assert!(sim.tasks_started > 50, "seed {seed}: nothing_ran ({})", sim.tasks_started);
    }
}

/// Controllers of which some hand out allotments when they lead and some do not: what is
/// accepted is kept, and everybody is served.
#[test]
fn controllers_with_and_without_allotments_serve_side_by_side() {
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

/// Jobs of high priority come without end and fill their team's limit; those of another class
/// of the team rank behind all of them.
fn tasks_done_by_priority(class_least: f64) -> [usize; 2] {
    let job = |class: &str, priority| JobSpec { class: class.into(), priority, ..short_job(1, 4) };
    let high =
        (0..400).map(|i| User::new(1000 + i, job("urgent", Priority::High), 5_000 + i * 700, None));
    let low = (0..12).map(|i| User::new(5000 + i, job("idle", Priority::Low), 5_000, None));
    let mut sim = Simulation::with_users(SmallRng::seed_from_u64(1), high.chain(low).collect());
    for controller in 0..CONTROLLERS {
        let admission = AdmissionPolicy { backlog_s: 600.0, class_least };
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
fn a_class_of_low_priority_gets_its_least_share() {
    let [high, low] = tasks_done_by_priority(0.1);
    assert!(low * 12 >= high, "{low} tasks beside {high}");
    let [high, low] = tasks_done_by_priority(0.0);
    assert!(low * 20 < high, "{low} tasks beside {high} without a least share");
}
