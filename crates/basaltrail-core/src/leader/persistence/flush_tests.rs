use super::*;

/// Several parts of the machine registry of nearly `value_kb` each would pass the limit of a
/// transaction together, and be refused for as long as they are written together.
#[test]
fn a_transaction_stays_within_the_bytes_of_the_service() {
    let mut t = Txn::new(Precondition::new(LEADER_KEY, Revision(1)), 24);
    let value = "x".repeat(15_000);
    let mut parts = 0;
    while t.room(1, value.len()) {
        t.put(Revision(7), machine_registry_key(parts), value.clone());
        parts += 1;
    }
    while t.room(2, 128) {
        t.put_end(JobId(u64::MAX), Revision(u64::MAX));
    }
    let bytes = |p: &PutRequest| p.key.len() + p.value.len() + 64;
    let preconditions: usize = t.preconditions.iter().map(|p| p.key.len() + 64).sum();
    let deletes: usize = t.deletes.iter().map(|k| k.len() + 16).sum();
    let all = preconditions + deletes + t.puts.iter().map(bytes).sum::<usize>();
    assert!(parts == 3 && all <= 64 * 1024, "{parts} parts, {all} bytes");
    assert!(t.puts.len() + t.deletes.len() <= 24 && t.preconditions.len() <= 4 * 24);
    // One value that is larger than all the rest together still goes out alone.
    assert!(Txn::new(Precondition::new(LEADER_KEY, Revision(1)), 24).room(1, 60_000));
}
