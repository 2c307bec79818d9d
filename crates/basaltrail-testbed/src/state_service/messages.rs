//! Bodies of the state service (PROTOCOL, Controller nodes -> state service). Wire names are
//! mapped to the field's terms here.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A compare-and-swap transaction: all changes are applied if all preconditions hold.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct TransactionRequest {
    #[serde(rename = "if", default)]
    pub(super) preconditions: Vec<Precondition>,
    #[serde(rename = "apply", default)]
    pub(super) changes: Vec<Change>,
}

/// A key must be at a revision; 0 is that of a key that does not exist.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Precondition {
    pub(super) key: String,
    #[serde(rename = "stamp")]
    pub(super) mod_revision: Option<u64>,
}

/// A change of one key.
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

/// A key and its value, as `get` and `list` answer it.
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

/// A change that was carried out, as watches report it.
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
    pub(super) fn key(&self) -> &str {
        match self {
            WatchEvent::Put { key, .. } | WatchEvent::Delete { key, .. } => key,
        }
    }

    pub(super) fn mod_revision(&self) -> u64 {
        match self {
            WatchEvent::Put { mod_revision, .. } | WatchEvent::Delete { mod_revision, .. } => {
                *mod_revision
            }
        }
    }
}

/// The request for a lease.
#[derive(Clone, Copy, Debug, Deserialize)]
pub(super) struct LeaseRequest {
    #[serde(rename = "lifeMs", default)]
    pub(super) ttl_ms: u64,
}

/// The query of a page of keys, in ascending order.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct ListQuery {
    /// Only keys with this prefix; without it the request is for one key.
    #[serde(rename = "starts")]
    pub(super) prefix: Option<String>,
    /// Only keys after this one.
    #[serde(default)]
    pub(super) after: String,
    #[serde(rename = "most")]
    pub(super) limit: Option<usize>,
}

/// The query of a watch.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct WatchQuery {
    #[serde(rename = "starts", default)]
    pub(super) prefix: String,
    /// Only changes after this revision.
    #[serde(rename = "after", default)]
    pub(super) after_revision: u64,
    /// How long the request is held open if there is no change, in milliseconds.
    #[serde(rename = "blockMs", default)]
    pub(super) block_ms: u64,
}
