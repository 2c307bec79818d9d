use super::*;
use crate::io::{CloudReply, CloudRequest, Effect, StoreReply, StoreRequest};
use crate::leader::scheduler::test_cluster::TestCluster;
use crate::model::{FencingToken, Ms, Revision};
use crate::settings::fixtures::settings;
use crate::settings::Settings;
use crate::store::calls::StorePurpose;
use crate::store::records::machine_registry_key;
use std::sync::Arc;

/// The machine registry as stored in the state service, and the revision of its last write.
#[derive(Clone, Default)]
struct StoredRegistry {
    segments: BTreeMap<String, String>,
    revision: Revision,
}

impl StoredRegistry {
    fn records(&self) -> Vec<MachineRecord> {
        self.segments.values().flat_map(|v| decode::<Vec<MachineRecord>>(v).unwrap()).collect()
    }

    fn load(&self, ctx: &Context) -> Leader {
        let mut leader = Leader::new(ctx, FencingToken(2), Revision(1));
        let calls = &mut Calls::default();
        let page = |items| StoreReply::Page { items, more: false, revision: self.revision };
        let item = |(k, v): (&String, &String)| KeyValue {
            key: k.clone(),
            value: v.clone(),
            mod_revision: Revision(1),
            lease_id: None,
        };
        leader.handle_load_reply(ctx, calls, page(self.segments.iter().map(item).collect()));
        leader.handle_load_reply(ctx, calls, page(Vec::new()));
        leader.handle_load_reply(ctx, calls, StoreReply::NotFound);
        assert!(leader.is_loaded());
        leader
    }

    /// Commits the leader's next transaction; false if there is none.
    fn flush(&mut self, ctx: &Context, leader: &mut Leader) -> bool {
        let mut calls = Calls::default();
        calls.write_limiter.set_rate(1e6);
        calls.store_limiter.set_rate(1e6);
        leader.flush(ctx, &mut calls);
        let Some(Effect::Store {
            call_id,
            request: StoreRequest::Transaction { puts, deletes, .. },
            ..
        }) = calls.effects.pop()
        else {
            return false;
        };
        assert!(puts.len() + deletes.len() <= ctx.cfg.max_transaction_ops);
        self.revision.0 += 1;
        for put in puts.into_iter().filter(|put| put.key.starts_with(MACHINE_REGISTRY_PREFIX)) {
            assert!(
                put.value.len() <= ctx.cfg.max_value_bytes,
                "{} holds {} bytes",
                put.key,
                put.value.len()
            );
            self.segments.insert(put.key, put.value);
        }
        let Some(StorePurpose::LeaderTransaction { pending, .. }) =
            calls.finish_store_call(call_id)
        else {
            panic!("the call is not a transaction of the leader")
        };
        leader.handle_transaction_reply(
            ctx,
            *pending,
            StoreReply::Committed { revision: self.revision },
        );
        true
    }

    /// Asserts that each machine is listed, and that none is listed as free while it is busy or
    /// tasks may be started on it.
    fn assert_consistent(
        &self,
        leader: &Leader,
        machine_count: usize,
        is_busy: &dyn Fn(usize) -> bool,
    ) {
        let records = self.records();
        for i in 0..machine_count {
            let listed: Vec<&MachineRecord> =
                records.iter().filter(|record| record.id == id(i)).collect();
            assert!(!listed.is_empty(), "{} is not listed", id(i));
            let is_free = listed.iter().all(|record| record.holds_no_tasks);
            assert!(!is_busy(i) || !is_free, "{} is busy and listed as free", id(i));
            let machine = &leader.cluster.machines[&id(i)];
            assert!(
                !machine.registered_in_use || listed.iter().all(|record| !record.holds_no_tasks),
                "{} may hold tasks and is listed as free in a segment",
                id(i)
            );
        }
    }
}

fn id(i: usize) -> MachineId {
    MachineId(Arc::from(format!("m-{i:06}")))
}

fn encoded_segment(range: std::ops::Range<usize>, is_free: impl Fn(usize) -> bool) -> String {
    let record = |i| MachineRecord {
        id: id(i),
        machine_type: "folio-box".into(),
        zone: "toowong-store".into(),
        spot: false,
        holds_no_tasks: is_free(i),
        terminating: false,
    };
    encode(&range.map(record).collect::<Vec<_>>())
}

/// Returns a cluster whose settings allow few records in a segment and two segments in a
/// transaction.
fn cluster_with_small_values() -> TestCluster {
    let settings = Settings { max_value_bytes: 512, max_transaction_ops: 2, ..settings() };
    TestCluster { settings, ..TestCluster::new(0.0, &[]) }
}

/// A segment that exceeds the size limit of a value is split over several transactions. A leader
/// that ends after any of them must leave every machine listed for the next leader.
#[test]
fn an_oversized_segment_is_split_without_losing_a_machine() {
    let test = cluster_with_small_values();
    let ctx = test.context(500);
    let is_busy = |i: usize| !i.is_multiple_of(3);
    for ends_after in 0..12 {
        let mut stored = StoredRegistry::default();
        stored.segments.insert(machine_registry_key(0), encoded_segment(0..40, |i| !is_busy(i)));
        stored.segments.insert(machine_registry_key(1), encoded_segment(40..43, |i| !is_busy(i)));
        let mut leader = stored.load(&ctx);
        // Start the round-robin order at any segment.
        leader.registry.last_written = ends_after % 8;
        let mut reported = BTreeSet::new();
        for step in 0..60 {
            if step == ends_after {
                leader = stored.load(&ctx);
                reported.clear();
            }
            // Machines send heartbeats during the split; tasks may start on them once their use
            // is stored.
            for i in [step * 7 % 43, (step * 7 + 12) % 43, (step * 7 + 30) % 43] {
                leader.set_registered_free(&id(i), false);
                reported.insert(i);
            }
            stored.flush(&ctx, &mut leader);
            stored.assert_consistent(&leader, 43, &|i| is_busy(i));
        }
        for _ in 0..200 {
            leader.writer.next_transaction_at = 0;
            if !stored.flush(&ctx, &mut leader) {
                break;
            }
            stored.assert_consistent(&leader, 43, &|i| is_busy(i));
        }
        assert!(leader.registry.write_dependencies.is_empty() && leader.registry.dirty.is_empty());
        assert_eq!(stored.records().len(), 43, "each machine is listed once");
        assert!(stored.segments.values().all(|v| v.len() <= ctx.cfg.max_value_bytes));
        assert!(
            reported.iter().all(|i| leader.cluster.machines[&id(*i)].registered_in_use),
            "no tasks can start on some machines"
        );
    }
}

/// A leader that ends during a split, or an earlier version that rewrites a segment, leaves
/// machines in two segments. It is possible that only one of them lists a machine as free.
#[test]
fn a_machine_in_two_segments_is_free_only_if_both_list_it_as_free() {
    let test = cluster_with_small_values();
    let ctx = test.context(500);
    let mut stored = StoredRegistry::default();
    stored.segments.insert(machine_registry_key(0), encoded_segment(0..4, |i| i < 2));
    stored.segments.insert(machine_registry_key(1), encoded_segment(0..4, |i| i.is_multiple_of(2)));
    let mut leader = stored.load(&ctx);
    let reconciled: Vec<bool> =
        (0..4).map(|i| leader.cluster.machines[&id(i)].reconciled).collect();
    assert_eq!(reconciled, [true, false, false, false]);
    assert!(
        !leader.cluster.machines[&id(1)].registered_in_use
            && !leader.cluster.machines[&id(2)].registered_in_use
    );
    for _ in 0..20 {
        stored.flush(&ctx, &mut leader);
        stored.assert_consistent(&leader, 4, &|i| i > 0);
    }
    assert_eq!(stored.records().len(), 4);
    assert!(
        leader.cluster.machines[&id(1)].registered_in_use
            && leader.cluster.machines[&id(2)].registered_in_use
    );
}

/// Returns the machines in the termination requests that the leader sends now.
fn terminated_by(leader: &mut Leader, ctx: &Context) -> Vec<MachineId> {
    let mut calls = Calls::default();
    calls.cloud_limiter.set_rate(100.0);
    leader.scale_in(ctx, &mut calls);
    let machines = |effect| match effect {
        Effect::Cloud { request: CloudRequest::Terminate(machines), .. } => machines,
        _ => Vec::new(),
    };
    calls.effects.into_iter().flat_map(machines).collect()
}

/// Makes a machine empty, in contact and drained.
fn drain(leader: &mut Leader, machine: &MachineId, now: Ms) {
    let machine = leader.cluster.machines.get_mut(machine).unwrap();
    machine.decommission = Decommission::Draining;
    (machine.last_heartbeat_at, machine.answer_received_at) = (Some(now), Some(now));
}

/// Guards against a termination request that the cloud executes late, after the next leader has
/// started tasks on the machine.
#[test]
fn a_machine_is_terminated_only_after_the_registry_says_so() {
    let test = TestCluster::new(0.0, &[]);
    let ctx = test.context(500);
    let mut stored = StoredRegistry::default();
    stored.segments.insert(machine_registry_key(0), encoded_segment(0..3, |_| true));
    let mut leader = stored.load(&ctx);
    drain(&mut leader, &id(1), 450);
    let decommission = |leader: &Leader, i: usize| leader.cluster.machines[&id(i)].decommission;
    assert_eq!(terminated_by(&mut leader, &ctx), []);
    assert_eq!(decommission(&leader, 1), Decommission::Terminating);
    // The leader may end here: no request was sent, and the next leader may use the machine.
    assert_eq!(decommission(&stored.load(&ctx), 1), Decommission::None);
    assert!(stored.flush(&ctx, &mut leader));
    assert_eq!(terminated_by(&mut leader, &ctx), [id(1)]);
    // The leader may end before the request is executed. The next leader does not use the machine,
    // and terminates it itself, although it has not heard from it.
    let mut next = stored.load(&ctx);
    assert_eq!(decommission(&next, 1), Decommission::Terminating);
    assert_eq!(decommission(&next, 0), Decommission::None);
    assert_eq!(terminated_by(&mut next, &ctx), [id(1)]);
    let reply = CloudReply::Terminated;
    next.apply_termination_reply(&ctx, &mut Calls::default(), vec![id(1)], reply);
    assert!(stored.flush(&ctx, &mut next));
    let listed: Vec<MachineId> = stored.records().into_iter().map(|record| record.id).collect();
    assert_eq!(listed, [id(0), id(2)]);
}

/// An earlier version may have rewritten one of the segments that list a machine.
#[test]
fn a_machine_in_two_segments_is_terminating_if_either_says_so() {
    let test = cluster_with_small_values();
    let ctx = test.context(500);
    for marked in [0, 1] {
        let mut stored = StoredRegistry::default();
        for segment in [0, 1] {
            let text = encoded_segment(0..2, |_| true);
            let mark = |text: String| text.replacen(r#""f":true"#, r#""f":true,"t":true"#, 1);
            let text = if segment == marked { mark(text) } else { text };
            stored.segments.insert(machine_registry_key(segment), text);
        }
        let mut leader = stored.load(&ctx);
        let is_terminating = |leader: &Leader, i: usize| {
            leader.cluster.machines[&id(i)].decommission == Decommission::Terminating
        };
        assert!(is_terminating(&leader, 0) && !is_terminating(&leader, 1));
        for _ in 0..20 {
            stored.flush(&ctx, &mut leader);
            assert!(is_terminating(&stored.load(&ctx), 0), "the mark is kept");
        }
        assert_eq!(stored.records().iter().filter(|record| record.terminating).count(), 1);
    }
}

/// Guards against values that are too long because of the marks: segments of earlier versions are
/// filled without room for them. A machine whose mark does not fit is terminated without it.
#[test]
fn marks_of_terminating_machines_fit_into_the_values() {
    let test = cluster_with_small_values();
    let ctx = test.context(500);
    let mut stored = StoredRegistry::default();
    let full = encoded_segment(0..6, |_| true);
    assert!((440..512).contains(&full.len()), "{}", full.len());
    stored.segments.insert(machine_registry_key(0), full);
    let mut leader = stored.load(&ctx);
    (0..6).for_each(|i| drain(&mut leader, &id(i), 450));
    let mut terminated = terminated_by(&mut leader, &ctx);
    assert_eq!(terminated, []);
    assert!(stored.flush(&ctx, &mut leader));
    assert!(stored.records().iter().any(|record| record.terminating));
    terminated = terminated_by(&mut leader, &ctx);
    assert_eq!(terminated.len(), 6, "{terminated:?}");
}
