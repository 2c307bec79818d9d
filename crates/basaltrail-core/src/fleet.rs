//! Machines, their sessions, and what may be running on them.
//!
//! Everything here errs to one side: a task counts as on a machine until that
//! machine's own newer report, the end of its session or its certain return says no.

use crate::health::MachineHealth;
use crate::model::*;
use crate::rental::Kind;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    /// Chosen; no response has carried the start yet.
    Assigned { at: Ms },
    /// The start went out in the response to the last report.
    Sent,
    /// The worker itself has told of it.
    Told(TaskState),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub place: Place,
    /// What it takes; None while the job is not known.
    pub need: Option<Need>,
    /// Ordered to stop, with this grace.
    pub stop: Option<f64>,
    pub stop_sent: Option<Ms>,
    pub since: Ms,
    /// When it was first told to be running.
    pub running_since: Option<Ms>,
    /// Whether its outcome was taken into the job's account.
    pub settled: bool,
    /// Placed when no task of its job had begun.
    pub first: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    pub team: usize,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub priority: Priority,
    pub save_s: Option<f64>,
}

impl Entry {
    /// Whether it may hold resources of the machine.
    pub fn holds(&self) -> bool {
        !matches!(self.place, Place::Told(TaskState::Exited(_)))
    }

    pub fn runs(&self) -> bool {
        matches!(self.place, Place::Told(TaskState::Running))
    }
}

/// What a report changed, for the jobs' accounts.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The task is surely not there (any more).
    Gone {
        task: TaskId,
        attempt: Attempt,
    },
    /// The task is there; the leader may not have known.
    Here {
        task: TaskId,
        attempt: Attempt,
    },
    Exited {
        task: TaskId,
        attempt: Attempt,
        why: Why,
        ran_ms: Option<Ms>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Returning {
    No,
    /// No new work; returned once empty.
    Draining,
    /// A release call may have been made: whatever comes, it is not to be used.
    Releasing,
}

/// How long a worker waits for an answer (PROTOCOL, Workers); only then does it ask
/// another node, so one that is back sooner took our answer.
const UNANSWERED_MS: Ms = 4000;
/// Answers to a machine that does not show our token, before it is let go.
pub const ANSWERS_WITHOUT_TOKEN: u32 = 3;

pub struct Machine {
    pub id: MachineId,
    pub endpoint: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub session: u64,
    /// Sessions below this one are surely over.
    pub min_session: u64,
    pub seq: u64,
    /// The last moment at which an answer may have renewed its lease.
    pub renewed: Ms,
    /// The last report that was taken; only those that carry our token are.
    pub last_checkin: Option<Ms>,
    /// It came back as one that took our answer does, so it would see a start.
    pub hears: bool,
    /// When it last showed that it hears.
    pub heard_at: Option<Ms>,
    /// Answers with starts in a row of which the next report showed nothing.
    pub unseen: u32,
    pub deaf_until: Ms,
    /// Rented in this leadership: whatever it reports is of this leadership.
    pub ours: bool,
    /// Answers given while it had not shown our token.
    pub answers_without_token: u32,
    /// In this leadership it has reported with our token, or surely holds nothing of earlier leaders.
    pub reconciled: bool,
    /// The roster that an earlier leader left says that it was in use.
    pub expected: bool,
    /// Its lease has surely ended since it last reported.
    pub lapsed: bool,
    pub entries: BTreeMap<(TaskId, Attempt), Entry>,
    /// Roster part that holds it durably.
    pub durable: bool,
    pub part: Option<usize>,
    /// Other parts of the roster, not rewritten yet, that say that nothing runs here.
    pub free_in: BTreeSet<usize>,
    pub gone_at: Option<Ms>,
    pub returning: Returning,
    pub release_in_flight: bool,
    pub idle_since: Option<Ms>,
    pub known_since: Ms,
    /// It has not come, and is not counted on any more.
    pub late: bool,
    /// It is late by so much that it goes back.
    pub given_up: bool,
    /// It was rented in this leadership, or listed as on its way, so long ago.
    pub asked_at: Option<Ms>,
    pub listed: Option<(ListedState, Ms)>,
    /// When it was first seen in the cloud's list.
    pub first_listed: Option<Ms>,
    /// Images it has had, newest last, with sizes.
    pub images: Vec<(String, f64)>,
    pub health: MachineHealth,
    pub no_room_until: Ms,
}

impl Machine {
    pub fn new(id: MachineId, machine_type: &str, zone: &str, spot: bool, now: Ms) -> Self {
        Machine {
            id,
            endpoint: String::new(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            session: 0,
            min_session: 0,
            seq: 0,
            renewed: now,
            last_checkin: None,
            hears: false,
            heard_at: None,
            unseen: 0,
            deaf_until: 0,
            ours: false,
            answers_without_token: 0,
            reconciled: true,
            expected: false,
            lapsed: false,
            entries: BTreeMap::new(),
            durable: false,
            part: None,
            free_in: BTreeSet::new(),
            gone_at: None,
            returning: Returning::No,
            release_in_flight: false,
            idle_since: None,
            known_since: now,
            late: false,
            given_up: false,
            asked_at: None,
            listed: None,
            first_listed: None,
            images: Vec::new(),
            health: MachineHealth::default(),
            no_room_until: 0,
        }
    }

    /// (cpus, gpus, memory) that may be in use.
    pub fn used(&self) -> (f64, f64, f64) {
        let mut u = (0.0, 0.0, 0.0);
        for e in self.entries.values().filter(|e| e.holds()) {
            match &e.need {
                Some(n) => {
                    u.0 += n.cpus;
                    u.1 += n.gpus;
                    u.2 += n.memory_gb;
                }
                // A task of a job not known yet: nothing fits beside it.
                None => u.0 = f64::INFINITY,
            }
        }
        u
    }

    /// Its type, zone and whether it is a spot machine.
    pub fn kind(&self) -> Kind {
        Kind { machine_type: self.machine_type.clone(), zone: self.zone.clone(), spot: self.spot }
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(i, _)| i == image)
    }

    pub fn used_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(i, _)| i != image);
        self.images.push((image.into(), gb));
        let mut sum: f64 = self.images.iter().map(|(_, g)| g).sum();
        while sum > cache_gb && self.images.len() > 1 {
            sum -= self.images.remove(0).1;
        }
    }

    pub fn notice(&self, now: Ms) -> bool {
        self.gone_at.is_some_and(|t| t > now)
    }

    pub fn faulty(&self, now: Ms, lease_ms: Ms) -> bool {
        self.health.faulty(self.idle_since, now, lease_ms)
    }

    pub fn empty(&self) -> bool {
        self.entries.values().all(|e| !e.holds())
    }

    /// Drops what the end of a session took with it.
    fn drop_all(&mut self) -> Vec<Change> {
        let gone = std::mem::take(&mut self.entries);
        gone.into_iter()
            .filter(|(_, e)| !e.settled)
            .map(|((task, attempt), _)| Change::Gone { task, attempt })
            .collect()
    }

    /// The lease has surely ended: whatever ran is killed and forgotten, and
    /// reports of that session can only be late ones.
    pub fn lapse(&mut self) -> Vec<Change> {
        self.lapsed = true;
        self.reconciled = true;
        if self.session > 0 {
            self.min_session = self.session + 1;
        }
        self.images.clear();
        self.drop_all()
    }

    pub fn is_newer(&self, r: &Report) -> bool {
        r.session >= self.min_session && (r.session, r.seq) > (self.session, self.seq)
    }

    /// Answers a report that does not carry our token yet; false if it must not be
    /// answered as one of ours. Such a report, or a late copy of one, may be of any age:
    /// it proves nothing, and only the lease that our answer may renew is noted. A machine
    /// of the roster that never takes our token is let go after a few answers, so that
    /// its lease surely ends and what earlier leaders started there is over.
    pub fn answer_without_token(&mut self, now: Ms) -> bool {
        if !self.reconciled {
            if self.answers_without_token >= ANSWERS_WITHOUT_TOKEN {
                return false;
            }
            self.answers_without_token += 1;
            self.renewed = now;
        }
        true
    }

    /// Takes a newer report, one that a worker sent by itself: the bodies of answers to
    /// direct commands may be made while a start is still on its way, and settle nothing.
    /// It carries our token, so it was made after the worker took an answer of this leadership:
    /// nothing of earlier leaders was on its way by then.
    pub fn report(&mut self, now: Ms, r: &Report, lease_ms: Ms) -> Vec<Change> {
        let mut changes = Vec::new();
        // A worker without an answer waits for it and then asks another node first.
        let back = self.last_checkin.is_some_and(|t| now < t + UNANSWERED_MS);
        self.hears = back || !self.reconciled || self.session == 0;
        self.reconciled = true;
        if r.session > self.session && self.session > 0 {
            changes = self.drop_all();
        }
        self.session = r.session;
        self.seq = r.seq;
        self.endpoint.clone_from(&r.endpoint);
        self.last_checkin = Some(now);
        self.renewed = now;
        self.lapsed = false;
        self.gone_at = r.notice_s.map(|s| now + (s.clamp(0.0, 1e6) * 1000.0) as Ms);
        let listed: BTreeMap<(TaskId, Attempt), TaskState> =
            r.tasks.iter().map(|t| ((t.task, t.attempt), t.state)).collect();
        let (mut seen, mut unseen) = (false, false);
        self.entries.retain(|&(task, attempt), e| {
            if listed.contains_key(&(task, attempt)) {
                seen |= e.place == Place::Sent;
                return true;
            }
            let gone = match e.place {
                Place::Assigned { .. } => false,
                // This report is newer than the one that was answered with the start, so
                // it was made after that response was taken or dropped: the start is lost.
                Place::Sent => {
                    unseen = true;
                    true
                }
                Place::Told(_) => true,
            };
            if gone && !e.settled {
                changes.push(Change::Gone { task, attempt });
            }
            !gone
        });
        // Reports that arrive do not show that answers do: a machine that sees none of
        // its starts gets no more for a while.
        if seen {
            self.unseen = 0;
        } else if unseen {
            self.unseen += 1;
            if self.unseen >= 2 {
                self.deaf_until = now + lease_ms;
            }
        }
        if self.hears && now >= self.deaf_until {
            self.heard_at = Some(now);
        }
        for ((task, attempt), state) in listed {
            let known = self.entries.contains_key(&(task, attempt));
            let e = self.entries.entry((task, attempt)).or_insert_with(|| Entry {
                place: Place::Told(state),
                need: None,
                stop: None,
                stop_sent: None,
                since: now,
                running_since: None,
                settled: false,
                first: false,
            });
            e.place = Place::Told(state);
            if state == TaskState::Running && e.running_since.is_none() {
                e.running_since = Some(now);
            }
            if let TaskState::Exited(why) = state {
                if !e.settled {
                    e.settled = true;
                    let ran_ms = e.running_since.map(|t| now - t);
                    changes.push(Change::Exited { task, attempt, why, ran_ms });
                }
            } else if !known || e.need.is_none() {
                changes.push(Change::Here { task, attempt });
            }
        }
        changes
    }
}
