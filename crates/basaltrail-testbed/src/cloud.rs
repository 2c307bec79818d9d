//! Stand-in of the cloud (PROTOCOL, Controller nodes -> cloud): rentals by name, boots, lists
//! that lag, machines that stop by themselves.

use crate::clock::{Clock, Ms};
use crate::deployment::{Deployment, MACHINE_CPUS, MACHINE_MEMORY_GB, MACHINE_TYPE, ZONES};
use crate::http::{reply, serve};
use crate::lock;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::mpsc;
use warp::Filter;

/// How long a machine that stopped by itself is listed as running.
const DEAD_LISTED_MS: Ms = 3_000;
/// Names in one rental, and in one release.
const RENT_MOST: u64 = 50;
const RELEASE_MOST: usize = 100;
/// Names of machines begin so; their number follows.
const MACHINE_PREFIX: &str = "m-";
/// Machines in one page of the list.
const PAGE_MOST: usize = 500;

/// A machine that the cloud has rented out.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: &'static str,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// When its worker begins.
    pub up_at: Ms,
    rented: Ms,
    died: Option<Ms>,
    released: Option<Ms>,
}

impl Machine {
    /// When it stopped, by itself or by a release.
    pub fn gone(&self) -> Option<Ms> {
        self.died.into_iter().chain(self.released).min()
    }
}

struct Rentals {
    machines: Vec<Machine>,
    requisitions: HashMap<String, Vec<String>>,
    down_until: Ms,
    rng: SmallRng,
}

/// The cloud.
#[derive(Clone)]
pub struct Cloud {
    rentals: Arc<Mutex<Rentals>>,
    clock: Clock,
    list_lag_ms: Ms,
    /// Machines of one zone and kind.
    capacity: usize,
    rented: mpsc::UnboundedSender<Machine>,
}

impl Cloud {
    /// A cloud with the machines of a deployment. Each machine that is rented is sent to the
    /// receiver, whose owner starts its worker.
    pub fn new(
        clock: Clock,
        deployment: &Deployment,
        seed: u64,
    ) -> (Cloud, mpsc::UnboundedReceiver<Machine>) {
        let (rented, started) = mpsc::unbounded_channel();
        let rentals = Rentals {
            machines: Vec::new(),
            requisitions: HashMap::new(),
            down_until: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        let cloud = Cloud {
            rentals: Arc::new(Mutex::new(rentals)),
            clock,
            list_lag_ms: deployment.list_lag_ms,
            capacity: deployment.machines.div_ceil(2 * ZONES.len()),
            rented,
        };
        (cloud, started)
    }

    /// Serves on a free port.
    ///
    /// # Errors
    ///
    /// If no port can be had.
    pub async fn listen(&self) -> std::io::Result<SocketAddr> {
        let cloud = self.clone();
        let with = warp::any().map(move || cloud.clone());
        let types = warp::path!("machine_types")
            .and(warp::get())
            .and(with.clone())
            .map(|cloud: Cloud| cloud.answer(|_, _| (200, types())));
        let rent =
            warp::path!("rentals").and(warp::post()).and(warp::body::json()).and(with.clone()).map(
                |body: Value, cloud: Cloud| {
                    cloud.answer(|cloud, rentals| cloud.rent(rentals, &body))
                },
            );
        let release = warp::path!("rentals" / "release")
            .and(warp::post())
            .and(warp::body::json())
            .and(with.clone())
            .map(|body: Value, cloud: Cloud| {
                cloud.answer(|cloud, rentals| cloud.release(rentals, &body))
            });
        let list = warp::path!("rentals")
            .and(warp::get())
            .and(warp::query::<HashMap<String, String>>())
            .and(with)
            .map(|query: HashMap<String, String>, cloud: Cloud| {
                cloud.answer(|cloud, rentals| cloud.list(rentals, &query))
            });
        serve(types.or(rent).or(release).or(list)).await
    }

    fn lock(&self) -> MutexGuard<'_, Rentals> {
        lock(&self.rentals)
    }

    fn answer(
        &self,
        serve: impl FnOnce(&Cloud, &mut Rentals) -> (u16, Value),
    ) -> warp::reply::Response {
        let mut rentals = self.lock();
        let (status, body) = match self.clock.now() < rentals.down_until {
            true => (503, json!({"error": "trouble"})),
            false => serve(self, &mut rentals),
        };
        reply(status, body)
    }

    /// The cloud's interface is down.
    pub fn outage(&self, for_ms: Ms) {
        let until = self.clock.now() + for_ms;
        self.lock().down_until = until;
    }

    /// Machines that are up, and neither returned nor stopped.
    pub fn running(&self) -> Vec<Machine> {
        let now = self.clock.now();
        let up = |machine: &&Machine| machine.gone().is_none() && now >= machine.up_at;
        self.lock().machines.iter().filter(up).cloned().collect()
    }

    /// When a machine stopped, if it did.
    pub fn gone(&self, name: &str) -> Option<Ms> {
        let rentals = self.lock();
        rentals.machines.get(index(name)?)?.gone()
    }

    /// A machine stops by itself.
    pub fn stop(&self, name: &str) {
        let now = self.clock.now();
        let mut rentals = self.lock();
        let found = index(name).and_then(|index| rentals.machines.get_mut(index));
        if let Some(machine) = found.filter(|machine| machine.gone().is_none()) {
            machine.died = Some(now);
        }
    }

    fn rent(&self, rentals: &mut Rentals, body: &Value) -> (u16, Value) {
        let Some(requisition) = body["requisition"].as_str() else {
            return (400, json!({"error": "requisition"}));
        };
        if let Some(names) = rentals.requisitions.get(requisition) {
            return (200, json!({ "stacks": names }));
        }
        let zone = ZONES.iter().find(|zone| body["room"].as_str() == Some(**zone));
        let (Some(zone), Some(number)) = (zone, body["number"].as_u64()) else {
            return (400, json!({"error": "room or number"}));
        };
        let spot = body["remainders"].as_bool().unwrap_or(false);
        let in_use = |machine: &&Machine| {
            machine.gone().is_none() && machine.zone == *zone && machine.spot == spot
        };
        let used = rentals.machines.iter().filter(in_use).count();
        let number = number.min(RENT_MOST).min(self.capacity.saturating_sub(used) as u64);
        if number == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let now = self.clock.now();
        let mut names = Vec::new();
        for _ in 0..number {
            let machine = Machine {
                name: name(rentals.machines.len()),
                zone,
                spot,
                up_at: now + rentals.rng.random_range(200..2_500),
                rented: now,
                died: None,
                released: None,
            };
            names.push(machine.name.clone());
            rentals.machines.push(machine.clone());
            // Nobody starts workers any more once the run is over.
            let _ = self.rented.send(machine);
        }
        rentals.requisitions.insert(requisition.into(), names.clone());
        (200, json!({ "stacks": names }))
    }

    fn release(&self, rentals: &mut Rentals, body: &Value) -> (u16, Value) {
        let none = Vec::new();
        let names = body["stacks"].as_array().unwrap_or(&none);
        if names.len() > RELEASE_MOST {
            return (400, json!({"error": "too many"}));
        }
        let now = self.clock.now();
        for at in names.iter().filter_map(|name| index(name.as_str()?)) {
            if let Some(machine) = rentals.machines.get_mut(at) {
                machine.released.get_or_insert(now);
            }
        }
        (200, json!({}))
    }

    /// The list as it was some time ago.
    fn list(&self, rentals: &mut Rentals, query: &HashMap<String, String>) -> (u16, Value) {
        let lag = rentals.rng.random_range(0..=2 * self.list_lag_ms);
        let then = self.clock.now().saturating_sub(lag);
        let after = query.get("after").map_or("", String::as_str);
        let there = |machine: &&Machine| {
            machine.rented <= then
                && machine.released.is_none_or(|at| at > then)
                && machine.name.as_str() > after
        };
        let mut listed = rentals.machines.iter().filter(there);
        let row = |machine: &Machine| {
            let dead = machine.died.is_some_and(|at| at + DEAD_LISTED_MS <= then);
            let condition = match (dead, then < machine.up_at) {
                (true, _) => "failed",
                (false, true) => "starting",
                (false, false) => "running",
            };
            json!({"nameId": machine.name, "endpoint": "127.0.0.1:1", "format": MACHINE_TYPE,
                "room": machine.zone, "remainders": machine.spot, "condition": condition,
                "ageS": (then - machine.rented) as f64 / 1000.0})
        };
        let page: Vec<Value> = listed.by_ref().take(PAGE_MOST).map(row).collect();
        (200, json!({"stacks": page, "truncated": listed.next().is_some()}))
    }
}

/// The name of a machine, by the order of rental.
fn name(index: usize) -> String {
    format!("{MACHINE_PREFIX}{index:06}")
}

fn index(name: &str) -> Option<usize> {
    name.strip_prefix(MACHINE_PREFIX)?.parse().ok()
}

fn types() -> Value {
    json!({"formats": [{"name": MACHINE_TYPE, "vcpus": MACHINE_CPUS, "gpus": 0.0,
        "ramGb": MACHINE_MEMORY_GB, "localGb": 50.0, "fetchGbPerS": 1.0, "price": 1.0,
        "marketPrice": 0.4, "bootS": 1.5, "rooms": ZONES}]})
}
