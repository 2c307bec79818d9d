use super::*;
use crate::events::{LogEvent, MachineEvent};
use crate::io::Effect;
use crate::leader::autoscaler::partitions::is_silent_since_failover;
use crate::leader::scheduler::test_cluster::TestCluster;
use crate::lease_renewal::RenewalConditions;
use crate::model::{FencingToken, JobSpec, MachineId, Revision};
use crate::settings::fixtures::{heartbeat, job_spec};
use crate::store::records::{completions_key, encode, machine_registry_key, LEDGER_KEY};
use rand::rngs::SmallRng;
use rand::SeedableRng;

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

/// Time of the election in the tests of loading.
const ELECTED_AT: Ms = 500;
/// Time at which the loading leader answers a heartbeat.
const ANSWERED_AT: Ms = 3_500;
/// Time at which the last record is read.
const LOADED_AT: Ms = 4_500;

fn stored(key: String, value: String) -> KeyValue {
    KeyValue { key, value, mod_revision: Revision(1), lease_id: None }
}

/// Returns a registry segment that lists one machine as in use.
fn registry_segment(segment: usize, machine: &str) -> KeyValue {
    let record = MachineRecord {
        id: MachineId(machine.into()),
        machine_type: "x".into(),
        zone: "a".into(),
        spot: false,
        holds_no_tasks: false,
        terminating: false,
    };
    stored(machine_registry_key(segment), encode(&[record]))
}

/// Returns the replies with the records of an earlier leader: m-1 and m-2 on a page each, the
/// completion record of a job, and no ledger.
fn load_replies() -> [StoreReply; 4] {
    let page = |item, more| StoreReply::Page { items: vec![item], more, revision: Revision(2) };
    [
        page(registry_segment(0, "m-1"), true),
        page(registry_segment(1, "m-2"), false),
        page(stored(completions_key(JobId(7), 0), encode(&"0000000000000003")), false),
        StoreReply::NotFound,
    ]
}

/// Has the leader answer a heartbeat of m-1 that does not carry the leader's token.
fn answer_heartbeat_of_m_1(test: &TestCluster, leader: &mut Leader) {
    let ctx = test.context(ANSWERED_AT);
    let heartbeat = heartbeat("m-1", FencingToken(1));
    let conditions = RenewalConditions {
        cfg: ctx.cfg,
        job_cache: ctx.job_cache,
        now: ctx.now,
        lease_held_since: Some(ELECTED_AT),
        jobs_as_of: Some(ctx.now),
    };
    let permit = conditions.permit(&heartbeat);
    let mut rng = SmallRng::seed_from_u64(1);
    let answer = leader.answer_heartbeat(&ctx, &mut Calls::default(), &heartbeat, permit, &mut rng);
    assert!(answer.is_ok(), "{answer:?}");
}

/// Returns the machines whose leases a check at `now` expires, and the logged times since their
/// last renewals.
fn expire_leases(test: &TestCluster, leader: &mut Leader, now: Ms) -> Vec<(String, Ms)> {
    let mut calls = Calls::default();
    leader.check_machines(&test.context(now), &mut calls);
    let expired = |effect| match effect {
        Effect::Log(LogEvent::Machine(MachineEvent::LeaseExpired {
            machine,
            unrenewed_ms,
            ..
        })) => Some((machine.to_string(), unrenewed_ms)),
        _ => None,
    };
    calls.effects.into_iter().filter_map(expired).collect()
}

/// Guards against `ran_twice` by a leader that forgets a lease it renewed while it was loading. At
/// every point of loading, also between two pages of the registry, the lease counts from the answer.
#[test]
fn a_lease_renewed_at_any_point_of_loading_counts_from_the_answer() {
    let test = TestCluster::new(8.0, &[]);
    let lease_ms = test.settings.plus_drift_margin(test.settings.worker_lease_ms);
    for replies_before_answer in 0..load_replies().len() {
        let mut leader = test.leader(ELECTED_AT);
        for (index, reply) in load_replies().into_iter().enumerate() {
            if index == replies_before_answer {
                answer_heartbeat_of_m_1(&test, &mut leader);
            }
            leader.handle_load_reply(&test.context(LOADED_AT), &mut Calls::default(), reply);
        }
        assert!(leader.is_loaded());
        let silent = leader.cluster.machines.values().filter(|m| is_silent_since_failover(m));
        assert_eq!(
            silent.map(|machine| machine.id.to_string()).collect::<Vec<_>>(),
            ["m-2"],
            "answered after {replies_before_answer} replies"
        );
        let mut expire = |now| expire_leases(&test, &mut leader, now);
        assert_eq!(expire(ELECTED_AT + lease_ms), []);
        assert_eq!(
            expire(ANSWERED_AT + lease_ms),
            [("m-2".to_string(), ANSWERED_AT + lease_ms - ELECTED_AT)],
            "answered after {replies_before_answer} replies"
        );
        assert_eq!(expire(ANSWERED_AT + lease_ms + 1), [("m-1".to_string(), lease_ms + 1)]);
    }
}
