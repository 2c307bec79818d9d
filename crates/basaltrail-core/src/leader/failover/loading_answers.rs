//! Answers to heartbeats that arrive while the previous leader's records are being loaded.

use crate::answer::Answer;
use crate::lease_renewal::{RenewalPermit, RenewalRefusal};
use crate::machines::machine::MAX_ANSWERS_WITHOUT_TOKEN;
use crate::machines::Machine;
use crate::model::{FencingToken, Heartbeat, MachineId, Ms};
use std::collections::{BTreeMap, HashMap};

/// Answers given to one machine.
#[derive(Default)]
struct MachineAnswers {
    /// Time of the last answer, which may have renewed the machine's lease.
    last_answered_at: Ms,
    /// Number of answers to heartbeats without this leader's token.
    without_token: u32,
}

/// Answers given while the previous leader's records are being loaded, by machine.
///
/// The answers renew the workers' leases. If heartbeats were refused instead, all leases would
/// expire when the state service is slow or fails just after the election. The answers start no
/// tasks. All answers of a term are kept here until every record is read, and are then moved into
/// the machines in the same step in which these begin to record answers themselves. So no answer is
/// forgotten, whichever record was being read when it was given.
#[derive(Default)]
pub(in crate::leader) struct LoadingAnswers {
    by_machine: HashMap<MachineId, MachineAnswers>,
}

impl LoadingAnswers {
    /// Answers a heartbeat with the stops that the permit requires and no other commands. `token`
    /// is the leader's fencing token, and `max_machines` limits the number of machines that are
    /// answered.
    ///
    /// # Errors
    ///
    /// Returns the reason why the worker lease is not renewed.
    pub(in crate::leader) fn answer(
        &mut self,
        now: Ms,
        token: FencingToken,
        max_machines: usize,
        heartbeat: &Heartbeat,
        permit: RenewalPermit,
    ) -> Result<Answer, RenewalRefusal> {
        let is_known = self.by_machine.contains_key(&heartbeat.machine);
        if !is_known && self.by_machine.len() >= max_machines {
            return Err(RenewalRefusal::Loading);
        }
        let answers = self.by_machine.entry(heartbeat.machine.clone()).or_default();
        if heartbeat.token < token {
            if answers.without_token >= MAX_ANSWERS_WITHOUT_TOKEN {
                return Err(RenewalRefusal::TokenNotAdopted);
            }
            answers.without_token += 1;
        }
        answers.last_answered_at = now;
        Ok(permit.answer(token, Vec::new()))
    }

    /// Returns the number of machines that were answered.
    pub(in crate::leader) fn machine_count(&self) -> usize {
        self.by_machine.len()
    }

    /// Moves the recorded answers into the machines of the machine registry. The other machines
    /// that were answered hold no tasks.
    pub(in crate::leader) fn move_into(self, machines: &mut BTreeMap<MachineId, Machine>) {
        for (id, answers) in self.by_machine {
            let Some(machine) = machines.get_mut(&id) else { continue };
            machine.lease_renewed_at = machine.lease_renewed_at.max(answers.last_answered_at);
            machine.answers_without_token = answers.without_token;
        }
    }
}
