use super::*;
use crate::jobs::JobCache;
use crate::model::{FencingToken, JobSpec, Revision};
use crate::settings::sample::{a_job, settings};
use crate::settings::{Settings, Team};
use crate::store::records::{encode, JobRecord, LEDGER_KEY};

/// The next leader would learn of a crash loop anew, with all tasks of the job at once. And a
/// team that is named no more leaves jobs and amounts behind: they are kept, not run.
#[test]
fn a_new_leader_recovers_crash_loops_and_ignores_a_removed_team() {
    let inf = f64::INFINITY;
    let team = Team { name: "t".into(), cpus: 8.0, cpus_max: inf, gpus: 0.0, gpus_max: inf };
    let cfg = Settings { teams: vec![team], ..settings() };
    let mut job_cache = JobCache::new(10);
    job_cache.put_active(JobId(1), Revision(1), JobRecord::new(0, a_job(9, true)));
    let gone = JobSpec { team: "gone".into(), ..a_job(9, true) };
    job_cache.put_active(JobId(2), Revision(2), JobRecord::new(0, gone));
    let ctx = Context {
        cfg: &cfg,
        types: &[],
        job_cache: &job_cache,
        now: 500,
        wall: 0,
        holds_valid_lease: true,
        job_cache_is_fresh: true,
    };
    let room_after_failover = |value: &str| {
        let mut leader = Leader::new(&ctx, FencingToken(2), Revision(1));
        leader.failover.loading = Loading::Ledger;
        let item = KeyValue {
            key: LEDGER_KEY.into(),
            value: value.into(),
            mod_revision: Revision(3),
            lease_id: None,
        };
        leader.load_reply(&ctx, &mut Calls::default(), StoreReply::KeyValue(item));
        assert!(leader.loaded() && !leader.cluster.jobs.contains_key(&JobId(2)));
        leader.cluster.jobs[&JobId(1)].health.max_new_tasks(0)
    };
    let record = LedgerRecord {
        teams: vec![("gone".into(), 5.0, 7.0)],
        leases_end: 0,
        suspects: vec![JobId(1), JobId(2)],
    };
    assert_eq!(room_after_failover(&encode(&record)), 1);
    // As an earlier version wrote it.
    assert_eq!(room_after_failover(r#"{"teams":[["t",5.0,7.0]],"leases_end":0}"#), u32::MAX);
}
