use super::*;
use crate::answer::Answer;
use crate::leader::autoscaler::partitions::silent_machines_with_replicas;
use crate::leader::failover::LoadStage;
use crate::leader::scheduler::deadline_feasibility::find_feasible_slacks;
use crate::leader::scheduler::reserved_capacity::machines_for_services;
use crate::leader::scheduler::test_cluster::{ready_machine, service, TestCluster};
use crate::leader::Leader;
use crate::lease_renewal::RenewalConditions;
use crate::machines::{MachineKind, TaskPhase};
use crate::model::{
    AgentEpoch, FencingToken, JobId, JobSpec, Ms, TaskCommand, TaskState, TaskStatus,
};
use crate::settings::fixtures::{heartbeat, job_spec};
use crate::settings::Objective;
use crate::store::calls::Calls;
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// Returns a leader with `per_zone` machines in each zone, all with a heartbeat at time 0.
fn leader_with_machines(test: &TestCluster, per_zone: usize) -> Leader {
    let mut leader = test.leader(0);
    leader.failover.load_stage = LoadStage::Complete;
    for index in 0..2 * per_zone {
        let (name, zone) = (format!("m-{index:02}"), ["a", "b"][index % 2]);
        let mut machine = ready_machine(&name, zone, false, Some(0));
        machine.agent_epoch = AgentEpoch(1);
        leader.cluster.machines.insert(machine.id.clone(), machine);
    }
    leader
}

fn schedule(test: &TestCluster, leader: &mut Leader, now: Ms) {
    leader.scheduler.earliest_cycle_at = 0;
    leader.schedule(&test.context(now), &mut Calls::default(), &mut SmallRng::seed_from_u64(1));
}

fn machines_of(leader: &Leader, job: u64) -> Vec<String> {
    let runs_job = |m: &&Machine| m.slots.keys().any(|(task, _)| task.job == JobId(job));
    leader.cluster.machines.values().filter(runs_job).map(|m| m.id.to_string()).collect()
}

/// If replicas were packed on as few machines as possible, the loss of one machine could take all
/// of them.
#[test]
fn replicas_run_on_separate_machines_if_there_are_enough() {
    let test = TestCluster::new(100.0, &[service(4, 2.0)]);
    let mut leader = leader_with_machines(&test, 3);
    schedule(&test, &mut leader, 100);
    assert_eq!(machines_of(&leader, 1).len(), 4);
    let mut leader_of_two = leader_with_machines(&test, 1);
    schedule(&test, &mut leader_of_two, 100);
    assert_eq!(machines_of(&leader_of_two, 1).len(), 2);
    assert_eq!(
        leader_of_two.cluster.jobs[&JobId(1)].pending_tasks(),
        0,
        "replicas share machines rather than wait"
    );
}

/// Without reserved capacity, an array would take all of it, and a service that is submitted or
/// restarted would wait for the array's tasks to end.
#[test]
fn capacity_for_services_is_reserved_from_arrays_within_the_guarantee() {
    let array = job_spec(99, true);
    for (guarantee, reserved) in [(100.0, 16.0), (20.0, 12.0), (8.0, 0.0)] {
        let test = TestCluster::new(guarantee, &[service(4, 2.0), array.clone()]);
        let mut leader = leader_with_machines(&test, 4);
        schedule(&test, &mut leader, 100);
        let free: f64 = leader.cluster.machines.values().map(|m| 8.0 - m.used().cpus).sum();
        assert!(
            free >= reserved && free <= reserved + 8.0,
            "guarantee {guarantee}: {free} reserved"
        );
        assert_eq!(leader.cluster.jobs[&JobId(1)].pending_tasks(), 0);
    }
}

/// If the capacity stayed reserved, a job without any running task would wait although machines are
/// free.
#[test]
fn reserved_capacity_is_given_to_a_starved_job() {
    let test = TestCluster::new(100.0, &[service(4, 2.0), job_spec(2, false)]);
    let mut leader = leader_with_machines(&test, 1);
    schedule(&test, &mut leader, 100);
    assert!(machines_of(&leader, 2).is_empty(), "all free capacity is reserved");
    for m in leader.cluster.machines.values_mut() {
        m.last_heartbeat_at = Some(50_000);
    }
    schedule(&test, &mut leader, 50_000);
    assert_eq!(machines_of(&leader, 2).len(), 1);
}

/// A replica on a lost machine is down for a worker lease, unless the machine is given up sooner.
/// If many machines are silent, the cause is a network partition, and they return with their tasks.
#[test]
fn few_silent_machines_with_replicas_are_given_up_and_many_are_not() {
    let test = TestCluster::new(100.0, &[service(4, 2.0)]);
    let mut leader = leader_with_machines(&test, 8);
    schedule(&test, &mut leader, 100);
    let with_replica: Vec<MachineId> =
        machines_of(&leader, 1).iter().map(|m| MachineId(m.as_str().into())).collect();
    let now = 10_000;
    let set_heartbeats = |leader: &mut Leader, silent: &[MachineId], silent_since: Ms| {
        for m in leader.cluster.machines.values_mut() {
            m.last_heartbeat_at = Some(if silent.contains(&m.id) { silent_since } else { now });
        }
    };
    let silent = |leader: &Leader| {
        let reachable_since = leader.liveness.reachable_since;
        silent_machines_with_replicas(&test.context(now), &leader.cluster, reachable_since)
    };
    set_heartbeats(&mut leader, &with_replica[..1], now - 3_400);
    assert!(silent(&leader).is_empty(), "the machine was not silent for long enough");
    set_heartbeats(&mut leader, &with_replica[..1], now - 3_600);
    assert_eq!(silent(&leader).len(), 1);
    leader.liveness.reachable_since = now - 2_000;
    assert!(silent(&leader).is_empty(), "the controller itself was stalled");
    leader.liveness.reachable_since = 0;
    let half_zone: Vec<MachineId> = leader
        .cluster
        .machines
        .values()
        .filter(|m| m.zone == "a")
        .map(|m| m.id.clone())
        .take(4)
        .collect();
    set_heartbeats(&mut leader, &half_zone, now - 3_600);
    assert!(silent(&leader).is_empty(), "half of a zone is silent, so it is a network partition");
    // A machine without a replica is only given up when its lease expires.
    let without_replica =
        leader.cluster.machines.keys().find(|m| !with_replica.contains(m)).unwrap().clone();
    set_heartbeats(&mut leader, &[without_replica], now - 3_600);
    assert!(silent(&leader).is_empty());
}

/// The count prevents machines for services from being drained as idle, and makes the leader
/// request more while there are too few.
#[test]
fn services_need_on_demand_machines() {
    let test = TestCluster::new(100.0, &[service(6, 2.0)]);
    let leader = leader_with_machines(&test, 1);
    let kind = |zone: &str, spot| MachineKind { machine_type: "x".into(), zone: zone.into(), spot };
    let machines = |test: &TestCluster, leader: &Leader, kind: &MachineKind| {
        let services = &leader.scheduler.recent_services;
        machines_for_services(&test.context(0), &leader.cluster, services, kind)
    };
    // Each zone needs capacity for three replicas of the service, and reserved capacity for two
    // times three: 18 CPUs.
    assert_eq!(machines(&test, &leader, &kind("a", false)), 3);
    assert_eq!(machines(&test, &leader, &kind("b", true)), 0);
    let without_service = TestCluster::new(100.0, &[job_spec(6, false)]);
    assert_eq!(
        machines(&without_service, &leader_with_machines(&without_service, 1), &kind("a", false)),
        0
    );
}

/// Counted as work that ends, a service would look like an overload that makes every deadline
/// infeasible.
#[test]
fn services_do_not_count_as_work_that_ends() {
    let mut test = TestCluster::new(100.0, &[service(40, 1.0), job_spec(10, true)]);
    test.settings.objectives = vec![Objective::Completed { class: "c".into(), within_s: 200.0 }];
    let leader = leader_with_machines(&test, 8);
    let used = [Resources::default()];
    let feasible = find_feasible_slacks(&test.context(0), &leader.cluster, 128.0, &used);
    assert_eq!(feasible.get(&JobId(1)), Some(&0.0), "its pending replicas are late already");
    assert!(feasible.contains_key(&JobId(2)), "the array can meet its deadline");
}

/// A replica that stays until its machine is reclaimed would be down for a worker lease, and unlike
/// a task of an array, it cannot complete before.
#[test]
fn replicas_are_stopped_on_a_machine_with_a_reclaim_notice() {
    let test = TestCluster::new(100.0, &[service(2, 2.0), job_spec(1, true)]);
    let mut leader = leader_with_machines(&test, 2);
    schedule(&test, &mut leader, 100);
    let id = MachineId(machines_of(&leader, 1)[0].as_str().into());
    let mut heartbeat = heartbeat(&id.to_string(), FencingToken(2));
    heartbeat.reclaim_notice_s = Some(12.0);
    let slots = &mut leader.cluster.machines.get_mut(&id).unwrap().slots;
    for ((task, attempt), slot) in slots.iter_mut() {
        slot.phase = TaskPhase::Confirmed(TaskState::Running);
        let (task, attempt) = (*task, *attempt);
        heartbeat.tasks.push(TaskStatus { task, attempt, state: TaskState::Running });
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let ctx = test.context(200);
    let (cfg, job_cache) = (ctx.cfg, ctx.job_cache);
    let (lease_held_since, jobs_as_of) = (Some(0), Some(100));
    let conditions = RenewalConditions { cfg, job_cache, now: 200, lease_held_since, jobs_as_of };
    let permit = conditions.permit(&heartbeat);
    let answer = leader.answer_heartbeat(&ctx, &mut Calls::default(), &heartbeat, permit, &mut rng);
    let Ok(Answer::Commands { commands, .. }) = answer else { panic!("{answer:?}") };
    let stops_replica =
        |cmd: &TaskCommand| matches!(cmd, TaskCommand::Stop { task, .. } if task.job == JobId(1));
    assert!(commands.iter().any(stops_replica), "{commands:?}");
}

/// Returns a leader whose team may use 20 CPUs, of which the tasks of `holder` hold 16. A wide job
/// whose task takes 8 CPUs and a narrow job whose task takes 2 CPUs wait, the wide one first.
fn leader_with_jobs_at_the_limit(holder: JobSpec) -> (TestCluster, Leader) {
    let wide = JobSpec { cpus: 8.0, estimate_s: 500.0, ..job_spec(1, true) };
    let narrow = JobSpec { cpus: 2.0, ..job_spec(1, true) };
    let mut test = TestCluster::new(20.0, std::slice::from_ref(&holder));
    test.settings.teams[0].max_cpus = 20.0;
    let mut leader = leader_with_machines(&test, 3);
    schedule(&test, &mut leader, 100);
    assert_eq!(leader.cluster.jobs[&JobId(1)].pending_tasks(), 0);
    let teams = std::mem::take(&mut test.settings.teams);
    test = TestCluster::new(20.0, &[holder, wide, narrow]);
    test.settings.teams = teams;
    for id in [2, 3] {
        leader.sync_job(&test.context(150), JobId(id));
    }
    (test, leader)
}

/// Guards against jobs that wait without bound beside room: what services hold of a team's limit is
/// not released by itself, so a wide job cannot gain anything from the wait of the others. What
/// arrays hold is released, and is kept for the wide job.
#[test]
fn a_job_too_wide_beside_services_does_not_hold_back_its_team() {
    let array = JobSpec { cpus: 2.0, ..job_spec(8, true) };
    for (holder, narrow_runs) in [(service(8, 2.0), true), (array, false)] {
        let is_service = holder.is_service();
        for wall_clock_ms in [0, 1_000_000] {
            let (test, mut leader) = leader_with_jobs_at_the_limit(holder.clone());
            leader.cluster.jobs.get_mut(&JobId(3)).unwrap().accepted_at = wall_clock_ms;
            let ctx = Context { wall_clock_ms, ..test.context(200) };
            leader.scheduler.earliest_cycle_at = 0;
            leader.schedule(&ctx, &mut Calls::default(), &mut SmallRng::seed_from_u64(1));
            assert!(machines_of(&leader, 2).is_empty());
            assert_eq!(
                machines_of(&leader, 3).len(),
                narrow_runs as usize,
                "held by services: {is_service}, the wide job waited for {wall_clock_ms} ms"
            );
        }
    }
}

/// The same for a machine that is filled between two cycles.
#[test]
fn backfill_passes_over_a_job_too_wide_beside_services() {
    let array = JobSpec { cpus: 2.0, ..job_spec(8, true) };
    for (holder, narrow_runs) in [(service(8, 2.0), true), (array, false)] {
        let is_service = holder.is_service();
        let (test, mut leader) = leader_with_jobs_at_the_limit(holder);
        // In the cycle, no machine accepts tasks.
        leader.cluster.machines.values_mut().for_each(|m| m.registered_in_use = false);
        schedule(&test, &mut leader, 200);
        assert!(machines_of(&leader, 3).is_empty());
        leader.cluster.machines.values_mut().for_each(|m| m.registered_in_use = true);
        let ids: Vec<MachineId> = leader.cluster.machines.keys().cloned().collect();
        for id in ids {
            leader.backfill(&test.context(200), &id, &mut SmallRng::seed_from_u64(1));
        }
        assert!(machines_of(&leader, 2).is_empty());
        assert_eq!(
            machines_of(&leader, 3).len(),
            narrow_runs as usize,
            "held by services: {is_service}"
        );
    }
}
