//! Tests of the admission of submissions within quotas.

use basaltrail_admission::*;

fn quota(incarnation: u64, jobs: u32, work: f64) -> AdmissionQuota {
    let class = |name: &str| QuotaEntry { class: name.into(), jobs, work, retry_after_s: 7 };
    AdmissionQuota {
        team: "t".into(),
        controller: "n".into(),
        incarnation,
        horizon_s: 100.0,
        classes: vec![class("c"), class(OTHER_CLASSES)],
    }
}

fn demand(class: &str) -> JobDemand {
    JobDemand { team: "t".into(), class: class.into(), cpus: 2.0, run_s: Some(10.0) }
}

fn cache(quota: AdmissionQuota, mod_revision: u64) -> QuotaCache {
    let mut cache = QuotaCache::default();
    cache.put_quota(quota, Revision(mod_revision), std::iter::empty(), true);
    cache
}

fn rejection_reason(admitted: Result<Reservation, QuotaRejection>) -> RejectionReason {
    admitted.expect_err("the submission must be rejected").reason
}

#[test]
fn a_named_class_uses_its_own_entry_and_other_classes_share_one() {
    let cache = cache(quota(1, 2, 1_000.0), 5);
    let mut limiter = QuotaLimiter::new("n", 1, QuotaMode::Enforced);
    for _ in 0..2 {
        let reservation = limiter.admit(&cache, demand("c")).unwrap();
        assert_eq!(reservation.precondition(), Some(("t", Revision(5))));
    }
    let rejection = limiter.admit(&cache, demand("c")).unwrap_err();
    assert_eq!((rejection.reason, rejection.retry_after_s), (RejectionReason::BacklogFull, 7));
    assert!(limiter.admit(&cache, demand("x")).is_ok());
    assert!(limiter.admit(&cache, demand("y")).is_ok());
    assert_eq!(rejection_reason(limiter.admit(&cache, demand("z"))), RejectionReason::BacklogFull);
    let other_team = JobDemand { team: "u".into(), ..demand("c") };
    assert_eq!(rejection_reason(limiter.admit(&cache, other_team)), RejectionReason::NoQuota);
}

/// Otherwise a job larger than the quota could never be admitted.
#[test]
fn one_job_may_exceed_the_remaining_work() {
    let cache = cache(quota(1, 9, 15.0), 5);
    let mut limiter = QuotaLimiter::new("n", 1, QuotaMode::Enforced);
    assert!(limiter.admit(&cache, demand("c")).is_ok());
    assert_eq!(rejection_reason(limiter.admit(&cache, demand("c"))), RejectionReason::BacklogFull);
}

#[test]
fn a_process_cannot_use_the_quota_of_an_earlier_process() {
    let cache = cache(quota(1, 9, 1_000.0), 5);
    let mut limiter = QuotaLimiter::new("n", 2, QuotaMode::Enforced);
    assert_eq!(rejection_reason(limiter.admit(&cache, demand("c"))), RejectionReason::NoQuota);
    assert!(limiter.remaining(&cache, "t").is_empty());
}

#[test]
fn an_unused_reservation_is_released() {
    let cache = cache(quota(1, 1, 1_000.0), 5);
    let mut limiter = QuotaLimiter::new("n", 1, QuotaMode::Enforced);
    let reservation = limiter.admit(&cache, demand("c")).unwrap();
    limiter.finish_reservation(&reservation, ReservationEnd::Released);
    let reservation = limiter.admit(&cache, demand("c")).unwrap();
    limiter.finish_reservation(&reservation, ReservationEnd::Consumed);
    assert_eq!(rejection_reason(limiter.admit(&cache, demand("c"))), RejectionReason::BacklogFull);
}

#[test]
fn a_replaced_quota_admits_nothing_until_the_new_quota_is_cached() {
    let mut cache = cache(quota(1, 9, 1_000.0), 5);
    let mut limiter = QuotaLimiter::new("n", 1, QuotaMode::Enforced);
    let reservation = limiter.admit(&cache, demand("c")).unwrap();
    limiter.mark_replaced(&reservation);
    assert!(!limiter.is_current(&cache, &reservation));
    assert_eq!(
        rejection_reason(limiter.renew(&cache, reservation.clone())),
        RejectionReason::QuotaReplaced
    );
    cache.put_quota(quota(1, 1, 1_000.0), Revision(9), std::iter::empty(), true);
    let renewed = limiter.renew(&cache, reservation).unwrap();
    assert_eq!(renewed.precondition(), Some(("t", Revision(9))));
    assert_eq!(rejection_reason(limiter.admit(&cache, demand("c"))), RejectionReason::BacklogFull);
}

#[test]
fn without_enforcement_submissions_are_admitted_without_a_precondition() {
    let mut limiter = QuotaLimiter::new("n", 1, QuotaMode::Unlimited);
    let reservation = limiter.admit(&QuotaCache::default(), demand("c")).unwrap();
    assert_eq!(reservation.precondition(), None);
    limiter.set_mode(QuotaMode::Enforced);
    assert!(!limiter.is_current(&QuotaCache::default(), &reservation), "it must be renewed");
}

/// Jobs that fit into a guarantee together must stay within its bound, regardless of run times.
#[test]
fn run_times_count_up_to_the_horizon() {
    let cost = |run_s| JobDemand { run_s, ..demand("c") }.cost(100.0).work;
    assert_eq!([Some(0.0), Some(10.0), Some(9e9), None].map(cost), [2.0, 20.0, 200.0, 200.0]);
}

#[test]
fn records_use_short_keys_and_out_of_range_numbers_are_invalid() {
    let text = r#"{"t":"t","n":"n","i":1,"h":100.0,"r":[{"c":"c","j":2,"w":5.0,"s":7}]}"#;
    let decoded: AdmissionQuota = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_string(&decoded).unwrap(), text);
    assert!(decoded.is_valid());
    let invalid = [
        r#"{"t":"t","n":"n","i":1,"h":0.0,"r":[]}"#,
        r#"{"t":"t","n":"n","i":1,"h":100.0,"r":[{"c":"c","j":2,"w":-5.0,"s":7}]}"#,
    ];
    for text in invalid {
        assert!(!serde_json::from_str::<AdmissionQuota>(text).unwrap().is_valid(), "{text}");
    }
}
