//! Stand-ins of the systems that a basaltrail deployment talks to, a proxy that cuts and delays
//! its connections, and a checker of what users and workers saw. [`soak`] plays them against
//! controllers that are the real program, all on loopback of one machine.
#![warn(missing_docs)]

pub mod checker;
pub mod clock;
pub mod cloud;
pub mod controllers;
pub mod deployment;
pub mod faults;
pub mod history;
pub mod http;
pub mod metrics;
pub mod overload;
pub mod proxy;
pub mod racing;
pub mod request;
pub mod serve;
pub mod soak;
pub mod state;
pub mod team_usage;
pub mod users;
pub mod worker;
pub mod world;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks what stand-ins share; what a task left that panicked is still of use.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
