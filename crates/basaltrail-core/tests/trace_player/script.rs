//! Interprets the lines of a trace, which `tests/traces/README` describes.

use super::store::{Availability, HeldKind, HeldReply, TraceStore};
use super::{spec, TracePlayer};
use basaltrail_core::*;

/// The lease under which another controller holds the leader key.
const OTHER_CONTROLLER_LEASE: LeaseId = LeaseId(999);

impl TracePlayer {
    /// Executes one line.
    pub(super) fn play_line(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let request_id = self.next_request();
        match words[0] {
            "wait" => self.run_for(words[1].parse().unwrap()),
            "store" => self.store.availability = availability(words[1]),
            "reject" => self.store.rejected_key = Some(words[1].into()),
            "progress" => {
                let job = job(words[1]);
                let running = words[2].parse().unwrap();
                self.feed(Input::PeerProgress {
                    progress: vec![Progress { job, done: 0, running }],
                });
            }
            "runs" => {
                let key = records::run_state_key(job(words[1]));
                let stored: Option<records::RunStateRecord> =
                    self.store.value(&key).and_then(records::decode);
                let state = match stored {
                    Some(stored) => stored.is_running.to_string(),
                    None => "none".into(),
                };
                assert_eq!(state, words[2], "run state of {}", words[1]);
            }
            "rejected" => {
                let max = words[1].parse().unwrap();
                let rejected = self.store.rejected_transactions;
                assert!((1..=max).contains(&rejected), "{rejected} rejected");
            }
            "watch-events" => self.store.job_events_held = words[1] == "held",
            "registry" => self.hold_reads(records::MACHINE_REGISTRY_PREFIX, words[1]),
            "completions" => self.hold_reads(records::COMPLETIONS_PREFIX, words[1]),
            "ledger" => self.hold_reads(records::LEDGER_KEY, words[1]),
            "campaigns" => self.hold_replies(HeldKind::Campaign, words[1]),
            "revocations" => self.hold_replies(HeldKind::Revocation, words[1]),
            "lose" => self.store.loses_next_campaign = true,
            "leader" => {
                assert_eq!(self.store.leader().unwrap_or("none".into()), words[1..].join(" "))
            }
            "watch" => self.hang_job_watches(),
            "late" => {
                for request in std::mem::take(&mut self.store.unanswered_requests) {
                    self.store.execute(&request);
                }
            }
            "other" => self.act_as_other_controller(&words[1..]),
            "submit" => self.submit(request_id, &words[1..]),
            "poll" => self.feed(Input::Poll { request_id, job: job(words[1]) }),
            "cancel" => self.feed(Input::Cancel { request_id, job: job(words[1]) }),
            "heartbeat" => self.heartbeat(&words[1..]),
            unknown => panic!("unknown command {unknown}"),
        }
    }

    /// Makes the keys with a prefix unreadable if `action` is `held`, and readable if it is
    /// `flows`.
    fn hold_reads(&mut self, prefix: &'static str, action: &str) {
        let prefixes = &mut self.store.unreadable_prefixes;
        match action {
            "held" => prefixes.insert(prefix),
            "flows" => prefixes.remove(prefix),
            unknown => panic!("unknown action {unknown}"),
        };
    }

    /// Holds replies of a kind if `action` is `held`, and delivers those that are held if it is
    /// `flows`.
    fn hold_replies(&mut self, kind: HeldKind, action: &str) {
        match action {
            "held" => {
                self.store.held_kinds.insert(kind);
            }
            "flows" => {
                for HeldReply { call_id, reply, .. } in self.store.release_replies(kind) {
                    self.feed(Input::Store { call_id, reply });
                }
            }
            unknown => panic!("unknown action {unknown}"),
        }
    }

    fn hang_job_watches(&mut self) {
        let store = &mut self.store;
        let job_watches = store.watches.iter().filter(|watch| watch.prefix == records::JOBS_PREFIX);
        store.hung_watches.extend(job_watches.map(|watch| watch.call_id));
        assert!(!store.hung_watches.is_empty(), "no watch of the jobs is open");
    }

    fn submit(&mut self, request_id: RequestId, words: &[&str]) {
        let mut spec = spec(words[1]);
        if words.get(2) == Some(&"service") {
            (spec.kind, spec.estimate_s) = (JobKind::Service, 0.0);
        }
        self.feed(Input::Submit { request_id, job: job(words[0]), spec: Box::new(spec) });
    }

    /// Writes the changes of another controller to the store.
    fn act_as_other_controller(&mut self, words: &[&str]) {
        let store = &mut self.store;
        store.begin_revision();
        match words[0] {
            "leads" => self.set_leader("n1"),
            "led-by-us" => self.set_leader("n0"),
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
            // The completion record of the job lists both tasks.
            "completes" => {
                store.put(
                    &records::completions_key(job(words[1]), 0),
                    "\"0000000000000003\"",
                    None,
                );
            }
            "runs" => put_run_state(store, words[1], true),
            "idles" => put_run_state(store, words[1], false),
            "cancels" => {
                store.delete(&records::active_job_key(job(words[1])));
                store.put(&records::outcome_key(job(words[1])), "\"c\"", None);
            }
            unknown => panic!("unknown action {unknown}"),
        }
    }

    fn set_leader(&mut self, controller: &str) {
        let record = format!(r#"{{"node":"{controller}","incarnation":1,"token":9}}"#);
        self.store.put(records::LEADER_KEY, &record, Some(OTHER_CONTROLLER_LEASE));
        self.store.put(records::TERM_KEY, "9", None);
    }

    /// Sends the heartbeat of a line `heartbeat m-1 s1 f5 t1 job/task=state ...`.
    fn heartbeat(&mut self, words: &[&str]) {
        let number = |word: &str| word[1..].parse::<u64>().unwrap();
        let tasks = words[4..].iter().map(|word| self.task_status(word)).collect();
        let request_id = self.next_request();
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
        self.feed(Input::Heartbeat { request_id, heartbeat: Box::new(heartbeat) });
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
            unknown => panic!("unknown task state {unknown}"),
        };
        // An earlier leader started the tasks that this controller has not started, with attempt 1.
        let attempt = self.attempts.get(name).copied().unwrap_or(Attempt(1));
        TaskStatus { task, attempt, state }
    }
}

fn put_run_state(store: &mut TraceStore, job_word: &str, is_running: bool) {
    let record = records::RunStateRecord { is_running };
    store.put(&records::run_state_key(job(job_word)), &records::encode(&record), None);
}

fn job(word: &str) -> JobId {
    JobId(word.parse().unwrap())
}

fn availability(word: &str) -> Availability {
    match word {
        "up" => Availability::Up,
        "refusing" => Availability::Refusing,
        "silent" => Availability::Silent,
        unknown => panic!("unknown availability {unknown}"),
    }
}

/// Returns the registry record of a machine, which a trace writes as `M`, `free:M` or `spot:M`.
fn machine_record(word: &&str) -> String {
    let (flags, machine) = word.rsplit_once(':').unwrap_or(("", word));
    let spot = flags.contains("spot");
    let free_field = if flags.contains("free") { r#","f":true"# } else { "" };
    format!(r#"{{"id":"{machine}","ty":"x","z":"a","s":{spot}{free_field}}}"#)
}
