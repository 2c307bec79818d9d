//! Bodies of the cloud (PROTOCOL, Controller nodes -> cloud). Wire names are mapped to the
//! field's terms here.

use crate::deployment::{MACHINE_CPUS, MACHINE_MEMORY_GB, MACHINE_TYPE, ZONES};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// A provisioning request. It is idempotent by its name.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct RentRequest {
    #[serde(rename = "requisition")]
    pub(super) name: Option<String>,
    #[serde(rename = "room")]
    pub(super) zone: Option<String>,
    #[serde(rename = "number")]
    pub(super) machines: Option<u64>,
    #[serde(rename = "remainders", default)]
    pub(super) spot: bool,
}

/// The machines of a provisioning request, or those that are to be released.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct MachineNames {
    #[serde(rename = "stacks", default)]
    pub(super) names: Vec<String>,
}

/// The query of a page of machines, in ascending order of their names.
#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct ListQuery {
    #[serde(default)]
    pub(super) after: String,
}

/// The condition of a listed machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum MachineCondition {
    Starting,
    Running,
    Failed,
}

/// A machine in the list.
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

/// The body that lists the machine types: there is one.
pub(super) fn machine_types() -> Value {
    json!({"formats": [{"name": MACHINE_TYPE, "vcpus": MACHINE_CPUS, "gpus": 0.0,
        "ramGb": MACHINE_MEMORY_GB, "localGb": 50.0, "fetchGbPerS": 1.0, "price": 1.0,
        "marketPrice": 0.4, "bootS": 1.5, "rooms": ZONES}]})
}
