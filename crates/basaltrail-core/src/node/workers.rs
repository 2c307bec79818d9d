//! Workers' reports: who may answer them, and what is logged of the answers.

use super::*;
use crate::lease_renewal::{Knowledge, Refusal};
use std::collections::BTreeSet;

impl Node {
    pub(super) fn checkin(&mut self, req: ReqId, report: &Report) {
        let decision = self.answer_worker(report);
        self.log_decision(report, &decision);
        let answer = match decision {
            Ok(answer) => answer,
            Err(refusal) => {
                self.answers.count_refusal(refusal);
                let leader = self.election.leader_hint().filter(|l| *l != self.cfg.node);
                refusal.answer(leader.map(str::to_string))
            }
        };
        self.check_renewal(report, &answer);
        self.calls.answer(req, answer);
    }

    /// What this node may rely on now.
    fn knowledge(&self) -> Knowledge<'_> {
        let entitled = self.election.entitled(self.now);
        Knowledge {
            cfg: &self.cfg,
            table: &self.table,
            now: self.now,
            // The right may have begun in this very step.
            entitled_since: entitled.then(|| self.entitled_since.unwrap_or(self.now)),
            jobs_as_of: self.jobs_view.as_of(),
        }
    }

    fn answer_worker(&mut self, report: &Report) -> Result<Answer, Refusal> {
        let knowledge = self.knowledge();
        let permit = knowledge.permit(report);
        let unknown = match permit {
            // Without the right or recent knowledge the report is not even taken.
            Err(refusal @ (Refusal::NotEntitled | Refusal::JobsNotRead)) => return Err(refusal),
            Err(_) => knowledge.unknown_jobs(report),
            Ok(_) => BTreeSet::new(),
        };
        self.with_leadership(|leadership, ctx, calls, rng| {
            for job in unknown {
                leadership.read_job(ctx, job);
            }
            leadership.checkin(ctx, calls, report, permit, rng)
        })
        .unwrap_or(Err(Refusal::NotEntitled))
    }

    /// The invariant of [`crate::lease_renewal`], judged by the answer alone. A violation is
    /// reported and the answer goes out: ending the process would help nobody.
    fn check_renewal(&mut self, report: &Report, answer: &Answer) {
        let Answer::Orders { orders, .. } = answer else { return };
        self.answers.count_orders(orders);
        let kept = self.knowledge().kept_without_knowledge(report, answer);
        for task in &kept {
            self.answers.violations += 1;
            let detail = format!("machine={} job={} task={}", report.machine, task.job, task.index);
            self.calls.log(Level::Error, "renewal_violation", detail);
        }
    }

    fn log_decision(&mut self, report: &Report, decision: &Result<Answer, Refusal>) {
        if !self.verbose {
            return;
        }
        let verdict = match decision {
            Ok(Answer::Orders { token, orders }) => {
                format!("renewed token={} orders={}", token.0, orders.len())
            }
            Ok(_) => return,
            Err(refusal) => format!("refused why={}", refusal.name()),
        };
        let detail = format!(
            "machine={} session={} seq={} token={} tasks={} {verdict}",
            report.machine,
            report.session,
            report.seq,
            report.token.0,
            report.tasks.len()
        );
        self.calls.log(Level::Debug, "worker_answer", detail);
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
        let age = self.jobs_view.as_of().map_or("none".into(), |t| (self.now - t).to_string());
        let token = self.election.lead().map_or(0, |lead| lead.token.0);
        let detail = format!(
            "token={token} entitled={} jobs_revision={} jobs_age_ms={age} {}",
            self.election.entitled(self.now),
            self.jobs_view.revision().unwrap_or(0),
            std::mem::take(&mut self.answers).detail()
        );
        self.calls.log(Level::Info, "worker_answers", detail);
    }

    /// A line whenever this node learns of another leader.
    pub(super) fn log_leader(&mut self) {
        let leader = self.election.leader_hint();
        if leader == self.leader_logged.as_deref() {
            return;
        }
        let (token, revision) = self.election.seen();
        let name = leader.map(str::to_string);
        let detail = format!(
            "leader={} term={} revision={revision}",
            name.as_deref().unwrap_or("none"),
            token.0
        );
        self.leader_logged = name;
        self.calls.log(Level::Info, "leader_seen", detail);
    }
}
