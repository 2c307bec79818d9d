//! Faults, drawn at seeded random moments and carried out on the stand-ins, the links and the
//! controllers of a run.

use crate::clock::Ms;
use crate::controllers::ControllerError;
use crate::history::EventKind;
use crate::proxy::{Direction, Passage};
use crate::state::TransactionFault;
use crate::world::World;
use clap::ValueEnum;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum FaultKind {
    /// A burst of cancellations, and then no leader lives for more than a moment until all
    /// cancelled tasks must be gone
    ShortLeaderships,
    /// The leader ends, and is back soon
    EndLeader,
    /// All controllers end, and are back soon
    EndAll,
    /// A controller stands still (SIGSTOP) and goes on
    Pause,
    /// A controller loses the state service, in one direction or both
    CutState,
    /// A controller loses the workers of a zone, in one direction or both
    CutWorkers,
    /// The connections to a controller are reset
    Reset,
    /// Everything to and from a controller is delayed
    Delay,
    /// The state service is out
    StateOutage,
    /// The state service refuses the leader alone
    StateRefusal,
    /// The state service answers slowly
    StateSlow,
    /// Transactions are carried out late and not answered
    LateWrites,
    /// Transactions are carried out and not answered
    LostAnswers,
    /// The cloud's interface is out
    CloudOutage,
    /// Machines hang and go on
    MachineHang,
    /// Reports of some machines reach nobody
    MachineMute,
    /// Answers do not reach some machines
    MachineDeaf,
    /// Machines stop with all that is on them
    MachineStop,
    /// Copies of reports come late
    LateReports,
    /// Users call off many jobs at once
    CancelBurst,
}

impl FaultKind {
    /// All of them.
    pub fn all() -> Vec<FaultKind> {
        FaultKind::value_variants().to_vec()
    }

    /// Its name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map_or(String::new(), |value| value.get_name().to_string())
    }
}

/// Draws faults from those allowed until a moment; what cannot be carried out is returned.
pub async fn play(
    world: Arc<World>,
    kinds: Vec<FaultKind>,
    until: Ms,
    mut rng: SmallRng,
) -> BTreeMap<FaultKind, String> {
    let mut not_run = BTreeMap::new();
    while world.clock.now() < until {
        let pause = rng.random_range(300..3_000);
        world.clock.sleep_until((world.clock.now() + pause).min(until)).await;
        let Some(kind) = kinds.choose(&mut rng).copied() else { return not_run };
        if world.clock.now() >= until {
            break;
        }
        if let Err(error) = world.carry_out(kind, &mut rng).await {
            not_run.entry(kind).or_insert_with(|| error.to_string());
        }
    }
    not_run
}

impl World {
    fn note(&self, text: String) {
        self.history.record(self.clock.now(), EventKind::FaultInjected { description: text });
    }

    /// Undoes something after a while, beside whatever else happens.
    fn later<F>(self: &Arc<Self>, after: Ms, what: impl FnOnce(Arc<World>) -> F)
    where
        F: std::future::Future<Output = ()> + Send + 'static,
    {
        let undo = what(self.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(after)).await;
            undo.await;
        });
    }

    async fn carry_out(
        self: &Arc<Self>,
        kind: FaultKind,
        rng: &mut SmallRng,
    ) -> Result<(), ControllerError> {
        let lease = self.deployment.lease_ms;
        let spell = rng.random_range(500..lease * 3 / 2);
        match kind {
            FaultKind::ShortLeaderships => self.short_leaderships(rng).await?,
            FaultKind::EndLeader => {
                let leader = self.leader();
                self.end_for(leader, rng.random_range(20..2_000)).await?;
            }
            FaultKind::EndAll => {
                for node in 0..self.controllers.count() {
                    self.end_for(node, rng.random_range(20..lease)).await?;
                }
            }
            FaultKind::Pause => self.pause(rng, spell).await?,
            FaultKind::CutState | FaultKind::CutWorkers | FaultKind::Delay => {
                self.trouble_links(kind, rng, spell);
            }
            FaultKind::Reset => {
                let node = self.any_node(rng);
                self.note(format!("links of stack-{node} are reset"));
                self.links_of(node).for_each(|link| link.reset());
            }
            FaultKind::StateOutage => {
                // Now and then for longer than a cancellation may take.
                let long = rng.random_bool(0.3);
                let spell = if long { self.deployment.cancel_ms + 1_000 } else { spell };
                self.note(format!("the state service is out for {spell} ms"));
                self.state.outage(spell);
            }
            FaultKind::StateRefusal => {
                let leader = self.leader();
                self.note(format!("the state service refuses stack-{leader} for {spell} ms"));
                self.state.refuse(leader, spell);
            }
            FaultKind::StateSlow => {
                let slow = rng.random_range(20..300);
                self.note(format!("the state service answers {slow} ms late for {spell} ms"));
                self.state.slow(slow);
                self.later(spell, |world| async move { world.state.slow(0) });
            }
            FaultKind::LateWrites => self.trouble_writes(TransactionFault::Late(0.3), spell),
            FaultKind::LostAnswers => self.trouble_writes(TransactionFault::AnswerLost(0.3), spell),
            FaultKind::CloudOutage => {
                self.note(format!("the cloud is out for {spell} ms"));
                self.cloud.outage(spell);
            }
            FaultKind::MachineHang
            | FaultKind::MachineMute
            | FaultKind::MachineDeaf
            | FaultKind::MachineStop => self.trouble_machines(kind, rng, spell),
            FaultKind::LateReports => {
                self.note(format!("copies of reports come late for {spell} ms"));
                self.fleet.copies.store(300, Ordering::Relaxed);
                self.later(spell, |world| async move {
                    world.fleet.copies.store(0, Ordering::Relaxed);
                });
            }
            FaultKind::CancelBurst => {
                let live = self.users.live();
                let jobs: Vec<u64> = live.choose_multiple(rng, 6).copied().collect();
                self.note(format!("{} jobs are called off", jobs.len()));
                self.users.call_off(&jobs);
            }
        }
        Ok(())
    }

    /// The controller that answers workers with the highest token.
    fn leader(&self) -> usize {
        self.fleet.leader.load(Ordering::Relaxed)
    }

    fn any_node(&self, rng: &mut SmallRng) -> usize {
        match rng.random_bool(0.5) {
            true => self.leader(),
            false => rng.random_range(0..self.controllers.count()),
        }
    }

    async fn end_for(self: &Arc<Self>, node: usize, away: Ms) -> Result<(), ControllerError> {
        self.note(format!("stack-{node} ends, back after {away} ms"));
        self.controllers.end(node).await;
        self.later(away, move |world| async move {
            // A program that starts no more is found by the end of the run: no leader is left.
            if let Err(error) = world.controllers.start(node).await {
                world.note(format!("stack-{node} does not start: {error}"));
            }
        });
        Ok(())
    }

    async fn short_leaderships(
        self: &Arc<Self>,
        rng: &mut SmallRng,
    ) -> Result<(), ControllerError> {
        let live = self.users.live();
        let jobs: Vec<u64> = live.choose_multiple(rng, 12).copied().collect();
        self.note(format!("{} jobs are called off, and no leader lives long", jobs.len()));
        self.users.call_off(&jobs);
        tokio::time::sleep(Duration::from_millis(600)).await;
        let until = self.clock.now() + self.deployment.cancel_ms + 1_500;
        while self.clock.now() < until {
            let token = self.fleet.token.load(Ordering::Relaxed);
            let leader = self.leader();
            for node in 0..self.controllers.count() {
                if node == leader || rng.random_bool(0.3) {
                    self.end_for(node, rng.random_range(20..400)).await?;
                }
            }
            // Until the next one has been heard, and a moment longer.
            while self.fleet.token.load(Ordering::Relaxed) <= token && self.clock.now() < until {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            // Mostly too short for a worker's second report to it.
            let lives = rng.random_range(100..self.deployment.report_ms);
            tokio::time::sleep(Duration::from_millis(lives)).await;
        }
        Ok(())
    }

    async fn pause(self: &Arc<Self>, rng: &mut SmallRng, spell: Ms) -> Result<(), ControllerError> {
        let node = self.any_node(rng);
        if !self.controllers.pause(node).await? {
            return Ok(());
        }
        self.note(format!("stack-{node} stands still for {spell} ms"));
        self.later(spell, move |world| async move {
            let _ = world.controllers.resume(node).await;
        });
        Ok(())
    }

    fn trouble_links(self: &Arc<Self>, kind: FaultKind, rng: &mut SmallRng, spell: Ms) {
        let node = self.any_node(rng);
        let ways = [Direction::Forward, Direction::Backward, Direction::Both];
        let direction = ways.choose(rng).copied().unwrap_or(Direction::Both);
        let zone = rng.random_range(0..self.links.workers.len());
        let delay = Duration::from_millis(rng.random_range(10..400));
        let passage = match kind {
            FaultKind::Delay => Passage::Delayed(delay),
            _ => Passage::Held,
        };
        self.note(format!(
            "{} of stack-{node}: {passage:?} {direction:?}, {spell} ms",
            kind.name()
        ));
        self.set_links(kind, node, zone, direction, passage);
        let resets = rng.random_bool(0.3);
        self.later(spell, move |world| async move {
            world.set_links(kind, node, zone, Direction::Both, Passage::Open);
            if resets {
                world.links_of(node).for_each(|link| link.reset());
            }
        });
    }

    fn set_links(
        &self,
        kind: FaultKind,
        node: usize,
        zone: usize,
        direction: Direction,
        passage: Passage,
    ) {
        match kind {
            FaultKind::CutState => self.links.state[node].set(direction, passage),
            FaultKind::CutWorkers => self.links.workers[zone][node].set(direction, passage),
            _ => self.links_of(node).for_each(|link| link.set(direction, passage)),
        }
    }

    fn trouble_writes(self: &Arc<Self>, fault: TransactionFault, spell: Ms) {
        self.note(format!("transactions: {fault:?} for {spell} ms"));
        self.state.transactions(fault);
        self.later(spell, |world| async move {
            world.state.transactions(TransactionFault::None);
        });
    }

    fn trouble_machines(&self, kind: FaultKind, rng: &mut SmallRng, spell: Ms) {
        let running = self.cloud.running();
        let count = (running.len() / 5).max(1);
        let until = self.clock.now() + spell;
        let names: Vec<String> =
            running.choose_multiple(rng, count).map(|machine| machine.name.clone()).collect();
        self.note(format!("{} for {spell} ms: {}", kind.name(), names.join(" ")));
        for name in names {
            match kind {
                FaultKind::MachineStop => self.cloud.stop(&name),
                FaultKind::MachineHang => {
                    self.fleet.set_trouble(&name, |trouble| trouble.hangs_until = until);
                }
                FaultKind::MachineMute => {
                    self.fleet.set_trouble(&name, |trouble| trouble.mute_until = until);
                }
                _ => self.fleet.set_trouble(&name, |trouble| trouble.deaf_until = until),
            }
        }
    }
}
