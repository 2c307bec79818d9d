//! The leader's side: how much each controller may accept of each team and class.
//!
//! For a team, the backlog and what was handed out and is not known to be used stay within a bound
//! together. A quota that is being replaced counts until the cache has reached the revision of the
//! new one: until then its controller may use all that is left of it.

use crate::quota::{AdmissionQuota, QuotaEntry, OTHER_CLASSES};
use crate::quota_cache::{CachedQuota, QuotaCache};
use crate::revision::Revision;
use crate::work_amount::WorkAmount;
use std::collections::BTreeMap;

/// Part of a team's bound that its classes have in equal parts, whatever the others ask for.
const RESERVED_FOR_CLASSES: f64 = 0.5;
/// Part of what a class has that the controllers get in equal parts.
const RESERVED_FOR_CONTROLLERS: f64 = 0.5;
/// Part of what is available that is handed out; the rest is there to replace quotas with.
const HANDED_OUT: f64 = 0.5;
/// A quota is replaced once less than this part of what it should hold is left, or more than the
/// inverse.
const REPLACE_BELOW: f64 = 0.5;
/// How much of earlier rounds' demand is remembered in each round.
const DEMAND_DECAY: f64 = 0.5;
/// Demand that has decayed to fewer jobs than these is forgotten.
const MIN_DEMAND_JOBS: f64 = 0.01;
/// A team's backlog may be at least as large as this part of all guarantees would work off.
const MIN_RATE: f64 = 0.1;
/// Jobs of each class that a team may have for each controller, however little its share is.
const MIN_JOBS_PER_ENTRY: u32 = 4;
/// Classes that one team's quotas name; the others share one entry.
const MAX_NAMED_CLASSES: usize = 16;
/// The longest that a user is told to wait, in seconds (PROTOCOL: `Retry-After` counts up to 30 s).
const MAX_RETRY_AFTER_S: f64 = 30.0;

/// What bounds the backlog of all teams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BacklogBounds {
    /// Seconds of work that may wait, at the rate at which a team is served.
    pub horizon_s: f64,
    /// Unfinished jobs of all teams together.
    pub jobs: u32,
    /// Seconds between two plans.
    pub round_s: f64,
}

/// The backlog of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// The class.
    pub class: String,
    /// Its unfinished jobs, and the work of them that waits.
    pub waiting: WorkAmount,
}

/// What the leader knows of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLoad {
    /// The team.
    pub team: String,
    /// CPUs that it is guaranteed.
    pub guaranteed: f64,
    /// CPUs that it may use; infinite without a limit.
    pub limit: f64,
    /// Its part of the jobs that all teams may have, from 0 to 1.
    pub share: f64,
    /// CPUs that it used on average of late.
    pub served: f64,
    /// Its classes, those without jobs included that may have some.
    pub classes: Vec<ClassLoad>,
}

/// A quota to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaWrite {
    /// What it says.
    pub quota: AdmissionQuota,
    /// The mod revision that the record must still have; [`Revision::NONE`] if there is none.
    pub replaces: Revision,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It was carried out.
    Committed,
    /// It may have been carried out, or be later.
    Unknown,
    /// It was not carried out, and never will be.
    NotExecuted,
}

/// Writes in flight, or carried out and not in the cache yet, of one record: they count beside
/// what they replace. At most one of those that replace the same mod revision is carried out.
#[derive(Clone, Debug)]
struct PendingQuota {
    replaces: Revision,
    /// The most that any of them lets a controller accept, by class.
    largest: BTreeMap<String, WorkAmount>,
    /// The result of one of them is unknown: only a further write settles it.
    uncertain: bool,
}

/// What a quota was known to have spent at the last plan.
#[derive(Clone, Debug)]
struct LastSpent {
    mod_revision: Revision,
    /// Jobs, by entry of the quota.
    jobs: Vec<u32>,
}

/// Plans the quotas of all teams, once a round.
#[derive(Clone, Debug, Default)]
pub struct QuotaPlanner {
    /// By team and controller.
    pending: BTreeMap<(String, String), PendingQuota>,
    /// Jobs accepted of late, fading: by team, class and controller.
    demand: BTreeMap<(String, String, String), f64>,
    /// By team and controller.
    last_spent: BTreeMap<(String, String), LastSpent>,
}

/// What one plan of a team rests on. The amounts stand by class, in the order of `classes`.
struct TeamPlan<'a> {
    bounds: &'a BacklogBounds,
    team: &'a TeamLoad,
    /// The team's bound.
    bound: WorkAmount,
    /// The named classes, and the one for all others.
    classes: Vec<ClassLoad>,
    /// The controllers, with the incarnation of the process of each.
    controllers: Vec<(&'a str, u64)>,
    /// Jobs accepted of late, by class and controller.
    demands: Vec<Vec<f64>>,
    /// What each class may have beside its backlog.
    available: Vec<WorkAmount>,
}

impl QuotaPlanner {
    /// The quotas to write now: only those that change much. The result of each is to be given to
    /// [`QuotaPlanner::record_result`].
    pub fn plan(
        &mut self,
        cache: &QuotaCache,
        bounds: &BacklogBounds,
        teams: &[TeamLoad],
    ) -> Vec<QuotaWrite> {
        self.drop_arrived(cache);
        self.update_demand(cache, teams);
        let guaranteed: f64 = teams.iter().map(|team| team.guaranteed).sum();
        let mut writes = Vec::new();
        for team in teams {
            writes.extend(self.plan_team(cache, bounds, team, guaranteed));
        }
        for write in &writes {
            self.add_pending(write);
        }
        writes
    }

    /// Takes what became of a write.
    pub fn record_result(&mut self, write: &QuotaWrite, result: WriteResult) {
        let key = (write.quota.team.clone(), write.quota.controller.clone());
        let Some(pending) = self.pending.get_mut(&key) else { return };
        match result {
            // The cache will show it.
            WriteResult::Committed => pending.uncertain = false,
            WriteResult::Unknown => pending.uncertain = true,
            // The result of an earlier one is no clearer for it.
            WriteResult::NotExecuted if pending.uncertain => {}
            WriteResult::NotExecuted => {
                self.pending.remove(&key);
            }
        }
    }

    /// The bound of a team: its backlog and what is handed out to it together. `guaranteed` is the
    /// sum of all teams' guarantees, in CPUs.
    pub fn bound(
        bounds: &BacklogBounds,
        team: &TeamLoad,
        guaranteed: f64,
        controllers: usize,
    ) -> WorkAmount {
        let least = team.guaranteed.max(guaranteed * MIN_RATE);
        let rate = team.served.max(least).min(team.limit);
        let jobs = (f64::from(bounds.jobs) * team.share) as u32;
        let entries = (team.classes.len() + 1).min(MAX_NAMED_CLASSES + 1) * controllers;
        WorkAmount {
            jobs: jobs.max(entries as u32 * MIN_JOBS_PER_ENTRY),
            work: rate * bounds.horizon_s,
        }
    }

    /// Drops pending writes whose record has changed in the cache: one of them was carried out, or
    /// none can be any more.
    fn drop_arrived(&mut self, cache: &QuotaCache) {
        self.pending.retain(|(team, controller), pending| {
            cache.quota_revision(team, controller) == pending.replaces
        });
    }

    fn add_pending(&mut self, write: &QuotaWrite) {
        let key = (write.quota.team.clone(), write.quota.controller.clone());
        let pending = self.pending.entry(key).or_insert_with(|| PendingQuota {
            replaces: write.replaces,
            largest: BTreeMap::new(),
            uncertain: false,
        });
        for entry in &write.quota.classes {
            let largest = pending.largest.entry(entry.class.clone()).or_default();
            *largest = largest.max(entry.amount());
        }
    }

    /// Counts how many jobs each controller accepted since the last plan, by class.
    fn update_demand(&mut self, cache: &QuotaCache, teams: &[TeamLoad]) {
        self.demand.values_mut().for_each(|jobs| *jobs *= DEMAND_DECAY);
        self.demand.retain(|_, jobs| *jobs > MIN_DEMAND_JOBS);
        let before = std::mem::take(&mut self.last_spent);
        for cached in teams.iter().flat_map(|team| cache.team_quotas(&team.team)) {
            let AdmissionQuota { team, controller, classes, .. } = &cached.quota;
            let key = (team.clone(), controller.clone());
            let known = before.get(&key).filter(|last| last.mod_revision == cached.mod_revision);
            let jobs: Vec<u32> = (0..classes.len()).map(|entry| cached.spent(entry).jobs).collect();
            for (entry, class) in classes.iter().enumerate() {
                let earlier = known.map_or(0, |last| last.jobs[entry]);
                let new = jobs[entry].saturating_sub(earlier);
                if new > 0 {
                    let key = (team.clone(), class.class.clone(), controller.clone());
                    *self.demand.entry(key).or_default() += f64::from(new);
                }
            }
            self.last_spent.insert(key, LastSpent { mod_revision: cached.mod_revision, jobs });
        }
    }

    fn demand_of(&self, team: &str, class: &str, controller: &str) -> f64 {
        let key = (team.to_string(), class.to_string(), controller.to_string());
        self.demand.get(&key).copied().unwrap_or(0.0)
    }

    /// What may still be accepted of a class under quotas that are written, or may be.
    fn outstanding(&self, cache: &QuotaCache, team: &str, class: &str) -> WorkAmount {
        let written = cache.team_quotas(team).map(|cached| unspent_of(cached, class));
        let pending = self.pending.iter().filter(|((of, _), _)| of == team);
        let pending = pending.filter_map(|(_, pending)| pending.largest.get(class).copied());
        written.chain(pending).fold(WorkAmount::default(), WorkAmount::plus)
    }

    fn plan_team(
        &self,
        cache: &QuotaCache,
        bounds: &BacklogBounds,
        team: &TeamLoad,
        guaranteed: f64,
    ) -> Vec<QuotaWrite> {
        let classes = named_classes(team);
        let controllers: Vec<(&str, u64)> = cache.controllers().collect();
        let bound = Self::bound(bounds, team, guaranteed, controllers.len());
        let demands = self.demands(team, &classes, &controllers);
        let waiting: Vec<WorkAmount> = classes.iter().map(|load| load.waiting).collect();
        let available = available_by_class(bound, &waiting, &demands);
        // What is outstanding counts as taken; each quota that is written takes a part of the rest.
        let taken: Vec<WorkAmount> = classes
            .iter()
            .map(|load| load.waiting.plus(self.outstanding(cache, &team.team, &load.class)))
            .collect();
        let mut left = available_by_class(bound, &taken, &demands);
        let plan = TeamPlan { bounds, team, bound, classes, controllers, demands, available };
        let mut writes = Vec::new();
        for (index, (controller, incarnation)) in plan.controllers.iter().enumerate() {
            let targets = plan.targets(index);
            if self.replacement_due(cache, &plan, index, &targets, &left) {
                let classes = plan.entries(&targets, &mut left);
                let quota = AdmissionQuota {
                    team: team.team.clone(),
                    controller: (*controller).into(),
                    incarnation: *incarnation,
                    horizon_s: bounds.horizon_s,
                    classes,
                };
                let replaces = cache.quota_revision(&team.team, controller);
                writes.push(QuotaWrite { quota, replaces });
            }
        }
        writes
    }

    /// Jobs accepted of late, by class and controller.
    fn demands(
        &self,
        team: &TeamLoad,
        classes: &[ClassLoad],
        controllers: &[(&str, u64)],
    ) -> Vec<Vec<f64>> {
        let of_class = |load: &ClassLoad| {
            let of =
                |(controller, _): &(&str, u64)| self.demand_of(&team.team, &load.class, controller);
            controllers.iter().map(of).collect()
        };
        classes.iter().map(of_class).collect()
    }

    /// Whether a controller's quota is to be written again.
    fn replacement_due(
        &self,
        cache: &QuotaCache,
        plan: &TeamPlan,
        controller: usize,
        targets: &[WorkAmount],
        left: &[WorkAmount],
    ) -> bool {
        let (controller, incarnation) = plan.controllers[controller];
        let team = &plan.team.team;
        if let Some(pending) = self.pending.get(&(team.clone(), controller.to_string())) {
            // The result of the last write shows in the cache, or is settled by another write.
            return pending.uncertain;
        }
        let cached = cache.quota(team, controller);
        cached.filter(|cached| cached.quota.incarnation == incarnation).is_none_or(|cached| {
            !cached.complete
                || cache.replacement_requested(cached)
                || differs_much(cached, &plan.classes, targets, left)
        })
    }
}

impl TeamPlan<'_> {
    /// What a controller's quota should hold, by class.
    fn targets(&self, controller: usize) -> Vec<WorkAmount> {
        let controllers = self.controllers.len();
        self.available
            .iter()
            .zip(&self.demands)
            .map(|(available, demands)| {
                target(*available, controller_share(demands, controller), controllers)
            })
            .collect()
    }

    /// The entries of a quota, as near to the targets as `left` allows; they are taken off it.
    fn entries(&self, targets: &[WorkAmount], left: &mut [WorkAmount]) -> Vec<QuotaEntry> {
        let entry = |(class, load): (usize, &ClassLoad)| {
            let amount = targets[class].min(left[class]);
            left[class] = left[class].minus(amount);
            QuotaEntry {
                class: load.class.clone(),
                jobs: amount.jobs,
                work: amount.work,
                retry_after_s: self.retry_after_s(class),
            }
        };
        self.classes.iter().enumerate().map(entry).collect()
    }

    /// Seconds until a class whose quota is used up is admitted again: until the next plan, and
    /// until its backlog beyond its part of the bound is worked off.
    fn retry_after_s(&self, class: usize) -> u32 {
        let waits = self.team.classes.iter().map(|load| load.waiting.work).sum::<f64>();
        let waiting = self.classes[class].waiting;
        let per_job = waiting.work / f64::from(waiting.jobs.max(1));
        let next_job = if self.available[class].admits_job() { 0.0 } else { per_job };
        let beyond = (waits - self.bound.work).max(0.0) + next_job;
        let worked_off = beyond / self.team.served.max(self.team.guaranteed).max(1.0);
        (self.bounds.round_s / 2.0 + worked_off).ceil().clamp(1.0, MAX_RETRY_AFTER_S) as u32
    }
}

/// Whether a quota holds far less or far more than it should.
fn differs_much(
    cached: &CachedQuota,
    classes: &[ClassLoad],
    targets: &[WorkAmount],
    left: &[WorkAmount],
) -> bool {
    classes.iter().enumerate().any(|(class, load)| {
        let Some(entry) = cached.quota.classes.iter().position(|entry| entry.class == load.class)
        else {
            return true;
        };
        let has = cached.unspent(entry);
        let should = targets[class];
        let can = should.min(left[class]);
        let jobs = |amount: WorkAmount| f64::from(amount.jobs);
        let few = (jobs(has) < jobs(should) * REPLACE_BELOW && can.jobs > has.jobs)
            || (has.work < should.work * REPLACE_BELOW && can.work > has.work);
        let many = jobs(has) * REPLACE_BELOW > jobs(should) + 1.0
            || has.work * REPLACE_BELOW > should.work + 1.0;
        few || many
    })
}

fn unspent_of(cached: &CachedQuota, class: &str) -> WorkAmount {
    let entry = cached.quota.classes.iter().position(|entry| entry.class == class);
    entry.map_or(WorkAmount::default(), |entry| cached.unspent(entry))
}

/// The classes that get an entry each, and the one for all others.
fn named_classes(team: &TeamLoad) -> Vec<ClassLoad> {
    let mut classes: Vec<ClassLoad> =
        team.classes.iter().filter(|load| load.class != OTHER_CLASSES).cloned().collect();
    classes.sort_by(|a, b| b.waiting.jobs.cmp(&a.waiting.jobs).then_with(|| a.class.cmp(&b.class)));
    let beyond = classes.split_off(classes.len().min(MAX_NAMED_CLASSES));
    let waiting = beyond.iter().fold(WorkAmount::default(), |sum, load| sum.plus(load.waiting));
    classes.sort_by(|a, b| a.class.cmp(&b.class));
    classes.push(ClassLoad { class: OTHER_CLASSES.into(), waiting });
    classes
}

/// What each class may still take: the rest of its own reserved part, and a part of what no class
/// has taken of the common one, by its demand of late.
fn available_by_class(
    bound: WorkAmount,
    taken: &[WorkAmount],
    demands: &[Vec<f64>],
) -> Vec<WorkAmount> {
    let reserved = bound.scaled(RESERVED_FOR_CLASSES / taken.len().max(1) as f64);
    let kept =
        taken.iter().map(|taken| taken.max(reserved)).fold(WorkAmount::default(), WorkAmount::plus);
    let common = bound.minus(kept);
    let weights: Vec<f64> =
        demands.iter().map(|demands| 1.0 + demands.iter().sum::<f64>()).collect();
    let sum: f64 = weights.iter().sum();
    taken
        .iter()
        .zip(&weights)
        .map(|(taken, weight)| reserved.minus(*taken).plus(common.scaled(weight / sum)))
        .collect()
}

/// A controller's part of what a class has, from 0 to 1, by where it was submitted of late.
fn controller_share(demands: &[f64], controller: usize) -> f64 {
    let count = demands.len().max(1) as f64;
    let sum: f64 = demands.iter().sum();
    match sum > 0.0 {
        true => {
            RESERVED_FOR_CONTROLLERS / count
                + (1.0 - RESERVED_FOR_CONTROLLERS) * demands[controller] / sum
        }
        false => 1.0 / count,
    }
}

/// What a controller should hold of a class. At least one job where there is one for each
/// controller.
fn target(available: WorkAmount, share: f64, controllers: usize) -> WorkAmount {
    let amount = available.scaled(HANDED_OUT * share);
    let least = u32::from(available.jobs as usize >= 2 * controllers);
    WorkAmount { jobs: amount.jobs.max(least), work: amount.work }
}
