//! HTTP servers for users, workers and operators.

mod body;
mod routes;

use crate::bounded_listener::BoundedListener;
use crate::core_handle::CoreHandle;
use body::MAX_BODY_BYTES;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use warp::Filter;

/// Time limit for receiving the head of a request, and for receiving its body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of open connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 8;
/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves operators until the process ends.
pub async fn serve_operators(listener: TcpListener, core: CoreHandle) {
    serve(listener, MAX_OPERATOR_CONNECTIONS, routes::operator_routes(core)).await;
}

/// Serves users and workers until the process ends.
pub async fn serve_clients(listener: TcpListener, max_connections: usize, core: CoreHandle) {
    serve(listener, max_connections, routes::client_routes(core)).await;
}

async fn serve<F>(listener: TcpListener, max_connections: usize, routes: F)
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let connections =
        BoundedListener { listener, max_connections, accept_retry_delay: ACCEPT_RETRY_DELAY };
    connections.serve(|stream| serve_connection(stream, routes.clone())).await;
}

async fn serve_connection<F>(stream: TcpStream, routes: F)
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(warp::service(routes));
    // A failed connection affects only its client, so the error is ignored.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_TIMEOUT)
        .max_buf_size(MAX_BODY_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
