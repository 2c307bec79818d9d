//! What goes over the wires: JSON bodies to users, workers, cloud and state
//! service, and the frames between the controllers. Only here do wire names live.

pub mod administration;
pub mod cloud;
pub mod frames;
pub mod jobs;
pub mod names;
pub mod state;
pub mod workers;

/// A body that cannot be taken, in words for its sender or the log.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    #[error("not a JSON object of the expected form: {0}")]
    Json(#[from] serde_json::Error),
    #[error("{0}")]
    Field(&'static str),
}
