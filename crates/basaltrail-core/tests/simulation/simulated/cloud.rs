//! The cloud: machine types, provisioning, termination and its list of machines.

use super::*;

/// Machines of one zone and kind that the cloud has at the most.
const CAPACITY: usize = 3;
/// Milliseconds after its end for which a machine is still listed as running.
const LISTED_AS_FAILED_AFTER_MS: u64 = 30_000;
/// Milliseconds that the cloud takes to answer, beside the network's delay.
const LATENCY_MS: u64 = 20;

impl World {
    /// Carries a request out and answers it.
    pub(super) fn cloud_request(
        &mut self,
        controller: usize,
        epoch: u64,
        op: CallId,
        call: CloudRequest,
    ) {
        let reply = match call {
            CloudRequest::Types => CloudReply::Types(vec![the_machine_type()]),
            CloudRequest::Provision { requisition, zone, spot, count, .. } => {
                self.provision(requisition, &zone, spot, count)
            }
            CloudRequest::Terminate(ids) => self.terminate(&ids),
            CloudRequest::List { .. } => self.list_machines(),
        };
        let at = self.now + LATENCY_MS + self.delay();
        self.send(at, controller, epoch, Message::Input(Input::Cloud { op, reply }));
    }

    /// A requisition is carried out once; a repeat gets the same machines.
    fn provision(&mut self, requisition: String, zone: &str, spot: bool, count: u32) -> CloudReply {
        if let Some(machines) = self.requisitions.get(&requisition) {
            return CloudReply::Provisioned(machines.clone());
        }
        let zone = ZONES.iter().position(|name| *name == zone).expect("the zone is known");
        let of_kind = |w: &&Worker| w.alive && w.zone == zone && w.spot == spot;
        let present = self.workers.iter().filter(of_kind).count();
        let count = (count as usize).min(CAPACITY.saturating_sub(present));
        if count == 0 {
            return CloudReply::NoCapacity;
        }
        let mut machines = Vec::new();
        for _ in 0..count {
            machines.push(machine(self.workers.len()));
            let worker = self.new_worker(zone, spot);
            self.workers.push(worker);
        }
        self.requisitions.insert(requisition, machines.clone());
        CloudReply::Provisioned(machines)
    }

    fn new_worker(&mut self, zone: usize, spot: bool) -> Worker {
        let up_at = self.now + self.provisioning_time(zone);
        Worker {
            zone,
            spot,
            up_at,
            alive: true,
            agent_epoch: AgentEpoch(1),
            sequence: 0,
            token: FencingToken(0),
            renewed: up_at,
            tasks: BTreeMap::new(),
            to: self.rng.random_range(0..CONTROLLERS),
            awaiting_reply: None,
            next_heartbeat: up_at,
            hung_until: 0,
            uplink_lost_until: 0,
            downlink_lost_until: 0,
            provisioned_at: self.now,
            died: None,
            gone: None,
            faulty: self.rng.random_bool(0.04),
            reclaimed_at: None,
            reclaim_announced: false,
        }
    }

    /// Milliseconds until a new machine of a zone is up.
    fn provisioning_time(&mut self, zone: usize) -> u64 {
        let slow = zone == self.slow_provisioning.0 && self.now < self.slow_provisioning.1;
        let never = self.rng.random_bool(if slow { 0.4 } else { 0.02 });
        if never {
            DAY_MS
        } else if self.fast_provisioning {
            self.rng.random_range(300..2_000)
        } else if slow {
            self.rng.random_range(20_000..50_000)
        } else if self.rng.random_bool(0.2) {
            1_000
        } else {
            self.rng.random_range(5_000..12_000)
        }
    }

    fn terminate(&mut self, ids: &[MachineId]) -> CloudReply {
        for (index, worker) in self.workers.iter_mut().enumerate() {
            if ids.contains(&machine(index)) {
                worker.end(self.now);
            }
        }
        CloudReply::Terminated
    }

    /// The list tells of any time within two lags, so it may be older than the last one.
    fn list_machines(&mut self) -> CloudReply {
        let as_of = self.now.saturating_sub(self.rng.random_range(0..=2 * LIST_LAG_MS));
        let there =
            |w: &Worker| w.provisioned_at <= as_of && w.gone.is_none_or(|gone| gone > as_of);
        let seen = self.workers.iter().enumerate().filter(|(_, w)| there(w));
        let machines = seen.map(|(index, worker)| listed(index, worker, as_of)).collect();
        CloudReply::Listed { machines, more: false }
    }
}

fn listed(index: usize, worker: &Worker, as_of: u64) -> ListedMachine {
    let failed = worker.died.is_some_and(|died| as_of > died + LISTED_AS_FAILED_AFTER_MS);
    let state = if failed {
        ListedState::Failed
    } else if as_of > worker.up_at {
        ListedState::Running
    } else {
        ListedState::Booting
    };
    ListedMachine {
        machine: machine(index),
        endpoint: format!("e{index}"),
        machine_type: "x".into(),
        zone: ZONES[worker.zone].into(),
        spot: worker.spot,
        state,
        age_s: (as_of - worker.provisioned_at) as f64 / 1000.0,
    }
}

fn the_machine_type() -> MachineType {
    MachineType {
        name: "x".into(),
        cpus: MACHINE_CPUS,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 8.0,
        zones: ZONES.map(String::from).to_vec(),
    }
}
