//! Calls to the state service and the cloud, over kept connections.

use basaltrail_core::{CloudReply, CloudRequest, StoreReply, StoreRequest};
use basaltrail_protocol::{cloud, state};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::Request;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::time::Duration;

/// Part of a controller's memory that one answer may take.
const ANSWER_PART: f64 = 1.0 / 7.0;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Why a call has no answer.
#[derive(Debug, PartialEq, Eq)]
enum CallError {
    /// None came, or none in time.
    NoAnswer,
    /// It is longer than this controller takes.
    TooLong,
}

#[derive(Clone)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    /// Answers longer than this are not taken.
    answer_bytes_most: usize,
}

impl Http {
    /// A client for a controller with so much memory.
    pub fn new(memory_mb: f64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(6)
            .build(connector);
        Http { client, answer_bytes_most: (memory_mb * ANSWER_PART * BYTES_PER_MB) as usize }
    }

    async fn call(
        &self,
        to: &str,
        method: &'static str,
        path: &str,
        body: String,
        timeout_ms: u64,
    ) -> Result<(u16, Bytes), CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| CallError::NoAnswer)?;
        let work = async {
            let response = self.client.request(request).await.map_err(|_| CallError::NoAnswer)?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), self.answer_bytes_most);
            let body =
                body.collect().await.map_err(|error| match error.is::<LengthLimitError>() {
                    true => CallError::TooLong,
                    false => CallError::NoAnswer,
                })?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(Duration::from_millis(timeout_ms), work)
            .await
            .unwrap_or(Err(CallError::NoAnswer))
    }

    pub async fn state(&self, to: SocketAddr, op: &StoreRequest, timeout_ms: u64) -> StoreReply {
        let Ok((method, path, body)) = state::request(op) else { return StoreReply::Refused };
        let answer = self.call(&to.to_string(), method, &path, body, timeout_ms).await;
        let (status, body) = match answer {
            Ok(answer) => answer,
            // The same watch would be answered as long again: what it tells is read by pages.
            Err(CallError::TooLong) if matches!(op, StoreRequest::Watch { .. }) => {
                tracing::info!("event=news_too_long bytes_most={}", self.answer_bytes_most);
                return StoreReply::Compacted;
            }
            Err(_) => return StoreReply::Unknown,
        };
        state::reply(op, status, &body).unwrap_or_else(|e| {
            tracing::error!("event=state_answer_unreadable status={status} why={e}");
            StoreReply::Unknown
        })
    }

    /// Reads from another controller's administration listener; nothing unless it answers 200.
    pub async fn read(&self, to: SocketAddr, path: &str, timeout_ms: u64) -> Option<Bytes> {
        let answer = self.call(&to.to_string(), "GET", path, String::new(), timeout_ms).await;
        answer.ok().filter(|(status, _)| *status == 200).map(|(_, body)| body)
    }

    pub async fn cloud(&self, to: SocketAddr, op: &CloudRequest, timeout_ms: u64) -> CloudReply {
        let (method, path, body) = cloud::request(op);
        let answer = self.call(&to.to_string(), method, &path, body, timeout_ms).await;
        let Ok((status, body)) = answer else { return CloudReply::Failed };
        cloud::reply(op, status, &body).unwrap_or_else(|e| {
            tracing::error!("event=cloud_answer_unreadable status={status} why={e}");
            CloudReply::Failed
        })
    }
}

#[cfg(test)]
#[path = "clients_tests.rs"]
mod tests;
