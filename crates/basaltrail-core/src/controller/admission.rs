//! Admission of submissions under this controller's quotas, and the record of its process, which
//! requests quotas from the leader.

use super::request_queue::AdmittedSubmission;
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
    AdmissionQuota, QuotaLimiter, QuotaMode, QuotaRejection, RejectionReason, Reservation,
    ReservationEnd, WorkAmount,
};
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum `Retry-After`, in seconds (PROTOCOL: `Retry-After` counts up to 30 s).
const MAX_RETRY_AFTER_S: u32 = 30;

/// The admission state of this controller.
pub(super) struct ControllerAdmission {
    limiter: QuotaLimiter,
    controller: String,
    incarnation: u64,
    /// True while a write of this process's record is in flight.
    record_write_in_flight: bool,
    next_record_write_at: Ms,
    /// True if a quota is used up here but not in the leader's count. This process then writes
    /// its record again, at most once per round, to request another quota.
    replacement_needed: bool,
    next_replacement_request_at: Ms,
    /// Submissions rejected since the last log event about them, by reason.
    rejected_by_reason: BTreeMap<RejectionReason, u64>,
    /// Submissions rejected since the process started, by team.
    rejected_by_team: Vec<u64>,
    next_log_at: Ms,
    /// Keys of unreadable records; each is logged once.
    unreadable_keys: BTreeSet<String>,
}

impl ControllerAdmission {
    /// Creates the admission state. Until the controller has seen a leader, its own policy decides
    /// whether quotas are enforced; if they are, it accepts nothing before it has a quota.
    pub(super) fn new(cfg: &Settings) -> Self {
        let mode = match cfg.policy.admission {
            Some(_) => QuotaMode::Enforced,
            None => QuotaMode::Unlimited,
        };
        ControllerAdmission {
            limiter: QuotaLimiter::new(&cfg.controller, cfg.incarnation, mode),
            controller: cfg.controller.clone(),
            incarnation: cfg.incarnation,
            record_write_in_flight: false,
            next_record_write_at: 0,
            replacement_needed: false,
            next_replacement_request_at: 0,
            rejected_by_reason: BTreeMap::new(),
            rejected_by_team: vec![0; cfg.teams.len()],
            next_log_at: 0,
            unreadable_keys: BTreeSet::new(),
        }
    }

    /// Returns whether submissions need an admission quota.
    pub(super) fn quotas_enforced(&self) -> bool {
        self.limiter.mode() == QuotaMode::Enforced
    }

    /// Reserves the demand of a submission in its team's quota.
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

    /// Replaces the reservation of a submission by one in the current quota.
    pub(super) fn renew_reservation(
        &mut self,
        job_cache: &JobCache,
        submission: &AdmittedSubmission,
    ) -> Result<Reservation, QuotaRejection> {
        self.limiter.renew(&job_cache.quotas, submission.reservation.clone())
    }

    /// Returns whether the reservation of a submission is still valid.
    pub(super) fn has_current_quota(
        &self,
        job_cache: &JobCache,
        submission: &AdmittedSubmission,
    ) -> bool {
        self.limiter.is_current(&job_cache.quotas, &submission.reservation)
    }

    /// Returns the precondition that the quota of a submission is unchanged, or `None` if it needs
    /// no quota.
    pub(super) fn quota_precondition(
        &self,
        submission: &AdmittedSubmission,
    ) -> Option<Precondition> {
        let (team, mod_revision) = submission.reservation.precondition()?;
        Some(Precondition::new(quota_key(team, &self.controller), mod_revision))
    }

    /// Ends the reservation of a submission.
    pub(super) fn finish_reservation(
        &mut self,
        submission: &AdmittedSubmission,
        end: ReservationEnd,
    ) {
        self.limiter.finish_reservation(&submission.reservation, end);
    }

    /// Returns whether an acceptance failed because its quota was replaced, and marks the quota as
    /// replaced in that case. `failed` holds the keys of the failed preconditions.
    pub(super) fn detect_replaced_quota(
        &mut self,
        submission: &AdmittedSubmission,
        failed: &[String],
    ) -> bool {
        let replaced =
            self.quota_precondition(submission).is_some_and(|quota| failed.contains(&quota.key));
        if replaced {
            self.limiter.mark_replaced(&submission.reservation);
        }
        replaced
    }

    /// Counts a rejected submission and returns its answer. `Retry-After` has a random part, so
    /// that users who are rejected together do not return together.
    pub(super) fn rejection_answer(
        &mut self,
        rng: &mut SmallRng,
        rejection: QuotaRejection,
    ) -> Answer {
        let QuotaRejection { reason, retry_after_s } = rejection;
        *self.rejected_by_reason.entry(reason).or_default() += 1;
        let jitter_s = rng.random_range(0..=retry_after_s / 2 + 1);
        let retry_after_s = (retry_after_s + jitter_s).clamp(1, MAX_RETRY_AFTER_S);
        Answer::Unavailable { retry_after_s, reason: UnavailableReason::NotAdmitted(reason) }
    }

    /// Returns whether the record of this process has to be written.
    fn record_write_due(&self, job_cache: &JobCache, now: Ms) -> bool {
        let cached = job_cache.quotas.process(&self.controller);
        let is_recorded = cached.is_some_and(|process| process.incarnation == self.incarnation);
        let due = match is_recorded {
            true => self.replacement_needed && now >= self.next_replacement_request_at,
            false => now >= self.next_record_write_at,
        };
        self.quotas_enforced() && !self.record_write_in_flight && due
    }

    /// Records that the write of this process's record has ended. The watch of the jobs shows
    /// whether it was committed.
    pub(super) fn finish_record_write(&mut self, now: Ms, cfg: &Settings) {
        self.record_write_in_flight = false;
        self.replacement_needed = false;
        self.next_record_write_at = now + cfg.heartbeat_interval_ms / 4;
        self.next_replacement_request_at = now + cfg.round_ms();
    }

    /// Returns the number of submissions of a team that were rejected since the process started.
    pub(super) fn rejected_count(&self, team: usize) -> u64 {
        self.rejected_by_team.get(team).copied().unwrap_or(0)
    }

    /// Returns the unused part of a team's quota, by entry; empty without a quota.
    pub(super) fn remaining(&self, job_cache: &JobCache, team: &str) -> Vec<WorkAmount> {
        self.limiter.remaining(&job_cache.quotas, team)
    }
}

impl Controller {
    /// Adopts the leader's quota mode, writes the record of this process if due, and logs
    /// rejections.
    pub(super) fn update_admission(&mut self) {
        self.update_quota_mode();
        if self.job_watch.is_loaded()
            && self.admission.record_write_due(&self.job_cache, self.now)
            && self.calls.try_acquire(self.now, CallPriority::Request)
            && self.calls.write_limiter.try_acquire(self.now, 1.0, CallPriority::Request)
        {
            self.write_controller_record();
        }
        self.log_rejections();
    }

    /// Adopts the leader's decision whether quotas are enforced. A leader of an earlier version
    /// allocates no quotas.
    fn update_quota_mode(&mut self) {
        let Some(quotas_enforced) = self.election.leader_allocates_quotas() else { return };
        let mode = if quotas_enforced { QuotaMode::Enforced } else { QuotaMode::Unlimited };
        if mode == self.admission.limiter.mode() {
            return;
        }
        self.admission.limiter.set_mode(mode);
        if quotas_enforced {
            // Quotas are part of the list only while they are enforced, so earlier ones were not
            // read.
            self.job_watch.restart_list();
        }
        self.calls.log(AdmissionEvent::Mode { quotas_enforced });
    }

    /// Writes the record of this process.
    fn write_controller_record(&mut self) {
        self.admission.record_write_in_flight = true;
        let ControllerAdmission { controller, incarnation, .. } = &self.admission;
        let record = ControllerRecord { controller: controller.clone(), incarnation: *incarnation };
        // The precondition makes a late write by an earlier process of this controller fail, since
        // the mod revision has changed.
        let cached = self.job_cache.quotas.process(controller);
        let mod_revision = cached.map_or(Revision::NONE, |process| process.mod_revision);
        let key = controller_key(controller);
        let request = StoreRequest::Transaction {
            preconditions: vec![Precondition::new(key.clone(), mod_revision)],
            puts: vec![PutRequest::new(key, encode(&record))],
            deletes: Vec::new(),
        };
        let timeout_ms = self.cfg.leader_lease_ms() / 4;
        self.calls.send_to_store(StorePurpose::WriteControllerRecord, request, timeout_ms);
    }

    /// Applies the record of a controller's process or of a quota to the job cache. `in_order` is
    /// true if every earlier change is known.
    pub(super) fn apply_admission_record(&mut self, item: &KeyValue, in_order: bool) {
        let applied = if item.key.starts_with(CONTROLLERS_PREFIX) {
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
        if applied.is_none() {
            // No job can be accepted under the quota that it replaced, since the mod revision has
            // changed.
            self.drop_unreadable_quota(&item.key, item.mod_revision);
        }
    }

    /// Removes a quota whose record is unreadable from the job cache and logs its key.
    fn drop_unreadable_quota(&mut self, key: &str, mod_revision: Revision) {
        for team in &self.cfg.teams {
            for controller in self.job_cache.quotas.controller_names() {
                if quota_key(&team.name, &controller) == key {
                    self.job_cache.quotas.remove_quota(&team.name, &controller, mod_revision);
                }
            }
        }
        if self.admission.unreadable_keys.len() < self.cfg.max_active_jobs()
            && self.admission.unreadable_keys.insert(key.to_string())
        {
            self.calls.log(AdmissionEvent::QuotaUnreadable { key: key.to_string() });
        }
    }

    /// Counts a rejected submission for the report to operators.
    pub(super) fn count_rejection(&mut self, team: &str) {
        if let Some(team) = self.cfg.team(team) {
            self.admission.rejected_by_team[team] += 1;
        }
    }

    /// Logs once per round the number of rejected submissions by reason.
    fn log_rejections(&mut self) {
        if self.now < self.admission.next_log_at {
            return;
        }
        self.admission.next_log_at = self.now + self.cfg.round_ms();
        let rejected = std::mem::take(&mut self.admission.rejected_by_reason);
        if rejected.is_empty() {
            return;
        }
        self.calls.log(AdmissionEvent::Refused { reasons: rejected.into_iter().collect() });
    }
}

#[cfg(test)]
#[path = "admission_tests.rs"]
mod tests;
