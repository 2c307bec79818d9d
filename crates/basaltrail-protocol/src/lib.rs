//! Everything that goes over the wire: JSON bodies to users, workers, the cloud and the state
//! service, and the frames between controllers.
//!
//! Wire names are mapped to the terms of `basaltrail-core` here and nowhere else: the private
//! types of each module have the field's terms as their names, and PROTOCOL's names as serde
//! renames.
#![warn(missing_docs)]

pub mod administration;
pub mod cloud;
mod error;
pub mod frames;
pub mod heartbeats;
pub mod names;
pub mod store;
pub mod submissions;

pub use error::Malformed;

/// An HTTP request to the cloud or the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// JSON body; empty if the request has none.
    pub body: String,
}

impl HttpRequest {
    fn get(path: String) -> Self {
        HttpRequest { method: "GET", path, body: String::new() }
    }

    fn post(path: impl Into<String>, body: String) -> Self {
        HttpRequest { method: "POST", path: path.into(), body }
    }
}
