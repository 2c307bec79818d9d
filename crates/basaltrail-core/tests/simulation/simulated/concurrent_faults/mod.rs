//! Two troubles at once. Each day is written so that its meeting comes about for certain, and
//! says so: a day in which it did not would prove nothing.

mod leaders;
mod store;
mod users;
mod workers;

use super::*;

/// Jobs enough to fill the machines: arrays of every placement wish, of all teams.
fn busy(seed: u64) -> World {
    let mut world = World::new(seed);
    for (i, u) in world.users.iter_mut().enumerate() {
        // Cancellations come from the days; most jobs are there early.
        u.faulty_job = false;
        u.cancel_at = u.spec.is_service().then_some(210_000);
        u.at = 2_000 + i as u64 * 1_500;
        u.spec.tasks = u.spec.tasks.min(6);
    }
    world.reschedule_users();
    world.services_only_where_known();
    world
}

/// Plays a day for several seeds; every moment named has to come about on each.
fn days(moments: &[&'static str], day: impl Fn(&mut World)) {
    for seed in 0..4 {
        let mut world = busy(seed);
        day(&mut world);
        // What is started from here on is short, so that all of it can end.
        world.long_tasks = false;
        world.run_until(world.faults_over_at.max(world.now) + 230_000);
        world.check_end();
        world.violations.truncate(5);
        assert!(world.violations.is_empty(), "seed {seed}: {:#?}", world.violations);
        for m in moments {
            assert!(
                world.moments.contains_key(m),
                "seed {seed}: not met: {m}; {:?}",
                world.moments
            );
        }
    }
}

impl World {
    pub(super) fn reschedule_users(&mut self) {
        self.queue.retain(|_, (_, _, m)| !matches!(m, Message::User(_)));
        for i in 0..self.users.len() {
            self.send(self.users[i].at, usize::MAX, 0, Message::User(i));
        }
    }

    pub(super) fn run_for(&mut self, ms: u64) {
        self.run_until(self.now + ms);
    }

    /// Plays until somebody leads.
    pub(super) fn await_leader(&mut self) -> usize {
        for _ in 0..3_000 {
            if let Some(l) = self.leader() {
                return l;
            }
            self.run_for(20);
        }
        panic!("nobody leads at {}", self.now);
    }

    pub(super) fn refuse(&mut self, controller: usize, spell: u64) {
        self.controllers[controller].refused_until = self.now + spell;
        self.extend_faults(spell);
    }

    pub(super) fn cut_from_store(&mut self, controller: usize, spell: u64, held: bool) {
        self.controllers[controller].store_cut = Some((self.now + spell, held));
        self.extend_faults(spell);
    }

    pub(super) fn changes_of_leader(&self, since: u64) -> usize {
        self.leaders.iter().filter(|(t, ..)| *t > since).count()
    }

    /// Ends whoever leads, until another one does.
    pub(super) fn fail_over(&mut self, back: u64) -> usize {
        let old = self.await_leader();
        self.end(old, back);
        self.run_for(20);
        self.await_leader()
    }

    /// Whether a task runs of a job whose user has been told that it is cancelled.
    pub(super) fn cancelled_runs(&self) -> bool {
        self.users.iter().any(|u| {
            let on =
                |w: &Worker| w.tasks.iter().any(|(k, r)| k.0.job == u.job && Self::on_machine(r));
            matches!(u.observed, Observed::Cancelled(_)) && self.workers.iter().any(on)
        })
    }
}

const CANCELLED_BESIDE_REFUSED_LEADER: &str = "cancelled beside a leader that is refused";
const CANCELLED_WHILE_RUNNING: &str = "cancelled as it ran";
const CANCELLED_WHILE_UNREACHABLE: &str = "cancelled out of reach";
