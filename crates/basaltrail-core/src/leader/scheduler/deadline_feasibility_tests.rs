use super::*;
use crate::jobs::JobCache;
use crate::leader::Leader;
use crate::model::{FencingToken, Revision};
use crate::settings::sample::{a_job, settings};
use crate::settings::{Objective, Settings, Team};
use crate::store::records::JobRecord;

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
fn one_large_job_gives_way_to_many_small_ones() {
    let all = vec![
        candidate(1, 400.0, &[10.0]),
        candidate(2, 20.0, &[11.0]),
        candidate(3, 20.0, &[12.0]),
        candidate(4, 0.0, &[-3.0]),
    ];
    let feasible = feasible_jobs(all.clone(), 0.0, 10.0);
    assert_eq!(by_id(feasible), [(2, 11.0), (3, 12.0), (4, -3.0)]);
    assert_eq!(feasible_jobs(all, 400.0, 10.0).len(), 4);
}

#[test]
fn a_job_that_misses_one_objective_tries_the_next() {
    let all = vec![candidate(1, 100.0, &[90.0, 5.0]), candidate(2, 50.0, &[5.0])];
    assert_eq!(by_id(feasible_jobs(all, 0.0, 10.0)), [(1, 90.0), (2, 5.0)]);
}

/// By its quota no job of a team without a guarantee could be in time: its longest tasks went
/// first, and an array with a deadline ahead began when they were done.
#[test]
fn a_job_of_a_team_without_guarantee_is_feasible_by_the_whole_fleet() {
    let inf = f64::INFINITY;
    let team = |name: &str, cpus| Team {
        name: name.into(),
        cpus,
        cpus_max: inf,
        gpus: 0.0,
        gpus_max: inf,
    };
    let cfg = Settings {
        teams: vec![team("t", 0.0), team("u", 2_000.0)],
        objectives: vec![Objective::Finished { class: "c".into(), within_s: 400.0 }],
        ..settings()
    };
    let mut job_cache = JobCache::new(10);
    job_cache.put_active(JobId(1), Revision(1), JobRecord::new(0, a_job(100, true)));
    let ctx = Context {
        cfg: &cfg,
        types: &[],
        job_cache: &job_cache,
        now: 0,
        wall: 0,
        holds_valid_lease: true,
        job_cache_is_fresh: true,
    };
    let leader = Leader::new(&ctx, FencingToken(2), Revision(1));
    let feasible =
        |fleet_cpus| find_feasible(&ctx, &leader.cluster, fleet_cpus, &[Resources::default(); 2]);
    assert!(feasible(1_000.0).contains_key(&JobId(1)));
    assert!(!feasible(50.0).contains_key(&JobId(1)));
}
