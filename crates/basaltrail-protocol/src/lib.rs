//! Encodes and decodes all messages on the wire: the JSON bodies exchanged with users, workers,
//! the cloud and the state service, and the frames between controllers.
//!
//! Only this crate maps wire names to the terms of `basaltrail-core`: the fields of its private
//! types use the terms of the core, and serde renames give the wire names of PROTOCOL.
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
    /// HTTP method.
    pub method: &'static str,
    /// Path and query string.
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
