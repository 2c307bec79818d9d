//! The lines of a trace; `tests/traces/README` explains them.

use super::store::Availability;
use super::{spec, Trace};
use basaltrail_core::*;

/// The lease under which another controller holds the leader key.
const LEASE_OF_ANOTHER: LeaseId = LeaseId(999);

impl Trace {
    /// Plays one line.
    pub(super) fn line(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let req = self.next_request();
        match words[0] {
            "wait" => self.run_for(words[1].parse().unwrap()),
            "store" => self.store.availability = availability(words[1]),
            "reject" => self.store.rejected_key = Some(words[1].into()),
            "rejected" => {
                let most = words[1].parse().unwrap();
                let rejected = self.store.rejected;
                assert!((1..=most).contains(&rejected), "{rejected} rejected");
            }
            "watch-events" => self.store.events_held = words[1] == "held",
            "registry" => self.store.registry_held = words[1] == "held",
            "watch" => self.hang_watches_of_jobs(),
            // What got no answer is carried out now.
            "late" => {
                for call in std::mem::take(&mut self.store.unanswered) {
                    self.store.carry_out(&call);
                }
            }
            "other" => self.other(&words[1..]),
            "submit" => self.submit(req, &words[1..]),
            "poll" => self.feed(Input::Poll { req, job: job(words[1]) }),
            "cancel" => self.feed(Input::Cancel { req, job: job(words[1]) }),
            "heartbeat" => self.heartbeat(&words[1..]),
            other => panic!("no {other}"),
        }
    }

    fn hang_watches_of_jobs(&mut self) {
        let store = &mut self.store;
        let of_jobs = store.watches.iter().filter(|watch| watch.prefix == records::JOBS_PREFIX);
        store.hung.extend(of_jobs.map(|watch| watch.op));
        assert!(!store.hung.is_empty(), "no watch is open");
    }

    fn submit(&mut self, req: RequestId, words: &[&str]) {
        let mut spec = spec(words[1]);
        if words.get(2) == Some(&"service") {
            (spec.kind, spec.estimate_s) = (JobKind::Service, 0.0);
        }
        self.feed(Input::Submit { req, job: job(words[0]), spec: Box::new(spec) });
    }

    /// Another controller does something, straight in the store.
    fn other(&mut self, words: &[&str]) {
        let store = &mut self.store;
        store.begin_revision();
        match words[0] {
            "leads" => self.led_by("n1"),
            "led-by-us" => self.led_by("n0"),
            "goes" => store.delete(records::LEADER_KEY),
            "registry" => {
                let machines: Vec<String> = words[1..].iter().map(machine_record).collect();
                store.put("r/0", &format!("[{}]", machines.join(",")), None);
            }
            "job" => {
                let spot = words.get(3) != Some(&"ordinary");
                let record = records::JobRecord::new(0, JobSpec { spot, ..spec(words[2]) });
                store.put(&records::active_job_key(job(words[1])), &records::encode(&record), None);
            }
            // Both its tasks are done, by the record.
            "completes" => {
                store.put(
                    &records::completions_key(job(words[1]), 0),
                    "\"0000000000000003\"",
                    None,
                );
            }
            "cancels" => {
                store.delete(&records::active_job_key(job(words[1])));
                store.put(&records::outcome_key(job(words[1])), "\"c\"", None);
            }
            other => panic!("no {other}"),
        }
    }

    fn led_by(&mut self, controller: &str) {
        let record = format!(r#"{{"node":"{controller}","incarnation":1,"token":9}}"#);
        self.store.put(records::LEADER_KEY, &record, Some(LEASE_OF_ANOTHER));
        self.store.put(records::TERM_KEY, "9", None);
    }

    /// `heartbeat m1 s1 f5 t1 job/task=state ...`
    fn heartbeat(&mut self, words: &[&str]) {
        let number = |word: &str| word[1..].parse::<u64>().unwrap();
        let tasks = words[4..].iter().map(|word| self.task_status(word)).collect();
        let req = self.next_request();
        let heartbeat = Heartbeat {
            machine: MachineId(words[0].into()),
            endpoint: "e".into(),
            machine_type: "x".into(),
            zone: "a".into(),
            spot: false,
            agent_epoch: AgentEpoch(number(words[1])),
            sequence: number(words[2]),
            token: FencingToken(number(words[3])),
            reclaim_notice_s: None,
            tasks,
        };
        self.feed(Input::Heartbeat { req, heartbeat: Box::new(heartbeat) });
    }

    fn task_status(&self, word: &str) -> TaskStatus {
        let (name, state) = word.split_once('=').unwrap();
        let (job_number, index) = name.split_once('/').unwrap();
        let task = TaskId { job: job(job_number), index: index.parse().unwrap() };
        let state = match state {
            "fetching" => TaskState::Fetching,
            "running" => TaskState::Running,
            "done" => TaskState::Exited(ExitReason::Done),
            "error" => TaskState::Exited(ExitReason::Error),
            "stopped" => TaskState::Exited(ExitReason::Stopped),
            other => panic!("no state {other}"),
        };
        // A task that this controller has not started was started by an earlier leader.
        let attempt = self.attempts.get(name).copied().unwrap_or(Attempt(1));
        TaskStatus { task, attempt, state }
    }
}

fn job(word: &str) -> JobId {
    JobId(word.parse().unwrap())
}

fn availability(word: &str) -> Availability {
    match word {
        "up" => Availability::Up,
        "refusing" => Availability::Refusing,
        "silent" => Availability::Silent,
        other => panic!("no {other}"),
    }
}

/// `M`, `free:M`, `spot:M`: a machine as the registry has it.
fn machine_record(word: &&str) -> String {
    let (marks, machine) = word.rsplit_once(':').unwrap_or(("", word));
    let spot = marks.contains("spot");
    let free = if marks.contains("free") { r#","f":true"# } else { "" };
    format!(r#"{{"id":"{machine}","ty":"x","z":"a","s":{spot}{free}}}"#)
}
