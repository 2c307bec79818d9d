//! The machine types that a controller knows, and which call brings them up to date.
//!
//! The cloud tells of them; the leader stores what it was told, so that the other controllers, and
//! processes that start while the cloud is out, can judge submissions.

use crate::io::{CloudReply, StoreReply};
use crate::model::{MachineType, Ms, Revision};
use crate::store::records::{decode, encode};

/// The call that is due.
#[derive(Clone, Debug, PartialEq)]
pub enum TypesCall {
    /// Read the types that are stored.
    Read,
    /// Store this value, if the present one still has this mod revision.
    Write {
        /// The value.
        value: String,
        /// The mod revision.
        mod_revision: Revision,
    },
    /// Ask the cloud.
    AskCloud,
}

/// The machine types, and the state of the calls about them.
#[derive(Debug, Default)]
pub struct MachineTypes {
    known: Vec<MachineType>,
    /// What is stored was read.
    stored_read: bool,
    in_flight: bool,
    not_before: Ms,
    /// The mod revision of what is stored.
    mod_revision: Revision,
    /// What is known differs from what is stored.
    changed: bool,
}

impl MachineTypes {
    /// The types; none if they are not known yet.
    pub fn known(&self) -> &[MachineType] {
        &self.known
    }

    /// Types that are known without having been asked for.
    #[cfg(test)]
    pub fn of(known: Vec<MachineType>) -> Self {
        MachineTypes { known, ..MachineTypes::default() }
    }

    /// The call to make now. Values longer than `value_bytes` are not stored: every controller then
    /// asks the cloud; otherwise only a leader does, and whoever knows no types.
    pub fn call_due(&mut self, now: Ms, value_bytes: usize, leads: bool) -> Option<TypesCall> {
        if self.in_flight || now < self.not_before {
            return None;
        }
        if !self.stored_read {
            return Some(TypesCall::Read);
        }
        if self.changed {
            let value = encode(&self.known);
            if value.len() <= value_bytes {
                return Some(TypesCall::Write { value, mod_revision: self.mod_revision });
            }
            self.changed = false;
            return None;
        }
        (self.known.is_empty() || leads).then_some(TypesCall::AskCloud)
    }

    /// The call that was due was sent.
    pub fn sent(&mut self) {
        self.in_flight = true;
    }

    /// The stored types were read, or were not; then they are read again, no sooner than `retry_at`.
    pub fn read(&mut self, reply: StoreReply, retry_at: Ms) {
        self.in_flight = false;
        match reply {
            StoreReply::KeyValue(item) => {
                self.stored_read = true;
                self.mod_revision = item.mod_revision;
                if let (true, Some(types)) = (self.known.is_empty(), decode(&item.value)) {
                    self.known = types;
                }
            }
            StoreReply::NotFound => {
                self.stored_read = true;
                self.mod_revision = Revision::NONE;
            }
            _ => self.not_before = retry_at,
        }
    }

    /// The types were stored, or were not; then what is stored is read.
    pub fn written(&mut self, reply: &StoreReply) {
        self.in_flight = false;
        self.changed = false;
        if !matches!(reply, StoreReply::Committed { .. }) {
            self.stored_read = false;
        }
    }

    /// The cloud answered: it is asked again no sooner than `next_at`, or `retry_at` if it gave no
    /// types.
    pub fn cloud_replied(&mut self, reply: CloudReply, retry_at: Ms, next_at: Ms) {
        self.in_flight = false;
        self.not_before = retry_at;
        let CloudReply::Types(types) = reply else { return };
        self.not_before = next_at;
        if types.is_empty() {
            return;
        }
        let same = types.iter().map(Shape::of).eq(self.known.iter().map(Shape::of));
        self.changed |= !same || self.mod_revision == Revision::NONE;
        self.known = types;
    }
}

/// What of a machine type decides whether a submission can run. Only a change of this is stored:
/// prices move all the time.
#[derive(PartialEq)]
struct Shape<'a> {
    name: &'a str,
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    zones: &'a [String],
}

impl<'a> Shape<'a> {
    fn of(machine_type: &'a MachineType) -> Self {
        Shape {
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
