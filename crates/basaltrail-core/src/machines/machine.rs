//! One machine: its agent epoch, its lease, and the task slots on it.

use crate::machines::health::MachineHealth;
use crate::machines::machine_kind::MachineKind;
use crate::machines::task_slot::{TaskChange, TaskExit, TaskPhase, TaskSlot};
use crate::model::{AgentEpoch, Attempt, Heartbeat, ListedState, MachineId, Ms, TaskId, TaskState};
use crate::resources::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// Whether a machine goes back to the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decommission {
    /// It is in use.
    No,
    /// It takes no new work and is returned once it is empty.
    Draining,
    /// A termination request may have been made: whatever follows, it must not be used.
    Releasing,
}

/// How long an agent waits for an answer (PROTOCOL, Workers -> controller nodes); only then does it ask
/// another controller, so one that comes back sooner received our answer.
const ANSWER_TIMEOUT_MS: Ms = 4000;
/// Answers to a machine that does not show our token, before its lease is left to expire.
pub const MAX_ANSWERS_WITHOUT_TOKEN: u32 = 3;
/// Heartbeats in a row that show no trace of the starts in the answer before them: one may be
/// lost by chance, two mean that answers do not arrive.
const LOST_STARTS_OF_PARTITION: u32 = 2;
/// The longest notice of a reclaim that is taken as it is, in seconds.
const MAX_RECLAIM_NOTICE_S: f64 = 1e6;

/// A machine that may hold tasks, or is on its way.
pub struct Machine {
    /// Its name, as the cloud gave it.
    pub id: MachineId,
    /// Where its agent takes direct commands; empty until it is known.
    pub endpoint: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// Epoch of its agent, as of the last heartbeat taken.
    pub agent_epoch: AgentEpoch,
    /// Agent epochs below this one are certainly over.
    pub min_agent_epoch: AgentEpoch,
    /// Sequence number of the last heartbeat taken, within its agent epoch.
    pub sequence: u64,
    /// The last moment at which an answer may have renewed its lease.
    pub lease_renewed_at: Ms,
    /// When the last heartbeat was taken; only those that carry our token are.
    pub last_heartbeat: Option<Ms>,
    /// It came back as one that received our answer does, so it would see a start.
    pub receives_answers: bool,
    /// When it last showed that it receives answers.
    pub answer_received_at: Option<Ms>,
    /// Answers with starts in a row of which the next heartbeat showed nothing.
    pub lost_starts: u32,
    /// Until when it counts as behind a one-way partition: its heartbeats arrive, our answers
    /// do not.
    pub one_way_partition_until: Ms,
    /// Provisioned by this leader: whatever it reports was started by this leader.
    pub provisioned_by_this_leader: bool,
    /// Answers given while it had not shown our token.
    pub answers_without_token: u32,
    /// It has sent this leader a heartbeat with our token, or certainly holds nothing that
    /// earlier leaders started.
    pub reconciled: bool,
    /// The machine registry that an earlier leader left says that it was in use.
    pub in_use_before_failover: bool,
    /// Its lease has certainly expired since its last heartbeat.
    pub lease_expired: bool,
    /// Tasks that may be on it, by attempt.
    pub slots: BTreeMap<(TaskId, Attempt), TaskSlot>,
    /// The machine registry durably says that it may hold tasks, so tasks may be started on it.
    pub registered_in_use: bool,
    /// Segment of the machine registry that lists it.
    pub registry_segment: Option<usize>,
    /// Segments of the machine registry, not rewritten yet, that say that nothing runs here.
    pub free_in_segments: BTreeSet<usize>,
    /// When the cloud reclaims it, by its own notice.
    pub reclaim_at: Option<Ms>,
    /// Whether it goes back to the cloud.
    pub decommission: Decommission,
    /// Since when nothing runs on it.
    pub idle_since: Option<Ms>,
    /// When this leader first knew of it, less the age that the cloud gave.
    pub known_since: Ms,
    /// It has not come up in time and is not counted on any more.
    pub overdue: bool,
    /// It is overdue by so much that it goes back.
    pub abandoned: bool,
    /// When it was asked for, if this leader knows: by its own request or the cloud's inventory.
    pub requested_at: Option<Ms>,
    /// State in the cloud's inventory, and when it was last listed there.
    pub listed: Option<(ListedState, Ms)>,
    /// When the cloud's inventory first listed it.
    pub first_listed: Option<Ms>,
    /// Images in its cache, the last used at the end, with their sizes in gigabytes.
    pub images: Vec<(String, f64)>,
    /// Failures of jobs that end well elsewhere.
    pub health: MachineHealth,
    /// Its agent said that a task does not fit: nothing is placed on it before.
    pub no_room_until: Ms,
}

/// What a heartbeat shows of the starts in the answer before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SentStarts {
    /// It lists a task that was started by that answer.
    any_seen: bool,
    /// A task that was started by that answer is missing.
    any_lost: bool,
}

impl Machine {
    /// A machine that is known from now on and holds nothing.
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
            lease_renewed_at: now,
            last_heartbeat: None,
            receives_answers: false,
            answer_received_at: None,
            lost_starts: 0,
            one_way_partition_until: 0,
            provisioned_by_this_leader: false,
            answers_without_token: 0,
            reconciled: true,
            in_use_before_failover: false,
            lease_expired: false,
            slots: BTreeMap::new(),
            registered_in_use: false,
            registry_segment: None,
            free_in_segments: BTreeSet::new(),
            reclaim_at: None,
            decommission: Decommission::No,
            idle_since: None,
            known_since: now,
            overdue: false,
            abandoned: false,
            requested_at: None,
            listed: None,
            first_listed: None,
            images: Vec::new(),
            health: MachineHealth::default(),
            no_room_until: 0,
        }
    }

    /// The resources that may be in use.
    pub fn used(&self) -> Resources {
        let mut used = Resources::default();
        for slot in self.slots.values().filter(|slot| slot.holds_resources()) {
            match &slot.demand {
                Some(demand) => used += demand.resources,
                // A task of a job not known yet: nothing fits beside it.
                None => used.cpus = f64::INFINITY,
            }
        }
        used
    }

    /// Its type, zone and whether it is a spot machine.
    pub fn kind(&self) -> MachineKind {
        MachineKind {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }

    /// Whether its cache holds the image.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Records that a task used an image of `gb` gigabytes; the images used longest ago leave
    /// a cache of `cache_gb` gigabytes first.
    pub fn record_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.into(), gb));
        let mut sum: f64 = self.images.iter().map(|(_, size)| size).sum();
        while sum > cache_gb && self.images.len() > 1 {
            sum -= self.images.remove(0).1;
        }
    }

    /// Whether the cloud has announced that it reclaims the machine.
    pub fn has_reclaim_notice(&self, now: Ms) -> bool {
        self.reclaim_at.is_some_and(|at| at > now)
    }

    /// Whether it gets no more work because jobs fail on it that end well elsewhere.
    pub fn is_quarantined(&self, now: Ms, lease_ms: Ms) -> bool {
        self.health.is_quarantined(self.idle_since, now, lease_ms)
    }

    /// Whether no task can hold resources on it.
    pub fn is_empty(&self) -> bool {
        self.slots.values().all(|slot| !slot.holds_resources())
    }

    /// Whether it has sent a heartbeat and its lease has not expired since.
    pub fn is_up(&self) -> bool {
        self.last_heartbeat.is_some() && !self.lease_expired
    }

    /// Empties all slots, as the end of an agent epoch does.
    fn clear_slots(&mut self) -> Vec<TaskChange> {
        std::mem::take(&mut self.slots)
            .into_iter()
            .filter(|(_, slot)| !slot.outcome_recorded)
            .map(|((task, attempt), _)| TaskChange::Gone { task, attempt })
            .collect()
    }

    /// The lease has certainly expired: whatever ran is killed and forgotten, and heartbeats of
    /// that agent epoch can only be late copies (PROTOCOL, `POST /checkin`, Leases).
    pub fn expire_lease(&mut self) -> Vec<TaskChange> {
        self.lease_expired = true;
        self.reconciled = true;
        if self.agent_epoch > AgentEpoch::NONE {
            self.min_agent_epoch = self.agent_epoch.next();
        }
        self.images.clear();
        self.clear_slots()
    }

    /// Whether the heartbeat was made after the last one that was taken.
    pub fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.agent_epoch >= self.min_agent_epoch
            && (heartbeat.agent_epoch, heartbeat.sequence) > (self.agent_epoch, self.sequence)
    }

    /// Answers a heartbeat that does not carry our token yet; false if it must not be answered.
    ///
    /// Such a heartbeat, or a late copy of one, may be of any age: it proves nothing, and only
    /// the lease that our answer may renew is recorded. A machine of the machine registry that
    /// never takes our token is not answered any more after a few times, so that its lease
    /// certainly expires and what earlier leaders started there is over.
    pub fn answer_without_token(&mut self, now: Ms) -> bool {
        if !self.reconciled {
            if self.answers_without_token >= MAX_ANSWERS_WITHOUT_TOKEN {
                return false;
            }
            self.answers_without_token += 1;
            self.lease_renewed_at = now;
        }
        true
    }

    /// Takes a newer heartbeat, one that an agent sent by itself, and returns what it changes.
    ///
    /// The bodies of answers to direct commands may be made while a start is still on its way
    /// and prove nothing. The heartbeat carries our token, so it was made after the agent
    /// received an answer of this leader: nothing of earlier leaders was on its way by then
    /// (PROTOCOL, `POST /checkin`, Tokens).
    pub fn apply_heartbeat(
        &mut self,
        now: Ms,
        heartbeat: &Heartbeat,
        lease_ms: Ms,
    ) -> Vec<TaskChange> {
        self.receives_answers = self.comes_back_answered(now);
        self.reconciled = true;
        let new_epoch =
            heartbeat.agent_epoch > self.agent_epoch && self.agent_epoch > AgentEpoch::NONE;
        let mut changes = if new_epoch { self.clear_slots() } else { Vec::new() };
        self.record_contact(now, heartbeat);
        let reported: BTreeMap<(TaskId, Attempt), TaskState> =
            heartbeat.tasks.iter().map(|t| ((t.task, t.attempt), t.state)).collect();
        let starts = self.remove_unreported(&reported, &mut changes);
        self.track_one_way_partition(now, lease_ms, starts);
        for (key, state) in reported {
            changes.extend(self.confirm_slot(now, key, state));
        }
        changes
    }

    /// An agent without an answer waits for it and then asks another controller first.
    fn comes_back_answered(&self, now: Ms) -> bool {
        let in_time = self.last_heartbeat.is_some_and(|at| now < at + ANSWER_TIMEOUT_MS);
        in_time || !self.reconciled || self.agent_epoch == AgentEpoch::NONE
    }

    fn record_contact(&mut self, now: Ms, heartbeat: &Heartbeat) {
        self.agent_epoch = heartbeat.agent_epoch;
        self.sequence = heartbeat.sequence;
        self.endpoint.clone_from(&heartbeat.endpoint);
        self.last_heartbeat = Some(now);
        self.lease_renewed_at = now;
        self.lease_expired = false;
        let notice_ms = |s: f64| (s.clamp(0.0, MAX_RECLAIM_NOTICE_S) * 1000.0) as Ms;
        self.reclaim_at = heartbeat.reclaim_notice_s.map(|s| now + notice_ms(s));
    }

    /// Removes slots that the heartbeat does not list, except those whose start was not sent.
    fn remove_unreported(
        &mut self,
        reported: &BTreeMap<(TaskId, Attempt), TaskState>,
        changes: &mut Vec<TaskChange>,
    ) -> SentStarts {
        let mut starts = SentStarts::default();
        self.slots.retain(|&(task, attempt), slot| {
            if reported.contains_key(&(task, attempt)) {
                starts.any_seen |= slot.phase == TaskPhase::Sent;
                return true;
            }
            if slot.is_unsent() {
                return true;
            }
            // This heartbeat is newer than the one that was answered with the start, so it was
            // made after that answer was received or dropped: a start not listed is lost.
            starts.any_lost |= slot.phase == TaskPhase::Sent;
            if !slot.outcome_recorded {
                changes.push(TaskChange::Gone { task, attempt });
            }
            false
        });
        starts
    }

    /// Heartbeats that arrive do not show that answers do: a machine that sees none of its
    /// starts gets no more for a while.
    fn track_one_way_partition(&mut self, now: Ms, lease_ms: Ms, starts: SentStarts) {
        if starts.any_seen {
            self.lost_starts = 0;
        } else if starts.any_lost {
            self.lost_starts += 1;
            if self.lost_starts >= LOST_STARTS_OF_PARTITION {
                self.one_way_partition_until = now + lease_ms;
            }
        }
        if self.receives_answers && now >= self.one_way_partition_until {
            self.answer_received_at = Some(now);
        }
    }

    /// Takes the state of one task that the heartbeat lists.
    fn confirm_slot(
        &mut self,
        now: Ms,
        key: (TaskId, Attempt),
        state: TaskState,
    ) -> Option<TaskChange> {
        let (task, attempt) = key;
        let known = self.slots.contains_key(&key);
        let slot = self.slots.entry(key).or_insert_with(|| TaskSlot::reported(state, now));
        slot.phase = TaskPhase::Confirmed(state);
        if state == TaskState::Running && slot.running_since.is_none() {
            slot.running_since = Some(now);
        }
        if let TaskState::Exited(reason) = state {
            if slot.outcome_recorded {
                return None;
            }
            slot.outcome_recorded = true;
            let ran_ms = slot.running_since.map(|since| now - since);
            return Some(TaskChange::Exited(TaskExit { task, attempt, reason, ran_ms }));
        }
        (!known || slot.demand.is_none()).then_some(TaskChange::Present { task, attempt })
    }
}
