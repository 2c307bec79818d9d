//! The leader's side of admission: plans how much work of each team and class each controller may
//! accept.
//!
//! New quotas are planned so that the sum of a team's backlog and of the unused quotas of all
//! controllers stays within a bound. The sum may still exceed the bound, for example after the
//! bound has fallen. A quota that is being replaced is included in the sum until the cache contains
//! the new one, since its controller may use all of it until then.

use crate::quota::{AdmissionQuota, QuotaEntry, OTHER_CLASSES};
use crate::quota_cache::{CachedQuota, QuotaCache};
use crate::revision::Revision;
use crate::work_amount::WorkAmount;
use std::collections::BTreeMap;

/// Fraction of a team's bound that is reserved for its classes in equal parts, regardless of
/// demand.
const RESERVED_CLASS_FRACTION: f64 = 0.5;
/// Fraction of a class's amount that is divided among the controllers in equal parts, regardless of
/// demand.
const RESERVED_CONTROLLER_FRACTION: f64 = 0.5;
/// Fraction of the available amount that is allocated to quotas. The rest is needed while quotas
/// are replaced, since a quota and its replacement are both included in the allocated amount until
/// the cache contains the replacement.
const ALLOCATED_FRACTION: f64 = 0.5;
/// A quota is replaced if, for any class, its unused jobs or work are below this fraction of the
/// target and more can be allocated, or if the target is below this fraction of them.
const REPLACEMENT_RATIO: f64 = 0.5;
/// Factor by which the demand of earlier rounds is multiplied in each round.
const DEMAND_RETENTION: f64 = 0.5;
/// Demand of a controller for a class, in jobs, below which it is no longer tracked.
const MIN_DEMAND_JOBS: f64 = 0.01;
/// Minimum number of CPUs that a team is assumed to process its backlog with, as a fraction of the
/// sum of all guarantees.
const MIN_CPUS_FRACTION: f64 = 0.1;
/// Minimum bound of a team in jobs, per class and controller, regardless of the team's share.
const MIN_JOBS_PER_ENTRY: u32 = 4;
/// Maximum number of classes that have an entry of their own in the quotas of a team. All other
/// classes share one entry.
const MAX_NAMED_CLASSES: usize = 16;
/// Maximum `Retry-After` in seconds. Clients ignore any excess (PROTOCOL: `Retry-After` counts up
/// to 30 s).
const MAX_RETRY_AFTER_S: f64 = 30.0;

/// The bounds of the backlogs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BacklogBounds {
    /// Maximum backlog of a team, in seconds of work on the CPUs that the team receives.
    pub horizon_s: f64,
    /// Maximum number of unfinished jobs of all teams together.
    pub max_jobs: u32,
    /// Seconds between two plans.
    pub round_s: f64,
}

/// The backlog of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassLoad {
    /// The class.
    pub class: String,
    /// Number of unfinished jobs, and the work of their pending tasks.
    pub backlog: WorkAmount,
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
    /// The team's fraction of [`BacklogBounds::max_jobs`], from 0 to 1.
    pub job_share: f64,
    /// Moving average of the CPUs that the team used.
    pub served_cpus: f64,
    /// The classes of the team, including classes without jobs that should get a quota.
    pub classes: Vec<ClassLoad>,
}

/// A quota to write to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaWrite {
    /// The new quota.
    pub quota: AdmissionQuota,
    /// The mod revision that the record must still have; [`Revision::NONE`] if there is no record.
    pub expected_mod_revision: Revision,
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

/// Writes of one quota record that are in flight or that the cache does not contain yet. Their
/// amounts are allocated in addition to those of the current quota. All have the same mod revision
/// as a precondition, so at most one of them is executed.
#[derive(Clone, Debug)]
struct PendingWrites {
    expected_mod_revision: Revision,
    /// The largest amount in any of the writes, by class.
    max_amounts: BTreeMap<String, WorkAmount>,
    /// Whether the result of a write is unknown. If the write was not executed, only a further
    /// write with the same precondition resolves this.
    result_unknown: bool,
}

/// The jobs accepted under a quota as of the last plan.
#[derive(Clone, Debug)]
struct LastAccepted {
    mod_revision: Revision,
    /// Numbers of accepted jobs, by index of the quota's entry.
    jobs: Vec<u32>,
}

/// Plans the quotas of all teams, once per round.
#[derive(Clone, Debug, Default)]
pub struct QuotaPlanner {
    /// Pending writes, by team and controller.
    pending: BTreeMap<(String, String), PendingWrites>,
    /// Decaying count of accepted jobs, by team, class and controller.
    demand: BTreeMap<(String, String, String), f64>,
    /// Jobs accepted as of the last plan, by team and controller.
    last_accepted: BTreeMap<(String, String), LastAccepted>,
}

/// The amounts from which the quotas of one team are planned. Amounts by class are in the order of
/// `classes`.
struct TeamPlan<'a> {
    bounds: &'a BacklogBounds,
    team: &'a TeamLoad,
    /// The bound of the sum of the team's backlog and unused quotas.
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
    /// Returns the quotas to write now, for example those that are missing or deviate too much from
    /// their targets. The caller must report the result of each write to
    /// [`QuotaPlanner::record_result`].
    pub fn plan(
        &mut self,
        cache: &QuotaCache,
        bounds: &BacklogBounds,
        teams: &[TeamLoad],
    ) -> Vec<QuotaWrite> {
        self.remove_resolved_writes(cache);
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
            // The write remains pending until the cache contains it.
            WriteResult::Committed => pending.result_unknown = false,
            WriteResult::Unknown => pending.result_unknown = true,
            // The result of an earlier write is still unknown.
            WriteResult::NotExecuted if pending.result_unknown => {}
            WriteResult::NotExecuted => {
                self.pending.remove(&key);
            }
        }
    }

    /// Returns the bound for the sum of a team's backlog and unused quotas. `total_guaranteed` is
    /// the sum of the guarantees of all teams, in CPUs; `controllers` is the number of controllers.
    pub fn team_bound(
        bounds: &BacklogBounds,
        team: &TeamLoad,
        total_guaranteed: f64,
        controllers: usize,
    ) -> WorkAmount {
        let min_cpus = team.guaranteed_cpus.max(total_guaranteed * MIN_CPUS_FRACTION);
        let cpus = team.served_cpus.max(min_cpus).min(team.max_cpus);
        let jobs = (f64::from(bounds.max_jobs) * team.job_share) as u32;
        let entries = (team.classes.len() + 1).min(MAX_NAMED_CLASSES + 1) * controllers;
        WorkAmount {
            jobs: jobs.max(entries as u32 * MIN_JOBS_PER_ENTRY),
            work: cpus * bounds.horizon_s,
        }
    }

    /// Removes pending writes whose record has changed in the cache: either one of them was
    /// executed, or none of them can be executed any more.
    fn remove_resolved_writes(&mut self, cache: &QuotaCache) {
        self.pending.retain(|(team, controller), pending| {
            cache.quota_revision(team, controller) == pending.expected_mod_revision
        });
    }

    fn add_pending(&mut self, write: &QuotaWrite) {
        let key = (write.quota.team.clone(), write.quota.controller.clone());
        let pending = self.pending.entry(key).or_insert_with(|| PendingWrites {
            expected_mod_revision: write.expected_mod_revision,
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
        self.demand.values_mut().for_each(|jobs| *jobs *= DEMAND_RETENTION);
        self.demand.retain(|_, jobs| *jobs > MIN_DEMAND_JOBS);
        let last_accepted = std::mem::take(&mut self.last_accepted);
        for cached in teams.iter().flat_map(|team| cache.team_quotas(&team.team)) {
            let AdmissionQuota { team, controller, classes, .. } = &cached.quota;
            let key = (team.clone(), controller.clone());
            let last =
                last_accepted.get(&key).filter(|last| last.mod_revision == cached.mod_revision);
            let jobs: Vec<u32> =
                (0..classes.len()).map(|entry| cached.accepted(entry).jobs).collect();
            for (entry, class) in classes.iter().enumerate() {
                let last_jobs = last.map_or(0, |last| last.jobs[entry]);
                let new_jobs = jobs[entry].saturating_sub(last_jobs);
                if new_jobs > 0 {
                    let key = (team.clone(), class.class.clone(), controller.clone());
                    *self.demand.entry(key).or_default() += f64::from(new_jobs);
                }
            }
            self.last_accepted
                .insert(key, LastAccepted { mod_revision: cached.mod_revision, jobs });
        }
    }

    fn demand_of(&self, team: &str, class: &str, controller: &str) -> f64 {
        let key = (team.to_string(), class.to_string(), controller.to_string());
        self.demand.get(&key).copied().unwrap_or(0.0)
    }

    /// Returns the amount of a class that controllers may still accept, under quotas in the cache
    /// and under pending writes.
    fn unused_amount(&self, cache: &QuotaCache, team: &str, class: &str) -> WorkAmount {
        let written = cache.team_quotas(team).map(|cached| unused_of_class(cached, class));
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
        let bound = Self::team_bound(bounds, team, total_guaranteed, controllers.len());
        let demands = self.demands(team, &classes, &controllers);
        let backlog: Vec<WorkAmount> = classes.iter().map(|load| load.backlog).collect();
        let available = available_by_class(bound, &backlog, &demands);
        // The backlog and the unused quotas are already allocated. Each new quota takes a part of
        // the remaining amounts.
        let allocated: Vec<WorkAmount> = classes
            .iter()
            .map(|load| load.backlog.plus(self.unused_amount(cache, &team.team, &load.class)))
            .collect();
        let mut remaining = available_by_class(bound, &allocated, &demands);
        let plan = TeamPlan { bounds, team, bound, classes, controllers, demands, available };
        let mut writes = Vec::new();
        for (index, (controller, incarnation)) in plan.controllers.iter().enumerate() {
            let targets = plan.targets(index);
            if self.is_write_due(cache, &plan, index, &targets, &remaining) {
                let classes = plan.allocate_entries(&targets, &mut remaining);
                let quota = AdmissionQuota {
                    team: team.team.clone(),
                    controller: (*controller).into(),
                    incarnation: *incarnation,
                    horizon_s: bounds.horizon_s,
                    classes,
                };
                let expected_mod_revision = cache.quota_revision(&team.team, controller);
                writes.push(QuotaWrite { quota, expected_mod_revision });
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

    /// Returns whether a new quota must be written for a controller.
    fn is_write_due(
        &self,
        cache: &QuotaCache,
        plan: &TeamPlan,
        controller_index: usize,
        targets: &[WorkAmount],
        remaining: &[WorkAmount],
    ) -> bool {
        let (controller, incarnation) = plan.controllers[controller_index];
        let team = &plan.team.team;
        if let Some(pending) = self.pending.get(&(team.clone(), controller.to_string())) {
            // Another write is needed only to resolve an unknown result. Otherwise the cache will
            // contain the pending write.
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
    /// Returns the amounts that a controller's quota should contain, by class.
    fn targets(&self, controller_index: usize) -> Vec<WorkAmount> {
        let controllers = self.controllers.len();
        self.available
            .iter()
            .zip(&self.demands)
            .map(|(available, demands)| {
                target_amount(*available, controller_share(demands, controller_index), controllers)
            })
            .collect()
    }

    /// Returns the entries of a new quota, and subtracts them from the remaining amounts. An entry
    /// is the smaller of the target and the remaining amount.
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

    /// Returns the estimated seconds until jobs of a class whose entry is used up are admitted
    /// again: half a round, plus the time in which the team processes the part of its backlog
    /// beyond the bound. If nothing is available to the class, the time for one of its jobs is
    /// added.
    fn retry_after_s(&self, class: usize) -> u32 {
        let team_work = self.team.classes.iter().map(|load| load.backlog.work).sum::<f64>();
        let backlog = self.classes[class].backlog;
        let work_per_job = backlog.work / f64::from(backlog.jobs.max(1));
        let next_job_work = if self.available[class].admits_job() { 0.0 } else { work_per_job };
        let excess_work = (team_work - self.bound.work).max(0.0) + next_job_work;
        let excess_s = excess_work / self.team.served_cpus.max(self.team.guaranteed_cpus).max(1.0);
        (self.bounds.round_s / 2.0 + excess_s).ceil().clamp(1.0, MAX_RETRY_AFTER_S) as u32
    }
}

/// Returns whether a quota deviates from the target of any class by more than
/// [`REPLACEMENT_RATIO`]. An amount below the target counts only if more can be allocated. A
/// missing entry is a deviation, too.
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
        let unused = cached.unused(entry);
        let target = targets[class];
        let achievable = target.min(remaining[class]);
        let jobs = |amount: WorkAmount| f64::from(amount.jobs);
        let too_low = (jobs(unused) < jobs(target) * REPLACEMENT_RATIO
            && achievable.jobs > unused.jobs)
            || (unused.work < target.work * REPLACEMENT_RATIO && achievable.work > unused.work);
        let too_high = jobs(unused) * REPLACEMENT_RATIO > jobs(target) + 1.0
            || unused.work * REPLACEMENT_RATIO > target.work + 1.0;
        too_low || too_high
    })
}

fn unused_of_class(cached: &CachedQuota, class: &str) -> WorkAmount {
    let entry = cached.quota.classes.iter().position(|entry| entry.class == class);
    entry.map_or(WorkAmount::default(), |entry| cached.unused(entry))
}

/// Returns the classes that get an entry of their own, ordered by name, followed by the entry for
/// all other classes. Classes with the most unfinished jobs get an entry of their own.
fn entry_classes(team: &TeamLoad) -> Vec<ClassLoad> {
    let mut classes: Vec<ClassLoad> =
        team.classes.iter().filter(|load| load.class != OTHER_CLASSES).cloned().collect();
    classes.sort_by(|a, b| b.backlog.jobs.cmp(&a.backlog.jobs).then_with(|| a.class.cmp(&b.class)));
    let others = classes.split_off(classes.len().min(MAX_NAMED_CLASSES));
    let backlog = others.iter().fold(WorkAmount::default(), |sum, load| sum.plus(load.backlog));
    classes.sort_by(|a, b| a.class.cmp(&b.class));
    classes.push(ClassLoad { class: OTHER_CLASSES.into(), backlog });
    classes
}

/// Returns the amount that is available to each class: the unallocated rest of its reserved part,
/// plus a share of the amount that is neither allocated nor reserved. The shares are in proportion
/// to recent demand plus one job.
fn available_by_class(
    bound: WorkAmount,
    allocated: &[WorkAmount],
    demands: &[Vec<f64>],
) -> Vec<WorkAmount> {
    let reserved = bound.scaled(RESERVED_CLASS_FRACTION / allocated.len().max(1) as f64);
    let unavailable = allocated
        .iter()
        .map(|allocated| allocated.max(reserved))
        .fold(WorkAmount::default(), WorkAmount::plus);
    let unreserved = bound.minus(unavailable);
    let weights: Vec<f64> =
        demands.iter().map(|demands| 1.0 + demands.iter().sum::<f64>()).collect();
    let sum: f64 = weights.iter().sum();
    allocated
        .iter()
        .zip(&weights)
        .map(|(allocated, weight)| reserved.minus(*allocated).plus(unreserved.scaled(weight / sum)))
        .collect()
}

/// Returns a controller's share of the amount of a class, from 0 to 1. A reserved fraction is
/// divided equally, the rest in proportion to recent demand.
fn controller_share(demands: &[f64], controller_index: usize) -> f64 {
    let count = demands.len().max(1) as f64;
    let sum: f64 = demands.iter().sum();
    match sum > 0.0 {
        true => {
            RESERVED_CONTROLLER_FRACTION / count
                + (1.0 - RESERVED_CONTROLLER_FRACTION) * demands[controller_index] / sum
        }
        false => 1.0 / count,
    }
}

/// Returns the target amount of a class for a controller. It is at least one job if at least two
/// jobs per controller are available.
fn target_amount(available: WorkAmount, share: f64, controllers: usize) -> WorkAmount {
    let amount = available.scaled(ALLOCATED_FRACTION * share);
    let min_jobs = u32::from(available.jobs as usize >= 2 * controllers);
    WorkAmount { jobs: amount.jobs.max(min_jobs), work: amount.work }
}
