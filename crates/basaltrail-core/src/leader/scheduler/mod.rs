//! The scheduler of a leader: which task starts where, and what gives way to it.

pub mod bin_packing;
pub mod class_shares;
pub mod cycle;
pub mod deadline_feasibility;
pub mod guarantees;
pub mod preemption;
pub mod services;
