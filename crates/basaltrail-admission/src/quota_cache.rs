//! What a controller knows of admission quotas, of the processes they are for, and of what was
//! accepted under each. Records are put in the order of their revisions, as a watch tells them.

use crate::quota::{AdmissionQuota, JobDemand};
use crate::revision::Revision;
use crate::work_amount::WorkAmount;
use std::collections::BTreeMap;

/// Controllers that are kept at the most; records of others are passed over. It bounds the memory
/// that records left by controllers long gone can take.
const MAX_CONTROLLERS: usize = 256;
/// Quotas that are kept at the most: 64 teams at each of the controllers.
const MAX_QUOTAS: usize = 16_384;

/// A job that a controller accepted out of its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Acceptance {
    /// The controller.
    pub controller: String,
    /// What the job asks for.
    pub demand: JobDemand,
    /// The revision of the acceptance.
    pub mod_revision: Revision,
}

/// A quota, and what is known to have been accepted under it.
#[derive(Clone, Debug, PartialEq)]
pub struct CachedQuota {
    /// The record.
    pub quota: AdmissionQuota,
    /// Its mod revision.
    pub mod_revision: Revision,
    /// Whether every acceptance under it was seen. If it was read from a list, jobs that have
    /// ended since are missing, and more counts as unspent than is.
    pub complete: bool,
    /// By entry of the quota.
    spent: Vec<WorkAmount>,
}

impl CachedQuota {
    fn count(&mut self, acceptance: &Acceptance) {
        if acceptance.mod_revision <= self.mod_revision {
            return;
        }
        if let Some(entry) = self.quota.entry_index(&acceptance.demand.class) {
            let cost = acceptance.demand.cost(self.quota.horizon_s);
            self.spent[entry] = self.spent[entry].plus(cost);
        }
    }

    /// What of an entry may still be used, as far as is known.
    pub fn unspent(&self, entry: usize) -> WorkAmount {
        self.quota.classes[entry].amount().minus(self.spent[entry])
    }

    /// What of an entry was used.
    pub fn spent(&self, entry: usize) -> WorkAmount {
        self.spent[entry]
    }
}

/// The process that runs as a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerProcess {
    /// Differs at every start of the controller.
    pub incarnation: u64,
    /// The mod revision of its record.
    pub mod_revision: Revision,
}

/// The quotas of all teams and controllers, and the processes of the controllers.
#[derive(Clone, Debug, Default)]
pub struct QuotaCache {
    controllers: BTreeMap<String, ControllerProcess>,
    /// By team and controller.
    quotas: BTreeMap<(String, String), CachedQuota>,
}

impl QuotaCache {
    /// Puts the record of a controller's process, unless a later one is known.
    pub fn put_controller(&mut self, controller: &str, incarnation: u64, mod_revision: Revision) {
        let known = self.controllers.get(controller);
        let old = known.is_some_and(|process| process.mod_revision >= mod_revision);
        if !old && (known.is_some() || self.controllers.len() < MAX_CONTROLLERS) {
            let process = ControllerProcess { incarnation, mod_revision };
            self.controllers.insert(controller.into(), process);
        }
    }

    /// Puts a quota, unless a later one is known. `accepted` are the known acceptances of its
    /// controller and team; `complete` says whether none that ended can be missing among those
    /// after its mod revision.
    pub fn put_quota(
        &mut self,
        quota: AdmissionQuota,
        mod_revision: Revision,
        accepted: impl Iterator<Item = Acceptance>,
        complete: bool,
    ) {
        let key = (quota.team.clone(), quota.controller.clone());
        let known = self.quotas.get(&key);
        if known.is_some_and(|cached| cached.mod_revision >= mod_revision)
            || (known.is_none() && self.quotas.len() >= MAX_QUOTAS)
        {
            return;
        }
        let spent = vec![WorkAmount::default(); quota.classes.len()];
        let mut cached = CachedQuota { quota, mod_revision, complete, spent };
        let own = |acceptance: &Acceptance| {
            acceptance.controller == key.1 && acceptance.demand.team == key.0
        };
        accepted.filter(own).for_each(|acceptance| cached.count(&acceptance));
        self.quotas.insert(key, cached);
    }

    /// Drops a quota whose record was overwritten by one that cannot be read.
    pub fn drop_quota(&mut self, team: &str, controller: &str, mod_revision: Revision) {
        let key = (team.to_string(), controller.to_string());
        if self.quotas.get(&key).is_some_and(|cached| cached.mod_revision < mod_revision) {
            self.quotas.remove(&key);
        }
    }

    /// Counts an accepted job against its quota. Each job is to be counted once.
    pub fn count_acceptance(&mut self, acceptance: &Acceptance) {
        let key = (acceptance.demand.team.clone(), acceptance.controller.clone());
        if let Some(cached) = self.quotas.get_mut(&key) {
            cached.count(acceptance);
        }
    }

    /// The present process of a controller.
    pub fn process(&self, controller: &str) -> Option<ControllerProcess> {
        self.controllers.get(controller).copied()
    }

    /// The controllers, with the incarnation of the present process of each.
    pub fn controllers(&self) -> impl Iterator<Item = (&str, u64)> {
        self.controllers
            .iter()
            .map(|(controller, process)| (controller.as_str(), process.incarnation))
    }

    /// Whether a controller's process has written its record again since its quota of a team was
    /// written, by which it requests another quota.
    pub fn replacement_requested(&self, cached: &CachedQuota) -> bool {
        let process = self.controllers.get(&cached.quota.controller);
        process.is_some_and(|process| process.mod_revision > cached.mod_revision)
    }

    /// The names of all controllers.
    pub fn controller_names(&self) -> Vec<String> {
        self.controllers.keys().cloned().collect()
    }

    /// The quota of a team at a controller.
    pub fn quota(&self, team: &str, controller: &str) -> Option<&CachedQuota> {
        // The key is owned; a lookup by reference would take a map of maps.
        self.quotas.get(&(team.to_string(), controller.to_string()))
    }

    /// The mod revision of the quota of a team at a controller; none if there is no quota.
    pub fn quota_revision(&self, team: &str, controller: &str) -> Revision {
        self.quota(team, controller).map_or(Revision::NONE, |cached| cached.mod_revision)
    }

    /// All quotas of a team.
    pub fn team_quotas<'a>(&'a self, team: &'a str) -> impl Iterator<Item = &'a CachedQuota> + 'a {
        self.quotas.values().filter(move |cached| cached.quota.team == team)
    }
}
