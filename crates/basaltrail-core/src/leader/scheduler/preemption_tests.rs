use super::*;
use crate::jobs::JobCache;
use crate::leader::Leader;
use crate::machines::{Machine, TaskPhase};
use crate::model::{FencingToken, JobKind, Revision, TaskState, WallMs};
use crate::settings::sample::{a_job, a_type, settings};
use crate::settings::{Settings, Team};
use crate::store::records::JobRecord;

/// The first tasks of a job that had waited nine leases were stopped as they began, and
/// none of it ran for minutes.
#[test]
fn first_tasks_are_not_preempted_as_they_begin() {
    let (cfg, types, job_cache) = (settings(), [a_type()], JobCache::new(10));
    let at = |now| Context {
        cfg: &cfg,
        types: &types,
        job_cache: &job_cache,
        now,
        wall: 0,
        holds_valid_lease: true,
        job_cache_is_fresh: true,
    };
    let mut leader = Leader::new(&at(0), FencingToken(2), Revision(1));
    let spec = a_job(9, true);
    let id = MachineId("m-1".into());
    let mut m = Machine::new(id.clone(), "x", "a", true, 0);
    (m.hears, m.durable) = (true, true);
    for index in 0..2 {
        let need = Need {
            team: 0,
            cpus: spec.cpus,
            gpus: 0.0,
            memory_gb: 1.0,
            priority: Priority::Low,
            save_s: Some(2.0),
        };
        let e = TaskSlot {
            place: TaskPhase::Told(TaskState::Running),
            need: Some(need),
            stop: None,
            stop_sent: None,
            since: 0,
            running_since: Some(0),
            settled: false,
            first: index == 0,
        };
        m.entries.insert((TaskId { job: JobId(1), index }, Attempt(index as u64)), e);
    }
    leader.cluster.machines.insert(id.clone(), m);
    let mut victims = |now| {
        leader.cluster.machines.get_mut(&id).unwrap().last_heartbeat = Some(now);
        leader.scheduler.victims(&at(now), &leader.cluster).len()
    };
    assert_eq!((victims(5_000), victims(30_500), victims(36_000)), (0, 1, 2));
}

/// Tasks on spot machines were stopped for services that may not use them, cycle after cycle, and
/// none was stopped where they could have gone: free spot machines counted as capacity for them.
#[test]
fn only_tasks_on_machines_that_the_job_may_use_are_preempted() {
    let service = JobSpec {
        kind: JobKind::Service,
        priority: Priority::Production,
        estimate_s: 0.0,
        spread: true,
        ..a_job(2, false)
    };
    let team = Team {
        name: "t".into(),
        cpus: 100.0,
        cpus_max: f64::INFINITY,
        gpus: 0.0,
        gpus_max: f64::INFINITY,
    };
    let (cfg, types) = (Settings { teams: vec![team], ..settings() }, [a_type()]);
    let mut job_cache = JobCache::new(10);
    job_cache.put_active(JobId(1), Revision(1), JobRecord::new(0, a_job(99, true)));
    job_cache.put_active(JobId(2), Revision(2), JobRecord::new(0, service.clone()));
    let now = 60_000;
    let ctx = Context {
        cfg: &cfg,
        types: &types,
        job_cache: &job_cache,
        now,
        wall: now as WallMs,
        holds_valid_lease: true,
        job_cache_is_fresh: true,
    };
    let mut leader = Leader::new(&ctx, FencingToken(2), Revision(1));
    // One replica runs in zone a, where no other may go.
    let kinds = [("m-1", "a", false), ("m-2", "b", true), ("m-3", "b", false), ("m-4", "a", false)];
    for (index, (name, zone, spot)) in kinds.into_iter().enumerate() {
        let mut machine = Machine::new(MachineId(name.into()), "x", zone, spot, 0);
        (machine.hears, machine.durable, machine.last_heartbeat) = (true, true, Some(now));
        let (job, spec) = match name {
            "m-4" => (JobId(2), &service),
            _ => (JobId(1), &a_job(99, true)),
        };
        let need = Need {
            team: 0,
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 1.0,
            priority: spec.priority,
            save_s: (job == JobId(1)).then_some(2.0),
        };
        let entry = TaskSlot {
            place: TaskPhase::Told(TaskState::Running),
            need: Some(need),
            stop: None,
            stop_sent: None,
            since: 0,
            running_since: Some(0),
            settled: false,
            first: false,
        };
        let task = TaskId { job, index: index as u32 };
        machine.entries.insert((task, Attempt(index as u64)), entry);
        leader.cluster.machines.insert(machine.id.clone(), machine);
    }
    leader.scheduler.feasible_slack_s.insert(JobId(2), 0.0);
    let free_spot = FreeCapacity {
        machine: MachineId("m-2".into()),
        type_index: 0,
        zone: "b".into(),
        spot: true,
        free: Resources { cpus: 8.0, gpus: 0.0, memory_gb: 60.0 },
    };
    let used = [Resources { cpus: 16.0, ..Resources::default() }];
    let Leader { scheduler, cluster, .. } = &mut leader;
    scheduler.preempt(&ctx, cluster, &[JobId(2)], &used, &[free_spot]);
    let stopped: Vec<String> = leader
        .cluster
        .machines
        .values()
        .filter(|machine| machine.entries.values().any(|entry| entry.stop.is_some()))
        .map(|machine| machine.id.to_string())
        .collect();
    assert_eq!(stopped, ["m-3"]);
}
