//! What is kept in the state service, and under which keys.

use crate::model::*;
use serde::{Deserialize, Serialize};

pub const CONTROL_PREFIX: &str = "c/";
pub const LEADER_KEY: &str = "c/leader";
pub const TERM_KEY: &str = "c/term";
/// The zone with the most machines; the next leader had better be there.
pub const PRIMARY_ZONE_KEY: &str = "c/home";
pub const JOBS_PREFIX: &str = "j/";
pub const ACTIVE_JOBS_PREFIX: &str = "j/a/";
pub const OUTCOMES_PREFIX: &str = "j/t/";
/// Allotments and the processes that they are for: under the jobs' prefix, so that one watch tells
/// of them and of the jobs in the order of their revisions.
pub const ADMISSION_PREFIX: &str = "j/q/";
pub const COMPLETIONS_PREFIX: &str = "d/";
pub const MACHINE_REGISTRY_PREFIX: &str = "r/";
pub const LEDGER_KEY: &str = "l/ledger";
pub const MACHINE_TYPES_KEY: &str = "m/types";

/// Tasks of one job whose completion is kept under one key.
pub const TASKS_PER_SEGMENT: u32 = 4096;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    #[serde(rename = "node")]
    pub controller: String,
    pub incarnation: u64,
    pub token: FencingToken,
    /// Whether it hands out allotments: controllers then accept nothing without one.
    #[serde(rename = "allots", default, skip_serializing_if = "is_false")]
    pub allots: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// The process that runs as a controller now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    #[serde(rename = "n")]
    pub controller: String,
    #[serde(rename = "i")]
    pub incarnation: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Time of day of the first acceptance.
    pub at: WallMs,
    pub spec: JobSpec,
    /// The controller that accepted it out of its allotment.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub by: Option<String>,
}

impl JobRecord {
    /// A job that no allotment was needed for.
    pub fn new(at: WallMs, spec: JobSpec) -> Self {
        JobRecord { at, spec, by: None }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    pub id: MachineId,
    #[serde(rename = "ty")]
    pub machine_type: String,
    #[serde(rename = "z")]
    pub zone: String,
    #[serde(rename = "s")]
    pub spot: bool,
    /// Nothing runs there, and nothing is started before this is taken back. An entry
    /// that does not say so may hold anything.
    #[serde(rename = "f", default)]
    pub free: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// Team, CPU-seconds received, CPU-seconds of fair share.
    pub teams: Vec<(String, f64, f64)>,
    /// Time of day at which the grants of the round end.
    pub leases_end: WallMs,
    /// Jobs that fail wherever they go: a successor need not learn it at others' cost.
    #[serde(rename = "sick", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<JobId>,
}

pub fn active_key(job: JobId) -> String {
    format!("{ACTIVE_JOBS_PREFIX}{job}")
}

pub fn final_key(job: JobId) -> String {
    format!("{OUTCOMES_PREFIX}{job}")
}

/// Where a process tells that it is there.
pub fn controller_key(controller: &str) -> String {
    format!("{ADMISSION_PREFIX}n/{}", key_part(controller))
}

/// Where a team's allotment at a controller is kept.
pub fn allotment_key(team: &str, controller: &str) -> String {
    format!("{ADMISSION_PREFIX}a/{}/{}", key_part(team), key_part(controller))
}

/// A name as a part of a key, which takes neither spaces nor more than 200 bytes in all: the
/// letters that may stand there, and a sum over all of the name.
fn key_part(name: &str) -> String {
    const SHOWN: usize = 40;
    // FNV-1a, 64 bits: the same on every version and machine.
    let mix = |sum: u64, byte: u8| (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    let sum = name.bytes().fold(0xcbf2_9ce4_8422_2325, mix);
    let plain = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    let shown: String = name.chars().filter(plain).take(SHOWN).collect();
    format!("{shown}.{sum:016x}")
}

pub fn done_key(job: JobId, part: u32) -> String {
    format!("{COMPLETIONS_PREFIX}{job}/{part}")
}

pub fn machine_registry_key(part: usize) -> String {
    format!("{MACHINE_REGISTRY_PREFIX}{part}")
}

/// Our own keys hold exactly `{:06}`; anything else is not ours.
pub fn parse_job(text: &str) -> Option<JobId> {
    let id = JobId(text.parse().ok()?);
    (id.to_string() == text).then_some(id)
}

pub fn parse_done_key(key: &str) -> Option<(JobId, u32)> {
    let (job, part) = key.strip_prefix(COMPLETIONS_PREFIX)?.split_once('/')?;
    Some((parse_job(job)?, part.parse().ok()?))
}

pub fn encode<T: Serialize>(value: &T) -> String {
    // Our own records hold no maps with odd keys, so this does not fail.
    serde_json::to_string(value).unwrap_or_else(|_| "null".into())
}

pub fn decode<'a, T: Deserialize<'a>>(text: &'a str) -> Option<T> {
    serde_json::from_str(text).ok()
}

/// A set of task numbers that grows as it is filled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    pub fn get(&self, i: u32) -> bool {
        self.words.get(i as usize / 64).is_some_and(|w| w >> (i % 64) & 1 == 1)
    }

    /// True if it was not in the set yet.
    pub fn set(&mut self, i: u32) -> bool {
        let w = i as usize / 64;
        if self.words.len() <= w {
            self.words.resize(w + 1, 0);
        }
        let fresh = self.words[w] >> (i % 64) & 1 == 0;
        self.words[w] |= 1 << (i % 64);
        self.count += fresh as u32;
        fresh
    }

    pub fn count(&self) -> u32 {
        self.count
    }

    fn part_words(part: u32) -> std::ops::Range<usize> {
        let per = TASKS_PER_SEGMENT as usize / 64;
        part as usize * per..(part as usize + 1) * per
    }

    /// One part as hexadecimal words, lowest tasks first.
    pub fn part(&self, part: u32) -> String {
        let r = Self::part_words(part);
        let words = &self.words[r.start.min(self.words.len())..r.end.min(self.words.len())];
        let mut out = String::with_capacity(words.len() * 16);
        for w in words {
            out.push_str(&format!("{w:016x}"));
        }
        out
    }

    /// Adds a part written by [`Bits::part`]; false if it cannot be one.
    pub fn add_part(&mut self, part: u32, text: &str) -> bool {
        if !text.len().is_multiple_of(16)
            || text.len() > TASKS_PER_SEGMENT as usize / 4
            || !text.is_ascii()
        {
            return false;
        }
        for (i, chunk) in text.as_bytes().chunks(16).enumerate() {
            let Some(word) =
                std::str::from_utf8(chunk).ok().and_then(|s| u64::from_str_radix(s, 16).ok())
            else {
                return false;
            };
            for b in (0..64).filter(|b| word >> b & 1 == 1) {
                self.set(part * TASKS_PER_SEGMENT + i as u32 * 64 + b);
            }
        }
        true
    }
}
