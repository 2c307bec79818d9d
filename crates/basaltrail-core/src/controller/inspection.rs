//! The report for operators: limits, use and admission quotas.

use super::Controller;
use crate::answer::Answer;
use crate::inspection::{ClassReport, LimitsReport, TeamReport};
use crate::model::{RequestId, Revision};
use basaltrail_admission::{WorkAmount, OTHER_CLASSES};
use std::collections::BTreeMap;

impl Controller {
    /// Answers an operator's request for the report.
    pub(super) fn answer_inspection(&mut self, request_id: RequestId) {
        let used_cpus = self.with_leader(|leader, ctx, _, _| leader.used_cpus_by_team(ctx));
        let used_cpus = used_cpus.filter(|_| self.is_leading());
        let teams =
            (0..self.cfg.teams.len()).map(|team| self.team_report(team, used_cpus.as_deref()));
        let report = LimitsReport {
            controller: self.cfg.controller.clone(),
            leader: self.election.leader_hint().map(str::to_string),
            revision: self.job_watch.revision().unwrap_or(Revision::NONE),
            quotas_enforced: self.admission.quotas_enforced(),
            teams: teams.collect(),
        };
        self.calls.answer(request_id, Answer::Limits(Box::new(report)));
    }

    /// Returns the report of one team. `used_cpus` holds the CPUs in use by team; only the leader
    /// has it.
    fn team_report(&self, index: usize, used_cpus: Option<&[f64]>) -> TeamReport {
        let team = &self.cfg.teams[index];
        let mut classes: BTreeMap<String, ClassReport> = BTreeMap::new();
        let empty_report =
            |name: &str| ClassReport { class: name.into(), ..ClassReport::default() };
        for job in self.job_cache.active.values().filter(|job| job.spec.team == team.name) {
            let name = &job.spec.class;
            classes.entry(name.clone()).or_insert_with(|| empty_report(name)).jobs += 1;
        }
        let cached = self.job_cache.quotas.quota(&team.name, &self.cfg.controller);
        let remaining = self.admission.remaining(&self.job_cache, &team.name);
        let quota_applies = self.admission.quotas_enforced() && !remaining.is_empty();
        if let Some(cached) = cached.filter(|_| quota_applies) {
            let jobs_and_work = |amount: WorkAmount| Some((amount.jobs, amount.work));
            for (entry, remaining) in cached.quota.classes.iter().zip(remaining) {
                let name = &entry.class;
                let report = classes.entry(name.clone()).or_insert_with(|| empty_report(name));
                report.quota = jobs_and_work(entry.amount());
                report.remaining = jobs_and_work(remaining);
            }
        }
        // The entry for all other classes comes last.
        let other_classes = classes.remove(OTHER_CLASSES);
        TeamReport {
            team: team.name.clone(),
            guaranteed_cpus: team.guaranteed_cpus,
            max_cpus: team.max_cpus.is_finite().then_some(team.max_cpus),
            used_cpus: used_cpus.map(|used_cpus| used_cpus[index]),
            rejected_submissions: self.admission.rejected_count(index),
            classes: classes.into_values().chain(other_classes).collect(),
        }
    }
}
