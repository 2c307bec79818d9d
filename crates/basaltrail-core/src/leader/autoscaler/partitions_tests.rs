use super::*;
use crate::leader::scheduler::test_cluster::TestCluster;
use crate::leader::Leader;
use crate::machines::Machine;
use crate::model::MachineId;

/// If a network partition causes a failover, the new leader has received no heartbeat from the
/// partitioned zone. Machines that it requested there would be paid for and unreachable.
#[test]
fn a_zone_counts_as_silent_while_most_machines_from_before_the_failover_are_silent() {
    let mut leader = TestCluster::new(0.0, &[]).leader(500);
    for index in 0..8 {
        let zone = if index < 4 { "a" } else { "b" };
        let id = MachineId(format!("m-{index}").into());
        let mut machine = Machine::new(id.clone(), "x", zone, false, 0);
        machine.in_use_before_failover = true;
        // All but one machine of zone a have sent a heartbeat, and none of zone b.
        machine.last_heartbeat_at = (index < 3).then_some(400);
        leader.cluster.machines.insert(id, machine);
    }
    let new = MachineId("m-9".into());
    leader.cluster.machines.insert(new.clone(), Machine::new(new, "x", "b", false, 400));
    let is_silent = |leader: &Leader, zone| is_zone_silent_since_failover(&leader.cluster, zone);
    assert!(!is_silent(&leader, "a") && is_silent(&leader, "b"));
    for machine in leader.cluster.machines.values_mut().filter(|m| m.zone == "b").take(2) {
        machine.last_heartbeat_at = Some(500);
    }
    assert!(!is_silent(&leader, "b"), "half of the machines of the zone have sent a heartbeat");
}
