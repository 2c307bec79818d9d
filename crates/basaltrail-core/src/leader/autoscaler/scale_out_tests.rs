use super::*;
use crate::jobs::JobCache;
use crate::leader::Leader;
use crate::model::{FencingToken, JobId, Revision};
use crate::settings::sample::{a_job, a_type, settings};
use crate::settings::{Settings, Team};
use crate::store::records::JobRecord;

/// An array of 100,000 tasks asks for more machines than can report to a leader.
#[test]
fn a_team_without_a_limit_gets_no_more_machines_than_can_report() {
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
    leader.plan_fleet(&ctx, &mut Calls::default());
    assert_eq!(leader.autoscaler.provisioning.requested(|_| true), 70);
}

/// A machine that never came up counted as capacity for as long as four boots and two leases,
/// while the work that it was requested for waited.
#[test]
fn overdue_machines_are_replaced_in_other_zones() {
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
    leader.plan_fleet(&ctx, calls);
    assert_eq!(leader.autoscaler.provisioning.requested(|_| true), 5);
    let zone = leader.autoscaler.provisioning.pending[0].kind.zone.clone();
    let name = leader.autoscaler.provisioning.pending[0].requisition.clone();
    let ids = (0..5).map(|i| MachineId(format!("m-{i}").into())).collect();
    leader.provisioning_answer(&ctx, calls, &name, CloudReply::Provisioned(ids));
    leader.plan_fleet(&Context { now: 45_000, ..ctx }, calls);
    assert_eq!(leader.autoscaler.provisioning.requested(|_| true), 0, "they may still come");
    leader.plan_fleet(&Context { now: 51_000, ..ctx }, calls);
    assert_eq!(leader.autoscaler.provisioning.requested(|_| true), 5);
    let there = leader.autoscaler.provisioning.requested(|k| k.zone == zone);
    assert!(there <= 2, "{there} more where none came");
    // None is requested a third time, and those that never came up are abandoned.
    leader.plan_fleet(&Context { now: 81_000, ..ctx }, calls);
    assert!(leader.cluster.machines.values().all(|m| m.given_up));
}
