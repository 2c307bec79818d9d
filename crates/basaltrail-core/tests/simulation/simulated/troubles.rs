//! Troubles, alone and together.

use super::*;

impl World {
    pub(super) fn fault(&mut self) {
        let t = self.t;
        // Half of what hits a controller hits the one that leads.
        let leader = self.leader().filter(|_| self.rng.random_bool(0.5));
        let controller = leader.unwrap_or_else(|| self.rng.random_range(0..CONTROLLERS));
        let held = self.rng.random_bool(0.6);
        let spell = self.rng.random_range(2_000..25_000);
        let long = t + spell;
        match self.rng.random_range(0..26) {
            0 | 1 => self.crash(controller),
            2 => (0..CONTROLLERS).for_each(|i| self.crash(i)),
            3 => {
                let spell = self.rng.random_range(1_000..16_000);
                self.outage(spell);
            }
            4 => self.controllers[controller].state_cut = Some((long, held)),
            5 => self.controllers[controller].refused_until = long,
            6 => self.zone_cut = Some((long, held)),
            // Many at once: hangs shorter and longer than a lease.
            7 => self.hang(0.4, 1_000..14_000),
            8 => self.some(0.3, |w| w.deaf_until = long),
            9 if !self.workers.is_empty() => {
                let m = self.rng.random_range(0..self.workers.len());
                self.die(m);
            }
            10 => {
                // Spot machines are taken back in a wave, some without a word before.
                for w in self.workers.iter_mut().filter(|w| w.spot && w.taken_at.is_none()) {
                    if self.rng.random_bool(0.5) {
                        w.taken_at = Some(t + self.rng.random_range(2_000..9_000));
                        w.noticed = self.rng.random_bool(0.7);
                        w.next_report = w.next_report.min(t + 500);
                    }
                }
            }
            11 => self.controllers[controller].freezes_until = long,
            12 => {
                let zone = self.rng.random_range(0..2);
                self.cut_zone(zone, spell, held);
            }
            13 => self.controllers[controller].workers_cut = Some((long, held)),
            14 => {
                // Silent for a minute or more, and back.
                let wait = self.rng.random_range(60_000..90_000);
                self.end(controller, wait);
            }
            15 => self.boot_trouble = (self.rng.random_range(0..2), long + 30_000),
            16 => self.storm_until = long + 10_000,
            17 => {
                // The leader stands still, and so does its successor.
                self.controllers[controller].freezes_until = long;
                self.next_freeze = t + self.rng.random_range(4_000..9_000);
            }
            18 => self.late_writes = Partly { until: long, share: 0.4, other: held },
            19 => self.late_reports = Partly { until: long, share: 0.6, other: held },
            20 => self.some(0.4, |w| w.mute_until = long),
            21 => {
                let hang = self.rng.random_range(0..14_000);
                self.cancel_now(6, hang);
            }
            22 => self.cancel_at_end = Partly { until: long, share: 0.5, other: false },
            23 => self.odd_until = long,
            24 => self.looks_until = long,
            25 => {
                // The state service refuses the leader, and a moment later everybody.
                self.controllers[controller].refused_until = long;
                self.cancel_now(6, 0);
                let spell = self.rng.random_range(1_000..CANCEL + 10_000);
                self.outage(spell);
            }
            _ => {}
        }
        self.quiet_at = self.quiet_at.max(long).max(self.store.down_until);
    }

    /// The state service is out for all. After it all leases have their full time again.
    pub(super) fn outage(&mut self, spell: u64) {
        self.store.down_until = self.t + spell;
        for (life, end) in self.store.leases.values_mut() {
            *end = self.t + spell + *life;
        }
        self.quiet(spell);
    }

    /// A trouble of so long begins now.
    pub(super) fn quiet(&mut self, spell: u64) {
        self.quiet_at = self.quiet_at.max(self.t + spell);
    }

    /// Does something to a share of the machines.
    pub(super) fn some(&mut self, share: f64, mut trouble: impl FnMut(&mut Worker)) {
        for w in &mut self.workers {
            if self.rng.random_bool(share) {
                trouble(w);
            }
        }
    }

    pub(super) fn hang(&mut self, share: f64, spell: std::ops::Range<u64>) {
        for w in &mut self.workers {
            if self.rng.random_bool(share) {
                w.hangs_until = self.t + self.rng.random_range(spell.clone());
            }
        }
        self.quiet(spell.end);
    }

    pub(super) fn die(&mut self, m: usize) {
        let w = &mut self.workers[m];
        w.alive = false;
        w.tasks.clear();
        w.died.get_or_insert(self.t);
    }

    /// A zone is cut off from everything; inside, it goes on.
    pub(super) fn cut_zone(&mut self, zone: usize, spell: u64, held: bool) {
        let until = self.t + spell;
        self.zone_cut = Some((until, held));
        for (_, c) in self.controllers.iter_mut().enumerate().filter(|(i, _)| i % 2 == zone) {
            c.state_cut = Some((until, held));
            c.island_until = until;
        }
        self.quiet(spell);
    }

    /// Users call off so many jobs that run, within a fifth of a second; up to eight of
    /// their machines hang.
    pub(super) fn cancel_now(&mut self, most: usize, hang: u64) {
        let t = self.t;
        let runs =
            |w: &Worker, job| w.tasks.iter().any(|(k, r)| k.0.job == job && Self::on_machine(r));
        let mut hung = 0;
        let mut called_off = 0;
        for i in 0..self.users.len() {
            let u = &self.users[i];
            let job = u.job;
            let on = self.workers.iter().any(|w| runs(w, job));
            if called_off >= most || !on || u.told != Told::Accepted || u.cancel_at.is_some() {
                continue;
            }
            called_off += 1;
            self.cancel(i);
            for w in self.workers.iter_mut().filter(|w| hang > 0 && runs(w, job)) {
                if hung < 8 && t >= w.hangs_until {
                    w.hangs_until = t + 150 + hang;
                    hung += 1;
                }
            }
        }
        self.quiet(hang + 150);
    }

    /// Notes a change of leader; what was kept of old reports then reaches every controller.
    pub(super) fn note_leader(&mut self) {
        let Some(leader) = self.leader() else { return };
        let epoch = self.controllers[leader].epoch;
        if self.leaders.last().is_some_and(|(_, l, e)| (*l, *e) == (leader, epoch)) {
            return;
        }
        self.leaders.push((self.t, leader, epoch));
        for heartbeat in std::mem::take(&mut self.kept_reports) {
            self.meet("old report at a new leader");
            for controller in 0..CONTROLLERS {
                let at = self.t + self.rng.random_range(0..40);
                let heartbeat = Box::new(heartbeat.clone());
                self.send(
                    at,
                    controller,
                    0,
                    Msg::Input(Input::Heartbeat { req: RequestId(0), heartbeat }),
                );
            }
        }
    }

    pub(super) fn leader(&self) -> Option<usize> {
        self.controllers.iter().position(|c| c.process.as_ref().is_some_and(Process::leading))
    }

    pub(super) fn crash(&mut self, i: usize) {
        let wait = [20, 100, 400, 3_000, 3_000][self.rng.random_range(0..5)];
        self.end(i, wait);
    }

    /// Ends a process; it is started again after `wait`.
    pub(super) fn end(&mut self, i: usize, wait: u64) {
        self.controllers[i].process = None;
        self.controllers[i].epoch += 1;
        self.controllers[i].freezes_until = 0;
        self.controllers[i].frozen_until = 0;
        self.quiet_at = self.quiet_at.max(self.t + wait);
        let epoch = self.controllers[i].epoch;
        self.send(self.t + wait, i, epoch, Msg::Tick);
    }

    pub(super) fn heal(&mut self) {
        let t = self.t;
        for c in &mut self.controllers {
            c.state_cut = c.state_cut.filter(|(until, _)| t < *until);
            c.workers_cut = c.workers_cut.filter(|(until, _)| t < *until);
        }
        self.zone_cut = self.zone_cut.filter(|(until, _)| t < *until);
    }
}
