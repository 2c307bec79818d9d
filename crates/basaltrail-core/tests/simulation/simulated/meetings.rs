//! Two troubles at once. Each day is written so that its meeting comes about for certain, and
//! says so: a day in which it did not would prove nothing.

use super::*;

/// Jobs enough to fill the machines: arrays of every placement wish, of all teams.
fn busy(seed: u64) -> World {
    let mut w = World::new(seed);
    for (i, u) in w.users.iter_mut().enumerate() {
        // Cancellations come from the days; most jobs are there early.
        u.broken = false;
        u.cancel_at = u.spec.is_service().then_some(210_000);
        u.at = 2_000 + i as u64 * 1_500;
        u.spec.tasks = u.spec.tasks.min(6);
    }
    w.restart_users();
    w.services_only_where_known();
    w
}

/// Plays a day for several seeds; every moment named has to come about on each.
fn days(moments: &[&'static str], day: impl Fn(&mut World)) {
    for seed in 0..4 {
        let mut w = busy(seed);
        day(&mut w);
        // What is started from here on is short, so that all of it can end.
        w.long = false;
        w.play(w.quiet_at.max(w.t) + 230_000);
        w.check_end();
        w.broken.truncate(5);
        assert!(w.broken.is_empty(), "seed {seed}: {:#?}", w.broken);
        for m in moments {
            assert!(w.met.contains_key(m), "seed {seed}: not met: {m}; {:?}", w.met);
        }
    }
}

impl World {
    pub(super) fn restart_users(&mut self) {
        self.queue.retain(|_, (_, _, m)| !matches!(m, Msg::User(_)));
        for i in 0..self.users.len() {
            self.send(self.users[i].at, usize::MAX, 0, Msg::User(i));
        }
    }

    fn wait(&mut self, ms: u64) {
        self.play(self.t + ms);
    }

    /// Plays until somebody leads.
    fn led(&mut self) -> usize {
        for _ in 0..3_000 {
            if let Some(l) = self.leader() {
                return l;
            }
            self.wait(20);
        }
        panic!("nobody leads at {}", self.t);
    }

    fn refuse(&mut self, controller: usize, spell: u64) {
        self.controllers[controller].refused_until = self.t + spell;
        self.quiet(spell);
    }

    fn cut_from_state(&mut self, controller: usize, spell: u64, held: bool) {
        self.controllers[controller].state_cut = Some((self.t + spell, held));
        self.quiet(spell);
    }

    fn changes_of_leader(&self, since: u64) -> usize {
        self.leaders.iter().filter(|(t, ..)| *t > since).count()
    }

    /// Ends whoever leads, until another one does.
    fn hand_over(&mut self, back: u64) -> usize {
        let old = self.led();
        self.end(old, back);
        self.wait(20);
        self.led()
    }

    /// Whether a task runs of a job whose user has been told that it is cancelled.
    fn cancelled_runs(&self) -> bool {
        self.users.iter().any(|u| {
            let on =
                |w: &Worker| w.tasks.iter().any(|(k, r)| k.0.job == u.job && Self::on_machine(r));
            matches!(u.told, Told::Cancelled(_)) && self.workers.iter().any(on)
        })
    }
}

const BESIDE: &str = "cancelled beside a leader that is refused";
const RAN: &str = "cancelled as it ran";
const FAR: &str = "cancelled out of reach";

/// The gap: the service refuses the leader, another controller confirms cancellations, and then it is
/// out for all, for longer than `cancel_s`.
fn gap(shut: impl Fn(&mut World, usize), before: u64, outage: u64, meanwhile: impl Fn(&mut World)) {
    days(&[RAN], |w| {
        w.long = true;
        w.wait(60_000);
        let leader = w.led();
        shut(w, leader);
        w.cancel_now(12, 0);
        w.wait(before);
        w.outage(outage);
        meanwhile(w);
        w.play(w.store.down_until - 200);
        if outage > CANCEL {
            assert!(!w.cancelled_runs(), "runs on in the gap");
        }
        // Who leads after it hears of what was cancelled late, by its watch alone.
        let until = w.t + 6_000;
        w.controllers.iter_mut().for_each(|c| c.watch_lost_until = until);
        w.quiet(6_200);
    });
}

#[test]
fn refused_leader_then_outage() {
    gap(|w, l| w.refuse(l, 14_000), 2_000, CANCEL + 12_000, |_| {});
    gap(|w, l| w.refuse(l, 14_000), 1_000, CANCEL + 500, |_| {});
    // At the very moment, and refused for longer than the outage.
    gap(|w, l| w.refuse(l, 60_000), 300, CANCEL + 5_000, |_| {});
    gap(|w, l| w.refuse(l, 14_000), 2_000, LEASE - 1_000, |_| {});
}

#[test]
fn cut_leader_then_outage() {
    gap(|w, l| w.cut_from_state(l, 14_000, true), 2_000, CANCEL + 12_000, |_| {});
    gap(|w, l| w.cut_from_state(l, 14_000, false), 2_000, CANCEL + 12_000, |_| {});
    gap(|w, l| w.cut_from_state(l, CANCEL + 15_000, true), 1_000, CANCEL + 12_000, |_| {});
    gap(|w, l| w.cut_from_state(l, 9_000, true), 1_000, LEASE, |_| {});
}

#[test]
fn refused_leader_stands_still_or_is_restarted_in_the_outage() {
    let still = |w: &mut World| {
        let l = w.leaders.last().unwrap().1;
        w.controllers[l].freezes_until = w.t + CANCEL + 11_900;
    };
    gap(|w, l| w.refuse(l, 14_000), 1_000, CANCEL + 12_000, still);
    // It goes on while its workers still have their leases.
    gap(
        |w, l| w.refuse(l, 60_000),
        1_000,
        CANCEL + 12_000,
        |w| {
            let l = w.leaders.last().unwrap().1;
            w.controllers[l].freezes_until = w.t + 3_500;
        },
    );
    gap(
        |w, l| w.refuse(l, 14_000),
        1_000,
        CANCEL + 12_000,
        |w| {
            w.wait(4_000);
            let l = w.leaders.last().unwrap().1;
            w.end(l, 20);
            w.wait(CANCEL);
            (0..CONTROLLERS).for_each(|i| w.end(i, 100));
        },
    );
}

#[test]
fn leader_refused_as_users_cancel() {
    days(&[BESIDE], |w| {
        w.long = true;
        w.wait(60_000);
        let leader = w.led();
        // So long that whoever kept its workers would keep what was cancelled, too.
        w.refuse(leader, CANCEL + 15_000);
        for _ in 0..4 {
            w.cancel_now(4, 0);
            w.wait(400);
        }
        w.wait(CANCEL + 15_000);
    });
}

#[test]
fn isolated_leader_keeps_its_workers_as_jobs_are_cancelled_elsewhere() {
    for held in [true, false] {
        days(&[RAN], |w| {
            w.long = true;
            w.wait(60_000);
            let old = w.led();
            w.cut_from_state(old, 30_000, held);
            w.wait(500);
            w.cancel_now(4, 0);
            w.wait(6_000);
            let new = w.led();
            assert!(new != old, "no successor");
            w.cancel_now(6, 0);
            w.wait(CANCEL);
            w.end(new, 400);
        });
    }
}

#[test]
fn old_reports_after_newer_ones() {
    days(&["cancelled as it ran"], |w| {
        w.late_reports = Partly { until: 100_000, share: 0.8, other: false };
        w.wait(50_000);
        w.hand_over(20);
        // A agent epoch ends and the next begins, with copies of the last on their way.
        w.hang(0.6, LEASE..LEASE + 4_000);
        w.wait(20_000);
        w.cancel_now(5, 0);
        w.hand_over(3_000);
        w.quiet(3 * LEASE);
    });
}

#[test]
fn old_reports_reach_every_node_as_a_new_leader_begins() {
    days(&["old report at a new leader", FAR], |w| {
        w.long = true;
        w.late_reports = Partly { until: 150_000, share: 0.9, other: true };
        w.wait(60_000);
        let (old, cut) = (w.led(), w.t + LEASE * 3 / 2);
        // Some whose reports are kept are not heard of by the successor itself.
        w.some(0.4, |m| m.mute_until = cut);
        w.cancel_now(6, 0);
        w.wait(300);
        w.end(old, 3_000);
        w.led();
        w.wait(15_000);
        w.hand_over(100);
        w.wait(5_000);
        w.hand_over(20);
        w.quiet(LEASE);
    });
}

#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    days(&[RAN], |w| {
        for (i, u) in w.users.iter_mut().enumerate() {
            u.spec.one_zone = i % 3 == 0;
            u.spec.spread = i % 3 == 1;
            u.spec.zone = (i % 3 == 2).then(|| ZONES[i % 2].into());
        }
        w.wait(40_000);
        for _ in 0..3 {
            let zone = w.rng.random_range(0..2);
            w.cut_zone(zone, LEASE * 3 / 2, true);
            w.wait(3_000);
            let lost: Vec<usize> = (0..w.workers.len()).filter(|m| w.workers[*m].alive).collect();
            lost.iter().step_by(4).for_each(|m| w.die(*m));
            w.cancel_now(3, 0);
            w.wait(2 * LEASE);
            w.hand_over(3_000);
        }
    });
}

#[test]
fn machines_neither_heard_nor_hearing() {
    for mute in [true, false] {
        days(&[FAR], |w| {
            w.long = true;
            w.wait(60_000);
            let until = w.t + LEASE * 3 / 2;
            w.some(0.5, |m| if mute { m.mute_until = until } else { m.deaf_until = until });
            w.quiet(LEASE * 3 / 2);
            w.wait(1_500);
            w.cancel_now(12, 0);
            w.wait(500);
            // The leader ends while machines with long tasks do not hear its successor.
            w.hand_over(3_000);
        });
    }
}

#[test]
fn cut_zone_with_a_controller_outlasts_the_lease() {
    for held in [true, false] {
        days(&[FAR], |w| {
            w.long = true;
            w.wait(60_000);
            let zone = w.led() % 2;
            w.cut_zone(zone, LEASE * 2, held);
            w.wait(3_000);
            w.cancel_now(6, 0);
            w.wait(LEASE);
            w.hand_over(20);
        });
    }
}

#[test]
fn transactions_carried_out_late() {
    days(&["late write lost", RAN], |w| {
        w.late_writes = Partly { until: 110_000, share: 0.4, other: false };
        w.wait(50_000);
        w.cancel_now(5, 0);
        w.wait(3_000);
        w.hand_over(20);
        w.wait(10_000);
        w.cancel_now(5, 0);
        w.hand_over(3_000);
        w.wait(10_000);
        (0..CONTROLLERS).for_each(|i| w.end(i, 100));
        w.quiet(30_000);
    });
}

#[test]
fn answers_of_transactions_lost_while_others_read_them() {
    days(&["answer lost", "looked", "cancelled at its end"], |w| {
        w.looks_until = 120_000;
        w.late_writes = Partly { until: 120_000, share: 0.4, other: true };
        w.cancel_at_end = Partly { until: 120_000, share: 0.4, other: false };
        w.wait(60_000);
        w.cancel_now(6, 0);
        w.wait(200);
        w.hand_over(400);
        w.wait(50_000);
    });
}

#[test]
fn users_look_closely_at_all_nodes() {
    days(&["looked", "cancelled at once", RAN], |w| {
        w.looks_until = 130_000;
        for _ in 0..4 {
            w.wait(25_000);
            w.cancel_now(4, 0);
            w.wait(50);
            w.hand_over(100);
        }
    });
}

#[test]
fn cancellations_questions_and_submissions_meet_the_last_task() {
    days(&["cancelled at its end", "looked"], |w| {
        w.looks_until = 150_000;
        w.odd_until = 150_000;
        w.cancel_at_end = Partly { until: 150_000, share: 0.7, other: false };
        w.wait(100_000);
    });
}

#[test]
fn odd_requests_at_nodes_that_have_just_begun() {
    days(&["422"], |w| {
        w.odd_until = 150_000;
        w.storm_until = 150_000;
        for _ in 0..6 {
            w.wait(12_000);
            (0..CONTROLLERS).for_each(|i| w.end(i, 20 + 50 * i as u64));
        }
    });
}

#[test]
fn short_jobs_end_far_apart_across_leaders() {
    days(&[], |w| {
        for u in &mut w.users {
            u.spec.tasks = u.spec.tasks.clamp(2, 3);
        }
        w.wait(30_000);
        for i in 0..8 {
            w.hand_over([20, 100, 3_000][i % 3]);
            // What ran and is done is on machines that die before the record is written.
            w.wait(2_000);
            let m = w.rng.random_range(0..w.workers.len());
            w.die(m);
            w.wait(6_000);
        }
        assert!(w.changes_of_leader(30_000) >= 4, "{:?}", w.leaders);
    });
}

#[test]
fn leaders_change_ten_times_in_two_minutes() {
    days(&[RAN], |w| {
        w.long = true;
        w.wait(40_000);
        let from = w.t;
        for i in 0..14 {
            if i == 6 {
                w.outage(LEASE * 2 / 5);
            }
            w.cancel_now(1, 0);
            w.hand_over([20, 100, 400, 3_000][i % 4]);
            w.wait(4_000);
        }
        let changes = w.changes_of_leader(from);
        assert!(changes >= 10, "only {changes} changes by {}", w.t);
    });
}

#[test]
fn handed_over_and_back_all_end_and_one_returns() {
    days(&[RAN], |w| {
        w.wait(50_000);
        w.hand_over(50);
        w.hand_over(50);
        w.cancel_now(4, 0);
        w.wait(100);
        (0..CONTROLLERS).for_each(|i| w.end(i, if i == 1 { 20 } else { 25_000 }));
        w.wait(2_000);
        w.led();
        w.cancel_now(3, 0);
        w.wait(20_000);
        w.hand_over(20);
    });
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    days(&[], |w| {
        w.long = true;
        w.wait(60_000);
        (0..CONTROLLERS).for_each(|i| w.end(i, LEASE + 3_000 + 500 * i as u64));
        w.wait(LEASE + 1_000);
        assert!(w.controllers.iter().all(|c| c.process.is_none()));
        w.led();
        w.cancel_now(5, 0);
    });
}

#[test]
fn teams_at_their_limits_as_cancelled_jobs_hang_and_the_leader_changes() {
    days(&[FAR], |w| {
        w.long = true;
        for (i, u) in w.users.iter_mut().enumerate() {
            u.spec.team = format!("t{}", i % 2);
            u.spec.cpus = [1.0, 2.0, 4.0][i % 3];
            // Jobs that come after the change of leader need not wait for older ones' machines.
            if i >= 20 {
                u.at = 70_000 + (i as u64 - 20) * 1_200;
            }
        }
        w.restart_users();
        w.wait(70_000);
        let used = |w: &World, team: &str| -> f64 {
            let tasks = w.workers.iter().flat_map(|m| &m.tasks);
            let on = tasks.filter(|(_, r)| !matches!(r.state, TaskState::Exited(_)));
            let spec = |k: &TaskId| &w.users.iter().find(|u| u.job == k.job).unwrap().spec;
            on.map(|(k, _)| spec(&k.0)).filter(|s| s.team == team).map(|s| s.cpus).sum()
        };
        for (team, max) in ["t0", "t1"].into_iter().zip(CPUS_MAX) {
            assert!(used(w, team) > max - 4.0, "{team} is not at its limit: {}", used(w, team));
        }
        w.cut_zone(0, LEASE * 3 / 2, true);
        w.cancel_now(8, LEASE - 2_000);
        w.wait(1_500);
        w.hand_over(20);
        w.wait(LEASE);
        w.cancel_now(4, LEASE + 4_000);
        w.hand_over(3_000);
    });
}

#[test]
fn cancelled_as_work_changes_hands() {
    days(&[RAN], |w| {
        w.long = true;
        w.wait(60_000);
        for back in [20, 400, 3_000] {
            let old = w.led();
            // The successor's watches are lost as users cancel.
            let until = w.t + 8_000;
            w.controllers.iter_mut().for_each(|c| c.watch_lost_until = until);
            w.store.watches.retain(|(.., prefix, _, _)| prefix != records::JOBS_PREFIX);
            w.cancel_now(3, 0);
            w.wait(50);
            w.end(old, back);
            // In every stretch of the change: nobody leads, elected, loading, first starts.
            for _ in 0..12 {
                w.wait(400);
                w.cancel_now(1, 0);
            }
        }
    });
}

#[test]
fn new_machines_get_work_at_once_while_writes_lag() {
    days(&["late write lost"], |w| {
        w.wait(20_000);
        for back in [20, 3_000, 100] {
            // Machines go, and those rented for them are up within two seconds.
            for m in (0..w.workers.len()).step_by(2) {
                w.die(m);
            }
            w.quick_boots = true;
            w.late_writes = Partly { until: w.t + 15_000, share: 0.6, other: false };
            w.wait(33_000);
            w.late_writes = Partly { until: w.t + 8_000, share: 0.6, other: false };
            w.wait(3_000);
            w.hand_over(back);
        }
        w.quiet(12_000);
    });
}

#[test]
fn one_task_jobs_come_four_a_second() {
    for seed in 0..2 {
        let mut w = busy(seed);
        let spec = w.users[0].spec.clone();
        w.users = (0..480)
            .map(|i| {
                let mut s = JobSpec { tasks: 1, cpus: 1.0, spot: true, ..spec.clone() };
                (s.zone, s.one_zone, s.spread) = (None, false, false);
                s.team = format!("t{}", i % 3);
                let at = 5_000 + i * 250;
                let cancel = (i % 4 == 0).then(|| at + 200 + (i * 977) % 9_000);
                User::new(2_000 + i, s, at, cancel)
            })
            .collect();
        w.restart_users();
        w.wait(40_000);
        w.hand_over(20);
        w.wait(30_000);
        w.hand_over(3_000);
        w.play(w.quiet_at + 150_000);
        w.check_end();
        w.broken.truncate(5);
        assert!(w.broken.is_empty(), "seed {seed}: {:#?}", w.broken);
        let told = |t: fn(&Told) -> bool| w.users.iter().filter(|u| t(&u.told)).count();
        assert!(told(|t| matches!(t, Told::Done)) > 300);
        assert!(told(|t| matches!(t, Told::Cancelled(_))) > 60);
    }
}

/// No leader lives for long after a burst of cancellations: each successor is a process that
/// has just begun and never held the jobs. What it answers must not keep their tasks. Earlier
/// versions do keep them, so none runs beside the present one here.
#[test]
fn leaders_end_every_few_seconds_after_cancellations() {
    // A worker gets an answer or two of each; or one of some, before it shows the token.
    for (back, lives) in [(20, 300..1_300), (3_000, 300..1_300), (20, 50..450)] {
        days(&[RAN], |w| {
            w.run_only(Version::Current);
            w.long = true;
            w.wait(60_000);
            w.cancel_now(12, 0);
            w.wait(200);
            let over = w.t + CANCEL + 5_000;
            while w.t < over {
                let leader = w.led();
                for i in 0..CONTROLLERS {
                    let others_too = w.rng.random_bool(0.3);
                    if i == leader || others_too {
                        w.end(i, back);
                    }
                }
                w.led();
                let lives = w.rng.random_range(lives.clone());
                w.wait(lives);
            }
        });
    }
}

#[test]
fn commands_held_up_for_seconds() {
    days(&[RAN], |w| {
        w.wait(40_000);
        for _ in 0..5 {
            // Shorter and longer than a worker waits for its answer.
            w.hang(0.5, 1_000..PATIENCE + 2_000);
            let l = w.led();
            let spell = w.rng.random_range(1_000..3_800);
            w.controllers[l].freezes_until = w.t + spell;
            w.wait(spell / 2);
            w.cancel_now(2, 0);
            w.wait(9_000);
        }
    });
}

#[test]
fn more_work_than_room_while_links_and_zones_fail() {
    days(&[RAN], |w| {
        w.long = true;
        for (i, u) in w.users.iter_mut().enumerate() {
            u.spec.priority = [Priority::Production, Priority::Low][i % 2];
            u.spec.tasks = 4;
        }
        w.wait(50_000);
        w.cut_zone(1, LEASE / 2, true);
        w.cancel_now(4, 2_000);
        w.wait(LEASE);
        let until = w.t + LEASE;
        w.some(0.3, |m| m.deaf_until = until);
        w.hand_over(3_000);
        w.quiet(LEASE);
    });
}

#[test]
fn slow_service_then_refused_then_out_while_users_cancel_and_ask() {
    days(&[RAN], |w| {
        w.long = true;
        w.storm_until = 140_000;
        w.wait(50_000);
        w.slow_state = 400;
        w.cancel_now(3, 0);
        w.wait(5_000);
        let leader = w.led();
        w.refuse(leader, CANCEL);
        w.cancel_now(3, 0);
        w.wait(1_500);
        w.outage(CANCEL + 3_000);
        w.cancel_now(3, 0);
        w.wait(CANCEL + 3_000);
        w.cancel_now(3, 0);
        w.wait(15_000);
        w.slow_state = 0;
    });
}
