//! What users, workers and operators are answered.
//!
//! The reasons are typed; their `Display` is the text that goes into the body of the answer. That
//! text is part of the interface, so a reason may be renamed and its text may not.

use crate::inspection::LimitsReport;
use crate::lease_renewal;
use crate::model::{FencingToken, JobId, JobStatus, TaskCommand};
use basaltrail_admission::RejectionReason;
use std::fmt;

/// Why a submission cannot be kept (PROTOCOL, "POST /api/jobs": status 400). It is not repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidReason {
    /// Its record would be longer than a value of the store may be.
    DescriptionTooLong,
}

impl fmt::Display for InvalidReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            InvalidReason::DescriptionTooLong => "the description is too long to keep",
        })
    }
}

/// Why a job can never run (PROTOCOL, "POST /api/jobs": status 422). The same on every controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnschedulableReason {
    /// The settings name no such team.
    UnknownTeam,
    /// One task, or all replicas of a service, need more than the team may use.
    OverTeamLimit,
    /// No machine type that the job allows holds a task.
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

/// Why a request cannot be answered now (status 503). It is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// The jobs have not been listed since the process began.
    Starting,
    /// The machine types, by which a submission is judged, are not known yet.
    MachineTypesUnknown,
    /// As many requests wait as the controller's memory bears.
    TooManyRequests,
    /// More submissions wait than can be written soon.
    TooManySubmissions,
    /// The rate of changes at the store is used up.
    TooManyChanges,
    /// As many jobs are active as the controller's memory bears.
    TooManyJobs,
    /// The store refused the change.
    StoreRefused,
    /// The store did not confirm what is known of the job.
    NotConfirmed,
    /// It is not known whether the store carried the change out.
    NotDecided,
    /// The record of the job cannot be read by this version.
    RecordUnreadable,
    /// The submission is not admitted now.
    NotAdmitted(RejectionReason),
    /// A heartbeat that the leader may not answer now.
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
            UnavailableReason::NotDecided => "not decided",
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
    /// A submission was accepted just now.
    Created {
        /// The job.
        job: JobId,
    },
    /// A job that is known.
    Job {
        /// The job.
        job: JobId,
        /// Its status.
        status: JobStatus,
        /// Completed tasks, for display.
        done: u32,
        /// Running tasks, for display.
        running: u32,
    },
    /// The submission cannot be kept.
    Invalid(InvalidReason),
    /// The job can never run.
    Unschedulable(UnschedulableReason),
    /// No such job was accepted.
    NotFound,
    /// Not now.
    Unavailable {
        /// Seconds after which the request may be repeated.
        retry_after_s: u32,
        /// Why.
        reason: UnavailableReason,
    },
    /// The answer to a heartbeat: it renews the worker's lease.
    Commands {
        /// The leader's token.
        token: FencingToken,
        /// Commands for the worker, in order.
        commands: Vec<TaskCommand>,
    },
    /// Limits, use and quotas, for operators.
    Limits(Box<LimitsReport>),
    /// This controller may not answer workers.
    NotLeader {
        /// The controller that may, if one is known.
        leader: Option<String>,
    },
}
