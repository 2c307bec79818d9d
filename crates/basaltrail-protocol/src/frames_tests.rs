use super::*;

#[test]
fn frames_round_trip_and_others_are_refused() {
    let p = [
        Progress { job: JobId(412), done: 3, running: 13 },
        Progress { job: JobId(u64::MAX), done: u32::MAX, running: 0 },
    ];
    let frame = write(&p);
    assert_eq!(frame.len(), HEADER_BYTES + 32);
    assert_eq!(body_bytes(&frame[..HEADER_BYTES]), Some(32));
    assert_eq!(read(&frame[HEADER_BYTES..]).unwrap(), p);
    assert_eq!(read(&frame[HEADER_BYTES..frame.len() - 1]), None);
    for at in 0..8 {
        let mut bad = frame.clone();
        bad[at] ^= 0x40;
        assert_eq!(body_bytes(&bad[..HEADER_BYTES]), None, "byte {at}");
    }
    let mut long = frame;
    long[8..12].copy_from_slice(&(RECORDS_MOST as u32 + 1).to_le_bytes());
    assert_eq!(body_bytes(&long[..HEADER_BYTES]), None);
    assert_eq!(body_bytes(&long[..3]), None);
}
