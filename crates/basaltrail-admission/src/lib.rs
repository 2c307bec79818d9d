//! Admission of submissions, agreed between all controllers, without I/O.
//!
//! The leader bounds the backlog of each team and hands out parts of the bound, admission quotas,
//! to the controllers ([`QuotaPlanner`]). A controller admits submissions out of its quotas in
//! memory ([`QuotaLimiter`]) and makes each acceptance conditional on the mod revision of the
//! quota's record, so that nothing is accepted out of a record that has been replaced. What is
//! known of the records, and of what was accepted under each, is a [`QuotaCache`], which every
//! controller keeps by its watch of the store.
#![warn(missing_docs)]

mod limiter;
mod planner;
mod quota;
mod quota_cache;
mod revision;
mod work_amount;

pub use limiter::{
    AcceptanceOutcome, QuotaLimiter, QuotaMode, QuotaRejection, RejectionReason, Reservation,
};
pub use planner::{BacklogBounds, ClassLoad, QuotaPlanner, QuotaWrite, TeamLoad, WriteResult};
pub use quota::{AdmissionQuota, JobDemand, QuotaEntry, OTHER_CLASSES};
pub use quota_cache::{Acceptance, CachedQuota, ControllerProcess, QuotaCache};
pub use revision::Revision;
pub use work_amount::WorkAmount;
