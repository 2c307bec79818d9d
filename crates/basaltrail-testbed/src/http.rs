//! The HTTP client of the stand-ins, and what their servers share.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client as ConnectionPool;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use warp::http::StatusCode;
use warp::Filter;

/// Longest body of an answer that a client accepts, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with an optional JSON body.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Address of the server.
    pub to: SocketAddr,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: &'a str,
    /// JSON body; may be empty.
    pub body: String,
    /// How long the client waits for the whole answer.
    pub timeout: Duration,
}

impl<'a> Request<'a> {
    /// A GET request.
    pub fn get(to: SocketAddr, path: &'a str, timeout: Duration) -> Self {
        Request { to, method: "GET", path, body: String::new(), timeout }
    }

    /// A POST request.
    pub fn post(to: SocketAddr, path: &'a str, body: String, timeout: Duration) -> Self {
        Request { to, method: "POST", path, body, timeout }
    }
}

/// An answer to a request.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// `Retry-After`, in seconds, if the answer has the header.
    pub retry_after_s: Option<u64>,
    /// Body; null if it is not JSON.
    pub body: Value,
}

/// An HTTP client with one pooled connection to each server.
#[derive(Clone)]
pub struct Client(ConnectionPool<HttpConnector, Full<Bytes>>);

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let pool = ConnectionPool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(1)
            .build(connector);
        Client(pool)
    }
}

impl Client {
    /// Sends one request; `None` if no whole answer comes in time.
    pub async fn call(&self, request: Request<'_>) -> Option<Response> {
        let timeout = request.timeout;
        tokio::time::timeout(timeout, self.exchange(request)).await.ok()?
    }

    async fn exchange(&self, request: Request<'_>) -> Option<Response> {
        let request = hyper::Request::builder()
            .method(request.method)
            .uri(format!("http://{}{}", request.to, request.path))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(request.body)))
            .ok()?;
        let response = self.0.request(request).await.ok()?;
        let status = response.status().as_u16();
        let retry_after = response.headers().get("retry-after");
        let retry_after_s = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await.ok()?;
        let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
        Some(Response { status, retry_after_s, body })
    }
}

/// An answer of a server: a status and a JSON body.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonReply {
    status: u16,
    body: Value,
}

impl JsonReply {
    /// An answer.
    pub fn new(status: u16, body: Value) -> Self {
        JsonReply { status, body }
    }

    /// An answer that says why a request failed.
    pub fn error(status: u16, error: &str) -> Self {
        JsonReply::new(status, json!({ "error": error }))
    }

    /// The HTTP response.
    pub fn into_response(self) -> warp::reply::Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let json = warp::reply::json(&self.body);
        warp::Reply::into_response(warp::reply::with_status(json, status))
    }
}

/// Serves on a free port of loopback until the runtime ends.
///
/// # Errors
///
/// If no port is free.
pub async fn serve<F>(filter: F) -> std::io::Result<SocketAddr>
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(warp::serve(filter).incoming(listener).run());
    Ok(address)
}

/// Ports for controllers: below those that operating systems assign for port 0, so that no
/// stand-in takes one between its choice and the controller's start, or its restart.
const CONTROLLER_PORTS: std::ops::Range<u16> = 20_000..30_000;
/// Distance between the first ports that two processes with successive ids try.
const PROCESS_STRIDE: u32 = 97;

/// A free port of loopback that no other call in this process returned.
///
/// # Errors
///
/// If there is none.
pub fn free_port() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(CONTROLLER_PORTS.end - CONTROLLER_PORTS.start);
    // Processes that run at the same time start at different ports.
    let first = std::process::id().wrapping_mul(PROCESS_STRIDE) % count;
    for _ in 0..count {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = CONTROLLER_PORTS.start + ((first + step) % count) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if std::net::TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::other("no port is free"))
}
