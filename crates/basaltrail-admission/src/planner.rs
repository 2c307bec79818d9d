//! The leader's side of admission: plans how much work of each team and class each controller may
//! accept.
//!
//! The sum of a team's backlog and of the unspent quotas of all controllers stays within a bound. A
//! quota that is being replaced counts until the cache has reached the revision of the new one, since
//! its controller may spend all of it until then.

use crate::quota::{AdmissionQuota, QuotaEntry, OTHER_CLASSES};
use crate::quota_cache::{CachedQuota, QuotaCache};
use crate::revision::Revision;
use crate::work_amount::WorkAmount;
use std::collections::BTreeMap;

/// Fraction of a team's bound that is reserved for its classes in equal parts, regardless of demand.
const RESERVED_CLASS_FRACTION: f64 = 0.5;
/// Fraction of a class's amount that is divided among the controllers in equal parts, regardless of
/// demand.
const RESERVED_CONTROLLER_FRACTION: f64 = 0.5;
/// Fraction of the available amount that is allocated to quotas. The rest is needed to replace quotas, since a
/// quota counts until its replacement is known.
const ALLOCATED_FRACTION: f64 = 0.5;
/// A quota is replaced once its unspent amount is less than this fraction of the target, or the
/// target is less than this fraction of the unspent amount.
const REPLACEMENT_RATIO: f64 = 0.5;
/// Factor by which the demand of earlier rounds decays each round.
const DEMAND_DECAY: f64 = 0.5;
/// Demand, in jobs, below which an entry is removed.
const MIN_DEMAND_JOBS: f64 = 0.01;
/// Minimum rate at which a team's backlog is assumed to be worked off, as a fraction of the sum of
/// all guarantees.
const MIN_RATE_FRACTION: f64 = 0.1;
/// Minimum bound of a team in jobs, per class and controller, regardless of the team's share.
const MIN_JOBS_PER_ENTRY: u32 = 4;
/// Maximum number of classes that the quotas of a team name. All other classes share one entry.
const MAX_NAMED_CLASSES: usize = 16;
/// Upper bound of `Retry-After` in seconds (PROTOCOL: `Retry-After` counts up to 30 s).
const MAX_RETRY_AFTER_S: f64 = 30.0;

/// The bounds of the backlogs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BacklogBounds {
    /// Maximum backlog of a team: seconds of work at the rate at which the team is served.
    pub horizon_s: f64,
    /// Maximum number of unfinished jobs of all teams together.
    pub jobs: u32,
    /// Seconds between two plans.
    pub round_s: f64,
}

/// The backlog of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// The class.
    pub class: String,
    /// Number of unfinished jobs, and their waiting work.
    pub waiting: WorkAmount,
}

/// The backlog of one team, and the values that determine its bound.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLoad {
    /// The team.
    pub team: String,
    /// Guaranteed CPUs.
    pub guaranteed_cpus: f64,
    /// Limit of CPUs; infinite without a limit.
    pub max_cpus: f64,
    /// The team's share of the jobs that all teams may have, from 0 to 1.
    pub job_share: f64,
    /// Moving average of the CPUs that the team used.
    pub served_cpus: f64,
    /// The classes of the team, including classes without jobs that are to get a quota.
    pub classes: Vec<ClassLoad>,
}

/// A quota to write to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaWrite {
    /// The new quota.
    pub quota: AdmissionQuota,
    /// The mod revision that the record must still have; [`Revision::NONE`] if there is no record.
    pub replaces: Revision,
}

/// The result of writing a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write was committed.
    Committed,
    /// The write may have been executed, or may be executed later.
    Unknown,
    /// The write was not executed and never will be.
    NotExecuted,
}

/// Writes of one quota record that are in flight or that the cache does not show yet. They count in
/// addition to the quota that they replace. All replace the same mod revision, so that at most one
/// of them is executed.
#[derive(Clone, Debug)]
struct PendingQuota {
    replaces: Revision,
    /// The largest amount in any of the writes, by class.
    max_amounts: BTreeMap<String, WorkAmount>,
    /// Whether the result of a write is unknown. Only a further write resolves it.
    result_unknown: bool,
}

/// The spent jobs of a quota at the last plan.
#[derive(Clone, Debug)]
struct LastSpent {
    mod_revision: Revision,
    /// Spent jobs, by index of the quota's entry.
    jobs: Vec<u32>,
}

/// Plans the quotas of all teams, once per round.
#[derive(Clone, Debug, Default)]
pub struct QuotaPlanner {
    /// Pending writes, by team and controller.
    pending: BTreeMap<(String, String), PendingQuota>,
    /// Decaying count of accepted jobs, by team, class and controller.
    demand: BTreeMap<(String, String, String), f64>,
    /// Spent jobs at the last plan, by team and controller.
    last_spent: BTreeMap<(String, String), LastSpent>,
}

/// The inputs of the plan for one team. Amounts by class are in the order of `classes`.
struct TeamPlan<'a> {
    bounds: &'a BacklogBounds,
    team: &'a TeamLoad,
    /// The bound of the team.
    bound: WorkAmount,
    /// The named classes, followed by the entry for all others.
    classes: Vec<ClassLoad>,
    /// The controllers, each with the incarnation of its process.
    controllers: Vec<(&'a str, u64)>,
    /// Decaying count of accepted jobs, by class and controller.
    demands: Vec<Vec<f64>>,
    /// The amount that each class may have in addition to its backlog.
    available: Vec<WorkAmount>,
}

impl QuotaPlanner {
    /// Returns the quotas to write now: those that are missing or deviate much from their targets.
    /// The caller must report the result of each write to [`QuotaPlanner::record_result`].
    pub fn plan(
        &mut self,
        cache: &QuotaCache,
        bounds: &BacklogBounds,
        teams: &[TeamLoad],
    ) -> Vec<QuotaWrite> {
        self.remove_settled_writes(cache);
        self.update_demand(cache, teams);
        let total_guaranteed: f64 = teams.iter().map(|team| team.guaranteed_cpus).sum();
        let mut writes = Vec::new();
        for team in teams {
            writes.extend(self.plan_team(cache, bounds, team, total_guaranteed));
        }
        for write in &writes {
            self.add_pending(write);
        }
        writes
    }

    /// Records the result of a write.
    pub fn record_result(&mut self, write: &QuotaWrite, result: WriteResult) {
        let key = (write.quota.team.clone(), write.quota.controller.clone());
        let Some(pending) = self.pending.get_mut(&key) else { return };
        match result {
            // The write remains pending until the cache shows it.
            WriteResult::Committed => pending.result_unknown = false,
            WriteResult::Unknown => pending.result_unknown = true,
            // The result of an earlier write is still unknown.
            WriteResult::NotExecuted if pending.result_unknown => {}
            WriteResult::NotExecuted => {
                self.pending.remove(&key);
            }
        }
    }

    /// Returns the bound for the sum of a team's backlog and unspent quotas. `total_guaranteed` is
    /// the sum of the guarantees of all teams, in CPUs; `controllers` is the number of controllers.
    pub fn bound(
        bounds: &BacklogBounds,
        team: &TeamLoad,
        total_guaranteed: f64,
        controllers: usize,
    ) -> WorkAmount {
        let min_rate = team.guaranteed_cpus.max(total_guaranteed * MIN_RATE_FRACTION);
        let rate = team.served_cpus.max(min_rate).min(team.max_cpus);
        let jobs = (f64::from(bounds.jobs) * team.job_share) as u32;
        let entries = (team.classes.len() + 1).min(MAX_NAMED_CLASSES + 1) * controllers;
        WorkAmount {
            jobs: jobs.max(entries as u32 * MIN_JOBS_PER_ENTRY),
            work: rate * bounds.horizon_s,
        }
    }

    /// Removes pending writes whose record has changed in the cache: either one of them was
    /// executed, or none of them can be any more.
    fn remove_settled_writes(&mut self, cache: &QuotaCache) {
        self.pending.retain(|(team, controller), pending| {
            cache.quota_revision(team, controller) == pending.replaces
        });
    }

    fn add_pending(&mut self, write: &QuotaWrite) {
        let key = (write.quota.team.clone(), write.quota.controller.clone());
        let pending = self.pending.entry(key).or_insert_with(|| PendingQuota {
            replaces: write.replaces,
            max_amounts: BTreeMap::new(),
            result_unknown: false,
        });
        for entry in &write.quota.classes {
            let max_amount = pending.max_amounts.entry(entry.class.clone()).or_default();
            *max_amount = max_amount.max(entry.amount());
        }
    }

    /// Decays the demand and adds the jobs that each controller accepted since the last plan.
    fn update_demand(&mut self, cache: &QuotaCache, teams: &[TeamLoad]) {
        self.demand.values_mut().for_each(|jobs| *jobs *= DEMAND_DECAY);
        self.demand.retain(|_, jobs| *jobs > MIN_DEMAND_JOBS);
        let last_spent = std::mem::take(&mut self.last_spent);
        for cached in teams.iter().flat_map(|team| cache.team_quotas(&team.team)) {
            let AdmissionQuota { team, controller, classes, .. } = &cached.quota;
            let key = (team.clone(), controller.clone());
            let last = last_spent.get(&key).filter(|last| last.mod_revision == cached.mod_revision);
            let jobs: Vec<u32> = (0..classes.len()).map(|entry| cached.spent(entry).jobs).collect();
            for (entry, class) in classes.iter().enumerate() {
                let last_jobs = last.map_or(0, |last| last.jobs[entry]);
                let new_jobs = jobs[entry].saturating_sub(last_jobs);
                if new_jobs > 0 {
                    let key = (team.clone(), class.class.clone(), controller.clone());
                    *self.demand.entry(key).or_default() += f64::from(new_jobs);
                }
            }
            self.last_spent.insert(key, LastSpent { mod_revision: cached.mod_revision, jobs });
        }
    }

    fn demand_of(&self, team: &str, class: &str, controller: &str) -> f64 {
        let key = (team.to_string(), class.to_string(), controller.to_string());
        self.demand.get(&key).copied().unwrap_or(0.0)
    }

    /// Returns the amount that controllers may still accept of a class under written quotas and
    /// pending writes.
    fn outstanding(&self, cache: &QuotaCache, team: &str, class: &str) -> WorkAmount {
        let written = cache.team_quotas(team).map(|cached| unspent_of_class(cached, class));
        let pending = self.pending.iter().filter(|((pending_team, _), _)| pending_team == team);
        let pending = pending.filter_map(|(_, pending)| pending.max_amounts.get(class).copied());
        written.chain(pending).fold(WorkAmount::default(), WorkAmount::plus)
    }

    fn plan_team(
        &self,
        cache: &QuotaCache,
        bounds: &BacklogBounds,
        team: &TeamLoad,
        total_guaranteed: f64,
    ) -> Vec<QuotaWrite> {
        let classes = entry_classes(team);
        let controllers: Vec<(&str, u64)> = cache.controllers().collect();
        let bound = Self::bound(bounds, team, total_guaranteed, controllers.len());
        let demands = self.demands(team, &classes, &controllers);
        let waiting: Vec<WorkAmount> = classes.iter().map(|load| load.waiting).collect();
        let available = available_by_class(bound, &waiting, &demands);
        // Outstanding quotas count as committed. Each new quota takes a part of the remainder.
        let committed: Vec<WorkAmount> = classes
            .iter()
            .map(|load| load.waiting.plus(self.outstanding(cache, &team.team, &load.class)))
            .collect();
        let mut remaining = available_by_class(bound, &committed, &demands);
        let plan = TeamPlan { bounds, team, bound, classes, controllers, demands, available };
        let mut writes = Vec::new();
        for (index, (controller, incarnation)) in plan.controllers.iter().enumerate() {
            let targets = plan.targets(index);
            if self.replacement_due(cache, &plan, index, &targets, &remaining) {
                let classes = plan.allocate_entries(&targets, &mut remaining);
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

    /// Returns the decaying count of accepted jobs, by class and controller.
    fn demands(
        &self,
        team: &TeamLoad,
        classes: &[ClassLoad],
        controllers: &[(&str, u64)],
    ) -> Vec<Vec<f64>> {
        let of_class = |load: &ClassLoad| {
            let of_controller =
                |(controller, _): &(&str, u64)| self.demand_of(&team.team, &load.class, controller);
            controllers.iter().map(of_controller).collect()
        };
        classes.iter().map(of_class).collect()
    }

    /// Returns whether a controller's quota must be written.
    fn replacement_due(
        &self,
        cache: &QuotaCache,
        plan: &TeamPlan,
        controller: usize,
        targets: &[WorkAmount],
        remaining: &[WorkAmount],
    ) -> bool {
        let (controller, incarnation) = plan.controllers[controller];
        let team = &plan.team.team;
        if let Some(pending) = self.pending.get(&(team.clone(), controller.to_string())) {
            // Another write is needed only to resolve an unknown result. Otherwise the cache will
            // show the pending write.
            return pending.result_unknown;
        }
        let cached = cache.quota(team, controller);
        cached.filter(|cached| cached.quota.incarnation == incarnation).is_none_or(|cached| {
            !cached.is_complete
                || cache.replacement_requested(cached)
                || deviates_from_targets(cached, &plan.classes, targets, remaining)
        })
    }
}

impl TeamPlan<'_> {
    /// Returns the amounts that a controller's quota should hold, by class.
    fn targets(&self, controller: usize) -> Vec<WorkAmount> {
        let controllers = self.controllers.len();
        self.available
            .iter()
            .zip(&self.demands)
            .map(|(available, demands)| {
                target_amount(*available, controller_share(demands, controller), controllers)
            })
            .collect()
    }

    /// Returns the entries of a new quota, which hold at most the targets and the remaining amounts,
    /// and subtracts them from the remaining amounts.
    fn allocate_entries(
        &self,
        targets: &[WorkAmount],
        remaining: &mut [WorkAmount],
    ) -> Vec<QuotaEntry> {
        let entry = |(class, load): (usize, &ClassLoad)| {
            let amount = targets[class].min(remaining[class]);
            remaining[class] = remaining[class].minus(amount);
            QuotaEntry {
                class: load.class.clone(),
                jobs: amount.jobs,
                work: amount.work,
                retry_after_s: self.retry_after_s(class),
            }
        };
        self.classes.iter().enumerate().map(entry).collect()
    }

    /// Returns the estimated time until a class whose entry is used up is admitted again, in
    /// seconds: the mean time until the next plan, plus the time to work off the team's backlog in
    /// excess of its bound and, if the class has nothing available, one of its jobs.
    fn retry_after_s(&self, class: usize) -> u32 {
        let team_work = self.team.classes.iter().map(|load| load.waiting.work).sum::<f64>();
        let waiting = self.classes[class].waiting;
        let work_per_job = waiting.work / f64::from(waiting.jobs.max(1));
        let next_job_work = if self.available[class].admits_job() { 0.0 } else { work_per_job };
        let excess_work = (team_work - self.bound.work).max(0.0) + next_job_work;
        let excess_s = excess_work / self.team.served_cpus.max(self.team.guaranteed_cpus).max(1.0);
        (self.bounds.round_s / 2.0 + excess_s).ceil().clamp(1.0, MAX_RETRY_AFTER_S) as u32
    }
}

/// Returns whether the unspent amount of a quota is far above a target, or far below a target while
/// the remaining amount allows an increase.
fn deviates_from_targets(
    cached: &CachedQuota,
    classes: &[ClassLoad],
    targets: &[WorkAmount],
    remaining: &[WorkAmount],
) -> bool {
    classes.iter().enumerate().any(|(class, load)| {
        let Some(entry) = cached.quota.classes.iter().position(|entry| entry.class == load.class)
        else {
            return true;
        };
        let unspent = cached.unspent(entry);
        let target = targets[class];
        let achievable = target.min(remaining[class]);
        let jobs = |amount: WorkAmount| f64::from(amount.jobs);
        let too_low = (jobs(unspent) < jobs(target) * REPLACEMENT_RATIO
            && achievable.jobs > unspent.jobs)
            || (unspent.work < target.work * REPLACEMENT_RATIO && achievable.work > unspent.work);
        let too_high = jobs(unspent) * REPLACEMENT_RATIO > jobs(target) + 1.0
            || unspent.work * REPLACEMENT_RATIO > target.work + 1.0;
        too_low || too_high
    })
}

fn unspent_of_class(cached: &CachedQuota, class: &str) -> WorkAmount {
    let entry = cached.quota.classes.iter().position(|entry| entry.class == class);
    entry.map_or(WorkAmount::default(), |entry| cached.unspent(entry))
}

/// Returns the classes that get an entry of their own (those with the most unfinished jobs), ordered
/// by name, followed by the entry for all other classes.
fn entry_classes(team: &TeamLoad) -> Vec<ClassLoad> {
    let mut classes: Vec<ClassLoad> =
        team.classes.iter().filter(|load| load.class != OTHER_CLASSES).cloned().collect();
    classes.sort_by(|a, b| b.waiting.jobs.cmp(&a.waiting.jobs).then_with(|| a.class.cmp(&b.class)));
    let others = classes.split_off(classes.len().min(MAX_NAMED_CLASSES));
    let waiting = others.iter().fold(WorkAmount::default(), |sum, load| sum.plus(load.waiting));
    classes.sort_by(|a, b| a.class.cmp(&b.class));
    classes.push(ClassLoad { class: OTHER_CLASSES.into(), waiting });
    classes
}

/// Returns the amount that is available to each class: the remainder of its reserved part, and a
/// part of the unreserved remainder of the bound in proportion to its recent demand.
fn available_by_class(
    bound: WorkAmount,
    committed: &[WorkAmount],
    demands: &[Vec<f64>],
) -> Vec<WorkAmount> {
    let reserved = bound.scaled(RESERVED_CLASS_FRACTION / committed.len().max(1) as f64);
    let unavailable = committed
        .iter()
        .map(|committed| committed.max(reserved))
        .fold(WorkAmount::default(), WorkAmount::plus);
    let unreserved = bound.minus(unavailable);
    let weights: Vec<f64> =
        demands.iter().map(|demands| 1.0 + demands.iter().sum::<f64>()).collect();
    let sum: f64 = weights.iter().sum();
    committed
        .iter()
        .zip(&weights)
        .map(|(committed, weight)| reserved.minus(*committed).plus(unreserved.scaled(weight / sum)))
        .collect()
}

/// Returns a controller's share of the amount of a class, from 0 to 1. A reserved fraction is
/// divided equally, the rest in proportion to recent demand.
fn controller_share(demands: &[f64], controller: usize) -> f64 {
    let count = demands.len().max(1) as f64;
    let sum: f64 = demands.iter().sum();
    match sum > 0.0 {
        true => {
            RESERVED_CONTROLLER_FRACTION / count
                + (1.0 - RESERVED_CONTROLLER_FRACTION) * demands[controller] / sum
        }
        false => 1.0 / count,
    }
}

/// Returns the amount that a controller should hold of a class: at least one job if two jobs are
/// available for each controller.
fn target_amount(available: WorkAmount, share: f64, controllers: usize) -> WorkAmount {
    let amount = available.scaled(ALLOCATED_FRACTION * share);
    let min_jobs = u32::from(available.jobs as usize >= 2 * controllers);
    WorkAmount { jobs: amount.jobs.max(min_jobs), work: amount.work }
}
