//! What operators are told of limits, use and allotments.

use super::*;
use crate::inspection::{ClassReport, LimitsReport, TeamReport};
use basaltrail_admission::{Room, OTHER_CLASSES};

impl Controller {
    pub(super) fn inspect(&mut self, req: RequestId) {
        let used = self.with_leader(|leader, ctx, _, _| leader.use_by_team(ctx));
        let used = used.filter(|_| self.leading());
        let teams = (0..self.cfg.teams.len()).map(|team| self.team_report(team, used.as_deref()));
        let report = LimitsReport {
            controller: self.cfg.controller.clone(),
            leader: self.election.leader_hint().map(str::to_string),
            revision: self.job_watch.revision().unwrap_or(Revision::NONE),
            allotted: self.admission.binds(),
            teams: teams.collect(),
        };
        self.calls.answer(req, Answer::Limits(Box::new(report)));
    }

    fn team_report(&self, index: usize, used: Option<&[f64]>) -> TeamReport {
        let team = &self.cfg.teams[index];
        let mut classes: BTreeMap<String, ClassReport> = BTreeMap::new();
        let class = |name: &str| ClassReport { class: name.into(), ..ClassReport::default() };
        for job in self.job_cache.active.values().filter(|job| job.spec.team == team.name) {
            let name = &job.spec.class;
            classes.entry(name.clone()).or_insert_with(|| class(name)).jobs += 1;
        }
        let held = self.job_cache.admission.held(&team.name, &self.cfg.controller);
        let left = self.admission.left(&self.job_cache, &team.name);
        if let Some(held) = held.filter(|_| self.admission.binds() && !left.is_empty()) {
            let pair = |room: Room| Some((room.jobs, room.work));
            for (entry, left) in held.allotment.classes.iter().zip(left) {
                let name = &entry.class;
                let report = classes.entry(name.clone()).or_insert_with(|| class(name));
                report.allotted = pair(entry.room());
                report.left = pair(left);
            }
        }
        // The entry for all other classes comes last.
        let others = classes.remove(OTHER_CLASSES);
        TeamReport {
            team: team.name.clone(),
            guaranteed: team.cpus,
            limit: team.cpus_max.is_finite().then_some(team.cpus_max),
            used: used.map(|used| used[index]),
            refused: self.admission.refused_of(index),
            classes: classes.into_values().chain(others).collect(),
        }
    }
}
