//! The store: keys, leases, transactions and the events of watches.

use super::*;

/// Maximum number of keys on one page of a list.
const MAX_PAGE_KEYS: u32 = 20;

impl Store {
    pub(super) fn remove(&mut self, key: &str, revision: Revision) {
        if self.keys.remove(key).is_some() {
            self.events
                .push((revision, WatchEvent::Delete { key: key.into(), mod_revision: revision }));
        }
    }

    pub(super) fn expire_leases(&mut self, now: u64) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| *expires_at <= now)
            .map(|(lease_id, _)| *lease_id)
            .collect();
        for lease_id in expired {
            self.revoke_lease(lease_id);
        }
    }

    pub(super) fn revoke_lease(&mut self, lease_id: LeaseId) {
        self.leases.remove(&lease_id);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease_id == Some(lease_id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision.0 += 1;
            self.remove(&key, self.revision);
        }
    }

    pub(super) fn key_value(&self, key: &str) -> Option<KeyValue> {
        let stored = self.keys.get(key)?;
        Some(KeyValue {
            key: key.into(),
            value: stored.value.clone(),
            mod_revision: stored.mod_revision,
            lease_id: stored.lease_id,
        })
    }

    pub(super) fn events_after(&self, prefix: &str, after: Revision) -> Vec<WatchEvent> {
        let key_of = |event: &WatchEvent| match event {
            WatchEvent::Put(item) => item.key.clone(),
            WatchEvent::Delete { key, .. } => key.clone(),
        };
        let events = self
            .events
            .iter()
            .filter(|(revision, event)| *revision > after && key_of(event).starts_with(prefix));
        events.map(|(_, event)| event.clone()).collect()
    }

    /// Applies a request. Watches are handled by `answer_watches`.
    pub(super) fn apply(&mut self, now: u64, request: &StoreRequest) -> StoreReply {
        self.expire_leases(now);
        match request {
            StoreRequest::Get(key) => {
                self.key_value(key).map_or(StoreReply::NotFound, StoreReply::KeyValue)
            }
            StoreRequest::List { prefix, after, limit } => {
                self.list(prefix, after.as_deref(), *limit)
            }
            StoreRequest::Transaction { preconditions, puts, deletes } => {
                self.transact(preconditions, puts, deletes)
            }
            StoreRequest::GrantLease { ttl_ms } => {
                self.last_lease_id += 1;
                let lease_id = LeaseId(self.last_lease_id);
                self.leases.insert(lease_id, (*ttl_ms, now + ttl_ms));
                StoreReply::LeaseGranted { lease_id }
            }
            StoreRequest::KeepAlive { lease_id } => match self.leases.get_mut(lease_id) {
                Some((ttl_ms, expires_at)) => {
                    *expires_at = now + *ttl_ms;
                    StoreReply::LeaseUpdated
                }
                None => StoreReply::NotFound,
            },
            StoreRequest::RevokeLease { lease_id } => {
                let known = self.leases.contains_key(lease_id);
                self.revoke_lease(*lease_id);
                if known {
                    StoreReply::LeaseUpdated
                } else {
                    StoreReply::NotFound
                }
            }
            StoreRequest::Watch { .. } => unreachable!("a watch is not applied"),
        }
    }

    fn list(&self, prefix: &str, after: Option<&str>, limit: u32) -> StoreReply {
        let after = after.unwrap_or("");
        let mut keys =
            self.keys.keys().filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<&String> = keys.by_ref().take(limit.min(MAX_PAGE_KEYS) as usize).collect();
        let more = keys.next().is_some();
        let items = page.iter().filter_map(|key| self.key_value(key)).collect();
        StoreReply::Page { items, more, revision: self.revision }
    }

    fn transact(
        &mut self,
        preconditions: &[Precondition],
        puts: &[PutRequest],
        deletes: &[String],
    ) -> StoreReply {
        let (max_value_bytes, max_ops) = self.limits;
        let too_large = puts.iter().any(|put| put.value.len() > max_value_bytes);
        if too_large || puts.len() + deletes.len() > max_ops || preconditions.len() > max_ops * 4 {
            return StoreReply::Invalid;
        }
        let is_unknown = |lease_id: LeaseId| !self.leases.contains_key(&lease_id);
        if puts.iter().any(|put| put.lease_id.is_some_and(is_unknown)) {
            return StoreReply::Unavailable;
        }
        let current_revision =
            |key: &String| self.keys.get(key).map_or(Revision::NONE, |stored| stored.mod_revision);
        let failed: Vec<String> = preconditions
            .iter()
            .filter(|precondition| current_revision(&precondition.key) != precondition.mod_revision)
            .map(|precondition| precondition.key.clone())
            .collect();
        if !failed.is_empty() {
            return StoreReply::Conflict { failed };
        }
        if !puts.is_empty() || !deletes.is_empty() {
            self.revision.0 += 1;
        }
        for put in puts {
            self.put(put);
        }
        for key in deletes {
            self.remove(key, self.revision);
        }
        StoreReply::Committed { revision: self.revision }
    }

    fn put(&mut self, put: &PutRequest) {
        let stored = StoredValue {
            value: put.value.clone(),
            mod_revision: self.revision,
            lease_id: put.lease_id,
        };
        self.keys.insert(put.key.clone(), stored);
        let event = WatchEvent::Put(KeyValue {
            key: put.key.clone(),
            value: put.value.clone(),
            mod_revision: self.revision,
            // Watch events do not contain the lease of a key.
            lease_id: None,
        });
        self.events.push((self.revision, event));
    }
}
