use super::*;
use crate::jobs::JobCache;
use crate::leader::Leader;
use crate::machines::Machine;
use crate::model::{FencingToken, MachineId, Revision};
use crate::settings::sample::settings;

/// A leader that ended within a network partition leaves a successor that has heard nothing of
/// the zone beyond it: machines that it requests there are paid for and cannot be reached.
#[test]
fn a_zone_where_an_earlier_leaders_machines_are_silent_counts_as_unheard() {
    let (cfg, job_cache) = (settings(), JobCache::new(10));
    let ctx = Context {
        cfg: &cfg,
        types: &[],
        job_cache: &job_cache,
        now: 500,
        wall: 0,
        holds_valid_lease: true,
        job_cache_is_fresh: true,
    };
    let mut leader = Leader::new(&ctx, FencingToken(2), Revision(1));
    for i in 0..8 {
        let zone = if i < 4 { "a" } else { "b" };
        let id = MachineId(format!("m-{i}").into());
        let mut m = Machine::new(id.clone(), "x", zone, false, 0);
        m.expected = true;
        // Zone a was heard, but for one; of zone b one was requested since.
        m.last_heartbeat = (i < 3).then_some(400);
        leader.cluster.machines.insert(id, m);
    }
    let new = MachineId("m-9".into());
    leader.cluster.machines.insert(new.clone(), Machine::new(new, "x", "b", false, 400));
    let unheard = |leader: &Leader, zone| unheard_since_failover(&leader.cluster, zone);
    assert!(!unheard(&leader, "a") && unheard(&leader, "b"));
    for m in leader.cluster.machines.values_mut().filter(|m| m.zone == "b").take(2) {
        m.last_heartbeat = Some(500);
    }
    assert!(!unheard(&leader, "b"), "half of its machines were heard");
}
