//! The HTTP servers for users, workers and operators.

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

/// How long the head or the body of a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Connections of operators at once.
const MAX_OPERATORS: usize = 8;
/// How long a listener waits after it could not accept a connection.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Serves operators until the process ends.
pub async fn serve_operators(listener: TcpListener, core: CoreHandle) {
    serve(listener, MAX_OPERATORS, routes::operator_routes(core)).await;
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
    let connections = BoundedListener { listener, max_connections, accept_retry: ACCEPT_RETRY };
    connections.serve(|stream| serve_connection(stream, routes.clone())).await;
}

async fn serve_connection<F>(stream: TcpStream, routes: F)
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(warp::service(routes));
    // A connection that fails concerns its client alone.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(REQUEST_TIMEOUT)
        .max_buf_size(MAX_BODY_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
