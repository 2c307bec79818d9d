//! The store.

use super::*;

/// Keys on one page of a list at the most.
const PAGE_MOST: u32 = 20;

impl Store {
    pub(super) fn remove(&mut self, key: &str, revision: Revision) {
        if self.keys.remove(key).is_some() {
            self.log
                .push((revision, WatchEvent::Delete { key: key.into(), mod_revision: revision }));
        }
    }

    pub(super) fn expire(&mut self, t: u64) {
        let over: Vec<LeaseId> =
            self.leases.iter().filter(|(_, (_, e))| *e <= t).map(|(l, _)| *l).collect();
        for lease_id in over {
            self.end(lease_id);
        }
    }

    pub(super) fn end(&mut self, lease_id: LeaseId) {
        self.leases.remove(&lease_id);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, k)| k.lease_id == Some(lease_id))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision.0 += 1;
            self.remove(&key, self.revision);
        }
    }

    pub(super) fn item(&self, key: &str) -> Option<KeyValue> {
        let k = self.keys.get(key)?;
        Some(KeyValue {
            key: key.into(),
            value: k.value.clone(),
            mod_revision: k.mod_revision,
            lease_id: k.lease_id,
        })
    }

    pub(super) fn news(&self, prefix: &str, after: Revision) -> Vec<WatchEvent> {
        let key = |e: &WatchEvent| match e {
            WatchEvent::Put(i) => i.key.clone(),
            WatchEvent::Delete { key, .. } => key.clone(),
        };
        let new = self.log.iter().filter(|(r, e)| *r > after && key(e).starts_with(prefix));
        new.map(|(_, e)| e.clone()).collect()
    }

    /// Carries a request out; watches are answered elsewhere.
    pub(super) fn carry_out(&mut self, now: u64, request: &StoreRequest) -> StoreReply {
        self.expire(now);
        match request {
            StoreRequest::Get(key) => {
                self.item(key).map_or(StoreReply::NotFound, StoreReply::KeyValue)
            }
            StoreRequest::List { prefix, after, limit } => {
                self.list(prefix, after.as_deref(), *limit)
            }
            StoreRequest::Transaction { preconditions, puts, deletes } => {
                self.transact(preconditions, puts, deletes)
            }
            StoreRequest::GrantLease { ttl_ms } => {
                self.next_lease_id += 1;
                let lease_id = LeaseId(self.next_lease_id);
                self.leases.insert(lease_id, (*ttl_ms, now + ttl_ms));
                StoreReply::LeaseGranted { lease_id }
            }
            StoreRequest::KeepAlive { lease_id } => match self.leases.get_mut(lease_id) {
                Some((life, end)) => {
                    *end = now + *life;
                    StoreReply::Ok
                }
                None => StoreReply::NotFound,
            },
            StoreRequest::RevokeLease { lease_id } => {
                let known = self.leases.contains_key(lease_id);
                self.end(*lease_id);
                if known {
                    StoreReply::Ok
                } else {
                    StoreReply::NotFound
                }
            }
            StoreRequest::Watch { .. } => unreachable!("watches are kept open"),
        }
    }

    fn list(&self, prefix: &str, after: Option<&str>, limit: u32) -> StoreReply {
        let after = after.unwrap_or("");
        let mut keys = self.keys.keys().filter(|k| k.starts_with(prefix) && k.as_str() > after);
        let page: Vec<&String> = keys.by_ref().take(limit.min(PAGE_MOST) as usize).collect();
        let more = keys.next().is_some();
        let items = page.iter().filter_map(|key| self.item(key)).collect();
        StoreReply::Page { items, more, revision: self.revision }
    }

    fn transact(
        &mut self,
        preconditions: &[Precondition],
        puts: &[PutRequest],
        deletes: &[String],
    ) -> StoreReply {
        let (value_bytes, changes) = self.limits;
        let large = puts.iter().any(|put| put.value.len() > value_bytes);
        if large || puts.len() + deletes.len() > changes || preconditions.len() > changes * 4 {
            return StoreReply::Rejected;
        }
        let has_ended = |lease_id: LeaseId| !self.leases.contains_key(&lease_id);
        if puts.iter().any(|put| put.lease_id.is_some_and(has_ended)) {
            return StoreReply::Refused;
        }
        let current = |key: &String| self.keys.get(key).map_or(Revision::NONE, |k| k.mod_revision);
        let failed: Vec<String> = preconditions
            .iter()
            .filter(|wanted| current(&wanted.key) != wanted.mod_revision)
            .map(|wanted| wanted.key.clone())
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
            // Watches do not tell under which lease a key stands.
            lease_id: None,
        });
        self.log.push((self.revision, event));
    }
}
