use super::*;
use crate::io::KeyValue;
use crate::settings::sample::a_type;
use crate::store::records::MACHINE_TYPES_KEY;

const VALUE_BYTES: usize = 4_096;

fn stored(types: &[MachineType]) -> StoreReply {
    let value = encode(&types);
    StoreReply::KeyValue(KeyValue {
        key: MACHINE_TYPES_KEY.into(),
        value,
        mod_revision: Revision(3),
        lease_id: None,
    })
}

/// A controller that does not lead asks the cloud only as long as it knows no types.
#[test]
fn stored_types_are_read_before_the_cloud_is_asked() {
    let mut types = MachineTypes::default();
    assert_eq!(types.call_due(0, VALUE_BYTES, false), Some(TypesCall::Read));
    types.sent();
    assert_eq!(types.call_due(0, VALUE_BYTES, false), None);
    types.read(StoreReply::Unknown, 50);
    assert_eq!((types.call_due(49, VALUE_BYTES, false), types.known().len()), (None, 0));
    types.read(stored(&[a_type()]), 0);
    assert_eq!(types.known().len(), 1);
    assert_eq!(types.call_due(100, VALUE_BYTES, false), None);
    assert_eq!(types.call_due(100, VALUE_BYTES, true), Some(TypesCall::AskCloud));
}

/// Prices move all the time: only a change of what decides a submission is stored, and only if it
/// fits into a value.
#[test]
fn types_that_the_cloud_tells_are_stored_if_they_are_new() {
    let mut types = MachineTypes::default();
    types.read(stored(&[a_type()]), 0);
    let dearer = MachineType { price: 9.0, ..a_type() };
    types.cloud_replied(CloudReply::Types(vec![dearer]), 10, 60);
    assert_eq!((types.call_due(59, VALUE_BYTES, true), types.known()[0].price), (None, 9.0));
    assert_eq!(types.call_due(60, VALUE_BYTES, true), Some(TypesCall::AskCloud));
    let wider = MachineType { cpus: 64.0, ..a_type() };
    types.cloud_replied(CloudReply::Types(vec![wider]), 70, 80);
    let due = types.call_due(80, VALUE_BYTES, true);
    assert!(matches!(due, Some(TypesCall::Write { mod_revision: Revision(3), .. })), "{due:?}");
    types.written(&StoreReply::Conflict { failed: vec![MACHINE_TYPES_KEY.into()] });
    assert_eq!(types.call_due(80, VALUE_BYTES, true), Some(TypesCall::Read));
    types.read(StoreReply::NotFound, 0);
    types.cloud_replied(CloudReply::Types(vec![a_type()]), 90, 90);
    assert_eq!(types.call_due(90, 8, true), None, "too long to store");
    assert_eq!(types.call_due(90, 8, true), Some(TypesCall::AskCloud));
    types.cloud_replied(CloudReply::Failed, 95, 200);
    assert_eq!(types.call_due(95, VALUE_BYTES, true), Some(TypesCall::AskCloud));
}
