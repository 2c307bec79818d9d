//! The durable state of a leader: the machine registry, completion records, job outcomes, the
//! fairness ledger and the primary zone.
//!
//! One transaction is in flight at a time. It is filled ([`flush`]) up to the limits of the state
//! service ([`transaction`]), and its reply is handled in [`replies`]. A put of one of the leader's
//! keys requires the last known mod revision of the key, and a job's outcome requires that of the
//! job's record. Two leaders, or a delayed transaction (PROTOCOL, Delayed messages) and its retry,
//! therefore cannot both succeed.

pub mod flush;
pub mod machine_registry;
pub mod replies;
mod transaction;
pub mod writer;
