use super::*;
use crate::answer::Answer;
use crate::jobs::JobCache;
use crate::leader::autoscaler::provisioning::MachineKind;
use crate::leader::failover::Loading;
use crate::leader::scheduler::deadline_feasibility::find_feasible;
use crate::leader::scheduler::reserved_capacity::machines_for_services;
use crate::leader::Leader;
use crate::lease_renewal::Knowledge;
use crate::machines::TaskPhase;
use crate::model::{
    AgentEpoch, FencingToken, Heartbeat, JobId, JobKind, MachineType, Revision, TaskCommand,
    TaskState, TaskStatus,
};
use crate::resources::Resources;
use crate::settings::sample::{a_job, a_type, settings};
use crate::settings::{Objective, Settings, Team};
use crate::store::calls::Calls;
use crate::store::records::JobRecord;
use rand::rngs::SmallRng;
use rand::SeedableRng;

fn service(tasks: u32, cpus: f64) -> JobSpec {
    let spec = a_job(tasks, false);
    let priority = Priority::Production;
    JobSpec { kind: JobKind::Service, priority, estimate_s: 0.0, cpus, spread: true, ..spec }
}

fn team(cpus: f64) -> Team {
    let max = f64::INFINITY;
    Team { name: "t".into(), cpus, cpus_max: max, gpus: 0.0, gpus_max: max }
}

struct Bench {
    cfg: Settings,
    types: Vec<MachineType>,
    job_cache: JobCache,
}

impl Bench {
    fn new(jobs: &[JobSpec], guarantee: f64) -> Self {
        let mut job_cache = JobCache::new(10);
        for (i, spec) in jobs.iter().enumerate() {
            let id = i as u64 + 1;
            job_cache.put_active(JobId(id), Revision(id + 10), JobRecord::new(0, spec.clone()));
        }
        let cfg = Settings { teams: vec![team(guarantee)], ..settings() };
        Bench { cfg, types: vec![a_type()], job_cache }
    }

    fn ctx(&self, now: Ms) -> Context<'_> {
        let (cfg, types, job_cache) = (&self.cfg, &self.types[..], &self.job_cache);
        Context {
            cfg,
            types,
            job_cache,
            now,
            wall: 0,
            holds_valid_lease: true,
            job_cache_is_fresh: true,
        }
    }

    /// A leader with so many machines in each zone, all of them heard just now.
    fn leads(&self, per_zone: usize, spot: bool) -> Leader {
        let mut leader = Leader::new(&self.ctx(0), FencingToken(2), Revision(1));
        leader.failover.loading = Loading::Complete;
        for i in 0..2 * per_zone {
            let id = MachineId(format!("m-{i:02}").into());
            let mut m = Machine::new(id.clone(), "x", ["a", "b"][i % 2], spot, 0);
            (m.hears, m.durable, m.last_heartbeat, m.agent_epoch) =
                (true, true, Some(0), AgentEpoch(1));
            leader.cluster.machines.insert(id, m);
        }
        leader
    }
}

fn schedule(bench: &Bench, leader: &mut Leader, now: Ms) {
    leader.scheduler.next_cycle_at = 0;
    leader.schedule(&bench.ctx(now), &mut Calls::default(), &mut SmallRng::seed_from_u64(1));
}

fn where_is(leader: &Leader, job: u64) -> Vec<String> {
    let on = |m: &&Machine| m.entries.keys().any(|(t, _)| t.job == JobId(job));
    leader.cluster.machines.values().filter(on).map(|m| m.id.to_string()).collect()
}

/// Packed on as few machines as possible, all replicas would go with one of them.
#[test]
fn replicas_run_on_different_machines_while_there_are_any() {
    let bench = Bench::new(&[service(4, 2.0)], 100.0);
    let mut leader = bench.leads(3, false);
    schedule(&bench, &mut leader, 100);
    assert_eq!(where_is(&leader, 1).len(), 4);
    let mut few = bench.leads(1, false);
    schedule(&bench, &mut few, 100);
    assert_eq!(where_is(&few, 1).len(), 2);
    assert_eq!(few.cluster.jobs[&JobId(1)].pending(), 0, "two on each are better than none");
}

/// An array would take every place, and a service that comes, or comes back, would wait for
/// its tasks to end.
#[test]
fn capacity_for_services_is_reserved_from_arrays_within_the_guarantee() {
    let array = a_job(99, true);
    for (guarantee, reserved) in [(100.0, 16.0), (20.0, 12.0), (8.0, 0.0)] {
        let bench = Bench::new(&[service(4, 2.0), array.clone()], guarantee);
        let mut leader = bench.leads(4, false);
        schedule(&bench, &mut leader, 100);
        let free: f64 = leader.cluster.machines.values().map(|m| 8.0 - m.used().0).sum();
        assert!(
            free >= reserved && free <= reserved + 8.0,
            "guarantee {guarantee}: {free} reserved"
        );
        assert_eq!(leader.cluster.jobs[&JobId(1)].pending(), 0);
    }
}

/// Held against a job of which nothing runs, it would be left waiting beside room for it.
#[test]
fn reserved_capacity_is_given_to_a_starved_job() {
    let bench = Bench::new(&[service(4, 2.0), a_job(2, false)], 100.0);
    let mut leader = bench.leads(1, false);
    schedule(&bench, &mut leader, 100);
    assert!(where_is(&leader, 2).is_empty(), "all is reserved");
    for m in leader.cluster.machines.values_mut() {
        m.last_heartbeat = Some(50_000);
    }
    schedule(&bench, &mut leader, 50_000);
    assert_eq!(where_is(&leader, 2).len(), 1);
}

/// A machine that goes with a replica on it is missed for a lease, unless it is given up
/// sooner; but many that fall silent are cut off, and come back with what runs there.
#[test]
fn few_silent_machines_with_replicas_are_given_up_and_many_are_not() {
    let bench = Bench::new(&[service(4, 2.0)], 100.0);
    let mut leader = bench.leads(8, false);
    schedule(&bench, &mut leader, 100);
    let with: Vec<MachineId> =
        where_is(&leader, 1).iter().map(|m| MachineId(m.as_str().into())).collect();
    let now = 10_000;
    let hear = |leader: &mut Leader, silent: &[MachineId], at: Ms| {
        for m in leader.cluster.machines.values_mut() {
            m.last_heartbeat = Some(if silent.contains(&m.id) { at } else { now });
        }
    };
    let silent = |leader: &Leader| {
        let reachable_since = leader.liveness.woke;
        silent_machines_with_replicas(&bench.ctx(now), &leader.cluster, reachable_since)
    };
    hear(&mut leader, &with[..1], now - 3_400);
    assert!(silent(&leader).is_empty(), "too soon");
    hear(&mut leader, &with[..1], now - 3_600);
    assert_eq!(silent(&leader).len(), 1);
    leader.liveness.woke = now - 2_000;
    assert!(silent(&leader).is_empty(), "we stood still ourselves");
    leader.liveness.woke = 0;
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

/// Machines for services do not go back as idle, and are asked for while there are too few.
#[test]
fn services_need_on_demand_machines() {
    let bench = Bench::new(&[service(6, 2.0)], 100.0);
    let leader = bench.leads(1, false);
    let kind = |zone: &str, spot| MachineKind { machine_type: "x".into(), zone: zone.into(), spot };
    let machines = |bench: &Bench, leader: &Leader, kind: &MachineKind| {
        let sizes = &leader.scheduler.replica_sizes;
        machines_for_services(&bench.ctx(0), &leader.cluster, sizes, kind)
    };
    // Three replicas of its own in each zone, and room for two times three: 18 CPUs.
    assert_eq!(machines(&bench, &leader, &kind("a", false)), 3);
    assert_eq!(machines(&bench, &leader, &kind("b", true)), 0);
    let none = Bench::new(&[a_job(6, false)], 100.0);
    assert_eq!(machines(&none, &none.leads(1, false), &kind("a", false)), 0);
}

/// What has no end is no work that ends: as overload it would put every date out of reach.
#[test]
fn services_do_not_count_as_work_that_ends() {
    let cfg = |b: &mut Bench| {
        let within_s = 200.0;
        b.cfg.objectives = vec![Objective::Finished { class: "c".into(), within_s }];
    };
    let mut bench = Bench::new(&[service(40, 1.0), a_job(10, true)], 100.0);
    cfg(&mut bench);
    let leader = bench.leads(8, false);
    let used = [Resources::default()];
    let feasible = find_feasible(&bench.ctx(0), &leader.cluster, 128.0, &used);
    assert_eq!(feasible.get(&JobId(1)), Some(&0.0), "its replicas are missed");
    assert!(feasible.contains_key(&JobId(2)), "the array can be in time");
}

/// Left where it is until the machine is taken, a replica would be missed for a lease; it has
/// no end that it might reach before.
#[test]
fn replicas_leave_a_machine_that_is_about_to_go() {
    let bench = Bench::new(&[service(2, 2.0), a_job(1, true)], 100.0);
    let mut leader = bench.leads(2, false);
    schedule(&bench, &mut leader, 100);
    let id = MachineId(where_is(&leader, 1)[0].as_str().into());
    let heartbeat = Heartbeat {
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
    let mut heartbeat = heartbeat;
    let entries = &mut leader.cluster.machines.get_mut(&id).unwrap().entries;
    for ((task, attempt), e) in entries.iter_mut() {
        e.place = TaskPhase::Told(TaskState::Running);
        let (task, attempt) = (*task, *attempt);
        heartbeat.tasks.push(TaskStatus { task, attempt, state: TaskState::Running });
    }
    let mut rng = SmallRng::seed_from_u64(1);
    let ctx = bench.ctx(200);
    let (cfg, job_cache) = (ctx.cfg, ctx.job_cache);
    let (lease_held_since, jobs_as_of) = (Some(0), Some(100));
    let knowledge = Knowledge { cfg, job_cache, now: 200, lease_held_since, jobs_as_of };
    let permit = knowledge.permit(&heartbeat);
    let answer = leader.heartbeat(&ctx, &mut Calls::default(), &heartbeat, permit, &mut rng);
    let Ok(Answer::Commands { commands, .. }) = answer else { panic!("{answer:?}") };
    let stops =
        |o: &TaskCommand| matches!(o, TaskCommand::Stop { task, .. } if task.job == JobId(1));
    assert!(commands.iter().any(stops), "{commands:?}");
}
