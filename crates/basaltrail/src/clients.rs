//! The HTTP client for the state service, the cloud and other controllers' administration
//! listeners.

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

/// Share of a controller's memory that one answer may take.
const ANSWER_MEMORY_SHARE: f64 = 1.0 / 7.0;
const BYTES_PER_MB: f64 = 1_048_576.0;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle connections that are kept for each server.
const MAX_IDLE_CONNECTIONS: usize = 6;

/// Why a call has no answer.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
enum CallError {
    /// No whole answer came in time.
    #[error("no answer")]
    NoAnswer,
    /// The answer is longer than this controller accepts.
    #[error("answer too long")]
    TooLong,
}

/// A client with pooled connections; clones share them.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    max_answer_bytes: usize,
}

impl HttpClient {
    /// A client for a controller with an amount of memory, in MB.
    pub fn new(memory_mb: f64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .build(connector);
        let max_answer_bytes = (memory_mb * ANSWER_MEMORY_SHARE * BYTES_PER_MB) as usize;
        HttpClient { client, max_answer_bytes }
    }

    /// Sends a request; the answer is its status and its body.
    async fn call(
        &self,
        to: SocketAddr,
        request: HttpRequest,
        timeout_ms: u64,
    ) -> Result<(u16, Bytes), CallError> {
        let timeout = Duration::from_millis(timeout_ms);
        let answer = tokio::time::timeout(timeout, self.exchange(to, request)).await;
        answer.unwrap_or(Err(CallError::NoAnswer))
    }

    async fn exchange(
        &self,
        to: SocketAddr,
        request: HttpRequest,
    ) -> Result<(u16, Bytes), CallError> {
        let request = Request::builder()
            .method(request.method)
            .uri(format!("http://{to}{}", request.path))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(request.body)))
            .map_err(|_| CallError::NoAnswer)?;
        let response = self.client.request(request).await.map_err(|_| CallError::NoAnswer)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), self.max_answer_bytes).collect().await;
        let body = body.map_err(|error| match error.is::<LengthLimitError>() {
            true => CallError::TooLong,
            false => CallError::NoAnswer,
        })?;
        Ok((status, body.to_bytes()))
    }

    /// Carries out a request to the state service.
    pub async fn call_store(
        &self,
        to: SocketAddr,
        request: &StoreRequest,
        timeout_ms: u64,
    ) -> StoreReply {
        let Ok(http_request) = store::http_request(request) else { return StoreReply::Refused };
        let (status, body) = match self.call(to, http_request, timeout_ms).await {
            Ok(answer) => answer,
            // The same watch would be answered at the same length again, so the keys are listed
            // page by page instead.
            Err(CallError::TooLong) if matches!(request, StoreRequest::Watch { .. }) => {
                tracing::info!(
                    event = %"watch_answer_too_long",
                    max_bytes = self.max_answer_bytes,
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

    /// Carries out a request to the cloud.
    pub async fn call_cloud(
        &self,
        to: SocketAddr,
        request: &CloudRequest,
        timeout_ms: u64,
    ) -> CloudReply {
        let answer = self.call(to, cloud::http_request(request), timeout_ms).await;
        let Ok((status, body)) = answer else { return CloudReply::Failed };
        cloud::parse_reply(request, status, &body).unwrap_or_else(|error| {
            tracing::error!(event = %"cloud_reply_malformed", status, reason = %error);
            CloudReply::Failed
        })
    }

    /// Reads from another controller's administration listener; `None` unless it answers 200.
    pub async fn read(&self, to: SocketAddr, path: &str, timeout_ms: u64) -> Option<Bytes> {
        let request = HttpRequest { method: "GET", path: path.into(), body: String::new() };
        let answer = self.call(to, request, timeout_ms).await;
        answer.ok().filter(|(status, _)| *status == 200).map(|(_, body)| body)
    }
}

#[cfg(test)]
#[path = "clients_tests.rs"]
mod tests;
