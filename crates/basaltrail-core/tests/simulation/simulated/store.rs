//! The state service.

use super::*;

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

    pub(super) fn carry_out(&mut self, t: u64, op: &StoreRequest) -> StoreReply {
        self.expire(t);
        match op {
            StoreRequest::Get(key) => {
                self.item(key).map_or(StoreReply::NotFound, StoreReply::KeyValue)
            }
            StoreRequest::List { prefix, after, limit } => {
                let from = after.as_deref().unwrap_or("");
                let mut keys =
                    self.keys.keys().filter(|k| k.starts_with(prefix) && k.as_str() > from);
                let for_share_of_workers: Vec<&String> =
                    keys.by_ref().take((*limit).min(20) as usize).collect();
                let more = keys.next().is_some();
                let items = for_share_of_workers.iter().filter_map(|k| self.item(k)).collect();
                StoreReply::Page { items, more, revision: self.revision }
            }
            StoreRequest::Transaction { preconditions, puts, deletes } => {
                let (value, ops) = self.limits;
                let large = puts.iter().any(|p| p.value.len() > value);
                if large || puts.len() + deletes.len() > ops || preconditions.len() > ops * 4 {
                    return StoreReply::Rejected;
                }
                if puts.iter().any(|p| p.lease_id.is_some_and(|l| !self.leases.contains_key(&l))) {
                    return StoreReply::Refused;
                }
                let mod_revision =
                    |k: &String| self.keys.get(k).map_or(Revision::NONE, |k| k.mod_revision);
                let failed: Vec<String> = preconditions
                    .iter()
                    .filter(|p| mod_revision(&p.key) != p.mod_revision)
                    .map(|p| p.key.clone())
                    .collect();
                if !failed.is_empty() {
                    return StoreReply::Conflict { failed };
                }
                if !puts.is_empty() || !deletes.is_empty() {
                    self.revision.0 += 1;
                }
                for p in puts {
                    let k = StoredValue {
                        value: p.value.clone(),
                        mod_revision: self.revision,
                        lease_id: p.lease_id,
                    };
                    self.keys.insert(p.key.clone(), k);
                    // Watches do not tell under which lease a key stands.
                    let item = KeyValue { lease_id: None, ..self.item(&p.key).unwrap() };
                    self.log.push((self.revision, WatchEvent::Put(item)));
                }
                for key in deletes {
                    self.remove(key, self.revision);
                }
                StoreReply::Committed { revision: self.revision }
            }
            StoreRequest::GrantLease { ttl_ms } => {
                self.next_lease_id += 1;
                self.leases.insert(LeaseId(self.next_lease_id), (*ttl_ms, t + ttl_ms));
                StoreReply::LeaseGranted { lease_id: LeaseId(self.next_lease_id) }
            }
            StoreRequest::KeepAlive { lease_id } => match self.leases.get_mut(lease_id) {
                Some((life, end)) => {
                    *end = t + *life;
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
            StoreRequest::Watch { .. } => unreachable!(),
        }
    }
}
