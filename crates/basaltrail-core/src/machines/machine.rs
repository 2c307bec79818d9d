//! One machine: its agent epoch, its lease, and the task slots on it.

use crate::machines::health::MachineHealth;
use crate::machines::machine_kind::MachineKind;
use crate::machines::task_slot::{TaskChange, TaskExit, TaskPhase, TaskSlot};
use crate::model::{AgentEpoch, Attempt, Heartbeat, ListedState, MachineId, Ms, TaskId, TaskState};
use crate::resources::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// Progress of draining and terminating a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decommission {
    /// The machine is in use.
    None,
    /// The machine takes no new tasks and is terminated once it is empty.
    Draining,
    /// A termination request may have been sent, by this leader or an earlier one: the machine must
    /// not be used again, whatever the cloud replies.
    Terminating,
}

/// Milliseconds for which an agent waits for an answer before it asks another controller (PROTOCOL,
/// Workers -> controller nodes). An agent whose next heartbeat arrives sooner received our answer.
const ANSWER_TIMEOUT_MS: Ms = 4000;
/// Number of answers to a machine whose heartbeats do not carry our token, after which its lease is
/// left to expire.
pub const MAX_ANSWERS_WITHOUT_TOKEN: u32 = 3;
/// Number of consecutive heartbeats that list none of the starts in the preceding answer, after
/// which the machine is considered partitioned. One answer may be lost by chance; two mean that
/// answers do not arrive.
const LOST_STARTS_BEFORE_PARTITION: u32 = 2;
/// Longest reclaim notice in seconds; longer ones are shortened to it.
const MAX_RECLAIM_NOTICE_S: f64 = 1e6;

/// The last entry of a machine in the cloud's inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastListing {
    /// State of the machine in the inventory.
    pub state: ListedState,
    /// When the inventory listed the machine.
    pub listed_at: Ms,
}

/// A machine that may hold tasks, or that is being provisioned.
pub struct Machine {
    /// Name given by the cloud.
    pub id: MachineId,
    /// Address at which its agent accepts direct commands; empty while unknown.
    pub endpoint: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Agent epoch of the last heartbeat applied.
    pub agent_epoch: AgentEpoch,
    /// Lowest agent epoch that may still be running; all earlier ones have certainly ended.
    pub min_agent_epoch: AgentEpoch,
    /// Sequence number of the last heartbeat applied, within its agent epoch.
    pub sequence: u64,
    /// Latest time at which an answer may have renewed the worker lease.
    pub lease_renewed_at: Ms,
    /// Time at which the last heartbeat was applied. Only heartbeats that carry our token are
    /// applied.
    pub last_heartbeat_at: Option<Ms>,
    /// Whether the timing of its last heartbeat shows that it received our previous answer, and so
    /// would receive a start.
    pub receives_answers: bool,
    /// Time at which the machine last showed that it receives answers.
    pub answer_received_at: Option<Ms>,
    /// Number of consecutive answers with starts after which the heartbeat listed none of them.
    pub consecutive_lost_starts: u32,
    /// Time until which the machine is considered to be behind a one-way partition: its heartbeats
    /// arrive, but our answers do not.
    pub one_way_partition_until: Ms,
    /// Whether this leader provisioned the machine, so that every task it reports was started by
    /// this leader.
    pub provisioned_by_this_leader: bool,
    /// Number of answers given while the heartbeats of the machine did not carry our token.
    pub answers_without_token: u32,
    /// Whether the machine has sent this leader a heartbeat with our token, or certainly holds no
    /// task that an earlier leader started.
    pub reconciled: bool,
    /// Whether the machine registry of an earlier leader lists it as in use.
    pub in_use_before_failover: bool,
    /// Whether its lease has certainly expired since its last heartbeat.
    pub lease_expired: bool,
    /// Tasks that may be on the machine, by task and attempt.
    pub slots: BTreeMap<(TaskId, Attempt), TaskSlot>,
    /// Whether the machine registry durably states that it may hold tasks. Only then may tasks be
    /// started on it.
    pub registered_in_use: bool,
    /// Segment of the machine registry that lists the machine.
    pub registry_segment: Option<usize>,
    /// Segments of the machine registry that still state that the machine is free, because they
    /// have not been rewritten yet.
    pub listed_free_in_segments: BTreeSet<usize>,
    /// Time at which the cloud reclaims the machine, according to its reclaim notice.
    pub reclaim_at: Option<Ms>,
    /// Progress of its return to the cloud.
    pub decommission: Decommission,
    /// Whether the machine registry durably lists the machine as terminating. Only then is the
    /// termination request sent: the cloud may execute it under a later leader.
    pub termination_recorded: bool,
    /// Time since which no task has run on the machine.
    pub idle_since: Option<Ms>,
    /// Time at which this leader first knew of the machine, less the age stated by the cloud.
    pub known_since: Ms,
    /// Whether the machine has not come up in time and no longer counts as capacity.
    pub overdue: bool,
    /// Whether the machine is overdue for so long that it is terminated.
    pub abandoned: bool,
    /// Time at which the machine was requested, if known from this leader's own request or from the
    /// cloud's inventory.
    pub requested_at: Option<Ms>,
    /// Last entry of the machine in the cloud's inventory.
    pub last_listing: Option<LastListing>,
    /// Time at which the cloud's inventory first listed the machine.
    pub first_listed_at: Option<Ms>,
    /// Images in its cache with their sizes in gigabytes, the most recently used one last.
    pub images: Vec<(String, f64)>,
    /// Failures of jobs that succeed on other machines.
    pub health: MachineHealth,
    /// Time before which no task is placed on the machine, because its agent refused one for lack
    /// of room.
    pub no_room_until: Ms,
}

/// Delivery of the starts in the preceding answer, as shown by a heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct StartDelivery {
    /// Whether the heartbeat lists a task that the answer started.
    any_delivered: bool,
    /// Whether the heartbeat does not list a task that the answer started.
    any_lost: bool,
}

impl Machine {
    /// Creates an empty machine that becomes known now.
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
            last_heartbeat_at: None,
            receives_answers: false,
            answer_received_at: None,
            consecutive_lost_starts: 0,
            one_way_partition_until: 0,
            provisioned_by_this_leader: false,
            answers_without_token: 0,
            reconciled: true,
            in_use_before_failover: false,
            lease_expired: false,
            slots: BTreeMap::new(),
            registered_in_use: false,
            registry_segment: None,
            listed_free_in_segments: BTreeSet::new(),
            reclaim_at: None,
            decommission: Decommission::None,
            termination_recorded: false,
            idle_since: None,
            known_since: now,
            overdue: false,
            abandoned: false,
            requested_at: None,
            last_listing: None,
            first_listed_at: None,
            images: Vec::new(),
            health: MachineHealth::default(),
            no_room_until: 0,
        }
    }

    /// Returns the resources that may be in use.
    pub fn used(&self) -> Resources {
        let mut used = Resources::default();
        for slot in self.slots.values().filter(|slot| slot.holds_resources()) {
            match &slot.demand {
                Some(demand) => used += demand.resources,
                // The demand of a task of an unknown job is unknown too, so no other task may be
                // placed.
                None => used.cpus = f64::INFINITY,
            }
        }
        used
    }

    /// Returns its combination of machine type, zone and purchase option.
    pub fn kind(&self) -> MachineKind {
        MachineKind {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }

    /// Returns whether its cache holds the image.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Records that a task used an image of `gb` gigabytes. A cache of `cache_gb` gigabytes evicts
    /// the least recently used images first.
    pub fn record_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.into(), gb));
        let mut total_gb: f64 = self.images.iter().map(|(_, size)| size).sum();
        while total_gb > cache_gb && self.images.len() > 1 {
            total_gb -= self.images.remove(0).1;
        }
    }

    /// Returns whether the cloud has announced that it will reclaim the machine.
    pub fn has_reclaim_notice(&self, now: Ms) -> bool {
        self.reclaim_at.is_some_and(|at| at > now)
    }

    /// Returns whether the machine gets no more tasks because jobs fail on it that succeed
    /// elsewhere.
    pub fn is_quarantined(&self, now: Ms, worker_lease_ms: Ms) -> bool {
        self.health.is_quarantined(self.idle_since, now, worker_lease_ms)
    }

    /// Returns whether no task can hold resources on the machine.
    pub fn is_empty(&self) -> bool {
        self.slots.values().all(|slot| !slot.holds_resources())
    }

    /// Returns whether the machine has sent a heartbeat and its lease has not expired since.
    pub fn is_up(&self) -> bool {
        self.last_heartbeat_at.is_some() && !self.lease_expired
    }

    /// Removes all slots, as the end of an agent epoch does.
    fn clear_slots(&mut self) -> Vec<TaskChange> {
        std::mem::take(&mut self.slots)
            .into_iter()
            .filter(|(_, slot)| !slot.outcome_recorded)
            .map(|((task, attempt), _)| TaskChange::Gone { task, attempt })
            .collect()
    }

    /// Records that the lease has certainly expired: the agent has killed its tasks and forgotten
    /// them, and heartbeats of this agent epoch that still arrive are delayed copies (PROTOCOL,
    /// `POST /checkin`, Leases).
    pub fn expire_lease(&mut self) -> Vec<TaskChange> {
        self.lease_expired = true;
        self.reconciled = true;
        if self.agent_epoch > AgentEpoch::NONE {
            self.min_agent_epoch = self.agent_epoch.next();
        }
        self.images.clear();
        self.clear_slots()
    }

    /// Returns whether the heartbeat was made after the last one applied.
    pub fn is_newer(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.agent_epoch >= self.min_agent_epoch
            && (heartbeat.agent_epoch, heartbeat.sequence) > (self.agent_epoch, self.sequence)
    }

    /// Records the answer to a heartbeat that does not carry our token yet. Returns false if the
    /// heartbeat must not be answered.
    ///
    /// Such a heartbeat may be a delayed copy of any age and proves nothing, so only the lease that
    /// our answer may renew is recorded. A machine of the machine registry whose heartbeats never
    /// carry our token is no longer answered after a few times. Its lease then certainly expires,
    /// which ends all tasks that earlier leaders started there.
    pub fn try_record_answer_without_token(&mut self, now: Ms) -> bool {
        if !self.reconciled {
            if self.answers_without_token >= MAX_ANSWERS_WITHOUT_TOKEN {
                return false;
            }
            self.answers_without_token += 1;
            self.lease_renewed_at = now;
        }
        true
    }

    /// Applies a newer heartbeat that the agent sent on its own, and returns the changes to its
    /// tasks.
    ///
    /// Bodies of answers to direct commands must not be applied: they may be made while a start is
    /// still in flight, so they prove nothing. The heartbeat carries our token, so the agent made
    /// it after it received an answer of this leader, when no message of earlier leaders was in
    /// flight any more (PROTOCOL, `POST /checkin`, Tokens).
    pub fn apply_heartbeat(
        &mut self,
        now: Ms,
        heartbeat: &Heartbeat,
        worker_lease_ms: Ms,
    ) -> Vec<TaskChange> {
        self.receives_answers = self.received_previous_answer(now);
        self.reconciled = true;
        let new_epoch =
            heartbeat.agent_epoch > self.agent_epoch && self.agent_epoch > AgentEpoch::NONE;
        let mut changes = if new_epoch { self.clear_slots() } else { Vec::new() };
        self.record_contact(now, heartbeat);
        let reported: BTreeMap<(TaskId, Attempt), TaskState> =
            heartbeat.tasks.iter().map(|t| ((t.task, t.attempt), t.state)).collect();
        let delivery = self.remove_unreported(&reported, &mut changes);
        self.detect_one_way_partition(now, worker_lease_ms, delivery);
        for (key, state) in reported {
            changes.extend(self.confirm_slot(now, key, state));
        }
        changes
    }

    /// Returns whether the agent received our previous answer. An agent that gets no answer waits
    /// until it times out and then asks another controller first.
    fn received_previous_answer(&self, now: Ms) -> bool {
        let in_time = self.last_heartbeat_at.is_some_and(|at| now < at + ANSWER_TIMEOUT_MS);
        in_time || !self.reconciled || self.agent_epoch == AgentEpoch::NONE
    }

    fn record_contact(&mut self, now: Ms, heartbeat: &Heartbeat) {
        self.agent_epoch = heartbeat.agent_epoch;
        self.sequence = heartbeat.sequence;
        self.endpoint.clone_from(&heartbeat.endpoint);
        self.last_heartbeat_at = Some(now);
        self.lease_renewed_at = now;
        self.lease_expired = false;
        let to_ms = |s: f64| (s.clamp(0.0, MAX_RECLAIM_NOTICE_S) * 1000.0) as Ms;
        self.reclaim_at = heartbeat.reclaim_notice_s.map(|s| now + to_ms(s));
    }

    /// Removes the slots that the heartbeat does not list, except those whose start was not sent.
    fn remove_unreported(
        &mut self,
        reported: &BTreeMap<(TaskId, Attempt), TaskState>,
        changes: &mut Vec<TaskChange>,
    ) -> StartDelivery {
        let mut delivery = StartDelivery::default();
        self.slots.retain(|&(task, attempt), slot| {
            if reported.contains_key(&(task, attempt)) {
                delivery.any_delivered |= slot.phase == TaskPhase::Sent;
                return true;
            }
            if slot.is_unsent() {
                return true;
            }
            // This heartbeat is newer than the one whose answer carried the start, so the agent
            // made it after that answer was received or dropped: a start that is not listed is
            // lost.
            delivery.any_lost |= slot.phase == TaskPhase::Sent;
            if !slot.outcome_recorded {
                changes.push(TaskChange::Gone { task, attempt });
            }
            false
        });
        delivery
    }

    /// Detects a one-way partition. Heartbeats that arrive do not prove that answers do, so a
    /// machine that receives none of its starts gets no more for a lease.
    fn detect_one_way_partition(&mut self, now: Ms, worker_lease_ms: Ms, delivery: StartDelivery) {
        if delivery.any_delivered {
            self.consecutive_lost_starts = 0;
        } else if delivery.any_lost {
            self.consecutive_lost_starts += 1;
            if self.consecutive_lost_starts >= LOST_STARTS_BEFORE_PARTITION {
                self.one_way_partition_until = now + worker_lease_ms;
            }
        }
        if self.receives_answers && now >= self.one_way_partition_until {
            self.answer_received_at = Some(now);
        }
    }

    /// Applies the state of one task that the heartbeat lists.
    fn confirm_slot(
        &mut self,
        now: Ms,
        key: (TaskId, Attempt),
        state: TaskState,
    ) -> Option<TaskChange> {
        let (task, attempt) = key;
        let was_known = self.slots.contains_key(&key);
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
        (!was_known || slot.demand.is_none()).then_some(TaskChange::Present { task, attempt })
    }
}
