use super::*;
use crate::settings::sample::{a_job, settings};
use crate::settings::{Objective, Team};

/// By its quota no job of a guest could be in time: its longest tasks went first, and
/// an array with a date ahead began when they were done.
#[test]
fn a_guests_job_with_a_date_is_in_reach() {
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
    let mut leader = Leader::new(&ctx, FencingToken(2), Revision(1));
    leader.scheduler.fleet_cpus = 1_000.0;
    assert!(leader.find_reach(&ctx, &[(0.0, 0.0); 2]).contains_key(&JobId(1)));
    leader.scheduler.fleet_cpus = 50.0;
    assert!(!leader.find_reach(&ctx, &[(0.0, 0.0); 2]).contains_key(&JobId(1)));
}
