//! Machines, their agent epochs, and what may be running on them.
//!
//! Everything here errs to one side: a task counts as on a machine until that
//! machine's own newer report, the end of its agent epoch or its certain return says no.

pub mod types;

use crate::health::MachineHealth;
use crate::leader::autoscaler::provisioning::MachineKind;
use crate::model::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskPhase {
    /// Chosen; no response has carried the start yet.
    Assigned { at: Ms },
    /// The start went out in the response to the last report.
    Sent,
    /// The worker itself has told of it.
    Told(TaskState),
}

#[derive(Clone, Debug, PartialEq)]
pub struct TaskSlot {
    pub place: TaskPhase,
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

impl TaskSlot {
    /// Whether it may hold resources of the machine.
    pub fn holds(&self) -> bool {
        !matches!(self.place, TaskPhase::Told(TaskState::Exited(_)))
    }

    pub fn runs(&self) -> bool {
        matches!(self.place, TaskPhase::Told(TaskState::Running))
    }
}

/// What a report changed, for the jobs' accounts.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskChange {
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
        why: ExitReason,
        ran_ms: Option<Ms>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decommission {
    No,
    /// No new work; returned once empty.
    Draining,
    /// A release call may have been made: whatever comes, it is not to be used.
    Releasing,
}

/// How long a worker waits for an answer (PROTOCOL, Workers); only then does it ask
/// another controller, so one that is back sooner took our answer.
const UNANSWERED_MS: Ms = 4000;
/// Answers to a machine that does not show our token, before it is let go.
pub const ANSWERS_WITHOUT_TOKEN: u32 = 3;

pub struct Machine {
    pub id: MachineId,
    pub endpoint: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub agent_epoch: AgentEpoch,
    /// Sessions below this one are surely over.
    pub min_agent_epoch: AgentEpoch,
    pub sequence: u64,
    /// The last moment at which an answer may have renewed its lease.
    pub renewed: Ms,
    /// The last report that was taken; only those that carry our token are.
    pub last_heartbeat: Option<Ms>,
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
    /// The machine registry that an earlier leader left says that it was in use.
    pub expected: bool,
    /// Its lease has surely ended since it last reported.
    pub lease_expired: bool,
    pub entries: BTreeMap<(TaskId, Attempt), TaskSlot>,
    /// Roster part that holds it durably.
    pub durable: bool,
    pub part: Option<usize>,
    /// Other parts of the machine registry, not rewritten yet, that say that nothing runs here.
    pub free_in: BTreeSet<usize>,
    pub gone_at: Option<Ms>,
    pub decommission: Decommission,
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
            agent_epoch: AgentEpoch::NONE,
            min_agent_epoch: AgentEpoch::NONE,
            sequence: 0,
            renewed: now,
            last_heartbeat: None,
            hears: false,
            heard_at: None,
            unseen: 0,
            deaf_until: 0,
            ours: false,
            answers_without_token: 0,
            reconciled: true,
            expected: false,
            lease_expired: false,
            entries: BTreeMap::new(),
            durable: false,
            part: None,
            free_in: BTreeSet::new(),
            gone_at: None,
            decommission: Decommission::No,
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
    pub fn kind(&self) -> MachineKind {
        MachineKind {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
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

    /// Drops what the end of a agent epoch took with it.
    fn drop_all(&mut self) -> Vec<TaskChange> {
        let gone = std::mem::take(&mut self.entries);
        gone.into_iter()
            .filter(|(_, e)| !e.settled)
            .map(|((task, attempt), _)| TaskChange::Gone { task, attempt })
            .collect()
    }

    /// The lease has surely ended: whatever ran is killed and forgotten, and
    /// reports of that agent epoch can only be late ones.
    pub fn expire_lease(&mut self) -> Vec<TaskChange> {
        self.lease_expired = true;
        self.reconciled = true;
        if self.agent_epoch > AgentEpoch::NONE {
            self.min_agent_epoch = self.agent_epoch.next();
        }
        self.images.clear();
        self.drop_all()
    }

    pub fn is_newer(&self, r: &Heartbeat) -> bool {
        r.agent_epoch >= self.min_agent_epoch
            && (r.agent_epoch, r.sequence) > (self.agent_epoch, self.sequence)
    }

    /// Answers a report that does not carry our token yet; false if it must not be
    /// answered as one of ours. Such a report, or a late copy of one, may be of any age:
    /// it proves nothing, and only the lease that our answer may renew is noted. A machine
    /// of the machine registry that never takes our token is let go after a few answers, so that
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
    pub fn heartbeat(&mut self, now: Ms, r: &Heartbeat, lease_ms: Ms) -> Vec<TaskChange> {
        let mut changes = Vec::new();
        // A worker without an answer waits for it and then asks another controller first.
        let back = self.last_heartbeat.is_some_and(|t| now < t + UNANSWERED_MS);
        self.hears = back || !self.reconciled || self.agent_epoch == AgentEpoch::NONE;
        self.reconciled = true;
        if r.agent_epoch > self.agent_epoch && self.agent_epoch > AgentEpoch::NONE {
            changes = self.drop_all();
        }
        self.agent_epoch = r.agent_epoch;
        self.sequence = r.sequence;
        self.endpoint.clone_from(&r.endpoint);
        self.last_heartbeat = Some(now);
        self.renewed = now;
        self.lease_expired = false;
        self.gone_at = r.reclaim_notice_s.map(|s| now + (s.clamp(0.0, 1e6) * 1000.0) as Ms);
        let listed: BTreeMap<(TaskId, Attempt), TaskState> =
            r.tasks.iter().map(|t| ((t.task, t.attempt), t.state)).collect();
        let (mut seen, mut unseen) = (false, false);
        self.entries.retain(|&(task, attempt), e| {
            if listed.contains_key(&(task, attempt)) {
                seen |= e.place == TaskPhase::Sent;
                return true;
            }
            let gone = match e.place {
                TaskPhase::Assigned { .. } => false,
                // This report is newer than the one that was answered with the start, so
                // it was made after that response was taken or dropped: the start is lost.
                TaskPhase::Sent => {
                    unseen = true;
                    true
                }
                TaskPhase::Told(_) => true,
            };
            if gone && !e.settled {
                changes.push(TaskChange::Gone { task, attempt });
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
            let e = self.entries.entry((task, attempt)).or_insert_with(|| TaskSlot {
                place: TaskPhase::Told(state),
                need: None,
                stop: None,
                stop_sent: None,
                since: now,
                running_since: None,
                settled: false,
                first: false,
            });
            e.place = TaskPhase::Told(state);
            if state == TaskState::Running && e.running_since.is_none() {
                e.running_since = Some(now);
            }
            if let TaskState::Exited(why) = state {
                if !e.settled {
                    e.settled = true;
                    let ran_ms = e.running_since.map(|t| now - t);
                    changes.push(TaskChange::Exited { task, attempt, why, ran_ms });
                }
            } else if !known || e.need.is_none() {
                changes.push(TaskChange::Here { task, attempt });
            }
        }
        changes
    }
}
