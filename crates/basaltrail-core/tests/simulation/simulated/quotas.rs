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
fn most_jobs(team: usize) -> usize {
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

impl World {
    fn turn_quotas_on(&mut self) {
        for controller in 0..CONTROLLERS {
            self.controllers[controller].next_configuration.policy = policy();
            self.start_controller(controller);
        }
    }

    /// Jobs in the state service, by team.
    fn active_jobs(&self) -> [usize; CPUS_MAX.len()] {
        let mut count = [0; CPUS_MAX.len()];
        for (key, kept) in &self.store.keys {
            if key.starts_with(records::ACTIVE_JOBS_PREFIX) {
                let record: records::JobRecord = records::decode(&kept.value).unwrap();
                count[record.spec.team[1..].parse::<usize>().unwrap()] += 1;
            }
        }
        count
    }

    /// Plays on, looking at the bounds many times a second; gives the most that was active of
    /// each team.
    fn play_within_bounds(&mut self, until: u64) -> [usize; CPUS_MAX.len()] {
        let mut most = [0; CPUS_MAX.len()];
        while self.now < until {
            self.run_until(self.now + 100);
            for (team, active) in self.active_jobs().into_iter().enumerate() {
                most[team] = most[team].max(active);
                if active > most_jobs(team) {
                    self.violation(format!("backlog: {active} jobs of team {team}"));
                }
            }
        }
        most
    }
}

fn job(team: usize, tasks: u32) -> JobSpec {
    JobSpec { estimate_s: 1.0, ..array_job(team, tasks) }
}

/// A flood of one team within seconds, and a few jobs of another.
fn flood(from: u64) -> Vec<User> {
    let many = (0..300).map(|i| User::new(1000 + i, job(1, 1), from + i * 10, None));
    let few = (0..8).map(|i| User::new(5000 + i, job(0, 2), from + i * 700, None));
    many.chain(few).collect()
}

fn flooded(seed: u64) -> World {
    let mut w = World::with(SmallRng::seed_from_u64(seed), flood(30_000));
    w.turn_quotas_on();
    w
}

impl World {
    fn accepted(&self, jobs: std::ops::Range<u64>) -> usize {
        let observed = |u: &&User| jobs.contains(&u.job.0) && u.observed != Observed::Unknown;
        self.users.iter().filter(observed).count()
    }

    fn check(&mut self, seed: u64) {
        self.violations.truncate(5);
        assert!(self.violations.is_empty(), "seed {seed}: {:#?}", self.violations);
    }
}

#[test]
fn a_flood_is_bounded_and_leaves_the_other_team_its_room() {
    for seed in 0..4 {
        let mut w = flooded(seed);
        w.play_within_bounds(40_000);
        assert!(w.accepted(1000..1300) < 200, "seed {seed}: everything was accepted");
        assert_eq!(w.accepted(5000..5008), 8, "seed {seed}: the other team waited");
        let most = w.play_within_bounds(400_000);
        assert!(most[1] * 4 >= most_jobs(1), "seed {seed}: {most:?} of {}", most_jobs(1));
        w.check_end();
        w.check(seed);
    }
}

/// Without allotments the flood is accepted whole, as far as memory goes.
#[test]
fn without_allotments_the_flood_is_accepted() {
    let mut w = World::with(SmallRng::seed_from_u64(1), flood(30_000));
    w.run_until(40_000);
    assert!(w.active_jobs()[1] > most_jobs(1));
}

#[test]
fn the_bound_holds_while_the_lead_changes_ten_times() {
    for seed in 0..4 {
        let mut w = flooded(seed);
        w.play_within_bounds(31_000);
        for n in 0..10 {
            let leader = w.leader();
            leader.into_iter().for_each(|leader| w.end(leader, [20, 400, 3_000][n % 3]));
            w.play_within_bounds(w.now + 9_000);
        }
        w.play_within_bounds(w.now + 300_000);
        w.check_end();
        w.check(seed);
    }
}

/// A controller stands still with acceptances that it has built and not sent, and goes on after the
/// leader has moved its allotment; transactions come late, twice or without an answer.
#[test]
fn the_bound_holds_with_frozen_controllers_and_late_writes() {
    for seed in 0..6 {
        let mut w = flooded(seed);
        w.play_within_bounds(30_200);
        w.late_writes =
            LateWrites { until: w.now + 60_000, share: 0.3, answer_lost: seed % 2 == 0 };
        for n in 0..6 {
            let controller = (n + seed as usize) % CONTROLLERS;
            w.controllers[controller].freezes_until = w.now + 14_000;
            w.play_within_bounds(w.now + 6_000);
        }
        w.extend_faults(30_000);
        w.play_within_bounds(w.now + 300_000);
        w.check_end();
        w.check(seed);
        assert!(w.moments.contains_key("late write lost") || w.moments.contains_key("answer lost"));
    }
}

/// A controller ends with a part of its allotment used, and is back at once: as another process, which
/// accepts nothing before it has an allotment of its own.
#[test]
fn the_bound_holds_as_controllers_restart_at_once() {
    for seed in 0..4 {
        let mut w = flooded(seed);
        w.play_within_bounds(30_300);
        for n in 0..12 {
            w.end(n % CONTROLLERS, 20);
            w.play_within_bounds(w.now + 1_500);
        }
        w.play_within_bounds(w.now + 330_000);
        w.check_end();
        w.check(seed);
    }
}

#[test]
fn the_bound_holds_with_the_state_service_out_in_a_burst() {
    for seed in 0..3 {
        let mut w = flooded(seed);
        w.play_within_bounds(30_400);
        w.outage(6_000);
        w.play_within_bounds(w.now + 330_000);
        w.check_end();
        w.check(seed);
    }
}

#[test]
fn the_rules_hold_over_seeded_days_with_allotments() {
    for seed in 100..116 {
        let mut w = World::new(seed);
        w.services_only_where_known();
        w.turn_quotas_on();
        w.run(1 + (seed % 2) as u32, DAY_MS);
        // A day may end before the last task of an unlucky job; the rules hold all the same.
        w.check(seed);
        assert!(w.tasks_started > 50, "seed {seed}: nothing_ran ({})", w.tasks_started);
    }
}

/// Controllers of which some hand out allotments when they lead and some do not: what is
/// accepted is kept, and everybody is served.
#[test]
fn controllers_with_and_without_allotments_serve_side_by_side() {
    for seed in 0..4 {
        let mut w = World::with(SmallRng::seed_from_u64(seed), flood(30_000));
        w.controllers[0].next_configuration.policy = policy();
        w.start_controller(0);
        w.run_until(30_500);
        for n in 0..8 {
            let leader = w.leader();
            leader.into_iter().for_each(|leader| w.end(leader, [20, 3_000][n % 2]));
            w.run_until(w.now + 9_000);
        }
        w.run_until(w.now + 300_000);
        w.check_end();
        w.check(seed);
    }
}

/// Jobs of high priority come without end and fill their team's limit; those of another class
/// of the team rank behind all of them.
fn priorities(class_least: f64) -> [usize; 2] {
    let job = |class: &str, priority| JobSpec { class: class.into(), priority, ..job(1, 4) };
    let high =
        (0..400).map(|i| User::new(1000 + i, job("urgent", Priority::High), 5_000 + i * 700, None));
    let low = (0..12).map(|i| User::new(5000 + i, job("idle", Priority::Low), 5_000, None));
    let mut w = World::with(SmallRng::seed_from_u64(1), high.chain(low).collect());
    for controller in 0..CONTROLLERS {
        let admission = AdmissionPolicy { backlog_s: 600.0, class_least };
        w.controllers[controller].next_configuration.policy.admission = Some(admission);
        w.start_controller(controller);
    }
    w.run_until(240_000);
    assert!(w.violations.is_empty(), "{:#?}", w.violations);
    let done = |jobs: std::ops::Range<u64>| {
        let of_class = w.users.iter().filter(|u| jobs.contains(&u.job.0));
        of_class.map(|u| u.done.len()).sum::<usize>()
    };
    [done(1000..1400), done(5000..5012)]
}

#[test]
fn a_class_of_low_priority_gets_its_least_share() {
    let [high, low] = priorities(0.1);
    assert!(low * 12 >= high, "{low} tasks beside {high}");
    let [high, low] = priorities(0.0);
    assert!(low * 20 < high, "{low} tasks beside {high} without a least share");
}
