//! The decision logic of basaltrail's controller, without I/O: it maps inputs to effects.
//!
//! [`Controller::step`] is the only entry point. The program (crate `basaltrail`) reads the clocks,
//! executes the effects and writes the log; the protocol crate defines the wire formats.

pub mod answer;
pub mod controller;
pub mod election;
pub mod events;
pub mod fairness;
pub mod inspection;
pub mod io;
pub mod jobs;
pub mod leader;
pub mod lease_renewal;
pub mod machines;
pub mod model;
pub mod resources;
pub mod settings;
pub mod store;

pub use answer::{Answer, InvalidReason, UnavailableReason, UnschedulableReason};
pub use basaltrail_admission as admission;
pub use controller::Controller;
pub use events::LogEvent;
pub use io::{
    CloudReply, CloudRequest, Effect, Input, KeyValue, Precondition, Progress, PutRequest,
    StoreReply, StoreRequest, WatchEvent,
};
pub use model::{
    fitting_tasks, AgentEpoch, Attempt, CallId, ExitReason, FencingToken, Heartbeat, JobId,
    JobKind, JobOutcome, JobSpec, JobStatus, LeaseId, ListedMachine, ListedState, MachineId,
    MachineType, Ms, Priority, RequestId, Revision, TaskCommand, TaskId, TaskState, TaskStatus,
    WallMs,
};
pub use resources::{Resources, MAX_TASKS_PER_MACHINE};
pub use settings::{AdmissionPolicy, Objective, Policy, Settings, Team};
pub use store::records;
