use super::*;
use crate::io::{Effect, StoreReply, StoreRequest};
use crate::leader::scheduler::test_cluster::TestCluster;
use crate::model::{FencingToken, Revision};
use crate::settings::sample::settings;
use crate::settings::Settings;
use crate::store::calls::StorePurpose;
use crate::store::records::machine_registry_key;
use std::sync::Arc;

/// The machine registry as the state service holds it, and how often it was written.
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
        let rows = |items| StoreReply::Page { items, more: false, revision: self.revision };
        let item = |(k, v): (&String, &String)| KeyValue {
            key: k.clone(),
            value: v.clone(),
            mod_revision: Revision(1),
            lease_id: None,
        };
        leader.load_reply(ctx, calls, rows(self.segments.iter().map(item).collect()));
        leader.load_reply(ctx, calls, rows(Vec::new()));
        leader.load_reply(ctx, calls, StoreReply::NotFound);
        assert!(leader.loaded());
        leader
    }

    /// Carries out one transaction; false if there was none.
    fn flush(&mut self, ctx: &Context, leader: &mut Leader) -> bool {
        let mut calls = Calls::default();
        calls.write_rate.set_rate(1e6);
        calls.store_rate.set_rate(1e6);
        leader.flush(ctx, &mut calls);
        let Some(Effect::Store {
            op, call: StoreRequest::Transaction { puts, deletes, .. }, ..
        }) = calls.effects.pop()
        else {
            return false;
        };
        assert!(puts.len() + deletes.len() <= ctx.cfg.transaction_ops);
        self.revision.0 += 1;
        for p in puts.into_iter().filter(|p| p.key.starts_with(MACHINE_REGISTRY_PREFIX)) {
            assert!(p.value.len() <= ctx.cfg.value_bytes, "{} holds {}", p.key, p.value.len());
            self.segments.insert(p.key, p.value);
        }
        let Some(StorePurpose::LeaderTransaction { pending, .. }) = calls.finish_store_call(op)
        else {
            panic!("no transaction")
        };
        leader.transaction_reply(ctx, *pending, StoreReply::Committed { revision: self.revision });
        true
    }

    /// Each machine is listed, and none passes for free on which a start may be made.
    fn assert_consistent(&self, leader: &Leader, names: usize, busy: &dyn Fn(usize) -> bool) {
        let records = self.records();
        for i in 0..names {
            let here: Vec<&MachineRecord> = records.iter().filter(|e| e.id == id(i)).collect();
            assert!(!here.is_empty(), "{} is lost", id(i));
            let free = here.iter().all(|e| e.free);
            assert!(!busy(i) || !free, "{} passes for free", id(i));
            let m = &leader.cluster.machines[&id(i)];
            assert!(
                !m.registered_in_use || here.iter().all(|e| !e.free),
                "{} is free somewhere",
                id(i)
            );
        }
    }
}

fn id(i: usize) -> MachineId {
    MachineId(Arc::from(format!("m-{i:06}")))
}

fn segment(range: std::ops::Range<usize>, free: impl Fn(usize) -> bool) -> String {
    let record = |i| MachineRecord {
        id: id(i),
        machine_type: "folio-box".into(),
        zone: "toowong-store".into(),
        spot: false,
        free: free(i),
    };
    encode(&range.map(record).collect::<Vec<_>>())
}

/// Few records fit into a segment, and few segments into a transaction.
fn cluster_with_small_values() -> TestCluster {
    let settings = Settings { value_bytes: 512, transaction_ops: 2, ..settings() };
    TestCluster { settings, ..TestCluster::new(0.0, &[]) }
}

/// A segment that an earlier version left larger than a value may be now is split. A
/// leader that ends after any piece leaves every machine where the next one finds it.
#[test]
fn an_oversized_segment_is_split_without_losing_a_machine() {
    let test = cluster_with_small_values();
    let ctx = test.context(500);
    let busy = |i: usize| !i.is_multiple_of(3);
    for ends_after in 0..12 {
        let mut stored = StoredRegistry::default();
        stored.segments.insert(machine_registry_key(0), segment(0..40, |i| !busy(i)));
        stored.segments.insert(machine_registry_key(1), segment(40..43, |i| !busy(i)));
        let mut leader = stored.load(&ctx);
        // Whichever part's turn it is.
        leader.registry.last_written = ends_after % 8;
        let mut touched = BTreeSet::new();
        for step in 0..60 {
            if step == ends_after {
                leader = stored.load(&ctx);
                touched.clear();
            }
            // Machines report while it goes on, and may be given work once that is stored.
            for i in [step * 7 % 43, (step * 7 + 12) % 43, (step * 7 + 30) % 43] {
                leader.set_registered_free(&id(i), false);
                touched.insert(i);
            }
            stored.flush(&ctx, &mut leader);
            stored.assert_consistent(&leader, 43, &|i| busy(i));
        }
        for _ in 0..200 {
            leader.writer.not_before = 0;
            if !stored.flush(&ctx, &mut leader) {
                break;
            }
            stored.assert_consistent(&leader, 43, &|i| busy(i));
        }
        assert!(leader.registry.waits.is_empty() && leader.registry.dirty.is_empty());
        assert_eq!(stored.records().len(), 43, "listed once each in the end");
        assert!(stored.segments.values().all(|v| v.len() <= ctx.cfg.value_bytes));
        assert!(
            touched.iter().all(|i| leader.cluster.machines[&id(*i)].registered_in_use),
            "no work for some"
        );
    }
}

/// A leader that ended while it cut, or an old version that wrote a segment again, leaves machines
/// in two segments, of which one may say that nothing runs there.
#[test]
fn a_machine_in_two_segments_is_free_only_if_both_say_so() {
    let test = cluster_with_small_values();
    let ctx = test.context(500);
    let mut stored = StoredRegistry::default();
    stored.segments.insert(machine_registry_key(0), segment(0..4, |i| i < 2));
    stored.segments.insert(machine_registry_key(1), segment(0..4, |i| i.is_multiple_of(2)));
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
