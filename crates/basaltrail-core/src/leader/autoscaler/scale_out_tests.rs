use super::*;
use crate::settings::sample::{a_job, a_type, settings};
use crate::settings::Team;

/// A job that met faulty machines twice is held back to one task. Nobody else wanted
/// machines of its kind, and it waited for ever.
#[test]
fn a_job_that_is_held_back_still_gets_a_machine_of_its_kind() {
    let inf = f64::INFINITY;
    let team = Team { name: "t".into(), cpus: 8.0, cpus_max: inf, gpus: 0.0, gpus_max: inf };
    let cfg = Settings { teams: vec![team], ..settings() };
    let spec = a_job(9, false);
    let types = [a_type()];
    let mut job_cache = JobCache::new(10);
    job_cache.put_active(JobId(1), Revision(1), JobRecord::new(0, spec));
    let ctx = Context {
        cfg: &cfg,
        types: &types,
        job_cache: &job_cache,
        now: 500,
        wall: 0,
        holds_valid_lease: true,
        job_cache_is_fresh: true,
    };
    let mut leader = Leader::new(&ctx, FencingToken(2), Revision(1));
    let kind = MachineKind { machine_type: "x".into(), zone: "a".into(), spot: false };
    assert_eq!(leader.lacking(&ctx, &[], &kind), 5);
    // Machines beyond the team's limit would come and go idle.
    let narrow = Team { cpus_max: 16.0, ..cfg.teams[0].clone() };
    let narrow = Settings { teams: vec![narrow], ..cfg.clone() };
    let limited = Context { cfg: &narrow, ..ctx };
    assert_eq!(leader.lacking(&limited, &[], &kind), 2);
    let job = leader.cluster.jobs.get_mut(&JobId(1)).unwrap();
    for m in ["m-1", "m-2"] {
        job.health.failed(&MachineId(m.into()), 500, cfg.lease_ms);
    }
    assert_eq!(leader.lacking(&ctx, &[], &kind), 1);
    assert_eq!(leader.demand(&ctx)[0].machines, 0.5);
}

/// A guest's array of 100,000 tasks asks for more machines than can report to a leader.
#[test]
fn a_team_without_a_limit_rents_no_more_than_can_report() {
    let inf = f64::INFINITY;
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: inf, gpus: 0.0, gpus_max: inf };
    let cfg = Settings { teams: vec![team], max_machines: 70, ..settings() };
    let spec = a_job(100_000, true);
    let types = [a_type()];
    let mut job_cache = JobCache::new(10);
    job_cache.put_active(JobId(1), Revision(1), JobRecord::new(0, spec));
    let ctx = Context {
        cfg: &cfg,
        types: &types,
        job_cache: &job_cache,
        now: 500,
        wall: 0,
        holds_valid_lease: true,
        job_cache_is_fresh: true,
    };
    let mut leader = Leader::new(&ctx, FencingToken(2), Revision(1));
    leader.plan(&ctx, &mut Calls::default());
    assert_eq!(leader.autoscaler.rental.asked(|_| true), 70);
}

/// A machine that never came stood for room for as long as four boots and two leases,
/// while the work that it was rented for waited.
#[test]
fn late_machines_are_rented_elsewhere() {
    let inf = f64::INFINITY;
    let team = Team { name: "t".into(), cpus: 0.0, cpus_max: inf, gpus: 0.0, gpus_max: inf };
    let cfg = Settings { teams: vec![team], ..settings() };
    let types = [a_type()];
    let mut job_cache = JobCache::new(10);
    job_cache.put_active(JobId(1), Revision(1), JobRecord::new(0, a_job(9, true)));
    let ctx = Context {
        cfg: &cfg,
        types: &types,
        job_cache: &job_cache,
        now: 500,
        wall: 0,
        holds_valid_lease: true,
        job_cache_is_fresh: true,
    };
    let calls = &mut Calls::default();
    let mut leader = Leader::new(&ctx, FencingToken(2), Revision(1));
    leader.plan(&ctx, calls);
    assert_eq!(leader.autoscaler.rental.asked(|_| true), 5);
    let zone = leader.autoscaler.rental.pending[0].kind.zone.clone();
    let name = leader.autoscaler.rental.pending[0].requisition.clone();
    let ids = (0..5).map(|i| MachineId(format!("m-{i}").into())).collect();
    leader.rent_answer(&ctx, calls, &name, CloudReply::Provisioned(ids));
    leader.plan(&Context { now: 45_000, ..ctx }, calls);
    assert_eq!(leader.autoscaler.rental.asked(|_| true), 0, "they may still come");
    leader.plan(&Context { now: 51_000, ..ctx }, calls);
    assert_eq!(leader.autoscaler.rental.asked(|_| true), 5);
    let there = leader.autoscaler.rental.asked(|k| k.zone == zone);
    assert!(there <= 2, "{there} more where none came");
    // Nobody is rented a third time, and those that never came go back.
    leader.plan(&Context { now: 81_000, ..ctx }, calls);
    assert!(leader.cluster.machines.values().all(|m| m.given_up));
}
