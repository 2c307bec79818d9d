use super::*;
use crate::store::records::{machine_registry_key, LEADER_KEY};

/// Several registry segments of nearly `value_kb` each would exceed the size limit of a transaction
/// together, and the state service would reject every retry that contains the same segments.
#[test]
fn a_transaction_stays_within_the_limits_of_the_state_service() {
    let mut transaction = TransactionBuilder::new(Precondition::new(LEADER_KEY, Revision(1)), 24);
    let value = "x".repeat(15_000);
    let mut segment_count = 0;
    while transaction.has_room(1, value.len()) {
        transaction.put(Revision(7), machine_registry_key(segment_count), value.clone());
        segment_count += 1;
    }
    while transaction.has_room_for_outcome() {
        transaction.put_outcome(JobId(u64::MAX), Revision(u64::MAX));
    }
    let put_bytes = |p: &PutRequest| p.key.len() + p.value.len() + 64;
    let precondition_bytes: usize =
        transaction.preconditions.iter().map(|p| p.key.len() + 64).sum();
    let delete_bytes: usize = transaction.deletes.iter().map(|k| k.len() + 16).sum();
    let total_bytes =
        precondition_bytes + delete_bytes + transaction.puts.iter().map(put_bytes).sum::<usize>();
    assert!(
        segment_count == 3 && total_bytes <= 64 * 1024,
        "{segment_count} segments, {total_bytes} bytes"
    );
    assert!(
        transaction.puts.len() + transaction.deletes.len() <= 24
            && transaction.preconditions.len() <= 4 * 24
    );
    // A value larger than the limit still fits into a transaction of its own.
    assert!(
        TransactionBuilder::new(Precondition::new(LEADER_KEY, Revision(1)), 24).has_room(1, 60_000)
    );
}
