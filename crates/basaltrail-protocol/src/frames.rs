//! Encodes and decodes the frames between controllers (PROTOCOL, Between controller nodes), which
//! have a fixed, versioned, little-endian layout.
//!
//! Frames carry the progress of jobs from the leader to its peers, for display only. The receiver
//! closes the connection when a frame has an invalid header, such as an unknown version.

use basaltrail_core::io::Progress;
use basaltrail_core::model::JobId;
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

/// Magic number: the first four bytes of every frame.
pub const MAGIC: [u8; 4] = *b"BTRL";
/// Version of the frame layout.
pub const VERSION: u16 = 1;
/// Kind of the frames that carry the progress of jobs.
const PROGRESS_KIND: u16 = 1;
/// Maximum number of records in a frame. [`encode`] splits longer lists into several frames.
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

/// Size of a frame header, in bytes.
pub const HEADER_BYTES: usize = std::mem::size_of::<Header>();
/// Size of a progress record, in bytes.
const RECORD_BYTES: usize = std::mem::size_of::<ProgressRecord>();

/// Returns the length in bytes of the body that follows a header, or `None` if the header is not
/// a valid header of this version.
pub fn body_length(header: &[u8]) -> Option<usize> {
    let header = Header::ref_from_bytes(header).ok()?;
    let count = header.count.get() as usize;
    let is_known = header.magic == MAGIC
        && header.version.get() == VERSION
        && header.kind.get() == PROGRESS_KIND;
    (is_known && count <= MAX_RECORDS).then_some(count * RECORD_BYTES)
}

/// Decodes the body of a frame. Returns `None` if the body is not a whole number of records.
pub fn decode_body(body: &[u8]) -> Option<Vec<Progress>> {
    let records = <[ProgressRecord]>::ref_from_bytes(body).ok()?;
    let to_progress = |record: &ProgressRecord| Progress {
        job: JobId(record.job.get()),
        done: record.done.get(),
        running: record.running.get(),
    };
    Some(records.iter().map(to_progress).collect())
}

/// Encodes progress as one or more frames, with the first records in the last frame.
///
/// Earlier versions keep only the last frame that they receive. The records are sorted by job, so
/// those versions show the jobs with the lowest numbers.
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
    for job_progress in progress {
        let record = ProgressRecord {
            job: U64::new(job_progress.job.0),
            done: U32::new(job_progress.done),
            running: U32::new(job_progress.running),
        };
        frame.extend_from_slice(record.as_bytes());
    }
    frame
}

#[cfg(test)]
#[path = "frames_tests.rs"]
mod tests;
