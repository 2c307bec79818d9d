//! Troubles, alone and together.

use super::*;

impl World {
    pub(super) fn fault(&mut self) {
        let t = self.t;
        // Half of what hits a controller hits the one that leads.
        let leader = self.leader().filter(|_| self.rng.random_bool(0.5));
        let node = leader.unwrap_or_else(|| self.rng.random_range(0..NODES));
        let held = self.rng.random_bool(0.6);
        let long = t + self.rng.random_range(2_000..25_000);
        match self.rng.random_range(0..18) {
            0 | 1 => self.crash(node),
            2 => (0..NODES).for_each(|i| self.crash(i)),
            3 => {
                self.store.down_until = t + self.rng.random_range(1_000..16_000);
                // All leases have their full time again.
                let up = self.store.down_until;
                for (life, end) in self.store.loans.values_mut() {
                    *end = up + *life;
                }
            }
            4 => self.nodes[node].state_cut = Some((long, held)),
            5 => self.nodes[node].refused_until = long,
            6 => self.zone_cut = Some((long, held)),
            7 => {
                // Many at once: hangs shorter and longer than a lease.
                for w in &mut self.workers {
                    if self.rng.random_bool(0.4) {
                        w.hangs_until = t + self.rng.random_range(1_000..14_000);
                    }
                }
            }
            8 => {
                for w in &mut self.workers {
                    if self.rng.random_bool(0.3) {
                        w.deaf_until = long;
                    }
                }
            }
            9 if !self.workers.is_empty() => {
                let m = self.rng.random_range(0..self.workers.len());
                let w = &mut self.workers[m];
                w.alive = false;
                w.tasks.clear();
                w.died.get_or_insert(t);
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
            11 => self.nodes[node].freezes_until = long,
            12 => {
                // A zone is cut off from everything; inside, it goes on.
                let zone = self.rng.random_range(0..2);
                self.zone_cut = Some((long, held));
                for (_, c) in self.nodes.iter_mut().enumerate().filter(|(i, _)| i % 2 == zone) {
                    c.state_cut = Some((long, held));
                    c.island_until = long;
                }
            }
            13 => self.nodes[node].workers_cut = Some((long, held)),
            14 => {
                // Silent for a minute or more, and back.
                let wait = self.rng.random_range(60_000..90_000);
                self.end(node, wait);
            }
            15 => self.boot_trouble = (self.rng.random_range(0..2), long + 30_000),
            16 => self.storm_until = long + 10_000,
            17 => {
                // The leader stands still, and so does its successor.
                self.nodes[node].freezes_until = long;
                self.next_freeze = t + self.rng.random_range(4_000..9_000);
            }
            _ => {}
        }
        self.quiet_at = self.quiet_at.max(long).max(self.store.down_until);
    }

    pub(super) fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|c| c.node.as_ref().is_some_and(Node::leading))
    }

    pub(super) fn crash(&mut self, i: usize) {
        let wait = [20, 100, 400, 3_000, 3_000][self.rng.random_range(0..5)];
        self.end(i, wait);
    }

    /// Ends a process; it is started again after `wait`.
    pub(super) fn end(&mut self, i: usize, wait: u64) {
        self.nodes[i].node = None;
        self.nodes[i].epoch += 1;
        self.nodes[i].freezes_until = 0;
        self.nodes[i].frozen_until = 0;
        self.quiet_at = self.quiet_at.max(self.t + wait);
        let epoch = self.nodes[i].epoch;
        self.send(self.t + wait, i, epoch, Msg::Tick);
    }

    pub(super) fn heal(&mut self) {
        let t = self.t;
        for c in &mut self.nodes {
            c.state_cut = c.state_cut.filter(|(until, _)| t < *until);
            c.workers_cut = c.workers_cut.filter(|(until, _)| t < *until);
        }
        self.zone_cut = self.zone_cut.filter(|(until, _)| t < *until);
    }
}
