use super::*;
use crate::leader::scheduler::test_cluster::TestCluster;
use crate::settings::fixtures::job_spec;

/// An array of 100,000 tasks has work for more machines than can report to a leader.
#[test]
fn a_team_without_a_limit_gets_no_more_machines_than_can_report() {
    let mut test = TestCluster::new(0.0, &[job_spec(100_000, true)]);
    test.settings.max_machines = 70;
    let mut leader = test.leader(500);
    leader.plan_fleet(&test.context(500), &mut Calls::default());
    assert_eq!(leader.autoscaler.provisioning.requested_machines(|_| true), 70);
}

/// A machine that does not come up must not count as capacity for four boot times and two leases
/// while the tasks that it was requested for wait.
#[test]
fn overdue_machines_are_replaced_in_other_zones() {
    let test = TestCluster::new(0.0, &[job_spec(9, true)]);
    let calls = &mut Calls::default();
    let mut leader = test.leader(500);
    leader.plan_fleet(&test.context(500), calls);
    assert_eq!(leader.autoscaler.provisioning.requested_machines(|_| true), 5);
    let zone = leader.autoscaler.provisioning.pending[0].kind.zone.clone();
    let request_name = leader.autoscaler.provisioning.pending[0].request_name.clone();
    let ids = (0..5).map(|i| MachineId(format!("m-{i}").into())).collect();
    let provisioned = CloudReply::Provisioned(ids);
    leader.apply_provisioning_reply(&test.context(500), calls, &request_name, provisioned);
    leader.plan_fleet(&test.context(45_000), calls);
    assert_eq!(
        leader.autoscaler.provisioning.requested_machines(|_| true),
        0,
        "the machines may still come up"
    );
    leader.plan_fleet(&test.context(51_000), calls);
    assert_eq!(leader.autoscaler.provisioning.requested_machines(|_| true), 5);
    let in_same_zone = leader.autoscaler.provisioning.requested_machines(|kind| kind.zone == zone);
    assert!(in_same_zone <= 2, "{in_same_zone} more in the zone where none came up");
    // No machine is requested a third time, and those that never came up are abandoned.
    leader.plan_fleet(&test.context(81_000), calls);
    assert!(leader.cluster.machines.values().all(|machine| machine.abandoned));
}
