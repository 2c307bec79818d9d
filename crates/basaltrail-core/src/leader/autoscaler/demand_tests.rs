use super::*;
use crate::leader::scheduler::test_cluster::TestCluster;
use crate::model::{JobId, MachineId};
use crate::settings::fixtures::job_spec;

/// A job that failed on two faulty machines is limited to one task. If that task does not count as
/// demand, no machine of the kind is provisioned and the job waits forever.
#[test]
fn a_crash_looping_job_still_gets_a_machine_of_its_kind() {
    let test = TestCluster::new(8.0, &[job_spec(9, false)]);
    let ctx = test.context(500);
    let mut leader = test.leader(500);
    let kind = MachineKind { machine_type: "x".into(), zone: "a".into(), spot: false };
    assert_eq!(missing_for_constrained_jobs(&ctx, &leader.cluster, &[], &kind), 5);
    // Machines beyond the team's limit would be provisioned and terminated idle.
    let mut narrow = test.settings.clone();
    narrow.teams[0].max_cpus = 16.0;
    let limited = Context { cfg: &narrow, ..ctx };
    assert_eq!(missing_for_constrained_jobs(&limited, &leader.cluster, &[], &kind), 2);
    let job = leader.cluster.jobs.get_mut(&JobId(1)).unwrap();
    for machine in ["m-1", "m-2"] {
        job.health.record_failure(&MachineId(machine.into()), 500, test.settings.worker_lease_ms);
    }
    assert_eq!(missing_for_constrained_jobs(&ctx, &leader.cluster, &[], &kind), 1);
    assert_eq!(demand_by_type(&ctx, &leader.cluster)[0].machines, 0.5);
}
