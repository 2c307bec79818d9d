//! Admission control for submissions across all controllers, without I/O.
//!
//! The leader bounds the backlog of each team and divides the bound among the controllers as
//! admission quotas ([`QuotaPlanner`]). A controller admits submissions within its quotas in memory
//! ([`QuotaLimiter`]). Each acceptance is conditional on the mod revision of the quota's record, so
//! that no job is accepted under a record that has been replaced. Every controller maintains a
//! [`QuotaCache`] of the records and of the jobs accepted under each, from its watch of the store.
#![warn(missing_docs)]

mod limiter;
mod planner;
mod quota;
mod quota_cache;
mod revision;
mod work_amount;

pub use limiter::{
    QuotaLimiter, QuotaMode, QuotaRejection, RejectionReason, Reservation, ReservationEnd,
};
pub use planner::{BacklogBounds, ClassLoad, QuotaPlanner, QuotaWrite, TeamLoad, WriteResult};
pub use quota::{AdmissionQuota, JobDemand, QuotaEntry, OTHER_CLASSES};
pub use quota_cache::{Acceptance, CachedQuota, ControllerProcess, QuotaCache};
pub use revision::Revision;
pub use work_amount::WorkAmount;
