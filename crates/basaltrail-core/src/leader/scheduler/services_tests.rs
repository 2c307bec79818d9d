use super::*;
use crate::answer::Answer;
use crate::leader::autoscaler::partitions::silent_machines_with_replicas;
use crate::leader::failover::LoadStage;
use crate::leader::scheduler::deadline_feasibility::find_feasible;
use crate::leader::scheduler::reserved_capacity::machines_for_services;
use crate::leader::scheduler::test_cluster::{ready_machine, service, TestCluster};
use crate::leader::Leader;
use crate::lease_renewal::RenewalEvidence;
use crate::machines::{MachineKind, TaskPhase};
use crate::model::{
    AgentEpoch, FencingToken, Heartbeat, JobId, Ms, TaskCommand, TaskState, TaskStatus,
};
use crate::resources::Resources;
use crate::settings::sample::a_job;
use crate::settings::Objective;
use crate::store::calls::Calls;
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// A leader with so many machines in each zone, all of them heard just now.
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
    leader.scheduler.next_cycle_at = 0;
    leader.schedule(&test.context(now), &mut Calls::default(), &mut SmallRng::seed_from_u64(1));
}

fn machines_of(leader: &Leader, job: u64) -> Vec<String> {
    let on = |m: &&Machine| m.slots.keys().any(|(t, _)| t.job == JobId(job));
    leader.cluster.machines.values().filter(on).map(|m| m.id.to_string()).collect()
}

/// Packed on as few machines as possible, all replicas would go with one of them.
#[test]
fn replicas_run_on_different_machines_while_there_are_any() {
    let test = TestCluster::new(100.0, &[service(4, 2.0)]);
    let mut leader = leader_with_machines(&test, 3);
    schedule(&test, &mut leader, 100);
    assert_eq!(machines_of(&leader, 1).len(), 4);
    let mut few = leader_with_machines(&test, 1);
    schedule(&test, &mut few, 100);
    assert_eq!(machines_of(&few, 1).len(), 2);
    assert_eq!(few.cluster.jobs[&JobId(1)].pending(), 0, "two on each are better than none");
}

/// An array would take all capacity, and a service that comes, or comes back, would wait for
/// its tasks to end.
#[test]
fn capacity_for_services_is_reserved_from_arrays_within_the_guarantee() {
    let array = a_job(99, true);
    for (guarantee, reserved) in [(100.0, 16.0), (20.0, 12.0), (8.0, 0.0)] {
        let test = TestCluster::new(guarantee, &[service(4, 2.0), array.clone()]);
        let mut leader = leader_with_machines(&test, 4);
        schedule(&test, &mut leader, 100);
        let free: f64 = leader.cluster.machines.values().map(|m| 8.0 - m.used().cpus).sum();
        assert!(
            free >= reserved && free <= reserved + 8.0,
            "guarantee {guarantee}: {free} reserved"
        );
        assert_eq!(leader.cluster.jobs[&JobId(1)].pending(), 0);
    }
}

/// Kept from a job of which nothing runs, it would leave the job waiting beside free capacity.
#[test]
fn reserved_capacity_is_given_to_a_starved_job() {
    let test = TestCluster::new(100.0, &[service(4, 2.0), a_job(2, false)]);
    let mut leader = leader_with_machines(&test, 1);
    schedule(&test, &mut leader, 100);
    assert!(machines_of(&leader, 2).is_empty(), "all is reserved");
    for m in leader.cluster.machines.values_mut() {
        m.last_heartbeat = Some(50_000);
    }
    schedule(&test, &mut leader, 50_000);
    assert_eq!(machines_of(&leader, 2).len(), 1);
}

/// A machine that goes with a replica on it is missed for a lease, unless it is given up
/// sooner; but many silent ones are partitioned, and come back with what runs there.
#[test]
fn few_silent_machines_with_replicas_are_given_up_and_many_are_not() {
    let test = TestCluster::new(100.0, &[service(4, 2.0)]);
    let mut leader = leader_with_machines(&test, 8);
    schedule(&test, &mut leader, 100);
    let with: Vec<MachineId> =
        machines_of(&leader, 1).iter().map(|m| MachineId(m.as_str().into())).collect();
    let now = 10_000;
    let hear = |leader: &mut Leader, silent: &[MachineId], at: Ms| {
        for m in leader.cluster.machines.values_mut() {
            m.last_heartbeat = Some(if silent.contains(&m.id) { at } else { now });
        }
    };
    let silent = |leader: &Leader| {
        let reachable_since = leader.liveness.reachable_since;
        silent_machines_with_replicas(&test.context(now), &leader.cluster, reachable_since)
    };
    hear(&mut leader, &with[..1], now - 3_400);
    assert!(silent(&leader).is_empty(), "too soon");
    hear(&mut leader, &with[..1], now - 3_600);
    assert_eq!(silent(&leader).len(), 1);
    leader.liveness.reachable_since = now - 2_000;
    assert!(silent(&leader).is_empty(), "we stood still ourselves");
    leader.liveness.reachable_since = 0;
    // Half of a zone.
    let zone: Vec<MachineId> = leader
        .cluster
        .machines
        .values()
        .filter(|m| m.zone == "a")
        .map(|m| m.id.clone())
        .take(4)
        .collect();
    hear(&mut leader, &zone, now - 3_600);
    assert!(silent(&leader).is_empty(), "a network partition");
    // One without a replica may wait for its lease.
    let bare = leader.cluster.machines.keys().find(|m| !with.contains(m)).unwrap().clone();
    hear(&mut leader, &[bare], now - 3_600);
    assert!(silent(&leader).is_empty());
}

/// Machines for services are not drained as idle, and are requested while there are too few.
#[test]
fn services_need_on_demand_machines() {
    let test = TestCluster::new(100.0, &[service(6, 2.0)]);
    let leader = leader_with_machines(&test, 1);
    let kind = |zone: &str, spot| MachineKind { machine_type: "x".into(), zone: zone.into(), spot };
    let machines = |test: &TestCluster, leader: &Leader, kind: &MachineKind| {
        let sizes = &leader.scheduler.replica_sizes;
        machines_for_services(&test.context(0), &leader.cluster, sizes, kind)
    };
    // Three replicas of its own in each zone, and capacity reserved for two times three: 18 CPUs.
    assert_eq!(machines(&test, &leader, &kind("a", false)), 3);
    assert_eq!(machines(&test, &leader, &kind("b", true)), 0);
    let none = TestCluster::new(100.0, &[a_job(6, false)]);
    assert_eq!(machines(&none, &leader_with_machines(&none, 1), &kind("a", false)), 0);
}

/// What has no end is no work that ends: as overload it would make every deadline infeasible.
#[test]
fn services_do_not_count_as_work_that_ends() {
    let mut test = TestCluster::new(100.0, &[service(40, 1.0), a_job(10, true)]);
    test.settings.objectives = vec![Objective::Finished { class: "c".into(), within_s: 200.0 }];
    let leader = leader_with_machines(&test, 8);
    let used = [Resources::default()];
    let feasible = find_feasible(&test.context(0), &leader.cluster, 128.0, &used);
    assert_eq!(feasible.get(&JobId(1)), Some(&0.0), "its replicas are missed");
    assert!(feasible.contains_key(&JobId(2)), "the array can be in time");
}

/// Left where it is until the machine is taken, a replica would be missed for a lease; it has
/// no end that it might reach before.
#[test]
fn replicas_leave_a_machine_that_is_about_to_go() {
    let test = TestCluster::new(100.0, &[service(2, 2.0), a_job(1, true)]);
    let mut leader = leader_with_machines(&test, 2);
    schedule(&test, &mut leader, 100);
    let id = MachineId(machines_of(&leader, 1)[0].as_str().into());
    let mut heartbeat = Heartbeat {
        machine: id.clone(),
        endpoint: "e".into(),
        machine_type: "x".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: AgentEpoch(1),
        sequence: 1,
        token: FencingToken(2),
        reclaim_notice_s: Some(12.0),
        tasks: Vec::new(),
    };
    let entries = &mut leader.cluster.machines.get_mut(&id).unwrap().slots;
    for ((task, attempt), e) in entries.iter_mut() {
        e.phase = TaskPhase::Confirmed(TaskState::Running);
        let (task, attempt) = (*task, *attempt);
        heartbeat.tasks.push(TaskStatus { task, attempt, state: TaskState::Running });
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let ctx = test.context(200);
    let (cfg, job_cache) = (ctx.cfg, ctx.job_cache);
    let (lease_held_since, jobs_as_of) = (Some(0), Some(100));
    let evidence = RenewalEvidence { cfg, job_cache, now: 200, lease_held_since, jobs_as_of };
    let permit = evidence.permit(&heartbeat);
    let answer = leader.answer_heartbeat(&ctx, &mut Calls::default(), &heartbeat, permit, &mut rng);
    let Ok(Answer::Commands { commands, .. }) = answer else { panic!("{answer:?}") };
    let stops =
        |o: &TaskCommand| matches!(o, TaskCommand::Stop { task, .. } if task.job == JobId(1));
    assert!(commands.iter().any(stops), "{commands:?}");
}
