//! Classes of a team that get less than their least share, and the tasks that make up for it.
//!
//! Within a team the ranking goes by priority first: a class of low priority would wait for as
//! long as more comes of the others than the team can run.

use crate::leader::*;

/// CPUs in use by team and class.
struct ClassUse<'a> {
    cpus: HashMap<(usize, &'a str), f64>,
    of_team: Vec<f64>,
}

impl ClassUse<'_> {
    /// CPUs that a class lacks of its least share of what its team uses.
    fn lacks(&self, team: usize, class: &str, least: f64) -> f64 {
        let has = self.cpus.get(&(team, class)).copied().unwrap_or(0.0);
        self.of_team[team] * least - has
    }
}

impl Leader {
    fn class_use(&self, ctx: &Context) -> ClassUse<'_> {
        let mut found = ClassUse { cpus: HashMap::new(), of_team: vec![0.0; ctx.cfg.teams.len()] };
        for machine in self.cluster.machines.values() {
            for ((task, _), entry) in machine.entries.iter().filter(|(_, entry)| entry.holds()) {
                let job = self.cluster.jobs.get(&task.job).filter(|job| job.ended.is_none());
                let Some((job, need)) = job.zip(entry.need) else { continue };
                *found.cpus.entry((job.team, &job.spec.class)).or_default() += need.cpus;
                found.of_team[job.team] += need.cpus;
            }
        }
        found
    }

    /// Of each class of these waiting jobs that lacks some of its least share: the job that came
    /// first, and how many of its tasks make up for it.
    pub(in crate::leader) fn classes_behind(
        &self,
        ctx: &Context,
        waiting: &[Vec<JobId>],
    ) -> Vec<(JobId, u32)> {
        let Some(policy) = &ctx.cfg.policy.admission else { return Vec::new() };
        let in_use = self.class_use(ctx);
        let mut behind = Vec::new();
        for (team, ids) in waiting.iter().enumerate() {
            let mut first: BTreeMap<&str, &RunJob> = BTreeMap::new();
            for job in ids.iter().filter_map(|id| self.cluster.jobs.get(id)) {
                let oldest = first.entry(&job.spec.class).or_insert(job);
                if (job.at, job.id) < (oldest.at, oldest.id) {
                    *oldest = job;
                }
            }
            for (class, job) in first {
                let lacks = in_use.lacks(team, class, policy.class_least);
                if lacks > 1e-9 {
                    let tasks = (lacks / job.spec.cpus.max(1e-9)).ceil().max(1.0) as u32;
                    behind.push((job.id, tasks));
                }
            }
        }
        behind
    }
}
