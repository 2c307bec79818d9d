use super::*;
use crate::leader::scheduler::test_cluster::TestCluster;
use crate::model::{JobSpec, Revision};
use crate::settings::fixtures::job_spec;
use crate::store::records::{encode, LEDGER_KEY};

/// Without the recorded crash loops, a new leader would start all tasks of a crash-looping job at
/// once before detecting the loop again. Jobs and ledger entries of a team that was removed from
/// the settings are kept in the store, and the jobs are not run.
#[test]
fn a_new_leader_recovers_crash_loops_and_ignores_a_removed_team() {
    let job_of_removed_team = JobSpec { team: "gone".into(), ..job_spec(9, true) };
    let test = TestCluster::new(8.0, &[job_spec(9, true), job_of_removed_team]);
    let ctx = test.context(500);
    let max_new_tasks_after_failover = |value: &str| {
        let mut leader = test.leader(500);
        leader.failover.load_stage = LoadStage::Ledger;
        let item = KeyValue {
            key: LEDGER_KEY.into(),
            value: value.into(),
            mod_revision: Revision(3),
            lease_id: None,
        };
        leader.handle_load_reply(&ctx, &mut Calls::default(), StoreReply::KeyValue(item));
        assert!(leader.is_loaded() && !leader.cluster.jobs.contains_key(&JobId(2)));
        leader.cluster.jobs[&JobId(1)].health.max_new_tasks(0)
    };
    let record = LedgerRecord {
        teams: vec![("gone".into(), 5.0, 7.0)],
        leases_end: 0,
        crash_looping_jobs: vec![JobId(1), JobId(2)],
    };
    assert_eq!(max_new_tasks_after_failover(&encode(&record)), 1);
    // The format of an earlier version, without crash loops.
    assert_eq!(
        max_new_tasks_after_failover(r#"{"teams":[["t",5.0,7.0]],"leases_end":0}"#),
        u32::MAX
    );
}
