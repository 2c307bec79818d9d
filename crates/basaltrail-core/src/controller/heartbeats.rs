//! Workers' reports: who may answer them, and what is logged of the answers.

use super::*;
use crate::events::{HeartbeatEvent, HeartbeatSummary, HeartbeatVerdict};
use crate::lease_renewal::{Knowledge, Refusal};
use std::collections::BTreeSet;

impl Controller {
    pub(super) fn heartbeat(&mut self, req: RequestId, heartbeat: &Heartbeat) {
        let decision = self.answer_worker(heartbeat);
        self.log_decision(heartbeat, &decision);
        let answer = match decision {
            Ok(answer) => answer,
            Err(refusal) => {
                self.answers.count_refusal(refusal);
                let leader = self.election.leader_hint().filter(|l| *l != self.cfg.controller);
                refusal.answer(leader.map(str::to_string))
            }
        };
        self.check_renewal(heartbeat, &answer);
        self.calls.answer(req, answer);
    }

    /// What this controller may rely on now.
    fn knowledge(&self) -> Knowledge<'_> {
        let holds_valid_lease = self.election.holds_valid_lease(self.now);
        Knowledge {
            cfg: &self.cfg,
            job_cache: &self.job_cache,
            now: self.now,
            // The right may have begun in this very step.
            lease_held_since: holds_valid_lease.then(|| self.lease_held_since.unwrap_or(self.now)),
            jobs_as_of: self.job_watch.as_of(),
        }
    }

    fn answer_worker(&mut self, heartbeat: &Heartbeat) -> Result<Answer, Refusal> {
        let knowledge = self.knowledge();
        let permit = knowledge.permit(heartbeat);
        let unknown = match permit {
            // Without the right or recent knowledge the report is not even taken.
            Err(refusal @ (Refusal::NotEntitled | Refusal::JobsNotRead)) => return Err(refusal),
            Err(_) => knowledge.unknown_jobs(heartbeat),
            Ok(_) => BTreeSet::new(),
        };
        self.with_leader(|leader, ctx, calls, rng| {
            for job in unknown {
                leader.read_job(ctx, job);
            }
            leader.heartbeat(ctx, calls, heartbeat, permit, rng)
        })
        .unwrap_or(Err(Refusal::NotEntitled))
    }

    /// The invariant of [`crate::lease_renewal`], judged by the answer alone. A violation is
    /// reported and the answer goes out: ending the process would help nobody.
    fn check_renewal(&mut self, heartbeat: &Heartbeat, answer: &Answer) {
        let Answer::Commands { commands, .. } = answer else { return };
        self.answers.count_orders(commands);
        let kept = self.knowledge().kept_without_knowledge(heartbeat, answer);
        for task in &kept {
            self.answers.violations += 1;
            let machine = heartbeat.machine.clone();
            self.calls.log(HeartbeatEvent::RenewalViolation { machine, task: *task });
        }
    }

    fn log_decision(&mut self, heartbeat: &Heartbeat, decision: &Result<Answer, Refusal>) {
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

    /// One line a round about the answers to workers and the knowledge they rested on.
    pub(super) fn log_answers(&mut self) {
        if self.now < self.next_answers_log {
            return;
        }
        self.next_answers_log = self.now + (self.cfg.policy.round_s * 1000.0) as Ms;
        if self.answers == AnswerCounters::default() {
            return;
        }
        let counters = std::mem::take(&mut self.answers);
        self.calls.log(HeartbeatEvent::Summary(HeartbeatSummary {
            token: self.election.leader_term().map_or(FencingToken(0), |term| term.token),
            holds_valid_lease: self.election.holds_valid_lease(self.now),
            jobs_revision: self.job_watch.revision().unwrap_or(Revision::NONE),
            jobs_age_ms: self.job_watch.as_of().map(|as_of| self.now - as_of),
            counters,
        }));
    }

    /// A line whenever this controller learns of another leader.
    pub(super) fn log_leader(&mut self) {
        let leader = self.election.leader_hint();
        if leader == self.leader_logged.as_deref() {
            return;
        }
        let (token, revision) = self.election.seen();
        let leader = leader.map(str::to_string);
        self.leader_logged.clone_from(&leader);
        self.calls.log(LeadershipEvent::LeaderSeen { leader, term: token, revision });
    }
}
