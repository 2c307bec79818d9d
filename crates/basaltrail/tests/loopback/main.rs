//! Runs a controller process on loopback against a simulated store, cloud and workers.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod late_copies;
mod process;
mod serving;
