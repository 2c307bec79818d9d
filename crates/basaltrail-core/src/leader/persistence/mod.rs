//! What a leader keeps durable: the machine registry, completions, outcomes and the fairness
//! ledger.
//!
//! One transaction is on its way at a time. It is filled ([`flush`]) up to the limits of the
//! state service ([`transaction`]), and its reply is recorded ([`replies`]). Every key is written
//! only with the mod revision that it was last seen with, so two leaders, or a late transaction
//! (PROTOCOL, Delayed messages) and its repetition, cannot both succeed.

pub mod flush;
pub mod machine_registry;
pub mod replies;
mod transaction;
pub mod writer;
