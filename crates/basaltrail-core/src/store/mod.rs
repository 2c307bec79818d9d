//! The consensus-backed key-value store as this crate uses it: records, calls in flight, rates.

pub mod calls;
pub mod pending_transaction;
pub mod rate_limiter;
pub mod records;
