//! Messages of the cloud (PROTOCOL, Controller nodes -> cloud). Serde attributes map the fields to
//! their names on the wire.

use crate::deployment::{MACHINE_CPUS, MACHINE_MEMORY_GB, MACHINE_TYPE, ZONES};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// A provisioning request. Requests with the same name are answered with the same machines.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ProvisionRequest {
    #[serde(rename = "requisition")]
    pub(super) name: Option<String>,
    #[serde(rename = "room")]
    pub(super) zone: Option<String>,
    #[serde(rename = "number")]
    pub(super) machines: Option<u64>,
    #[serde(rename = "remainders", default)]
    pub(super) spot: bool,
}

/// Names of machines: the answer to a provisioning request, or the body of a termination request.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct MachineNames {
    #[serde(rename = "stacks", default)]
    pub(super) names: Vec<String>,
}

/// Query for a page of the machine list, which is sorted by name.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct ListQuery {
    /// Only machines whose names sort after this one.
    #[serde(default)]
    pub(super) after: String,
}

/// Condition of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum MachineCondition {
    Starting,
    Running,
    Failed,
}

/// An entry of the machine list.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ListedMachine<'a> {
    #[serde(rename = "nameId")]
    pub(super) name: &'a str,
    pub(super) endpoint: &'static str,
    #[serde(rename = "format")]
    pub(super) machine_type: &'static str,
    #[serde(rename = "room")]
    pub(super) zone: &'static str,
    #[serde(rename = "remainders")]
    pub(super) spot: bool,
    pub(super) condition: MachineCondition,
    #[serde(rename = "ageS")]
    pub(super) age_s: f64,
}

/// Returns the list of machine types, which has one entry.
pub(super) fn machine_types() -> Value {
    json!({"formats": [{"name": MACHINE_TYPE, "vcpus": MACHINE_CPUS, "gpus": 0.0,
        "ramGb": MACHINE_MEMORY_GB, "localGb": 50.0, "fetchGbPerS": 1.0, "price": 1.0,
        "marketPrice": 0.4, "bootS": 1.5, "rooms": ZONES}]})
}
