//! Answers to requests of users, workers and operators.
//!
//! The `Display` text of a reason is sent in the body of the answer. The text is part of the
//! interface and must not change; the name of the variant may.

use crate::inspection::LimitsReport;
use crate::lease_renewal;
use crate::model::{FencingToken, JobId, JobStatus, TaskCommand};
use basaltrail_admission::RejectionReason;
use std::fmt;

/// The reason why a submission is invalid (PROTOCOL, "POST /api/jobs": status 400). Clients do not
/// retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidReason {
    /// The record of the job would exceed the size limit of a value in the store.
    DescriptionTooLong,
}

impl fmt::Display for InvalidReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            InvalidReason::DescriptionTooLong => "the description is too long to keep",
        })
    }
}

/// The reason why a job can never run (PROTOCOL, "POST /api/jobs": status 422). All controllers
/// return the same reason for the same job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnschedulableReason {
    /// The settings do not contain the team.
    UnknownTeam,
    /// A single task, or all replicas of a service together, exceed the limit of the team.
    OverTeamLimit,
    /// A task does not fit on any machine type that the job allows.
    NoMachineType,
}

impl fmt::Display for UnschedulableReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnschedulableReason::UnknownTeam => "unknown team",
            UnschedulableReason::OverTeamLimit => "the job needs more than the team's limit",
            UnschedulableReason::NoMachineType => "a task fits no allowed machine type",
        })
    }
}

/// The reason why a request cannot be served now (status 503). Clients retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The process has not listed the jobs yet.
    Starting,
    /// The machine types are not known yet, so submissions cannot be validated.
    MachineTypesUnknown,
    /// The number of waiting requests has reached the limit that the controller's memory allows.
    TooManyRequests,
    /// More submissions are waiting than the controller can write to the store soon.
    TooManySubmissions,
    /// The rate limit for writes to the store is exhausted.
    TooManyChanges,
    /// The number of active jobs has reached the limit that the controller's memory allows.
    TooManyJobs,
    /// The store refused the write.
    StoreRefused,
    /// The store did not confirm the cached state of the job.
    NotConfirmed,
    /// The store may or may not have executed the write.
    OutcomeUnknown,
    /// This version cannot decode the record of the job.
    RecordUnreadable,
    /// The submission was not admitted.
    NotAdmitted(RejectionReason),
    /// The leader must not renew the lease of the worker that sent the heartbeat.
    HeartbeatRefused(lease_renewal::RenewalRefusal),
}

impl fmt::Display for UnavailableReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            UnavailableReason::Starting => "starting",
            UnavailableReason::MachineTypesUnknown => "types unknown",
            UnavailableReason::TooManyRequests => "too many requests",
            UnavailableReason::TooManySubmissions => "too many submissions",
            UnavailableReason::TooManyChanges => "too many changes",
            UnavailableReason::TooManyJobs => "too many jobs",
            UnavailableReason::StoreRefused => "state service refused",
            UnavailableReason::NotConfirmed => "no check possible",
            UnavailableReason::OutcomeUnknown => "not decided",
            UnavailableReason::RecordUnreadable => "record unreadable",
            UnavailableReason::NotAdmitted(RejectionReason::BacklogFull) => {
                "the team's backlog is full"
            }
            UnavailableReason::NotAdmitted(RejectionReason::QuotaReplaced) => "its allotment moves",
            UnavailableReason::NotAdmitted(RejectionReason::NoQuota) => "no allotment yet",
            UnavailableReason::HeartbeatRefused(refusal) => refusal.name(),
        })
    }
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The submission was accepted.
    Created {
        /// The job.
        job: JobId,
    },
    /// The job exists.
    Job {
        /// The job.
        job: JobId,
        /// The status of the job.
        status: JobStatus,
        /// Number of completed tasks, for display.
        done: u32,
        /// Number of running tasks, for display.
        running: u32,
    },
    /// The submission is invalid.
    Invalid(InvalidReason),
    /// The job can never run.
    Unschedulable(UnschedulableReason),
    /// No job with this ID was accepted.
    NotFound,
    /// The request cannot be served now.
    Unavailable {
        /// Seconds after which the request may be retried.
        retry_after_s: u32,
        /// The reason.
        reason: UnavailableReason,
    },
    /// The answer to a heartbeat, which renews the worker's lease.
    Commands {
        /// The fencing token of the leader.
        token: FencingToken,
        /// Commands for the worker, in order.
        commands: Vec<TaskCommand>,
    },
    /// Limits, usage and quotas, for operators.
    Limits(Box<LimitsReport>),
    /// This controller is not the leader and must not answer heartbeats.
    NotLeader {
        /// The leader, if it is known.
        leader: Option<String>,
    },
}
