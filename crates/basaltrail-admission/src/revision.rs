//! The store's revision, by which records are ordered.

use std::fmt;

/// A revision of the key-value store (PROTOCOL: `stamp`, `impression`). Every change of the store
/// raises it by one; a key's mod revision is the revision of its last change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Revision(pub u64);

impl Revision {
    /// The mod revision of a key that does not exist.
    pub const NONE: Revision = Revision(0);

    /// The revision of the change that follows.
    pub fn next(self) -> Self {
        Revision(self.0 + 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
