//! basaltrail's decisions, without I/O: inputs go in, effects come out.

pub mod boot;
pub mod budget;
pub mod calls;
pub mod election;
pub mod fairness;
pub mod fleet;
pub mod health;
pub mod io;
pub mod jobs;
pub mod jobs_view;
pub mod leadership;
pub mod lease_renewal;
pub mod limits;
pub mod machine_types;
pub mod model;
pub mod node;
pub mod placement;
pub mod reach;
pub mod records;
pub mod rental;
pub mod requests;
pub mod settings;

pub use basaltrail_admission as admission;
pub use io::*;
pub use model::*;
pub use node::Node;
pub use settings::{AdmissionPolicy, Objective, Policy, Settings, Team};
