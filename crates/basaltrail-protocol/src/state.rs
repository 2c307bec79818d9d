//! The state service's interface.

use crate::Malformed;
use basaltrail_core::io::{Event, Item, Put, StateOp, StateReply};
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
    Put {
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

impl From<Row> for Item {
    fn from(r: Row) -> Item {
        Item { key: r.key, value: r.v.get().to_string(), stamp: r.stamp, loan: r.loan }
    }
}

/// Method, path and body of a call.
pub fn request(op: &StateOp) -> Result<(&'static str, String, String), Malformed> {
    Ok(match op {
        StateOp::Get(key) => ("GET", format!("/kv/{key}"), String::new()),
        StateOp::List { prefix, after, limit } => {
            let after = after.as_ref().map(|a| format!("&after={a}")).unwrap_or_default();
            ("GET", format!("/kv?starts={prefix}{after}&most={limit}"), String::new())
        }
        StateOp::Txn { conds, puts, removes } => {
            let conditions =
                conds.iter().map(|(key, stamp)| Condition { key, stamp: *stamp }).collect();
            let mut apply = Vec::with_capacity(puts.len() + removes.len());
            for Put { key, value, loan } in puts {
                apply.push(Change::Put { put: key, v: serde_json::from_str(value)?, loan: *loan });
            }
            apply.extend(removes.iter().map(|remove| Change::Remove { remove }));
            ("POST", "/txn".into(), serde_json::to_string(&TxnBody { conditions, apply })?)
        }
        StateOp::Grant { ttl_ms } => {
            ("POST", "/grants".into(), serde_json::to_string(&GrantBody { life_ms: *ttl_ms })?)
        }
        StateOp::Extend { loan } => ("POST", format!("/grants/{loan}/extend"), String::new()),
        StateOp::Revoke { loan } => ("DELETE", format!("/grants/{loan}"), String::new()),
        StateOp::Watch { prefix, after, wait_ms } => (
            "GET",
            format!("/changes?starts={prefix}&after={after}&blockMs={wait_ms}"),
            String::new(),
        ),
    })
}

/// Reads the answer to a call.
pub fn reply(op: &StateOp, status: u16, body: &[u8]) -> Result<StateReply, Malformed> {
    match status {
        200 | 404 | 409 | 410 => {}
        // The service says that it did not carry these out.
        429 | 503 => return Ok(StateReply::Refused),
        400 => return Ok(StateReply::Rejected),
        _ => return Ok(StateReply::Unknown),
    }
    Ok(match (op, status) {
        (_, 410) => StateReply::Compacted,
        (StateOp::Txn { .. }, 409) => {
            let b: FailedBody = serde_json::from_slice(body)?;
            StateReply::Conflict { failed: b.failed }
        }
        (_, 409) => StateReply::Unknown,
        (StateOp::Txn { .. } | StateOp::List { .. } | StateOp::Watch { .. }, 404) => {
            StateReply::Unknown
        }
        (_, 404) => StateReply::Missing,
        (StateOp::Get(_), _) => StateReply::Found(serde_json::from_slice::<Row>(body)?.into()),
        (StateOp::List { .. }, _) => {
            let b: RowsBody = serde_json::from_slice(body)?;
            let items = b.rows.into_iter().map(Item::from).collect();
            StateReply::Rows { items, more: b.truncated, revision: b.impression }
        }
        (StateOp::Txn { .. }, _) => {
            let b: RevisionBody = serde_json::from_slice(body)?;
            StateReply::Committed { revision: b.impression }
        }
        (StateOp::Grant { .. }, _) => {
            StateReply::Granted { loan: serde_json::from_slice::<GrantedBody>(body)?.loan }
        }
        (StateOp::Extend { .. } | StateOp::Revoke { .. }, _) => StateReply::Ok,
        (StateOp::Watch { .. }, _) => {
            let b: NewsBody = serde_json::from_slice(body)?;
            let mut events = Vec::with_capacity(b.news.len());
            for n in b.news {
                events.push(match (n.put, n.v, n.remove) {
                    (Some(key), Some(v), _) => Event::Put(Item {
                        key,
                        value: v.get().to_string(),
                        stamp: n.stamp,
                        loan: n.loan,
                    }),
                    (None, _, Some(key)) => Event::Remove { key, stamp: n.stamp },
                    _ => return Err(Malformed::Field("a change that is neither put nor remove")),
                });
            }
            StateReply::Events { revision: b.impression, events }
        }
    })
}
