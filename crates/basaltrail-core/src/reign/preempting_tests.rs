use super::*;
use crate::settings::sample::{a_job, a_type, settings};

/// The first tasks of a job that had waited nine leases were stopped as they began, and
/// none of it ran for minutes.
#[test]
fn first_tasks_are_not_stopped_as_they_begin() {
    let (cfg, types, table) = (settings(), [a_type()], Table::new(10));
    let at = |now| Ctx {
        cfg: &cfg,
        types: &types,
        table: &table,
        now,
        wall: 0,
        entitled: true,
        informed: true,
    };
    let mut reign = Reign::new(&at(0), Token(2), 1);
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
        let e = Entry {
            place: Place::Told(TaskState::Running),
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
    reign.machines.insert(id.clone(), m);
    let mut victims = |now| {
        reign.machines.get_mut(&id).unwrap().last_checkin = Some(now);
        reign.victims(&at(now)).len()
    };
    assert_eq!((victims(5_000), victims(30_500), victims(36_000)), (0, 1, 2));
}
