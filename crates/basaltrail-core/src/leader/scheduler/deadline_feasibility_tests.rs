use super::*;
use crate::leader::scheduler::test_cluster::{team, TestCluster};
use crate::settings::fixtures::job_spec;
use crate::settings::Objective;

fn candidate(id: u64, pending_cpus: f64, slacks_s: &[f64]) -> Candidate {
    Candidate { job: JobId(id), pending_cpus, slacks_s: slacks_s.to_vec() }
}

fn by_id(feasible: Vec<(JobId, f64)>) -> Vec<(u64, f64)> {
    let mut by_id: Vec<(u64, f64)> =
        feasible.into_iter().map(|(job, slack_s)| (job.0, slack_s)).collect();
    by_id.sort_by_key(|(job, _)| *job);
    by_id
}

#[test]
fn one_large_job_is_given_up_for_several_small_ones() {
    let all = vec![
        candidate(1, 400.0, &[10.0]),
        candidate(2, 20.0, &[11.0]),
        candidate(3, 20.0, &[12.0]),
        candidate(4, 0.0, &[-3.0]),
    ];
    let feasible = select_feasible_jobs(all.clone(), 0.0, 10.0);
    assert_eq!(by_id(feasible), [(2, 11.0), (3, 12.0), (4, -3.0)]);
    assert_eq!(select_feasible_jobs(all, 400.0, 10.0).len(), 4);
}

#[test]
fn a_job_that_misses_one_objective_is_tried_with_the_next() {
    let all = vec![candidate(1, 100.0, &[90.0, 5.0]), candidate(2, 50.0, &[5.0])];
    assert_eq!(by_id(select_feasible_jobs(all, 0.0, 10.0)), [(1, 90.0), (2, 5.0)]);
}

/// With the fair share of a team without a guarantee as its capacity, none of its jobs was
/// feasible. Its longest tasks started first, and an array that could have met its deadline only
/// started after them.
#[test]
fn feasibility_without_a_guarantee_is_measured_by_the_whole_fleet() {
    let mut test = TestCluster::new(0.0, &[job_spec(100, true)]);
    test.settings.teams.push(team("u", 2_000.0));
    test.settings.objectives = vec![Objective::Completed { class: "c".into(), within_s: 400.0 }];
    let (ctx, leader) = (test.context(0), test.leader(0));
    let feasible = |fleet_cpus| {
        find_feasible_slacks(&ctx, &leader.cluster, fleet_cpus, &[Resources::default(); 2])
    };
    assert!(feasible(1_000.0).contains_key(&JobId(1)));
    assert!(!feasible(50.0).contains_key(&JobId(1)));
}
