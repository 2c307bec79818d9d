//! Frames between controllers (PROTOCOL, Between controller nodes): fixed layouts, little-endian,
//! versioned.
//!
//! They carry the leader's progress of jobs, for display only. A frame of another version or
//! length ends the connection.

use basaltrail_core::io::Progress;
use basaltrail_core::model::JobId;
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// First bytes of every frame.
pub const MAGIC: [u8; 4] = *b"BTRL";
/// Version of the layout.
pub const VERSION: u16 = 1;
/// Kind of the frames that carry progress.
const PROGRESS_KIND: u16 = 1;
/// Records in one frame at the most; the rest goes into further frames.
pub const MAX_RECORDS: usize = 1024;

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct Header {
    magic: [u8; 4],
    version: U16,
    kind: U16,
    count: U32,
}

#[derive(FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct ProgressRecord {
    job: U64,
    done: U32,
    running: U32,
}

/// Length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = std::mem::size_of::<Header>();
const RECORD_BYTES: usize = std::mem::size_of::<ProgressRecord>();

/// The length of the body that follows a header, in bytes; `None` if the header is not that of a
/// frame of this version.
pub fn body_length(header: &[u8]) -> Option<usize> {
    let header = Header::ref_from_bytes(header).ok()?;
    let count = header.count.get() as usize;
    let is_known = header.magic == MAGIC
        && header.version.get() == VERSION
        && header.kind.get() == PROGRESS_KIND;
    (is_known && count <= MAX_RECORDS).then_some(count * RECORD_BYTES)
}

/// Decodes the body of a frame; `None` if it is not a whole number of records.
pub fn decode_body(body: &[u8]) -> Option<Vec<Progress>> {
    let records = <[ProgressRecord]>::ref_from_bytes(body).ok()?;
    let progress = |record: &ProgressRecord| Progress {
        job: JobId(record.job.get()),
        done: record.done.get(),
        running: record.running.get(),
    };
    Some(records.iter().map(progress).collect())
}

/// Encodes progress as as many frames as it takes, with the first records in the last frame.
///
/// Earlier versions keep the last frame only. The records are sorted by job, so those versions
/// show the jobs with the lowest numbers.
pub fn encode(progress: &[Progress]) -> Vec<u8> {
    if progress.is_empty() {
        return encode_frame(progress);
    }
    progress.chunks(MAX_RECORDS).rev().flat_map(encode_frame).collect()
}

fn encode_frame(progress: &[Progress]) -> Vec<u8> {
    let header = Header {
        magic: MAGIC,
        version: U16::new(VERSION),
        kind: U16::new(PROGRESS_KIND),
        count: U32::new(progress.len() as u32),
    };
    let mut frame = Vec::with_capacity(HEADER_BYTES + progress.len() * RECORD_BYTES);
    frame.extend_from_slice(header.as_bytes());
    for progress in progress {
        let record = ProgressRecord {
            job: U64::new(progress.job.0),
            done: U32::new(progress.done),
            running: U32::new(progress.running),
        };
        frame.extend_from_slice(record.as_bytes());
    }
    frame
}

#[cfg(test)]
#[path = "frames_tests.rs"]
mod tests;
