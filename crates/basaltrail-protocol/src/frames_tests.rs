use super::*;

#[test]
fn frames_round_trip_and_unknown_headers_are_refused() {
    let p = [
        Progress { job: JobId(412), done: 3, running: 13 },
        Progress { job: JobId(u64::MAX), done: u32::MAX, running: 0 },
    ];
    let frame = encode(&p);
    assert_eq!(frame.len(), HEADER_BYTES + 32);
    assert_eq!(body_length(&frame[..HEADER_BYTES]), Some(32));
    assert_eq!(decode_body(&frame[HEADER_BYTES..]).unwrap(), p);
    assert_eq!(decode_body(&frame[HEADER_BYTES..frame.len() - 1]), None);
    for at in 0..8 {
        let mut bad = frame.clone();
        bad[at] ^= 0x40;
        assert_eq!(body_length(&bad[..HEADER_BYTES]), None, "byte {at}");
    }
    let mut long = frame;
    long[8..12].copy_from_slice(&(MAX_RECORDS as u32 + 1).to_le_bytes());
    assert_eq!(body_length(&long[..HEADER_BYTES]), None);
    assert_eq!(body_length(&long[..3]), None);
}

/// A leader of thousands of jobs reports all of them: records beyond one frame used to be left out,
/// and those jobs were shown as queued on the other controllers for as long as they ran.
#[test]
fn records_beyond_one_frame_go_into_further_frames() {
    let count = MAX_RECORDS * 2 + 7;
    let progress: Vec<Progress> =
        (0..count as u64).map(|job| Progress { job: JobId(job), done: 0, running: 1 }).collect();
    let bytes = encode(&progress);
    let mut rest = bytes.as_slice();
    let mut frames = Vec::new();
    while !rest.is_empty() {
        let (header, after) = rest.split_at(HEADER_BYTES);
        let (body, after) = after.split_at(body_length(header).unwrap());
        frames.push(decode_body(body).unwrap());
        rest = after;
    }
    assert_eq!(frames.len(), 3);
    assert_eq!(frames[2][0].job, JobId(0), "earlier versions keep the last frame");
    let mut all: Vec<Progress> = frames.concat();
    all.sort_by_key(|p| p.job);
    assert_eq!(all, progress);
}

/// The bytes of a frame as every version since e26460f has written and read them: a frame of
/// another layout ends the connection to a controller that has not been upgraded yet.
#[test]
fn the_layout_of_a_frame_is_unchanged() {
    let progress = [Progress { job: JobId(0x0102_0304_0506_0708), done: 0x0A0B_0C0D, running: 7 }];
    #[rustfmt::skip]
    let bytes = [
        b'B', b'T', b'R', b'L', // magic
        1, 0, // version
        1, 0, // kind: progress
        1, 0, 0, 0, // records
        8, 7, 6, 5, 4, 3, 2, 1, // job
        0x0D, 0x0C, 0x0B, 0x0A, // tasks done
        7, 0, 0, 0, // tasks running
    ];
    assert_eq!(encode(&progress), bytes);
    assert_eq!(body_length(&bytes[..12]), Some(16));
    assert_eq!(decode_body(&bytes[12..]).unwrap(), progress);
}
