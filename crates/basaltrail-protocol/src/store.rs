//! Encodes requests to the state service and parses its replies (PROTOCOL, Controller nodes ->
//! state service).

use crate::{HttpRequest, Malformed};
use basaltrail_core::io::{
    KeyValue, Precondition, PutRequest, StoreReply, StoreRequest, WatchEvent,
};
use basaltrail_core::{LeaseId, Revision};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

#[derive(Serialize)]
struct TransactionBody<'a> {
    #[serde(rename = "if")]
    preconditions: Vec<PreconditionBody<'a>>,
    #[serde(rename = "apply", skip_serializing_if = "Vec::is_empty")]
    changes: Vec<ChangeBody<'a>>,
}

#[derive(Serialize)]
struct PreconditionBody<'a> {
    key: &'a str,
    #[serde(rename = "stamp")]
    mod_revision: u64,
}

#[derive(Serialize)]
#[serde(untagged)]
enum ChangeBody<'a> {
    Put {
        #[serde(rename = "put")]
        key: &'a str,
        #[serde(rename = "v")]
        value: &'a RawValue,
        #[serde(rename = "loan", skip_serializing_if = "Option::is_none")]
        lease_id: Option<u64>,
    },
    Delete {
        #[serde(rename = "remove")]
        key: &'a str,
    },
}

#[derive(Serialize)]
struct GrantLeaseBody {
    #[serde(rename = "lifeMs")]
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct KeyValueBody {
    key: String,
    #[serde(rename = "v")]
    value: Box<RawValue>,
    #[serde(rename = "stamp")]
    mod_revision: u64,
    #[serde(rename = "loan", default)]
    lease_id: Option<u64>,
}

impl From<KeyValueBody> for KeyValue {
    fn from(body: KeyValueBody) -> KeyValue {
        KeyValue {
            key: body.key,
            value: body.value.get().to_string(),
            mod_revision: Revision(body.mod_revision),
            lease_id: body.lease_id.map(LeaseId),
        }
    }
}

#[derive(Deserialize)]
struct PageBody {
    #[serde(rename = "rows")]
    items: Vec<KeyValueBody>,
    #[serde(default)]
    truncated: bool,
    #[serde(rename = "impression")]
    revision: u64,
}

#[derive(Deserialize)]
struct CommittedBody {
    #[serde(rename = "impression")]
    revision: u64,
}

#[derive(Deserialize)]
struct ConflictBody {
    #[serde(default)]
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct LeaseBody {
    #[serde(rename = "loan")]
    lease_id: u64,
}

#[derive(Deserialize)]
struct EventsBody {
    #[serde(rename = "impression")]
    revision: u64,
    #[serde(rename = "news", default)]
    events: Vec<EventBody>,
}

#[derive(Deserialize)]
struct EventBody {
    #[serde(rename = "put", default)]
    put_key: Option<String>,
    #[serde(rename = "remove", default)]
    deleted_key: Option<String>,
    #[serde(rename = "v", default)]
    value: Option<Box<RawValue>>,
    #[serde(rename = "stamp")]
    mod_revision: u64,
    #[serde(rename = "loan", default)]
    lease_id: Option<u64>,
}

impl EventBody {
    fn into_event(self) -> Result<WatchEvent, Malformed> {
        let EventBody { put_key, deleted_key, value, .. } = self;
        let mod_revision = Revision(self.mod_revision);
        let lease_id = self.lease_id.map(LeaseId);
        match (put_key, value, deleted_key) {
            (Some(key), Some(value), _) => {
                let value = value.get().to_string();
                Ok(WatchEvent::Put(KeyValue { key, value, mod_revision, lease_id }))
            }
            (None, _, Some(key)) => Ok(WatchEvent::Delete { key, mod_revision }),
            _ => Err(Malformed::WatchEvent),
        }
    }
}

/// Returns the HTTP request for a request to the state service.
///
/// # Errors
///
/// Fails if a value in a put is not JSON.
pub fn http_request(request: &StoreRequest) -> Result<HttpRequest, Malformed> {
    Ok(match request {
        StoreRequest::Get(key) => HttpRequest::get(format!("/kv/{key}")),
        StoreRequest::List { prefix, after, limit } => {
            let after = after.as_ref().map(|after| format!("&after={after}")).unwrap_or_default();
            HttpRequest::get(format!("/kv?starts={prefix}{after}&most={limit}"))
        }
        StoreRequest::Transaction { preconditions, puts, deletes } => {
            HttpRequest::post("/txn", transaction_body(preconditions, puts, deletes)?)
        }
        StoreRequest::GrantLease { ttl_ms } => {
            let body = serde_json::to_string(&GrantLeaseBody { ttl_ms: *ttl_ms })?;
            HttpRequest::post("/grants", body)
        }
        StoreRequest::KeepAlive { lease_id } => {
            HttpRequest::post(format!("/grants/{lease_id}/extend"), String::new())
        }
        StoreRequest::RevokeLease { lease_id } => HttpRequest {
            method: "DELETE",
            path: format!("/grants/{lease_id}"),
            body: String::new(),
        },
        StoreRequest::Watch { prefix, after, wait_ms } => {
            HttpRequest::get(format!("/changes?starts={prefix}&after={after}&blockMs={wait_ms}"))
        }
    })
}

fn transaction_body(
    preconditions: &[Precondition],
    puts: &[PutRequest],
    deletes: &[String],
) -> Result<String, serde_json::Error> {
    let preconditions = preconditions
        .iter()
        .map(|precondition| PreconditionBody {
            key: &precondition.key,
            mod_revision: precondition.mod_revision.0,
        })
        .collect();
    let mut changes = Vec::with_capacity(puts.len() + deletes.len());
    for PutRequest { key, value, lease_id } in puts {
        let value = serde_json::from_str(value)?;
        changes.push(ChangeBody::Put { key, value, lease_id: lease_id.map(|lease| lease.0) });
    }
    changes.extend(deletes.iter().map(|key| ChangeBody::Delete { key }));
    serde_json::to_string(&TransactionBody { preconditions, changes })
}

/// Parses the reply to a request. A status that PROTOCOL does not define for the request yields
/// [`StoreReply::Unknown`], because the service may have executed the request.
///
/// # Errors
///
/// Fails if the body is malformed.
pub fn parse_reply(
    request: &StoreRequest,
    status: u16,
    body: &[u8],
) -> Result<StoreReply, Malformed> {
    match status {
        200 => parse_success_reply(request, body),
        404 => Ok(not_found_reply(request)),
        409 => conflict_reply(request, body),
        410 => Ok(StoreReply::Compacted),
        // With these statuses the service guarantees that it did not execute the request.
        429 | 503 => Ok(StoreReply::Unavailable),
        400 => Ok(StoreReply::Invalid),
        _ => Ok(StoreReply::Unknown),
    }
}

fn parse_success_reply(request: &StoreRequest, body: &[u8]) -> Result<StoreReply, Malformed> {
    Ok(match request {
        StoreRequest::Get(_) => {
            StoreReply::KeyValue(serde_json::from_slice::<KeyValueBody>(body)?.into())
        }
        StoreRequest::List { .. } => {
            let PageBody { items, truncated, revision } = serde_json::from_slice(body)?;
            let items = items.into_iter().map(KeyValue::from).collect();
            StoreReply::Page { items, more: truncated, revision: Revision(revision) }
        }
        StoreRequest::Transaction { .. } => {
            let CommittedBody { revision } = serde_json::from_slice(body)?;
            StoreReply::Committed { revision: Revision(revision) }
        }
        StoreRequest::GrantLease { .. } => {
            let LeaseBody { lease_id } = serde_json::from_slice(body)?;
            StoreReply::LeaseGranted { lease_id: LeaseId(lease_id) }
        }
        StoreRequest::KeepAlive { .. } | StoreRequest::RevokeLease { .. } => {
            StoreReply::LeaseUpdated
        }
        StoreRequest::Watch { .. } => {
            let EventsBody { revision, events } = serde_json::from_slice(body)?;
            let events: Result<Vec<WatchEvent>, Malformed> =
                events.into_iter().map(EventBody::into_event).collect();
            StoreReply::Events { revision: Revision(revision), events: events? }
        }
    })
}

/// Returns the reply for status 404, which is defined only for requests about one key or lease.
fn not_found_reply(request: &StoreRequest) -> StoreReply {
    match request {
        StoreRequest::Get(_)
        | StoreRequest::GrantLease { .. }
        | StoreRequest::KeepAlive { .. }
        | StoreRequest::RevokeLease { .. } => StoreReply::NotFound,
        StoreRequest::Transaction { .. }
        | StoreRequest::List { .. }
        | StoreRequest::Watch { .. } => StoreReply::Unknown,
    }
}

/// Returns the reply for status 409, which is defined only for transactions, because only they have
/// preconditions.
fn conflict_reply(request: &StoreRequest, body: &[u8]) -> Result<StoreReply, Malformed> {
    if !matches!(request, StoreRequest::Transaction { .. }) {
        return Ok(StoreReply::Unknown);
    }
    let ConflictBody { failed } = serde_json::from_slice(body)?;
    Ok(StoreReply::Conflict { failed })
}
