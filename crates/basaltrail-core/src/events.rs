//! Every event that a controller logs, as a typed value.
//!
//! The core emits [`LogEvent`]s as effects and never formats them; the program writes each as
//! one line of `tracing` fields. `docs/on-call.md` tells what each event means and what to do.

use crate::jobs::watch::WatchKind;
use crate::lease_renewal::{AnswerCounters, RenewalRefusal};
use crate::model::{AgentEpoch, FencingToken, JobId, MachineId, Ms, Revision, TaskId};
use basaltrail_admission::RejectionReason;

/// Name of [`HeartbeatEvent::RenewalViolation`] in a log line. Checks of the logs read it.
pub const RENEWAL_VIOLATION: &str = "renewal_violation";

/// How much an event matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// A fault that somebody has to look at.
    Error,
    /// A change of state that operators follow.
    Info,
    /// Single decisions and reads, one or more a heartbeat.
    Debug,
}

/// An event of one family.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// Who leads.
    Leadership(LeadershipEvent),
    /// Machines and their number.
    Machine(MachineEvent),
    /// Jobs, their tasks and what is read of them.
    Job(JobEvent),
    /// Answers to workers' heartbeats.
    Heartbeat(HeartbeatEvent),
    /// Admission of submissions.
    Admission(AdmissionEvent),
    /// Records of the store.
    Store(StoreEvent),
}

impl LogEvent {
    /// How much it matters.
    pub fn level(&self) -> Level {
        match self {
            LogEvent::Store(_)
            | LogEvent::Heartbeat(HeartbeatEvent::RenewalViolation { .. })
            | LogEvent::Admission(AdmissionEvent::QuotaUnreadable { .. }) => Level::Error,
            LogEvent::Leadership(LeadershipEvent::Round(_))
            | LogEvent::Job(JobEvent::TasksPreempted { .. } | JobEvent::WatchAnswered { .. })
            | LogEvent::Heartbeat(HeartbeatEvent::Answered { .. }) => Level::Debug,
            _ => Level::Info,
        }
    }
}

/// Declares the reasons of an event, each with its name in a log line.
macro_rules! reasons {
    ($(#[$doc:meta])* $reason:ident { $($(#[$variant_doc:meta])* $variant:ident => $name:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $reason {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $reason {
            /// Its name in a log line.
            pub fn name(self) -> &'static str {
                match self {
                    $($reason::$variant => $name,)*
                }
            }
        }
    };
}

reasons! {
    /// Why a leader gives its leadership up.
    ResignReason {
        /// Most workers went silent; another controller may still reach them.
        WorkersSilent => "workers_silent",
    }
}

/// Who leads.
#[derive(Clone, Debug, PartialEq)]
pub enum LeadershipEvent {
    /// This controller won an election.
    Elected {
        /// Its fencing token.
        token: FencingToken,
    },
    /// This leader has loaded its predecessor's records and schedules from here on.
    Leading {
        /// Its fencing token.
        token: FencingToken,
        /// Machines in the registry.
        machines: usize,
        /// Active jobs.
        jobs: usize,
    },
    /// This controller leads no more.
    Deposed {
        /// The fencing token that it led with.
        token: FencingToken,
    },
    /// This leader gives its leadership up.
    Resigned {
        /// Why.
        reason: ResignReason,
    },
    /// This controller learnt of another leader.
    LeaderSeen {
        /// The leader's name, if there is one.
        leader: Option<String>,
        /// The last term that was read.
        term: FencingToken,
        /// The store's revision at which it was read.
        revision: Revision,
    },
    /// How the machines are used, once a scheduling round.
    Round(RoundSummary),
}

/// How the machines are used.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoundSummary {
    /// On-demand machines that are up.
    pub on_demand: usize,
    /// Spot machines that are up.
    pub spot: usize,
    /// Machines that are not up.
    pub down: usize,
    /// CPUs of tasks that were assigned and not confirmed by their worker.
    pub assigned_cpus: f64,
    /// CPUs of tasks that fetch their image.
    pub fetching_cpus: f64,
    /// CPUs of tasks that run.
    pub running_cpus: f64,
    /// CPUs of tasks that save their progress.
    pub saving_cpus: f64,
    /// CPUs of tasks that wait.
    pub waiting_cpus: f64,
    /// The same by team.
    pub teams: Vec<TeamSummary>,
}

/// What one team uses.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamSummary {
    /// The team's name.
    pub team: String,
    /// CPUs in use.
    pub used_cpus: f64,
    /// CPUs of tasks that wait.
    pub waiting_cpus: f64,
}

reasons! {
    /// Why a machine takes no more work.
    DrainReason {
        /// It was idle for longer than the operators allow.
        Idle => "idle",
        /// Its kind costs more than the work that is left pays for.
        TooExpensive => "too_expensive",
    }
}

reasons! {
    /// Why a machine is given back to the cloud.
    ReleaseReason {
        /// The time at which the cloud reclaims it has passed.
        Reclaimed => "reclaimed",
        /// It runs replicas of a service and has gone silent.
        ReplicasSilent => "replicas_silent",
        /// One of the few machines of its zone that are silent after a failover.
        SilentSinceFailover => "silent_since_failover",
        /// It was drained and is empty.
        Drained => "drained",
        /// Tasks of several jobs failed there: it is quarantined.
        Quarantined => "quarantined",
        /// The cloud lists it as failed.
        Failed => "failed",
        /// The cloud does not list it and it is silent.
        NotListed => "not_listed",
        /// It has been silent for several leases.
        Silent => "silent",
        /// It has not come up in the time that its kind takes.
        NeverUp => "never_up",
        /// It was never heard of, for longer than any machine takes to come up.
        NeverHeard => "never_heard",
        /// It has been silent for so long that no cut of its zone explains it.
        SilentForLong => "silent_for_long",
    }
}

/// Machines and their number.
#[derive(Clone, Debug, PartialEq)]
pub enum MachineEvent {
    /// A machine that this leader did not provision sent a heartbeat.
    Adopted {
        /// The machine.
        machine: MachineId,
    },
    /// The first heartbeat of a machine that this leader took.
    Up {
        /// The machine.
        machine: MachineId,
        /// Its zone.
        zone: String,
        /// Whether it is a spot machine.
        spot: bool,
        /// Milliseconds since this leader first knew of it.
        age_ms: Ms,
    },
    /// The cloud is about to reclaim a spot machine; it is drained.
    ReclaimNotice {
        /// The machine.
        machine: MachineId,
    },
    /// The lease of a machine's worker has surely ended: its tasks are over.
    LeaseExpired {
        /// The machine.
        machine: MachineId,
        /// Its zone.
        zone: String,
        /// Task slots that were in use.
        tasks: usize,
    },
    /// A machine takes no more work and goes back once it is empty.
    Draining {
        /// The machine.
        machine: MachineId,
        /// Why.
        reason: DrainReason,
    },
    /// The cloud answered a provisioning request.
    ScaleOut {
        /// The zone asked for.
        zone: String,
        /// Whether spot machines were asked for.
        spot: bool,
        /// Machines asked for.
        requested: u32,
        /// Machines that the cloud gave.
        provisioned: usize,
    },
    /// A machine is given back to the cloud.
    ScaleIn {
        /// The machine.
        machine: MachineId,
        /// Why.
        reason: ReleaseReason,
    },
    /// The cloud's inventory lists a machine that this leader did not know.
    Discovered {
        /// The machine.
        machine: MachineId,
    },
    /// The cloud's inventory does not list a machine any more: it is gone with all on it.
    Gone {
        /// The machine.
        machine: MachineId,
    },
}

/// Jobs, their tasks and what is read of them.
#[derive(Clone, Debug, PartialEq)]
pub enum JobEvent {
    /// A cancellation is durable.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// The end of a job whose tasks are all done is durable.
    Completed {
        /// The job.
        job: JobId,
    },
    /// A task failed; one line for the first failure of a job on a machine.
    TaskFailed {
        /// The task.
        task: TaskId,
        /// Where it ran.
        machine: MachineId,
        /// Whether the job is now taken to fail wherever it runs.
        crash_looping: bool,
        /// Milliseconds that the task ran; 0 if it was not seen running.
        ran_ms: Ms,
    },
    /// Tasks were stopped in favour of others in one scheduling cycle.
    TasksPreempted {
        /// Tasks stopped.
        tasks: usize,
    },
    /// All active jobs were listed.
    Listed {
        /// The store's revision of the list.
        revision: Revision,
        /// Active jobs.
        active: usize,
        /// Milliseconds from the first request to the last answer.
        took_ms: Ms,
    },
    /// A watch of the jobs was answered.
    WatchAnswered {
        /// The store's revision up to which changes are known.
        revision: Revision,
        /// Changes that it told of.
        events: usize,
        /// Which of the two watches it was.
        kind: WatchKind,
        /// Milliseconds from the request to the answer.
        took_ms: Ms,
    },
}

/// What became of one heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatVerdict {
    /// Its worker's lease was renewed.
    Renewed {
        /// The fencing token that the answer carried.
        token: FencingToken,
        /// Commands that the answer carried.
        commands: usize,
    },
    /// It was refused.
    Refused(RenewalRefusal),
}

/// Answers to workers' heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatEvent {
    /// An answer kept a task without the knowledge that this takes: a fault of the program.
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
        /// Epoch of the worker's agent.
        agent_epoch: AgentEpoch,
        /// Number of the heartbeat in its epoch.
        sequence: u64,
        /// The fencing token that the worker showed.
        token: FencingToken,
        /// Tasks that the heartbeat lists.
        tasks: usize,
        /// What became of it.
        verdict: HeartbeatVerdict,
    },
    /// All answers since the last event of this kind, once a scheduling round.
    Summary(HeartbeatSummary),
}

/// How heartbeats were answered, and the knowledge that the answers rested on.
#[derive(Clone, Debug, PartialEq)]
pub struct HeartbeatSummary {
    /// The fencing token that this controller leads with; 0 if it does not lead.
    pub token: FencingToken,
    /// Whether this controller holds a valid leader lease.
    pub holds_valid_lease: bool,
    /// The store's revision up to which jobs are known; 0 if none is.
    pub jobs_revision: Revision,
    /// Milliseconds since that was read, if it was.
    pub jobs_age_ms: Option<Ms>,
    /// The answers, counted.
    pub counters: AnswerCounters,
}

/// Admission of submissions.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEvent {
    /// Whether submissions need an admission quota has changed.
    Mode {
        /// Whether they do.
        quotas_bind: bool,
    },
    /// The leader gives a controller a new admission quota.
    QuotaPlanned {
        /// The team.
        team: String,
        /// The controller.
        controller: String,
        /// Quota by class.
        classes: Vec<ClassQuota>,
    },
    /// Submissions that were told to come back, by reason, once a scheduling round.
    Refused {
        /// How often each reason was given.
        reasons: Vec<(RejectionReason, u64)>,
    },
    /// The record of an admission quota cannot be read; nothing is accepted on it.
    QuotaUnreadable {
        /// Its key.
        key: String,
    },
}

/// The part of an admission quota that is one class's.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassQuota {
    /// The class; empty for all that have no entry of their own.
    pub class: String,
    /// Jobs that may be accepted.
    pub jobs: u32,
    /// CPU-seconds of work that may be accepted.
    pub work: f64,
}

/// Records of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreEvent {
    /// The record of a job cannot be read; questions about it are answered 503.
    JobUnreadable {
        /// The job.
        job: JobId,
    },
    /// A part of the machine registry cannot be read and is left as it is.
    RegistryUnreadable {
        /// Its key.
        key: String,
    },
    /// The store rejected a transaction for good; its keys rest for a while.
    WriteRejected {
        /// The keys.
        keys: String,
    },
}

/// Families convert into [`LogEvent`], so that callers name the event alone.
macro_rules! into_log_event {
    ($($family:ident($event:ty)),* $(,)?) => {
        $(impl From<$event> for LogEvent {
            fn from(event: $event) -> Self {
                LogEvent::$family(event)
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
