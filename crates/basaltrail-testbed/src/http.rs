//! HTTP client of the stand-ins, common parts of their servers, and the choice of free ports.

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

/// Maximum size of a response body that the client accepts, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time after which the client closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request with an optional JSON body.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Address of the server.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: &'a str,
    /// JSON body; empty if the request has none.
    pub body: String,
    /// Time limit for the complete response.
    pub timeout: Duration,
}

impl<'a> Request<'a> {
    /// Creates a GET request without a body.
    pub fn get(address: SocketAddr, path: &'a str, timeout: Duration) -> Self {
        Request { address, method: "GET", path, body: String::new(), timeout }
    }

    /// Creates a POST request.
    pub fn post(address: SocketAddr, path: &'a str, body: String, timeout: Duration) -> Self {
        Request { address, method: "POST", path, body, timeout }
    }
}

/// The response to a request.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Retry-After` header in seconds; `None` if it is missing or invalid.
    pub retry_after_s: Option<u64>,
    /// JSON body; null if the body is not valid JSON.
    pub body: Value,
}

/// An HTTP client that keeps at most one idle connection per server.
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
    /// Sends a request. Returns `None` if the request fails or no complete response arrives within
    /// its timeout.
    pub async fn call(&self, request: Request<'_>) -> Option<Response> {
        let timeout = request.timeout;
        tokio::time::timeout(timeout, self.exchange(request)).await.ok()?
    }

    async fn exchange(&self, request: Request<'_>) -> Option<Response> {
        let request = hyper::Request::builder()
            .method(request.method)
            .uri(format!("http://{}{}", request.address, request.path))
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

/// A server's reply: a status and a JSON body.
#[derive(Clone, Debug, PartialEq)]
pub struct JsonReply {
    status: u16,
    body: Value,
}

impl JsonReply {
    /// Creates a reply.
    pub fn new(status: u16, body: Value) -> Self {
        JsonReply { status, body }
    }

    /// Creates a reply whose body contains an error message.
    pub fn error(status: u16, error: &str) -> Self {
        JsonReply::new(status, json!({ "error": error }))
    }

    /// Converts the reply to an HTTP response.
    pub fn into_response(self) -> warp::reply::Response {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let json = warp::reply::json(&self.body);
        warp::Reply::into_response(warp::reply::with_status(json, status))
    }
}

/// Serves a filter on a free loopback port until the runtime shuts down. Returns the address.
///
/// # Errors
///
/// Fails if no port can be bound.
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

/// Ports for controllers. They are below the ports that operating systems assign for port 0, so
/// that no stand-in binds a chosen port before the controller starts or restarts.
const CONTROLLER_PORTS: std::ops::Range<u16> = 20_000..30_000;
/// Distance between the first ports that processes with consecutive ids try.
const PROCESS_STRIDE: u32 = 97;

/// Returns the loopback address of a free port that no earlier call in this process returned,
/// unless every port of the range was tried.
///
/// # Errors
///
/// Fails if no port of the range is free.
pub fn free_port() -> std::io::Result<SocketAddr> {
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(CONTROLLER_PORTS.end - CONTROLLER_PORTS.start);
    // Concurrent processes start their searches at different ports.
    let first_offset = std::process::id().wrapping_mul(PROCESS_STRIDE) % count;
    for _ in 0..count {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = CONTROLLER_PORTS.start + ((first_offset + offset) % count) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if std::net::TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::other("no port is free"))
}
