use super::*;
use crate::jobs::JobCache;
use crate::leader::Leader;
use crate::model::{FencingToken, JobId, MachineId, Revision};
use crate::settings::sample::{a_job, a_type, settings};
use crate::settings::{Settings, Team};
use crate::store::records::JobRecord;

/// A job that met faulty machines twice is held back to one task. No other job wanted machines of
/// its kind, and it waited without end.
#[test]
fn a_crash_looping_job_still_gets_a_machine_of_its_kind() {
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
    assert_eq!(missing_for_constrained_jobs(&ctx, &leader.cluster, &[], &kind), 5);
    // Machines beyond the team's limit would come and go idle.
    let narrow = Team { cpus_max: 16.0, ..cfg.teams[0].clone() };
    let narrow = Settings { teams: vec![narrow], ..cfg.clone() };
    let limited = Context { cfg: &narrow, ..ctx };
    assert_eq!(missing_for_constrained_jobs(&limited, &leader.cluster, &[], &kind), 2);
    let job = leader.cluster.jobs.get_mut(&JobId(1)).unwrap();
    for m in ["m-1", "m-2"] {
        job.health.failed(&MachineId(m.into()), 500, cfg.lease_ms);
    }
    assert_eq!(missing_for_constrained_jobs(&ctx, &leader.cluster, &[], &kind), 1);
    assert_eq!(demand_by_type(&ctx, &leader.cluster)[0].machines, 0.5);
}
