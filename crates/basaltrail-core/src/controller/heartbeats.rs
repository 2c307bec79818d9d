//! Answers heartbeats of workers and logs the answers. [`crate::lease_renewal`] has the rules under
//! which an answer may renew a worker's lease.

use super::Controller;
use crate::answer::Answer;
use crate::events::{HeartbeatEvent, HeartbeatSummary, HeartbeatVerdict, LeadershipEvent};
use crate::lease_renewal::{AnswerCounters, RenewalConditions, RenewalRefusal};
use crate::model::{FencingToken, Heartbeat, RequestId, Revision};
use std::collections::BTreeSet;

impl Controller {
    /// Answers a heartbeat.
    pub(super) fn handle_heartbeat(&mut self, request_id: RequestId, heartbeat: &Heartbeat) {
        let decision = self.decide_answer(heartbeat);
        self.log_decision(heartbeat, &decision);
        let answer = match decision {
            Ok(answer) => answer,
            Err(refusal) => {
                self.heartbeat_counters.count_refusal(refusal);
                let leader =
                    self.election.leader_hint().filter(|leader| *leader != self.cfg.controller);
                refusal.answer(leader.map(str::to_string))
            }
        };
        self.check_renewal_invariant(heartbeat, &answer);
        self.calls.answer(request_id, answer);
    }

    /// Returns the conditions under which a heartbeat is answered now.
    fn renewal_conditions(&self) -> RenewalConditions<'_> {
        let holds_valid_lease = self.election.holds_valid_lease(self.now);
        RenewalConditions {
            cfg: &self.cfg,
            job_cache: &self.job_cache,
            now: self.now,
            // The lease may have been acquired in this step, before `lease_held_since` is updated.
            lease_held_since: holds_valid_lease.then(|| self.lease_held_since.unwrap_or(self.now)),
            jobs_as_of: self.job_watch.as_of(),
        }
    }

    /// Decides on the answer to a heartbeat and applies the heartbeat to the leader state.
    fn decide_answer(&mut self, heartbeat: &Heartbeat) -> Result<Answer, RenewalRefusal> {
        let conditions = self.renewal_conditions();
        let permit = conditions.permit(heartbeat);
        let unknown_jobs = match permit {
            // Without a valid lease or a fresh job cache, the heartbeat is not applied to the
            // leader state.
            Err(refusal @ (RenewalRefusal::NoValidLease | RenewalRefusal::JobsNotRead)) => {
                return Err(refusal)
            }
            Err(_) => conditions.unknown_jobs(heartbeat),
            Ok(_) => BTreeSet::new(),
        };
        self.with_leader(|leader, ctx, calls, rng| {
            for job in unknown_jobs {
                leader.request_job_record(ctx, job);
            }
            leader.answer_heartbeat(ctx, calls, heartbeat, permit, rng)
        })
        .unwrap_or(Err(RenewalRefusal::NoValidLease))
    }

    /// Checks the invariant of [`crate::lease_renewal`] on the final answer, without its permit. A
    /// violation is logged and the answer is sent anyway, since ending the process would not help
    /// any user.
    fn check_renewal_invariant(&mut self, heartbeat: &Heartbeat, answer: &Answer) {
        let Answer::Commands { commands, .. } = answer else { return };
        self.heartbeat_counters.count_renewal(commands);
        let unverified_tasks = self.renewal_conditions().unverified_tasks(heartbeat, answer);
        for task in &unverified_tasks {
            self.heartbeat_counters.violations += 1;
            let machine = heartbeat.machine.clone();
            self.calls.log(HeartbeatEvent::RenewalViolation { machine, task: *task });
        }
    }

    fn log_decision(&mut self, heartbeat: &Heartbeat, decision: &Result<Answer, RenewalRefusal>) {
        if !self.verbose {
            return;
        }
        let verdict = match decision {
            Ok(Answer::Commands { token, commands }) => {
                HeartbeatVerdict::Renewed { token: *token, commands: commands.len() }
            }
            Ok(_) => return,
            Err(refusal) => HeartbeatVerdict::Refused(*refusal),
        };
        self.calls.log(HeartbeatEvent::Answered {
            machine: heartbeat.machine.clone(),
            agent_epoch: heartbeat.agent_epoch,
            sequence: heartbeat.sequence,
            token: heartbeat.token,
            tasks: heartbeat.tasks.len(),
            verdict,
        });
    }

    /// Logs once per round the counts of answers to heartbeats and the state they relied on.
    pub(super) fn log_heartbeat_summary(&mut self) {
        if self.now < self.next_heartbeat_summary_at {
            return;
        }
        self.next_heartbeat_summary_at = self.now + self.cfg.round_ms();
        if self.heartbeat_counters == AnswerCounters::default() {
            return;
        }
        let counters = std::mem::take(&mut self.heartbeat_counters);
        self.calls.log(HeartbeatEvent::Summary(HeartbeatSummary {
            token: self.election.leader_term().map_or(FencingToken(0), |term| term.token),
            holds_valid_lease: self.election.holds_valid_lease(self.now),
            jobs_revision: self.job_watch.revision().unwrap_or(Revision::NONE),
            jobs_age_ms: self.job_watch.as_of().map(|as_of| self.now - as_of),
            counters,
        }));
    }

    /// Logs every change of the leader that this controller knows of.
    pub(super) fn log_leader_change(&mut self) {
        let leader = self.election.leader_hint();
        if leader == self.logged_leader.as_deref() {
            return;
        }
        let (token, revision) = self.election.last_token_and_revision();
        let leader = leader.map(str::to_string);
        self.logged_leader.clone_from(&leader);
        self.leader_seen_at = self.now;
        self.calls.log(LeadershipEvent::LeaderSeen { leader, term: token, revision });
    }
}
