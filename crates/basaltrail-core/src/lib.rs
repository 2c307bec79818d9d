//! basaltrail's decisions, without I/O: inputs go in, effects come out.

pub mod controller;
pub mod election;
pub mod events;
pub mod fairness;
pub mod health;
pub mod inspection;
pub mod io;
pub mod jobs;
pub mod leader;
pub mod lease_renewal;
pub mod machines;
pub mod model;
pub mod resources;
pub mod settings;
pub mod store;

pub use basaltrail_admission as admission;
pub use controller::Controller;
pub use events::LogEvent;
pub use io::*;
pub use model::*;
pub use resources::Resources;
pub use settings::{AdmissionPolicy, Objective, Policy, Settings, Team};
pub use store::records;
