//! Frames between controllers: fixed layouts, little-endian, versioned. They carry
//! hints for display only; a frame of another version or length ends the connection.

use basaltrail_core::io::Progress;
use basaltrail_core::model::JobId;
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

pub const MAGIC: [u8; 4] = *b"BTRL";
pub const VERSION: u16 = 1;
const PROGRESS: u16 = 1;
/// Records in one frame at the most; the rest goes into further frames.
pub const RECORDS_MOST: usize = 1024;

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

pub const HEADER_BYTES: usize = std::mem::size_of::<Header>();
const RECORD_BYTES: usize = std::mem::size_of::<ProgressRecord>();

/// Bytes that follow this header, or nothing if the frame is not one of ours.
pub fn body_bytes(header: &[u8]) -> Option<usize> {
    let h = Header::ref_from_bytes(header).ok()?;
    let count = h.count.get() as usize;
    let ours = h.magic == MAGIC && h.version.get() == VERSION && h.kind.get() == PROGRESS;
    (ours && count <= RECORDS_MOST).then_some(count * RECORD_BYTES)
}

pub fn read(body: &[u8]) -> Option<Vec<Progress>> {
    let records = <[ProgressRecord]>::ref_from_bytes(body).ok()?;
    let progress = |r: &ProgressRecord| Progress {
        job: JobId(r.job.get()),
        done: r.done.get(),
        running: r.running.get(),
    };
    Some(records.iter().map(progress).collect())
}

/// As many frames as it takes, one after the other, with the lowest job numbers in the last one.
/// A receiver that keeps one frame only, as earlier versions do, is left with those.
pub fn write(progress: &[Progress]) -> Vec<u8> {
    if progress.is_empty() {
        return write_one(progress);
    }
    progress.chunks(RECORDS_MOST).rev().flat_map(write_one).collect()
}

fn write_one(progress: &[Progress]) -> Vec<u8> {
    let header = Header {
        magic: MAGIC,
        version: U16::new(VERSION),
        kind: U16::new(PROGRESS),
        count: U32::new(progress.len() as u32),
    };
    let mut out = Vec::with_capacity(HEADER_BYTES + progress.len() * RECORD_BYTES);
    out.extend_from_slice(header.as_bytes());
    for p in progress {
        let r = ProgressRecord {
            job: U64::new(p.job.0),
            done: U32::new(p.done),
            running: U32::new(p.running),
        };
        out.extend_from_slice(r.as_bytes());
    }
    out
}

#[cfg(test)]
#[path = "frames_tests.rs"]
mod tests;
