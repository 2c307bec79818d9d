//! The controller's side: what it admits out of its quotas.

use crate::quota::JobDemand;
use crate::quota_cache::{CachedQuota, QuotaCache};
use crate::revision::Revision;
use crate::work_amount::WorkAmount;
use std::collections::BTreeMap;

/// Seconds after which a submission is tried again while its controller waits for a quota.
const RETRY_SOON_S: u32 = 1;

/// Whether quotas bind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaMode {
    /// The leader hands out none: everything is admitted.
    Unlimited,
    /// Nothing is admitted without a quota.
    Enforced,
}

/// Why a submission is not admitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// This process has no quota yet.
    NoQuota,
    /// A newer quota has been written and is not known here yet.
    QuotaReplaced,
    /// The quota is used up.
    BacklogFull,
}

impl RejectionReason {
    /// Its name in logs and reports.
    pub fn name(self) -> &'static str {
        match self {
            RejectionReason::NoQuota => "no_allotment",
            RejectionReason::QuotaReplaced => "allotment_moved",
            RejectionReason::BacklogFull => "backlog_full",
        }
    }
}

/// A submission is not admitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRejection {
    /// Why.
    pub reason: RejectionReason,
    /// Seconds after which it may be admitted.
    pub retry_after_s: u32,
}

/// What is reserved of a quota for one submission. Its acceptance is conditional on the quota's
/// mod revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    demand: JobDemand,
    /// The index of the quota's entry.
    entry: usize,
    cost: WorkAmount,
    /// The mod revision of the quota; none where quotas do not bind.
    mod_revision: Option<Revision>,
}

impl Reservation {
    /// The team whose quota must still have this mod revision when the job is accepted.
    pub fn precondition(&self) -> Option<(&str, Revision)> {
        self.mod_revision.map(|mod_revision| (self.demand.team.as_str(), mod_revision))
    }
}

/// What became of an acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptanceOutcome {
    /// It was carried out, or may be.
    Used,
    /// It was not carried out, and never will be.
    NotUsed,
}

/// What this process has reserved of one quota.
#[derive(Clone, Debug, Default)]
struct Spending {
    /// The quota's mod revision.
    mod_revision: Revision,
    /// By entry of the quota.
    used: Vec<WorkAmount>,
    /// An acceptance under this mod revision failed: the quota has been replaced.
    replaced: bool,
}

/// Admits submissions out of the quotas of one process of a controller.
#[derive(Clone, Debug)]
pub struct QuotaLimiter {
    controller: String,
    incarnation: u64,
    mode: QuotaMode,
    /// By team.
    spending: BTreeMap<String, Spending>,
}

impl QuotaLimiter {
    /// The limiter of a process that has just started.
    pub fn new(controller: &str, incarnation: u64, mode: QuotaMode) -> Self {
        QuotaLimiter { controller: controller.into(), incarnation, mode, spending: BTreeMap::new() }
    }

    /// Whether quotas bind.
    pub fn mode(&self) -> QuotaMode {
        self.mode
    }

    /// Sets whether quotas bind: the leader says so.
    pub fn set_mode(&mut self, mode: QuotaMode) {
        self.mode = mode;
    }

    /// This process's quota of a team.
    fn own_quota<'a>(&self, cache: &'a QuotaCache, team: &str) -> Option<&'a CachedQuota> {
        let cached = cache.quota(team, &self.controller);
        cached.filter(|cached| cached.quota.incarnation == self.incarnation)
    }

    /// Reserves what a submission takes.
    ///
    /// # Errors
    ///
    /// If there is no quota for it, or nothing left of it.
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
        let spending = self.spending.entry(demand.team.clone()).or_default();
        if spending.mod_revision != cached.mod_revision {
            let used = vec![WorkAmount::default(); cached.quota.classes.len()];
            *spending = Spending { mod_revision: cached.mod_revision, used, replaced: false };
        }
        if spending.replaced {
            return reject(RejectionReason::QuotaReplaced, RETRY_SOON_S);
        }
        let class = &cached.quota.classes[entry];
        if !class.amount().minus(spending.used[entry]).admits_job() {
            let retry_after_s = class.retry_after_s.max(RETRY_SOON_S);
            return reject(RejectionReason::BacklogFull, retry_after_s);
        }
        let cost = demand.cost(cached.quota.horizon_s);
        spending.used[entry] = spending.used[entry].plus(cost);
        Ok(Reservation { demand, entry, cost, mod_revision: Some(cached.mod_revision) })
    }

    /// Whether a reservation still holds. One that does not is to be renewed before its submission
    /// is sent.
    pub fn is_current(&self, cache: &QuotaCache, reservation: &Reservation) -> bool {
        match (self.mode, reservation.mod_revision) {
            (QuotaMode::Unlimited, _) => true,
            (QuotaMode::Enforced, None) => false,
            (QuotaMode::Enforced, Some(mod_revision)) => {
                let team = &reservation.demand.team;
                let replaced = self.spending.get(team).is_some_and(|spending| spending.replaced);
                let cached = cache.quota(team, &self.controller);
                cached.is_some_and(|cached| cached.mod_revision == mod_revision) && !replaced
            }
        }
    }

    /// Takes what became of the acceptance that a reservation was for; what was not used is
    /// available again.
    pub fn settle(&mut self, reservation: &Reservation, outcome: AcceptanceOutcome) {
        let Some(spending) = self.spending.get_mut(&reservation.demand.team) else { return };
        let same_quota = Some(spending.mod_revision) == reservation.mod_revision;
        if outcome == AcceptanceOutcome::NotUsed && same_quota {
            let used = &mut spending.used[reservation.entry];
            *used = used.minus(reservation.cost);
        }
    }

    /// An acceptance failed since its quota has been replaced. Nothing more is admitted out of
    /// that quota.
    pub fn mark_replaced(&mut self, reservation: &Reservation) {
        if let Some(spending) = self.spending.get_mut(&reservation.demand.team) {
            spending.replaced |= Some(spending.mod_revision) == reservation.mod_revision;
        }
    }

    /// Gives a reservation back and reserves the same of the present quota.
    ///
    /// # Errors
    ///
    /// As [`QuotaLimiter::admit`]; the reservation is given back all the same.
    pub fn renew(
        &mut self,
        cache: &QuotaCache,
        reservation: Reservation,
    ) -> Result<Reservation, QuotaRejection> {
        self.settle(&reservation, AcceptanceOutcome::NotUsed);
        self.admit(cache, reservation.demand)
    }

    /// Whether this controller has used up what the leader takes for unspent, so that it has to
    /// request another quota. What became of some acceptances was never heard, and they were not
    /// carried out; or jobs that were accepted and have ended were never read of. The leader does
    /// not replace the record by itself then.
    pub fn needs_replacement(&self, cache: &QuotaCache, team: &str) -> bool {
        let Some(cached) = cache.quota(team, &self.controller) else { return false };
        let remaining = self.remaining(cache, team);
        remaining.iter().enumerate().any(|(entry, remaining)| {
            !remaining.admits_job()
                && cached.quota.classes[entry].amount().admits_job()
                && cached.unspent(entry).admits_job()
        })
    }

    /// What is left of a team's quota here, by entry; nothing without a quota.
    pub fn remaining(&self, cache: &QuotaCache, team: &str) -> Vec<WorkAmount> {
        let Some(cached) = self.own_quota(cache, team) else { return Vec::new() };
        let spending =
            self.spending.get(team).filter(|spending| spending.mod_revision == cached.mod_revision);
        let used = |entry| {
            spending.map_or(WorkAmount::default(), |spending: &Spending| spending.used[entry])
        };
        let classes = cached.quota.classes.iter().enumerate();
        classes.map(|(entry, class)| class.amount().minus(used(entry))).collect()
    }
}
