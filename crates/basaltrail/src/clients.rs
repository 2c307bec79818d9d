//! The HTTP client for the store, the cloud and the administration listeners of controllers.

use basaltrail_core::{CloudReply, CloudRequest, StoreReply, StoreRequest};
use basaltrail_protocol::{cloud, store, HttpRequest};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::Request;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of a response body, as a share of the controller's memory.
const RESPONSE_MEMORY_SHARE: f64 = 1.0 / 7.0;
const BYTES_PER_MB: f64 = 1_048_576.0;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of idle connections kept per server.
const MAX_IDLE_CONNECTIONS: usize = 6;

/// Reasons why a call returned no response.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
enum CallError {
    /// No complete response arrived in time.
    #[error("no response")]
    NoResponse,
    /// The response body is longer than this client accepts.
    #[error("response too long")]
    TooLong,
}

/// An HTTP client with a connection pool that its clones share.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    max_response_bytes: usize,
}

impl HttpClient {
    /// Returns a client for a process with the given amount of memory, in MB.
    pub fn new(memory_mb: f64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        let max_response_bytes = (memory_mb * RESPONSE_MEMORY_SHARE * BYTES_PER_MB) as usize;
        HttpClient { client, max_response_bytes }
    }

    /// Sends a request and returns the status and the body of the response.
    async fn call(
        &self,
        address: SocketAddr,
        request: HttpRequest,
        timeout_ms: u64,
    ) -> Result<(u16, Bytes), CallError> {
        let timeout = Duration::from_millis(timeout_ms);
        let response = tokio::time::timeout(timeout, self.send(address, request)).await;
        response.unwrap_or(Err(CallError::NoResponse))
    }

    async fn send(
        &self,
        address: SocketAddr,
        request: HttpRequest,
    ) -> Result<(u16, Bytes), CallError> {
        let request = Request::builder()
            .method(request.method)
            .uri(format!("http://{address}{}", request.path))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(request.body)))
            .map_err(|_| CallError::NoResponse)?;
        let response = self.client.request(request).await.map_err(|_| CallError::NoResponse)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), self.max_response_bytes).collect().await;
        let body = body.map_err(|error| match error.is::<LengthLimitError>() {
            true => CallError::TooLong,
            false => CallError::NoResponse,
        })?;
        Ok((status, body.to_bytes()))
    }

    /// Sends a request to the store and returns the parsed reply.
    pub async fn call_store(
        &self,
        address: SocketAddr,
        request: &StoreRequest,
        timeout_ms: u64,
    ) -> StoreReply {
        let Ok(http_request) = store::http_request(request) else { return StoreReply::Unavailable };
        let (status, body) = match self.call(address, http_request, timeout_ms).await {
            Ok(response) => response,
            // Repeating the watch would get an equally long response, so `Compacted` makes the
            // core list the keys page by page instead.
            Err(CallError::TooLong) if matches!(request, StoreRequest::Watch { .. }) => {
                tracing::info!(
                    event = %"watch_answer_too_long",
                    max_bytes = self.max_response_bytes,
                );
                return StoreReply::Compacted;
            }
            Err(_) => return StoreReply::Unknown,
        };
        store::parse_reply(request, status, &body).unwrap_or_else(|error| {
            tracing::error!(event = %"store_reply_malformed", status, reason = %error);
            StoreReply::Unknown
        })
    }

    /// Sends a request to the cloud and returns the parsed reply.
    pub async fn call_cloud(
        &self,
        address: SocketAddr,
        request: &CloudRequest,
        timeout_ms: u64,
    ) -> CloudReply {
        let response = self.call(address, cloud::http_request(request), timeout_ms).await;
        let Ok((status, body)) = response else { return CloudReply::Unknown };
        cloud::parse_reply(request, status, &body).unwrap_or_else(|error| {
            tracing::error!(event = %"cloud_reply_malformed", status, reason = %error);
            CloudReply::Unknown
        })
    }

    /// Reads a path from a controller's administration listener. Returns `None` unless the status
    /// is 200.
    pub async fn get(&self, address: SocketAddr, path: &str, timeout_ms: u64) -> Option<Bytes> {
        let request = HttpRequest { method: "GET", path: path.into(), body: String::new() };
        let response = self.call(address, request, timeout_ms).await;
        response.ok().filter(|(status, _)| *status == 200).map(|(_, body)| body)
    }
}

#[cfg(test)]
#[path = "clients_tests.rs"]
mod tests;
