//! Messages of the state service (PROTOCOL, Controller nodes -> state service). Serde attributes
//! map the fields to their names on the wire.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A compare-and-swap transaction, which applies all changes if all preconditions hold.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct TransactionRequest {
    #[serde(rename = "if", default)]
    pub(super) preconditions: Vec<Precondition>,
    #[serde(rename = "apply", default)]
    pub(super) changes: Vec<Change>,
}

/// The required revision of a key; 0 requires that the key does not exist.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Precondition {
    pub(super) key: String,
    #[serde(rename = "stamp")]
    pub(super) mod_revision: Option<u64>,
}

/// A change to one key.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum Change {
    Put {
        #[serde(rename = "put")]
        key: String,
        #[serde(rename = "v", default)]
        value: Value,
        #[serde(rename = "loan", default)]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "remove")]
        key: String,
    },
}

/// A key with its value, in the answers of `get` and `list`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct KeyValue<'a> {
    pub(super) key: &'a str,
    #[serde(rename = "v")]
    pub(super) value: &'a Value,
    #[serde(rename = "stamp")]
    pub(super) mod_revision: u64,
    #[serde(rename = "loan")]
    pub(super) lease: Option<u64>,
}

/// An applied change, in the answers of watches.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub(super) enum WatchEvent {
    Put {
        #[serde(rename = "put")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "stamp")]
        mod_revision: u64,
        #[serde(rename = "loan")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "remove")]
        key: String,
        #[serde(rename = "stamp")]
        mod_revision: u64,
    },
}

impl WatchEvent {
    /// Returns the changed key.
    pub(super) fn key(&self) -> &str {
        match self {
            WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    pub(super) fn mod_revision(&self) -> u64 {
        match self {
            WatchEvent::Put { mod_revision, .. } | WatchEvent::Delete { mod_revision, .. } => {
                *mod_revision
            }
        }
    }
}

/// A request for a lease.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct LeaseRequest {
    /// Lifetime of the lease, in milliseconds.
    #[serde(rename = "lifeMs", default)]
    pub(super) ttl_ms: u64,
}

/// Query for one key, or for a page of keys in ascending order.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct ListQuery {
    /// Only keys with this prefix; `None` if the request is for one key.
    #[serde(rename = "starts")]
    pub(super) prefix: Option<String>,
    /// Only keys after this one.
    #[serde(default)]
    pub(super) after: String,
    /// Maximum number of keys in the page.
    #[serde(rename = "most")]
    pub(super) limit: Option<usize>,
}

/// Query of a watch.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct WatchQuery {
    #[serde(rename = "starts", default)]
    pub(super) prefix: String,
    /// Only changes after this revision.
    #[serde(rename = "after", default)]
    pub(super) after_revision: u64,
    /// Maximum time for which the request waits for a change, in milliseconds.
    #[serde(rename = "blockMs", default)]
    pub(super) block_ms: u64,
}
