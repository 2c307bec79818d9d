//! Requests of stand-ins, and the serving side that they share.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use warp::http::StatusCode;
use warp::Filter;

/// Answers longer than this are not taken.
const BODY_MOST: usize = 4 << 20;

/// An answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// Seconds of `Retry-After`, if the answer has it.
    pub retry_after_s: Option<u64>,
    /// The body; null if it is not JSON.
    pub body: Value,
}

/// One client with kept connections of its own.
#[derive(Clone)]
pub struct Client(Pool<HttpConnector, Full<Bytes>>);

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .pool_max_idle_per_host(1)
            .build(connector);
        Client(pool)
    }
}

impl Client {
    /// Sends one request; `None` without an answer in time.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: String,
        patience: Duration,
    ) -> Option<Answer> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .ok()?;
        let work = async {
            let response = self.0.request(request).await.ok()?;
            let status = response.status().as_u16();
            let header = response.headers().get("retry-after");
            let retry_after_s = header.and_then(|value| value.to_str().ok()?.parse().ok());
            let body = Limited::new(response.into_body(), BODY_MOST).collect().await.ok()?;
            let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
            Some(Answer { status, retry_after_s, body })
        };
        tokio::time::timeout(patience, work).await.ok()?
    }
}

/// An answer with a JSON body.
pub fn reply(status: u16, body: Value) -> warp::reply::Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    warp::Reply::into_response(warp::reply::with_status(warp::reply::json(&body), status))
}

/// Serves on a free port of loopback until the runtime ends.
///
/// # Errors
///
/// If no port can be had.
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

/// Ports that are given to controllers: below those that systems draw from for `:0`, so that no
/// other stand-in takes one between its choice and the controller's start, or its next.
const PORTS: std::ops::Range<u16> = 20_000..30_000;

/// A port of loopback that is free and that no other call in this process was given.
///
/// # Errors
///
/// If there is none.
pub fn free_port() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(PORTS.end - PORTS.start);
    // Processes that run at the same time begin in different places.
    let begin = std::process::id().wrapping_mul(97) % count;
    for _ in 0..count {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + ((begin + step) % count) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if std::net::TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::other("no port is free"))
}
