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
    types.apply_read_reply(StoreReply::Unknown, false, 50, 200);
    assert_eq!((types.call_due(49, VALUE_BYTES, false), types.known().len()), (None, 0));
    types.apply_read_reply(stored(&[machine_type()]), false, 0, 200);
    assert_eq!(types.known().len(), 1);
    assert_eq!(types.call_due(100, VALUE_BYTES, false), None);
    assert_eq!(types.call_due(100, VALUE_BYTES, true), Some(MachineTypesCall::RequestFromCloud));
}

/// Prices change all the time: types are stored only if a field that matters for submissions has
/// changed, and only if they fit into a value.
#[test]
fn types_from_the_cloud_are_stored_if_they_matter_for_submissions() {
    let mut types = MachineTypes::default();
    types.apply_read_reply(stored(&[machine_type()]), true, 0, 200);
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
    types.apply_read_reply(StoreReply::NotFound, true, 0, 200);
    types.apply_cloud_reply(CloudReply::MachineTypes(vec![machine_type()]), 90, 90);
    assert_eq!(types.call_due(90, 8, true), None, "too long to store");
    assert_eq!(types.call_due(90, 8, true), Some(MachineTypesCall::RequestFromCloud));
    types.apply_cloud_reply(CloudReply::Unknown, 95, 200);
    assert_eq!(types.call_due(95, VALUE_BYTES, true), Some(MachineTypesCall::RequestFromCloud));
}

/// Guards against a follower that refuses jobs for good, because it read the types once and the
/// leader has stored other ones since.
#[test]
fn follower_takes_over_types_that_the_leader_stores_later() {
    let mut types = MachineTypes::default();
    types.apply_read_reply(stored(&[machine_type()]), false, 0, 60);
    assert_eq!(types.call_due(59, VALUE_BYTES, false), None);
    assert_eq!(types.call_due(60, VALUE_BYTES, false), Some(MachineTypesCall::Read));
    types.record_sent();
    types.apply_read_reply(StoreReply::Unavailable, false, 70, 120);
    assert_eq!(types.call_due(69, VALUE_BYTES, false), None);
    assert_eq!(types.call_due(70, VALUE_BYTES, false), Some(MachineTypesCall::Read));
    let wider = MachineType { cpus: 64.0, ..machine_type() };
    types.apply_read_reply(stored(&[wider]), false, 80, 130);
    assert_eq!((types.known()[0].cpus, types.call_due(129, VALUE_BYTES, false)), (64.0, None));
    // If the types are too long to be stored, the cloud is asked again.
    types.apply_read_reply(StoreReply::NotFound, false, 0, 190);
    assert_eq!(types.known()[0].cpus, 64.0);
    assert_eq!(types.call_due(189, VALUE_BYTES, false), None);
    let due = types.call_due(190, VALUE_BYTES, false);
    assert_eq!(due, Some(MachineTypesCall::RequestFromCloud));
}

/// Guards against types of the leader that are never stored, because a write of another controller
/// came first.
#[test]
fn leader_stores_its_types_again_if_others_are_stored() {
    let mut types = MachineTypes::default();
    types.apply_read_reply(stored(&[machine_type()]), true, 0, 60);
    let wider = MachineType { cpus: 64.0, ..machine_type() };
    types.apply_cloud_reply(CloudReply::MachineTypes(vec![wider.clone()]), 10, 60);
    types.apply_write_reply(&StoreReply::Conflict { failed: vec![MACHINE_TYPES_KEY.into()] });
    assert_eq!(types.call_due(60, VALUE_BYTES, true), Some(MachineTypesCall::Read));
    types.apply_read_reply(stored(&[machine_type()]), true, 0, 120);
    assert_eq!(types.known()[0].cpus, 64.0, "the types of the cloud are newer");
    let due = types.call_due(60, VALUE_BYTES, true);
    assert!(matches!(due, Some(MachineTypesCall::Write { .. })), "{due:?}");
    types.apply_write_reply(&StoreReply::Committed { revision: Revision(4) });
    types.apply_read_reply(stored(&[wider]), true, 0, 120);
    assert_eq!(types.call_due(60, VALUE_BYTES, true), Some(MachineTypesCall::RequestFromCloud));
}
