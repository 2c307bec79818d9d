//! The machine types that a controller knows, and the calls that keep them up to date.
//!
//! The types come from the cloud. The leader stores them, so that the other controllers, and
//! processes that start during a cloud outage, can validate submissions.

use crate::io::{CloudReply, StoreReply};
use crate::model::{MachineType, Ms, Revision};
use crate::store::records::{decode, encode};

/// A call that is due.
#[derive(Clone, Debug, PartialEq)]
pub enum MachineTypesCall {
    /// Reads the stored types.
    Read,
    /// Stores the types, provided that the key still has this mod revision.
    Write {
        /// The encoded types.
        value: String,
        /// The expected mod revision.
        mod_revision: Revision,
    },
    /// Requests the types from the cloud.
    RequestFromCloud,
}

/// The known machine types and the state of the calls that update them.
#[derive(Debug, Default)]
pub struct MachineTypes {
    known: Vec<MachineType>,
    /// Whether the store has been read since the start or since the last failed write.
    has_read_store: bool,
    in_flight: bool,
    next_call_at: Ms,
    /// Time from which a follower reads the stored types again, or requests those that are not
    /// stored.
    next_refresh_at: Ms,
    /// Mod revision of the stored types.
    mod_revision: Revision,
    /// Whether the known types differ from the stored ones.
    write_due: bool,
}

impl MachineTypes {
    /// Returns the types; empty while none are known.
    pub fn known(&self) -> &[MachineType] {
        &self.known
    }

    /// Creates a value that already knows these types.
    #[cfg(test)]
    pub fn with_known(known: Vec<MachineType>) -> Self {
        MachineTypes { known, ..MachineTypes::default() }
    }

    /// Returns the call to make now, if one is due.
    ///
    /// Types whose encoding is longer than `max_value_bytes` are not stored, so every controller
    /// requests them from the cloud. Otherwise, only the leader and controllers that know no types
    /// request them. The other controllers read the stored types again at an interval, since the
    /// leader may have stored other ones.
    pub fn call_due(
        &mut self,
        now: Ms,
        max_value_bytes: usize,
        is_leader: bool,
    ) -> Option<MachineTypesCall> {
        if self.in_flight || now < self.next_call_at {
            return None;
        }
        if !self.has_read_store {
            return Some(MachineTypesCall::Read);
        }
        if self.write_due {
            let value = encode(&self.known);
            if value.len() <= max_value_bytes {
                return Some(MachineTypesCall::Write { value, mod_revision: self.mod_revision });
            }
            self.write_due = false;
            return None;
        }
        if self.known.is_empty() || is_leader {
            return Some(MachineTypesCall::RequestFromCloud);
        }
        let refresh = match self.mod_revision {
            Revision::NONE => MachineTypesCall::RequestFromCloud,
            _ => MachineTypesCall::Read,
        };
        (now >= self.next_refresh_at).then_some(refresh)
    }

    /// Records that the call returned by `call_due` was sent.
    pub fn record_sent(&mut self) {
        self.in_flight = true;
    }

    /// Applies the reply to a read of the stored types. If it failed, the read is repeated no
    /// sooner than `retry_at`. A follower reads them again at `refresh_at`.
    pub fn apply_read_reply(
        &mut self,
        reply: StoreReply,
        is_leader: bool,
        retry_at: Ms,
        refresh_at: Ms,
    ) {
        self.in_flight = false;
        match reply {
            StoreReply::KeyValue(item) => {
                self.has_read_store = true;
                self.next_refresh_at = refresh_at;
                self.mod_revision = item.mod_revision;
                if let Some(stored) = decode(&item.value) {
                    self.apply_stored(stored, is_leader);
                }
            }
            StoreReply::NotFound => {
                self.has_read_store = true;
                self.next_refresh_at = refresh_at;
                self.mod_revision = Revision::NONE;
            }
            _ => self.next_call_at = retry_at,
        }
    }

    /// Takes over the stored types, or schedules a write if those of this leader differ: they come
    /// from the cloud and are newer.
    fn apply_stored(&mut self, stored: Vec<MachineType>, is_leader: bool) {
        if is_leader && !self.known.is_empty() {
            self.write_due |= !matter_equally(&stored, &self.known);
        } else if !stored.is_empty() {
            self.known = stored;
        }
    }

    /// Applies the reply to a write of the types. If it was not committed, the store is read again.
    pub fn apply_write_reply(&mut self, reply: &StoreReply) {
        self.in_flight = false;
        self.write_due = false;
        if !matches!(reply, StoreReply::Committed { .. }) {
            self.has_read_store = false;
        }
    }

    /// Applies the reply of the cloud. The next request is made no sooner than `next_at`, or
    /// `retry_at` if the reply holds no types.
    pub fn apply_cloud_reply(&mut self, reply: CloudReply, retry_at: Ms, next_at: Ms) {
        self.in_flight = false;
        self.next_call_at = retry_at;
        let CloudReply::MachineTypes(types) = reply else { return };
        self.next_call_at = next_at;
        if types.is_empty() {
            return;
        }
        self.next_refresh_at = next_at;
        let unchanged = matter_equally(&types, &self.known);
        self.write_due |= !unchanged || self.mod_revision == Revision::NONE;
        self.known = types;
    }
}

/// Returns whether two lists of types make no difference for submissions.
fn matter_equally(types: &[MachineType], others: &[MachineType]) -> bool {
    types.iter().map(SubmissionFields::of).eq(others.iter().map(SubmissionFields::of))
}

/// The fields of a machine type that decide whether a submission can run. The types are stored only
/// when one of these changes, since prices change often.
#[derive(PartialEq)]
struct SubmissionFields<'a> {
    name: &'a str,
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    zones: &'a [String],
}

impl<'a> SubmissionFields<'a> {
    fn of(machine_type: &'a MachineType) -> Self {
        SubmissionFields {
            name: &machine_type.name,
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
            zones: &machine_type.zones,
        }
    }
}

#[cfg(test)]
#[path = "types_tests.rs"]
mod tests;
