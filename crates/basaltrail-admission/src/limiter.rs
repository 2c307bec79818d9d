//! The controller's side of admission: admits submissions within the quotas.

use crate::quota::JobDemand;
use crate::quota_cache::{CachedQuota, QuotaCache};
use crate::revision::Revision;
use crate::work_amount::WorkAmount;
use std::collections::BTreeMap;

/// Seconds after which a submission may be retried while its controller waits for a quota.
const RETRY_SOON_S: u32 = 1;

/// The enforcement of quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaMode {
    /// The leader does not plan quotas: all submissions are admitted.
    Unlimited,
    /// Submissions are only admitted within a quota.
    Enforced,
}

/// The reason why a submission is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// This process has no quota yet.
    NoQuota,
    /// The quota has been replaced, and the cache does not have the new one yet.
    QuotaReplaced,
    /// The quota is used up.
    BacklogFull,
}

impl RejectionReason {
    /// Returns the name of the reason in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            RejectionReason::NoQuota => "no_allotment",
            RejectionReason::QuotaReplaced => "allotment_moved",
            RejectionReason::BacklogFull => "backlog_full",
        }
    }
}

/// The rejection of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRejection {
    /// The reason.
    pub reason: RejectionReason,
    /// Seconds after which the submission may be retried.
    pub retry_after_s: u32,
}

/// The part of a quota that is reserved for one submission. The acceptance of the job must be
/// conditional on the mod revision of the quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    demand: JobDemand,
    /// The index of the quota's entry.
    entry: usize,
    cost: WorkAmount,
    /// The mod revision of the quota; `None` if quotas were not enforced.
    mod_revision: Option<Revision>,
}

impl Reservation {
    /// Returns the team and the mod revision that the team's quota must still have when the job is
    /// accepted; `None` if the acceptance is not conditional.
    pub fn precondition(&self) -> Option<(&str, Revision)> {
        self.mod_revision.map(|mod_revision| (self.demand.team.as_str(), mod_revision))
    }
}

/// How a reservation ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationEnd {
    /// The acceptance was committed, or may still be.
    Consumed,
    /// The acceptance was not executed and never will be.
    Released,
}

/// The amounts that this process has reserved of one quota.
#[derive(Clone, Debug, Default)]
struct QuotaUsage {
    /// The mod revision of the quota.
    mod_revision: Revision,
    /// Reserved amounts, by index of the quota's entry.
    used: Vec<WorkAmount>,
    /// Whether an acceptance failed because the quota had been replaced.
    is_replaced: bool,
}

/// Admits submissions within the quotas of one process of a controller.
#[derive(Clone, Debug)]
pub struct QuotaLimiter {
    controller: String,
    incarnation: u64,
    mode: QuotaMode,
    /// Use of the quotas, by team.
    usage: BTreeMap<String, QuotaUsage>,
}

impl QuotaLimiter {
    /// Creates the limiter of a process that has just started.
    pub fn new(controller: &str, incarnation: u64, mode: QuotaMode) -> Self {
        QuotaLimiter { controller: controller.into(), incarnation, mode, usage: BTreeMap::new() }
    }

    /// Returns whether quotas are enforced.
    pub fn mode(&self) -> QuotaMode {
        self.mode
    }

    /// Sets whether quotas are enforced, as the leader decides.
    pub fn set_mode(&mut self, mode: QuotaMode) {
        self.mode = mode;
    }

    /// Returns the quota of a team if it was planned for this process.
    fn own_quota<'a>(&self, cache: &'a QuotaCache, team: &str) -> Option<&'a CachedQuota> {
        let cached = cache.quota(team, &self.controller);
        cached.filter(|cached| cached.quota.incarnation == self.incarnation)
    }

    /// Reserves the cost of a submission.
    ///
    /// # Errors
    ///
    /// Returns a rejection if there is no current quota for the submission or the quota is used up.
    pub fn admit(
        &mut self,
        cache: &QuotaCache,
        demand: JobDemand,
    ) -> Result<Reservation, QuotaRejection> {
        if self.mode == QuotaMode::Unlimited {
            let cost = WorkAmount::default();
            return Ok(Reservation { demand, entry: 0, cost, mod_revision: None });
        }
        let reject = |reason, retry_after_s| Err(QuotaRejection { reason, retry_after_s });
        let Some(cached) = self.own_quota(cache, &demand.team) else {
            return reject(RejectionReason::NoQuota, RETRY_SOON_S);
        };
        let Some(entry) = cached.quota.entry_index(&demand.class) else {
            return reject(RejectionReason::NoQuota, RETRY_SOON_S);
        };
        let usage = self.usage.entry(demand.team.clone()).or_default();
        if usage.mod_revision != cached.mod_revision {
            let used = vec![WorkAmount::default(); cached.quota.classes.len()];
            *usage = QuotaUsage { mod_revision: cached.mod_revision, used, is_replaced: false };
        }
        if usage.is_replaced {
            return reject(RejectionReason::QuotaReplaced, RETRY_SOON_S);
        }
        let class = &cached.quota.classes[entry];
        if !class.amount().minus(usage.used[entry]).admits_job() {
            let retry_after_s = class.retry_after_s.max(RETRY_SOON_S);
            return reject(RejectionReason::BacklogFull, retry_after_s);
        }
        let cost = demand.cost(cached.quota.horizon_s);
        usage.used[entry] = usage.used[entry].plus(cost);
        Ok(Reservation { demand, entry, cost, mod_revision: Some(cached.mod_revision) })
    }

    /// Returns whether a reservation is still valid. If it is not, it must be renewed before the
    /// acceptance of the job is sent to the store.
    pub fn is_current(&self, cache: &QuotaCache, reservation: &Reservation) -> bool {
        match (self.mode, reservation.mod_revision) {
            (QuotaMode::Unlimited, _) => true,
            (QuotaMode::Enforced, None) => false,
            (QuotaMode::Enforced, Some(mod_revision)) => {
                let team = &reservation.demand.team;
                let is_replaced = self.usage.get(team).is_some_and(|usage| usage.is_replaced);
                let cached = cache.quota(team, &self.controller);
                cached.is_some_and(|cached| cached.mod_revision == mod_revision) && !is_replaced
            }
        }
    }

    /// Ends a reservation. A released amount is available again unless the quota was replaced
    /// in the meantime.
    pub fn finish_reservation(&mut self, reservation: &Reservation, end: ReservationEnd) {
        let Some(usage) = self.usage.get_mut(&reservation.demand.team) else { return };
        let same_quota = Some(usage.mod_revision) == reservation.mod_revision;
        if end == ReservationEnd::Released && same_quota {
            let used = &mut usage.used[reservation.entry];
            *used = used.minus(reservation.cost);
        }
    }

    /// Marks the quota of a reservation as replaced, after an acceptance failed for that reason. No
    /// more submissions are admitted under that quota.
    pub fn mark_replaced(&mut self, reservation: &Reservation) {
        if let Some(usage) = self.usage.get_mut(&reservation.demand.team) {
            usage.is_replaced |= Some(usage.mod_revision) == reservation.mod_revision;
        }
    }

    /// Releases a reservation and makes a new one under the current quota.
    ///
    /// # Errors
    ///
    /// Returns the rejection of [`QuotaLimiter::admit`]. The reservation is released in this case,
    /// too.
    pub fn renew(
        &mut self,
        cache: &QuotaCache,
        reservation: Reservation,
    ) -> Result<Reservation, QuotaRejection> {
        self.finish_reservation(&reservation, ReservationEnd::Released);
        self.admit(cache, reservation.demand)
    }

    /// Returns whether this controller must request another quota, since it has used up an entry
    /// that counts as unused for the leader, which would not replace it on its own. This happens if
    /// acceptances with unknown results were not executed, or if jobs were accepted and ended
    /// before the cache read them.
    pub fn needs_replacement(&self, cache: &QuotaCache, team: &str) -> bool {
        let Some(cached) = cache.quota(team, &self.controller) else { return false };
        let remaining = self.remaining(cache, team);
        remaining.iter().enumerate().any(|(entry, remaining)| {
            !remaining.admits_job()
                && cached.quota.classes[entry].amount().admits_job()
                && cached.unused(entry).admits_job()
        })
    }

    /// Returns the remaining amounts of a team's quota, by index of the quota's entry; empty
    /// without a quota.
    pub fn remaining(&self, cache: &QuotaCache, team: &str) -> Vec<WorkAmount> {
        let Some(cached) = self.own_quota(cache, team) else { return Vec::new() };
        let usage = self.usage.get(team).filter(|usage| usage.mod_revision == cached.mod_revision);
        let used =
            |entry| usage.map_or(WorkAmount::default(), |usage: &QuotaUsage| usage.used[entry]);
        let classes = cached.quota.classes.iter().enumerate();
        classes.map(|(entry, class)| class.amount().minus(used(entry))).collect()
    }
}
