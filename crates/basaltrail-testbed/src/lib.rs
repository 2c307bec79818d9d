//! Stand-ins of the systems that a basaltrail deployment talks to, a proxy that partitions and
//! delays its connections, and a checker of what users and workers observe.
//!
//! A [`Testbed`](testbed::Testbed) runs them against controllers of the real program, all on
//! loopback of one machine; the [`scenarios`] are what it is run for.
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

/// Locks state that stand-ins share. A task that panicked poisons the lock, but every change is
/// one step, so the state is still valid.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
