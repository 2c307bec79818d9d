//! The simulation of `basaltrail-core` with the versions that may run beside the present one:
//! e26460f, which the operators run, and 9b39f4b, which has landed since. On the seeded days and
//! in the meetings each process that starts runs a version drawn anew, so that each leads,
//! follows, takes over, dies and comes back old in any order; the rolls upgrade both.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "../../../crates/basaltrail-core/tests/simulation/simulated/mod.rs"]
mod simulated;
mod versions;
