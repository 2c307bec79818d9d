use super::*;
use crate::leader::scheduler::test_cluster::{ready_machine, running_slot, service, TestCluster};
use crate::leader::Leader;
use crate::model::{Attempt, MachineId, Priority, TaskId, WallMs};
use crate::settings::fixtures::job_spec;

fn demand(priority: Priority, save_s: Option<f64>) -> TaskDemand {
    let resources = Resources { cpus: 4.0, gpus: 0.0, memory_gb: 1.0 };
    TaskDemand { team: 0, resources, priority, save_s }
}

/// The first tasks of a job that had waited for nine leases were preempted as they started, so that
/// no task of the job ran for minutes.
#[test]
fn first_tasks_are_not_preempted_until_they_have_run_for_a_minimum_time() {
    let test = TestCluster::new(0.0, &[]);
    let mut leader = test.leader(0);
    let mut machine = ready_machine("m-1", "a", true, None);
    for index in 0..2 {
        let mut slot = running_slot(demand(Priority::Low, Some(2.0)));
        slot.is_first_of_job = index == 0;
        machine.slots.insert((TaskId { job: JobId(1), index }, Attempt(index as u64)), slot);
    }
    let id = machine.id.clone();
    leader.cluster.machines.insert(id.clone(), machine);
    let mut victims = |now| {
        leader.cluster.machines.get_mut(&id).unwrap().last_heartbeat_at = Some(now);
        let slack_s = &leader.scheduler.feasible_slack_s;
        savable_victims(&test.context(now), &leader.cluster, slack_s).len()
    };
    assert_eq!((victims(5_000), victims(30_500), victims(36_000)), (0, 1, 2));
}

/// Tasks on spot machines were preempted in every cycle for services that may not use spot
/// machines, while no task was preempted on machines that the services may use, since free spot
/// machines counted as capacity for them.
#[test]
fn only_tasks_on_machines_that_the_job_may_use_are_preempted() {
    let (array, service) = (job_spec(99, true), service(2, 4.0));
    let test = TestCluster::new(100.0, &[array.clone(), service.clone()]);
    let now = 60_000;
    let ctx = Context { wall_clock_ms: now as WallMs, ..test.context(now) };
    let mut leader = test.leader(now);
    // One replica runs in zone a, where the spread constraint allows no other.
    let machines =
        [("m-1", "a", false), ("m-2", "b", true), ("m-3", "b", false), ("m-4", "a", false)];
    for (index, (name, zone, spot)) in machines.into_iter().enumerate() {
        let mut machine = ready_machine(name, zone, spot, Some(now));
        let (job, demand) = match name {
            "m-4" => (JobId(2), demand(service.priority, None)),
            _ => (JobId(1), demand(array.priority, Some(2.0))),
        };
        let task = TaskId { job, index: index as u32 };
        machine.slots.insert((task, Attempt(index as u64)), running_slot(demand));
        leader.cluster.machines.insert(machine.id.clone(), machine);
    }
    leader.scheduler.feasible_slack_s.insert(JobId(2), 0.0);
    let free_spot = FreeCapacity {
        machine: MachineId("m-2".into()),
        type_index: 0,
        zone: "b".into(),
        spot: true,
        free: Resources { cpus: 8.0, gpus: 0.0, memory_gb: 60.0 },
        task_slots: 100,
    };
    let used = [Resources { cpus: 16.0, ..Resources::default() }];
    let Leader { scheduler, cluster, .. } = &mut leader;
    scheduler.preempt(&ctx, cluster, &[JobId(2)], &used, &[free_spot]);
    let stopped: Vec<String> = leader
        .cluster
        .machines
        .values()
        .filter(|machine| machine.slots.values().any(|slot| slot.stop_grace_s.is_some()))
        .map(|machine| machine.id.to_string())
        .collect();
    assert_eq!(stopped, ["m-3"]);
}
