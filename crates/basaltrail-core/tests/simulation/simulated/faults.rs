//! Troubles, alone and together.

use super::*;

impl World {
    pub(super) fn fault(&mut self) {
        let t = self.now;
        // Half of what hits a controller hits the one that leads.
        let leader = self.leader().filter(|_| self.rng.random_bool(0.5));
        let controller = leader.unwrap_or_else(|| self.rng.random_range(0..CONTROLLERS));
        let held = self.rng.random_bool(0.6);
        let spell = self.rng.random_range(2_000..25_000);
        let until = t + spell;
        let kind = self.rng.random_range(0..26);
        match kind {
            0 | 1 => self.crash(controller),
            2 => (0..CONTROLLERS).for_each(|i| self.crash(i)),
            3 => {
                let spell = self.rng.random_range(1_000..16_000);
                self.outage(spell);
            }
            4 => self.controllers[controller].store_cut = Some((until, held)),
            5 => self.controllers[controller].refused_until = until,
            6 => self.zone_cut = Some((until, held)),
            // Many at once: hangs shorter and longer than a lease.
            7 => self.hang(0.4, 1_000..14_000),
            8 => self.for_share_of_workers(0.3, |w| w.downlink_lost_until = until),
            9 if !self.workers.is_empty() => {
                let m = self.rng.random_range(0..self.workers.len());
                self.die(m);
            }
            10 => self.reclaim_spot_machines(),
            11 => self.controllers[controller].freezes_until = until,
            12 => {
                let zone = self.rng.random_range(0..2);
                self.cut_zone(zone, spell, held);
            }
            13 => self.controllers[controller].workers_cut = Some((until, held)),
            14 => {
                // Silent for a minute or more, and back.
                let delay_ms = self.rng.random_range(60_000..90_000);
                self.end(controller, delay_ms);
            }
            15 => self.slow_provisioning = (self.rng.random_range(0..2), until + 30_000),
            16 => self.poll_storm_until = until + 10_000,
            17 => {
                // The leader stands still, and so does its successor.
                self.controllers[controller].freezes_until = until;
                self.next_freeze = t + self.rng.random_range(4_000..9_000);
            }
            18.. => self.fault_of_messages(kind, controller, held, until),
            _ => {}
        }
        self.faults_over_at = self.faults_over_at.max(until).max(self.store.down_until);
    }

    /// The faults of what is sent, by users too: the second half of the kinds.
    fn fault_of_messages(&mut self, kind: u32, controller: usize, held: bool, until: u64) {
        match kind {
            18 => self.late_writes = LateWrites { until, share: 0.4, answer_lost: held },
            19 => {
                self.late_heartbeats = LateHeartbeats { until, share: 0.6, for_next_leader: held }
            }
            20 => self.for_share_of_workers(0.4, |w| w.uplink_lost_until = until),
            21 => {
                let hang = self.rng.random_range(0..14_000);
                self.cancel_now(6, hang);
            }
            22 => self.cancel_at_end = CancelAtEnd { until, share: 0.5 },
            23 => self.invalid_requests_until = until,
            24 => self.read_back_until = until,
            25 => {
                // The state service refuses the leader, and a moment later everybody.
                self.controllers[controller].refused_until = until;
                self.cancel_now(6, 0);
                let spell = self.rng.random_range(1_000..CANCEL_MS + 10_000);
                self.outage(spell);
            }
            _ => {}
        }
    }

    /// Spot machines are reclaimed in a wave, some without a notice.
    fn reclaim_spot_machines(&mut self) {
        let now = self.now;
        for w in self.workers.iter_mut().filter(|w| w.spot && w.reclaimed_at.is_none()) {
            if self.rng.random_bool(0.5) {
                w.reclaimed_at = Some(now + self.rng.random_range(2_000..9_000));
                w.reclaim_announced = self.rng.random_bool(0.7);
                w.next_heartbeat = w.next_heartbeat.min(now + 500);
            }
        }
    }

    /// The state service is out for all. After it all leases have their full time again.
    pub(super) fn outage(&mut self, spell: u64) {
        self.store.down_until = self.now + spell;
        for (life, end) in self.store.leases.values_mut() {
            *end = self.now + spell + *life;
        }
        self.extend_faults(spell);
    }

    /// A trouble of so long begins now.
    pub(super) fn extend_faults(&mut self, spell: u64) {
        self.faults_over_at = self.faults_over_at.max(self.now + spell);
    }

    /// Does something to a share of the machines.
    pub(super) fn for_share_of_workers(
        &mut self,
        share: f64,
        mut trouble: impl FnMut(&mut Worker),
    ) {
        for w in &mut self.workers {
            if self.rng.random_bool(share) {
                trouble(w);
            }
        }
    }

    pub(super) fn hang(&mut self, share: f64, spell: std::ops::Range<u64>) {
        for w in &mut self.workers {
            if self.rng.random_bool(share) {
                w.hung_until = self.now + self.rng.random_range(spell.clone());
            }
        }
        self.extend_faults(spell.end);
    }

    pub(super) fn die(&mut self, m: usize) {
        let w = &mut self.workers[m];
        w.alive = false;
        w.tasks.clear();
        w.died.get_or_insert(self.now);
    }

    /// A zone is cut off from everything; inside, it goes on.
    pub(super) fn cut_zone(&mut self, zone: usize, spell: u64, held: bool) {
        let until = self.now + spell;
        self.zone_cut = Some((until, held));
        for (_, c) in self.controllers.iter_mut().enumerate().filter(|(i, _)| i % 2 == zone) {
            c.store_cut = Some((until, held));
            c.isolated_until = until;
        }
        self.extend_faults(spell);
    }

    /// Users call off so many jobs that run, within a fifth of a second; up to eight of
    /// their machines hang.
    pub(super) fn cancel_now(&mut self, most: usize, hang: u64) {
        let t = self.now;
        let runs =
            |w: &Worker, job| w.tasks.iter().any(|(k, r)| k.0.job == job && Self::on_machine(r));
        let mut hung = 0;
        let mut called_off = 0;
        for i in 0..self.users.len() {
            let u = &self.users[i];
            let job = u.job;
            let on = self.workers.iter().any(|w| runs(w, job));
            if called_off >= most
                || !on
                || u.observed != Observed::Accepted
                || u.cancel_at.is_some()
            {
                continue;
            }
            called_off += 1;
            self.cancel(i);
            for w in self.workers.iter_mut().filter(|w| hang > 0 && runs(w, job)) {
                if hung < 8 && t >= w.hung_until {
                    w.hung_until = t + 150 + hang;
                    hung += 1;
                }
            }
        }
        self.extend_faults(hang + 150);
    }

    /// Notes a change of leader; what was kept of old reports then reaches every controller.
    pub(super) fn record_leader(&mut self) {
        let Some(leader) = self.leader() else { return };
        let epoch = self.controllers[leader].epoch;
        if self.leaders.last().is_some_and(|(_, l, e)| (*l, *e) == (leader, epoch)) {
            return;
        }
        self.leaders.push((self.now, leader, epoch));
        for heartbeat in std::mem::take(&mut self.held_heartbeats) {
            self.record_moment("old report at a new leader");
            for controller in 0..CONTROLLERS {
                let at = self.now + self.rng.random_range(0..40);
                let heartbeat = Box::new(heartbeat.clone());
                self.send(
                    at,
                    controller,
                    0,
                    Message::Input(Input::Heartbeat { req: RequestId(0), heartbeat }),
                );
            }
        }
    }

    pub(super) fn leader(&self) -> Option<usize> {
        self.controllers.iter().position(|c| c.process.as_ref().is_some_and(Process::leading))
    }

    pub(super) fn crash(&mut self, i: usize) {
        let delay_ms = [20, 100, 400, 3_000, 3_000][self.rng.random_range(0..5)];
        self.end(i, delay_ms);
    }

    /// Ends a process; it is started again after `delay_ms`.
    pub(super) fn end(&mut self, i: usize, delay_ms: u64) {
        self.controllers[i].process = None;
        self.controllers[i].epoch += 1;
        self.controllers[i].freezes_until = 0;
        self.controllers[i].frozen_until = 0;
        self.faults_over_at = self.faults_over_at.max(self.now + delay_ms);
        let epoch = self.controllers[i].epoch;
        self.send(self.now + delay_ms, i, epoch, Message::Tick);
    }

    pub(super) fn heal(&mut self) {
        let t = self.now;
        for c in &mut self.controllers {
            c.store_cut = c.store_cut.filter(|(until, _)| t < *until);
            c.workers_cut = c.workers_cut.filter(|(until, _)| t < *until);
        }
        self.zone_cut = self.zone_cut.filter(|(until, _)| t < *until);
    }
}
