use super::*;
use crate::io::KeyValue;
use crate::settings::sample::a_type;
use crate::store::records::MACHINE_TYPES_KEY;

const ROOM: usize = 4_096;

fn kept(types: &[MachineType]) -> StoreReply {
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
fn what_is_kept_is_read_before_the_cloud_is_asked() {
    let mut types = MachineTypes::default();
    assert_eq!(types.call_due(0, ROOM, false), Some(TypesCall::ReadKept));
    types.sent();
    assert_eq!(types.call_due(0, ROOM, false), None);
    types.read(StoreReply::Unknown, 50);
    assert_eq!((types.call_due(49, ROOM, false), types.known().len()), (None, 0));
    types.read(kept(&[a_type()]), 0);
    assert_eq!(types.known().len(), 1);
    assert_eq!(types.call_due(100, ROOM, false), None);
    assert_eq!(types.call_due(100, ROOM, true), Some(TypesCall::AskCloud));
}

/// Prices move all the time: kept is what decides a submission, and only if it fits.
#[test]
fn what_the_cloud_tells_is_kept_if_it_is_new() {
    let mut types = MachineTypes::default();
    types.read(kept(&[a_type()]), 0);
    let dearer = MachineType { price: 9.0, ..a_type() };
    types.told(CloudReply::Types(vec![dearer]), 10, 60);
    assert_eq!((types.call_due(59, ROOM, true), types.known()[0].price), (None, 9.0));
    assert_eq!(types.call_due(60, ROOM, true), Some(TypesCall::AskCloud));
    let wider = MachineType { cpus: 64.0, ..a_type() };
    types.told(CloudReply::Types(vec![wider]), 70, 80);
    let due = types.call_due(80, ROOM, true);
    assert!(matches!(due, Some(TypesCall::Keep { mod_revision: Revision(3), .. })), "{due:?}");
    types.written(&StoreReply::Conflict { failed: vec![MACHINE_TYPES_KEY.into()] });
    assert_eq!(types.call_due(80, ROOM, true), Some(TypesCall::ReadKept));
    types.read(StoreReply::NotFound, 0);
    types.told(CloudReply::Types(vec![a_type()]), 90, 90);
    assert_eq!(types.call_due(90, 8, true), None, "too long to keep");
    assert_eq!(types.call_due(90, 8, true), Some(TypesCall::AskCloud));
    types.told(CloudReply::Failed, 95, 200);
    assert_eq!(types.call_due(95, ROOM, true), Some(TypesCall::AskCloud));
}
