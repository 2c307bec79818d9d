//! Tests of the format of log lines.

use super::*;
use basaltrail_core::events::TerminationReason;
use basaltrail_core::{FencingToken, JobId, MachineId, Revision, TaskId};
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

/// A buffer that collects the log lines of a test.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("lock is poisoned").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_to_string(events: &[LogEvent]) -> String {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let subscriber = tracing_subscriber::registry().with(line_layer(move || writer.clone()));
    tracing::subscriber::with_default(subscriber, || events.iter().for_each(write));
    let bytes = buffer.0.lock().expect("lock is poisoned").clone();
    String::from_utf8(bytes).expect("log lines are UTF-8")
}

#[test]
fn each_event_is_written_as_one_line_that_starts_with_level_and_name() {
    let machine = MachineId("m-000001".into());
    let task = TaskId { job: JobId(7), index: 3 };
    let events = [
        HeartbeatEvent::RenewalViolation { machine: machine.clone(), task }.into(),
        MachineEvent::ScaleIn { machine: machine.clone(), reason: TerminationReason::NeverUp }
            .into(),
        MachineEvent::LeaseExpired {
            machine: machine.clone(),
            zone: "a".into(),
            tasks: 2,
            unrenewed_ms: 10_100,
        }
        .into(),
        JobEvent::TaskFailed { task, machine, crash_looping: true, ran_ms: 20 }.into(),
        LeadershipEvent::LeaderSeen {
            leader: None,
            term: Default::default(),
            revision: Revision(4),
        }
        .into(),
        LeadershipEvent::Leading {
            token: FencingToken(3),
            machines: 4,
            jobs: 1,
            took_ms: 5_199,
            answered_machines: 2,
        }
        .into(),
    ];
    let expected = "\
ERROR event=renewal_violation machine=m-000001 job=000007 task=3
 INFO event=scale_in machine=m-000001 reason=never_up
 INFO event=machine_lease_expired machine=m-000001 zone=a tasks=2 unrenewed_ms=10100
 INFO event=task_failed job=000007 task=3 machine=m-000001 crash_looping=true ran_ms=20
 INFO event=leader_seen leader=none term=0 revision=4
 INFO event=leading token=3 machines=4 jobs=1 took_ms=5199 answered_machines=2
";
    assert_eq!(write_to_string(&events), expected);
}
