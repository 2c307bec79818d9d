//! Selects faults at random and injects them into a testbed.

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

/// Time between two faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<Ms> = 300..3_000;
/// Minimum duration of a fault, in milliseconds.
const MIN_DURATION_MS: Ms = 500;
/// Downtime of a killed leader, in milliseconds.
const LEADER_DOWNTIME_MS: std::ops::Range<Ms> = 20..2_000;
/// Minimum downtime of a controller when all of them are killed, in milliseconds.
const MIN_DOWNTIME_MS: Ms = 20;
/// Fraction of the state service's outages that last longer than the time allowed for a
/// cancellation.
const LONG_OUTAGE_SHARE: f64 = 0.3;
/// Duration by which long outages exceed the time allowed for a cancellation, in milliseconds.
const LONG_OUTAGE_EXTRA_MS: Ms = 1_000;
/// Latency added to the answers of the state service, in milliseconds.
const STATE_LATENCY_MS: std::ops::Range<Ms> = 20..300;
/// Fraction of the transactions that are applied late or whose answers are dropped.
const TRANSACTION_FAULT_SHARE: f64 = 0.3;
/// Delay of a controller's traffic, in milliseconds.
const LINK_DELAY_MS: std::ops::Range<u64> = 10..400;
/// Fraction of the link faults that end with a reset of the controller's connections.
const RESET_AFTER_SHARE: f64 = 0.3;
/// Fraction of the heartbeats that are delivered a second time, in thousandths.
const LATE_COPIES_THOUSANDTHS: u32 = 300;
/// A machine fault affects one out of this many running machines, and at least one.
const MACHINES_PER_FAULT: usize = 5;
/// Maximum number of jobs that a cancel burst cancels.
const CANCEL_BURST_JOBS: usize = 6;

/// Maximum number of jobs that are cancelled before a period of short leader terms.
const SHORT_TERM_CANCELLATIONS: usize = 12;
/// Time from the cancellations before short leader terms to the first kill.
const SHORT_TERM_DELAY: Duration = Duration::from_millis(600);
/// Time for which leader terms stay short after the deadline of the cancellations, in
/// milliseconds.
const SHORT_TERM_EXTRA_MS: Ms = 1_500;
/// Fraction of the followers that are killed together with the leader.
const FOLLOWER_KILL_SHARE: f64 = 0.3;
/// Downtime of a controller that is killed to end a short leader term, in milliseconds.
const SHORT_TERM_DOWNTIME_MS: std::ops::Range<Ms> = 20..400;
/// Minimum duration of a short leader term, in milliseconds; the maximum is the heartbeat interval.
const MIN_TERM_MS: Ms = 100;
/// Interval of the checks for a new leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Injects faults of the given kinds until a point in time. Returns the kinds whose injection
/// failed, with the first error of each.
pub async fn inject_faults(
    testbed: Arc<Testbed>,
    kinds: Vec<FaultKind>,
    until: Ms,
    rng: SmallRng,
) -> BTreeMap<FaultKind, ControllerError> {
    let mut failed_kinds = BTreeMap::new();
    let clock = testbed.clock;
    let mut injector = Injector { testbed, rng };
    while clock.now() < until {
        let pause_ms = injector.rng.random_range(FAULT_INTERVAL_MS);
        clock.sleep_until((clock.now() + pause_ms).min(until)).await;
        let Some(kind) = kinds.choose(&mut injector.rng).copied() else { return failed_kinds };
        if clock.now() >= until {
            break;
        }
        if let Err(error) = injector.inject(kind).await {
            failed_kinds.entry(kind).or_insert(error);
        }
    }
    failed_kinds
}

struct Injector {
    testbed: Arc<Testbed>,
    rng: SmallRng,
}

/// A fault that affects links of a controller.
#[derive(Clone, Copy)]
struct LinkFault {
    kind: FaultKind,
    controller: usize,
    /// Index of the zone whose workers are partitioned from the controller.
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

    /// Ends a fault after a delay, in the background.
    fn recover_after<F>(&self, delay_ms: Ms, recovery: impl FnOnce(Arc<Testbed>) -> F)
    where
        F: std::future::Future<Output = ()> + Send + 'static,
    {
        let recovery = recovery(self.testbed.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            recovery.await;
        });
    }

    async fn inject(&mut self, kind: FaultKind) -> Result<(), ControllerError> {
        let max_duration_ms = self.testbed.deployment.worker_lease_ms * 3 / 2;
        let duration_ms = self.rng.random_range(MIN_DURATION_MS..max_duration_ms);
        match kind {
            FaultKind::ShortLeaderTerms => self.shorten_leader_terms().await?,
            FaultKind::KillLeader => self.kill_leader().await?,
            FaultKind::KillAll => self.kill_all().await?,
            FaultKind::Pause => self.pause_controller(duration_ms).await?,
            FaultKind::PartitionState | FaultKind::PartitionWorkers | FaultKind::DelayLinks => {
                self.inject_link_fault(kind, duration_ms)
            }
            FaultKind::ResetConnections => self.reset_connections(),
            FaultKind::StateOutage => self.start_state_outage(duration_ms),
            FaultKind::StateRefusal => self.start_leader_refusal(duration_ms),
            FaultKind::StateSlow => self.add_state_latency(duration_ms),
            FaultKind::LateWrites => {
                let fault = TransactionFault::Late(TRANSACTION_FAULT_SHARE);
                self.inject_transaction_fault(fault, duration_ms);
            }
            FaultKind::LostAnswers => {
                let fault = TransactionFault::AnswerLost(TRANSACTION_FAULT_SHARE);
                self.inject_transaction_fault(fault, duration_ms);
            }
            FaultKind::CloudOutage => self.start_cloud_outage(duration_ms),
            FaultKind::MachineHang
            | FaultKind::MachineMute
            | FaultKind::MachineDeaf
            | FaultKind::MachineCrash => self.inject_machine_fault(kind, duration_ms),
            FaultKind::LateHeartbeats => self.start_late_heartbeats(duration_ms),
            FaultKind::CancelBurst => {
                let count = self.cancel_jobs(CANCEL_BURST_JOBS);
                self.record(format!("{count} jobs are cancelled"));
            }
        }
        Ok(())
    }

    /// Selects the leader with a probability of one half, and otherwise any controller.
    fn draw_controller(&mut self) -> usize {
        match self.rng.random_bool(0.5) {
            true => self.testbed.fleet.leader(),
            false => self.rng.random_range(0..self.testbed.controllers.count()),
        }
    }

    async fn kill_leader(&mut self) -> Result<(), ControllerError> {
        let leader = self.testbed.fleet.leader();
        let down_ms = self.rng.random_range(LEADER_DOWNTIME_MS);
        self.kill_for(leader, down_ms).await
    }

    async fn kill_all(&mut self) -> Result<(), ControllerError> {
        for controller in 0..self.testbed.controllers.count() {
            let down_ms =
                self.rng.random_range(MIN_DOWNTIME_MS..self.testbed.deployment.worker_lease_ms);
            self.kill_for(controller, down_ms).await?;
        }
        Ok(())
    }

    /// Kills a controller and restarts it after its downtime.
    async fn kill_for(&self, controller: usize, down_ms: Ms) -> Result<(), ControllerError> {
        let name = Deployment::controller_name(controller);
        self.record(format!("{name} is killed and restarted after {down_ms} ms"));
        self.testbed.controllers.kill(controller).await;
        self.recover_after(down_ms, move |testbed| async move {
            // A failed restart does not stop the run. If no controller can be started, the run ends
            // without a leader, and the checker detects that.
            if let Err(error) = testbed.controllers.start(controller).await {
                let description = format!("{name} cannot be restarted: {error}");
                let event = EventKind::FaultInjected { description };
                testbed.history.record(testbed.clock.now(), event);
            }
        });
        Ok(())
    }

    /// Cancels jobs, then kills each leader soon after its election until the deadline of the
    /// cancellations has passed.
    async fn shorten_leader_terms(&mut self) -> Result<(), ControllerError> {
        let count = self.cancel_jobs(SHORT_TERM_CANCELLATIONS);
        self.record(format!("{count} jobs are cancelled, and leader terms are short"));
        tokio::time::sleep(SHORT_TERM_DELAY).await;
        let testbed = self.testbed.clone();
        let until =
            testbed.clock.now() + testbed.deployment.max_cancellation_ms + SHORT_TERM_EXTRA_MS;
        while testbed.clock.now() < until {
            let token = testbed.fleet.highest_token();
            self.kill_leader_and_some_followers().await?;
            // Waits until a worker has accepted an answer of the next leader.
            while testbed.fleet.highest_token() <= token && testbed.clock.now() < until {
                tokio::time::sleep(LEADER_CHECK_INTERVAL).await;
            }
            // Most terms are too short for a worker to send this leader a second heartbeat.
            let term_ms = self.rng.random_range(MIN_TERM_MS..testbed.deployment.heartbeat_ms);
            tokio::time::sleep(Duration::from_millis(term_ms)).await;
        }
        Ok(())
    }

    async fn kill_leader_and_some_followers(&mut self) -> Result<(), ControllerError> {
        let leader = self.testbed.fleet.leader();
        for controller in 0..self.testbed.controllers.count() {
            if controller == leader || self.rng.random_bool(FOLLOWER_KILL_SHARE) {
                let down_ms = self.rng.random_range(SHORT_TERM_DOWNTIME_MS);
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
        self.recover_after(duration_ms, move |testbed| async move {
            // Resuming fails only if the process has exited.
            let _ = testbed.controllers.resume(controller).await;
        });
        Ok(())
    }

    /// Partitions or delays links of a controller, in a random direction.
    fn inject_link_fault(&mut self, kind: FaultKind, duration_ms: Ms) {
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
        let resets_connections = self.rng.random_bool(RESET_AFTER_SHARE);
        self.recover_after(duration_ms, move |testbed| async move {
            fault.set_mode(&testbed, Direction::Both, LinkMode::Open);
            if resets_connections {
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
            true => self.testbed.deployment.max_cancellation_ms + LONG_OUTAGE_EXTRA_MS,
            false => duration_ms,
        };
        self.record(format!("the state service is unavailable for {duration_ms} ms"));
        self.testbed.state_service.start_outage(duration_ms);
    }

    fn start_leader_refusal(&mut self, duration_ms: Ms) {
        let leader = self.testbed.fleet.leader();
        let name = Deployment::controller_name(leader);
        self.record(format!("the state service refuses {name} for {duration_ms} ms"));
        self.testbed.state_service.refuse_controller(leader, duration_ms);
    }

    fn add_state_latency(&mut self, duration_ms: Ms) {
        let latency_ms = self.rng.random_range(STATE_LATENCY_MS);
        self.record(format!("the state service answers {latency_ms} ms late for {duration_ms} ms"));
        self.testbed.state_service.set_latency(latency_ms);
        self.recover_after(duration_ms, |testbed| async move {
            testbed.state_service.set_latency(0);
        });
    }

    fn inject_transaction_fault(&self, fault: TransactionFault, duration_ms: Ms) {
        self.record(format!("transactions: {fault:?} for {duration_ms} ms"));
        self.testbed.state_service.set_transaction_fault(fault);
        self.recover_after(duration_ms, |testbed| async move {
            testbed.state_service.set_transaction_fault(TransactionFault::None);
        });
    }

    fn start_cloud_outage(&self, duration_ms: Ms) {
        self.record(format!("the cloud is unavailable for {duration_ms} ms"));
        self.testbed.cloud.start_outage(duration_ms);
    }

    fn inject_machine_fault(&mut self, kind: FaultKind, duration_ms: Ms) {
        let running = self.testbed.cloud.running_machines();
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
                    fleet.set_faults(machine, |faults| faults.suspended_until = until);
                }
                FaultKind::MachineMute => {
                    fleet.set_faults(machine, |faults| faults.heartbeats_dropped_until = until);
                }
                _ => fleet.set_faults(machine, |faults| faults.answers_dropped_until = until),
            }
        }
    }

    fn start_late_heartbeats(&self, duration_ms: Ms) {
        self.record(format!("copies of heartbeats arrive late for {duration_ms} ms"));
        self.testbed.fleet.set_late_copy_thousandths(LATE_COPIES_THOUSANDTHS);
        self.recover_after(duration_ms, |testbed| async move {
            testbed.fleet.set_late_copy_thousandths(0);
        });
    }

    /// Makes users cancel up to `count` live jobs at random; returns the number of these jobs.
    fn cancel_jobs(&mut self, count: usize) -> usize {
        let live = self.testbed.users.live_jobs();
        let jobs: Vec<u64> = live.choose_multiple(&mut self.rng, count).copied().collect();
        self.testbed.users.cancel_jobs(&jobs);
        jobs.len()
    }
}
