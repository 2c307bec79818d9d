//! A controller's cache of admission quotas, of the controller processes that they are for, and of
//! the jobs accepted under each. Records must be put in the order of their revisions, as a watch
//! reports them.

use crate::quota::{AdmissionQuota, JobDemand};
use crate::revision::Revision;
use crate::work_amount::WorkAmount;
use std::collections::BTreeMap;

/// Maximum number of cached controllers. Records of further controllers are ignored. This bounds
/// the memory for stale records of controllers that no longer exist.
const MAX_CONTROLLERS: usize = 256;
/// Maximum number of cached quotas: 64 teams for each of the controllers.
const MAX_QUOTAS: usize = 16_384;

/// A job that a controller accepted under its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Acceptance {
    /// The controller.
    pub controller: String,
    /// The demand of the job.
    pub demand: JobDemand,
    /// The revision of the acceptance.
    pub mod_revision: Revision,
}

/// A quota, and the amounts accepted under it according to the cache.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedQuota {
    /// The quota.
    pub quota: AdmissionQuota,
    /// The mod revision of the quota's record.
    pub mod_revision: Revision,
    /// Whether all acceptances under the quota are counted. If the quota was read from a list, jobs
    /// that have ended since are missing, and the unused amounts are too high.
    pub is_complete: bool,
    /// Accepted amounts, by index of the quota's entry.
    accepted_amounts: Vec<WorkAmount>,
}

impl CachedQuota {
    fn count_acceptance(&mut self, acceptance: &Acceptance) {
        if acceptance.mod_revision <= self.mod_revision {
            return;
        }
        if let Some(entry) = self.quota.entry_index(&acceptance.demand.class) {
            let cost = acceptance.demand.cost(self.quota.horizon_s);
            self.accepted_amounts[entry] = self.accepted_amounts[entry].plus(cost);
        }
    }

    /// Returns the amount of an entry that may still be accepted, according to the acceptances in
    /// the cache.
    pub fn unused(&self, entry: usize) -> WorkAmount {
        self.quota.classes[entry].amount().minus(self.accepted_amounts[entry])
    }

    /// Returns the amount that was accepted under an entry, according to the acceptances in the
    /// cache.
    pub fn accepted(&self, entry: usize) -> WorkAmount {
        self.accepted_amounts[entry]
    }
}

/// The current process of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerProcess {
    /// Identifier of the process, different at each start of the controller.
    pub incarnation: u64,
    /// The mod revision of the process's record.
    pub mod_revision: Revision,
}

/// The quotas of all teams and controllers, and the processes of the controllers.
#[derive(Clone, Debug, Default)]
pub struct QuotaCache {
    /// Current processes, by controller.
    controllers: BTreeMap<String, ControllerProcess>,
    /// Quotas, by team and controller.
    quotas: BTreeMap<(String, String), CachedQuota>,
}

impl QuotaCache {
    /// Puts the record of a controller's process, unless a later record is cached.
    pub fn put_controller(&mut self, controller: &str, incarnation: u64, mod_revision: Revision) {
        let known = self.controllers.get(controller);
        let is_outdated = known.is_some_and(|process| process.mod_revision >= mod_revision);
        if !is_outdated && (known.is_some() || self.controllers.len() < MAX_CONTROLLERS) {
            let process = ControllerProcess { incarnation, mod_revision };
            self.controllers.insert(controller.into(), process);
        }
    }

    /// Puts a quota, unless a later one is cached. `accepted` are the known acceptances; those of
    /// other controllers and teams are ignored. `is_complete` must be false if acceptances after
    /// the mod revision of the quota may be missing, since their jobs have ended.
    pub fn put_quota(
        &mut self,
        quota: AdmissionQuota,
        mod_revision: Revision,
        accepted: impl Iterator<Item = Acceptance>,
        is_complete: bool,
    ) {
        let key = (quota.team.clone(), quota.controller.clone());
        let known = self.quotas.get(&key);
        if known.is_some_and(|cached| cached.mod_revision >= mod_revision)
            || (known.is_none() && self.quotas.len() >= MAX_QUOTAS)
        {
            return;
        }
        let accepted_amounts = vec![WorkAmount::default(); quota.classes.len()];
        let mut cached = CachedQuota { quota, mod_revision, is_complete, accepted_amounts };
        let is_under_quota = |acceptance: &Acceptance| {
            acceptance.controller == key.1 && acceptance.demand.team == key.0
        };
        accepted.filter(is_under_quota).for_each(|acceptance| cached.count_acceptance(&acceptance));
        self.quotas.insert(key, cached);
    }

    /// Removes a quota whose record was overwritten by one that cannot be decoded.
    pub fn remove_quota(&mut self, team: &str, controller: &str, mod_revision: Revision) {
        let key = (team.to_string(), controller.to_string());
        if self.quotas.get(&key).is_some_and(|cached| cached.mod_revision < mod_revision) {
            self.quotas.remove(&key);
        }
    }

    /// Counts an accepted job against its quota. Each job must be counted only once.
    pub fn count_acceptance(&mut self, acceptance: &Acceptance) {
        let key = (acceptance.demand.team.clone(), acceptance.controller.clone());
        if let Some(cached) = self.quotas.get_mut(&key) {
            cached.count_acceptance(acceptance);
        }
    }

    /// Returns the current process of a controller.
    pub fn process(&self, controller: &str) -> Option<ControllerProcess> {
        self.controllers.get(controller).copied()
    }

    /// Returns the controllers, each with the incarnation of its current process.
    pub fn controllers(&self) -> impl Iterator<Item = (&str, u64)> {
        self.controllers
            .iter()
            .map(|(controller, process)| (controller.as_str(), process.incarnation))
    }

    /// Returns whether a controller's process has requested a replacement of a quota. To request
    /// one, it writes its own record again after the quota was written.
    pub fn replacement_requested(&self, cached: &CachedQuota) -> bool {
        let process = self.controllers.get(&cached.quota.controller);
        process.is_some_and(|process| process.mod_revision > cached.mod_revision)
    }

    /// Returns the names of all controllers.
    pub fn controller_names(&self) -> Vec<String> {
        self.controllers.keys().cloned().collect()
    }

    /// Returns the quota of a team at a controller.
    pub fn quota(&self, team: &str, controller: &str) -> Option<&CachedQuota> {
        // A lookup without allocation would need a map of maps.
        self.quotas.get(&(team.to_string(), controller.to_string()))
    }

    /// Returns the mod revision of the quota of a team at a controller; [`Revision::NONE`] without
    /// a quota.
    pub fn quota_revision(&self, team: &str, controller: &str) -> Revision {
        self.quota(team, controller).map_or(Revision::NONE, |cached| cached.mod_revision)
    }

    /// Returns all quotas of a team.
    pub fn team_quotas<'a>(&'a self, team: &'a str) -> impl Iterator<Item = &'a CachedQuota> + 'a {
        self.quotas.values().filter(move |cached| cached.quota.team == team)
    }
}
