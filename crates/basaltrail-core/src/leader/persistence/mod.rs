//! The durable state of a leader: the machine registry, completion records, job outcomes, the
//! fairness ledger and the primary zone.
//!
//! One transaction is in flight at a time. It is filled ([`flush`]) up to the limits of the state
//! service ([`transaction`]), and its reply is handled in [`replies`]. The precondition of every
//! put is the last known mod revision of its key, so two leaders, or a delayed transaction
//! (PROTOCOL, Delayed messages) and its retry, cannot both succeed.

pub mod flush;
pub mod machine_registry;
pub mod replies;
mod transaction;
pub mod writer;
