use super::*;
use crate::leader::scheduler::test_cluster::TestCluster;
use crate::model::{JobSpec, Revision};
use crate::settings::sample::a_job;
use crate::store::records::{encode, LEDGER_KEY};

/// The next leader would learn of a crash loop anew, with all tasks of the job at once. And a
/// team that is named no more leaves jobs and amounts behind: they are kept, not run.
#[test]
fn a_new_leader_recovers_crash_loops_and_ignores_a_removed_team() {
    let gone = JobSpec { team: "gone".into(), ..a_job(9, true) };
    let test = TestCluster::new(8.0, &[a_job(9, true), gone]);
    let ctx = test.context(500);
    let room_after_failover = |value: &str| {
        let mut leader = test.leader(500);
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
        crash_looping_jobs: vec![JobId(1), JobId(2)],
    };
    assert_eq!(room_after_failover(&encode(&record)), 1);
    // As an earlier version wrote it.
    assert_eq!(room_after_failover(r#"{"teams":[["t",5.0,7.0]],"leases_end":0}"#), u32::MAX);
}
