//! The records in the store, and their keys.
//!
//! Other versions of this program read the same records and keys: a field may be added with a
//! default, but no field may be renamed or change its meaning. Where a field's name in the code
//! differs from its stored name, a serde attribute maps it.

use crate::model::{FencingToken, JobId, JobSpec, MachineId, WallMs};
use serde::{Deserialize, Serialize};

/// The prefix of the keys that the election watches.
pub const CONTROL_PREFIX: &str = "c/";
/// The key of the [`LeaderRecord`], attached to the leader lease.
pub const LEADER_KEY: &str = "c/leader";
/// The key of the fencing token of the latest term.
pub const TERM_KEY: &str = "c/term";
/// The key of the zone with the most machines, in which the next leader should preferably run.
pub const PRIMARY_ZONE_KEY: &str = "c/home";
/// The prefix of jobs and admission records, which one watch covers.
pub const JOBS_PREFIX: &str = "j/";
/// The prefix of the [`JobRecord`]s, one per active job.
pub const ACTIVE_JOBS_PREFIX: &str = "j/a/";
/// The prefix of the [`crate::model::JobOutcome`]s, one per ended job.
pub const OUTCOMES_PREFIX: &str = "j/t/";
/// The prefix of the [`RunStateRecord`]s, one per job that has started. It lies under the prefix of
/// the jobs, so that one watch returns the changes of both.
pub const RUN_STATES_PREFIX: &str = "j/r/";
/// The prefix of admission quotas and controller records. It lies under the prefix of the jobs, so
/// that one watch returns their changes and those of jobs in the order of revisions.
pub const ADMISSION_PREFIX: &str = "j/q/";
/// The prefix of the [`ControllerRecord`]s, one per controller.
pub const CONTROLLERS_PREFIX: &str = "j/q/n/";
/// The prefix of the [`basaltrail_admission::AdmissionQuota`]s, one per team and controller.
pub const QUOTAS_PREFIX: &str = "j/q/a/";
/// The prefix of the segments of completed tasks, by job.
pub const COMPLETIONS_PREFIX: &str = "d/";
/// The prefix of the segments of the machine registry.
pub const MACHINE_REGISTRY_PREFIX: &str = "r/";
/// The key of the [`LedgerRecord`].
pub const LEDGER_KEY: &str = "l/ledger";
/// The key of the machine types, as the leader last received them from the cloud.
pub const MACHINE_TYPES_KEY: &str = "m/types";

/// The number of tasks of a job whose completion is stored under one key. A segment takes at most
/// 1,024 hexadecimal digits.
pub const TASKS_PER_SEGMENT: u32 = 4096;

/// The number of tasks per word of a [`TaskSet`].
const TASKS_PER_WORD: u32 = 64;
/// The number of hexadecimal digits per word.
const DIGITS_PER_WORD: usize = 16;

/// The record of the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller.
    #[serde(rename = "node")]
    pub controller: String,
    /// Identifier of this run of the process, different at each start.
    pub incarnation: u64,
    /// The fencing token of its term.
    pub token: FencingToken,
    /// True if the leader allocates admission quotas. If so, no controller accepts a job without
    /// one.
    #[serde(rename = "allots", default, skip_serializing_if = "is_false")]
    pub allocates_quotas: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// The record of a controller's current process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRecord {
    /// The controller.
    #[serde(rename = "n")]
    pub controller: String,
    /// Identifier of this run of the process, different at each start.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// The record of an active job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The wall-clock time of the first acceptance.
    #[serde(rename = "at")]
    pub accepted_at: WallMs,
    /// The submitted specification.
    pub spec: JobSpec,
    /// The controller against whose quota the job was accepted; `None` if no quota was needed.
    #[serde(rename = "by", default, skip_serializing_if = "Option::is_none")]
    pub accepted_by: Option<String>,
}

impl JobRecord {
    /// Creates the record of a job that needed no quota.
    pub fn new(accepted_at: WallMs, spec: JobSpec) -> Self {
        JobRecord { accepted_at, spec, accepted_by: None }
    }
}

/// Whether tasks of an active job run, as the leader last knew. Versions that do not know the record
/// ignore it; the leader deletes it after the end of the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStateRecord {
    /// True if at least one task runs.
    #[serde(rename = "r")]
    pub is_running: bool,
}

/// An entry of the machine registry: a machine, and whether it holds no tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// The machine.
    pub id: MachineId,
    /// The machine type.
    #[serde(rename = "ty")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// True if the machine is a spot machine.
    #[serde(rename = "s")]
    pub spot: bool,
    /// True if the machine holds no tasks. No task starts there until this flag is stored as false.
    /// If the field is missing, the machine may hold tasks.
    #[serde(rename = "f", default)]
    pub holds_no_tasks: bool,
    /// True if a request to terminate the machine may have been sent, which the cloud may execute
    /// at any later time. No task starts there any more.
    #[serde(rename = "t", default, skip_serializing_if = "is_false")]
    pub terminating: bool,
}

/// The fairness ledger as of its last round.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LedgerRecord {
    /// For each team its name, received CPU-seconds and CPU-seconds of fair share.
    pub teams: Vec<(String, f64, f64)>,
    /// The wall-clock time of the record plus the lease term of the policy.
    pub leases_end: WallMs,
    /// Jobs in a crash loop, which the next leader would otherwise have to detect again at the
    /// expense of other jobs.
    #[serde(rename = "sick", default, skip_serializing_if = "Vec::is_empty")]
    pub crash_looping_jobs: Vec<JobId>,
}

/// Returns the key of the [`JobRecord`] of an active job.
pub fn active_job_key(job: JobId) -> String {
    format!("{ACTIVE_JOBS_PREFIX}{job}")
}

/// Returns the key of the outcome of a job.
pub fn outcome_key(job: JobId) -> String {
    format!("{OUTCOMES_PREFIX}{job}")
}

/// Returns the key of the [`RunStateRecord`] of a job.
pub fn run_state_key(job: JobId) -> String {
    format!("{RUN_STATES_PREFIX}{job}")
}

/// Returns the key of the [`ControllerRecord`] of a controller.
pub fn controller_key(controller: &str) -> String {
    format!("{CONTROLLERS_PREFIX}{}", key_part(controller))
}

/// Returns the key of a team's quota at a controller.
pub fn quota_key(team: &str, controller: &str) -> String {
    format!("{QUOTAS_PREFIX}{}/{}", key_part(team), key_part(controller))
}

/// Encodes a name as a part of a key: its first letters, digits, hyphens and underscores, and a
/// hash of the whole name. A key must not contain spaces or exceed 200 bytes.
fn key_part(name: &str) -> String {
    /// The maximum length of the readable part. Two parts with the longest prefix and the hashes
    /// take 121 bytes.
    const MAX_SHOWN: usize = 40;
    let is_allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
    let readable: String = name.chars().filter(is_allowed).take(MAX_SHOWN).collect();
    format!("{readable}.{:016x}", fnv1a(name))
}

/// Returns the 64-bit FNV-1a hash, which does not depend on the version or the platform.
fn fnv1a(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(OFFSET_BASIS, mix)
}

/// Returns the key of a segment of a job's completed tasks.
pub fn completions_key(job: JobId, segment: u32) -> String {
    format!("{COMPLETIONS_PREFIX}{job}/{segment}")
}

/// Returns the key of a segment of the machine registry.
pub fn machine_registry_key(segment: usize) -> String {
    format!("{MACHINE_REGISTRY_PREFIX}{segment}")
}

/// Parses a job id in a key. Returns `None` unless the text is exactly as [`JobId`] displays it.
pub fn parse_job_id(text: &str) -> Option<JobId> {
    let id = JobId(text.parse().ok()?);
    (id.to_string() == text).then_some(id)
}

/// Parses the job and the segment in a key of completed tasks.
pub fn parse_completions_key(key: &str) -> Option<(JobId, u32)> {
    let (job, segment) = key.strip_prefix(COMPLETIONS_PREFIX)?.split_once('/')?;
    Some((parse_job_id(job)?, segment.parse().ok()?))
}

/// Encodes a record in its stored form, JSON.
pub fn encode<T: Serialize>(record: &T) -> String {
    // Serialization cannot fail: no record has a map whose keys are not strings.
    serde_json::to_string(record).unwrap_or_else(|_| "null".into())
}

/// Decodes a stored record. Returns `None` if the text is not a valid record of the type.
pub fn decode<'a, T: Deserialize<'a>>(text: &'a str) -> Option<T> {
    serde_json::from_str(text).ok()
}

/// A set of task indexes, held as a bitmap that grows on insertion and stored in segments of
/// [`TASKS_PER_SEGMENT`] tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    len: u32,
}

impl TaskSet {
    /// Returns whether the set contains a task.
    pub fn contains(&self, task: u32) -> bool {
        let (word, bit) = Self::position(task);
        self.words.get(word).is_some_and(|bits| bits >> bit & 1 == 1)
    }

    /// Adds a task. Returns whether it was newly added.
    pub fn insert(&mut self, task: u32) -> bool {
        let (word, bit) = Self::position(task);
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        let added = self.words[word] >> bit & 1 == 0;
        self.words[word] |= 1 << bit;
        self.len += u32::from(added);
        added
    }

    /// Returns the number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Returns whether the set contains no tasks.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the index of a task's word, and the task's bit in the word.
    fn position(task: u32) -> (usize, u32) {
        ((task / TASKS_PER_WORD) as usize, task % TASKS_PER_WORD)
    }

    /// Returns a segment in its stored form: hexadecimal words, the lowest tasks first. Words
    /// beyond the end of the bitmap are omitted.
    pub fn encode_segment(&self, segment: u32) -> String {
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

    /// Adds the tasks of a segment encoded by [`TaskSet::encode_segment`]. Returns false if the
    /// text is malformed; the tasks of words before a malformed word are still added.
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
                self.insert(first + bit);
            }
        }
        true
    }
}
