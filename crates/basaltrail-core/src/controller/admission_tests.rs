use super::*;
use crate::io::{Effect, Input, StoreReply};
use crate::machines::types::MachineTypes;
use crate::model::{CallId, JobId, RequestId};
use crate::settings::fixtures::{job_spec, machine_type, settings};
use crate::settings::{AdmissionPolicy, Policy, Team};
use crate::store::records::{active_job_key, JobRecord, ACTIVE_JOBS_PREFIX};
use basaltrail_admission::QuotaEntry;
use std::sync::Arc;

const ACTIVE_REVISION: Revision = Revision(9);
const QUOTA_REVISION: Revision = Revision(5);

fn controller(policy: Option<AdmissionPolicy>) -> Controller {
    let team = Team {
        name: "t".into(),
        guaranteed_cpus: 100.0,
        max_cpus: 100.0,
        guaranteed_gpus: 0.0,
        max_gpus: f64::INFINITY,
    };
    let base = settings();
    let policy = Policy { admission: policy, ..base.policy.clone() };
    let cfg = Settings { teams: vec![team], policy, ..base };
    let mut controller = Controller::new(Arc::new(cfg), 1);
    controller.job_watch.record_page(Revision(1));
    controller.job_watch.complete_list(0);
    controller.machine_types = MachineTypes::with_known(vec![machine_type()]);
    controller
}

fn quota(incarnation: u64, jobs: u32) -> KeyValue {
    let class = QuotaEntry { class: "c".into(), jobs, work: 1e6, retry_after_s: 4 };
    let quota = AdmissionQuota {
        team: "t".into(),
        controller: "n0".into(),
        incarnation,
        horizon_s: 100.0,
        classes: vec![class],
    };
    let (key, value) = (quota_key("t", "n0"), encode(&quota));
    KeyValue { key, value, mod_revision: QUOTA_REVISION, lease_id: None }
}

/// Submits a job and returns the transaction that accepts it, if one is sent, and all effects.
fn submit(
    controller: &mut Controller,
    job: u64,
    spec: JobSpec,
) -> (Option<(CallId, StoreRequest)>, Vec<Effect>) {
    let input = Input::Submit { request_id: RequestId(job), job: JobId(job), spec: Box::new(spec) };
    let effects = controller.step(1_000 + job, 0, input);
    let accepts = |effect: &Effect| match effect {
        Effect::Store {
            call_id,
            request: StoreRequest::Transaction { preconditions, puts, deletes },
            ..
        } if puts.iter().any(|put| put.key.starts_with(ACTIVE_JOBS_PREFIX)) => {
            let (preconditions, puts, deletes) =
                (preconditions.clone(), puts.clone(), deletes.clone());
            Some((*call_id, StoreRequest::Transaction { preconditions, puts, deletes }))
        }
        _ => None,
    };
    (effects.iter().find_map(accepts), effects)
}

/// Guards against a transaction that is committed after its quota was replaced: the job would not
/// count against any quota.
#[test]
fn an_acceptance_is_conditional_on_the_revision_of_its_quota() {
    let mut controller = controller(Some(AdmissionPolicy::default()));
    controller.apply_unordered(&quota(1, 9));
    let (txn, _) = submit(&mut controller, 7, job_spec(1, true));
    let Some((_, StoreRequest::Transaction { preconditions, puts, .. })) = txn else {
        panic!("no transaction was sent")
    };
    assert!(
        preconditions.contains(&Precondition::new(quota_key("t", "n0"), QUOTA_REVISION)),
        "{preconditions:?}"
    );
    let record: JobRecord = decode(&puts[0].value).unwrap();
    assert_eq!(
        record.accepted_by.as_deref(),
        Some("n0"),
        "the leader counts the job by this field"
    );
}

#[test]
fn a_submission_whose_quota_was_replaced_waits_for_the_next_one() {
    let mut controller = controller(Some(AdmissionPolicy::default()));
    controller.apply_unordered(&quota(1, 9));
    let (txn, _) = submit(&mut controller, 7, job_spec(1, true));
    let failed = vec![quota_key("t", "n0")];
    let reply = StoreReply::Conflict { failed };
    let effects = controller.step(1_100, 0, Input::Store { call_id: txn.unwrap().0, reply });
    assert!(!effects.iter().any(|e| matches!(e, Effect::Answer { .. })), "{effects:?}");
    assert_eq!(controller.requests.awaiting_quota.len(), 1);
    controller.apply_unordered(&KeyValue { mod_revision: Revision(12), ..quota(1, 9) });
    let effects = controller.step(1_200, 0, Input::Tick);
    let uses_new_quota = |e: &Effect| match e {
        Effect::Store { request: StoreRequest::Transaction { preconditions, .. }, .. } => {
            preconditions.contains(&Precondition::new(quota_key("t", "n0"), Revision(12)))
        }
        _ => false,
    };
    assert!(effects.iter().any(uses_new_quota), "{effects:?}");
}

/// Covers a quota that is not known, belongs to an earlier process, is used up, or is unreadable.
#[test]
fn nothing_is_accepted_without_a_quota() {
    let unreadable = KeyValue { value: "[]".into(), ..quota(1, 9) };
    for item in [None, Some(quota(2, 9)), Some(quota(1, 0)), Some(unreadable)] {
        let mut controller = controller(Some(AdmissionPolicy::default()));
        item.iter().for_each(|item| controller.apply_unordered(item));
        let (txn, _) = submit(&mut controller, 7, job_spec(1, true));
        assert!(txn.is_none(), "{item:?}");
    }
    let (txn, _) = submit(&mut controller(None), 7, job_spec(1, true));
    assert!(txn.is_some(), "everything is accepted without the policy");
}

/// Another controller may have accepted a job under other limits, or before this controller read
/// its record. A repeated submission must not be answered that the job can never run or that the
/// backlog is full.
#[test]
fn a_repeated_submission_of_a_job_accepted_elsewhere_is_not_rejected() {
    let too_wide = JobSpec { cpus: 101.0, ..job_spec(1, true) };
    for (policy, spec) in [(None, too_wide), (Some(AdmissionPolicy::default()), job_spec(1, true))]
    {
        let mut controller = controller(policy);
        let (txn, mut effects) = submit(&mut controller, 7, spec.clone());
        assert!(txn.is_none());
        effects.extend(controller.step(1_500, 0, Input::Tick));
        let answered = |effects: &[Effect]| {
            effects.iter().any(|e| matches!(e, Effect::Answer { request_id: RequestId(7), .. }))
        };
        assert!(!answered(&effects), "answered before the job was looked up");
        let confirmation = effects.iter().find_map(|e| match e {
            Effect::Store {
                call_id,
                request: StoreRequest::Transaction { preconditions, puts, .. },
                ..
            } if puts.is_empty()
                && preconditions.iter().any(|p| p.key == active_job_key(JobId(7))) =>
            {
                Some(*call_id)
            }
            _ => None,
        });
        let failed = vec![active_job_key(JobId(7))];
        let reply = StoreReply::Conflict { failed };
        let effects =
            controller.step(1_600, 0, Input::Store { call_id: confirmation.unwrap(), reply });
        let lookup = effects.iter().find_map(|e| match e {
            Effect::Store { call_id, request: StoreRequest::Get(key), .. }
                if *key == active_job_key(JobId(7)) =>
            {
                Some(*call_id)
            }
            _ => None,
        });
        let value = encode(&JobRecord::new(0, spec));
        let key = active_job_key(JobId(7));
        let item = KeyValue { key, value, mod_revision: ACTIVE_REVISION, lease_id: None };
        let reply = StoreReply::KeyValue(item);
        let effects = controller.step(1_700, 0, Input::Store { call_id: lookup.unwrap(), reply });
        let is_job_answer = |e: &Effect| {
            matches!(e, Effect::Answer { request_id: RequestId(7), answer: Answer::Job { .. } })
        };
        assert!(effects.iter().any(is_job_answer), "{effects:?}");
    }
}

/// A controller counts an acceptance without a reply as used. If it was not committed, the leader
/// counts the quota as unused and does not replace it, so the controller would reject submissions
/// forever.
#[test]
fn a_controller_whose_acceptances_were_lost_requests_another_quota() {
    let mut controller = controller(Some(AdmissionPolicy::default()));
    controller.job_cache.quotas.put_controller("n0", 1, Revision(2));
    controller.apply_unordered(&quota(1, 1));
    let (txn, _) = submit(&mut controller, 7, job_spec(1, true));
    let lost_reply = Input::Store { call_id: txn.unwrap().0, reply: StoreReply::Unknown };
    controller.step(1_100, 0, lost_reply);
    let (txn, effects) = submit(&mut controller, 200, job_spec(1, true));
    assert!(txn.is_none(), "the quota is used up");
    let writes_controller_record = |e: &Effect| match e {
        Effect::Store {
            request: StoreRequest::Transaction { preconditions, puts, .. }, ..
        } => {
            preconditions.contains(&Precondition::new(controller_key("n0"), Revision(2)))
                && puts.iter().any(|p| p.key == controller_key("n0"))
        }
        _ => false,
    };
    assert!(effects.iter().any(writes_controller_record), "{effects:?}");
    // A record that is newer than the quota requests a replacement.
    controller.job_cache.quotas.put_controller("n0", 1, Revision(11));
    let cached = controller.job_cache.quotas.quota("t", "n0").unwrap();
    assert!(controller.job_cache.quotas.replacement_requested(cached));
}
