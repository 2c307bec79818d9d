use super::*;
use crate::settings::sample::settings;
use std::sync::Arc;

/// The roster as the state service holds it, and how often it was written.
#[derive(Clone, Default)]
struct Kept {
    parts: BTreeMap<String, String>,
    revision: u64,
}

impl Kept {
    fn entries(&self) -> Vec<RosterEntry> {
        self.parts.values().flat_map(|v| decode::<Vec<RosterEntry>>(v).unwrap()).collect()
    }

    fn load(&self, ctx: &Context) -> Leadership {
        let mut leadership = Leadership::new(ctx, Token(2), 1);
        let calls = &mut Calls::default();
        let rows = |items| StateReply::Rows { items, more: false, revision: self.revision };
        let item = |(k, v): (&String, &String)| Item {
            key: k.clone(),
            value: v.clone(),
            stamp: 1,
            loan: None,
        };
        leadership.load_answer(ctx, calls, rows(self.parts.iter().map(item).collect()));
        leadership.load_answer(ctx, calls, rows(Vec::new()));
        leadership.load_answer(ctx, calls, StateReply::Missing);
        assert!(leadership.loaded());
        leadership
    }

    /// Carries out one flush; false if there was none.
    fn flush(&mut self, ctx: &Context, leadership: &mut Leadership) -> bool {
        let mut calls = Calls::default();
        calls.writes.set_rate(1e6);
        calls.state.set_rate(1e6);
        leadership.flush(ctx, &mut calls);
        let Some(Effect::State { op, call: StateOp::Txn { puts, removes, .. }, .. }) =
            calls.out.pop()
        else {
            return false;
        };
        assert!(puts.len() + removes.len() <= ctx.cfg.txn_ops);
        self.revision += 1;
        for p in puts.into_iter().filter(|p| p.key.starts_with(ROSTER)) {
            assert!(p.value.len() <= ctx.cfg.value_bytes, "{} holds {}", p.key, p.value.len());
            self.parts.insert(p.key, p.value);
        }
        let Some(Purpose::PendingWrite { flush, .. }) = calls.take(op) else { panic!("no flush") };
        leadership.flush_answer(ctx, *flush, StateReply::Committed { revision: self.revision });
        true
    }

    /// Each name is somewhere, and nowhere is free what a start may be made on.
    fn check(&self, leadership: &Leadership, names: usize, busy: &dyn Fn(usize) -> bool) {
        let entries = self.entries();
        for i in 0..names {
            let here: Vec<&RosterEntry> = entries.iter().filter(|e| e.id == id(i)).collect();
            assert!(!here.is_empty(), "{} is lost", id(i));
            let free = here.iter().all(|e| e.free);
            assert!(!busy(i) || !free, "{} passes for free", id(i));
            let m = &leadership.machines[&id(i)];
            assert!(!m.durable || here.iter().all(|e| !e.free), "{} is free somewhere", id(i));
        }
    }
}

fn id(i: usize) -> MachineId {
    MachineId(Arc::from(format!("m-{i:06}")))
}

fn part(range: std::ops::Range<usize>, free: impl Fn(usize) -> bool) -> String {
    let entry = |i| RosterEntry {
        id: id(i),
        machine_type: "folio-box".into(),
        zone: "toowong-store".into(),
        spot: false,
        free: free(i),
    };
    encode(&range.map(entry).collect::<Vec<_>>())
}

fn limits() -> Settings {
    Settings { value_bytes: 512, txn_ops: 2, ..settings() }
}

/// What an earlier version left larger than a value may be now is cut, a piece at a time. A
/// leader that ends after any piece leaves every name where the next one finds it.
#[test]
fn a_large_part_is_cut_without_losing_a_name() {
    let (cfg, table) = (limits(), Table::new(10));
    let ctx = Context {
        cfg: &cfg,
        types: &[],
        table: &table,
        now: 500,
        wall: 0,
        entitled: true,
        view_is_fresh: true,
    };
    let busy = |i: usize| !i.is_multiple_of(3);
    for ends_after in 0..12 {
        let mut kept = Kept::default();
        kept.parts.insert(roster_key(0), part(0..40, |i| !busy(i)));
        kept.parts.insert(roster_key(1), part(40..43, |i| !busy(i)));
        let mut leadership = kept.load(&ctx);
        // Whichever part's turn it is.
        leadership.roster_last = ends_after % 8;
        let mut touched = BTreeSet::new();
        for step in 0..60 {
            if step == ends_after {
                leadership = kept.load(&ctx);
                touched.clear();
            }
            // Machines report while it goes on, and may be given work once that is kept.
            for i in [step * 7 % 43, (step * 7 + 12) % 43, (step * 7 + 30) % 43] {
                leadership.note_free(&id(i), false);
                touched.insert(i);
            }
            kept.flush(&ctx, &mut leadership);
            kept.check(&leadership, 43, &|i| busy(i));
        }
        for _ in 0..200 {
            leadership.flush_not_before = 0;
            if !kept.flush(&ctx, &mut leadership) {
                break;
            }
            kept.check(&leadership, 43, &|i| busy(i));
        }
        assert!(leadership.roster_waits.is_empty() && leadership.roster_dirty.is_empty());
        assert_eq!(kept.entries().len(), 43, "named once each in the end");
        assert!(kept.parts.values().all(|v| v.len() <= cfg.value_bytes));
        assert!(touched.iter().all(|i| leadership.machines[&id(*i)].durable), "no work for some");
    }
}

/// A leader that ended while it cut, or an old version that wrote a part again, leaves names
/// in two parts, of which one may say that nothing runs there.
#[test]
fn a_name_in_two_parts_is_free_only_if_both_say_so() {
    let (cfg, table) = (limits(), Table::new(10));
    let ctx = Context {
        cfg: &cfg,
        types: &[],
        table: &table,
        now: 500,
        wall: 0,
        entitled: true,
        view_is_fresh: true,
    };
    let mut kept = Kept::default();
    kept.parts.insert(roster_key(0), part(0..4, |i| i < 2));
    kept.parts.insert(roster_key(1), part(0..4, |i| i.is_multiple_of(2)));
    let mut leadership = kept.load(&ctx);
    let reconciled: Vec<bool> = (0..4).map(|i| leadership.machines[&id(i)].reconciled).collect();
    assert_eq!(reconciled, [true, false, false, false]);
    assert!(!leadership.machines[&id(1)].durable && !leadership.machines[&id(2)].durable);
    for _ in 0..20 {
        kept.flush(&ctx, &mut leadership);
        kept.check(&leadership, 4, &|i| i > 0);
    }
    assert_eq!(kept.entries().len(), 4);
    assert!(leadership.machines[&id(1)].durable && leadership.machines[&id(2)].durable);
}
