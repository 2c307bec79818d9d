//! Stand-in of the cloud (PROTOCOL, Controller nodes -> cloud): machines that are rented by
//! idempotent requests, take time to boot, crash, and appear late in the list.

mod messages;

use crate::clock::{Clock, Ms};
use crate::deployment::{Deployment, MACHINE_TYPE, WORKER_ENDPOINT, ZONES};
use crate::http::{serve, JsonReply};
use crate::lock;
use messages::{
    machine_types, ListQuery, ListedMachine, MachineCondition, MachineNames, RentRequest,
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

/// How long a crashed machine is still listed as running, in milliseconds.
const CRASH_LISTED_MS: Ms = 3_000;
/// How long a machine takes to boot, in milliseconds.
const BOOT_MS: std::ops::Range<Ms> = 200..2_500;
/// Machines in one provisioning request.
const RENT_MAX: u64 = 50;
/// Machines in one release.
const RELEASE_MAX: usize = 100;
/// Machines in one page of the list.
const PAGE_LENGTH: usize = 500;
/// Names of machines are this prefix and a number.
const MACHINE_PREFIX: &str = "m-";
/// Spot and on-demand.
const MACHINE_KINDS: usize = 2;

/// A rented machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: &'static str,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// When it has booted and its worker starts.
    pub ready_ms: Ms,
    rented_ms: Ms,
    crashed_ms: Option<Ms>,
    released_ms: Option<Ms>,
}

impl Machine {
    /// When it crashed or was released, whichever came first.
    pub fn gone_ms(&self) -> Option<Ms> {
        self.crashed_ms.into_iter().chain(self.released_ms).min()
    }

    /// Whether a list as of an instant contains it.
    fn is_listed_at(&self, at: Ms) -> bool {
        self.rented_ms <= at && self.released_ms.is_none_or(|released| released > at)
    }

    fn condition_at(&self, at: Ms) -> MachineCondition {
        if self.crashed_ms.is_some_and(|crashed| crashed + CRASH_LISTED_MS <= at) {
            return MachineCondition::Failed;
        }
        if at < self.ready_ms {
            return MachineCondition::Starting;
        }
        MachineCondition::Running
    }

    fn listed_at(&self, at: Ms) -> ListedMachine<'_> {
        ListedMachine {
            name: &self.name,
            endpoint: WORKER_ENDPOINT,
            machine_type: MACHINE_TYPE,
            zone: self.zone,
            spot: self.spot,
            condition: self.condition_at(at),
            age_s: (at - self.rented_ms) as f64 / 1000.0,
        }
    }
}

struct Rentals {
    /// All machines that were ever rented, in the order of their numbers.
    machines: Vec<Machine>,
    /// Names of the machines of each provisioning request.
    requests: HashMap<String, Vec<String>>,
    unavailable_until: Ms,
    rng: SmallRng,
}

/// The cloud; clones share the machines.
#[derive(Clone)]
pub struct Cloud {
    rentals: Arc<Mutex<Rentals>>,
    clock: Clock,
    /// Half of the longest age of a list.
    list_lag_ms: Ms,
    /// Machines of one zone and kind that can be rented at once.
    capacity: usize,
    rented: mpsc::UnboundedSender<Machine>,
}

impl Cloud {
    /// A cloud with the machines of a deployment. Each rented machine is sent to the receiver,
    /// whose owner starts its worker.
    pub fn new(
        clock: Clock,
        deployment: &Deployment,
        seed: u64,
    ) -> (Cloud, mpsc::UnboundedReceiver<Machine>) {
        let (rented, receiver) = mpsc::unbounded_channel();
        let rentals = Rentals {
            machines: Vec::new(),
            requests: HashMap::new(),
            unavailable_until: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        let cloud = Cloud {
            rentals: Arc::new(Mutex::new(rentals)),
            clock,
            list_lag_ms: deployment.list_lag_ms,
            capacity: deployment.machines.div_ceil(MACHINE_KINDS * ZONES.len()),
            rented,
        };
        (cloud, receiver)
    }

    /// Serves on a free port.
    ///
    /// # Errors
    ///
    /// If no port is free.
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
        let rent = warp::path!("rentals")
            .and(warp::post())
            .and(warp::body::json())
            .and(cloud.clone())
            .map(|request: RentRequest, cloud: Cloud| {
                cloud.answer(|cloud, rentals| cloud.rent(rentals, &request))
            });
        let release = warp::path!("rentals" / "release")
            .and(warp::post())
            .and(warp::body::json())
            .and(cloud.clone())
            .map(|request: MachineNames, cloud: Cloud| {
                cloud.answer(|cloud, rentals| cloud.release(rentals, &request))
            });
        let list =
            warp::path!("rentals").and(warp::get()).and(warp::query::<ListQuery>()).and(cloud).map(
                |query: ListQuery, cloud: Cloud| {
                    cloud.answer(|cloud, rentals| cloud.list(rentals, &query))
                },
            );
        types.or(rent).unify().or(release).unify().or(list).unify().boxed()
    }

    fn lock(&self) -> MutexGuard<'_, Rentals> {
        lock(&self.rentals)
    }

    fn answer(&self, serve: impl FnOnce(&Cloud, &mut Rentals) -> JsonReply) -> Response {
        let mut rentals = self.lock();
        let is_available = self.clock.now() >= rentals.unavailable_until;
        let reply = match is_available {
            true => serve(self, &mut rentals),
            false => JsonReply::error(503, "trouble"),
        };
        reply.into_response()
    }

    /// Fault: the cloud's interface is unavailable.
    pub fn start_outage(&self, duration_ms: Ms) {
        let until = self.clock.now() + duration_ms;
        self.lock().unavailable_until = until;
    }

    /// Machines that have booted, and neither crashed nor were released.
    pub fn running(&self) -> Vec<Machine> {
        let now = self.clock.now();
        let is_running =
            |machine: &&Machine| machine.gone_ms().is_none() && now >= machine.ready_ms;
        self.lock().machines.iter().filter(is_running).cloned().collect()
    }

    /// When a machine crashed or was released, if it was.
    pub fn gone_ms(&self, name: &str) -> Option<Ms> {
        let rentals = self.lock();
        rentals.machines.get(machine_number(name)?)?.gone_ms()
    }

    /// Fault: a machine crashes.
    pub fn crash(&self, name: &str) {
        let now = self.clock.now();
        let mut rentals = self.lock();
        let machine = machine_number(name).and_then(|number| rentals.machines.get_mut(number));
        if let Some(machine) = machine.filter(|machine| machine.gone_ms().is_none()) {
            machine.crashed_ms = Some(now);
        }
    }

    fn rent(&self, rentals: &mut Rentals, request: &RentRequest) -> JsonReply {
        let Some(request_name) = &request.name else {
            return JsonReply::error(400, "requisition");
        };
        if let Some(names) = rentals.requests.get(request_name) {
            return JsonReply::new(200, json!(MachineNames { names: names.clone() }));
        }
        let zone = ZONES.iter().find(|zone| request.zone.as_deref() == Some(**zone));
        let (Some(zone), Some(wanted)) = (zone, request.machines) else {
            return JsonReply::error(400, "room or number");
        };
        let free = self.free_capacity(rentals, zone, request.spot) as u64;
        let count = wanted.min(RENT_MAX).min(free);
        if count == 0 {
            return JsonReply::error(503, "no capacity");
        }
        let names: Vec<String> =
            (0..count).map(|_| self.boot(rentals, zone, request.spot)).collect();
        rentals.requests.insert(request_name.clone(), names.clone());
        JsonReply::new(200, json!(MachineNames { names }))
    }

    fn free_capacity(&self, rentals: &Rentals, zone: &str, spot: bool) -> usize {
        let is_in_use = |machine: &&Machine| {
            machine.gone_ms().is_none() && machine.zone == zone && machine.spot == spot
        };
        let in_use = rentals.machines.iter().filter(is_in_use).count();
        self.capacity.saturating_sub(in_use)
    }

    /// Rents out one machine, and gives its name.
    fn boot(&self, rentals: &mut Rentals, zone: &'static str, spot: bool) -> String {
        let now = self.clock.now();
        let machine = Machine {
            name: machine_name(rentals.machines.len()),
            zone,
            spot,
            ready_ms: now + rentals.rng.random_range(BOOT_MS),
            rented_ms: now,
            crashed_ms: None,
            released_ms: None,
        };
        let name = machine.name.clone();
        rentals.machines.push(machine.clone());
        // The receiver is gone once the run is over; no worker has to start then.
        let _ = self.rented.send(machine);
        name
    }

    fn release(&self, rentals: &mut Rentals, request: &MachineNames) -> JsonReply {
        if request.names.len() > RELEASE_MAX {
            return JsonReply::error(400, "too many");
        }
        let now = self.clock.now();
        for number in request.names.iter().filter_map(|name| machine_number(name)) {
            if let Some(machine) = rentals.machines.get_mut(number) {
                machine.released_ms.get_or_insert(now);
            }
        }
        JsonReply::new(200, json!({}))
    }

    /// The list of machines as of some time ago.
    fn list(&self, rentals: &mut Rentals, query: &ListQuery) -> JsonReply {
        let lag_ms = rentals.rng.random_range(0..=2 * self.list_lag_ms);
        let as_of = self.clock.now().saturating_sub(lag_ms);
        let is_listed =
            |machine: &&Machine| machine.is_listed_at(as_of) && machine.name > query.after;
        let mut listed = rentals.machines.iter().filter(is_listed);
        let page: Vec<ListedMachine> =
            listed.by_ref().take(PAGE_LENGTH).map(|machine| machine.listed_at(as_of)).collect();
        let is_truncated = listed.next().is_some();
        JsonReply::new(200, json!({"stacks": page, "truncated": is_truncated}))
    }
}

/// The name of a machine, by its number in the order of rental.
fn machine_name(number: usize) -> String {
    format!("{MACHINE_PREFIX}{number:06}")
}

fn machine_number(name: &str) -> Option<usize> {
    name.strip_prefix(MACHINE_PREFIX)?.parse().ok()
}
