//! The machine types that a controller knows, and which call brings them up to date.
//!
//! The cloud tells of them; the leader keeps what it was told in the state service, so that the
//! other controllers, and processes that start while the cloud is out, can judge submissions.

use crate::io::{CloudReply, StoreReply};
use crate::model::{MachineType, Ms, Revision};
use crate::store::records::{decode, encode};

/// The call that is due.
#[derive(Clone, Debug, PartialEq)]
pub enum TypesCall {
    /// Read what is kept in the state service.
    ReadKept,
    /// Keep this value there, if the present one still has this mod revision.
    Keep {
        /// The value.
        value: String,
        /// The mod revision.
        mod_revision: Revision,
    },
    /// Ask the cloud.
    AskCloud,
}

/// See the module.
#[derive(Debug, Default)]
pub struct MachineTypes {
    known: Vec<MachineType>,
    /// What is kept was read.
    kept_read: bool,
    in_flight: bool,
    not_before: Ms,
    mod_revision: Revision,
    /// What is known differs from what is kept.
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

    /// The call to make now. Values longer than `value_bytes` are not kept: every controller then asks
    /// the cloud; otherwise only a leader does, and whoever knows no types.
    pub fn call_due(&mut self, now: Ms, value_bytes: usize, leads: bool) -> Option<TypesCall> {
        if self.in_flight || now < self.not_before {
            return None;
        }
        if !self.kept_read {
            return Some(TypesCall::ReadKept);
        }
        if self.changed {
            let value = encode(&self.known);
            if value.len() <= value_bytes {
                return Some(TypesCall::Keep { value, mod_revision: self.mod_revision });
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

    /// What is kept was read, or was not; then it is read again, no sooner than `next`.
    pub fn read(&mut self, reply: StoreReply, next: Ms) {
        self.in_flight = false;
        match reply {
            StoreReply::KeyValue(item) => {
                self.kept_read = true;
                self.mod_revision = item.mod_revision;
                if let (true, Some(types)) = (self.known.is_empty(), decode(&item.value)) {
                    self.known = types;
                }
            }
            StoreReply::NotFound => {
                self.kept_read = true;
                self.mod_revision = Revision::NONE;
            }
            _ => self.not_before = next,
        }
    }

    /// What is known was kept, or was not; then what is there is read.
    pub fn written(&mut self, reply: &StoreReply) {
        self.in_flight = false;
        self.changed = false;
        if !matches!(reply, StoreReply::Committed { .. }) {
            self.kept_read = false;
        }
    }

    /// The cloud answered: it is asked again no sooner than `next`, or `retry` if it did not.
    pub fn told(&mut self, reply: CloudReply, retry: Ms, next: Ms) {
        self.in_flight = false;
        self.not_before = retry;
        let CloudReply::Types(types) = reply else { return };
        self.not_before = next;
        if types.is_empty() {
            return;
        }
        // Prices move all the time; only what decides a submission is kept.
        let shape =
            |t: &MachineType| (t.name.clone(), t.cpus, t.gpus, t.memory_gb, t.zones.clone());
        let same = types.iter().map(shape).eq(self.known.iter().map(shape));
        self.changed |= !same || self.mod_revision == Revision::NONE;
        self.known = types;
    }
}

#[cfg(test)]
#[path = "types_tests.rs"]
mod tests;
