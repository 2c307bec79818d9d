//! Kept traces: text files that tell what goes into one controller and what must
//! come out. `tests/traces/README` says how they are written.

use basaltrail_core::events::HeartbeatEvent;
use basaltrail_core::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const TASKS: u32 = 2;

fn settings() -> Settings {
    let team = |name: &str, max: f64| Team {
        name: name.into(),
        cpus: 8.0,
        cpus_max: max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    Settings {
        controller: "n0".into(),
        zone: "a".into(),
        controller_count: 3,
        zones: vec!["a".into()],
        peer_zones: vec!["a".into(), "a".into()],
        teams: vec![team("wide", 64.0), team("narrow", 8.0), team("tiny", 4.0)],
        objectives: Vec::new(),
        heartbeat_interval_ms: 1_000,
        lease_ms: 10_000,
        cancel_ms: 30_000,
        store_rps: 1_000.0,
        write_rps: 1_000.0,
        value_bytes: 4_096,
        transaction_ops: 12,
        cloud_rps: 100.0,
        list_lag_ms: 3_000,
        memory_mb: 56.0,
        max_machines: 5_000,
        incarnation: 7,
        policy: Policy { leader_lease: 0.5, ..Policy::default() },
    }
}

fn spec(team: &str) -> JobSpec {
    JobSpec {
        kind: JobKind::Array,
        class: "c".into(),
        team: team.into(),
        priority: Priority::Normal,
        tasks: TASKS,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "i".into(),
        image_gb: 1.0,
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// One controller, and a state service that answers at once unless told otherwise.
struct Trace {
    controller: Controller,
    t: u64,
    keys: BTreeMap<String, (String, u64, Option<LeaseId>)>,
    revision: u64,
    lease_id: u64,
    state: &'static str,
    /// Calls that wait for `state up` or for `late`.
    stuck: Vec<StoreRequest>,
    /// With when each is to be answered, news or not, and when it is given up.
    watches: Vec<(CallId, String, u64, u64, u64)>,
    /// No watch of the jobs is answered.
    news_held: bool,
    /// The machine registry cannot be read.
    roster_held: bool,
    /// Watches that are never answered.
    hung: Vec<CallId>,
    /// A key whose writes the service rejects for good, and how many it has.
    rejects: Option<String>,
    rejected: u32,
    log: Vec<(String, u64, Option<String>)>,
    req: u64,
    out: Vec<String>,
    /// The attempt that each `job/task@machine` was started with.
    attempts: BTreeMap<String, Attempt>,
}

impl Trace {
    fn new() -> Self {
        Trace {
            controller: Controller::new(Arc::new(settings()), 1),
            t: 0,
            keys: BTreeMap::new(),
            revision: 0,
            lease_id: 0,
            state: "up",
            stuck: Vec::new(),
            watches: Vec::new(),
            news_held: false,
            roster_held: false,
            hung: Vec::new(),
            rejects: None,
            rejected: 0,
            log: Vec::new(),
            req: 0,
            out: Vec::new(),
            attempts: BTreeMap::new(),
        }
    }

    fn put(&mut self, key: &str, value: Option<String>, lease_id: Option<LeaseId>) {
        match &value {
            Some(v) => {
                self.keys.insert(key.into(), (v.clone(), self.revision, lease_id));
            }
            None => {
                self.keys.remove(key);
            }
        }
        self.log.push((key.into(), self.revision, value));
    }

    fn carry_out(&mut self, op: &StoreRequest) -> StoreReply {
        let item = |k: &String, v: &(String, u64, Option<LeaseId>)| KeyValue {
            key: k.clone(),
            value: v.0.clone(),
            mod_revision: Revision(v.1),
            lease_id: v.2,
        };
        match op {
            StoreRequest::Get(k) => {
                self.keys.get(k).map_or(StoreReply::NotFound, |v| StoreReply::KeyValue(item(k, v)))
            }
            StoreRequest::List { prefix, .. }
                if self.roster_held && prefix == records::MACHINE_REGISTRY_PREFIX =>
            {
                StoreReply::Refused
            }
            StoreRequest::List { prefix, .. } => StoreReply::Page {
                items: self
                    .keys
                    .iter()
                    .filter(|(k, _)| k.starts_with(prefix))
                    .map(|(k, v)| item(k, v))
                    .collect(),
                more: false,
                revision: Revision(self.revision),
            },
            StoreRequest::Transaction { preconditions, puts, deletes } => {
                if puts.iter().any(|p| self.rejects.as_ref() == Some(&p.key)) {
                    self.rejected += 1;
                    return StoreReply::Rejected;
                }
                let mod_revision = |k: &String| self.keys.get(k).map_or(0, |v| v.1);
                let failed: Vec<String> = preconditions
                    .iter()
                    .filter(|p| Revision(mod_revision(&p.key)) != p.mod_revision)
                    .map(|p| p.key.clone())
                    .collect();
                if !failed.is_empty() {
                    return StoreReply::Conflict { failed };
                }
                self.revision += 1;
                for p in puts {
                    self.put(&p.key, Some(p.value.clone()), p.lease_id);
                }
                for k in deletes {
                    self.put(k, None, None);
                }
                StoreReply::Committed { revision: Revision(self.revision) }
            }
            StoreRequest::GrantLease { .. } => {
                self.lease_id += 1;
                StoreReply::LeaseGranted { lease_id: LeaseId(self.lease_id) }
            }
            StoreRequest::KeepAlive { lease_id } => {
                let held = self.keys.get("c/leader").is_some_and(|k| k.2 == Some(*lease_id));
                if held {
                    StoreReply::Ok
                } else {
                    StoreReply::NotFound
                }
            }
            StoreRequest::RevokeLease { lease_id } => {
                if self.keys.get("c/leader").is_some_and(|k| k.2 == Some(*lease_id)) {
                    self.revision += 1;
                    self.put("c/leader", None, None);
                }
                StoreReply::Ok
            }
            StoreRequest::Watch { .. } => unreachable!(),
        }
    }

    fn feed(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for e in self.controller.step(self.t, self.t as i64, input) {
                match e {
                    Effect::Store {
                        op,
                        call: StoreRequest::Watch { prefix, after, wait_ms },
                        timeout_ms,
                    } => {
                        let (due, given_up) = (self.t + wait_ms, self.t + timeout_ms);
                        self.watches.push((op, prefix, after.0, due, given_up));
                    }
                    Effect::Store { op, call, .. } => {
                        let reply = match self.state {
                            "up" => self.carry_out(&call),
                            "refusing" => StoreReply::Refused,
                            _ => {
                                self.stuck.push(call);
                                StoreReply::Unknown
                            }
                        };
                        inputs.push(Input::Store { op, reply });
                    }
                    Effect::Cloud { op, call, .. } => {
                        let reply = match call {
                            CloudRequest::Types => CloudReply::Types(vec![MachineType {
                                name: "x".into(),
                                cpus: 8.0,
                                gpus: 0.0,
                                memory_gb: 64.0,
                                cache_gb: 50.0,
                                fetch_gb_per_s: 1.0,
                                price: 1.0,
                                spot_price: 0.4,
                                boot_s: 8.0,
                                zones: vec!["a".into()],
                            }]),
                            CloudRequest::Provision { .. } => CloudReply::NoCapacity,
                            CloudRequest::Terminate(_) => CloudReply::Terminated,
                            CloudRequest::List { .. } => {
                                CloudReply::Listed { machines: Vec::new(), more: false }
                            }
                        };
                        inputs.push(Input::Cloud { op, reply });
                    }
                    Effect::Answer { answer, .. } => {
                        let line = self.tell(&answer);
                        self.out.push(line);
                    }
                    Effect::Log(LogEvent::Heartbeat(
                        violation @ HeartbeatEvent::RenewalViolation { .. },
                    )) => panic!("{violation:?}"),
                    _ => {}
                }
            }
        }
    }

    fn tell(&mut self, a: &Answer) -> String {
        let name = |t: &TaskId| format!("{}/{}", t.job.0, t.index);
        match a {
            Answer::Created { .. } => "201".into(),
            Answer::Job { view, .. } => format!("200 {view:?}").to_lowercase(),
            Answer::NotFound => "404".into(),
            Answer::Unschedulable(_) => "422".into(),
            Answer::Invalid(_) => "400".into(),
            Answer::Unavailable { .. } => "503".into(),
            Answer::Limits(heartbeat) => format!("limits of {}", heartbeat.controller),
            Answer::NotLeader { leader } => format!("421 {}", leader.as_deref().unwrap_or("-")),
            Answer::Commands { token, commands } => {
                let mut words = vec![format!("token {}", token.0)];
                for o in commands {
                    words.push(match o {
                        TaskCommand::Start { task, attempt } => {
                            self.attempts.insert(name(task), *attempt);
                            format!("start {}", name(task))
                        }
                        TaskCommand::Stop { task, .. } => format!("stop {}", name(task)),
                        TaskCommand::Forget { task, .. } => format!("forget {}", name(task)),
                    });
                }
                words.join(", ")
            }
        }
    }

    fn ticks(&mut self, ms: u64) {
        let until = self.t + ms;
        while self.t < until {
            self.t += 50;
            self.feed(Input::Tick);
            for (op, prefix, after, due, given_up) in std::mem::take(&mut self.watches) {
                let held = self.news_held && prefix == records::JOBS_PREFIX;
                if self.state != "up" || held || self.hung.contains(&op) {
                    if self.t >= given_up {
                        self.feed(Input::Store { op, reply: StoreReply::Unknown });
                    } else {
                        self.watches.push((op, prefix, after, due, given_up));
                    }
                    continue;
                }
                let new: Vec<WatchEvent> = self
                    .log
                    .iter()
                    .filter(|(k, r, _)| *r > after && k.starts_with(&prefix))
                    .map(|(key, mod_revision, v)| match v {
                        Some(value) => WatchEvent::Put(KeyValue {
                            key: key.clone(),
                            value: value.clone(),
                            mod_revision: Revision(*mod_revision),
                            lease_id: None,
                        }),
                        None => WatchEvent::Delete {
                            key: key.clone(),
                            mod_revision: Revision(*mod_revision),
                        },
                    })
                    .collect();
                if new.is_empty() && self.t < due {
                    self.watches.push((op, prefix, after, due, given_up));
                } else {
                    let reply =
                        StoreReply::Events { revision: Revision(self.revision), events: new };
                    self.feed(Input::Store { op, reply });
                }
            }
        }
    }

    /// `report m1 s1 f5 t1 [notice] job/task=state ...`
    fn heartbeat(&mut self, words: &[&str]) {
        let number = |w: &str| w[1..].parse::<u64>().unwrap();
        let mut tasks = Vec::new();
        for w in &words[4..] {
            let (task, state) = w.split_once('=').unwrap();
            let (job, index) = task.split_once('/').unwrap();
            let task_id =
                TaskId { job: JobId(job.parse().unwrap()), index: index.parse().unwrap() };
            let state = match state {
                "fetching" => TaskState::Fetching,
                "running" => TaskState::Running,
                "done" => TaskState::Exited(ExitReason::Done),
                "error" => TaskState::Exited(ExitReason::Error),
                "stopped" => TaskState::Exited(ExitReason::Stopped),
                other => panic!("no state {other}"),
            };
            // A task that this controller has not started was started by an earlier leader.
            let attempt = self.attempts.get(task).copied().unwrap_or(Attempt(1));
            tasks.push(TaskStatus { task: task_id, attempt, state });
        }
        self.req += 1;
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
        self.feed(Input::Heartbeat { req: RequestId(self.req), heartbeat: Box::new(heartbeat) });
    }

    fn line(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        self.req += 1;
        let req = RequestId(self.req);
        let job = |i: usize| JobId(words[i].parse().unwrap());
        match words[0] {
            "wait" => self.ticks(words[1].parse().unwrap()),
            "state" => {
                self.state =
                    ["up", "refusing", "silent"].into_iter().find(|s| *s == words[1]).unwrap();
            }
            "reject" => self.rejects = Some(words[1].into()),
            "rejected" => {
                let most = words[1].parse().unwrap();
                assert!((1..=most).contains(&self.rejected), "{} rejected", self.rejected);
            }
            "news" => self.news_held = words[1] == "held",
            "roster" => self.roster_held = words[1] == "held",
            "watch" => {
                let jobs = self.watches.iter().filter(|w| w.1 == records::JOBS_PREFIX);
                self.hung.extend(jobs.map(|w| w.0));
                assert!(!self.hung.is_empty(), "no watch is open");
            }
            // What got no answer is carried out now.
            "late" => {
                for op in std::mem::take(&mut self.stuck) {
                    self.carry_out(&op);
                }
            }
            // Another controller does this, straight in the state service.
            "other" => {
                self.revision += 1;
                match words[1] {
                    "leads" => {
                        self.put(
                            "c/leader",
                            Some(r#"{"node":"n1","incarnation":1,"token":9}"#.into()),
                            Some(LeaseId(999)),
                        );
                        self.put("c/term", Some("9".into()), None);
                    }
                    "led-by-us" => {
                        let record = r#"{"node":"n0","incarnation":1,"token":9}"#;
                        self.put("c/leader", Some(record.into()), Some(LeaseId(999)));
                        self.put("c/term", Some("9".into()), None);
                    }
                    "goes" => self.put("c/leader", None, None),
                    "roster" => {
                        let e = |word: &&str| {
                            let (marks, m) = word.rsplit_once(':').unwrap_or(("", word));
                            let spot = marks.contains("spot");
                            let free = if marks.contains("free") { r#","f":true"# } else { "" };
                            format!(r#"{{"id":"{m}","ty":"x","z":"a","s":{spot}{free}}}"#)
                        };
                        let all: Vec<String> = words[2..].iter().map(e).collect();
                        self.put("r/0", Some(format!("[{}]", all.join(","))), None);
                    }
                    "job" => {
                        let spot = words.get(4) != Some(&"ordinary");
                        let spec = JobSpec { spot, ..spec(words[3]) };
                        let record = records::JobRecord::new(0, spec);
                        self.put(
                            &records::active_key(job(2)),
                            Some(records::encode(&record)),
                            None,
                        );
                    }
                    // Both its tasks are done, by the record.
                    "completes" => {
                        let bits = Some("\"0000000000000003\"".into());
                        self.put(&records::done_key(job(2), 0), bits, None);
                    }
                    "cancels" => {
                        self.put(&records::active_key(job(2)), None, None);
                        self.put(&records::final_key(job(2)), Some("\"c\"".into()), None);
                    }
                    other => panic!("no {other}"),
                }
            }
            "submit" => {
                let mut spec = spec(words[2]);
                if words.get(3) == Some(&"service") {
                    (spec.kind, spec.estimate_s) = (JobKind::Service, 0.0);
                }
                self.feed(Input::Submit { req, job: job(1), spec: Box::new(spec) })
            }
            "poll" => self.feed(Input::Poll { req, job: job(1) }),
            "cancel" => self.feed(Input::Cancel { req, job: job(1) }),
            "report" => self.heartbeat(&words[1..]),
            other => panic!("no {other}"),
        }
    }

    fn play(name: &str, text: &str) {
        let mut trace = Trace::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap().trim();
            if let Some(wanted) = line.strip_prefix("->") {
                let got =
                    if trace.out.is_empty() { "nothing".to_string() } else { trace.out.remove(0) };
                assert_eq!(got, wanted.trim(), "{name}, line {}", n + 1);
            } else if !line.is_empty() {
                assert!(
                    trace.out.is_empty(),
                    "{name}, line {}: {:?} was not expected",
                    n + 1,
                    trace.out
                );
                trace.line(line);
            }
        }
        assert!(trace.out.is_empty(), "{name}: {:?} was not expected", trace.out);
    }
}

macro_rules! traces {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            Trace::play(stringify!($name), include_str!(concat!("traces/", stringify!($name), ".txt")));
        }
    )*};
}

traces! {
    takeover_waits_for_every_machine
    takeover_passes_over_free_machines
    takeover_passes_over_machines_a_job_may_not_use
    loading_leader_renews_leases_and_stops_ended_jobs
    machine_answered_while_loading_is_waited_for
    late_write_of_an_old_leader
    lost_start
    late_report
    forget_waits_for_the_record
    cancel_races_done
    outage_longer_than_the_right
    outage_shorter_than_the_right
    hung_machine_resumes
    limit_during_takeover
    duplicate_in_a_group
    unknown_and_ended_jobs
    roster_before_start
    starts_go_out_with_the_answer
    lapsed_machine_waits_for_the_roster
    own_earlier_process
    failing_job_backs_off
    cancel_stops_tasks
    leader_without_workers
    long_outage_keeps_the_leader
    leader_with_one_worker_heard
    late_copies_after_takeover
    copy_of_a_machine_that_is_gone
    answers_do_not_arrive
    no_start_after_a_silence
    machine_that_never_takes_the_token
    cut_node_names_nobody
    right_is_back_before_the_news
    short_outage_before_the_news
    watch_that_hangs
    successor_with_old_news
    stop_goes_out_with_every_answer
    rejected_write_rests
    service_runs_until_it_is_cancelled
    service_is_not_done_by_a_record
    service_beyond_the_limit
    replica_of_a_bad_machine_takes_no_other_down
    task_of_an_unread_job_is_not_renewed
    answer_without_the_token_carries_stops
}
