//! Stand-in for the cloud (PROTOCOL, Controller nodes -> cloud). Provisioning requests are
//! idempotent, machines take time to boot and can crash, and the machine list can be outdated.

mod messages;

use crate::clock::{Clock, Ms};
use crate::deployment::{Deployment, MACHINE_TYPE, WORKER_ENDPOINT, ZONES};
use crate::http::{serve, JsonReply};
use crate::lock;
use messages::{
    machine_types, ListQuery, ListedMachine, MachineCondition, MachineNames, ProvisionRequest,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::mpsc;
use warp::filters::BoxedFilter;
use warp::reply::Response;
use warp::Filter;

/// Time until a crashed machine is listed as failed, in milliseconds.
const CRASH_DETECTION_MS: Ms = 3_000;
/// Boot time of a machine, in milliseconds.
const BOOT_MS: std::ops::Range<Ms> = 200..2_500;
/// Maximum number of machines per provisioning request.
const MAX_PROVISIONED_PER_REQUEST: u64 = 50;
/// Maximum number of machines per termination request.
const MAX_TERMINATED_PER_REQUEST: usize = 100;
/// Maximum number of machines per page of the list.
const MAX_PAGE_LENGTH: usize = 500;
/// Prefix of machine names, before the number of the machine.
const MACHINE_PREFIX: &str = "m-";
/// Number of machine kinds: spot and on-demand.
const MACHINE_KINDS: usize = 2;

/// A provisioned machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: &'static str,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Time at which the machine has booted and its worker starts.
    pub ready_ms: Ms,
    /// Time of the provisioning request.
    provisioned_ms: Ms,
    crashed_ms: Option<Ms>,
    terminated_ms: Option<Ms>,
}

impl Machine {
    /// Returns the time at which the machine crashed or was terminated, whichever came first.
    pub fn gone_ms(&self) -> Option<Ms> {
        self.crashed_ms.into_iter().chain(self.terminated_ms).min()
    }

    /// Returns whether a list as of the given time contains the machine.
    fn is_listed_at(&self, at_ms: Ms) -> bool {
        self.provisioned_ms <= at_ms
            && self.terminated_ms.is_none_or(|terminated_ms| terminated_ms > at_ms)
    }

    /// Returns the condition in a list as of the given time.
    fn condition_at(&self, at_ms: Ms) -> MachineCondition {
        if self.crashed_ms.is_some_and(|crashed_ms| crashed_ms + CRASH_DETECTION_MS <= at_ms) {
            return MachineCondition::Failed;
        }
        if at_ms < self.ready_ms {
            return MachineCondition::Starting;
        }
        MachineCondition::Running
    }

    /// Returns the entry in a list as of the given time.
    fn list_entry_at(&self, at_ms: Ms) -> ListedMachine<'_> {
        ListedMachine {
            name: &self.name,
            endpoint: WORKER_ENDPOINT,
            machine_type: MACHINE_TYPE,
            zone: self.zone,
            spot: self.spot,
            condition: self.condition_at(at_ms),
            age_s: (at_ms - self.provisioned_ms) as f64 / 1000.0,
        }
    }
}

struct CloudState {
    /// All machines that were provisioned, indexed by number, including those that are gone.
    machines: Vec<Machine>,
    /// Names of the machines of each provisioning request, by the name of the request.
    requests: HashMap<String, Vec<String>>,
    /// End of the last outage.
    unavailable_until: Ms,
    rng: SmallRng,
}

/// The cloud; clones share one state.
#[derive(Clone)]
pub struct Cloud {
    state: Arc<Mutex<CloudState>>,
    clock: Clock,
    /// Half of the maximum age of a list, in milliseconds.
    inventory_lag_ms: Ms,
    /// Maximum number of simultaneously provisioned machines of one zone and kind.
    capacity: usize,
    /// Channel to which each provisioned machine is sent.
    provisioned_machines: mpsc::UnboundedSender<Machine>,
}

impl Cloud {
    /// Creates a cloud with the capacity of a deployment. Each provisioned machine is sent to the
    /// returned receiver, whose owner must start the machine's worker.
    pub fn new(
        clock: Clock,
        deployment: &Deployment,
        seed: u64,
    ) -> (Cloud, mpsc::UnboundedReceiver<Machine>) {
        let (provisioned_machines, receiver) = mpsc::unbounded_channel();
        let state = CloudState {
            machines: Vec::new(),
            requests: HashMap::new(),
            unavailable_until: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        let cloud = Cloud {
            state: Arc::new(Mutex::new(state)),
            clock,
            inventory_lag_ms: deployment.inventory_lag_ms,
            capacity: deployment.machines.div_ceil(MACHINE_KINDS * ZONES.len()),
            provisioned_machines,
        };
        (cloud, receiver)
    }

    /// Starts serving requests on a free loopback port and returns its address.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn listen(&self) -> std::io::Result<SocketAddr> {
        serve(self.routes()).await
    }

    fn routes(&self) -> BoxedFilter<(Response,)> {
        let cloud = self.clone();
        let cloud = warp::any().map(move || cloud.clone());
        let types = warp::path!("machine_types")
            .and(warp::get())
            .and(cloud.clone())
            .map(|cloud: Cloud| cloud.answer(|_, _| JsonReply::new(200, machine_types())));
        let provision = warp::path!("rentals")
            .and(warp::post())
            .and(warp::body::json())
            .and(cloud.clone())
            .map(|request: ProvisionRequest, cloud: Cloud| {
                cloud.answer(|cloud, state| cloud.provision(state, &request))
            });
        let terminate = warp::path!("rentals" / "release")
            .and(warp::post())
            .and(warp::body::json())
            .and(cloud.clone())
            .map(|request: MachineNames, cloud: Cloud| {
                cloud.answer(|cloud, state| cloud.terminate(state, &request))
            });
        let list =
            warp::path!("rentals").and(warp::get()).and(warp::query::<ListQuery>()).and(cloud).map(
                |query: ListQuery, cloud: Cloud| {
                    cloud.answer(|cloud, state| cloud.list(state, &query))
                },
            );
        types.or(provision).unify().or(terminate).unify().or(list).unify().boxed()
    }

    fn lock(&self) -> MutexGuard<'_, CloudState> {
        lock(&self.state)
    }

    /// Answers a request with `handle`, or with status 503 during an outage.
    fn answer(&self, handle: impl FnOnce(&Cloud, &mut CloudState) -> JsonReply) -> Response {
        let mut state = self.lock();
        let is_available = self.clock.now() >= state.unavailable_until;
        let reply = match is_available {
            true => handle(self, &mut state),
            false => JsonReply::error(503, "trouble"),
        };
        reply.into_response()
    }

    /// Fault: rejects all requests for a time; the machines keep running.
    pub fn start_outage(&self, duration_ms: Ms) {
        let until = self.clock.now() + duration_ms;
        self.lock().unavailable_until = until;
    }

    /// Returns the machines that have booted and have neither crashed nor been terminated.
    pub fn running_machines(&self) -> Vec<Machine> {
        let now = self.clock.now();
        let is_running =
            |machine: &&Machine| machine.gone_ms().is_none() && now >= machine.ready_ms;
        self.lock().machines.iter().filter(is_running).cloned().collect()
    }

    /// Returns the time at which a machine crashed or was terminated, or `None` if it did neither or
    /// is unknown.
    pub fn gone_ms(&self, name: &str) -> Option<Ms> {
        let state = self.lock();
        state.machines.get(machine_number(name)?)?.gone_ms()
    }

    /// Fault: crashes a machine, unless it is already gone.
    pub fn crash(&self, name: &str) {
        let mut state = self.lock();
        let now = self.clock.now();
        let machine = machine_number(name).and_then(|number| state.machines.get_mut(number));
        if let Some(machine) = machine.filter(|machine| machine.gone_ms().is_none()) {
            machine.crashed_ms = Some(now);
        }
    }

    /// Provisions machines, up to the free capacity. A repeated request is answered with the
    /// machines of the first one.
    fn provision(&self, state: &mut CloudState, request: &ProvisionRequest) -> JsonReply {
        let Some(request_name) = &request.name else {
            return JsonReply::error(400, "requisition");
        };
        if let Some(names) = state.requests.get(request_name) {
            return JsonReply::new(200, json!(MachineNames { names: names.clone() }));
        }
        let zone = ZONES.iter().find(|zone| request.zone.as_deref() == Some(**zone));
        let (Some(zone), Some(requested)) = (zone, request.machines) else {
            return JsonReply::error(400, "room or number");
        };
        let free_capacity = self.free_capacity(state, zone, request.spot) as u64;
        let count = requested.min(MAX_PROVISIONED_PER_REQUEST).min(free_capacity);
        if count == 0 {
            return JsonReply::error(503, "no capacity");
        }
        let names: Vec<String> =
            (0..count).map(|_| self.provision_machine(state, zone, request.spot)).collect();
        state.requests.insert(request_name.clone(), names.clone());
        JsonReply::new(200, json!(MachineNames { names }))
    }

    /// Returns how many more machines of a zone and kind can be provisioned.
    fn free_capacity(&self, state: &CloudState, zone: &str, spot: bool) -> usize {
        let is_in_use = |machine: &&Machine| {
            machine.gone_ms().is_none() && machine.zone == zone && machine.spot == spot
        };
        let in_use = state.machines.iter().filter(is_in_use).count();
        self.capacity.saturating_sub(in_use)
    }

    /// Provisions one machine and returns its name.
    fn provision_machine(&self, state: &mut CloudState, zone: &'static str, spot: bool) -> String {
        let now = self.clock.now();
        let machine = Machine {
            name: machine_name(state.machines.len()),
            zone,
            spot,
            ready_ms: now + state.rng.random_range(BOOT_MS),
            provisioned_ms: now,
            crashed_ms: None,
            terminated_ms: None,
        };
        let name = machine.name.clone();
        state.machines.push(machine.clone());
        // The send fails only after the run has ended, when no worker must start.
        let _ = self.provisioned_machines.send(machine);
        name
    }

    /// Terminates machines; names of unknown machines are ignored.
    fn terminate(&self, state: &mut CloudState, request: &MachineNames) -> JsonReply {
        if request.names.len() > MAX_TERMINATED_PER_REQUEST {
            return JsonReply::error(400, "too many");
        }
        let now = self.clock.now();
        for number in request.names.iter().filter_map(|name| machine_number(name)) {
            if let Some(machine) = state.machines.get_mut(number) {
                machine.terminated_ms.get_or_insert(now);
            }
        }
        JsonReply::new(200, json!({}))
    }

    /// Returns a page of the machine list as of a random time in the recent past.
    fn list(&self, state: &mut CloudState, query: &ListQuery) -> JsonReply {
        let lag_ms = state.rng.random_range(0..=2 * self.inventory_lag_ms);
        let as_of = self.clock.now().saturating_sub(lag_ms);
        let is_listed =
            |machine: &&Machine| machine.is_listed_at(as_of) && machine.name > query.after;
        let mut listed_machines = state.machines.iter().filter(is_listed);
        let page: Vec<ListedMachine> = listed_machines
            .by_ref()
            .take(MAX_PAGE_LENGTH)
            .map(|machine| machine.list_entry_at(as_of))
            .collect();
        let is_truncated = listed_machines.next().is_some();
        JsonReply::new(200, json!({"stacks": page, "truncated": is_truncated}))
    }
}

/// Returns the name of a machine. Machines are numbered in the order in which they are provisioned.
fn machine_name(number: usize) -> String {
    format!("{MACHINE_PREFIX}{number:06}")
}

/// Returns the number of a machine, or `None` if the name is malformed.
fn machine_number(name: &str) -> Option<usize> {
    name.strip_prefix(MACHINE_PREFIX)?.parse().ok()
}
