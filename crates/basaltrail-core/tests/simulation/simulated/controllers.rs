//! Controllers: steps of their processes, and delivery of the effects.

use super::*;
use basaltrail_core::events::HeartbeatEvent;

use super::store_requests::fits_limits;

/// Latency of a request to the cloud, without the network delay.
const CLOUD_LATENCY_MS: u64 = 20;
/// Additional latency of a late cloud request.
const CLOUD_LATE_MS: u64 = 30_000;
/// Call id of a duplicate request, which gets no reply.
pub(super) const DUPLICATE_CALL: CallId = CallId(u64::MAX);

/// The origin of an effect: the controller, the epoch of its process, and the time at which the
/// effect is sent.
#[derive(Clone, Copy)]
struct Step {
    controller: usize,
    epoch: u64,
    sent_at: u64,
}

impl Simulation {
    /// Steps the process of a controller and applies its effects.
    pub(super) fn step(&mut self, i: usize, input: Input) {
        let c = &mut self.controllers[i];
        let now = ((self.now - c.process_started_at) as f64 * c.clock_rate) as u64;
        let Some(process) = c.process.as_mut() else { return };
        let effects = process.step(now, self.now as i64, input);
        let epoch = c.epoch;
        if c.pending_freeze_until > self.now {
            c.frozen_until = std::mem::take(&mut c.pending_freeze_until);
        }
        // Effects of the step in which the process freezes are sent after the freeze.
        let step = Step { controller: i, epoch, sent_at: self.now.max(c.frozen_until) };
        for effect in effects {
            self.apply_effect(step, effect);
        }
    }

    fn apply_effect(&mut self, step: Step, effect: Effect) {
        match effect {
            Effect::Answer { request_id, answer } => {
                self.check_starts_sent(step.controller, &answer);
                self.send_answer(step, request_id, answer);
            }
            Effect::Store { call_id, request, timeout_ms } => {
                self.send_store_request(step, call_id, request, timeout_ms);
            }
            Effect::Cloud { call_id, request, timeout_ms } => {
                self.send_cloud_request(step, call_id, request, timeout_ms);
            }
            Effect::BroadcastProgress { progress } => {
                self.send_to_peers(step.controller, step.sent_at, &progress)
            }
            Effect::Log(LogEvent::Heartbeat(HeartbeatEvent::RenewalViolation {
                machine,
                task,
            })) => {
                let controller = step.controller;
                self.record_violation(format!(
                    "controller {controller}: a heartbeat answer kept a task without renewal \
                     evidence: {machine} {task:?}"
                ));
            }
            Effect::Log(_) => {}
        }
    }

    fn send_answer(&mut self, step: Step, request_id: RequestId, answer: Answer) {
        let Some(requester) = self.requesters.remove(&request_id) else { return };
        let at = step.sent_at + self.network_delay();
        let isolated = step.sent_at < self.controllers[step.controller].isolated_until;
        match requester {
            Requester::Worker(worker, sequence) => {
                if self.controllers[step.controller].version.renews_on_stale_jobs() {
                    self.stale_renewal_at = Some(step.sent_at);
                }
                let at = self.arrival_at_worker(step.controller, worker, at);
                let agent_epoch = self.workers[worker].agent_epoch;
                let commands = Message::Commands(worker, agent_epoch, sequence, answer);
                self.send(at, usize::MAX, 0, commands);
            }
            Requester::User(_, request) if at > request.deadline => {}
            _ if isolated => {}
            _ => self.send(at, usize::MAX, 0, Message::Answer(requester, answer)),
        }
    }

    fn send_store_request(
        &mut self,
        step: Step,
        call_id: CallId,
        request: StoreRequest,
        timeout_ms: u64,
    ) {
        let Step { controller, epoch, sent_at } = step;
        let unknown = Input::Store { call_id, reply: StoreReply::Unknown };
        self.send(self.now + timeout_ms, controller, epoch, Message::Input(unknown));
        let mut at = sent_at + self.network_delay();
        if !fits_limits(&request, self.controllers[controller].configuration.store_limits) {
            self.record_violation(format!(
                "controller {controller} wrote beyond its limits: {request:?}"
            ));
        }
        // A duplicate transaction is applied later and gets no reply.
        if matches!(request, StoreRequest::Transaction { .. }) && self.is_duplicated() {
            let at = self.now + self.rng.random_range(5..30_000);
            self.send(at, controller, epoch, Message::Store(DUPLICATE_CALL, request.clone()));
        }
        if let Some((until, delayed)) = self.controllers[controller].store_partition {
            if !delayed {
                return;
            }
            at = at.max(until + self.network_delay());
        }
        self.send(at, controller, epoch, Message::Store(call_id, request));
    }

    fn send_cloud_request(
        &mut self,
        step: Step,
        call_id: CallId,
        request: CloudRequest,
        timeout_ms: u64,
    ) {
        let Step { controller, epoch, sent_at } = step;
        let unknown = Input::Cloud { call_id, reply: CloudReply::Unknown };
        self.send(self.now + timeout_ms, controller, epoch, Message::Input(unknown));
        let is_late = self.now < FAULTS_END_MS && self.rng.random_bool(0.05);
        let late_ms = if is_late { CLOUD_LATE_MS } else { 0 };
        if self.is_duplicated() {
            let at = self.now + self.rng.random_range(5..30_000);
            self.send(at, controller, epoch, Message::Cloud(DUPLICATE_CALL, request.clone()));
        }
        let isolated_until = self.controllers[controller].isolated_until;
        let at = sent_at.max(isolated_until) + CLOUD_LATENCY_MS + self.network_delay() + late_ms;
        self.send(at, controller, epoch, Message::Cloud(call_id, request));
    }

    /// Sends a leader's progress to the peers that no partition separates from it.
    fn send_to_peers(&mut self, from: usize, at: u64, progress: &[Progress]) {
        if at < self.peers_refuse_until {
            return;
        }
        let is_cut_off = |controller: &SimulatedController| {
            controller.isolated_until > at || controller.store_partition.is_some()
        };
        for to in (0..CONTROLLERS).filter(|to| *to != from) {
            let in_other_zone = self.zone_partition.is_some() && to % 2 != from % 2;
            if in_other_zone
                || is_cut_off(&self.controllers[from])
                || is_cut_off(&self.controllers[to])
            {
                continue;
            }
            let epoch = self.controllers[to].epoch;
            let input = Input::PeerProgress { progress: progress.to_vec() };
            self.send(at + 5, to, epoch, Message::Input(input));
        }
    }

    /// Returns the time at which a message between a controller and a worker arrives, or `u64::MAX`
    /// if it is lost.
    pub(super) fn arrival_at_worker(&mut self, controller: usize, worker: usize, at: u64) -> u64 {
        let partition = self.zone_partition.filter(|_| controller % 2 != self.workers[worker].zone);
        match partition.or(self.controllers[controller].worker_partition) {
            Some((until, true)) => until + self.network_delay(),
            Some((_, false)) => u64::MAX,
            None => at,
        }
    }
}
