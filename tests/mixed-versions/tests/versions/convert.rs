//! Converts inputs of the current version to those of an earlier version, and its effects back.
//! The types have the same shape under other names; differences are parameters of the macro.

/// `$rejected` is the reply that the version gets for a transaction that the store rejects
/// permanently.
macro_rules! earlier_version {
    ($module:ident, $old:ident, $rejected:expr) => {
        pub mod $module {
            use basaltrail_core as new;
            use $old as old;

            pub fn settings(settings: new::Settings) -> old::Settings {
                old::Settings {
                    node: settings.controller,
                    zone: settings.zone,
                    nodes: settings.controller_count,
                    zones: settings.zones,
                    peer_zones: settings.peer_zones,
                    teams: settings.teams.into_iter().map(team).collect(),
                    objectives: settings.objectives.into_iter().map(objective).collect(),
                    report_ms: settings.heartbeat_interval_ms,
                    lease_ms: settings.worker_lease_ms,
                    cancel_ms: settings.max_cancellation_ms,
                    state_rps: settings.store_rps,
                    write_rps: settings.write_rps,
                    value_bytes: settings.max_value_bytes,
                    txn_ops: settings.max_transaction_ops,
                    cloud_rps: settings.cloud_rps,
                    list_lag_ms: settings.inventory_lag_ms,
                    memory_mb: settings.memory_mb,
                    machines_most: settings.max_machines,
                    incarnation: settings.incarnation,
                    policy: old::Policy::default(),
                }
            }

            fn team(team: new::Team) -> old::Team {
                old::Team {
                    name: team.name,
                    cpus: team.guaranteed_cpus,
                    cpus_max: team.max_cpus,
                    gpus: team.guaranteed_gpus,
                    gpus_max: team.max_gpus,
                }
            }

            fn objective(objective: new::Objective) -> old::Objective {
                match objective {
                    new::Objective::Deadline { class, factor } => {
                        old::Objective::Deadline { class, times: factor }
                    }
                    new::Objective::Completed { class, within_s } => {
                        old::Objective::Finished { class, within_s }
                    }
                    new::Objective::Started { class, within_s } => {
                        old::Objective::Begun { class, within_s }
                    }
                }
            }

            /// Converts a value through its serialized form.
            fn stored<A: serde::Serialize, B: for<'a> serde::Deserialize<'a>>(value: &A) -> B {
                let text = serde_json::to_string(value).expect("the value serializes");
                serde_json::from_str(&text).expect("the earlier version deserializes the value")
            }

            pub fn input(input: new::Input) -> old::Input {
                match input {
                    // No test inspects the limits of an earlier version.
                    new::Input::Tick | new::Input::Inspect { .. } => old::Input::Tick,
                    new::Input::Submit { request_id, job, spec } => old::Input::Submit {
                        req: old::ReqId(request_id.0),
                        job: old::JobId(job.0),
                        spec: Box::new(stored(&*spec)),
                    },
                    new::Input::Poll { request_id, job } => {
                        old::Input::Poll { req: old::ReqId(request_id.0), job: old::JobId(job.0) }
                    }
                    new::Input::Cancel { request_id, job } => {
                        old::Input::Cancel { req: old::ReqId(request_id.0), job: old::JobId(job.0) }
                    }
                    new::Input::Heartbeat { request_id, heartbeat } => old::Input::Checkin {
                        req: old::ReqId(request_id.0),
                        report: Box::new(report(*heartbeat)),
                    },
                    new::Input::Store { call_id, reply } => {
                        old::Input::State { op: old::OpId(call_id.0), reply: store_reply(reply) }
                    }
                    new::Input::Cloud { call_id, reply } => {
                        old::Input::Cloud { op: old::OpId(call_id.0), reply: cloud_reply(reply) }
                    }
                    new::Input::PeerProgress { progress } => {
                        let progress = progress.into_iter().map(|p| old::Progress {
                            job: old::JobId(p.job.0),
                            done: p.done,
                            running: p.running,
                        });
                        old::Input::Peer { progress: progress.collect() }
                    }
                }
            }

            fn report(heartbeat: new::Heartbeat) -> old::Report {
                let task = |status: new::TaskStatus| old::TaskReport {
                    task: old::TaskId {
                        job: old::JobId(status.task.job.0),
                        index: status.task.index,
                    },
                    attempt: old::Attempt(status.attempt.0),
                    state: match status.state {
                        new::TaskState::Fetching => old::TaskState::Fetching,
                        new::TaskState::Running => old::TaskState::Running,
                        new::TaskState::Saving => old::TaskState::Saving,
                        new::TaskState::Exited(reason) => old::TaskState::Exited(match reason {
                            new::ExitReason::Done => old::Why::Done,
                            new::ExitReason::Stopped => old::Why::Stopped,
                            new::ExitReason::Error => old::Why::Error,
                            new::ExitReason::NoRoom => old::Why::NoRoom,
                            new::ExitReason::Busy => old::Why::Busy,
                            new::ExitReason::Unknown => old::Why::Unknown,
                        }),
                    },
                };
                old::Report {
                    machine: old::MachineId(heartbeat.machine.0),
                    endpoint: heartbeat.endpoint,
                    machine_type: heartbeat.machine_type,
                    zone: heartbeat.zone,
                    spot: heartbeat.spot,
                    session: heartbeat.agent_epoch.0,
                    seq: heartbeat.sequence,
                    token: old::Token(heartbeat.token.0),
                    notice_s: heartbeat.reclaim_notice_s,
                    tasks: heartbeat.tasks.into_iter().map(task).collect(),
                }
            }

            fn item(item: new::KeyValue) -> old::Item {
                old::Item {
                    key: item.key,
                    value: item.value,
                    stamp: item.mod_revision.0,
                    loan: item.lease_id.map(|id| id.0),
                }
            }

            fn store_reply(reply: new::StoreReply) -> old::StateReply {
                match reply {
                    new::StoreReply::KeyValue(found) => old::StateReply::Found(item(found)),
                    new::StoreReply::NotFound => old::StateReply::Missing,
                    new::StoreReply::Page { items, more, revision } => old::StateReply::Rows {
                        items: items.into_iter().map(item).collect(),
                        more,
                        revision: revision.0,
                    },
                    new::StoreReply::Committed { revision } => {
                        old::StateReply::Committed { revision: revision.0 }
                    }
                    new::StoreReply::Conflict { failed } => old::StateReply::Conflict { failed },
                    new::StoreReply::LeaseGranted { lease_id } => {
                        old::StateReply::Granted { loan: lease_id.0 }
                    }
                    new::StoreReply::LeaseUpdated => old::StateReply::Ok,
                    new::StoreReply::Events { revision, events } => old::StateReply::Events {
                        revision: revision.0,
                        events: events
                            .into_iter()
                            .map(|event| match event {
                                new::WatchEvent::Put(put) => old::Event::Put(item(put)),
                                new::WatchEvent::Delete { key, mod_revision } => {
                                    old::Event::Remove { key, stamp: mod_revision.0 }
                                }
                            })
                            .collect(),
                    },
                    new::StoreReply::Compacted => old::StateReply::Compacted,
                    new::StoreReply::Unavailable => old::StateReply::Refused,
                    new::StoreReply::Invalid => $rejected,
                    new::StoreReply::Unknown => old::StateReply::Unknown,
                }
            }

            fn cloud_reply(reply: new::CloudReply) -> old::CloudReply {
                let ids = |ids: Vec<new::MachineId>| {
                    ids.into_iter().map(|id| old::MachineId(id.0)).collect()
                };
                match reply {
                    new::CloudReply::MachineTypes(types) => old::CloudReply::Types(stored(&types)),
                    new::CloudReply::Provisioned(machines) => {
                        old::CloudReply::Rented(ids(machines))
                    }
                    new::CloudReply::NoCapacity => old::CloudReply::NoCapacity,
                    new::CloudReply::Terminated => old::CloudReply::Released,
                    new::CloudReply::Listed { machines, more } => old::CloudReply::Listed {
                        machines: machines.into_iter().map(listed).collect(),
                        more,
                    },
                    new::CloudReply::Unknown => old::CloudReply::Failed,
                }
            }

            fn listed(machine: new::ListedMachine) -> old::ListedMachine {
                old::ListedMachine {
                    machine: old::MachineId(machine.machine.0),
                    endpoint: machine.endpoint,
                    machine_type: machine.machine_type,
                    zone: machine.zone,
                    spot: machine.spot,
                    state: match machine.state {
                        new::ListedState::Booting => old::ListedState::Booting,
                        new::ListedState::Running => old::ListedState::Running,
                        new::ListedState::Failed => old::ListedState::Failed,
                    },
                    age_s: machine.age_s,
                }
            }

            pub fn effect(effect: old::Effect) -> Option<new::Effect> {
                Some(match effect {
                    old::Effect::Answer { req, answer: old_answer } => new::Effect::Answer {
                        request_id: new::RequestId(req.0),
                        answer: answer(old_answer),
                    },
                    old::Effect::State { op, call, timeout_ms } => new::Effect::Store {
                        call_id: new::CallId(op.0),
                        request: store_request(call),
                        timeout_ms,
                    },
                    old::Effect::Cloud { op, call, timeout_ms } => new::Effect::Cloud {
                        call_id: new::CallId(op.0),
                        request: cloud_request(call),
                        timeout_ms,
                    },
                    old::Effect::Peers { progress } => new::Effect::BroadcastProgress {
                        progress: progress
                            .into_iter()
                            .map(|p| new::Progress {
                                job: new::JobId(p.job.0),
                                done: p.done,
                                running: p.running,
                            })
                            .collect(),
                    },
                    // Earlier versions log no event that a check reads.
                    old::Effect::Log { .. } => return None,
                })
            }

            fn answer(answer: old::Answer) -> new::Answer {
                match answer {
                    old::Answer::Created { job } => new::Answer::Created { job: new::JobId(job.0) },
                    old::Answer::State { job, view, done, running } => new::Answer::Job {
                        job: new::JobId(job.0),
                        status: match view {
                            old::JobView::Queued => new::JobStatus::Queued,
                            old::JobView::Running => new::JobStatus::Running,
                            old::JobView::Done => new::JobStatus::Done,
                            old::JobView::Cancelled => new::JobStatus::Cancelled,
                        },
                        done,
                        running,
                    },
                    // Checks read only the kind of an answer; the reason affects only its text.
                    old::Answer::Invalid(_) => {
                        new::Answer::Invalid(new::InvalidReason::DescriptionTooLong)
                    }
                    old::Answer::Impossible(_) => {
                        new::Answer::Unschedulable(new::UnschedulableReason::NoMachineType)
                    }
                    old::Answer::NotFound => new::Answer::NotFound,
                    old::Answer::Busy { retry_s, .. } => new::Answer::Unavailable {
                        retry_after_s: retry_s,
                        reason: new::UnavailableReason::OutcomeUnknown,
                    },
                    old::Answer::Orders { token, orders } => new::Answer::Commands {
                        token: new::FencingToken(token.0),
                        commands: orders.into_iter().map(command).collect(),
                    },
                    old::Answer::Elsewhere { leader } => new::Answer::NotLeader { leader },
                }
            }

            fn command(order: old::Order) -> new::TaskCommand {
                let task =
                    |t: old::TaskId| new::TaskId { job: new::JobId(t.job.0), index: t.index };
                match order {
                    old::Order::Start { task: t, attempt } => {
                        new::TaskCommand::Start { task: task(t), attempt: new::Attempt(attempt.0) }
                    }
                    old::Order::Stop { task: t, attempt, grace_s } => new::TaskCommand::Stop {
                        task: task(t),
                        attempt: new::Attempt(attempt.0),
                        grace_s,
                    },
                    old::Order::Forget { task: t, attempt } => {
                        new::TaskCommand::Forget { task: task(t), attempt: new::Attempt(attempt.0) }
                    }
                }
            }

            fn store_request(op: old::StateOp) -> new::StoreRequest {
                match op {
                    old::StateOp::Get(key) => new::StoreRequest::Get(key),
                    old::StateOp::List { prefix, after, limit } => {
                        new::StoreRequest::List { prefix, after, limit }
                    }
                    old::StateOp::Txn { conds, puts, removes } => new::StoreRequest::Transaction {
                        preconditions: conds
                            .into_iter()
                            .map(|(key, stamp)| new::Precondition::new(key, new::Revision(stamp)))
                            .collect(),
                        puts: puts
                            .into_iter()
                            .map(|p| new::PutRequest {
                                key: p.key,
                                value: p.value,
                                lease_id: p.loan.map(new::LeaseId),
                            })
                            .collect(),
                        deletes: removes,
                    },
                    old::StateOp::Grant { ttl_ms } => new::StoreRequest::GrantLease { ttl_ms },
                    old::StateOp::Extend { loan } => {
                        new::StoreRequest::KeepAlive { lease_id: new::LeaseId(loan) }
                    }
                    old::StateOp::Revoke { loan } => {
                        new::StoreRequest::RevokeLease { lease_id: new::LeaseId(loan) }
                    }
                    old::StateOp::Watch { prefix, after, wait_ms } => {
                        new::StoreRequest::Watch { prefix, after: new::Revision(after), wait_ms }
                    }
                }
            }

            fn cloud_request(op: old::CloudOp) -> new::CloudRequest {
                match op {
                    old::CloudOp::Types => new::CloudRequest::MachineTypes,
                    old::CloudOp::Rent { requisition, machine_type, zone, spot, count } => {
                        new::CloudRequest::Provision {
                            request_name: requisition,
                            machine_type,
                            zone,
                            spot,
                            count,
                        }
                    }
                    old::CloudOp::Release(ids) => new::CloudRequest::Terminate(
                        ids.into_iter().map(|id| new::MachineId(id.0)).collect(),
                    ),
                    old::CloudOp::List { after } => new::CloudRequest::List { after },
                }
            }
        }
    };
}

earlier_version!(e26460f, core_e26460f, core_e26460f::StateReply::Refused);
earlier_version!(v9b39f4b, core_9b39f4b, core_9b39f4b::StateReply::Rejected);
