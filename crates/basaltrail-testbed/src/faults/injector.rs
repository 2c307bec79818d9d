//! Draws faults and injects them into a testbed.

use super::FaultKind;
use crate::clock::Ms;
use crate::controllers::ControllerError;
use crate::deployment::Deployment;
use crate::history::EventKind;
use crate::proxy::{Direction, LinkMode};
use crate::state_service::TransactionFault;
use crate::testbed::Testbed;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// The time between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<Ms> = 300..3_000;
/// The shortest duration of a fault, in milliseconds.
const MIN_DURATION_MS: Ms = 500;
/// How long a killed leader is down, in milliseconds.
const LEADER_DOWN_MS: std::ops::Range<Ms> = 20..2_000;
/// How long a controller is down at the shortest, in milliseconds.
const MIN_DOWN_MS: Ms = 20;
/// Share of the state service's outages that last longer than a cancellation may take, and by
/// how much.
const LONG_OUTAGE_SHARE: f64 = 0.3;
const LONG_OUTAGE_EXTRA_MS: Ms = 1_000;
/// Added latency of the state service, in milliseconds.
const STATE_LATENCY_MS: std::ops::Range<Ms> = 20..300;
/// Share of the transactions that are late or whose answer is lost.
const TRANSACTION_FAULT_SHARE: f64 = 0.3;
/// Delay of all traffic of a controller, in milliseconds.
const LINK_DELAY_MS: std::ops::Range<u64> = 10..400;
/// Share of the link faults that end with a reset of all connections.
const RESET_AFTER_SHARE: f64 = 0.3;
/// Thousandths of the heartbeats of which a copy arrives late.
const LATE_COPIES_THOUSANDTHS: u32 = 300;
/// One in so many machines gets a fault of machines.
const MACHINES_PER_FAULT: usize = 5;
/// Jobs that are cancelled at once.
const CANCEL_BURST_JOBS: usize = 6;

/// Jobs that are cancelled before the short leader terms.
const SHORT_TERM_CANCELLATIONS: usize = 12;
/// The time between these cancellations and the first kill.
const SHORT_TERM_START: Duration = Duration::from_millis(600);
/// Leader terms are short until all cancelled tasks must have ended, and so much longer.
const SHORT_TERM_EXTRA_MS: Ms = 1_500;
/// Share of the other controllers that are killed with the leader.
const FOLLOWER_KILL_SHARE: f64 = 0.3;
/// How long a controller is down between short terms, in milliseconds.
const SHORT_TERM_DOWN_MS: std::ops::Range<Ms> = 20..400;
/// The shortest term, in milliseconds; the longest is the heartbeat interval.
const MIN_TERM_MS: Ms = 100;
/// How often the next leader is looked for.
const TERM_CHECK: Duration = Duration::from_millis(5);

/// Injects faults of the allowed kinds until an instant. Returns the kinds that could not be
/// injected here, with the first error of each.
pub async fn inject_faults(
    testbed: Arc<Testbed>,
    kinds: Vec<FaultKind>,
    until: Ms,
    rng: SmallRng,
) -> BTreeMap<FaultKind, ControllerError> {
    let mut failed = BTreeMap::new();
    let clock = testbed.clock;
    let mut injector = Injector { testbed, rng };
    while clock.now() < until {
        let pause_ms = injector.rng.random_range(PAUSE_MS);
        clock.sleep_until((clock.now() + pause_ms).min(until)).await;
        let Some(kind) = kinds.choose(&mut injector.rng).copied() else { return failed };
        if clock.now() >= until {
            break;
        }
        if let Err(error) = injector.inject(kind).await {
            failed.entry(kind).or_insert(error);
        }
    }
    failed
}

struct Injector {
    testbed: Arc<Testbed>,
    rng: SmallRng,
}

/// A fault of the links of a controller.
#[derive(Clone, Copy)]
struct LinkFault {
    kind: FaultKind,
    controller: usize,
    /// Index of the zone whose workers are partitioned.
    zone: usize,
}

impl LinkFault {
    fn set_mode(self, testbed: &Testbed, direction: Direction, mode: LinkMode) {
        let links = &testbed.links;
        match self.kind {
            FaultKind::PartitionState => {
                links.state_service[self.controller].set_mode(direction, mode);
            }
            FaultKind::PartitionWorkers => {
                links.workers[self.zone][self.controller].set_mode(direction, mode);
            }
            _ => {
                let links = links.of_controller(self.controller);
                links.for_each(|link| link.set_mode(direction, mode));
            }
        }
    }
}

impl Injector {
    fn record(&self, description: String) {
        let now = self.testbed.clock.now();
        self.testbed.history.record(now, EventKind::FaultInjected { description });
    }

    /// Runs the end of a fault after its duration, while other faults are injected.
    fn schedule<F>(&self, after_ms: Ms, recovery: impl FnOnce(Arc<Testbed>) -> F)
    where
        F: std::future::Future<Output = ()> + Send + 'static,
    {
        let recovery = recovery(self.testbed.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            recovery.await;
        });
    }

    async fn inject(&mut self, kind: FaultKind) -> Result<(), ControllerError> {
        let longest_ms = self.testbed.deployment.lease_ms * 3 / 2;
        let duration_ms = self.rng.random_range(MIN_DURATION_MS..longest_ms);
        match kind {
            FaultKind::ShortLeaderTerms => self.shorten_leader_terms().await?,
            FaultKind::KillLeader => self.kill_leader().await?,
            FaultKind::KillAll => self.kill_all().await?,
            FaultKind::Pause => self.pause_controller(duration_ms).await?,
            FaultKind::PartitionState | FaultKind::PartitionWorkers | FaultKind::DelayLinks => {
                self.disturb_links(kind, duration_ms)
            }
            FaultKind::ResetConnections => self.reset_connections(),
            FaultKind::StateOutage => self.start_state_outage(duration_ms),
            FaultKind::StateRefusal => self.refuse_leader(duration_ms),
            FaultKind::StateSlow => self.slow_state_service(duration_ms),
            FaultKind::LateWrites => {
                let fault = TransactionFault::Late(TRANSACTION_FAULT_SHARE);
                self.disturb_transactions(fault, duration_ms);
            }
            FaultKind::LostAnswers => {
                let fault = TransactionFault::AnswerLost(TRANSACTION_FAULT_SHARE);
                self.disturb_transactions(fault, duration_ms);
            }
            FaultKind::CloudOutage => self.start_cloud_outage(duration_ms),
            FaultKind::MachineHang
            | FaultKind::MachineMute
            | FaultKind::MachineDeaf
            | FaultKind::MachineCrash => self.disturb_machines(kind, duration_ms),
            FaultKind::LateHeartbeats => self.copy_heartbeats(duration_ms),
            FaultKind::CancelBurst => {
                let count = self.cancel_jobs(CANCEL_BURST_JOBS);
                self.record(format!("{count} jobs are cancelled"));
            }
        }
        Ok(())
    }

    /// The leader or any controller, with the same probability.
    fn draw_controller(&mut self) -> usize {
        match self.rng.random_bool(0.5) {
            true => self.testbed.fleet.leader(),
            false => self.rng.random_range(0..self.testbed.controllers.count()),
        }
    }

    async fn kill_leader(&mut self) -> Result<(), ControllerError> {
        let leader = self.testbed.fleet.leader();
        let down_ms = self.rng.random_range(LEADER_DOWN_MS);
        self.kill_for(leader, down_ms).await
    }

    async fn kill_all(&mut self) -> Result<(), ControllerError> {
        for controller in 0..self.testbed.controllers.count() {
            let down_ms = self.rng.random_range(MIN_DOWN_MS..self.testbed.deployment.lease_ms);
            self.kill_for(controller, down_ms).await?;
        }
        Ok(())
    }

    /// Kills a controller and restarts it later.
    async fn kill_for(&self, controller: usize, down_ms: Ms) -> Result<(), ControllerError> {
        let name = Deployment::controller_name(controller);
        self.record(format!("{name} is killed and restarted after {down_ms} ms"));
        self.testbed.controllers.kill(controller).await;
        self.schedule(down_ms, move |testbed| async move {
            // If no controller starts any more, the run ends without a leader, which the checker
            // finds.
            if let Err(error) = testbed.controllers.start(controller).await {
                let description = format!("{name} cannot be restarted: {error}");
                let event = EventKind::FaultInjected { description };
                testbed.history.record(testbed.clock.now(), event);
            }
        });
        Ok(())
    }

    /// Cancels jobs, and kills each leader soon after its election until the cancelled tasks must
    /// have ended.
    async fn shorten_leader_terms(&mut self) -> Result<(), ControllerError> {
        let count = self.cancel_jobs(SHORT_TERM_CANCELLATIONS);
        self.record(format!("{count} jobs are cancelled, and leader terms are short"));
        tokio::time::sleep(SHORT_TERM_START).await;
        let testbed = self.testbed.clone();
        let until = testbed.clock.now() + testbed.deployment.cancel_ms + SHORT_TERM_EXTRA_MS;
        while testbed.clock.now() < until {
            let token = testbed.fleet.highest_token();
            self.kill_leader_and_some_followers().await?;
            // Until a worker has accepted an answer of the next leader.
            while testbed.fleet.highest_token() <= token && testbed.clock.now() < until {
                tokio::time::sleep(TERM_CHECK).await;
            }
            // Mostly too short for a worker's second heartbeat to this leader.
            let term_ms = self.rng.random_range(MIN_TERM_MS..testbed.deployment.heartbeat_ms);
            tokio::time::sleep(Duration::from_millis(term_ms)).await;
        }
        Ok(())
    }

    async fn kill_leader_and_some_followers(&mut self) -> Result<(), ControllerError> {
        let leader = self.testbed.fleet.leader();
        for controller in 0..self.testbed.controllers.count() {
            if controller == leader || self.rng.random_bool(FOLLOWER_KILL_SHARE) {
                let down_ms = self.rng.random_range(SHORT_TERM_DOWN_MS);
                self.kill_for(controller, down_ms).await?;
            }
        }
        Ok(())
    }

    async fn pause_controller(&mut self, duration_ms: Ms) -> Result<(), ControllerError> {
        let controller = self.draw_controller();
        if !self.testbed.controllers.pause(controller).await? {
            return Ok(());
        }
        let name = Deployment::controller_name(controller);
        self.record(format!("{name} is paused for {duration_ms} ms"));
        self.schedule(duration_ms, move |testbed| async move {
            // It fails only if the process is gone.
            let _ = testbed.controllers.resume(controller).await;
        });
        Ok(())
    }

    /// Partitions or delays links of a controller.
    fn disturb_links(&mut self, kind: FaultKind, duration_ms: Ms) {
        let controller = self.draw_controller();
        let directions = [Direction::Forward, Direction::Backward, Direction::Both];
        let direction = directions.choose(&mut self.rng).copied().unwrap_or(Direction::Both);
        let zone = self.rng.random_range(0..self.testbed.links.workers.len());
        let delay = Duration::from_millis(self.rng.random_range(LINK_DELAY_MS));
        let mode = match kind {
            FaultKind::DelayLinks => LinkMode::Delayed(delay),
            _ => LinkMode::Blocked,
        };
        let name = Deployment::controller_name(controller);
        let kind_name = kind.name();
        self.record(format!("{kind_name} of {name}: {mode:?} {direction:?}, {duration_ms} ms"));
        let fault = LinkFault { kind, controller, zone };
        fault.set_mode(&self.testbed, direction, mode);
        let resets = self.rng.random_bool(RESET_AFTER_SHARE);
        self.schedule(duration_ms, move |testbed| async move {
            fault.set_mode(&testbed, Direction::Both, LinkMode::Open);
            if resets {
                testbed.links.of_controller(controller).for_each(|link| link.reset());
            }
        });
    }

    fn reset_connections(&mut self) {
        let controller = self.draw_controller();
        let name = Deployment::controller_name(controller);
        self.record(format!("connections of {name} are reset"));
        self.testbed.links.of_controller(controller).for_each(|link| link.reset());
    }

    fn start_state_outage(&mut self, duration_ms: Ms) {
        let duration_ms = match self.rng.random_bool(LONG_OUTAGE_SHARE) {
            true => self.testbed.deployment.cancel_ms + LONG_OUTAGE_EXTRA_MS,
            false => duration_ms,
        };
        self.record(format!("the state service is unavailable for {duration_ms} ms"));
        self.testbed.state_service.start_outage(duration_ms);
    }

    fn refuse_leader(&mut self, duration_ms: Ms) {
        let leader = self.testbed.fleet.leader();
        let name = Deployment::controller_name(leader);
        self.record(format!("the state service refuses {name} for {duration_ms} ms"));
        self.testbed.state_service.refuse(leader, duration_ms);
    }

    fn slow_state_service(&mut self, duration_ms: Ms) {
        let latency_ms = self.rng.random_range(STATE_LATENCY_MS);
        self.record(format!("the state service answers {latency_ms} ms late for {duration_ms} ms"));
        self.testbed.state_service.set_latency(latency_ms);
        self.schedule(duration_ms, |testbed| async move {
            testbed.state_service.set_latency(0);
        });
    }

    fn disturb_transactions(&self, fault: TransactionFault, duration_ms: Ms) {
        self.record(format!("transactions: {fault:?} for {duration_ms} ms"));
        self.testbed.state_service.set_transaction_fault(fault);
        self.schedule(duration_ms, |testbed| async move {
            testbed.state_service.set_transaction_fault(TransactionFault::None);
        });
    }

    fn start_cloud_outage(&self, duration_ms: Ms) {
        self.record(format!("the cloud is unavailable for {duration_ms} ms"));
        self.testbed.cloud.start_outage(duration_ms);
    }

    fn disturb_machines(&mut self, kind: FaultKind, duration_ms: Ms) {
        let running = self.testbed.cloud.running();
        let count = (running.len() / MACHINES_PER_FAULT).max(1);
        let until = self.testbed.clock.now() + duration_ms;
        let machines: Vec<String> = running
            .choose_multiple(&mut self.rng, count)
            .map(|machine| machine.name.clone())
            .collect();
        let names = machines.join(" ");
        self.record(format!("{} for {duration_ms} ms: {names}", kind.name()));
        let fleet = &self.testbed.fleet;
        for machine in &machines {
            match kind {
                FaultKind::MachineCrash => self.testbed.cloud.crash(machine),
                FaultKind::MachineHang => {
                    fleet.set_faults(machine, |faults| faults.hangs_until = until);
                }
                FaultKind::MachineMute => {
                    fleet.set_faults(machine, |faults| faults.mute_until = until);
                }
                _ => fleet.set_faults(machine, |faults| faults.deaf_until = until),
            }
        }
    }

    fn copy_heartbeats(&self, duration_ms: Ms) {
        self.record(format!("copies of heartbeats arrive late for {duration_ms} ms"));
        self.testbed.fleet.set_late_copies(LATE_COPIES_THOUSANDTHS);
        self.schedule(duration_ms, |testbed| async move {
            testbed.fleet.set_late_copies(0);
        });
    }

    /// Makes the users of some live jobs cancel them; gives their number.
    fn cancel_jobs(&mut self, count: usize) -> usize {
        let live = self.testbed.users.live_jobs();
        let jobs: Vec<u64> = live.choose_multiple(&mut self.rng, count).copied().collect();
        self.testbed.users.cancel_jobs(&jobs);
        jobs.len()
    }
}
