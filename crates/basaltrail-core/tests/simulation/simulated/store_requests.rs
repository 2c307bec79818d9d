//! Requests to the store, and what becomes of its replies on the way.

use super::controllers::COPY;
use super::*;

/// Whether a call keeps limits on the bytes of a value and the changes of a transaction.
pub(super) fn within(call: &StoreRequest, (value, ops): (usize, usize)) -> bool {
    let StoreRequest::Transaction { preconditions, puts, deletes } = call else { return true };
    let small = puts.iter().all(|p| p.value.len() <= value);
    small && puts.len() + deletes.len() <= ops && preconditions.len() <= ops * 4
}

/// Milliseconds for which a watch that cannot be answered is kept.
const WATCH_KEPT_MS: u64 = 60_000;

impl World {
    /// Carries a request out and answers it, as far as the troubles of the moment let it.
    pub(super) fn store_request(
        &mut self,
        controller: usize,
        epoch: u64,
        op: CallId,
        call: StoreRequest,
    ) {
        let refused = self.now < self.controllers[controller].refused_until;
        let down = self.now < self.store.down_until || refused;
        if let StoreRequest::Watch { prefix, after, wait_ms } = call {
            let until = self.now + wait_ms;
            let watch = OpenWatch { controller, epoch, op, prefix, after, until };
            return self.open_watch(watch, down);
        }
        let shut = down || (self.controllers[controller].store_cut.is_some() && op != COPY);
        let changes = matches!(
            &call,
            StoreRequest::Transaction { puts, deletes, .. } if puts.len() + deletes.len() > 0
        );
        let late = self.late_writes;
        let may_be_late = changes && !shut && op != COPY && self.now < late.until;
        if may_be_late && self.rng.random_bool(late.share) {
            return self.leave_unanswered(controller, epoch, call, late);
        }
        let reply = if down { StoreReply::Refused } else { self.store.carry_out(self.now, &call) };
        self.check_reply(op, &call, &reply);
        let at = self.now + self.delay() + self.store_delay_ms;
        let lost = self.now < FAULTS_END_MS && self.rng.random_bool(0.01);
        if !lost && self.controllers[controller].store_cut.is_none() {
            self.send(at, controller, epoch, Message::Input(Input::Store { op, reply }));
        }
        self.watch();
    }

    /// Watches that are open wait; a new one is refused while the store is down.
    fn open_watch(&mut self, watch: OpenWatch, down: bool) {
        let controller = watch.controller;
        if down {
            let input = Input::Store { op: watch.op, reply: StoreReply::Refused };
            return self.send(self.now + 2, controller, watch.epoch, Message::Input(input));
        }
        let lost = self.now < self.controllers[controller].watches_lost_until;
        if watch.prefix == records::JOBS_PREFIX && lost {
            return self.record_moment("watch lost");
        }
        self.store.watches.push(watch);
        self.watch();
    }

    /// A transaction gets no answer and is carried out, at once or later.
    fn leave_unanswered(
        &mut self,
        controller: usize,
        epoch: u64,
        call: StoreRequest,
        late: LateWrites,
    ) {
        if !late.answer_lost {
            let at = self.now + self.rng.random_range(2_000..12_000);
            return self.send(at, controller, epoch, Message::Store(COPY, call));
        }
        if matches!(self.store.carry_out(self.now, &call), StoreReply::Committed { .. }) {
            self.record_moment("answer lost");
        }
        self.watch();
    }

    fn check_reply(&mut self, op: CallId, call: &StoreRequest, reply: &StoreReply) {
        // A copy may come after the limits fell of what an earlier version wrote before.
        let late = op == COPY && within(call, LIMITS);
        if *reply == StoreReply::Rejected && !late {
            self.violation(format!("wrote more than the service takes: {call:?}"));
        }
        match reply {
            StoreReply::Committed { .. } if op == COPY => self.record_moment("late write won"),
            StoreReply::Conflict { .. } if op == COPY => self.record_moment("late write lost"),
            _ => {}
        }
    }

    /// Answers the watches that have something to tell or have waited for long enough.
    pub(super) fn watch(&mut self) {
        let now = self.now;
        if now < self.store.down_until {
            return;
        }
        for watch in std::mem::take(&mut self.store.watches) {
            let events = self.store.news(&watch.prefix, watch.after);
            let controller = &self.controllers[watch.controller];
            let shut = controller.store_cut.is_some() || now < controller.refused_until;
            if shut || (events.is_empty() && now < watch.until) {
                if now < watch.until + WATCH_KEPT_MS {
                    self.store.watches.push(watch);
                }
                continue;
            }
            let reply = StoreReply::Events { revision: self.store.revision, events };
            let at = now + self.delay();
            let input = Input::Store { op: watch.op, reply };
            self.send(at, watch.controller, watch.epoch, Message::Input(input));
        }
    }
}
