//! Simulated runs of a small deployment: see [`simulated`].

#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

mod simulated;
mod versions;
