use super::*;
use crate::leader::failover::LoadStage;
use crate::leader::scheduler::test_cluster::{ready_machine, TestCluster};
use crate::leader::Leader;
use crate::machines::TaskPhase;
use crate::model::{AgentEpoch, ExitReason, JobId, JobSpec, TaskState};
use crate::settings::fixtures::{job_spec, machine_type};
use crate::store::calls::Calls;
use rand::rngs::SmallRng;
use rand::SeedableRng;

fn tiny_tasks(count: u32) -> JobSpec {
    JobSpec { cpus: 0.001, memory_gb: 0.001, ..job_spec(count, false) }
}

fn schedule(test: &TestCluster, leader: &mut Leader) {
    leader.scheduler.earliest_cycle_at = 0;
    leader.schedule(&test.context(100), &mut Calls::default(), &mut SmallRng::seed_from_u64(1));
}

/// Guards against a machine with so many tasks that its heartbeats are too long: they would be
/// refused, and its lease would expire with all its tasks, again and again.
#[test]
fn a_machine_gets_no_more_tasks_than_its_heartbeats_can_list() {
    let max_tasks = MAX_TASKS_PER_MACHINE as usize;
    let test = TestCluster::new(100.0, &[tiny_tasks(2_000), tiny_tasks(2_000)]);
    let mut leader = test.leader(0);
    leader.failover.load_stage = LoadStage::Complete;
    for name in ["m-1", "m-2"] {
        let mut machine = ready_machine(name, "a", false, Some(0));
        machine.agent_epoch = AgentEpoch(1);
        leader.cluster.machines.insert(machine.id.clone(), machine);
    }
    schedule(&test, &mut leader);
    let slots = |leader: &Leader| -> Vec<usize> {
        leader.cluster.machines.values().map(|machine| machine.slots.len()).collect()
    };
    assert_eq!(slots(&leader), [max_tasks, max_tasks]);
    // Exited tasks are listed until the worker forgets them.
    let first = leader.cluster.machines.values_mut().next().unwrap();
    for slot in first.slots.values_mut().take(100) {
        slot.phase = TaskPhase::Confirmed(TaskState::Exited(ExitReason::Done));
    }
    schedule(&test, &mut leader);
    assert_eq!(slots(&leader), [max_tasks, max_tasks]);
    let first = leader.cluster.machines.values_mut().next().unwrap();
    let is_exited = |phase| matches!(phase, TaskPhase::Confirmed(TaskState::Exited(_)));
    first.slots.retain(|_, slot| !is_exited(slot.phase));
    schedule(&test, &mut leader);
    assert_eq!(slots(&leader), [max_tasks, max_tasks], "the freed places are used");
    let jobs = leader.cluster.jobs.values();
    assert!(jobs.map(|job| job.pending_tasks()).sum::<u32>() > 2_000);
    assert!(leader.cluster.jobs.contains_key(&JobId(2)));
}

/// The demand for machines counts as many tasks per machine as the scheduler places there.
#[test]
fn the_capacity_of_a_machine_type_is_bounded_by_its_heartbeats() {
    assert_eq!(machine_type().task_capacity(&tiny_tasks(1)), MAX_TASKS_PER_MACHINE);
}
