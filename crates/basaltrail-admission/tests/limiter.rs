//! What a controller admits out of its quotas, and what it rejects.

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

fn reason(admitted: Result<Reservation, QuotaRejection>) -> RejectionReason {
    admitted.expect_err("admitted").reason
}

#[test]
fn a_class_is_admitted_up_to_its_entry_and_others_share_one() {
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
    assert_eq!(reason(limiter.admit(&cache, demand("z"))), RejectionReason::BacklogFull);
    let other_team = JobDemand { team: "u".into(), ..demand("c") };
    assert_eq!(reason(limiter.admit(&cache, other_team)), RejectionReason::NoQuota);
}

/// The last job may be larger than what is left: it could never be admitted otherwise.
#[test]
fn one_job_may_be_larger_than_what_is_left() {
    let cache = cache(quota(1, 9, 15.0), 5);
    let mut limiter = QuotaLimiter::new("n", 1, QuotaMode::Enforced);
    assert!(limiter.admit(&cache, demand("c")).is_ok());
    assert_eq!(reason(limiter.admit(&cache, demand("c"))), RejectionReason::BacklogFull);
}

#[test]
fn a_later_process_may_use_nothing_of_an_earlier_ones_quota() {
    let cache = cache(quota(1, 9, 1_000.0), 5);
    let mut limiter = QuotaLimiter::new("n", 2, QuotaMode::Enforced);
    assert_eq!(reason(limiter.admit(&cache, demand("c"))), RejectionReason::NoQuota);
    assert!(limiter.remaining(&cache, "t").is_empty());
}

#[test]
fn a_reservation_that_was_not_used_is_given_back() {
    let cache = cache(quota(1, 1, 1_000.0), 5);
    let mut limiter = QuotaLimiter::new("n", 1, QuotaMode::Enforced);
    let reservation = limiter.admit(&cache, demand("c")).unwrap();
    limiter.settle(&reservation, AcceptanceOutcome::NotUsed);
    let reservation = limiter.admit(&cache, demand("c")).unwrap();
    limiter.settle(&reservation, AcceptanceOutcome::Used);
    assert_eq!(reason(limiter.admit(&cache, demand("c"))), RejectionReason::BacklogFull);
}

#[test]
fn a_replaced_quota_admits_nothing_until_the_next_is_known() {
    let mut cache = cache(quota(1, 9, 1_000.0), 5);
    let mut limiter = QuotaLimiter::new("n", 1, QuotaMode::Enforced);
    let reservation = limiter.admit(&cache, demand("c")).unwrap();
    limiter.mark_replaced(&reservation);
    assert!(!limiter.is_current(&cache, &reservation));
    assert_eq!(reason(limiter.renew(&cache, reservation.clone())), RejectionReason::QuotaReplaced);
    cache.put_quota(quota(1, 1, 1_000.0), Revision(9), std::iter::empty(), true);
    let renewed = limiter.renew(&cache, reservation).unwrap();
    assert_eq!(renewed.precondition(), Some(("t", Revision(9))));
    assert_eq!(reason(limiter.admit(&cache, demand("c"))), RejectionReason::BacklogFull);
}

#[test]
fn without_quotas_everything_is_admitted_and_nothing_is_conditional() {
    let mut limiter = QuotaLimiter::new("n", 1, QuotaMode::Unlimited);
    let reservation = limiter.admit(&QuotaCache::default(), demand("c")).unwrap();
    assert_eq!(reservation.precondition(), None);
    limiter.set_mode(QuotaMode::Enforced);
    assert!(!limiter.is_current(&QuotaCache::default(), &reservation), "it must ask again");
}

/// Jobs that fit into a guarantee together are within its bound, however long they run.
#[test]
fn work_counts_up_to_the_horizon() {
    let cost = |run_s| JobDemand { run_s, ..demand("c") }.cost(100.0).work;
    assert_eq!([Some(0.0), Some(10.0), Some(9e9), None].map(cost), [2.0, 20.0, 200.0, 200.0]);
}

#[test]
fn records_are_stored_under_short_names_and_odd_ones_are_not_valid() {
    let text = r#"{"t":"t","n":"n","i":1,"h":100.0,"r":[{"c":"c","j":2,"w":5.0,"s":7}]}"#;
    let read: AdmissionQuota = serde_json::from_str(text).unwrap();
    assert_eq!(serde_json::to_string(&read).unwrap(), text);
    assert!(read.is_valid());
    let odd = [
        r#"{"t":"t","n":"n","i":1,"h":0.0,"r":[]}"#,
        r#"{"t":"t","n":"n","i":1,"h":100.0,"r":[{"c":"c","j":2,"w":-5.0,"s":7}]}"#,
    ];
    for text in odd {
        assert!(!serde_json::from_str::<AdmissionQuota>(text).unwrap().is_valid(), "{text}");
    }
}
