//! Runs the simulation of `basaltrail-core` with the versions that may run at the same time as the
//! current one: e26460f, which is in production, and 9b39f4b, which is newer. In the seeded runs
//! and the scenarios with concurrent faults, each process that starts runs a random version, so
//! each version leads, follows, takes over, stops and restarts in any order. The upgrade tests
//! upgrade from both.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "../../../crates/basaltrail-core/tests/simulation/simulated/mod.rs"]
mod simulated;
mod versions;
