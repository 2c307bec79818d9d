//! The cloud: machine types, provisioning, termination and its list of machines.

use super::*;

/// Maximum number of machines of one zone and kind (on-demand or spot).
const MAX_MACHINES_PER_KIND: usize = 3;
/// Time for which a failed machine is still listed as running.
const LISTED_AS_FAILED_AFTER_MS: u64 = 30_000;
/// Latency of a reply, without the network delay.
const LATENCY_MS: u64 = 20;

impl Simulation {
    /// Applies a request and sends the reply.
    pub(super) fn handle_cloud_request(
        &mut self,
        controller: usize,
        epoch: u64,
        call_id: CallId,
        request: CloudRequest,
    ) {
        let reply = match request {
            CloudRequest::MachineTypes => CloudReply::MachineTypes(vec![machine_type()]),
            CloudRequest::Provision { request_name, zone, spot, count, .. } => {
                self.provision(request_name, &zone, spot, count)
            }
            CloudRequest::Terminate(ids) => self.terminate(&ids),
            CloudRequest::List { .. } => self.list_machines(),
        };
        let at = self.now + LATENCY_MS + self.network_delay();
        self.send(at, controller, epoch, Message::Input(Input::Cloud { call_id, reply }));
    }

    /// Provisions machines once for each request name; a repeated request gets the same machines.
    fn provision(
        &mut self,
        request_name: String,
        zone: &str,
        spot: bool,
        count: u32,
    ) -> CloudReply {
        if let Some(machines) = self.provisioned.get(&request_name) {
            return CloudReply::Provisioned(machines.clone());
        }
        let zone = ZONES.iter().position(|name| *name == zone).expect("the zone is known");
        let of_kind = |worker: &&Worker| worker.alive && worker.zone == zone && worker.spot == spot;
        let present = self.workers.iter().filter(of_kind).count();
        let count = (count as usize).min(MAX_MACHINES_PER_KIND.saturating_sub(present));
        if count == 0 {
            return CloudReply::NoCapacity;
        }
        let mut machines = Vec::new();
        for _ in 0..count {
            machines.push(machine_id(self.workers.len()));
            let worker = self.new_worker(zone, spot);
            self.workers.push(worker);
        }
        self.provisioned.insert(request_name, machines.clone());
        CloudReply::Provisioned(machines)
    }

    fn new_worker(&mut self, zone: usize, spot: bool) -> Worker {
        let boots_at = self.now + self.provisioning_time_ms(zone);
        Worker {
            zone,
            spot,
            boots_at,
            alive: true,
            agent_epoch: AgentEpoch(1),
            sequence: 0,
            token: FencingToken(0),
            lease_renewed_at: boots_at,
            tasks: BTreeMap::new(),
            controller: self.rng.random_range(0..CONTROLLERS),
            awaiting_reply: None,
            next_heartbeat: boots_at,
            hung_until: 0,
            uplink_lost_until: 0,
            downlink_lost_until: 0,
            provisioned_at: self.now,
            failed_at: None,
            terminated_at: None,
            faulty: self.rng.random_bool(0.04),
            reclaimed_at: None,
            reclaim_announced: false,
        }
    }

    /// Returns the time until a new machine of a zone has booted.
    fn provisioning_time_ms(&mut self, zone: usize) -> u64 {
        let is_slow = zone == self.slow_provisioning.0 && self.now < self.slow_provisioning.1;
        let never_boots = self.rng.random_bool(if is_slow { 0.4 } else { 0.02 });
        if never_boots {
            RUN_MS
        } else if self.fast_provisioning {
            self.rng.random_range(300..2_000)
        } else if is_slow {
            self.rng.random_range(20_000..50_000)
        } else if self.rng.random_bool(0.2) {
            1_000
        } else {
            self.rng.random_range(5_000..12_000)
        }
    }

    fn terminate(&mut self, ids: &[MachineId]) -> CloudReply {
        for (index, worker) in self.workers.iter_mut().enumerate() {
            if ids.contains(&machine_id(index)) {
                worker.terminate(self.now);
            }
        }
        CloudReply::Terminated
    }

    /// Returns a list as of a random time within twice the list lag, so it may be older than the
    /// previous list.
    fn list_machines(&mut self) -> CloudReply {
        let as_of = self.now.saturating_sub(self.rng.random_range(0..=2 * LIST_LAG_MS));
        let is_listed = |worker: &Worker| {
            worker.provisioned_at <= as_of
                && worker.terminated_at.is_none_or(|terminated_at| terminated_at > as_of)
        };
        let listed = self.workers.iter().enumerate().filter(|(_, worker)| is_listed(worker));
        let machines = listed.map(|(index, worker)| listed_machine(index, worker, as_of)).collect();
        CloudReply::Listed { machines, more: false }
    }
}

fn listed_machine(index: usize, worker: &Worker, as_of: u64) -> ListedMachine {
    let listed_as_failed =
        worker.failed_at.is_some_and(|failed_at| as_of > failed_at + LISTED_AS_FAILED_AFTER_MS);
    let state = if listed_as_failed {
        ListedState::Failed
    } else if as_of > worker.boots_at {
        ListedState::Running
    } else {
        ListedState::Booting
    };
    ListedMachine {
        machine: machine_id(index),
        endpoint: format!("e{index}"),
        machine_type: "x".into(),
        zone: ZONES[worker.zone].into(),
        spot: worker.spot,
        state,
        age_s: (as_of - worker.provisioned_at) as f64 / 1000.0,
    }
}

fn machine_type() -> MachineType {
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
