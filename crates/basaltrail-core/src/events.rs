//! The events that a controller logs, as typed values.
//!
//! The core emits [`LogEvent`]s as effects and never formats them; the program writes each as one
//! line of `tracing` fields. `docs/on-call.md` describes each event and the action to take.

use crate::jobs::watch::WatchKind;
use crate::lease_renewal::{AnswerCounters, RenewalRefusal};
use crate::model::{AgentEpoch, FencingToken, JobId, MachineId, Ms, Revision, TaskId};
use basaltrail_admission::RejectionReason;

/// Name of [`HeartbeatEvent::RenewalViolation`] in the log, where automated checks search for it.
pub const RENEWAL_VIOLATION: &str = "renewal_violation";

/// The severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// A fault that needs the attention of an operator.
    Error,
    /// A change of state that is of interest to operators.
    Info,
    /// A single decision or read; a heartbeat may cause several such events.
    Debug,
}

/// A log event, grouped by subject.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// Elections and leadership.
    Leadership(LeadershipEvent),
    /// Machines and scaling.
    Machine(MachineEvent),
    /// Jobs, their tasks and reads of their records.
    Job(JobEvent),
    /// Answers to heartbeats.
    Heartbeat(HeartbeatEvent),
    /// Admission of submissions.
    Admission(AdmissionEvent),
    /// Records in the store.
    Store(StoreEvent),
}

impl LogEvent {
    /// Returns the severity of the event.
    pub fn level(&self) -> Level {
        match self {
            LogEvent::Store(_)
            | LogEvent::Heartbeat(HeartbeatEvent::RenewalViolation { .. })
            | LogEvent::Admission(AdmissionEvent::QuotaUnreadable { .. }) => Level::Error,
            LogEvent::Leadership(LeadershipEvent::FleetUsage(_))
            | LogEvent::Job(JobEvent::TasksPreempted { .. } | JobEvent::WatchAnswered { .. })
            | LogEvent::Heartbeat(HeartbeatEvent::Answered { .. }) => Level::Debug,
            _ => Level::Info,
        }
    }
}

/// Declares an enum of reasons for an event, each with its name in the log.
macro_rules! reasons {
    ($(#[$doc:meta])* $reason:ident { $($(#[$variant_doc:meta])* $variant:ident => $name:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $reason {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $reason {
            /// Returns the name of the reason in the log.
            pub fn name(self) -> &'static str {
                match self {
                    $($reason::$variant => $name,)*
                }
            }
        }
    };
}

reasons! {
    /// The reason why a leader resigns.
    ResignReason {
        /// Most workers have gone silent. Another controller may still receive their heartbeats.
        WorkersSilent => "workers_silent",
    }
}

/// Events of elections and leadership.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadershipEvent {
    /// This controller won an election.
    Elected {
        /// The fencing token of the new leader.
        token: FencingToken,
    },
    /// This leader has loaded the records of its predecessor and starts to schedule.
    Leading {
        /// The fencing token of this leader.
        token: FencingToken,
        /// Machines in the registry.
        machines: usize,
        /// Active jobs.
        jobs: usize,
        /// Milliseconds since the election, which loading took.
        took_ms: Ms,
        /// Machines whose heartbeats were answered while the records were loaded.
        answered_machines: usize,
    },
    /// This controller is no longer the leader.
    Deposed {
        /// The fencing token with which it led.
        token: FencingToken,
    },
    /// This leader resigns.
    Resigned {
        /// The reason.
        reason: ResignReason,
    },
    /// This controller observed a change of leader.
    LeaderSeen {
        /// The name of the leader, if there is one.
        leader: Option<String>,
        /// The latest term that was read.
        term: FencingToken,
        /// The store's revision at which the leader was read.
        revision: Revision,
    },
    /// Another controller leads, and none of its progress has arrived for a worker lease.
    ProgressMissing {
        /// The name of the leader.
        leader: String,
        /// Milliseconds since the last progress of any leader, or since the start of the process.
        silent_ms: Ms,
    },
    /// Progress of a leader arrived after it was missing.
    ProgressReceived,
    /// Machines and CPU usage, once per round of the fairness ledger.
    FleetUsage(FleetUsage),
}

/// Machines by state, and CPUs by task phase and by team, at the end of a round of the fairness
/// ledger.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetUsage {
    /// On-demand machines that are up.
    pub on_demand: usize,
    /// Spot machines that are up.
    pub spot: usize,
    /// Machines that are not up.
    pub down: usize,
    /// CPUs of assigned tasks whose start no worker has confirmed yet.
    pub assigned_cpus: f64,
    /// CPUs of tasks whose images are being fetched.
    pub fetching_cpus: f64,
    /// CPUs of running tasks.
    pub running_cpus: f64,
    /// CPUs of tasks that save their progress.
    pub saving_cpus: f64,
    /// CPUs of waiting tasks.
    pub waiting_cpus: f64,
    /// Used and waiting CPUs of each team.
    pub teams: Vec<TeamUsage>,
}

/// Used and waiting CPUs of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamUsage {
    /// The name of the team.
    pub team: String,
    /// CPUs in use.
    pub used_cpus: f64,
    /// CPUs of waiting tasks.
    pub waiting_cpus: f64,
}

reasons! {
    /// The reason why a machine is drained.
    DrainReason {
        /// The machine has been idle for longer than the idle time of the policy.
        Idle => "idle",
        /// The remaining work does not justify the price of the machine.
        TooExpensive => "too_expensive",
    }
}

reasons! {
    /// The reason why a machine is terminated.
    TerminationReason {
        /// The machine is silent, and the reclaim time that the cloud announced has passed.
        Reclaimed => "reclaimed",
        /// The machine runs replicas of a service and has gone silent.
        ReplicasSilent => "replicas_silent",
        /// The machine is one of the few in its zone that are silent after a failover.
        SilentSinceFailover => "silent_since_failover",
        /// The machine was drained and is empty.
        Drained => "drained",
        /// The machine is quarantined, since tasks of several jobs failed there.
        Quarantined => "quarantined",
        /// The cloud lists the machine as failed.
        Failed => "failed",
        /// The machine is silent and the cloud does not list it.
        NotListed => "not_listed",
        /// The machine has been silent for several worker leases, and its zone is not partitioned.
        Silent => "silent",
        /// The machine did not come up within the time that machines of its kind take.
        NeverUp => "never_up",
        /// The machine did not send a heartbeat within the longest time that machines take to come
        /// up, and its zone is not partitioned.
        NeverHeard => "never_heard",
        /// The machine has been silent for so long that it is terminated even if its zone is
        /// partitioned.
        SilentForLong => "silent_for_long",
    }
}

/// Events of machines and scaling.
#[derive(Clone, Debug, PartialEq)]
pub enum MachineEvent {
    /// A machine that this leader did not know sent a heartbeat.
    Adopted {
        /// The machine.
        machine: MachineId,
    },
    /// This leader accepted the first heartbeat of a machine.
    Up {
        /// The machine.
        machine: MachineId,
        /// The zone of the machine.
        zone: String,
        /// Whether it is a spot machine.
        spot: bool,
        /// Milliseconds since this leader first knew of the machine.
        age_ms: Ms,
    },
    /// A machine received a reclaim notice from the cloud and is drained.
    ReclaimNotice {
        /// The machine.
        machine: MachineId,
    },
    /// The worker lease of a machine has expired, including the margin for clock drift, so its
    /// tasks have ended.
    LeaseExpired {
        /// The machine.
        machine: MachineId,
        /// The zone of the machine.
        zone: String,
        /// Task slots that were in use.
        tasks: usize,
        /// Milliseconds since this leader last recorded an answer that may have renewed the lease,
        /// or since its election if it recorded none.
        unrenewed_ms: Ms,
    },
    /// A machine accepts no new tasks and is terminated once it is empty.
    Draining {
        /// The machine.
        machine: MachineId,
        /// The reason.
        reason: DrainReason,
    },
    /// The cloud answered a provisioning request.
    ScaleOut {
        /// The requested zone.
        zone: String,
        /// Whether spot machines were requested.
        spot: bool,
        /// Number of requested machines.
        requested: u32,
        /// Number of provisioned machines.
        provisioned: usize,
    },
    /// A machine is terminated.
    ScaleIn {
        /// The machine.
        machine: MachineId,
        /// The reason.
        reason: TerminationReason,
    },
    /// The cloud's inventory listed a machine that this leader did not know.
    Discovered {
        /// The machine.
        machine: MachineId,
    },
    /// The cloud's inventory no longer lists a machine, so the machine and its tasks are gone.
    Gone {
        /// The machine.
        machine: MachineId,
    },
}

/// Events of jobs, their tasks and reads of their records.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEvent {
    /// The cancellation of a job is durable.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// All tasks of a job are done, and its outcome is durable.
    Completed {
        /// The job.
        job: JobId,
    },
    /// A task failed. Only the first failure of a job on a machine is logged.
    TaskFailed {
        /// The task.
        task: TaskId,
        /// The machine on which it ran.
        machine: MachineId,
        /// Whether the job is now considered to be in a crash loop on all machines.
        crash_looping: bool,
        /// Milliseconds for which the task ran; 0 if no heartbeat reported it as running.
        ran_ms: Ms,
    },
    /// A scheduling cycle preempted tasks.
    TasksPreempted {
        /// Number of preempted tasks.
        tasks: usize,
    },
    /// All active jobs were listed.
    Listed {
        /// The store's revision at which the jobs were listed.
        revision: Revision,
        /// Number of active jobs.
        active: usize,
        /// Milliseconds from the first request to the last reply.
        took_ms: Ms,
    },
    /// The store replied to a watch of the jobs.
    WatchAnswered {
        /// The store's revision up to which changes were reported.
        revision: Revision,
        /// Number of reported changes.
        events: usize,
        /// The kind of the watch.
        kind: WatchKind,
        /// Milliseconds from the request to the reply.
        took_ms: Ms,
    },
}

/// The result of one heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// The worker's lease was renewed.
    Renewed {
        /// The fencing token in the answer.
        token: FencingToken,
        /// Number of commands in the answer.
        commands: usize,
    },
    /// The renewal was refused.
    Refused(RenewalRefusal),
}

/// Events of answers to heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatEvent {
    /// An answer kept a task running without the required evidence that its job is active. This is a
    /// bug.
    RenewalViolation {
        /// The machine.
        machine: MachineId,
        /// The task.
        task: TaskId,
    },
    /// One heartbeat and its answer.
    Answered {
        /// The machine.
        machine: MachineId,
        /// The epoch of the worker's agent.
        agent_epoch: AgentEpoch,
        /// The sequence number of the heartbeat within the epoch.
        sequence: u64,
        /// The highest fencing token that the worker has seen.
        token: FencingToken,
        /// Number of tasks in the heartbeat.
        tasks: usize,
        /// The result of the heartbeat.
        verdict: HeartbeatVerdict,
    },
    /// Counts of all answers since the previous event of this kind, once per round of the fairness
    /// ledger.
    Summary(HeartbeatSummary),
}

/// Counts of answers to heartbeats, with the leader lease and the job cache that the answers are
/// based on.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatSummary {
    /// The fencing token of this leader; 0 if this controller does not lead.
    pub token: FencingToken,
    /// Whether this controller holds a valid leader lease.
    pub holds_valid_lease: bool,
    /// The store's revision of the job cache; 0 if the jobs have not been read.
    pub jobs_revision: Revision,
    /// Age of the job cache in milliseconds, if the jobs have been read.
    pub jobs_age_ms: Option<Ms>,
    /// Counts of the answers.
    pub counters: AnswerCounters,
}

/// Events of the admission of submissions.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEvent {
    /// The enforcement of admission quotas was turned on or off.
    Mode {
        /// Whether quotas are enforced now.
        quotas_enforced: bool,
    },
    /// The leader planned a new admission quota for a controller.
    QuotaPlanned {
        /// The team.
        team: String,
        /// The controller.
        controller: String,
        /// The quotas of the classes.
        classes: Vec<ClassQuota>,
    },
    /// Counts of submissions that were not admitted, once per round of the fairness ledger.
    Refused {
        /// Number of submissions by reason.
        reasons: Vec<(RejectionReason, u64)>,
    },
    /// The record of an admission quota cannot be decoded. No job is accepted under it.
    QuotaUnreadable {
        /// The key of the record.
        key: String,
    },
}

/// The entry of one class in an admission quota.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassQuota {
    /// The class; empty for the entry of all classes that the quota does not name.
    pub class: String,
    /// Jobs that may be accepted.
    pub jobs: u32,
    /// CPU-seconds of work that may be accepted.
    pub work: f64,
}

/// Events of records in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreEvent {
    /// The record of a job cannot be decoded. Requests for the job are answered with 503.
    JobUnreadable {
        /// The job.
        job: JobId,
    },
    /// A record of the machine registry cannot be decoded and is left unchanged.
    RegistryUnreadable {
        /// The key of the record.
        key: String,
    },
    /// The store rejected a transaction permanently. Its keys are not written again before a
    /// back-off ends.
    WriteRejected {
        /// The keys.
        keys: String,
    },
}

/// Implements the conversion of events of each group into [`LogEvent`].
macro_rules! into_log_event {
    ($($group:ident($event:ty)),* $(,)?) => {
        $(impl From<$event> for LogEvent {
            fn from(event: $event) -> Self {
                LogEvent::$group(event)
            }
        })*
    };
}

into_log_event!(
    Leadership(LeadershipEvent),
    Machine(MachineEvent),
    Job(JobEvent),
    Heartbeat(HeartbeatEvent),
    Admission(AdmissionEvent),
    Store(StoreEvent),
);
