//! A TCP listener with a bound on its open connections.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// A listener with a bound on its open connections.
pub struct BoundedListener {
    /// The listener.
    pub listener: TcpListener,
    /// Connections that may be open at once; others are closed as soon as they are accepted.
    pub max_connections: usize,
    /// How long the listener waits after it could not accept a connection.
    pub accept_retry: Duration,
}

impl BoundedListener {
    /// Serves each connection in a task of its own, until the process ends.
    pub async fn serve<F>(self, serve_connection: impl Fn(TcpStream) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let connections = Arc::new(Semaphore::new(self.max_connections));
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                tokio::time::sleep(self.accept_retry).await;
                continue;
            };
            let Ok(permit) = connections.clone().try_acquire_owned() else { continue };
            let connection = serve_connection(stream);
            tokio::spawn(async move {
                connection.await;
                drop(permit);
            });
        }
    }
}
