//! Machines, their agent epochs, and the tasks that may run on them.
//!
//! The state here is conservative: a task counts as being on a machine until a newer heartbeat of
//! that machine, the end of its agent epoch or its confirmed termination proves otherwise.

pub mod health;
pub mod machine;
pub mod machine_kind;
pub mod task_slot;
pub mod types;

pub use machine::{Decommission, LastListing, Machine};
pub use machine_kind::MachineKind;
pub use task_slot::{TaskChange, TaskDemand, TaskExit, TaskPhase, TaskSlot};
