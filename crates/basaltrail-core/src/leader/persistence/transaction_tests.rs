use super::*;
use crate::store::records::{machine_registry_key, LEADER_KEY};

/// Several segments of the machine registry of nearly `value_kb` each would pass the limit of a
/// transaction together, and be refused for as long as they are written together.
#[test]
fn a_transaction_stays_within_the_limits_of_the_state_service() {
    let mut transaction = TransactionBuilder::new(Precondition::new(LEADER_KEY, Revision(1)), 24);
    let value = "x".repeat(15_000);
    let mut segments = 0;
    while transaction.has_room(1, value.len()) {
        transaction.put(Revision(7), machine_registry_key(segments), value.clone());
        segments += 1;
    }
    while transaction.has_room_for_outcome() {
        transaction.put_outcome(JobId(u64::MAX), Revision(u64::MAX));
    }
    let bytes = |p: &PutRequest| p.key.len() + p.value.len() + 64;
    let preconditions: usize = transaction.preconditions.iter().map(|p| p.key.len() + 64).sum();
    let deletes: usize = transaction.deletes.iter().map(|k| k.len() + 16).sum();
    let all = preconditions + deletes + transaction.puts.iter().map(bytes).sum::<usize>();
    assert!(segments == 3 && all <= 64 * 1024, "{segments} segments, {all} bytes");
    assert!(
        transaction.puts.len() + transaction.deletes.len() <= 24
            && transaction.preconditions.len() <= 4 * 24
    );
    // One value that is larger than all the rest together still goes out alone.
    assert!(
        TransactionBuilder::new(Precondition::new(LEADER_KEY, Revision(1)), 24).has_room(1, 60_000)
    );
}
