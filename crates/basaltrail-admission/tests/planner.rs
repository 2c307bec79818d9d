//! Tests of the quotas that a leader plans.

use basaltrail_admission::*;

const BOUNDS: BacklogBounds = BacklogBounds { horizon_s: 100.0, max_jobs: 400, round_s: 10.0 };

fn load(team: &str, classes: &[(&str, u32)]) -> TeamLoad {
    let class = |(class, jobs): &(&str, u32)| {
        let backlog = WorkAmount { jobs: *jobs, work: f64::from(*jobs) * 10.0 };
        ClassLoad { class: (*class).into(), backlog }
    };
    TeamLoad {
        team: team.into(),
        guaranteed_cpus: 20.0,
        max_cpus: 40.0,
        job_share: 0.5,
        served_cpus: 20.0,
        classes: classes.iter().map(class).collect(),
    }
}

fn controllers(count: usize) -> QuotaCache {
    let mut cache = QuotaCache::default();
    for controller in 0..count {
        cache.put_controller(&format!("n{controller}"), 1, Revision(controller as u64 + 1));
    }
    cache
}

fn sum(writes: &[QuotaWrite], team: &str, class: &str) -> WorkAmount {
    writes
        .iter()
        .filter(|write| write.quota.team == team)
        .flat_map(|write| &write.quota.classes)
        .filter(|entry| entry.class == class)
        .fold(WorkAmount::default(), |sum, entry| sum.plus(entry.amount()))
}

/// Puts the written quotas into the cache, at consecutive revisions.
fn put_written(cache: &mut QuotaCache, writes: &[QuotaWrite], first_revision: u64) {
    for (index, write) in writes.iter().enumerate() {
        let quota = write.quota.clone();
        cache.put_quota(quota, Revision(first_revision + index as u64), std::iter::empty(), true);
    }
}

#[test]
fn the_backlog_of_one_team_or_class_does_not_reduce_the_quotas_of_others() {
    let cache = controllers(3);
    let teams = [load("flood", &[("a", 5_000), ("b", 0)]), load("calm", &[("c", 0)])];
    let writes = QuotaPlanner::default().plan(&cache, &BOUNDS, &teams);
    assert_eq!(sum(&writes, "flood", "a").jobs, 0);
    assert!(sum(&writes, "flood", "b").jobs >= 3, "the other class keeps its reserved part");
    let alone = QuotaPlanner::default().plan(&cache, &BOUNDS, &teams[1..]);
    assert_eq!(sum(&writes, "calm", "c").jobs, sum(&alone, "calm", "c").jobs);
    assert!(sum(&writes, "calm", "c").jobs >= 30);
}

#[test]
fn a_quota_is_not_written_again_while_its_write_is_pending() {
    let mut cache = controllers(3);
    let mut planner = QuotaPlanner::default();
    let team = load("t", &[("c", 0)]);
    let first = planner.plan(&cache, &BOUNDS, std::slice::from_ref(&team));
    assert_eq!(first.len(), 3);
    first.iter().for_each(|write| planner.record_result(write, WriteResult::Committed));
    assert!(planner.plan(&cache, &BOUNDS, std::slice::from_ref(&team)).is_empty());
    put_written(&mut cache, &first, 10);
    assert!(planner.plan(&cache, &BOUNDS, &[team]).is_empty(), "no quota deviates from its target");
}

/// A write without a reply may be executed late. Only a further write of the record rules that out.
#[test]
fn a_write_with_unknown_result_is_repeated_and_counts_until_then() {
    let cache = controllers(2);
    let mut planner = QuotaPlanner::default();
    let team = [load("t", &[("c", 0)])];
    let first = planner.plan(&cache, &BOUNDS, &team);
    planner.record_result(&first[0], WriteResult::Unknown);
    planner.record_result(&first[1], WriteResult::NotExecuted);
    let second = planner.plan(&cache, &BOUNDS, &team);
    assert_eq!(second.len(), 2);
    let bound = QuotaPlanner::team_bound(&BOUNDS, &team[0], 20.0, 2).jobs;
    let written = sum(&first[..1], "t", "c").plus(sum(&second, "t", "c")).jobs;
    assert!(written <= bound, "{written} jobs written, {bound} allowed");
}

#[test]
fn quotas_follow_the_demand_at_controllers_and_none_is_empty() {
    let mut cache = controllers(3);
    let mut planner = QuotaPlanner::default();
    let team = [load("t", &[("c", 0)])];
    let mut mod_revision = 10;
    let mut writes = planner.plan(&cache, &BOUNDS, &team);
    for _ in 0..8 {
        writes.iter().for_each(|write| planner.record_result(write, WriteResult::Committed));
        put_written(&mut cache, &writes, mod_revision);
        mod_revision += 100;
        // One controller uses its whole quota, and the jobs end before the next plan.
        let unused = cache.quota("t", "n1").unwrap().unused(0).jobs;
        for index in 0..u64::from(unused) {
            let demand =
                JobDemand { team: "t".into(), class: "c".into(), cpus: 1.0, run_s: Some(1.0) };
            let mod_revision = Revision(mod_revision - 50 + index % 50);
            cache.count_acceptance(&Acceptance { controller: "n1".into(), demand, mod_revision });
        }
        writes = planner.plan(&cache, &BOUNDS, &team);
    }
    let jobs = |controller: &str| cache.quota("t", controller).unwrap().quota.classes[0].jobs;
    assert!(jobs("n1") >= 2 * jobs("n0"), "{} and {} jobs", jobs("n1"), jobs("n0"));
    assert!(jobs("n0") >= 1 && jobs("n2") >= 1);
}

#[test]
fn a_new_process_of_a_controller_gets_a_new_quota() {
    let mut cache = controllers(2);
    let mut planner = QuotaPlanner::default();
    let team = [load("t", &[("c", 0)])];
    let first = planner.plan(&cache, &BOUNDS, &team);
    first.iter().for_each(|write| planner.record_result(write, WriteResult::Committed));
    put_written(&mut cache, &first, 10);
    cache.put_controller("n1", 2, Revision(50));
    let second = planner.plan(&cache, &BOUNDS, &team);
    assert_eq!(second.len(), 1);
    assert_eq!((second[0].quota.incarnation, second[0].expected_mod_revision), (2, Revision(11)));
}

/// The quota of one controller has a large unused amount when it and that of the other controller
/// are replaced in the same plan.
#[test]
fn the_unused_amount_of_a_quota_counts_while_it_is_replaced() {
    let mut cache = controllers(2);
    let quota = |controller: &str, jobs| {
        let class = |name: &str, jobs| QuotaEntry {
            class: name.into(),
            jobs,
            work: f64::from(jobs) * 10.0,
            retry_after_s: 5,
        };
        AdmissionQuota {
            team: "t".into(),
            controller: controller.into(),
            incarnation: 1,
            horizon_s: 100.0,
            classes: vec![class("c", jobs), class(OTHER_CLASSES, 0)],
        }
    };
    cache.put_quota(quota("n0", 140), Revision(10), std::iter::empty(), true);
    cache.put_quota(quota("n1", 0), Revision(11), std::iter::empty(), true);
    let team = [load("t", &[("c", 0)])];
    let bound = QuotaPlanner::team_bound(&BOUNDS, &team[0], 20.0, 2).jobs;
    let writes = QuotaPlanner::default().plan(&cache, &BOUNDS, &team);
    let written = sum(&writes, "t", "c").plus(sum(&writes, "t", OTHER_CLASSES)).jobs;
    assert!(140 + written <= bound, "{written} jobs written, 140 unused, {bound} allowed");
}

/// Controllers join one after another, while the cache does not show any of the written quotas.
#[test]
fn committed_writes_count_until_the_cache_shows_them() {
    let mut cache = QuotaCache::default();
    let mut planner = QuotaPlanner::default();
    let team = [load("t", &[])];
    let mut written = WorkAmount::default();
    let mut bound = 0;
    for controller in 0..16 {
        cache.put_controller(&format!("n{controller:02}"), 1, Revision(controller + 1));
        let writes = planner.plan(&cache, &BOUNDS, &team);
        writes.iter().for_each(|write| planner.record_result(write, WriteResult::Committed));
        written = written.plus(sum(&writes, "t", OTHER_CLASSES));
        bound = QuotaPlanner::team_bound(&BOUNDS, &team[0], 20.0, controller as usize + 1).jobs;
    }
    assert!(written.jobs <= bound, "{} jobs written, {bound} allowed", written.jobs);
}

#[test]
fn a_controller_that_requests_a_replacement_gets_one() {
    let mut cache = controllers(2);
    let mut planner = QuotaPlanner::default();
    let team = [load("t", &[("c", 0)])];
    let first = planner.plan(&cache, &BOUNDS, &team);
    first.iter().for_each(|write| planner.record_result(write, WriteResult::Committed));
    put_written(&mut cache, &first, 10);
    assert!(planner.plan(&cache, &BOUNDS, &team).is_empty());
    cache.put_controller("n1", 1, Revision(50));
    let second = planner.plan(&cache, &BOUNDS, &team);
    assert_eq!(second.len(), 1);
    assert_eq!(
        (second[0].quota.controller.as_str(), second[0].expected_mod_revision),
        ("n1", Revision(11))
    );
}
