//! What this controller may accept: its admission quotas, and the record of its process by which
//! it asks for them.

use super::request_queue::NewJob;
use super::Controller;
use crate::answer::{Answer, UnavailableReason};
use crate::events::AdmissionEvent;
use crate::io::{KeyValue, Precondition, PutRequest, StoreRequest};
use crate::jobs::JobCache;
use crate::model::{JobSpec, Ms, Revision};
use crate::settings::Settings;
use crate::store::calls::StorePurpose;
use crate::store::rate_limiter::CallPriority;
use crate::store::records::{
    controller_key, decode, encode, quota_key, ControllerRecord, CONTROLLERS_PREFIX,
};
use basaltrail_admission::{
    AcceptanceOutcome, AdmissionQuota, QuotaLimiter, QuotaMode, QuotaRejection, RejectionReason,
    Reservation, WorkAmount,
};
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// The longest that a user is told to wait, in seconds (PROTOCOL: `Retry-After` counts up to 30 s).
const MAX_RETRY_AFTER_S: u32 = 30;

/// This controller's side of admission.
pub(super) struct ControllerAdmission {
    limiter: QuotaLimiter,
    controller: String,
    incarnation: u64,
    /// The record of this process is being written.
    announcing: bool,
    next_announcement: Ms,
    /// A quota is used up here and not for the leader: this process writes its record again, by
    /// which it requests another quota, once a round at most.
    replacement_needed: bool,
    next_replacement_request: Ms,
    /// Submissions that were not admitted since the last line about it, by reason.
    rejected: BTreeMap<RejectionReason, u64>,
    /// The same by team, since the process began.
    rejected_by_team: Vec<u64>,
    next_log: Ms,
    /// Keys of records that could not be read: each is logged once.
    unreadable: BTreeSet<String>,
}

impl ControllerAdmission {
    /// Until a leader is seen, a controller goes by its own policy: where quotas are to bind, it
    /// accepts nothing before it has one.
    pub(super) fn new(cfg: &Settings) -> Self {
        let mode = match cfg.policy.admission {
            Some(_) => QuotaMode::Enforced,
            None => QuotaMode::Unlimited,
        };
        ControllerAdmission {
            limiter: QuotaLimiter::new(&cfg.controller, cfg.incarnation, mode),
            controller: cfg.controller.clone(),
            incarnation: cfg.incarnation,
            announcing: false,
            next_announcement: 0,
            replacement_needed: false,
            next_replacement_request: 0,
            rejected: BTreeMap::new(),
            rejected_by_team: vec![0; cfg.teams.len()],
            next_log: 0,
            unreadable: BTreeSet::new(),
        }
    }

    /// Whether quotas bind.
    pub(super) fn quotas_bind(&self) -> bool {
        self.limiter.mode() == QuotaMode::Enforced
    }

    /// Reserves what a submission takes.
    pub(super) fn admit(
        &mut self,
        job_cache: &JobCache,
        spec: &JobSpec,
    ) -> Result<Reservation, QuotaRejection> {
        let admitted = self.limiter.admit(&job_cache.quotas, spec.demand());
        if matches!(admitted, Err(QuotaRejection { reason: RejectionReason::BacklogFull, .. })) {
            self.replacement_needed |=
                self.limiter.needs_replacement(&job_cache.quotas, &spec.team);
        }
        admitted
    }

    /// Reserves for a submission anew, out of the present quota.
    pub(super) fn renew(
        &mut self,
        job_cache: &JobCache,
        new: &NewJob,
    ) -> Result<Reservation, QuotaRejection> {
        self.limiter.renew(&job_cache.quotas, new.reservation.clone())
    }

    /// Whether the quota of a submission has not been replaced, as far as is known.
    pub(super) fn is_current(&self, job_cache: &JobCache, new: &NewJob) -> bool {
        self.limiter.is_current(&job_cache.quotas, &new.reservation)
    }

    /// The quota that must still be as it was when the job is accepted.
    pub(super) fn precondition(&self, new: &NewJob) -> Option<Precondition> {
        let (team, mod_revision) = new.reservation.precondition()?;
        Some(Precondition::new(quota_key(team, &self.controller), mod_revision))
    }

    /// Takes what became of an acceptance.
    pub(super) fn settle(&mut self, new: &NewJob, outcome: AcceptanceOutcome) {
        self.limiter.settle(&new.reservation, outcome);
    }

    /// Whether an acceptance failed since its quota has been replaced. `failed` are the keys of the
    /// preconditions that failed.
    pub(super) fn quota_replaced(&mut self, new: &NewJob, failed: &[String]) -> bool {
        let replaced = self.precondition(new).is_some_and(|quota| failed.contains(&quota.key));
        if replaced {
            self.limiter.mark_replaced(&new.reservation);
        }
        replaced
    }

    /// The answer to a submission that is not admitted. Users who are rejected together do not
    /// return together.
    pub(super) fn not_admitted(&mut self, rng: &mut SmallRng, rejection: QuotaRejection) -> Answer {
        let QuotaRejection { reason, retry_after_s } = rejection;
        *self.rejected.entry(reason).or_default() += 1;
        let spread = rng.random_range(0..=retry_after_s / 2 + 1);
        let retry_after_s = (retry_after_s + spread).clamp(1, MAX_RETRY_AFTER_S);
        Answer::Unavailable { retry_after_s, reason: UnavailableReason::NotAdmitted(reason) }
    }

    /// Whether the record of this process has to be written.
    fn announcement_due(&self, job_cache: &JobCache, now: Ms) -> bool {
        let known = job_cache.quotas.process(&self.controller);
        let announced = known.is_some_and(|process| process.incarnation == self.incarnation);
        let due = match announced {
            true => self.replacement_needed && now >= self.next_replacement_request,
            false => now >= self.next_announcement,
        };
        self.quotas_bind() && !self.announcing && due
    }

    /// The record of this process was written, or was not: the watch tells which.
    pub(super) fn announced(&mut self, now: Ms, cfg: &Settings) {
        self.announcing = false;
        self.replacement_needed = false;
        self.next_announcement = now + cfg.heartbeat_interval_ms / 4;
        self.next_replacement_request = now + cfg.round_ms();
    }

    /// Submissions of a team that were not admitted since the process began.
    pub(super) fn rejected_of_team(&self, team: usize) -> u64 {
        self.rejected_by_team.get(team).copied().unwrap_or(0)
    }

    /// What is left of a team's quota here, by entry.
    pub(super) fn remaining(&self, job_cache: &JobCache, team: &str) -> Vec<WorkAmount> {
        self.limiter.remaining(&job_cache.quotas, team)
    }
}

impl Controller {
    /// Follows the leader in whether quotas bind, announces this process, and logs.
    pub(super) fn update_admission(&mut self) {
        self.follow_quota_mode();
        if self.job_watch.is_loaded()
            && self.admission.announcement_due(&self.job_cache, self.now)
            && self.calls.try_acquire(self.now, CallPriority::Request)
            && self.calls.write_rate.try_acquire(self.now, 1.0, CallPriority::Request)
        {
            self.announce();
        }
        self.log_rejections();
    }

    /// Whether quotas bind is the leader's to say; a controller of an earlier version that leads
    /// hands out none.
    fn follow_quota_mode(&mut self) {
        let Some(quotas_bind) = self.election.leader_allocates_quotas() else { return };
        let mode = if quotas_bind { QuotaMode::Enforced } else { QuotaMode::Unlimited };
        if mode == self.admission.limiter.mode() {
            return;
        }
        self.admission.limiter.set_mode(mode);
        if quotas_bind {
            // Quotas that were written before are listed only where they bind.
            self.job_watch.restart_list();
        }
        self.calls.log(AdmissionEvent::Mode { quotas_bind });
    }

    fn announce(&mut self) {
        self.admission.announcing = true;
        let ControllerAdmission { controller, incarnation, .. } = &self.admission;
        let record = ControllerRecord { controller: controller.clone(), incarnation: *incarnation };
        // A write of an earlier process of this name that comes late changes nothing: the mod
        // revision is another by then.
        let known = self.job_cache.quotas.process(controller);
        let mod_revision = known.map_or(Revision::NONE, |process| process.mod_revision);
        let key = controller_key(controller);
        let request = StoreRequest::Transaction {
            preconditions: vec![Precondition::new(key.clone(), mod_revision)],
            puts: vec![PutRequest::new(key, encode(&record))],
            deletes: Vec::new(),
        };
        let timeout_ms = self.cfg.leader_lease_ms() / 4;
        self.calls.send_to_store(StorePurpose::AnnounceController, request, timeout_ms);
    }

    /// Takes the record of a controller's process or a quota; `in_order` says whether every change
    /// before it is known.
    pub(super) fn apply_admission(&mut self, item: &KeyValue, in_order: bool) {
        let readable = if item.key.starts_with(CONTROLLERS_PREFIX) {
            decode::<ControllerRecord>(&item.value).map(|record| {
                self.job_cache.quotas.put_controller(
                    &record.controller,
                    record.incarnation,
                    item.mod_revision,
                );
            })
        } else {
            let quota = decode::<AdmissionQuota>(&item.value).filter(AdmissionQuota::is_valid);
            quota.map(|quota| self.job_cache.put_quota(quota, item.mod_revision, in_order))
        };
        if readable.is_none() {
            // Nothing is accepted on it: the quota that it replaced has another mod revision.
            self.drop_unreadable_quota(&item.key, item.mod_revision);
        }
    }

    fn drop_unreadable_quota(&mut self, key: &str, mod_revision: Revision) {
        for team in &self.cfg.teams {
            for controller in self.job_cache.quotas.controller_names() {
                if quota_key(&team.name, &controller) == key {
                    self.job_cache.quotas.remove_quota(&team.name, &controller, mod_revision);
                }
            }
        }
        if self.admission.unreadable.len() < self.cfg.max_active_jobs()
            && self.admission.unreadable.insert(key.to_string())
        {
            self.calls.log(AdmissionEvent::QuotaUnreadable { key: key.to_string() });
        }
    }

    /// Counts a submission that was not admitted, for operators.
    pub(super) fn count_rejection(&mut self, team: &str) {
        if let Some(team) = self.cfg.team(team) {
            self.admission.rejected_by_team[team] += 1;
        }
    }

    /// Logs once a round how many submissions were not admitted.
    fn log_rejections(&mut self) {
        if self.now < self.admission.next_log {
            return;
        }
        self.admission.next_log = self.now + self.cfg.round_ms();
        let rejected = std::mem::take(&mut self.admission.rejected);
        if rejected.is_empty() {
            return;
        }
        self.calls.log(AdmissionEvent::Refused { reasons: rejected.into_iter().collect() });
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
