//! Encodes requests to the cloud and parses its replies (PROTOCOL, Controller nodes -> cloud).

use crate::{names, HttpRequest, Malformed};
use basaltrail_core::io::{CloudReply, CloudRequest};
use basaltrail_core::model::{ListedMachine, ListedState, MachineId, MachineType};
use serde::{Deserialize, Serialize};

/// Maximum number of machines in a page of the inventory.
const PAGE_SIZE: u32 = 500;
/// Error text of the cloud's reply to a provisioning request for which it has no capacity.
const NO_CAPACITY_ERROR: &str = "no capacity";

#[derive(Deserialize)]
struct TypesBody {
    #[serde(rename = "formats")]
    types: Vec<TypeBody>,
}

#[derive(Deserialize)]
struct TypeBody {
    name: String,
    #[serde(rename = "vcpus")]
    cpus: f64,
    #[serde(default)]
    gpus: f64,
    #[serde(rename = "ramGb")]
    memory_gb: f64,
    #[serde(rename = "localGb", default)]
    cache_gb: f64,
    #[serde(rename = "fetchGbPerS", default)]
    fetch_gb_per_s: f64,
    price: f64,
    #[serde(rename = "marketPrice", default)]
    spot_price: Option<f64>,
    #[serde(rename = "bootS", default)]
    boot_s: f64,
    #[serde(rename = "rooms")]
    zones: Vec<String>,
}

impl From<TypeBody> for MachineType {
    fn from(body: TypeBody) -> Self {
        MachineType {
            name: body.name,
            cpus: body.cpus,
            gpus: body.gpus,
            memory_gb: body.memory_gb,
            cache_gb: body.cache_gb,
            fetch_gb_per_s: body.fetch_gb_per_s,
            price: body.price,
            spot_price: body.spot_price.unwrap_or(body.price),
            boot_s: body.boot_s,
            zones: body.zones,
        }
    }
}

#[derive(Serialize)]
struct ProvisionBody<'a> {
    #[serde(rename = "requisition")]
    request_name: &'a str,
    #[serde(rename = "format")]
    machine_type: &'a str,
    #[serde(rename = "room")]
    zone: &'a str,
    #[serde(rename = "remainders")]
    spot: bool,
    #[serde(rename = "number")]
    count: u32,
}

#[derive(Serialize)]
struct TerminateBody<'a> {
    #[serde(rename = "stacks")]
    machines: &'a [MachineId],
}

#[derive(Deserialize)]
struct ProvisionedBody {
    #[serde(rename = "stacks")]
    machines: Vec<String>,
}

#[derive(Deserialize)]
struct ListBody {
    #[serde(rename = "stacks")]
    machines: Vec<ListedBody>,
    #[serde(default)]
    truncated: bool,
}

#[derive(Deserialize)]
struct ListedBody {
    #[serde(rename = "nameId")]
    machine: String,
    #[serde(default)]
    endpoint: Option<String>,
    #[serde(rename = "format")]
    machine_type: String,
    #[serde(rename = "room")]
    zone: String,
    #[serde(rename = "remainders", default)]
    spot: bool,
    #[serde(rename = "condition")]
    state: String,
    #[serde(rename = "ageS", default)]
    age_s: f64,
}

impl ListedBody {
    fn into_machine(self) -> Result<ListedMachine, Malformed> {
        let machine = names::parse_machine(&self.machine)
            .ok_or(Malformed::MachineName { field: "nameId" })?;
        let state = match self.state.as_str() {
            "starting" => ListedState::Booting,
            "failed" => ListedState::Failed,
            _ => ListedState::Running,
        };
        Ok(ListedMachine {
            machine,
            endpoint: self.endpoint.unwrap_or_default(),
            machine_type: self.machine_type,
            zone: self.zone,
            spot: self.spot,
            state,
            age_s: if self.age_s.is_finite() { self.age_s } else { 0.0 },
        })
    }
}

#[derive(Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error: String,
}

/// Returns the HTTP request for a request to the cloud.
pub fn http_request(request: &CloudRequest) -> HttpRequest {
    match request {
        CloudRequest::MachineTypes => HttpRequest::get("/machine_types".into()),
        CloudRequest::Provision { request_name, machine_type, zone, spot, count } => {
            let (spot, count) = (*spot, *count);
            let body = ProvisionBody { request_name, machine_type, zone, spot, count };
            HttpRequest::post("/rentals", serde_json::to_string(&body).unwrap_or_default())
        }
        CloudRequest::Terminate(machines) => {
            let body = serde_json::to_string(&TerminateBody { machines }).unwrap_or_default();
            HttpRequest::post("/rentals/release", body)
        }
        CloudRequest::List { after } => {
            let after = after.as_ref().map(|after| format!("&after={after}")).unwrap_or_default();
            HttpRequest::get(format!("/rentals?most={PAGE_SIZE}{after}"))
        }
    }
}

/// Parses the reply to a request. Any status other than 200 yields [`CloudReply::Unknown`], except
/// for a provisioning request that fails for lack of capacity.
///
/// # Errors
///
/// Fails if the body of a reply with status 200 is malformed.
pub fn parse_reply(
    request: &CloudRequest,
    status: u16,
    body: &[u8],
) -> Result<CloudReply, Malformed> {
    if status != 200 {
        return Ok(failure_reply(request, status, body));
    }
    match request {
        CloudRequest::MachineTypes => {
            let body: TypesBody = serde_json::from_slice(body)?;
            let types = body.types.into_iter().map(MachineType::from);
            Ok(CloudReply::MachineTypes(types.filter(is_usable).collect()))
        }
        CloudRequest::Provision { .. } => {
            let body: ProvisionedBody = serde_json::from_slice(body)?;
            let machines = body.machines.iter().filter_map(|name| names::parse_machine(name));
            Ok(CloudReply::Provisioned(machines.collect()))
        }
        CloudRequest::Terminate(_) => Ok(CloudReply::Terminated),
        CloudRequest::List { .. } => {
            let body: ListBody = serde_json::from_slice(body)?;
            let machines: Result<Vec<ListedMachine>, Malformed> =
                body.machines.into_iter().map(ListedBody::into_machine).collect();
            Ok(CloudReply::Listed { machines: machines?, more: body.truncated })
        }
    }
}

fn failure_reply(request: &CloudRequest, status: u16, body: &[u8]) -> CloudReply {
    let error: Option<ErrorBody> = serde_json::from_slice(body).ok();
    let is_no_capacity = status == 503 && error.is_some_and(|body| body.error == NO_CAPACITY_ERROR);
    match request {
        CloudRequest::Provision { .. } if is_no_capacity => CloudReply::NoCapacity,
        _ => CloudReply::Unknown,
    }
}

/// Returns whether the CPUs, memory, price and boot time of a machine type are finite and at least 0.
/// Other types are dropped, because no scheduling or scale-out decision could use them.
fn is_usable(machine_type: &MachineType) -> bool {
    let amounts =
        [machine_type.cpus, machine_type.memory_gb, machine_type.price, machine_type.boot_s];
    amounts.iter().all(|amount| amount.is_finite() && *amount >= 0.0)
}
