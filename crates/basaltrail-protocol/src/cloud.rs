//! The cloud's interface.

use crate::{names, Malformed};
use basaltrail_core::io::{CloudReply, CloudRequest};
use basaltrail_core::model::*;
use serde::{Deserialize, Serialize};

#[derive(Deserialize)]
struct TypesBody {
    formats: Vec<TypeBody>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TypeBody {
    name: String,
    vcpus: f64,
    #[serde(default)]
    gpus: f64,
    ram_gb: f64,
    #[serde(default)]
    local_gb: f64,
    #[serde(default)]
    fetch_gb_per_s: f64,
    price: f64,
    #[serde(default)]
    market_price: Option<f64>,
    #[serde(default)]
    boot_s: f64,
    rooms: Vec<String>,
}

#[derive(Serialize)]
struct RentBody<'a> {
    requisition: &'a str,
    format: &'a str,
    room: &'a str,
    remainders: bool,
    number: u32,
}

#[derive(Serialize)]
struct ReleaseBody<'a> {
    stacks: &'a [MachineId],
}

#[derive(Deserialize)]
struct RentedBody {
    stacks: Vec<String>,
}

#[derive(Deserialize)]
struct ListBody {
    stacks: Vec<ListedBody>,
    #[serde(default)]
    truncated: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ListedBody {
    name_id: String,
    #[serde(default)]
    endpoint: Option<String>,
    format: String,
    room: String,
    #[serde(default)]
    remainders: bool,
    condition: String,
    #[serde(default)]
    age_s: f64,
}

#[derive(Deserialize)]
struct RefusalBody {
    #[serde(default)]
    error: String,
}

/// Method, path and body of a call.
pub fn request(op: &CloudRequest) -> (&'static str, String, String) {
    match op {
        CloudRequest::Types => ("GET", "/machine_types".into(), String::new()),
        CloudRequest::Provision { requisition, machine_type, zone, spot, count } => {
            let body = RentBody {
                requisition,
                format: machine_type,
                room: zone,
                remainders: *spot,
                number: *count,
            };
            ("POST", "/rentals".into(), serde_json::to_string(&body).unwrap_or_default())
        }
        CloudRequest::Terminate(stacks) => {
            let body = serde_json::to_string(&ReleaseBody { stacks }).unwrap_or_default();
            ("POST", "/rentals/release".into(), body)
        }
        CloudRequest::List { after } => {
            let after = after.as_ref().map(|a| format!("&after={a}")).unwrap_or_default();
            ("GET", format!("/rentals?most=500{after}"), String::new())
        }
    }
}

/// Reads the answer to a call; `Failed` is anything that tells nothing.
pub fn reply(op: &CloudRequest, status: u16, body: &[u8]) -> Result<CloudReply, Malformed> {
    if status != 200 {
        let refusal: Option<RefusalBody> = serde_json::from_slice(body).ok();
        let none = status == 503 && refusal.is_some_and(|r| r.error == "no capacity");
        let rent = matches!(op, CloudRequest::Provision { .. });
        return Ok(if none && rent { CloudReply::NoCapacity } else { CloudReply::Failed });
    }
    Ok(match op {
        CloudRequest::Types => {
            let body: TypesBody = serde_json::from_slice(body)?;
            let sane = |x: f64| x.is_finite() && x >= 0.0;
            let types = body.formats.into_iter().map(|t| MachineType {
                spot_price: t.market_price.unwrap_or(t.price),
                name: t.name,
                cpus: t.vcpus,
                gpus: t.gpus,
                memory_gb: t.ram_gb,
                cache_gb: t.local_gb,
                fetch_gb_per_s: t.fetch_gb_per_s,
                price: t.price,
                boot_s: t.boot_s,
                zones: t.rooms,
            });
            let ok = |t: &MachineType| {
                sane(t.cpus) && sane(t.memory_gb) && sane(t.price) && sane(t.boot_s)
            };
            CloudReply::Types(types.filter(ok).collect())
        }
        CloudRequest::Provision { .. } => {
            let body: RentedBody = serde_json::from_slice(body)?;
            CloudReply::Provisioned(body.stacks.iter().filter_map(|s| names::machine(s)).collect())
        }
        CloudRequest::Terminate(_) => CloudReply::Terminated,
        CloudRequest::List { .. } => {
            let body: ListBody = serde_json::from_slice(body)?;
            let mut machines = Vec::with_capacity(body.stacks.len());
            for l in body.stacks {
                let machine =
                    names::machine(&l.name_id).ok_or(Malformed::Field("nameId is not a name"))?;
                let state = match l.condition.as_str() {
                    "starting" => ListedState::Booting,
                    "failed" => ListedState::Failed,
                    _ => ListedState::Running,
                };
                machines.push(ListedMachine {
                    machine,
                    endpoint: l.endpoint.unwrap_or_default(),
                    machine_type: l.format,
                    zone: l.room,
                    spot: l.remainders,
                    state,
                    age_s: if l.age_s.is_finite() { l.age_s } else { 0.0 },
                });
            }
            CloudReply::Listed { machines, more: body.truncated }
        }
    })
}
