//! Stand-ins for the systems around a basaltrail deployment, a proxy that partitions and delays
//! its connections, and a checker that validates the observations of users and workers.
//!
//! A [`Testbed`](testbed::Testbed) runs controller processes of the real program against the
//! stand-ins, all on the loopback interface of one machine. The [`scenarios`] are the workloads
//! that run on it.
#![warn(missing_docs)]

pub mod checker;
pub mod clock;
pub mod cloud;
pub mod config;
pub mod controller_settings;
pub mod controllers;
pub mod deployment;
pub mod faults;
pub mod history;
pub mod http;
pub mod job_catalog;
pub mod job_request;
pub mod links;
pub mod metrics;
pub mod proxy;
pub mod scenarios;
pub mod state_service;
pub mod team_usage;
pub mod testbed;
pub mod users;
pub mod worker;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks state that stand-ins share, and ignores poisoning: every change is a single step, so
/// the state stays valid if a task panics while it holds the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
