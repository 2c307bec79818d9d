use super::*;
use crate::io::KeyValue;
use crate::settings::fixtures::machine_type;
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

/// A follower requests the types from the cloud only while it knows none.
#[test]
fn stored_types_are_read_before_types_are_requested_from_the_cloud() {
    let mut types = MachineTypes::default();
    assert_eq!(types.call_due(0, VALUE_BYTES, false), Some(MachineTypesCall::Read));
    types.record_sent();
    assert_eq!(types.call_due(0, VALUE_BYTES, false), None);
    types.apply_read_reply(StoreReply::Unknown, 50);
    assert_eq!((types.call_due(49, VALUE_BYTES, false), types.known().len()), (None, 0));
    types.apply_read_reply(stored(&[machine_type()]), 0);
    assert_eq!(types.known().len(), 1);
    assert_eq!(types.call_due(100, VALUE_BYTES, false), None);
    assert_eq!(types.call_due(100, VALUE_BYTES, true), Some(MachineTypesCall::RequestFromCloud));
}

/// Prices change all the time: types are stored only if a field that matters for submissions has
/// changed, and only if they fit into a value.
#[test]
fn types_from_the_cloud_are_stored_if_they_matter_for_submissions() {
    let mut types = MachineTypes::default();
    types.apply_read_reply(stored(&[machine_type()]), 0);
    let dearer = MachineType { price: 9.0, ..machine_type() };
    types.apply_cloud_reply(CloudReply::MachineTypes(vec![dearer]), 10, 60);
    assert_eq!((types.call_due(59, VALUE_BYTES, true), types.known()[0].price), (None, 9.0));
    assert_eq!(types.call_due(60, VALUE_BYTES, true), Some(MachineTypesCall::RequestFromCloud));
    let wider = MachineType { cpus: 64.0, ..machine_type() };
    types.apply_cloud_reply(CloudReply::MachineTypes(vec![wider]), 70, 80);
    let due = types.call_due(80, VALUE_BYTES, true);
    assert!(
        matches!(due, Some(MachineTypesCall::Write { mod_revision: Revision(3), .. })),
        "{due:?}"
    );
    types.apply_write_reply(&StoreReply::Conflict { failed: vec![MACHINE_TYPES_KEY.into()] });
    assert_eq!(types.call_due(80, VALUE_BYTES, true), Some(MachineTypesCall::Read));
    types.apply_read_reply(StoreReply::NotFound, 0);
    types.apply_cloud_reply(CloudReply::MachineTypes(vec![machine_type()]), 90, 90);
    assert_eq!(types.call_due(90, 8, true), None, "too long to store");
    assert_eq!(types.call_due(90, 8, true), Some(MachineTypesCall::RequestFromCloud));
    types.apply_cloud_reply(CloudReply::Unknown, 95, 200);
    assert_eq!(types.call_due(95, VALUE_BYTES, true), Some(MachineTypesCall::RequestFromCloud));
}
