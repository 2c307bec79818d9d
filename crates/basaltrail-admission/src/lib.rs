//! Admission of submissions, agreed between all controllers, without I/O.
//!
//! The leader bounds the backlog of each team and hands out parts of it, allotments, to the
//! controllers ([`Planner`]). A controller admits out of its allotment in memory ([`Gate`]) and makes the
//! acceptance conditional on the mod revision of the allotment's record. What is known of the records,
//! and of what was accepted under each, is a [`View`], which every controller keeps.
#![warn(missing_docs)]

mod allotment;
mod gate;
mod planner;
mod revision;
mod room;
mod view;

pub use allotment::{Allotment, ClassRoom, Demand, OTHER_CLASSES};
pub use gate::{Gate, Mode, Outcome, Reason, Refusal, Ticket};
pub use planner::{Bounds, ClassLoad, Grant, Planner, TeamLoad, Written};
pub use revision::Revision;
pub use room::Room;
pub use view::{Acceptance, Held, View};
