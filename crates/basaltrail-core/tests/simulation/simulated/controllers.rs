//! Controllers, and what the state service and the cloud answer them.

use super::*;
use basaltrail_core::events::HeartbeatEvent;

/// Whether a call keeps limits on the bytes of a value and the changes of a transaction.
fn within(call: &StoreRequest, (value, ops): (usize, usize)) -> bool {
    let StoreRequest::Transaction { preconditions, puts, deletes } = call else { return true };
    let small = puts.iter().all(|p| p.value.len() <= value);
    small && puts.len() + deletes.len() <= ops && preconditions.len() <= ops * 4
}

impl World {
    pub(super) fn step(&mut self, i: usize, input: Input) {
        let c = &mut self.controllers[i];
        let now = ((self.now - c.born) as f64 * c.drift) as u64;
        let Some(controller) = c.process.as_mut() else { return };
        let effects = controller.step(now, self.now as i64, input);
        let epoch = c.epoch;
        if c.freezes_until > self.now {
            c.frozen_until = std::mem::take(&mut c.freezes_until);
        }
        // What is built in the step in which it comes to stand goes out when it goes on.
        let goes = self.now.max(c.frozen_until);
        let island = c.isolated_until;
        for e in effects {
            match e {
                Effect::Answer { req, answer } => {
                    let Some(asker) = self.requesters.remove(&req) else { continue };
                    let at = goes + self.delay();
                    match asker {
                        Requester::Worker(who, n) => {
                            if self.controllers[i].version.renews_on_stale_jobs() {
                                self.stale_renewal_at = Some(goes);
                            }
                            let at = self.between(i, who, at);
                            let sent = self.workers[who].agent_epoch;
                            self.send(at, usize::MAX, 0, Message::Commands(who, sent, n, answer));
                        }
                        Requester::User(_, q) if at > q.until => {}
                        _ if goes < island => {}
                        _ => self.send(at, usize::MAX, 0, Message::Answer(asker, answer)),
                    }
                }
                Effect::Store { op, call, timeout_ms } => {
                    let unknown = Input::Store { op, reply: StoreReply::Unknown };
                    self.send(self.now + timeout_ms, i, epoch, Message::Input(unknown));
                    let mut at = goes + self.delay();
                    if !within(&call, self.controllers[i].configuration.limits) {
                        self.violation(format!("node {i} wrote beyond its limits: {call:?}"));
                    }
                    // A transaction is carried out twice; nobody hears of the second.
                    if matches!(call, StoreRequest::Transaction { .. }) && self.copied() {
                        let at = self.now + self.rng.random_range(5..30_000);
                        self.send(at, i, epoch, Message::Store(CallId(u64::MAX), call.clone()));
                    }
                    if let Some((until, held)) = self.controllers[i].store_cut {
                        if !held {
                            continue;
                        }
                        at = at.max(until + self.delay()); // carried out late
                    }
                    self.send(at, i, epoch, Message::Store(op, call));
                }
                Effect::Cloud { op, call, timeout_ms } => {
                    self.send(
                        self.now + timeout_ms,
                        i,
                        epoch,
                        Message::Input(Input::Cloud { op, reply: CloudReply::Failed }),
                    );
                    // Now and then a rental or release is carried out much later.
                    let late = if self.now < FAULTS_END_MS && self.rng.random_bool(0.05) {
                        30_000
                    } else {
                        0
                    };
                    if self.copied() {
                        let at = self.now + self.rng.random_range(5..30_000);
                        self.send(at, i, epoch, Message::Cloud(CallId(u64::MAX), call.clone()));
                    }
                    let at = goes.max(island) + 20 + self.delay() + late;
                    self.send(at, i, epoch, Message::Cloud(op, call));
                }
                Effect::Peers { progress } => self.tell_peers(i, goes, &progress),
                Effect::Log(LogEvent::Heartbeat(HeartbeatEvent::RenewalViolation {
                    machine,
                    task,
                })) => {
                    self.violation(format!(
                        "node {i}: an answer without the knowledge it takes: {machine} {task:?}"
                    ));
                }
                Effect::Log(_) => {}
            }
        }
    }

    /// What a leader tells its peers reaches those that no cut keeps from it.
    fn tell_peers(&mut self, from: usize, at: u64, progress: &[Progress]) {
        let apart = |c: &SimulatedController| c.isolated_until > at || c.store_cut.is_some();
        for to in (0..CONTROLLERS).filter(|to| *to != from) {
            let zones = self.zone_cut.is_some() && to % 2 != from % 2;
            if zones || apart(&self.controllers[from]) || apart(&self.controllers[to]) {
                continue;
            }
            let epoch = self.controllers[to].epoch;
            let input = Input::Peer { progress: progress.to_vec() };
            self.send(at + 5, to, epoch, Message::Input(input));
        }
    }

    /// When a message between a controller and a worker arrives.
    pub(super) fn between(&mut self, controller: usize, worker: usize, at: u64) -> u64 {
        let zones = self.zone_cut.filter(|_| controller % 2 != self.workers[worker].zone);
        match zones.or(self.controllers[controller].workers_cut) {
            Some((until, true)) => until + self.delay(),
            Some((_, false)) => u64::MAX,
            None => at,
        }
    }

    pub(super) fn store_request(&mut self, i: usize, epoch: u64, op: CallId, call: StoreRequest) {
        let down = self.now < self.store.down_until || self.now < self.controllers[i].refused_until;
        let shut = down || (self.controllers[i].store_cut.is_some() && op != CallId(u64::MAX));
        if let StoreRequest::Watch { prefix, after, wait_ms } = call {
            // Watches that are open wait; a new one is refused.
            if down {
                let input = Input::Store { op, reply: StoreReply::Refused };
                return self.send(self.now + 2, i, epoch, Message::Input(input));
            }
            if prefix == records::JOBS_PREFIX && self.now < self.controllers[i].watches_lost_until {
                return self.record_moment("watch lost");
            }
            self.store.watches.push((i, epoch, op, prefix, after, self.now + wait_ms));
            return self.watch();
        }
        let changes = matches!(&call, StoreRequest::Transaction { puts, deletes, .. } if puts.len() + deletes.len() > 0);
        let late = self.late_writes;
        if changes && !shut && op != CallId(u64::MAX) && self.now < late.until {
            let hit = self.rng.random_bool(late.share);
            if hit && late.other {
                if matches!(self.store.carry_out(self.now, &call), StoreReply::Committed { .. }) {
                    self.record_moment("answer lost");
                }
                return self.watch();
            } else if hit {
                let at = self.now + self.rng.random_range(2_000..12_000);
                return self.send(at, i, epoch, Message::Store(CallId(u64::MAX), call));
            }
        }
        let reply = if down { StoreReply::Refused } else { self.store.carry_out(self.now, &call) };
        // A copy may come after the limits fell of what an earlier version wrote before.
        let late = op == CallId(u64::MAX) && within(&call, LIMITS);
        if reply == StoreReply::Rejected && !late {
            self.violation(format!("wrote more than the service takes: {call:?}"));
        }
        if op == CallId(u64::MAX) && matches!(reply, StoreReply::Committed { .. }) {
            self.record_moment("late write won");
        } else if op == CallId(u64::MAX) && matches!(reply, StoreReply::Conflict { .. }) {
            self.record_moment("late write lost");
        }
        let at = self.now + self.delay() + self.store_delay_ms;
        let lost = self.now < FAULTS_END_MS && self.rng.random_bool(0.01);
        if !lost && self.controllers[i].store_cut.is_none() {
            self.send(at, i, epoch, Message::Input(Input::Store { op, reply }));
        }
        self.watch();
    }

    pub(super) fn watch(&mut self) {
        let t = self.now;
        if t < self.store.down_until {
            return;
        }
        let watches = std::mem::take(&mut self.store.watches);
        for (i, epoch, op, prefix, after, until) in watches {
            let events = self.store.news(&prefix, after);
            let shut =
                self.controllers[i].store_cut.is_some() || t < self.controllers[i].refused_until;
            if shut || (events.is_empty() && t < until) {
                if t < until + 60_000 {
                    self.store.watches.push((i, epoch, op, prefix, after, until));
                }
                continue;
            }
            let reply = StoreReply::Events { revision: self.store.revision, events };
            let at = t + self.delay();
            self.send(at, i, epoch, Message::Input(Input::Store { op, reply }));
        }
    }

    pub(super) fn cloud_request(&mut self, i: usize, epoch: u64, op: CallId, call: CloudRequest) {
        let reply = match call {
            CloudRequest::Types => CloudReply::Types(vec![MachineType {
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
            }]),
            CloudRequest::Provision { requisition, zone, spot, count, .. } => {
                if let Some(done) = self.requisitions.get(&requisition) {
                    CloudReply::Provisioned(done.clone())
                } else {
                    let z = ZONES.iter().position(|x| *x == zone).unwrap();
                    let have = self
                        .workers
                        .iter()
                        .filter(|w| w.alive && w.zone == z && w.spot == spot)
                        .count();
                    let n = (count as usize).min(3usize.saturating_sub(have));
                    let mut ids = Vec::new();
                    for _ in 0..n {
                        let trouble =
                            z == self.slow_provisioning.0 && self.now < self.slow_provisioning.1;
                        let boot_ms = if self.rng.random_bool(if trouble { 0.4 } else { 0.02 }) {
                            DAY_MS // never
                        } else if self.fast_provisioning {
                            self.rng.random_range(300..2_000)
                        } else if trouble {
                            self.rng.random_range(20_000..50_000)
                        } else if self.rng.random_bool(0.2) {
                            1_000
                        } else {
                            self.rng.random_range(5_000..12_000)
                        };
                        let up_at = self.now + boot_ms;
                        ids.push(machine(self.workers.len()));
                        self.workers.push(Worker {
                            zone: z,
                            spot,
                            up_at,
                            alive: true,
                            agent_epoch: 1,
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
                        });
                    }
                    if n == 0 {
                        CloudReply::NoCapacity
                    } else {
                        self.requisitions.insert(requisition, ids.clone());
                        CloudReply::Provisioned(ids)
                    }
                }
            }
            CloudRequest::Terminate(ids) => {
                for (m, w) in self.workers.iter_mut().enumerate() {
                    if ids.contains(&machine(m)) {
                        w.end(self.now);
                    }
                }
                CloudReply::Terminated
            }
            CloudRequest::List { .. } => {
                // It tells of any time within two lags, so it may be older than the last one.
                let t = self.now.saturating_sub(self.rng.random_range(0..=2 * LIST_LAG_MS));
                let there = |w: &Worker| w.provisioned_at <= t && w.gone.is_none_or(|g| g > t);
                let seen = self.workers.iter().enumerate().filter(|(_, w)| there(w));
                let machines = seen
                    .map(|(m, w)| ListedMachine {
                        machine: machine(m),
                        endpoint: format!("e{m}"),
                        machine_type: "x".into(),
                        zone: ZONES[w.zone].into(),
                        spot: w.spot,
                        state: if w.died.is_some_and(|d| t > d + 30_000) {
                            ListedState::Failed
                        } else if t > w.up_at {
                            ListedState::Running
                        } else {
                            ListedState::Booting
                        },
                        age_s: (t - w.provisioned_at) as f64 / 1000.0,
                    })
                    .collect();
                CloudReply::Listed { machines, more: false }
            }
        };
        let at = self.now + 20 + self.delay();
        self.send(at, i, epoch, Message::Input(Input::Cloud { op, reply }));
    }
}
