//! The store of a trace, and its troubles.

use basaltrail_core::*;
use std::collections::BTreeMap;

/// Whether the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Availability {
    #[default]
    Up,
    /// It answers 503 and carries nothing out.
    Refusing,
    /// It does not answer.
    Silent,
}

/// A watch that is not answered yet.
pub struct OpenWatch {
    pub op: CallId,
    pub prefix: String,
    pub after: Revision,
    /// When it is answered though nothing has changed.
    pub due: u64,
    /// When the controller gives it up.
    pub given_up: u64,
}

struct Stored {
    value: String,
    mod_revision: Revision,
    lease_id: Option<LeaseId>,
}

/// One change: the key, and its value if it was put.
struct Change {
    key: String,
    revision: Revision,
    value: Option<String>,
}

#[derive(Default)]
pub struct TraceStore {
    pub availability: Availability,
    /// Requests without an answer, which `late` carries out.
    pub unanswered: Vec<StoreRequest>,
    pub watches: Vec<OpenWatch>,
    /// No watch of the jobs is answered.
    pub events_held: bool,
    /// The machine registry cannot be read.
    pub registry_held: bool,
    /// Watches that are never answered.
    pub hung: Vec<CallId>,
    /// A key whose writes are rejected for good, and how many were.
    pub rejected_key: Option<String>,
    pub rejected: u32,
    keys: BTreeMap<String, Stored>,
    revision: u64,
    last_lease: u64,
    log: Vec<Change>,
}

impl TraceStore {
    /// The next changes are another controller's: they have a revision of their own.
    pub fn begin_revision(&mut self) {
        self.revision += 1;
    }

    pub fn put(&mut self, key: &str, value: &str, lease_id: Option<LeaseId>) {
        let mod_revision = Revision(self.revision);
        let stored = Stored { value: value.into(), mod_revision, lease_id };
        self.keys.insert(key.into(), stored);
        let value = Some(value.into());
        self.log.push(Change { key: key.into(), revision: mod_revision, value });
    }

    pub fn delete(&mut self, key: &str) {
        self.keys.remove(key);
        let revision = Revision(self.revision);
        self.log.push(Change { key: key.into(), revision, value: None });
    }

    /// The reply to a request, as the availability of the moment has it.
    pub fn request(&mut self, call: StoreRequest) -> StoreReply {
        match self.availability {
            Availability::Up => self.carry_out(&call),
            Availability::Refusing => StoreReply::Refused,
            Availability::Silent => {
                self.unanswered.push(call);
                StoreReply::Unknown
            }
        }
    }

    /// The reply to an open watch, if there is one by now.
    pub fn reply_to(&self, watch: &OpenWatch, now: u64) -> Option<StoreReply> {
        let held = self.events_held && watch.prefix == records::JOBS_PREFIX;
        if self.availability != Availability::Up || held || self.hung.contains(&watch.op) {
            return (now >= watch.given_up).then_some(StoreReply::Unknown);
        }
        let news = |change: &&Change| {
            change.revision > watch.after && change.key.starts_with(&watch.prefix)
        };
        let events: Vec<WatchEvent> = self.log.iter().filter(news).map(Change::event).collect();
        if events.is_empty() && now < watch.due {
            return None;
        }
        Some(StoreReply::Events { revision: Revision(self.revision), events })
    }

    /// Carries a request out, whatever the availability.
    pub fn carry_out(&mut self, call: &StoreRequest) -> StoreReply {
        match call {
            StoreRequest::Get(key) => match self.keys.get(key) {
                Some(stored) => StoreReply::KeyValue(stored.key_value(key)),
                None => StoreReply::NotFound,
            },
            StoreRequest::List { prefix, .. } => self.list(prefix),
            StoreRequest::Transaction { preconditions, puts, deletes } => {
                self.transact(preconditions, puts, deletes)
            }
            StoreRequest::GrantLease { .. } => {
                self.last_lease += 1;
                StoreReply::LeaseGranted { lease_id: LeaseId(self.last_lease) }
            }
            StoreRequest::KeepAlive { lease_id } => match self.holds_leader_key(*lease_id) {
                true => StoreReply::Ok,
                false => StoreReply::NotFound,
            },
            StoreRequest::RevokeLease { lease_id } => {
                if self.holds_leader_key(*lease_id) {
                    self.revision += 1;
                    self.delete(records::LEADER_KEY);
                }
                StoreReply::Ok
            }
            StoreRequest::Watch { .. } => unreachable!("watches are kept open"),
        }
    }

    fn holds_leader_key(&self, lease_id: LeaseId) -> bool {
        let leader = self.keys.get(records::LEADER_KEY);
        leader.is_some_and(|stored| stored.lease_id == Some(lease_id))
    }

    fn list(&self, prefix: &str) -> StoreReply {
        if self.registry_held && prefix == records::MACHINE_REGISTRY_PREFIX {
            return StoreReply::Refused;
        }
        let listed = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        StoreReply::Page {
            items: listed.map(|(key, stored)| stored.key_value(key)).collect(),
            more: false,
            revision: Revision(self.revision),
        }
    }

    fn transact(
        &mut self,
        preconditions: &[Precondition],
        puts: &[PutRequest],
        deletes: &[String],
    ) -> StoreReply {
        if puts.iter().any(|put| self.rejected_key.as_ref() == Some(&put.key)) {
            self.rejected += 1;
            return StoreReply::Rejected;
        }
        let current = |key: &String| self.keys.get(key).map_or(Revision(0), |k| k.mod_revision);
        let failed: Vec<String> = preconditions
            .iter()
            .filter(|wanted| current(&wanted.key) != wanted.mod_revision)
            .map(|wanted| wanted.key.clone())
            .collect();
        if !failed.is_empty() {
            return StoreReply::Conflict { failed };
        }
        self.revision += 1;
        for put in puts {
            self.put(&put.key, &put.value, put.lease_id);
        }
        for key in deletes {
            self.delete(key);
        }
        StoreReply::Committed { revision: Revision(self.revision) }
    }
}

impl Stored {
    fn key_value(&self, key: &str) -> KeyValue {
        KeyValue {
            key: key.into(),
            value: self.value.clone(),
            mod_revision: self.mod_revision,
            lease_id: self.lease_id,
        }
    }
}

impl Change {
    fn event(&self) -> WatchEvent {
        match &self.value {
            Some(value) => WatchEvent::Put(KeyValue {
                key: self.key.clone(),
                value: value.clone(),
                mod_revision: self.revision,
                // Watches do not tell under which lease a key stands.
                lease_id: None,
            }),
            None => WatchEvent::Delete { key: self.key.clone(), mod_revision: self.revision },
        }
    }
}
