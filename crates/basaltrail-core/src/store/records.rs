//! The records that the store holds, and the keys they stand under.
//!
//! Records and keys are read by other versions of this program: a field may be added with a
//! default, and none may be renamed or given another meaning. Where a field's name in the code
//! differs from its written name, serde maps it.

use crate::model::{FencingToken, JobId, JobSpec, MachineId, WallMs};
use serde::{Deserialize, Serialize};

/// What the election watches.
pub const CONTROL_PREFIX: &str = "c/";
/// The [`LeaderRecord`], attached to the leader's lease.
pub const LEADER_KEY: &str = "c/leader";
/// The last fencing token that was given out.
pub const TERM_KEY: &str = "c/term";
/// The zone with the most machines; the next leader had better be there.
pub const PRIMARY_ZONE_KEY: &str = "c/home";
/// Jobs and admission records, under one watch.
pub const JOBS_PREFIX: &str = "j/";
/// A [`JobRecord`] for each active job.
pub const ACTIVE_JOBS_PREFIX: &str = "j/a/";
/// A [`crate::model::JobOutcome`] for each job that ended.
pub const OUTCOMES_PREFIX: &str = "j/t/";
/// Admission quotas and the processes that they are for: under the jobs' prefix, so that one watch
/// tells of them and of the jobs in the order of their revisions.
pub const ADMISSION_PREFIX: &str = "j/q/";
/// A [`ControllerRecord`] for each controller.
pub const CONTROLLERS_PREFIX: &str = "j/q/n/";
/// A [`basaltrail_admission::AdmissionQuota`] for each team and controller.
pub const QUOTAS_PREFIX: &str = "j/q/a/";
/// Segments of completed tasks, by job.
pub const COMPLETIONS_PREFIX: &str = "d/";
/// Segments of the machine registry.
pub const MACHINE_REGISTRY_PREFIX: &str = "r/";
/// The [`LedgerRecord`].
pub const LEDGER_KEY: &str = "l/ledger";
/// The machine types, as the leader last heard of them.
pub const MACHINE_TYPES_KEY: &str = "m/types";

/// Tasks of one job whose completion is stored under one key. A segment takes 1,024 hexadecimal
/// digits at the most.
pub const TASKS_PER_SEGMENT: u32 = 4096;

/// Tasks in one word of a [`TaskSet`].
const TASKS_PER_WORD: u32 = 64;
/// Hexadecimal digits of a word.
const DIGITS_PER_WORD: usize = 16;

/// The controller that leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller.
    #[serde(rename = "node")]
    pub controller: String,
    /// Its process: differs at every start.
    pub incarnation: u64,
    /// The fencing token of its term.
    pub token: FencingToken,
    /// Whether it hands out admission quotas: controllers then accept nothing without one.
    #[serde(rename = "allots", default, skip_serializing_if = "is_false")]
    pub allocates_quotas: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// The process that runs as a controller now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// The controller.
    #[serde(rename = "n")]
    pub controller: String,
    /// Its process: differs at every start.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// An active job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Time of day of the first acceptance.
    #[serde(rename = "at")]
    pub accepted_at: WallMs,
    /// What its user asked for.
    pub spec: JobSpec,
    /// The controller that accepted it out of its quota; none if no quota was needed.
    #[serde(rename = "by", default, skip_serializing_if = "Option::is_none")]
    pub accepted_by: Option<String>,
}

impl JobRecord {
    /// A job that no quota was needed for.
    pub fn new(accepted_at: WallMs, spec: JobSpec) -> Self {
        JobRecord { accepted_at, spec, accepted_by: None }
    }
}

/// A machine that may hold tasks, as the machine registry lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The machine.
    pub id: MachineId,
    /// Its type.
    #[serde(rename = "ty")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "s")]
    pub spot: bool,
    /// Nothing runs there, and nothing is started before this is taken back. A record that does
    /// not say so may hold anything.
    #[serde(rename = "f", default)]
    pub free: bool,
}

/// The fair-share ledger, as of the last round.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// Team, CPU-seconds received, CPU-seconds of fair share.
    pub teams: Vec<(String, f64, f64)>,
    /// Time of day at which the grants of the round end.
    pub leases_end: WallMs,
    /// Jobs that fail wherever they run: the next leader need not learn it at others' cost.
    #[serde(rename = "sick", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<JobId>,
}

/// Where the [`JobRecord`] of an active job stands.
pub fn active_job_key(job: JobId) -> String {
    format!("{ACTIVE_JOBS_PREFIX}{job}")
}

/// Where the outcome of a job stands.
pub fn outcome_key(job: JobId) -> String {
    format!("{OUTCOMES_PREFIX}{job}")
}

/// Where the [`ControllerRecord`] of a controller stands.
pub fn controller_key(controller: &str) -> String {
    format!("{CONTROLLERS_PREFIX}{}", key_part(controller))
}

/// Where a team's quota at a controller stands.
pub fn quota_key(team: &str, controller: &str) -> String {
    format!("{QUOTAS_PREFIX}{}/{}", key_part(team), key_part(controller))
}

/// A name as a part of a key, which takes neither spaces nor more than 200 bytes in all: the
/// first characters that may stand there, and a hash of the whole name.
fn key_part(name: &str) -> String {
    /// Two parts, with the longest prefix and the hashes, take 121 bytes.
    const MAX_SHOWN: usize = 40;
    let plain = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    let shown: String = name.chars().filter(plain).take(MAX_SHOWN).collect();
    format!("{shown}.{:016x}", fnv1a(name))
}

/// The 64-bit FNV-1a hash: the same on every version and machine.
fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(OFFSET_BASIS, mix)
}

/// Where a segment of a job's completed tasks stands.
pub fn completions_key(job: JobId, segment: u32) -> String {
    format!("{COMPLETIONS_PREFIX}{job}/{segment}")
}

/// Where a segment of the machine registry stands.
pub fn machine_registry_key(segment: usize) -> String {
    format!("{MACHINE_REGISTRY_PREFIX}{segment}")
}

/// The job that a key names; none if the text is not exactly as [`JobId`] is written.
pub fn parse_job(text: &str) -> Option<JobId> {
    let id = JobId(text.parse().ok()?);
    (id.to_string() == text).then_some(id)
}

/// The job and the segment that a key of completed tasks names.
pub fn parse_completions_key(key: &str) -> Option<(JobId, u32)> {
    let (job, segment) = key.strip_prefix(COMPLETIONS_PREFIX)?.split_once('/')?;
    Some((parse_job(job)?, segment.parse().ok()?))
}

/// A record as the store holds it.
pub fn encode<T: Serialize>(value: &T) -> String {
    // Our own records hold no maps with keys other than text, so this does not fail.
    serde_json::to_string(value).unwrap_or_else(|_| "null".into())
}

/// The record that a value holds; none if it is not one.
pub fn decode<'a, T: Deserialize<'a>>(text: &'a str) -> Option<T> {
    serde_json::from_str(text).ok()
}

/// A set of task indexes: a bitmap that grows as it is filled. It is stored in segments of
/// [`TASKS_PER_SEGMENT`] tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// Whether a task is in the set.
    pub fn get(&self, task: u32) -> bool {
        let (word, bit) = Self::position(task);
        self.words.get(word).is_some_and(|bits| bits >> bit & 1 == 1)
    }

    /// Adds a task. True if it was not in the set yet.
    pub fn set(&mut self, task: u32) -> bool {
        let (word, bit) = Self::position(task);
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let added = self.words[word] >> bit & 1 == 0;
        self.words[word] |= 1 << bit;
        self.count += u32::from(added);
        added
    }

    /// How many tasks are in the set.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The word of a task, and its bit there.
    fn position(task: u32) -> (usize, u32) {
        ((task / TASKS_PER_WORD) as usize, task % TASKS_PER_WORD)
    }

    /// A segment as it is stored: hexadecimal words, the lowest tasks first. Words at the end that
    /// were never needed are left out.
    pub fn segment(&self, segment: u32) -> String {
        let words_per_segment = (TASKS_PER_SEGMENT / TASKS_PER_WORD) as usize;
        let begin = (segment as usize * words_per_segment).min(self.words.len());
        let end = ((segment as usize + 1) * words_per_segment).min(self.words.len());
        let words = &self.words[begin..end];
        let mut text = String::with_capacity(words.len() * DIGITS_PER_WORD);
        for word in words {
            text.push_str(&format!("{word:016x}"));
        }
        text
    }

    /// Adds a segment written by [`TaskSet::segment`]. False if the text cannot be one; tasks of
    /// words before the one that cannot be read are added all the same.
    pub fn add_segment(&mut self, segment: u32, text: &str) -> bool {
        let max_digits = (TASKS_PER_SEGMENT / TASKS_PER_WORD) as usize * DIGITS_PER_WORD;
        if !text.len().is_multiple_of(DIGITS_PER_WORD)
            || text.len() > max_digits
            || !text.is_ascii()
        {
            return false;
        }
        for (index, digits) in text.as_bytes().chunks(DIGITS_PER_WORD).enumerate() {
            let digits = std::str::from_utf8(digits).ok();
            let Some(word) = digits.and_then(|digits| u64::from_str_radix(digits, 16).ok()) else {
                return false;
            };
            let first = segment * TASKS_PER_SEGMENT + index as u32 * TASKS_PER_WORD;
            for bit in (0..TASKS_PER_WORD).filter(|bit| word >> bit & 1 == 1) {
                self.set(first + bit);
            }
        }
        true
    }
}
