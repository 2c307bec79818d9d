//! Revisions of the store, which order its records.

use std::fmt;

/// A revision of the key-value store (PROTOCOL: `stamp`, `impression`). Each change of the store
/// increments it by one. The mod revision of a key is the revision of its last change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision(pub u64);

impl Revision {
    /// The mod revision of a key that does not exist.
    pub const NONE: Revision = Revision(0);

    /// Returns the revision of the next change.
    pub fn next(self) -> Self {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
