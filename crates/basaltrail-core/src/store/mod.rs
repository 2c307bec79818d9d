//! Use of the key-value store: records and keys, calls in flight, and rate limits. The calls and
//! rate limits cover the cloud, too.

pub mod calls;
pub mod pending_transaction;
pub mod rate_limiter;
pub mod records;
