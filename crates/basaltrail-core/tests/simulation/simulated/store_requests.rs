//! Requests to the store, with the faults that affect them and their replies.

use super::controllers::DUPLICATE_CALL;
use super::*;

/// Returns whether a request is within limits on the bytes of a value and the operations of a
/// transaction.
pub(super) fn fits_limits(request: &StoreRequest, (max_value_bytes, ops): (usize, usize)) -> bool {
    let StoreRequest::Transaction { preconditions, puts, deletes } = request else { return true };
    let values_fit = puts.iter().all(|put| put.value.len() <= max_value_bytes);
    values_fit && puts.len() + deletes.len() <= ops && preconditions.len() <= ops * 4
}

/// Time for which an overdue watch that cannot be answered is kept.
const WATCH_KEEP_MS: u64 = 60_000;

impl Simulation {
    /// Applies a request and sends the reply, subject to the active faults.
    pub(super) fn handle_store_request(
        &mut self,
        controller: usize,
        epoch: u64,
        call_id: CallId,
        request: StoreRequest,
    ) {
        let refused = self.now < self.controllers[controller].store_refuses_until;
        let down = self.now < self.store.down_until || refused;
        if let StoreRequest::Watch { prefix, after, wait_ms } = request {
            let until = self.now + wait_ms;
            let watch = OpenWatch { controller, epoch, call_id, prefix, after, until };
            return self.open_watch(watch, down);
        }
        let unreachable = down
            || (self.controllers[controller].store_partition.is_some()
                && call_id != DUPLICATE_CALL);
        let changes = matches!(
            &request,
            StoreRequest::Transaction { puts, deletes, .. } if puts.len() + deletes.len() > 0
        );
        let fault = self.unanswered_writes;
        let may_go_unanswered =
            changes && !unreachable && call_id != DUPLICATE_CALL && self.now < fault.until;
        if may_go_unanswered && self.rng.random_bool(fault.share) {
            return self.apply_without_reply(controller, epoch, request, fault);
        }
        let reply =
            if down { StoreReply::Unavailable } else { self.store.apply(self.now, &request) };
        self.check_reply(call_id, &request, &reply);
        let at = self.now + self.network_delay() + self.store_delay_ms;
        let lost = self.now < FAULTS_END_MS && self.rng.random_bool(0.01);
        if !lost && self.controllers[controller].store_partition.is_none() {
            self.send(at, controller, epoch, Message::Input(Input::Store { call_id, reply }));
        }
        self.answer_watches();
    }

    /// Opens a watch, or refuses it while the store is down. An open watch outlasts an outage.
    fn open_watch(&mut self, watch: OpenWatch, down: bool) {
        let controller = watch.controller;
        if down {
            let input = Input::Store { call_id: watch.call_id, reply: StoreReply::Unavailable };
            return self.send(self.now + 2, controller, watch.epoch, Message::Input(input));
        }
        let lost = self.now < self.controllers[controller].watches_lost_until;
        if watch.prefix == records::JOBS_PREFIX && lost {
            return self.record_situation("watch on jobs lost");
        }
        self.store.open_watches.push(watch);
        self.answer_watches();
    }

    /// Applies a transaction, at once or later, without a reply.
    fn apply_without_reply(
        &mut self,
        controller: usize,
        epoch: u64,
        request: StoreRequest,
        fault: UnansweredWrites,
    ) {
        if !fault.only_reply_lost {
            let at = self.now + self.rng.random_range(2_000..12_000);
            return self.send(at, controller, epoch, Message::Store(DUPLICATE_CALL, request));
        }
        if matches!(self.store.apply(self.now, &request), StoreReply::Committed { .. }) {
            self.record_situation("reply of a committed write lost");
        }
        self.answer_watches();
    }

    fn check_reply(&mut self, call_id: CallId, request: &StoreRequest, reply: &StoreReply) {
        // A duplicate of a write of an earlier version may arrive after the limits were lowered.
        let is_outdated = call_id == DUPLICATE_CALL && fits_limits(request, STORE_LIMITS);
        if *reply == StoreReply::Invalid && !is_outdated {
            self.record_violation(format!("wrote beyond the limits of the store: {request:?}"));
        }
        match reply {
            StoreReply::Committed { .. } if call_id == DUPLICATE_CALL => {
                self.record_situation("late write committed")
            }
            StoreReply::Conflict { .. } if call_id == DUPLICATE_CALL => {
                self.record_situation("late write conflicted")
            }
            _ => {}
        }
    }

    /// Answers the watches that have events or have timed out.
    pub(super) fn answer_watches(&mut self) {
        let now = self.now;
        if now < self.store.down_until {
            return;
        }
        for watch in std::mem::take(&mut self.store.open_watches) {
            let events = self.store.events_after(&watch.prefix, watch.after);
            let controller = &self.controllers[watch.controller];
            let unreachable =
                controller.store_partition.is_some() || now < controller.store_refuses_until;
            if unreachable || (events.is_empty() && now < watch.until) {
                if now < watch.until + WATCH_KEEP_MS {
                    self.store.open_watches.push(watch);
                }
                continue;
            }
            let reply = StoreReply::Events { revision: self.store.revision, events };
            let at = now + self.network_delay();
            let input = Input::Store { call_id: watch.call_id, reply };
            self.send(at, watch.controller, watch.epoch, Message::Input(input));
        }
    }
}
