//! Answers to heartbeats that come before the machine registry is read.

use crate::answer::Answer;
use crate::lease_renewal::{RenewalPermit, RenewalRefusal};
use crate::machines::machine::MAX_ANSWERS_WITHOUT_TOKEN;
use crate::machines::Machine;
use crate::model::{FencingToken, Heartbeat, MachineId, Ms};
use std::collections::HashMap;

/// Answers to one machine.
#[derive(Default)]
struct MachineAnswers {
    /// When the last one was given; it may have renewed the machine's lease.
    last: Ms,
    /// Those to heartbeats that did not show this leader's token.
    without_token: u32,
}

/// What was answered to which machine.
///
/// The answers renew the workers' leases: were they refused, all leases would expire where the
/// state service is slow, or fails, just after the election. Nothing is started, and what the
/// answers may have renewed is counted once the machine registry is read.
#[derive(Default)]
pub(in crate::leader) struct LoadingAnswers {
    by_machine: HashMap<MachineId, MachineAnswers>,
}

impl LoadingAnswers {
    /// Answers a heartbeat without commands of the leader's own. `token` is the leader's, and no
    /// more than `max_machines` are kept account of.
    ///
    /// # Errors
    ///
    /// Why the lease is not renewed.
    pub(in crate::leader) fn answer(
        &mut self,
        now: Ms,
        token: FencingToken,
        max_machines: usize,
        heartbeat: &Heartbeat,
        permit: RenewalPermit,
    ) -> Result<Answer, RenewalRefusal> {
        let known = self.by_machine.contains_key(&heartbeat.machine);
        if !known && self.by_machine.len() >= max_machines {
            return Err(RenewalRefusal::Loading);
        }
        let answers = self.by_machine.entry(heartbeat.machine.clone()).or_default();
        if heartbeat.token < token {
            if answers.without_token >= MAX_ANSWERS_WITHOUT_TOKEN {
                return Err(RenewalRefusal::TokenNotAdopted);
            }
            answers.without_token += 1;
        }
        answers.last = now;
        Ok(permit.answer(token, Vec::new()))
    }

    /// Counts what was answered to a machine before it was read from the machine registry.
    pub(in crate::leader) fn apply_to(&self, machine: &mut Machine) {
        if let Some(answers) = self.by_machine.get(&machine.id) {
            machine.lease_renewed_at = machine.lease_renewed_at.max(answers.last);
            machine.answers_without_token = answers.without_token;
        }
    }

    /// The machine registry is read: its machines count the answers from now on.
    pub(in crate::leader) fn clear(&mut self) {
        self.by_machine.clear();
    }
}
