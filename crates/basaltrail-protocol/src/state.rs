//! The state service's interface.

use crate::Malformed;
use basaltrail_core::io::{KeyValue, PutRequest, StoreReply, StoreRequest, WatchEvent};
use basaltrail_core::{LeaseId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

#[derive(Serialize)]
struct Condition<'a> {
    key: &'a str,
    stamp: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Change<'a> {
    PutRequest {
        put: &'a str,
        v: &'a RawValue,
        #[serde(skip_serializing_if = "Option::is_none")]
        loan: Option<u64>,
    },
    Remove {
        remove: &'a str,
    },
}

#[derive(Serialize)]
struct TxnBody<'a> {
    #[serde(rename = "if")]
    conditions: Vec<Condition<'a>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    apply: Vec<Change<'a>>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct GrantBody {
    life_ms: u64,
}

#[derive(Deserialize)]
struct Row {
    key: String,
    v: Box<RawValue>,
    stamp: u64,
    #[serde(default)]
    loan: Option<u64>,
}

#[derive(Deserialize)]
struct RowsBody {
    rows: Vec<Row>,
    #[serde(default)]
    truncated: bool,
    impression: u64,
}

#[derive(Deserialize)]
struct RevisionBody {
    impression: u64,
}

#[derive(Deserialize)]
struct FailedBody {
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct GrantedBody {
    loan: u64,
}

#[derive(Deserialize)]
struct NewsBody {
    impression: u64,
    #[serde(default)]
    news: Vec<News>,
}

#[derive(Deserialize)]
struct News {
    #[serde(default)]
    put: Option<String>,
    #[serde(default)]
    remove: Option<String>,
    #[serde(default)]
    v: Option<Box<RawValue>>,
    stamp: u64,
    #[serde(default)]
    loan: Option<u64>,
}

impl From<Row> for KeyValue {
    fn from(r: Row) -> KeyValue {
        KeyValue {
            key: r.key,
            value: r.v.get().to_string(),
            mod_revision: Revision(r.stamp),
            lease_id: r.loan.map(LeaseId),
        }
    }
}

/// Method, path and body of a call.
pub fn request(op: &StoreRequest) -> Result<(&'static str, String, String), Malformed> {
    Ok(match op {
        StoreRequest::Get(key) => ("GET", format!("/kv/{key}"), String::new()),
        StoreRequest::List { prefix, after, limit } => {
            let after = after.as_ref().map(|a| format!("&after={a}")).unwrap_or_default();
            ("GET", format!("/kv?starts={prefix}{after}&most={limit}"), String::new())
        }
        StoreRequest::Transaction { preconditions, puts, deletes } => {
            let conditions = preconditions
                .iter()
                .map(|p| Condition { key: &p.key, stamp: p.mod_revision.0 })
                .collect();
            let mut apply = Vec::with_capacity(puts.len() + deletes.len());
            for PutRequest { key, value, lease_id } in puts {
                apply.push(Change::PutRequest {
                    put: key,
                    v: serde_json::from_str(value)?,
                    loan: lease_id.map(|id| id.0),
                });
            }
            apply.extend(deletes.iter().map(|remove| Change::Remove { remove }));
            ("POST", "/txn".into(), serde_json::to_string(&TxnBody { conditions, apply })?)
        }
        StoreRequest::GrantLease { ttl_ms } => {
            ("POST", "/grants".into(), serde_json::to_string(&GrantBody { life_ms: *ttl_ms })?)
        }
        StoreRequest::KeepAlive { lease_id } => {
            ("POST", format!("/grants/{lease_id}/extend"), String::new())
        }
        StoreRequest::RevokeLease { lease_id } => {
            ("DELETE", format!("/grants/{lease_id}"), String::new())
        }
        StoreRequest::Watch { prefix, after, wait_ms } => (
            "GET",
            format!("/changes?starts={prefix}&after={after}&blockMs={wait_ms}"),
            String::new(),
        ),
    })
}

/// Reads the answer to a call.
pub fn reply(op: &StoreRequest, status: u16, body: &[u8]) -> Result<StoreReply, Malformed> {
    match status {
        200 | 404 | 409 | 410 => {}
        // The service says that it did not carry these out.
        429 | 503 => return Ok(StoreReply::Refused),
        400 => return Ok(StoreReply::Rejected),
        _ => return Ok(StoreReply::Unknown),
    }
    Ok(match (op, status) {
        (_, 410) => StoreReply::Compacted,
        (StoreRequest::Transaction { .. }, 409) => {
            let b: FailedBody = serde_json::from_slice(body)?;
            StoreReply::Conflict { failed: b.failed }
        }
        (_, 409) => StoreReply::Unknown,
        (
            StoreRequest::Transaction { .. }
            | StoreRequest::List { .. }
            | StoreRequest::Watch { .. },
            404,
        ) => StoreReply::Unknown,
        (_, 404) => StoreReply::NotFound,
        (StoreRequest::Get(_), _) => {
            StoreReply::KeyValue(serde_json::from_slice::<Row>(body)?.into())
        }
        (StoreRequest::List { .. }, _) => {
            let b: RowsBody = serde_json::from_slice(body)?;
            let items = b.rows.into_iter().map(KeyValue::from).collect();
            StoreReply::Page { items, more: b.truncated, revision: Revision(b.impression) }
        }
        (StoreRequest::Transaction { .. }, _) => {
            let b: RevisionBody = serde_json::from_slice(body)?;
            StoreReply::Committed { revision: Revision(b.impression) }
        }
        (StoreRequest::GrantLease { .. }, _) => StoreReply::LeaseGranted {
            lease_id: LeaseId(serde_json::from_slice::<GrantedBody>(body)?.loan),
        },
        (StoreRequest::KeepAlive { .. } | StoreRequest::RevokeLease { .. }, _) => StoreReply::Ok,
        (StoreRequest::Watch { .. }, _) => {
            let b: NewsBody = serde_json::from_slice(body)?;
            let mut events = Vec::with_capacity(b.news.len());
            for n in b.news {
                events.push(match (n.put, n.v, n.remove) {
                    (Some(key), Some(v), _) => WatchEvent::Put(KeyValue {
                        key,
                        value: v.get().to_string(),
                        mod_revision: Revision(n.stamp),
                        lease_id: n.loan.map(LeaseId),
                    }),
                    (None, _, Some(key)) => {
                        WatchEvent::Delete { key, mod_revision: Revision(n.stamp) }
                    }
                    _ => return Err(Malformed::Field("a change that is neither put nor remove")),
                });
            }
            StoreReply::Events { revision: Revision(b.impression), events }
        }
    })
}
