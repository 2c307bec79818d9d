//! Cuts between zones, while both reach the state service: a follower beyond the cut answers the
//! workers there in the leader's place.

use super::*;

const DEPUTY: &str = "answered by a deputy";
/// Long enough that all leases beyond the cut would end.
const SPELL: u64 = LEASE * 5 / 2;

/// Plays a day with a cut that begins while the leader is one whose workers try a node of the
/// other zone next, and some trouble in it. A deputy must have answered.
fn cut_days(seeds: std::ops::Range<u64>, held: bool, trouble: impl Fn(&mut World, usize)) {
    let mut answered = 0;
    for seed in seeds {
        let mut w = meetings::busy(seed);
        w.long = true;
        w.play(60_000);
        let leader = w.leader_with_a_far_neighbour();
        w.zone_cut = Some((w.t + SPELL, held));
        w.quiet(SPELL);
        trouble(&mut w, leader);
        w.play(w.quiet_at.max(w.t) + 1_000);
        // What is started from here on is short, so that all of it can end.
        w.long = false;
        w.play(w.quiet_at.max(FAULTS_END) + 240_000);
        w.check_end();
        w.broken.truncate(5);
        assert!(w.broken.is_empty(), "seed {seed}: {:#?}", w.broken);
        answered += w.met.get(DEPUTY).copied().unwrap_or(0);
    }
    assert!(answered > 0, "no deputy answered");
}

impl World {
    /// Changes the leader until it is followed, in the order in which workers try the nodes, by
    /// one of another zone.
    fn leader_with_a_far_neighbour(&mut self) -> usize {
        for _ in 0..6 {
            if let Some(leader) = self.leader() {
                if leader % 2 != (leader + 1) % NODES % 2 {
                    return leader;
                }
                self.end(leader, 6_000);
            }
            self.play(self.t + 8_000);
        }
        self.leader().expect("somebody leads")
    }

    fn sessions(&self, zone: usize) -> Vec<(usize, u64)> {
        let up = |w: &&Worker| w.alive && w.zone == zone && !w.tasks.is_empty();
        let of = |(m, w): (usize, &Worker)| (m, w.session);
        self.workers.iter().enumerate().filter(|(_, w)| up(w)).map(of).collect()
    }
}

#[test]
fn leases_beyond_a_cut_are_kept() {
    for held in [true, false] {
        let mut kept = (0, 0);
        let count = std::cell::RefCell::new(&mut kept);
        cut_days(0..6, held, |w, leader| {
            let before = w.sessions(1 - leader % 2);
            w.play(w.t + SPELL - 500);
            let same = before.iter().filter(|(m, session)| w.workers[*m].session == *session);
            let mut kept = count.borrow_mut();
            kept.0 += same.count();
            kept.1 += before.len();
        });
        assert!(kept.1 > 5 && kept.0 * 4 >= kept.1 * 3, "{} of {} kept", kept.0, kept.1);
    }
}

#[test]
fn jobs_are_cancelled_while_a_deputy_answers() {
    for after in [1_000, 7_000, 14_000] {
        cut_days(0..6, after == 7_000, |w, _| {
            w.play(w.t + after);
            w.cancel_now(8, 0);
        });
    }
}

/// The deputy's word of jobs grows old while users cancel.
#[test]
fn a_deputy_without_word_of_jobs_renews_nobody_for_long() {
    cut_days(0..6, true, |w, leader| {
        w.play(w.t + 8_000);
        for i in (0..NODES).filter(|i| *i % 2 != leader % 2) {
            w.nodes[i].watch_lost_until = w.t + SPELL + 40_000;
        }
        w.zone_cut = Some((w.t + CANCEL + 15_000, true));
        w.quiet(CANCEL + 15_000);
        w.play(w.t + 1_000);
        w.cancel_now(8, 0);
        w.play(w.t + CANCEL + 15_000);
    });
}

#[test]
fn the_leader_ends_while_a_deputy_answers() {
    for back in [20, 400, 3_000, 20_000] {
        cut_days(0..6, back == 400, |w, leader| {
            w.play(w.t + 8_000);
            w.end(leader, back);
        });
    }
}

#[test]
fn the_leader_stands_still_while_a_deputy_answers() {
    cut_days(0..6, false, |w, leader| {
        w.play(w.t + 8_000);
        w.nodes[leader].freezes_until = w.t + 12_000;
        w.play(w.t + 3_000);
        w.cancel_now(6, 0);
    });
}

#[test]
fn deputies_stand_still_or_end_as_they_answer() {
    for back in [0, 20, 3_000] {
        cut_days(0..6, true, |w, leader| {
            w.play(w.t + 8_000);
            for i in (0..NODES).filter(|i| *i % 2 != leader % 2) {
                match back {
                    0 => w.nodes[i].freezes_until = w.t + 14_000,
                    _ => w.end(i, back),
                }
            }
            w.play(w.t + 2_000);
            w.cancel_now(4, 0);
        });
    }
}

/// A deputy that is refused, or whose watches hang, does not hear that its grant has ended.
#[test]
fn a_deputy_loses_the_state_service_as_the_cut_ends_for_others() {
    for cut in [true, false] {
        cut_days(0..6, true, |w, leader| {
            w.play(w.t + 8_000);
            let until = w.t + 20_000;
            for i in (0..NODES).filter(|i| *i % 2 != leader % 2) {
                match cut {
                    true => w.nodes[i].state_cut = Some((until, true)),
                    false => w.nodes[i].refused_until = until,
                }
            }
            w.quiet(20_000);
            w.cancel_now(4, 0);
        });
    }
}

#[test]
fn an_outage_falls_into_a_cut() {
    for spell in [2_000, 9_000, 20_000] {
        cut_days(0..6, spell == 9_000, |w, _| {
            w.play(w.t + 7_000);
            w.outage(spell);
            w.play(w.t + 1_000);
            w.cancel_now(4, 0);
        });
    }
}

/// Grants and confirmations are carried out late, or their answers are lost; the cut comes and
/// goes, so that grants end and begin again.
#[test]
fn cuts_come_and_go_while_writes_lag() {
    cut_days(0..8, false, |w, leader| {
        for round in 0..4u64 {
            let until = w.t + 24_000;
            w.late_writes = Partly { until, share: 0.4, other: round % 2 == 0 };
            w.late_reports = Partly { until, share: 0.4, other: false };
            w.zone_cut = Some((w.t + 6_000 + 3_000 * round, round % 2 == 1));
            w.play(w.t + 9_000 + 3_000 * round);
            w.cancel_now(2, 0);
        }
        let l = w.leader().unwrap_or(leader);
        w.end(l, 20);
        w.quiet(30_000);
    });
}

/// Machines beyond the cut stop or are taken, and their tasks are started elsewhere once the
/// leader may count on the end of their leases.
#[test]
fn machines_beyond_a_cut_are_lost() {
    cut_days(0..6, true, |w, leader| {
        w.play(w.t + 8_000);
        for m in 0..w.workers.len() {
            if w.workers[m].zone != leader % 2 && m % 2 == 0 {
                w.die(m);
            } else if w.workers[m].zone != leader % 2 && m % 3 == 0 {
                w.workers[m].hangs_until = w.t + 15_000;
            }
        }
    });
}
