//! Calls to the state service and the cloud, over kept connections.

use basaltrail_core::{CloudOp, CloudReply, StateOp, StateReply};
use basaltrail_protocol::{cloud, state};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::net::SocketAddr;
use std::time::Duration;

/// Answers longer than this are not taken.
const BODY_MOST: usize = 8 << 20;

#[derive(Clone)]
pub struct Http(Client<HttpConnector, Full<Bytes>>);

impl Http {
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_max_idle_per_host(6)
            .build(connector);
        Http(client)
    }

    async fn call(
        &self,
        to: &str,
        method: &'static str,
        path: &str,
        body: String,
        timeout_ms: u64,
    ) -> Option<(u16, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let work = async {
            let response = self.0.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), BODY_MOST).collect().await.ok()?;
            Some((status, body.to_bytes()))
        };
        tokio::time::timeout(Duration::from_millis(timeout_ms), work).await.ok()?
    }

    pub async fn state(&self, to: SocketAddr, op: &StateOp, timeout_ms: u64) -> StateReply {
        let Ok((method, path, body)) = state::request(op) else { return StateReply::Refused };
        let answer = self.call(&to.to_string(), method, &path, body, timeout_ms).await;
        let Some((status, body)) = answer else { return StateReply::Unknown };
        state::reply(op, status, &body).unwrap_or_else(|e| {
            tracing::error!("event=state_answer_unreadable status={status} why={e}");
            StateReply::Unknown
        })
    }

    pub async fn cloud(&self, to: SocketAddr, op: &CloudOp, timeout_ms: u64) -> CloudReply {
        let (method, path, body) = cloud::request(op);
        let answer = self.call(&to.to_string(), method, &path, body, timeout_ms).await;
        let Some((status, body)) = answer else { return CloudReply::Failed };
        cloud::reply(op, status, &body).unwrap_or_else(|e| {
            tracing::error!("event=cloud_answer_unreadable status={status} why={e}");
            CloudReply::Failed
        })
    }
}
