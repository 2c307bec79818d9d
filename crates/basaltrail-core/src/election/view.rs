//! The keys under the control prefix as a controller last read them.

use crate::io::{KeyValue, WatchEvent};
use crate::model::{FencingToken, LeaseId, Revision};
use crate::store::records::{decode, LeaderRecord, LEADER_KEY, PRIMARY_ZONE_KEY, TERM_KEY};

/// The leader key, as last read from the store.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LeaderKey {
    pub(super) record: LeaderRecord,
    pub(super) mod_revision: Revision,
    /// The lease to which the key is attached; `None` if the key was read by a watch.
    pub(super) lease_id: Option<LeaseId>,
}

/// The keys under the control prefix as they were last read.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    pub(super) leader_key: Option<LeaderKey>,
    /// The fencing token of the latest term.
    pub(super) token: FencingToken,
    /// The mod revision of the term key.
    pub(super) term_key_mod_revision: Revision,
    pub(super) primary_zone: Option<String>,
    /// The store revision up to which changes are known.
    pub(super) revision: Revision,
}

impl View {
    /// Returns the view of a list that was read at a revision.
    pub(super) fn listed(items: &[KeyValue], revision: Revision) -> Self {
        let mut view = View { revision, ..View::default() };
        for item in items {
            view.apply(&item.key, Some(item));
        }
        view
    }

    /// Applies the events of a watch that knows all changes up to a revision. Events that the view
    /// contains already are skipped, since the watch may have been sent before the list was read.
    /// Returns whether one of them changed the leader key.
    pub(super) fn apply_events(&mut self, events: &[WatchEvent], revision: Revision) -> bool {
        let mut leader_key_changed = false;
        for event in events {
            let (key, item, changed_at) = match event {
                WatchEvent::Put(item) => (&item.key, Some(item), item.mod_revision),
                WatchEvent::Delete { key, mod_revision } => (key, None, *mod_revision),
            };
            if changed_at > self.revision {
                self.apply(key, item);
                leader_key_changed |= key == LEADER_KEY;
            }
        }
        self.revision = self.revision.max(revision);
        leader_key_changed
    }

    /// Applies the current value of a key under the control prefix; `item` is `None` if the key was
    /// deleted.
    fn apply(&mut self, key: &str, item: Option<&KeyValue>) {
        match key {
            LEADER_KEY => {
                self.leader_key = item.and_then(|item| {
                    let record = decode(&item.value)?;
                    let KeyValue { mod_revision, lease_id, .. } = *item;
                    Some(LeaderKey { record, mod_revision, lease_id })
                });
            }
            TERM_KEY => {
                if let Some(item) = item {
                    self.token = decode(&item.value).unwrap_or_default();
                    self.term_key_mod_revision = item.mod_revision;
                }
            }
            PRIMARY_ZONE_KEY => {
                self.primary_zone = item.and_then(|item| decode(&item.value));
            }
            _ => {}
        }
    }

    /// Returns whether the term that began with the commit of the leader key at a revision has
    /// ended: the key was read at that revision or later, and it was deleted or written again.
    pub(super) fn shows_end_of_term(&self, began_at: Revision) -> bool {
        let holds_key =
            self.leader_key.as_ref().is_some_and(|leader_key| leader_key.mod_revision == began_at);
        self.revision >= began_at && !holds_key
    }
}
