use super::*;

#[test]
fn frames_round_trip_and_unknown_headers_are_rejected() {
    let progress = [
        Progress { job: JobId(412), done: 3, running: 13 },
        Progress { job: JobId(u64::MAX), done: u32::MAX, running: 0 },
    ];
    let frame = encode(&progress);
    assert_eq!(frame.len(), HEADER_BYTES + 32);
    assert_eq!(body_length(&frame[..HEADER_BYTES]), Some(32));
    assert_eq!(decode_body(&frame[HEADER_BYTES..]).unwrap(), progress);
    assert_eq!(decode_body(&frame[HEADER_BYTES..frame.len() - 1]), None);
    for index in 0..8 {
        let mut corrupted = frame.clone();
        corrupted[index] ^= 0x40;
        assert_eq!(body_length(&corrupted[..HEADER_BYTES]), None, "byte {index}");
    }
    let mut oversized = frame;
    oversized[8..12].copy_from_slice(&(MAX_RECORDS as u32 + 1).to_le_bytes());
    assert_eq!(body_length(&oversized[..HEADER_BYTES]), None);
    assert_eq!(body_length(&oversized[..3]), None);
}

/// Guards against reporting only the records that fit into one frame: the other controllers showed
/// the remaining jobs of a leader with thousands of jobs as queued for as long as they ran.
#[test]
fn records_beyond_one_frame_go_into_further_frames() {
    let count = MAX_RECORDS * 2 + 7;
    let progress: Vec<Progress> =
        (0..count as u64).map(|job| Progress { job: JobId(job), done: 0, running: 1 }).collect();
    let bytes = encode(&progress);
    let mut remaining = bytes.as_slice();
    let mut frames = Vec::new();
    while !remaining.is_empty() {
        let (header, after_header) = remaining.split_at(HEADER_BYTES);
        let (body, after_body) = after_header.split_at(body_length(header).unwrap());
        frames.push(decode_body(body).unwrap());
        remaining = after_body;
    }
    assert_eq!(frames.len(), 3);
    assert_eq!(frames[2][0].job, JobId(0), "earlier versions keep the last frame");
    let mut decoded: Vec<Progress> = frames.concat();
    decoded.sort_by_key(|record| record.job);
    assert_eq!(decoded, progress);
}

/// Checks the exact bytes of a frame, which every version since e26460f writes and reads. A frame
/// with another layout would end the connection to a controller that is not upgraded yet.
#[test]
fn frame_layout_is_the_same_as_in_earlier_versions() {
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
